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
    /// The value of the only field of this name; `None` if there is none, or several, which is as
    /// invalid as a wrong value.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        match (fields.next(), fields.next()) {
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

    fn contains_token(&self, name: &str, token: &str) -> bool {
        let fields = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        fields
            .flat_map(|(_, value)| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// Header fields of a response. An irrelevant field must not invalidate a valid response: what is
/// not UTF-8 is replaced. A length or coding with a replacement character is still invalid.
fn collect_headers_lossy(fields: &[httparse::Header<'_>]) -> Headers {
    let convert = |field: &httparse::Header<'_>| {
        (
            field.name.to_string(),
            String::from_utf8_lossy(field.value).trim().to_string(),
        )
    };
    Headers(fields.iter().map(convert).collect())
}

/// Header fields of a request. Values that are not UTF-8 are rejected.
fn collect_headers(fields: &[httparse::Header<'_>]) -> Result<Headers, ParseError> {
    let convert = |field: &httparse::Header<'_>| {
        let value = std::str::from_utf8(field.value).map_err(|_| ParseError::Syntax)?;
        Ok((field.name.to_string(), value.trim().to_string()))
    };
    fields
        .iter()
        .map(convert)
        .collect::<Result<_, _>>()
        .map(Headers)
}

/// The framing of the body that follows these header fields; `default` without a length or coding.
pub(super) fn body_framing(
    headers: &Headers,
    default: BodyFraming,
) -> Result<BodyFraming, ParseError> {
    let has_coding = headers.contains("Transfer-Encoding");
    if headers.contains("Content-Length") {
        // Request smuggling: other parsers interpret two lengths, or a length beside a transfer
        // coding, differently.
        let text = headers
            .get("Content-Length")
            .filter(|_| !has_coding)
            .ok_or(ParseError::Syntax)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::Syntax);
        }
        return text
            .parse()
            .map(BodyFraming::Length)
            .map_err(|_| ParseError::BodyTooLarge);
    }
    match (has_coding, headers.get("Transfer-Encoding")) {
        (false, _) => Ok(default),
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
    /// Parses the head at the start of `bytes`. Returns the head, the framing of the body, and the
    /// index at which the body begins, or `None` while the head is incomplete.
    ///
    /// # Errors
    /// The head is malformed or too long.
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
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut fields);
        let head_length = match parsed.parse(bytes).map_err(head_error)? {
            httparse::Status::Partial => return check_head_length(bytes, limits).map(|()| None),
            httparse::Status::Complete(length) => length,
        };
        check_head_length(&bytes[..head_length], limits)?;
        // Request smuggling: other parsers may not accept a bare line feed as a line end.
        if bytes[..head_length]
            .split_inclusive(|byte| *byte == b'\n')
            .any(|line| !line.ends_with(b"\r\n"))
        {
            return Err(ParseError::Syntax);
        }
        let headers = collect_headers(parsed.headers)?;
        let framing = body_framing(&headers, BodyFraming::Length(0))?;
        let keep_alive = keep_alive(parsed.version, &headers);
        let expects_continue = parsed.version == Some(1)
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
                expects_continue,
            },
            framing,
            head_length,
        )))
    }
}

impl Head for ResponseHead {
    /// A response without a length ends with its connection, whatever its status (RFC 9112, section
    /// 6.3). The response to a `HEAD` request has no body; only the caller knows the method.
    fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(Self, BodyFraming, usize)>, ParseError> {
        let Some((head, head_length)) = parse_final_head(bytes, limits)? else {
            return Ok(None);
        };
        let framing = match head.status {
            204 | 304 => BodyFraming::Length(0),
            _ => body_framing(&head.headers, BodyFraming::UntilClose)?,
        };
        Ok(Some((head, framing, head_length)))
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

pub(super) fn parse_response_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let head_length = match parsed.parse(bytes).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(bytes, limits).map(|()| None),
        httparse::Status::Complete(length) => length,
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
        head_length,
    )))
}

/// Parses the head of the final response after any interim ones. Returns it with the index at which
/// its body begins.
fn parse_final_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut consumed = 0;
    for _ in 0..=limits.max_interim_responses {
        let Some((head, length)) = parse_response_head(&bytes[consumed..], limits)? else {
            return Ok(None);
        };
        consumed += length;
        if !(100..200).contains(&head.status) {
            return Ok(Some((head, consumed)));
        }
    }
    Err(ParseError::HeadTooLarge)
}
