//! Hollow agents: many agents in one process, each with its own connections to real control programs, holding nothing.
//! They show what a control program spends on an agent: processor, memory, messages and bytes.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use dataplane::clock::Clock;
use emulator::system::machines::{Role, Usage, net};
use emulator::system::operator::Change;
use emulator::system::whole::{SERVICES, Size, Whole, route};
use protocol::connections::{ConnectionId, Connections, IoEvent};
use protocol::frames;
use protocol::items::Item;
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo, NodeState};

use super::{ACK, READY};

/// Between two beats of an agent to its control program, in microseconds: as the agent has it.
const BEAT: i64 = 400_000;
/// Beats between two questions for the limiters' clock on the link to the count.
const CLOCK_BEATS: u64 = 2;
/// Routes that one call of the operator sets.
const CALL_ROUTES: usize = 2_000;
/// Longest turn of the loop, in microseconds.
const TURN: i64 = 20_000;
/// The port of control programs for agents, the first of the settings' range.
const AGENTS_PORT: u16 = 7740;
/// The route by which a change is recognized.
const WATCHED: &str = "watched";
/// All agents have everything within this.
const WHOLE: Duration = Duration::from_secs(60);

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones, each of a region of its own, with a control program.
    pub zones: usize,
    /// Agents in all.
    pub agents: usize,
    /// Routes.
    pub items: usize,
    /// From when the last agent has everything until the calm is measured, in seconds: starts are told to all for a while.
    pub settle: f64,
    /// How long the calm is measured, in seconds.
    pub seconds: f64,
    /// Where the built programs are.
    pub programs: PathBuf,
}

/// What one control program spent in the calm, a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    /// Share of a core.
    pub processor: f64,
    /// Resident bytes at the end.
    pub resident: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// From the first connection until the last agent was told all.
    pub whole: Duration,
    /// Control programs, the busiest first.
    pub control: Vec<Spent>,
    /// Messages that all agents sent, and took in, a second of calm.
    pub messages: (f64, f64),
    /// Of those taken in, how many a second of each kind.
    pub kinds: BTreeMap<&'static str, f64>,
    /// Bytes that all agents took in, a second of calm.
    pub bytes: f64,
    /// From the order until its acknowledgement, and until the last agent had the change.
    pub change: (Duration, Duration),
    /// Links that ended without being told to.
    pub lost: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "all agents have everything after {} ms",
            self.whole.as_millis()
        )?;
        for spent in &self.control {
            let megabytes = spent.resident as f64 / 1e6;
            writeln!(
                f,
                "control program: {:.2}% of a core, {megabytes:.1} MB",
                spent.processor * 100.0
            )?;
        }
        let (sent, heard) = self.messages;
        writeln!(
            f,
            "agents: {sent:.0} messages/s sent, {heard:.0} taken in, {:.1} kB/s",
            self.bytes / 1e3
        )?;
        for (kind, rate) in &self.kinds {
            writeln!(f, "taken in: {rate:.1} {kind}/s")?;
        }
        let (acknowledged, in_force) = self.change;
        writeln!(
            f,
            "a change: acknowledged after {} ms, told to all agents after {} ms, links lost: {}",
            acknowledged.as_millis(),
            in_force.as_millis(),
            self.lost
        )
    }
}

#[derive(Clone, Debug)]
struct Hollow {
    edge: NodeInfo,
    control: SocketAddr,
    link: Option<ConnectionId>,
    count: Option<(ConnectionId, SocketAddr)>,
    beats: u64,
    due: i64,
    whole: bool,
    watched: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    sent: u64,
    heard: u64,
    bytes: u64,
    lost: u64,
}

struct Loop {
    wires: Connections,
    clock: Clock,
    /// How far the limiters' clock is ahead of this process's, as the control programs tell it.
    ahead: i64,
    agents: Vec<Hollow>,
    /// Whose connection it is.
    owners: HashMap<ConnectionId, usize>,
    traffic: Traffic,
    /// Messages that were taken in, by kind.
    kinds: BTreeMap<&'static str, u64>,
}

/// A message's kind, as the report names it.
fn kind(down: &ControlMessage) -> &'static str {
    match down {
        ControlMessage::ClusterView(_) => "who",
        ControlMessage::Items(items) if items.is_empty() => "heartbeats",
        ControlMessage::Items(_) => "items",
        ControlMessage::Servers { .. } => "servers",
        ControlMessage::Complete => "whole",
        ControlMessage::Totals { .. } | ControlMessage::NotCounted(_) => "totals",
        ControlMessage::Clock(_) => "time",
        ControlMessage::Levels { .. } => "levels",
    }
}

impl Loop {
    fn new(plan: &Plan, net: (u8, u8)) -> Result<Loop, String> {
        let clock = Clock::steady();
        let wires = Connections::new(&[]).map_err(|error| format!("opening the loop: {error}"))?;
        let now = clock.now();
        let agent = |number: usize| {
            let zone = number % plan.zones;
            Hollow {
                edge: NodeInfo {
                    name: format!("hollow-{number}"),
                    zone: format!("z{}", zone + 1),
                    region: format!("r{}", zone + 1),
                    http: SocketAddr::from(([127, 0, 9, 9], 8_686)),
                },
                control: SocketAddr::from(([127, net.0, net.1, 10 + zone as u8], AGENTS_PORT)),
                link: None,
                count: None,
                beats: 0,
                due: now + number as i64 * BEAT / plan.agents.max(1) as i64,
                whole: false,
                watched: 0,
            }
        };
        let agents = (0..plan.agents).map(agent).collect();
        Ok(Loop {
            wires,
            clock,
            ahead: 0,
            agents,
            owners: HashMap::new(),
            traffic: Traffic::default(),
            kinds: BTreeMap::new(),
        })
    }

    fn put(&mut self, key: ConnectionId, message: &AgentMessage) {
        if let Some(out) = self.wires.output(key) {
            frames::encode(out, message);
            self.traffic.sent += 1;
        }
    }

    fn connect(&mut self, agent: usize, to: SocketAddr) -> Option<ConnectionId> {
        // One that can't be opened is tried again at the next beat.
        let key = self.wires.connect(to, self.clock.now()).ok()?;
        self.owners.insert(key, agent);
        Some(key)
    }

    fn beat(&mut self, agent: usize) {
        self.agents[agent].beats += 1;
        let Some(link) = self.agents[agent].link else {
            let control = self.agents[agent].control;
            self.agents[agent].link = self.connect(agent, control);
            return;
        };
        self.put(link, &AgentMessage::Heartbeat(NodeState::Ready));
        let asks = self.agents[agent].beats.is_multiple_of(CLOCK_BEATS);
        if let Some((count, _)) = self.agents[agent].count.filter(|_| asks) {
            let now = self.clock.now();
            self.put(count, &AgentMessage::Clock(now + self.ahead));
        }
    }

    fn up(&mut self, agent: usize, key: ConnectionId) {
        let now = self.clock.now();
        if self.agents[agent].link == Some(key) {
            let edge = self.agents[agent].edge.clone();
            self.put(key, &AgentMessage::Hello(edge));
        }
        self.put(key, &AgentMessage::Clock(now + self.ahead));
    }

    fn heard(&mut self, agent: usize, down: ControlMessage) {
        *self.kinds.entry(kind(&down)).or_default() += 1;
        match down {
            ControlMessage::ClusterView(who) => {
                let holder = who.counter.map(|(at, _)| at);
                if self.agents[agent].count.map(|(_, at)| at) != holder {
                    if let Some((old, _)) = self.agents[agent].count.take() {
                        self.close(old);
                    }
                    let opened = holder.and_then(|at| Some((self.connect(agent, at)?, at)));
                    self.agents[agent].count = opened;
                }
            }
            ControlMessage::Items(items) => {
                let watched = |item: &&Item| item.name.name == WATCHED;
                let newest = items
                    .iter()
                    .filter(watched)
                    .map(|item| item.ver)
                    .max()
                    .unwrap_or_default();
                self.agents[agent].watched = self.agents[agent].watched.max(newest);
            }
            ControlMessage::Complete => self.agents[agent].whole = true,
            ControlMessage::Clock(time) => self.ahead = self.ahead.max(time - self.clock.now()),
            ControlMessage::Servers { .. }
            | ControlMessage::Totals { .. }
            | ControlMessage::NotCounted(_)
            | ControlMessage::Levels { .. } => {}
        }
    }

    fn close(&mut self, key: ConnectionId) {
        self.wires.close(key);
        self.owners.remove(&key);
    }

    fn came(&mut self, agent: usize, key: ConnectionId) {
        while let Some(wire) = self.wires.get_mut(key) {
            let before = wire.input.len();
            match frames::decode::<ControlMessage>(&mut wire.input) {
                Ok(Some(down)) => {
                    self.traffic.bytes += (before - wire.input.len()) as u64;
                    self.traffic.heard += 1;
                    self.heard(agent, down);
                }
                Ok(None) => return,
                Err(_) => return self.ended(agent, key),
            }
        }
    }

    fn ended(&mut self, agent: usize, key: ConnectionId) {
        self.traffic.lost += 1;
        self.close(key);
        let one = &mut self.agents[agent];
        one.link = one.link.filter(|link| *link != key);
        one.count = one.count.filter(|(count, _)| *count != key);
    }

    fn turn(&mut self, happenings: &mut Vec<IoEvent>) -> Result<(), String> {
        let clock = self.clock.clone();
        let until = Some(clock.now() + TURN);
        let waited = self.wires.wait(until, || clock.now(), happenings);
        waited.map_err(|error| format!("waiting: {error}"))?;
        for happening in std::mem::take(happenings) {
            let (IoEvent::Connected(key)
            | IoEvent::Received(key)
            | IoEvent::PeerClosed(key)
            | IoEvent::Failed(key)) = happening
            else {
                continue;
            };
            let Some(agent) = self.owners.get(&key).copied() else {
                continue;
            };
            match happening {
                IoEvent::Connected(key) => self.up(agent, key),
                IoEvent::Received(key) => self.came(agent, key),
                _ => self.ended(agent, key),
            }
        }
        let now = self.clock.now();
        for agent in 0..self.agents.len() {
            if self.agents[agent].due <= now {
                self.agents[agent].due += BEAT;
                self.beat(agent);
            }
        }
        self.wires.flush_all(happenings);
        Ok(())
    }

    /// Turns until all agents are so; gives how long it took.
    fn until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Hollow) -> bool,
    ) -> Result<Duration, String> {
        let (began, mut happenings) = (Instant::now(), Vec::new());
        while !self.agents.iter().all(&done) {
            let left = self.agents.iter().filter(|agent| !done(agent)).count();
            if began.elapsed() > limit {
                return Err(format!(
                    "{left} of {} agents are not there after {limit:?}",
                    self.agents.len()
                ));
            }
            self.turn(&mut happenings)?;
        }
        Ok(began.elapsed())
    }

    fn calm(&mut self, span: Duration) -> Result<Traffic, String> {
        let (began, mut happenings, before) = (Instant::now(), Vec::new(), self.traffic);
        while began.elapsed() < span {
            self.turn(&mut happenings)?;
        }
        let after = self.traffic;
        let (sent, heard) = (after.sent - before.sent, after.heard - before.heard);
        Ok(Traffic {
            sent,
            heard,
            bytes: after.bytes - before.bytes,
            lost: after.lost,
        })
    }
}

fn usages(whole: &Whole) -> Result<Vec<Usage>, String> {
    let usage = |number| {
        whole
            .machines
            .usage(Role::Control, number)
            .map_err(|error| error.to_string())
    };
    (0..whole.machines.cores()).map(usage).collect()
}

fn configure(whole: &mut Whole, items: usize) -> Result<(), String> {
    let numbers: Vec<usize> = (0..items).collect();
    for part in numbers.chunks(CALL_ROUTES) {
        let set = |change: Change, number: &usize| {
            change.set(
                "routes",
                &format!("r{number}"),
                1,
                route(&format!("/r{number}/"), SERVICES[0]),
            )
        };
        whole.operator.change(
            &part.iter().fold(Change::default(), set),
            Instant::now() + ACK,
        )?;
    }
    Ok(())
}

/// Measures it. All child processes have ended when it returns.
///
/// # Errors
/// The control programs can't be started, or the agents are not told all in time.
pub fn measure(plan: &Plan) -> Result<Report, String> {
    let folder =
        tempfile::TempDir::new().map_err(|error| format!("a folder for settings: {error}"))?;
    let net = net();
    let size = Size {
        zones: plan.zones,
        edges: 0,
        net,
    };
    let mut whole = Whole::start(folder.path(), &plan.programs, size, Instant::now() + READY)?;
    configure(&mut whole, plan.items)?;
    let mut agents = Loop::new(plan, net)?;
    let mut report = Report {
        whole: agents.until(WHOLE, |agent| agent.whole)?,
        ..Report::default()
    };

    agents.calm(Duration::from_secs_f64(plan.settle))?;
    let (before, began) = (usages(&whole)?, Instant::now());
    agents.kinds.clear();
    let traffic = agents.calm(Duration::from_secs_f64(plan.seconds))?;
    let (after, span) = (usages(&whole)?, began.elapsed().as_secs_f64());
    let spent = before.iter().zip(&after).map(|(before, after)| Spent {
        processor: (after.processor - before.processor).as_secs_f64() / span,
        resident: after.resident,
    });
    report.control = spent.collect();
    report
        .control
        .sort_by(|a, b| b.processor.total_cmp(&a.processor));
    report.messages = (traffic.sent as f64 / span, traffic.heard as f64 / span);
    report.kinds = agents
        .kinds
        .iter()
        .map(|(kind, count)| (*kind, *count as f64 / span))
        .collect();
    report.bytes = traffic.bytes as f64 / span;

    let change = Change::default().set("routes", WATCHED, 1, route("/watched/", SERVICES[0]));
    report.change = thread::scope(|scope| {
        let (began, operator) = (Instant::now(), &mut whole.operator);
        let order = scope.spawn(move || {
            operator
                .change(&change, began + ACK)
                .map(|()| began.elapsed())
        });
        let told = agents.until(ACK, |agent| agent.watched > 0);
        let acknowledged = order
            .join()
            .map_err(|_| "the operator's thread failed".to_string())?;
        Ok::<_, String>((acknowledged?, told?))
    })?;
    report.lost = traffic.lost;
    let wrong = whole.machines.stop();
    if wrong.is_empty() {
        Ok(report)
    } else {
        Err(wrong.join("\n"))
    }
}
