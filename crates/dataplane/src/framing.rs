//! HTTP/1.1 framing on httparse, shared by all who speak it here: whole messages out of a growing buffer.

use std::fmt;

use crate::limits::Limits;

/// Most header lines of a message.
const HEADERS: usize = 64;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Not HTTP/1.1, or a length that makes no sense.
    Syntax,
    /// The head is too long, or has too many lines.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
}

impl Malformed {
    /// The status that tells a client so.
    pub fn status(self) -> u16 {
        match self {
            Malformed::Syntax => 400,
            Malformed::HeadTooLarge => 431,
            Malformed::BodyTooLarge => 413,
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Malformed::Syntax => "malformed message",
            Malformed::HeadTooLarge => "head too large",
            Malformed::BodyTooLarge => "body too large",
        })
    }
}

impl std::error::Error for Malformed {}

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

    fn lists(&self, name: &str, word: &str) -> bool {
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
pub struct Answer {
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
pub enum Extent {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks; the last is empty.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Longest line that gives a chunk's size, extensions included, in bytes.
const SIZE_LINE: usize = 256;
/// Most bytes of trailer lines.
const TRAILERS: usize = 8 * 1024;

/// Where a body stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Plain bytes, so many of them.
    Plain(u64),
    UntilClose,
    /// At the size of a chunk, in its data, or at the line's end behind it.
    Size,
    Data(u64),
    DataEnd,
    /// At a trailer line, or the empty line that ends the body; so many bytes of trailers have come.
    Trailer(usize),
    Whole,
}

/// Reads a body as it comes, in whatever pieces, without holding it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    place: Place,
    /// Bytes that it may still have.
    left: u64,
}

impl BodyReader {
    /// A body that ends like this and has `most` bytes at the most.
    ///
    /// # Errors
    /// It is said to be longer.
    pub fn new(extent: Extent, most: u64) -> Result<BodyReader, Malformed> {
        let place = match extent {
            Extent::Length(length) if length > most => return Err(Malformed::BodyTooLarge),
            Extent::Length(0) => Place::Whole,
            Extent::Length(length) => Place::Plain(length),
            Extent::Chunked => Place::Size,
            Extent::UntilClose => Place::UntilClose,
        };
        Ok(BodyReader { place, left: most })
    }

    /// Nothing more belongs to it.
    pub fn whole(&self) -> bool {
        self.place == Place::Whole
    }

    /// The connection's end is its end.
    pub fn until_close(&self) -> bool {
        self.place == Place::UntilClose
    }

    fn spend(&mut self, bytes: u64) -> Result<(), Malformed> {
        self.left = self
            .left
            .checked_sub(bytes)
            .ok_or(Malformed::BodyTooLarge)?;
        Ok(())
    }

    /// Takes what belongs to it off the start of `bytes`: what is data goes to `out`. Gives how many bytes it took;
    /// where it takes none of those left, it waits for more to come behind them, or is whole.
    ///
    /// # Errors
    /// What is no chunk; a body that is too long. Always the same ones, however the bytes are split.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if rest.is_empty() {
                return Ok(at);
            }
            match self.place {
                Place::Whole => return Ok(at),
                Place::Plain(left) | Place::Data(left) => {
                    let part = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..part]);
                    at += part;
                    let left = left - part as u64;
                    self.place = match self.place {
                        Place::Plain(_) if left == 0 => Place::Whole,
                        Place::Plain(_) => Place::Plain(left),
                        _ if left == 0 => Place::DataEnd,
                        _ => Place::Data(left),
                    };
                }
                Place::UntilClose => {
                    self.spend(rest.len() as u64)?;
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                Place::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((line, size))) if line <= SIZE_LINE => {
                        self.spend(size)?;
                        at += line;
                        self.place = if size == 0 {
                            Place::Trailer(0)
                        } else {
                            Place::Data(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= SIZE_LINE => return Ok(at),
                    _ => return Err(Malformed::Syntax),
                },
                Place::DataEnd => match rest {
                    [b'\r', b'\n', ..] => (self.place, at) = (Place::Size, at + 2),
                    [b'\r'] => return Ok(at),
                    _ => return Err(Malformed::Syntax),
                },
                // Trailer lines are of no use to anybody here.
                Place::Trailer(before) => {
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    let length = before + end.unwrap_or(rest.len());
                    match end {
                        _ if length > TRAILERS => return Err(Malformed::HeadTooLarge),
                        None => return Ok(at),
                        // Guards against smuggling: what others take for no line's end must not be one here.
                        Some(end) if end == 0 || rest[end - 1] != b'\r' => {
                            return Err(Malformed::Syntax);
                        }
                        Some(end) => {
                            at += end + 1;
                            self.place = if end == 1 {
                                Place::Whole
                            } else {
                                Place::Trailer(length)
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
fn collect_lossy(lines: &[httparse::Header<'_>]) -> Headers {
    let one = |line: &httparse::Header<'_>| {
        (
            line.name.to_string(),
            String::from_utf8_lossy(line.value).trim().to_string(),
        )
    };
    Headers(lines.iter().map(one).collect())
}

fn collect(lines: &[httparse::Header<'_>]) -> Result<Headers, Malformed> {
    let one = |line: &httparse::Header<'_>| {
        let value = std::str::from_utf8(line.value).map_err(|_| Malformed::Syntax)?;
        Ok((line.name.to_string(), value.trim().to_string()))
    };
    lines.iter().map(one).collect::<Result<_, _>>().map(Headers)
}

fn extent(headers: &Headers, otherwise: Extent) -> Result<Extent, Malformed> {
    let coded = headers.has("Transfer-Encoding");
    if headers.has("Content-Length") {
        // Guards against smuggling: two lengths, or a length beside a coding, are read differently by others.
        let text = headers
            .get("Content-Length")
            .filter(|_| !coded)
            .ok_or(Malformed::Syntax)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Malformed::Syntax);
        }
        return text
            .parse()
            .map(Extent::Length)
            .map_err(|_| Malformed::BodyTooLarge);
    }
    match (coded, headers.get("Transfer-Encoding")) {
        (false, _) => Ok(otherwise),
        (true, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Extent::Chunked),
        (true, _) => Err(Malformed::Syntax),
    }
}

fn head_partial(bytes: &[u8], limits: &Limits) -> Result<(), Malformed> {
    if bytes.len() > limits.head_bytes {
        Err(Malformed::HeadTooLarge)
    } else {
        Ok(())
    }
}

fn head_error(error: httparse::Error) -> Malformed {
    match error {
        httparse::Error::TooManyHeaders => Malformed::HeadTooLarge,
        _ => Malformed::Syntax,
    }
}

fn keep_alive(version: Option<u8>, headers: &Headers) -> bool {
    version == Some(1) && !headers.lists("Connection", "close")
}

/// The head of a message, and how its body ends.
pub trait Head: Sized {
    /// The head at the start of `bytes`, how its body ends, and where that begins; none while it is not whole.
    ///
    /// # Errors
    /// What is no head.
    fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(Self, Extent, usize)>, Malformed>;
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
    pub expects: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers,
    /// The connection may carry another.
    pub keep_alive: bool,
}

impl Head for RequestHead {
    fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(Self, Extent, usize)>, Malformed> {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let from = match parsed.parse(bytes).map_err(head_error)? {
            httparse::Status::Partial => return head_partial(bytes, limits).map(|()| None),
            httparse::Status::Complete(from) => from,
        };
        head_partial(&bytes[..from], limits)?;
        // Guards against smuggling: what others take for no line's end must not be one here.
        if bytes[..from]
            .split_inclusive(|byte| *byte == b'\n')
            .any(|line| !line.ends_with(b"\r\n"))
        {
            return Err(Malformed::Syntax);
        }
        let headers = collect(parsed.headers)?;
        let extent = extent(&headers, Extent::Length(0))?;
        let keep_alive = keep_alive(parsed.version, &headers);
        let expects = parsed.version == Some(1)
            && headers
                .get("Expect")
                .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
            return Err(Malformed::Syntax);
        };
        let (method, target) = (method.to_string(), target.to_string());
        Ok(Some((
            RequestHead {
                method,
                target,
                headers,
                keep_alive,
                expects,
            },
            extent,
            from,
        )))
    }
}

impl Head for AnswerHead {
    /// Of a peer that always says how long its answers are: one that says
    /// nothing is taken to end with its connection only where it also says that this is its last. Guards against an
    /// answer that broke off: without a length a part of it looks whole, and where the connection stays open its end
    /// would be waited for in vain.
    fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(Self, Extent, usize)>, Malformed> {
        let Some((head, from)) = final_head(bytes, limits)? else {
            return Ok(None);
        };
        let extent = match head.status {
            204 | 304 => Extent::Length(0),
            _ if head.framed() => extent(&head.headers, Extent::UntilClose)?,
            200 if head.keep_alive => return Err(Malformed::Syntax),
            200 => Extent::UntilClose,
            _ => Extent::Length(0),
        };
        Ok(Some((head, extent, from)))
    }
}

impl AnswerHead {
    fn framed(&self) -> bool {
        self.headers.has("Content-Length") || self.headers.has("Transfer-Encoding")
    }

    /// The connection may carry another: it stays, and where this one ends is known to both sides.
    pub fn reusable(&self) -> bool {
        self.keep_alive && (self.framed() || matches!(self.status, 204 | 304))
    }
}

fn answer_head(bytes: &[u8], limits: &Limits) -> Result<Option<(AnswerHead, usize)>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let from = match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return head_partial(bytes, limits).map(|()| None),
        httparse::Status::Complete(from) => from,
    };
    let headers = collect_lossy(parsed.headers);
    let keep_alive = keep_alive(parsed.version, &headers);
    let status = parsed.code.ok_or(Malformed::Syntax)?;
    Ok(Some((
        AnswerHead {
            status,
            headers,
            keep_alive,
        },
        from,
    )))
}

/// The head of the answer that counts, behind interim ones that announce it, and where its body begins.
fn final_head(bytes: &[u8], limits: &Limits) -> Result<Option<(AnswerHead, usize)>, Malformed> {
    let mut at = 0;
    for _ in 0..=limits.interim_answers {
        let Some((head, length)) = answer_head(&bytes[at..], limits)? else {
            return Ok(None);
        };
        at += length;
        if !(100..200).contains(&head.status) {
            return Ok(Some((head, at)));
        }
    }
    Err(Malformed::HeadTooLarge)
}

/// A message that is coming in: its head once that is whole, and of its body what has come and was not taken out.
#[derive(Clone, Debug)]
pub struct Incoming<H> {
    /// Bytes that were no whole head when last looked at.
    looked_at: usize,
    /// The head, and where the body stands.
    message: Option<(H, BodyReader)>,
    /// How the body ends.
    pub extent: Extent,
    /// What has come of the body.
    pub body: Vec<u8>,
    /// Bytes of the body in all, those taken out of `body` included.
    pub length: u64,
}

impl<H> Default for Incoming<H> {
    fn default() -> Incoming<H> {
        Incoming {
            looked_at: 0,
            message: None,
            extent: Extent::Length(0),
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
    ) -> Result<(), Malformed> {
        let mut at = 0;
        if self.message.is_none() {
            if !self.worth_a_look(input) {
                return Ok(());
            }
            self.looked_at = input.len();
            let Some((head, extent, from)) = H::parse(input, limits)? else {
                return Ok(());
            };
            self.message = Some((head, BodyReader::new(extent, most)?));
            (self.extent, at) = (extent, from);
        }
        let Some((_, reader)) = &mut self.message else {
            return Ok(());
        };
        let before = self.body.len();
        let taken = reader.take(&input[at..], &mut self.body);
        self.length += (self.body.len() - before) as u64;
        input.drain(..at + taken?);
        Ok(())
    }

    /// Guards the processor against a head that comes byte by byte: it is parsed while it is short, where it has twice
    /// as many bytes as before, and where it may be whole.
    fn worth_a_look(&self, input: &[u8]) -> bool {
        let news = &input[self.looked_at.saturating_sub(3).min(input.len())..];
        let ends = || {
            news.windows(2).any(|two| two == b"\n\n")
                || news.windows(3).any(|three| three == b"\n\r\n")
        };
        input.len() < 256 || input.len() >= 2 * self.looked_at || ends()
    }

    /// Its head, once that is whole.
    pub fn head(&self) -> Option<&H> {
        self.message.as_ref().map(|(head, _)| head)
    }

    /// Nothing more belongs to it.
    pub fn whole(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.whole())
    }

    /// Whether its body is known to be longer than this: it says so, or so much has come.
    pub fn longer(&self, than: u64) -> bool {
        matches!(self.extent, Extent::Length(length) if length > than) || self.length > than
    }

    /// Whether the connection's end makes it whole.
    pub fn ends_with_connection(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.until_close())
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

impl Answer {
    /// An answer whose body is whole, or not wanted.
    pub fn new(head: AnswerHead, body: Vec<u8>) -> Answer {
        let keep_alive = head.reusable();
        Answer {
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
pub fn request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, Malformed> {
    let Some((head, extent, from)) = RequestHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let whole = body(&bytes[from..], extent, false, limits)?;
    Ok(whole.map(|(body, length)| (Request::new(head, body), from + length)))
}

/// The body at the start of `bytes` and its length, once it is whole.
fn body(
    bytes: &[u8],
    extent: Extent,
    ended: bool,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let mut reader = BodyReader::new(extent, limits.body_bytes as u64)?;
    let mut body = Vec::new();
    let length = reader.take(bytes, &mut body)?;
    Ok((reader.whole() || (ended && reader.until_close())).then_some((body, length)))
}

/// The head of an answer that streams in chunks: its status, and where the chunks begin.
///
/// # Errors
/// The bytes are no head of an answer, or exceed the limits.
pub fn stream_head(bytes: &[u8], limits: &Limits) -> Result<Option<(u16, usize)>, Malformed> {
    let Some((head, from)) = answer_head(bytes, limits)? else {
        return Ok(None);
    };
    match extent(&head.headers, Extent::UntilClose) {
        Ok(Extent::Chunked) => Ok(Some((head.status, from))),
        _ => Err(Malformed::Syntax),
    }
}

/// The answer at the start of `bytes` and its length, once it is whole. `ended`: the peer sends no more.
///
/// # Errors
/// The bytes are no answer, or exceed the limits.
pub fn answer(
    bytes: &[u8],
    ended: bool,
    limits: &Limits,
) -> Result<Option<(Answer, usize)>, Malformed> {
    let Some((head, from)) = final_head(bytes, limits)? else {
        return Ok(None);
    };
    let none = matches!(head.status, 204 | 304);
    let extent = if none {
        Extent::Length(0)
    } else {
        extent(&head.headers, Extent::UntilClose)?
    };
    let whole = body(&bytes[from..], extent, ended, limits)?;
    Ok(whole.map(|(body, length)| (Answer::new(head, body), from + length)))
}

/// The same of a peer that says how long its answers are, or that they end with the connection.
///
/// # Errors
/// The bytes are no answer with a length, or exceed the limits.
pub fn framed_answer(bytes: &[u8], limits: &Limits) -> Result<Option<(Answer, usize)>, Malformed> {
    let Some((head, extent, from)) = AnswerHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let whole = body(&bytes[from..], extent, false, limits)?;
    Ok(whole.map(|(body, length)| (Answer::new(head, body), from + length)))
}

/// Writes an answer with a body.
pub fn write_answer(
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
