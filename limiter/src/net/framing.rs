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

    fn lists(&self, name: &str, word: &str) -> bool {
        let lines = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        lines.flat_map(|(_, v)| v.split(',')).any(|part| part.trim().eq_ignore_ascii_case(word))
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
#[derive(Clone, Copy)]
enum Extent {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Header lines of an answer. A line of which nothing depends must not cost a good answer: what is no UTF-8 is
/// marked as such in its value, and a length or coding with such a mark is none.
fn collect_lossy(lines: &[httparse::Header<'_>]) -> Headers {
    let one = |line: &httparse::Header<'_>| {
        (line.name.to_string(), String::from_utf8_lossy(line.value).trim().to_string())
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

fn extent(headers: &Headers, otherwise: Extent, limits: &Limits) -> Result<Extent, Malformed> {
    let coded = headers.has("Transfer-Encoding");
    if headers.has("Content-Length") {
        // Guards against smuggling: two lengths, or a length beside a coding, are read differently by others.
        let text = headers.get("Content-Length").filter(|_| !coded).ok_or(Malformed::Syntax)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Malformed::Syntax);
        }
        let length = text.parse::<usize>().map_err(|_| Malformed::BodyTooLarge)?;
        if length > limits.body_bytes {
            return Err(Malformed::BodyTooLarge);
        }
        return Ok(Extent::Length(length));
    }
    match (coded, headers.get("Transfer-Encoding")) {
        (false, _) => Ok(otherwise),
        (true, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Extent::Chunked),
        (true, _) => Err(Malformed::Syntax),
    }
}

/// A whole chunk at the start of `bytes`: where its data lies and how long it is in all. None yet: `Ok(None)`.
/// The last chunk has no data.
pub fn chunk(bytes: &[u8], most: usize) -> Result<Option<(std::ops::Range<usize>, usize)>, Malformed> {
    let (from, size) = match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((from, size))) => (from, size),
        Ok(httparse::Status::Partial) if bytes.len() > 256 => return Err(Malformed::Syntax),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed::Syntax),
    };
    let size = usize::try_from(size).ok().filter(|s| *s <= most).ok_or(Malformed::BodyTooLarge)?;
    let end = from + size;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((from..end, end + 2))),
        // Trailer lines after the last chunk are of no use to anybody here.
        Some(_) if size > 0 => Err(Malformed::Syntax),
        Some(_) => {
            Ok(bytes[end..].windows(4).position(|w| w == b"\r\n\r\n").map(|n| (end..end, end + n + 4)))
        }
        None => Ok(None),
    }
}

fn body(
    bytes: &[u8],
    extent: Extent,
    ended: bool,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    match extent {
        Extent::Length(length) => Ok(bytes.get(..length).map(|b| (b.to_vec(), length))),
        Extent::UntilClose if bytes.len() > limits.body_bytes => Err(Malformed::BodyTooLarge),
        Extent::UntilClose => Ok(ended.then(|| (bytes.to_vec(), bytes.len()))),
        Extent::Chunked => {
            let (mut data, mut at) = (Vec::new(), 0);
            loop {
                let room = limits.body_bytes.saturating_sub(data.len());
                let Some((part, length)) = chunk(&bytes[at..], room)? else { return Ok(None) };
                if part.is_empty() {
                    return Ok(Some((data, at + length)));
                }
                data.extend_from_slice(&bytes[at..][part]);
                at += length;
            }
        }
    }
}

fn head_partial(bytes: &[u8], limits: &Limits) -> Result<(), Malformed> {
    if bytes.len() > limits.head_bytes { Err(Malformed::HeadTooLarge) } else { Ok(()) }
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

/// The request at the start of `bytes` and its length, once it is whole.
pub fn request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let from = match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return head_partial(bytes, limits).map(|()| None),
        httparse::Status::Complete(from) => from,
    };
    head_partial(&bytes[..from], limits)?;
    let headers = collect(parsed.headers)?;
    let extent = extent(&headers, Extent::Length(0), limits)?;
    let Some((body, length)) = body(&bytes[from..], extent, false, limits)? else { return Ok(None) };
    let keep_alive = keep_alive(parsed.version, &headers);
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else { return Err(Malformed::Syntax) };
    let (method, target) = (method.to_string(), target.to_string());
    Ok(Some((Request { method, target, headers, body, keep_alive }, from + length)))
}

/// The head of an answer: status, header lines, whether the connection stays, length.
fn answer_head(bytes: &[u8], limits: &Limits) -> Result<Option<(u16, Headers, bool, usize)>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let from = match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return head_partial(bytes, limits).map(|()| None),
        httparse::Status::Complete(from) => from,
    };
    let headers = collect_lossy(parsed.headers);
    let keep_alive = keep_alive(parsed.version, &headers);
    Ok(Some((parsed.code.ok_or(Malformed::Syntax)?, headers, keep_alive, from)))
}

/// The head of an answer that streams in chunks: its status, and where the chunks begin.
pub fn stream_head(bytes: &[u8], limits: &Limits) -> Result<Option<(u16, usize)>, Malformed> {
    let Some((status, headers, _, from)) = answer_head(bytes, limits)? else { return Ok(None) };
    match extent(&headers, Extent::UntilClose, limits) {
        Ok(Extent::Chunked) => Ok(Some((status, from))),
        _ => Err(Malformed::Syntax),
    }
}

/// The answer at the start of `bytes` and its length, once it is whole. `ended`: the peer sends no more.
pub fn answer(bytes: &[u8], ended: bool, limits: &Limits) -> Result<Option<(Answer, usize)>, Malformed> {
    answer_or(bytes, ended, Some(Extent::UntilClose), limits)
}

/// The same of a peer that always says how long its answers are. Guards against an answer that broke off: without a
/// length a part of it looks whole, and where the connection stays open its end would be waited for in vain.
pub fn framed_answer(bytes: &[u8], limits: &Limits) -> Result<Option<(Answer, usize)>, Malformed> {
    answer_or(bytes, false, None, limits)
}

fn answer_or(
    bytes: &[u8],
    ended: bool,
    unframed: Option<Extent>,
    limits: &Limits,
) -> Result<Option<(Answer, usize)>, Malformed> {
    let mut at = 0;
    // Interim answers announce the one that counts.
    for _ in 0..=limits.interim_answers {
        let Some((status, headers, keep_alive, from)) = answer_head(&bytes[at..], limits)? else {
            return Ok(None);
        };
        at += from;
        if (100..200).contains(&status) {
            continue;
        }
        let framed = headers.has("Content-Length") || headers.has("Transfer-Encoding");
        let extent = match unframed {
            _ if matches!(status, 204 | 304) => Extent::Length(0),
            None if !framed && status == 200 => return Err(Malformed::Syntax),
            unframed => extent(&headers, unframed.unwrap_or(Extent::Length(0)), limits)?,
        };
        let keep_alive = keep_alive && (framed || matches!(status, 204 | 304));
        let whole = body(&bytes[at..], extent, ended, limits)?;
        return Ok(whole.map(|(body, length)| (Answer { status, headers, body, keep_alive }, at + length)));
    }
    Err(Malformed::HeadTooLarge)
}

/// Writes an answer with a body.
pub fn write_answer(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) {
    use std::io::Write;
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests {
    use super::*;

    const POST: &[u8] = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";

    #[test]
    fn a_request_cut_at_every_byte_is_whole_only_at_its_end() {
        let limits = Limits::default();
        for cut in 0..POST.len() {
            assert_eq!(request(&POST[..cut], &limits), Ok(None), "cut at {cut}");
        }
        let twice = [POST, POST].concat();
        let (read, length) = request(&twice, &limits).unwrap().unwrap();
        assert_eq!((read.body.as_slice(), length), (b"hello".as_slice(), POST.len()));
        assert_eq!((read.method.as_str(), read.target.as_str(), read.keep_alive), ("POST", "/a?b=1", true));
    }

    #[test]
    fn a_chunked_answer_cut_at_every_byte_is_whole_only_at_its_end() {
        let limits = Limits::default();
        for cut in 0..CHUNKED.len() {
            assert_eq!(answer(&CHUNKED[..cut], true, &limits), Ok(None), "cut at {cut}");
        }
        let (read, length) = answer(CHUNKED, false, &limits).unwrap().unwrap();
        assert_eq!((read.body.as_slice(), length), (b"abcde".as_slice(), CHUNKED.len()));
    }

    #[test]
    fn an_answer_without_a_length_ends_with_its_connection() {
        let bytes = b"HTTP/1.1 200 OK\r\n\r\nabc";
        assert_eq!(answer(bytes, false, &Limits::default()), Ok(None));
        let (read, _) = answer(bytes, true, &Limits::default()).unwrap().unwrap();
        assert!(read.body == b"abc" && !read.keep_alive);
    }

    #[test]
    fn an_answer_of_a_peer_that_frames_is_whole_only_with_a_length() {
        let limits = Limits::default();
        assert_eq!(framed_answer(b"HTTP/1.1 200 OK\r\n\r\nabc", &limits), Err(Malformed::Syntax));
        assert_eq!(framed_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", &limits), Ok(None));
        let (read, _) = framed_answer(CHUNKED, &limits).unwrap().unwrap();
        assert_eq!(read.body, b"abcde");
    }

    #[test]
    fn interim_answers_are_passed_over_and_bounded() {
        let limits = Limits::default();
        let interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let few = [interim.repeat(3).as_slice(), CHUNKED].concat();
        let (read, length) = framed_answer(&few, &limits).unwrap().unwrap();
        assert_eq!((read.status, read.body.as_slice(), length), (200, b"abcde".as_slice(), few.len()));
        assert_eq!(framed_answer(&interim.repeat(100_000), &limits), Err(Malformed::HeadTooLarge));
    }

    #[test]
    fn a_header_line_that_is_no_text_costs_no_answer_unless_it_frames_it() {
        let limits = Limits::default();
        let with = |line: &[u8]| [b"HTTP/1.1 200 OK\r\n", line, b"\r\n\r\nabc"].concat();
        let report = with(b"Endpoint-Load-Metrics: TEXT util=\xff\r\nContent-Length: 3");
        assert_eq!(framed_answer(&report, &limits).unwrap().unwrap().0.body, b"abc");
        assert_eq!(framed_answer(&with(b"Content-Length: 3\xff"), &limits), Err(Malformed::Syntax));
        assert_eq!(framed_answer(&with(b"Transfer-Encoding: \xff"), &limits), Err(Malformed::Syntax));
    }

    #[test]
    fn bad_input_is_told_apart() {
        let limits = Limits { body_bytes: 8, head_bytes: 200, ..Limits::default() };
        let bad = |text: &str| request(text.as_bytes(), &limits).unwrap_err();
        assert_eq!(bad("nonsense\r\n\r\n"), Malformed::Syntax);
        assert_eq!(bad("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), Malformed::Syntax);
        assert_eq!(bad("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n"), Malformed::Syntax);
        let two = "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
        assert_eq!(bad(two), Malformed::Syntax);
        let both = "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(bad(both), Malformed::Syntax);
        assert_eq!(bad("GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\n"), Malformed::BodyTooLarge);
        let chunks = "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\naaaaa\r\n5\r\n";
        assert_eq!(bad(chunks), Malformed::BodyTooLarge);
        assert_eq!(bad(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(300))), Malformed::HeadTooLarge);
        let many = (0..70).map(|n| format!("h{n}: 1\r\n")).collect::<String>();
        let limits = Limits::default();
        let text = format!("GET / HTTP/1.1\r\n{many}\r\n");
        assert_eq!(request(text.as_bytes(), &limits), Err(Malformed::HeadTooLarge));
    }
}
