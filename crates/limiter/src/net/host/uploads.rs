//! Request bodies that are streamed to a server while they arrive.

use super::*;
use crate::frontend::reject;
use crate::net::framing::{BodyFraming, Request};
use crate::upload::Upload;

impl Host {
    /// Submits a request by its head; its body is streamed instead of buffered completely.
    pub(super) fn begin_upload(
        &mut self,
        key: ConnectionKey,
        incoming: IncomingMessage<RequestHead>,
    ) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Client { listener, .. } = connection.role else {
            return;
        };
        let (framing, received_body_bytes) = (incoming.framing, incoming.received_body_bytes);
        let Some((head, reader, body)) = incoming.into_parts() else {
            return;
        };
        self.buffered_bytes += body.len();
        connection.close_after_response = !head.keep_alive;
        connection.continue_sent = false;
        let upload = Upload::new(framing, reader, body, self.limits.relay_window_bytes);
        connection.read_state = ReadState::Upload(upload);
        let request = Request::new(head, Vec::new());
        let result = match listener {
            // The requests of a class that is safe to repeat have no body.
            ListenerKind::Platform if request.method == "GET" => {
                Err(reject(400, "the class has no body"))
            }
            ListenerKind::Platform => self.platform.parse_request(&request, &self.limits, now),
            ListenerKind::Introspection | ListenerKind::Cluster => {
                Err(reject(413, "the body is too long"))
            }
        };
        match result {
            Ok(mut authorisation) => {
                // The client's time counts from its last byte: the deadline is extended by the time for the rest of the
                // body at the minimum rate.
                let remaining_bytes = match framing {
                    BodyFraming::Length(length) => length.saturating_sub(received_body_bytes),
                    BodyFraming::Chunked | BodyFraming::UntilClose => self
                        .limits
                        .max_request_bytes
                        .saturating_sub(received_body_bytes),
                };
                let upload_time = (remaining_bytes / self.limits.min_body_bytes_per_s.max(1))
                    as Micros
                    * 1_000_000;
                authorisation.deadline += upload_time.min(self.limits.max_upload_extension);
                let upstream_request = UpstreamRequest::from_streaming_request(&request, framing);
                self.submit_authorisation(
                    key,
                    RECORDS_SERVICE,
                    authorisation,
                    upstream_request,
                    RequestKind::Platform,
                );
                if let Some(connection) = self.connections.get_mut(key) {
                    connection
                        .client
                        .record_body_progress(now, received_body_bytes);
                }
                self.schedule_client_deadline(key);
                self.read_upload(key);
            }
            Err(rejection) => self.respond_rejection(key, &rejection, true),
        }
    }

    /// Reads more of a streamed body, and forwards it to the server if an attempt carries it.
    pub(super) fn read_upload(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ReadState::Upload(upload) = &connection.read_state else {
            return;
        };
        let (bytes_before, attempt) = (connection.buffered_bytes(), upload.attempt());
        let result = match attempt {
            None => Host::forward_body(connection, None),
            Some(attempt) => match self.connections.get_disjoint_mut([key, attempt]) {
                Some([client, server]) => Host::forward_body(client, Some(&mut server.output)),
                None => return,
            },
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.buffered_bytes =
            (self.buffered_bytes + connection.buffered_bytes()).saturating_sub(bytes_before);
        let ReadState::Upload(upload) = &connection.read_state else {
            return;
        };
        let (is_complete, received_bytes) = (upload.is_complete(), upload.received_bytes());
        connection.client.record_body_progress(now, received_bytes);
        if result.is_err() {
            // A malformed body can't be reported to the server: the attempt is cancelled, and the client gets the
            // error.
            return self.reject_upload(key, &reject(400, "malformed"));
        }
        if is_complete {
            connection.client.begin_processing(now);
        }
        if let Some(attempt) = attempt {
            self.queue_upload(attempt, is_complete);
        }
        self.report_discarded_body(key);
        self.schedule_client_deadline(key);
    }

    /// Tells the engine once a part of the body is no longer buffered: the request can't be moved to another server.
    fn report_discarded_body(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if let Role::Client {
            authorisation: Some((service, authorisation)),
            ..
        } = connection.role
            && connection.active_upload().is_some_and(Upload::is_discarded)
        {
            self.services[service]
                .engine
                .handle_body_discarded(authorisation);
        }
    }

    fn forward_body(
        connection: &mut Connection,
        output: Option<&mut Vec<u8>>,
    ) -> Result<(), framing::ParseError> {
        let ReadState::Upload(upload) = &mut connection.read_state else {
            return Ok(());
        };
        upload.read(&mut connection.input, output)
    }

    /// The head of an attempt is queued on its connection: the buffered part of the body follows it.
    pub(super) fn start_upload(&mut self, client_key: ConnectionKey, attempt: ConnectionKey) {
        let Some([client, server]) = self.connections.get_disjoint_mut([client_key, attempt])
        else {
            return;
        };
        let bytes_before = client.buffered_bytes();
        let ReadState::Upload(upload) = &mut client.read_state else {
            return;
        };
        upload.start_attempt(attempt, &mut server.output);
        let is_complete = upload.is_complete();
        self.buffered_bytes =
            (self.buffered_bytes + client.buffered_bytes()).saturating_sub(bytes_before);
        self.queue_upload(attempt, is_complete);
        self.report_discarded_body(client_key);
        self.reread.push(client_key);
    }

    /// Queues the forwarded part of a body for writing. Until its end is written the request does not count as sent.
    fn queue_upload(&mut self, attempt: ConnectionKey, is_complete: bool) {
        if let Some(server) = self.connections.get_mut(attempt) {
            server.is_uploading = !is_complete;
            self.unflushed.push(attempt);
        }
    }

    /// An attempt has ended: the client's upload has no destination until the next one starts.
    pub(super) fn detach_upload(&mut self, service: usize, authorisation: AuthorisationKey) {
        let pending = self.services[service].pending.get(authorisation);
        let Some(client) = pending.and_then(|pending| self.connections.get_mut(pending.connection))
        else {
            return;
        };
        if let ReadState::Upload(upload) = &mut client.read_state {
            upload.end_attempt();
        }
    }

    /// The connection of an attempt accepts more output: continues to read from its client if that was stopped.
    pub(super) fn resume_upload(&mut self, attempt: ConnectionKey) {
        let Some(Role::Upstream { service, state, .. }) =
            self.connections.get(attempt).map(|c| c.role)
        else {
            return;
        };
        let Some(UpstreamPurpose::Attempt(authorisation, _)) = state.purpose() else {
            return;
        };
        let client_key = self.services[service]
            .pending
            .get(authorisation)
            .map(|pending| pending.connection);
        let has_unread = |key: &ConnectionKey| {
            self.connections
                .get(*key)
                .is_some_and(|client| client.has_unread)
        };
        if let Some(client_key) = client_key.filter(has_unread) {
            self.reread.push(client_key);
        }
    }

    /// The client's body is malformed or timed out: abandons the request, and rejects it.
    pub(super) fn reject_upload(&mut self, key: ConnectionKey, rejection: &Rejection) {
        self.abandon_client_request(key);
        self.respond_rejection(key, rejection, true);
    }
}
