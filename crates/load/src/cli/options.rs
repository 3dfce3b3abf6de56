//! The words of the command line, and what ends the program.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

#[derive(Default)]
pub(super) struct Options {
    pub(super) words: Vec<String>,
    pub(super) targets: Vec<SocketAddr>,
    pub(super) seconds: Option<f64>,
    pub(super) seed: Option<u64>,
    pub(super) report: Option<PathBuf>,
    pub(super) json: bool,
    pub(super) limiter: Option<PathBuf>,
    pub(super) shared: Option<PathBuf>,
    pub(super) speed: Option<f64>,
    pub(super) scenario: Option<PathBuf>,
    pub(super) key: Option<String>,
    pub(super) values: Option<String>,
    pub(super) drop_duplicates: bool,
    pub(super) close_gaps: bool,
    pub(super) gap: Option<f64>,
    pub(super) gateways: Option<usize>,
    pub(super) servers: Option<u32>,
    pub(super) programs: Option<PathBuf>,
    pub(super) zones: Option<usize>,
    pub(super) edges: Option<usize>,
    pub(super) seeds: Option<u64>,
    pub(super) log_json: bool,
    pub(super) log_level: Option<tracing::Level>,
}

/// What ends the program: a wrong call, or a fault on the way.
pub(super) enum Failure {
    Usage(String),
    Fault(String),
}

pub(super) fn fault(error: impl std::fmt::Display) -> Failure {
    Failure::Fault(error.to_string())
}

pub(super) fn usage(text: impl Into<String>) -> Failure {
    Failure::Usage(text.into())
}

pub(super) fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Options, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("target") => {
                let text = parser.value()?.string()?;
                let address = text
                    .strip_prefix("http://")
                    .unwrap_or(&text)
                    .trim_end_matches('/');
                let address = address.replace("localhost", "127.0.0.1");
                let parsed = address
                    .parse()
                    .map_err(|_| format!("--target: '{text}' is no address with a port"))?;
                options.targets.push(parsed);
            }
            Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
            Long("seed") => options.seed = Some(parser.value()?.parse()?),
            Long("report") => options.report = Some(parser.value()?.into()),
            Long("json") => options.json = true,
            Long("limiter") => options.limiter = Some(parser.value()?.into()),
            Long("shared") => options.shared = Some(parser.value()?.into()),
            Long("speed") => options.speed = Some(parser.value()?.parse()?),
            Long("scenario") => options.scenario = Some(parser.value()?.into()),
            Long("key") => options.key = Some(parser.value()?.string()?),
            Long("values") => options.values = Some(parser.value()?.string()?),
            Long("duplicates") => {
                options.drop_duplicates = choice(&mut parser, "--duplicates", ["keep", "drop"])?
            }
            Long("gaps") => options.close_gaps = choice(&mut parser, "--gaps", ["keep", "close"])?,
            Long("gateways") => options.gateways = Some(parser.value()?.parse()?),
            Long("servers") => options.servers = Some(parser.value()?.parse()?),
            Long("programs") => options.programs = Some(parser.value()?.into()),
            Long("zones") => options.zones = Some(parser.value()?.parse()?),
            Long("edges") => options.edges = Some(parser.value()?.parse()?),
            Long("seeds") => options.seeds = Some(parser.value()?.parse()?),
            Long("gap") => options.gap = Some(parser.value()?.parse()?),
            Long("log-format") => {
                options.log_json = choice(&mut parser, "--log-format", ["text", "json"])?
            }
            Long("log-level") => options.log_level = Some(parser.value()?.parse()?),
            Short('h') | Long("help") => options.words.insert(0, "help".into()),
            Short('V') | Long("version") => options.words.insert(0, "version".into()),
            Value(word) => options.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

/// Whether the second of two words was given.
fn choice(
    parser: &mut lexopt::Parser,
    option: &str,
    words: [&str; 2],
) -> Result<bool, lexopt::Error> {
    let word = parser.value()?.string()?;
    match words.iter().position(|w| *w == word) {
        Some(position) => Ok(position == 1),
        None => Err(format!(
            "{option}: '{word}' is neither '{}' nor '{}'",
            words[0], words[1]
        )
        .into()),
    }
}
