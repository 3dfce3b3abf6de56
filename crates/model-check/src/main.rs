//! Explores named bounds and prints what was found.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use model_check::exploration::explore;
use model_check::named_bounds;
use model_check::steps::Fault;

/// Explores all states of the agreement of one item within named bounds; without a name, lists them.
#[derive(FromArgs)]
struct Options {
    /// names of bounds
    #[argh(positional)]
    names: Vec<String>,
    /// threads to explore with
    #[argh(option, default = "1")]
    threads: usize,
    /// a fault to plant
    #[argh(option)]
    fault: Option<Fault>,
    /// seconds for each of the bounds, after which what was explored until then is told (default: no end)
    #[argh(option)]
    seconds: Option<u64>,
    /// hear of incarnations by any message, not only where that lets a machine do more
    #[argh(switch)]
    hearsay: bool,
    /// tell states apart that differ only in the numbers of machines that are alike
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
            eprintln!("no such bounds: {name}");
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
