//! HTTP calls of operators and clients, and this program's own calls of the platform.

use std::io::{ErrorKind, Read};

use slog::warn;
use slotmap::Key;

use super::Host;
use super::connections::Role;
use super::platform_poller::{PlatformPoller, PollResult};
use crate::core::Input;
use crate::core::ids::SingletonRole;
use crate::dataplane_types::{ConnectionKey, ParseError, Request, write_response};
use crate::limits;
use crate::lookup::LookupQuery;
use crate::operator_api::{self, Reply};

/// The greatest size of the body of a lookup.
const MAX_LOOKUP_BODY_BYTES: u64 = 1_024;

/// The greatest number of callers whose next calls are read in one iteration of the event loop.
const MAX_NEXT_CALLS: usize = 64;

const JSON_HEADERS: [(&str, &str); 1] = [("Content-Type", "application/json")];

impl Host {
    /// Reads the calls of a connection one at a time: the next one is read once this one is answered.
    pub(super) fn read_call(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.awaiting_reply || connection.closing {
            return;
        }
        let is_operator = connection.role == Role::Operator;
        let max_body_bytes = if is_operator {
            limits::MAX_CALL_BYTES
        } else {
            MAX_LOOKUP_BODY_BYTES
        };
        if let Err(error) =
            connection
                .incoming
                .read(&mut connection.input, max_body_bytes, &self.frame_limits)
        {
            return self.reject(key, error);
        }
        if !connection.incoming.is_complete() {
            let expects_continue = connection
                .incoming
                .head()
                .is_some_and(|head| head.expects_continue);
            if expects_continue && !std::mem::replace(&mut connection.continue_sent, true) {
                self.write(key, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        }
        connection.continue_sent = false;
        let Some((head, _, body)) = std::mem::take(&mut connection.incoming).into_parts() else {
            return;
        };
        connection.close_after_reply = !head.keep_alive;
        connection.awaiting_reply = true;
        let request = Request::new(head, body);
        if is_operator {
            self.handle_operator_call(key, request)
        } else {
            self.handle_client_call(key, &request)
        }
    }

    /// Answers a malformed request, and closes the connection.
    fn reject(&mut self, key: ConnectionKey, error: ParseError) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.close_after_reply = true;
            connection.awaiting_reply = true;
        }
        let body = format!(r#"{{"error":"{error}"}}"#);
        self.answer(key, error.status(), body.as_bytes());
    }

    /// Whether a caller has closed its end of the connection. Bytes that it has sent after the call are kept.
    fn has_disconnected(&mut self, key: ConnectionKey) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        match (&*connection.stream).read(&mut self.read_buffer) {
            Ok(0) => true,
            Ok(length) => {
                connection
                    .input
                    .extend_from_slice(&self.read_buffer[..length]);
                false
            }
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    fn handle_operator_call(&mut self, key: ConnectionKey, request: Request) {
        // An evacuation has no version. A call that was pending while this process stalled, and was retried at another
        // replica, must not be executed after the opposite call was acknowledged.
        if self.has_disconnected(key) {
            return self.close(key);
        }
        let is_large = request.body.len() > limits::LARGE_CONTENT_BYTES;
        match operator_api::parse_command(request) {
            Ok(command) => {
                let deadline = self.now()
                    + if is_large {
                        limits::LARGE_CALL_TIMEOUT
                    } else {
                        limits::CALL_TIMEOUT
                    };
                self.step_core(Input::OperatorCall(key.data().as_ffi(), command, deadline));
            }
            Err(reply) => {
                self.send_reply(key, reply);
            }
        }
    }

    fn handle_client_call(&mut self, key: ConnectionKey, request: &Request) {
        let path = request.target.split('?').next().unwrap_or_default();
        let reply = match (request.method.as_str(), path) {
            ("GET", "/api/lookup") => {
                return self.handle_lookup(key, LookupQuery::parse(&request.target));
            }
            (_, "/api/lookup") => Reply::MethodNotAllowed,
            _ => Reply::NotFound(format!("path: {path}")),
        };
        self.send_reply(key, reply);
    }

    /// Answers a caller. Its next call is read later in this iteration, or in the next ones: with a caller that sends many calls
    /// at once, handling each within the one before would exhaust the stack.
    pub(super) fn answer(&mut self, key: ConnectionKey, status: u16, body: &[u8]) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.awaiting_reply)
        else {
            return;
        };
        connection.awaiting_reply = false;
        connection.closing = connection.close_after_reply || self.shutdown_started_at.is_some();
        let close = connection.closing;
        let mut bytes = Vec::with_capacity(body.len() + 128);
        write_response(&mut bytes, status, &JSON_HEADERS, body, close);
        self.write(key, &bytes);
        if !close {
            self.answered_callers.push_back(key);
        }
    }

    /// Reads the next calls of callers that have been answered, as many as fit into one iteration of the event loop.
    pub(super) fn read_next_calls(&mut self) {
        for _ in 0..MAX_NEXT_CALLS {
            let Some(key) = self.answered_callers.pop_front() else {
                return;
            };
            self.read_call(key);
            let connection = self.connections.get(key);
            if connection.is_some_and(|connection| connection.has_unread) {
                self.read(key);
            }
        }
    }

    /// Advances the poll of the platform's list of servers while this replica has that role.
    pub(super) fn poll_platform(&mut self, now: i64) {
        let has_role = self.core.should_poll_platform(now);
        let Some(poller) = &mut self.poller else {
            return;
        };
        if poller.is_overdue(now) {
            warn!(self.log, "platform does not answer"; "peer" => poller.address.to_string());
            if let Some(key) = poller.connection.take() {
                self.close(key);
            }
            return self.handle_poll_failed();
        }
        if !has_role {
            return poller.pause();
        }
        let Some(request) = poller.next_request(now) else {
            return;
        };
        let (connection, address) = (poller.connection, poller.address);
        let key = match connection.filter(|key| self.connections.contains_key(*key)) {
            Some(key) => Some(key),
            None => self.connect(address, Role::Platform),
        };
        if let Some(poller) = &mut self.poller {
            poller.connection = key;
        }
        match key {
            Some(key) => self.write(key, request.as_bytes()),
            None => self.handle_poll_failed(),
        }
    }

    /// Discards a failed poll, and gives up the role after too many failures.
    fn handle_poll_failed(&mut self) {
        if self
            .poller
            .as_mut()
            .is_some_and(PlatformPoller::abandon_round)
        {
            self.step_core(Input::RoleFailed(SingletonRole::PlatformPoller));
        }
    }

    /// Reads a page of the platform's list. `is_closed`: the platform has closed the connection in order.
    pub(super) fn read_page(&mut self, key: ConnectionKey, is_closed: bool) {
        let Some(poller) = &mut self.poller else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // These bytes answer no request. Left in the buffer they would be taken for the response to the next one.
        if !poller.is_waiting() || poller.connection != Some(key) {
            poller.connection.take_if(|connection| *connection == key);
            return self.close(key);
        }
        match poller.read(&mut connection.input, is_closed) {
            Ok((result, keep_open)) => {
                if !keep_open {
                    poller.connection = None;
                    self.close(key);
                }
                if let PollResult::Complete(servers) = result {
                    self.step_core(Input::ServerListRead(servers));
                }
            }
            Err(error) => {
                warn!(self.log, "reading the platform's list failed"; "error" => format!("{error:#}"));
                poller.connection = None;
                self.close(key);
                self.handle_poll_failed();
            }
        }
    }

    /// Handles the end of the connection to the platform. One that was kept open may be closed by the platform at any time:
    /// then the poll restarts.
    pub(super) fn handle_platform_disconnected(&mut self, key: ConnectionKey, opened_at: i64) {
        let now = self.now();
        let Some(poller) = self
            .poller
            .as_mut()
            .filter(|poller| poller.connection == Some(key))
        else {
            return;
        };
        poller.connection = None;
        if poller.is_waiting() && now - opened_at > limits::POLL_INTERVAL / 2 {
            poller.restart(now);
        } else if poller.is_waiting() {
            self.handle_poll_failed();
        }
    }
}
