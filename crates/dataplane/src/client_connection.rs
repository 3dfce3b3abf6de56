//! What becomes of one connection of the acquirer side, without any input or output: what is owed on it, and until
//! when it may stay as it is.

use streamarch::Micros;

use crate::limits::Limits;

/// Where a connection of the acquirer side stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request is there: nothing of one has come.
    Idle,
    /// A part of a request has come.
    Receiving,
    /// A whole request was taken, and its answer is owed.
    Processing,
    /// An answer is being written.
    Responding,
    /// The last answer is written, and the client is left the time to read it.
    Lingering,
}

/// A connection of the acquirer side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientConnection {
    /// Where it stands.
    pub stage: Stage,
    /// Since when.
    pub since: Micros,
    /// An answer has been written on it before.
    pub has_responded: bool,
    /// Of a request whose head is whole and whose body is coming: how that goes.
    body: Option<BodyProgress>,
}

/// A body on its way in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BodyProgress {
    /// Since when its head has been whole.
    since: Micros,
    /// When something last came, and how much has.
    last_received_at: Micros,
    bytes: u64,
}

impl ClientConnection {
    /// A connection that was taken now.
    pub fn new(now: Micros) -> ClientConnection {
        ClientConnection {
            stage: Stage::Idle,
            since: now,
            has_responded: false,
            body: None,
        }
    }

    fn enter(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.since, self.body) = (stage, now, None);
    }

    /// A part of a request is there. The first one of a connection has its time from the connection's start, so
    /// that silence before it gains none.
    pub fn begin_request(&mut self, now: Micros) {
        if self.stage == Stage::Idle {
            let since = if self.has_responded { now } else { self.since };
            self.enter(since, Stage::Receiving);
        }
    }

    /// The head is whole, and so much of the body has come.
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

    /// More was not asked for, so that none came.
    pub fn restart_body_timer(&mut self, now: Micros) {
        self.body = self.body.map(|upload| BodyProgress {
            since: now,
            last_received_at: now,
            bytes: upload.bytes,
        });
    }

    /// The client has taken in a part of its answer.
    pub fn record_write_progress(&mut self, now: Micros) {
        if self.stage == Stage::Responding {
            self.since = now;
        }
    }

    /// A whole request was taken.
    pub fn request_complete(&mut self, now: Micros) {
        self.enter(now, Stage::Processing);
    }

    /// An answer is to be written.
    pub fn begin_response(&mut self, now: Micros) {
        self.enter(now, Stage::Responding);
    }

    /// The answer is written. `last`: no other will be.
    pub fn response_written(&mut self, now: Micros, last: bool) {
        if self.stage == Stage::Responding {
            self.has_responded = true;
            self.enter(now, if last { Stage::Lingering } else { Stage::Idle });
        }
    }

    /// Until when it may stay as it is. An open request has its own deadline, but its body may still be coming. `closing`: idle ones are being closed.
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
        Some(self.since + span)
    }

    /// Until when a body may be without its end. A slow one is waited for as long as it keeps a least pace; one that
    /// falls silent has no more time than a request that never came.
    fn body_deadline(&self, upload: BodyProgress, limits: &Limits) -> Micros {
        let paced = (upload.bytes * 1_000_000 / limits.min_body_bytes_per_s.max(1)) as Micros;
        let slowest = upload.since + limits.body_grace + paced;
        (self.since + limits.request_timeout)
            .max(slowest.min(upload.last_received_at + limits.body_idle_timeout))
    }

    /// How well this connection can be spared where room is wanted: the lowest first. None: not at all.
    ///
    /// Guards the first request of a connection just taken, which may be on its way: a client whose request
    /// crosses the close of a connection that has never answered does not send it again. One that says nothing
    /// goes as soon as that is unlikely, and those that have been answered go by how long they have been idle.
    pub fn eviction_rank(&self, now: Micros, limits: &Limits) -> Option<(u8, Micros)> {
        let fresh = now - self.since < limits.first_request_grace;
        match self.stage {
            Stage::Lingering => Some((0, self.since)),
            Stage::Idle if !self.has_responded && !fresh => Some((1, self.since)),
            Stage::Receiving if !fresh => Some((2, self.since)),
            Stage::Idle if self.has_responded => Some((3, self.since)),
            Stage::Idle | Stage::Receiving | Stage::Processing | Stage::Responding => None,
        }
    }
}
