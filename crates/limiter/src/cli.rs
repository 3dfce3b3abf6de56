//! The command line.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::config::Environment;
use crate::logging::{LogConfig, LogFormat};
use crate::net;

const HELP: &str = "\
usage: streamarch [COMMAND]

  serve          run the limiter (the default); it is told what it needs by ROUTER_CONFIG, ROUTER_NAME,
                 ROUTER_LISTEN and ROUTER_DISCOVERY
  check-config   read and check the configuration, and say what is wrong with it
  usage verify FOLDER            read a ledger whole and say what it holds, or where it is damaged
  usage show FOLDER              its tries, a line each
  usage export FOLDER OUT        write the batch under way, or the next one, to OUT
  usage acknowledge FOLDER N     batch N has been taken over: the next one may come
  version        print the version
  help           print this

  --config FILE         the configuration, in place of ROUTER_CONFIG
  --introspection FILE  the second front's file; it is on if the file names a listen address
  --raft FILE           the instances that agree on a configuration; likewise
  --shared FILE         what is done with shared state when part of the fleet hears nothing (deploy/shared.json)
  --log-format FORMAT   text (the default) or json
  --log-level LEVEL     error, warn, info (the default) or debug
";

enum Command {
    Serve,
    CheckConfig,
    Usage(Vec<String>),
    Version,
    Help,
}

fn parse(
    args: impl IntoIterator<Item = OsString>,
) -> Result<(Command, Environment, LogConfig), lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(args);
    let (mut command, mut environment, mut logging) =
        (None, Environment::from_process(), LogConfig::default());
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => environment.config_path = Some(parser.value()?.string()?),
            Long("introspection") => {
                environment.introspection_path = Some(parser.value()?.string()?)
            }
            Long("raft") => environment.raft_path = Some(parser.value()?.string()?),
            Long("shared") => environment.shared_state_path = Some(parser.value()?.string()?),
            Long("log-format") => {
                logging.format = match parser.value()?.string()?.as_str() {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    other => {
                        return Err(format!(
                            "--log-format: '{other}' is neither 'text' nor 'json'"
                        )
                        .into());
                    }
                }
            }
            Long("log-level") => {
                let level = parser.value()?.string()?;
                let unknown =
                    |_| format!("--log-level: '{level}' is none of error, warn, info and debug");
                logging.level = level.parse().map_err(unknown)?;
            }
            Short('h') | Long("help") => command = Some(Command::Help),
            Short('V') | Long("version") => command = Some(Command::Version),
            Value(word) if matches!(command, Some(Command::Usage(_))) => {
                if let Some(Command::Usage(words)) = &mut command {
                    words.push(word.string()?);
                }
            }
            Value(name) if command.is_none() => {
                command = Some(match name.string()?.as_str() {
                    "serve" => Command::Serve,
                    "check-config" => Command::CheckConfig,
                    "usage" => Command::Usage(Vec::new()),
                    "version" => Command::Version,
                    "help" => Command::Help,
                    other => return Err(format!("unknown command '{other}'").into()),
                })
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok((command.unwrap_or(Command::Serve), environment, logging))
}

/// Runs the program with these arguments, the first of which is its name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let (command, environment, logging) = match parse(args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("streamarch: {error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let done = match command {
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
        Command::Version => {
            println!("streamarch {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig => environment
            .load()
            .map(|_| println!("configuration in order"))
            .map_err(|e| e.to_string()),
        Command::Usage(words) => crate::usage_cli::run(&words),
        Command::Serve => {
            logging.install();
            let loaded = environment.load();
            let serve =
                |config| net::serve(config, move || environment.load()).map_err(|e| e.to_string());
            loaded.map_err(|e| e.to_string()).and_then(serve)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("streamarch: {text}");
            ExitCode::FAILURE
        }
    }
}
