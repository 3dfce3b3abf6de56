//! HTTP/1.1 framing, based on httparse: parses complete messages and streamed bodies from a growing
//! buffer.

mod body;
mod head;
mod incoming;
mod write;

use std::fmt;

pub use self::body::{BodyFraming, BodyReader};
pub use self::head::{Head, Headers, RequestHead, ResponseHead};
use self::head::{body_framing, parse_response_head};
pub use self::incoming::IncomingMessage;
pub use self::write::{write_chunk, write_head, write_response};
use crate::limits::Limits;

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
    /// The status of the response to such a request.
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

/// Parses a complete request at the start of `bytes`. Returns it with its length in bytes, or
/// `None` while it is incomplete.
///
/// # Errors
/// The input is not a valid request, or exceeds the limits.
pub fn parse_request(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(Request, usize)>, ParseError> {
    let Some((head, framing, head_length)) = RequestHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let complete_body = parse_body(&bytes[head_length..], framing, false, limits)?;
    Ok(complete_body.map(|(body, length)| (Request::new(head, body), head_length + length)))
}

/// Parses the complete body at the start of `bytes`. Returns it with its length in bytes including
/// the transfer coding, or `None` while it is incomplete.
fn parse_body(
    bytes: &[u8],
    framing: BodyFraming,
    is_closed: bool,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, ParseError> {
    let mut reader = BodyReader::new(framing, limits.max_buffered_body_bytes as u64)?;
    let mut body = Vec::new();
    let length = reader.read(bytes, &mut body)?;
    Ok((reader.is_complete() || (is_closed && reader.ends_at_close())).then_some((body, length)))
}

/// Parses the head of a chunked response: its status, and the index at which the chunks begin.
///
/// # Errors
/// The input is not such a head, or exceeds the limits.
pub fn parse_chunked_head(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(u16, usize)>, ParseError> {
    let Some((head, head_length)) = parse_response_head(bytes, limits)? else {
        return Ok(None);
    };
    match body_framing(&head.headers, BodyFraming::UntilClose) {
        Ok(BodyFraming::Chunked) => Ok(Some((head.status, head_length))),
        _ => Err(ParseError::Syntax),
    }
}

/// Parses a complete response at the start of `bytes`. Returns it with its length in bytes, or
/// `None` while it is incomplete. `is_closed`: the peer has closed its side of the connection.
///
/// # Errors
/// The input is not a valid response, or exceeds the limits.
pub fn parse_response(
    bytes: &[u8],
    is_closed: bool,
    limits: &Limits,
) -> Result<Option<(Response, usize)>, ParseError> {
    let Some((head, framing, head_length)) = ResponseHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    let complete_body = parse_body(&bytes[head_length..], framing, is_closed, limits)?;
    Ok(complete_body.map(|(body, length)| (Response::new(head, body), head_length + length)))
}

/// Like [`parse_response`] on an open connection, but rejects a response whose end is neither given
/// by a length nor by an announced close of the connection: on a connection that stays open its end
/// would be awaited in vain, and it would swallow the responses after it.
///
/// # Errors
/// The input is not such a response, or exceeds the limits.
pub fn parse_framed_response(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(Response, usize)>, ParseError> {
    let Some((head, framing, head_length)) = ResponseHead::parse(bytes, limits)? else {
        return Ok(None);
    };
    if framing == BodyFraming::UntilClose && head.keep_alive {
        return Err(ParseError::Syntax);
    }
    let complete_body = parse_body(&bytes[head_length..], framing, false, limits)?;
    Ok(complete_body.map(|(body, length)| (Response::new(head, body), head_length + length)))
}

#[cfg(test)]
mod tests;
