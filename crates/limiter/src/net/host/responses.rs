//! Responses of the records servers, and streaming the long ones to their clients.

use super::*;

impl Host {
    /// Begins to stream a long response to the client. It is the final one: the attempt counts as successful from here,
    /// and can't be retried.
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
        let (framing, parts) = (incoming.framing, incoming.into_parts());
        let (Some((head, reader, body)), Some(UpstreamPurpose::Attempt(authorisation, attempt))) =
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
        let service_state = &mut self.services[service];
        service_state.attempt_connections.remove(authorisation);
        let is_final = service_state.engine.handle_attempt_ended(
            now,
            authorisation,
            attempt,
            Outcome::Ok,
            report,
        );
        let pending = is_final
            .then(|| self.take_pending((service, authorisation)))
            .flatten();
        let Some(client_key) = pending.map(|pending| pending.connection) else {
            _ = self.close(key);
            return;
        };
        let close = self.closes_after_response(client_key);
        self.discard_request(client_key);
        let Some(client) = self.connections.get_mut(client_key) else {
            return;
        };
        let Role::Client { authorisation, .. } = &mut client.role else {
            return;
        };
        *authorisation = None;
        client.close_when_written = close;
        client.streaming_from = Some(key);
        client.client.begin_response(now);
        let content_type = head
            .headers
            .get("Content-Type")
            .map(|value| ("Content-Type", value));
        let relay = Relay::begin(
            (&head, framing),
            reader,
            &body,
            content_type.into_iter(),
            close,
            &mut client.output,
        );
        self.schedule_client_deadline(client_key);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.read_state = ReadState::Relay(relay, client_key);
        }
        self.deadlines
            .schedule(now + self.limits.relay_idle_timeout, Timer::RelayIdle(key));
        self.forward_relay(key, client_key);
    }

    /// Forwards the received part of a streamed response.
    pub(super) fn forward_relay(&mut self, key: ConnectionKey, client_key: ConnectionKey) {
        let Some([server, client]) = self.connections.get_disjoint_mut([key, client_key]) else {
            return;
        };
        let ReadState::Relay(relay, _) = &mut server.read_state else {
            return;
        };
        match relay.forward(&mut server.input, &mut client.output) {
            Ok(()) => self.flush_relay(key, client_key),
            Err(_) => self.handle_broken_connection(key),
        }
    }

    /// Writes what was forwarded. Once the response is complete the server's connection is released.
    fn flush_relay(&mut self, key: ConnectionKey, client_key: ConnectionKey) {
        let now = self.now();
        let Some([server, client]) = self.connections.get_disjoint_mut([key, client_key]) else {
            return;
        };
        if let (
            ReadState::Relay(relay, _),
            Role::Upstream {
                service,
                server: server_id,
                ..
            },
        ) = (&server.read_state, server.role)
            && relay.is_complete()
        {
            let is_reusable =
                relay.is_reusable() && server.input.is_empty() && server.has_sent_all();
            server.read_state = ReadState::Idle;
            server.role = Role::Upstream {
                service,
                server: server_id,
                state: UpstreamState::Idle,
            };
            client.streaming_from = None;
            if !(is_reusable && self.services[service].pool.release(server_id, key, now)) {
                self.close(key);
            }
        }
        self.flush(client_key);
    }

    /// Reads more of a records server's response: handles it when it is complete, or streams it when it is long.
    pub(super) fn read_records_response(&mut self, key: ConnectionKey, purpose: UpstreamPurpose) {
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
        let (mut incoming, is_first_read) = match std::mem::take(&mut connection.read_state) {
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
            self.end_upstream_request(service, server, purpose, Outcome::Error, None);
            _ = self.close(key);
            return;
        }
        let is_long = incoming.is_body_longer_than(self.limits.max_buffered_body_bytes as u64);
        let stays_open = incoming.head().is_some_and(|head| head.keep_alive);
        match (
            incoming.is_complete(),
            incoming.head().map(|head| head.status),
        ) {
            // The end would be awaited in vain.
            (_, Some(200)) if incoming.ends_at_close() && stays_open => {
                self.end_upstream_request(service, server, purpose, Outcome::Error, None);
                _ = self.close(key);
            }
            (_, Some(200)) if is_long && matches!(purpose, UpstreamPurpose::Attempt(..)) => {
                self.begin_relay(key, incoming)
            }
            (true, _) => self.handle_response(key, purpose, incoming),
            // Of responses other than 200 only the head matters.
            (_, Some(status)) if is_long || status != 200 && incoming.ends_at_close() => {
                self.handle_response(key, purpose, incoming);
                _ = self.close(key);
            }
            _ => {
                connection.read_state = ReadState::Response(incoming);
                // Most responses arrive at once; only for an incomplete one a timer is needed.
                if is_first_read {
                    self.deadlines.schedule(
                        now + self.limits.response_idle_timeout,
                        Timer::ResponseIdle(key, purpose),
                    );
                }
            }
        }
    }

    /// Handles a response that is complete, or as much of it as is needed.
    fn handle_response(
        &mut self,
        key: ConnectionKey,
        purpose: UpstreamPurpose,
        incoming: IncomingMessage<ResponseHead>,
    ) {
        let is_complete = incoming.is_complete();
        let Some((head, _, body)) = incoming.into_parts() else {
            return;
        };
        let response = Response::new(head, body);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service, server, ..
        } = connection.role
        else {
            return;
        };
        let is_reusable = is_complete
            && connection.input.is_empty()
            && response.keep_alive
            && connection.has_sent_all();
        connection.input.clear();
        connection.input.shrink_to(4 * 1024);
        connection.role = Role::Upstream {
            service,
            server,
            state: UpstreamState::Idle,
        };
        self.end_upstream_request(service, server, purpose, Outcome::Reset, Some(response));
        let now = self.now();
        if !(is_reusable && self.services[service].pool.release(server, key, now)) {
            self.close(key);
        }
    }

    /// A server closed its connection in order, which may complete its response.
    pub(super) fn handle_upstream_eof(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream { state, .. } = connection.role else {
            return;
        };
        match (std::mem::take(&mut connection.read_state), state.purpose()) {
            (ReadState::Relay(mut relay, client_key), _) => {
                let Some(client) = self.connections.get_mut(client_key) else {
                    return;
                };
                let is_complete = relay.handle_close(&mut client.output);
                if is_complete {
                    client.streaming_from = None;
                    self.close(key);
                    self.flush(client_key);
                } else if let Some(connection) = self.connections.get_mut(key) {
                    // Truncated: when this connection is closed, the client's is closed as well.
                    connection.read_state = ReadState::Relay(relay, client_key);
                }
            }
            (ReadState::Response(incoming), Some(purpose)) if incoming.ends_at_close() => {
                self.handle_response(key, purpose, incoming);
            }
            _ => {}
        }
    }

    /// Closes the connection of a streamed response if nothing was received within the idle time-out.
    pub(super) fn handle_relay_idle(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let ReadState::Relay(..) = connection.read_state else {
            return;
        };
        // While the client is slow nothing is read from the server, which is not the server's fault. A slow client has
        // its own time-out.
        let deadline = if connection.has_unread {
            now
        } else {
            connection.last_received_at
        } + self.limits.relay_idle_timeout;
        if deadline > now {
            self.deadlines.schedule(deadline, Timer::RelayIdle(key));
        } else {
            self.handle_broken_connection(key);
        }
    }

    /// The client's connection accepts more output: continues to read from the server if the backlog leaves room.
    pub(super) fn resume_relay(&mut self, client_key: ConnectionKey) {
        let Some(connection) = self.connections.get(client_key) else {
            return;
        };
        let has_room = connection.backlog_bytes() < self.limits.relay_window_bytes;
        let has_unread = |key: &ConnectionKey| {
            self.connections
                .get(*key)
                .is_some_and(|server| server.has_unread)
        };
        if let Some(source) = connection
            .streaming_from
            .filter(|key| has_room && has_unread(key))
        {
            self.reread.push(source);
        }
    }

    /// A connection accepts no more output for now.
    pub(super) fn handle_write_blocked(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // While more is forwarded the buffer may never become empty: written bytes are dropped here to bound memory.
        let is_forwarding = connection.streaming_from.is_some() || connection.is_uploading;
        if is_forwarding && connection.written_bytes >= connection.output.len() / 2 {
            connection.output.drain(..connection.written_bytes);
            connection.written_bytes = 0;
        }
        self.resume_relay(key);
        self.resume_upload(key);
    }
}
