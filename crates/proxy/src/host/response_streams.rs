//! Streams long answers from a server's connection to a client's. More is read when the client has
//! taken what was forwarded, so that at most one window is buffered.

use dataplane::relay::Relay;

use super::clients::{MARGIN, may_stay};
use super::upstreams::ANSWER_ROOM;
use super::*;
use crate::answers::{is_forwarded, stream_deadline};

/// An answer that is being streamed.
pub(super) struct ResponseStream {
    relay: Relay,
    to: ConnectionId,
    /// Deadline of the answer.
    deadline: Micros,
    /// Whether the server's connection may be reused afterwards, and until when.
    patience: Option<Micros>,
}

impl Host {
    /// A long answer becomes the final one and begins to be streamed. From here on there is no
    /// retry and no other answer.
    pub(super) fn begin_relay(&mut self, now: Micros, key: ConnectionId, errand: UpstreamPurpose) {
        let Some(Role::Leg(leg)) = self.roles.get_mut(key) else {
            return;
        };
        let incoming = std::mem::take(&mut leg.incoming);
        let sent = leg.state.outcome_if_broken() == Outcome::Reset;
        (leg.verdict, leg.state) = (None, UpstreamState::Relaying);
        let (extent, parts) = (incoming.framing, incoming.into_parts());
        let (Some((head, reader, come)), UpstreamPurpose::Leg(request, ticket, number)) =
            (parts, errand)
        else {
            return self.close_leg(key);
        };
        self.upstreams.remove(&(ticket.engine, ticket.key));
        let answers = self
            .router
            .handle_attempt_ended(now, ticket, number, Outcome::Ok);
        let request = answers.then(|| self.requests.remove(request)).flatten();
        let to = request
            .as_ref()
            .map(|request| (request.client, request.deadline));
        let begins = to.and_then(|(to, deadline)| Some((to, deadline, self.answering(now, to)?)));
        let Some((to, deadline, close)) = begins else {
            return self.close_leg(key);
        };
        // An answer that has begun has all of the client's time: to end it sooner would gain
        // nothing.
        let deadline = deadline + MARGIN;
        let Some(out) = self.connections.output(to) else {
            return self.close_leg(key);
        };
        let lines = head
            .headers
            .iter()
            .filter(|(name, _)| is_forwarded(name))
            .chain(may_stay(&self.client_keep_alive, close));
        let relay = Relay::begin((&head, extent), reader, &come, lines, close, out);
        let patience = (relay.is_reusable() && sent).then(|| self.patience(&head));
        if let Some(Role::Leg(leg)) = self.roles.get_mut(key) {
            leg.relay = Some(ResponseStream {
                relay,
                to,
                deadline,
                patience,
            });
        }
        if let Some(Role::Client(client)) = self.roles.get_mut(to) {
            client.source = Some(key);
        }
        self.deadlines
            .schedule(deadline.max(now), Timer::Relay(key));
        self.relay_came(now, key);
    }

    /// Handles more bytes of a streamed answer.
    pub(super) fn relay_came(&mut self, now: Micros, key: ConnectionId) {
        let (Some(Role::Leg(leg)), Some(wire)) =
            (self.roles.get_mut(key), self.connections.get_mut(key))
        else {
            return;
        };
        let Some(passage) = &mut leg.relay else {
            return;
        };
        let (to, mut input) = (passage.to, std::mem::take(&mut wire.input));
        let Some(out) = self.connections.output(to) else {
            return;
        };
        let passed = passage.relay.forward(&mut input, out);
        let (held_up, clean) = (!out.is_empty(), input.is_empty());
        if let Some(wire) = self.connections.get_mut(key) {
            wire.input = input;
            wire.max_input_bytes = if held_up {
                0
            } else {
                self.limits.relay_window_bytes
            };
        }
        match passed {
            Err(_) => self.cut(now, key, CloseReason::MalformedBody),
            Ok(()) if passage.relay.is_complete() => self.relay_whole(now, key, clean),
            Ok(()) => {}
        }
    }

    /// The answer is complete: the server's connection is released.
    fn relay_whole(&mut self, now: Micros, key: ConnectionId, clean: bool) {
        let Some(Role::Leg(leg)) = self.roles.get_mut(key) else {
            return;
        };
        let Some(passage) = leg.relay.take() else {
            return;
        };
        leg.state = UpstreamState::Idle;
        let (server, patience) = (leg.server, passage.patience.filter(|_| clean));
        leg.until = now + patience.unwrap_or(0);
        if let Some(Role::Client(client)) = self.roles.get_mut(passage.to) {
            client.source = None;
        }
        if !(patience.is_some() && self.pool.release(server, key, now)) {
            self.close_leg(key);
        } else if let Some(wire) = self.connections.get_mut(key) {
            wire.input = Vec::new();
            wire.max_input_bytes = ANSWER_ROOM;
            self.ready_again.push(key);
        }
    }

    /// The client has taken what was forwarded: more may be read.
    pub(super) fn relay_on(&mut self, source: ConnectionId) {
        if let Some(wire) = self.connections.get_mut(source) {
            wire.max_input_bytes = self.limits.relay_window_bytes;
            self.ready_again.push(source);
        }
    }

    /// A streamed answer breaks off. Its end is never written, and the client's connection is
    /// closed.
    pub(super) fn cut(&mut self, now: Micros, key: ConnectionId, closing: CloseReason) {
        let Some(Role::Leg(leg)) = self.roles.get_mut(key) else {
            return;
        };
        let Some(passage) = leg.relay.take() else {
            return;
        };
        self.close_leg(key);
        self.client_gone(now, passage.to, closing);
    }

    /// A streamed answer may have exceeded its time.
    pub(super) fn relay_due(&mut self, now: Micros, key: ConnectionId) {
        let (Some(Role::Leg(leg)), Some(wire)) = (self.roles.get(key), self.connections.get(key))
        else {
            return;
        };
        let Some(passage) = &leg.relay else { return };
        // While the client is slow, nothing is read from the server; the client's own limit bounds
        // how slow it may be.
        let held_up = self
            .connections
            .get(passage.to)
            .is_some_and(|client| client.backlog() > 0);
        let until = stream_deadline(
            passage.deadline,
            if held_up { now } else { wire.last_received_at },
            &self.limits,
        );
        match until > now {
            true => self.deadlines.schedule(until, Timer::Relay(key)),
            false => self.cut(now, key, CloseReason::ResponseTimeout),
        }
    }
}
