//! A small HTTP/1.1 client and parser, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole, by its own framing.
    Complete,
    /// The connection ended before that.
    Truncated,
    /// Nothing that counts as an answer arrived.
    Nothing,
}

pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

pub fn parse_head(bytes: &[u8]) -> Message {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_string();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    Message {
        first_line,
        fields,
        body: Vec::new(),
    }
}

/// Decodes a chunked body; gives it and whether its end was there.
fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, Option<usize>) {
    let (mut body, whole) = (Vec::new(), bytes.len());
    loop {
        let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else {
            return (body, None);
        };
        let size = std::str::from_utf8(&bytes[..line])
            .ok()
            .and_then(|text| usize::from_str_radix(text.split(';').next()?.trim(), 16).ok());
        let Some(size) = size else {
            return (body, None);
        };
        bytes = &bytes[line + 2..];
        if size == 0 {
            return match bytes.starts_with(b"\r\n") {
                true => (body, Some(whole - bytes.len() + 2)),
                false => (body, None),
            };
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            return (body, None);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

/// Takes a whole response from `input`, if there is one. `closed`: nothing more will come.
pub fn take_response(input: &mut Vec<u8>, closed: bool) -> Option<(Message, End)> {
    loop {
        let Some(end) = head_end(input) else {
            return closed.then(|| (Message::default(), End::Nothing));
        };
        let mut message = parse_head(&input[..end]);
        if (100..200).contains(&message.status()) {
            input.drain(..end);
            continue;
        }
        let rest = &input[end..];
        let chunked = message.field("Transfer-Encoding").is_some();
        let length = message
            .field("Content-Length")
            .and_then(|length| length.parse::<usize>().ok());
        let (body, used) = match length {
            _ if chunked => dechunk(rest),
            Some(length) if rest.len() >= length => (rest[..length].to_vec(), Some(length)),
            Some(_) => (rest.to_vec(), None),
            None if closed => (rest.to_vec(), Some(rest.len())),
            None => (rest.to_vec(), None),
        };
        message.body = body;
        return match used {
            Some(used) => {
                input.drain(..end + used);
                Some((message, End::Complete))
            }
            None if closed => Some((message, End::Truncated)),
            None => None,
        };
    }
}

/// Reads until `whole` finds the end of a message in the input, or `deadline`.
fn read_until(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Instant,
    whole: impl Fn(&[u8]) -> Option<usize>,
) -> Option<Vec<u8>> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = whole(input) {
            return Some(input.drain(..end).collect());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok();
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(length) => input.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Reads an answer that has no body: to a `HEAD` request. Gives its bytes as text, and the answer.
pub fn read_head(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Instant,
) -> (String, Option<Message>) {
    let bytes = read_until(stream, input, deadline, head_end);
    text_and_message(bytes)
}

/// Reads an answer with a length. Gives its bytes as text, and the answer.
pub fn read_answer_bytes(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Instant,
) -> (String, Option<Message>) {
    let bytes = read_until(stream, input, deadline, |input| {
        let end = head_end(input)?;
        let length = parse_head(&input[..end])
            .field("Content-Length")
            .and_then(|length| length.parse::<usize>().ok())
            .unwrap_or(0);
        (input.len() >= end + length).then_some(end + length)
    });
    text_and_message(bytes)
}

fn text_and_message(bytes: Option<Vec<u8>>) -> (String, Option<Message>) {
    let Some(bytes) = bytes else {
        return ("nothing".to_string(), None);
    };
    let text: String = String::from_utf8_lossy(&bytes).chars().take(160).collect();
    (text, Some(parse_head(&bytes)))
}

/// Reads one response, until `deadline`.
pub fn read_response(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Instant,
) -> (Message, End) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        if let Some(response) = take_response(input, false) {
            return response;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (Message::default(), End::Nothing);
        }
        stream.set_read_timeout(Some(left)).ok();
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => input.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                return (Message::default(), End::Nothing);
            }
            // A reset ends a response without a length too early.
            Err(_) => {
                let response = take_response(input, true);
                return match response {
                    Some((message, End::Complete))
                        if message.field("Content-Length").is_none()
                            && message.field("Transfer-Encoding").is_none() =>
                    {
                        (message, End::Truncated)
                    }
                    Some(response) => response,
                    None => (Message::default(), End::Nothing),
                };
            }
        }
    }
    take_response(input, true).unwrap_or((Message::default(), End::Nothing))
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    match read_response(&mut stream, &mut Vec::new(), deadline) {
        (message, End::Complete) => Ok(message),
        (_, end) => Err(io::Error::other(format!("no answer: {end:?}"))),
    }
}
