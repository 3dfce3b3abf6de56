//! The attempts of a request: sends and cancels them, and records how each ended. Logs requests that the proxy
//! ends by itself while a server may be running them.

use std::fmt;
use std::io::Write;

use super::admission::has_body;
use super::throttled_log::warn_throttled;
use super::*;

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    /// The connection on which it was sent.
    pub(super) connection: ConnectionId,
    server: ServerId,
    started_at: Micros,
    /// When and how it ended; `None` while it is in flight.
    end: Option<(Micros, Outcome)>,
}

impl AttemptRecord {
    pub(super) fn new(connection: ConnectionId, server: ServerId, now: Micros) -> AttemptRecord {
        AttemptRecord {
            connection,
            server,
            started_at: now,
            end: None,
        }
    }
}

/// Formats the attempts of a request as `instance-id outcome start..end` in milliseconds before now.
struct AttemptList<'a> {
    attempts: &'a [AttemptRecord],
    server_table: &'a ServerTable,
    now: Micros,
}

impl fmt::Display for AttemptList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, attempt) in self.attempts.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            let instance_id = self
                .server_table
                .address_and_instance_id(attempt.server)
                .map_or("unlisted", |(_, instance_id)| instance_id);
            let started_ms = (self.now - attempt.started_at) / MS;
            write!(f, "{separator}{instance_id} ")?;
            match attempt.end {
                Some((ended_at, outcome)) => {
                    let ended_ms = (self.now - ended_at) / MS;
                    write!(f, "{outcome:?} -{started_ms}..-{ended_ms}")?;
                }
                None => write!(f, "in flight -{started_ms}..")?,
            }
        }
        Ok(())
    }
}

impl Request {
    /// Whether the proxy ended an attempt that its server may have been running, or would end it
    /// with the request.
    pub(super) fn has_given_up_attempt(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| matches!(attempt.end, None | Some((_, Outcome::Cancelled))))
    }

    /// The connections of its attempts in flight.
    pub(super) fn connections_in_flight(&self) -> impl Iterator<Item = ConnectionId> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.end.is_none())
            .map(|attempt| attempt.connection)
    }

    /// Records how the attempt on this connection ended.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        outcome: Outcome,
    ) {
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.connection == connection && attempt.end.is_none());
        if let Some(attempt) = attempt {
            attempt.end = Some((now, outcome));
        }
    }
}

impl Host {
    /// Sends a request to a server, unless it has ended or used all its attempts.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        request_key: RequestKey,
        handle: RequestHandle,
        attempt: u32,
        server: ServerId,
    ) {
        let purpose = UpstreamPurpose::Attempt(request_key, handle, attempt);
        let result = if self.can_attempt(request_key) {
            self.acquire_connection(now, server, purpose)
        } else {
            Err(Outcome::NotSent)
        };
        match result {
            Ok(upstream_id) => {
                self.attempt_connections
                    .insert((handle.engine_index, handle.key, attempt), upstream_id);
                self.write_attempt(now, request_key, upstream_id, server);
            }
            Err(outcome) => {
                self.router
                    .handle_attempt_ended(now, handle, attempt, outcome);
            }
        }
    }

    /// Whether a request is in progress and its route allows another attempt.
    fn can_attempt(&self, request_key: RequestKey) -> bool {
        self.requests
            .get(request_key)
            .is_some_and(|request| request.attempts.len() < request.route.tries.max(1) as usize)
    }

    /// Writes a request to the connection of an attempt.
    fn write_attempt(
        &mut self,
        now: Micros,
        request_key: RequestKey,
        upstream_id: ConnectionId,
        server: ServerId,
    ) {
        let (Some(request), Some((_, instance_id))) = (
            self.requests.get_mut(request_key),
            self.server_table.address_and_instance_id(server),
        ) else {
            return;
        };
        request
            .attempts
            .push(AttemptRecord::new(upstream_id, server, now));
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(upstream_id) {
            upstream.expects_no_body = request.method == "HEAD";
        }
        let Some(output) = self.connections.output(upstream_id) else {
            return;
        };
        let time_left_ms = (request.deadline - now).min(request.allowed_time).max(0) / MS;
        let framing = request
            .body_framing
            .unwrap_or(BodyFraming::Length(request.body.len() as u64));
        // Writing to a vector can't fail.
        let _ = write!(output, "{} {} HTTP/1.1\r\n", request.method, request.target);
        output.extend_from_slice(&request.header_lines);
        let _ = write!(
            output,
            "X-Time-Left: {time_left_ms}\r\nX-Want-Instance: {instance_id}\r\n"
        );
        match framing {
            BodyFraming::Length(length) if has_body(&request.method, framing) => {
                let _ = write!(output, "Content-Length: {length}\r\n");
            }
            BodyFraming::Length(_) => {}
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                output.extend_from_slice(b"Transfer-Encoding: chunked\r\n")
            }
        }
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(&request.body);
    }

    /// Whether an attempt of this request is in flight at a server that may be running it.
    pub(super) fn may_be_running(&self, request: &Request) -> bool {
        request
            .connections_in_flight()
            .any(|connection| self.outcome_if_closed(connection) == Some(Outcome::Reset))
    }

    /// Cancels an attempt for the decision module, by closing its connection.
    pub(super) fn cancel_attempt(&mut self, now: Micros, handle: RequestHandle, number: u32) {
        let attempt = (handle.engine_index, handle.key, number);
        let Some(connection_id) = self.attempt_connections.remove(&attempt) else {
            return;
        };
        let Some(Role::Upstream(upstream)) = self.roles.get(connection_id) else {
            return;
        };
        let Some(UpstreamPurpose::Attempt(request, ..)) = upstream.state.purpose() else {
            return;
        };
        let may_have_run = self.outcome_if_closed(connection_id) == Some(Outcome::Reset);
        self.metrics.attempts_cancelled += 1;
        if let Some(request) = self.requests.get_mut(request) {
            request.may_have_run |= may_have_run;
            request.record_attempt_end(now, connection_id, Outcome::Cancelled);
        }
        self.close_upstream(connection_id);
    }

    /// Logs that no attempt of this request had a good answer, and that one may have run.
    pub(super) fn log_no_good_answer(&mut self, now: Micros, request: &Request) {
        let attempts = AttemptList {
            attempts: &request.attempts,
            server_table: &self.server_table,
            now,
        }
        .to_string();
        warn_throttled!(self.log, self.no_answer_log, now, "no attempt of a request had a good answer"; "request" => &request.id, "attempts" => attempts);
    }

    /// Logs and counts that the proxy ends this request with a response of its own before the
    /// deadline, although a server may be running it.
    pub(super) fn log_running_request_failed(
        &mut self,
        now: Micros,
        request: &Request,
        rejection: EngineRejection,
    ) {
        self.metrics.running_requests_failed += 1;
        let attempts = AttemptList {
            attempts: &request.attempts,
            server_table: &self.server_table,
            now,
        }
        .to_string();
        let (deadline_ms, tries) = ((request.deadline - now) / MS, request.route.tries);
        let shutting_down = self.lifecycle.is_shutting_down();
        warn_throttled!(self.log, self.failure_log, now, "request failed before its deadline although a server may be running it"; "request" => &request.id, "attempts" => attempts, "tries" => tries, "deadline_in_ms" => deadline_ms, "rejection" => ?rejection, "shutting_down" => shutting_down);
    }
}
