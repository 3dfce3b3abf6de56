//! The acquirer side: connections of clients, their requests and the final answers.

use super::*;
use crate::engine::{Authorisation, Ending};

impl Host {
    pub(super) fn accept(&mut self) {
        for at in 0..self.listeners.len() {
            while self.accepting && self.accept_one(at) {}
        }
    }

    /// Takes one connection; false if there is none to take.
    fn accept_one(&mut self, at: usize) -> bool {
        if self.acquirers >= self.limits.acquirer_connections {
            return self.make_room();
        }
        let (door, listener, _) = &self.listeners[at];
        let role = Role::Acquirer { door: *door, waits: None };
        match listener.accept() {
            Ok((stream, _)) => {
                let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                match ready.and_then(|()| self.register(stream, role, true)) {
                    Ok(_) => self.acquirers += 1,
                    Err(error) => self.log(&format!("cannot take a connection: {error}")),
                }
                true
            }
            Err(error) => {
                let passing = [io::ErrorKind::WouldBlock, io::ErrorKind::ConnectionAborted];
                if !passing.contains(&error.kind()) {
                    self.log(&format!("cannot accept: {error}"));
                    self.pause_accepting();
                    self.deadlines.enter(self.now() + self.limits.accept_retry, Due::Accept);
                }
                false
            }
        }
    }

    /// At the most connections an idle one makes room: it may be closed between requests. Else new ones wait with
    /// the system until one ends. True if there is room.
    fn make_room(&mut self) -> bool {
        let idle = |(_, c): &(ConnectionKey, &Connection)| {
            matches!(c.role, Role::Acquirer { waits: None, .. }) && c.input.is_empty() && c.output.is_empty()
        };
        if let Some(key) = self.connections.iter().find(idle).map(|(key, _)| key) {
            return self.close(key).is_some();
        }
        self.log("at the most connections: accepting paused");
        self.pause_accepting();
        false
    }

    /// Guards against a loop that spins on a listener whose connections it cannot take.
    fn pause_accepting(&mut self) {
        for (_, _, token) in &self.listeners {
            self.accepting &= self.handle.disable(token).is_err();
        }
    }

    pub(super) fn resume_accepting(&mut self) {
        if !self.accepting {
            self.accepting = self.listeners.iter().all(|(_, _, token)| self.handle.enable(token).is_ok());
        }
    }

    pub(super) fn read_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        // One request at a time: what comes while one is out waits.
        let Role::Acquirer { door, waits: None } = connection.role else { return };
        if connection.closing {
            return;
        }
        let (request, length) = match framing::request(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(whole)) => whole,
            Err(malformed) => {
                let rejection = Rejection { status: malformed.status(), text: "malformed" };
                return self.reject(key, &rejection, true);
            }
        };
        connection.input.drain(..length);
        connection.last = !request.keep_alive;
        if request.method == "GET" && request.target == "/up" {
            let serving = self.phase == Phase::Serving && self.table.serving();
            let (status, text): (u16, &[u8]) = if serving { (200, b"up\n") } else { (503, b"not serving\n") };
            return self.answer(key, status, &[], text);
        }
        match door {
            Door::Platform => {}
            Door::Introspection => return self.read_bearing(now, key, request),
            Door::Agreement => return self.read_agreement(key, &request),
        }
        match self.platform.read(&request, &self.limits, now) {
            Ok(authorisation) => {
                self.take(key, RECORDS, authorisation, Forward::of(&request), Purpose::Platform);
            }
            Err(rejection) => self.reject(key, &rejection, false),
        }
    }

    /// Hands an authorisation to an engine; the connection waits for its final answer.
    pub(super) fn take(
        &mut self,
        key: ConnectionKey,
        service: usize,
        authorisation: Authorisation,
        forward: Forward,
        purpose: Purpose,
    ) {
        let known = &mut self.services[service];
        match known.engine.take(authorisation) {
            Ok(authorisation) => {
                known.pending.insert(authorisation, Pending { origin: key, forward, purpose });
                if let Some(Connection { role: Role::Acquirer { waits, .. }, .. }) =
                    self.connections.get_mut(key)
                {
                    *waits = Some((service, authorisation));
                }
            }
            Err(_) => self.decline(key, 503, self.limits.stay_away, &[], b""),
        }
    }

    pub(super) fn reject(&mut self, key: ConnectionKey, rejection: &Rejection, close: bool) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.last |= close;
        }
        self.answer(key, rejection.status, &[], rejection.text.as_bytes());
    }

    /// Writes an answer to a client; the connection is then free for the next request.
    pub(super) fn answer(&mut self, key: ConnectionKey, status: u16, headers: &[(&str, &str)], body: &[u8]) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let close = connection.last || self.phase == Phase::Draining;
        let Role::Acquirer { waits, .. } = &mut connection.role else { return };
        *waits = None;
        framing::write_answer(&mut connection.output, status, headers, body, close);
        connection.closing = close;
        self.dirty.push(key);
        if !connection.input.is_empty() && !close {
            self.read_request(key);
        }
    }

    /// An answer that tells when to come back.
    pub(super) fn decline(
        &mut self,
        key: ConnectionKey,
        status: u16,
        stay_away: Micros,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let stay = format!("{}.{:06}", stay_away / 1_000_000, stay_away % 1_000_000);
        let mut all = headers.to_vec();
        if stay_away > 0 {
            all.push(("Retry-After", &stay));
        }
        self.answer(key, status, &all, body);
    }

    /// The final answer of an authorisation that no server's answer ends.
    pub(super) fn ended(&mut self, ticket: Ticket, ending: Ending) {
        let Some(pending) = self.services[ticket.0].pending.remove(ticket.1) else { return };
        match pending.purpose {
            Purpose::Platform => {
                let (status, stay_away) = platform::status(ending);
                self.decline(pending.origin, status, stay_away, &[], b"");
            }
            purpose => self.ended_tokens(pending.origin, purpose, ending),
        }
    }

    /// The final answer of an authorisation that a server gave.
    pub(super) fn served(&mut self, ticket: Ticket, answer: Answer) {
        let Some(pending) = self.services[ticket.0].pending.remove(ticket.1) else { return };
        match pending.purpose {
            Purpose::Platform | Purpose::Record => {
                let kind = answer.headers.get("Content-Type").map(|kind| ("Content-Type", kind));
                self.answer(pending.origin, 200, kind.as_slice(), &answer.body);
            }
            purpose => self.found(pending.origin, purpose, &answer),
        }
    }
}
