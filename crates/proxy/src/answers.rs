//! What a server's answer stands for. Without any input or output.

use dataplane::framing::{AnswerHead, Extent, Incoming};
use dataplane::limits::Limits;
use streamarch::{Micros, Outcome};

/// What a whole answer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on to the client as it is.
    Final,
    /// The server failed and may have run the request: it goes on to the client if nothing better comes.
    Failure,
    /// The request has not run there.
    NotRun,
    /// Nor this; another server is at the address.
    Mistaken,
    /// It belongs to another request; the one that is due may follow.
    Foreign,
    /// It is no answer that can be passed on, and the connection is of no more use.
    Garbled,
}

impl Verdict {
    /// How the leg ended, where it has.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Verdict::Final => Some(Outcome::Ok),
            Verdict::Failure => Some(Outcome::Error),
            Verdict::NotRun | Verdict::Mistaken => Some(Outcome::Full),
            Verdict::Garbled => Some(Outcome::Reset),
            Verdict::Foreign => None,
        }
    }
}

/// Judges an answer by its head. `id`: of the request that waits.
pub fn judge(head: &AnswerHead, extent: Extent, id: &str) -> Verdict {
    let told = head.headers.get("X-Request-Id");
    if told.is_some_and(|told| told != id) {
        return Verdict::Foreign;
    }
    if head.status == 421 {
        return Verdict::Mistaken;
    }
    if head.headers.has("X-Not-Run") {
        return Verdict::NotRun;
    }
    // Guards against what a server in trouble sends: without the id it may be anybody's, without a length its end
    // can't be told from its connection's, and a success must have the stamp and be the server's own bytes.
    let framed = extent != Extent::UntilClose && told.is_some();
    let stamped = head.headers.has("X-Server-Seal") && !head.headers.has("Content-Encoding");
    match head.status {
        200..=299 if framed && stamped => Verdict::Final,
        300..=499 if framed => Verdict::Final,
        500..=599 if framed => Verdict::Failure,
        _ => Verdict::Garbled,
    }
}

/// What is done with an answer that is not whole yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// It is waited for, and goes on whole.
    Kept,
    /// It goes on as it comes. That is the end of its request: what breaks off now can't be tried again, so that short
    /// answers, which are most, are kept.
    Relayed,
    /// It is too long for what is never passed on before it is whole.
    Refused,
}

/// Says it by the answer's head, and by how much has come.
pub fn course(verdict: Verdict, incoming: &Incoming<AnswerHead>, limits: &Limits) -> Course {
    match verdict {
        Verdict::Final if incoming.longer(limits.body_bytes as u64) => Course::Relayed,
        Verdict::Final => Course::Kept,
        _ if incoming.longer(limits.kept_bytes) => Course::Refused,
        _ => Course::Kept,
    }
}

/// When an answer that is being relayed is given up: not before its request's deadline, however silent its server is;
/// and behind it as long as it still moves, for a while.
pub fn ends(deadline: Micros, heard: Micros, limits: &Limits) -> Micros {
    deadline
        .max(heard + limits.answer_rest)
        .min(deadline + limits.upload_longest)
}

/// Whether a header line of an answer goes on.
pub fn passes(name: &str) -> bool {
    !concerns_connection(name)
}

/// Whether a header line concerns one connection only, or is the proxy's own to write.
pub fn concerns_connection(name: &str) -> bool {
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
pub fn kept(value: &str) -> Option<u32> {
    value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|n| n.trim().parse().ok())
}

#[cfg(test)]
mod tests;
