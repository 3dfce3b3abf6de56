//! Streams long request bodies from the client's connection to the server's. Such a body is sent to
//! one server only; the request has not run until the last byte is written there.

use dataplane::framing::{BodyFraming, ParseError};
use dataplane::upload::Upload;

use super::admission::StreamedBody;
use super::clients::MAX_READ_AHEAD_BYTES;
use super::*;

impl Host {
    /// Begins to stream a body: the request is admitted by its head.
    pub(super) fn begin_upload(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let incoming = std::mem::take(&mut client.incoming);
        let (extent, come) = (incoming.framing, incoming.received_body_bytes);
        let Some((head, reader, body)) = incoming.into_parts() else {
            return;
        };
        client.upload = Some(Upload::new(extent, reader, body, 0));
        client.close_after_response = !head.keep_alive;
        client.shedding_checked = false;
        let told = std::mem::take(&mut client.continue_sent);
        client.connection.begin_processing(now);
        client.connection.record_body_progress(now, come);
        // The client's time-out counts from its last byte.
        let left = match extent {
            BodyFraming::Length(length) => length.saturating_sub(come),
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                self.limits.max_request_bytes.saturating_sub(come)
            }
        };
        let more = (left / self.limits.min_body_bytes_per_s.max(1)) as Micros * SECOND;
        let streamed = StreamedBody {
            framing: extent,
            extra_time: more.min(self.limits.max_upload_extension),
        };
        let expects = head.expects_continue && !told;
        if let Err(own) = self.admit(now, connection_id, head, Vec::new(), Some(streamed)) {
            return self.write_local_response(now, connection_id, &own);
        }
        if expects {
            self.write_continue(connection_id);
        }
        self.schedule_client_deadline(now, connection_id);
        self.handle_upload_input(now, connection_id);
    }

    /// Handles more bytes of a streamed body.
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
        let attempt = upload.attempt();
        let mut out = attempt.and_then(|attempt| self.connections.output(attempt));
        let taken = upload.read(&mut input, out.as_deref_mut());
        let (whole, window) = (upload.is_complete(), self.limits.relay_window_bytes);
        // No more than one window is buffered on either side.
        let room = match out {
            Some(out) if out.is_empty() => window,
            Some(_) => 0,
            None => window.saturating_sub(upload.buffered_bytes()),
        };
        let held = input.len() + upload.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes + held - client.buffered_bytes;
        client.buffered_bytes = held;
        if whole {
            client.connection.begin_processing(now);
        } else {
            client
                .connection
                .record_body_progress(now, upload.received_bytes());
        }
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = if whole {
                MAX_READ_AHEAD_BYTES.max(input.len())
            } else {
                room
            };
            connection.input = input;
        }
        if let Some(Role::Upstream(upstream)) =
            attempt.and_then(|attempt| self.roles.get_mut(attempt))
        {
            upstream.is_uploading = !whole;
        }
        match taken {
            Err(fault) => self.fail_upload(now, connection_id, fault),
            Ok(()) if whole => self.handle_upload_complete(now, connection_id),
            Ok(()) => self.schedule_client_deadline(now, connection_id),
        }
    }

    /// The last byte has arrived: from here on the request has the time that its client gives it.
    fn handle_upload_complete(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(request) = self.client(connection_id).and_then(|client| client.request) else {
            return;
        };
        if let Some(known) = self.requests.get_mut(request) {
            known.deadline = known.deadline.min(now + known.allowed_time);
            self.deadlines
                .schedule(known.deadline, Timer::RequestDeadline(request));
        }
    }

    /// The attempt's connection is established and the head written: the buffered bytes follow.
    /// There is no other attempt after it.
    pub(super) fn start_upload(&mut self, key: RequestKey, connection: ConnectionId) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (handle, from) = (request.handle, request.client);
        let Some(Role::Client(client)) = self.roles.get_mut(from) else {
            return;
        };
        let (Some(upload), Some(out)) = (&mut client.upload, self.connections.output(connection))
        else {
            return;
        };
        upload.start_attempt(connection, out);
        let whole = upload.is_complete();
        self.router.handle_body_sent(handle);
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection) {
            upstream.is_uploading = !whole;
        }
    }

    /// The forwarded bytes are written: the client may send more.
    pub(super) fn resume_upload(&mut self, key: RequestKey) {
        let Some(from) = self.requests.get(key).map(|request| request.client) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(from) {
            connection.max_input_bytes = self.limits.relay_window_bytes;
            self.pending_reads.push(from);
        }
    }

    /// The body is malformed or too long. Its end was never written, so that the server never runs
    /// the request.
    fn fail_upload(&mut self, now: Micros, connection_id: ConnectionId, fault: ParseError) {
        if let Some(request) = self
            .client(connection_id)
            .and_then(|client| client.request.take())
        {
            self.abandon_request(now, request);
        }
        self.reject_input(now, connection_id, fault);
    }

    /// The time of a request whose long body has arrived is over.
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
