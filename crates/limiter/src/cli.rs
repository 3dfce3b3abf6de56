//! The command line of `streamarch`.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::config::Environment;
use crate::logging::{LogConfig, LogFormat};
use crate::net;

const HELP: &str = "\
usage: streamarch [COMMAND]

  serve          run the limiter (the default); reads ROUTER_CONFIG, ROUTER_NAME, ROUTER_LISTEN and
                 ROUTER_DISCOVERY from the environment
  check-config   read and check the configuration, and report the first fault
  usage verify FOLDER            check a usage ledger and summarise it, or report where it is damaged
  usage show FOLDER              print its tries, one per line
  usage export FOLDER OUT        write the pending batch, or else the next one, to OUT
  usage acknowledge FOLDER N     confirm that batch N has been imported, so that the next one can be written
  version        print the version
  help           print this

  --config FILE         the configuration; overrides ROUTER_CONFIG
  --introspection FILE  settings of the token introspection front end; enabled if the file has a listen address
  --raft FILE           members of the Raft cluster that replicates the configuration; enabled likewise
  --shared FILE         handling of shared state while part of the fleet is unreachable (deploy/shared.json)
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
    let (mut command, mut environment, mut log_config) =
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
                log_config.format = match parser.value()?.string()?.as_str() {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    other => {
                        return Err(format!(
                            "--log-format: invalid format '{other}': expected 'text' or 'json'"
                        )
                        .into());
                    }
                }
            }
            Long("log-level") => {
                let level = parser.value()?.string()?;
                let invalid_level = |_| {
                    format!(
                        "--log-level: invalid level '{level}': expected error, warn, info or debug"
                    )
                };
                log_config.level = level.parse().map_err(invalid_level)?;
            }
            Short('h') | Long("help") => command = Some(Command::Help),
            Short('V') | Long("version") => command = Some(Command::Version),
            Value(arg) if matches!(command, Some(Command::Usage(_))) => {
                if let Some(Command::Usage(usage_args)) = &mut command {
                    usage_args.push(arg.string()?);
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
    Ok((command.unwrap_or(Command::Serve), environment, log_config))
}

/// Runs the program. The first argument is the program's name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let (command, environment, log_config) = match parse(args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("streamarch: {error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let result = match command {
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
            .map(|_| println!("configuration is valid"))
            .map_err(|e| e.to_string()),
        Command::Usage(usage_args) => crate::usage_cli::run(&usage_args),
        Command::Serve => {
            log_config.install();
            let loaded = environment.load();
            let serve =
                |config| net::serve(config, move || environment.load()).map_err(|e| e.to_string());
            loaded.map_err(|e| e.to_string()).and_then(serve)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("streamarch: {message}");
            ExitCode::FAILURE
        }
    }
}
