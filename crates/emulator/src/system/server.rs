//! A server of a service, without I/O: slots and a queue, a header that marks requests it did not run, a seal on those
//! it ran, and injected faults. Executions are counted by request id.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Micros;
use crate::http;
use crate::node::{Admission, Job, Node, NodeConfig as Cores};
use crate::serving::MALFORMED_ANSWER;

/// Configuration of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Name of its service.
    pub svc: String,
    /// Its zone.
    pub zone: String,
    /// Requests that run concurrently.
    pub max_concurrent: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Work of a request in microseconds, unless `X-Work-Ms` sets another.
    pub work: Micros,
    /// Warm-up time after a start, in microseconds.
    pub warm_up: Micros,
    /// Seconds after which an idle connection is closed.
    pub keep_alive_s: i64,
}

/// The path of health checks.
pub const HEALTH_PATH: &str = "/healthz";

/// A fault injected into an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection is reset instead.
    Reset,
    /// The connection is closed in the middle of the body.
    Truncated,
    /// Bytes that are not an HTTP answer are sent.
    Malformed,
    /// A second answer follows that belongs to no request.
    Unsolicited,
    /// The answer is sent twice.
    Duplicated,
    /// No answer is sent, and the connection stays open.
    NoAnswer,
    /// The connection is closed right after the answer without `Connection: close`.
    ClosedUnannounced,
    /// The answer has status 201 and no length; it ends with the connection, which is closed in order.
    Unframed,
}

/// The parts of a request that a server uses.
#[derive(Clone, Debug)]
pub struct ServerRequest<'a> {
    method: &'a str,
    target: &'a str,
    close: bool,
    work: Option<Micros>,
    id: Option<&'a str>,
    wanted_instance: Option<&'a str>,
    time_left: Option<Micros>,
    tenant: &'a str,
    has_key: bool,
    body: &'a [u8],
}

impl<'a> ServerRequest<'a> {
    /// Extracts these parts from a request that was parsed from the start of `bytes`.
    pub fn from_http(request: &http::Request<'a>, bytes: &'a [u8]) -> ServerRequest<'a> {
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
        let time_left = line("X-Time-Left")
            .and_then(|t| t.parse::<f64>().ok())
            .map(|ms| (ms * 1e3) as Micros);
        ServerRequest {
            method,
            target,
            work,
            close,
            time_left,
            id: line("X-Request-Id"),
            wanted_instance: line("X-Want-Instance"),
            tenant: line("X-Tenant").unwrap_or_default(),
            has_key: line("Authorization").is_some(),
            body: &bytes[head..length],
        }
    }
}

/// The description of a request that the server returns in the body, by which the sender detects alterations.
pub fn echo(id: &str, method: &str, target: &str, tenant: &str, body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    format!(
        "{id} {method} {target} {tenant:?} {} {:016x}",
        body.len(),
        hasher.finish()
    )
}

/// Counts of arrivals and outcomes over all servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests, not including health checks.
    pub arrived: u64,
    /// Ids that ran.
    pub ran: u64,
    /// Ids of idempotent requests that ran more than once.
    pub repeated_idempotent: u64,
    /// Ids of non-idempotent requests that ran more than once.
    pub repeated_mutating: u64,
    /// Requests rejected without being run.
    pub rejected: u64,
    /// Requests meant for another instance.
    pub misdirected: u64,
    /// Requests that carried a client's key.
    pub with_client_key: u64,
    /// Requests that named no tenant.
    pub without_tenant: u64,
    /// Requests that arrived too long after the list showed the server as draining.
    pub after_drain: u64,
    /// Answers with an injected fault.
    pub faulty_answers: u64,
}

/// Executions by request id.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    runs: HashMap<String, u32>,
    /// Counts so far.
    pub counts: Counts,
}

impl RunCounts {
    fn record_run(&mut self, id: &str, idempotent: bool) {
        let runs = self.runs.entry(id.to_string()).or_default();
        *runs += 1;
        match (*runs, idempotent) {
            (1, _) => self.counts.ran += 1,
            (2, true) => self.counts.repeated_idempotent += 1,
            (2, false) => self.counts.repeated_mutating += 1,
            _ => {}
        }
    }

    /// Number of times that a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.get(id).copied().unwrap_or(0)
    }
}

/// What happens to the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays open.
    Keep,
    /// It is closed.
    Close,
    /// It is reset, and nothing of the answer is sent.
    Reset,
}

/// The bytes of an answer, and what happens to the connection after it.
pub type AnswerAction = (Vec<u8>, ConnectionAction);

#[derive(Debug)]
struct PendingRequest {
    id: String,
    /// `None` for a health check.
    echo: Option<String>,
    idempotent: bool,
    close: bool,
    deadline: Micros,
}

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    config: ServerConfig,
    id: String,
    node: Node,
    pending_requests: BTreeMap<u64, PendingRequest>,
    draining: bool,
    warm_at: Micros,
    /// Requests that arrive after this instant are counted as too late.
    pub drain_announced_at: Option<Micros>,
    /// Faults for the next answers, one each.
    pub pending_faults: VecDeque<AnswerFault>,
    /// The server is frozen until this instant.
    pub frozen_until: Micros,
}

impl Server {
    /// A server that starts now; if `warm`, without a warm-up.
    pub fn new(config: ServerConfig, id: String, now: Micros, warm: bool) -> Server {
        let cores = Cores {
            cores: config.max_concurrent,
            speed: 1.0,
            queue: config.max_waiting,
            cold_from: 0.3,
            warm_up: config.warm_up,
            util_interval: 1_000_000,
            cancel_running: true,
        };
        Server {
            node: Node::new(cores, now, warm),
            id,
            pending_requests: BTreeMap::new(),
            draining: false,
            warm_at: if warm { now } else { now + config.warm_up },
            drain_announced_at: None,
            pending_faults: VecDeque::new(),
            frozen_until: Micros::MIN,
            config,
        }
    }

    /// Its instance id and configuration.
    pub fn identity(&self) -> (&str, &ServerConfig) {
        (&self.id, &self.config)
    }

    /// When its warm-up ends.
    pub fn warm_at(&self) -> Micros {
        self.warm_at
    }

    /// Starts draining: it continues to serve, and its answers close their connections.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Freezes the server until an instant.
    pub fn freeze(&mut self, now: Micros, until: Micros) {
        self.node.freeze(now, until);
        self.frozen_until = until;
    }

    /// Handles a complete request; returns the answer if it is immediate.
    pub fn handle_request(
        &mut self,
        now: Micros,
        token: u64,
        request: &ServerRequest<'_>,
        run_counts: &mut RunCounts,
    ) -> Option<AnswerAction> {
        let health = request.method == "GET" && request.target == HEALTH_PATH;
        let not_run = |status, why: &str| {
            self.answer(
                status,
                request.id,
                &format!("X-Not-Run: {why}\r\n"),
                b"",
                request.close,
            )
        };
        if !health {
            run_counts.counts.arrived += 1;
            run_counts.counts.with_client_key += u64::from(request.has_key);
            run_counts.counts.without_tenant += u64::from(request.tenant.is_empty());
        }
        if request
            .wanted_instance
            .is_some_and(|wanted| wanted != self.id)
        {
            run_counts.counts.misdirected += 1;
            return Some(not_run(421, "another"));
        }
        if !health && self.drain_announced_at.is_some_and(|at| now > at) {
            run_counts.counts.after_drain += 1;
        }
        let Some(id) = request
            .id
            .filter(|id| !id.is_empty())
            .or(health.then_some(""))
        else {
            return Some(not_run(400, "no id"));
        };
        if health && self.draining {
            return Some(self.answer(503, None, "", b"", request.close));
        }
        let work = if health {
            0
        } else {
            request.work.unwrap_or(self.config.work)
        };
        if self.node.admit(now, Job { token, work }) == Admission::Rejected {
            run_counts.counts.rejected += u64::from(!health);
            return Some(self.answer(503, request.id, "X-Not-Run: full\r\n", b"", request.close));
        }
        let pending = PendingRequest {
            id: id.to_string(),
            echo: (!health).then(|| {
                echo(
                    id,
                    request.method,
                    request.target,
                    request.tenant,
                    request.body,
                )
            }),
            idempotent: request.method == "GET",
            close: request.close,
            deadline: now + request.time_left.unwrap_or(60_000_000).clamp(0, 60_000_000),
        };
        self.pending_requests.insert(token, pending);
        None
    }

    /// When [`Server::poll`] has something to do next.
    pub fn next_event_at(&self) -> Option<Micros> {
        let deadline = self
            .pending_requests
            .values()
            .map(|pending| pending.deadline.max(self.frozen_until))
            .min();
        self.node.next_event_at().into_iter().chain(deadline).min()
    }

    /// Returns what is due by now, one at a time: the token of the request, and the answer.
    pub fn poll(&mut self, now: Micros, run_counts: &mut RunCounts) -> Option<(u64, AnswerAction)> {
        if now < self.frozen_until {
            return None;
        }
        while let Some(job) = self.node.take_finished(now) {
            let Some(pending) = self.pending_requests.remove(&job.token) else {
                continue;
            };
            return Some((job.token, self.complete(now, &pending, run_counts)));
        }
        // Newest first: removing an older request first would let a newer, expired one start in its place.
        let token = *self
            .pending_requests
            .iter()
            .rev()
            .find(|(_, pending)| pending.deadline <= now)?
            .0;
        let pending = self.pending_requests.remove(&token)?;
        if self.node.abandon(now, token) {
            run_counts.counts.rejected += 1;
            return Some((
                token,
                self.answer(
                    503,
                    Some(&pending.id),
                    "X-Not-Run: late\r\n",
                    b"",
                    pending.close,
                ),
            ));
        }
        run_counts.record_run(&pending.id, pending.idempotent);
        Some((
            token,
            self.answer(504, Some(&pending.id), "", b"", pending.close),
        ))
    }

    /// The connection of a request was closed: nobody waits for the answer any more.
    pub fn connection_closed(&mut self, now: Micros, token: u64, run_counts: &mut RunCounts) {
        let Some(pending) = self.pending_requests.remove(&token) else {
            return;
        };
        if !self.node.abandon(now, token) && pending.echo.is_some() {
            run_counts.record_run(&pending.id, pending.idempotent);
        }
    }

    fn complete(
        &mut self,
        now: Micros,
        pending: &PendingRequest,
        run_counts: &mut RunCounts,
    ) -> AnswerAction {
        let Some(echo) = &pending.echo else {
            let cold = format!("X-Cold-Ms: {}\r\n", (self.warm_at - now).max(0) / 1_000);
            return self.answer(200, None, &cold, b"", pending.close);
        };
        run_counts.record_run(&pending.id, pending.idempotent);
        let body = format!("{} {}\n{echo}\n", self.config.svc, self.id);
        let seal = format!("X-Server-Seal: {}.{}\r\n", self.id, run_counts.counts.ran);
        let (mut bytes, then) = self.answer(
            200,
            Some(&pending.id),
            &seal,
            body.as_bytes(),
            pending.close,
        );
        let Some(fault) = self.pending_faults.pop_front() else {
            return (bytes, then);
        };
        run_counts.counts.faulty_answers += 1;
        match fault {
            AnswerFault::Reset => (Vec::new(), ConnectionAction::Reset),
            AnswerFault::Malformed => (MALFORMED_ANSWER.to_vec(), ConnectionAction::Close),
            AnswerFault::Truncated => {
                bytes.truncate(bytes.len() - body.len() / 2);
                (bytes, ConnectionAction::Close)
            }
            AnswerFault::Unsolicited => {
                bytes.extend(
                    self.answer(200, Some("nobody"), &seal, b"of nobody\n", pending.close)
                        .0,
                );
                (bytes, then)
            }
            AnswerFault::Duplicated => (bytes.repeat(2), then),
            AnswerFault::NoAnswer => (Vec::new(), ConnectionAction::Keep),
            AnswerFault::ClosedUnannounced => (bytes, ConnectionAction::Close),
            AnswerFault::Unframed => {
                let (framed, then) =
                    self.answer(201, Some(&pending.id), &seal, body.as_bytes(), true);
                (http::remove_length(&framed, body.len()), then)
            }
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
        let close = close || self.draining;
        let connection_header = if close {
            "Connection: close".into()
        } else {
            format!("Keep-Alive: timeout={}", self.config.keep_alive_s)
        };
        let lines = format!(
            "{id}X-Instance-Id: {}\r\n{connection_header}\r\n{lines}",
            self.id
        );
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
