//! The host of a replica: one thread with one event loop, around the deterministic core.
//!
//! Each iteration first handles received input, then runs due timers, and then writes all queued output.

mod connections;
mod http_calls;
mod peer_links;
mod pending_lookups;
mod platform_poller;
mod stall;

use std::collections::{BTreeMap, VecDeque};
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

/// The listen addresses and the database folder, from the settings.
struct Endpoints {
    core: SocketAddr,
    operators: SocketAddr,
    clients: SocketAddr,
    data_folder: PathBuf,
}

/// Checks that the settings have all keys that this program needs.
///
/// # Errors
/// The name of a missing key.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    endpoints(settings).map(|_| ())
}

fn endpoints(settings: &Settings) -> eyre::Result<Endpoints> {
    let missing = |key: &str| eyre!("settings: {key}: missing, required by the control program");
    if settings.zones.len() > limits::MAX_REPLICAS {
        return Err(eyre!("settings: zones: more than 128 replicas"));
    }
    Ok(Endpoints {
        core: settings.core_address(settings.ip),
        operators: settings.bind.ctl.ok_or_else(|| missing("bind.ctl"))?,
        clients: settings.bind.dir.ok_or_else(|| missing("bind.dir"))?,
        data_folder: settings.datadir.clone().ok_or_else(|| missing("datadir"))?,
    })
}

/// The state of the event loop.
struct Host {
    handle: LoopHandle<'static, Host>,
    started_at: Instant,
    log: Logger,
    core: Replica,
    address: SocketAddr,
    /// The validity of an answer to a lookup, in microseconds.
    lookup_ttl_us: i64,
    frame_limits: FrameLimits,
    write_requests: Sender<WriteRequest>,
    connections: SlotMap<ConnectionKey, Connection>,
    /// The number of connections of operators and clients.
    caller_count: usize,
    listeners: Vec<RegistrationToken>,
    /// Listeners that could not accept, for example for lack of file descriptors: they are retried at the next upkeep.
    paused_listeners: Vec<RegistrationToken>,
    flush_queue: Vec<ConnectionKey>,
    read_buffer: Vec<u8>,
    outputs: Vec<Output>,
    peers: Vec<SocketAddr>,
    /// The link in use with each peer.
    links: BTreeMap<SocketAddr, ConnectionKey>,
    /// When to open a link to each peer that has none.
    reconnect_at: BTreeMap<SocketAddr, i64>,
    poller: Option<PlatformPoller>,
    lookups: PendingLookups,
    /// Callers that have been answered and whose next calls, which may have arrived already, are to be read.
    answered_callers: VecDeque<ConnectionKey>,
    stall: StallDetector,
    next_upkeep_at: i64,
    shutdown_started_at: Option<i64>,
    /// The longest time from the start of the shutdown to the end of the process, in microseconds.
    grace_period_us: i64,
    disk_failure: Option<eyre::Report>,
}

/// The interval of the check for silent connections and missing links, in microseconds.
const UPKEEP_INTERVAL_US: i64 = 200_000;
/// The shortest time from SIGTERM to the end of the process, in microseconds: all peers have to be notified before.
const MIN_SHUTDOWN_DURATION_US: i64 = 300_000;
/// The capacity to which the buffers of an idle connection shrink.
const IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// Runs the program until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be bound, or the database can't be opened or has become corrupt.
pub fn serve(settings: &Settings, log: Logger) -> eyre::Result<()> {
    let endpoints = endpoints(settings)?;
    // The signals have to be blocked before the writer thread starts, which inherits the mask: otherwise they might be
    // delivered to that thread.
    let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals = Signals::new(&signals).wrap_err("signals")?;
    let opened = Store::open(&endpoints.data_folder, settings.bootstrap)?;
    if let Some(reason) = &opened.quarantined {
        error!(log, "database corrupt and quarantined, starting with an empty state"; "error" => reason);
    }
    let mut events: EventLoop<'static, Host> = EventLoop::try_new().wrap_err("event loop")?;
    let (events_sender, writer_events) = channel::channel();
    let write_requests = disk::spawn(opened.store, events_sender)?;
    let config = replica_config(settings, &endpoints, opened.recovered);
    let mut host = Host::new(settings, config, write_requests, events.handle(), log);
    info!(host.log, "started";
        "incarnation" => host.core.incarnation().number, "address" => endpoints.core.to_string());
    host.add_signals(signals)?;
    host.add_writer_events(writer_events)?;
    host.listen(endpoints.core, Role::Unidentified)?;
    host.listen(endpoints.operators, Role::Operator)?;
    host.listen(endpoints.clients, Role::Client)?;
    host.run_due();
    while !host.is_finished() {
        let timeout_us = host.next_wake_at().saturating_sub(host.now()).max(0);
        let timeout = Some(Duration::from_micros(timeout_us as u64));
        events.dispatch(timeout, &mut host).wrap_err("event loop")?;
        host.run_due();
    }
    if let Some(error) = host.disk_failure.take() {
        return Err(error);
    }
    host.log_handover_result();
    Ok(())
}

fn replica_config(
    settings: &Settings,
    endpoints: &Endpoints,
    recovered: RecoveredState,
) -> ReplicaConfig {
    ReplicaConfig {
        zones: settings.zones.keys().cloned().collect(),
        zone: settings.zone.clone(),
        address: Some(endpoints.core),
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
        let started_at = Instant::now();
        let address = settings.core_address(settings.ip);
        let core = Replica::new(0, config);
        let grace_us = settings.bounds.grace.0;
        let grace_us = grace_us.saturating_sub(limits::GRACE_MARGIN);
        Host {
            handle,
            started_at,
            log,
            peers: core.peer_addresses(),
            core,
            address,
            lookup_ttl_us: limits::LOOKUP_TTL.min(settings.bounds.ttl_max.0),
            frame_limits: FrameLimits::default(),
            write_requests,
            connections: SlotMap::with_key(),
            caller_count: 0,
            listeners: Vec::new(),
            paused_listeners: Vec::new(),
            flush_queue: Vec::new(),
            read_buffer: vec![0; limits::READ_BYTES],
            outputs: Vec::new(),
            links: BTreeMap::new(),
            reconnect_at: BTreeMap::new(),
            poller: settings.cloud_api.as_ref().map(PlatformPoller::new),
            lookups: PendingLookups::default(),
            answered_callers: VecDeque::new(),
            stall: StallDetector::default(),
            next_upkeep_at: 0,
            shutdown_started_at: None,
            grace_period_us: grace_us.max(MIN_SHUTDOWN_DURATION_US),
            disk_failure: None,
        }
    }

    fn add_signals(&mut self, signals: Signals) -> eyre::Result<()> {
        let handle_signal = |event: calloop::signals::Event, _: &mut _, host: &mut Host| {
            match event.signal() {
                // The settings are read only at the start: a reload would change nothing.
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
        inserted
            .map_err(|e| e.error)
            .wrap_err("disk: event channel")?;
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
        self.started_at.elapsed().as_micros() as i64
    }

    /// When the event loop has to run next without an event.
    fn next_wake_at(&self) -> i64 {
        let should_poll = self.core.should_poll_platform(self.now());
        let poller = self.poller.as_ref().filter(|_| should_poll);
        let poll_at = poller.map_or(i64::MAX, PlatformPoller::wake_at);
        let next_call_at = if self.answered_callers.is_empty() {
            i64::MAX
        } else {
            self.now()
        };
        let wake_times = [
            self.next_upkeep_at,
            poll_at,
            self.lookups.wake_at(),
            next_call_at,
        ];
        wake_times.into_iter().fold(self.core.wake_at(), i64::min)
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_started_at.is_none() {
            self.shutdown_started_at = Some(self.now());
            info!(self.log, "shutting down");
            self.step_core(Input::Shutdown);
        }
    }

    /// Logs whether the handover is complete: operators check this before they remove a machine and its disk.
    fn log_handover_result(&self) {
        if self.core.is_handed_over() {
            info!(self.log, #IMMEDIATE, "handover complete");
        } else {
            warn!(self.log, "grace period is over, handover incomplete");
        }
    }

    /// Whether the process ends now.
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
        let calls_completed = elapsed >= limits::SHUTDOWN_CALL_TIMEOUT
            || (is_idle && elapsed >= MIN_SHUTDOWN_DURATION_US);
        elapsed >= self.grace_period_us || (calls_completed && self.core.is_handed_over())
    }

    fn add_listener(&mut self, listener: TcpListener, role: Role) -> io::Result<()> {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let index = self.listeners.len();
        let accept = move |_: Readiness,
                           listener: &mut calloop::generic::NoIoDrop<TcpListener>,
                           host: &mut Host| {
            if host.accept(listener, role).is_ok() {
                return Ok(PostAction::Continue);
            }
            host.paused_listeners.push(host.listeners[index]);
            Ok(PostAction::Disable)
        };
        let token = self.handle.insert_source(source, accept);
        self.listeners.push(token.map_err(|e| e.error)?);
        Ok(())
    }

    /// Resumes listeners that could not accept.
    fn resume_listeners(&mut self) {
        for token in std::mem::take(&mut self.paused_listeners) {
            if let Err(error) = self.handle.enable(&token) {
                warn!(self.log, "resuming a listener failed"; "error" => error.to_string());
                self.paused_listeners.push(token);
            }
        }
    }

    /// Accepts all pending connections.
    ///
    /// # Errors
    /// A connection can't be accepted, for example for lack of file descriptors. It stays pending and keeps the listener
    /// readable, so that the listener has to be disabled.
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
            let is_caller = matches!(role, Role::Operator | Role::Client);
            // File descriptors are reserved for replicas and agents.
            if is_caller && self.caller_count >= limits::MAX_CALLERS {
                continue;
            }
            let configured = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if let Err(error) =
                configured.and_then(|()| self.register(stream, role, true).map(|_| ()))
            {
                warn!(self.log, "accepting a connection failed"; "error" => error.to_string());
            } else if is_caller {
                self.caller_count += 1;
            }
        }
    }

    /// Adds a connection to the event loop.
    fn register(
        &mut self,
        stream: std::net::TcpStream,
        role: Role,
        is_connected: bool,
    ) -> io::Result<ConnectionKey> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self
            .connections
            .insert(Connection::new(stream, role, is_connected, self.now()));
        let on_ready = move |_: Readiness, _: &mut _, host: &mut Host| {
            host.handle_ready(key);
            Ok(PostAction::Continue)
        };
        match self.handle.insert_source(source, on_ready) {
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

    /// Opens a connection, which the upkeep closes if it is not established within [`limits::CONNECT_TIMEOUT`].
    fn connect(&mut self, address: SocketAddr, role: Role) -> Option<ConnectionKey> {
        let registered =
            connections::connect(address).and_then(|stream| self.register(stream, role, false));
        registered
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
            Role::Operator | Role::Client => self.caller_count -= 1,
            Role::Platform => self.handle_platform_disconnected(key, connection.opened_at),
        }
    }

    fn handle_ready(&mut self, key: ConnectionKey) {
        self.check_for_stall();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.is_connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.is_connected = true,
                Ok(None) => return,
                _ => return self.close(key),
            }
            self.handle_connected(key);
        }
        if self
            .connections
            .get(key)
            .is_some_and(|connection| connection.backlog_bytes() > 0)
        {
            self.flush(key);
        }
        self.read(key);
    }

    /// Reads all received bytes of a connection.
    fn read(&mut self, key: ConnectionKey) {
        loop {
            let now = self.now();
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            // Pipelined requests of a caller are left unread until the current one is answered.
            connection.has_unread =
                connection.awaiting_reply && connection.input.len() >= limits::READ_BYTES;
            if connection.has_unread {
                return;
            }
            // A call whose caller has disconnected may be old, and may have been retried at another replica since: executing it
            // could undo a later call. So a call is handled only once all received bytes are read, as the end of the
            // connection is then detected first.
            let is_caller = matches!(connection.role, Role::Operator | Role::Client);
            let is_deferred = is_caller && connection.input.len() < limits::CALLER_READ_BYTES;
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => return self.handle_end_of_input(key),
                Ok(length) => {
                    connection.last_received_at = now;
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    if !is_deferred {
                        self.dispatch_input(key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && is_caller => {
                    return self.dispatch_input(key);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    /// Handles the orderly end of the received bytes, which may complete a page of the platform's list.
    fn handle_end_of_input(&mut self, key: ConnectionKey) {
        let has_partial_page = self.connections.get(key).is_some_and(|connection| {
            connection.role == Role::Platform && !connection.input.is_empty()
        });
        if has_partial_page {
            self.read_page(key, true);
        }
        self.close(key);
    }

    /// Handles received bytes by the role of the connection.
    fn dispatch_input(&mut self, key: ConnectionKey) {
        match self.connections.get(key).map(|connection| connection.role) {
            Some(Role::Unidentified) => self.identify(key),
            Some(Role::Replica { .. }) => self.read_replica(key),
            Some(Role::Agent) => self.read_agent(key),
            Some(Role::Operator | Role::Client) => self.read_call(key),
            Some(Role::Platform) => self.read_page(key, false),
            None => {}
        }
    }

    /// Queues bytes to be written at the end of this iteration.
    fn write(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // A peer that does not read must not exhaust the memory.
        if connection.backlog_bytes() + bytes.len() > limits::MAX_BACKLOG_BYTES {
            return self.close(key);
        }
        connection.output.extend_from_slice(bytes);
        connection.last_sent_at = now;
        self.flush_queue.push(key);
    }

    /// Writes the queued bytes of a connection as far as its socket accepts them.
    fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.is_connected)
        else {
            return;
        };
        while connection.backlog_bytes() > 0 {
            match (&*connection.stream).write(&connection.output[connection.written..]) {
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
        connection.output.clear();
        connection.written = 0;
        // Otherwise one large message would occupy memory for the lifetime of the connection.
        connection.output.shrink_to(IDLE_BUFFER_BYTES);
        connection.input.shrink_to(IDLE_BUFFER_BYTES);
        if connection.closing {
            self.close(key);
        }
    }

    /// Passes an input to the core, and carries out its outputs.
    fn step_core(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = std::mem::take(&mut self.outputs);
        self.core.step(now, input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::SendToReplicas(peers, message) => self.send_to_replicas(&peers, message),
                Output::Peers(peers) => {
                    self.peers = peers;
                    self.next_upkeep_at = now;
                }
                // Sending fails only after the writer thread has ended, which it has reported: the program is about to end.
                Output::Write(id, records) => _ = self.write_requests.send((id, records)),
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
        self.outputs = outputs;
    }

    /// Answers a caller.
    fn send_reply(&mut self, key: ConnectionKey, reply: Reply) {
        let (status, body) = reply.parts();
        self.answer(key, status, &body);
    }

    fn send_to_replicas(&mut self, peers: &[SocketAddr], message: PeerMessage) {
        let links: Vec<ConnectionKey> = peers
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

    /// Runs due timers, then writes all queued output.
    fn run_due(&mut self) {
        let now = self.now();
        if now >= self.core.wake_at() {
            self.step_core(Input::Tick);
        }
        if now >= self.next_upkeep_at {
            self.next_upkeep_at = now + UPKEEP_INTERVAL_US;
            self.upkeep(now);
        }
        self.poll_platform(now);
        self.answer_lookups(now);
        self.read_next_calls();
        // The process may have stalled during this iteration.
        self.check_for_stall();
        self.stall.record_iteration(self.now());
        while let Some(key) = self.flush_queue.pop() {
            self.flush(key);
        }
    }

    /// Resumes paused listeners, closes silent connections, and maintains the links with peers.
    fn upkeep(&mut self, now: i64) {
        self.resume_listeners();
        let is_dead = |connection: &Connection| {
            let silent_for = now - connection.last_received_at;
            match connection.role {
                _ if !connection.is_connected => {
                    now - connection.opened_at >= limits::CONNECT_TIMEOUT
                }
                Role::Replica { .. } => silent_for >= limits::PEER_LINK_TIMEOUT,
                Role::Unidentified | Role::Agent => silent_for >= limits::AGENT_LINK_TIMEOUT,
                Role::Operator | Role::Client => {
                    silent_for >= limits::CALLER_IDLE_TIMEOUT && !connection.awaiting_reply
                }
                Role::Platform => false,
            }
        };
        let dead_connections = self
            .connections
            .iter()
            .filter(|(_, connection)| is_dead(connection));
        for key in dead_connections.map(|(key, _)| key).collect::<Vec<_>>() {
            self.close(key);
        }
        self.maintain_links(now);
    }
}
