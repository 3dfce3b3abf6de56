//! Message heads: parsing them, their header fields, and the framing of the body that follows.

use super::ParseError;
use super::body::BodyFraming;
use crate::limits::Limits;

/// Most header fields of a message.
const MAX_HEADERS: usize = 64;

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
    pub fn contains(&self, name: &str) -> bool {
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

pub(super) fn body_framing(
    headers: &Headers,
    otherwise: BodyFraming,
) -> Result<BodyFraming, ParseError> {
    let coded = headers.contains("Transfer-Encoding");
    if headers.contains("Content-Length") {
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
        self.headers.contains("Content-Length") || self.headers.contains("Transfer-Encoding")
    }

    /// Whether the connection can carry another request: it stays open, and both sides know where
    /// this response ends.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && (self.has_length() || matches!(self.status, 204 | 304))
    }
}

pub(super) fn response_head(
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
pub(super) fn final_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
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
