//! Long answers on their way from a server's connection to a client's.

use super::*;

impl Host {
    /// A long answer is the final one: it begins, and goes on as it comes.
    pub(super) fn begin_relay(
        &mut self,
        key: ConnectionKey,
        incoming: IncomingMessage<ResponseHead>,
    ) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service,
            server,
            state,
        } = connection.role
        else {
            return;
        };
        let (extent, parts) = (incoming.framing, incoming.into_parts());
        let (Some((head, reader, come)), Some(UpstreamPurpose::Attempt(authorisation, leg))) =
            (parts, state.purpose())
        else {
            _ = self.close(key);
            return;
        };
        connection.role = Role::Upstream {
            service,
            server,
            state: UpstreamState::Relaying,
        };
        let report = head
            .headers
            .get("Endpoint-Load-Metrics")
            .and_then(probes::parse_load_report);
        let known = &mut self.services[service];
        known.attempt_connections.remove(authorisation);
        let answers =
            known
                .engine
                .handle_attempt_ended(now, authorisation, leg, Outcome::Ok, report);
        let pending = answers
            .then(|| self.take_pending((service, authorisation)))
            .flatten();
        let Some(to) = pending.map(|pending| pending.connection) else {
            _ = self.close(key);
            return;
        };
        let close = self.closes_after_response(to);
        self.discard_request(to);
        let Some(client) = self.connections.get_mut(to) else {
            return;
        };
        let Role::Client { waits, .. } = &mut client.role else {
            return;
        };
        *waits = None;
        client.close_when_written = close;
        client.streaming_from = Some(key);
        client.client.begin_response(now);
        let kind = head
            .headers
            .get("Content-Type")
            .map(|kind| ("Content-Type", kind));
        let relay = Relay::begin(
            (&head, extent),
            reader,
            &come,
            kind.into_iter(),
            close,
            &mut client.output,
        );
        self.schedule_client_deadline(to);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.read_state = ReadState::Relay(relay, to);
        }
        self.deadlines
            .schedule(now + self.limits.relay_idle_timeout, Timer::RelayIdle(key));
        self.forward_relay(key, to);
    }

    /// More has come of an answer that is being relayed.
    pub(super) fn forward_relay(&mut self, key: ConnectionKey, to: ConnectionKey) {
        let Some([server, client]) = self.connections.get_disjoint_mut([key, to]) else {
            return;
        };
        let ReadState::Relay(relay, _) = &mut server.read_state else {
            return;
        };
        match relay.forward(&mut server.input, &mut client.output) {
            Ok(()) => self.flush_relay(key, to),
            Err(_) => self.handle_broken_connection(key),
        }
    }

    /// What has been passed on is written. Where the answer is whole, both connections are free of each other.
    fn flush_relay(&mut self, key: ConnectionKey, to: ConnectionKey) {
        let now = self.now();
        let Some([server, client]) = self.connections.get_disjoint_mut([key, to]) else {
            return;
        };
        if let (
            ReadState::Relay(relay, _),
            Role::Upstream {
                service,
                server: id,
                ..
            },
        ) = (&server.read_state, server.role)
            && relay.is_complete()
        {
            let clean = relay.is_reusable() && server.input.is_empty() && server.has_sent_all();
            server.read_state = ReadState::Idle;
            server.role = Role::Upstream {
                service,
                server: id,
                state: UpstreamState::Idle,
            };
            client.streaming_from = None;
            if !(clean && self.services[service].pool.release(id, key, now)) {
                self.close(key);
            }
        }
        self.flush(to);
    }

    /// More has come of an answer, and what that makes of it.
    pub(super) fn read_records_response(&mut self, key: ConnectionKey, errand: UpstreamPurpose) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service, server, ..
        } = connection.role
        else {
            return;
        };
        let (mut incoming, first) = match std::mem::take(&mut connection.read_state) {
            ReadState::Response(incoming) => (incoming, false),
            _ => (IncomingMessage::default(), true),
        };
        if incoming
            .read(
                &mut connection.input,
                self.limits.max_response_bytes,
                &self.limits,
            )
            .is_err()
        {
            self.end_upstream_request(service, server, errand, Outcome::Error, None);
            _ = self.close(key);
            return;
        }
        let long = incoming.is_body_longer_than(self.limits.max_buffered_body_bytes as u64);
        match (
            incoming.is_complete(),
            incoming.head().map(|head| head.status),
        ) {
            (_, Some(200)) if long && matches!(errand, UpstreamPurpose::Attempt(..)) => {
                self.begin_relay(key, incoming)
            }
            (true, _) => self.handle_response(key, errand, incoming),
            // What else is long says nothing more than its head does.
            (_, Some(_)) if long => {
                self.handle_response(key, errand, incoming);
                _ = self.close(key);
            }
            _ => {
                connection.read_state = ReadState::Response(incoming);
                // Most answers are there at once: the rest is waited for only where some of it is missing.
                if first {
                    self.deadlines.schedule(
                        now + self.limits.response_idle_timeout,
                        Timer::ResponseIdle(key, errand),
                    );
                }
            }
        }
    }

    /// An answer is there, as far as it is wanted.
    fn handle_response(
        &mut self,
        key: ConnectionKey,
        errand: UpstreamPurpose,
        incoming: IncomingMessage<ResponseHead>,
    ) {
        let whole = incoming.is_complete();
        let Some((head, _, body)) = incoming.into_parts() else {
            return;
        };
        let answer = Response::new(head, body);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service, server, ..
        } = connection.role
        else {
            return;
        };
        let clean =
            whole && connection.input.is_empty() && answer.keep_alive && connection.has_sent_all();
        connection.input.clear();
        connection.input.shrink_to(4 * 1024);
        connection.role = Role::Upstream {
            service,
            server,
            state: UpstreamState::Idle,
        };
        self.end_upstream_request(service, server, errand, Outcome::Reset, Some(answer));
        let now = self.now();
        if !(clean && self.services[service].pool.release(server, key, now)) {
            self.close(key);
        }
    }

    /// A server's connection ended in order, which may be the end of its answer.
    pub(super) fn handle_upstream_eof(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream { state, .. } = connection.role else {
            return;
        };
        match (std::mem::take(&mut connection.read_state), state.purpose()) {
            (ReadState::Relay(mut relay, to), _) => {
                let Some(client) = self.connections.get_mut(to) else {
                    return;
                };
                let whole = relay.handle_close(&mut client.output);
                if whole {
                    client.streaming_from = None;
                    self.close(key);
                    self.flush(to);
                } else if let Some(connection) = self.connections.get_mut(key) {
                    // Broken off: that is told on.
                    connection.read_state = ReadState::Relay(relay, to);
                }
            }
            (ReadState::Response(incoming), Some(errand)) if incoming.ends_at_close() => {
                self.handle_response(key, errand, incoming);
            }
            _ => {}
        }
    }

    /// A server may have fallen silent in the midst of an answer.
    pub(super) fn handle_relay_idle(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let ReadState::Relay(..) = connection.read_state else {
            return;
        };
        // Where the client is slow the server is not asked for more; how slow that may be is the client's own limit.
        let until = if connection.has_unread {
            now
        } else {
            connection.last_received_at
        } + self.limits.relay_idle_timeout;
        if until > now {
            self.deadlines.schedule(until, Timer::RelayIdle(key));
        } else {
            self.handle_broken_connection(key);
        }
    }

    /// The client takes in what is being relayed to it: more may be read, where there is room.
    pub(super) fn resume_relay(&mut self, to: ConnectionKey) {
        let Some(connection) = self.connections.get(to) else {
            return;
        };
        let room = connection.backlog_bytes() < self.limits.relay_window_bytes;
        let waits = |key: &ConnectionKey| {
            self.connections
                .get(*key)
                .is_some_and(|server| server.has_unread)
        };
        if let Some(source) = connection.streaming_from.filter(|key| room && waits(key)) {
            self.reread.push(source);
        }
    }

    /// A connection takes in no more for now.
    pub(super) fn handle_write_blocked(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // Guards the memory: what was written must not be held for as long as more is passed on behind it.
        let passes_on = connection.streaming_from.is_some() || connection.is_uploading;
        if passes_on && connection.written_bytes >= connection.output.len() / 2 {
            connection.output.drain(..connection.written_bytes);
            connection.written_bytes = 0;
        }
        self.resume_relay(key);
        self.resume_upload(key);
    }
}
