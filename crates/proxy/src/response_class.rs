//! Classifies the answers of servers. Without I/O.

use dataplane::framing::{BodyFraming, IncomingMessage, ResponseHead};
use dataplane::limits::Limits;
use streamarch::{Micros, Outcome};

/// What a complete answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is forwarded to the client unchanged.
    Final,
    /// The server failed and may have run the request: it is forwarded if no better answer arrives.
    Failure,
    /// The request has not run there.
    NotRun,
    /// The request has not run, and another server has taken over the address.
    WrongServer,
    /// It belongs to another request; the awaited answer may follow.
    OtherRequest,
    /// It can't be forwarded, and the connection can't be used any more.
    Malformed,
}

impl ResponseClass {
    /// The outcome of the attempt; `None` where it is still open.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            ResponseClass::Final => Some(Outcome::Ok),
            ResponseClass::Failure => Some(Outcome::Error),
            ResponseClass::NotRun | ResponseClass::WrongServer => Some(Outcome::Rejected),
            ResponseClass::Malformed => Some(Outcome::Reset),
            ResponseClass::OtherRequest => None,
        }
    }
}

/// Classifies an answer by its head. `id`: of the request that waits for it.
pub fn classify(head: &ResponseHead, extent: BodyFraming, id: &str) -> ResponseClass {
    let told = head.headers.get("X-Request-Id");
    if told.is_some_and(|told| told != id) {
        return ResponseClass::OtherRequest;
    }
    if head.status == 421 {
        return ResponseClass::WrongServer;
    }
    if head.headers.contains("X-Not-Run") {
        return ResponseClass::NotRun;
    }
    // A failing server may send anything: without the id the answer may be anybody's, without a
    // length its end can't be told from that of the connection, and a success must have the
    // server's stamp and length.
    let framed = extent != BodyFraming::UntilClose && told.is_some();
    let stamped =
        head.headers.contains("X-Server-Seal") && !head.headers.contains("Content-Encoding");
    match head.status {
        200..=299 if framed && stamped => ResponseClass::Final,
        300..=499 if framed => ResponseClass::Final,
        500..=599 if framed => ResponseClass::Failure,
        _ => ResponseClass::Malformed,
    }
}

/// How an incomplete answer is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseHandling {
    /// Buffered, and forwarded when it is complete.
    Buffered,
    /// Streamed. It becomes the final answer: if it breaks off, the request can't be retried any
    /// more. That is why short answers, which are most, are buffered.
    Streamed,
    /// Too long for an answer that is never forwarded before it is complete.
    Rejected,
}

/// Decides by the answer's head and by how much of it has arrived.
pub fn choose_handling(
    verdict: ResponseClass,
    incoming: &IncomingMessage<ResponseHead>,
    limits: &Limits,
) -> ResponseHandling {
    match verdict {
        ResponseClass::Final
            if incoming.is_body_longer_than(limits.max_buffered_body_bytes as u64) =>
        {
            ResponseHandling::Streamed
        }
        ResponseClass::Final => ResponseHandling::Buffered,
        _ if incoming.is_body_longer_than(limits.max_buffered_request_bytes) => {
            ResponseHandling::Rejected
        }
        _ => ResponseHandling::Buffered,
    }
}

/// When a streamed answer is given up: not before its request's deadline, however silent its server
/// is; and after that for as long as it makes progress, up to a bound.
pub fn stream_deadline(deadline: Micros, heard: Micros, limits: &Limits) -> Micros {
    deadline
        .max(heard + limits.response_idle_timeout)
        .min(deadline + limits.max_upload_extension)
}

/// Whether a header field of an answer is forwarded.
pub fn is_forwarded_field(name: &str) -> bool {
    !is_hop_by_hop_field(name)
}

/// Whether a header field is hop-by-hop, or written by the proxy itself.
pub fn is_hop_by_hop_field(name: &str) -> bool {
    const LINES: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    ];
    LINES.iter().any(|line| name.eq_ignore_ascii_case(line))
}

/// The idle time-out of a server's connection in seconds, from its `Keep-Alive` field.
pub fn parse_keep_alive_timeout(value: &str) -> Option<u32> {
    value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|n| n.trim().parse().ok())
}

#[cfg(test)]
mod tests;
