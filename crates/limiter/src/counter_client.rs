//! The client of the counter service: calls are pipelined over a few connections. On each connection responses arrive in
//! the order of the calls, and all calls for one counter use the same connection. No I/O.

use std::collections::VecDeque;
use std::io::Write;

use streamarch::{CounterKey, Micros, Outcome};

use crate::net::framing::Response;
use crate::slots::ConnectionKey;

/// A call whose response has not been received yet.
#[derive(Debug)]
struct PendingCall {
    /// Index of the engine of the host that made the call.
    engine_index: usize,
    key: CounterKey,
    /// Amount to add to the counter.
    amount: f64,
    /// Lifetime of the counter, if the call creates it.
    ttl: Micros,
    deadline: Micros,
    /// When the request was written to the connection.
    written_at: Micros,
    /// The outcome has been reported; a response that still arrives only takes the call off the queue.
    is_reported: bool,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterResult {
    /// Index of the engine of the host that made the call.
    pub engine_index: usize,
    /// The counter.
    pub key: CounterKey,
    /// How the call ended.
    pub outcome: Outcome,
    /// The counter's total after the call if it succeeded, else 0.
    pub total: f64,
}

/// What a response of the counter belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResponse {
    /// A call that was waiting for it; its result.
    Completed(CounterResult),
    /// A call that has timed out, and whose outcome has been reported.
    Late {
        /// Index of the engine of the host that made the call.
        engine_index: usize,
    },
    /// No call: the response was not asked for.
    Unsolicited,
}

impl PendingCall {
    fn result(&self, outcome: Outcome) -> CounterResult {
        CounterResult {
            engine_index: self.engine_index,
            key: self.key,
            outcome,
            total: 0.0,
        }
    }
}

/// The total in a response's body; `None` if it is not a finite number.
fn parse_total(response: &Response) -> Option<f64> {
    let text = std::str::from_utf8(&response.body).ok()?;
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|total| total.is_finite())
}

/// Whether the connection can be used further after this response. After a malformed response no valid one can be expected
/// on it: further calls would only time out, and the counter would be taken for lost.
pub fn is_connection_reusable(response: &Response) -> bool {
    match response.status {
        200 => response.keep_alive && parse_total(response).is_some(),
        status => response.keep_alive && matches!(status, 400 | 404 | 503),
    }
}

/// The calls on one connection to the counter, and its state.
#[derive(Debug, Default)]
pub struct CounterConnection {
    /// The connection, if one is open or being opened.
    pub connection: Option<ConnectionKey>,
    is_connected: bool,
    /// Calls that have not been written.
    unsent: VecDeque<PendingCall>,
    /// Calls that have been written, whose responses are outstanding.
    in_flight: VecDeque<PendingCall>,
    /// When a request was last written or a response last received, or the connection was established.
    last_used_at: Micros,
    /// When a response was last received, or the connection was established.
    last_received_at: Micros,
    /// The counter's address has changed: nothing more is written on this connection.
    is_moving: bool,
}

impl CounterConnection {
    /// Queues a call that adds `amount` to the counter `key`; a counter that it creates lives for `ttl`. The call fails if
    /// it has no response by `deadline`.
    pub fn enqueue(
        &mut self,
        engine_index: usize,
        key: CounterKey,
        amount: f64,
        ttl: Micros,
        deadline: Micros,
    ) {
        self.unsent.push_back(PendingCall {
            engine_index,
            key,
            amount,
            ttl,
            deadline,
            written_at: 0,
            is_reported: false,
        });
    }

    /// The connection has been established.
    pub fn handle_connected(&mut self, now: Micros) {
        (self.is_connected, self.last_used_at, self.last_received_at) = (true, now, now);
    }

    /// Writes the requests of all queued calls to `out`, if the connection is up and not moving.
    pub fn write_requests(&mut self, now: Micros, host: &str, out: &mut Vec<u8>) {
        if !self.is_connected || self.is_moving {
            return;
        }
        while let Some(mut call) = self.unsent.pop_front() {
            (self.last_used_at, call.written_at) = (now, now);
            let ttl_ms = (call.ttl / 1_000).max(1);
            // Writing to a vector cannot fail.
            let _ = write!(
                out,
                "POST /v2/numbers/{}?delta={}&life_ms={ttl_ms} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n",
                call.key.0, call.amount
            );
            self.in_flight.push_back(call);
        }
    }

    /// Begins to move to a new address of the counter. Calls in flight are completed on the old connection first, because
    /// their responses must come before those to later calls for the same counter.
    pub fn begin_move(&mut self) {
        self.is_moving = true;
    }

    /// Completes the move once the outcome of each call in flight has been reported: detaches the old connection and
    /// returns it, if there is one, for closing. Unsent calls are kept for the new connection. `None` if no move is in
    /// progress or calls are outstanding.
    pub fn finish_move(&mut self) -> Option<Option<ConnectionKey>> {
        if !self.is_moving || self.in_flight.iter().any(|call| !call.is_reported) {
            return None;
        }
        (self.is_connected, self.is_moving) = (false, false);
        self.in_flight.clear();
        Some(self.connection.take())
    }

    /// Whether no call is in flight and the connection has not been used since `before`: the counter may be about to close
    /// it.
    pub fn is_idle_since(&self, before: Micros) -> bool {
        self.is_connected && self.in_flight.is_empty() && self.last_used_at <= before
    }

    /// Whether a timed-out call has been in flight since `before` and nothing has been received since then. Requests written
    /// in the meantime do not count as activity: under load a dead connection would otherwise be kept, and its calls fail,
    /// for as long as calls are made.
    pub fn is_silent_since(&self, before: Micros) -> bool {
        let earliest = self.in_flight.front();
        self.is_connected
            && self.last_received_at <= before
            && earliest.is_some_and(|call| call.is_reported && call.written_at <= before)
    }

    /// Whether the earliest call in flight has timed out.
    pub fn has_timed_out_call(&self) -> bool {
        self.in_flight.front().is_some_and(|call| call.is_reported)
    }

    /// Matches a response to the earliest call in flight.
    pub fn handle_response(&mut self, now: Micros, response: &Response) -> CounterResponse {
        (self.last_used_at, self.last_received_at) = (now, now);
        let Some(call) = self.in_flight.pop_front() else {
            return CounterResponse::Unsolicited;
        };
        // A late response must consume its own call, or all later responses would be matched to the wrong calls. Its total
        // is dropped, because the call's outcome has been reported.
        if call.is_reported {
            return CounterResponse::Late {
                engine_index: call.engine_index,
            };
        }
        let (outcome, total) = match (response.status, parse_total(response)) {
            (200, Some(total)) => (Outcome::Ok, total),
            // The amount was added, but the total is unknown.
            (200, None) => (Outcome::TimedOut, 0.0),
            (503, _) => (Outcome::Rejected, 0.0),
            _ => (Outcome::Error, 0.0),
        };
        CounterResponse::Completed(CounterResult {
            total,
            ..call.result(outcome)
        })
    }

    /// Reports the outcomes of calls past their deadline to `results`. A call that was never written is withdrawn, so nothing
    /// is added for it.
    pub fn expire_calls(&mut self, now: Micros, results: &mut Vec<CounterResult>) {
        for call in self
            .in_flight
            .iter_mut()
            .filter(|call| !call.is_reported && call.deadline <= now)
        {
            call.is_reported = true;
            results.push(call.result(Outcome::TimedOut));
        }
        self.unsent.retain(|call| {
            let is_expired = call.deadline <= now;
            if is_expired {
                results.push(call.result(Outcome::ConnectFailed));
            }
            !is_expired
        });
    }

    /// Reports the outcomes of all calls to `results` after the connection was lost: those in flight have timed out, since
    /// their amounts may have been added, and unsent ones could not connect.
    pub fn handle_disconnect(&mut self, results: &mut Vec<CounterResult>) {
        (self.connection, self.is_connected, self.is_moving) = (None, false, false);
        let in_flight = self.in_flight.drain(..).filter(|call| !call.is_reported);
        results.extend(in_flight.map(|call| call.result(Outcome::TimedOut)));
        let unsent = self.unsent.drain(..);
        results.extend(unsent.map(|call| call.result(Outcome::ConnectFailed)));
    }
}
