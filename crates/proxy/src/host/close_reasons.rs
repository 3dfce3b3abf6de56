//! Why the proxy closes a client's connection, and the log line where an answer is still owed on
//! it.

use std::fmt;

use dataplane::client_connection::Stage;
use protocol::log_ring::IMMEDIATE;
use slog::warn;

use super::*;

/// Shortest interval between two lines that are printed at once; those in between are kept in the
/// ring.
const CLOSE_LOG_INTERVAL: Micros = SECOND;

/// The reason for closing a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed it, or it broke.
    ClientClosed,
    /// It was idle, or its request incomplete, for too long.
    IdleTimeout,
    /// The client did not read its answer.
    SlowReader,
    /// It was evicted in favour of others.
    Evicted,
    /// The server of the streamed answer closed its connection.
    ServerClosed,
    /// The server of the streamed answer was silent until the deadline.
    ResponseTimeout,
    /// The server of the streamed answer sent a malformed body.
    MalformedBody,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ClientClosed => "the client left",
            CloseReason::IdleTimeout => "idle or incomplete for too long",
            CloseReason::SlowReader => "the client did not read its answer",
            CloseReason::Evicted => "room for other connections",
            CloseReason::ServerClosed => "the server broke off",
            CloseReason::ResponseTimeout => "the server was silent until the deadline",
            CloseReason::MalformedBody => "the server sent what is no answer",
        })
    }
}

impl Host {
    /// Logs that the proxy closes a connection on which an answer is owed or a partial request is
    /// buffered.
    pub(super) fn log_close(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        closing: CloseReason,
    ) {
        let Some(Role::Client(client)) = self.roles.get(connection_id) else {
            return;
        };
        let connection = self.connections.get(connection_id);
        let (unread, unwritten) = connection.map_or((0, 0), |connection| {
            (connection.input.len(), connection.backlog())
        });
        let owed = matches!(
            client.connection.stage,
            Stage::Processing | Stage::Responding
        ) || (client.connection.stage == Stage::Idle && unread > 0);
        if closing == CloseReason::ClientClosed || !owed {
            return;
        }
        let request = client
            .request
            .and_then(|request| self.requests.get(request));
        let id = request.map_or("none", |request| request.id.as_str());
        let (stage, ms) = (
            client.connection.stage,
            (now - client.connection.stage_entered_at) / MS,
        );
        let text =
            format_args!("client's connection closed with an answer owed: {closing}").to_string();
        if now >= self.close_logged_at + CLOSE_LOG_INTERVAL {
            self.close_logged_at = now;
            warn!(self.log, #IMMEDIATE, "{text}"; "request" => id, "stage" => ?stage, "ms" => ms, "unread" => unread, "unwritten" => unwritten);
        } else {
            warn!(self.log, "{text}"; "request" => id, "stage" => ?stage, "ms" => ms, "unread" => unread, "unwritten" => unwritten);
        }
    }
}
