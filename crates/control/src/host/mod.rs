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
use crate::core::{Core, Input, Output, ReplicaConfig};
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
    places(settings).map(|_| ())
}

fn places(settings: &Settings) -> eyre::Result<ListenAddresses> {
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
    core: Core,
    address: SocketAddr,
    ttl: i64,
    frames: FrameLimits,
    orders: Sender<WriteRequest>,
    connections: SlotMap<ConnectionKey, Connection>,
    callers: usize,
    dirty: Vec<ConnectionKey>,
    scratch: Vec<u8>,
    out: Vec<Output>,
    peers: Vec<SocketAddr>,
    /// The link with each peer, and since when one without is missed.
    links: BTreeMap<SocketAddr, ConnectionKey>,
    missed: BTreeMap<SocketAddr, i64>,
    poller: Option<PlatformPoller>,
    lookups: PendingLookups,
    stall: StallDetector,
    next_upkeep: i64,
    /// Told to end then.
    stopped: Option<i64>,
    /// After that it ends within this, whatever is left.
    grace: i64,
    failed: Option<eyre::Report>,
}

/// Between two looks at silent links and missed peers.
const UPKEEP: i64 = 200_000;
/// After SIGTERM the program stays for this at the least, so that all hear of it.
const STAY: i64 = 300_000;

/// Runs the program until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be had, or the disk does not write.
pub fn serve(settings: &Settings, log: Logger) -> eyre::Result<()> {
    let places = places(settings)?;
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).wrap_err("signals")?;
    let opened = Store::open(&places.folder, settings.bootstrap)?;
    if let Some(why) = &opened.lost {
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
        seed: seed(settings),
        restored: opened.restored,
        bounds: TransferLimits::default(),
    };
    let core = Core::new(0, setup);
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
        orders,
        connections: SlotMap::with_key(),
        callers: 0,
        dirty: Vec::new(),
        scratch: vec![0; limits::READ_BYTES],
        out: Vec::new(),
        links: BTreeMap::new(),
        missed: BTreeMap::new(),
        poller: settings.cloud_api.as_ref().map(PlatformPoller::new),
        lookups: PendingLookups::default(),
        stall: StallDetector::default(),
        next_upkeep: 0,
        stopped: None,
        grace: settings
            .bounds
            .grace
            .0
            .saturating_sub(limits::GRACE_MARGIN)
            .max(STAY),
        failed: None,
    };
    let handle = events.handle();
    let signalled =
        |event: calloop::signals::Event, _: &mut _, host: &mut Host| match event.signal() {
            // The settings are read at the start alone: nothing here changes with them later.
            Signal::SIGHUP => {}
            _ => host.stop(),
        };
    handle
        .insert_source(signals, signalled)
        .map_err(|e| e.error)
        .wrap_err("signals")?;
    let reported = |event: Event<WriterEvent>, _: &mut _, host: &mut Host| match event {
        Event::Msg(WriterEvent::Written(number)) => {
            host.look_for_stall();
            host.feed(Input::Written(number));
        }
        Event::Msg(WriterEvent::WritesRejected(why)) => {
            error!(host.log, "the disk refuses writes, and is tried again"; "why" => format!("{why:#}"));
            host.feed(Input::DiskFull(true));
        }
        Event::Msg(WriterEvent::WritesResumed) => {
            info!(host.log, #IMMEDIATE, "the disk takes writes again");
            host.feed(Input::DiskFull(false));
        }
        Event::Msg(WriterEvent::Failed(error)) => host.failed = Some(error),
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
        host.watch(listener, role)
            .wrap_err_with(|| format!("listening at {address}"))?;
    }
    host.turn();
    while !host.finished() {
        let wait = host.next().saturating_sub(host.now()).max(0);
        let wait = Some(Duration::from_micros(wait as u64));
        events.dispatch(wait, &mut host).wrap_err("event loop")?;
        host.turn();
    }
    match host.failed.take() {
        Some(error) => Err(error),
        None => {
            host.say_goodbye();
            Ok(())
        }
    }
}

/// For what is drawn by chance: differs from start to start, and from machine to machine.
fn seed(settings: &Settings) -> u64 {
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

    fn next(&self) -> i64 {
        let poller = self.poller.as_ref().filter(|_| self.core.polls(self.now()));
        let poller = poller.map_or(i64::MAX, PlatformPoller::wake);
        self.core
            .next()
            .min(self.next_upkeep)
            .min(poller)
            .min(self.lookups.wake())
    }

    fn stop(&mut self) {
        if self.stopped.is_none() {
            self.stopped = Some(self.now());
            info!(self.log, "told to end");
            self.feed(Input::Shutdown);
        }
    }

    /// What operators look for before they take a machine and its disk away.
    fn say_goodbye(&self) {
        if self.core.handed_over() {
            info!(self.log, #IMMEDIATE, "handed over: a majority holds all without this replica");
        } else {
            warn!(
                self.log,
                "ends at the end of its grace, and a majority without it may not hold all"
            );
        }
    }

    fn finished(&self) -> bool {
        let Some(stopped) = self.stopped else {
            return self.failed.is_some();
        };
        let since = self.now() - stopped;
        let owed =
            |connection: &Connection| connection.up && connection.backlog() > 0 || connection.waits;
        let idle = self.core.idle() && !self.connections.values().any(owed);
        let answered = since >= limits::SHUTDOWN_CALL_TIMEOUT || (idle && since >= STAY);
        self.failed.is_some() || since >= self.grace || (answered && self.core.handed_over())
    }

    fn watch(&mut self, listener: TcpListener, role: Role) -> io::Result<()> {
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
        self.look_for_stall();
        loop {
            let stream = match listener.accept() {
                Ok(_) if role == Role::Unidentified && self.stall.lasts() => continue,
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
            Role::Replica { peer } => self.link_lost(key, peer),
            Role::Agent => self.feed(Input::AgentDisconnected(key.data().as_ffi())),
            Role::Operator | Role::Client => self.callers -= 1,
            Role::Platform => self.platform_lost(key, connection.since),
        }
    }

    fn ready(&mut self, key: ConnectionKey) {
        self.look_for_stall();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.up {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.up = true,
                Ok(None) => return,
                _ => return self.close(key),
            }
            self.came_up(key);
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
            connection.unread = connection.waits && connection.input.len() >= limits::READ_BYTES;
            if connection.unread {
                return;
            }
            // Danger: a call whose caller is gone may be of long ago, and was sent again to others since. It is looked at only
            // once all that came with it was read, so that an end that came with it is seen first.
            let caller = matches!(connection.role, Role::Operator | Role::Client);
            let later = caller && connection.input.len() < limits::CALLER_READ_BYTES;
            match (&*connection.stream).read(&mut self.scratch) {
                Ok(0) => return self.close(key),
                Ok(length) => {
                    connection.heard = now;
                    connection.input.extend_from_slice(&self.scratch[..length]);
                    if !later {
                        self.look(key);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && caller => {
                    return self.look(key);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    /// Looks at what has come.
    fn look(&mut self, key: ConnectionKey) {
        match self.connections.get(key).map(|connection| connection.role) {
            Some(Role::Unidentified) => self.who_is_it(key),
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
        connection.said = now;
        self.dirty.push(key);
    }

    fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.up)
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
    fn feed(&mut self, input: Input) {
        let now = self.now();
        let mut out = std::mem::take(&mut self.out);
        self.core.take(now, input, &mut out);
        for output in out.drain(..) {
            match output {
                Output::SendToReplicas(to, peer_message) => self.send(&to, peer_message),
                Output::Peers(peers) => {
                    self.peers = peers;
                    self.next_upkeep = now;
                }
                // A disk thread that has ended has said why, and the program ends with it.
                Output::Write(number, rows) => _ = self.orders.send((number, rows)),
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
        self.out = out;
    }

    fn send(&mut self, to: &[SocketAddr], peer_message: PeerMessage) {
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
    fn turn(&mut self) {
        let now = self.now();
        if now >= self.core.next() {
            self.feed(Input::Tick);
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP;
            self.upkeep(now);
        }
        self.poll(now);
        self.answer_lookups(now);
        // It may have stood still in this very turn.
        self.look_for_stall();
        self.stall.turned(self.now());
        while let Some(key) = self.dirty.pop() {
            self.flush(key);
        }
    }

    /// Looks at silent connections and missed peers.
    fn upkeep(&mut self, now: i64) {
        let gone = |connection: &Connection| {
            let silent = now - connection.heard;
            match connection.role {
                _ if !connection.up => now - connection.since >= limits::CONNECT_TIMEOUT,
                Role::Replica { .. } => silent >= limits::PEER_LINK_TIMEOUT,
                Role::Unidentified | Role::Agent => silent >= limits::AGENT_LINK_TIMEOUT,
                Role::Operator | Role::Client => {
                    silent >= limits::CALLER_IDLE_TIMEOUT && !connection.waits
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
        self.keep_links(now);
    }
}
