//! What became of every try and every intended request.

use serde::Serialize;

use crate::Micros;

/// How a try, and with its last try a request, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// 200.
    Served,
    /// 429 or 503.
    Declined,
    /// Any other answer, bytes that are none, or a connection that broke once the request was written.
    Failed,
    /// Written, and no answer when the client's time was up.
    Unanswered,
    /// Never written whole to a connection.
    NotSent,
}

/// All outcomes, in the order in which they are told.
pub const OUTCOMES: [Outcome; 5] = [
    Outcome::Served,
    Outcome::Declined,
    Outcome::Failed,
    Outcome::Unanswered,
    Outcome::NotSent,
];

impl Outcome {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Declined => "declined",
            Outcome::Failed => "failed",
            Outcome::Unanswered => "unanswered",
            Outcome::NotSent => "not_sent",
        }
    }

    /// Of an answer's status.
    pub fn of(status: u16) -> Outcome {
        match status {
            200..=299 => Outcome::Served,
            429 | 503 => Outcome::Declined,
            _ => Outcome::Failed,
        }
    }
}

/// One try. Instants count from the run's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Try {
    /// Position of its request in the schedule.
    pub request: u32,
    /// 0 for the first try.
    pub number: u8,
    /// The target that it went to.
    pub target: u16,
    /// When it was meant to go out: by the schedule, or by the client's wait.
    pub intended: Micros,
    /// When it had been written whole; `None`: never.
    pub sent: Option<Micros>,
    /// When its last byte came, or it was given up.
    pub ended: Micros,
    /// The answer's status; 0 without one.
    pub status: u16,
    /// How it ended.
    pub outcome: Outcome,
}

/// Ends of intended requests: its first try's instant is the schedule's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fate {
    /// How it ended.
    pub outcome: Outcome,
    /// When; `None` if it was never taken up.
    pub ended: Option<Micros>,
    /// Tries made.
    pub tries: u8,
    /// When its first try was written.
    pub first_sent: Option<Micros>,
}

/// Joins tries to one fate for each of `requests` intended ones. A request that was never written whole by any of its
/// tries is not sent; else its last try that was written says how it ended.
pub fn fates(requests: usize, tries: &[Try]) -> Vec<Fate> {
    let none = Fate {
        outcome: Outcome::NotSent,
        ended: None,
        tries: 0,
        first_sent: None,
    };
    let mut fates = vec![none; requests];
    let mut last: Vec<i16> = vec![-1; requests];
    for t in tries {
        let Some(fate) = fates.get_mut(t.request as usize) else {
            continue;
        };
        fate.tries += 1;
        fate.ended = fate.ended.max(Some(t.ended));
        if t.number == 0 {
            fate.first_sent = t.sent;
        }
        let last = &mut last[t.request as usize];
        if t.outcome != Outcome::NotSent && i16::from(t.number) > *last {
            *last = i16::from(t.number);
            fate.outcome = t.outcome;
        }
    }
    fates
}

#[cfg(test)]
mod tests;
