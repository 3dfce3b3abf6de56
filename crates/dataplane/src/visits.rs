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
    Partial,
    /// A whole request was taken, and its answer is owed.
    Open,
    /// An answer is being written.
    Answering,
    /// The last answer is written, and the client is left the time to read it.
    Lingering,
}

/// A connection of the acquirer side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Visit {
    /// Where it stands.
    pub stage: Stage,
    /// Since when.
    pub since: Micros,
    /// An answer has been written on it before.
    pub answered: bool,
    /// Of a request whose head is whole and whose body is coming: how that goes.
    body: Option<Upload>,
}

/// A body on its way in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Upload {
    /// Since when its head has been whole.
    since: Micros,
    /// When something last came, and how much has.
    heard: Micros,
    bytes: u64,
}

impl Visit {
    /// A connection that was taken now.
    pub fn new(now: Micros) -> Visit {
        Visit {
            stage: Stage::Idle,
            since: now,
            answered: false,
            body: None,
        }
    }

    fn enter(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.since, self.body) = (stage, now, None);
    }

    /// A part of a request is there. The first one of a connection has its time from the connection's start, so
    /// that silence before it gains none.
    pub fn partial(&mut self, now: Micros) {
        if self.stage == Stage::Idle {
            let since = if self.answered { now } else { self.since };
            self.enter(since, Stage::Partial);
        }
    }

    /// The head is whole, and so much of the body has come.
    pub fn uploading(&mut self, now: Micros, bytes: u64) {
        let upload = self.body.get_or_insert(Upload {
            since: now,
            heard: now,
            bytes,
        });
        if upload.bytes != bytes {
            (upload.heard, upload.bytes) = (now, bytes);
        }
    }

    /// More was not asked for, so that none came.
    pub fn held_up(&mut self, now: Micros) {
        self.body = self.body.map(|upload| Upload {
            since: now,
            heard: now,
            bytes: upload.bytes,
        });
    }

    /// The client has taken in a part of its answer.
    pub fn progress(&mut self, now: Micros) {
        if self.stage == Stage::Answering {
            self.since = now;
        }
    }

    /// A whole request was taken.
    pub fn taken(&mut self, now: Micros) {
        self.enter(now, Stage::Open);
    }

    /// An answer is to be written.
    pub fn answering(&mut self, now: Micros) {
        self.enter(now, Stage::Answering);
    }

    /// The answer is written. `last`: no other will be.
    pub fn written(&mut self, now: Micros, last: bool) {
        if self.stage == Stage::Answering {
            self.answered = true;
            self.enter(now, if last { Stage::Lingering } else { Stage::Idle });
        }
    }

    /// Until when it may stay as it is. An open request has its own deadline, but its body may still be coming. `closing`: idle ones are being closed.
    pub fn deadline(&self, closing: bool, limits: &Limits) -> Option<Micros> {
        let span = match self.stage {
            Stage::Idle if closing => limits.late_first,
            Stage::Idle if self.answered => limits.acquirer_idle,
            Stage::Partial if self.body.is_some() => {
                return self.body.map(|upload| self.upload(upload, limits));
            }
            Stage::Idle | Stage::Partial => limits.acquirer_first,
            Stage::Open => return self.body.map(|upload| self.upload(upload, limits)),
            Stage::Answering => limits.acquirer_write,
            Stage::Lingering => limits.acquirer_linger,
        };
        Some(self.since + span)
    }

    /// Until when a body may be without its end. A slow one is waited for as long as it keeps a least pace; one that
    /// falls silent has no more time than a request that never came.
    fn upload(&self, upload: Upload, limits: &Limits) -> Micros {
        let paced = (upload.bytes * 1_000_000 / limits.body_pace.max(1)) as Micros;
        let slowest = upload.since + limits.body_grace + paced;
        (self.since + limits.acquirer_first).max(slowest.min(upload.heard + limits.body_silent))
    }

    /// How well this connection can be spared where room is wanted: the lowest first. None: not at all.
    ///
    /// Guards the first request of a connection just taken, which may be on its way: a client whose request
    /// crosses the close of a connection that has never answered does not send it again. One that says nothing
    /// goes as soon as that is unlikely, and those that have been answered go by how long they have been idle.
    pub fn spared(&self, now: Micros, limits: &Limits) -> Option<(u8, Micros)> {
        let fresh = now - self.since < limits.acquirer_fresh;
        match self.stage {
            Stage::Lingering => Some((0, self.since)),
            Stage::Idle if !self.answered && !fresh => Some((1, self.since)),
            Stage::Partial if !fresh => Some((2, self.since)),
            Stage::Idle if self.answered => Some((3, self.since)),
            Stage::Idle | Stage::Partial | Stage::Open | Stage::Answering => None,
        }
    }
}
