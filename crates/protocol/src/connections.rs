//! The connections of a program with one thread: they are polled together, read when something is received, and written once
//! an iteration.
//!
//! Polling is done with `mio`: it takes one system call, where the limiter's event loop makes five, and an edge has a fifth of
//! a processor for two programs. The caller owns the purpose of each connection, and all deadlines.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook_mio::v1_0::Signals;
use slotmap::{Key, KeyData, SlotMap};
use socket2::{Domain, Protocol, Socket, Type};

slotmap::new_key_type! {
    /// The id of a connection. That of a connection that was closed finds nothing.
    pub struct ConnectionId;
}

/// An event of the sockets or of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// A connection was accepted by the listener with this number.
    Accepted(usize, ConnectionId),
    /// A connection that was opened by this process is established.
    Connected(ConnectionId),
    /// Something was received, and is in the input buffer.
    Received(ConnectionId),
    /// Everything that was queued is written.
    Flushed(ConnectionId),
    /// The peer has closed its direction. The connection is still open.
    PeerClosed(ConnectionId),
    /// The connection has failed, or could not be established. It can't be used, and is to be closed.
    Failed(ConnectionId),
    /// The process has received a signal.
    Signal(i32),
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    is_connected: bool,
    /// What was received and not taken yet.
    pub input: Vec<u8>,
    /// The greatest number of bytes in the input buffer; more than that waits in the socket.
    pub max_input_bytes: usize,
    output: Vec<u8>,
    written_bytes: usize,
    sent_bytes: u64,
    /// More may have been received than was read.
    has_unread: bool,
    is_flush_queued: bool,
    /// When something was last received, in microseconds.
    pub last_received_at: i64,
}

impl Connection {
    /// Whether it is established.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// The number of bytes that are queued and not written yet.
    pub fn pending_output_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// The number of bytes that were written to the socket since the connection was opened. If none of a message is among
    /// them, the peer can't have seen anything of it.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether more may have been received than was read, because the input buffer was full.
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
    read_buffer: Vec<u8>,
    is_accepting: bool,
    /// A connection could not be accepted, as for want of descriptors: it waits, and no event tells of it again.
    accept_failed: bool,
    /// When the last poll ended, and whether it brought all events.
    last_poll: (i64, bool),
}

const SIGNAL_TOKEN: Token = Token(1_000);
/// The greatest number of events that one poll brings.
const MAX_EVENTS: usize = 256;
/// A connection that could not be accepted is tried again after this, in microseconds.
const ACCEPT_RETRY_INTERVAL: i64 = 50_000;
/// The number of bytes read from a socket at a time.
const READ_BYTES: usize = 32 * 1024;
/// The number of connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// The capacity that an empty buffer may keep, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

fn token(id: ConnectionId) -> Token {
    Token(id.data().as_ffi() as usize)
}

impl Connections {
    /// Creates the poll, which also receives these signals.
    ///
    /// # Errors
    /// The system can't create it.
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
            read_buffer: vec![0; READ_BYTES],
            is_accepting: true,
            accept_failed: false,
            last_poll: (0, true),
        })
    }

    /// Listens at an address; gives the number of the listener and its actual address.
    ///
    /// # Errors
    /// The address can't be used.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        let index = self.listeners.len();
        self.poll
            .registry()
            .register(&mut listener, Token(index), Interest::READABLE)?;
        let address = listener.local_addr()?;
        self.listeners.push(Some(listener));
        Ok((index, address))
    }

    /// Accepts no more connections on a listener.
    pub fn stop_listening(&mut self, listener: usize) {
        self.listeners[listener] = None;
    }

    /// Opens a connection; [`IoEvent::Connected`] or [`IoEvent::Failed`] follows.
    ///
    /// # Errors
    /// The system refuses at once.
    pub fn connect(&mut self, address: SocketAddr, now: i64) -> io::Result<ConnectionId> {
        let stream = TcpStream::connect(address)?;
        self.register(stream, false, now)
    }

    fn register(
        &mut self,
        stream: TcpStream,
        is_connected: bool,
        now: i64,
    ) -> io::Result<ConnectionId> {
        stream.set_nodelay(true)?;
        let id = self.connections.insert(Connection {
            stream,
            is_connected,
            input: Vec::new(),
            max_input_bytes: usize::MAX,
            output: Vec::new(),
            written_bytes: 0,
            sent_bytes: 0,
            has_unread: false,
            is_flush_queued: false,
            last_received_at: now,
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        match self
            .poll
            .registry()
            .register(&mut self.connections[id].stream, token(id), interest)
        {
            Ok(()) => Ok(id),
            Err(error) => {
                self.connections.remove(id);
                Err(error)
            }
        }
    }

    /// A connection.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id)
    }

    /// A connection, to take from its input buffer.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    /// When the last poll ended, before anything was read; and whether it brought all events.
    pub fn last_poll(&self) -> (i64, bool) {
        self.last_poll
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The number of bytes that the buffers of all connections take up.
    pub fn buffered_bytes(&self) -> usize {
        self.connections
            .values()
            .map(|connection| connection.input.capacity() + connection.output.capacity())
            .sum()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The buffer of what is to be written on a connection at the end of the iteration; none if it was closed.
    pub fn output(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        let connection = self.connections.get_mut(id)?;
        if !std::mem::replace(&mut connection.is_flush_queued, true) {
            self.flush_queue.push(id);
        }
        Some(&mut connection.output)
    }

    /// Closes a connection. What was not written is lost.
    pub fn close(&mut self, id: ConnectionId) -> Option<Connection> {
        self.connections.remove(id)
    }

    /// Closes the sending direction of a connection; what the peer still sends is read.
    pub fn shutdown_write(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            // A connection that has failed is noticed when it is read.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Accepts connections, or accepts none until this is called again.
    pub fn set_accepting(&mut self, is_accepting: bool, now: i64, events: &mut Vec<IoEvent>) {
        if is_accepting && !std::mem::replace(&mut self.is_accepting, is_accepting) {
            (0..self.listeners.len()).for_each(|listener| self.accept(listener, now, events));
        }
        self.is_accepting = is_accepting;
    }

    /// Reads what had to wait because the input buffer was full.
    pub fn resume_reading(&mut self, id: ConnectionId, now: i64, events: &mut Vec<IoEvent>) {
        if self
            .connections
            .get(id)
            .is_some_and(|connection| connection.has_unread)
        {
            self.read(id, true, now, events);
        }
    }

    /// Waits for events, until `until` at the latest, on the clock that `clock` reads.
    ///
    /// # Errors
    /// The poll has failed.
    pub fn wait(
        &mut self,
        deadline: Option<i64>,
        clock: impl Fn() -> i64,
        events: &mut Vec<IoEvent>,
    ) -> io::Result<()> {
        let retry_at = self
            .accept_failed
            .then(|| clock().saturating_add(ACCEPT_RETRY_INTERVAL));
        let deadline = deadline.into_iter().chain(retry_at).min();
        let timeout_us = deadline.map(|deadline| deadline.saturating_sub(clock()).max(0) as u64);
        let mut polled = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let result = self
            .poll
            .poll(&mut polled, timeout_us.map(Duration::from_micros));
        let now = clock();
        self.last_poll = (now, polled.iter().count() < MAX_EVENTS);
        if std::mem::take(&mut self.accept_failed) {
            (0..self.listeners.len()).for_each(|listener| self.accept(listener, now, events));
        }
        for event in &polled {
            match event.token() {
                SIGNAL_TOKEN => events.extend(self.signals.pending().map(IoEvent::Signal)),
                Token(value) if value < self.listeners.len() => self.accept(value, now, events),
                Token(value) => {
                    let id = ConnectionId::from(KeyData::from_ffi(value as u64));
                    self.handle_ready(id, event, now, events);
                }
            }
        }
        self.events = polled;
        match result {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    /// Connects, writes and reads a connection, as far as the event says that it is ready for that.
    fn handle_ready(
        &mut self,
        id: ConnectionId,
        event: &mio::event::Event,
        now: i64,
        events: &mut Vec<IoEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if !connection.is_connected {
            if event.is_error() || event.is_write_closed() {
                events.push(IoEvent::Failed(id));
                return;
            }
            if !event.is_writable() {
                return;
            }
            connection.is_connected = true;
            events.push(IoEvent::Connected(id));
        }
        if event.is_writable() && connection.pending_output_bytes() > 0 {
            self.flush(id, events);
        }
        if event.is_readable() || event.is_read_closed() || event.is_error() {
            let until_end = event.is_read_closed() || event.is_error();
            self.read(id, until_end, now, events);
        }
    }

    fn accept(&mut self, index: usize, now: i64, events: &mut Vec<IoEvent>) {
        while self.is_accepting {
            let Some(Some(listener)) = self.listeners.get(index) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Ok(id) = self.register(stream, true, now) {
                        events.push(IoEvent::Accepted(index, id));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // One failed before it was accepted, or descriptors are short.
                Err(_) => {
                    self.accept_failed = true;
                    return;
                }
            }
        }
    }

    /// Reads what was received. A read that brings less than was asked for has taken everything: an end is told by the event.
    fn read(&mut self, id: ConnectionId, until_end: bool, now: i64, events: &mut Vec<IoEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let length_before = connection.input.len();
        let mut end_event = None;
        loop {
            let max_read = connection
                .max_input_bytes
                .saturating_sub(connection.input.len())
                .min(self.read_buffer.len());
            connection.has_unread = max_read == 0;
            if max_read == 0 {
                break;
            }
            match connection.stream.read(&mut self.read_buffer[..max_read]) {
                Ok(0) => {
                    end_event = Some(IoEvent::PeerClosed(id));
                    break;
                }
                Ok(length) => {
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    if length < max_read && !until_end {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    end_event = Some(IoEvent::Failed(id));
                    break;
                }
            }
        }
        if connection.input.len() > length_before {
            connection.last_received_at = now;
            events.push(IoEvent::Received(id));
        }
        events.extend(end_event);
    }

    /// Writes everything that is queued. To be called again until it brings no more events.
    pub fn flush_all(&mut self, events: &mut Vec<IoEvent>) {
        let mut queue = std::mem::take(&mut self.flush_queue);
        for id in queue.drain(..) {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.is_flush_queued = false;
                if connection.is_connected && connection.pending_output_bytes() > 0 {
                    self.flush(id, events);
                }
            }
        }
        self.flush_queue = queue;
    }

    fn flush(&mut self, id: ConnectionId, events: &mut Vec<IoEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        while connection.written_bytes < connection.output.len() {
            match connection
                .stream
                .write(&connection.output[connection.written_bytes..])
            {
                Ok(length) => {
                    connection.written_bytes += length;
                    connection.sent_bytes += length as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Hazard: what was received before the failure may be an answer, which says that nothing was run. It has to be
                // reported before the failure.
                Err(_) => {
                    self.read(id, true, self.last_poll.0, events);
                    return events.push(IoEvent::Failed(id));
                }
            }
        }
        connection.output.clear();
        connection.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
        connection.written_bytes = 0;
        events.push(IoEvent::Flushed(id));
    }
}

#[cfg(test)]
mod tests;
