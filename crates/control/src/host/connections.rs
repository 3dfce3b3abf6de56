//! Connections of the event loop: their roles, buffers and sockets.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};

use crate::dataplane_types::{IncomingMessage, RequestHead};

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// A replica or an agent that has not sent its first bytes yet.
    Unidentified,
    /// The replica at this address; `None` until it has sent its address.
    Replica { peer: Option<SocketAddr> },
    /// An agent.
    Agent,
    /// An operator, or a server.
    Operator,
    /// A client that looks up the addresses of edges.
    Client,
    /// The platform API, whose list of servers this process reads.
    Platform,
}

pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    pub(super) role: Role,
    pub(super) is_connected: bool,
    pub(super) opened_at: i64,
    /// When bytes were last received.
    pub(super) last_received_at: i64,
    /// When bytes were last queued to be sent.
    pub(super) last_sent_at: i64,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    /// The number of bytes of `output` that are written already.
    pub(super) written: usize,
    /// The request of a caller that is being received.
    pub(super) incoming: IncomingMessage<RequestHead>,
    /// A request was received and awaits its reply.
    pub(super) awaiting_reply: bool,
    /// `100 Continue` was sent for the request that is being received.
    pub(super) continue_sent: bool,
    /// The caller sends no other request on this connection.
    pub(super) close_after_reply: bool,
    /// Reading has stopped although more may have been received.
    pub(super) has_unread: bool,
    /// The connection is closed once all output is written.
    pub(super) closing: bool,
}

impl Connection {
    pub(super) fn new(
        stream: Rc<TcpStream>,
        role: Role,
        is_connected: bool,
        now: i64,
    ) -> Connection {
        Connection {
            stream,
            token: None,
            role,
            is_connected,
            opened_at: now,
            last_received_at: now,
            last_sent_at: now,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            incoming: IncomingMessage::default(),
            awaiting_reply: false,
            continue_sent: false,
            close_after_reply: false,
            has_unread: false,
            closing: false,
        }
    }

    /// The number of bytes that are queued and not written yet.
    pub(super) fn backlog_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether output or a reply is still to be sent.
    pub(super) fn has_pending_output(&self) -> bool {
        self.is_connected && self.backlog_bytes() > 0 || self.awaiting_reply
    }
}

/// The error of a `connect` that continues in the background on Linux; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Starts to open a connection, without blocking.
pub(super) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket_type = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(
        Domain::for_address(address),
        socket_type,
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// The greatest number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 512;

/// Listens at an address.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket_type = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(
        Domain::for_address(address),
        socket_type,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
