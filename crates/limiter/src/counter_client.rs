//! Calls to the counter, pipelined on a few connections. Answers come in the order of the calls of a connection;
//! the calls of one name always go on the same one.

use std::collections::VecDeque;
use std::io::Write;

use streamarch::{CounterKey, Micros, Outcome};

use crate::net::framing::Response;
use crate::slots::ConnectionKey;

/// A call that is not matched off yet.
#[derive(Debug)]
struct Call {
    /// Which of the host's engines asked.
    engine_index: usize,
    name: CounterKey,
    add: f64,
    life: Micros,
    deadline: Micros,
    /// When it was written.
    written: Micros,
    /// Its outcome has been given; what still comes for it is only matched off.
    given: bool,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterResult {
    /// Which of the host's engines asked.
    pub engine_index: usize,
    /// The number.
    pub name: CounterKey,
    /// How the call ended.
    pub outcome: Outcome,
    /// The total, where it succeeded.
    pub total: f64,
}

/// What an answer of the counter is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResponse {
    /// The outcome of a call.
    Completed(CounterResult),
    /// It belongs to a call whose outcome was given before.
    Late {
        /// Which of the host's engines asked.
        engine_index: usize,
    },
    /// Nothing was asked.
    Unsolicited,
}

impl Call {
    fn ended(&self, outcome: Outcome) -> CounterResult {
        CounterResult {
            engine_index: self.engine_index,
            name: self.name,
            outcome,
            total: 0.0,
        }
    }
}

/// The total in an answer, where it can be read.
fn total(answer: &Response) -> Option<f64> {
    let text = std::str::from_utf8(&answer.body).ok()?;
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|total| total.is_finite())
}

/// Whether an answer came whole from the counter. Behind one that is spoilt nothing more is to be expected on its
/// connection: calls that went on there would only run out of time, and the counter pass for lost.
pub fn is_connection_reusable(answer: &Response) -> bool {
    match answer.status {
        200 => answer.keep_alive && total(answer).is_some(),
        status => answer.keep_alive && matches!(status, 400 | 404 | 503),
    }
}

/// One connection's calls.
#[derive(Debug, Default)]
pub struct CounterConnection {
    /// The connection, if there is one.
    pub connection: Option<ConnectionKey>,
    up: bool,
    /// Calls not written, and written ones whose answers are to come.
    unsent: VecDeque<Call>,
    waiting: VecDeque<Call>,
    /// When something last went out or came in, and when something last came in.
    used: Micros,
    heard: Micros,
    /// The counter has moved: nothing more is written on this connection.
    leaving: bool,
}

impl CounterConnection {
    /// Enters a call.
    pub fn enqueue(
        &mut self,
        asker: usize,
        name: CounterKey,
        add: f64,
        life: Micros,
        deadline: Micros,
    ) {
        self.unsent.push_back(Call {
            engine_index: asker,
            name,
            add,
            life,
            deadline,
            written: 0,
            given: false,
        });
    }

    /// The connection is up.
    pub fn handle_connected(&mut self, now: Micros) {
        (self.up, self.used, self.heard) = (true, now, now);
    }

    /// Writes what may be written.
    pub fn write_requests(&mut self, now: Micros, host: &str, out: &mut Vec<u8>) {
        if !self.up || self.leaving {
            return;
        }
        while let Some(mut call) = self.unsent.pop_front() {
            (self.used, call.written) = (now, now);
            let life = (call.life / 1_000).max(1);
            // Writing to a vector cannot fail.
            let _ = write!(
                out,
                "POST /v2/numbers/{}?delta={}&life_ms={life} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n",
                call.name.0, call.add
            );
            self.waiting.push_back(call);
        }
    }

    /// The counter is to be found elsewhere. What is written is waited for here: its answers must come before
    /// those to later calls of the same name.
    pub fn begin_move(&mut self) {
        self.leaving = true;
    }

    /// If this line is leaving and owes no outcome for what it wrote: forgets its connection, which is given, and
    /// keeps the calls not written for the next one.
    pub fn finish_move(&mut self) -> Option<Option<ConnectionKey>> {
        if !self.leaving || self.waiting.iter().any(|call| !call.given) {
            return None;
        }
        (self.up, self.leaving) = (false, false);
        self.waiting.clear();
        Some(self.connection.take())
    }

    /// Nothing is out and nothing was for so long that the counter may be closing the connection just now.
    pub fn is_idle_since(&self, before: Micros) -> bool {
        self.up && self.waiting.is_empty() && self.used <= before
    }

    /// A call has been out since `before`, and nothing at all has come since then. What was written meanwhile does not
    /// matter: a line that went silent under load would be written to, and fail its calls, for as long as they come.
    pub fn is_silent_since(&self, before: Micros) -> bool {
        let earliest = self.waiting.front();
        self.up
            && self.heard <= before
            && earliest.is_some_and(|call| call.given && call.written <= before)
    }

    /// The answer to the earliest call written did not come in time.
    pub fn has_timed_out_call(&self) -> bool {
        self.waiting.front().is_some_and(|call| call.given)
    }

    /// An answer came: it belongs to the earliest call written.
    pub fn handle_response(&mut self, now: Micros, answer: &Response) -> CounterResponse {
        (self.used, self.heard) = (now, now);
        let Some(call) = self.waiting.pop_front() else {
            return CounterResponse::Unsolicited;
        };
        // Guards the order: a late answer is matched off to its own call, and its total told to nobody.
        if call.given {
            return CounterResponse::Late {
                engine_index: call.engine_index,
            };
        }
        let (outcome, total) = match (answer.status, total(answer)) {
            (200, Some(total)) => (Outcome::Ok, total),
            // It was added, but what the total is remains unknown.
            (200, None) => (Outcome::TimedOut, 0.0),
            (503, _) => (Outcome::Rejected, 0.0),
            _ => (Outcome::Error, 0.0),
        };
        CounterResponse::Completed(CounterResult {
            total,
            ..call.ended(outcome)
        })
    }

    /// Gives the outcomes of calls whose time is up. One that was never written is withdrawn: nothing is added.
    pub fn expire_calls(&mut self, now: Micros, counted: &mut Vec<CounterResult>) {
        for call in self
            .waiting
            .iter_mut()
            .filter(|call| !call.given && call.deadline <= now)
        {
            call.given = true;
            counted.push(call.ended(Outcome::TimedOut));
        }
        self.unsent.retain(|call| {
            let due = call.deadline <= now;
            if due {
                counted.push(call.ended(Outcome::ConnectFailed));
            }
            !due
        });
    }

    /// The connection is gone. What was written may have been added; what was not never will be.
    pub fn handle_disconnect(&mut self, counted: &mut Vec<CounterResult>) {
        (self.connection, self.up, self.leaving) = (None, false, false);
        let written = self.waiting.drain(..).filter(|call| !call.given);
        counted.extend(written.map(|call| call.ended(Outcome::TimedOut)));
        let unsent = self.unsent.drain(..);
        counted.extend(unsent.map(|call| call.ended(Outcome::ConnectFailed)));
    }
}
