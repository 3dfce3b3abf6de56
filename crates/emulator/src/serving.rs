//! Serves a world on loopback sockets from one event loop on one thread. Each limiter reaches each service at a
//! separate address, so that partitions between the two can be emulated and the sender of each request is known.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slab::Slab;
use socket2::{Domain, SockRef, Socket, Type};

use crate::Micros;
use crate::counter;
use crate::http;
use crate::plan::WorldPlan;
use crate::reactor::{Reactor, Ready, WAKE_TOKEN, Waker, reserve_descriptors};
use crate::world::{Counts, NodeRequest, Reply, Service, World, WorldEvent};

/// Bytes read from a socket at once.
pub(crate) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;
/// Size to which the descriptor table is grown in advance.
const RESERVED_DESCRIPTORS: usize = 16_384;
/// Connections accepted at a listener before other events are handled.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Bytes sent in place of an HTTP answer.
pub(crate) const MALFORMED_ANSWER: &[u8] = b"\x00\x01noise that is no answer\r\n\r\n";

enum Command {
    Begin(Micros),
    Stop,
}

/// Listening addresses by service and limiter.
pub type Addresses = BTreeMap<(Service, usize), SocketAddr>;

/// A world served on a dedicated thread.
pub struct WorldServer {
    addresses: Arc<Mutex<Addresses>>,
    lists: Vec<String>,
    commands: mpsc::Sender<Command>,
    waker: Waker,
    thread: Option<JoinHandle<Counts>>,
}

impl WorldServer {
    /// Opens all listeners and starts serving. The plan must have been validated.
    ///
    /// # Errors
    /// Errors of the operating system, most often a lack of file descriptors.
    pub fn start(plan: &WorldPlan, seed: u64, limiters: usize) -> io::Result<WorldServer> {
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as i64;
        let world = World::new(plan, seed, limiters, unix_ms);
        reserve_descriptors(RESERVED_DESCRIPTORS);
        let reactor = Reactor::new()?;
        let waker = reactor.waker();
        let addresses = Arc::new(Mutex::new(Addresses::new()));
        let mut event_loop = EventLoop {
            heartbeat_interval: (plan.discovery.beat_ms * 1e3) as Micros,
            body: vec![b'a'; plan.nodes.body_bytes],
            world,
            reactor,
            start: Instant::now(),
            endpoints: Slab::new(),
            addresses: addresses.clone(),
            watchers: Vec::new(),
            buffer: vec![0; READ_BUFFER_BYTES],
            serial: 0,
            accept_again: Vec::new(),
        };
        for service in event_loop.world.services() {
            event_loop.open(service)?;
        }
        let lists = (0..limiters.max(1))
            .map(|limiter| event_loop.list(None, limiter))
            .collect();
        let (commands, received) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("stand-ins".into())
            .spawn(move || event_loop.run(&received))?;
        Ok(WorldServer {
            addresses,
            lists,
            commands,
            waker,
            thread: Some(thread),
        })
    }

    /// Address at which a limiter reaches a service.
    pub fn address(&self, service: Service, limiter: usize) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        addresses.get(&(service, limiter)).copied()
    }

    /// The initial list of nodes, as discovery sends it to a limiter.
    pub fn list(&self, limiter: usize) -> Option<&str> {
        self.lists.get(limiter).map(String::as_str)
    }

    /// Starts the load: schedules the plan's faults from now on for `span` microseconds.
    pub fn begin(&self, span: Micros) {
        // The send fails only after the thread has ended, when there are no faults to start.
        let _ = self.commands.send(Command::Begin(span));
        self.waker.wake();
    }

    /// Stops the world and returns its counts.
    pub fn stop(mut self) -> Counts {
        self.end()
    }

    fn end(&mut self) -> Counts {
        let _ = self.commands.send(Command::Stop);
        self.waker.wake();
        self.thread
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }
}

impl Drop for WorldServer {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.end();
        }
    }
}

enum Endpoint {
    Listener {
        service: Service,
        limiter: usize,
        socket: TcpListener,
    },
    Connection(Connection),
}

/// A connection. Its answers are sent in the order of the requests.
struct Connection {
    service: Service,
    limiter: usize,
    socket: TcpStream,
    read: Vec<u8>,
    write: Vec<u8>,
    pending: VecDeque<(u64, Option<Vec<u8>>)>,
    /// For a watch, the version last sent.
    watch: Option<u64>,
    close: bool,
}

struct EventLoop {
    world: World,
    reactor: Reactor,
    start: Instant,
    endpoints: Slab<Endpoint>,
    addresses: Arc<Mutex<Addresses>>,
    watchers: Vec<usize>,
    buffer: Vec<u8>,
    body: Vec<u8>,
    heartbeat_interval: Micros,
    serial: u64,
    /// Listeners with possibly more connections to accept.
    accept_again: Vec<usize>,
}

/// The slot in a token. A token also holds a serial number, so that a late answer can't reach another connection.
pub(crate) fn slot(token: u64) -> usize {
    (token >> 32) as usize
}

pub(crate) fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl EventLoop {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn list(&self, from: Option<u64>, limiter: usize) -> String {
        let addresses = self
            .addresses
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let address = |node| {
            addresses
                .get(&(Service::Node(node), limiter))
                .map_or(String::new(), |a| a.to_string())
        };
        self.world.list(from, address)
    }

    /// Listens for a service, at its previous addresses if it had any.
    fn open(&mut self, service: Service) -> io::Result<()> {
        for limiter in 0..self.world.limiters().max(1) {
            let mut addresses = self
                .addresses
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            let before = addresses.get(&(service, limiter)).copied();
            let socket = listen(before.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))?;
            addresses.insert((service, limiter), socket.local_addr()?);
            drop(addresses);
            let slot = self.endpoints.vacant_key();
            self.reactor.add(&socket, slot as u64)?;
            self.endpoints.insert(Endpoint::Listener {
                service,
                limiter,
                socket,
            });
        }
        Ok(())
    }

    fn run(mut self, commands: &mpsc::Receiver<Command>) -> Counts {
        let mut ready: Vec<Ready> = Vec::new();
        let mut heartbeat_at = self.heartbeat_interval;
        self.reactor.set_precise_timer();
        loop {
            let next = self
                .world
                .next_event_at()
                .map_or(heartbeat_at, |at| at.min(heartbeat_at));
            let wait = if self.accept_again.is_empty() {
                next - self.now()
            } else {
                0
            };
            if self.reactor.wait(Some(wait), &mut ready).is_err() {
                // Keeps a persistent error from turning into a busy loop.
                std::thread::sleep(Duration::from_millis(1));
            }
            for event in &ready {
                if event.token == WAKE_TOKEN {
                    while let Ok(order) = commands.try_recv() {
                        match order {
                            Command::Begin(span) => self.world.begin(self.now(), span),
                            Command::Stop => return self.world.counts().clone(),
                        }
                    }
                } else {
                    self.handle_readiness(event);
                }
            }
            for at in std::mem::take(&mut self.accept_again) {
                if let Some(Endpoint::Listener { .. }) = self.endpoints.get(at) {
                    self.accept(at);
                }
            }
            let now = self.now();
            while let Some(event) = self.world.poll(now) {
                self.apply_event(now, event);
            }
            if now >= heartbeat_at {
                heartbeat_at = now + self.heartbeat_interval;
                self.notify_watchers(now, true);
            }
        }
    }

    fn handle_readiness(&mut self, event: &Ready) {
        let at = event.token as usize;
        match self.endpoints.get_mut(at) {
            Some(Endpoint::Listener { .. }) => self.accept(at),
            Some(Endpoint::Connection(connection)) => {
                let is_open = !event.writable || connection.flush();
                if !is_open || (event.readable && !self.read(at, event.peer_closed)) {
                    self.close(at);
                }
            }
            None => {}
        }
    }

    fn accept(&mut self, at: usize) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(Endpoint::Listener {
                service,
                limiter,
                socket,
            }) = self.endpoints.get(at)
            else {
                return;
            };
            let (service, limiter) = (*service, *limiter);
            // Any error ends this pass: either none are pending, or the system lacks resources and the next arrival
            // triggers another attempt.
            let Ok((socket, _)) = socket.accept() else {
                return;
            };
            if socket
                .set_nonblocking(true)
                .and_then(|()| socket.set_nodelay(true))
                .is_err()
            {
                continue;
            }
            let slot = self.endpoints.vacant_key();
            if self.reactor.add(&socket, slot as u64).is_err() {
                continue;
            }
            let (read, write, pending) = (Vec::new(), Vec::new(), VecDeque::new());
            let connection = Connection {
                service,
                limiter,
                socket,
                read,
                write,
                pending,
                watch: None,
                close: false,
            };
            self.endpoints.insert(Endpoint::Connection(connection));
        }
        self.accept_again.push(at);
    }

    /// Reads and handles available data; returns whether the connection stays open.
    fn read(&mut self, at: usize, until_eof: bool) -> bool {
        loop {
            let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
                return true;
            };
            match connection.socket.read(&mut self.buffer) {
                Ok(0) => return false,
                Ok(length) => {
                    connection.read.extend_from_slice(&self.buffer[..length]);
                    if !self.handle_requests(at) {
                        return false;
                    }
                    if length < READ_BUFFER_BYTES && !until_eof {
                        return true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Handles complete requests; returns whether the connection stays open.
    fn handle_requests(&mut self, at: usize) -> bool {
        let now = self.now();
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return true;
        };
        // Moved out so that requests borrowed from it can be passed to the world while the connection is modified.
        let mut bytes = std::mem::take(&mut connection.read);
        let mut consumed = 0;
        let is_open = loop {
            let request = match http::request(&bytes[consumed..]) {
                Ok(Some(request)) => request,
                Ok(None) => break true,
                Err(http::Malformed) => break false,
            };
            consumed += request.length;
            let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
                break true;
            };
            if connection.close {
                break true;
            }
            connection.close = request.close;
            self.serial += 1;
            let token = ((at as u64) << 32) | (self.serial & 0xffff_ffff);
            let (service, limiter) = (connection.service, connection.limiter);
            connection.pending.push_back((token, None));
            let refused = match service {
                Service::Node(node) => match (request.id, request.target) {
                    (Some(id), _) => {
                        let (key, work) = (request.key, request.work);
                        self.world.handle_request(
                            now,
                            NodeRequest {
                                node,
                                limiter,
                                token,
                                id,
                                key,
                                work,
                            },
                        );
                        None
                    }
                    (None, "/alive" | "/metrics/load") => {
                        self.world.handle_probe(now, node, limiter, token);
                        None
                    }
                    (None, _) => Some(404),
                },
                Service::Counter if request.method != "POST" => Some(404),
                Service::Counter => match counter::call(request.target) {
                    Some(call) => {
                        self.world.handle_counter_call(now, limiter, token, call);
                        None
                    }
                    None => Some(400),
                },
                Service::Discovery => {
                    let target = request.target.to_string();
                    self.answer_discovery(at, token, &target);
                    None
                }
            };
            if let Some(status) = refused {
                let mut out = Vec::new();
                http::write_answer(&mut out, status, "", b"");
                self.answer(token, out);
            }
        };
        bytes.drain(..consumed);
        if let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) {
            connection.read = bytes;
        }
        is_open
    }

    fn answer_discovery(&mut self, at: usize, token: u64, target: &str) {
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return;
        };
        let limiter = connection.limiter;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |key: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
        };
        let mut out = Vec::new();
        if path != "/discovery/hosts" {
            http::write_answer(&mut out, 404, "", b"");
        } else if get("watch") == Some("1") {
            connection.watch = Some(0);
            self.watchers.push(at);
            let list = self.list(get("from").and_then(|f| f.parse().ok()), limiter);
            out.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunk(&mut out, &list);
            if let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) {
                connection.watch = Some(self.world.index());
            }
        } else {
            http::write_answer(&mut out, 200, "", self.list(None, limiter).as_bytes());
        }
        self.answer(token, out);
    }

    fn notify_watchers(&mut self, now: Micros, is_heartbeat: bool) {
        let index = self.world.index();
        for at in std::mem::take(&mut self.watchers) {
            let Some(Endpoint::Connection(connection)) = self.endpoints.get(at) else {
                continue;
            };
            let (limiter, Some(sent_version)) = (connection.limiter, connection.watch) else {
                continue;
            };
            self.watchers.push(at);
            // Nothing is sent during a partition or freeze; the next heartbeat carries the missed changes.
            if self
                .world
                .blocked_until(Service::Discovery, limiter, now)
                .is_some()
            {
                continue;
            }
            let text = if sent_version < index {
                self.list(Some(sent_version), limiter)
            } else {
                String::new()
            };
            if text.is_empty() && !is_heartbeat {
                continue;
            }
            let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
                continue;
            };
            connection.watch = Some(index);
            chunk(&mut connection.write, &text);
            if !connection.flush() {
                self.close(at);
            }
        }
    }

    fn apply_event(&mut self, now: Micros, event: WorldEvent) {
        match event {
            WorldEvent::Answer(token, reply) => {
                let mut out = Vec::with_capacity(128 + self.body.len());
                match reply {
                    Reply::Served => http::write_answer(&mut out, 200, "", &self.body),
                    Reply::Error => http::write_answer(&mut out, 500, "", b""),
                    Reply::Rejected => http::write_answer(&mut out, 503, "X-Never-Ran: 1\r\n", b""),
                    Reply::Total(total) => {
                        http::write_answer(&mut out, 200, "", total.to_string().as_bytes())
                    }
                    Reply::Util(util) => {
                        http::write_answer(
                            &mut out,
                            200,
                            "",
                            format!("TEXT util={util:.3}").as_bytes(),
                        );
                    }
                    Reply::Noise => out.extend_from_slice(MALFORMED_ANSWER),
                }
                self.answer(token, out);
            }
            WorldEvent::Reset(service) => {
                let slot_of_service = |(at, endpoint): (usize, &Endpoint)| match endpoint {
                    Endpoint::Connection(connection) if connection.service == service => Some(at),
                    _ => None,
                };
                let slots: Vec<usize> = self.endpoints.iter().filter_map(slot_of_service).collect();
                for at in slots {
                    if let Some(Endpoint::Connection(connection)) = self.endpoints.get(at) {
                        // With a linger time of zero, closing resets the connection.
                        let _ = SockRef::from(&connection.socket).set_linger(Some(Duration::ZERO));
                    }
                    self.close(at);
                }
            }
            WorldEvent::StopListening(service) => {
                self.endpoints.retain(
                    |_, endpoint| !matches!(endpoint, Endpoint::Listener { service: s, .. } if *s == service),
                );
            }
            WorldEvent::Open(service) => {
                let listens = |endpoint: &Endpoint| matches!(endpoint, Endpoint::Listener { service: s, .. } if *s == service);
                if !self.endpoints.iter().any(|(_, endpoint)| listens(endpoint))
                    && self.open(service).is_err()
                {
                    eprintln!("emulator: cannot reopen the listeners of {service:?}");
                }
            }
            WorldEvent::ListChanged => self.notify_watchers(now, false),
        }
    }

    fn answer(&mut self, token: u64, bytes: Vec<u8>) {
        let at = slot(token);
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return;
        };
        let Some(pending) = connection.pending.iter_mut().find(|(t, _)| *t == token) else {
            return;
        };
        pending.1 = Some(bytes);
        while let Some((_, Some(bytes))) = connection.pending.front_mut() {
            connection.write.append(bytes);
            connection.pending.pop_front();
        }
        let ends = connection.close && connection.pending.is_empty() && connection.watch.is_none();
        if !connection.flush() || (ends && connection.write.is_empty()) {
            self.close(at);
        }
    }

    fn close(&mut self, at: usize) {
        let now = self.now();
        if !self.endpoints.contains(at) {
            return;
        }
        if let Endpoint::Connection(connection) = self.endpoints.remove(at) {
            connection
                .pending
                .iter()
                .for_each(|(token, _)| self.world.connection_closed(now, *token));
        }
    }
}

fn chunk(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes());
}

impl Connection {
    fn flush(&mut self) -> bool {
        flush(&mut self.socket, &mut self.write)
    }
}

/// Writes as much as possible; returns whether the connection stays open.
pub(crate) fn flush(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> bool {
    while !bytes.is_empty() {
        match socket.write(bytes) {
            Ok(0) => return false,
            Ok(length) => drop(bytes.drain(..length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    true
}
