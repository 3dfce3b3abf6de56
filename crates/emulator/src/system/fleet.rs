//! The platform's instance list and the servers on loopback sockets, in one event loop on one thread. The holder of a
//! [`Fleet`] starts, drains and stops servers and injects faults.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use slab::Slab;
use socket2::SockRef;

use super::platform::{self, Entry, Platform};
use super::server::{
    AnswerAction, AnswerFault, ConnectionAction, Counts, RunCounts, Server, ServerConfig,
    ServerRequest,
};
use crate::Micros;
use crate::http;
use crate::reactor::{Reactor, Ready, WAKE_TOKEN, Waker};
use crate::serving::{READ_BUFFER_BYTES, flush, listen, slot};

/// Longest wait of the event loop in microseconds, and so the interval at which idle connections are checked.
const IDLE_CHECK_INTERVAL: Micros = 100_000;

/// Slots of a server that runs elsewhere.
const EXTERNAL_SERVER_SLOTS: usize = 16;

enum Endpoint {
    /// A listener of a server, by its number, or of the platform (`None`).
    Listener(Option<usize>, TcpListener),
    Connection(Connection),
}

/// A connection to a server or to the platform; it handles one request at a time.
struct Connection {
    server: Option<usize>,
    socket: TcpStream,
    read: Vec<u8>,
    write: Vec<u8>,
    pending: Option<u64>,
    close: bool,
    last_active_at: Micros,
}

struct FleetState {
    start: Instant,
    reactor: Arc<Reactor>,
    endpoints: Slab<Endpoint>,
    platform: Platform,
    /// The platform's answers have no length and end with their connections.
    platform_omits_lengths: bool,
    servers: BTreeMap<usize, (SocketAddr, Server)>,
    next_number: usize,
    run_counts: RunCounts,
    drain: Micros,
    serial: u64,
    /// Servers that are frozen.
    frozen: Vec<usize>,
}

/// The platform's instance list and the servers, served on a dedicated thread.
pub struct Fleet {
    state: Arc<Mutex<FleetState>>,
    platform: SocketAddr,
    waker: Waker,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts without servers. `drain`: time in microseconds after the list shows a server as draining, from which on
    /// arriving requests are counted as too late.
    ///
    /// # Errors
    /// Errors of the operating system, most often a lack of file descriptors.
    pub fn start(config: platform::PlatformConfig, drain: Micros) -> io::Result<Fleet> {
        let reactor = Arc::new(Reactor::new()?);
        let waker = reactor.waker();
        let mut state = FleetState {
            start: Instant::now(),
            reactor: reactor.clone(),
            endpoints: Slab::new(),
            platform: Platform::new(config),
            platform_omits_lengths: false,
            servers: BTreeMap::new(),
            next_number: 0,
            run_counts: RunCounts::default(),
            drain,
            serial: 0,
            frozen: Vec::new(),
        };
        let platform = state.open(None, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let state = Arc::new(Mutex::new(state));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared_state, stop_flag) = (state.clone(), stop.clone());
        let thread = std::thread::Builder::new()
            .name("fleet".into())
            .spawn(move || run(&shared_state, &reactor, &stop_flag))?;
        Ok(Fleet {
            state,
            platform,
            waker,
            stop,
            thread: Some(thread),
        })
    }

    fn lock_state(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address at which the instance list is served.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Starts a server, at `at` if given (the address of one that was stopped), and returns its number.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start_server(
        &self,
        config: ServerConfig,
        warm: bool,
        at: Option<SocketAddr>,
    ) -> io::Result<usize> {
        let mut state = self.lock_state();
        let number = state.next_number;
        let at = state.open(
            Some(number),
            at.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        )?;
        let now = state.now();
        let server = Server::new(config, format!("i-{number:04x}"), now, warm);
        let (id, config) = server.identity();
        let (svc, zone, slots) = (
            config.svc.clone(),
            config.zone.clone(),
            config.max_concurrent,
        );
        let warm_at = server.warm_at();
        let entry = Entry {
            id: id.to_string(),
            svc,
            address: at,
            zone,
            slots,
            draining: false,
            warm_at,
        };
        state.platform.change(now, |entries| entries.push(entry));
        state.servers.insert(number, (at, server));
        state.next_number += 1;
        Ok(number)
    }

    /// Drains a server: the list shows it as draining, and it continues to serve.
    pub fn drain_server(&self, number: usize) {
        let mut state = self.lock_state();
        let (now, drain) = (state.now(), state.drain);
        let Some((_, server)) = state.servers.get_mut(&number) else {
            return;
        };
        server.start_draining();
        let id = server.identity().0.to_string();
        let mark_draining = |entries: &mut Vec<Entry>| {
            entries
                .iter_mut()
                .filter(|e| e.id == id)
                .for_each(|e| e.draining = true);
        };
        let visible_at = state.platform.change(now, mark_draining);
        state
            .servers
            .get_mut(&number)
            .into_iter()
            .for_each(|(_, server)| server.drain_announced_at = Some(visible_at + drain));
    }

    /// The numbers of the servers that run and are not draining, with their configurations.
    pub fn serving(&self) -> Vec<(usize, ServerConfig)> {
        let state = self.lock_state();
        { &state.servers }
            .iter()
            .filter(|(_, (_, server))| server.drain_announced_at.is_none())
            .map(|(number, (_, server))| (*number, server.identity().1.clone()))
            .collect()
    }

    /// Stops a server and closes all its connections; returns its address.
    pub fn stop_server(&self, number: usize) -> Option<SocketAddr> {
        let mut state = self.lock_state();
        let now = state.now();
        let (at, server) = state.servers.remove(&number)?;
        let id = server.identity().0.to_string();
        state
            .platform
            .change(now, |entries| entries.retain(|e| e.id != id));
        state.endpoints.retain(|_, endpoint| match endpoint {
            Endpoint::Listener(owner, _) => *owner != Some(number),
            Endpoint::Connection(connection) => connection.server != Some(number),
        });
        Some(at)
    }

    /// Adds a server that runs elsewhere to the platform's list.
    pub fn list_server(&self, id: &str, svc: &str, zone: &str, address: SocketAddr) {
        let mut state = self.lock_state();
        let now = state.now();
        let entry = Entry {
            id: id.to_string(),
            svc: svc.to_string(),
            address,
            zone: zone.to_string(),
            slots: EXTERNAL_SERVER_SLOTS,
            draining: false,
            warm_at: now,
        };
        state.platform.change(now, |entries| entries.push(entry));
    }

    /// Removes a server from the platform's list.
    pub fn unlist_server(&self, id: &str) {
        let mut state = self.lock_state();
        let now = state.now();
        state
            .platform
            .change(now, |entries| entries.retain(|entry| entry.id != id));
    }

    /// Applies these faults to the server's next answers, one each.
    pub fn inject_faults(&self, number: usize, faults: &[AnswerFault]) {
        let mut state = self.lock_state();
        state
            .servers
            .get_mut(&number)
            .into_iter()
            .for_each(|(_, server)| server.pending_faults.extend(faults));
    }

    /// From now on the platform's answers have no length and end with their connections.
    pub fn omit_platform_lengths(&self) {
        self.lock_state().platform_omits_lengths = true;
    }

    /// Freezes a server for `span` microseconds.
    pub fn freeze(&self, number: usize, span: Micros) {
        let mut state = self.lock_state();
        let now = state.now();
        state
            .servers
            .get_mut(&number)
            .into_iter()
            .for_each(|(_, server)| server.freeze(now, now + span));
        state.frozen.push(number);
        drop(state);
        self.waker.wake();
    }

    /// Counts of all servers so far.
    pub fn counts(&self) -> Counts {
        self.lock_state().run_counts.counts
    }

    /// Number of times that a request ran.
    pub fn run_count(&self, id: &str) -> u32 {
        self.lock_state().run_counts.runs(id)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.waker.wake();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

fn run(state: &Mutex<FleetState>, reactor: &Reactor, stop: &AtomicBool) {
    let mut ready: Vec<Ready> = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    while !stop.load(Ordering::Relaxed) {
        let wait = lock().next_wait();
        if reactor.wait(Some(wait), &mut ready).is_err() {
            // Keeps a persistent error from turning into a busy loop.
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut state = lock();
        ready
            .iter()
            .filter(|event| event.token != WAKE_TOKEN)
            .for_each(|event| state.handle_readiness(event, &mut buffer));
        state.run_due_work(&mut buffer);
    }
}

impl FleetState {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn next_wait(&self) -> Micros {
        let next = self
            .servers
            .values()
            .filter_map(|(_, server)| server.next_event_at())
            .min();
        next.map_or(IDLE_CHECK_INTERVAL, |at| {
            (at - self.now()).clamp(0, IDLE_CHECK_INTERVAL)
        })
    }

    fn open(&mut self, owner: Option<usize>, at: SocketAddr) -> io::Result<SocketAddr> {
        let socket = listen(at)?;
        let at = socket.local_addr()?;
        let slot = self.endpoints.vacant_key();
        self.reactor.add(&socket, slot as u64)?;
        self.endpoints.insert(Endpoint::Listener(owner, socket));
        Ok(at)
    }

    fn run_due_work(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        let mut answers: Vec<(u64, AnswerAction)> = Vec::new();
        for (_, server) in self.servers.values_mut() {
            while let Some(answer) = server.poll(now, &mut self.run_counts) {
                answers.push(answer);
            }
        }
        answers
            .into_iter()
            .for_each(|(token, answer)| self.send_answer(token, answer));
        let is_frozen = |state: &FleetState, n: &usize| {
            state
                .servers
                .get(n)
                .is_some_and(|(_, s)| s.frozen_until > now)
        };
        let (frozen, resumed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.frozen)
            .into_iter()
            .partition(|n| is_frozen(self, n));
        self.frozen = frozen;
        let belongs_to_resumed =
            |connection: &Connection| connection.server.is_some_and(|at| resumed.contains(&at));
        let connections: Vec<usize> = self
            .endpoints
            .iter()
            .filter(|(_, d)| matches!(d, Endpoint::Connection(l) if belongs_to_resumed(l)))
            .map(|(at, _)| at)
            .collect();
        for at in connections {
            self.drive_connection(at, true, buffer);
        }
        let servers = &self.servers;
        self.endpoints.retain(|_, endpoint| match endpoint {
            Endpoint::Connection(Connection {
                server: Some(at),
                pending: None,
                last_active_at,
                ..
            }) => {
                let keep_alive = servers.get(at).map_or(0, |(_, server)| {
                    server.identity().1.keep_alive_s * 1_000_000
                });
                now - *last_active_at < keep_alive
            }
            _ => true,
        });
    }

    fn handle_readiness(&mut self, event: &Ready, buffer: &mut [u8]) {
        let at = event.token as usize;
        match self.endpoints.get(at) {
            Some(Endpoint::Listener(..)) => self.accept(at),
            Some(Endpoint::Connection(_)) => self.drive_connection(at, event.readable, buffer),
            None => {}
        }
    }

    fn accept(&mut self, at: usize) {
        let now = self.now();
        while let Some(Endpoint::Listener(owner, listener)) = self.endpoints.get(at) {
            let owner = *owner;
            // Any error ends this pass: either none are pending, or the next arrival triggers another attempt.
            let Ok((socket, _)) = listener.accept() else {
                return;
            };
            let slot = self.endpoints.vacant_key();
            let configured = socket
                .set_nonblocking(true)
                .and_then(|()| socket.set_nodelay(true));
            if configured
                .and_then(|()| self.reactor.add(&socket, slot as u64))
                .is_ok()
            {
                let (read, write) = (Vec::new(), Vec::new());
                let connection = Connection {
                    server: owner,
                    socket,
                    read,
                    write,
                    pending: None,
                    close: false,
                    last_active_at: now,
                };
                self.endpoints.insert(Endpoint::Connection(connection));
            }
        }
    }

    /// Writes and reads as far as possible; does nothing at a frozen server.
    fn drive_connection(&mut self, at: usize, readable: bool, buffer: &mut [u8]) {
        let now = self.now();
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return;
        };
        if connection
            .server
            .and_then(|at| self.servers.get(&at))
            .is_some_and(|(_, server)| server.frozen_until > now)
        {
            return;
        }
        let mut is_open = flush(&mut connection.socket, &mut connection.write);
        while is_open && readable {
            match connection.socket.read(buffer) {
                Ok(0) => is_open = false,
                Ok(length) => connection.read.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => is_open = false,
            }
        }
        connection.last_active_at = now;
        if !is_open || (connection.close && connection.write.is_empty()) {
            return self.close(at);
        }
        self.handle_next_request(at);
    }

    /// Handles the next request if it is complete and no answer is pending.
    fn handle_next_request(&mut self, at: usize) {
        let now = self.now();
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return;
        };
        if connection.pending.is_some() || connection.close || connection.read.is_empty() {
            return;
        }
        let mut bytes = std::mem::take(&mut connection.read);
        let request = match http::request(&bytes) {
            Ok(Some(request)) => request,
            Ok(None) => return connection.read = bytes,
            Err(http::Malformed) => return self.close(at),
        };
        self.serial += 1;
        let token = ((at as u64) << 32) | (self.serial & 0xffff_ffff);
        connection.pending = Some(token);
        let length = request.length;
        let immediate_answer = match connection.server {
            None => {
                let (status, body) = self.platform.answer(now, request.method, request.target);
                let mut out = Vec::new();
                http::write_answer(
                    &mut out,
                    status,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                );
                if self.platform_omits_lengths {
                    out = http::remove_length(&out, body.len());
                }
                let then = if request.close || self.platform_omits_lengths {
                    ConnectionAction::Close
                } else {
                    ConnectionAction::Keep
                };
                Some((out, then))
            }
            Some(number) => {
                let Some((_, server)) = self.servers.get_mut(&number) else {
                    return;
                };
                server.handle_request(
                    now,
                    token,
                    &ServerRequest::from_http(&request, &bytes),
                    &mut self.run_counts,
                )
            }
        };
        bytes.drain(..length);
        if let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) {
            connection.read = bytes;
        }
        immediate_answer
            .into_iter()
            .for_each(|answer| self.send_answer(token, answer));
    }

    fn send_answer(&mut self, token: u64, (bytes, then): AnswerAction) {
        let (at, now) = (slot(token), self.now());
        let Some(Endpoint::Connection(connection)) = self.endpoints.get_mut(at) else {
            return;
        };
        if connection.pending != Some(token) {
            return;
        }
        (connection.pending, connection.last_active_at) = (None, now);
        if then == ConnectionAction::Reset {
            // If this fails the connection closes in order, which the client sees as a failure too.
            let _ = SockRef::from(&connection.socket).set_linger(Some(Duration::ZERO));
            return self.close(at);
        }
        connection.write.extend_from_slice(&bytes);
        connection.close = then == ConnectionAction::Close;
        self.drive_connection(at, false, &mut []);
    }

    fn close(&mut self, at: usize) {
        let now = self.now();
        if let Some(Endpoint::Connection(Connection {
            server: Some(number),
            pending: Some(token),
            ..
        })) = self.endpoints.try_remove(at)
            && let Some((_, server)) = self.servers.get_mut(&number)
        {
            server.connection_closed(now, token, &mut self.run_counts);
        }
    }
}
