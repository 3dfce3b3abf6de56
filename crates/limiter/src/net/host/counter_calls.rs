//! Calls to the counter, and their responses.

use super::*;
use crate::counter_client::CounterResponse;

impl Host {
    /// Opens the connection to the counter at this index, unless no counter is configured.
    pub(super) fn connect_counter(&mut self, index: usize) {
        let Some(address) = self.counter_address else {
            return;
        };
        match self.connect(address, Role::Counter(index)) {
            Ok(key) => self.counter_connections[index].connection = Some(key),
            Err(_) => {
                let mut results = Vec::new();
                self.counter_connections[index].handle_disconnect(&mut results);
                self.deliver_counter_results(results);
            }
        }
    }

    /// Writes the calls that are queued for this counter connection.
    pub(super) fn write_counter_calls(&mut self, now: Micros, index: usize) {
        let Some(key) = self.counter_connections[index].connection else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = connection.output.len();
        self.counter_connections[index].write_requests(now, "counter", &mut connection.output);
        if connection.output.len() > before {
            self.unflushed.push(key);
        }
    }

    pub(super) fn read_counter_responses(&mut self, key: ConnectionKey, index: usize) {
        let now = self.now();
        let mut results = Vec::new();
        let (mut parsed_bytes, mut is_broken) = (0, false);
        // A response that claims to be longer than any number is rejected: waiting for its end would consume the
        // responses after it.
        let limits = Limits {
            max_buffered_body_bytes: self.limits.max_counter_response_bytes,
            ..self.limits.clone()
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        while parsed_bytes < connection.input.len() {
            match framing::parse_framed_response(&connection.input[parsed_bytes..], &limits) {
                Ok(Some((response, length))) => {
                    parsed_bytes += length;
                    match self.counter_connections[index].handle_response(now, &response) {
                        CounterResponse::Completed(result) => results.push(result),
                        CounterResponse::Late { engine_index } => self.services[engine_index]
                            .engine
                            .handle_late_counter_result(),
                        CounterResponse::Unsolicited => {}
                    }
                    is_broken = !counter_client::is_connection_reusable(&response);
                }
                Ok(None) => break,
                Err(_) => is_broken = true,
            }
            if is_broken {
                break;
            }
        }
        connection.input.drain(..parsed_bytes);
        self.deliver_counter_results(results);
        if is_broken {
            self.handle_broken_connection(key);
        }
        self.close_stalled_counter(index);
        self.reconnect_moved_counter(index);
    }

    /// Closes a counter connection whose next response has begun but did not complete in time: it blocks all responses
    /// after it.
    fn close_stalled_counter(&mut self, index: usize) {
        let has_input = |key| {
            self.connections
                .get(key)
                .is_some_and(|c| !c.input.is_empty())
        };
        if let Some(key) = self.counter_connections[index]
            .connection
            .filter(|key| self.counter_connections[index].has_timed_out_call() && has_input(*key))
        {
            self.handle_broken_connection(key);
        }
    }

    /// Delivers the outcomes of calls whose time-out has passed.
    pub(super) fn expire_counter_calls(&mut self, now: Micros, index: usize) {
        let mut results = Vec::new();
        self.counter_connections[index].expire_calls(now, &mut results);
        self.deliver_counter_results(results);
        self.close_stalled_counter(index);
        self.reconnect_moved_counter(index);
    }

    /// Reconnects to the counter's new address, if that has changed and all calls written to the old one have their
    /// outcomes.
    pub(super) fn reconnect_moved_counter(&mut self, index: usize) {
        if let Some(old_connection) = self.counter_connections[index].finish_move() {
            old_connection
                .into_iter()
                .for_each(|key| _ = self.close(key));
            self.connect_counter(index);
        }
    }

    /// Passes results to the engines of the services that made the calls.
    pub(super) fn deliver_counter_results(&mut self, results: Vec<CounterResult>) {
        for result in results {
            self.services[result.engine_index]
                .engine
                .handle_counter_result(result.key, result.outcome, result.total);
        }
    }
}
