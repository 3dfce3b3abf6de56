//! The TCP connections of a single-threaded program. All of them are polled together; each is read when input arrives, and
//! queued output is written once per iteration of the event loop.
//!
//! Polling uses `mio`, which needs one system call per iteration where the limiter's event loop makes five: an edge has a fifth
//! of a processor for two programs. The caller keeps track of the purpose of each connection and of all deadlines.

mod connection;

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook_mio::v1_0::Signals;
use slotmap::{Key, KeyData, SlotMap};
use socket2::{Domain, Protocol, Socket, Type};

pub use self::connection::{Connection, FailedCall};
use self::connection::{ReadStop, WriteStop};

slotmap::new_key_type! {
    /// The id of a connection. The id of a closed connection finds nothing.
    pub struct ConnectionId;
}

/// An event on a socket or a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoEvent {
    /// The listener with this index accepted a connection.
    Accepted(usize, ConnectionId),
    /// A connection that was opened by this process is established.
    Connected(ConnectionId),
    /// Bytes were received and are in the input buffer.
    Received(ConnectionId),
    /// All queued output was written to the socket.
    Flushed(ConnectionId),
    /// The peer has closed its sending direction in order, and all input before that was read. The connection can still be
    /// written to. It is not reported once a call on the connection has failed: an end of input says nothing then.
    PeerClosed(ConnectionId),
    /// The connection has failed or could not be established: nothing more is written to it, and the caller has to close it.
    /// Input from before the failure is in the input buffer. If that was full ([`Connection::has_unread`]), the rest can be
    /// read with [`Connections::resume_reading`], and the event is reported again at the end of the input.
    Failed(ConnectionId),
    /// The process has received a signal.
    Signal(i32),
}

/// How connections have ended, counted since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Ends of input without an earlier failure: the peer has closed its sending direction in order.
    pub orderly: u64,
    /// Reads that failed.
    pub failed_reads: u64,
    /// Writes that failed.
    pub failed_writes: u64,
    /// Ends of input that were read after a write had failed.
    pub after_failed_write: u64,
}

/// The listeners and connections of a program, and the signals that it receives.
pub struct Connections {
    poll: Poll,
    events: Events,
    signals: Signals,
    listeners: Vec<Option<TcpListener>>,
    connections: SlotMap<ConnectionId, Connection>,
    flush_queue: Vec<ConnectionId>,
    read_buffer: Vec<u8>,
    is_accepting: bool,
    /// Accepting a connection failed, for example because no file descriptor was free. The connection stays in the backlog of
    /// the listener, for which the poll reports no second event.
    accept_failed: bool,
    /// When the last poll ended, and whether it returned all pending events.
    last_poll: (i64, bool),
    end_counts: EndCounts,
}

const SIGNAL_TOKEN: Token = Token(1_000);
/// The maximum number of events that one poll returns.
const MAX_EVENTS: usize = 256;
/// The delay before connections are accepted again after a failure to accept one, in microseconds.
const ACCEPT_RETRY_INTERVAL: i64 = 50_000;
/// The maximum number of bytes that one read from a socket returns.
const READ_BYTES: usize = 32 * 1024;
/// The backlog of a listener: the number of established connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

fn token(id: ConnectionId) -> Token {
    Token(id.data().as_ffi() as usize)
}

impl Connections {
    /// Creates the poll and registers these signals with it.
    ///
    /// # Errors
    /// The operating system refuses the poll or a signal handler.
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
            end_counts: EndCounts::default(),
        })
    }

    /// Listens on an address. Returns the index of the listener and the address that it is bound to.
    ///
    /// # Errors
    /// The address can't be bound.
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

    /// Closes a listener. The indices of the others stay the same.
    pub fn stop_listening(&mut self, listener: usize) {
        self.listeners[listener] = None;
    }

    /// Starts to connect to an address; [`IoEvent::Connected`] or [`IoEvent::Failed`] follows.
    ///
    /// # Errors
    /// The operating system refuses the connection immediately.
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
        let connection = Connection::new(stream, is_connected, now);
        let id = self.connections.insert(connection);
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

    /// Looks up a connection.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id)
    }

    /// Looks up a connection, to consume its input or to change its limits.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    /// Whether output of a connection is queued and not yet written to the socket.
    pub fn has_pending_output(&self, id: ConnectionId) -> bool {
        self.connections
            .get(id)
            .is_some_and(|connection| connection.pending_output_bytes() > 0)
    }

    /// When the last poll ended, before any input was read, and whether it returned all pending events.
    pub fn last_poll(&self) -> (i64, bool) {
        self.last_poll
    }

    /// How connections have ended so far.
    pub fn end_counts(&self) -> EndCounts {
        self.end_counts
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The memory that is allocated for the buffers of all connections, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.connections
            .values()
            .map(Connection::buffered_bytes)
            .sum()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The output buffer of a connection, which is written at the end of the iteration; `None` if the connection is closed.
    pub fn output(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        let connection = self.connections.get_mut(id)?;
        if !std::mem::replace(&mut connection.is_flush_queued, true) {
            self.flush_queue.push(id);
        }
        Some(&mut connection.output)
    }

    /// Closes a connection and discards its unwritten output.
    pub fn close(&mut self, id: ConnectionId) -> Option<Connection> {
        self.connections.remove(id)
    }

    /// Closes the sending direction of a connection; it can still be read from.
    pub fn shutdown_write(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            // If the connection has failed, the next read reports it.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Starts or stops accepting connections on all listeners. On a start, those in the backlog are accepted at once.
    pub fn set_accepting(&mut self, is_accepting: bool, now: i64, events: &mut Vec<IoEvent>) {
        if is_accepting && !std::mem::replace(&mut self.is_accepting, is_accepting) {
            (0..self.listeners.len()).for_each(|listener| self.accept(listener, now, events));
        }
        self.is_accepting = is_accepting;
    }

    /// Reads the input that was left in the socket because the input buffer was full.
    pub fn resume_reading(&mut self, id: ConnectionId, now: i64, events: &mut Vec<IoEvent>) {
        if self.connections.get(id).is_some_and(Connection::has_unread) {
            self.read(id, true, now, events);
        }
    }

    /// Waits for events until `deadline` at the latest, without end if there is none. `clock` reads the clock that the
    /// deadline refers to.
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

    /// Completes the connect of a connection, writes and reads it, as far as the event reports it ready.
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
        let may_have_ended = event.is_read_closed() || event.is_error();
        // A write could use up the error that tells a reset from an end in order: the input is read first.
        if may_have_ended {
            self.read(id, true, now, events);
        }
        if event.is_error() {
            self.report_pending_error(id, events);
        }
        if event.is_writable() && self.has_pending_output(id) {
            self.flush(id, events);
        }
        if event.is_readable() && !may_have_ended {
            self.read(id, false, now, events);
        }
    }

    /// Reports an error that the poll has found on a connection whose input buffer is full, so that no read has returned it.
    fn report_pending_error(&mut self, id: ConnectionId, events: &mut Vec<IoEvent>) {
        if let Some(connection) = self.connections.get_mut(id)
            && connection.has_unread()
            && !connection.has_failed()
        {
            connection.record_pending_error();
            events.push(IoEvent::Failed(id));
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
                // The connection failed before it was accepted, or no file descriptor is free.
                Err(_) => {
                    self.accept_failed = true;
                    return;
                }
            }
        }
    }

    /// Reads the available input (see [`Connection::read`]) and reports it, and the end that it came to. Returns whether there
    /// was one.
    fn read(
        &mut self,
        id: ConnectionId,
        until_end: bool,
        now: i64,
        events: &mut Vec<IoEvent>,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        let length_before = connection.input.len();
        let stop = connection.read(&mut self.read_buffer, until_end);
        if connection.input.len() > length_before {
            connection.last_received_at = now;
            events.push(IoEvent::Received(id));
        }
        let end_event = match stop {
            ReadStop::Emptied | ReadStop::LimitReached => return false,
            ReadStop::PeerClosed => {
                self.end_counts.orderly += 1;
                IoEvent::PeerClosed(id)
            }
            ReadStop::Failed => {
                self.end_counts.failed_reads += 1;
                IoEvent::Failed(id)
            }
            ReadStop::EndAfterFailure(call) => {
                self.end_counts.after_failed_write += u64::from(call == FailedCall::Write);
                IoEvent::Failed(id)
            }
        };
        events.push(end_event);
        true
    }

    /// Writes the queued output of all connections. Handling the events that it adds may queue more output: it has to be called
    /// until it adds none.
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
        match connection.write() {
            WriteStop::Flushed => events.push(IoEvent::Flushed(id)),
            WriteStop::Blocked | WriteStop::Discarded => {}
            // Input that arrived before the failure may be a response saying that the request was not run. It must be read
            // and reported before the failure, or the caller would take the outcome of the request for unknown.
            WriteStop::Failed => {
                self.end_counts.failed_writes += 1;
                if !self.read(id, true, self.last_poll.0, events) {
                    events.push(IoEvent::Failed(id));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
