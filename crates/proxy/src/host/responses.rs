//! The final answers of requests, from a server or by the proxy itself.

use dataplane::client_connection::Stage;
use dataplane::framing;

use super::clients::{READ_WINDOW_BYTES, RESPONSE_MARGIN};
use super::*;
use crate::response_class::is_forwarded_field;

/// An idle connection is kept this much longer than its client is told.
const KEEP_ALIVE_MARGIN: Micros = SECOND;

/// The wait told where the module gives none.
pub(super) const DEFAULT_RETRY_AFTER: Micros = 200 * MS;

/// An answer that the proxy itself generates.
pub(super) struct LocalResponse {
    status: u16,
    retry_after: Micros,
    reason: &'static str,
}

pub(super) fn local_response(status: u16, text: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after: 0,
        reason: text,
    }
}

pub(super) fn retry_later(status: u16, retry_after: Micros, text: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        retry_after,
        reason: text,
    }
}

impl Host {
    /// Writes an answer after which the connection is closed.
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

    /// Ends a request as the module decided.
    pub(super) fn finish_request(&mut self, now: Micros, key: RequestKey, ending: EngineRejection) {
        let Some(mut request) = self.requests.remove(key) else {
            return;
        };
        // An attempt in flight may be running: it is stopped only after this.
        request.may_have_run |= self.may_be_running(request.handle);
        if let Some((head, body)) = request.failed_response.filter(|_| request.may_have_run) {
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
        connection_id: ConnectionId,
        own: &LocalResponse,
    ) {
        let seconds = format!("{:.3}", own.retry_after as f64 / 1e6);
        let mut lines = vec![("Content-Type", "text/plain")];
        lines.extend((own.retry_after > 0).then_some(("Retry-After", seconds.as_str())));
        // While the node is crowded, rejected clients are disconnected: a retry uses a new
        // connection anyway.
        let crowded = self.router.shedding().overload_detector().is_nearly_full();
        self.client(connection_id)
            .into_iter()
            .for_each(|client| client.close_after_response |= crowded);
        let body = format!("{}\n", own.reason);
        let Some(close) = self.begin_response(now, connection_id) else {
            return;
        };
        lines.extend(keep_alive_field(&self.client_keep_alive, close));
        if let Some(out) = self.connections.output(connection_id) {
            framing::write_response(out, own.status, &lines, body.as_bytes(), close);
            self.config_freshness.check_response(now, own.status);
            *self.metrics.local_responses.entry(own.status).or_default() += 1;
        }
    }

    /// Forwards a server's answer unchanged.
    pub(super) fn write_server_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        head: &ResponseHead,
        body: &[u8],
    ) {
        let Some(close) = self.begin_response(now, connection_id) else {
            return;
        };
        let Some(out) = self.connections.output(connection_id) else {
            return;
        };
        let length = body.len().to_string();
        let bodiless = matches!(head.status, 204 | 304);
        let length = (!bodiless).then_some(("Content-Length", length.as_str()));
        let lines = head
            .headers
            .iter()
            .filter(|(name, _)| is_forwarded_field(name));
        let lines = length
            .into_iter()
            .chain(lines)
            .chain(keep_alive_field(&self.client_keep_alive, close));
        framing::write_head(out, head.status, lines, close);
        out.extend_from_slice(body);
    }

    /// Prepares the connection for its answer; returns whether the connection is closed after it,
    /// `None` if it is gone.
    pub(super) fn begin_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
    ) -> Option<bool> {
        let last = self
            .lifecycle
            .should_close_after_response(now, &self.limits);
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return None;
        };
        client.request = None;
        // The buffered request is not needed any more.
        client.incoming = IncomingMessage::default();
        self.buffered_bytes -= std::mem::take(&mut client.buffered_bytes);
        // The rest of a body is read and discarded after the last answer.
        let rest = client
            .upload
            .take()
            .is_some_and(|upload| !upload.is_complete());
        client.close_after_response |= last || rest;
        client.connection.begin_response(now);
        let close = client.close_after_response;
        self.schedule_client_deadline(now, connection_id);
        Some(close)
    }

    pub(super) fn handle_response_written(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return;
        };
        if client.connection.stage != Stage::Responding {
            return;
        }
        if let Some(source) = client.response_source {
            client.connection.record_write_progress(now);
            return self.resume_response_stream(source);
        }
        let last = client.close_after_response;
        client.connection.finish_response(now, last);
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.max_input_bytes = READ_WINDOW_BYTES;
            self.buffered_bytes =
                self.buffered_bytes + connection.input.len() - client.buffered_bytes;
            client.buffered_bytes = connection.input.len();
        }
        if last {
            self.connections.shutdown_write(connection_id);
        }
        // Pipelined input may be buffered here or in the kernel.
        self.pending_reads.push(connection_id);
        self.schedule_client_deadline(now, connection_id);
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
