//! Connections: how one is opened, read and written, and what is held for it.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};

use crate::dataplane_types::{Incoming, RequestHead};

/// Whose a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It came at the port of replicas and agents and has said nothing yet.
    Unidentified,
    /// A link with the replica at this address; none while it has not said where that is.
    Replica { peer: Option<SocketAddr> },
    /// An agent's.
    Agent,
    /// An operator's.
    Operator,
    /// A client's that asks where to go.
    Client,
    /// The platform's.
    Platform,
}

pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    pub(super) role: Role,
    pub(super) connected: bool,
    pub(super) opened_at: i64,
    /// Something last came, or went out, then.
    pub(super) last_received_at: i64,
    pub(super) last_sent_at: i64,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) written: usize,
    /// Of a caller: the request that is coming in, and whether the one before waits for its answer.
    pub(super) incoming: Incoming<RequestHead>,
    pub(super) awaiting_reply: bool,
    pub(super) continue_sent: bool,
    /// No other request follows.
    pub(super) close_after_reply: bool,
    /// Reading has stopped though more may be there.
    pub(super) has_unread: bool,
    /// To be closed once all is written.
    pub(super) closing: bool,
}

impl Connection {
    pub(super) fn new(stream: Rc<TcpStream>, role: Role, up: bool, now: i64) -> Connection {
        Connection {
            stream,
            token: None,
            role,
            connected: up,
            opened_at: now,
            last_received_at: now,
            last_sent_at: now,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            incoming: Incoming::default(),
            awaiting_reply: false,
            continue_sent: false,
            close_after_reply: false,
            has_unread: false,
            closing: false,
        }
    }

    /// Bytes that were not written yet.
    pub(super) fn backlog(&self) -> usize {
        self.output.len() - self.written
    }
}

/// Linux's number for a connect that goes on in the background; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Opens a connection in the background.
pub(super) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Listens at an address.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(512)?;
    Ok(socket.into())
}
