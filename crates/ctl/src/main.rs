//! The `streamarchctl` program: the command line around the library.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use control::disk;
use ctl::configuration::{Configuration, random_salt};
use ctl::{diff, http, status};
use eyre::{WrapErr, ensure, eyre};
use serde::Serialize;

/// An answer is given up after this.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

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
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
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
    #[argh(option, long = "at")]
    addresses: String,
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
    #[argh(option, long = "at")]
    address: String,
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

fn parse_addresses(text: &str) -> eyre::Result<Vec<SocketAddr>> {
    let parse_one = |word: &str| {
        word.trim()
            .parse()
            .wrap_err_with(|| format!("--at: {word:?} is no address"))
    };
    text.split(',').map(parse_one).collect()
}

fn fetch_configuration(address: SocketAddr) -> eyre::Result<Configuration> {
    let body = http::get(address, "/api/cfg/get", Instant::now() + REQUEST_TIMEOUT)?;
    Configuration::parse(&body).wrap_err_with(|| format!("what {address} has"))
}

/// A file goes before an address of the same name.
fn load_configuration(source: &str) -> eyre::Result<Configuration> {
    if !Path::new(source).exists()
        && let Ok(address) = source.parse()
    {
        return fetch_configuration(address);
    }
    let text = std::fs::read(source).wrap_err_with(|| format!("reading {source}"))?;
    Configuration::parse(&text).wrap_err_with(|| format!("file {source}"))
}

fn print_value<T: Serialize + std::fmt::Display>(json: bool, value: &T) -> eyre::Result<()> {
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
fn run(arguments: Arguments) -> eyre::Result<bool> {
    match arguments.command {
        Command::Status(Status { addresses, json }) => {
            let system = status::query_replicas(&parse_addresses(&addresses)?, || {
                Instant::now() + REQUEST_TIMEOUT
            });
            ensure!(
                system.has_answer(),
                "no replica answers: {}",
                system.findings.join("; ")
            );
            print_value(json, &system)?;
            Ok(!system.findings.is_empty())
        }
        Command::Export(Export {
            address,
            salt,
            plain,
            json,
        }) => {
            let address = *parse_addresses(&address)?
                .first()
                .ok_or_else(|| eyre!("--at: no address"))?;
            let configuration = fetch_configuration(address)?;
            let configuration = if plain {
                configuration
            } else {
                configuration.with_hashed_secrets(&salt.unwrap_or_else(random_salt))
            };
            let text = configuration.to_json_lines();
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
        Command::Verify(Verify { path, json }) => {
            let report = if path.is_dir() {
                disk::verify(&path)?
            } else {
                disk::verify_file(&path)?
            };
            print_value(json, &report)?;
            Ok(!report.faults.is_empty())
        }
        Command::Diff(Diff { old, new, json }) => {
            let diff = diff::diff(load_configuration(&old)?, load_configuration(&new)?);
            print_value(json, &diff)?;
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
            Err(early_exit) if early_exit.status.is_ok() => {
                println!("{}", early_exit.output);
                return ExitCode::SUCCESS;
            }
            Err(early_exit) => {
                eprintln!("{}", early_exit.output);
                return ExitCode::from(2);
            }
        };
    match run(arguments) {
        Ok(has_findings) => ExitCode::from(u8::from(has_findings)),
        Err(error) => {
            eprintln!("streamarchctl: {error:#}");
            ExitCode::from(2)
        }
    }
}
