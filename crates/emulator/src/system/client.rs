//! A plain HTTP client: one call at a time on a connection, each with an absolute deadline.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::Micros;
use crate::http;

/// Bytes read from a socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Value of `Retry-After`, in microseconds.
    pub retry_after: Option<Micros>,
    /// Whether the connection closes after it.
    pub close: bool,
    bytes: Vec<u8>,
    head_len: usize,
}

impl Reply {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http::header(&self.bytes, name)
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.head_len..]
    }

    /// The body as text; empty if it isn't UTF-8.
    pub fn text(&self) -> &str {
        std::str::from_utf8(self.body()).unwrap_or_default()
    }
}

/// Why a call has no answer.
#[derive(Debug)]
pub enum Failure {
    /// The connection failed to open, or the request was not completely written.
    NotSent(io::Error),
    /// The connection was closed in order before any byte of an answer.
    Closed,
    /// The connection failed, or the bytes received are not an HTTP answer.
    Broken(io::Error),
    /// No complete answer arrived before the deadline.
    TimedOut,
    /// Bytes followed the answer that belong to no request.
    UnexpectedBytes,
}

/// A client connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Calls answered on it so far.
    pub answered_calls: usize,
}

fn remaining(until: Instant) -> Option<Duration> {
    Some(until.saturating_duration_since(Instant::now())).filter(|remaining| !remaining.is_zero())
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// It can't be opened before the deadline.
    pub fn open(to: SocketAddr, until: Instant) -> Result<Connection, Failure> {
        let wait = remaining(until)
            .ok_or(Failure::TimedOut)?
            .min(CONNECT_TIMEOUT);
        let stream = TcpStream::connect_timeout(&to, wait).map_err(Failure::NotSent)?;
        stream.set_nodelay(true).map_err(Failure::NotSent)?;
        Ok(Connection {
            stream,
            answered_calls: 0,
        })
    }

    /// Sends a request; [`Connection::read_reply`] reads the answer.
    ///
    /// # Errors
    /// It was not completely written before the deadline.
    pub fn send(&mut self, request: &[u8], until: Instant) -> Result<(), Failure> {
        self.stream
            .set_write_timeout(Some(remaining(until).ok_or(Failure::TimedOut)?))
            .map_err(Failure::NotSent)?;
        self.stream.write_all(request).map_err(Failure::NotSent)
    }

    /// Waits for an answer. After a failure the connection can't be used again.
    ///
    /// # Errors
    /// No complete answer arrived before the deadline.
    pub fn read_reply(&mut self, until: Instant) -> Result<Reply, Failure> {
        let mut bytes = Vec::new();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            self.stream
                .set_read_timeout(Some(remaining(until).ok_or(Failure::TimedOut)?))
                .map_err(Failure::Broken)?;
            let length = match self.stream.read(&mut buffer) {
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
            bytes.extend_from_slice(&buffer[..length]);
            let read = http::answer(&bytes, length == 0);
            let invalid = |_| Failure::Broken(io::Error::other("response is not valid HTTP/1.1"));
            let Some(http::Answer {
                status,
                retry_after,
                close,
                head,
                length,
            }) = read.map_err(invalid)?
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
                head_len: head,
            });
        }
    }
}

/// Makes one call on a new connection; `Host` is the address unless `lines` contain one.
///
/// # Errors
/// There is no answer before the deadline.
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
