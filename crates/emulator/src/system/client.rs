//! A plain client: one call at a time on a connection, each with an absolute deadline.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::Micros;
use crate::http;

/// Bytes taken from a socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// A connection must come up within this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its `Retry-After`, in microseconds.
    pub retry_after: Option<Micros>,
    /// The connection ends with it.
    pub close: bool,
    bytes: Vec<u8>,
    head: usize,
}

impl Reply {
    /// A line of its head.
    pub fn header(&self, name: &str) -> Option<&str> {
        http::header(&self.bytes, name)
    }

    /// Its body.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.head..]
    }

    /// Its body, where it is text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body()).unwrap_or_default()
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// The request was not written whole.
    NotSent(io::Error),
    /// The connection ended in order before any byte of an answer.
    Closed,
    /// It broke, or what came is no answer.
    Broken(io::Error),
    /// Nothing whole came in time.
    TimedOut,
    /// Bytes came that belong to no request.
    UnexpectedBytes,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Calls that were answered on it.
    pub answered_calls: usize,
}

fn left(until: Instant) -> Option<Duration> {
    Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
}

impl Connection {
    /// Opens one.
    ///
    /// # Errors
    /// It does not come up in time.
    pub fn open(to: SocketAddr, until: Instant) -> Result<Connection, Failure> {
        let wait = left(until).ok_or(Failure::TimedOut)?.min(CONNECT_TIMEOUT);
        let stream = TcpStream::connect_timeout(&to, wait).map_err(Failure::NotSent)?;
        stream.set_nodelay(true).map_err(Failure::NotSent)?;
        Ok(Connection {
            stream,
            answered_calls: 0,
        })
    }

    /// Sends a request; [`Connection::answer`] brings its answer.
    ///
    /// # Errors
    /// It was not written whole in time.
    pub fn send(&mut self, request: &[u8], until: Instant) -> Result<(), Failure> {
        self.stream
            .set_write_timeout(Some(left(until).ok_or(Failure::TimedOut)?))
            .map_err(Failure::NotSent)?;
        self.stream.write_all(request).map_err(Failure::NotSent)
    }

    /// Waits for an answer. After a failure the connection is of no more use.
    ///
    /// # Errors
    /// None came whole in time.
    pub fn read_reply(&mut self, until: Instant) -> Result<Reply, Failure> {
        let mut bytes = Vec::new();
        let mut room = vec![0; READ_BUFFER_BYTES];
        loop {
            self.stream
                .set_read_timeout(Some(left(until).ok_or(Failure::TimedOut)?))
                .map_err(Failure::Broken)?;
            let length = match self.stream.read(&mut room) {
                Ok(0) if bytes.is_empty() => return Err(Failure::Closed),
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Err(Failure::TimedOut);
                }
                Err(error) => return Err(Failure::Broken(error)),
            };
            bytes.extend_from_slice(&room[..length]);
            let read = http::answer(&bytes, length == 0);
            let none = |_| Failure::Broken(io::Error::other("no answer in the protocol"));
            let Some(http::Answer {
                status,
                retry_after,
                close,
                head,
                length,
            }) = read.map_err(none)?
            else {
                continue;
            };
            if bytes.len() > length {
                return Err(Failure::UnexpectedBytes);
            }
            self.answered_calls += 1;
            return Ok(Reply {
                status,
                retry_after,
                close,
                bytes,
                head,
            });
        }
    }
}

/// One call on a connection of its own; its `Host` is the address unless `lines` name one.
///
/// # Errors
/// There is no answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    lines: &str,
    body: &[u8],
    until: Instant,
) -> Result<Reply, Failure> {
    let mut connection = Connection::open(to, until)?;
    let length = body.len();
    let host = if lines.contains("Host: ") {
        String::new()
    } else {
        format!("Host: {to}\r\n")
    };
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\n{host}{lines}Connection: close\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    request.extend_from_slice(body);
    connection.send(&request, until)?;
    connection.read_reply(until)
}
