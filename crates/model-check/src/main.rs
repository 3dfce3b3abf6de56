//! Explores named bounds and prints the states explored and the violations found.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use model_check::exploration::explore;
use model_check::named_bounds;
use model_check::steps::Fault;

/// Explore all states of single-item consensus within named bounds; without names, list the bounds
#[derive(FromArgs)]
struct Options {
    /// names of the bounds to explore
    #[argh(positional)]
    names: Vec<String>,
    /// number of worker threads
    #[argh(option, default = "1")]
    threads: usize,
    /// fault to inject
    #[argh(option)]
    fault: Option<Fault>,
    /// time limit for each of the bounds, in seconds, after which a partial result is printed (default: none)
    #[argh(option)]
    seconds: Option<u64>,
    /// let machines learn incarnations from any message, not only where that enables further steps
    #[argh(switch)]
    hearsay: bool,
    /// disable symmetry reduction: treat states as distinct that differ only in the numbers of
    /// interchangeable machines
    #[argh(switch)]
    apart: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let all_bounds = named_bounds::all();
    if options.names.is_empty() {
        all_bounds
            .iter()
            .for_each(|named| println!("{}", named.name));
        return ExitCode::SUCCESS;
    }
    let mut complete = true;
    for name in &options.names {
        let Some(mut named) = all_bounds.iter().find(|named| named.name == name).cloned() else {
            eprintln!("unknown bounds: {name}");
            return ExitCode::from(2);
        };
        named.bounds.fault = options.fault;
        named.bounds.learn_every_incarnation = options.hearsay;
        named.bounds.no_symmetry_reduction = options.apart;
        let report = explore(
            &named.bounds,
            options.threads,
            options.seconds.map(Duration::from_secs),
        );
        println!("{name}: {report}");
        complete &= report.complete && report.violations.is_empty();
    }
    if complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
