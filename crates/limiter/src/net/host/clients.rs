//! Connections of clients, their requests, and the final responses.

use std::net::Shutdown;

use super::*;
use crate::engine::{Authorisation, EngineRejection};
use crate::net::framing::Request;

impl Host {
    /// Accepts the connections that are waiting on all listeners.
    pub(super) fn accept_clients(&mut self) {
        for index in 0..self.listeners.len() {
            while self.is_accepting && self.accept_client(index) {}
        }
    }

    /// Accepts one connection. Returns whether more may be accepted.
    fn accept_client(&mut self, index: usize) -> bool {
        // One connection above the limit is accepted, so that none is evicted before another has arrived.
        let is_over_limit = |host: &Host| host.client_count > host.limits.max_client_connections;
        if is_over_limit(self) && !self.evict_for_new_client() {
            return false;
        }
        let (listener_kind, listener, _) = &self.listeners[index];
        let role = Role::Client {
            listener: *listener_kind,
            authorisation: None,
        };
        match listener.accept() {
            Ok((stream, _)) => {
                let configured = stream
                    .set_nonblocking(true)
                    .and_then(|()| stream.set_nodelay(true));
                match configured.and_then(|()| self.register_connection(stream, role, true)) {
                    Ok(key) => {
                        self.client_count += 1;
                        self.schedule_client_deadline(key);
                    }
                    Err(error) => self.warn(&format!("cannot register client connection: {error}")),
                }
                !is_over_limit(self) || self.evict_for_new_client()
            }
            Err(error) => {
                let transient = [io::ErrorKind::WouldBlock, io::ErrorKind::ConnectionAborted];
                if !transient.contains(&error.kind()) {
                    self.warn(&format!("cannot accept connections: {error}"));
                    self.pause_accepting();
                    self.deadlines.schedule(
                        self.now() + self.limits.accept_retry_delay,
                        Timer::RetryAccept,
                    );
                }
                false
            }
        }
    }

    /// Evicts the connection that ranks first for eviction. If none can be evicted, accepting pauses until a
    /// connection is closed or the retry delay is over; new connections wait in the listen queue. Returns whether
    /// there is room.
    fn evict_for_new_client(&mut self) -> bool {
        let now = self.now();
        loop {
            let clients = self
                .connections
                .iter()
                .filter(|(_, c)| matches!(c.role, Role::Client { .. }));
            let candidates = clients
                .filter_map(|(key, c)| Some((c.client.eviction_rank(now, &self.limits)?, key)));
            let Some((rank, key)) = candidates.min() else {
                break;
            };
            // A request may have arrived on it that was not read yet; the close would lose it.
            self.read_connection(key);
            let is_unchanged =
                |c: &Connection| c.client.eviction_rank(now, &self.limits) == Some(rank);
            if self.connections.get(key).is_none_or(is_unchanged) {
                self.close(key);
                return true;
            }
        }
        if now - self.accept_pause_logged_at >= self.limits.accept_pause_log_interval {
            self.accept_pause_logged_at = now;
            self.warn("client connection limit reached: accepting paused");
        }
        self.pause_accepting();
        self.deadlines
            .schedule(now + self.limits.accept_retry_delay, Timer::RetryAccept);
        false
    }

    /// Stops polling the listeners: the event loop would spin on a listener with connections that can't be accepted.
    fn pause_accepting(&mut self) {
        for (_, _, registration) in &self.listeners {
            self.is_accepting &= self.loop_handle.disable(registration).is_err();
        }
    }

    /// Polls the listeners again if accepting is paused.
    pub(super) fn resume_accepting(&mut self) {
        if !self.is_accepting {
            self.is_accepting = self
                .listeners
                .iter()
                .all(|(_, _, registration)| self.loop_handle.enable(registration).is_ok());
        }
    }

    /// Schedules a timer for the connection's deadline if it is earlier than the scheduled one. While the deadline only
    /// moves later, one timer is enough: it is scheduled again when it fires.
    pub(super) fn schedule_client_deadline(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let closes_idle = self
            .lifecycle
            .should_close_idle(self.clock.now(), &self.limits);
        let deadline = connection.client.deadline(closes_idle, &self.limits);
        if let Some(at) = deadline.filter(|at| *at < connection.timer_at) {
            connection.timer_at = at;
            self.deadlines.schedule(at, Timer::Client(key));
        }
    }

    /// The connection's timer has fired: closes it or rejects its request if its deadline has passed.
    pub(super) fn handle_client_deadline(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.timer_at = Micros::MAX;
        let closes_idle = self.lifecycle.should_close_idle(now, &self.limits);
        let is_overdue = |c: &Connection, limits: &Limits| {
            c.client
                .deadline(closes_idle, limits)
                .is_some_and(|at| at <= now)
        };
        if is_overdue(connection, &self.limits) {
            // Input that has already arrived is processed; the close would lose it.
            self.read_connection(key);
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !is_overdue(connection, &self.limits) {
            return self.schedule_client_deadline(key);
        }
        let request_timeout = Rejection {
            status: 408,
            text: "the request did not come whole in time",
        };
        match connection.client.stage {
            Stage::Receiving => self.respond_rejection(key, &request_timeout, true),
            // The body was not read because the server is slow, which is not the client's fault.
            Stage::Processing if connection.active_upload().is_some() && connection.has_unread => {
                connection.client.restart_body_timer(now);
                self.schedule_client_deadline(key);
            }
            Stage::Processing if connection.active_upload().is_some() => {
                self.reject_upload(key, &request_timeout)
            }
            Stage::Idle | Stage::Lingering => _ = self.close(key),
            // A client that reads nothing counts as disconnected.
            Stage::Processing | Stage::Responding => self.handle_broken_connection(key),
        }
    }

    /// A response is completely written: the connection is free for the next request, or closes.
    pub(super) fn handle_response_written(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let is_closing = connection.close_when_written;
        let has_input = connection.has_unread || !connection.input.is_empty();
        connection.client.finish_response(now, is_closing);
        if is_closing && !has_input {
            self.close(key);
            return;
        }
        if is_closing {
            // A close with unread input would reset the connection, and the client might lose the response. Only the
            // write side is shut down, and further input is discarded until the linger time-out.
            if connection.stream.shutdown(Shutdown::Write).is_err() {
                self.close(key);
                return;
            }
            self.discard_input(key, usize::MAX);
        }
        self.schedule_client_deadline(key);
        if has_input {
            self.reread.push(key);
        }
    }

    /// Discards up to `length` bytes of a connection's input buffer.
    fn discard_input(&mut self, key: ConnectionKey, length: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let length = length.min(connection.input.len());
        connection.input.drain(..length);
        connection.input.shrink_to(connection.input.len().max(1024));
        self.buffered_bytes -= length;
    }

    /// Reads a client's input: the next request, or more of the body that is being uploaded.
    pub(super) fn read_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // One request at a time: input that arrives while a request is in progress waits.
        let Role::Client {
            listener: listener_kind,
            ..
        } = connection.role
        else {
            return;
        };
        if connection.active_upload().is_some() {
            return self.read_upload(key);
        }
        if connection.close_when_written
            || !matches!(connection.client.stage, Stage::Idle | Stage::Receiving)
        {
            return;
        }
        let bytes_before = connection.buffered_bytes();
        let mut incoming = match std::mem::take(&mut connection.read_state) {
            ReadState::Request(incoming) => incoming,
            _ => IncomingMessage::default(),
        };
        let result = incoming.read(
            &mut connection.input,
            self.limits.max_request_bytes,
            &self.limits,
        );
        if let Err(error) = result {
            self.buffered_bytes -= bytes_before - connection.buffered_bytes();
            let rejection = Rejection {
                status: error.status(),
                text: "malformed",
            };
            return self.respond_rejection(key, &rejection, true);
        }
        if !incoming.is_complete() {
            // `Some` once the head is complete.
            let (expects_continue, received_body_bytes) = (
                incoming.head().map(|head| head.expects_continue),
                incoming.received_body_bytes,
            );
            connection.client.begin_request(now);
            if expects_continue.is_some() {
                connection
                    .client
                    .record_body_progress(now, received_body_bytes);
            }
            let is_long = incoming.is_body_longer_than(self.limits.max_buffered_request_bytes);
            // Shorter bodies are streamed as well while all clients' requests exceed the buffer limit.
            let is_memory_short = received_body_bytes > self.limits.max_buffered_body_bytes as u64
                && self.buffered_bytes > self.limits.max_pending_request_bytes;
            if expects_continue == Some(true)
                && received_body_bytes == 0
                && !std::mem::replace(&mut connection.continue_sent, true)
            {
                connection
                    .output
                    .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                self.unflushed.push(key);
            }
            if expects_continue.is_some() && (is_long || is_memory_short) {
                self.buffered_bytes -= bytes_before - connection.buffered_bytes();
                return self.begin_upload(key, incoming);
            }
            connection.read_state = ReadState::Request(incoming);
            self.buffered_bytes -= bytes_before - connection.buffered_bytes();
            return self.schedule_client_deadline(key);
        }
        connection.continue_sent = false;
        self.buffered_bytes -= bytes_before - connection.buffered_bytes();
        let Some((head, _, body)) = incoming.into_parts() else {
            return;
        };
        let request = Request::new(head, body);
        connection.close_after_response = !request.keep_alive;
        if request.method == "GET" && request.target == "/up" {
            let is_serving = self.lifecycle.is_serving() && self.routing_table.has_usable_server();
            let (status, text): (u16, &[u8]) = if is_serving {
                (200, b"up\n")
            } else {
                (503, b"not serving\n")
            };
            return self.respond(key, status, &[], text);
        }
        match listener_kind {
            ListenerKind::Platform => {}
            ListenerKind::Introspection => return self.read_bearer_request(now, key, request),
            ListenerKind::Cluster => return self.read_cluster_request(key, &request),
        }
        match self.platform.parse_request(&request, &self.limits, now) {
            Ok(authorisation) => {
                self.submit_authorisation(
                    key,
                    RECORDS_SERVICE,
                    authorisation,
                    UpstreamRequest::from_request(&request),
                    RequestKind::Platform,
                );
            }
            Err(rejection) => self.respond_rejection(key, &rejection, false),
        }
    }

    /// Submits an authorisation to the engine of a service; the connection waits for its final response.
    pub(super) fn submit_authorisation(
        &mut self,
        key: ConnectionKey,
        service: usize,
        authorisation: Authorisation,
        upstream_request: UpstreamRequest,
        purpose: RequestKind,
    ) {
        // Servers take a second request with the id of an open one for a copy of the first, and would drop one or
        // answer it with the other's response.
        if self.open_request_ids.contains(&upstream_request.request_id) {
            return self.respond_rejection(
                key,
                &Rejection {
                    status: 409,
                    text: "X-Trace-Id is that of an open request",
                },
                false,
            );
        }
        let now = self.now();
        let service_state = &mut self.services[service];
        match service_state.engine.submit(now, authorisation) {
            Ok(authorisation_key) => {
                if !upstream_request.request_id.is_empty() {
                    self.open_request_ids
                        .insert(upstream_request.request_id.clone());
                }
                self.buffered_bytes += upstream_request.body.len();
                service_state.pending.insert(
                    authorisation_key,
                    PendingRequest {
                        connection: key,
                        upstream_request,
                        kind: purpose,
                    },
                );
                if let Some(connection) = self.connections.get_mut(key)
                    && let Role::Client { authorisation, .. } = &mut connection.role
                {
                    *authorisation = Some((service, authorisation_key));
                    connection.client.begin_processing(now);
                }
            }
            Err(_) => self.respond_retry_later(key, 503, self.limits.default_retry_after, &[], b""),
        }
    }

    /// Writes a rejection to a client. `close`: the connection is closed after it.
    pub(super) fn respond_rejection(
        &mut self,
        key: ConnectionKey,
        rejection: &Rejection,
        close: bool,
    ) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.close_after_response |= close;
        }
        self.respond(key, rejection.status, &[], rejection.text.as_bytes());
    }

    /// Discards the buffered part of a request that is being answered.
    pub(super) fn discard_request(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let bytes_before = connection.buffered_bytes();
        connection.read_state = ReadState::Idle;
        self.buffered_bytes -= bytes_before - connection.buffered_bytes();
    }

    /// Whether a client's connection is closed after the next response.
    pub(super) fn closes_after_response(&self, key: ConnectionKey) -> bool {
        // Above this many connections idle ones are likely to be evicted. Announcing the close with the response keeps
        // the client from sending its next request on a connection that is being closed.
        let is_crowded = self.client_count > self.limits.max_persistent_connections;
        let must_close = |connection: &Connection| {
            connection.close_after_response || connection.active_upload().is_some()
        };
        let connection_must_close = self.connections.get(key).is_some_and(must_close);
        connection_must_close
            || is_crowded
            || self
                .lifecycle
                .should_close_after_response(self.now(), &self.limits)
    }

    /// Writes a response to a client; the connection is then free for the next request.
    pub(super) fn respond(
        &mut self,
        key: ConnectionKey,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let now = self.now();
        let close = self.closes_after_response(key);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Client { authorisation, .. } = &mut connection.role else {
            return;
        };
        *authorisation = None;
        self.discard_request(key);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        framing::write_response(&mut connection.output, status, headers, body, close);
        connection.close_when_written = close;
        connection.client.begin_response(now);
        self.unflushed.push(key);
        self.schedule_client_deadline(key);
    }

    /// Writes a response to a client with a `Retry-After` field in seconds, unless `retry_after` is 0.
    pub(super) fn respond_retry_later(
        &mut self,
        key: ConnectionKey,
        status: u16,
        retry_after: Micros,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let seconds = format!("{}.{:06}", retry_after / 1_000_000, retry_after % 1_000_000);
        let mut all_headers = headers.to_vec();
        if retry_after > 0 {
            all_headers.push(("Retry-After", &seconds));
        }
        self.respond(key, status, &all_headers, body);
    }

    /// Removes the pending request of an authorisation whose final response is no longer owed.
    pub(super) fn take_pending(
        &mut self,
        authorisation: AuthorisationRef,
    ) -> Option<PendingRequest> {
        let pending = self.services[authorisation.0]
            .pending
            .remove(authorisation.1)?;
        self.open_request_ids
            .remove(&pending.upstream_request.request_id);
        self.buffered_bytes -= pending.upstream_request.body.len();
        Some(pending)
    }

    /// Responds to the client of an authorisation that the engine rejected.
    pub(super) fn handle_engine_rejection(
        &mut self,
        authorisation: AuthorisationRef,
        rejection: EngineRejection,
    ) {
        let Some(pending) = self.take_pending(authorisation) else {
            return;
        };
        match pending.kind {
            RequestKind::Platform => {
                let (status, retry_after) = platform::rejection_status(rejection);
                self.respond_retry_later(pending.connection, status, retry_after, &[], b"");
            }
            kind => self.reject_introspection(pending.connection, kind, rejection),
        }
    }

    /// Responds to the client of an authorisation with a server's successful response.
    pub(super) fn respond_served(&mut self, authorisation: AuthorisationRef, response: Response) {
        let Some(pending) = self.take_pending(authorisation) else {
            return;
        };
        match pending.kind {
            RequestKind::Platform | RequestKind::Bearer => {
                let content_type = response
                    .headers
                    .get("Content-Type")
                    .map(|value| ("Content-Type", value));
                self.respond(
                    pending.connection,
                    200,
                    content_type.as_slice(),
                    &response.body,
                );
            }
            kind => self.handle_introspection_response(pending.connection, kind, &response),
        }
    }
}
