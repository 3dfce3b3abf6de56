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
}

impl Visit {
    /// A connection that was taken now.
    pub fn new(now: Micros) -> Visit {
        Visit { stage: Stage::Idle, since: now, answered: false }
    }

    fn enter(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.since) = (stage, now);
    }

    /// A part of a request is there. The first one of a connection has its time from the connection's start, so
    /// that silence before it gains none.
    pub fn partial(&mut self, now: Micros) {
        if self.stage == Stage::Idle {
            let since = if self.answered { now } else { self.since };
            self.enter(since, Stage::Partial);
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

    /// Until when it may stay as it is. An open request has its own deadline. `closing`: idle ones are being closed.
    pub fn deadline(&self, closing: bool, limits: &Limits) -> Option<Micros> {
        let span = match self.stage {
            Stage::Idle if closing => limits.late_first,
            Stage::Idle if self.answered => limits.acquirer_idle,
            Stage::Idle | Stage::Partial => limits.acquirer_first,
            Stage::Open => return None,
            Stage::Answering => limits.acquirer_write,
            Stage::Lingering => limits.acquirer_linger,
        };
        Some(self.since + span)
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
