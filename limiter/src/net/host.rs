//! The host: connections, and who is behind them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use slotmap::SecondaryMap;
use socket2::{Domain, Protocol, Socket, Type};
use streamarch::{ListKind, LoadReport, Micros, Outcome, ServerId};

use super::Clock;
use super::framing::{self, Answer};
use crate::config::Config;
use crate::counter::{Counted, Line};
use crate::deadlines::Deadlines;
use crate::engine::{Engine, Order};
use crate::front::platform::{self, Platform};
use crate::front::{Forward, Rejection};
use crate::legs::{self, Errand, LegState, Pool};
use crate::limits::Limits;
use crate::peers;
use crate::probes;
use crate::routing_table::{News, RoutingTable};
use crate::slots::{AuthorisationKey, ConnectionKey, SlotMap};

/// Whose a connection is.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// The acquirer side: a client's, and what it waits for.
    Acquirer { waits: Option<AuthorisationKey> },
    /// A server's.
    Server { server: ServerId, state: LegState },
    /// The counter's, by its line.
    Counter(usize),
    /// Discovery's.
    Watch,
}

struct Connection {
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    role: Role,
    up: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// To be closed once all is written.
    closing: bool,
}

/// What falls due.
#[derive(Debug)]
enum Due {
    Connect(ConnectionKey),
    Errand(ConnectionKey, Errand),
    Counter(usize),
    Retire,
    WatchRetry,
    WatchSilent(ConnectionKey, Micros),
    NoticeOver,
    DrainOver,
}

/// An authorisation whose final answer is owed.
struct Pending {
    origin: ConnectionKey,
    forward: Forward,
}

#[derive(Default)]
struct Watch {
    connection: Option<ConnectionKey>,
    /// The head of the answer has been read.
    streaming: bool,
    line: Vec<u8>,
    heard: Micros,
    wait: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Told to end, still taking new connections.
    Notice,
    /// Finishing what was taken.
    Draining,
    Finished,
}

/// All that runs on the loop.
pub struct Host {
    handle: LoopHandle<'static, Host>,
    clock: Clock,
    limits: Limits,
    name: String,
    phase: Phase,
    connections: SlotMap<ConnectionKey, Connection>,
    acquirers: usize,
    deadlines: Deadlines<Due>,
    dirty: Vec<ConnectionKey>,
    scratch: Vec<u8>,
    orders: Vec<Order>,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    accepting: bool,
    platform: Platform,
    engine: Engine,
    pool: Pool,
    pending: SecondaryMap<AuthorisationKey, Pending>,
    legs: SecondaryMap<AuthorisationKey, ConnectionKey>,
    table: RoutingTable,
    discovery: SocketAddr,
    watch: Watch,
    counter: Option<SocketAddr>,
    lines: Vec<Line>,
    datagrams: Option<UdpSocket>,
    peers: Vec<SocketAddr>,
    plans: usize,
    reports: bool,
}

fn nonblocking_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM.nonblocking().cloexec(), Some(Protocol::TCP))?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Linux's number for a connect that goes on in the background; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Whether an idle connection is still whole: nothing has come on it, no end either.
fn quiet(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

impl Host {
    /// Opens the sockets and starts from the list as last held.
    pub fn open(config: Config, handle: LoopHandle<'static, Host>) -> io::Result<Host> {
        let clock = Clock::new();
        let limits = config.limits;
        let mut table = RoutingTable::new(config.names.zones.clone(), config.names.kinds.clone());
        let settings = config.settings;
        let platform =
            Platform { names: config.names, classes: settings.classes.clone(), limiters: settings.gateways };
        let tell = settings.may_tell;
        let known = table.known(&config.known).unwrap_or_else(|error| {
            eprintln!("known list not taken: {error}");
            News { kind: ListKind::Cached, entries: Vec::new(), addresses: Vec::new(), gone: Vec::new() }
        });
        let plans = settings.plans.len();
        let counter = config.counter.filter(|_| settings.counter);
        let listener = TcpListener::bind(config.listen)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let accept = |_: Readiness, _: &mut _, host: &mut Host| {
            host.accept();
            Ok(PostAction::Continue)
        };
        let token = handle.insert_source(source, accept).map_err(|e| e.error)?;
        let datagrams = match config.peer_listen.filter(|_| tell) {
            Some(address) => {
                let socket = UdpSocket::bind(address)?;
                socket.set_nonblocking(true)?;
                let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
                let read = |_: Readiness, _: &mut _, host: &mut Host| {
                    host.read_datagrams();
                    Ok(PostAction::Continue)
                };
                handle.insert_source(source, read).map_err(|e| e.error)?;
                Some(socket)
            }
            None => None,
        };
        let mut host = Host {
            handle,
            clock,
            name: config.name,
            phase: Phase::Serving,
            connections: SlotMap::with_key(),
            acquirers: 0,
            deadlines: Deadlines::default(),
            dirty: Vec::new(),
            scratch: vec![0; limits.read_bytes],
            orders: Vec::new(),
            listener: Some((listener, token)),
            accepting: true,
            platform,
            engine: Engine::new(settings, config.seed, limits.held),
            pool: Pool::default(),
            pending: SecondaryMap::new(),
            legs: SecondaryMap::new(),
            table,
            discovery: config.discovery,
            watch: Watch { wait: limits.watch_retry, ..Watch::default() },
            counter,
            lines: (0..limits.counter_connections).map(|_| Line::default()).collect(),
            datagrams,
            peers: config.peers,
            plans,
            reports: config.reports,
            limits,
        };
        host.take_news(known);
        host.open_watch();
        for line in 0..host.lines.len() {
            host.open_line(line);
        }
        host.deadlines.enter(host.now() + host.limits.leg_idle / 4, Due::Retire);
        host.log(&format!("serving on {}", config.listen));
        Ok(host)
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        [self.deadlines.earliest(), self.engine.next()].into_iter().flatten().min()
    }

    /// All is done that was to be done.
    pub fn finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn log(&self, text: &str) {
        eprintln!("{} {text}", self.name);
    }

    /// What is due, what the module decides, what is to be written.
    pub fn turn(&mut self) {
        let now = self.now();
        while let Some(due) = self.deadlines.take_due(now) {
            self.due(now, due);
        }
        let mut orders = std::mem::take(&mut self.orders);
        self.engine.handle(now, &mut orders);
        for order in orders.drain(..) {
            self.carry_out(now, order);
        }
        self.orders = orders;
        for line in 0..self.lines.len() {
            self.write_line(now, line);
        }
        for key in std::mem::take(&mut self.dirty) {
            self.flush(key);
        }
        if self.phase == Phase::Draining && self.acquirers == 0 {
            self.log("all answered, ending");
            self.phase = Phase::Finished;
        }
    }

    fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Connect(key) => match self.connections.get(key).map(|c| (c.up, c.role)) {
                Some((false, Role::Server { .. })) => self.broken(key),
                Some((false, _)) => self.broken(key),
                _ => {}
            },
            Due::Errand(key, errand) => {
                let Some(Role::Server { state, .. }) = self.connections.get(key).map(|c| c.role) else {
                    return;
                };
                if state.errand() == Some(errand) {
                    self.end_errand(key, errand, state.overdue(), None);
                    self.close(key);
                }
            }
            Due::Counter(line) => {
                let mut counted = Vec::new();
                self.lines[line].expire(now, &mut counted);
                self.take_counted(counted);
                let stale = self.lines[line].stale(now - self.limits.counter_stale);
                if let Some(key) = self.lines[line].connection.filter(|_| stale) {
                    self.broken(key);
                }
            }
            Due::Retire => {
                for key in self.pool.retire(now - self.limits.leg_idle) {
                    self.close(key);
                }
                self.deadlines.enter(now + self.limits.leg_idle / 4, Due::Retire);
            }
            Due::WatchRetry => self.open_watch(),
            Due::WatchSilent(key, heard) => {
                if self.watch.connection != Some(key) {
                } else if self.watch.heard <= heard {
                    self.log("discovery silent: watch opened anew");
                    self.broken(key);
                } else {
                    let heard = self.watch.heard;
                    self.deadlines.enter(heard + self.limits.watch_silent, Due::WatchSilent(key, heard));
                }
            }
            Due::NoticeOver => self.notice_over(),
            Due::DrainOver => self.phase = Phase::Finished,
        }
    }

    fn carry_out(&mut self, now: Micros, order: Order) {
        match order {
            Order::StartLeg { key, leg, server, deadline } => self.start_leg(now, key, leg, server, deadline),
            Order::StopLeg { key, .. } => {
                if let Some(connection) = self.legs.remove(key) {
                    self.close(connection);
                }
            }
            Order::Answer { key, ending } => {
                let (status, stay_away) = platform::status(ending);
                self.finish(key, status, stay_away, b"");
            }
            Order::Count { name, add, life } => {
                let line = (name.0 % self.lines.len().max(1) as u64) as usize;
                let deadline = now + self.limits.counter_wait;
                let rested = self.lines[line].rested(now - self.limits.counter_idle);
                if let Some(old) = self.lines[line].connection.filter(|_| rested) {
                    // Guards against a call that crosses the counter's close of an idle connection.
                    self.broken(old);
                }
                self.lines[line].call(name, add, life, deadline);
                self.deadlines.enter(deadline, Due::Counter(line));
                if self.lines[line].connection.is_none() {
                    self.open_line(line);
                }
            }
            Order::Probe(server) => {
                self.start_errand(now, server, Errand::Probe, now + self.limits.probe_wait)
            }
            Order::Tell(number, notice) => {
                let to = self.peers.get(number as usize).copied();
                if let (Some(to), Some(socket), Some(bytes)) = (to, &self.datagrams, peers::encode(&notice)) {
                    // A datagram that cannot be sent is lost, as any may be.
                    let _ = socket.send_to(&bytes, to);
                }
            }
            Order::Log(text) => self.log(&text),
        }
    }

    // ------------------------------------------------------------------------------ connections

    fn register(&mut self, stream: TcpStream, role: Role, up: bool) -> io::Result<ConnectionKey> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self.connections.insert(Connection {
            stream,
            token: None,
            role,
            up,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            closing: false,
        });
        let ready = move |_: Readiness, _: &mut _, host: &mut Host| {
            host.ready(key);
            Ok(PostAction::Continue)
        };
        match self.handle.insert_source(source, ready) {
            Ok(token) => {
                self.connections[key].token = Some(token);
                Ok(key)
            }
            Err(error) => {
                self.connections.remove(key);
                Err(error.error.into())
            }
        }
    }

    /// Opens a connection; it must come up within the limit for that.
    fn connect(&mut self, address: SocketAddr, role: Role) -> io::Result<ConnectionKey> {
        let key = self.register(nonblocking_connect(address)?, role, false)?;
        self.deadlines.enter(self.now() + self.limits.connect, Due::Connect(key));
        Ok(key)
    }

    /// Takes a connection out of all tables.
    fn close(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(token) = connection.token {
            self.handle.remove(token);
        }
        match connection.role {
            Role::Acquirer { .. } => {
                self.acquirers -= 1;
                self.resume_accepting();
            }
            Role::Server { server, .. } => self.pool.closed(server, key),
            Role::Counter(_) | Role::Watch => {}
        }
        Some(connection)
    }

    /// The other side closed or broke a connection, or it never came up.
    fn broken(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.close(key) else { return };
        match connection.role {
            Role::Acquirer { waits: Some(authorisation) } => {
                self.pending.remove(authorisation);
                let mut orders = std::mem::take(&mut self.orders);
                self.engine.client_left(now, authorisation, &mut orders);
                for order in orders.drain(..) {
                    self.carry_out(now, order);
                }
                self.orders = orders;
            }
            Role::Acquirer { waits: None } => {}
            Role::Server { state, .. } => {
                if let Some(errand) = state.errand() {
                    let answer = framing::answer(&connection.input, true, &self.limits).ok().flatten();
                    let answer = answer.map(|(answer, _)| answer);
                    self.end_errand(key, errand, state.broken(), answer);
                }
            }
            Role::Counter(line) => {
                let mut counted = Vec::new();
                self.lines[line].broken(&mut counted);
                self.take_counted(counted);
            }
            Role::Watch => self.watch_lost(),
        }
    }

    fn ready(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !connection.up {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.up = true,
                Ok(None) => return,
                _ => return self.broken(key),
            }
            self.came_up(key);
        }
        if self.connections.get(key).is_some_and(|c| c.written < c.output.len()) {
            self.flush(key);
        }
        self.read(key);
    }

    fn came_up(&mut self, key: ConnectionKey) {
        let now = self.now();
        match self.connections.get(key).map(|c| c.role) {
            Some(Role::Server { .. }) => self.send_errand(now, key),
            Some(Role::Counter(line)) => {
                self.lines[line].connected(now);
                self.write_line(now, line);
            }
            Some(Role::Watch) => {
                let request = format!(
                    "GET /discovery/hosts?watch=1&from={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    self.table.index, self.discovery
                );
                self.write(key, request.as_bytes());
                self.watch.heard = now;
                self.deadlines.enter(now + self.limits.watch_silent, Due::WatchSilent(key, now));
            }
            Some(Role::Acquirer { .. }) | None => {}
        }
    }

    /// Reads all there is; then what came is looked at, and only then an end.
    fn read(&mut self, key: ConnectionKey) {
        let most = self.limits.head_bytes + self.limits.body_bytes + self.limits.line_bytes;
        let ended = loop {
            let Some(connection) = self.connections.get_mut(key) else { return };
            match (&*connection.stream).read(&mut self.scratch) {
                Ok(0) => break true,
                Ok(length) => connection.input.extend_from_slice(&self.scratch[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
            // Guards the memory against a peer that only ever sends.
            if connection.input.len() > most {
                break true;
            }
        };
        match self.connections.get(key).map(|c| (c.role, c.input.is_empty())) {
            Some((Role::Acquirer { .. }, false)) => self.read_request(key),
            Some((Role::Server { .. }, false)) => self.read_answer(key),
            Some((Role::Counter(line), false)) => self.read_totals(key, line),
            Some((Role::Watch, false)) => self.read_watch(key),
            _ => {}
        }
        if ended {
            self.broken(key);
        }
    }

    fn write(&mut self, key: ConnectionKey, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.output.extend_from_slice(bytes);
            self.dirty.push(key);
        }
    }

    fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key).filter(|c| c.up) else { return };
        while connection.written < connection.output.len() {
            match (&*connection.stream).write(&connection.output[connection.written..]) {
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.broken(key),
            }
        }
        connection.output.clear();
        connection.written = 0;
        if let Role::Server { state, .. } = &mut connection.role {
            *state = state.written();
        }
        if connection.closing {
            self.close(key);
        }
    }

    // ------------------------------------------------------------------------------ acquirer side

    fn accept(&mut self) {
        while self.accepting && self.listener.is_some() {
            if self.acquirers >= self.limits.acquirer_connections {
                return self.pause_accepting();
            }
            let Some((listener, _)) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    let role = Role::Acquirer { waits: None };
                    match ready.and_then(|()| self.register(stream, role, true)) {
                        Ok(_) => self.acquirers += 1,
                        Err(error) => self.log(&format!("cannot take a connection: {error}")),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => return self.log(&format!("cannot accept: {error}")),
            }
        }
    }

    /// At the most connections new ones wait with the system. An idle one makes room: it may be closed between
    /// requests.
    fn pause_accepting(&mut self) {
        let idle = |(_, c): &(ConnectionKey, &Connection)| {
            matches!(c.role, Role::Acquirer { waits: None }) && c.input.is_empty() && c.output.is_empty()
        };
        if let Some(key) = self.connections.iter().find(idle).map(|(key, _)| key) {
            self.close(key);
            return;
        }
        if let Some((_, token)) = &self.listener {
            self.accepting = self.handle.disable(token).is_err();
        }
        self.log("at the most connections: accepting paused");
    }

    fn resume_accepting(&mut self) {
        if let Some((_, token)) = self.listener.as_ref().filter(|_| !self.accepting) {
            self.accepting = self.handle.enable(token).is_ok();
        }
    }

    fn read_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        // One request at a time: what comes while one is out waits.
        if !matches!(connection.role, Role::Acquirer { waits: None }) || connection.closing {
            return;
        }
        let (request, length) = match framing::request(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(whole)) => whole,
            Err(malformed) => {
                let rejection = Rejection { status: malformed.status(), text: "malformed" };
                return self.reject(key, &rejection, true);
            }
        };
        connection.input.drain(..length);
        if request.method == "GET" && request.target == "/up" {
            let serving = self.phase == Phase::Serving && self.table.serving();
            let (status, text): (u16, &[u8]) = if serving { (200, b"up\n") } else { (503, b"not serving\n") };
            return self.answer(key, status, &[], text, !request.keep_alive);
        }
        let keep = request.keep_alive;
        let read = self.platform.read(&request, &self.limits, now);
        let taken = read.and_then(|authorisation| {
            let full = Rejection { status: 503, text: "too many requests held" };
            self.engine.take(authorisation).map_err(|_| full)
        });
        match taken {
            Ok(authorisation) => {
                let forward = Forward::of(&request);
                self.pending.insert(authorisation, Pending { origin: key, forward });
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.role = Role::Acquirer { waits: Some(authorisation) };
                    connection.closing = false;
                }
            }
            Err(rejection) => self.reject(key, &rejection, !keep),
        }
    }

    fn reject(&mut self, key: ConnectionKey, rejection: &Rejection, close: bool) {
        self.answer(key, rejection.status, &[], rejection.text.as_bytes(), close);
    }

    /// Writes an answer to a client; the connection is then free for the next request.
    fn answer(
        &mut self,
        key: ConnectionKey,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        close: bool,
    ) {
        let close = close || self.phase == Phase::Draining;
        let Some(connection) = self.connections.get_mut(key) else { return };
        framing::write_answer(&mut connection.output, status, headers, body, close);
        connection.closing = close;
        connection.role = Role::Acquirer { waits: None };
        self.dirty.push(key);
        if !connection.input.is_empty() && !close {
            self.read_request(key);
        }
    }

    /// The final answer of an authorisation that no server's answer ends.
    fn finish(&mut self, authorisation: AuthorisationKey, status: u16, stay_away: Micros, body: &[u8]) {
        let Some(pending) = self.pending.remove(authorisation) else { return };
        let stay = format!("{}.{:06}", stay_away / 1_000_000, stay_away % 1_000_000);
        let advice = [("Retry-After", stay.as_str())];
        let headers = if stay_away > 0 { &advice[..] } else { &[] };
        self.answer(pending.origin, status, headers, body, false);
    }

    // ------------------------------------------------------------------------------ legs

    fn start_leg(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        leg: u32,
        server: ServerId,
        deadline: Micros,
    ) {
        self.start_errand(now, server, Errand::Leg(key, leg), deadline);
    }

    /// Sends a leg or a probe on an idle connection, or on a new one.
    fn start_errand(&mut self, now: Micros, server: ServerId, errand: Errand, deadline: Micros) {
        while let Some(key) = self.pool.reuse(server) {
            let Some(connection) = self.connections.get_mut(key) else { continue };
            // Guards against a close that came meanwhile: what is written then would end in a reset.
            if !quiet(&connection.stream) {
                self.close(key);
                continue;
            }
            connection.role = Role::Server { server, state: LegState::Sending(errand) };
            self.out_on(key, errand, deadline);
            return self.send_errand(now, key);
        }
        if self.pool.connections() >= self.limits.leg_connections {
            match self.pool.idlest() {
                Some(key) => _ = self.close(key),
                None => return self.end_unsent(server, errand),
            }
        }
        let Some(address) = self.pool.address(server) else { return self.end_unsent(server, errand) };
        match self.connect(address, Role::Server { server, state: LegState::Connecting(errand) }) {
            Ok(key) => {
                self.pool.opened(server);
                self.out_on(key, errand, deadline);
            }
            Err(_) => self.end_unsent(server, errand),
        }
    }

    fn out_on(&mut self, key: ConnectionKey, errand: Errand, deadline: Micros) {
        if let Errand::Leg(authorisation, _) = errand {
            self.legs.insert(authorisation, key);
        }
        self.deadlines.enter(deadline, Due::Errand(key, errand));
    }

    fn end_unsent(&mut self, server: ServerId, errand: Errand) {
        let now = self.now();
        match errand {
            Errand::Leg(key, leg) => _ = self.engine.leg_ended(now, key, leg, Outcome::ConnectFailed, None),
            Errand::Probe => self.engine.probe_ended(server, Outcome::ConnectFailed, None),
        }
    }

    /// The connection is up: writes what the errand carries.
    fn send_errand(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Role::Server { server, state } = &mut connection.role else { return };
        *state = state.connected();
        match state.errand() {
            Some(Errand::Probe) => {
                let host = self.pool.address(*server).map(|a| a.to_string()).unwrap_or_default();
                connection.output.extend(probes::request(&host, self.reports));
            }
            Some(Errand::Leg(authorisation, _)) => {
                let Some(pending) = self.pending.get(authorisation) else { return };
                let left = self.engine.deadline(authorisation).map_or(0, |at| (at - now).max(0));
                connection.output.extend_from_slice(&pending.forward.head);
                // Writing to a vector cannot fail.
                let _ = write!(connection.output, "X-Expires-In: {:.3}\r\n\r\n", left as f64 / 1e6);
                connection.output.extend_from_slice(&pending.forward.body);
            }
            None => {}
        }
        self.dirty.push(key);
    }

    fn read_answer(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Role::Server { server, state } = connection.role else { return };
        let Some(errand) = state.errand() else {
            // Nothing was asked: whatever this is, the connection is of no more use.
            _ = self.close(key);
            return;
        };
        match framing::answer(&connection.input, false, &self.limits) {
            Ok(None) => {}
            Ok(Some((answer, length))) => {
                let clean = connection.input.len() == length && answer.keep_alive;
                let all_sent = connection.written == connection.output.len();
                connection.input.clear();
                connection.role = Role::Server { server, state: LegState::Idle };
                self.end_errand(key, errand, Outcome::Reset, Some(answer));
                let now = self.now();
                if !(clean && all_sent && self.pool.rest(server, key, now)) {
                    self.close(key);
                }
            }
            Err(_) => {
                self.end_errand(key, errand, Outcome::Error, None);
                self.close(key);
            }
        }
    }

    /// An errand is over: by its answer, or else by this outcome.
    fn end_errand(&mut self, key: ConnectionKey, errand: Errand, otherwise: Outcome, answer: Option<Answer>) {
        let now = self.now();
        let header = answer.as_ref().and_then(|a| a.headers.get("Endpoint-Load-Metrics"));
        let report: Option<LoadReport> = header.and_then(probes::report);
        match errand {
            Errand::Leg(authorisation, leg) => {
                if self.legs.get(authorisation) == Some(&key) {
                    self.legs.remove(authorisation);
                }
                let outcome = answer.as_ref().map_or(otherwise, legs::outcome);
                let answers = self.engine.leg_ended(now, authorisation, leg, outcome, report);
                if let (true, Some(answer)) = (answers, answer) {
                    let Some(pending) = self.pending.remove(authorisation) else { return };
                    let kind = answer.headers.get("Content-Type").map(|kind| ("Content-Type", kind));
                    self.answer(pending.origin, 200, kind.as_slice(), &answer.body, false);
                }
            }
            Errand::Probe => {
                let server = match self.connections.get(key).map(|c| c.role) {
                    Some(Role::Server { server, .. }) => server,
                    _ => return,
                };
                let body = answer.as_ref().and_then(|a| std::str::from_utf8(&a.body).ok());
                let report = report.or(body.and_then(probes::report));
                let outcome = answer.as_ref().map_or(otherwise, probes::outcome);
                self.engine.probe_ended(server, outcome, report);
            }
        }
    }

    // ------------------------------------------------------------------------------ counter

    fn open_line(&mut self, line: usize) {
        let Some(address) = self.counter else { return };
        match self.connect(address, Role::Counter(line)) {
            Ok(key) => self.lines[line].connection = Some(key),
            Err(_) => {
                let mut counted = Vec::new();
                self.lines[line].broken(&mut counted);
                self.take_counted(counted);
            }
        }
    }

    fn write_line(&mut self, now: Micros, line: usize) {
        let Some(key) = self.lines[line].connection else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        let before = connection.output.len();
        self.lines[line].write(now, "counter", &mut connection.output);
        if connection.output.len() > before {
            self.dirty.push(key);
        }
    }

    fn read_totals(&mut self, key: ConnectionKey, line: usize) {
        let now = self.now();
        let mut counted = Vec::new();
        let (mut at, mut bad) = (0, false);
        let Some(connection) = self.connections.get_mut(key) else { return };
        while at < connection.input.len() {
            match framing::answer(&connection.input[at..], false, &self.limits) {
                Ok(Some((answer, length))) => {
                    at += length;
                    counted.extend(self.lines[line].answered(now, &answer));
                    bad |= !answer.keep_alive;
                }
                Ok(None) => break,
                Err(_) => bad = true,
            }
            if bad {
                break;
            }
        }
        connection.input.drain(..at);
        self.take_counted(counted);
        if bad {
            self.broken(key);
        }
    }

    fn take_counted(&mut self, counted: Vec<Counted>) {
        for one in counted {
            self.engine.counted(one.name, one.outcome, one.total);
        }
    }

    // ------------------------------------------------------------------------------ routing table

    fn open_watch(&mut self) {
        (self.watch.streaming, self.watch.connection) = (false, None);
        self.watch.line.clear();
        match self.connect(self.discovery, Role::Watch) {
            Ok(key) => self.watch.connection = Some(key),
            Err(_) => self.watch_lost(),
        }
    }

    fn watch_lost(&mut self) {
        self.watch.connection = None;
        let at = self.now() + self.watch.wait;
        self.watch.wait = (self.watch.wait * 2).min(self.limits.watch_retry_longest);
        self.deadlines.enter(at, Due::WatchRetry);
    }

    fn read_watch(&mut self, key: ConnectionKey) {
        self.watch.heard = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let mut at = 0;
        let mut bad = false;
        if !self.watch.streaming {
            match framing::stream_head(&connection.input, &self.limits) {
                Ok(None) => return,
                Ok(Some((200, from))) => (self.watch.streaming, at) = (true, from),
                Ok(Some(_)) | Err(_) => bad = true,
            }
        }
        while !bad {
            match framing::chunk(&connection.input[at..], self.limits.line_bytes) {
                Ok(Some((part, length))) => {
                    bad = part.is_empty();
                    self.watch.line.extend_from_slice(&connection.input[at..][part]);
                    at += length;
                }
                Ok(None) => break,
                Err(_) => bad = true,
            }
            bad |= self.watch.line.len() > self.limits.line_bytes;
        }
        connection.input.drain(..at);
        while let Some(end) = self.watch.line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.watch.line.drain(..=end).collect();
            match self.table.line(&line) {
                Ok(None) => self.watch.wait = self.limits.watch_retry,
                Ok(Some(news)) => {
                    self.watch.wait = self.limits.watch_retry;
                    self.take_news(news);
                }
                Err(error) => {
                    self.log(&format!("discovery: {error}"));
                    bad = true;
                    break;
                }
            }
        }
        if bad {
            self.broken(key);
        }
    }

    fn take_news(&mut self, news: News) {
        for (server, address) in news.addresses {
            self.pool.listed(server, address);
        }
        for server in news.gone {
            for key in self.pool.unlisted(server) {
                self.close(key);
            }
        }
        self.engine.listed(news.kind, news.entries);
    }

    // ------------------------------------------------------------------------------ peers

    fn read_datagrams(&mut self) {
        let Some(socket) = &self.datagrams else { return };
        let mut bytes = [0; 512];
        while let Ok((length, _)) = socket.recv_from(&mut bytes) {
            if let Some(notice) = peers::decode(&bytes[..length], self.plans) {
                self.engine.told(notice);
            }
        }
    }

    // ------------------------------------------------------------------------------ the end

    /// Told to end. New connections are taken for as long as the front may still send some.
    pub fn drain(&mut self) {
        if self.phase != Phase::Serving {
            return;
        }
        self.log("told to end: taking connections through the notice, then finishing");
        self.phase = Phase::Notice;
        let now = self.now();
        self.deadlines.enter(now + self.limits.notice, Due::NoticeOver);
        self.deadlines.enter(now + self.limits.drain, Due::DrainOver);
    }

    fn notice_over(&mut self) {
        self.accept();
        self.phase = Phase::Draining;
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
        let acquirers = self.connections.iter().filter(|(_, c)| matches!(c.role, Role::Acquirer { .. }));
        for key in acquirers.map(|(key, _)| key).collect::<Vec<_>>() {
            // What is there already is taken; a close that crosses a request is made good by the client.
            self.read(key);
            let Some(connection) = self.connections.get_mut(key) else { continue };
            let idle = matches!(connection.role, Role::Acquirer { waits: None });
            if idle && connection.input.is_empty() && connection.output.is_empty() {
                self.close(key);
            }
        }
    }
}
