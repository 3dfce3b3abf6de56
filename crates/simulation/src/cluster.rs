//! A cluster in one process: cores with links that drop, delay, reorder, double and cut, disks that sync late, machines
//! that lose power or their disk, and edges (see [`crate::edges`]). The clock is driven, each machine's own steady clock
//! starts anywhere and goes a little fast or slow, and all chance comes from one seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use control::core::ids::{Incarnation, SingletonRole};
use control::core::peer_messages::PeerMessage;
use control::core::{Input, Output, Record, Replica, ReplicaMetadata};
use control::operator_api::{Command, Reply};
use protocol::items::ItemName;
use protocol::messages::{AgentMessage, ControlMessage};

use crate::chance::{Chance, Steady};
use crate::disk::Disk;
use crate::edges::{Conn, Due, EDGES, Edge, Grants, Issued};
pub use crate::harm::Bug;
use crate::harm::Harm;

mod leave;
mod lines;
mod links;
mod machines;
mod watch;

pub use self::lines::{assert_timeline, service, timeline};

/// A millisecond, in microseconds.
pub const MS: i64 = 1_000;
/// A second.
pub const SECOND: i64 = 1_000_000;

/// Stated: most events a second of one machine or edge. A play that goes in circles ends by it.
pub const EVENTS: usize = 800;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When.
    pub at: i64,
    /// The rule, in a word.
    pub rule: &'static str,
    /// What was seen.
    pub text: String,
}

/// The names of so many zones, in order; two to a region.
pub fn zones(count: usize) -> Vec<String> {
    let name = |at: usize| match u8::try_from(at) {
        Ok(at) if count <= 26 => char::from(b'a' + at).to_string(),
        _ => format!("z{at:02}"),
    };
    (0..count).map(name).collect()
}

/// A machine of the core.
pub struct Node {
    /// Its replica: the place of its zone.
    pub zone: usize,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The process, while it runs.
    pub core: Option<Replica>,
    /// Its disk.
    pub disk: Disk,
    /// Starts of its process.
    pub incarnation: u64,
    /// When its process last started.
    pub(crate) started_at: i64,
    /// Its steady clock.
    pub clock: Steady,
    /// It stands still; what comes waits.
    pub frozen: bool,
    stood: i64,
    /// It was told to end, and when.
    pub stopping: Option<i64>,
    /// It is started again once it has ended.
    again: bool,
    /// When its disk was lost last.
    wiped: Option<i64>,
    /// Each input takes it this much longer.
    pub slow: i64,
    /// With when each came.
    inbox: VecDeque<(i64, Input)>,
    busy: i64,
    peers: Vec<SocketAddr>,
    tick: i64,
    /// What was told on links that no edge of the cluster has.
    pub told: Vec<(u64, ControlMessage)>,
    second: (i64, u32),
    /// Most messages that it sent in one second.
    pub most: u32,
    /// Bytes of state transfers that came to it since its process started.
    pub transferred: u64,
}

pub(crate) enum Event {
    PeerMessage(usize, usize, Box<PeerMessage>),
    Synced(usize, u64, u64),
    Tick(usize, i64),
    Work(usize, u64),
    Feed(usize, u64, Box<Input>),
    End(usize, u64),
    Dial,
    Resend(usize, u64, SocketAddr, Box<PeerMessage>),
    Up(u64),
    ToReplica(u64, AgentMessage),
    ToEdge(u64, ControlMessage),
    Lost(u64),
    Gone(u64),
    Edge(usize, u64, Due),
}

/// A replica told an edge that what it has sent is the whole configuration of some time since the replica's start.
#[derive(Clone, Debug)]
pub(crate) struct CompletenessClaim {
    pub(crate) edge: usize,
    /// When the replica's process started.
    pub(crate) started_at: i64,
    /// The versions that the edge's agent had then.
    pub(crate) versions: BTreeMap<ItemName, u64>,
}

/// The cluster.
pub struct Cluster {
    /// The instant, in microseconds; no program sees it.
    pub now: i64,
    /// The machines of the core, in the order in which they came.
    pub nodes: Vec<Node>,
    /// The edges.
    pub edges: Vec<Edge>,
    /// For what is drawn here.
    pub chance: Chance,
    pub(crate) seed: u64,
    pub(crate) zones: Vec<String>,
    events: BTreeMap<(i64, u64), Event>,
    order: u64,
    links: BTreeSet<(usize, usize)>,
    drawn: BTreeMap<(usize, usize), u64>,
    pub(crate) conns: BTreeMap<u64, Conn>,
    /// Pairs of machines between which nothing goes, one way; edges come after [`EDGES`].
    pub cuts: BTreeSet<(usize, usize)>,
    /// Of a thousand messages, those that are lost...
    pub drops: u64,
    /// ...those that come twice...
    pub twice: u64,
    /// ...and the most that one is late beyond its way.
    pub late: u64,
    /// What is sent to a machine before the first instant arrives at the second.
    pub held: BTreeMap<usize, (i64, i64)>,
    /// The most that a sync takes beyond half a millisecond.
    pub sync: u64,
    /// Answers to calls, and when they came.
    pub answers: BTreeMap<u64, (i64, Reply)>,
    calls: u64,
    /// Terms of each duty, and who held them.
    pub terms: BTreeMap<(SingletonRole, u64), usize>,
    /// One content for one version.
    pub contents: BTreeMap<(ItemName, u64), Option<String>>,
    shown: BTreeMap<(usize, u64, ItemName), u64>,
    /// Since when more than one polls.
    pollers: Option<i64>,
    /// Edges that were told that they have a whole configuration, not checked yet.
    pub(crate) completeness_claims: Vec<CompletenessClaim>,
    /// Rules that were broken.
    pub faults: Vec<Fault>,
    /// Deliberate harm.
    pub bug: Option<Bug>,
    /// What the fleet let through.
    pub grants: Grants,
    /// Messages that were sent.
    pub peer_messages: u64,
    /// Requests a second of the first tenant at each edge.
    pub load: u64,
    /// Requests a second of the surging tenant at each edge.
    pub surge: u64,
    /// What operators have sent...
    pub issued: Issued,
    /// ...of these items.
    pub names: Vec<ItemName>,
    pub(crate) conn: u64,
    pub(crate) harm: Harm,
    /// Events of this second.
    events_of: (i64, usize),
    /// Most events in a second.
    pub busiest: usize,
}

impl Cluster {
    /// Six replicas at their first start.
    pub fn new(seed: u64) -> Cluster {
        Cluster::with(seed, 6, None)
    }

    /// So many replicas at their first start.
    pub fn with(seed: u64, replicas: usize, bug: Option<Bug>) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            nodes: Vec::new(),
            edges: Vec::new(),
            chance: Chance::new(seed),
            seed,
            zones: zones(replicas),
            events: BTreeMap::new(),
            order: 0,
            links: BTreeSet::new(),
            drawn: BTreeMap::new(),
            conns: BTreeMap::new(),
            cuts: BTreeSet::new(),
            drops: 0,
            twice: 0,
            late: 0,
            held: BTreeMap::new(),
            sync: 5_000,
            answers: BTreeMap::new(),
            calls: 0,
            terms: BTreeMap::new(),
            contents: BTreeMap::new(),
            shown: BTreeMap::new(),
            pollers: None,
            completeness_claims: Vec::new(),
            faults: Vec::new(),
            bug,
            grants: Grants::default(),
            peer_messages: 0,
            load: 0,
            surge: 0,
            issued: Issued::default(),
            names: Vec::new(),
            conn: 0,
            harm: Harm::default(),
            events_of: (0, 0),
            busiest: 0,
        };
        for zone in 0..replicas {
            let at = cluster.add(zone);
            let own = ReplicaMetadata {
                incarnation: Incarnation::FIRST,
                ..ReplicaMetadata::default()
            };
            cluster.nodes[at].disk.own = own;
        }
        (0..replicas).for_each(|at| cluster.start(at));
        cluster.enter(0, Event::Dial);
        cluster
    }

    /// A rule was broken; the first few are kept.
    pub fn fault(&mut self, rule: &'static str, text: String) {
        if self.faults.len() < 16 {
            self.faults.push(Fault {
                at: self.now,
                rule,
                text,
            });
        }
    }

    pub(crate) fn enter(&mut self, at: i64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    /// An operator's call at a machine; gives its number.
    pub fn call(&mut self, at: usize, command: Command) -> u64 {
        self.calls += 1;
        let call = self.calls;
        if self.nodes[at].core.is_some() {
            let deadline =
                self.nodes[at].clock.at(self.now) + self.off(at) + control::limits::CALL_TIMEOUT;
            // Each again and again, as if it were another: what is held for calls grows.
            let times = if self.has(Bug::Calls) { 40 } else { 0 };
            for time in 1..=times {
                self.feed(
                    at,
                    Input::OperatorCall(call + (time << 40), command.clone(), deadline),
                );
            }
            self.feed(at, Input::OperatorCall(call, command, deadline));
        }
        call
    }

    /// A call that waits for its answer.
    pub fn ask(&mut self, at: usize, command: Command) -> Option<Reply> {
        let call = self.call(at, command);
        let end = self.now + SECOND;
        while self.now < end && !self.answers.contains_key(&call) && !self.stuck() {
            self.step(end);
        }
        self.reply(call)
    }

    /// The answer to a call.
    pub fn reply(&self, call: u64) -> Option<Reply> {
        self.answers.get(&call).map(|(_, reply)| reply.clone())
    }

    /// Hands an input to a machine's core, now or when it comes to it.
    pub fn feed(&mut self, at: usize, input: Input) {
        let node = &mut self.nodes[at];
        if node.core.is_none() {
            return;
        }
        if node.frozen || node.slow > 0 || !node.inbox.is_empty() {
            node.inbox.push_back((self.now, input));
            node.busy = node.busy.max(self.now) + node.slow;
            let (when, incarnation) = (node.busy, node.incarnation);
            return self.enter(when, Event::Work(at, incarnation));
        }
        self.handle(at, input);
    }

    fn handle(&mut self, at: usize, input: Input) {
        let now = self.now;
        let off = self.off(at);
        let node = &mut self.nodes[at];
        let Some(core) = node.core.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        core.step(node.clock.at(now) + off, input, &mut out);
        let next = node.clock.when(core.wake_at() - off);
        if next <= now {
            self.fault(
                "turn",
                format!("machine {at} wants to be called again at once, without end"),
            );
        }
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        if node.tick <= now || next < node.tick {
            node.tick = next.max(now + 1);
            let tick = node.tick;
            self.enter(tick, Event::Tick(at, tick));
        }
        for output in out {
            match output {
                Output::SendToReplicas(to, peer_message) => {
                    self.sent(at, to.len() as u32);
                    to.iter()
                        .for_each(|to| self.deliver(at, *to, &peer_message));
                }
                Output::Peers(peers) => self.nodes[at].peers = peers,
                Output::Write(number, rows) => self.write(at, incarnation, number, rows),
                Output::Answer(call, reply) => {
                    for (call, reply) in self.harmed_answer(call, reply) {
                        self.answers.insert(call, (now, reply));
                    }
                }
                Output::SendToAgents(links, down) => {
                    for link in links {
                        if self.conns.contains_key(&link) {
                            self.tell(link, down.clone());
                        } else if self.edges.is_empty() {
                            self.nodes[at].told.push((link, down.clone()));
                        }
                    }
                }
                Output::Log(_) => {}
            }
        }
        self.check(at);
    }

    fn sent(&mut self, at: usize, peer_messages: u32) {
        let second = self.now / SECOND;
        self.peer_messages += u64::from(peer_messages);
        let node = &mut self.nodes[at];
        if node.second.0 != second {
            node.second = (second, 0);
        }
        node.second.1 += peer_messages;
        node.most = node.most.max(node.second.1);
    }

    fn write(&mut self, at: usize, incarnation: u64, number: u64, rows: Vec<Record>) {
        let now = self.now;
        let spent = 500 + self.draw(at, at) % self.sync.max(1);
        let node = &mut self.nodes[at];
        let votes = rows.iter().all(|row| matches!(row, Record::Register(..)));
        node.disk.waiting.push_back((number, rows));
        let when = (now + spent as i64).max(node.disk.stalled);
        if self.has(Bug::Written) && votes && self.draw(at, at).is_multiple_of(4) {
            self.harm.unreported.insert((at, incarnation, number));
        }
        if self.has(Bug::Sync) {
            self.enter(
                now + 1,
                Event::Feed(at, incarnation, Box::new(Input::WriteCompleted(number))),
            );
            return self.enter(when + 2 * SECOND, Event::Synced(at, incarnation, number));
        }
        self.enter(when, Event::Synced(at, incarnation, number));
    }

    /// More events in a second than a play may have: it goes no further.
    pub fn stuck(&self) -> bool {
        self.events_of.1 > EVENTS * (self.nodes.len() + self.edges.len())
    }

    /// Lets the next event happen, if it comes before `end`.
    pub fn step(&mut self, end: i64) {
        let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        else {
            self.now = end;
            return;
        };
        let ((at, _), event) = entry.remove_entry();
        self.now = self.now.max(at);
        let second = self.now / SECOND;
        if self.events_of.0 != second {
            self.events_of = (second, 0);
        }
        self.events_of.1 += 1;
        self.busiest = self.busiest.max(self.events_of.1);
        if self.stuck() {
            self.fault("turn", format!("{} events in a second", self.events_of.1));
        }
        self.happen(event);
    }

    fn runs(&self, at: usize, incarnation: u64) -> bool {
        self.nodes[at].incarnation == incarnation && self.nodes[at].core.is_some()
    }

    pub(crate) fn happen(&mut self, event: Event) {
        match event {
            Event::PeerMessage(from, to, peer_message) => {
                if !self.cuts.contains(&(from, to)) {
                    let address = self.nodes[from].address;
                    let peer_message = self.harmed(from, to, *peer_message);
                    self.feed(to, Input::PeerMessage(address, peer_message));
                }
            }
            Event::Synced(at, incarnation, number) => {
                let node = &mut self.nodes[at];
                if node.incarnation != incarnation || node.core.is_none() || node.disk.full {
                    return;
                }
                if node.disk.stalled > self.now {
                    let when = node.disk.stalled;
                    return self.enter(when, Event::Synced(at, incarnation, number));
                }
                for number in node.disk.sync(number) {
                    if !self.harm.unreported.remove(&(at, incarnation, number)) {
                        self.feed(at, Input::WriteCompleted(number));
                    }
                }
            }
            Event::Tick(at, tick) if self.nodes[at].tick == tick && !self.nodes[at].frozen => {
                self.feed(at, Input::Tick);
            }
            Event::Tick(..) => {}
            Event::Work(at, incarnation) => {
                if self.runs(at, incarnation)
                    && !self.nodes[at].frozen
                    && let Some((_, input)) = self.nodes[at].inbox.pop_front()
                {
                    self.handle(at, input);
                }
            }
            Event::Feed(at, incarnation, input) if self.runs(at, incarnation) => {
                self.feed(at, *input)
            }
            Event::Feed(..) => {}
            Event::End(at, incarnation) if self.runs(at, incarnation) => self.may_end(at),
            Event::End(..) => {}
            Event::Dial => self.dial(),
            Event::Resend(from, incarnation, to, peer_message) if self.runs(from, incarnation) => {
                self.sent(from, 1);
                self.deliver(from, to, &peer_message);
            }
            Event::Resend(..) => {}
            other => self.edge_event(other),
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: i64) {
        self.run_to(self.now + span);
    }

    /// Lets time pass until then.
    pub fn run_to(&mut self, end: i64) {
        while self.now < end && !self.stuck() {
            self.step(end);
        }
    }

    /// Nothing goes between an edge and a machine, either way.
    pub(crate) fn apart(&self, edge: usize, node: usize) -> bool {
        self.cuts.contains(&(EDGES + edge, node)) || self.cuts.contains(&(node, EDGES + edge))
    }
}
