//! Calls of operators and clients, and this program's own calls of the platform.

use std::io::{ErrorKind, Read};

use slog::warn;
use slotmap::Key;

use super::Host;
use super::connections::Role;
use super::platform_poller::{PlatformPoller, PollResult};
use crate::core::Input;
use crate::core::peer_messages::SingletonRole;
use crate::dataplane_types::{ConnectionKey, Malformed, Request, write_answer};
use crate::operator_api::{self, Reply};
use crate::{limits, lookup};

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

impl Host {
    /// Reads calls, one after the other: the next one is looked at once this one is answered.
    pub(super) fn read_call(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.waits || connection.closing {
            return;
        }
        let operator = connection.role == Role::Operator;
        let most = if operator {
            limits::MAX_CALL_BYTES
        } else {
            1_024
        };
        if let Err(fault) = connection
            .incoming
            .read(&mut connection.input, most, &self.frames)
        {
            return self.refuse(key, fault);
        }
        if !connection.incoming.whole() {
            let expects = connection.incoming.head().is_some_and(|head| head.expects);
            if expects && !std::mem::replace(&mut connection.told_to_go_on, true) {
                self.write(key, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        }
        connection.told_to_go_on = false;
        let Some((head, _, body)) = std::mem::take(&mut connection.incoming).into_parts() else {
            return;
        };
        connection.last = !head.keep_alive;
        connection.waits = true;
        let request = Request::new(head, body);
        if operator {
            self.operator(key, request)
        } else {
            self.client(key, &request)
        }
    }

    fn refuse(&mut self, key: ConnectionKey, fault: Malformed) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.last = true;
            connection.waits = true;
        }
        let body = format!(r#"{{"error":"{fault}"}}"#);
        self.answer(key, fault.status(), body.as_bytes());
    }

    /// A caller's end of the connection is closed by now. What it sent next, if anything, is kept.
    fn left(&mut self, key: ConnectionKey) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        match (&*connection.stream).read(&mut self.scratch) {
            Ok(0) => true,
            Ok(length) => {
                connection.input.extend_from_slice(&self.scratch[..length]);
                false
            }
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    fn operator(&mut self, key: ConnectionKey, request: Request) {
        // Danger: an evacuation has no version. One that waited while this process stood still, and was sent again
        // elsewhere, must not be begun after the opposite order was acknowledged.
        if self.left(key) {
            return self.close(key);
        }
        let large = request.body.len() > limits::LARGE_CONTENT_BYTES;
        match operator_api::parse_command(request) {
            Ok(command) => {
                let deadline = self.now()
                    + if large {
                        limits::LARGE_CALL_TIMEOUT
                    } else {
                        limits::CALL_TIMEOUT
                    };
                self.feed(Input::OperatorCall(key.data().as_ffi(), command, deadline));
            }
            Err(reply) => {
                let (status, body) = reply.parts();
                self.answer(key, status, &body);
            }
        }
    }

    fn client(&mut self, key: ConnectionKey, request: &Request) {
        let path = request.target.split('?').next().unwrap_or_default();
        let refusal = match (request.method.as_str(), path) {
            ("GET", "/api/lookup") => {
                let region = lookup::region(&request.target).unwrap_or_default();
                return self.lookup(key, region);
            }
            (_, "/api/lookup") => Reply::MethodNotAllowed,
            _ => Reply::NotFound(format!("path: {path}")),
        };
        let (status, body) = refusal.parts();
        self.answer(key, status, &body);
    }

    /// Answers a caller, and looks at what it asks next.
    pub(super) fn answer(&mut self, key: ConnectionKey, status: u16, body: &[u8]) {
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| connection.waits)
        else {
            return;
        };
        connection.waits = false;
        connection.closing = connection.last || self.stopped.is_some();
        let (close, unread) = (connection.closing, connection.unread);
        let mut bytes = Vec::with_capacity(body.len() + 128);
        write_answer(&mut bytes, status, &JSON, body, close);
        self.write(key, &bytes);
        if !close {
            self.read_call(key);
            if unread {
                self.read(key);
            }
        }
    }

    /// Asks the platform for its list, while this replica has that duty.
    pub(super) fn poll(&mut self, now: i64) {
        let holds = self.core.polls(now);
        let Some(poller) = &mut self.poller else {
            return;
        };
        if poller.late(now) {
            warn!(self.log, "the platform does not answer"; "peer" => poller.address.to_string());
            if let Some(key) = poller.connection.take() {
                self.close(key);
            }
            return self.poll_failed();
        }
        if !holds {
            return poller.rest();
        }
        let Some(request) = poller.due(now) else {
            return;
        };
        let (kept, address) = (poller.connection, poller.address);
        let key = match kept.filter(|key| self.connections.contains_key(*key)) {
            Some(key) => Some(key),
            None => self.connect(address, Role::Platform),
        };
        if let Some(poller) = &mut self.poller {
            poller.connection = key;
        }
        match key {
            Some(key) => self.write(key, request.as_bytes()),
            None => self.poll_failed(),
        }
    }

    /// A round came to nothing.
    fn poll_failed(&mut self) {
        if self.poller.as_mut().is_some_and(PlatformPoller::give_up) {
            self.feed(Input::RoleFailed(SingletonRole::PlatformPoller));
        }
    }

    pub(super) fn read_page(&mut self, key: ConnectionKey) {
        let Some(poller) = &mut self.poller else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        // What came answers nothing that was asked here. Left where it is, it would answer the next question.
        if !poller.waits() || poller.connection != Some(key) {
            poller.connection.take_if(|kept| *kept == key);
            return self.close(key);
        }
        match poller.read(&mut connection.input) {
            Ok((come, kept)) => {
                if !kept {
                    poller.connection = None;
                    self.close(key);
                }
                if let PollResult::Complete(servers) = come {
                    self.feed(Input::ServerListRead(servers));
                }
            }
            Err(error) => {
                warn!(self.log, "{:#}", error);
                poller.connection = None;
                self.close(key);
                self.poll_failed();
            }
        }
    }

    /// The platform's connection has ended. One that was kept may end at any time: then the round begins anew.
    pub(super) fn platform_lost(&mut self, key: ConnectionKey, since: i64) {
        let now = self.now();
        let Some(poller) = self
            .poller
            .as_mut()
            .filter(|poller| poller.connection == Some(key))
        else {
            return;
        };
        poller.connection = None;
        if poller.waits() && now - since > limits::POLL_INTERVAL / 2 {
            poller.at_once(now);
        } else if poller.waits() {
            self.poll_failed();
        }
    }
}
