//! Connections of clients, and reading requests from them.

use dataplane::client_connection::Stage;
use dataplane::framing::{self, ParseError};

use super::responses::{DEFAULT_RETRY_AFTER, local_response, retry_later};
use super::*;

/// Bytes read ahead from a client while its request is in flight.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// Bytes read at a time while a request is arriving.
pub(super) const READ_WINDOW_BYTES: usize = 128 * 1024;
/// A request ends this long before its client gives up: the answer needs time on its way.
pub(super) const RESPONSE_MARGIN: Micros = 12 * MS;

impl Host {
    pub(super) fn accept_client(&mut self, now: Micros, connection_id: ConnectionId) {
        self.client_count += 1;
        let client = Client {
            connection: ClientConnection::new(now),
            incoming: IncomingMessage::default(),
            request: None,
            scheduled_deadline: Micros::MAX,
            close_after_response: false,
            shedding_checked: false,
            continue_sent: false,
            buffered_bytes: 0,
            band: 0,
            response_source: None,
            upload: None,
        };
        self.roles
            .insert(connection_id, Role::Client(Box::new(client)));
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
        }
        self.schedule_client_deadline(now, connection_id);
        self.evict_excess_client(now);
    }

    pub(super) fn client(&mut self, connection_id: ConnectionId) -> Option<&mut Client> {
        match self.roles.get_mut(connection_id) {
            Some(Role::Client(client)) => Some(client),
            _ => None,
        }
    }

    /// Schedules the connection's deadline if it is earlier than the scheduled one.
    pub(super) fn schedule_client_deadline(&mut self, now: Micros, connection_id: ConnectionId) {
        let closing = self.lifecycle.should_close_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        if let Some(at) = client
            .connection
            .deadline(closing, &self.limits)
            .filter(|at| *at < client.scheduled_deadline)
        {
            client.scheduled_deadline = at;
            self.deadlines
                .schedule(at, Timer::ClientDeadline(connection_id));
        }
    }

    pub(super) fn handle_client_deadline(&mut self, now: Micros, connection_id: ConnectionId) {
        let closing = self.lifecycle.should_close_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        client.scheduled_deadline = Micros::MAX;
        // A client that waits for the rest of its answer is not idle.
        if client.response_source.is_some()
            && self
                .connections
                .get(connection_id)
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
                .get(connection_id)
                .is_some_and(|connection| connection.has_unread())
        {
            client.connection.restart_body_timer(now);
        }
        match client.connection.deadline(closing, &self.limits) {
            Some(at) if at <= now => {
                let unread = client.connection.stage == Stage::Responding;
                self.remove_client(
                    now,
                    connection_id,
                    if unread {
                        CloseReason::SlowReader
                    } else {
                        CloseReason::IdleTimeout
                    },
                );
            }
            Some(_) if closing && client.connection.stage == Stage::Idle => {
                // Its next request may be on its way: one that was read is answered.
                self.schedule_client_deadline(now, connection_id);
            }
            _ => self.schedule_client_deadline(now, connection_id),
        }
    }

    pub(super) fn remove_client(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        closing: CloseReason,
    ) {
        self.log_close(now, connection_id, closing);
        if let Some(Role::Client(client)) = self.roles.remove(connection_id) {
            self.client_count -= 1;
            self.buffered_bytes -= client.buffered_bytes;
            client
                .response_source
                .into_iter()
                .for_each(|source| self.close_upstream(source));
            client
                .request
                .into_iter()
                .for_each(|request| self.abandon_request(now, request));
        }
        self.connections.close(connection_id);
        self.finish_if_drained();
    }

    /// Drops a request for which no answer is owed any more.
    pub(super) fn abandon_request(&mut self, now: Micros, request: RequestKey) {
        if let Some(request) = self.requests.remove(request) {
            self.router
                .handle_client_disconnected(now, request.handle, &mut self.router_actions);
        }
    }

    pub(super) fn handle_client_input(&mut self, now: Micros, connection_id: ConnectionId) {
        let most = self.limits.max_request_bytes;
        let (Some(Role::Client(client)), Some(connection)) = (
            self.roles.get_mut(connection_id),
            self.connections.get_mut(connection_id),
        ) else {
            return;
        };
        match client.connection.stage {
            Stage::Idle | Stage::Receiving => {}
            Stage::Lingering => {
                connection.input.clear();
                // Closing with unread input would reset the connection and could destroy the
                // answer.
                return self
                    .pending_reads
                    .extend(connection.has_unread().then_some(connection_id));
            }
            Stage::Processing if client.upload.is_some() => {
                return self.handle_upload_input(now, connection_id);
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
            return self.reject_input(now, connection_id, fault);
        }
        if client.incoming.is_complete() {
            let incoming = std::mem::take(&mut client.incoming);
            (client.continue_sent, client.shedding_checked) = (false, false);
            client.connection.begin_processing(now);
            connection.max_input_bytes = MAX_READ_AHEAD_BYTES.max(connection.input.len());
            if let Some((head, _, body)) = incoming.into_parts() {
                self.handle_request(now, connection_id, head, body);
            }
            return;
        }
        self.handle_partial_request(now, connection_id);
    }

    fn handle_partial_request(&mut self, now: Micros, connection_id: ConnectionId) {
        if self.is_shed_by_head(now, connection_id) {
            let jitter = 0.5 + fastrand::f64();
            let retry_after = (DEFAULT_RETRY_AFTER as f64 * jitter) as Micros;
            return self.write_closing_response(
                now,
                connection_id,
                &retry_later(503, retry_after, "others go first"),
            );
        }
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        if let Some(head) = client.incoming.head() {
            if client
                .incoming
                .is_body_longer_than(self.limits.max_buffered_request_bytes)
            {
                return self.begin_upload(now, connection_id);
            }
            let send_continue =
                head.expects_continue && !std::mem::replace(&mut client.continue_sent, true);
            let length = client.incoming.received_body_bytes;
            client.connection.record_body_progress(now, length);
            if send_continue {
                self.write_continue(connection_id);
            }
        }
        if let Some(evicted) = self.find_request_to_evict() {
            self.write_closing_response(
                now,
                evicted,
                &retry_later(503, DEFAULT_RETRY_AFTER, "no room"),
            );
            if evicted == connection_id {
                return;
            }
        }
        self.schedule_client_deadline(now, connection_id);
        self.continue_reading(now, connection_id);
    }

    /// Reads what the kernel still holds of a request, unless the buffer is full.
    fn continue_reading(&mut self, now: Micros, connection_id: ConnectionId) {
        let has_capacity = self
            .connections
            .get(connection_id)
            .is_some_and(|connection| connection.input.len() < connection.max_input_bytes);
        if !has_capacity {
            return;
        }
        let mut events = Vec::new();
        self.connections
            .resume_reading(connection_id, now, &mut events);
        let received = events
            .iter()
            .any(|event| matches!(event, IoEvent::Received(_)));
        self.pending_reads.extend(received.then_some(connection_id));
        let closed = events
            .into_iter()
            .find(|event| matches!(event, IoEvent::PeerClosed(_) | IoEvent::Failed(_)));
        if let Some(event) = closed {
            self.handle_event(now, event);
        }
    }

    /// The input is not a valid request, or too long.
    pub(super) fn reject_input(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        fault: ParseError,
    ) {
        let text = match fault {
            ParseError::Syntax => "no request",
            ParseError::HeadTooLarge => "head too large",
            ParseError::BodyTooLarge => "body too large",
        };
        self.write_closing_response(now, connection_id, &local_response(fault.status(), text));
    }

    /// Tells the client to send its body.
    pub(super) fn write_continue(&mut self, connection_id: ConnectionId) {
        let out = self.connections.output(connection_id);
        out.into_iter()
            .for_each(|out| out.extend(b"HTTP/1.1 100 Continue\r\n\r\n"));
    }

    /// Handles a complete request.
    fn handle_request(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
    ) {
        if let Some(client) = self.client(connection_id) {
            client.close_after_response = !head.keep_alive;
        }
        if let Err(own) = self.admit(now, connection_id, head, body, None) {
            self.write_local_response(now, connection_id, &own);
        }
    }

    /// The answer is written with all others at the end of the turn. If it were flushed here, other
    /// pending output would be flushed with it without the host learning of it.
    pub(super) fn handle_readiness_check(&mut self, connection_id: ConnectionId) {
        let ready = self.node_state() == NodeState::Ready;
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        let (request, length) = match framing::parse_request(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(asked)) => asked,
            Err(_) => return self.remove_connection(connection_id),
        };
        connection.input.drain(..length);
        let status = match request.target.split('?').next() {
            Some("/api/readyz") if ready => 200,
            Some("/api/readyz") => 503,
            _ => 404,
        };
        let last = !request.keep_alive;
        self.roles.insert(
            connection_id,
            Role::ReadinessCheck {
                close_after_response: last,
            },
        );
        if let Some(out) = self.connections.output(connection_id) {
            framing::write_response(out, status, &[], b"", last);
        }
    }
}
