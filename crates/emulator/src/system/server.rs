//! A server of a service, without I/O: slots and a queue, the word on what it did not run, a seal on what it did, and
//! troubles on order. What ran is counted by the requests' ids.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Micros;
use crate::http;
use crate::node::{Admission, Job, Node, NodeConfig as Cores};
use crate::serving::MALFORMED_ANSWER;

/// What a server is.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Its service.
    pub svc: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Work of a request, unless it says otherwise in `X-Work-Ms`.
    pub work: Micros,
    /// After a start it is cold for so long.
    pub warmup: Micros,
    /// It keeps an idle connection for so many seconds.
    pub keep_s: i64,
}

/// The path of health checks.
pub const HEALTH_PATH: &str = "/healthz";

/// What a server does wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// It resets the connection instead.
    Reset,
    /// It ends the connection in the middle of the body.
    Truncated,
    /// It sends what is no answer.
    Malformed,
    /// It sends another answer behind it, which nobody asked for.
    Unsolicited,
    /// It sends the answer twice.
    Duplicated,
    /// It never answers, and keeps the connection.
    NoAnswer,
    /// It answers and forgets the connection at once, without a word.
    ClosedUnannounced,
}

/// A request as a server reads it.
#[derive(Clone, Debug)]
pub struct ServerRequest<'a> {
    method: &'a str,
    target: &'a str,
    close: bool,
    work: Option<Micros>,
    id: Option<&'a str>,
    wanted: Option<&'a str>,
    left: Option<Micros>,
    tenant: &'a str,
    key: bool,
    body: &'a [u8],
}

impl<'a> ServerRequest<'a> {
    /// Of a request at the start of these bytes.
    pub fn of(request: &http::Request<'a>, bytes: &'a [u8]) -> ServerRequest<'a> {
        let http::Request {
            method,
            target,
            work,
            close,
            head,
            length,
            ..
        } = *request;
        let line = |name| http::header(bytes, name);
        let left = line("X-Time-Left")
            .and_then(|t| t.parse::<f64>().ok())
            .map(|ms| (ms * 1e3) as Micros);
        ServerRequest {
            method,
            target,
            work,
            close,
            left,
            id: line("X-Request-Id"),
            wanted: line("X-Want-Instance"),
            tenant: line("X-Tenant").unwrap_or_default(),
            key: line("Authorization").is_some(),
            body: &bytes[head..length],
        }
    }
}

/// What a server's body says of the request that it ran: who sent it knows by this whether anything was changed.
pub fn echo(id: &str, method: &str, target: &str, tenant: &str, body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    format!(
        "{id} {method} {target} {tenant:?} {} {:016x}",
        body.len(),
        hasher.finish()
    )
}

/// What arrived at all servers and what came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests, health checks left out.
    pub arrived: u64,
    /// Ids that ran.
    pub ran: u64,
    /// Ids of requests that may be repeated and ran more than once.
    pub repeated_idempotent: u64,
    /// Ids of requests that may not be repeated and ran more than once.
    pub repeated_mutating: u64,
    /// Requests turned away.
    pub rejected: u64,
    /// Requests for another server.
    pub misdirected: u64,
    /// Requests that showed a client's key.
    pub with_client_key: u64,
    /// Requests that came too long after a server was told to be leaving.
    pub after_drain: u64,
    /// Answers that troubles befell.
    pub faulty_answers: u64,
}

/// What ran, by id.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: HashMap<String, u32>,
    /// The numbers so far.
    pub counts: Counts,
}

impl RunLedger {
    fn run(&mut self, id: &str, repeatable: bool) {
        let runs = self.runs.entry(id.to_string()).or_default();
        *runs += 1;
        match (*runs, repeatable) {
            (1, _) => self.counts.ran += 1,
            (2, true) => self.counts.repeated_idempotent += 1,
            (2, false) => self.counts.repeated_mutating += 1,
            _ => {}
        }
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.get(id).copied().unwrap_or(0)
    }
}

/// What becomes of the connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays.
    Keep,
    /// It ends.
    Close,
    /// It is reset, and nothing of the answer goes out.
    Reset,
}

/// An answer, and what becomes of its connection.
pub type AnswerAction = (Vec<u8>, ConnectionAction);

#[derive(Debug)]
struct PendingRequest {
    id: String,
    /// None: a health check.
    echo: Option<String>,
    repeatable: bool,
    close: bool,
    until: Micros,
}

/// A server in one life.
#[derive(Debug)]
pub struct Server {
    make: ServerConfig,
    id: String,
    node: Node,
    held: BTreeMap<u64, PendingRequest>,
    leaving: bool,
    warm_at: Micros,
    /// What comes after this is late.
    pub drain_announced_at: Option<Micros>,
    /// What the next answers suffer.
    pub pending_faults: VecDeque<AnswerFault>,
    /// It stands still until then.
    pub frozen_until: Micros,
}

impl Server {
    /// A server that starts now; `warm`: it has been there for long.
    pub fn new(make: ServerConfig, id: String, now: Micros, warm: bool) -> Server {
        let cores = Cores {
            cores: make.slots,
            speed: 1.0,
            queue: make.queue,
            cold_from: 0.3,
            warm_up: make.warmup,
            util_interval: 1_000_000,
            cancel_running: true,
        };
        Server {
            node: Node::new(cores, now, warm),
            id,
            held: BTreeMap::new(),
            leaving: false,
            warm_at: if warm { now } else { now + make.warmup },
            drain_announced_at: None,
            pending_faults: VecDeque::new(),
            frozen_until: Micros::MIN,
            make,
        }
    }

    /// Its id and what it is.
    pub fn identity(&self) -> (&str, &ServerConfig) {
        (&self.id, &self.make)
    }

    /// When it is warm.
    pub fn warm_at(&self) -> Micros {
        self.warm_at
    }

    /// It leaves: it serves on, and its answers end their connections.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Stands still until an instant.
    pub fn freeze(&mut self, now: Micros, until: Micros) {
        self.node.freeze(now, until);
        self.frozen_until = until;
    }

    /// A request has come whole; gives the answer if there is one at once.
    pub fn ask(
        &mut self,
        now: Micros,
        token: u64,
        asked: &ServerRequest<'_>,
        ledger: &mut RunLedger,
    ) -> Option<AnswerAction> {
        let health = asked.method == "GET" && asked.target == HEALTH_PATH;
        let not_run = |status, why: &str| {
            self.answer(
                status,
                asked.id,
                &format!("X-Not-Run: {why}\r\n"),
                b"",
                asked.close,
            )
        };
        if !health {
            ledger.counts.arrived += 1;
            ledger.counts.with_client_key += u64::from(asked.key);
        }
        if asked.wanted.is_some_and(|wanted| wanted != self.id) {
            ledger.counts.misdirected += 1;
            return Some(not_run(421, "another"));
        }
        if !health && self.drain_announced_at.is_some_and(|at| now > at) {
            ledger.counts.after_drain += 1;
        }
        let Some(id) = asked
            .id
            .filter(|id| !id.is_empty())
            .or(health.then_some(""))
        else {
            return Some(not_run(400, "no id"));
        };
        if health && self.leaving {
            return Some(self.answer(503, None, "", b"", asked.close));
        }
        let work = if health {
            0
        } else {
            asked.work.unwrap_or(self.make.work)
        };
        if self.node.arrive(now, Job { token, work }) == Admission::Rejected {
            ledger.counts.rejected += u64::from(!health);
            return Some(self.answer(503, asked.id, "X-Not-Run: full\r\n", b"", asked.close));
        }
        let held = PendingRequest {
            id: id.to_string(),
            echo: (!health).then(|| echo(id, asked.method, asked.target, asked.tenant, asked.body)),
            repeatable: asked.method == "GET",
            close: asked.close,
            until: now + asked.left.unwrap_or(60_000_000).clamp(0, 60_000_000),
        };
        self.held.insert(token, held);
        None
    }

    /// When something happens next by itself.
    pub fn next(&self) -> Option<Micros> {
        let deadline = self
            .held
            .values()
            .map(|held| held.until.max(self.frozen_until))
            .min();
        self.node.next().into_iter().chain(deadline).min()
    }

    /// What has happened by now, one at a time: whoever brought the request, and the answer.
    pub fn poll(&mut self, now: Micros, ledger: &mut RunLedger) -> Option<(u64, AnswerAction)> {
        if now < self.frozen_until {
            return None;
        }
        while let Some(job) = self.node.take_finished(now) {
            let Some(held) = self.held.remove(&job.token) else {
                continue;
            };
            return Some((job.token, self.done(now, &held, ledger)));
        }
        // The last to have come first: it waits for those before it, and must not begin in their place now.
        let token = *self
            .held
            .iter()
            .rev()
            .find(|(_, held)| held.until <= now)?
            .0;
        let held = self.held.remove(&token)?;
        if self.node.abandon(now, token) {
            ledger.counts.rejected += 1;
            return Some((
                token,
                self.answer(503, Some(&held.id), "X-Not-Run: late\r\n", b"", held.close),
            ));
        }
        ledger.run(&held.id, held.repeatable);
        Some((token, self.answer(504, Some(&held.id), "", b"", held.close)))
    }

    /// Nobody waits any more: the connection has ended.
    pub fn connection_closed(&mut self, now: Micros, token: u64, ledger: &mut RunLedger) {
        let Some(held) = self.held.remove(&token) else {
            return;
        };
        if !self.node.abandon(now, token) && held.echo.is_some() {
            ledger.run(&held.id, held.repeatable);
        }
    }

    fn done(&mut self, now: Micros, held: &PendingRequest, ledger: &mut RunLedger) -> AnswerAction {
        let Some(echo) = &held.echo else {
            let cold = format!("X-Cold-Ms: {}\r\n", (self.warm_at - now).max(0) / 1_000);
            return self.answer(200, None, &cold, b"", held.close);
        };
        ledger.run(&held.id, held.repeatable);
        let body = format!("{} {}\n{echo}\n", self.make.svc, self.id);
        let seal = format!("X-Server-Seal: {}.{}\r\n", self.id, ledger.counts.ran);
        let (mut bytes, then) =
            self.answer(200, Some(&held.id), &seal, body.as_bytes(), held.close);
        let Some(trouble) = self.pending_faults.pop_front() else {
            return (bytes, then);
        };
        ledger.counts.faulty_answers += 1;
        match trouble {
            AnswerFault::Reset => (Vec::new(), ConnectionAction::Reset),
            AnswerFault::Malformed => (MALFORMED_ANSWER.to_vec(), ConnectionAction::Close),
            AnswerFault::Truncated => {
                bytes.truncate(bytes.len() - body.len() / 2);
                (bytes, ConnectionAction::Close)
            }
            AnswerFault::Unsolicited => {
                bytes.extend(
                    self.answer(200, Some("nobody"), &seal, b"of nobody\n", held.close)
                        .0,
                );
                (bytes, then)
            }
            AnswerFault::Duplicated => (bytes.repeat(2), then),
            AnswerFault::NoAnswer => (Vec::new(), ConnectionAction::Keep),
            AnswerFault::ClosedUnannounced => (bytes, ConnectionAction::Close),
        }
    }

    fn answer(
        &self,
        status: u16,
        id: Option<&str>,
        lines: &str,
        body: &[u8],
        close: bool,
    ) -> AnswerAction {
        let mut bytes = Vec::new();
        let id = id
            .map(|id| format!("X-Request-Id: {id}\r\n"))
            .unwrap_or_default();
        let close = close || self.leaving;
        let kept = if close {
            "Connection: close".into()
        } else {
            format!("Keep-Alive: timeout={}", self.make.keep_s)
        };
        let lines = format!("{id}X-Instance-Id: {}\r\n{kept}\r\n{lines}", self.id);
        http::write_answer(&mut bytes, status, &lines, body);
        (
            bytes,
            if close {
                ConnectionAction::Close
            } else {
                ConnectionAction::Keep
            },
        )
    }
}

#[cfg(test)]
mod tests;
