//! The host of a proxy: one thread, one wait for all connections. What a wait brought is taken in first; then what is
//! due and the engines have their turn; then all that is to be written goes out.

mod clients;
mod closing;
mod feeding;
mod legs;
mod relaying;
mod room;
mod uploading;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use dataplane::clock::Clock;
use dataplane::deadlines::Deadlines;
use dataplane::engine::Ending;
use dataplane::framing::{AnswerHead, Extent, Incoming, RequestHead};
use dataplane::legs::{LegState, Pool};
use dataplane::lifecycle::Lifecycle;
use dataplane::limits::Limits;
use dataplane::slots::AuthorisationKey;
use dataplane::upload::Upload;
use dataplane::visits::Visit;
use eyre::{WrapErr, eyre};
use protocol::connections::{ConnectionId, Connections, IoEvent};
use protocol::items::Route;
use protocol::log_ring::LogRing;
use protocol::messages::{CounterAdd, NodeInfo, NodeState};
use protocol::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use slog::{Logger, info};
use slotmap::{SecondaryMap, SlotMap};
use streamarch::{Micros, Outcome, ServerId};

use self::closing::Closing;
use self::relaying::Passage;
use crate::answers::Verdict;
use crate::config_store::ConfigStore;
use crate::router::{RequestKey, RequestRouter, Step, Ticket};
use crate::server_table::ServerTable;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Between two signs of life to the agent.
const BEAT: Micros = 400 * MS;
/// The agent's link is tried again after this.
const FEED_AGAIN: Micros = 100 * MS;
/// A connection to a server must come up within this; the farthest need more than a tenth of a second.
const CONNECT: Micros = 350 * MS;
/// A batch of adds without totals by then has timed out.
const COUNT_WAIT: Micros = 300 * MS;
/// Longest answer that is taken in whole before it goes on, in bytes: what one that is relayed may hold as well, its
/// window on either side. Danger: longer ones that break off can't be tried at another server, shorter ones can.
const SHORT: usize = 128 * 1024;
/// Longest answer that is relayed, in bytes: none of it is held, but there is an end to what is believed.
const ANSWER: u64 = 1024 * 1024 * 1024;
/// From SIGTERM on, clients that ask where to go are sent elsewhere; who comes all the same is served so long.
const NOTICE: Micros = 2_200 * MS;
/// What is left of the grace period at the end.
const GRACE_LEFT: Micros = 400 * MS;
/// Longest wait without a deadline.
const IDLE_WAIT: Micros = SECOND;

/// What a connection to a server is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Errand {
    Leg(RequestKey, Ticket, u32),
    /// For the engine of this position.
    Probe(usize),
}

/// Whose a connection is.
enum Role {
    Client(Box<Client>),
    Leg(Box<Leg>),
    /// The platform asks whether the proxy is ready. `last`: the answer that is being written is the last.
    Check {
        last: bool,
    },
    /// The agent.
    Feed,
}

/// A client's connection.
struct Client {
    visit: Visit,
    incoming: Incoming<RequestHead>,
    request: Option<RequestKey>,
    /// The earliest deadline entered for it.
    armed: Micros,
    /// The answer that is being written is the last.
    last: bool,
    told_to_go_on: bool,
    /// Whether it is refused by its head was looked at.
    looked_at: bool,
    /// Its bytes among those held for all.
    held: usize,
    /// The band of its last request.
    band: usize,
    /// The server's connection from which its answer is being relayed.
    source: Option<ConnectionId>,
    /// The body of its request that goes on while it comes.
    upload: Option<Upload<ConnectionId>>,
}

/// A connection to a server.
struct Leg {
    server: ServerId,
    state: LegState<Errand>,
    incoming: Incoming<AnswerHead>,
    verdict: Option<Verdict>,
    /// The answer has no body, whatever its head says.
    bodiless: bool,
    /// Idle, it may be used until then.
    until: Micros,
    /// The answer that is being relayed from it.
    relay: Option<Passage>,
    /// Of the body that goes on to it the end has not come.
    feeding: bool,
    /// Bytes that went out on the connection before its errand.
    sent_before: u64,
    /// An answer without an id came on it before.
    nameless: bool,
}

/// A request whose final answer is owed.
struct Request {
    client: ConnectionId,
    method: String,
    target: String,
    /// Header lines as they go on to servers.
    lines: Vec<u8>,
    body: Vec<u8>,
    id: String,
    route: Rc<Route>,
    deadline: Micros,
    /// The time that its client gave it.
    wait: Micros,
    /// How its body ends, where that goes on while it comes.
    coming: Option<Extent>,
    ticket: Ticket,
    /// Connections to servers that it was sent on.
    sent_on: Vec<ConnectionId>,
    /// It may have run.
    ran: bool,
    /// A server's failure, which is the answer if nothing better comes.
    failure: Option<(AnswerHead, Vec<u8>)>,
}

/// What falls due.
#[derive(Debug)]
enum Due {
    Connect(ConnectionId),
    Visit(ConnectionId),
    Probe(ConnectionId),
    /// An answer that is being relayed from this connection.
    Relay(ConnectionId),
    /// A request whose long body came.
    Late(RequestKey),
    Batch,
    Retire,
    Warm,
    Beat,
    Load,
    Feed,
    NoticeOver,
    DrainOver,
}

/// A batch of adds that is out.
struct Batch {
    number: u64,
    names: Vec<u64>,
    sent: Micros,
    /// Its outcome was told.
    expired: bool,
}

/// All that runs on the loop.
pub struct Host {
    clock: Clock,
    settings: Settings,
    limits: Limits,
    /// What clients are told of how long they may stay idle.
    stay: String,
    log: Logger,
    ring: LogRing,
    wires: Connections,
    roles: SecondaryMap<ConnectionId, Role>,
    clients: usize,
    /// Bytes of requests that are held for all clients.
    held: usize,
    doors: (usize, usize),
    /// Where clients and checks are taken.
    pub addresses: (SocketAddr, SocketAddr),
    deadlines: Deadlines<Due>,
    lifecycle: Lifecycle,
    config_store: ConfigStore,
    server_table: ServerTable,
    router: RequestRouter,
    requests: SlotMap<RequestKey, Request>,
    pool: Pool<ConnectionId>,
    legs: HashMap<(usize, AuthorisationKey), ConnectionId>,
    steps: Vec<Step>,
    feed: Option<ConnectionId>,
    /// The agent has told all it knows, once.
    told: bool,
    adds: Vec<CounterAdd>,
    batches: VecDeque<Batch>,
    batch: u64,
    /// Connections whose input is to be looked at again.
    again: Vec<ConnectionId>,
    standing: NodeState,
    /// Nothing that came before this is waiting to be taken.
    looked: Micros,
    /// When a line on a connection that was closed with an answer owed last came out.
    said: Micros,
}

/// What a proxy wants of its settings.
///
/// # Errors
/// A key is missing.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    settings
        .bind
        .http
        .ok_or_else(|| eyre!("bind.http is missing"))?;
    settings
        .bind
        .readyz
        .ok_or_else(|| eyre!("bind.readyz is missing"))?;
    Ok(())
}

impl Host {
    /// Opens the sockets.
    ///
    /// # Errors
    /// An address is missing in the settings, or not to be had.
    pub fn open(settings: Settings, clock: Clock, ring: LogRing) -> eyre::Result<Host> {
        let mut wires = Connections::new(&[SIGTERM, SIGHUP]).wrap_err("opening the loop")?;
        let http = settings
            .bind
            .http
            .ok_or_else(|| eyre!("bind.http is missing"))?;
        let readyz = settings
            .bind
            .readyz
            .ok_or_else(|| eyre!("bind.readyz is missing"))?;
        let (door, http) = wires
            .listen(http)
            .wrap_err_with(|| format!("listening on bind.http {http}"))?;
        let (check, readyz) = wires
            .listen(readyz)
            .wrap_err_with(|| format!("listening on bind.readyz {readyz}"))?;
        let log = ring.logger("proxy", &settings.node);
        let limits = Limits {
            notice: NOTICE,
            drain: settings.bounds.grace.0 - GRACE_LEFT,
            connect: CONNECT,
            body_bytes: SHORT,
            answer_bytes: ANSWER,
            ..Limits::default()
        };
        let now = clock.now();
        let mut deadlines = Deadlines::default();
        deadlines.enter(now, Due::Feed);
        deadlines.enter(now + BEAT, Due::Beat);
        deadlines.enter(now + overload::STEP, Due::Load);
        deadlines.enter(now + limits.leg_idle / 4, Due::Retire);
        let server_table = ServerTable::new(&settings.zone, settings.zones.clone());
        info!(log, "serving on {http}");
        Ok(Host {
            clock,
            stay: clients::stay(limits.acquirer_idle),
            limits,
            log,
            ring,
            wires,
            roles: SecondaryMap::new(),
            clients: 0,
            held: 0,
            doors: (door, check),
            addresses: (http, readyz),
            deadlines,
            lifecycle: Lifecycle::new(false),
            config_store: ConfigStore::default(),
            server_table,
            router: RequestRouter::new(fastrand::u64(..), settings.bounds.clone()),
            requests: SlotMap::with_key(),
            pool: Pool::default(),
            legs: HashMap::new(),
            steps: Vec::new(),
            feed: None,
            told: false,
            adds: Vec::new(),
            batches: VecDeque::new(),
            batch: 0,
            again: Vec::new(),
            standing: NodeState::Unavailable,
            looked: now,
            said: 0,
            settings,
        })
    }

    /// Bytes of messages that are held, the room kept for them included.
    pub fn holds(&self) -> usize {
        let of = |role: &Role| match role {
            Role::Client(client) => {
                client.incoming.body.capacity() + client.upload.as_ref().map_or(0, Upload::held)
            }
            Role::Leg(leg) => leg.incoming.body.capacity(),
            Role::Check { .. } | Role::Feed => 0,
        };
        let bodies = self
            .requests
            .values()
            .map(|request| request.body.capacity());
        self.wires.buffered_bytes()
            + self.roles.values().map(of).sum::<usize>()
            + bodies.sum::<usize>()
    }

    /// Runs until told to end.
    ///
    /// # Errors
    /// The system's wait failed.
    pub fn run(mut self) -> eyre::Result<()> {
        let mut happenings = Vec::new();
        while !self.finished() {
            self.step(IDLE_WAIT, &mut happenings)?;
        }
        Ok(())
    }

    /// The program may end.
    pub fn finished(&self) -> bool {
        self.lifecycle.finished()
    }

    /// One round of the loop: waits for what happens or is due, at most so long, and has its turn. What writing
    /// brought stands in `happenings` afterwards, for the next round.
    ///
    /// # Errors
    /// The system's wait failed.
    pub fn step(&mut self, longest: Micros, happenings: &mut Vec<IoEvent>) -> eyre::Result<()> {
        let busy = !happenings.is_empty() || !self.again.is_empty();
        let due = [self.deadlines.earliest(), self.router.next()]
            .into_iter()
            .flatten()
            .min();
        let now = self.clock.now();
        let until = if busy {
            now
        } else {
            due.unwrap_or(Micros::MAX).min(now + longest)
        };
        let clock = self.clock.clone();
        self.wires
            .wait(Some(until), || clock.now(), happenings)
            .wrap_err("waiting")?;
        let came = happenings
            .iter()
            .filter(|h| matches!(h, IoEvent::Received(_) | IoEvent::Accepted(..)));
        self.feel(now, until, came.count());
        self.turn(happenings);
        Ok(())
    }

    fn turn(&mut self, happenings: &mut Vec<IoEvent>) {
        let now = self.clock.now();
        for key in std::mem::take(&mut self.again) {
            self.wires.resume_reading(key, now, happenings);
            happenings.push(IoEvent::Received(key));
        }
        for happening in happenings.drain(..) {
            self.happened(now, happening);
        }
        while let Some(due) = self.deadlines.take_due(now) {
            self.due(now, due);
        }
        self.decide(now);
        self.send_adds(now);
        self.wires.flush_all(happenings);
    }

    /// Lets the module decide, and carries out what follows.
    fn decide(&mut self, now: Micros) {
        // One request lets the module answer at most a few times in a row; a bound guards against more.
        for _ in 0..16 {
            let mut steps = std::mem::take(&mut self.steps);
            let requests = &mut self.requests;
            self.router.turn(now, &mut steps, |request, ticket| {
                requests
                    .get_mut(request)
                    .into_iter()
                    .for_each(|request| request.ticket = ticket);
            });
            let none = steps.is_empty();
            for step in steps.drain(..) {
                self.carry_out(now, step);
            }
            if self.steps.is_empty() {
                self.steps = steps;
            }
            if none && self.steps.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: Micros, step: Step) {
        match step {
            Step::Send {
                request,
                ticket,
                leg,
                server,
            } => self.send(now, request, ticket, leg, server),
            Step::Stop(ticket, leg) => self.stop(now, ticket, leg),
            Step::Answer(request, ending) => self.end(now, request, ending),
            Step::Count(add) => self.adds.push(add),
            Step::Probe(engine, server) => self.probe(now, engine, server),
        }
    }

    fn happened(&mut self, now: Micros, happening: IoEvent) {
        match happening {
            IoEvent::Accepted(door, key) if door == self.doors.0 => self.took(now, key),
            IoEvent::Accepted(_, key) => _ = self.roles.insert(key, Role::Check { last: false }),
            IoEvent::Signal(SIGTERM) => self.leave(now),
            // The settings file holds nothing that a proxy takes over while it runs.
            IoEvent::Signal(_) => {}
            IoEvent::Connected(key) => self.came_up(now, key),
            IoEvent::Received(key) => self.came(now, key),
            IoEvent::Flushed(key) => self.written(now, key),
            IoEvent::PeerClosed(key) | IoEvent::Failed(key) => self.broken(now, key),
        }
    }

    fn came_up(&mut self, now: Micros, key: ConnectionId) {
        match self.roles.get_mut(key) {
            Some(Role::Leg(leg)) => {
                leg.state = leg.state.connected();
                if let Some(Errand::Leg(request, ..)) = leg.state.errand() {
                    self.start_upload(request, key);
                }
            }
            Some(Role::Feed) => self.feed_up(now, key),
            Some(Role::Client(_) | Role::Check { .. }) | None => {}
        }
    }

    fn came(&mut self, now: Micros, key: ConnectionId) {
        match self.roles.get(key) {
            Some(Role::Client(_)) => self.client_came(now, key),
            Some(Role::Leg(_)) => self.answer_came(now, key),
            Some(Role::Check { last: false }) => self.check_came(key),
            Some(Role::Feed) => self.feed_came(now, key),
            Some(Role::Check { last: true }) | None => {}
        }
    }

    fn written(&mut self, now: Micros, key: ConnectionId) {
        match self.roles.get_mut(key) {
            Some(Role::Client(_)) => self.answer_written(now, key),
            // What was written may have been an earlier part of it.
            Some(Role::Leg(_)) if self.wires.get(key).is_some_and(|wire| wire.backlog() > 0) => {}
            Some(Role::Leg(leg)) if leg.feeding => {
                if let Some(Errand::Leg(request, ..)) = leg.state.errand() {
                    self.feed_on(request);
                }
            }
            Some(Role::Leg(leg)) => {
                let before = leg.state;
                leg.state = before.written();
                if let (true, Some(Errand::Leg(_, ticket, _))) =
                    (before != leg.state, leg.state.errand())
                {
                    self.router.leg_written(now, ticket);
                }
            }
            Some(Role::Check { last: true }) => self.drop_wire(key),
            Some(Role::Check { .. } | Role::Feed) | None => {}
        }
    }

    fn broken(&mut self, now: Micros, key: ConnectionId) {
        match self.roles.get(key) {
            Some(Role::Client(_)) => self.client_gone(now, key, Closing::Left),
            Some(Role::Leg(_)) => self.leg_broken(now, key),
            Some(Role::Feed) => self.feed_lost(now, key),
            Some(Role::Check { .. }) | None => self.drop_wire(key),
        }
    }

    fn drop_wire(&mut self, key: ConnectionId) {
        self.roles.remove(key);
        self.wires.close(key);
    }

    fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Connect(key) if self.wires.get(key).is_some_and(|wire| !wire.is_connected()) => {
                self.broken(now, key)
            }
            Due::Connect(_) => {}
            Due::Visit(key) => self.visit_due(now, key),
            Due::Probe(key) => self.probe_due(now, key),
            Due::Relay(key) => self.relay_due(now, key),
            Due::Late(key) => self.late(now, key),
            Due::Batch => self.batch_due(now),
            Due::Retire => self.retire(now),
            Due::Warm => self.list(now),
            Due::Beat => self.beat(now),
            Due::Load => self.tell_load(now),
            Due::Feed => self.open_feed(now),
            Due::NoticeOver => self.notice_over(now),
            Due::DrainOver => self.drain_over(now),
        }
    }

    /// How the proxy stands: it serves once the agent has told it all, and there is something to serve.
    fn stands(&self) -> NodeState {
        match (
            self.lifecycle.ending(),
            self.told && self.config_store.serves() && self.server_table.any(),
        ) {
            (true, _) => NodeState::Draining,
            (false, true) => NodeState::Ready,
            (false, false) => NodeState::Unavailable,
        }
    }

    /// The process was told to end: what was taken is finished first.
    pub fn leave(&mut self, now: Micros) {
        if self.lifecycle.end(now) {
            info!(self.log, "told to end");
            self.deadlines
                .enter(now + self.limits.notice, Due::NoticeOver);
            self.deadlines
                .enter(now + self.limits.drain, Due::DrainOver);
            self.beat_now();
        }
    }

    fn notice_over(&mut self, now: Micros) {
        self.wires.stop_listening(self.doors.0);
        let clients: Vec<ConnectionId> = self
            .roles
            .iter()
            .filter(|(_, r)| matches!(r, Role::Client(_)))
            .map(|(k, _)| k)
            .collect();
        clients.into_iter().for_each(|key| self.visit_due(now, key));
        self.may_finish();
    }

    /// The time to finish what was taken is over: who waits still is told so. Where a server has the request, the answer
    /// says that it may have run.
    fn drain_over(&mut self, now: Micros) {
        let owed: Vec<RequestKey> = self.requests.keys().collect();
        owed.into_iter()
            .for_each(|request| self.end(now, request, Ending::Failed));
        self.lifecycle.finish();
    }

    /// At the end: nothing is owed any more, and no client is there.
    fn may_finish(&mut self) {
        if self.lifecycle.ending() && self.requests.is_empty() && self.clients == 0 {
            self.lifecycle.finish();
        }
    }

    fn edge(&self) -> NodeInfo {
        let Settings {
            node, zone, region, ..
        } = &self.settings;
        NodeInfo {
            name: node.clone(),
            zone: zone.clone(),
            region: region.clone(),
            http: self.addresses.0,
        }
    }

    /// Writes out the log; what went wrong stands in it.
    pub fn write_out(&self) {
        self.ring.write_out();
    }
}
