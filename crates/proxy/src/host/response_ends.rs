//! The log line of a server's connection that ends while a response on it has begun and is not
//! complete by its length.

use super::throttled_log::warn_throttled;
use super::*;

impl Host {
    /// Logs that a server's connection has ended within a response. `is_completed`: the end
    /// completes the response, which has no length.
    pub(super) fn log_end_within_response(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        is_completed: bool,
    ) {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return;
        };
        let has_begun = upstream.response_stream.is_some() || upstream.incoming.head().is_some();
        if !has_begun || (is_completed && connection.failed_call().is_none()) {
            return;
        }
        let request = match upstream.state.purpose() {
            Some(UpstreamPurpose::Attempt(request, ..)) => self.requests.get(request),
            Some(UpstreamPurpose::Probe(_)) | None => None,
        };
        let request_id = request.map_or("none", |request| request.id.as_str());
        let body_bytes = upstream.incoming.received_body_bytes;
        let is_request_sent = upstream.state.outcome_if_broken() == Outcome::Reset;
        warn_throttled!(self.log, self.response_log, now, "the connection of a server ended within its response"; "request" => request_id, "completed" => is_completed, "failed_call" => ?connection.failed_call(), "streamed" => upstream.response_stream.is_some(), "body_bytes" => body_bytes, "request_sent" => is_request_sent);
    }
}
