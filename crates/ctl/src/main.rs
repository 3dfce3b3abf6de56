//! The `streamarchctl` program: the command line around the library.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use control::disk;
use ctl::configuration::{Configuration, salt};
use ctl::{diff, http, status};
use eyre::{WrapErr, ensure, eyre};
use serde::Serialize;

/// An answer is given up after this.
const ANSWER: Duration = Duration::from_secs(3);

/// How the system stands, and how configurations differ.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} status --at 10.1.0.10:8688,10.2.0.10:8688",
    example = "{command_name} export --at 10.1.0.10:8688 > before.json",
    example = "{command_name} diff before.json 10.1.0.10:8688 --json",
    example = "{command_name} verify /var/lib/streamarch",
    note = "Exit codes: 0 all is well or the same; 1 something was found; 2 it could not be done."
)]
struct Arguments {
    #[argh(subcommand)]
    command: Sub,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Sub {
    Status(Status),
    Export(Export),
    Diff(Diff),
    Verify(Verify),
}

/// Reads the files of a replica's folder while its program does not run, and says what stands there and what is harmed.
/// Nothing is changed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "verify",
    example = "{command_name} /var/lib/streamarch"
)]
struct Verify {
    /// the folder that `datadir` names, or a database file that was put aside
    #[argh(positional)]
    path: std::path::PathBuf,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Replicas, incarnations, leases, duties, versions and what lags, as the replicas that are asked see it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --at 10.1.0.10:8688,10.2.0.10:8688 --json"
)]
struct Status {
    /// where operators call the replicas, with commas between
    #[argh(option)]
    at: String,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Writes out the configuration that is in force, keys of tenants as hashes with a salt.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "export",
    example = "{command_name} --at 10.1.0.10:8688 > before.json"
)]
struct Export {
    /// where operators call a replica
    #[argh(option)]
    at: String,
    /// the salt of the hashes, so that two files can be compared (another one each time)
    #[argh(option)]
    salt: Option<String>,
    /// keys of tenants as they are, to be sent again later
    #[argh(switch)]
    plain: bool,
    /// a key a line, in place of an item a line; it is JSON either way
    #[argh(switch)]
    json: bool,
}

/// Compares two configurations by item and key; each is a file or a replica's address.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} before.json 10.1.0.10:8688"
)]
struct Diff {
    /// a file, or where operators call a replica
    #[argh(positional)]
    old: String,
    /// the same
    #[argh(positional)]
    new: String,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

fn addresses(text: &str) -> eyre::Result<Vec<SocketAddr>> {
    let one = |word: &str| {
        word.trim()
            .parse()
            .wrap_err_with(|| format!("--at: {word:?} is no address"))
    };
    text.split(',').map(one).collect()
}

fn fetch(at: SocketAddr) -> eyre::Result<Configuration> {
    let body = http::get(at, "/api/cfg/get", Instant::now() + ANSWER)?;
    Configuration::read(&body).wrap_err_with(|| format!("what {at} has"))
}

/// A file goes before an address of the same name.
fn configuration(word: &str) -> eyre::Result<Configuration> {
    if !Path::new(word).exists()
        && let Ok(at) = word.parse()
    {
        return fetch(at);
    }
    let text = std::fs::read(word).wrap_err_with(|| format!("reading {word}"))?;
    Configuration::read(&text).wrap_err_with(|| format!("file {word}"))
}

fn show<T: Serialize + std::fmt::Display>(json: bool, value: &T) -> eyre::Result<()> {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(value).wrap_err("writing JSON")?
        );
    } else {
        print!("{value}");
    }
    Ok(())
}

/// Gives whether something was found.
fn work(arguments: Arguments) -> eyre::Result<bool> {
    match arguments.command {
        Sub::Status(Status { at, json }) => {
            let view = status::ask(&addresses(&at)?, || Instant::now() + ANSWER);
            ensure!(
                view.told_anything(),
                "no replica answers: {}",
                view.findings.join("; ")
            );
            show(json, &view)?;
            Ok(!view.findings.is_empty())
        }
        Sub::Export(Export {
            at,
            salt: wanted,
            plain,
            json,
        }) => {
            let at = *addresses(&at)?
                .first()
                .ok_or_else(|| eyre!("--at: no address"))?;
            let all = fetch(at)?;
            let all = if plain {
                all
            } else {
                all.hidden(&wanted.unwrap_or_else(salt))
            };
            let text = all.write();
            if json {
                let value: serde_json::Value =
                    serde_json::from_str(&text).wrap_err("writing JSON")?;
                println!(
                    "{}",
                    serde_json::to_string_pretty(&value).wrap_err("writing JSON")?
                );
            } else {
                print!("{text}");
            }
            Ok(false)
        }
        Sub::Verify(Verify { path, json }) => {
            let report = if path.is_dir() {
                disk::verify(&path)?
            } else {
                disk::verify_file(&path)?
            };
            show(json, &report)?;
            Ok(!report.faults.is_empty())
        }
        Sub::Diff(Diff { old, new, json }) => {
            let diff = diff::diff(configuration(&old)?, configuration(&new)?);
            show(json, &diff)?;
            Ok(!diff.is_empty())
        }
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let arguments =
        match Arguments::from_args(&["streamarchctl"], words.get(1..).unwrap_or_default()) {
            Ok(arguments) => arguments,
            Err(early) if early.status.is_ok() => {
                println!("{}", early.output);
                return ExitCode::SUCCESS;
            }
            Err(early) => {
                eprintln!("{}", early.output);
                return ExitCode::from(2);
            }
        };
    match work(arguments) {
        Ok(found) => ExitCode::from(u8::from(found)),
        Err(error) => {
            eprintln!("streamarchctl: {error:#}");
            ExitCode::from(2)
        }
    }
}
