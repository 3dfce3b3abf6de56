//! Why a client's connection is closed from here, and the line for operators where an answer is owed on it.

use std::fmt;

use dataplane::visits::Stage;
use protocol::log_ring::IMMEDIATE;
use slog::warn;

use super::*;

/// Between two of these lines that come out at once; those between are kept in the ring.
const SAID: Micros = SECOND;

/// What ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// The client closed it, or it broke.
    Left,
    /// It was idle, or its request did not come whole, for too long.
    Silent,
    /// The client did not take its answer in.
    Unread,
    /// It made room for others.
    Room,
    /// The server of the answer that was being relayed broke off.
    BrokenOff,
    /// That server was silent until the answer was due.
    Overdue,
    /// That server went on with what is no body.
    Garbled,
}

impl fmt::Display for Closing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Closing::Left => "the client left",
            Closing::Silent => "idle or incomplete for too long",
            Closing::Unread => "the client did not read its answer",
            Closing::Room => "room for other connections",
            Closing::BrokenOff => "the server broke off",
            Closing::Overdue => "the server was silent until the deadline",
            Closing::Garbled => "the server sent what is no answer",
        })
    }
}

impl Host {
    /// Keeps a line where the proxy closes a connection on which it owes an answer, or holds bytes of a request.
    pub(super) fn note_closing(&mut self, now: Micros, key: ConnectionId, closing: Closing) {
        let Some(Role::Client(client)) = self.roles.get(key) else {
            return;
        };
        let wire = self.wires.get(key);
        let (unread, unwritten) = wire.map_or((0, 0), |wire| (wire.input.len(), wire.backlog()));
        let owed = matches!(client.visit.stage, Stage::Open | Stage::Answering)
            || (client.visit.stage == Stage::Idle && unread > 0);
        if closing == Closing::Left || !owed {
            return;
        }
        let request = client
            .request
            .and_then(|request| self.requests.get(request));
        let id = request.map_or("none", |request| request.id.as_str());
        let (stage, ms) = (client.visit.stage, (now - client.visit.since) / MS);
        let text =
            format_args!("client's connection closed with an answer owed: {closing}").to_string();
        if now >= self.said + SAID {
            self.said = now;
            warn!(self.log, #IMMEDIATE, "{text}"; "request" => id, "stage" => ?stage, "ms" => ms, "unread" => unread, "unwritten" => unwritten);
        } else {
            warn!(self.log, "{text}"; "request" => id, "stage" => ?stage, "ms" => ms, "unread" => unread, "unwritten" => unwritten);
        }
    }
}
