//! HTTP/1.1 framing on httparse, shared by all who speak it here: whole messages out of a growing buffer.

use std::fmt;

use crate::limits::Limits;

/// Most header lines of a message.
const MAX_HEADERS: usize = 64;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1.1, or a length that makes no sense.
    Syntax,
    /// The head is too long, or has too many lines.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
}

impl ParseError {
    /// The status that tells a client so.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Syntax => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ParseError::Syntax => "malformed message",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
        })
    }
}

impl std::error::Error for ParseError {}

/// Header lines of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the only line of this name. Two lines of one name that we go by are as bad as a wrong one.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }

    /// Whether any line has this name.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|(n, _)| n.eq_ignore_ascii_case(name))
    }

    /// All lines in their order, name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    fn contains_token(&self, name: &str, word: &str) -> bool {
        let lines = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        lines
            .flat_map(|(_, v)| v.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(word))
    }
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Path and query as they stood in the line.
    pub target: String,
    /// Its header lines.
    pub headers: Headers,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// The connection may carry another.
    pub keep_alive: bool,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// The connection may carry another.
    pub keep_alive: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks; the last is empty.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Longest line that gives a chunk's size, extensions included, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Most bytes of trailer lines.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Where a body stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Plain bytes, so many of them.
    Plain(u64),
    UntilClose,
    /// At the size of a chunk, in its data, or at the line's end behind it.
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// At a trailer line, or the empty line that ends the body; so many bytes of trailers have come.
    Trailer(usize),
    Complete,
}

/// Reads a body as it comes, in whatever pieces, without holding it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    state: BodyState,
    /// Bytes that it may still have.
    remaining: u64,
}

impl BodyReader {
    /// A body that ends like this and has `most` bytes at the most.
    ///
    /// # Errors
    /// It is said to be longer.
    pub fn new(extent: BodyFraming, most: u64) -> Result<BodyReader, ParseError> {
        let place = match extent {
            BodyFraming::Length(length) if length > most => return Err(ParseError::BodyTooLarge),
            BodyFraming::Length(0) => BodyState::Complete,
            BodyFraming::Length(length) => BodyState::Plain(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Ok(BodyReader {
            state: place,
            remaining: most,
        })
    }

    /// Nothing more belongs to it.
    pub fn is_complete(&self) -> bool {
        self.state == BodyState::Complete
    }

    /// The connection's end is its end.
    pub fn ends_with_connection(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    fn consume(&mut self, bytes: u64) -> Result<(), ParseError> {
        self.remaining = self
            .remaining
            .checked_sub(bytes)
            .ok_or(ParseError::BodyTooLarge)?;
        Ok(())
    }

    /// Takes what belongs to it off the start of `bytes`: what is data goes to `out`. Gives how many bytes it took;
    /// where it takes none of those left, it waits for more to come behind them, or is whole.
    ///
    /// # Errors
    /// What is no chunk; a body that is too long. Always the same ones, however the bytes are split.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if rest.is_empty() {
                return Ok(at);
            }
            match self.state {
                BodyState::Complete => return Ok(at),
                BodyState::Plain(left) | BodyState::ChunkData(left) => {
                    let part = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..part]);
                    at += part;
                    let left = left - part as u64;
                    self.state = match self.state {
                        BodyState::Plain(_) if left == 0 => BodyState::Complete,
                        BodyState::Plain(_) => BodyState::Plain(left),
                        _ if left == 0 => BodyState::ChunkEnd,
                        _ => BodyState::ChunkData(left),
                    };
                }
                BodyState::UntilClose => {
                    self.consume(rest.len() as u64)?;
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((line, size)))
                        if line <= MAX_CHUNK_SIZE_LINE_BYTES =>
                    {
                        self.consume(size)?;
                        at += line;
                        self.state = if size == 0 {
                            BodyState::Trailer(0)
                        } else {
                            BodyState::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_SIZE_LINE_BYTES => {
                        return Ok(at);
                    }
                    _ => return Err(ParseError::Syntax),
                },
                BodyState::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (self.state, at) = (BodyState::ChunkSize, at + 2),
                    [b'\r'] => return Ok(at),
                    _ => return Err(ParseError::Syntax),
                },
                // Trailer lines are of no use to anybody here.
                BodyState::Trailer(before) => {
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    let length = before + end.unwrap_or(rest.len());
                    match end {
                        _ if length > MAX_TRAILER_BYTES => return Err(ParseError::HeadTooLarge),
                        None => return Ok(at),
                        // Guards against smuggling: what others take for no line's end must not be one here.
                        Some(end) if end == 0 || rest[end - 1] != b'\r' => {
                            return Err(ParseError::Syntax);
                        }
                        Some(end) => {
                            at += end + 1;
                            self.state = if end == 1 {
                                BodyState::Complete
                            } else {
                                BodyState::Trailer(length)
                            };
                        }
                    }
                }
            }
        }
    }
}

/// Header lines of an answer. A line of which nothing depends must not cost a good answer: what is no UTF-8 is
/// marked as such in its value, and a length or coding with such a mark is none.
fn collect_headers_lossy(lines: &[httparse::Header<'_>]) -> Headers {
    let one = |line: &httparse::Header<'_>| {
        (
            line.name.to_string(),
            String::from_utf8_lossy(line.value).trim().to_string(),
        )
    };
    Headers(lines.iter().map(one).collect())
}

fn collect_headers(lines: &[httparse::Header<'_>]) -> Result<Headers, ParseError> {
    let one = |line: &httparse::Header<'_>| {
        let value = std::str::from_utf8(line.value).map_err(|_| ParseError::Syntax)?;
        Ok((line.name.to_string(), value.trim().to_string()))
    };
    lines.iter().map(one).collect::<Result<_, _>>().map(Headers)
}

fn body_framing(headers: &Headers, otherwise: BodyFraming) -> Result<BodyFraming, ParseError> {
    let coded = headers.has("Transfer-Encoding");
    if headers.has("Content-Length") {
        // Guards against smuggling: two lengths, or a length beside a coding, are read differently by others.
        let text = headers
            .get("Content-Length")
            .filter(|_| !coded)
            .ok_or(ParseError::Syntax)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::Syntax);
        }
        return text
            .parse()
            .map(BodyFraming::Length)
            .map_err(|_| ParseError::BodyTooLarge);
    }
    match (coded, headers.get("Transfer-Encoding")) {
        (false, _) => Ok(otherwise),
        (true, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
        (true, _) => Err(ParseError::Syntax),
    }
}

fn check_head_length(bytes: &[u8], limits: &Limits) -> Result<(), ParseError> {
    if bytes.len() > limits.max_head_bytes {
        Err(ParseError::HeadTooLarge)
    } else {
        Ok(())
    }
}

fn head_error(error: httparse::Error) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::HeadTooLarge,
        _ => ParseError::Syntax,
    }
}

fn keep_alive(version: Option<u8>, headers: &Headers) -> bool {
    version == Some(1) && !headers.contains_token("Connection", "close")
}

/// The head of a message, and how its body ends.
pub trait Head: Sized {
    /// The head at the start of `bytes`, how its body ends, and where that begins; none while it is not whole.
    ///
    /// # Errors
    /// What is no head.
    fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(Self, BodyFraming, usize)>, ParseError>;
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query as they stood in the line.
    pub target: String,
    /// Its header lines.
    pub headers: Headers,
    /// The connection may carry another.
    pub keep_alive: bool,
    /// Its client waits to be told that the body is wanted.
    pub expects_continue: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers,
    /// The connection may carry another.
    pub keep_alive: bool,
}

impl Head for RequestHead {
    fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(Self, BodyFraming, usize)>, ParseError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let from = match parsed.parse(bytes).map_err(head_error)? {
            httparse::Status::Partial => return check_head_length(bytes, limits).map(|()| None),
            httparse::Status::Complete(from) => from,
        };
        check_head_length(&bytes[..from], limits)?;
        // Guards against smuggling: what others take for no line's end must not be one here.
        if bytes[..from]
            .split_inclusive(|byte| *byte == b'\n')
            .any(|line| !line.ends_with(b"\r\n"))
        {
            return Err(ParseError::Syntax);
        }
        let headers = collect_headers(parsed.headers)?;
        let extent = body_framing(&headers, BodyFraming::Length(0))?;
        let keep_alive = keep_alive(parsed.version, &headers);
        let expects = parsed.version == Some(1)
            && headers
                .get("Expect")
                .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
            return Err(ParseError::Syntax);
        };
        let (method, target) = (method.to_string(), target.to_string());
        Ok(Some((
            RequestHead {
                method,
                target,
                headers,
                keep_alive,
                expects_continue: expects,
            },
            extent,
            from,
        )))
    }
}

impl Head for ResponseHead {
    /// Of a peer that always says how long its answers are: one that says
    /// nothing is taken to end with its connection only where it also says that this is its last. Guards against an
    /// answer that broke off: without a length a part of it looks whole, and where the connection stays open its end
    /// would be waited for in vain.
    fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(Self, BodyFraming, usize)>, ParseError> {
        let Some((head, from)) = final_head(bytes, limits)? else {
            return Ok(None);
        };
        let extent = match head.status {
            204 | 304 => BodyFraming::Length(0),
            _ if head.has_length() => body_framing(&head.headers, BodyFraming::UntilClose)?,
            200 if head.keep_alive => return Err(ParseError::Syntax),
            200 => BodyFraming::UntilClose,
            _ => BodyFraming::Length(0),
        };
        Ok(Some((head, extent, from)))
    }
}

impl ResponseHead {
    fn has_length(&self) -> bool {
        self.headers.has("Content-Length") || self.headers.has("Transfer-Encoding")
    }

    /// The connection may carry another: it stays, and where this one ends is known to both sides.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && (self.has_length() || matches!(self.status, 204 | 304))
    }
}

fn response_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let from = match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(bytes, limits).map(|()| None),
        httparse::Status::Complete(from) => from,
    };
    let headers = collect_headers_lossy(parsed.headers);
    let keep_alive = keep_alive(parsed.version, &headers);
    let status = parsed.code.ok_or(ParseError::Syntax)?;
    Ok(Some((
        ResponseHead {
            status,
            headers,
            keep_alive,
        },
        from,
    )))
}

/// The head of the answer that counts, behind interim ones that announce it, and where its body begins.
fn final_head(bytes: &[u8], limits: &Limits) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut at = 0;
    for _ in 0..=limits.max_interim_responses {
        let Some((head, length)) = response_head(&bytes[at..], limits)? else {
            return Ok(None);
        };
        at += length;
        if !(100..200).contains(&head.status) {
            return Ok(Some((head, at)));
        }
    }
    Err(ParseError::HeadTooLarge)
}

/// A message that is coming in: its head once that is whole, and of its body what has come and was not taken out.
#[derive(Clone, Debug)]
pub struct Incoming<H> {
    /// Bytes that were no whole head when last looked at.
    parsed_bytes: usize,
    /// The head, and where the body stands.
    message: Option<(H, BodyReader)>,
    /// How the body ends.
    pub framing: BodyFraming,
    /// What has come of the body.
    pub body: Vec<u8>,
    /// Bytes of the body in all, those taken out of `body` included.
    pub length: u64,
}

impl<H> Default for Incoming<H> {
    fn default() -> Incoming<H> {
        Incoming {
            parsed_bytes: 0,
            message: None,
            framing: BodyFraming::Length(0),
            body: Vec::new(),
            length: 0,
        }
    }
}

impl<H: Head> Incoming<H> {
    /// Reads on in `input`, and takes off it what belongs to the message. `most`: bytes that its body may have.
    ///
    /// # Errors
    /// What is no message; always the same, however the bytes are split.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        most: u64,
        limits: &Limits,
    ) -> Result<(), ParseError> {
        let mut at = 0;
        if self.message.is_none() {
            if !self.should_parse(input) {
                return Ok(());
            }
            self.parsed_bytes = input.len();
            let Some((head, extent, from)) = H::parse(input, limits)? else {
                return Ok(());
            };
            self.message = Some((head, BodyReader::new(extent, most)?));
            (self.framing, at) = (extent, from);
        }
        let Some((_, reader)) = &mut self.message else {
            return Ok(());
        };
        let before = self.body.len();
        let taken = reader.read(&input[at..], &mut self.body);
        self.length += (self.body.len() - before) as u64;
        input.drain(..at + taken?);
        Ok(())
    }

    /// Guards the processor against a head that comes byte by byte: it is parsed while it is short, where it has twice
    /// as many bytes as before, and where it may be whole.
    fn should_parse(&self, input: &[u8]) -> bool {
        let news = &input[self.parsed_bytes.saturating_sub(3).min(input.len())..];
        let ends = || {
            news.windows(2).any(|two| two == b"\n\n")
                || news.windows(3).any(|three| three == b"\n\r\n")
        };
        input.len() < 256 || input.len() >= 2 * self.parsed_bytes || ends()
    }

    /// Its head, once that is whole.
    pub fn head(&self) -> Option<&H> {
        self.message.as_ref().map(|(head, _)| head)
    }

    /// Nothing more belongs to it.
    pub fn is_complete(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.is_complete())
    }

    /// Whether its body is known to be longer than this: it says so, or so much has come.
    pub fn is_longer_than(&self, than: u64) -> bool {
        matches!(self.framing, BodyFraming::Length(length) if length > than) || self.length > than
    }

    /// Whether the connection's end makes it whole.
    pub fn ends_with_connection(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.ends_with_connection())
    }

    /// Its parts, once the head is whole: the head, the reader of what is still to come, and what has come.
    pub fn into_parts(self) -> Option<(H, BodyReader, Vec<u8>)> {
        let body = self.body;
        self.message.map(|(head, reader)| (head, reader, body))
    }
}

impl Request {
    /// A request whose body is whole.
    pub fn new(head: RequestHead, body: Vec<u8>) -> Request {
        let RequestHead {
            method,
            target,
            headers,
            keep_alive,
            ..
        } = head;
        Request {
            method,
            target,
            headers,
            body,
            keep_alive,
        }
    }
}

impl Response {
    /// An answer whose body is whole, or not wanted.
    pub fn new(head: ResponseHead, body: Vec<u8>) -> Response {
        let keep_alive = head.is_reusable();
        Response {
            status: head.status,
            headers: head.headers,
            body,
            keep_alive,
        }
    }
}

/// The request at the start of `bytes` and its length, once it is whole.
///
/// # Errors
/// The bytes are no request, or exceed the limits.
pub fn request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, ParseError> {
    let Some((head, extent, from)) = RequestHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let whole = body(&bytes[from..], extent, false, limits)?;
    Ok(whole.map(|(body, length)| (Request::new(head, body), from + length)))
}

/// The body at the start of `bytes` and its length, once it is whole.
fn body(
    bytes: &[u8],
    extent: BodyFraming,
    ended: bool,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, ParseError> {
    let mut reader = BodyReader::new(extent, limits.max_buffered_body_bytes as u64)?;
    let mut body = Vec::new();
    let length = reader.read(bytes, &mut body)?;
    Ok(
        (reader.is_complete() || (ended && reader.ends_with_connection()))
            .then_some((body, length)),
    )
}

/// The head of an answer that streams in chunks: its status, and where the chunks begin.
///
/// # Errors
/// The bytes are no head of an answer, or exceed the limits.
pub fn stream_head(bytes: &[u8], limits: &Limits) -> Result<Option<(u16, usize)>, ParseError> {
    let Some((head, from)) = response_head(bytes, limits)? else {
        return Ok(None);
    };
    match body_framing(&head.headers, BodyFraming::UntilClose) {
        Ok(BodyFraming::Chunked) => Ok(Some((head.status, from))),
        _ => Err(ParseError::Syntax),
    }
}

/// The answer at the start of `bytes` and its length, once it is whole. `ended`: the peer sends no more.
///
/// # Errors
/// The bytes are no answer, or exceed the limits.
pub fn response(
    bytes: &[u8],
    ended: bool,
    limits: &Limits,
) -> Result<Option<(Response, usize)>, ParseError> {
    let Some((head, from)) = final_head(bytes, limits)? else {
        return Ok(None);
    };
    let none = matches!(head.status, 204 | 304);
    let extent = if none {
        BodyFraming::Length(0)
    } else {
        body_framing(&head.headers, BodyFraming::UntilClose)?
    };
    let whole = body(&bytes[from..], extent, ended, limits)?;
    Ok(whole.map(|(body, length)| (Response::new(head, body), from + length)))
}

/// The same of a peer that says how long its answers are, or that they end with the connection.
///
/// # Errors
/// The bytes are no answer with a length, or exceed the limits.
pub fn framed_response(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(Response, usize)>, ParseError> {
    let Some((head, extent, from)) = ResponseHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let whole = body(&bytes[from..], extent, false, limits)?;
    Ok(whole.map(|(body, length)| (Response::new(head, body), from + length)))
}

/// Writes an answer with a body.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    close: bool,
) {
    let length = body.len().to_string();
    let lines = [("Content-Length", length.as_str())]
        .into_iter()
        .chain(headers.iter().copied());
    write_head(out, status, lines, close);
    out.extend_from_slice(body);
}

/// Writes a chunk, if there is anything in it: an empty one would be the last.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    use std::io::Write;
    if data.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of an answer. `close`: the connection carries no other.
pub fn write_head<'a>(
    out: &mut Vec<u8>,
    status: u16,
    lines: impl Iterator<Item = (&'a str, &'a str)>,
    close: bool,
) {
    use std::io::Write;
    let reason = match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in lines {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
}

#[cfg(test)]
mod tests;
