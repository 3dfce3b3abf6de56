//! Replicas and agents on driven time, with all that they say counted: links with a way and a width, disks that take a
//! while, no troubles.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agent::config_cache::ConfigCache;
use agent::replica_selection::{HOME_RETRY_INTERVAL, ReplicaSelection};
use control::core::ids::{Ballot, Incarnation};
use control::core::peer_messages::PeerMessage;
use control::core::registers::Register;
use control::core::transfer::TransferLimits;
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::{Command, Reply};
use protocol::digests::Digests;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo, NodeState};
use serde::Serialize;

use super::agent::{Agent, News};
use crate::cluster::{MS, SECOND};

/// Bytes a microsecond that a machine sends, and as many that it takes in: a gigabit a second.
const WIDTH: i64 = 125;
/// A write is on disk after this.
const SYNC: i64 = 2 * MS;
/// An agent's beat, and its asking for the limiters' clock.
const BEAT: i64 = 400 * MS;
const ASK_TIME: i64 = 2 * SECOND;
/// A lost link is opened anew after this.
const AGAIN: i64 = 100 * MS;
/// Above this many copies of items agents only count.
const COPIES: usize = 200_000;

/// What a process has sent and taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages taken in.
    pub got: u64,
    /// Their bytes.
    pub got_bytes: u64,
}

/// A replica.
pub struct SimulatedReplica {
    /// The process, while it runs.
    pub core: Option<Replica>,
    /// What it said and heard.
    pub traffic: Traffic,
    /// Time of this machine's processor that its core took.
    pub spent: Duration,
    /// The longest that one input took.
    pub longest: Duration,
    zone: usize,
    address: SocketAddr,
    offset: i64,
    tick: i64,
    peers: Vec<SocketAddr>,
    ends: (i64, i64),
}

enum Event {
    PeerMessage(usize, usize, Rc<PeerMessage>),
    Written(usize, u64),
    Tick(usize, i64),
    Dial,
    Open(usize),
    Up(usize, u64, AgentMessage),
    Down(usize, u64, News),
    Gone(usize, u64),
    Lost(usize, u64),
    Beat(usize),
    Home(usize),
}

/// How large it is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Replicas.
    pub cores: usize,
    /// Limiters, each with its agent.
    pub limiters: usize,
    /// Routes and tenants.
    pub items: usize,
}

/// All of it.
pub struct World {
    /// The instant, in microseconds.
    pub now: i64,
    /// The replicas' machines.
    pub replicas: Vec<SimulatedReplica>,
    /// The agents.
    pub agents: Vec<Agent>,
    /// What agents said and heard.
    pub told: Vec<Traffic>,
    /// The item that is watched, and its version.
    pub watched: (ItemName, u64),
    /// Answers to calls, and when.
    pub answers: BTreeMap<u64, (i64, Reply)>,
    /// How large it is.
    pub size: Size,
    zones: Vec<String>,
    base: Digests,
    events: BTreeMap<(i64, u64), Event>,
    order: u64,
    linked: BTreeSet<(usize, usize)>,
    /// Links of agents that are up, by number: the agent and the replica.
    conns: BTreeMap<u64, (usize, usize)>,
    places: BTreeMap<SocketAddr, usize>,
    number: u64,
    /// Longest message between replicas, in bytes.
    pub longest: i64,
}

fn bytes<T: Serialize>(message: &T) -> i64 {
    // The length before it, and for a message the kind of what is said.
    let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
    5 + size.unwrap_or_default() as i64
}

/// The disk of a replica on which these items are chosen, each under a ballot of its version.
pub(super) fn on_disk(cores: usize, all: &[Item]) -> RecoveredState {
    let ballot = |item: &Item| Ballot {
        round: item.ver,
        ..Ballot::default()
    };
    let register = |item: &Item| {
        let ballot = ballot(item);
        (
            item.name.clone(),
            Register {
                promised_ballot: ballot,
                accepted_value: Some((ballot, item.clone())),
            },
        )
    };
    RecoveredState {
        metadata: ReplicaMetadata {
            incarnation: Incarnation::FIRST,
            run: 1,
            incarnations: vec![Incarnation::FIRST; cores],
            ..ReplicaMetadata::default()
        },
        registers: all.iter().map(register).collect(),
        chosen: all
            .iter()
            .map(|item| (ballot(item), item.clone()))
            .collect(),
    }
}

/// The items of a configuration: one service, half routes, half tenants.
pub(super) fn items(count: usize) -> Vec<Item> {
    let item = |kind, name: String, spec: String| Item {
        name: ItemName { kind, name },
        ver: 1,
        spec: Some(spec),
    };
    let one = |at: usize| match at {
        0 => item(
            ItemKind::Service,
            "svc".to_string(),
            r#"{"hcheck":"/h","maxconn":110}"#.to_string(),
        ),
        at if at % 2 == 0 => item(
            ItemKind::Tenant,
            format!("tenant-{at:06}"),
            format!(
                r#"{{"apikeys":["key-{at:06}-aaaaaaaaaaaaaaaa"],"prio":1,"per_s":50,"burst":100,"pins":[]}}"#
            ),
        ),
        at => item(
            ItemKind::Route,
            format!("route-{at:06}"),
            format!(
                r#"{{"host":"h{at}.example","prefix":"/p{at}/","kind":"idem","timeout":"3000ms","target_time":"500ms","prio":1,"svc":"svc","tries":3,"public":false,"pins":[]}}"#
            ),
        ),
    };
    (0..count.max(1)).map(one).collect()
}

impl World {
    /// Replicas that start with all on disk, and agents that start with them.
    pub fn new(size: Size) -> World {
        World::with(size, &items(size.items))
    }

    /// The same with these items on the replicas' disks.
    pub fn with(size: Size, all: &[Item]) -> World {
        let zones: Vec<String> = (0..size.cores).map(|at| format!("z{at:03}")).collect();
        let mut world = World {
            now: 0,
            replicas: Vec::new(),
            agents: Vec::new(),
            told: Vec::new(),
            watched: (
                ItemName {
                    kind: ItemKind::Service,
                    name: "svc".to_string(),
                },
                u64::MAX,
            ),
            answers: BTreeMap::new(),
            size,
            zones,
            base: Digests::default(),
            events: BTreeMap::new(),
            order: 0,
            linked: BTreeSet::new(),
            conns: BTreeMap::new(),
            places: BTreeMap::new(),
            number: 0,
            longest: 0,
        };
        all.iter()
            .for_each(|item| world.base.toggle(&item.name, Digests::item_digest(item)));
        for zone in 0..size.cores {
            world.replica(zone, on_disk(size.cores, all));
        }
        for limiter in 0..size.limiters {
            world.agent(limiter % size.cores, (limiter * 937) as i64 % SECOND);
        }
        world.enter(0, Event::Dial);
        world
    }

    /// A machine at a replica; gives its number.
    pub fn replica(&mut self, zone: usize, restored: RecoveredState) -> usize {
        let at = self.replicas.len();
        let address = SocketAddr::from(([10, 0, zone as u8, (at / 200) as u8], 7000 + at as u16));
        let seeds = self.seeds();
        let setup = ReplicaConfig {
            zones: self.zones.clone(),
            zone: self.zones[zone].clone(),
            address: Some(address),
            seed_addresses: seeds,
            random_seed: 77 + at as u64,
            recovered: restored,
            transfer_limits: TransferLimits::default(),
        };
        let offset = 1_000 * SECOND + at as i64 * 7_919;
        let core = Replica::new(self.now + offset, setup);
        let peers = core.peer_addresses();
        self.places.insert(address, at);
        self.replicas.push(SimulatedReplica {
            core: Some(core),
            traffic: Traffic::default(),
            spent: Duration::ZERO,
            longest: Duration::ZERO,
            zone,
            address,
            offset,
            tick: i64::MAX,
            peers,
            ends: (0, 0),
        });
        self.feed(at, Input::Tick);
        at
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let first = (0..self.size.cores.min(3))
            .map(|zone| SocketAddr::from(([10, 0, zone as u8, 0], 7000 + zone as u16)));
        first.collect()
    }

    /// An agent in a zone, that starts after so long; gives its number.
    pub fn agent(&mut self, zone: usize, after: i64) -> usize {
        let at = self.agents.len();
        let region = |zone: usize| format!("r{:02}", zone / 2);
        let edge = NodeInfo {
            name: format!("edge-{at:05}"),
            zone: self.zones[zone].clone(),
            region: region(zone),
            http_address: SocketAddr::from((
                [10, 1 + (at >> 16) as u8, (at >> 8) as u8, at as u8],
                8080,
            )),
        };
        let regions = self
            .zones
            .iter()
            .enumerate()
            .map(|(at, zone)| (zone.clone(), region(at)));
        let mut links = ReplicaSelection::new(&edge.zone, &edge.region, regions.collect(), at);
        links.set_seeds(self.seeds());
        let counts = self.size.items * self.size.limiters > COPIES;
        self.agents.push(Agent {
            edge,
            links,
            known: (!counts || at.is_multiple_of(50)).then(ConfigCache::default),
            link: None,
            count: None,
            items: 0,
            whole: false,
            homed: false,
            done: None,
            seen: None,
            holder: None,
            asked: 0,
        });
        self.told.push(Traffic::default());
        self.enter(self.now + after, Event::Open(at));
        self.enter(self.now + after + BEAT, Event::Beat(at));
        self.enter(self.now + after + HOME_RETRY_INTERVAL, Event::Home(at));
        at
    }

    fn enter(&mut self, at: i64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn way(&self, one: usize, other: usize) -> i64 {
        if one / 2 == other / 2 { 900 } else { 55 * MS }
    }

    /// When so many bytes have left a replica, and have come in at another one.
    fn carried(&mut self, from: usize, to: usize, size: i64) -> i64 {
        let way = self.way(self.replicas[from].zone, self.replicas[to].zone);
        let left = self.replicas[from].ends.0.max(self.now) + size / WIDTH;
        self.replicas[from].ends.0 = left;
        let come = (left + way).max(self.replicas[to].ends.1) + size / WIDTH;
        self.replicas[to].ends.1 = come;
        come
    }

    /// Hands an input to a replica's core.
    pub fn feed(&mut self, at: usize, input: Input) {
        let now = self.now;
        let replica = &mut self.replicas[at];
        let Some(core) = replica.core.as_mut() else {
            return;
        };
        let (mut out, start) = (Vec::new(), Instant::now());
        core.step(now + replica.offset, input, &mut out);
        let next = core.wake_at() - replica.offset;
        let spent = start.elapsed();
        replica.spent += spent;
        replica.longest = replica.longest.max(spent);
        if replica.tick <= now || next < replica.tick {
            replica.tick = next.max(now + 1);
            let tick = replica.tick;
            self.enter(tick, Event::Tick(at, tick));
        }
        for output in out {
            match output {
                Output::SendToReplicas(to, peer_message) => self.send(at, to, peer_message),
                Output::Peers(peers) => self.replicas[at].peers = peers,
                Output::Write(number, _) => self.enter(now + SYNC, Event::Written(at, number)),
                Output::Answer(call, reply) => _ = self.answers.insert(call, (now, reply)),
                Output::SendToAgents(links, down) => self.tell(at, links, down),
                Output::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: Vec<SocketAddr>, peer_message: PeerMessage) {
        let (size, peer_message) = (bytes(&peer_message), Rc::new(peer_message));
        self.longest = self.longest.max(size);
        for to in to
            .iter()
            .filter_map(|to| self.places.get(to).copied())
            .collect::<Vec<_>>()
        {
            if self.linked.contains(&(from, to)) {
                let come = self.carried(from, to, size);
                let traffic = &mut self.replicas[from].traffic;
                (traffic.sent, traffic.sent_bytes) =
                    (traffic.sent + 1, traffic.sent_bytes + size as u64);
                let traffic = &mut self.replicas[to].traffic;
                (traffic.got, traffic.got_bytes) =
                    (traffic.got + 1, traffic.got_bytes + size as u64);
                self.enter(come, Event::PeerMessage(from, to, peer_message.clone()));
            }
        }
    }

    fn tell(&mut self, from: usize, links: Vec<u64>, down: ControlMessage) {
        let size = bytes(&down) - 1;
        let light = match &down {
            ControlMessage::Items(items) => {
                let found = items
                    .iter()
                    .find(|item| item.name == self.watched.0)
                    .map(|item| item.ver);
                Some(News::Items(items.len(), found))
            }
            _ => None,
        };
        let whole = News::Whole(Rc::new(down));
        for link in links {
            let Some((agent, _)) = self.conns.get(&link).copied() else {
                continue;
            };
            let traffic = &mut self.replicas[from].traffic;
            (traffic.sent, traffic.sent_bytes) =
                (traffic.sent + 1, traffic.sent_bytes + size as u64);
            let traffic = &mut self.told[agent];
            (traffic.got, traffic.got_bytes) = (traffic.got + 1, traffic.got_bytes + size as u64);
            let left = self.replicas[from].ends.0.max(self.now) + size / WIDTH;
            self.replicas[from].ends.0 = left;
            let home = self.agent_zone(agent);
            let come = left + self.way(self.replicas[from].zone, home) + size / WIDTH;
            let news = match &light {
                Some(light) if self.agents[agent].known.is_none() => light.clone(),
                _ => whole.clone(),
            };
            self.enter(come, Event::Down(agent, link, news));
        }
    }

    fn agent_zone(&self, agent: usize) -> usize {
        let zone = &self.agents[agent].edge.zone;
        self.zones.binary_search(zone).unwrap_or_default()
    }

    fn say(&mut self, agent: usize, (link, replica): (u64, usize), up: AgentMessage) {
        let size = bytes(&up) - 1;
        let traffic = &mut self.told[agent];
        (traffic.sent, traffic.sent_bytes) = (traffic.sent + 1, traffic.sent_bytes + size as u64);
        let traffic = &mut self.replicas[replica].traffic;
        (traffic.got, traffic.got_bytes) = (traffic.got + 1, traffic.got_bytes + size as u64);
        let way = self.way(self.agent_zone(agent), self.replicas[replica].zone);
        self.enter(self.now + way, Event::Up(replica, link, up));
    }

    /// Opens a link of an agent; gives it, once it is up, or nothing where nobody is there.
    fn connect(&mut self, agent: usize, to: SocketAddr) -> Option<(u64, usize)> {
        let replica = *self.places.get(&to)?;
        self.replicas[replica].core.as_ref()?;
        self.number += 1;
        self.conns.insert(self.number, (agent, replica));
        Some((self.number, replica))
    }

    fn open(&mut self, agent: usize) {
        if self.agents[agent].link.is_some() {
            return;
        }
        let Some(attempt) = self.agents[agent].links.next_attempt() else {
            return self.enter(self.now + AGAIN, Event::Open(agent));
        };
        let to = attempt.address;
        let Some(link) = self.connect(agent, to) else {
            self.agents[agent].links.skip_past(to);
            return self.enter(self.now + AGAIN, Event::Open(agent));
        };
        self.agents[agent].link = Some(link);
        self.greet(agent, link);
    }

    fn greet(&mut self, agent: usize, link: (u64, usize)) {
        let item = |ver| Item {
            name: self.watched.0.clone(),
            ver,
            spec: None,
        };
        let all = self.size.items.max(1);
        let have = self.agents[agent].have(all, &self.base, &[item(1), item(2)]);
        let one = &mut self.agents[agent];
        one.items = if have.is_some() { one.items } else { 0 };
        one.whole = false;
        for up in one.greeting(have) {
            self.say(agent, link, up);
        }
    }

    fn close(&mut self, agent: usize, (link, replica): (u64, usize)) {
        self.conns.remove(&link);
        let way = self.way(self.agent_zone(agent), self.replicas[replica].zone);
        self.enter(self.now + way, Event::Gone(replica, link));
    }

    fn down(&mut self, agent: usize, link: u64, news: News) {
        if !self.conns.contains_key(&link) {
            return;
        }
        let main = self.agents[agent].link.is_some_and(|(own, _)| own == link);
        if main {
            let watched = self.watched.clone();
            let news_came = match &news {
                News::Items(count, _) => *count > 0,
                News::Whole(down) => {
                    matches!(&**down, ControlMessage::Items(items) if !items.is_empty())
                }
            };
            self.agents[agent].hear(
                self.now,
                news,
                self.size.items.max(1),
                (&watched.0, watched.1),
            );
            if let Some(held) = news_came.then_some(self.agents[agent].items) {
                self.hold(agent, held);
            }
            let homed = self.agents[agent].links.home_replica().is_none()
                || std::mem::replace(&mut self.agents[agent].homed, true);
            if !homed {
                self.try_home(agent);
            }
        }
        let wanted = self.agents[agent]
            .holder
            .and_then(|at| self.places.get(&at).copied());
        let has = self.agents[agent].count;
        if wanted.is_some() && has.map(|(_, replica)| replica) != wanted {
            if let Some(old) = has {
                self.close(agent, old);
            }
            let to = self.agents[agent].holder;
            self.agents[agent].count = to.and_then(|to| self.connect(agent, to));
            if let Some(link) = self.agents[agent].count {
                self.say(agent, link, AgentMessage::Clock(0));
            }
        }
    }

    fn beat(&mut self, agent: usize) {
        self.enter(self.now + BEAT, Event::Beat(agent));
        if let Some(link) = self.agents[agent].link {
            self.say(agent, link, AgentMessage::Heartbeat(NodeState::Ready));
        }
        if self.now - self.agents[agent].asked >= ASK_TIME {
            self.agents[agent].asked = self.now;
            let one = &self.agents[agent];
            let held = one.items;
            for link in [one.count, one.link].into_iter().flatten() {
                self.say(agent, link, AgentMessage::Clock(0));
            }
            self.hold(agent, held);
        }
    }

    /// An agent says what it holds. Nobody asks for how far it lags here: only how long the message is matters.
    fn hold(&mut self, agent: usize, items: usize) {
        if let Some(link) = self.agents[agent].link {
            self.say(
                agent,
                link,
                AgentMessage::ConfigState {
                    item_count: items as u32,
                    digest: u64::MAX,
                },
            );
        }
    }

    fn home(&mut self, agent: usize) {
        self.enter(self.now + HOME_RETRY_INTERVAL, Event::Home(agent));
        self.try_home(agent);
    }

    fn try_home(&mut self, agent: usize) {
        let home = self.agents[agent].links.home_replica();
        let Some((old, home)) = self.agents[agent].link.zip(home) else {
            return;
        };
        if self.replicas[old.1].address == home {
            return;
        }
        let Some(link) = self.connect(agent, home) else {
            return;
        };
        // The old link goes as the new one has told who is who: here, as it is up.
        self.close(agent, old);
        self.agents[agent].link = Some(link);
        self.greet(agent, link);
    }

    /// Ends a replica's process; agents see their links go.
    pub fn kill(&mut self, replica: usize) {
        self.replicas[replica].core = None;
        self.linked
            .retain(|(one, other)| *one != replica && *other != replica);
        let lost: Vec<(u64, usize)> = self
            .conns
            .iter()
            .filter(|(_, (_, at))| *at == replica)
            .map(|(link, (agent, _))| (*link, *agent))
            .collect();
        for (link, agent) in lost {
            let way = self.way(self.agent_zone(agent), self.replicas[replica].zone);
            self.enter(self.now + way, Event::Lost(agent, link));
        }
    }

    fn lost(&mut self, agent: usize, link: u64) {
        self.conns.remove(&link);
        let one = &mut self.agents[agent];
        if one.count.is_some_and(|(own, _)| own == link) {
            one.count = None;
        }
        if let Some((_, replica)) = one.link.filter(|(own, _)| *own == link) {
            one.link = None;
            let address = self.replicas[replica].address;
            one.links.skip_past(address);
            self.enter(self.now + AGAIN, Event::Open(agent));
        }
    }

    fn dial(&mut self) {
        let mut fresh = Vec::new();
        for (at, replica) in self
            .replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| replica.core.is_some())
        {
            let peers = replica
                .peers
                .iter()
                .filter_map(|peer| self.places.get(peer).copied());
            let up = peers.filter(|peer| *peer != at && self.replicas[*peer].core.is_some());
            fresh.extend(
                up.filter(|peer| !self.linked.contains(&(at, *peer)))
                    .map(|peer| (at, peer)),
            );
        }
        for (at, peer) in fresh {
            if self.linked.insert((at, peer)) {
                self.linked.insert((peer, at));
                for (one, other) in [(at, peer), (peer, at)] {
                    let address = self.replicas[other].address;
                    self.feed(one, Input::PeerConnected(address));
                }
            }
        }
        self.enter(self.now + 100 * MS, Event::Dial);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::PeerMessage(from, to, peer_message) => {
                let address = self.replicas[from].address;
                self.feed(
                    to,
                    Input::PeerMessage(address, Rc::unwrap_or_clone(peer_message)),
                );
            }
            Event::Written(replica, number) => self.feed(replica, Input::WriteCompleted(number)),
            Event::Tick(replica, tick) if self.replicas[replica].tick == tick => {
                self.feed(replica, Input::Tick)
            }
            Event::Tick(..) => {}
            Event::Dial => self.dial(),
            Event::Open(agent) => self.open(agent),
            Event::Up(replica, link, up) if self.conns.contains_key(&link) => {
                self.feed(replica, Input::AgentMessage(link, up))
            }
            Event::Up(..) => {}
            Event::Down(agent, link, news) => self.down(agent, link, news),
            Event::Gone(replica, link) => self.feed(replica, Input::AgentDisconnected(link)),
            Event::Lost(agent, link) => self.lost(agent, link),
            Event::Beat(agent) => self.beat(agent),
            Event::Home(agent) => self.home(agent),
        }
    }

    /// Lets time pass until `done` or for `span`; gives when it was done.
    pub fn until(&mut self, span: i64, done: impl Fn(&World) -> bool) -> Option<i64> {
        let end = self.now + span;
        let mut look = self.now;
        while let Some((at, _)) = self.events.keys().next().copied()
            && at <= end
        {
            if at >= look {
                // Looked at each 5 ms: it is dear with thousands of agents.
                look = at + 5 * MS;
                if done(self) {
                    return Some(self.now);
                }
            }
            // Hazard: an event that is taken out has to happen, or what repeats itself ends with it.
            let Some((_, event)) = self.events.pop_first() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
        done(self).then_some(end)
    }

    /// An operators' call at a replica; gives its number.
    pub fn call(&mut self, replica: usize, command: Command) -> u64 {
        self.number += 1;
        let (call, deadline) = (
            self.number,
            self.now + self.replicas[replica].offset + control::limits::CALL_TIMEOUT,
        );
        self.feed(replica, Input::OperatorCall(call, command, deadline));
        call
    }
}
