//! The `streamarchctl` program: the operators' command line.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use control::disk;
use ctl::configuration::{Configuration, random_salt};
use ctl::{diff, http, status};
use eyre::{WrapErr, ensure, eyre};
use protocol::json_text;
use serde::Serialize;

/// The timeout of a request to a replica.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Shows the status of the system, exports and compares configurations, and verifies stored data.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} status --at 10.1.0.10:8688,10.2.0.10:8688",
    example = "{command_name} export --at 10.1.0.10:8688 > before.json",
    example = "{command_name} diff before.json 10.1.0.10:8688 --json",
    example = "{command_name} verify /var/lib/streamarch",
    note = "Exit codes: 0 no findings or differences; 1 findings or differences; 2 the command failed."
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

/// Checks the stored data of a replica while its program is stopped, and reports its content and any corruption. Changes
/// nothing.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "verify",
    example = "{command_name} /var/lib/streamarch"
)]
struct Verify {
    /// the data directory (setting `datadir`), or a database file that was moved aside
    #[argh(positional)]
    path: std::path::PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Shows replicas, incarnations, leases, duties, versions and lag, as the queried replicas report them.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --at 10.1.0.10:8688,10.2.0.10:8688 --json"
)]
struct Status {
    /// the addresses of the replicas for operators, separated by commas
    #[argh(option, long = "at")]
    addresses: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Exports the configuration in force, with salted hashes in place of the tenants' API keys.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "export",
    example = "{command_name} --at 10.1.0.10:8688 > before.json"
)]
struct Export {
    /// the address of a replica for operators
    #[argh(option, long = "at")]
    address: String,
    /// the salt of the hashes; exports with the same salt can be compared (default: random)
    #[argh(option)]
    salt: Option<String>,
    /// export API keys in plain text, so that the configuration can be restored
    #[argh(switch)]
    plain: bool,
    /// print indented JSON in place of JSON with one item per line
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
    /// a file, or the address of a replica for operators
    #[argh(positional)]
    old: String,
    /// a file or an address, like the first one
    #[argh(positional)]
    new: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn parse_addresses(text: &str) -> eyre::Result<Vec<SocketAddr>> {
    let parse_one = |word: &str| {
        word.trim()
            .parse()
            .wrap_err_with(|| format!("--at: {word:?} is not an address"))
    };
    text.split(',').map(parse_one).collect()
}

fn fetch_configuration(address: SocketAddr) -> eyre::Result<Configuration> {
    let body = http::get(address, "/api/cfg/get", Instant::now() + REQUEST_TIMEOUT)?;
    Configuration::parse(&body).wrap_err_with(|| format!("from {address}"))
}

/// Reads the configuration from a file, or fetches it from an address if no file has this name.
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

/// Runs the command, and returns whether it has found faults or differences.
fn run(arguments: Arguments) -> eyre::Result<bool> {
    match arguments.command {
        Command::Status(Status { addresses, json }) => {
            let system = status::query_replicas(&parse_addresses(&addresses)?, || {
                Instant::now() + REQUEST_TIMEOUT
            });
            ensure!(
                system.has_answer(),
                "no replica has answered: {}",
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
                .ok_or_else(|| eyre!("--at: an address is required"))?;
            let configuration = fetch_configuration(address)?;
            let configuration = if plain {
                configuration
            } else {
                configuration.with_hashed_secrets(&salt.unwrap_or_else(random_salt))
            };
            let text = configuration.to_json_lines();
            if json {
                println!("{}", json_text::pretty(&text));
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
