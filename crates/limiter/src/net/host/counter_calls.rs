//! Calls to the counter, and their answers.

use super::*;
use crate::counter_client::CounterResponse;

impl Host {
    pub(super) fn connect_counter(&mut self, line: usize) {
        let Some(address) = self.counter_address else {
            return;
        };
        match self.connect(address, Role::Counter(line)) {
            Ok(key) => self.counter_connections[line].connection = Some(key),
            Err(_) => {
                let mut counted = Vec::new();
                self.counter_connections[line].handle_disconnect(&mut counted);
                self.deliver_counter_results(counted);
            }
        }
    }

    pub(super) fn write_counter_calls(&mut self, now: Micros, line: usize) {
        let Some(key) = self.counter_connections[line].connection else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = connection.output.len();
        self.counter_connections[line].write_requests(now, "counter", &mut connection.output);
        if connection.output.len() > before {
            self.unflushed.push(key);
        }
    }

    pub(super) fn read_counter_responses(&mut self, key: ConnectionKey, line: usize) {
        let now = self.now();
        let mut counted = Vec::new();
        let (mut at, mut bad) = (0, false);
        // Guards against an answer that claims to be longer than any number: it would swallow those behind it.
        let limits = Limits {
            max_buffered_body_bytes: self.limits.max_counter_response_bytes,
            ..self.limits.clone()
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        while at < connection.input.len() {
            match framing::parse_framed_response(&connection.input[at..], &limits) {
                Ok(Some((answer, length))) => {
                    at += length;
                    match self.counter_connections[line].handle_response(now, &answer) {
                        CounterResponse::Completed(one) => counted.push(one),
                        CounterResponse::Late {
                            engine_index: asker,
                        } => self.services[asker].engine.handle_late_counter_result(),
                        CounterResponse::Unsolicited => {}
                    }
                    bad = !counter_client::is_connection_reusable(&answer);
                }
                Ok(None) => break,
                Err(_) => bad = true,
            }
            if bad {
                break;
            }
        }
        connection.input.drain(..at);
        self.deliver_counter_results(counted);
        if bad {
            self.handle_broken_connection(key);
        }
        self.close_stalled_counter(line);
        self.reconnect_moved_counter(line);
    }

    /// Where an answer has begun and does not end in time, nothing more will be heard on its connection.
    fn close_stalled_counter(&mut self, line: usize) {
        let begun = |key| {
            self.connections
                .get(key)
                .is_some_and(|c| !c.input.is_empty())
        };
        if let Some(key) = self.counter_connections[line]
            .connection
            .filter(|key| self.counter_connections[line].has_timed_out_call() && begun(*key))
        {
            self.handle_broken_connection(key);
        }
    }

    /// Gives the outcomes of a line's calls whose time is up.
    pub(super) fn expire_counter_calls(&mut self, now: Micros, line: usize) {
        let mut counted = Vec::new();
        self.counter_connections[line].expire_calls(now, &mut counted);
        self.deliver_counter_results(counted);
        self.close_stalled_counter(line);
        self.reconnect_moved_counter(line);
    }

    /// A line whose counter has moved goes on at the new address as soon as its written calls have their outcomes.
    pub(super) fn reconnect_moved_counter(&mut self, line: usize) {
        if let Some(former) = self.counter_connections[line].finish_move() {
            former.into_iter().for_each(|key| _ = self.close(key));
            self.connect_counter(line);
        }
    }

    pub(super) fn deliver_counter_results(&mut self, counted: Vec<CounterResult>) {
        for one in counted {
            self.services[one.engine_index]
                .engine
                .handle_counter_result(one.name, one.outcome, one.total);
        }
    }
}
