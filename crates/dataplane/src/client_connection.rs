//! The state machine of a client's connection: which answer is owed on it, and until when it may
//! stay in its state. Without I/O.

use streamarch::Micros;

use crate::limits::Limits;

/// The stage of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No part of a request has arrived.
    Idle,
    /// Part of a request has arrived.
    Receiving,
    /// A complete request was accepted, and its answer is owed.
    Processing,
    /// The answer is being written.
    Responding,
    /// The last answer is written, and the client has time to read it.
    Lingering,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientConnection {
    /// Its stage.
    pub stage: Stage,
    /// Since when it has been in this stage.
    pub stage_entered_at: Micros,
    /// Whether an answer was written on it before.
    pub has_responded: bool,
    /// Progress of a request body whose head is complete.
    body: Option<BodyProgress>,
}

/// Progress of a body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BodyProgress {
    /// When its head was complete.
    since: Micros,
    /// When bytes last arrived, and how many there are.
    last_received_at: Micros,
    bytes: u64,
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

    fn enter(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.stage_entered_at, self.body) = (stage, now, None);
    }

    /// Part of a request has arrived. The first request's time counts from the start of the
    /// connection, so that silence before it gains nothing.
    pub fn begin_request(&mut self, now: Micros) {
        if self.stage == Stage::Idle {
            let since = if self.has_responded {
                now
            } else {
                self.stage_entered_at
            };
            self.enter(since, Stage::Receiving);
        }
    }

    /// The head is complete, and this much of the body has arrived.
    pub fn record_body_progress(&mut self, now: Micros, bytes: u64) {
        let upload = self.body.get_or_insert(BodyProgress {
            since: now,
            last_received_at: now,
            bytes,
        });
        if upload.bytes != bytes {
            (upload.last_received_at, upload.bytes) = (now, bytes);
        }
    }

    /// Restarts the body's time: nothing arrived because nothing was read.
    pub fn restart_body_timer(&mut self, now: Micros) {
        self.body = self.body.map(|upload| BodyProgress {
            since: now,
            last_received_at: now,
            bytes: upload.bytes,
        });
    }

    /// The client has read part of its answer.
    pub fn record_write_progress(&mut self, now: Micros) {
        if self.stage == Stage::Responding {
            self.stage_entered_at = now;
        }
    }

    /// A complete request was accepted.
    pub fn begin_processing(&mut self, now: Micros) {
        self.enter(now, Stage::Processing);
    }

    /// An answer is about to be written.
    pub fn begin_response(&mut self, now: Micros) {
        self.enter(now, Stage::Responding);
    }

    /// The answer is written. `last`: the connection is closed after it.
    pub fn finish_response(&mut self, now: Micros, last: bool) {
        if self.stage == Stage::Responding {
            self.has_responded = true;
            self.enter(now, if last { Stage::Lingering } else { Stage::Idle });
        }
    }

    /// Until when the connection may stay in this stage. A request in progress has its own
    /// deadline, but its body may still be arriving. `closing`: idle connections are being closed.
    pub fn deadline(&self, closing: bool, limits: &Limits) -> Option<Micros> {
        let span = match self.stage {
            Stage::Idle if closing => limits.draining_request_timeout,
            Stage::Idle if self.has_responded => limits.client_idle_timeout,
            Stage::Receiving if self.body.is_some() => {
                return self.body.map(|upload| self.body_deadline(upload, limits));
            }
            Stage::Idle | Stage::Receiving => limits.request_timeout,
            Stage::Processing => return self.body.map(|upload| self.body_deadline(upload, limits)),
            Stage::Responding => limits.client_write_timeout,
            Stage::Lingering => limits.linger_timeout,
        };
        Some(self.stage_entered_at + span)
    }

    /// Deadline of a body. A slow one is accepted at a minimum rate; a silent one has no more time
    /// than a request that never arrives.
    fn body_deadline(&self, upload: BodyProgress, limits: &Limits) -> Micros {
        let paced = (upload.bytes * 1_000_000 / limits.min_body_bytes_per_s.max(1)) as Micros;
        let slowest = upload.since + limits.body_grace_period + paced;
        (self.stage_entered_at + limits.request_timeout)
            .max(slowest.min(upload.last_received_at + limits.body_idle_timeout))
    }

    /// How readily this connection is evicted, lowest first; `None`: not at all.
    ///
    /// The first request of a new connection may be on its way, and a client whose request crosses
    /// the close of a connection that never answered does not retry it. A silent connection is
    /// evicted as soon as that is unlikely; those that were answered are evicted by their idle
    /// time.
    pub fn eviction_rank(&self, now: Micros, limits: &Limits) -> Option<(u8, Micros)> {
        let fresh = now - self.stage_entered_at < limits.first_request_grace_period;
        match self.stage {
            Stage::Lingering => Some((0, self.stage_entered_at)),
            Stage::Idle if !self.has_responded && !fresh => Some((1, self.stage_entered_at)),
            Stage::Receiving if !fresh => Some((2, self.stage_entered_at)),
            Stage::Idle if self.has_responded => Some((3, self.stage_entered_at)),
            Stage::Idle | Stage::Receiving | Stage::Processing | Stage::Responding => None,
        }
    }
}
