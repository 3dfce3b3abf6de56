//! The host of a replica: one thread with one event loop, around the deterministic core.
//!
//! Each iteration first takes in what was received, then runs what is due, and then writes everything that is to be sent.

mod connections;
mod http_calls;
mod peer_links;
mod pending_lookups;
mod platform_poller;
mod stall;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use calloop::channel::{self, Channel, Event};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use eyre::{WrapErr, eyre};
use protocol::frames;
use protocol::log_ring::IMMEDIATE;
use protocol::settings::Settings;
use slog::{Logger, debug, error, info, warn};
use slotmap::{Key, KeyData};

use self::connections::{Connection, Role};
use self::pending_lookups::PendingLookups;
use self::platform_poller::PlatformPoller;
use self::stall::StallDetector;
use crate::core::peer_messages::{Frame, PeerMessage};
use crate::core::transfer::TransferLimits;
use crate::core::{Input, Output, RecoveredState, Replica, ReplicaConfig};
use crate::dataplane_types::{ConnectionKey, FrameLimits, SlotMap};
use crate::disk::{self, Store, WriteRequest, WriterEvent};
use crate::limits;
use crate::operator_api::Reply;

/// The addresses to listen at, and the folder of the database, as the settings name them.
struct Paths {
    core: SocketAddr,
    operators: SocketAddr,
    clients: SocketAddr,
    folder: PathBuf,
}

/// Checks that the settings name everything that this program needs.
///
/// # Errors
/// A key that is missing, by its name.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    paths(settings).map(|_| ())
}

fn paths(settings: &Settings) -> eyre::Result<Paths> {
    let missing =
        |key: &str| eyre!("settings: {key}: missing, and wanted on a machine of the core");
    if settings.zones.len() > limits::MAX_REPLICAS {
        return Err(eyre!("settings: zones: more than 128 replicas"));
    }
    Ok(Paths {
        core: settings.core_address(settings.ip),
        operators: settings.bind.ctl.ok_or_else(|| missing("bind.ctl"))?,
        clients: settings.bind.dir.ok_or_else(|| missing("bind.dir"))?,
        folder: settings.datadir.clone().ok_or_else(|| missing("datadir"))?,
    })
}

/// The state of the event loop.
struct Host {
    handle: LoopHandle<'static, Host>,
    start: Instant,
    log: Logger,
    core: Replica,
    address: SocketAddr,
    lookup_ttl: i64,
    frames: FrameLimits,
    write_requests: Sender<WriteRequest>,
    connections: SlotMap<ConnectionKey, Connection>,
    /// How many connections of operators and clients there are.
    callers: usize,
    listeners: Vec<RegistrationToken>,
    /// Listeners that could not accept, as for want of descriptors: they are asked again at the next upkeep.
    paused_listeners: Vec<RegistrationToken>,
    flush_queue: Vec<ConnectionKey>,
    read_buffer: Vec<u8>,
    outputs: Vec<Output>,
    peers: Vec<SocketAddr>,
    /// The link in use with each peer.
    links: BTreeMap<SocketAddr, ConnectionKey>,
    /// When a link with a peer without one is to be opened.
    reconnect_at: BTreeMap<SocketAddr, i64>,
    poller: Option<PlatformPoller>,
    lookups: PendingLookups,
    stall: StallDetector,
    next_upkeep: i64,
    shutdown_started_at: Option<i64>,
    /// The longest time from then to the end of the process, in microseconds.
    grace: i64,
    disk_failure: Option<eyre::Report>,
}

/// The interval at which silent connections and missing links are looked for, in microseconds.
const UPKEEP_INTERVAL: i64 = 200_000;
/// The least time from SIGTERM to the end of the process, so that all peers hear of it, in microseconds.
const MIN_SHUTDOWN_DURATION: i64 = 300_000;
/// What an idle connection keeps of a buffer, in bytes.
const IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// Runs the program until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be had, or the disk fails.
pub fn serve(settings: &Settings, log: Logger) -> eyre::Result<()> {
    let paths = paths(settings)?;
    // Hazard: the writer's thread inherits the blocked signals only if they are blocked before it is started.
    let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals = Signals::new(&signals).wrap_err("signals")?;
    let opened = Store::open(&paths.folder, settings.bootstrap)?;
    if let Some(reason) = &opened.quarantined {
        error!(log, "disk is corrupt and counts as empty"; "error" => reason);
    }
    let mut events: EventLoop<'static, Host> = EventLoop::try_new().wrap_err("event loop")?;
    let (done, writer_events) = channel::channel();
    let write_requests = disk::spawn(opened.store, done)?;
    let config = replica_config(settings, &paths, opened.recovered);
    let mut host = Host::new(settings, config, write_requests, events.handle(), log);
    info!(host.log, "started";
        "incarnation" => host.core.incarnation().number, "address" => paths.core.to_string());
    host.add_signals(signals)?;
    host.add_writer_events(writer_events)?;
    host.listen(paths.core, Role::Unidentified)?;
    host.listen(paths.operators, Role::Operator)?;
    host.listen(paths.clients, Role::Client)?;
    host.run_due();
    while !host.is_finished() {
        let wait = host.next_wake().saturating_sub(host.now()).max(0);
        let wait = Some(Duration::from_micros(wait as u64));
        events.dispatch(wait, &mut host).wrap_err("event loop")?;
        host.run_due();
    }
    if let Some(error) = host.disk_failure.take() {
        return Err(error);
    }
    host.log_handover_result();
    Ok(())
}

fn replica_config(settings: &Settings, paths: &Paths, recovered: RecoveredState) -> ReplicaConfig {
    ReplicaConfig {
        zones: settings.zones.keys().cloned().collect(),
        zone: settings.zone.clone(),
        address: Some(paths.core),
        seed_addresses: settings.seed_addresses(),
        random_seed: random_seed(settings),
        recovered,
        transfer_limits: TransferLimits::default(),
    }
}

/// A seed that differs from start to start and from machine to machine.
fn random_seed(settings: &Settings) -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(settings.node.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Host {
    fn new(
        settings: &Settings,
        config: ReplicaConfig,
        write_requests: Sender<WriteRequest>,
        handle: LoopHandle<'static, Host>,
        log: Logger,
    ) -> Host {
        let start = Instant::now();
        let address = settings.core_address(settings.ip);
        let core = Replica::new(0, config);
        let grace = settings.bounds.grace.0;
        let grace = grace.saturating_sub(limits::GRACE_MARGIN);
        Host {
            handle,
            start,
            log,
            peers: core.peer_addresses(),
            core,
            address,
            lookup_ttl: limits::LOOKUP_TTL.min(settings.bounds.ttl_max.0),
            frames: FrameLimits::default(),
            write_requests,
            connections: SlotMap::with_key(),
            callers: 0,
            listeners: Vec::new(),
            paused_listeners: Vec::new(),
            flush_queue: Vec::new(),
            read_buffer: vec![0; limits::READ_BYTES],
            outputs: Vec::new(),
            links: BTreeMap::new(),
            reconnect_at: BTreeMap::new(),
            poller: settings.cloud_api.as_ref().map(PlatformPoller::new),
            lookups: PendingLookups::default(),
            stall: StallDetector::default(),
            next_upkeep: 0,
            shutdown_started_at: None,
            grace: grace.max(MIN_SHUTDOWN_DURATION),
            disk_failure: None,
        }
    }

    fn add_signals(&mut self, signals: Signals) -> eyre::Result<()> {
        let handle_signal = |event: calloop::signals::Event, _: &mut _, host: &mut Host| {
            match event.signal() {
                // The settings are read at the start alone: nothing here depends on a later change of them.
                Signal::SIGHUP => {}
                _ => host.begin_shutdown(),
            }
        };
        let inserted = self.handle.insert_source(signals, handle_signal);
        inserted.map_err(|e| e.error).wrap_err("signals")?;
        Ok(())
    }

    fn add_writer_events(&mut self, events: Channel<WriterEvent>) -> eyre::Result<()> {
        let handle_event = |event: Event<WriterEvent>, _: &mut _, host: &mut Host| {
            if let Event::Msg(event) = event {
                host.handle_writer_event(event);
            }
        };
        let inserted = self.handle.insert_source(events, handle_event);
        inserted.map_err(|e| e.error).wrap_err("disk: its events")?;
        Ok(())
    }

    fn handle_writer_event(&mut self, event: WriterEvent) {
        match event {
            WriterEvent::Written(id) => {
                self.check_for_stall();
                self.step_core(Input::WriteCompleted(id));
            }
            WriterEvent::WritesRejected(error) => {
                error!(self.log, "disk rejects writes, retrying"; "error" => format!("{error:#}"));
                self.step_core(Input::DiskFull(true));
            }
            WriterEvent::WritesResumed => {
                info!(self.log, #IMMEDIATE, "disk accepts writes again");
                self.step_core(Input::DiskFull(false));
            }
            WriterEvent::Failed(error) => self.disk_failure = Some(error),
        }
    }

    fn listen(&mut self, address: SocketAddr, role: Role) -> eyre::Result<()> {
        let listener = connections::listen(address);
        let added = listener.and_then(|listener| self.add_listener(listener, role));
        added.wrap_err_with(|| format!("listening at {address}"))
    }

    /// Microseconds since the start; never decreases.
    fn now(&self) -> i64 {
        self.start.elapsed().as_micros() as i64
    }

    fn next_wake(&self) -> i64 {
        let polls = self.core.should_poll_platform(self.now());
        let poller = self.poller.as_ref().filter(|_| polls);
        let poll_at = poller.map_or(i64::MAX, PlatformPoller::wake_at);
        let wakes = [self.next_upkeep, poll_at, self.lookups.wake_at()];
        wakes.into_iter().fold(self.core.wake_at(), i64::min)
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_started_at.is_none() {
            self.shutdown_started_at = Some(self.now());
            info!(self.log, "shutting down");
            self.step_core(Input::Shutdown);
        }
    }

    /// Logs what operators have to know before they remove a machine and its disk.
    fn log_handover_result(&self) {
        if self.core.is_handed_over() {
            info!(self.log, #IMMEDIATE, "handover complete");
        } else {
            warn!(self.log, "grace period is over, handover incomplete");
        }
    }

    fn is_finished(&self) -> bool {
        if self.disk_failure.is_some() {
            return true;
        }
        let Some(started_at) = self.shutdown_started_at else {
            return false;
        };
        let elapsed = self.now() - started_at;
        let mut connections = self.connections.values();
        let is_idle = self.core.is_idle() && !connections.any(Connection::has_pending_output);
        let is_answered = elapsed >= limits::SHUTDOWN_CALL_TIMEOUT
            || (is_idle && elapsed >= MIN_SHUTDOWN_DURATION);
        elapsed >= self.grace || (is_answered && self.core.is_handed_over())
    }

    fn add_listener(&mut self, listener: TcpListener, role: Role) -> io::Result<()> {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let number = self.listeners.len();
        let accept = move |_: Readiness,
                           listener: &mut calloop::generic::NoIoDrop<TcpListener>,
                           host: &mut Host| {
            if host.accept(listener, role).is_ok() {
                return Ok(PostAction::Continue);
            }
            host.paused_listeners.push(host.listeners[number]);
            Ok(PostAction::Disable)
        };
        let token = self.handle.insert_source(source, accept);
        self.listeners.push(token.map_err(|e| e.error)?);
        Ok(())
    }

    /// Asks listeners again that could not accept.
    fn resume_listeners(&mut self) {
        for token in std::mem::take(&mut self.paused_listeners) {
            if let Err(error) = self.handle.enable(&token) {
                warn!(self.log, "listening again failed"; "error" => error.to_string());
                self.paused_listeners.push(token);
            }
        }
    }

    /// Accepts all connections that wait.
    ///
    /// # Errors
    /// One can't be accepted, as for want of descriptors. It goes on waiting, and is reported all the time.
    fn accept(&mut self, listener: &TcpListener, role: Role) -> io::Result<()> {
        self.check_for_stall();
        loop {
            let stream = match listener.accept() {
                Ok(_) if role == Role::Unidentified && self.stall.is_suspect() => continue,
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            let caller = matches!(role, Role::Operator | Role::Client);
            // Descriptors are kept free for replicas and agents.
            if caller && self.callers >= limits::MAX_CALLERS {
                continue;
            }
            let ready = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if let Err(error) = ready.and_then(|()| self.register(stream, role, true).map(|_| ())) {
                warn!(self.log, "accepting a connection failed"; "error" => error.to_string());
            } else if caller {
                self.callers += 1;
            }
        }
    }

    fn register(
        &mut self,
        stream: std::net::TcpStream,
        role: Role,
        up: bool,
    ) -> io::Result<ConnectionKey> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self
            .connections
            .insert(Connection::new(stream, role, up, self.now()));
        let ready = move |_: Readiness, _: &mut _, host: &mut Host| {
            host.handle_ready(key);
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

    /// Opens a connection, which is closed again if it is not established within [`limits::CONNECT_TIMEOUT`].
    fn connect(&mut self, address: SocketAddr, role: Role) -> Option<ConnectionKey> {
        let opened =
            connections::connect(address).and_then(|stream| self.register(stream, role, false));
        opened
            .inspect_err(|error| debug!(self.log, "connecting failed"; "peer" => address.to_string(), "error" => error.to_string()))
            .ok()
    }

    /// Closes a connection and removes it from all tables.
    fn close(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        if let Some(token) = connection.token {
            self.handle.remove(token);
        }
        match connection.role {
            Role::Unidentified => {}
            Role::Replica { peer } => self.handle_link_lost(key, peer),
            Role::Agent => self.step_core(Input::AgentDisconnected(key.data().as_ffi())),
            Role::Operator | Role::Client => self.callers -= 1,
            Role::Platform => self.handle_platform_disconnected(key, connection.opened_at),
        }
    }

    fn handle_ready(&mut self, key: ConnectionKey) {
        self.check_for_stall();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.connected = true,
                Ok(None) => return,
                _ => return self.close(key),
            }
            self.handle_connected(key);
        }
        if self
            .connections
            .get(key)
            .is_some_and(|connection| connection.backlog() > 0)
        {
            self.flush(key);
        }
        self.read(key);
    }

    /// Reads everything that was received on a connection.
    fn read(&mut self, key: ConnectionKey) {
        loop {
            let now = self.now();
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            // Further requests of a caller wait until the one before them is answered.
            connection.has_unread =
                connection.awaiting_reply && connection.input.len() >= limits::READ_BYTES;
            if connection.has_unread {
                return;
            }
            // Hazard: a call whose caller is gone may be old, and sent again to another replica since. It is handled only once
            // everything that was received with it is read, so that the end of the connection is seen first.
            let caller = matches!(connection.role, Role::Operator | Role::Client);
            let defer = caller && connection.input.len() < limits::CALLER_READ_BYTES;
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => return self.close(key),
                Ok(length) => {
                    connection.last_received_at = now;
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    if !defer {
                        self.dispatch_input(key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && caller => {
                    return self.dispatch_input(key);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    /// Handles what was received, by the role of the connection.
    fn dispatch_input(&mut self, key: ConnectionKey) {
        match self.connections.get(key).map(|connection| connection.role) {
            Some(Role::Unidentified) => self.identify(key),
            Some(Role::Replica { .. }) => self.read_replica(key),
            Some(Role::Agent) => self.read_agent(key),
            Some(Role::Operator | Role::Client) => self.read_call(key),
            Some(Role::Platform) => self.read_page(key),
            None => {}
        }
    }

    /// Queues bytes to be written at the end of this iteration.
    fn write(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // A peer that does not read must not use up the memory.
        if connection.backlog() + bytes.len() > limits::MAX_BACKLOG_BYTES {
            return self.close(key);
        }
        connection.output.extend_from_slice(bytes);
        connection.last_sent_at = now;
        self.flush_queue.push(key);
    }

    fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.connected)
        else {
            return;
        };
        while connection.backlog() > 0 {
            match (&*connection.stream).write(&connection.output[connection.written..]) {
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
        connection.output.clear();
        connection.written = 0;
        // One large message must not cost memory for as long as the connection lasts.
        connection.output.shrink_to(IDLE_BUFFER_BYTES);
        connection.input.shrink_to(IDLE_BUFFER_BYTES);
        if connection.closing {
            self.close(key);
        }
    }

    /// Passes an input to the core, and carries out its outputs.
    fn step_core(&mut self, input: Input) {
        let now = self.now();
        let mut out = std::mem::take(&mut self.outputs);
        self.core.step(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                Output::SendToReplicas(to, message) => self.send_to_replicas(&to, message),
                Output::Peers(peers) => {
                    self.peers = peers;
                    self.next_upkeep = now;
                }
                // The writer's thread has reported why it ended, and the program ends with it.
                Output::Write(number, rows) => _ = self.write_requests.send((number, rows)),
                Output::Answer(call, reply) => {
                    let key = ConnectionKey::from(KeyData::from_ffi(call));
                    self.send_reply(key, reply);
                }
                Output::SendToAgents(links, message) => {
                    let mut bytes = Vec::new();
                    frames::encode(&mut bytes, &message);
                    for link in links {
                        self.write(ConnectionKey::from(KeyData::from_ffi(link)), &bytes);
                    }
                }
                Output::Log(event) if event.is_immediate() => {
                    info!(self.log, #IMMEDIATE, "{}", event.message(); event)
                }
                Output::Log(event) => info!(self.log, "{}", event.message(); event),
            }
        }
        self.outputs = out;
    }

    /// Answers a caller.
    fn send_reply(&mut self, key: ConnectionKey, reply: Reply) {
        let (status, body) = reply.parts();
        self.answer(key, status, &body);
    }

    fn send_to_replicas(&mut self, to: &[SocketAddr], message: PeerMessage) {
        let links: Vec<ConnectionKey> = to
            .iter()
            .filter_map(|peer| self.links.get(peer).copied())
            .collect();
        if links.is_empty() {
            return;
        }
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &Frame::PeerMessage(message));
        for link in links {
            self.write(link, &bytes);
        }
    }

    /// Runs what is due, then writes everything that is queued.
    fn run_due(&mut self) {
        let now = self.now();
        if now >= self.core.wake_at() {
            self.step_core(Input::Tick);
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP_INTERVAL;
            self.upkeep(now);
        }
        self.poll_platform(now);
        self.answer_lookups(now);
        // The process may have stalled in this very iteration.
        self.check_for_stall();
        self.stall.record_iteration(self.now());
        while let Some(key) = self.flush_queue.pop() {
            self.flush(key);
        }
    }

    /// Closes silent connections, and opens missing links.
    fn upkeep(&mut self, now: i64) {
        self.resume_listeners();
        let is_dead = |connection: &Connection| {
            let silent = now - connection.last_received_at;
            match connection.role {
                _ if !connection.connected => now - connection.opened_at >= limits::CONNECT_TIMEOUT,
                Role::Replica { .. } => silent >= limits::PEER_LINK_TIMEOUT,
                Role::Unidentified | Role::Agent => silent >= limits::AGENT_LINK_TIMEOUT,
                Role::Operator | Role::Client => {
                    silent >= limits::CALLER_IDLE_TIMEOUT && !connection.awaiting_reply
                }
                Role::Platform => false,
            }
        };
        let dead = self
            .connections
            .iter()
            .filter(|(_, connection)| is_dead(connection));
        for key in dead.map(|(key, _)| key).collect::<Vec<_>>() {
            self.close(key);
        }
        self.maintain_links(now);
    }
}
