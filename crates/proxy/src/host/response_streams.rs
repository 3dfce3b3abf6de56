//! Streams long answers from a server's connection to a client's. More is read when the client has
//! taken what was forwarded, so that at most one window is buffered.

use dataplane::relay::Relay;

use super::clients::RESPONSE_MARGIN;
use super::responses::keep_alive_field;
use super::upstreams::READ_WINDOW_BYTES;
use super::*;
use crate::response_class::{is_forwarded_field, stream_deadline};

/// An answer that is being streamed.
pub(super) struct ResponseStream {
    relay: Relay,
    client: ConnectionId,
    /// Deadline of the answer.
    deadline: Micros,
    /// Whether the server's connection may be reused afterwards, and until when.
    reuse_timeout: Option<Micros>,
}

impl Host {
    /// A long answer becomes the final one and begins to be streamed. From here on there is no
    /// retry and no other answer.
    pub(super) fn begin_response_stream(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        purpose: UpstreamPurpose,
    ) {
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let incoming = std::mem::take(&mut upstream.incoming);
        let sent = upstream.state.outcome_if_broken() == Outcome::Reset;
        (upstream.response_class, upstream.state) = (None, UpstreamState::Relaying);
        let (extent, parts) = (incoming.framing, incoming.into_parts());
        let (Some((head, reader, come)), UpstreamPurpose::Attempt(request, handle, number)) =
            (parts, purpose)
        else {
            return self.close_upstream(connection_id);
        };
        self.attempt_connections
            .remove(&(handle.engine_index, handle.key));
        let answers = self
            .router
            .handle_attempt_ended(now, handle, number, Outcome::Ok);
        let request = answers.then(|| self.requests.remove(request)).flatten();
        let to = request
            .as_ref()
            .map(|request| (request.client, request.deadline));
        let begins =
            to.and_then(|(to, deadline)| Some((to, deadline, self.begin_response(now, to)?)));
        let Some((to, deadline, close)) = begins else {
            return self.close_upstream(connection_id);
        };
        // An answer that has begun has all of the client's time: to end it sooner would gain
        // nothing.
        let deadline = deadline + RESPONSE_MARGIN;
        let Some(out) = self.connections.output(to) else {
            return self.close_upstream(connection_id);
        };
        let lines = head
            .headers
            .iter()
            .filter(|(name, _)| is_forwarded_field(name))
            .chain(keep_alive_field(&self.client_keep_alive, close));
        let relay = Relay::begin((&head, extent), reader, &come, lines, close, out);
        let patience = (relay.is_reusable() && sent).then(|| self.reuse_timeout(&head));
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) {
            upstream.response_stream = Some(ResponseStream {
                relay,
                client: to,
                deadline,
                reuse_timeout: patience,
            });
        }
        if let Some(Role::Client(client)) = self.roles.get_mut(to) {
            client.response_source = Some(connection_id);
        }
        self.deadlines.schedule(
            deadline.max(now),
            Timer::ResponseStreamDeadline(connection_id),
        );
        self.handle_response_stream_input(now, connection_id);
    }

    /// Handles more bytes of a streamed answer.
    pub(super) fn handle_response_stream_input(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
    ) {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get_mut(connection_id),
            self.connections.get_mut(connection_id),
        ) else {
            return;
        };
        let Some(stream) = &mut upstream.response_stream else {
            return;
        };
        let (to, mut input) = (stream.client, std::mem::take(&mut connection.input));
        let Some(out) = self.connections.output(to) else {
            return;
        };
        let passed = stream.relay.forward(&mut input, out);
        let (held_up, clean) = (!out.is_empty(), input.is_empty());
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.input = input;
            connection.max_input_bytes = if held_up {
                0
            } else {
                self.limits.relay_window_bytes
            };
        }
        match passed {
            Err(_) => self.abort_response_stream(now, connection_id, CloseReason::MalformedBody),
            Ok(()) if stream.relay.is_complete() => {
                self.finish_response_stream(now, connection_id, clean)
            }
            Ok(()) => {}
        }
    }

    /// The answer is complete: the server's connection is released.
    fn finish_response_stream(&mut self, now: Micros, connection_id: ConnectionId, clean: bool) {
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let Some(stream) = upstream.response_stream.take() else {
            return;
        };
        upstream.state = UpstreamState::Idle;
        let (server, patience) = (upstream.server, stream.reuse_timeout.filter(|_| clean));
        upstream.reusable_until = now + patience.unwrap_or(0);
        if let Some(Role::Client(client)) = self.roles.get_mut(stream.client) {
            client.response_source = None;
        }
        if !(patience.is_some() && self.upstream_pool.release(server, connection_id, now)) {
            self.close_upstream(connection_id);
        } else if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.input = Vec::new();
            connection.max_input_bytes = READ_WINDOW_BYTES;
            self.pending_reads.push(connection_id);
        }
    }

    /// The client has taken what was forwarded: more may be read.
    pub(super) fn resume_response_stream(&mut self, source: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(source) {
            connection.max_input_bytes = self.limits.relay_window_bytes;
            self.pending_reads.push(source);
        }
    }

    /// A streamed answer breaks off. Its end is never written, and the client's connection is
    /// closed.
    pub(super) fn abort_response_stream(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        closing: CloseReason,
    ) {
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let Some(stream) = upstream.response_stream.take() else {
            return;
        };
        self.close_upstream(connection_id);
        self.remove_client(now, stream.client, closing);
    }

    /// A streamed answer may have exceeded its time.
    pub(super) fn handle_response_stream_deadline(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
    ) {
        let (Some(Role::Upstream(upstream)), Some(connection)) = (
            self.roles.get(connection_id),
            self.connections.get(connection_id),
        ) else {
            return;
        };
        let Some(stream) = &upstream.response_stream else {
            return;
        };
        // While the client is slow, nothing is read from the server; the client's own limit bounds
        // how slow it may be.
        let held_up = self
            .connections
            .get(stream.client)
            .is_some_and(|client| client.backlog() > 0);
        let until = stream_deadline(
            stream.deadline,
            if held_up {
                now
            } else {
                connection.last_received_at
            },
            &self.limits,
        );
        match until > now {
            true => self
                .deadlines
                .schedule(until, Timer::ResponseStreamDeadline(connection_id)),
            false => self.abort_response_stream(now, connection_id, CloseReason::ResponseTimeout),
        }
    }
}
