//! Discovery's watch, and what it brings.

use super::framing::{BodyFraming, BodyReader};
use super::*;

impl Host {
    pub(super) fn open_discovery_watch(&mut self) {
        if let Some(former) = self.watch.connection.take() {
            self.close(former);
        }
        self.watch.body = None;
        self.watch.partial_line.clear();
        match self.connect(self.discovery_address, Role::DiscoveryWatch) {
            Ok(key) => self.watch.connection = Some(key),
            Err(_) => self.schedule_watch_retry(),
        }
    }

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
        let mut at = 0;
        let mut bad = false;
        if self.watch.body.is_none() {
            match framing::parse_chunked_head(&connection.input, &self.limits) {
                Ok(None) => return,
                Ok(Some((200, from))) => {
                    // However long it lasts: what is bounded is each line.
                    self.watch.body = BodyReader::new(BodyFraming::Chunked, u64::MAX).ok();
                    at = from;
                }
                Ok(Some(_)) | Err(_) => bad = true,
            }
        }
        if let Some(stream) = &mut self.watch.body {
            match stream.read(&connection.input[at..], &mut self.watch.partial_line) {
                Ok(taken) => at += taken,
                Err(_) => bad = true,
            }
            bad |= stream.is_complete();
        }
        connection.input.drain(..at);
        let mut ended = false;
        while let Some(end) = self.watch.partial_line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.watch.partial_line.drain(..=end).collect();
            match self.routing_table.apply_line(&line) {
                Ok(None) => self.watch.retry_delay = self.limits.watch_retry_delay,
                Ok(Some(news)) => {
                    self.watch.retry_delay = self.limits.watch_retry_delay;
                    self.apply_table_update(news);
                }
                Err(error) => {
                    self.warn(&format!("discovery: {error}"));
                    ended = true;
                    break;
                }
            }
        }
        bad |= ended || self.watch.partial_line.len() > self.limits.max_watch_line_bytes;
        if bad {
            self.handle_broken_connection(key);
        }
    }

    pub(super) fn apply_table_update(&mut self, news: TableUpdate) {
        let records = &mut self.services[RECORDS_SERVICE];
        let listed = news
            .addresses
            .into_iter()
            .map(|(server, address)| records.pool.add_server(server, address));
        let mut idle: Vec<_> = listed.flatten().collect();
        idle.extend(
            news.disabled
                .into_iter()
                .flat_map(|server| records.pool.take_out_of_service(server)),
        );
        idle.extend(
            news.removed
                .into_iter()
                .flat_map(|server| records.pool.remove_server(server)),
        );
        records.engine.update_servers(news.kind, news.entries);
        for key in idle {
            self.close(key);
        }
    }
}
