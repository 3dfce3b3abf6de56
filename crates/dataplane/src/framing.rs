//! HTTP/1.1 framing, based on httparse: complete messages and streamed bodies out of a growing
//! buffer.

use std::fmt;

use crate::limits::Limits;

/// Most header fields of a message.
const MAX_HEADERS: usize = 64;

/// Why input is not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1.1, or a contradictory length.
    Syntax,
    /// The head is too long, or has too many fields.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
}

impl ParseError {
    /// The status that answers such a request.
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

/// Header fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the only field of this name; `None` if there are several, which is as bad as a
    /// wrong value.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Some(value),
            _ => None,
        }
    }

    /// Whether any field has this name.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|(n, _)| n.eq_ignore_ascii_case(name))
    }

    /// All fields in order, name and value.
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

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// How the end of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By the empty last chunk.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Longest chunk-size line, extensions included, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Most bytes of trailer fields.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The state of a body being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Within a body of known length, with this many bytes left.
    Plain(u64),
    UntilClose,
    /// At a chunk-size line, within a chunk's data, or at the line end after it.
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Within the trailer section, with this many of its bytes read.
    Trailer(usize),
    Complete,
}

/// Reads a body incrementally, without buffering it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    state: BodyState,
    /// Bytes that the body may still have.
    remaining: u64,
}

impl BodyReader {
    /// A reader of a body of at most `most` bytes.
    ///
    /// # Errors
    /// The body is announced to be longer.
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

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == BodyState::Complete
    }

    /// Whether the close of the connection completes the body.
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

    /// Reads from the start of `bytes` and appends body data to `out`. Returns how many bytes were
    /// consumed; bytes left over wait for more input, or follow the complete body.
    ///
    /// # Errors
    /// The chunk is malformed, or the body too long; independent of how the input is split.
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
                // Trailer fields are discarded.
                BodyState::Trailer(before) => {
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    let length = before + end.unwrap_or(rest.len());
                    match end {
                        _ if length > MAX_TRAILER_BYTES => return Err(ParseError::HeadTooLarge),
                        None => return Ok(at),
                        // Request smuggling: a bare line feed, which others may not take for a line
                        // end.
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

/// Header fields of a response. An irrelevant field must not invalidate a good response: what is
/// not UTF-8 is replaced, and a length or coding with a replacement character is invalid.
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
        // Request smuggling: two lengths, or a length beside a transfer coding, are read
        // differently by others.
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

/// The head of a message, and its body's framing.
pub trait Head: Sized {
    /// Parses the head at the start of `bytes`: the head, the framing of the body, and where that
    /// begins; `None` while incomplete.
    ///
    /// # Errors
    /// The head is malformed.
    fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(Self, BodyFraming, usize)>, ParseError>;
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
    /// The client expects `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// Whether the connection can carry another request.
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
        // Request smuggling: a bare line feed, which others may not take for a line end.
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
    /// Without a length, a response extends to the close of the connection only if it also says
    /// that the connection closes. Otherwise a truncated response would look complete, or its end
    /// would be awaited in vain on an open connection.
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

    /// Whether the connection can carry another request: it stays open, and both sides know where
    /// this response ends.
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

/// The head of the final response after any interim ones, and where its body begins.
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

/// A message that is being received: its head once complete, and the part of the body not yet taken
/// out.
#[derive(Clone, Debug)]
pub struct Incoming<H> {
    /// Bytes present at the last attempt to parse the head.
    parsed_bytes: usize,
    /// The head, and the reader of the body.
    message: Option<(H, BodyReader)>,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Body bytes received and not taken out.
    pub body: Vec<u8>,
    /// Body bytes received in total.
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
    /// Reads from `input` and removes what belongs to the message. `most`: bound of the body in
    /// bytes.
    ///
    /// # Errors
    /// The message is malformed; independent of how the input is split.
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

    /// Bounds the cost of a head that arrives byte by byte: it is parsed while it is short, when it
    /// has doubled, and when it may be complete.
    fn should_parse(&self, input: &[u8]) -> bool {
        let news = &input[self.parsed_bytes.saturating_sub(3).min(input.len())..];
        let ends = || {
            news.windows(2).any(|two| two == b"\n\n")
                || news.windows(3).any(|three| three == b"\n\r\n")
        };
        input.len() < 256 || input.len() >= 2 * self.parsed_bytes || ends()
    }

    /// The head, once complete.
    pub fn head(&self) -> Option<&H> {
        self.message.as_ref().map(|(head, _)| head)
    }

    /// Whether the message is complete.
    pub fn is_complete(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.is_complete())
    }

    /// Whether the body is known to be longer than this, by its announced length or what was
    /// received.
    pub fn is_longer_than(&self, than: u64) -> bool {
        matches!(self.framing, BodyFraming::Length(length) if length > than) || self.length > than
    }

    /// Whether the close of the connection completes the message.
    pub fn ends_with_connection(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.ends_with_connection())
    }

    /// The head, the reader of the rest of the body, and the received part; `None` while the head
    /// is incomplete.
    pub fn into_parts(self) -> Option<(H, BodyReader, Vec<u8>)> {
        let body = self.body;
        self.message.map(|(head, reader)| (head, reader, body))
    }
}

impl Request {
    /// A request with a complete body.
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
    /// A response with a complete body, or without one.
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

/// Parses a complete request at the start of `bytes`; returns it with its length, or `None` while
/// incomplete.
///
/// # Errors
/// The input is not a valid request, or exceeds the limits.
pub fn request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, ParseError> {
    let Some((head, extent, from)) = RequestHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let whole = body(&bytes[from..], extent, false, limits)?;
    Ok(whole.map(|(body, length)| (Request::new(head, body), from + length)))
}

/// The complete body at the start of `bytes` with its length, or `None` while incomplete.
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

/// Parses the head of a chunked response: its status, and where the chunks begin.
///
/// # Errors
/// The input is not such a head, or exceeds the limits.
pub fn stream_head(bytes: &[u8], limits: &Limits) -> Result<Option<(u16, usize)>, ParseError> {
    let Some((head, from)) = response_head(bytes, limits)? else {
        return Ok(None);
    };
    match body_framing(&head.headers, BodyFraming::UntilClose) {
        Ok(BodyFraming::Chunked) => Ok(Some((head.status, from))),
        _ => Err(ParseError::Syntax),
    }
}

/// Parses a complete response at the start of `bytes`; returns it with its length, or `None` while
/// incomplete. `ended`: the peer has closed its side.
///
/// # Errors
/// The input is not a valid response, or exceeds the limits.
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

/// Like [`response`], for peers that announce a length or close the connection.
///
/// # Errors
/// The input is not such a response, or exceeds the limits.
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

/// Writes a response with a body.
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

/// Writes a chunk. Writes nothing for empty data: an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    use std::io::Write;
    if data.is_empty() {
        return;
    }
    // Writing to a vector can't fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response. `close`: the connection is closed after it.
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
    // Writing to a vector can't fail.
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
