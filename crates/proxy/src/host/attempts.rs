//! The attempts of a request: where each was sent and how it ended. Logs requests that the proxy
//! ends by itself while a server may be running them.

use std::fmt;

use slog::{info, warn};

use super::*;

/// Shortest interval between two lines that are written at once; those in between are kept in the
/// log ring only.
const FAILURE_LOG_INTERVAL: Micros = SECOND;

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
        if now >= self.failure_logged_at + FAILURE_LOG_INTERVAL {
            self.failure_logged_at = now;
            warn!(self.log, #IMMEDIATE, "request failed before its deadline although a server may be running it"; "request" => &request.id, "attempts" => attempts, "tries" => tries, "deadline_in_ms" => deadline_ms, "rejection" => ?rejection, "shutting_down" => shutting_down);
        } else {
            warn!(self.log, "request failed before its deadline although a server may be running it"; "request" => &request.id, "attempts" => attempts, "tries" => tries, "deadline_in_ms" => deadline_ms, "rejection" => ?rejection, "shutting_down" => shutting_down);
        }
    }

    /// Counts the end of a health check, and logs it unless the server is healthy.
    pub(super) fn record_probe_result(&mut self, server: ServerId, outcome: Outcome) {
        let count = self
            .metrics
            .probes
            .entry(format!("{outcome:?}"))
            .or_default();
        *count += 1;
        if outcome == Outcome::Ok {
            return;
        }
        let instance_id = self
            .server_table
            .address_and_instance_id(server)
            .map_or("unlisted", |(_, instance_id)| instance_id);
        info!(self.log, "health check failed"; "server" => instance_id, "outcome" => ?outcome);
    }
}
