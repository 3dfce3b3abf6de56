//! The command line.

mod options;
mod traces;

use std::ffi::OsString;
use std::io::IsTerminal;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use emulator::serving::WorldServer;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value as Json;

use self::options::{Failure, Options, fault, parse, usage};
use crate::driver::{self, Outcomes, Progress};
use crate::fleet::{self, Shape, Trouble};
use crate::generator::Setup;
use crate::report;
use crate::scenario::Scenario;
use crate::schedule::Schedule;
use crate::soak;
use crate::summary::Summary;
use crate::system;
use crate::trace::{self, mend};
use crate::trial::{self, Trial};

const HELP: &str = "\
usage: streamarch-load COMMAND

  try                                a small world of its own: nodes, counter, discovery, two limiters, a surge
  system                             the whole system: control programs, agents and proxies on 127.0.1.x and 127.0.2.x,
                                     a small world around them, and what must hold
  soak                               the same under kills, pauses and lost answers that overlap, for many seeds, with checks all the time
  soak disks                         the same under losses of power and disks, and disks that reject writes
  soak shutdowns                     the same under planned work alone: SIGTERM, SIGHUP, changes and releases in series, while servers are slow
  soak early-answers                 the same, with uploads to servers that answer early and end with unread input
  run SCENARIO                       a scenario, against limiters in an emulated world or against --target
  compare DIR DIR...                 reports side by side; the first is what the others are measured against
  sweep SCENARIO --key PATH --values A,B,C
                                     one scenario over the values of one key, and where it bends
  trace import IN OUT                CSV (.csv) or JSON lines into a trace
  trace inspect FILE                 what a trace holds
  trace replay FILE                  sends a trace
  stand-ins SCENARIO                 only the emulated world; prints a limiter's configuration for it
  fleet calm|restart|zone|replace    the decision module alone, as a fleet on driven time; prints what all do together
  version, help

  --target ADDRESS      send there and start nothing else; may be given more than once
  --seconds N           how long requests arrive (try, run, sweep, system)
  --seed N              in place of the scenario's
  --report DIR          write report.json, report.html and records.parquet there
  --json                print report.json alone
  --limiter PATH        the limiter's program; by default streamarch beside this one
  --shared FILE         the limiters' file of shared state (deploy/shared.json), in place of the scenario's
  --speed X             a trace so many times as fast
  --scenario FILE       plans, classes, world and limiters for a trace
  --programs DIR        where control, agent and proxy are; by default beside this program
  --seeds N             how many seeds a soak plays, from --seed on
  --zones N, --edges N  the size of a system: zones, each a region with a control program, and edges in each
  --gateways N, --servers N
                        the size of a fleet
  --duplicates keep|drop, --gaps keep|close, --gap SECONDS
                        what is done with a trace's duplicates and gaps
  --log-format text|json, --log-level error|warn|info|debug
";

/// The scenario of `try`.
const TRY: &str = include_str!("../../scenarios/term-end.json");

/// Runs the program with these arguments, its name left out. Exit codes: 0 done, 1 a fault on the way, 2 a wrong call
/// or a scenario that can't be used.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let done = parse(args)
        .map_err(|e| usage(e.to_string()))
        .and_then(|options| {
            let level = options.log_level.unwrap_or(tracing::Level::INFO);
            let log = tracing_subscriber::fmt()
                .with_writer(std::io::stderr)
                .with_max_level(level)
                .with_target(false);
            // Only the first one of a process holds: a second call from a test changes nothing.
            let _ = if options.log_json {
                log.json().try_init()
            } else {
                log.with_ansi(false).try_init()
            };
            command(&options)
        });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(text)) => {
            eprintln!("streamarch-load: {text}\n\n{HELP}");
            ExitCode::from(2)
        }
        Err(Failure::Fault(text)) => {
            eprintln!("streamarch-load: {text}");
            ExitCode::FAILURE
        }
    }
}

fn command(options: &Options) -> Result<(), Failure> {
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["help", ..] => {
            print!("{HELP}");
            Ok(())
        }
        ["version", ..] => {
            println!("streamarch-load {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ["try"] => {
            let scenario = Scenario::read(TRY).map_err(fault)?;
            play(options, seconds(scenario, options)?).map(drop)
        }
        ["system"] => system(options),
        ["soak"] => soak(options, soak::Trouble::Faults),
        ["soak", "disks"] => soak(options, soak::Trouble::LostDisks),
        ["soak", "shutdowns"] => soak(options, soak::Trouble::Shutdowns),
        ["soak", "early-answers"] => soak(options, soak::Trouble::EarlyAnswers),
        ["run", path] => play(options, seconds(scenario(Path::new(path))?, options)?).map(drop),
        ["compare", folders @ ..] if folders.len() >= 2 => compare(options, folders),
        ["sweep", path] => sweep(options, Path::new(path)),
        ["trace", "import", from, to] => traces::import(options, Path::new(from), Path::new(to)),
        ["trace", "inspect", path] => traces::inspect(options, Path::new(path)),
        ["trace", "replay", path] => traces::replay(options, Path::new(path)),
        ["fleet", trouble] => fleet(options, trouble),
        ["stand-ins", path] => stand_ins(options, &scenario(Path::new(path))?),
        [] => Err(usage("a command is missing")),
        ["compare", ..] => Err(usage("compare takes two folders or more")),
        other => Err(usage(format!(
            "'{}' is no command, or not with these words",
            other.join(" ")
        ))),
    }
}

/// Where the system's programs are.
fn programs(options: &Options) -> PathBuf {
    let beside = || {
        trial::program()
            .parent()
            .map(Path::to_path_buf)
            .unwrap_or_default()
    };
    options.programs.clone().unwrap_or_else(beside)
}

fn soak(options: &Options, trouble: soak::Trouble) -> Result<(), Failure> {
    let first = options.seed.unwrap_or(1);
    let (mut violated, stop) = (0, stopped()?);
    for seed in first..first + options.seeds.unwrap_or(1) {
        let plan = soak::Plan {
            trouble,
            seed,
            seconds: options.seconds.unwrap_or(8.0),
            zones: options.zones.unwrap_or(3),
            edges: options.edges.unwrap_or(2),
            programs: programs(options),
        };
        // With fewer replicas none may be killed.
        if !(3..=9).contains(&plan.zones) || !(1..=20).contains(&plan.edges) {
            return Err(usage("a system has 3 to 9 zones and 1 to 20 edges in each"));
        }
        let report = soak::run(&plan, &stop).map_err(fault)?;
        violated += u64::from(!report.violations.is_empty());
        println!("seed {seed}: {}", report.text());
        if stop.load(Ordering::Relaxed) {
            return Err(fault("interrupted"));
        }
    }
    if violated == 0 {
        Ok(())
    } else {
        Err(fault(format!("{violated} seeds violate what must hold")))
    }
}

fn system(options: &Options) -> Result<(), Failure> {
    let plan = system::Plan {
        seconds: options.seconds.unwrap_or(15.0),
        seed: options.seed.unwrap_or(1),
        zones: options.zones.unwrap_or(3),
        edges: options.edges.unwrap_or(1),
        programs: programs(options),
    };
    if !(15.0..=600.0).contains(&plan.seconds) {
        return Err(usage("--seconds: a day of the system has 15 to 600"));
    }
    // With fewer seats none may be killed.
    if !(3..=9).contains(&plan.zones) || !(1..=20).contains(&plan.edges) {
        return Err(usage("a system has 3 to 9 zones and 1 to 20 edges in each"));
    }
    let played = system::play(&plan, &*stopped()?).map_err(fault)?;
    print!("{}", played.text());
    if played.holds() {
        Ok(())
    } else {
        Err(fault("something that must hold does not"))
    }
}

fn fleet(options: &Options, trouble: &str) -> Result<(), Failure> {
    let trouble = Trouble::named(trouble).ok_or_else(|| {
        usage(format!(
            "'{trouble}' is none of calm, restart, zone and replace"
        ))
    })?;
    let usual = Shape::default();
    let shape = Shape {
        gateways: options.gateways.unwrap_or(usual.gateways),
        servers: options.servers.unwrap_or(usual.servers),
        seed: options.seed.unwrap_or(usual.seed),
        ..usual
    };
    if !(1..=1_000).contains(&shape.gateways) || !(10..=1_000).contains(&shape.servers) {
        return Err(usage(
            "a fleet has 1 to 1,000 gateways and 10 to 1,000 servers",
        ));
    }
    let totals = fleet::play(&shape, trouble);
    if options.json {
        println!("{}", serde_json::to_string(&totals).map_err(fault)?);
    } else {
        print!("{totals}");
    }
    Ok(())
}

fn scenario(path: &Path) -> Result<Scenario, Failure> {
    let text =
        std::fs::read_to_string(path).map_err(|e| fault(format!("{}: {e}", path.display())))?;
    Scenario::read(&text).map_err(|e| fault(format!("{}: {e}", path.display())))
}

fn seconds(mut scenario: Scenario, options: &Options) -> Result<Scenario, Failure> {
    if let Some(seconds) = options.seconds {
        scenario.seconds = seconds;
        scenario
            .check()
            .map_err(|e| usage(format!("--seconds: {e}")))?;
    }
    if let Some(path) = &options.shared {
        let text =
            std::fs::read_to_string(path).map_err(|e| fault(format!("{}: {e}", path.display())))?;
        let file = serde_json::from_str(&text).map_err(|e| usage(format!("--shared: {e}")))?;
        scenario.limiters.shared = Some(file);
    }
    Ok(scenario)
}

/// Set by SIGINT, SIGTERM and SIGHUP: the run ends, its report is written, and the limiters it started are ended.
/// Guards against limiters left running where the terminal of a run goes away.
fn stopped() -> Result<Arc<AtomicBool>, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGHUP,
    ] {
        // A second signal ends the program at once: nobody has to wait for a run that hangs.
        signal_hook::flag::register_conditional_shutdown(signal, 130, stop.clone())
            .map_err(fault)?;
        signal_hook::flag::register(signal, stop.clone()).map_err(fault)?;
    }
    Ok(stop)
}

/// Plays a scenario as the options say, prints and reports.
fn play(options: &Options, mut scenario: Scenario) -> Result<Summary, Failure> {
    if !options.targets.is_empty() {
        scenario.limiters.count = options.targets.len();
    }
    let seed = options.seed.unwrap_or(scenario.seed);
    let schedule = Schedule::lay(&scenario, seed, scenario.limiters.count);
    send(
        options,
        scenario,
        schedule,
        seed,
        options.report.as_deref(),
        stopped()?,
    )
}

fn send(
    options: &Options,
    scenario: Scenario,
    schedule: Schedule,
    seed: u64,
    folder: Option<&Path>,
    stop: Arc<AtomicBool>,
) -> Result<Summary, Failure> {
    if let Some(folder) = folder {
        // Before the run: a folder that can't be made should not cost one.
        std::fs::create_dir_all(folder).map_err(|e| fault(format!("{}: {e}", folder.display())))?;
    }
    let requests = schedule.requests.len();
    let mut trial = if options.targets.is_empty() {
        let program = options.limiter.clone().unwrap_or_else(trial::program);
        tracing::info!(
            limiters = scenario.limiters.count,
            nodes = scenario.world.nodes.count,
            "starting the world"
        );
        Some(Trial::start(&scenario, seed, &program, folder).map_err(fault)?)
    } else {
        None
    };
    let targets = trial
        .as_ref()
        .map_or_else(|| options.targets.clone(), Trial::targets);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = match scenario.generator.threads {
        0 => driver::threads_for(requests as f64 / scenario.seconds, cores),
        threads => threads,
    };
    let setup = Arc::new(Setup {
        scenario,
        schedule,
        targets: targets.len(),
        seed,
    });
    tracing::info!(
        requests,
        seconds = setup.scenario.seconds,
        threads,
        "sending"
    );
    let before = trial.as_ref().map(Trial::cpu_us);
    if let Some(trial) = &mut trial {
        trial.begin(&setup.scenario);
    }
    let progress = Progress {
        stop,
        ..Progress::default()
    };
    let outcomes = watched(&setup, &targets, threads, &progress)?;
    let mut summary = Summary::of(&setup, &outcomes);
    if let (Some(trial), Some(before)) = (trial, before) {
        let after = trial.cpu_us();
        summary.limiter_cpu_us = after
            .iter()
            .zip(&before)
            .map(|(a, b)| a.saturating_sub(*b))
            .collect();
        summary.world = Some(trial.stop());
    }
    if !summary.adds_up {
        return Err(fault(
            "the outcomes do not add up to what was offered: a fault of this program",
        ));
    }
    if let Some(folder) = folder {
        report::write(folder, &setup, &outcomes.tries, &summary).map_err(fault)?;
        tracing::info!(folder = %folder.display(), "report written");
    }
    if options.json {
        println!("{}", report::json(&summary));
    } else {
        print!("{}", summary.text());
    }
    Ok(summary)
}

/// Sends, with a bar on a terminal.
fn watched(
    setup: &Arc<Setup>,
    targets: &[SocketAddr],
    threads: usize,
    progress: &Progress,
) -> Result<Outcomes, Failure> {
    if !std::io::stderr().is_terminal() {
        return driver::run(setup, targets, threads, progress).map_err(fault);
    }
    let bar = ProgressBar::new(setup.schedule.requests.len() as u64);
    if let Ok(style) = ProgressStyle::with_template(
        "{wide_bar} {pos}/{len} requests, {msg} tries ended, {eta} left",
    ) {
        bar.set_style(style);
    }
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                bar.set_position(progress.taken.load(Ordering::Relaxed));
                bar.set_message(progress.ended.load(Ordering::Relaxed).to_string());
                std::thread::sleep(Duration::from_millis(200));
            }
            bar.finish_and_clear();
        });
        let outcomes = driver::run(setup, targets, threads, progress).map_err(fault);
        over.store(true, Ordering::Relaxed);
        outcomes
    })
}

fn compare(options: &Options, folders: &[&str]) -> Result<(), Failure> {
    let read = |folder: &&str| {
        report::read(Path::new(folder))
            .map(|s| (folder.to_string(), s))
            .map_err(fault)
    };
    let runs = folders.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    shown(options, "compare.html", report::compare(&runs))
}

fn shown(options: &Options, name: &str, (text, page): (String, String)) -> Result<(), Failure> {
    print!("{text}");
    if let Some(folder) = &options.report {
        std::fs::create_dir_all(folder).map_err(|e| fault(format!("{}: {e}", folder.display())))?;
        report::write_text(&folder.join(name), &page).map_err(fault)?;
    }
    Ok(())
}

/// Puts a value at a path such as `arrivals.0.rate` or `arrivals[0].rate`.
fn put(text: &mut Json, path: &str, value: Json) -> Result<(), Failure> {
    let parts: Vec<String> = path
        .replace('[', ".")
        .replace(']', "")
        .split('.')
        .map(str::to_string)
        .collect();
    let mut at = text;
    for part in &parts {
        at = match at {
            Json::Array(items) => {
                let item = part.parse::<usize>().ok().and_then(|k| items.get_mut(k));
                item.ok_or_else(|| usage(format!("--key: '{path}' leads nowhere at '{part}'")))?
            }
            Json::Object(keys) => keys.entry(part.clone()).or_insert(Json::Null),
            other => {
                *other = Json::Object(serde_json::Map::new());
                other
                    .as_object_mut()
                    .map(|keys| keys.entry(part.clone()).or_insert(Json::Null))
                    .ok_or_else(|| usage(path))?
            }
        };
    }
    *at = value;
    Ok(())
}

fn sweep(options: &Options, path: &Path) -> Result<(), Failure> {
    let (Some(key), Some(values)) = (&options.key, &options.values) else {
        return Err(usage("sweep needs --key and --values"));
    };
    let text =
        std::fs::read_to_string(path).map_err(|e| fault(format!("{}: {e}", path.display())))?;
    let base: Json = serde_json::from_str(&text)
        .map_err(|e| fault(format!("{}: not JSON: {e}", path.display())))?;
    let mut scenarios = Vec::new();
    for value in values.split(',').map(str::trim) {
        let mut text = base.clone();
        put(
            &mut text,
            key,
            serde_json::from_str(value).unwrap_or_else(|_| Json::String(value.to_string())),
        )?;
        // All are checked before the first one runs.
        let scenario = Scenario::read(&text.to_string())
            .map_err(|e| fault(format!("{key} = {value}: {e}")))?;
        scenarios.push((value.to_string(), seconds(scenario, options)?));
    }
    let stop = stopped()?;
    let mut runs = Vec::new();
    for (value, mut scenario) in scenarios {
        if !options.targets.is_empty() {
            scenario.limiters.count = options.targets.len();
        }
        let seed = options.seed.unwrap_or(scenario.seed);
        let schedule = Schedule::lay(&scenario, seed, scenario.limiters.count);
        let folder = options
            .report
            .as_ref()
            .map(|f| f.join(value.replace('/', "-")));
        println!("{key} = {value}");
        runs.push((
            value,
            send(
                options,
                scenario,
                schedule,
                seed,
                folder.as_deref(),
                stop.clone(),
            )?,
        ));
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    shown(options, "sweep.html", report::knee(key, &runs))
}

fn stand_ins(options: &Options, scenario: &Scenario) -> Result<(), Failure> {
    let seed = options.seed.unwrap_or(scenario.seed);
    let world =
        WorldServer::start(&scenario.world, seed, scenario.limiters.count).map_err(fault)?;
    let peers = trial::datagram_addresses(scenario.limiters.count).map_err(fault)?;
    for number in 0..scenario.limiters.count {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        println!(
            "{}",
            trial::configuration(scenario, seed, number, listen, &peers, &world)
        );
    }
    let stop = stopped()?;
    world.begin((scenario.seconds * 1e6) as crate::Micros);
    // As long as it is wanted; without --seconds until a signal.
    let until = options
        .seconds
        .map(|s| std::time::Instant::now() + Duration::from_secs_f64(s.clamp(0.0, 86_400.0)));
    while !stop.load(Ordering::Relaxed) && until.is_none_or(|at| std::time::Instant::now() < at) {
        std::thread::sleep(Duration::from_millis(50));
    }
    eprintln!(
        "{}",
        serde_json::to_string(&world.stop()).unwrap_or_default()
    );
    Ok(())
}
