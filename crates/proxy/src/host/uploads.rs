//! Long bodies of requests on their way from a client's connection to a server's. One is sent to one server only; until
//! its last byte is written there, the request has not run.

use dataplane::framing::{Extent, Malformed};
use dataplane::upload::Upload;

use super::clients::{AHEAD, Coming};
use super::*;

impl Host {
    /// A body that is not kept whole: the request is taken by its head.
    pub(super) fn begin_upload(&mut self, now: Micros, key: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return;
        };
        let incoming = std::mem::take(&mut client.incoming);
        let (extent, come) = (incoming.extent, incoming.length);
        let Some((head, reader, body)) = incoming.into_parts() else {
            return;
        };
        client.upload = Some(Upload::new(extent, reader, body, 0));
        client.last = !head.keep_alive;
        client.checked_by_head = false;
        let told = std::mem::take(&mut client.continue_sent);
        client.visit.taken(now);
        client.visit.uploading(now, come);
        // The client's time counts from its last byte.
        let left = match extent {
            Extent::Length(length) => length.saturating_sub(come),
            Extent::Chunked | Extent::UntilClose => self.limits.request_bytes.saturating_sub(come),
        };
        let more = (left / self.limits.body_pace.max(1)) as Micros * SECOND;
        let coming = Coming {
            extent,
            more: more.min(self.limits.upload_longest),
        };
        let expects = head.expects && !told;
        if let Err(own) = self.admit(now, key, head, Vec::new(), Some(coming)) {
            return self.answer_own(now, key, &own);
        }
        if expects {
            self.go_on(key);
        }
        self.arm(now, key);
        self.upload_came(now, key);
    }

    /// More has come of a body that goes on while it comes.
    pub(super) fn upload_came(&mut self, now: Micros, key: ConnectionId) {
        let (Some(Role::Client(client)), Some(wire)) =
            (self.roles.get_mut(key), self.connections.get_mut(key))
        else {
            return;
        };
        let Some(upload) = client.upload.as_mut().filter(|upload| !upload.whole()) else {
            return;
        };
        let mut input = std::mem::take(&mut wire.input);
        let leg = upload.leg();
        let mut out = leg.and_then(|leg| self.connections.output(leg));
        let taken = upload.take(&mut input, out.as_deref_mut());
        let (whole, window) = (upload.whole(), self.limits.relay_window);
        // No more than a window is on its way, or waits for a server.
        let room = match out {
            Some(out) if out.is_empty() => window,
            Some(_) => 0,
            None => window.saturating_sub(upload.held()),
        };
        let held = input.len() + upload.held();
        self.buffered_bytes = self.buffered_bytes + held - client.buffered_bytes;
        client.buffered_bytes = held;
        if whole {
            client.visit.taken(now);
        } else {
            client.visit.uploading(now, upload.come());
        }
        if let Some(wire) = self.connections.get_mut(key) {
            wire.max_input_bytes = if whole { AHEAD.max(input.len()) } else { room };
            wire.input = input;
        }
        if let Some(Role::Leg(leg)) = leg.and_then(|leg| self.roles.get_mut(leg)) {
            leg.is_uploading = !whole;
        }
        match taken {
            Err(fault) => self.end_upload(now, key, fault),
            Ok(()) if whole => self.upload_whole(now, key),
            Ok(()) => self.arm(now, key),
        }
    }

    /// Its last byte has come: from here on the request has the time that its client gives it.
    fn upload_whole(&mut self, now: Micros, key: ConnectionId) {
        let Some(request) = self.client(key).and_then(|client| client.request) else {
            return;
        };
        if let Some(known) = self.requests.get_mut(request) {
            known.deadline = known.deadline.min(now + known.wait);
            self.deadlines.enter(known.deadline, Timer::Late(request));
        }
    }

    /// The connection of the leg is up, and its head on its way: what is here goes on. There is no other leg after it.
    pub(super) fn start_upload(&mut self, key: RequestKey, wire: ConnectionId) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (ticket, from) = (request.ticket, request.client);
        let Some(Role::Client(client)) = self.roles.get_mut(from) else {
            return;
        };
        let (Some(upload), Some(out)) = (&mut client.upload, self.connections.output(wire)) else {
            return;
        };
        upload.start(wire, out);
        let whole = upload.whole();
        self.router.handle_body_sent(ticket);
        if let Some(Role::Leg(leg)) = self.roles.get_mut(wire) {
            leg.is_uploading = !whole;
        }
    }

    /// What was passed on so far is written: the client may send more.
    pub(super) fn feed_on(&mut self, key: RequestKey) {
        let Some(from) = self.requests.get(key).map(|request| request.client) else {
            return;
        };
        if let Some(wire) = self.connections.get_mut(from) {
            wire.max_input_bytes = self.limits.relay_window;
            self.ready_again.push(from);
        }
    }

    /// A body that is none, or too long. Its end was never written, so that its server never runs it.
    fn end_upload(&mut self, now: Micros, key: ConnectionId, fault: Malformed) {
        if let Some(request) = self.client(key).and_then(|client| client.request.take()) {
            self.leave_off(now, request);
        }
        self.refuse(now, key, fault);
    }

    /// The time of a request whose long body has come is up.
    pub(super) fn late(&mut self, now: Micros, key: RequestKey) {
        let Some(request) = self
            .requests
            .get(key)
            .filter(|request| request.deadline <= now)
        else {
            return;
        };
        let ticket = request.ticket;
        self.end(now, key, Ending::Failed);
        self.router.handle_client_left(now, ticket, &mut self.steps);
    }
}
