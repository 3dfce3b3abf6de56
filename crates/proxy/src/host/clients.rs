//! Clients: their connections, their requests and the final answers.

use dataplane::client_connection::Stage;
use dataplane::engine::EngineRejection;
use dataplane::framing::{self, BodyFraming, Headers, ParseError};

use super::*;
use crate::answers::{is_forwarded, is_hop_by_hop};
use crate::router::RoutingRequest;
use crate::shedding::SheddingRequest;

/// Bytes read ahead from a client while its request is in flight.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// Bytes read at a time while a request is arriving.
const READ_WINDOW_BYTES: usize = 128 * 1024;
/// The wait told where the module gives none.
const DEFAULT_RETRY_AFTER: Micros = 200 * MS;
/// The mean wait told by a proxy that has no configuration or servers yet: after a loss of power
/// everywhere the server list is back within a second.
const STARTUP_RETRY_AFTER: Micros = 700 * MS;
/// A request ends this long before its client gives up: the answer needs time on its way.
pub(super) const RESPONSE_MARGIN: Micros = 12 * MS;

/// Longest id of a request, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// An idle connection is kept this much longer than its client is told.
const KEEP_ALIVE_MARGIN: Micros = SECOND;

/// A body that is forwarded while it arrives.
pub(super) struct StreamedBody {
    pub(super) framing: BodyFraming,
    /// The additional time that it is given to arrive.
    pub(super) extra_time: Micros,
}

/// An answer that the proxy itself generates.
pub(super) struct LocalResponse {
    status: u16,
    retry_after: Micros,
    text: &'static str,
}

fn local_response(status: u16, text: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after: 0,
        text,
    }
}

fn retry_later(status: u16, retry_after: Micros, text: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after,
        text,
    }
}

impl Host {
    pub(super) fn accept_client(&mut self, now: Micros, key: ConnectionId) {
        self.client_count += 1;
        let client = Client {
            connection: ClientConnection::new(now),
            incoming: Incoming::default(),
            request: None,
            timer_at: Micros::MAX,
            close_after_response: false,
            checked_by_head: false,
            continue_sent: false,
            buffered_bytes: 0,
            band: 0,
            streaming_from: None,
            upload: None,
        };
        self.roles.insert(key, Role::Client(Box::new(client)));
        if let Some(connection) = self.connections.get_mut(key) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
        }
        self.schedule_client_deadline(now, key);
        self.evict_excess(now);
    }

    pub(super) fn client(&mut self, key: ConnectionId) -> Option<&mut Client> {
        match self.roles.get_mut(key) {
            Some(Role::Client(client)) => Some(client),
            _ => None,
        }
    }

    /// Schedules the connection's deadline if it is earlier than the scheduled one.
    pub(super) fn schedule_client_deadline(&mut self, now: Micros, key: ConnectionId) {
        let closing = self.lifecycle.closes_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return;
        };
        if let Some(at) = client
            .connection
            .deadline(closing, &self.limits)
            .filter(|at| *at < client.timer_at)
        {
            client.timer_at = at;
            self.deadlines.schedule(at, Timer::Client(key));
        }
    }

    pub(super) fn handle_client_deadline(&mut self, now: Micros, key: ConnectionId) {
        let closing = self.lifecycle.closes_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return;
        };
        client.timer_at = Micros::MAX;
        // A client that waits for the rest of its answer is not idle.
        if client.streaming_from.is_some()
            && self
                .connections
                .get(key)
                .is_some_and(|connection| connection.backlog() == 0)
        {
            client.connection.record_write_progress(now);
        }
        // Nor is one whose body is not being read because the server is slow.
        let over = client
            .connection
            .deadline(closing, &self.limits)
            .is_some_and(|at| at <= now);
        if over
            && client.upload.is_some()
            && self
                .connections
                .get(key)
                .is_some_and(|connection| connection.has_unread())
        {
            client.connection.restart_body_timer(now);
        }
        match client.connection.deadline(closing, &self.limits) {
            Some(at) if at <= now => {
                let unread = client.connection.stage == Stage::Responding;
                self.remove_client(
                    now,
                    key,
                    if unread {
                        CloseReason::SlowReader
                    } else {
                        CloseReason::IdleTimeout
                    },
                );
            }
            Some(_) if closing && client.connection.stage == Stage::Idle => {
                // Its next request may be on its way: one that was read is answered.
                self.schedule_client_deadline(now, key);
            }
            _ => self.schedule_client_deadline(now, key),
        }
    }

    pub(super) fn remove_client(&mut self, now: Micros, key: ConnectionId, closing: CloseReason) {
        self.log_close(now, key, closing);
        if let Some(Role::Client(client)) = self.roles.remove(key) {
            self.client_count -= 1;
            self.buffered_bytes -= client.buffered_bytes;
            client
                .streaming_from
                .into_iter()
                .for_each(|source| self.close_upstream(source));
            client
                .request
                .into_iter()
                .for_each(|request| self.abandon_request(now, request));
        }
        self.connections.close(key);
        self.finish_if_drained();
    }

    /// Drops a request for which no answer is owed any more.
    pub(super) fn abandon_request(&mut self, now: Micros, request: RequestKey) {
        if let Some(request) = self.requests.remove(request) {
            self.router
                .handle_client_left(now, request.handle, &mut self.actions);
        }
    }

    pub(super) fn handle_client_input(&mut self, now: Micros, key: ConnectionId) {
        let most = self.limits.max_request_bytes;
        let (Some(Role::Client(client)), Some(connection)) =
            (self.roles.get_mut(key), self.connections.get_mut(key))
        else {
            return;
        };
        match client.connection.stage {
            Stage::Idle | Stage::Receiving => {}
            Stage::Lingering => {
                connection.input.clear();
                // Closing with unread input would reset the connection and could destroy the
                // answer.
                return self.reread.extend(connection.has_unread().then_some(key));
            }
            Stage::Processing if client.upload.is_some() => {
                return self.handle_upload_input(now, key);
            }
            // Pipelined input waits until the request before it is answered.
            Stage::Processing | Stage::Responding => return,
        }
        if connection.input.is_empty() && client.incoming.head().is_none() {
            return;
        }
        client.connection.begin_request(now);
        let read = client
            .incoming
            .read(&mut connection.input, most, &self.limits);
        let held = connection.input.len() + client.incoming.body.len();
        self.buffered_bytes = self.buffered_bytes + held - client.buffered_bytes;
        client.buffered_bytes = held;
        if let Err(fault) = read {
            return self.reject_input(now, key, fault);
        }
        if client.incoming.is_complete() {
            let incoming = std::mem::take(&mut client.incoming);
            (client.continue_sent, client.checked_by_head) = (false, false);
            client.connection.request_complete(now);
            connection.max_input_bytes = MAX_READ_AHEAD_BYTES.max(connection.input.len());
            if let Some((head, _, body)) = incoming.into_parts() {
                self.handle_request(now, key, head, body);
            }
            return;
        }
        self.handle_partial_request(now, key);
    }

    fn handle_partial_request(&mut self, now: Micros, key: ConnectionId) {
        if self.is_shed_by_head(now, key) {
            let jitter = 0.5 + fastrand::f64();
            let retry_after = (DEFAULT_RETRY_AFTER as f64 * jitter) as Micros;
            return self.write_last_response(
                now,
                key,
                &retry_later(503, retry_after, "others go first"),
            );
        }
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return;
        };
        if let Some(head) = client.incoming.head() {
            if client
                .incoming
                .is_longer_than(self.limits.max_buffered_request_bytes)
            {
                return self.begin_upload(now, key);
            }
            let send_continue =
                head.expects_continue && !std::mem::replace(&mut client.continue_sent, true);
            let length = client.incoming.length;
            client.connection.record_body_progress(now, length);
            if send_continue {
                self.write_continue(key);
            }
        }
        if let Some(evicted) = self.evict_buffered() {
            self.write_last_response(
                now,
                evicted,
                &retry_later(503, DEFAULT_RETRY_AFTER, "no room"),
            );
            if evicted == key {
                return;
            }
        }
        self.schedule_client_deadline(now, key);
        self.continue_reading(now, key);
    }

    /// Reads what the kernel still holds of a request, unless the buffer is full.
    fn continue_reading(&mut self, now: Micros, key: ConnectionId) {
        let has_capacity = self
            .connections
            .get(key)
            .is_some_and(|connection| connection.input.len() < connection.max_input_bytes);
        if !has_capacity {
            return;
        }
        let mut events = Vec::new();
        self.connections.resume_reading(key, now, &mut events);
        let received = events
            .iter()
            .any(|event| matches!(event, IoEvent::Received(_)));
        self.reread.extend(received.then_some(key));
        let closed = events
            .into_iter()
            .find(|event| matches!(event, IoEvent::PeerClosed(_) | IoEvent::Failed(_)));
        if let Some(event) = closed {
            self.handle_event(now, event);
        }
    }

    /// Writes an answer after which the connection is closed.
    fn write_last_response(&mut self, now: Micros, key: ConnectionId, response: &LocalResponse) {
        self.client(key)
            .into_iter()
            .for_each(|client| client.close_after_response = true);
        self.write_local_response(now, key, response);
    }

    /// The input is not a valid request, or too long.
    pub(super) fn reject_input(&mut self, now: Micros, key: ConnectionId, fault: ParseError) {
        let text = match fault {
            ParseError::Syntax => "no request",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
        };
        self.write_last_response(now, key, &local_response(fault.status(), text));
    }

    /// Tells the client to send its body.
    pub(super) fn write_continue(&mut self, key: ConnectionId) {
        let out = self.connections.output(key);
        out.into_iter()
            .for_each(|out| out.extend(b"HTTP/1.1 100 Continue\r\n\r\n"));
    }

    /// Whether a request is shed by its head alone: it is rejected before its body is read, and the
    /// connection closed after the answer. Checked once, when the head is complete and the route
    /// has one service; with several it is not known yet which one will be chosen.
    fn is_shed_by_head(&mut self, now: Micros, key: ConnectionId) -> bool {
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return false;
        };
        let Some(head) = client.incoming.head() else {
            return false;
        };
        if std::mem::replace(&mut client.checked_by_head, true) {
            return false;
        }
        let asked = head
            .headers
            .get("Host")
            .and_then(|host| self.config_store.route(host, &head.target));
        let (Some(route), Some(id)) = (asked, head.headers.get("X-Request-Id")) else {
            return false;
        };
        let mut services = route.services().filter(|(_, weight)| *weight > 0.0);
        let (Some((svc, _)), None) = (services.next(), services.next()) else {
            return false;
        };
        let tenant = api_key(&head.headers).and_then(|key| self.config_store.tenant(key));
        if tenant.is_none() && !route.public && self.config_store.requires_keys() {
            return false;
        }
        let tenant = tenant.map(|known| (known.name.as_str(), &known.tenant));
        let asker = SheddingRequest {
            id,
            route,
            svc,
            tenant,
        };
        client.band = asker.band();
        self.router.would_be_shed(now, &asker)
    }

    /// Handles a complete request.
    fn handle_request(&mut self, now: Micros, key: ConnectionId, head: RequestHead, body: Vec<u8>) {
        if let Some(client) = self.client(key) {
            client.close_after_response = !head.keep_alive;
        }
        if let Err(own) = self.admit(now, key, head, body, None) {
            self.write_local_response(now, key, &own);
        }
    }

    /// Admits a request by its head; `streamed`: its body is forwarded while it arrives.
    ///
    /// # Errors
    /// The answer to a request that can't be routed.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        key: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
        streamed: Option<StreamedBody>,
    ) -> Result<(), LocalResponse> {
        self.check_configured()?;
        let host = head
            .headers
            .get("Host")
            .ok_or(local_response(400, "Host"))?;
        let route = self
            .config_store
            .route(host, &head.target)
            .ok_or(local_response(404, "no route"))?
            .clone();
        let id = head
            .headers
            .get("X-Request-Id")
            .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
            .ok_or(local_response(400, "X-Request-Id"))?
            .to_string();
        let tenant = api_key(&head.headers)
            .and_then(|key| self.config_store.tenant(key))
            .cloned();
        if tenant.is_none() && !route.public && self.config_store.requires_keys() {
            return Err(local_response(401, "no such key"));
        }
        let allowed_time = allowed_time(&head.headers, &route);
        let extra_time = streamed.as_ref().map_or(0, |body| body.extra_time);
        let svc = choose_service(&route).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no service takes it",
        ))?;
        let tenant_pins = tenant.as_ref().map_or(&[][..], |known| &known.tenant.pins);
        let pins = common_regions(&route.pins, tenant_pins).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no region may serve it",
        ))?;
        self.ensure_engine(now, &svc, &pins, &route);
        let tenant_name = tenant.as_ref().map(|known| known.name.as_str());
        let header_lines = forwarded_fields(&head.headers, tenant_name);
        let request = self.requests.insert(Request {
            client: key,
            method: head.method,
            target: head.target,
            header_lines,
            body,
            id: id.clone(),
            route: route.clone(),
            deadline: now + allowed_time + extra_time,
            allowed_time,
            body_framing: streamed.map(|body| body.framing),
            handle: RequestHandle {
                engine: 0,
                key: AuthorisationKey::default(),
            },
            used_connections: Vec::new(),
            may_have_run: false,
            failure: None,
        });
        let routing = RoutingRequest {
            request,
            id: &id,
            route: &route,
            svc: &svc,
            tenant: tenant.as_ref().map(|t| (t.name.as_str(), &t.tenant)),
            pins: &pins,
            deadline: now + allowed_time + extra_time,
        };
        self.submit(now, key, &routing)
    }

    /// A proxy without configuration or servers sends clients away for a moment.
    fn check_configured(&self) -> Result<(), LocalResponse> {
        let reason = if !self.config_store.is_ready() {
            "no configuration yet"
        } else if !self.server_table.has_servers() {
            "no server is known yet"
        } else {
            return Ok(());
        };
        Err(retry_later(503, startup_retry_after(), reason))
    }

    /// Opens the engine of a service in these regions if there is none.
    fn ensure_engine(&mut self, now: Micros, svc: &str, pins: &[String], route: &Route) {
        if self.router.engine_of(svc, pins).is_some() {
            return;
        }
        let entries = self.server_table.entries(now, svc, pins);
        self.add_to_pool(entries.iter().map(|entry| entry.server).collect());
        self.router
            .open_engine(svc, pins, route.target_time.0, entries);
    }

    fn submit(
        &mut self,
        now: Micros,
        key: ConnectionId,
        routing: &RoutingRequest<'_>,
    ) -> Result<(), LocalResponse> {
        let request = routing.request;
        let Some(handle) = self.router.submit(now, routing) else {
            self.requests.remove(request);
            return Err(retry_later(503, DEFAULT_RETRY_AFTER, "no room"));
        };
        self.requests[request].handle = handle;
        if let Some(client) = self.client(key) {
            client.request = Some(request);
            client.band = routing.shedding_request().band();
        }
        Ok(())
    }

    /// Ends a request as the module decided.
    pub(super) fn finish_request(&mut self, now: Micros, key: RequestKey, ending: EngineRejection) {
        let Some(mut request) = self.requests.remove(key) else {
            return;
        };
        // An attempt in flight may be running: it is stopped only after this.
        request.may_have_run |= self.may_be_running(request.handle);
        if let Some((head, body)) = request.failure.filter(|_| request.may_have_run) {
            return self.write_server_response(now, request.client, &head, &body);
        }
        let answer = match ending {
            EngineRejection::Declined {
                retry_after,
                over_quota: true,
            } => retry_later(429, retry_after, "over its quota"),
            _ if request.may_have_run && now + RESPONSE_MARGIN >= request.deadline => {
                local_response(504, "no answer in time")
            }
            _ if request.may_have_run => local_response(502, "no good answer"),
            EngineRejection::Declined { retry_after, .. } => {
                retry_later(503, retry_after.max(MS), "no server takes it")
            }
            EngineRejection::Failed | EngineRejection::Expired { .. } => {
                retry_later(503, DEFAULT_RETRY_AFTER, "no server took it")
            }
        };
        self.write_local_response(now, request.client, &answer);
    }

    pub(super) fn write_local_response(
        &mut self,
        now: Micros,
        key: ConnectionId,
        own: &LocalResponse,
    ) {
        let seconds = format!("{:.3}", own.retry_after as f64 / 1e6);
        let mut lines = vec![("Content-Type", "text/plain")];
        lines.extend((own.retry_after > 0).then_some(("Retry-After", seconds.as_str())));
        // While the node is crowded, rejected clients are disconnected: a retry uses a new
        // connection anyway.
        let crowded = self.router.shedding().node().is_crowded();
        self.client(key)
            .into_iter()
            .for_each(|client| client.close_after_response |= crowded);
        let body = format!("{}\n", own.text);
        let Some(close) = self.begin_response(now, key) else {
            return;
        };
        lines.extend(keep_alive_field(&self.client_keep_alive, close));
        if let Some(out) = self.connections.output(key) {
            framing::write_response(out, own.status, &lines, body.as_bytes(), close);
        }
    }

    /// Forwards a server's answer unchanged.
    pub(super) fn write_server_response(
        &mut self,
        now: Micros,
        key: ConnectionId,
        head: &ResponseHead,
        body: &[u8],
    ) {
        let Some(close) = self.begin_response(now, key) else {
            return;
        };
        let Some(out) = self.connections.output(key) else {
            return;
        };
        let length = body.len().to_string();
        let bodiless = matches!(head.status, 204 | 304);
        let length = (!bodiless).then_some(("Content-Length", length.as_str()));
        let lines = head.headers.iter().filter(|(name, _)| is_forwarded(name));
        let lines = length
            .into_iter()
            .chain(lines)
            .chain(keep_alive_field(&self.client_keep_alive, close));
        framing::write_head(out, head.status, lines, close);
        out.extend_from_slice(body);
    }

    /// Prepares the connection for its answer; returns whether the connection is closed after it,
    /// `None` if it is gone.
    pub(super) fn begin_response(&mut self, now: Micros, key: ConnectionId) -> Option<bool> {
        let last = self.lifecycle.closes_after_response(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return None;
        };
        client.request = None;
        // The buffered request is not needed any more.
        client.incoming = Incoming::default();
        self.buffered_bytes -= std::mem::take(&mut client.buffered_bytes);
        // The rest of a body is read and discarded after the last answer.
        let rest = client
            .upload
            .take()
            .is_some_and(|upload| !upload.is_complete());
        client.close_after_response |= last || rest;
        client.connection.begin_response(now);
        let close = client.close_after_response;
        self.schedule_client_deadline(now, key);
        Some(close)
    }

    pub(super) fn handle_response_written(&mut self, now: Micros, key: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return;
        };
        if client.connection.stage != Stage::Responding {
            return;
        }
        if let Some(source) = client.streaming_from {
            client.connection.record_write_progress(now);
            return self.resume_stream(source);
        }
        let last = client.close_after_response;
        client.connection.response_written(now, last);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
            self.buffered_bytes =
                self.buffered_bytes + connection.input.len() - client.buffered_bytes;
            client.buffered_bytes = connection.input.len();
        }
        if last {
            self.connections.shutdown_write(key);
        }
        // Pipelined input may be buffered here or in the kernel.
        self.reread.push(key);
        self.schedule_client_deadline(now, key);
    }

    /// The answer is written with all others at the end of the turn. If it were flushed here, other
    /// pending output would be flushed with it without the host learning of it.
    pub(super) fn handle_readiness_check(&mut self, key: ConnectionId) {
        let ready = self.state() == NodeState::Ready;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (request, length) = match framing::request(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(asked)) => asked,
            Err(_) => return self.remove_connection(key),
        };
        connection.input.drain(..length);
        let status = match request.target.split('?').next() {
            Some("/api/readyz") if ready => 200,
            Some("/api/readyz") => 503,
            _ => 404,
        };
        let last = !request.keep_alive;
        self.roles.insert(key, Role::Check { last });
        if let Some(out) = self.connections.output(key) {
            framing::write_response(out, status, &[], b"", last);
        }
    }
}

/// The `Keep-Alive` value for clients. It is shorter than the real time-out so that no request
/// crosses the close of its connection: one that is not idempotent would fail, and its client could
/// not tell whether it was read.
pub(super) fn keep_alive_value(idle: Micros) -> String {
    format!("timeout={}", (idle - KEEP_ALIVE_MARGIN).max(0) / SECOND)
}

/// The `Keep-Alive` field, unless the connection is closed after the answer.
pub(super) fn keep_alive_field(stay: &str, close: bool) -> Option<(&'static str, &str)> {
    (!close).then_some(("Keep-Alive", stay))
}

/// The API key that a client shows.
fn api_key(headers: &Headers) -> Option<&str> {
    headers
        .get("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
}

/// The time for a request: the client's or its route's, whichever is less, without the margin for
/// the answer's way back.
fn allowed_time(headers: &Headers, route: &Route) -> Micros {
    let asked = headers
        .get("X-Time-Left")
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map_or(route.timeout.0, |ms| (ms * 1e3) as Micros);
    let allowed = asked.min(route.timeout.0);
    allowed - RESPONSE_MARGIN.min(allowed / 4)
}

/// Chooses the service of a request, at random by weight where the route has several.
fn choose_service(route: &Route) -> Option<String> {
    let all: f64 = route.services().map(|(_, weight)| weight).sum();
    let mut point = fastrand::f64() * all;
    let chosen = route.services().find(|(_, weight)| {
        point -= weight;
        *weight > 0.0 && point < 0.0
    });
    let positive = || route.services().filter(|(_, weight)| *weight > 0.0).last();
    chosen.or_else(positive).map(|(svc, _)| svc.to_string())
}

/// A wait with jitter. With the same wait for all, the clients of a proxy that has just started
/// would return at once; with a short one they would spend their retries before it is ready.
fn startup_retry_after() -> Micros {
    let spread = 0.5 + fastrand::f64();
    (STARTUP_RETRY_AFTER as f64 * spread) as Micros
}

/// The regions that both lists allow, where an empty list allows all; `None` if they have none in
/// common.
fn common_regions(route: &[String], tenant: &[String]) -> Option<Vec<String>> {
    match (route.is_empty(), tenant.is_empty()) {
        (true, _) => Some(tenant.to_vec()),
        (false, true) => Some(route.to_vec()),
        (false, false) => {
            let both: Vec<String> = route
                .iter()
                .filter(|region| tenant.contains(region))
                .cloned()
                .collect();
            (!both.is_empty()).then_some(both)
        }
    }
}

/// The header fields as servers receive them, without those written for each attempt.
fn forwarded_fields(headers: &Headers, tenant: Option<&str>) -> Vec<u8> {
    const OWN: [&str; 4] = [
        "authorization",
        "x-tenant",
        "x-time-left",
        "x-want-instance",
    ];
    let mut out = Vec::with_capacity(256);
    let mut line = |name: &str, value: &str| {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    // Fields named by `Connection` are hop-by-hop as well,
    let named = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let named = named.flat_map(|(_, value)| value.split(',').map(str::trim));
    // except those that a server needs.
    let named: Vec<&str> = named
        .filter(|name| {
            !name.eq_ignore_ascii_case("host") && !name.eq_ignore_ascii_case("x-request-id")
        })
        .collect();
    let passes = |name: &str| {
        let listed = |list: &[&str]| list.iter().any(|other| name.eq_ignore_ascii_case(other));
        !is_hop_by_hop(name) && !listed(&OWN) && !listed(&named)
    };
    for (name, value) in headers.iter().filter(|(name, _)| passes(name)) {
        line(name, value);
    }
    tenant
        .into_iter()
        .for_each(|tenant| line("X-Tenant", tenant));
    out
}

/// Whether a body is forwarded, with its length.
pub(super) fn has_body(method: &str, extent: BodyFraming) -> bool {
    !matches!((method, extent), ("GET" | "HEAD", BodyFraming::Length(0)))
}

#[cfg(test)]
mod tests;
