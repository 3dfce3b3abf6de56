//! What a server's answer stands for. Without any input or output.

use dataplane::framing::{AnswerHead, Extent, Incoming};
use dataplane::limits::Limits;
use streamarch::{Micros, Outcome};

/// What a whole answer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It goes on to the client as it is.
    Final,
    /// The server failed and may have run the request: it goes on to the client if nothing better comes.
    Failure,
    /// The request has not run there.
    NotRun,
    /// Nor this; another server is at the address.
    WrongServer,
    /// It belongs to another request; the one that is due may follow.
    OtherRequest,
    /// It is no answer that can be passed on, and the connection is of no more use.
    Malformed,
}

impl ResponseClass {
    /// How the leg ended, where it has.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            ResponseClass::Final => Some(Outcome::Ok),
            ResponseClass::Failure => Some(Outcome::Error),
            ResponseClass::NotRun | ResponseClass::WrongServer => Some(Outcome::Full),
            ResponseClass::Malformed => Some(Outcome::Reset),
            ResponseClass::OtherRequest => None,
        }
    }
}

/// Judges an answer by its head. `id`: of the request that waits.
pub fn classify(head: &AnswerHead, extent: Extent, id: &str) -> ResponseClass {
    let told = head.headers.get("X-Request-Id");
    if told.is_some_and(|told| told != id) {
        return ResponseClass::OtherRequest;
    }
    if head.status == 421 {
        return ResponseClass::WrongServer;
    }
    if head.headers.has("X-Not-Run") {
        return ResponseClass::NotRun;
    }
    // Guards against what a server in trouble sends: without the id it may be anybody's, without a length its end
    // can't be told from its connection's, and a success must have the stamp and be the server's own bytes.
    let framed = extent != Extent::UntilClose && told.is_some();
    let stamped = head.headers.has("X-Server-Seal") && !head.headers.has("Content-Encoding");
    match head.status {
        200..=299 if framed && stamped => ResponseClass::Final,
        300..=499 if framed => ResponseClass::Final,
        500..=599 if framed => ResponseClass::Failure,
        _ => ResponseClass::Malformed,
    }
}

/// What is done with an answer that is not whole yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseHandling {
    /// It is waited for, and goes on whole.
    Buffered,
    /// It goes on as it comes. That is the end of its request: what breaks off now can't be tried again, so that short
    /// answers, which are most, are kept.
    Streamed,
    /// It is too long for what is never passed on before it is whole.
    Rejected,
}

/// Says it by the answer's head, and by how much has come.
pub fn handling(
    verdict: ResponseClass,
    incoming: &Incoming<AnswerHead>,
    limits: &Limits,
) -> ResponseHandling {
    match verdict {
        ResponseClass::Final if incoming.longer(limits.body_bytes as u64) => {
            ResponseHandling::Streamed
        }
        ResponseClass::Final => ResponseHandling::Buffered,
        _ if incoming.longer(limits.kept_bytes) => ResponseHandling::Rejected,
        _ => ResponseHandling::Buffered,
    }
}

/// When an answer that is being relayed is given up: not before its request's deadline, however silent its server is;
/// and behind it as long as it still moves, for a while.
pub fn stream_deadline(deadline: Micros, heard: Micros, limits: &Limits) -> Micros {
    deadline
        .max(heard + limits.answer_rest)
        .min(deadline + limits.upload_longest)
}

/// Whether a header line of an answer goes on.
pub fn is_forwarded(name: &str) -> bool {
    !is_hop_by_hop(name)
}

/// Whether a header line concerns one connection only, or is the proxy's own to write.
pub fn is_hop_by_hop(name: &str) -> bool {
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

/// How long a server keeps an idle connection, in seconds, by its `Keep-Alive` line.
pub fn keep_alive_seconds(value: &str) -> Option<u32> {
    value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|n| n.trim().parse().ok())
}

#[cfg(test)]
mod tests;
