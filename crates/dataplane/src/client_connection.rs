//! The state machine of a client's connection: the response that is owed on it, and the deadline of
//! its stage. Without I/O.

use streamarch::Micros;

use crate::limits::Limits;

/// The stage of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No part of a request has arrived.
    Idle,
    /// Part of a request has arrived.
    Receiving,
    /// A complete request was accepted, and its response is owed.
    Processing,
    /// The response is being written.
    Responding,
    /// The last response is written, and the client has time to read it.
    Lingering,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientConnection {
    /// Its stage.
    pub stage: Stage,
    /// When it entered this stage.
    pub stage_entered_at: Micros,
    /// Whether a response has been written on it.
    pub has_responded: bool,
    /// Progress of a request body whose head is complete.
    body: Option<BodyProgress>,
}

/// Progress of a body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BodyProgress {
    /// When its head was complete, or its timer was restarted.
    started_at: Micros,
    /// When bytes last arrived.
    last_received_at: Micros,
    received_bytes: u64,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(now: Micros) -> ClientConnection {
        ClientConnection {
            stage: Stage::Idle,
            stage_entered_at: now,
            has_responded: false,
            body: None,
        }
    }

    fn enter_stage(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.stage_entered_at, self.body) = (stage, now, None);
    }

    /// Part of a request has arrived. The time-out of the first request runs from the start of the
    /// connection, so that silence before it does not extend it.
    pub fn begin_request(&mut self, now: Micros) {
        if self.stage == Stage::Idle {
            let started_at = if self.has_responded {
                now
            } else {
                self.stage_entered_at
            };
            self.enter_stage(started_at, Stage::Receiving);
        }
    }

    /// The head is complete, and this many bytes of the body have arrived.
    pub fn record_body_progress(&mut self, now: Micros, received_bytes: u64) {
        let body = self.body.get_or_insert(BodyProgress {
            started_at: now,
            last_received_at: now,
            received_bytes,
        });
        if body.received_bytes != received_bytes {
            (body.last_received_at, body.received_bytes) = (now, received_bytes);
        }
    }

    /// Restarts the timer of the body: nothing arrived because nothing was read.
    pub fn restart_body_timer(&mut self, now: Micros) {
        self.body = self.body.map(|body| BodyProgress {
            started_at: now,
            last_received_at: now,
            received_bytes: body.received_bytes,
        });
    }

    /// The client has read part of its response.
    pub fn record_write_progress(&mut self, now: Micros) {
        if self.stage == Stage::Responding {
            self.stage_entered_at = now;
        }
    }

    /// A complete request was accepted.
    pub fn begin_processing(&mut self, now: Micros) {
        self.enter_stage(now, Stage::Processing);
    }

    /// A response is about to be written.
    pub fn begin_response(&mut self, now: Micros) {
        self.enter_stage(now, Stage::Responding);
    }

    /// The response is written. `is_last`: the connection is closed after it.
    pub fn finish_response(&mut self, now: Micros, is_last: bool) {
        if self.stage == Stage::Responding {
            self.has_responded = true;
            self.enter_stage(
                now,
                if is_last {
                    Stage::Lingering
                } else {
                    Stage::Idle
                },
            );
        }
    }

    /// Deadline of this stage. A request in progress has a deadline of its own, but its body may
    /// still be arriving. `closes_idle`: idle connections are being closed.
    pub fn deadline(&self, closes_idle: bool, limits: &Limits) -> Option<Micros> {
        let timeout = match self.stage {
            Stage::Idle if closes_idle => limits.draining_request_timeout,
            Stage::Idle if self.has_responded => limits.client_idle_timeout,
            Stage::Receiving if self.body.is_some() => {
                return self.body.map(|body| self.body_deadline(body, limits));
            }
            Stage::Idle | Stage::Receiving => limits.request_timeout,
            Stage::Processing => return self.body.map(|body| self.body_deadline(body, limits)),
            Stage::Responding => limits.client_write_timeout,
            Stage::Lingering => limits.linger_timeout,
        };
        Some(self.stage_entered_at + timeout)
    }

    /// Deadline of a body. A slow body is accepted at a minimum rate. One that stops arriving gets
    /// no more time than a request that never arrives.
    fn body_deadline(&self, body: BodyProgress, limits: &Limits) -> Micros {
        let time_at_min_rate =
            (body.received_bytes * 1_000_000 / limits.min_body_bytes_per_s.max(1)) as Micros;
        let rate_deadline = body.started_at + limits.body_grace_period + time_at_min_rate;
        (self.stage_entered_at + limits.request_timeout)
            .max(rate_deadline.min(body.last_received_at + limits.body_idle_timeout))
    }

    /// The order in which connections are evicted, lowest first; `None`: not evicted at all.
    ///
    /// The first request of a new connection may be on its way, and a client whose request crosses
    /// the close of a connection that never carried a response does not retry it. A connection
    /// without a request is evicted as soon as that is unlikely. Connections that carried a
    /// response are evicted last, the longest idle first.
    pub fn eviction_rank(&self, now: Micros, limits: &Limits) -> Option<(u8, Micros)> {
        let is_recent = now - self.stage_entered_at < limits.first_request_grace_period;
        match self.stage {
            Stage::Lingering => Some((0, self.stage_entered_at)),
            Stage::Idle if !self.has_responded && !is_recent => Some((1, self.stage_entered_at)),
            Stage::Receiving if !is_recent => Some((2, self.stage_entered_at)),
            Stage::Idle if self.has_responded => Some((3, self.stage_entered_at)),
            Stage::Idle | Stage::Receiving | Stage::Processing | Stage::Responding => None,
        }
    }
}
