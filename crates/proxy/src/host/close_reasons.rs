//! The reasons for which the proxy closes a client's connection, and the log line if it does so
//! before a response is complete.

use std::fmt;

use dataplane::client_connection::Stage;

use super::throttled_log::warn_throttled;
use super::*;

/// The reason for closing a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed it, or it failed.
    ClientClosed,
    /// It was idle, or its request incomplete, for too long.
    IdleTimeout,
    /// The client did not read its response.
    SlowReader,
    /// It was evicted in favour of others.
    Evicted,
    /// The server of the streamed response closed its connection.
    ServerClosed,
    /// The server of the streamed response made no progress until the deadline.
    ResponseTimeout,
    /// The server of the streamed response sent a malformed body.
    MalformedBody,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ClientClosed => "closed by the client",
            CloseReason::IdleTimeout => "idle, or request incomplete, for too long",
            CloseReason::SlowReader => "the client did not read its response",
            CloseReason::Evicted => "evicted in favour of other connections",
            CloseReason::ServerClosed => "the server closed its connection",
            CloseReason::ResponseTimeout => "the server made no progress until the deadline",
            CloseReason::MalformedBody => "the server sent a malformed body",
        })
    }
}

impl Host {
    /// Logs that the proxy closes a client's connection while its request has no complete response,
    /// or while unhandled input is buffered.
    pub(super) fn log_close(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        reason: CloseReason,
    ) {
        let Some(Role::Client(client)) = self.roles.get(connection_id) else {
            return;
        };
        let connection = self.connections.get(connection_id);
        let (unread_bytes, unwritten_bytes) = connection.map_or((0, 0), |connection| {
            (connection.input.len(), connection.pending_output_bytes())
        });
        let is_response_due = matches!(
            client.connection.stage,
            Stage::Processing | Stage::Responding
        ) || (client.connection.stage == Stage::Idle && unread_bytes > 0);
        if reason == CloseReason::ClientClosed || !is_response_due {
            return;
        }
        let request = client
            .request
            .and_then(|request| self.requests.get(request));
        let request_id = request.map_or("none", |request| request.id.as_str());
        let (stage, stage_duration_ms) = (
            client.connection.stage,
            (now - client.connection.stage_entered_at) / MS,
        );
        let text =
            format_args!("client connection closed before its response was complete: {reason}")
                .to_string();
        warn_throttled!(self.log, self.close_log, now, "{text}"; "request" => request_id, "stage" => ?stage, "ms" => stage_duration_ms, "unread" => unread_bytes, "unwritten" => unwritten_bytes);
    }
}
