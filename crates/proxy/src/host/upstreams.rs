//! Connections to servers: attempts of requests, health checks, and the outcomes of both.

use std::io::Write;

use dataplane::engine::EngineRejection;
use dataplane::framing::BodyFraming;
use protocol::connections::Connection;
use protocol::items::Idempotency;

use super::admission::has_body;
use super::*;
use crate::response_class::{
    ResponseHandling, choose_handling, classify, parse_keep_alive_timeout,
};

/// Bytes read of an answer at a time: a short one together with its head.
pub(super) const READ_WINDOW_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES + 16 * 1024;
/// Most connections to servers, including idle ones.
const MAX_UPSTREAMS: usize = 1_000;
/// Two round trips to a server of another region: connecting, and one exchange.
const REMOTE_PROBE_EXTRA_TIME: Micros = 250 * MS;
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

/// Classifies a response by its head; `None` if its request is gone.
fn classify_for_purpose(
    purpose: UpstreamPurpose,
    head: &ResponseHead,
    framing: BodyFraming,
    requests: &SlotMap<RequestKey, Request>,
) -> Option<ResponseClass> {
    match purpose {
        // A health check has no id: a response with one is the second one to an earlier request.
        UpstreamPurpose::Probe(_) if head.headers.contains("X-Request-Id") => {
            Some(ResponseClass::OtherRequest)
        }
        UpstreamPurpose::Probe(_) => Some(ResponseClass::Final),
        UpstreamPurpose::Attempt(request, ..) => {
            let request = requests.get(request)?;
            Some(classify(head, framing, &request.id))
        }
    }
}

impl Host {
    /// Sends a request to a server.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        key: RequestKey,
        handle: RequestHandle,
        attempt: u32,
        server: ServerId,
    ) {
        let purpose = UpstreamPurpose::Attempt(key, handle, attempt);
        let acquired = if self.may_attempt(key) {
            self.acquire_connection(now, server, purpose)
        } else {
            Err(Outcome::NotSent)
        };
        match acquired {
            Ok(connection) => {
                self.attempt_connections
                    .insert((handle.engine_index, handle.key), connection);
                self.write_attempt(now, key, connection, server);
            }
            Err(outcome) => {
                self.router
                    .handle_attempt_ended(now, handle, attempt, outcome);
            }
        }
    }

    /// Whether a request is in progress and its route allows another attempt.
    fn may_attempt(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| {
            request.attempt_connections.len() < request.route.tries.max(1) as usize
        })
    }

    fn write_attempt(
        &mut self,
        now: Micros,
        key: RequestKey,
        connection: ConnectionId,
        server: ServerId,
    ) {
        let (Some(request), Some((_, id))) = (
            self.requests.get_mut(key),
            self.server_table.address_and_instance_id(server),
        ) else {
            return;
        };
        request.attempt_connections.push(connection);
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection) {
            upstream.expects_no_body = request.method == "HEAD";
        }
        let Some(out) = self.connections.output(connection) else {
            return;
        };
        let left = (request.deadline - now).min(request.allowed_time).max(0) / MS;
        let framing = request
            .body_framing
            .unwrap_or(BodyFraming::Length(request.body.len() as u64));
        // Writing to a vector can't fail.
        let _ = write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target);
        out.extend_from_slice(&request.header_lines);
        let _ = write!(out, "X-Time-Left: {left}\r\nX-Want-Instance: {id}\r\n");
        match framing {
            BodyFraming::Length(length) if has_body(&request.method, framing) => {
                let _ = write!(out, "Content-Length: {length}\r\n");
            }
            BodyFraming::Length(_) => {}
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                out.extend_from_slice(b"Transfer-Encoding: chunked\r\n")
            }
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&request.body);
    }

    /// A connection to a server for this purpose: an idle one from the pool, or a new one.
    ///
    /// # Errors
    /// The outcome of the attempt: the server is unknown or can't be reached.
    fn acquire_connection(
        &mut self,
        now: Micros,
        server: ServerId,
        purpose: UpstreamPurpose,
    ) -> Result<ConnectionId, Outcome> {
        if let Some(key) = self.reuse_connection(now, server, purpose) {
            return Ok(key);
        }
        if self.upstream_pool.connection_count() >= MAX_UPSTREAMS
            && let Some(idle) = self.upstream_pool.longest_idle_connection()
        {
            self.close_upstream(idle);
        }
        self.open_connection(now, server, purpose)
    }

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
        // A long body is sent once only, and its server may close an idle connection at any moment.
        if request.is_some_and(|request| request.body_framing.is_some()) {
            return None;
        }
        // A second, late answer could not be told from that of a retry by its id.
        let used_connections =
            request.map_or(Vec::new(), |request| request.attempt_connections.clone());
        // A second, late rejection without an id would claim that this request has not run.
        let needs_id = request.is_some_and(|request| request.route.kind != Idempotency::Idempotent);
        let mut passed_over = Vec::new();
        let mut found = None;
        while found.is_none()
            && let Some(key) = self.upstream_pool.acquire(server)
        {
            match self.roles.get_mut(key) {
                Some(Role::Upstream(upstream))
                    if upstream.reusable_until > now
                        && needs_id
                        && upstream.had_response_without_id =>
                {
                    passed_over.push(key)
                }
                Some(Role::Upstream(upstream))
                    if upstream.reusable_until > now && !used_connections.contains(&key) =>
                {
                    upstream.state = UpstreamState::Sending(purpose);
                    upstream.bytes_sent_before =
                        self.connections.get(key).map_or(0, Connection::sent_bytes);
                    found = Some(key);
                }
                _ => self.close_upstream(key),
            }
        }
        // They remain for requests that may be retried.
        for key in passed_over.into_iter().rev() {
            if !self.upstream_pool.release(server, key, now) {
                self.close_upstream(key);
            }
        }
        found
    }

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
        let key = self
            .connections
            .connect(address, now)
            .map_err(|_| Outcome::ConnectFailed)?;
        let upstream = UpstreamConnection::new(now, server, purpose);
        self.roles.insert(key, Role::Upstream(Box::new(upstream)));
        if let Some(connection) = self.connections.get_mut(key) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
        }
        self.upstream_pool.record_opened(server);
        self.deadlines.schedule(
            now + self.connect_timeout.timeout(),
            Timer::ConnectTimeout(key),
        );
        Ok(key)
    }

    pub(super) fn close_upstream(&mut self, connection_id: ConnectionId) {
        if let Some(Role::Upstream(upstream)) = self.roles.remove(connection_id) {
            self.upstream_pool
                .record_closed(upstream.server, connection_id);
        }
        self.connections.close(connection_id);
    }

    pub(super) fn close_idle_upstreams(&mut self, keys: Vec<ConnectionId>) {
        keys.into_iter().for_each(|key| self.close_upstream(key));
    }

    /// Closes idle connections to servers that are no longer listed.
    pub(super) fn close_unlisted_servers(&mut self) {
        let gone: Vec<ServerId> = self
            .roles
            .values()
            .filter_map(|role| match role {
                Role::Upstream(upstream) if self.server_table.get(upstream.server).is_none() => {
                    Some(upstream.server)
                }
                _ => None,
            })
            .collect();
        for server in gone {
            let idle = self.upstream_pool.remove_server(server);
            self.close_idle_upstreams(idle);
        }
    }

    pub(super) fn close_expired_idle_upstreams(&mut self, now: Micros) {
        let old = self
            .upstream_pool
            .take_expired(now - self.limits.upstream_idle_timeout);
        self.close_idle_upstreams(old);
        self.deadlines.schedule(
            now + self.limits.upstream_idle_timeout / 4,
            Timer::ExpireIdleConnections,
        );
    }

    /// The outcome of an attempt whose connection ends now. For a request that is not idempotent
    /// one written byte is enough to count as possibly run: a server may begin at the head.
    fn outcome_if_closed(&self, connection_id: ConnectionId) -> Option<Outcome> {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return None;
        };
        let begun = connection.sent_bytes() > upstream.bytes_sent_before;
        Some(match upstream.state {
            UpstreamState::Sending(UpstreamPurpose::Attempt(request, ..))
                if begun && !self.is_idempotent(request) =>
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

    /// Whether a server that may run this request holds an attempt of it.
    pub(super) fn may_be_running(&self, handle: RequestHandle) -> bool {
        let key = self
            .attempt_connections
            .get(&(handle.engine_index, handle.key));
        key.and_then(|key| self.outcome_if_closed(*key)) == Some(Outcome::Reset)
    }

    /// The module stops an attempt: its outcome is known.
    pub(super) fn cancel_attempt(&mut self, _now: Micros, handle: RequestHandle, number: u32) {
        let Some(key) = self
            .attempt_connections
            .get(&(handle.engine_index, handle.key))
            .copied()
        else {
            return;
        };
        let Some(Role::Upstream(upstream)) = self.roles.get(key) else {
            return;
        };
        let Some(UpstreamPurpose::Attempt(request, own, out)) = upstream.state.purpose() else {
            return;
        };
        if own != handle || out != number {
            return;
        }
        let may_have_run = self.outcome_if_closed(key) == Some(Outcome::Reset);
        self.attempt_connections
            .remove(&(handle.engine_index, handle.key));
        if let Some(request) = self.requests.get_mut(request) {
            request.may_have_run |= may_have_run;
        }
        self.close_upstream(key);
    }

    pub(super) fn handle_upstream_input(&mut self, now: Micros, connection_id: ConnectionId) {
        while self.read_response(now, connection_id) {}
    }

    /// Reads one response; returns whether it belonged to another request, so that the awaited one
    /// may follow it.
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
            // Nothing is in flight on it: the bytes belong to no request.
            if !connection.input.is_empty() {
                self.close_upstream(connection_id);
            }
            return false;
        };
        if connection.input.is_empty() && upstream.response_class.is_none() {
            return false;
        }
        let read = upstream.incoming.read(
            &mut connection.input,
            self.limits.max_response_bytes,
            &self.limits,
        );
        if read.is_err() {
            self.finish_exchange(now, connection_id, purpose, ResponseClass::Malformed);
            return false;
        }
        let Some(head) = upstream.incoming.head() else {
            return false;
        };
        let known = upstream.response_class.or_else(|| {
            classify_for_purpose(purpose, head, upstream.incoming.framing, &self.requests)
        });
        let Some(class) = known else {
            self.close_upstream(connection_id);
            return false;
        };
        upstream.had_response_without_id |= !head.headers.contains("X-Request-Id");
        upstream.response_class = Some(class);
        if class == ResponseClass::Malformed {
            self.finish_exchange(now, connection_id, purpose, class);
            return false;
        }
        if !upstream.incoming.is_complete() && !upstream.expects_no_body {
            self.handle_partial_response(now, connection_id, purpose, class);
            return false;
        }
        if class != ResponseClass::OtherRequest {
            self.finish_exchange(now, connection_id, purpose, class);
            return false;
        }
        (upstream.incoming, upstream.response_class) = (IncomingMessage::default(), None);
        true
    }

    /// The head of a response is complete and its body is not.
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
        // The answer to a health check is never streamed.
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

    /// How long an idle connection may be used after this answer.
    pub(super) fn reuse_timeout(&self, head: &ResponseHead) -> Micros {
        let told = head
            .headers
            .get("Keep-Alive")
            .and_then(parse_keep_alive_timeout);
        let told = told.map_or(Micros::MAX, |seconds| {
            Micros::from(seconds) * SECOND - UPSTREAM_KEEP_ALIVE_MARGIN
        });
        told.min(self.limits.upstream_idle_timeout)
    }

    /// The answer on a connection is complete, or can't become valid any more.
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
        let (server, bodiless) = (upstream.server, upstream.expects_no_body);
        let sent = upstream.state.outcome_if_broken() == Outcome::Reset;
        upstream.response_class = None;
        let parts = incoming.into_parts();
        let reusable = parts.as_ref().is_some_and(|(head, ..)| head.is_reusable()) && !bodiless;
        let keep =
            reusable && sent && connection.input.is_empty() && class != ResponseClass::Malformed;
        upstream.state = UpstreamState::Idle;
        let patience = parts
            .as_ref()
            .map_or(0, |(head, ..)| self.reuse_timeout(head));
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) {
            upstream.reusable_until = now + patience;
        }
        if let UpstreamPurpose::Attempt(_, handle, _) = purpose {
            self.attempt_connections
                .remove(&(handle.engine_index, handle.key));
        }
        if !(keep && self.upstream_pool.release(server, connection_id, now)) {
            self.close_upstream(connection_id);
        }
        match purpose {
            UpstreamPurpose::Attempt(request, handle, number) => {
                let answer = parts.map(|(head, _, body)| (head, body));
                self.handle_attempt_response(now, (request, handle, number), server, class, answer);
            }
            UpstreamPurpose::Probe(engine) => {
                let own = self
                    .server_table
                    .address_and_instance_id(server)
                    .map(|(_, id)| id);
                let head = parts.as_ref().map(|(head, ..)| head);
                let same = head.is_some_and(|head| head.headers.get("X-Instance-Id") == own);
                let outcome = match head.map(|head| head.status) {
                    Some(200) if same => Outcome::Ok,
                    Some(503) => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                self.router.handle_probe_result(engine, server, outcome);
            }
        }
    }

    fn handle_attempt_response(
        &mut self,
        now: Micros,
        (key, handle, attempt): (RequestKey, RequestHandle, u32),
        server: ServerId,
        class: ResponseClass,
        answer: Option<(ResponseHead, Vec<u8>)>,
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
                request.failed_response = answer.clone();
            }
        }
        if !self
            .router
            .handle_attempt_ended(now, handle, attempt, outcome)
        {
            return;
        }
        match (self.requests.remove(key), answer) {
            (Some(request), Some((head, body))) => {
                self.write_server_response(now, request.client, &head, &body)
            }
            (Some(request), None) => {
                let request = self.requests.insert(request);
                self.finish_request(now, request, EngineRejection::Failed);
            }
            (None, _) => {}
        }
    }

    /// A connection to a server broke, was never established, or was closed by the server.
    pub(super) fn handle_upstream_closed(&mut self, now: Micros, connection_id: ConnectionId) {
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
            Some(UpstreamPurpose::Attempt(request, handle, number)) => {
                self.attempt_connections
                    .remove(&(handle.engine_index, handle.key));
                if let Some(request) = self.requests.get_mut(request) {
                    request.may_have_run |= outcome == Outcome::Reset;
                }
                self.router
                    .handle_attempt_ended(now, handle, number, outcome);
            }
            Some(UpstreamPurpose::Probe(engine)) => {
                self.router.handle_probe_result(engine, server, outcome)
            }
            None => {}
        }
    }

    pub(super) fn start_probe(&mut self, now: Micros, engine: usize, server: ServerId) {
        let path = self
            .server_table
            .get(server)
            .and_then(|known| self.config_store.service(&known.listing.svc));
        let path = path.map_or("/healthz".to_string(), |service| service.hcheck.clone());
        let key = match self.acquire_connection(now, server, UpstreamPurpose::Probe(engine)) {
            Ok(key) => key,
            Err(outcome) => return self.router.handle_probe_result(engine, server, outcome),
        };
        let Some((address, id)) = self.server_table.address_and_instance_id(server) else {
            return;
        };
        if let Some(out) = self.connections.output(key) {
            // Writing to a vector can't fail.
            let _ = write!(
                out,
                "GET {path} HTTP/1.1\r\nHost: {address}\r\nX-Want-Instance: {id}\r\n\r\n"
            );
        }
        let way = if self.server_table.is_in_other_region(server) {
            REMOTE_PROBE_EXTRA_TIME
        } else {
            0
        };
        let wait = self
            .limits
            .probe_timeout
            .max(self.router.probe_timeout(engine))
            + way;
        self.deadlines
            .schedule(now + wait, Timer::ProbeTimeout(key));
    }

    pub(super) fn handle_probe_timeout(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Upstream(upstream)) = self.roles.get(connection_id) else {
            return;
        };
        if let Some(UpstreamPurpose::Probe(engine)) = upstream.state.purpose() {
            let server = upstream.server;
            self.close_upstream(connection_id);
            self.router
                .handle_probe_result(engine, server, Outcome::TimedOut);
        }
        let _ = now;
    }
}
