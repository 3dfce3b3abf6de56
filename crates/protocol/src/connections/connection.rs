//! One connection: its buffers, and what is known of the end of its input and of its failure.

use std::io::{self, Read, Write};

use mio::net::TcpStream;

/// The capacity in bytes that an output buffer keeps once it is empty, so that idle connections use little memory.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// The call by which a connection reported its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedCall {
    /// A read from the socket.
    Read,
    /// A write to the socket.
    Write,
}

/// What is known of a failure of a socket. The kernel returns an error to one call only; a read after that call finds an end of
/// input, as if the peer had closed the connection in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SocketState {
    /// No failure is known.
    Sound,
    /// The poll has reported an error that no call has returned yet.
    ErrorPending,
    /// This call has returned the error.
    Failed(FailedCall),
}

/// Why reading has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStop {
    /// The socket holds no more input for now.
    Emptied,
    /// The input buffer is full.
    LimitReached,
    /// The peer has closed its sending direction in order.
    PeerClosed,
    /// The read has failed.
    Failed,
    /// The end of input after an earlier failure of this call.
    EndAfterFailure(FailedCall),
}

/// Why writing has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStop {
    /// All queued output is written.
    Flushed,
    /// The socket accepts no more for now.
    Blocked,
    /// The write has failed.
    Failed,
    /// The connection had failed before; the queued output is discarded.
    Discarded,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) is_connected: bool,
    /// The bytes that were received and not yet consumed by the caller.
    pub input: Vec<u8>,
    /// The limit of the input buffer in bytes; further input stays in the socket.
    pub max_input_bytes: usize,
    pub(super) output: Vec<u8>,
    written_bytes: usize,
    sent_bytes: u64,
    /// The input buffer was full, so that the socket may hold unread bytes.
    has_unread: bool,
    /// The connection is in the flush queue.
    pub(super) is_flush_queued: bool,
    socket_state: SocketState,
    /// When bytes were last received (at first, when the connection was opened), in microseconds.
    pub last_received_at: i64,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, is_connected: bool, now: i64) -> Connection {
        Connection {
            stream,
            is_connected,
            input: Vec::new(),
            max_input_bytes: usize::MAX,
            output: Vec::new(),
            written_bytes: 0,
            sent_bytes: 0,
            has_unread: false,
            is_flush_queued: false,
            socket_state: SocketState::Sound,
            last_received_at: now,
        }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// The number of bytes that are queued and not yet written to the socket.
    pub fn pending_output_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }

    /// The number of bytes that were written to the socket since the connection was opened. If they include no byte of a
    /// message, the peer can't have received any part of it.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether the socket may hold unread bytes because the input buffer was full.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Whether the connection has failed. It can't be written to any more, but may still hold input.
    pub fn has_failed(&self) -> bool {
        self.socket_state != SocketState::Sound
    }

    /// The first call that has failed, if one has.
    pub fn failed_call(&self) -> Option<FailedCall> {
        match self.socket_state {
            SocketState::Sound | SocketState::ErrorPending => None,
            SocketState::Failed(call) => Some(call),
        }
    }

    /// The memory that is allocated for the buffers, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Records an error that the poll has reported and no call has returned.
    pub(super) fn record_pending_error(&mut self) {
        self.record_failure(SocketState::ErrorPending);
    }

    /// Records a failure. Queued output can't be written any more and is discarded.
    fn record_failure(&mut self, state: SocketState) {
        if self.failed_call().is_none() {
            self.socket_state = state;
        }
        self.discard_output();
    }

    fn discard_output(&mut self) {
        self.output = Vec::new();
        self.written_bytes = 0;
    }

    /// Reads the available input. A read that returns less than was asked for has emptied the socket: the end of the stream is
    /// reported by an event of its own. With `until_end`, reads on until the end of the stream or an error.
    pub(super) fn read(&mut self, buffer: &mut [u8], until_end: bool) -> ReadStop {
        loop {
            let max_read = self
                .max_input_bytes
                .saturating_sub(self.input.len())
                .min(buffer.len());
            self.has_unread = max_read == 0;
            if max_read == 0 {
                return ReadStop::LimitReached;
            }
            match self.stream.read(&mut buffer[..max_read]) {
                Ok(0) => {
                    return self
                        .failed_call()
                        .map_or(ReadStop::PeerClosed, ReadStop::EndAfterFailure);
                }
                Ok(length) => {
                    self.input.extend_from_slice(&buffer[..length]);
                    if length < max_read && !until_end {
                        return ReadStop::Emptied;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadStop::Emptied;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.record_failure(SocketState::Failed(FailedCall::Read));
                    return ReadStop::Failed;
                }
            }
        }
    }

    /// Writes the queued output as far as the socket accepts it.
    pub(super) fn write(&mut self) -> WriteStop {
        if self.has_failed() {
            self.discard_output();
            return WriteStop::Discarded;
        }
        while self.written_bytes < self.output.len() {
            match self.stream.write(&self.output[self.written_bytes..]) {
                Ok(length) => {
                    self.written_bytes += length;
                    self.sent_bytes += length as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return WriteStop::Blocked;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.record_failure(SocketState::Failed(FailedCall::Write));
                    return WriteStop::Failed;
                }
            }
        }
        self.output.clear();
        self.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.written_bytes = 0;
        WriteStop::Flushed
    }
}
