//! Streams long request bodies from the client's connection to the server's. Such a body is sent to
//! one server only, which can't run the request before the last byte is written to it.

use dataplane::framing::{BodyFraming, ParseError};
use dataplane::upload::Upload;

use super::admission::StreamedBody;
use super::clients::{MAX_READ_AHEAD_BYTES, invalid_input_reason};
use super::responses::local_response;
use super::*;

impl Host {
    /// Begins to stream a body: the request is admitted by its head alone.
    pub(super) fn begin_upload(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let incoming = std::mem::take(&mut client.incoming);
        let (framing, received_bytes) = (incoming.framing, incoming.received_body_bytes);
        let Some((head, reader, body)) = incoming.into_parts() else {
            return;
        };
        client.upload = Some(Upload::new(framing, reader, body, 0));
        client.close_after_response = !head.keep_alive;
        client.shedding_checked = false;
        let continue_sent = std::mem::take(&mut client.continue_sent);
        client.connection.begin_processing(now);
        client.connection.record_body_progress(now, received_bytes);
        // The request's time begins when the last byte of the body has arrived. Until then it is
        // extended by the time that the rest takes at the least permitted rate.
        let remaining_bytes = match framing {
            BodyFraming::Length(length) => length.saturating_sub(received_bytes),
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                self.limits.max_request_bytes.saturating_sub(received_bytes)
            }
        };
        let extra_time =
            (remaining_bytes / self.limits.min_body_bytes_per_s.max(1)) as Micros * SECOND;
        let streamed = StreamedBody {
            framing,
            extra_time: extra_time.min(self.limits.max_upload_extension),
        };
        let awaits_continue = head.expects_continue && !continue_sent;
        if let Err(response) = self.admit(now, connection_id, head, Vec::new(), Some(streamed)) {
            return self.write_local_response(now, connection_id, &response);
        }
        if awaits_continue {
            self.write_continue(connection_id);
        }
        self.schedule_client_deadline(now, connection_id);
        self.handle_upload_input(now, connection_id);
    }

    /// Forwards the bytes of a streamed body that have arrived.
    pub(super) fn handle_upload_input(&mut self, now: Micros, connection_id: ConnectionId) {
        let (Some(Role::Client(client)), Some(connection)) = (
            self.roles.get_mut(connection_id),
            self.connections.get_mut(connection_id),
        ) else {
            return;
        };
        let Some(upload) = client
            .upload
            .as_mut()
            .filter(|upload| !upload.is_complete())
        else {
            return;
        };
        let mut input = std::mem::take(&mut connection.input);
        let upstream_id = upload.attempt();
        let mut output = upstream_id.and_then(|upstream_id| self.connections.output(upstream_id));
        let result = upload.read(&mut input, output.as_deref_mut());
        let (is_complete, window) = (upload.is_complete(), self.limits.relay_window_bytes);
        // No more than one window is buffered on either side.
        let max_input_bytes = match output {
            Some(output) if output.is_empty() => window,
            Some(_) => 0,
            None => window.saturating_sub(upload.buffered_bytes()),
        };
        let buffered_bytes = input.len() + upload.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - client.buffered_bytes;
        client.buffered_bytes = buffered_bytes;
        if is_complete {
            client.connection.begin_processing(now);
        } else {
            client
                .connection
                .record_body_progress(now, upload.received_bytes());
        }
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = if is_complete {
                MAX_READ_AHEAD_BYTES.max(input.len())
            } else {
                max_input_bytes
            };
            connection.input = input;
        }
        if let Some(Role::Upstream(upstream)) =
            upstream_id.and_then(|upstream_id| self.roles.get_mut(upstream_id))
        {
            upstream.is_uploading = !is_complete;
        }
        match result {
            Err(error) => self.fail_upload(now, connection_id, error),
            Ok(()) if is_complete => self.handle_upload_complete(now, connection_id),
            Ok(()) => self.schedule_client_deadline(now, connection_id),
        }
    }

    /// The last byte of a body has arrived: from now on the request has the time that its client
    /// allows.
    fn handle_upload_complete(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(key) = self.client(connection_id).and_then(|client| client.request) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(key) {
            request.deadline = request.deadline.min(now + request.allowed_time);
            self.deadlines
                .schedule(request.deadline, Timer::RequestDeadline(key));
        }
    }

    /// Starts to stream a body on the connection of an attempt, which is established and to which the
    /// head is written: the buffered bytes follow. There is no further attempt after this one.
    pub(super) fn start_upload(&mut self, key: RequestKey, upstream_id: ConnectionId) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (handle, client_id) = (request.handle, request.client);
        let Some(Role::Client(client)) = self.roles.get_mut(client_id) else {
            return;
        };
        let (Some(upload), Some(output)) =
            (&mut client.upload, self.connections.output(upstream_id))
        else {
            return;
        };
        upload.start_attempt(upstream_id, output);
        let is_complete = upload.is_complete();
        self.router.handle_body_discarded(handle);
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(upstream_id) {
            upstream.is_uploading = !is_complete;
        }
    }

    /// The forwarded bytes are written: more may be read from the client.
    pub(super) fn resume_upload(&mut self, key: RequestKey) {
        let Some(client_id) = self.requests.get(key).map(|request| request.client) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(client_id) {
            connection.max_input_bytes = self.limits.relay_window_bytes;
            self.pending_reads.push(client_id);
        }
    }

    /// Rejects a request whose body is malformed or too long. Its end is never written, so that the
    /// server can't run the request.
    fn fail_upload(&mut self, now: Micros, connection_id: ConnectionId, error: ParseError) {
        if let Some(key) = self
            .client(connection_id)
            .and_then(|client| client.request.take())
        {
            self.abandon_request(now, key);
        }
        // Not as a request that has not run: a server may have answered before it has read the whole body.
        let response = local_response(error.status(), invalid_input_reason(error));
        self.write_closing_response(now, connection_id, &response);
    }

    /// Ends a request whose streamed body has arrived completely, if its deadline is over.
    pub(super) fn handle_request_deadline(&mut self, now: Micros, key: RequestKey) {
        let Some(request) = self
            .requests
            .get(key)
            .filter(|request| request.deadline <= now)
        else {
            return;
        };
        let handle = request.handle;
        self.finish_request(now, key, EngineRejection::Failed);
        self.router
            .handle_client_disconnected(now, handle, &mut self.router_actions);
    }
}
