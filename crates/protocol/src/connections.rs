//! Connections of a program on one thread: they are waited for together, read as they come and written once a turn.
//!
//! The new programs wait with `mio`: a wait is one system call, where the limiter's loop makes five, and an edge has a
//! fifth of a core for two programs. Who calls here owns what the connections are for, and all deadlines.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook_mio::v1_0::Signals;
use slotmap::{Key, KeyData, SlotMap};
use socket2::{Domain, Protocol, Socket, Type};

slotmap::new_key_type! {
    /// A connection. The key of one that is gone finds nothing.
    pub struct ConnectionId;
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection was taken by the listener of this number.
    Accepted(usize, ConnectionId),
    /// A connection that was opened from here is up.
    Connected(ConnectionId),
    /// Something came; it stands in the input.
    Received(ConnectionId),
    /// All that was to be written is written.
    Flushed(ConnectionId),
    /// The other side sends no more. The connection is still there.
    PeerClosed(ConnectionId),
    /// The connection broke, or never came up. It is still there, of no use.
    Failed(ConnectionId),
    /// The process got a signal.
    Signal(i32),
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    connected: bool,
    /// What came and was not taken yet.
    pub input: Vec<u8>,
    /// Most bytes that the input may hold; what is beyond waits with the system.
    pub max_input_bytes: usize,
    output: Vec<u8>,
    written_bytes: usize,
    sent_bytes: u64,
    /// More may be there than was read.
    has_unread: bool,
    flush_pending: bool,
    /// When something last came, in microseconds.
    pub last_received_at: i64,
}

impl Connection {
    /// Whether it is up.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Bytes that are not written yet.
    pub fn backlog(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// Bytes that the system has taken since the connection was opened. Where none of a message is among them, nobody can
    /// have seen anything of it.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// More may be there than was read, for want of room.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }
}

/// All connections of a program.
pub struct Connections {
    poll: Poll,
    events: Events,
    signals: Signals,
    listeners: Vec<Option<TcpListener>>,
    connections: SlotMap<ConnectionId, Connection>,
    flush_queue: Vec<ConnectionId>,
    scratch: Vec<u8>,
    accepting: bool,
    /// When the last wait ended, and whether it brought all that was there.
    last_wake: (i64, bool),
}

const SIGNAL_TOKEN: Token = Token(1_000);
/// Most events that one wait brings.
const MAX_EVENTS: usize = 256;
/// Bytes asked of a socket at a time.
const READ_BYTES: usize = 32 * 1024;
/// Connections that may wait with the system to be taken.
const LISTEN_BACKLOG: i32 = 1_024;
/// What a buffer may keep once it is empty, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

fn token(key: ConnectionId) -> Token {
    Token(key.data().as_ffi() as usize)
}

impl Connections {
    /// Nothing yet but the signals that are listened to.
    ///
    /// # Errors
    /// The system grants no poll.
    pub fn new(signals: &[i32]) -> io::Result<Connections> {
        let poll = Poll::new()?;
        let mut signals = Signals::new(signals)?;
        poll.registry()
            .register(&mut signals, SIGNAL_TOKEN, Interest::READABLE)?;
        Ok(Connections {
            poll,
            events: Events::with_capacity(MAX_EVENTS),
            signals,
            listeners: Vec::new(),
            connections: SlotMap::with_key(),
            flush_queue: Vec::new(),
            scratch: vec![0; READ_BYTES],
            accepting: true,
            last_wake: (0, true),
        })
    }

    /// Listens; gives the listener's number and its address.
    ///
    /// # Errors
    /// The address is not to be had.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        let number = self.listeners.len();
        self.poll
            .registry()
            .register(&mut listener, Token(number), Interest::READABLE)?;
        let address = listener.local_addr()?;
        self.listeners.push(Some(listener));
        Ok((number, address))
    }

    /// Takes no more connections on a listener.
    pub fn stop_listening(&mut self, number: usize) {
        self.listeners[number] = None;
    }

    /// Opens a connection; [`Happening::Up`] or [`Happening::Broken`] follows.
    ///
    /// # Errors
    /// The system refuses at once.
    pub fn connect(&mut self, address: SocketAddr, now: i64) -> io::Result<ConnectionId> {
        let stream = TcpStream::connect(address)?;
        self.register(stream, false, now)
    }

    fn register(&mut self, stream: TcpStream, up: bool, now: i64) -> io::Result<ConnectionId> {
        stream.set_nodelay(true)?;
        let key = self.connections.insert(Connection {
            stream,
            connected: up,
            input: Vec::new(),
            max_input_bytes: usize::MAX,
            output: Vec::new(),
            written_bytes: 0,
            sent_bytes: 0,
            has_unread: false,
            flush_pending: false,
            last_received_at: now,
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        match self
            .poll
            .registry()
            .register(&mut self.connections[key].stream, token(key), interest)
        {
            Ok(()) => Ok(key),
            Err(error) => {
                self.connections.remove(key);
                Err(error)
            }
        }
    }

    /// A connection.
    pub fn get(&self, key: ConnectionId) -> Option<&Connection> {
        self.connections.get(key)
    }

    /// A connection, to take from its input.
    pub fn get_mut(&mut self, key: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(key)
    }

    /// When the last wait ended, before anything was read; and whether it brought all that was there.
    pub fn last_wake(&self) -> (i64, bool) {
        self.last_wake
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that all of them hold: what came and was not taken, what is not written, and room kept for more.
    pub fn buffered_bytes(&self) -> usize {
        self.connections
            .values()
            .map(|wire| wire.input.capacity() + wire.output.capacity())
            .sum()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// What is to be written on a connection at the end of the turn; none if it is gone.
    pub fn output(&mut self, key: ConnectionId) -> Option<&mut Vec<u8>> {
        let wire = self.connections.get_mut(key)?;
        if !std::mem::replace(&mut wire.flush_pending, true) {
            self.flush_queue.push(key);
        }
        Some(&mut wire.output)
    }

    /// Closes a connection. What was not written is lost.
    pub fn close(&mut self, key: ConnectionId) -> Option<Connection> {
        self.connections.remove(key)
    }

    /// Tells the other side that nothing more follows; what it still sends is read.
    pub fn shutdown_write(&mut self, key: ConnectionId) {
        if let Some(wire) = self.connections.get(key) {
            // One that broke is seen as such when it is read.
            let _ = wire.stream.shutdown(Shutdown::Write);
        }
    }

    /// No connection is taken until this is turned on again.
    pub fn set_accepting(&mut self, accepting: bool, now: i64, happenings: &mut Vec<IoEvent>) {
        if accepting && !std::mem::replace(&mut self.accepting, accepting) {
            (0..self.listeners.len()).for_each(|number| self.accept(number, now, happenings));
        }
        self.accepting = accepting;
    }

    /// Reads what had to wait because the input was full.
    pub fn resume_reading(&mut self, key: ConnectionId, now: i64, happenings: &mut Vec<IoEvent>) {
        if self
            .connections
            .get(key)
            .is_some_and(|wire| wire.has_unread)
        {
            self.read(key, true, now, happenings);
        }
    }

    /// Waits until something happens, or `until` at the latest. `clock` is asked again after the wait.
    ///
    /// # Errors
    /// The system's wait failed.
    pub fn wait(
        &mut self,
        until: Option<i64>,
        clock: impl Fn() -> i64,
        happenings: &mut Vec<IoEvent>,
    ) -> io::Result<()> {
        // Up to the next millisecond: one that ends a little early would only wait again.
        let span = until.map(|at| Duration::from_micros(at.saturating_sub(clock()).max(0) as u64));
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let waited = self.poll.poll(&mut events, span);
        let now = clock();
        self.last_wake = (now, events.iter().count() < MAX_EVENTS);
        for event in &events {
            match event.token() {
                SIGNAL_TOKEN => happenings.extend(self.signals.pending().map(IoEvent::Signal)),
                Token(number) if number < self.listeners.len() => {
                    self.accept(number, now, happenings)
                }
                Token(number) => {
                    let key = ConnectionId::from(KeyData::from_ffi(number as u64));
                    let Some(wire) = self.connections.get_mut(key) else {
                        continue;
                    };
                    if !wire.connected {
                        if event.is_error() || event.is_write_closed() {
                            happenings.push(IoEvent::Failed(key));
                            continue;
                        }
                        if !event.is_writable() {
                            continue;
                        }
                        wire.connected = true;
                        happenings.push(IoEvent::Connected(key));
                    }
                    if event.is_writable() && wire.backlog() > 0 {
                        self.flush(key, happenings);
                    }
                    if event.is_readable() || event.is_read_closed() || event.is_error() {
                        let whole = event.is_read_closed() || event.is_error();
                        self.read(key, whole, now, happenings);
                    }
                }
            }
        }
        self.events = events;
        match waited {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    fn accept(&mut self, number: usize, now: i64, happenings: &mut Vec<IoEvent>) {
        while self.accepting {
            let Some(Some(listener)) = self.listeners.get(number) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Ok(key) = self.register(stream, true, now) {
                        happenings.push(IoEvent::Accepted(number, key));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // None is there, or one broke before it was taken, or there is no room: the next event tries again.
                Err(_) => return,
            }
        }
    }

    /// Reads what is there. A read that fills less than was asked for has taken all: an end is told by the event.
    fn read(
        &mut self,
        key: ConnectionId,
        to_the_end: bool,
        now: i64,
        happenings: &mut Vec<IoEvent>,
    ) {
        let Some(wire) = self.connections.get_mut(key) else {
            return;
        };
        let before = wire.input.len();
        let mut last = None;
        loop {
            let room = wire
                .max_input_bytes
                .saturating_sub(wire.input.len())
                .min(self.scratch.len());
            wire.has_unread = room == 0;
            if room == 0 {
                break;
            }
            match wire.stream.read(&mut self.scratch[..room]) {
                Ok(0) => {
                    last = Some(IoEvent::PeerClosed(key));
                    break;
                }
                Ok(length) => {
                    wire.input.extend_from_slice(&self.scratch[..length]);
                    if length < room && !to_the_end {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    last = Some(IoEvent::Failed(key));
                    break;
                }
            }
        }
        if wire.input.len() > before {
            wire.last_received_at = now;
            happenings.push(IoEvent::Received(key));
        }
        happenings.extend(last);
    }

    /// Writes all that is to be written. To be called until it tells of nothing more.
    pub fn flush_all(&mut self, happenings: &mut Vec<IoEvent>) {
        let mut dirty = std::mem::take(&mut self.flush_queue);
        for key in dirty.drain(..) {
            if let Some(wire) = self.connections.get_mut(key) {
                wire.flush_pending = false;
                if wire.connected && wire.backlog() > 0 {
                    self.flush(key, happenings);
                }
            }
        }
        self.flush_queue = dirty;
    }

    fn flush(&mut self, key: ConnectionId, happenings: &mut Vec<IoEvent>) {
        let Some(wire) = self.connections.get_mut(key) else {
            return;
        };
        while wire.written_bytes < wire.output.len() {
            match wire.stream.write(&wire.output[wire.written_bytes..]) {
                Ok(length) => {
                    wire.written_bytes += length;
                    wire.sent_bytes += length as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Danger: what came before the connection broke may be an answer, and say that nothing was run. It is told
                // ahead of the break.
                Err(_) => {
                    self.read(key, true, self.last_wake.0, happenings);
                    return happenings.push(IoEvent::Failed(key));
                }
            }
        }
        wire.output.clear();
        wire.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
        wire.written_bytes = 0;
        happenings.push(IoEvent::Flushed(key));
    }
}

#[cfg(test)]
mod tests;
