//! Connections to servers: opened, reused and closed, and the responses that arrive on them.

use dataplane::engine::EngineRejection;
use protocol::connections::Connection;
use protocol::items::Idempotency;

use super::*;
use crate::response_class::{
    ResponseHandling, choose_handling, classify, parse_keep_alive_timeout,
};

/// Bytes read of a response at a time: enough for a short response together with its head.
pub(super) const READ_WINDOW_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES + 16 * 1024;
/// Most connections to servers, including idle ones.
const MAX_UPSTREAMS: usize = 1_000;
/// An idle connection is closed this long before its server would do so.
const UPSTREAM_KEEP_ALIVE_MARGIN: Micros = 1_500 * MS;

impl UpstreamConnection {
    fn new(opened_at: Micros, server: ServerId, purpose: UpstreamPurpose) -> UpstreamConnection {
        UpstreamConnection {
            server,
            opened_at,
            state: UpstreamState::Connecting(purpose),
            incoming: IncomingMessage::default(),
            response_class: None,
            expects_no_body: false,
            reusable_until: 0,
            response_stream: None,
            is_uploading: false,
            bytes_sent_before: 0,
            had_response_without_id: false,
        }
    }
}

/// Classifies a response by its head; `None` if its request no longer exists.
fn classify_for_purpose(
    purpose: UpstreamPurpose,
    head: &ResponseHead,
    requests: &SlotMap<RequestKey, Request>,
) -> Option<ResponseClass> {
    match purpose {
        // A health check has no request id: a response with an id is a second one to an earlier
        // request.
        UpstreamPurpose::Probe(_) if head.headers.contains("X-Request-Id") => {
            Some(ResponseClass::OtherRequest)
        }
        UpstreamPurpose::Probe(_) => Some(ResponseClass::Final),
        UpstreamPurpose::Attempt(key, ..) => {
            let request = requests.get(key)?;
            Some(classify(head, &request.id))
        }
    }
}

impl Host {
    /// A connection to a server for this purpose: an idle one from the pool, or a new one.
    ///
    /// # Errors
    /// The outcome of the attempt, if the server is unknown or can't be reached.
    pub(super) fn acquire_connection(
        &mut self,
        now: Micros,
        server: ServerId,
        purpose: UpstreamPurpose,
    ) -> Result<ConnectionId, Outcome> {
        if let Some(connection_id) = self.reuse_connection(now, server, purpose) {
            return Ok(connection_id);
        }
        if self.upstream_pool.connection_count() >= MAX_UPSTREAMS
            && let Some(idle) = self.upstream_pool.longest_idle_connection()
        {
            self.close_upstream(idle);
        }
        self.open_connection(now, server, purpose)
    }

    /// An idle connection to a server that may be used for this purpose, if there is one.
    fn reuse_connection(
        &mut self,
        now: Micros,
        server: ServerId,
        purpose: UpstreamPurpose,
    ) -> Option<ConnectionId> {
        let request = match purpose {
            UpstreamPurpose::Attempt(request, ..) => self.requests.get(request),
            UpstreamPurpose::Probe(_) => None,
        };
        // A streamed body can be sent once only, and the server may close an idle connection at any
        // time.
        if request.is_some_and(|request| request.body_framing.is_some()) {
            return None;
        }
        // On a connection that an earlier attempt used, a late second response to that attempt could
        // not be distinguished from the response to this one, as both have the same id.
        let used_connections: Vec<ConnectionId> = request
            .into_iter()
            .flat_map(|request| &request.attempts)
            .map(|attempt| attempt.connection)
            .collect();
        // A late second rejection without an id, which belongs to an earlier request, would be taken
        // as a statement that this request has not run.
        let needs_id = request.is_some_and(|request| request.route.kind != Idempotency::Idempotent);
        let mut skipped = Vec::new();
        let mut reused = None;
        while reused.is_none()
            && let Some(connection_id) = self.upstream_pool.acquire(server)
        {
            match self.roles.get_mut(connection_id) {
                Some(Role::Upstream(upstream))
                    if upstream.reusable_until > now
                        && needs_id
                        && upstream.had_response_without_id =>
                {
                    skipped.push(connection_id)
                }
                Some(Role::Upstream(upstream))
                    if upstream.reusable_until > now
                        && !used_connections.contains(&connection_id) =>
                {
                    upstream.state = UpstreamState::Sending(purpose);
                    upstream.bytes_sent_before = self
                        .connections
                        .get(connection_id)
                        .map_or(0, Connection::sent_bytes);
                    reused = Some(connection_id);
                }
                _ => self.close_upstream(connection_id),
            }
        }
        // The skipped connections remain available to requests that may be retried.
        for connection_id in skipped.into_iter().rev() {
            if !self.upstream_pool.release(server, connection_id, now) {
                self.close_upstream(connection_id);
            }
        }
        reused
    }

    /// Opens a connection to a server for this purpose.
    ///
    /// # Errors
    /// The outcome of the attempt, if the server is unknown or can't be reached.
    fn open_connection(
        &mut self,
        now: Micros,
        server: ServerId,
        purpose: UpstreamPurpose,
    ) -> Result<ConnectionId, Outcome> {
        let (address, _) = self
            .server_table
            .address_and_instance_id(server)
            .ok_or(Outcome::ConnectFailed)?;
        let connection_id = self
            .connections
            .connect(address, now)
            .map_err(|_| Outcome::ConnectFailed)?;
        let upstream = UpstreamConnection::new(now, server, purpose);
        self.roles
            .insert(connection_id, Role::Upstream(Box::new(upstream)));
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
        }
        self.upstream_pool.record_opened(server);
        self.deadlines.schedule(
            now + self.connect_timeout.timeout(),
            Timer::ConnectTimeout(connection_id),
        );
        Ok(connection_id)
    }

    pub(super) fn close_upstream(&mut self, connection_id: ConnectionId) {
        if let Some(Role::Upstream(upstream)) = self.roles.remove(connection_id) {
            self.upstream_pool
                .record_closed(upstream.server, connection_id);
            if let Some(UpstreamPurpose::Attempt(_, handle, number)) = upstream.state.purpose() {
                self.attempt_connections
                    .remove(&(handle.engine_index, handle.key, number));
            }
        }
        self.connections.close(connection_id);
    }

    pub(super) fn close_idle_upstreams(&mut self, connection_ids: Vec<ConnectionId>) {
        connection_ids
            .into_iter()
            .for_each(|connection_id| self.close_upstream(connection_id));
    }

    /// Closes idle connections to servers that are no longer listed.
    pub(super) fn close_unlisted_servers(&mut self) {
        let unlisted: Vec<ServerId> = self
            .roles
            .values()
            .filter_map(|role| match role {
                Role::Upstream(upstream) if self.server_table.get(upstream.server).is_none() => {
                    Some(upstream.server)
                }
                _ => None,
            })
            .collect();
        for server in unlisted {
            let idle = self.upstream_pool.remove_server(server);
            self.close_idle_upstreams(idle);
        }
    }

    pub(super) fn close_expired_idle_upstreams(&mut self, now: Micros) {
        let expired = self
            .upstream_pool
            .take_expired(now - self.limits.upstream_idle_timeout);
        self.close_idle_upstreams(expired);
        self.deadlines.schedule(
            now + self.limits.upstream_idle_timeout / 4,
            Timer::ExpireIdleConnections,
        );
    }

    /// The outcome of an attempt or health check if its connection is closed now. A request that is
    /// not idempotent may have run as soon as one byte is written: a server may begin to run it when
    /// it receives the head.
    pub(super) fn outcome_if_closed(&self, connection_id: ConnectionId) -> Option<Outcome> {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return None;
        };
        let has_sent_bytes = connection.sent_bytes() > upstream.bytes_sent_before;
        Some(match upstream.state {
            UpstreamState::Sending(UpstreamPurpose::Attempt(request, ..))
                if has_sent_bytes && !self.is_idempotent(request) =>
            {
                Outcome::Reset
            }
            state => state.outcome_if_broken(),
        })
    }

    fn is_idempotent(&self, request: RequestKey) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.route.kind == Idempotency::Idempotent)
    }

    /// Handles the input from a server: all responses that have arrived.
    pub(super) fn handle_upstream_input(&mut self, now: Micros, connection_id: ConnectionId) {
        while self.read_response(now, connection_id) {}
    }

    /// Handles the next response that has arrived; returns whether another one may follow it.
    fn read_response(&mut self, now: Micros, connection_id: ConnectionId) -> bool {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get_mut(connection_id),
            self.connections.get_mut(connection_id),
        ) else {
            return false;
        };
        if upstream.response_stream.is_some() {
            self.handle_response_stream_input(now, connection_id);
            return false;
        }
        let Some(purpose) = upstream.state.purpose() else {
            // Nothing is in flight on the connection: the bytes belong to no request.
            if !connection.input.is_empty() {
                self.close_upstream(connection_id);
            }
            return false;
        };
        if connection.input.is_empty() && upstream.response_class.is_none() {
            return false;
        }
        let result = upstream.incoming.read(
            &mut connection.input,
            self.limits.max_response_bytes,
            &self.limits,
        );
        if result.is_err() {
            self.finish_exchange(now, connection_id, purpose, ResponseClass::Malformed);
            return false;
        }
        let Some(head) = upstream.incoming.head() else {
            return false;
        };
        let response_class = upstream
            .response_class
            .or_else(|| classify_for_purpose(purpose, head, &self.requests));
        let Some(response_class) = response_class else {
            self.close_upstream(connection_id);
            return false;
        };
        upstream.had_response_without_id |= !head.headers.contains("X-Request-Id");
        upstream.response_class = Some(response_class);
        if response_class == ResponseClass::Malformed {
            self.finish_exchange(now, connection_id, purpose, response_class);
            return false;
        }
        // A body that ends with its connection, and is not forwarded, need not be awaited.
        let is_rest_irrelevant = upstream.incoming.ends_at_close()
            && (!response_class.may_be_forwarded() || matches!(purpose, UpstreamPurpose::Probe(_)));
        if is_rest_irrelevant && response_class == ResponseClass::OtherRequest {
            // No response can follow on this connection.
            self.finish_exchange(now, connection_id, purpose, ResponseClass::Malformed);
            return false;
        }
        let is_complete = upstream.incoming.is_complete() || upstream.expects_no_body;
        if !is_complete && !is_rest_irrelevant {
            self.handle_partial_response(now, connection_id, purpose, response_class);
            return false;
        }
        if response_class != ResponseClass::OtherRequest {
            self.finish_exchange(now, connection_id, purpose, response_class);
            return false;
        }
        (upstream.incoming, upstream.response_class) = (IncomingMessage::default(), None);
        true
    }

    /// Handles a response whose head is complete and whose body is not: streams it, rejects it, or
    /// reads on.
    fn handle_partial_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        purpose: UpstreamPurpose,
        class: ResponseClass,
    ) {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return;
        };
        // The response to a health check is never streamed.
        let class = match purpose {
            UpstreamPurpose::Attempt(..) => class,
            UpstreamPurpose::Probe(_) => ResponseClass::Failure,
        };
        match choose_handling(class, &upstream.incoming, &self.limits) {
            ResponseHandling::Streamed => self.begin_response_stream(now, connection_id, purpose),
            ResponseHandling::Rejected => {
                self.finish_exchange(now, connection_id, purpose, ResponseClass::Malformed)
            }
            ResponseHandling::Buffered => {
                let has_unread = connection.has_unread();
                self.pending_reads
                    .extend(has_unread.then_some(connection_id));
            }
        }
    }

    /// How long an idle connection may be reused after this response.
    pub(super) fn reuse_timeout(&self, head: &ResponseHead) -> Micros {
        let announced = head
            .headers
            .get("Keep-Alive")
            .and_then(parse_keep_alive_timeout);
        let announced = announced.map_or(Micros::MAX, |seconds| {
            Micros::from(seconds) * SECOND - UPSTREAM_KEEP_ALIVE_MARGIN
        });
        announced.min(self.limits.upstream_idle_timeout)
    }

    /// Ends an attempt or health check whose response is complete or invalid: releases the connection
    /// to the pool or closes it, and reports the outcome.
    fn finish_exchange(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        purpose: UpstreamPurpose,
        class: ResponseClass,
    ) {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get_mut(connection_id),
            self.connections.get_mut(connection_id),
        ) else {
            return;
        };
        let incoming = std::mem::take(&mut upstream.incoming);
        let (server, expects_no_body) = (upstream.server, upstream.expects_no_body);
        let is_request_sent = upstream.state.outcome_if_broken() == Outcome::Reset;
        upstream.response_class = None;
        let parts = incoming.into_parts();
        let is_reusable =
            parts.as_ref().is_some_and(|(head, ..)| head.is_reusable()) && !expects_no_body;
        let keep_connection = is_reusable
            && is_request_sent
            && connection.input.is_empty()
            && !connection.has_failed()
            && class != ResponseClass::Malformed;
        upstream.state = UpstreamState::Idle;
        let reuse_timeout = parts
            .as_ref()
            .map_or(0, |(head, ..)| self.reuse_timeout(head));
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) {
            upstream.reusable_until = now + reuse_timeout;
        }
        if let UpstreamPurpose::Attempt(_, handle, number) = purpose {
            self.attempt_connections
                .remove(&(handle.engine_index, handle.key, number));
        }
        if !(keep_connection && self.upstream_pool.release(server, connection_id, now)) {
            self.close_upstream(connection_id);
        }
        match purpose {
            UpstreamPurpose::Attempt(key, handle, attempt) => {
                let response = parts.map(|(head, _, body)| (head, body));
                if let (Some(request), Some(outcome)) =
                    (self.requests.get_mut(key), class.outcome())
                {
                    request.record_attempt_end(now, connection_id, outcome);
                }
                self.handle_attempt_response(now, (key, handle, attempt), server, class, response);
            }
            UpstreamPurpose::Probe(engine_index) => {
                let instance_id = self
                    .server_table
                    .address_and_instance_id(server)
                    .map(|(_, listed_id)| listed_id);
                let head = parts.as_ref().map(|(head, ..)| head);
                let is_same_instance =
                    head.is_some_and(|head| head.headers.get("X-Instance-Id") == instance_id);
                let outcome = match head.map(|head| head.status) {
                    Some(200) if is_same_instance => Outcome::Ok,
                    Some(503) => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                self.handle_probe_result(engine_index, server, outcome);
            }
        }
    }

    /// Reports the outcome of an attempt to the router, and forwards the response if it is final.
    fn handle_attempt_response(
        &mut self,
        now: Micros,
        (key, handle, attempt): (RequestKey, RequestHandle, u32),
        server: ServerId,
        class: ResponseClass,
        response: Option<(ResponseHead, Vec<u8>)>,
    ) {
        if class == ResponseClass::WrongServer {
            self.server_table.mark_replaced(server);
            self.update_servers(now);
        }
        let Some(outcome) = class.outcome() else {
            return;
        };
        if let Some(request) = self.requests.get_mut(key) {
            request.may_have_run |= !matches!(outcome, Outcome::Rejected);
            if class == ResponseClass::Failure {
                request.failed_response = response.clone();
            }
        }
        if !self
            .router
            .handle_attempt_ended(now, handle, attempt, outcome)
        {
            return;
        }
        match (self.requests.remove(key), response) {
            (Some(request), Some((head, body))) => {
                self.write_server_response(now, &request, &head, &body)
            }
            (Some(request), None) => {
                let request = self.requests.insert(request);
                self.finish_request(now, request, EngineRejection::Failed);
            }
            (None, _) => {}
        }
    }

    /// Handles the orderly end of the bytes from a server, which completes a response without a
    /// length. A connection that is reset does not.
    pub(super) fn handle_upstream_end(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Upstream(upstream)) = self.roles.get(connection_id) else {
            return;
        };
        if upstream.response_stream.is_some() {
            return self.handle_response_stream_end(now, connection_id);
        }
        match (upstream.state.purpose(), upstream.response_class) {
            (Some(purpose), Some(class)) if upstream.incoming.ends_at_close() => {
                self.log_end_within_response(now, connection_id, true);
                self.finish_exchange(now, connection_id, purpose, class)
            }
            _ => self.handle_upstream_closed(now, connection_id),
        }
    }

    /// Reads on if a connection that has failed still holds input that may complete its response. The
    /// failure is reported again at the end of the input.
    fn resume_failed_upstream(&mut self, connection_id: ConnectionId) -> bool {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return false;
        };
        let may_complete = upstream.response_stream.is_some() || upstream.state.purpose().is_some();
        if !(connection.has_failed() && connection.has_unread() && may_complete) {
            return false;
        }
        match &upstream.response_stream {
            // It is read once the client has taken what was forwarded.
            Some(stream) if self.connections.has_pending_output(stream.client()) => {}
            Some(_) => self.resume_response_stream(connection_id),
            None => self.pending_reads.push(connection_id),
        }
        true
    }

    /// Handles the loss of a connection to a server: it failed, was never established, or was closed
    /// by the server before its response was complete.
    pub(super) fn handle_upstream_closed(&mut self, now: Micros, connection_id: ConnectionId) {
        if self.resume_failed_upstream(connection_id) {
            return;
        }
        self.log_end_within_response(now, connection_id, false);
        let Some(Role::Upstream(upstream)) = self.roles.get(connection_id) else {
            return;
        };
        if upstream.response_stream.is_some() {
            return self.abort_response_stream(now, connection_id, CloseReason::ServerClosed);
        }
        let (purpose, server) = (upstream.state.purpose(), upstream.server);
        let outcome = self
            .outcome_if_closed(connection_id)
            .unwrap_or(Outcome::Reset);
        self.close_upstream(connection_id);
        match purpose {
            Some(UpstreamPurpose::Attempt(request, handle, attempt)) => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.may_have_run |= outcome == Outcome::Reset;
                    request.record_attempt_end(now, connection_id, outcome);
                }
                self.router
                    .handle_attempt_ended(now, handle, attempt, outcome);
            }
            Some(UpstreamPurpose::Probe(engine_index)) => {
                self.handle_probe_result(engine_index, server, outcome)
            }
            None => {}
        }
    }
}
