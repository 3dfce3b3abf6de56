//! The acquirer side: connections of clients, their requests and the final answers.

use std::net::Shutdown;

use super::*;
use crate::engine::{Authorisation, EngineRejection};
use crate::net::framing::Request;

impl Host {
    pub(super) fn accept_clients(&mut self) {
        for at in 0..self.listeners.len() {
            while self.is_accepting && self.accept_client(at) {}
        }
    }

    /// Takes one connection; false if there is none to take.
    fn accept_client(&mut self, at: usize) -> bool {
        // One more than the most is taken, so that none has to go before another is there.
        let full = |host: &Host| host.client_count > host.limits.max_client_connections;
        if full(self) && !self.evict_for_new_client() {
            return false;
        }
        let (door, listener, _) = &self.listeners[at];
        let role = Role::Client {
            door: *door,
            waits: None,
        };
        match listener.accept() {
            Ok((stream, _)) => {
                let ready = stream
                    .set_nonblocking(true)
                    .and_then(|()| stream.set_nodelay(true));
                match ready.and_then(|()| self.register_connection(stream, role, true)) {
                    Ok(key) => {
                        self.client_count += 1;
                        self.schedule_client_deadline(key);
                    }
                    Err(error) => self.warn(&format!("cannot take a connection: {error}")),
                }
                !full(self) || self.evict_for_new_client()
            }
            Err(error) => {
                let passing = [io::ErrorKind::WouldBlock, io::ErrorKind::ConnectionAborted];
                if !passing.contains(&error.kind()) {
                    self.warn(&format!("cannot accept: {error}"));
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

    /// At the most connections the one that can best be spared makes room. Else new ones wait with the system until
    /// one ends, or can be spared. True if there is room.
    fn evict_for_new_client(&mut self) -> bool {
        let now = self.now();
        loop {
            let acquirers = self
                .connections
                .iter()
                .filter(|(_, c)| matches!(c.role, Role::Client { .. }));
            let spared = acquirers
                .filter_map(|(key, c)| Some((c.client.eviction_rank(now, &self.limits)?, key)));
            let Some((rank, key)) = spared.min() else {
                break;
            };
            // Guards a request that is there already, but not read.
            self.read_connection(key);
            let still = |c: &Connection| c.client.eviction_rank(now, &self.limits) == Some(rank);
            if self.connections.get(key).is_none_or(still) {
                self.close(key);
                return true;
            }
        }
        if now - self.accept_pause_logged_at >= self.limits.accept_pause_log_interval {
            self.accept_pause_logged_at = now;
            self.warn("at the most connections: accepting paused");
        }
        self.pause_accepting();
        self.deadlines
            .schedule(now + self.limits.accept_retry_delay, Timer::RetryAccept);
        false
    }

    /// Guards against a loop that spins on a listener whose connections it cannot take.
    fn pause_accepting(&mut self) {
        for (_, _, token) in &self.listeners {
            self.is_accepting &= self.loop_handle.disable(token).is_err();
        }
    }

    pub(super) fn resume_accepting(&mut self) {
        if !self.is_accepting {
            self.is_accepting = self
                .listeners
                .iter()
                .all(|(_, _, token)| self.loop_handle.enable(token).is_ok());
        }
    }

    /// Sees to it that the connection is looked at when its time is up. One entry serves it for as long as its
    /// deadline only moves on.
    pub(super) fn schedule_client_deadline(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let closing = self
            .lifecycle
            .should_close_idle(self.clock.now(), &self.limits);
        let at = connection.client.deadline(closing, &self.limits);
        if let Some(at) = at.filter(|at| *at < connection.timer_at) {
            connection.timer_at = at;
            self.deadlines.schedule(at, Timer::Client(key));
        }
    }

    /// A connection may have been as it is for too long.
    pub(super) fn handle_client_deadline(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.timer_at = Micros::MAX;
        let closing = self.lifecycle.should_close_idle(now, &self.limits);
        let over = |c: &Connection, limits: &Limits| {
            c.client
                .deadline(closing, limits)
                .is_some_and(|at| at <= now)
        };
        if over(connection, &self.limits) {
            // What is there already is taken, not lost to the close.
            self.read_connection(key);
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !over(connection, &self.limits) {
            return self.schedule_client_deadline(key);
        }
        let late = Rejection {
            status: 408,
            text: "the request did not come whole in time",
        };
        match connection.client.stage {
            Stage::Receiving => self.respond_rejection(key, &late, true),
            // Where the server is slow the client is not asked for more.
            Stage::Processing if connection.active_upload().is_some() && connection.has_unread => {
                connection.client.restart_body_timer(now);
                self.schedule_client_deadline(key);
            }
            Stage::Processing if connection.active_upload().is_some() => {
                self.reject_upload(key, &late)
            }
            Stage::Idle | Stage::Lingering => _ = self.close(key),
            // A client that takes nothing in has gone away.
            Stage::Processing | Stage::Responding => self.handle_broken_connection(key),
        }
    }

    /// An answer is written whole: the connection is free for the next request, or ends.
    pub(super) fn handle_response_written(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let closing = connection.close_when_written;
        let more = connection.has_unread || !connection.input.is_empty();
        connection.client.finish_response(now, closing);
        if closing && !more {
            self.close(key);
            return;
        }
        if closing {
            // Guards the answer: a close with input unread would reset the connection, and the client might never
            // read why. It is told the end, and what it still sends is thrown away for a while.
            if connection.stream.shutdown(Shutdown::Write).is_err() {
                self.close(key);
                return;
            }
            self.discard_input(key, usize::MAX);
        }
        self.schedule_client_deadline(key);
        if more {
            self.reread.push(key);
        }
    }

    /// Takes what has been read off a connection's input.
    fn discard_input(&mut self, key: ConnectionKey, length: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let length = length.min(connection.input.len());
        connection.input.drain(..length);
        connection.input.shrink_to(connection.input.len().max(1024));
        self.buffered_bytes -= length;
    }

    pub(super) fn read_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // One request at a time: what comes while one is out waits.
        let Role::Client { door, .. } = connection.role else {
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
        let before = connection.buffered_bytes();
        let mut incoming = match std::mem::take(&mut connection.read_state) {
            ReadState::Request(incoming) => incoming,
            _ => IncomingMessage::default(),
        };
        let read = incoming.read(
            &mut connection.input,
            self.limits.max_request_bytes,
            &self.limits,
        );
        if let Err(malformed) = read {
            self.buffered_bytes -= before - connection.buffered_bytes();
            let rejection = Rejection {
                status: malformed.status(),
                text: "malformed",
            };
            return self.respond_rejection(key, &rejection, true);
        }
        if !incoming.is_complete() {
            let (waits, length) = (
                incoming.head().map(|head| head.expects_continue),
                incoming.received_body_bytes,
            );
            connection.client.begin_request(now);
            if waits.is_some() {
                connection.client.record_body_progress(now, length);
            }
            let long = incoming.is_body_longer_than(self.limits.max_buffered_request_bytes);
            // Or all that clients have under way is more than may be held.
            let crowded = length > self.limits.max_buffered_body_bytes as u64
                && self.buffered_bytes > self.limits.max_pending_request_bytes;
            if waits == Some(true)
                && length == 0
                && !std::mem::replace(&mut connection.continue_sent, true)
            {
                connection
                    .output
                    .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                self.unflushed.push(key);
            }
            if waits.is_some() && (long || crowded) {
                self.buffered_bytes -= before - connection.buffered_bytes();
                return self.begin_upload(key, incoming);
            }
            connection.read_state = ReadState::Request(incoming);
            self.buffered_bytes -= before - connection.buffered_bytes();
            return self.schedule_client_deadline(key);
        }
        connection.continue_sent = false;
        self.buffered_bytes -= before - connection.buffered_bytes();
        let Some((head, _, body)) = incoming.into_parts() else {
            return;
        };
        let request = Request::new(head, body);
        connection.close_after_response = !request.keep_alive;
        if request.method == "GET" && request.target == "/up" {
            let serving = self.lifecycle.is_serving() && self.routing_table.has_usable_server();
            let (status, text): (u16, &[u8]) = if serving {
                (200, b"up\n")
            } else {
                (503, b"not serving\n")
            };
            return self.respond(key, status, &[], text);
        }
        match door {
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

    /// Hands an authorisation to an engine; the connection waits for its final answer.
    pub(super) fn submit_authorisation(
        &mut self,
        key: ConnectionKey,
        service: usize,
        authorisation: Authorisation,
        forward: UpstreamRequest,
        purpose: RequestKind,
    ) {
        // Guards the rule on duplicates: servers would run a second request under an id that is out as a copy of
        // the first, and drop or answer one for the other.
        if self.open_request_ids.contains(&forward.request_id) {
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
        let known = &mut self.services[service];
        match known.engine.submit(now, authorisation) {
            Ok(authorisation) => {
                if !forward.request_id.is_empty() {
                    self.open_request_ids.insert(forward.request_id.clone());
                }
                self.buffered_bytes += forward.body.len();
                known.pending.insert(
                    authorisation,
                    PendingRequest {
                        connection: key,
                        forward,
                        kind: purpose,
                    },
                );
                if let Some(connection) = self.connections.get_mut(key)
                    && let Role::Client { waits, .. } = &mut connection.role
                {
                    *waits = Some((service, authorisation));
                    connection.client.begin_processing(now);
                }
            }
            Err(_) => self.respond_retry_later(key, 503, self.limits.default_retry_after, &[], b""),
        }
    }

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

    /// The request is answered: what is here of it is of no more use.
    pub(super) fn discard_request(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = connection.buffered_bytes();
        connection.read_state = ReadState::Idle;
        self.buffered_bytes -= before - connection.buffered_bytes();
    }

    /// Whether a client's next answer is the last of its connection.
    pub(super) fn closes_after_response(&self, key: ConnectionKey) -> bool {
        // Guards requests of clients whose idle connections would be closed for room: where it is scarce they are told
        // that this answer is the last, and write no other into a connection that is being closed.
        let scarce = self.client_count > self.limits.max_persistent_connections;
        let last = |connection: &Connection| {
            connection.close_after_response || connection.active_upload().is_some()
        };
        let asked = self.connections.get(key).is_some_and(last);
        asked
            || scarce
            || self
                .lifecycle
                .should_close_after_response(self.now(), &self.limits)
    }

    /// Writes an answer to a client; the connection is then free for the next request.
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
        let Role::Client { waits, .. } = &mut connection.role else {
            return;
        };
        *waits = None;
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

    /// An answer that tells when to come back.
    pub(super) fn respond_retry_later(
        &mut self,
        key: ConnectionKey,
        status: u16,
        stay_away: Micros,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let stay = format!("{}.{:06}", stay_away / 1_000_000, stay_away % 1_000_000);
        let mut all = headers.to_vec();
        if stay_away > 0 {
            all.push(("Retry-After", &stay));
        }
        self.respond(key, status, &all, body);
    }

    /// The final answer of an authorisation is no longer owed.
    pub(super) fn take_pending(&mut self, ticket: AuthorisationRef) -> Option<PendingRequest> {
        let pending = self.services[ticket.0].pending.remove(ticket.1)?;
        self.open_request_ids.remove(&pending.forward.request_id);
        self.buffered_bytes -= pending.forward.body.len();
        Some(pending)
    }

    /// The final answer of an authorisation that no server's answer ends.
    pub(super) fn handle_engine_rejection(
        &mut self,
        ticket: AuthorisationRef,
        ending: EngineRejection,
    ) {
        let Some(pending) = self.take_pending(ticket) else {
            return;
        };
        match pending.kind {
            RequestKind::Platform => {
                let (status, stay_away) = platform::rejection_status(ending);
                self.respond_retry_later(pending.connection, status, stay_away, &[], b"");
            }
            purpose => self.reject_introspection(pending.connection, purpose, ending),
        }
    }

    /// The final answer of an authorisation that a server gave.
    pub(super) fn respond_served(&mut self, ticket: AuthorisationRef, answer: Response) {
        let Some(pending) = self.take_pending(ticket) else {
            return;
        };
        match pending.kind {
            RequestKind::Platform | RequestKind::Bearer => {
                let kind = answer
                    .headers
                    .get("Content-Type")
                    .map(|kind| ("Content-Type", kind));
                self.respond(pending.connection, 200, kind.as_slice(), &answer.body);
            }
            purpose => self.handle_introspection_response(pending.connection, purpose, &answer),
        }
    }
}
