//! A soak of the whole system on this host: the built programs under kills, pauses, shutdowns and lost answers that overlap,
//! with clients that keep their connections, two operators, and checks of what must hold all the time.
//!
//! | what must hold | when |
//! | --- | --- |
//! | a read of the configuration holds everything that was acknowledged before it was sent | always |
//! | a route that was acknowledged longer than `apply` ago is not refused with 404 | always, at every edge |
//! | a server that receives a request is told the tenant of its key | always, by every edge |
//! | a request runs by a version that may be in force | at edges in contact: without any fault for 5 s |
//! | an item is read with the content that was sent under its version | always |
//! | clients are led only to regions where all routes of their host may be served | always, by every replica |
//! | every route is served by its newest version | within 9 s of the end of orders, which go on for 8 s after the last fault, at every edge |
//! | nothing runs twice, nothing refused runs, every success is the server's own | always |
//! | the programs' own invariants; no program ends by itself | always |
//! | a request that a server is running is answered by it, or at its deadline | always, if all work is planned; in the last second of a grace period it may be cut |
//! | an upload gets its server's whole answer or none, however the server ends; a whole one is not lost with its connection | with servers that answer early, at edges that are not shutting down |
//! | a program that was told to end has ended by the end of the grace period; nothing comes to a server that has left | likewise |

mod checks;
mod directory;
mod faults;
mod ledger;
mod lost_disks;
mod operators;
mod releases;
mod shutdowns;
mod unframed_answers;
mod uploads;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use emulator::system::early_servers::{self, Handlings};
use emulator::system::machines::{programs_ignoring_file_size_signal, unused_net, zones};
use emulator::system::operator::Operator;
use emulator::system::test_system::{READ_PREFIX, SERVICES, Size, TestSystem, WRITE_PREFIX};
use emulator::system::wait_for;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::ledger::Ledger;
use self::uploads::{UploadCounts, Uploads};
use crate::shapes::instants;
use crate::system::clients::{Clients, Rules};

/// An edge is in contact this long after the last fault at it or at a control program.
const CONTACT: Duration = Duration::from_secs(5);
/// Everything is ready within this after the start.
const READY: Duration = Duration::from_secs(25);
/// Orders and requests go on for so long after contact is there again.
const CALM: Duration = Duration::from_secs(3);
/// Requests a second of the clients.
const RATE: f64 = 60.0;
/// Between two checks of one thread.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The same where edges are looked at while they start.
const SHORT_CHECK_INTERVAL: Duration = Duration::from_millis(8);
/// The share of requests that take longer than the target of their route, where all work is planned.
const SLOW_REQUESTS: f64 = 0.15;

/// What befalls the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Kills, pauses, cuts and shutdowns that overlap.
    Faults,
    /// Losses of power and disks, and disks that reject writes, with a configuration that no message holds whole.
    LostDisks,
    /// Planned work alone, in series that overlap: shutdowns, reloads and releases of servers, while servers are slow.
    Shutdowns,
    /// The same, with uploads to servers that answer early and end with unread input.
    EarlyAnswers,
}

impl Trouble {
    /// Draws the steps of a run, in the order in which they are due.
    fn draw(self, seed: u64, length: Duration, cores: usize, edges: usize) -> Vec<faults::Step> {
        match self {
            Trouble::Faults => faults::draw(seed, length, cores, edges),
            Trouble::LostDisks => lost_disks::draw(seed, length, cores, edges),
            Trouble::Shutdowns | Trouble::EarlyAnswers => {
                shutdowns::draw(seed, length, cores, edges)
            }
        }
    }

    /// Changes the configuration before the run.
    fn configure(self, operator: &mut Operator, seed: u64, until: Instant) -> Result<(), String> {
        match self {
            Trouble::Faults => Ok(()),
            Trouble::LostDisks => lost_disks::enlarge_configuration(operator, until),
            Trouble::Shutdowns => shutdowns::limit_tries(operator, seed, until),
            Trouble::EarlyAnswers => shutdowns::limit_tries(operator, seed, until)
                .and_then(|()| uploads::configure(operator, until)),
        }
    }

    /// The time between two requests of a check to an edge.
    fn check_interval(self) -> Duration {
        match self {
            Trouble::LostDisks => SHORT_CHECK_INTERVAL,
            Trouble::Faults | Trouble::Shutdowns | Trouble::EarlyAnswers => CHECK_INTERVAL,
        }
    }

    /// Whether the programs of the system see nothing but planned work.
    fn is_planned(self) -> bool {
        matches!(self, Trouble::Shutdowns | Trouble::EarlyAnswers)
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What befalls the programs.
    pub trouble: Trouble,
    /// For what is drawn by chance.
    pub seed: u64,
    /// How long faults begin, in seconds.
    pub seconds: f64,
    /// Zones, each with a control program.
    pub zones: usize,
    /// Edges in each.
    pub edges: usize,
    /// Where the built programs are.
    pub programs: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Steps of faults that were carried out.
    pub steps: usize,
    /// Orders that were acknowledged.
    pub acknowledged: usize,
    /// How often each check was made.
    pub checks: Vec<(&'static str, u64)>,
    /// What did not hold.
    pub violations: Vec<String>,
    /// The logs and settings of the programs, kept if something did not hold.
    pub logs: Option<PathBuf>,
}

impl Report {
    /// The line that a person reads, and the violations.
    pub fn text(&self) -> String {
        let checks = self.checks.iter();
        let checks: Vec<String> = checks
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        let mut lines = vec![format!(
            "{} steps of faults, {} orders acknowledged; checks: {}; {} violations",
            self.steps,
            self.acknowledged,
            checks.join(", "),
            self.violations.len()
        )];
        lines.extend(
            self.violations
                .iter()
                .map(|line| format!("  VIOLATED: {line}")),
        );
        let logs = self.logs.iter();
        lines.extend(logs.map(|folder| format!("  logs: {}", folder.display())));
        lines.join("\n")
    }
}

/// What the threads of a run share.
struct Shared {
    ledger: Ledger,
    /// No further orders are sent.
    orders_over: AtomicBool,
    over: AtomicBool,
    /// The last step of faults is done at this time.
    calm_since: Mutex<Option<Instant>>,
    reads: AtomicU64,
    refusals: AtomicU64,
    runs: AtomicU64,
    lookups: AtomicU64,
    contents: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl Shared {
    fn violate(&self, text: String) {
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.push(text);
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn is_in_contact(&self, at: Instant) -> bool {
        let calm_since = *self
            .calm_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        calm_since.is_some_and(|since| at > since + CONTACT)
    }
}

/// Plays it, or less of it once `stop` is set. Its child processes have ended when it returns.
///
/// # Errors
/// The system can't be started.
pub fn run(plan: &Plan, stop: &AtomicBool) -> Result<Report, String> {
    let folder = tempfile::TempDir::new().map_err(|e| format!("a folder for settings: {e}"))?;
    let size = Size {
        zones: plan.zones,
        edges: plan.edges,
        net: unused_net(),
    };
    let until = Instant::now() + READY;
    let programs = match plan.trouble {
        Trouble::LostDisks => programs_ignoring_file_size_signal(folder.path(), &plan.programs)
            .map_err(|error| format!("the programs: {error}"))?,
        Trouble::Faults | Trouble::Shutdowns | Trouble::EarlyAnswers => plan.programs.clone(),
    };
    let mut system = TestSystem::start(folder.path(), &programs, size, until)?;
    let (cores, edges) = (system.machines.cores(), system.machines.edges());
    let ctl: Vec<SocketAddr> = (0..cores).map(|core| system.machines.ctl(core)).collect();
    let http: Vec<SocketAddr> = (0..edges).map(|edge| system.machines.http(edge)).collect();
    let length = Duration::from_secs_f64(plan.seconds);
    let steps = plan.trouble.draw(plan.seed, length, cores, edges);
    let is_planned = plan.trouble.is_planned();
    let mut report = Report {
        steps: steps.len(),
        ..Report::default()
    };
    let shared = Shared {
        ledger: Ledger::default(),
        orders_over: AtomicBool::new(false),
        over: AtomicBool::new(false),
        calm_since: Mutex::new(None),
        reads: AtomicU64::new(0),
        refusals: AtomicU64::new(0),
        runs: AtomicU64::new(0),
        lookups: AtomicU64::new(0),
        contents: AtomicU64::new(0),
        violations: Mutex::new(Vec::new()),
    };
    plan.trouble
        .configure(&mut system.operator, plan.seed, until)?;
    let regions: Vec<String> = zones(plan.zones)
        .into_iter()
        .map(|(_, region)| region)
        .collect();
    directory::configure(&mut system.operator, &regions, until)?;
    let directories: Vec<SocketAddr> = (0..cores).map(|core| system.machines.dir(core)).collect();
    let in_region = |(edge, address): (usize, &SocketAddr)| directory::Place {
        address: *address,
        region: regions[edge % regions.len()].clone(),
    };
    let edge_places: Vec<directory::Place> = http.iter().enumerate().map(in_region).collect();
    let check_interval = plan.trouble.check_interval();
    let clients = clients(plan, &system, length + CONTACT + CALM);
    let mut shutdowns = Vec::new();
    let (handlings, sent_uploads) = (Handlings::default(), Uploads::default());
    let zone_names: Vec<String> = zones(plan.zones)
        .into_iter()
        .map(|(zone, _)| zone)
        .collect();
    let is_over = || shared.is_over();
    let (tries, wrong) = std::thread::scope(|scope| {
        let sending = scope.spawn(|| clients.run(stop));
        let operators: Vec<_> = (0..2_u64)
            .map(|number| {
                let (shared, ctl) = (&shared, ctl.clone());
                scope.spawn(move || operators::operate(shared, ctl, number, plan.seed))
            })
            .collect();
        for (edge, address) in http.iter().enumerate() {
            let (shared, seed) = (&shared, plan.seed * 1_000 + edge as u64);
            scope.spawn(move || checks::watch_edge(shared, *address, seed, check_interval));
        }
        scope.spawn(|| checks::watch_configuration(&shared, &ctl, plan.seed));
        scope.spawn(|| directory::watch(&shared, &directories, &edge_places, &regions, plan.seed));
        {
            let (shared, fleet) = (&shared, &system.fleet);
            scope.spawn(move || unframed_answers::inject(shared, fleet, plan.seed));
        }
        if plan.trouble == Trouble::EarlyAnswers {
            let service = (uploads::SERVICE, &zone_names[..]);
            let started = early_servers::serve(
                scope,
                &system.fleet,
                &handlings,
                service,
                uploads::SERVERS,
                &is_over,
            );
            if let Err(error) = started {
                shared.violate(format!("servers that answer early: {error}"));
            }
            scope.spawn(|| uploads::send(&shared, &sent_uploads, &http, plan.seed));
        }
        if is_planned {
            let (shared, fleet) = (&shared, &system.fleet);
            scope.spawn(move || releases::play(shared, fleet, plan.seed, length));
        }
        match faults::play(&mut system.machines, steps, Instant::now(), stop) {
            Ok((calm_since, ended)) => {
                shutdowns = ended;
                let mut calm = shared
                    .calm_since
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *calm = Some(calm_since);
            }
            Err(error) => shared.violate(error),
        }
        let calm_until = Instant::now() + CONTACT + CALM;
        let stopped = || stop.load(Ordering::Relaxed).then_some(());
        let was_stopped = wait_for(calm_until, stopped).is_some();
        shared.orders_over.store(true, Ordering::Relaxed);
        for operator in operators {
            report.acknowledged += operator.join().unwrap_or_default();
        }
        if !was_stopped {
            checks::check_settled(&shared, &system, &http);
        }
        shared.over.store(true, Ordering::Relaxed);
        sending.join().unwrap_or_default()
    });
    checks::check_requests(&shared, &system, &wrong);
    if is_planned {
        shutdowns::check(&shared, &system, &shutdowns, &wrong.given_up);
    }
    let upload_counts = UploadCounts::default();
    uploads::check(
        &shared,
        &sent_uploads,
        &handlings,
        &upload_counts,
        &shutdowns,
    );
    let own_checks = checks::check_programs(&shared, &http);
    for line in system.machines.unexpected_exits() {
        shared.violate(format!("ended by itself: {line}"));
    }
    report.checks = vec![
        ("reads", shared.reads.into_inner()),
        ("refusals", shared.refusals.into_inner()),
        ("runs", shared.runs.into_inner()),
        ("lookups", shared.lookups.into_inner()),
        ("contents", shared.contents.into_inner()),
        ("unframed answers", system.fleet.counts().faulty_answers),
        ("invariants", own_checks),
        ("tenants", system.fleet.counts().arrived),
    ];
    if plan.trouble == Trouble::EarlyAnswers {
        report.checks.extend(upload_counts.checks(&handlings));
    }
    if is_planned {
        let requests = tries.iter().filter(|ended| ended.sent.is_some());
        report.checks.extend([
            ("requests", requests.count() as u64),
            ("shutdowns", shutdowns.len() as u64),
        ]);
    }
    report.violations = shared.violations.into_inner().unwrap_or_default();
    if !report.violations.is_empty() {
        // What the programs still hold back of their logs is written when they end.
        system.machines.stop();
        report.logs = Some(folder.keep());
    }
    Ok(report)
}

/// Clients on the routes that never change.
fn clients(plan: &Plan, system: &TestSystem, length: Duration) -> Clients {
    let places = zones(plan.zones)
        .into_iter()
        .enumerate()
        .map(|(at, (zone, region))| {
            let replicas = (0..plan.zones).map(|n| system.machines.dir((at + n) % plan.zones));
            (zone, region, replicas.collect())
        });
    let allowed = HashMap::from([
        (READ_PREFIX, vec![SERVICES[0]]),
        (WRITE_PREFIX, vec![SERVICES[0]]),
    ]);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let rates = [(0.0, RATE), (length.as_secs_f64(), RATE)];
    let mut clients = Clients::new(
        instants(&rates, true, &mut rng),
        plan.seed,
        places.collect(),
        Rules {
            allowed,
            more: Vec::new(),
        },
    );
    clients.keeps_connections = true;
    if plan.trouble.is_planned() {
        clients.slow_share = SLOW_REQUESTS;
    }
    clients
}
