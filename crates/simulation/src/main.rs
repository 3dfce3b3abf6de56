//! The `simulation` program: the command line around the library.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use simulation::cluster::Bug;
use simulation::draw::{Often, Plan, draw};
use simulation::play::{Outcome, play};
use simulation::scale;
use simulation::schedule::Schedule;
use simulation::shrink::shrink;

/// The control core and the edges under schedules of trouble, in one process and on driven time; docs/core.md says what
/// is checked.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Sub,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Sub {
    Run(Run),
    Replay(Replay),
    Shrink(Shrink),
    Scale(Scale),
    Footprint(Footprint),
    Transfer(Transfer),
}

/// Draws schedules by chance and plays them; those that break a rule are written out.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the seed of the first schedule; the others follow it (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many schedules (1000)
    #[argh(option, default = "1_000")]
    schedules: u64,
    /// replicas of the core (6)
    #[argh(option, default = "6")]
    cores: usize,
    /// edges (3)
    #[argh(option, default = "3")]
    edges: usize,
    /// requests a second of the first tenant at each edge (30)
    #[argh(option, default = "30")]
    load: u64,
    /// threads (2)
    #[argh(option, default = "2")]
    threads: usize,
    /// deliberate harm, to see that it is found; docs/core.md names the kinds
    #[argh(option)]
    bug: Option<String>,
    /// of which trouble there is more: any, dark, frozen, replaced, cut, stalled, torn, crossed, resent, count-lost, second-loss, many-changes (any)
    #[argh(option, default = "String::from(\"any\")")]
    often: String,
    /// where schedules that break a rule are written (target/simulation)
    #[argh(option, default = "PathBuf::from(\"target/simulation\")")]
    out: PathBuf,
    /// most of them that are written (10)
    #[argh(option, default = "10")]
    most: usize,
}

/// Plays a schedule from its file.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Shrinks a schedule that breaks a rule, and prints the shortest that still does.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
struct Shrink {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Plays many replicas, limiters and items without troubles, and prints times and what each process says.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct Scale {
    /// replicas of the core (9)
    #[argh(option, default = "9")]
    cores: usize,
    /// limiters, each with its agent (100)
    #[argh(option, default = "100")]
    limiters: usize,
    /// routes and tenants (1000)
    #[argh(option, default = "1_000")]
    items: usize,
}

/// Measures the memory and the message bytes of an item and of a server in each program's tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "footprint")]
struct Footprint {
    /// routes and tenants (20000)
    #[argh(option, default = "20_000")]
    items: usize,
    /// servers (20000)
    #[argh(option, default = "20_000")]
    servers: usize,
}

/// Plays the return of a replica that was away during changes, and prints by when and for how many bytes it is whole.
#[derive(FromArgs)]
#[argh(subcommand, name = "transfer")]
struct Transfer {
    /// replicas of the core (6)
    #[argh(option, default = "6")]
    cores: usize,
    /// routes and tenants (1000)
    #[argh(option, default = "1_000")]
    items: usize,
    /// changes while it was away, a fifth of them drops (1000)
    #[argh(option, default = "1_000")]
    changes: usize,
    /// its disk is lost
    #[argh(switch)]
    wiped: bool,
}

fn read(file: &PathBuf) -> eyre::Result<Schedule> {
    let step = || format!("schedule {}", file.display());
    Schedule::read(&std::fs::read_to_string(file).wrap_err_with(step)?).wrap_err_with(step)
}

fn tell(outcome: &Outcome) {
    for fault in &outcome.faults {
        println!(
            "{:.3} s: {}: {}",
            fault.at as f64 / 1e6,
            fault.rule,
            fault.text
        );
    }
}

fn add(all: &mut Outcome, one: &Outcome) {
    all.acknowledged += one.acknowledged;
    all.refused += one.refused;
    all.unclear += one.unclear;
    all.repeated += one.repeated;
    all.read += one.read;
    all.terms += one.terms;
    all.peer_messages += one.peer_messages;
    all.passed += one.passed;
    all.skipped += one.skipped;
    all.most = all.most.max(one.most);
    all.taken = all.taken.max(one.taken);
    all.recovered = all.recovered.max(one.recovered);
    all.vacant = all.vacant.max(one.vacant);
    all.held = all.held.max(one.held);
    all.busiest = all.busiest.max(one.busiest);
    if one.least > 0.0 {
        all.least = if all.least > 0.0 {
            all.least.min(one.least)
        } else {
            one.least
        };
    }
    all.worst = all.worst.max(one.worst);
    all.copies = all.copies.min(one.copies);
    all.transferred = all.transferred.max(one.transferred);
}

fn run(run: &Run) -> eyre::Result<bool> {
    if !(1..=64).contains(&run.cores) {
        return Err(eyre!("--cores: 1 to 64"));
    }
    let bug = match &run.bug {
        None => None,
        Some(word) => {
            let found = Bug::ALL.iter().find(|(name, _)| name == word);
            Some(found.ok_or_else(|| eyre!("--bug: {word:?} is none"))?.1)
        }
    };
    let often = Often::ALL.iter().find(|(name, _)| *name == run.often);
    let often = often
        .ok_or_else(|| eyre!("--often: {:?} is none", run.often))?
        .1;
    let plan = Plan {
        cores: run.cores,
        edges: run.edges,
        load: run.load,
        bug,
        often,
    };
    let (next, start) = (AtomicU64::new(0), Instant::now());
    let (all, failed) = (
        Mutex::new(Outcome {
            copies: usize::MAX,
            ..Outcome::default()
        }),
        Mutex::new(Vec::new()),
    );
    let work = || {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= run.schedules {
                return;
            }
            let schedule = draw(run.seed + number, plan);
            let outcome = play(&schedule);
            if let Ok(mut all) = all.lock() {
                add(&mut all, &outcome);
            }
            if let (Some(fault), Ok(mut failed)) = (outcome.faults.first(), failed.lock()) {
                failed.push((schedule, fault.clone()));
            }
        }
    };
    std::thread::scope(|scope| (0..run.threads.max(1)).for_each(|_| _ = scope.spawn(work)));
    let (all, mut failed) = (
        all.into_inner().unwrap_or_default(),
        failed.into_inner().unwrap_or_default(),
    );
    failed.sort_by_key(|(schedule, _)| schedule.seed);
    for (schedule, fault) in failed.iter().take(run.most) {
        std::fs::create_dir_all(&run.out)
            .wrap_err_with(|| format!("folder {}", run.out.display()))?;
        let file = run
            .out
            .join(format!("{}-{}.txt", fault.rule, schedule.seed));
        std::fs::write(&file, schedule.to_string())
            .wrap_err_with(|| format!("writing {}", file.display()))?;
        println!(
            "{}: {:.3} s: {}: {}",
            file.display(),
            fault.at as f64 / 1e6,
            fault.rule,
            fault.text
        );
    }
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{} schedules in {seconds:.1} s, {} broke a rule",
        run.schedules,
        failed.len()
    );
    println!(
        "changes: {} acknowledged, {} refused, {} unclear, {} repeats acknowledged; {} readings; {} terms of duties; {} losses of a disk left out",
        all.acknowledged, all.refused, all.unclear, all.repeated, all.read, all.terms, all.skipped
    );
    println!(
        "longest: first write after trouble {} ms, a settled core's write {} ms, a duty done by nobody {} ms",
        all.recovered / 1_000,
        all.taken / 1_000,
        all.vacant / 1_000
    );
    println!(
        "most: {} messages a second of one replica, {} held at one replica; {} messages; {} requests passed, worst window {:.3} of what is allowed",
        all.most, all.held, all.peer_messages, all.passed, all.worst
    );
    println!(
        "fewest disks on which an acknowledged change stood: {}",
        all.copies
    );
    println!(
        "{} events in the busiest second; least served in calm {:.2} of a tenant's rate; {} bytes of transfers to a process",
        all.busiest, all.least, all.transferred
    );
    Ok(failed.is_empty())
}

fn work(arguments: Arguments) -> eyre::Result<bool> {
    match arguments.command {
        Sub::Run(arguments) => run(&arguments),
        Sub::Replay(arguments) => {
            let outcome = play(&read(&arguments.file)?);
            tell(&outcome);
            println!("{outcome:?}");
            Ok(outcome.faults.is_empty())
        }
        Sub::Footprint(Footprint { items, servers }) => {
            for cost in scale::footprint::measure(items, servers)? {
                println!("{cost}");
            }
            Ok(true)
        }
        Sub::Scale(Scale {
            cores,
            limiters,
            items,
        }) => {
            eyre::ensure!((1..=128).contains(&cores), "--cores: 1 to 128");
            eyre::ensure!((1..=20_000).contains(&limiters), "--limiters: 1 to 20000");
            print!(
                "{}",
                scale::run(scale::Size {
                    cores,
                    limiters,
                    items
                })
            );
            Ok(true)
        }
        Sub::Transfer(Transfer {
            cores,
            items,
            changes,
            wiped,
        }) => {
            eyre::ensure!((3..=128).contains(&cores), "--cores: 3 to 128");
            let away = scale::transfer::Away {
                cores,
                items,
                changes,
                wiped,
            };
            println!("{}", scale::transfer::run(away));
            Ok(true)
        }
        Sub::Shrink(arguments) => match shrink(&read(&arguments.file)?) {
            None => {
                println!("# it breaks no rule");
                Ok(true)
            }
            Some((schedule, played)) => {
                println!(
                    "# {played} schedules played, {} steps left",
                    schedule.steps.len()
                );
                print!("{schedule}");
                Ok(true)
            }
        },
    }
}

fn main() -> ExitCode {
    match work(argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("simulation: {error:#}");
            ExitCode::FAILURE
        }
    }
}
