//! The final responses to requests, from a server or by the proxy itself.

use dataplane::client_connection::Stage;
use dataplane::framing;

use super::clients::{READ_WINDOW_BYTES, RESPONSE_MARGIN};
use super::*;
use crate::response_class::is_forwarded_field;

/// An idle client connection is kept this much longer than announced in `Keep-Alive`.
const KEEP_ALIVE_MARGIN: Micros = SECOND;

/// `Retry-After` if the decision module specifies none.
pub(super) const DEFAULT_RETRY_AFTER: Micros = 200 * MS;

/// A response that the proxy itself generates.
pub(super) struct LocalResponse {
    status: u16,
    /// 0 for a response without `Retry-After`.
    retry_after: Micros,
    /// The text of the body.
    reason: &'static str,
}

pub(super) fn local_response(status: u16, reason: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after: 0,
        reason,
    }
}

pub(super) fn retry_later(status: u16, retry_after: Micros, reason: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after,
        reason,
    }
}

impl Host {
    /// Writes a response of the proxy itself, after which the connection is closed.
    pub(super) fn write_closing_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        response: &LocalResponse,
    ) {
        self.client(connection_id)
            .into_iter()
            .for_each(|client| client.close_after_response = true);
        self.write_local_response(now, connection_id, response);
    }

    /// Ends a request that no server's response ended: responds with the server's failure that was
    /// received for it, if any, else with a response of the proxy itself.
    pub(super) fn finish_request(
        &mut self,
        now: Micros,
        key: RequestKey,
        rejection: EngineRejection,
    ) {
        let Some(mut request) = self.requests.remove(key) else {
            return;
        };
        // An attempt in flight may be running, since it is cancelled only after this.
        request.may_have_run |= self.may_be_running(&request);
        if request.may_have_run
            && let Some((head, body)) = request.failed_response.take()
        {
            return self.write_server_response(now, &request, &head, &body);
        }
        if request.may_have_run
            && request.has_given_up_attempt()
            && now + RESPONSE_MARGIN < request.deadline
        {
            self.log_running_request_failed(now, &request, rejection);
        }
        let response = match rejection {
            EngineRejection::Declined {
                retry_after,
                over_quota: true,
            } => retry_later(429, retry_after, "over its quota"),
            _ if request.may_have_run && now + RESPONSE_MARGIN >= request.deadline => {
                local_response(504, "no answer in time")
            }
            _ if request.may_have_run => {
                self.log_no_good_answer(now, &request);
                local_response(502, "no good answer")
            }
            EngineRejection::Declined { retry_after, .. } => {
                retry_later(503, retry_after.max(MS), "no server takes it")
            }
            EngineRejection::Failed | EngineRejection::Expired { .. } => {
                retry_later(503, DEFAULT_RETRY_AFTER, "no server took it")
            }
        };
        self.write_local_response(now, request.client, &response);
    }

    /// Writes a response of the proxy itself.
    pub(super) fn write_local_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        response: &LocalResponse,
    ) {
        let retry_after_s = format!("{:.3}", response.retry_after as f64 / 1e6);
        let mut fields = vec![("Content-Type", "text/plain")];
        fields
            .extend((response.retry_after > 0).then_some(("Retry-After", retry_after_s.as_str())));
        // While the node is nearly full, rejected clients are disconnected. A retry uses a new connection
        // in any case.
        let is_nearly_full = self.router.shedding().overload_detector().is_nearly_full();
        self.client(connection_id)
            .into_iter()
            .for_each(|client| client.close_after_response |= is_nearly_full);
        let body = format!("{}\n", response.reason);
        let Some(close) = self.begin_response(now, connection_id) else {
            return;
        };
        fields.extend(keep_alive_field(&self.client_keep_alive, close));
        if let Some(output) = self.connections.output(connection_id) {
            framing::write_response(output, response.status, &fields, body.as_bytes(), close);
            self.config_freshness.check_response(now, response.status);
            *self
                .metrics
                .local_responses
                .entry(response.status)
                .or_default() += 1;
        }
    }

    /// Forwards a server's response unchanged.
    pub(super) fn write_server_response(
        &mut self,
        now: Micros,
        request: &Request,
        head: &ResponseHead,
        body: &[u8],
    ) {
        let Some(close) = self.begin_response(now, request.client) else {
            return;
        };
        let Some(output) = self.connections.output(request.client) else {
            return;
        };
        let body_length = body.len().to_string();
        let length = match head.status {
            204 | 304 => None,
            // The length that the body would have.
            _ if request.method == "HEAD" => head.headers.get("Content-Length"),
            _ => Some(body_length.as_str()),
        };
        let length = length.map(|length| ("Content-Length", length));
        let fields = head
            .headers
            .iter()
            .filter(|(name, _)| is_forwarded_field(name));
        let fields = length
            .into_iter()
            .chain(fields)
            .chain(keep_alive_field(&self.client_keep_alive, close));
        framing::write_head(output, head.status, fields, close);
        output.extend_from_slice(body);
    }

    /// Prepares a client's connection for a response. Returns whether the connection is closed after
    /// it; `None` if there is no such connection any more.
    pub(super) fn begin_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
    ) -> Option<bool> {
        let is_closing = self
            .lifecycle
            .should_close_after_response(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return None;
        };
        client.request = None;
        // The buffered request is no longer needed.
        client.incoming = IncomingMessage::default();
        self.buffered_bytes -= std::mem::take(&mut client.buffered_bytes);
        // If a body has not arrived completely, the connection is closed after the response; the rest
        // of the body is read and discarded.
        let has_unread_body = client
            .upload
            .take()
            .is_some_and(|upload| !upload.is_complete());
        client.close_after_response |= is_closing || has_unread_body;
        client.connection.begin_response(now);
        let close_after_response = client.close_after_response;
        self.schedule_client_deadline(now, connection_id);
        Some(close_after_response)
    }

    /// All pending output of a client's connection is written.
    pub(super) fn handle_response_written(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        if client.connection.stage != Stage::Responding {
            return;
        }
        if let Some(upstream) = client.response_source {
            client.connection.record_write_progress(now);
            return self.resume_response_stream(upstream);
        }
        let is_last = client.close_after_response;
        client.connection.finish_response(now, is_last);
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
            self.buffered_bytes =
                self.buffered_bytes + connection.input.len() - client.buffered_bytes;
            client.buffered_bytes = connection.input.len();
        }
        if is_last {
            self.connections.shutdown_write(connection_id);
        }
        // Pipelined input may be buffered here or in the kernel.
        self.pending_reads.push(connection_id);
        self.schedule_client_deadline(now, connection_id);
    }
}

/// The value of `Keep-Alive` for clients. It is shorter than the real time-out, so that no request
/// is sent while its connection is being closed: if it is not idempotent it would fail, as its
/// client could not determine whether it was read.
pub(super) fn keep_alive_value(idle_timeout: Micros) -> String {
    format!(
        "timeout={}",
        (idle_timeout - KEEP_ALIVE_MARGIN).max(0) / SECOND
    )
}

/// The `Keep-Alive` field, unless the connection is closed after the response.
pub(super) fn keep_alive_field(value: &str, close: bool) -> Option<(&'static str, &str)> {
    (!close).then_some(("Keep-Alive", value))
}
