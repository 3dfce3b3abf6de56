//! The event loop around the core: one thread, one calloop loop. What a dispatch brought is taken in first; then what is
//! due has its turn; then all that is to be written goes out.

mod connections;
mod http_calls;
mod peer_links;
mod pending_lookups;
mod platform_poller;
mod stall;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use calloop::channel::{self, Event};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
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
use crate::core::{Input, Output, Replica, ReplicaConfig};
use crate::dataplane_types::{ConnectionKey, FrameLimits, SlotMap};
use crate::disk::{self, Store, WriteRequest, WriterEvent};
use crate::limits;

/// What the settings must tell this program.
struct ListenAddresses {
    core: SocketAddr,
    operators: SocketAddr,
    clients: SocketAddr,
    folder: std::path::PathBuf,
}

/// Checks that the settings tell all that this program needs.
///
/// # Errors
/// A key that is missing, by its name.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    listen_addresses(settings).map(|_| ())
}

fn listen_addresses(settings: &Settings) -> eyre::Result<ListenAddresses> {
    let want = |key: &str| eyre!("settings: {key}: missing, and wanted on a machine of the core");
    if settings.zones.len() > limits::MAX_REPLICAS {
        return Err(eyre!("settings: zones: more than 128 replicas"));
    }
    Ok(ListenAddresses {
        core: settings.core_address(settings.ip),
        operators: settings.bind.ctl.ok_or_else(|| want("bind.ctl"))?,
        clients: settings.bind.dir.ok_or_else(|| want("bind.dir"))?,
        folder: settings.datadir.clone().ok_or_else(|| want("datadir"))?,
    })
}

/// All that runs on the loop.
struct Host {
    handle: LoopHandle<'static, Host>,
    start: Instant,
    log: Logger,
    core: Replica,
    address: SocketAddr,
    ttl: i64,
    frames: FrameLimits,
    write_requests: Sender<WriteRequest>,
    connections: SlotMap<ConnectionKey, Connection>,
    callers: usize,
    flush_queue: Vec<ConnectionKey>,
    read_buffer: Vec<u8>,
    outputs: Vec<Output>,
    peers: Vec<SocketAddr>,
    /// The link with each peer, and since when one without is missed.
    links: BTreeMap<SocketAddr, ConnectionKey>,
    reconnect_at: BTreeMap<SocketAddr, i64>,
    poller: Option<PlatformPoller>,
    lookups: PendingLookups,
    stall: StallDetector,
    next_upkeep: i64,
    /// Told to end then.
    shutdown_started_at: Option<i64>,
    /// After that it ends within this, whatever is left.
    grace: i64,
    disk_failure: Option<eyre::Report>,
}

/// Between two looks at silent links and missed peers.
const UPKEEP_INTERVAL: i64 = 200_000;
/// After SIGTERM the program stays for this at the least, so that all hear of it.
const MIN_SHUTDOWN_DURATION: i64 = 300_000;

/// Runs the program until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be had, or the disk does not write.
pub fn serve(settings: &Settings, log: Logger) -> eyre::Result<()> {
    let places = listen_addresses(settings)?;
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).wrap_err("signals")?;
    let opened = Store::open(&places.folder, settings.bootstrap)?;
    if let Some(why) = &opened.quarantined {
        error!(log, "the disk can't be trusted and counts as empty"; "why" => why);
    }
    let mut events: EventLoop<'static, Host> = EventLoop::try_new().wrap_err("event loop")?;
    let (done, written) = channel::channel();
    let orders = disk::spawn(opened.store, done)?;
    let start = Instant::now();
    let setup = ReplicaConfig {
        zones: settings.zones.keys().cloned().collect(),
        zone: settings.zone.clone(),
        address: Some(places.core),
        seeds: settings.seed_addresses(),
        seed: random_seed(settings),
        recovered: opened.recovered,
        transfer_limits: TransferLimits::default(),
    };
    let core = Replica::new(0, setup);
    info!(log, "starts"; "incarnation" => core.incarnation().number, "address" => places.core.to_string());
    let mut host = Host {
        handle: events.handle(),
        start,
        log,
        peers: core.peers(),
        core,
        address: places.core,
        ttl: limits::LOOKUP_TTL.min(settings.bounds.ttl_max.0),
        frames: FrameLimits::default(),
        write_requests: orders,
        connections: SlotMap::with_key(),
        callers: 0,
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
        grace: settings
            .bounds
            .grace
            .0
            .saturating_sub(limits::GRACE_MARGIN)
            .max(MIN_SHUTDOWN_DURATION),
        disk_failure: None,
    };
    let handle = events.handle();
    let signalled =
        |event: calloop::signals::Event, _: &mut _, host: &mut Host| match event.signal() {
            // The settings are read at the start alone: nothing here changes with them later.
            Signal::SIGHUP => {}
            _ => host.begin_shutdown(),
        };
    handle
        .insert_source(signals, signalled)
        .map_err(|e| e.error)
        .wrap_err("signals")?;
    let reported = |event: Event<WriterEvent>, _: &mut _, host: &mut Host| match event {
        Event::Msg(WriterEvent::Written(number)) => {
            host.check_for_stall();
            host.step_core(Input::Written(number));
        }
        Event::Msg(WriterEvent::WritesRejected(why)) => {
            error!(host.log, "the disk refuses writes, and is tried again"; "why" => format!("{why:#}"));
            host.step_core(Input::DiskFull(true));
        }
        Event::Msg(WriterEvent::WritesResumed) => {
            info!(host.log, #IMMEDIATE, "the disk takes writes again");
            host.step_core(Input::DiskFull(false));
        }
        Event::Msg(WriterEvent::Failed(error)) => host.disk_failure = Some(error),
        Event::Closed => {}
    };
    handle
        .insert_source(written, reported)
        .map_err(|e| e.error)
        .wrap_err("disk: its reports")?;
    for (address, role) in [
        (places.core, Role::Unidentified),
        (places.operators, Role::Operator),
        (places.clients, Role::Client),
    ] {
        let listener =
            connections::listen(address).wrap_err_with(|| format!("listening at {address}"))?;
        host.add_listener(listener, role)
            .wrap_err_with(|| format!("listening at {address}"))?;
    }
    host.run_due();
    while !host.is_finished() {
        let wait = host.next_wake().saturating_sub(host.now()).max(0);
        let wait = Some(Duration::from_micros(wait as u64));
        events.dispatch(wait, &mut host).wrap_err("event loop")?;
        host.run_due();
    }
    match host.disk_failure.take() {
        Some(error) => Err(error),
        None => {
            host.log_handover_result();
            Ok(())
        }
    }
}

/// For what is drawn by chance: differs from start to start, and from machine to machine.
fn random_seed(settings: &Settings) -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(settings.node.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Host {
    /// Microseconds since the start; never goes back.
    fn now(&self) -> i64 {
        self.start.elapsed().as_micros() as i64
    }

    fn next_wake(&self) -> i64 {
        let poller = self
            .poller
            .as_ref()
            .filter(|_| self.core.polls_platform(self.now()));
        let poller = poller.map_or(i64::MAX, PlatformPoller::wake_at);
        self.core
            .wake_at()
            .min(self.next_upkeep)
            .min(poller)
            .min(self.lookups.wake_at())
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_started_at.is_none() {
            self.shutdown_started_at = Some(self.now());
            info!(self.log, "told to end");
            self.step_core(Input::Shutdown);
        }
    }

    /// What operators look for before they take a machine and its disk away.
    fn log_handover_result(&self) {
        if self.core.is_handed_over() {
            info!(self.log, #IMMEDIATE, "handed over: a majority holds all without this replica");
        } else {
            warn!(
                self.log,
                "ends at the end of its grace, and a majority without it may not hold all"
            );
        }
    }

    fn is_finished(&self) -> bool {
        let Some(stopped) = self.shutdown_started_at else {
            return self.disk_failure.is_some();
        };
        let since = self.now() - stopped;
        let owed = |connection: &Connection| {
            connection.connected && connection.backlog() > 0 || connection.awaiting_reply
        };
        let idle = self.core.is_idle() && !self.connections.values().any(owed);
        let answered =
            since >= limits::SHUTDOWN_CALL_TIMEOUT || (idle && since >= MIN_SHUTDOWN_DURATION);
        self.disk_failure.is_some()
            || since >= self.grace
            || (answered && self.core.is_handed_over())
    }

    fn add_listener(&mut self, listener: TcpListener, role: Role) -> io::Result<()> {
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let accept = move |_: Readiness,
                           listener: &mut calloop::generic::NoIoDrop<TcpListener>,
                           host: &mut Host| {
            host.accept(listener, role);
            Ok(PostAction::Continue)
        };
        self.handle
            .insert_source(source, accept)
            .map(|_| ())
            .map_err(|e| e.error.into())
    }

    fn accept(&mut self, listener: &TcpListener, role: Role) {
        self.check_for_stall();
        loop {
            let stream = match listener.accept() {
                Ok(_) if role == Role::Unidentified && self.stall.is_suspect() => continue,
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                // Also where there are no descriptors left: the listener tells of it again.
                Err(_) => return,
            };
            let caller = matches!(role, Role::Operator | Role::Client);
            // Guards the descriptors: those of replicas and agents are kept free.
            if caller && self.callers >= limits::MAX_CALLERS {
                continue;
            }
            let ready = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if let Err(error) = ready.and_then(|()| self.register(stream, role, true).map(|_| ())) {
                warn!(self.log, "a connection can't be taken"; "why" => error.to_string());
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

    /// Opens a connection; it must come up by its deadline.
    fn connect(&mut self, address: SocketAddr, role: Role) -> Option<ConnectionKey> {
        let opened =
            connections::connect(address).and_then(|stream| self.register(stream, role, false));
        opened
            .inspect_err(|error| debug!(self.log, "connecting"; "peer" => address.to_string(), "why" => error.to_string()))
            .ok()
    }

    /// Takes a connection out of all tables.
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

    /// Reads what there is.
    fn read(&mut self, key: ConnectionKey) {
        loop {
            let now = self.now();
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            // What follows waits until the request before it is answered.
            connection.has_unread =
                connection.awaiting_reply && connection.input.len() >= limits::READ_BYTES;
            if connection.has_unread {
                return;
            }
            // Danger: a call whose caller is gone may be of long ago, and was sent again to others since. It is looked at only
            // once all that came with it was read, so that an end that came with it is seen first.
            let caller = matches!(connection.role, Role::Operator | Role::Client);
            let later = caller && connection.input.len() < limits::CALLER_READ_BYTES;
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => return self.close(key),
                Ok(length) => {
                    connection.last_received_at = now;
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    if !later {
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

    /// Looks at what has come.
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

    /// Appends bytes to what is to be written.
    fn write(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // Guards the memory against a peer that does not read.
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
        // Guards the memory on a long day: one large message must not be paid for as long as the connection lasts.
        connection.output.shrink_to(4 * 1024);
        connection.input.shrink_to(4 * 1024);
        if connection.closing {
            self.close(key);
        }
    }

    /// Hands an input to the core, and carries out what comes of it.
    fn step_core(&mut self, input: Input) {
        let now = self.now();
        let mut out = std::mem::take(&mut self.outputs);
        self.core.step(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                Output::SendToReplicas(to, peer_message) => {
                    self.send_to_replicas(&to, peer_message)
                }
                Output::Peers(peers) => {
                    self.peers = peers;
                    self.next_upkeep = now;
                }
                // A disk thread that has ended has said why, and the program ends with it.
                Output::Write(number, rows) => _ = self.write_requests.send((number, rows)),
                Output::Answer(call, reply) => {
                    let key = ConnectionKey::from(KeyData::from_ffi(call));
                    let (status, body) = reply.parts();
                    self.answer(key, status, &body);
                }
                Output::SendToAgents(links, down) => {
                    let mut bytes = Vec::new();
                    frames::encode(&mut bytes, &down);
                    for link in links {
                        self.write(ConnectionKey::from(KeyData::from_ffi(link)), &bytes);
                    }
                }
                Output::Log(text) => info!(self.log, "{}", text),
                Output::LogImmediately(text) => info!(self.log, #IMMEDIATE, "{}", text),
            }
        }
        self.outputs = out;
    }

    fn send_to_replicas(&mut self, to: &[SocketAddr], peer_message: PeerMessage) {
        let links: Vec<ConnectionKey> = to
            .iter()
            .filter_map(|peer| self.links.get(peer).copied())
            .collect();
        if links.is_empty() {
            return;
        }
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &Frame::PeerMessage(peer_message));
        for link in links {
            self.write(link, &bytes);
        }
    }

    /// What is due has its turn, then all goes out.
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
        // It may have stood still in this very turn.
        self.check_for_stall();
        self.stall.record_iteration(self.now());
        while let Some(key) = self.flush_queue.pop() {
            self.flush(key);
        }
    }

    /// Looks at silent connections and missed peers.
    fn upkeep(&mut self, now: i64) {
        let gone = |connection: &Connection| {
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
            .filter(|(_, connection)| gone(connection));
        for key in dead.map(|(key, _)| key).collect::<Vec<_>>() {
            self.close(key);
        }
        self.maintain_links(now);
    }
}
