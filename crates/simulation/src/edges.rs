//! The edges of a cluster: an agent with agent's `Links` and `Known`, and a proxy with proxy's `ConfigStore`, `ServerTable` and
//! `RequestRouter`. What their hosts do around these, without sockets, is done here; loopback takes no time.

mod agents;
mod proxies;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use agent::config_cache::ConfigCache;
use agent::replica_selection::{HOME_RETRY_INTERVAL, ReplicaSelection};
use dataplane::clock::STEADY_CLOCK_START;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{CounterAdd, NodeState};
use protocol::settings::Bounds;
use proxy::config_store::ConfigStore;
use proxy::router::{RequestKey, RequestRouter};
use proxy::server_table::ServerTable;
use slotmap::SlotMap;

use crate::chance::{Steady, mix};
use crate::cluster::{Cluster, Event, MS, SECOND};

/// In cuts, edges are numbered from here.
pub const EDGES: usize = 1_000;
/// The host that all requests are for, and the service of the route.
pub const HOST: &str = "h.example";
/// The prefix of the route that the load takes.
pub const PREFIX: &str = "/load/";
/// The service of that route.
pub const BASE: &str = "base";

const BEAT: i64 = 400 * MS;
const AGAIN: i64 = 100 * MS;
const CONNECT: i64 = 400 * MS;
const COUNT_WAIT: i64 = 300 * MS;
const LOAD: i64 = 50 * MS;
/// The rules' window, and what may pass in it beyond rate and burst.
const WINDOW: i64 = 5 * SECOND;
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A tenant that the load plays: requests a second and on top.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests a second.
    pub per_s: f64,
    /// On top.
    pub burst: f64,
}

/// The tenants of the load: the first asks at all edges, the second at one; the third only where a schedule lets it surge.
pub const LIMITS: [Limit; 3] = [
    Limit {
        per_s: 40.0,
        burst: 20.0,
    },
    Limit {
        per_s: 30.0,
        burst: 30.0,
    },
    Limit {
        per_s: 120.0,
        burst: 120.0,
    },
];
/// The tenant that surges.
pub const SURGING: usize = 2;

/// What the fleet let through, by tenant.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    sent: [VecDeque<i64>; LIMITS.len()],
    /// Requests that were asked, let through, and refused.
    pub asked: u64,
    /// Let through.
    pub passed: u64,
    /// The worst window over what is allowed in it.
    pub worst: f64,
}

impl Grants {
    /// A request of a tenant was sent. Gives the requests of the window and what is allowed, if it is too many.
    fn sent(&mut self, now: i64, tenant: usize) -> Option<(usize, f64)> {
        let sent = &mut self.sent[tenant];
        while sent.front().is_some_and(|first| now - first > WINDOW) {
            sent.pop_front();
        }
        sent.push_back(now);
        self.passed += 1;
        let limit = LIMITS[tenant];
        let most = (limit.per_s * (WINDOW / SECOND) as f64 + limit.burst) * (1.0 + OVER) + SLACK;
        self.worst = self.worst.max(sent.len() as f64 / most);
        (sent.len() as f64 > most).then_some((sent.len(), most))
    }

    /// What a tenant had in the last window, over its rate.
    pub fn share(&self, now: i64, tenant: usize) -> f64 {
        let had = self.sent[tenant]
            .iter()
            .filter(|at| now - **at <= WINDOW)
            .count();
        had as f64 / (LIMITS[tenant].per_s * (WINDOW / SECOND) as f64)
    }
}

/// A connection of an agent to a machine of the core.
pub(crate) struct Conn {
    edge: usize,
    incarnation: u64,
    pub(crate) node: usize,
    node_incarnation: u64,
    up: bool,
    /// Bytes were lost on it: nothing more comes through.
    dead: bool,
    /// The machine heard something on it last.
    heard: i64,
}

/// What is due at an edge.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Due {
    Look,
    Again,
    CountAgain,
    Home,
    Connect(u64),
    Batch(u64),
    Load,
    Wake,
}

struct Link {
    conn: u64,
    to: SocketAddr,
    told: bool,
    astray: Option<i64>,
    heard: i64,
}

struct Agent {
    links: ReplicaSelection,
    known: ConfigCache,
    link: Option<Link>,
    homeward: Option<(u64, SocketAddr)>,
    count: Option<(u64, SocketAddr, u64)>,
    /// Something came on the link to the count last.
    counted: i64,
    batches: BTreeMap<u64, (u64, u64)>,
    batch: u64,
    /// The limiters' clock was asked for last.
    asked_last: i64,
    standing: NodeState,
}

struct Batch {
    number: u64,
    names: Vec<u64>,
    expired: bool,
}

struct Proxy {
    incarnation: u64,
    config_store: ConfigStore,
    server_table: ServerTable,
    router: RequestRouter,
    keys: SlotMap<RequestKey, usize>,
    told: bool,
    adds: Vec<CounterAdd>,
    batches: VecDeque<Batch>,
    batch: u64,
    wake: i64,
    /// The versions that its behaviour has shown.
    shown: BTreeMap<ItemName, u64>,
    list: u64,
    /// The limiters' clock less the machine's.
    ahead: i64,
}

/// An edge: a machine with an agent and a proxy.
pub struct Edge {
    /// Its zone's place.
    pub zone: usize,
    /// Starts of its processes.
    pub incarnation: u64,
    /// They run.
    pub up: bool,
    /// They stand still.
    pub frozen: bool,
    /// A beat of it last came to a machine of the core.
    pub heard: i64,
    clock: Steady,
    inbox: VecDeque<Event>,
    agent: Agent,
    proxy: Proxy,
}

/// What the operators have sent, by what an edge shows of it.
#[derive(Clone, Debug, Default)]
pub struct Issued {
    /// By content: the item, its version, whether it is valid.
    pub contents: BTreeMap<u64, (ItemName, u64, bool)>,
    /// Versions at which an item was dropped.
    pub dropped: BTreeMap<ItemName, BTreeSet<u64>>,
}

impl Edge {
    /// The versions of services and routes that it shows by what it does, 0 where it shows none.
    pub fn shows(&self, name: &ItemName) -> Option<u64> {
        let text = match name.kind {
            ItemKind::Service => self
                .proxy
                .config_store
                .service(&name.name)?
                .hcheck
                .trim_start_matches('/')
                .parse()
                .ok()?,
            ItemKind::Route => {
                let path = format!("/{}/", name.name);
                self.proxy
                    .config_store
                    .find_route(HOST, &path)?
                    .timeout
                    .as_millis() as u64
            }
            _ => return None,
        };
        Some(text)
    }

    /// What its agent was told.
    pub(crate) fn known_items(&self) -> impl Iterator<Item = &Item> {
        self.agent.known.items()
    }

    /// It evacuates this zone.
    pub fn evacuates(&self, zone: &str) -> bool {
        self.proxy.config_store.evacuated_zones().contains(zone)
    }

    /// Its proxy was told all, and serves.
    pub fn ready(&self) -> bool {
        self.up && self.proxy.told && self.proxy.config_store.has_routes()
    }

    /// Requests that are held, batches that are out, at the proxy and at the agent.
    pub fn held(&self) -> usize {
        self.proxy.router.open_requests() + self.proxy.batches.len() + self.agent.batches.len()
    }
}

impl Cluster {
    /// An edge in a zone; its processes start.
    pub fn add_edge(&mut self, zone: usize) -> usize {
        let at = self.edges.len();
        let steady = self.edge_clock(at, 0);
        let (agent, proxy) = (self.agent(at, zone), self.proxy(at, zone, 0));
        let (heard, inbox) = (self.now, VecDeque::new());
        self.edges.push(Edge {
            zone,
            incarnation: 0,
            up: false,
            frozen: false,
            heard,
            clock: steady,
            inbox,
            agent,
            proxy,
        });
        self.edge_start(at);
        at
    }

    /// The time of day has no part in it: each start begins at the same figure, and so behind those that run longer.
    fn edge_clock(&self, at: usize, incarnation: u64) -> Steady {
        let drawn = mix(&[self.seed, 4, at as u64, incarnation]);
        Steady {
            offset: STEADY_CLOCK_START - self.now + (drawn % 1_000) as i64,
            ppm: (drawn >> 40) as i64 % 201 - 100,
        }
    }

    fn regions(&self) -> BTreeMap<String, String> {
        self.zones
            .iter()
            .enumerate()
            .map(|(at, zone)| (zone.clone(), format!("r{}", at / 2)))
            .collect()
    }

    fn agent(&self, at: usize, zone: usize) -> Agent {
        let mut links = ReplicaSelection::new(
            &self.zones[zone],
            &format!("r{}", zone / 2),
            self.regions(),
            at + 1,
        );
        links.set_seeds(self.seeds());
        Agent {
            links,
            known: ConfigCache::default(),
            link: None,
            homeward: None,
            count: None,
            counted: 0,
            batches: BTreeMap::new(),
            batch: 0,
            asked_last: 0,
            standing: NodeState::Unavailable,
        }
    }

    fn proxy(&self, at: usize, zone: usize, incarnation: u64) -> Proxy {
        let seed = mix(&[self.seed, 5, at as u64, incarnation]);
        Proxy {
            incarnation,
            config_store: ConfigStore::default(),
            server_table: ServerTable::new(&self.zones[zone], self.regions()),
            router: RequestRouter::new(seed, Bounds::default()),
            keys: SlotMap::with_key(),
            told: false,
            adds: Vec::new(),
            batches: VecDeque::new(),
            batch: 0,
            wake: 0,
            shown: BTreeMap::new(),
            list: 0,
            ahead: 0,
        }
    }

    /// Starts an edge's processes.
    pub fn edge_start(&mut self, at: usize) {
        if self.edges[at].up {
            return;
        }
        let (zone, incarnation) = (self.edges[at].zone, self.edges[at].incarnation + 1);
        let (agent, proxy, clock) = (
            self.agent(at, zone),
            self.proxy(at, zone, incarnation << 16),
            self.edge_clock(at, incarnation),
        );
        let edge = &mut self.edges[at];
        (edge.incarnation, edge.up, edge.frozen) = (incarnation, true, false);
        (edge.agent, edge.proxy, edge.clock) = (agent, proxy, clock);
        for (after, due) in [
            (0, Due::Again),
            (BEAT, Due::Look),
            (HOME_RETRY_INTERVAL, Due::Home),
            (LOAD, Due::Load),
        ] {
            self.later(at, after, due);
        }
    }

    /// Kills an edge's processes.
    pub fn edge_kill(&mut self, at: usize) {
        let edge = &mut self.edges[at];
        (edge.up, edge.frozen) = (false, false);
        edge.inbox.clear();
        let conns: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.edge == at)
            .map(|(id, _)| *id)
            .collect();
        for id in conns {
            self.reset(id, true);
        }
    }

    /// Kills the proxy alone; the one that starts in its place is told all by the agent.
    pub fn proxy_restart(&mut self, at: usize) {
        if !self.edges[at].up || self.edges[at].frozen {
            return;
        }
        let (zone, incarnation) = (self.edges[at].zone, self.edges[at].proxy.incarnation + 1);
        let proxy = self.proxy(at, zone, incarnation);
        self.edges[at].proxy = proxy;
        self.edges[at].agent.batches.clear();
        self.stands(at);
        let now = self.steady(at);
        for message in self.edges[at].agent.known.snapshot(now) {
            self.proxy_heard(at, message);
        }
    }

    /// An edge's processes stand still, or go on with all that has come.
    pub fn edge_freeze(&mut self, at: usize, frozen: bool) {
        let up = self.edges[at].up;
        let was = std::mem::replace(&mut self.edges[at].frozen, frozen && up);
        if was && !frozen {
            while let Some(event) = self.edges[at].inbox.pop_front() {
                self.edge_event(event);
            }
        }
    }

    /// The agents' clock.
    fn steady(&self, at: usize) -> i64 {
        self.edges[at].clock.at(self.now)
    }

    /// The proxies' clock: the limiters' one, as far as it was told.
    fn local(&self, at: usize) -> i64 {
        self.steady(at) + self.edges[at].proxy.ahead
    }

    fn later(&mut self, at: usize, after: i64, due: Due) {
        let incarnation = self.edges[at].incarnation;
        self.enter(self.now + after, Event::Edge(at, incarnation, due));
    }

    /// Of a connection's events those that concern the edge wait while it stands still.
    fn edge_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Up(id) | Event::ToEdge(id, _) | Event::Lost(id) => {
                Some(self.conns.get(id)?.edge)
            }
            Event::Edge(at, incarnation, _) if self.edges[*at].incarnation == *incarnation => {
                Some(*at)
            }
            _ => None,
        }
    }

    pub(crate) fn edge_event(&mut self, event: Event) {
        if let Some(at) = self.edge_of(&event) {
            if !self.edges[at].up {
                return;
            }
            if self.edges[at].frozen {
                return self.edges[at].inbox.push_back(event);
            }
        }
        match event {
            Event::Up(id) => self.conn_up(id),
            Event::ToReplica(id, up) => self.at_replica(id, up),
            Event::ToEdge(id, down) => {
                let Some(conn) = self.conns.get(&id).filter(|conn| !conn.dead) else {
                    return;
                };
                if self.apart(conn.edge, conn.node) {
                    return self.lose(id);
                }
                self.agent_heard(id, down);
            }
            Event::Lost(id) => {
                let Some(conn) = self.conns.get(&id) else {
                    return;
                };
                let edge = conn.edge;
                self.lost(edge, id);
            }
            Event::Gone(id) => self.replica_lost(id),
            Event::Edge(at, incarnation, due) if self.edges[at].incarnation == incarnation => {
                self.due(at, due)
            }
            _ => {}
        }
    }
}
