//! The edges of a cluster: an agent with penstock's `Links` and `Known`, and a proxy with sluice's `Book`, `Yard` and
//! `Manifold`. What their hosts do around these, without sockets, is done here; loopback takes no time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use culvert::clock::FIRST;
use culvert::engine::Ending;
use headworks::core::Input;
use headworks::limits::AGENT_SILENT;
use mains::items::{Item, Kind, Name};
use mains::messages::{Add, Down, Edge as Told, Standing, Up};
use mains::settings::Bounds;
use penstock::known::Known;
use penstock::links::{HOMEWARD, Links, OUT_OF_TOUCH, SILENT};
use slotmap::SlotMap;
use sluice::book::Book;
use sluice::manifold::{Asked, Manifold, RequestKey, Step};
use sluice::yard::Yard;
use streamarch::Outcome;

use crate::chance::{Steady, mix};
use crate::cluster::{Bug, Cluster, Event, MS, SECOND};

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

/// The two tenants of the load: the first asks at all edges, the second at one.
pub const LIMITS: [Limit; 2] = [Limit { per_s: 40.0, burst: 20.0 }, Limit { per_s: 30.0, burst: 30.0 }];

/// What the fleet let through, by tenant.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    sent: [VecDeque<i64>; 2],
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
}

/// A connection of an agent to a machine of the core.
pub(crate) struct Conn {
    edge: usize,
    life: u64,
    pub(crate) node: usize,
    node_life: u64,
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
    links: Links,
    known: Known,
    link: Option<Link>,
    homeward: Option<(u64, SocketAddr)>,
    count: Option<(u64, SocketAddr, u64)>,
    batches: BTreeMap<u64, (u64, u64)>,
    batch: u64,
    /// The limiters' clock was asked for last.
    asked_last: i64,
    standing: Standing,
}

struct Batch {
    number: u64,
    names: Vec<u64>,
    expired: bool,
}

struct Proxy {
    life: u64,
    book: Book,
    yard: Yard,
    manifold: Manifold,
    keys: SlotMap<RequestKey, usize>,
    told: bool,
    adds: Vec<Add>,
    batches: VecDeque<Batch>,
    batch: u64,
    wake: i64,
    /// The versions that its behaviour has shown.
    shown: BTreeMap<Name, u64>,
    list: u64,
    /// The limiters' clock less the machine's.
    ahead: i64,
}

/// An edge: a machine with an agent and a proxy.
pub struct Edge {
    /// Its zone's place.
    pub zone: usize,
    /// Starts of its processes.
    pub life: u64,
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
    pub contents: BTreeMap<u64, (Name, u64, bool)>,
    /// Versions at which an item was dropped.
    pub dropped: BTreeMap<Name, BTreeSet<u64>>,
}

impl Edge {
    /// The versions of services and routes that it shows by what it does, 0 where it shows none.
    pub fn shows(&self, name: &Name) -> Option<u64> {
        let text = match name.kind {
            Kind::Service => {
                self.proxy.book.service(&name.name)?.hcheck.trim_start_matches('/').parse().ok()?
            }
            Kind::Route => {
                let path = format!("/{}/", name.name);
                self.proxy.book.route(HOST, &path)?.timeout.millis() as u64
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
        self.proxy.book.evacuated().contains(zone)
    }

    /// Its proxy was told all, and serves.
    pub fn ready(&self) -> bool {
        self.up && self.proxy.told && self.proxy.book.serves()
    }

    /// Requests that are held, batches that are out, at the proxy and at the agent.
    pub fn held(&self) -> usize {
        self.proxy.manifold.open_requests() + self.proxy.batches.len() + self.agent.batches.len()
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
            life: 0,
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
    fn edge_clock(&self, at: usize, life: u64) -> Steady {
        let drawn = mix(&[self.seed, 4, at as u64, life]);
        Steady { offset: FIRST - self.now + (drawn % 1_000) as i64, ppm: (drawn >> 40) as i64 % 201 - 100 }
    }

    fn regions(&self) -> BTreeMap<String, String> {
        self.zones.iter().enumerate().map(|(at, zone)| (zone.clone(), format!("r{}", at / 2))).collect()
    }

    fn agent(&self, at: usize, zone: usize) -> Agent {
        let mut links = Links::new(&self.zones[zone], &format!("r{}", zone / 2), self.regions(), at + 1);
        links.seeds(self.seeds());
        Agent {
            links,
            known: Known::default(),
            link: None,
            homeward: None,
            count: None,
            batches: BTreeMap::new(),
            batch: 0,
            asked_last: 0,
            standing: Standing::Away,
        }
    }

    fn proxy(&self, at: usize, zone: usize, life: u64) -> Proxy {
        let seed = mix(&[self.seed, 5, at as u64, life]);
        Proxy {
            life,
            book: Book::default(),
            yard: Yard::new(&self.zones[zone], self.regions()),
            manifold: Manifold::new(seed, Bounds::default()),
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
        let (zone, life) = (self.edges[at].zone, self.edges[at].life + 1);
        let (agent, proxy, clock) =
            (self.agent(at, zone), self.proxy(at, zone, life << 16), self.edge_clock(at, life));
        let edge = &mut self.edges[at];
        (edge.life, edge.up, edge.frozen) = (life, true, false);
        (edge.agent, edge.proxy, edge.clock) = (agent, proxy, clock);
        for (after, due) in [(0, Due::Again), (BEAT, Due::Look), (HOMEWARD, Due::Home), (LOAD, Due::Load)] {
            self.later(at, after, due);
        }
    }

    /// Kills an edge's processes.
    pub fn edge_kill(&mut self, at: usize) {
        let edge = &mut self.edges[at];
        (edge.up, edge.frozen) = (false, false);
        edge.inbox.clear();
        let conns: Vec<u64> =
            self.conns.iter().filter(|(_, conn)| conn.edge == at).map(|(id, _)| *id).collect();
        for id in conns {
            self.reset(id, true);
        }
    }

    /// Kills the proxy alone; the one that starts in its place is told all by the agent.
    pub fn proxy_restart(&mut self, at: usize) {
        if !self.edges[at].up || self.edges[at].frozen {
            return;
        }
        let (zone, life) = (self.edges[at].zone, self.edges[at].proxy.life + 1);
        let proxy = self.proxy(at, zone, life);
        self.edges[at].proxy = proxy;
        self.edges[at].agent.batches.clear();
        self.stands(at);
        let now = self.steady(at);
        for message in self.edges[at].agent.known.all(now) {
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
        let life = self.edges[at].life;
        self.enter(self.now + after, Event::Edge(at, life, due));
    }

    /// Of a connection's events those that concern the edge wait while it stands still.
    fn edge_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Up(id) | Event::ToEdge(id, _) | Event::Lost(id) => Some(self.conns.get(id)?.edge),
            Event::Edge(at, life, _) if self.edges[*at].life == *life => Some(*at),
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
            Event::ToSeat(id, up) => self.at_seat(id, up),
            Event::ToEdge(id, down) => {
                let Some(conn) = self.conns.get(&id).filter(|conn| !conn.dead) else { return };
                if self.apart(conn.edge, conn.node) {
                    return self.lose(id);
                }
                self.agent_heard(id, down);
            }
            Event::Lost(id) => {
                let Some(conn) = self.conns.get(&id) else { return };
                let edge = conn.edge;
                self.lost(edge, id);
            }
            Event::Gone(id) => self.seat_lost(id),
            Event::Edge(at, life, due) if self.edges[at].life == life => self.due(at, due),
            _ => {}
        }
    }

    fn lose(&mut self, id: u64) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.dead = true;
        }
    }

    fn connect(&mut self, at: usize, to: SocketAddr) -> u64 {
        self.conn += 1;
        let id = self.conn;
        let node = self.nodes.iter().position(|node| node.address == to).unwrap_or(0);
        let (life, node_life) = (self.edges[at].life, self.nodes[node].life);
        let way = self.way(self.edges[at].zone, self.nodes[node].zone);
        let conn = Conn { edge: at, life, node, node_life, up: false, dead: false, heard: self.now };
        self.conns.insert(id, conn);
        self.later(at, CONNECT, Due::Connect(id));
        if !self.apart(at, node) {
            let event = if self.nodes[node].core.is_some() { Event::Up(id) } else { Event::Lost(id) };
            self.enter(self.now + 2 * way, event);
        }
        id
    }

    fn conn_up(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.dead && !conn.up) else { return };
        conn.up = true;
        conn.heard = self.now;
        let (at, node, node_life) = (conn.edge, conn.node, conn.node_life);
        if self.nodes[node].core.is_none() || self.nodes[node].life != node_life {
            return self.lost(at, id);
        }
        if self.edges[at].agent.count.is_some_and(|(count, ..)| count == id) {
            return self.ask_time(at, id);
        }
        if let Some(link) = self.edges[at].agent.link.as_mut().filter(|link| link.conn == id) {
            link.heard = self.now;
        }
        let zone = self.edges[at].zone;
        let edge = Told {
            node: format!("edge-{at}"),
            zone: self.zones[zone].clone(),
            region: format!("r{}", zone / 2),
            http: SocketAddr::from(([10, 1, 0, at as u8], 8686)),
        };
        let standing = self.edges[at].agent.standing;
        self.say(id, Up::Hello(edge));
        self.ask_time(at, id);
        self.say(id, Up::Beat(standing));
    }

    fn say(&mut self, id: u64, up: Up) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.up && !conn.dead) else { return };
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return self.lose(id);
        }
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(self.now + way, Event::ToSeat(id, up));
    }

    fn at_seat(&mut self, id: u64, up: Up) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.dead) else { return };
        let (edge, node, life) = (conn.edge, conn.node, conn.node_life);
        conn.heard = now;
        if self.apart(edge, node) {
            return self.lose(id);
        }
        if self.nodes[node].life == life {
            if matches!(up, Up::Beat(_) | Up::Hello(_)) && self.nodes[node].core.is_some() {
                self.edges[edge].heard = now;
            }
            self.feed(node, Input::Agent(id, up));
        }
    }

    pub(crate) fn tell(&mut self, id: u64, down: Down) {
        let Some(conn) = self.conns.get(&id).filter(|conn| !conn.dead) else { return };
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return self.lose(id);
        }
        let down = match down {
            Down::Totals { batch, totals } if self.bug == Some(Bug::Count) => {
                Down::Totals { batch, totals: totals.iter().map(|_| 1.0).collect() }
            }
            down => down,
        };
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(self.now + way, Event::ToEdge(id, down));
    }

    /// One end of a connection is gone; the other one hears of it, unless they are apart.
    pub(crate) fn reset(&mut self, id: u64, by_edge: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.dead = true;
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return;
        }
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(self.now + way, if by_edge { Event::Gone(id) } else { Event::Lost(id) });
    }

    fn seat_lost(&mut self, id: u64) {
        let Some(conn) = self.conns.remove(&id) else { return };
        if self.nodes[conn.node].life == conn.node_life {
            self.feed(conn.node, Input::AgentGone(id));
        }
    }

    /// A machine closes connections on which it has heard nothing for long.
    pub(crate) fn silent_conns(&mut self) {
        let now = self.now;
        let silent = |conn: &&Conn| {
            let node = &self.nodes[conn.node];
            conn.up && now - conn.heard >= AGENT_SILENT && !node.frozen && node.core.is_some()
        };
        let gone: Vec<u64> = self.conns.iter().filter(|(_, conn)| silent(conn)).map(|(id, _)| *id).collect();
        for id in gone {
            let conn = &self.conns[&id];
            let (edge, life) = (conn.edge, conn.life);
            // The agent sees it by its silence, or by the reset.
            if self.edges[edge].life == life && self.edges[edge].up && !self.edges[edge].frozen {
                self.lost(edge, id);
            }
            self.seat_lost(id);
        }
    }

    /// An agent's connection is gone.
    fn lost(&mut self, at: usize, id: u64) {
        self.reset(id, true);
        let agent = &mut self.edges[at].agent;
        if agent.link.as_ref().is_some_and(|link| link.conn == id) {
            agent.link = None;
            self.later(at, AGAIN, Due::Again);
        } else if agent.count.is_some_and(|(count, ..)| count == id) {
            agent.count = None;
            self.later(at, AGAIN, Due::CountAgain);
        } else if agent.homeward.is_some_and(|(home, _)| home == id) {
            agent.homeward = None;
        }
    }

    fn agent_heard(&mut self, id: u64, message: Down) {
        let (at, now) = (self.conns[&id].edge, self.now);
        // Whatever it is, it is a sign of life.
        if let Some(link) = self.edges[at].agent.link.as_mut().filter(|link| link.conn == id) {
            link.heard = now;
        }
        match message {
            Down::Totals { batch, totals } => {
                if let Some((life, batch)) = self.edges[at].agent.batches.remove(&batch) {
                    self.totals(at, life, batch, Some(&totals));
                }
            }
            Down::NotCounted(batch) => {
                if let Some((life, batch)) = self.edges[at].agent.batches.remove(&batch) {
                    self.totals(at, life, batch, None);
                }
            }
            Down::Who(ref who) => {
                let agent = &mut self.edges[at].agent;
                let (in_touch, seats) = (who.in_touch, who.seats.clone());
                if let Some((_, to)) = agent.homeward.filter(|(home, _)| *home == id && in_touch) {
                    agent.homeward = None;
                    let new = Link { conn: id, to, told: true, astray: None, heard: now };
                    if let Some(old) = agent.link.replace(new) {
                        self.reset(old.conn, true);
                    }
                }
                let agent = &mut self.edges[at].agent;
                let Some(link) = agent.link.as_mut().filter(|link| link.conn == id) else { return };
                (link.told, link.heard) = (true, now);
                link.astray = if in_touch { None } else { link.astray.or(Some(now)) };
                if in_touch {
                    agent.links.told(&seats);
                    agent.links.settled();
                }
                self.pass_on(at, message);
                self.open_count(at);
            }
            message => self.pass_on(at, message),
        }
    }

    fn ask_time(&mut self, at: usize, id: u64) {
        let now = self.steady(at);
        let agent = &mut self.edges[at].agent;
        let time = agent.known.time(now).unwrap_or(0);
        self.say(id, Up::Clock(time));
    }

    fn pass_on(&mut self, at: usize, message: Down) {
        let now = self.steady(at);
        if let Some(message) = self.edges[at].agent.known.take(now, message) {
            self.proxy_heard(at, message);
        }
    }

    fn open_link(&mut self, at: usize) {
        if self.edges[at].agent.link.is_some() {
            return;
        }
        let Some((to, _)) = self.edges[at].agent.links.advance() else { return };
        let conn = self.connect(at, to);
        self.edges[at].agent.link = Some(Link { conn, to, told: false, astray: None, heard: self.now });
    }

    fn open_count(&mut self, at: usize) {
        let holder = self.edges[at].agent.known.who().and_then(|who| who.holder);
        if self.edges[at].agent.count.map(|(_, to, term)| (to, term)) == holder {
            return;
        }
        if let Some((old, ..)) = self.edges[at].agent.count.take() {
            self.reset(old, true);
        }
        let Some((to, term)) = holder else { return };
        let conn = self.connect(at, to);
        self.edges[at].agent.count = Some((conn, to, term));
    }

    fn due(&mut self, at: usize, due: Due) {
        match due {
            Due::Again => self.open_link(at),
            Due::CountAgain => self.open_count(at),
            Due::Connect(id) => {
                if self.conns.get(&id).is_some_and(|conn| !conn.up && conn.life == self.edges[at].life) {
                    self.lost(at, id);
                    self.conns.remove(&id);
                }
            }
            Due::Look => {
                self.later(at, BEAT, Due::Look);
                self.stands(at);
                let now = self.steady(at);
                if let Some(message) = self.edges[at].agent.known.look(now) {
                    self.proxy_heard(at, message);
                }
                let (now, agent) = (self.steady(at), &mut self.edges[at].agent);
                if now - agent.asked_last >= 800 * MS {
                    agent.asked_last = now;
                    let ids = agent.count.map(|(id, ..)| id).into_iter();
                    let ids: Vec<u64> = ids.chain(agent.link.as_ref().map(|link| link.conn)).collect();
                    ids.into_iter().for_each(|id| self.ask_time(at, id));
                }
                let agent = &self.edges[at].agent;
                let standing = agent.standing;
                let Some(link) = &agent.link else { return };
                let (conn, silent) = (link.conn, self.now - link.heard > SILENT);
                let astray = link.astray.is_some_and(|since| self.now - since > OUT_OF_TOUCH);
                self.say(conn, Up::Beat(standing));
                if silent || astray {
                    self.lost(at, conn);
                }
            }
            Due::Home => {
                self.later(at, HOMEWARD, Due::Home);
                if let Some((old, _)) = self.edges[at].agent.homeward.take() {
                    self.reset(old, true);
                }
                let agent = &self.edges[at].agent;
                let linked = agent.link.as_ref().filter(|link| link.told).map(|link| link.to);
                let home = agent.links.home().filter(|home| linked.is_some_and(|to| to != *home));
                if let Some(home) = home {
                    let conn = self.connect(at, home);
                    self.edges[at].agent.homeward = Some((conn, home));
                }
            }
            Due::Batch(number) => {
                let proxy = &mut self.edges[at].proxy;
                let batch = proxy.batches.iter_mut().find(|batch| batch.number == number && !batch.expired);
                let Some(batch) = batch else { return };
                batch.expired = true;
                for name in batch.names.clone() {
                    proxy.manifold.counted(name, Outcome::TimedOut, 0.0);
                }
                while proxy.batches.len() > 1_000 {
                    proxy.batches.pop_front();
                }
                self.turn(at);
            }
            Due::Load => {
                self.later(at, LOAD, Due::Load);
                self.load(at);
            }
            Due::Wake => self.turn(at),
        }
    }

    fn stands(&mut self, at: usize) {
        let standing = if self.edges[at].ready() { Standing::Ready } else { Standing::Away };
        let agent = &mut self.edges[at].agent;
        if std::mem::replace(&mut agent.standing, standing) != standing
            && let Some(conn) = agent.link.as_ref().map(|link| link.conn)
        {
            self.say(conn, Up::Beat(standing));
        }
    }

    fn proxy_heard(&mut self, at: usize, message: Down) {
        let (now, steady) = (self.local(at), self.steady(at));
        let proxy = &mut self.edges[at].proxy;
        match message {
            Down::Who(who) => {
                proxy.manifold.limiters(now, who.limiters);
                proxy.manifold.alone(!who.in_touch);
                proxy.manifold.count_held(who.holder.map(|(_, term)| term));
            }
            Down::Items(items) => {
                if self.bug == Some(Bug::Forget) && mix(&[self.seed, 8, now as u64]).is_multiple_of(8) {
                    proxy.book = Book::default();
                }
                let (touched, faults) = proxy.book.apply(items);
                if touched.zones {
                    let evacuated = proxy.book.evacuated().clone();
                    proxy.yard.evacuate(now, &evacuated, touched.back, 4 * SECOND);
                    self.list(at);
                }
                for fault in faults {
                    self.fault("invalid", format!("edge {at}: {fault}"));
                }
                self.check_edge(at);
            }
            Down::Servers { version, servers } => {
                let list = servers.first().and_then(|server| server.id[1..].split('-').next()?.parse().ok());
                if proxy.yard.take(now, version, servers) {
                    let list: u64 = list.unwrap_or(0);
                    let before = std::mem::replace(&mut proxy.list, list);
                    if before > list {
                        self.fault("servers", format!("edge {at}: list {list} after {before}"));
                    }
                    self.list(at);
                }
            }
            Down::Whole => proxy.told = true,
            Down::Time(time) => {
                proxy.ahead = proxy.ahead.max(time - steady);
                proxy.manifold.jumped(time, time - now);
            }
            // The drill's servers answer at once: nothing is under strain.
            Down::Totals { .. } | Down::NotCounted(_) | Down::Levels { .. } => {}
        }
        self.stands(at);
    }

    fn list(&mut self, at: usize) {
        let now = self.local(at);
        let proxy = &mut self.edges[at].proxy;
        let places: Vec<_> =
            proxy.manifold.places().map(|(s, p, n)| (s.to_string(), p.to_vec(), n)).collect();
        for (svc, pins, place) in places {
            let entries = proxy.yard.entries(now, &svc, &pins);
            proxy.manifold.listed(place, entries);
        }
    }

    /// What an edge shows never goes back in its life, and is nothing that was refused for its contents.
    fn check_edge(&mut self, at: usize) {
        let names: Vec<Name> = self.names.clone();
        for name in names {
            let before = self.edges[at].proxy.shown.get(&name).copied().unwrap_or(0);
            let ver = match self.edges[at].shows(&name) {
                Some(content) => match self.issued.contents.get(&content) {
                    Some((_, _, false)) => {
                        self.fault("invalid", format!("edge {at} shows {name} with content {content}"));
                        continue;
                    }
                    Some((_, ver, true)) => *ver,
                    None => continue,
                },
                // Dropped, at the lowest version that it can be.
                None if before == 0 => 0,
                None => {
                    let dropped = self.issued.dropped.get(&name);
                    let after = dropped.and_then(|vers| vers.range(before..).next().copied());
                    after.unwrap_or(0)
                }
            };
            if ver < before {
                self.fault("back", format!("edge {at} shows {name} at {ver} after {before}"));
            }
            self.edges[at].proxy.shown.insert(name, ver);
        }
    }

    /// The version of an item that an edge shows.
    pub fn edge_shows(&self, at: usize, name: &Name) -> u64 {
        self.edges[at].proxy.shown.get(name).copied().unwrap_or(0)
    }

    /// Requests come in.
    fn load(&mut self, at: usize) {
        let now = self.local(at);
        if self.load == 0 || !self.edges[at].ready() || !self.edges[at].proxy.yard.any() {
            return;
        }
        self.tell_count(at);
        for tenant in 0..LIMITS.len() {
            // The second tenant asks at one edge, at twice its limit.
            let rate = match tenant {
                0 => self.load as f64,
                _ if at == 0 => LIMITS[1].per_s * 2.0,
                _ => continue,
            };
            let slot = (self.now / LOAD) as f64;
            let due = (rate * LOAD as f64 / SECOND as f64 * slot) as u64
                - (rate * LOAD as f64 / SECOND as f64 * (slot - 1.0).max(0.0)) as u64;
            for _ in 0..due {
                let proxy = &mut self.edges[at].proxy;
                let Some(route) = proxy.book.route(HOST, PREFIX).cloned() else { return };
                let named = proxy.book.tenant(&format!("key{tenant}")).cloned();
                let Some(named) = named else { return };
                if proxy.manifold.has(BASE, &[]).is_none() {
                    let entries = proxy.yard.entries(now, BASE, &[]);
                    proxy.manifold.open(BASE, &[], entries);
                }
                let request = proxy.keys.insert(tenant);
                let tenant = Some((named.name.as_str(), &named.tenant));
                let asked = Asked {
                    request,
                    id: "i",
                    route: &route,
                    svc: BASE,
                    tenant,
                    pins: &[],
                    deadline: now + 3 * SECOND,
                };
                self.grants.asked += 1;
                if proxy.manifold.take(now, &asked).is_none() {
                    proxy.keys.remove(request);
                }
            }
        }
        self.turn(at);
    }

    fn tell_count(&mut self, at: usize) {
        let holder = self.edges[at].agent.known.who().and_then(|who| who.holder);
        self.edges[at].proxy.manifold.count_held(holder.map(|(_, term)| term));
    }

    /// The module decides; servers answer at once.
    fn turn(&mut self, at: usize) {
        let now = self.local(at);
        let mut steps = Vec::new();
        for _ in 0..8 {
            let proxy = &mut self.edges[at].proxy;
            proxy.manifold.turn(now, &mut steps, |_, _| {});
            if steps.is_empty() {
                break;
            }
            for step in std::mem::take(&mut steps) {
                let proxy = &mut self.edges[at].proxy;
                match step {
                    Step::Send { request, ticket, leg, .. } => {
                        proxy.manifold.leg_written(now, ticket);
                        proxy.manifold.leg_ended(now, ticket, leg, Outcome::Ok);
                        let Some(tenant) = proxy.keys.remove(request) else { continue };
                        if let Some((sent, most)) = self.grants.sent(self.now, tenant) {
                            self.fault("quota", format!("tenant {tenant}: {sent} in 5 s, {most:.0} allowed"));
                        }
                    }
                    Step::Answer(
                        request,
                        Ending::Declined { .. } | Ending::Failed | Ending::Expired { .. },
                    ) => {
                        proxy.keys.remove(request);
                    }
                    Step::Count(add) => proxy.adds.push(add),
                    Step::Stop(..) | Step::Probe(..) => {}
                }
            }
            self.send_adds(at);
        }
        let proxy = &mut self.edges[at].proxy;
        if let Some(next) = proxy.manifold.next() {
            let ahead = proxy.ahead;
            let when = self.edges[at].clock.when(next - ahead).max(self.now + 1);
            let proxy = &mut self.edges[at].proxy;
            if proxy.wake <= self.now || when < proxy.wake {
                proxy.wake = when;
                self.later(at, when - self.now, Due::Wake);
            }
        }
    }

    fn send_adds(&mut self, at: usize) {
        let proxy = &mut self.edges[at].proxy;
        if proxy.adds.is_empty() {
            return;
        }
        let adds = std::mem::take(&mut proxy.adds);
        proxy.batch += 1;
        let (number, life) = (proxy.batch, proxy.life);
        let names = adds.iter().map(|add| add.name).collect();
        proxy.batches.push_back(Batch { number, names, expired: false });
        self.later(at, COUNT_WAIT, Due::Batch(number));
        let steady = self.steady(at);
        let agent = &mut self.edges[at].agent;
        let up = agent.count.filter(|(id, ..)| self.conns.get(id).is_some_and(|conn| conn.up));
        let up = up.filter(|_| agent.known.time(steady).is_some());
        let Some((id, ..)) = up else { return self.totals(at, life, number, None) };
        agent.batch += 1;
        let batch = agent.batch;
        agent.batches.insert(batch, (life, number));
        if agent.batches.len() > 2_000 {
            agent.batches.pop_first();
        }
        let time = self.local(at);
        self.say(id, Up::Adds { batch, time, adds });
    }

    fn totals(&mut self, at: usize, life: u64, number: u64, totals: Option<&[f64]>) {
        let proxy = &mut self.edges[at].proxy;
        if proxy.life != life {
            return;
        }
        let Some(place) = proxy.batches.iter().position(|batch| batch.number == number) else { return };
        let Some(batch) = proxy.batches.remove(place) else { return };
        match totals {
            Some(_) if batch.expired => proxy.manifold.count_late(),
            None if batch.expired => {}
            totals => {
                for (place, name) in batch.names.iter().enumerate() {
                    match totals.and_then(|totals| totals.get(place)) {
                        Some(total) => proxy.manifold.counted(*name, Outcome::Ok, *total),
                        None => proxy.manifold.counted(*name, Outcome::ConnectFailed, 0.0),
                    }
                }
            }
        }
        // What follows is decided on in the next turn of the loop.
        let wake = self.now + 1;
        self.edges[at].proxy.wake = wake;
        self.later(at, 1, Due::Wake);
    }
}
