//! A soak of the whole system on this host: the built programs under kills, pauses, shutdowns and lost answers that overlap,
//! with clients that keep their connections, two operators, and checks of what must hold all the time.
//!
//! | what must hold | when |
//! | --- | --- |
//! | a read of the configuration holds everything that was acknowledged before it was sent | always |
//! | a route that was acknowledged longer than `apply` ago is not refused with 404 | always, at every edge |
//! | a server that receives a request is told the tenant of its key | always, by every edge |
//! | a request runs by a version that may be in force | at edges in contact: without any fault for 5 s |
//! | every route is served by its newest version | within 9 s of the end of orders, which go on for 8 s after the last fault, at every edge |
//! | nothing runs twice, nothing refused runs, every success is the server's own | always |
//! | the programs' own invariants; no program ends by itself | always |
//! | a request that a server is running is answered by it, or at its deadline | always, if all work is planned; in the last second of a grace period it may be cut |
//! | a program that was told to end has ended by the end of the grace period; nothing comes to a server that has left | likewise |

mod faults;
mod ledger;
mod lost_disks;
mod releases;
mod shutdowns;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, Failure, Reply, call};
use emulator::system::machines::{programs_ignoring_file_size_signal, unused_net, zones};
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{
    READ_PREFIX, SERVICES, Size, TestSystem, WRITE_PREFIX, request_headers, route,
};
use emulator::system::wait_for;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use self::ledger::{Ledger, RouteHistory};
use crate::shapes::instants;
use crate::system::clients::{Clients, Rules};

/// What was acknowledged is in force within this, as the settings' `apply` has it.
const APPLY: Duration = Duration::from_secs(4);
/// An edge is in contact this long after the last fault at it or at a control program.
const CONTACT: Duration = Duration::from_secs(5);
/// After the last fault everything is in force within this.
const SETTLE: Duration = Duration::from_secs(9);
/// Everything is ready within this after the start.
const READY: Duration = Duration::from_secs(25);
/// Orders and requests go on for so long after contact is there again.
const CALM: Duration = Duration::from_secs(3);
/// An operator gives up an order after this.
const ORDER: Duration = Duration::from_secs(8);
/// Requests a second of the clients.
const RATE: f64 = 60.0;
/// Between two checks of one thread.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The same where edges are looked at while they start.
const SHORT_CHECK_INTERVAL: Duration = Duration::from_millis(8);
/// Routes of each operator: so many that a version mostly lasts longer than `APPLY`, or anything would be allowed.
const ROUTES: usize = 40;
/// The share of requests that take longer than the target of their route, where all work is planned.
const SLOW_REQUESTS: f64 = 0.15;
/// The share of the orders that set a route; the others remove one.
const SET_ORDERS: f64 = 0.6;
/// The share of the orders that are first sent without waiting for the answer.
const LOST_ANSWERS: f64 = 0.3;
/// Ports of the reports of agents and proxies.
const METRICS_PORTS: [u16; 2] = [
    protocol::metrics::AGENT_METRICS_PORT,
    protocol::metrics::PROXY_METRICS_PORT,
];

/// What befalls the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Kills, pauses, cuts and shutdowns that overlap.
    Faults,
    /// Losses of power and disks, and disks that reject writes, with a configuration that no message holds whole.
    LostDisks,
    /// Planned work alone, in series that overlap: shutdowns, reloads and releases of servers, while servers are slow.
    Shutdowns,
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
        Trouble::Faults | Trouble::Shutdowns => plan.programs.clone(),
    };
    let mut whole = TestSystem::start(folder.path(), &programs, size, until)?;
    let (cores, edges) = (whole.machines.cores(), whole.machines.edges());
    let ctl: Vec<SocketAddr> = (0..cores).map(|core| whole.machines.ctl(core)).collect();
    let http: Vec<SocketAddr> = (0..edges).map(|edge| whole.machines.http(edge)).collect();
    let length = Duration::from_secs_f64(plan.seconds);
    let steps = match plan.trouble {
        Trouble::Faults => faults::draw(plan.seed, length, cores, edges),
        Trouble::LostDisks => lost_disks::draw(plan.seed, length, cores, edges),
        Trouble::Shutdowns => shutdowns::draw(plan.seed, length, cores, edges),
    };
    let is_planned = plan.trouble == Trouble::Shutdowns;
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
        violations: Mutex::new(Vec::new()),
    };
    match plan.trouble {
        Trouble::Faults => {}
        Trouble::LostDisks => lost_disks::enlarge_configuration(&mut whole.operator, until)?,
        Trouble::Shutdowns => shutdowns::limit_tries(&mut whole.operator, plan.seed, until)?,
    }
    let check_interval = match plan.trouble {
        Trouble::LostDisks => SHORT_CHECK_INTERVAL,
        Trouble::Faults | Trouble::Shutdowns => CHECK_INTERVAL,
    };
    let clients = clients(plan, &whole, length + CONTACT + CALM);
    let mut shutdowns = Vec::new();
    let (tries, wrong) = std::thread::scope(|scope| {
        let sending = scope.spawn(|| clients.run(stop));
        let operators: Vec<_> = (0..2_u64)
            .map(|number| {
                let (shared, ctl) = (&shared, ctl.clone());
                scope.spawn(move || operate(shared, ctl, number, plan.seed))
            })
            .collect();
        for (edge, address) in http.iter().enumerate() {
            let (shared, seed) = (&shared, plan.seed * 1_000 + edge as u64);
            scope.spawn(move || watch_edge(shared, *address, seed, check_interval));
        }
        scope.spawn(|| watch_configuration(&shared, &ctl, plan.seed));
        if is_planned {
            let (shared, fleet) = (&shared, &whole.fleet);
            scope.spawn(move || releases::play(shared, fleet, plan.seed, length));
        }
        match faults::play(&mut whole.machines, steps, Instant::now(), stop) {
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
            check_settled(&shared, &whole, &http);
        }
        shared.over.store(true, Ordering::Relaxed);
        sending.join().unwrap_or_default()
    });
    for what in wrong.mixed.iter() {
        shared.violate(format!("an answer that is not the server's: {what}"));
    }
    let counts = whole.fleet.counts();
    if counts.without_tenant > 0 {
        shared.violate(format!(
            "{} requests reached a server without the tenant of their key",
            counts.without_tenant
        ));
    }
    if counts.repeated_mutating > 0 {
        shared.violate(format!("{} requests ran twice", counts.repeated_mutating));
    }
    for id in wrong
        .refused
        .iter()
        .filter(|id| whole.fleet.run_count(id) > 0)
    {
        shared.violate(format!("{id} was refused and ran"));
    }
    if is_planned {
        shutdowns::check(&shared, &whole, &shutdowns, &wrong.given_up);
    }
    let own_checks = check_programs(&shared, &http);
    for line in whole.machines.unexpected_exits() {
        shared.violate(format!("ended by itself: {line}"));
    }
    report.checks = vec![
        ("reads", shared.reads.into_inner()),
        ("refusals", shared.refusals.into_inner()),
        ("runs", shared.runs.into_inner()),
        ("invariants", own_checks),
        ("tenants", counts.arrived),
    ];
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
        whole.machines.stop();
        report.logs = Some(folder.keep());
    }
    Ok(report)
}

/// Clients on the routes that never change.
fn clients(plan: &Plan, whole: &TestSystem, length: Duration) -> Clients {
    let places = zones(plan.zones)
        .into_iter()
        .enumerate()
        .map(|(at, (zone, region))| {
            let replicas = (0..plan.zones).map(|n| whole.machines.dir((at + n) % plan.zones));
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
    if plan.trouble == Trouble::Shutdowns {
        clients.slow_share = SLOW_REQUESTS;
    }
    clients
}

/// Adds, moves and removes routes one after the other; some orders are first sent by somebody who does not wait for the
/// answer. Gives how many were acknowledged.
fn operate(shared: &Shared, ctl: Vec<SocketAddr>, number: u64, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 2 + number);
    let mut operator = Operator::new(ctl.clone());
    let (mut version, mut acknowledged) = (1, 0);
    while !shared.orders_over.load(Ordering::Relaxed) {
        version += rng.random_range(1..4);
        let name = format!("soak-{number}-{}", rng.random_range(0..ROUTES));
        let prefix = format!("/{name}/");
        let service = SERVICES
            .choose(&mut rng)
            .copied()
            .filter(|_| rng.random::<f64>() < SET_ORDERS);
        let change = match service {
            Some(service) => {
                Change::default().set("routes", &name, version, route(&prefix, service))
            }
            None => Change::default().drop("routes", &name, version),
        };
        shared.ledger.record_sent(&name, &prefix, version, service);
        if rng.random::<f64>() < LOST_ANSWERS
            && let Some(to) = ctl.choose(&mut rng)
        {
            send_and_leave(*to, &change, rng.random_range(0..20));
        }
        if operator.change(&change, Instant::now() + ORDER).is_ok() {
            shared.ledger.record_acknowledged(&name, version);
            acknowledged += 1;
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..400)));
    }
    acknowledged
}

/// Sends an order whose answer nobody reads.
fn send_and_leave(to: SocketAddr, change: &Change, stays_ms: u64) {
    let until = Instant::now() + Duration::from_secs(1);
    if let Ok(mut connection) = Connection::open(to, until) {
        let body = change.body();
        let head = format!(
            "POST /api/cfg/patch HTTP/1.1\r\nHost: core\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        // It is of no interest whether it arrives.
        let _ = connection.send(format!("{head}{body}").as_bytes(), until);
        std::thread::sleep(Duration::from_millis(stays_ms));
    }
}

/// Sends requests on the operators' routes to one edge, on a connection that is kept until it is gone.
fn watch_edge(shared: &Shared, edge: SocketAddr, seed: u64, interval: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut connection, mut number) = (None, 0_u64);
    while !shared.is_over() {
        std::thread::sleep(interval);
        let Some(route) = shared.ledger.routes().choose(&mut rng).cloned() else {
            continue;
        };
        number += 1;
        let id = format!("soak-{seed}-{number}");
        let sent_at = Instant::now();
        let answer = ask(&mut connection, edge, &route.prefix, &id);
        if let Ok(reply) = answer {
            check_answer(shared, edge, &route.name, sent_at, &reply);
        }
    }
}

fn ask(
    connection: &mut Option<Connection>,
    edge: SocketAddr,
    prefix: &str,
    id: &str,
) -> Result<Reply, Failure> {
    let until = Instant::now() + Duration::from_secs(3);
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(edge, until)?,
    };
    let request = format!(
        "GET {prefix}x HTTP/1.1\r\n{}\r\n",
        request_headers(id, 3_000)
    );
    open.send(request.as_bytes(), until)?;
    let reply = open.read_reply(until)?;
    *connection = Some(open).filter(|_| !reply.close);
    Ok(reply)
}

fn service_of(reply: &Reply) -> String {
    let text = reply.text();
    text.split(' ').next().unwrap_or_default().to_string()
}

fn check_answer(shared: &Shared, edge: SocketAddr, name: &str, sent_at: Instant, reply: &Reply) {
    // As it stands after the answer: a change sent meanwhile may be in force.
    let routes = shared.ledger.routes();
    let Some(route) = routes.iter().find(|route| route.name == name) else {
        return;
    };
    let (services, may_be_refused) = route.allowed(sent_at, APPLY);
    match reply.status {
        401 | 403 | 404 => {
            shared.refusals.fetch_add(1, Ordering::Relaxed);
            if !may_be_refused {
                shared.violate(format!(
                    "{edge} {name}: {} although it was acknowledged: {route:?}",
                    reply.status
                ));
            }
        }
        200 if shared.is_in_contact(sent_at) => {
            shared.runs.fetch_add(1, Ordering::Relaxed);
            let service = service_of(reply);
            if !services.contains(&service.as_str()) {
                shared.violate(format!("{edge} {name}: run by {service}: {route:?}"));
            }
        }
        _ => {}
    }
}

/// Reads the configuration at all replicas by turns: everything that was acknowledged before is there.
fn watch_configuration(shared: &Shared, ctl: &[SocketAddr], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    while !shared.is_over() {
        std::thread::sleep(CHECK_INTERVAL);
        let Some(to) = ctl.choose(&mut rng) else {
            return;
        };
        let (sent_at, known) = (Instant::now(), shared.ledger.routes());
        let until = sent_at + Duration::from_millis(1_500);
        let Ok(reply) = call(*to, "GET", "/api/cfg/get", "", b"", until) else {
            continue;
        };
        let Some(versions) = Some(&reply)
            .filter(|reply| reply.status == 200)
            .and_then(read_versions)
        else {
            continue;
        };
        shared.reads.fetch_add(1, Ordering::Relaxed);
        for route in &known {
            check_read(
                shared,
                *to,
                route,
                sent_at,
                versions.get(&route.name).copied(),
            );
        }
    }
}

fn read_versions(reply: &Reply) -> Option<HashMap<String, u64>> {
    let body: Value = serde_json::from_slice(reply.body()).ok()?;
    let version = |item: &Value| {
        let name = item["meta"]["name"].as_str()?;
        Some((name.to_string(), item["meta"]["ver"].as_u64()?))
    };
    Some(
        body["objs"]
            .as_array()?
            .iter()
            .filter_map(version)
            .collect(),
    )
}

fn check_read(
    shared: &Shared,
    from: SocketAddr,
    route: &RouteHistory,
    sent_at: Instant,
    read: Option<u64>,
) {
    let Some(least) = route.acknowledged_before(sent_at) else {
        return;
    };
    let later = route
        .versions
        .iter()
        .filter(|version| version.number >= least.number);
    let may_be_absent = later.clone().any(|version| version.service.is_none());
    let holds = match read {
        Some(version) => version >= least.number,
        // The ledger may not have had the removal when it was looked at before the read.
        None => {
            may_be_absent
                || shared.ledger.routes().iter().any(|now| {
                    now.name == route.name
                        && now
                            .versions
                            .iter()
                            .any(|v| v.number > least.number && v.service.is_none())
                })
        }
    };
    if !holds {
        shared.violate(format!("{from} read {} as {read:?}: {route:?}", route.name));
    }
}

/// After the last fault each edge serves each route by its newest version.
fn check_settled(shared: &Shared, whole: &TestSystem, http: &[SocketAddr]) {
    let until = Instant::now() + SETTLE;
    let (mut rng, mut number) = (ChaCha8Rng::seed_from_u64(7), 0_u64);
    for (edge, address) in http.iter().enumerate() {
        if wait_for(until, || whole.machines.is_ready(edge).then_some(())).is_none() {
            shared.violate(format!(
                "edge {edge} is not ready {SETTLE:?} after the last fault"
            ));
        }
        for route in shared
            .ledger
            .routes()
            .iter()
            .filter(|route| route.is_settled())
        {
            let newest = route.versions.last().and_then(|version| version.service);
            let mut last = String::new();
            let served = wait_for(until, || {
                number += 1;
                let id = format!("settled-{}-{number}", rng.random::<u32>());
                let reply = ask(&mut None, *address, &route.prefix, &id).ok()?;
                last = format!("{} {}", reply.status, service_of(&reply).trim_end());
                let is_right = match newest {
                    Some(service) => reply.status == 200 && service_of(&reply) == service,
                    None => reply.status == 404,
                };
                is_right.then_some(())
            });
            if served.is_none() {
                shared.violate(format!(
                    "edge {edge} does not serve {route:?} by its newest version: {last}"
                ));
            }
        }
    }
}

/// The programs' own invariants: how often they were checked. A violated one is a violation of the run.
fn check_programs(shared: &Shared, http: &[SocketAddr]) -> u64 {
    let mut checks = 0;
    for (address, port) in http
        .iter()
        .flat_map(|a| METRICS_PORTS.map(|port| (*a, port)))
    {
        let to = SocketAddr::new(address.ip(), port);
        let until = Instant::now() + Duration::from_secs(2);
        let Ok(reply) = call(to, "GET", "/metrics", "", b"", until) else {
            shared.violate(format!("{to} reports no figures"));
            continue;
        };
        for line in reply
            .text()
            .lines()
            .filter(|line| line.starts_with("invariant_"))
        {
            let (name, value) = line.split_once(' ').unwrap_or_default();
            let value: u64 = value.parse().unwrap_or_default();
            if name.ends_with("_checks_total") {
                checks += value;
            } else if value > 0 {
                shared.violate(format!("{to}: {line}"));
            }
        }
    }
    checks
}
