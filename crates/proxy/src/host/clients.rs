//! The connections of clients, and the reading of requests from them.

use dataplane::client_connection::Stage;
use dataplane::framing::{self, ParseError};

use super::responses::{DEFAULT_RETRY_AFTER, LocalResponse, local_response, retry_later};
use super::*;

/// Bytes read ahead from a client while its request is in progress.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// Bytes read at a time while a request is arriving.
pub(super) const READ_WINDOW_BYTES: usize = 128 * 1024;
/// A request's deadline is this long before the client's, as the response takes time to arrive.
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
        let is_closing_idle = self.lifecycle.should_close_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        if let Some(deadline) = client
            .connection
            .deadline(is_closing_idle, &self.limits)
            .filter(|deadline| *deadline < client.scheduled_deadline)
        {
            client.scheduled_deadline = deadline;
            self.deadlines
                .schedule(deadline, Timer::ClientDeadline(connection_id));
        }
    }

    /// Closes a client's connection if its deadline is over, else schedules the deadline again.
    pub(super) fn handle_client_deadline(&mut self, now: Micros, connection_id: ConnectionId) {
        let is_closing_idle = self.lifecycle.should_close_idle(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        client.scheduled_deadline = Micros::MAX;
        // A client that waits for the rest of its response is not idle.
        if client.response_source.is_some()
            && self
                .connections
                .get(connection_id)
                .is_some_and(|connection| connection.pending_output_bytes() == 0)
        {
            client.connection.record_write_progress(now);
        }
        // A client whose body is not being read because the server is slow is not idle either.
        let is_over = client
            .connection
            .deadline(is_closing_idle, &self.limits)
            .is_some_and(|deadline| deadline <= now);
        if is_over
            && client.upload.is_some()
            && self
                .connections
                .get(connection_id)
                .is_some_and(|connection| connection.has_unread())
        {
            client.connection.restart_body_timer(now);
        }
        match client.connection.deadline(is_closing_idle, &self.limits) {
            Some(deadline) if deadline <= now => {
                let is_response_unread = client.connection.stage == Stage::Responding;
                self.remove_client(
                    now,
                    connection_id,
                    if is_response_unread {
                        CloseReason::SlowReader
                    } else {
                        CloseReason::IdleTimeout
                    },
                );
            }
            Some(_) if is_closing_idle && client.connection.stage == Stage::Idle => {
                // Its next request may be in transit; it is served if it arrives before the deadline.
                self.schedule_client_deadline(now, connection_id);
            }
            _ => self.schedule_client_deadline(now, connection_id),
        }
    }

    pub(super) fn remove_client(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        reason: CloseReason,
    ) {
        self.log_close(now, connection_id, reason);
        if let Some(Role::Client(client)) = self.roles.remove(connection_id) {
            self.client_count -= 1;
            self.buffered_bytes -= client.buffered_bytes;
            client
                .response_source
                .into_iter()
                .for_each(|upstream| self.close_upstream(upstream));
            client
                .request
                .into_iter()
                .for_each(|request| self.abandon_request(now, request));
        }
        self.connections.close(connection_id);
        self.finish_if_drained();
    }

    /// Drops a request whose client no longer waits for a response.
    pub(super) fn abandon_request(&mut self, now: Micros, key: RequestKey) {
        if let Some(request) = self.requests.remove(key) {
            self.router
                .handle_client_disconnected(now, request.handle, &mut self.router_actions);
        }
    }

    pub(super) fn handle_client_input(&mut self, now: Micros, connection_id: ConnectionId) {
        let max_request_bytes = self.limits.max_request_bytes;
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
                // Closing with unread input would reset the connection, and the client could lose
                // the response.
                return self
                    .pending_reads
                    .extend(connection.has_unread().then_some(connection_id));
            }
            Stage::Processing if client.upload.is_some() => {
                return self.handle_upload_input(now, connection_id);
            }
            // Pipelined input waits until the previous request has its response.
            Stage::Processing | Stage::Responding => return,
        }
        if connection.input.is_empty() && client.incoming.head().is_none() {
            return;
        }
        client.connection.begin_request(now);
        let result = client
            .incoming
            .read(&mut connection.input, max_request_bytes, &self.limits);
        let buffered_bytes = connection.input.len() + client.incoming.body.len();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - client.buffered_bytes;
        client.buffered_bytes = buffered_bytes;
        if let Err(error) = result {
            let response = self.invalid_input_response(now, error);
            return self.write_closing_response(now, connection_id, &response);
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

    /// Handles a request that has not arrived completely: sheds it, begins to stream its body, or
    /// reads on.
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

    /// Reads what the kernel still buffers of a request, unless the input buffer is full.
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

    /// The response to input that is not a valid request, or too long by a configuration that may be old.
    fn invalid_input_response(&self, now: Micros, error: ParseError) -> LocalResponse {
        match error {
            ParseError::Syntax => local_response(error.status(), invalid_input_reason(error)),
            ParseError::HeadTooLarge | ParseError::BodyTooLarge => {
                self.refusal_by_configuration(now, error.status(), invalid_input_reason(error))
            }
        }
    }

    /// Sends `100 Continue`, upon which the client sends its body.
    pub(super) fn write_continue(&mut self, connection_id: ConnectionId) {
        let output = self.connections.output(connection_id);
        output
            .into_iter()
            .for_each(|output| output.extend(b"HTTP/1.1 100 Continue\r\n\r\n"));
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
        if let Err(response) = self.admit(now, connection_id, head, body, None) {
            self.write_local_response(now, connection_id, &response);
        }
    }

    /// Handles a readiness check by the platform.
    ///
    /// The response is written at the end of the iteration, together with all others. If it were
    /// flushed here, other pending output would be flushed too, without the host being notified.
    pub(super) fn handle_readiness_check(&mut self, connection_id: ConnectionId) {
        let is_ready = self.node_state() == NodeState::Ready;
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        let (request, length) = match framing::parse_request(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(request_and_length)) => request_and_length,
            Err(_) => return self.remove_connection(connection_id),
        };
        connection.input.drain(..length);
        let status = match request.target.split('?').next() {
            Some("/api/readyz") if is_ready => 200,
            Some("/api/readyz") => 503,
            _ => 404,
        };
        let close_after_response = !request.keep_alive;
        self.roles.insert(
            connection_id,
            Role::ReadinessCheck {
                close_after_response,
            },
        );
        if let Some(output) = self.connections.output(connection_id) {
            framing::write_response(output, status, &[], b"", close_after_response);
        }
    }
}

/// The text of the response to invalid input.
pub(super) fn invalid_input_reason(error: ParseError) -> &'static str {
    match error {
        ParseError::Syntax => "no request",
        ParseError::HeadTooLarge => "head too large",
        ParseError::BodyTooLarge => "body too large",
    }
}
