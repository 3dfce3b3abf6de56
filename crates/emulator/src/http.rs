//! The subset of HTTP/1.1 that the mock servers and the load generator need, on httparse. Separate from the limiter's
//! parsers, so that a bug in those is not shared by the code that tests them.

use crate::Micros;

/// Maximum size of a message head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 64;

/// The bytes are not a valid HTTP message; the connection can't be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A complete request at the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// `X-Trace-Id`.
    pub id: Option<&'a str>,
    /// `Idempotency-Key`.
    pub key: Option<&'a str>,
    /// `X-Work-Ms`, the work requested by a load run, converted to microseconds.
    pub work: Option<Micros>,
    /// Whether the connection closes after the answer.
    pub close: bool,
    /// Size of the head in bytes.
    pub head: usize,
    /// Size of the whole message in bytes.
    pub length: usize,
}

fn trimmed_text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Parses a request; `None` while it is incomplete.
///
/// # Errors
/// Bytes that are not a request, a head or body that is too long, or a body without `Content-Length` framing.
pub fn request(bytes: &[u8]) -> Result<Option<Request<'_>>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut lines);
    let size = match head.parse(bytes).map_err(|_| Malformed)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(Malformed),
        httparse::Status::Partial => return Ok(None),
    };
    let (mut id, mut key, mut work, mut close, mut body) = (None, None, None, false, 0_u64);
    for line in head.headers.iter() {
        match line.name.len() {
            10 if line.name.eq_ignore_ascii_case("X-Trace-Id") => id = trimmed_text(line.value),
            15 if line.name.eq_ignore_ascii_case("Idempotency-Key") => {
                key = trimmed_text(line.value)
            }
            9 if line.name.eq_ignore_ascii_case("X-Work-Ms") => {
                let ms = trimmed_text(line.value)
                    .and_then(|t| t.parse::<f64>().ok())
                    .filter(|ms| (0.0..1e6).contains(ms));
                work = Some((ms.ok_or(Malformed)? * 1e3) as Micros);
            }
            10 if line.name.eq_ignore_ascii_case("Connection") => {
                close = trimmed_text(line.value).is_some_and(|t| t.eq_ignore_ascii_case("close"));
            }
            14 if line.name.eq_ignore_ascii_case("Content-Length") => {
                body = trimmed_text(line.value)
                    .and_then(|t| t.parse().ok())
                    .filter(|n| *n <= MAX_BODY_BYTES)
                    .ok_or(Malformed)?;
            }
            17 if line.name.eq_ignore_ascii_case("Transfer-Encoding") => return Err(Malformed),
            _ => {}
        }
    }
    let length = size + body as usize;
    if bytes.len() < length {
        return Ok(None);
    }
    let (method, target) = (head.method.ok_or(Malformed)?, head.path.ok_or(Malformed)?);
    Ok(Some(Request {
        method,
        target,
        id,
        key,
        work,
        close,
        head: size,
        length,
    }))
}

/// A complete answer at the start of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// `Retry-After` in microseconds.
    pub retry_after: Option<Micros>,
    /// Whether the connection closes after it.
    pub close: bool,
    /// Bytes before the body, including interim answers.
    pub head: usize,
    /// Size of the whole message in bytes.
    pub length: usize,
}

/// Parses a final answer, skipping interim ones; `None` while it is incomplete. `ended`: the peer has closed its side.
///
/// # Errors
/// Bytes that are not an answer, or a truncated answer.
pub fn answer(bytes: &[u8], ended: bool) -> Result<Option<Answer>, Malformed> {
    let mut skipped = 0;
    loop {
        let part = &bytes[skipped..];
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut lines);
        let size = match head.parse(part).map_err(|_| Malformed)? {
            httparse::Status::Complete(size) => size,
            httparse::Status::Partial if ended || part.len() > MAX_HEAD_BYTES => {
                return Err(Malformed);
            }
            httparse::Status::Partial => return Ok(None),
        };
        let status = head.code.ok_or(Malformed)?;
        if (100..200).contains(&status) && status != 101 {
            skipped += size;
            continue;
        }
        let (mut retry_after, mut length, mut chunked) = (None, None, false);
        let mut close = head.version == Some(0);
        for line in head.headers.iter() {
            if line.name.eq_ignore_ascii_case("Content-Length") {
                length = Some(
                    trimmed_text(line.value)
                        .and_then(|t| t.parse::<usize>().ok())
                        .ok_or(Malformed)?,
                );
            } else if line.name.eq_ignore_ascii_case("Transfer-Encoding") {
                chunked = trimmed_text(line.value)
                    .is_some_and(|t| t.to_ascii_lowercase().ends_with("chunked"));
            } else if line.name.eq_ignore_ascii_case("Connection") {
                let value = trimmed_text(line.value).unwrap_or_default();
                close = value.eq_ignore_ascii_case("close")
                    || (close && !value.eq_ignore_ascii_case("keep-alive"));
            } else if line.name.eq_ignore_ascii_case("Retry-After") {
                let seconds = trimmed_text(line.value).and_then(|t| t.parse::<f64>().ok());
                retry_after = seconds
                    .filter(|s| (0.0..=86_400.0).contains(s))
                    .map(|s| (s * 1e6) as Micros);
            }
        }
        let rest = &part[size..];
        let body = match (chunked, length) {
            _ if status == 204 || status == 304 => Some(0),
            (true, _) => chunked_body_length(rest)?,
            (false, Some(length)) => Some(length).filter(|l| rest.len() >= *l),
            (false, None) => {
                close = true;
                Some(rest.len()).filter(|_| ended)
            }
        };
        return match body {
            Some(body) => {
                let head = skipped + size;
                Ok(Some(Answer {
                    status,
                    retry_after,
                    close,
                    head,
                    length: head + body,
                }))
            }
            None if ended => Err(Malformed),
            None => Ok(None),
        };
    }
}

/// Size of a chunked body including its terminator; `None` while it is incomplete.
fn chunked_body_length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&bytes[at..]).map_err(|_| Malformed)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((line, 0)) => {
                // Trailers, if any, end with an empty line.
                let mut end = at + line;
                loop {
                    let Some(length) = bytes[end..].windows(2).position(|w| w == b"\r\n") else {
                        return Ok(None);
                    };
                    end += length + 2;
                    if length == 0 {
                        return Ok(Some(end));
                    }
                }
            }
            httparse::Status::Complete((line, size)) => {
                let size = usize::try_from(size).map_err(|_| Malformed)?;
                at = at
                    .checked_add(line)
                    .and_then(|a| a.checked_add(size)?.checked_add(2))
                    .ok_or(Malformed)?;
                if bytes.len() < at {
                    return Ok(None);
                }
            }
        }
    }
}

/// Value of a header by its name; the first if there are several.
pub fn header<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let first = bytes.iter().position(|b| *b == b'\n')? + 1;
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let httparse::Status::Complete((_, lines)) =
        httparse::parse_headers(&bytes[first..], &mut lines).ok()?
    else {
        return None;
    };
    trimmed_text(
        lines
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case(name))?
            .value,
    )
}

/// Writes an answer framed by `Content-Length`.
pub fn write_answer(out: &mut Vec<u8>, status: u16, headers: &str, body: &[u8]) {
    out.extend_from_slice(
        format!(
            "HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .as_bytes(),
    );
    out.extend_from_slice(body);
}

/// An answer written by [`write_answer`] without its `Content-Length`: it ends with its connection. `length`: of its body.
pub fn remove_length(answer: &[u8], length: usize) -> Vec<u8> {
    let (head, body) = answer.split_at(answer.len() - length);
    let line = format!("Content-Length: {length}\r\n");
    let head = String::from_utf8_lossy(head).replacen(&line, "", 1);
    [head.as_bytes(), body].concat()
}

#[cfg(test)]
mod tests;
