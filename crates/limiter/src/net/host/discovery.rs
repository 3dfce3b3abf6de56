//! The watch on discovery, and applying its changes to the list of servers.

use super::framing::{BodyFraming, BodyReader};
use super::*;

impl Host {
    /// Opens a new watch in place of the present one.
    pub(super) fn open_discovery_watch(&mut self) {
        if let Some(old_connection) = self.watch.connection.take() {
            self.close(old_connection);
        }
        self.watch.body = None;
        self.watch.partial_line.clear();
        match self.connect(self.discovery_address, Role::DiscoveryWatch) {
            Ok(key) => self.watch.connection = Some(key),
            Err(_) => self.schedule_watch_retry(),
        }
    }

    /// The watch was lost: schedules a new one after a delay that doubles up to the limit.
    pub(super) fn schedule_watch_retry(&mut self) {
        self.watch.connection = None;
        let at = self.now() + self.watch.retry_delay;
        self.watch.retry_delay =
            (self.watch.retry_delay * 2).min(self.limits.max_watch_retry_delay);
        self.deadlines.schedule(at, Timer::WatchRetry);
    }

    pub(super) fn read_discovery_watch(&mut self, key: ConnectionKey) {
        self.watch.last_received_at = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let mut parsed_bytes = 0;
        let mut is_broken = false;
        if self.watch.body.is_none() {
            match framing::parse_chunked_head(&connection.input, &self.limits) {
                Ok(None) => return,
                Ok(Some((200, head_bytes))) => {
                    // The length of the stream is unbounded; that of each line is bounded.
                    self.watch.body = BodyReader::new(BodyFraming::Chunked, u64::MAX).ok();
                    parsed_bytes = head_bytes;
                }
                Ok(Some(_)) | Err(_) => is_broken = true,
            }
        }
        if let Some(body) = &mut self.watch.body {
            match body.read(
                &connection.input[parsed_bytes..],
                &mut self.watch.partial_line,
            ) {
                Ok(length) => parsed_bytes += length,
                Err(_) => is_broken = true,
            }
            is_broken |= body.is_complete();
        }
        connection.input.drain(..parsed_bytes);
        let mut is_invalid = false;
        while let Some(end) = self.watch.partial_line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.watch.partial_line.drain(..=end).collect();
            match self.routing_table.apply_line(&line) {
                Ok(None) => self.watch.retry_delay = self.limits.watch_retry_delay,
                Ok(Some(update)) => {
                    self.watch.retry_delay = self.limits.watch_retry_delay;
                    self.apply_table_update(update);
                }
                Err(error) => {
                    self.warn(&format!("discovery: {error}"));
                    is_invalid = true;
                    break;
                }
            }
        }
        is_broken |= is_invalid || self.watch.partial_line.len() > self.limits.max_watch_line_bytes;
        if is_broken {
            self.handle_broken_connection(key);
        }
    }

    /// Passes changes of the list to the connection pool and the engine, and closes idle connections that are no
    /// longer wanted.
    pub(super) fn apply_table_update(&mut self, update: TableUpdate) {
        let records = &mut self.services[RECORDS_SERVICE];
        let moved = update
            .addresses
            .into_iter()
            .map(|(server, address)| records.pool.add_server(server, address));
        let mut unwanted: Vec<_> = moved.flatten().collect();
        unwanted.extend(
            update
                .disabled
                .into_iter()
                .flat_map(|server| records.pool.take_out_of_service(server)),
        );
        unwanted.extend(
            update
                .removed
                .into_iter()
                .flat_map(|server| records.pool.remove_server(server)),
        );
        records.engine.update_servers(update.kind, update.entries);
        for key in unwanted {
            self.close(key);
        }
    }
}
