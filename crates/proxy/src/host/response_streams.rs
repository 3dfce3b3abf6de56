//! Streams long responses from a server's connection to a client's. More is read only when all that
//! was forwarded is written to the client, so that at most one window is buffered.

use dataplane::relay::Relay;
use protocol::connections::Connection;

use super::clients::RESPONSE_MARGIN;
use super::responses::keep_alive_field;
use super::upstreams::READ_WINDOW_BYTES;
use super::*;
use crate::response_class::{is_forwarded_field, stream_deadline};

/// A response that is being streamed.
pub(super) struct ResponseStream {
    relay: Relay,
    client: ConnectionId,
    /// The client's deadline; a response that makes progress may exceed it.
    deadline: Micros,
    /// How long the server's connection may be reused afterwards; `None`: not at all.
    reuse_timeout: Option<Micros>,
}

impl ResponseStream {
    /// The client's connection.
    pub(super) fn client(&self) -> ConnectionId {
        self.client
    }
}

impl Host {
    /// Begins to stream a long response, which thereby becomes the final one: there is no retry and
    /// no other response after this.
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
        let is_request_sent = upstream.state.outcome_if_broken() == Outcome::Reset;
        (upstream.response_class, upstream.state) = (None, UpstreamState::Relaying);
        let (framing, parts) = (incoming.framing, incoming.into_parts());
        let (Some((head, reader, body)), UpstreamPurpose::Attempt(request_key, handle, number)) =
            (parts, purpose)
        else {
            return self.close_upstream(connection_id);
        };
        self.attempt_connections
            .remove(&(handle.engine_index, handle.key, number));
        let is_final = self
            .router
            .handle_attempt_ended(now, handle, number, Outcome::Ok);
        let request = is_final
            .then(|| self.requests.remove(request_key))
            .flatten();
        let client_and_deadline = request
            .as_ref()
            .map(|request| (request.client, request.deadline));
        let stream_start = client_and_deadline.and_then(|(client_id, deadline)| {
            Some((client_id, deadline, self.begin_response(now, client_id)?))
        });
        let Some((client_id, deadline, close_after_response)) = stream_start else {
            return self.close_upstream(connection_id);
        };
        // A response that has begun may use all of the client's time: ending it earlier would have
        // no benefit.
        let deadline = deadline + RESPONSE_MARGIN;
        let Some(output) = self.connections.output(client_id) else {
            return self.close_upstream(connection_id);
        };
        let fields = head
            .headers
            .iter()
            .filter(|(name, _)| is_forwarded_field(name))
            .chain(keep_alive_field(
                &self.client_keep_alive,
                close_after_response,
            ));
        let relay = Relay::begin(
            (&head, framing),
            reader,
            &body,
            fields,
            close_after_response,
            output,
        );
        let reuse_timeout =
            (relay.is_reusable() && is_request_sent).then(|| self.reuse_timeout(&head));
        if let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) {
            upstream.response_stream = Some(ResponseStream {
                relay,
                client: client_id,
                deadline,
                reuse_timeout,
            });
        }
        if let Some(Role::Client(client)) = self.roles.get_mut(client_id) {
            client.response_source = Some(connection_id);
        }
        self.deadlines.schedule(
            deadline.max(now),
            Timer::ResponseStreamDeadline(connection_id),
        );
        self.handle_response_stream_input(now, connection_id);
    }

    /// Forwards the bytes of a streamed response that have arrived.
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
        let (client_id, mut input) = (stream.client, std::mem::take(&mut connection.input));
        let Some(output) = self.connections.output(client_id) else {
            return;
        };
        let result = stream.relay.forward(&mut input, output);
        let (has_pending_output, is_input_consumed) = (!output.is_empty(), input.is_empty());
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.input = input;
            connection.max_input_bytes = if has_pending_output {
                0
            } else {
                self.limits.relay_window_bytes
            };
        }
        match result {
            Err(_) => self.abort_response_stream(now, connection_id, CloseReason::MalformedBody),
            Ok(()) if stream.relay.is_complete() => {
                self.finish_response_stream(now, connection_id, is_input_consumed)
            }
            Ok(()) => {}
        }
    }

    /// The response is complete: releases the server's connection to the pool, or closes it.
    /// `is_input_consumed`: no input is left on it.
    fn finish_response_stream(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        is_input_consumed: bool,
    ) {
        let has_failed = self
            .connections
            .get(connection_id)
            .is_none_or(Connection::has_failed);
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let Some(stream) = upstream.response_stream.take() else {
            return;
        };
        upstream.state = UpstreamState::Idle;
        let is_reusable = is_input_consumed && !has_failed;
        let (server, reuse_timeout) = (
            upstream.server,
            stream.reuse_timeout.filter(|_| is_reusable),
        );
        upstream.reusable_until = now + reuse_timeout.unwrap_or(0);
        if let Some(Role::Client(client)) = self.roles.get_mut(stream.client) {
            client.response_source = None;
        }
        if !(reuse_timeout.is_some() && self.upstream_pool.release(server, connection_id, now)) {
            self.close_upstream(connection_id);
        } else if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.input = Vec::new();
            connection.max_input_bytes = READ_WINDOW_BYTES;
            self.pending_reads.push(connection_id);
        }
    }

    /// The server has closed its sending direction in order: that completes a response without a
    /// length, and truncates any other.
    pub(super) fn handle_response_stream_end(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let Some(stream) = &mut upstream.response_stream else {
            return;
        };
        let output = self.connections.output(stream.client);
        let is_complete = output.is_some_and(|output| stream.relay.handle_close(output));
        self.log_end_within_response(now, connection_id, is_complete);
        match is_complete {
            true => self.finish_response_stream(now, connection_id, true),
            false => self.abort_response_stream(now, connection_id, CloseReason::ServerClosed),
        }
    }

    /// All that was forwarded is written to the client: more may be read.
    pub(super) fn resume_response_stream(&mut self, upstream: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(upstream) {
            connection.max_input_bytes = self.limits.relay_window_bytes;
            self.pending_reads.push(upstream);
        }
    }

    /// Aborts a streamed response. Its end is never written, and the client's connection is closed,
    /// from which the client can tell that it is incomplete.
    pub(super) fn abort_response_stream(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        reason: CloseReason,
    ) {
        let Some(Role::Upstream(upstream)) = self.roles.get_mut(connection_id) else {
            return;
        };
        let Some(stream) = upstream.response_stream.take() else {
            return;
        };
        self.close_upstream(connection_id);
        self.remove_client(now, stream.client, reason);
    }

    /// Aborts a streamed response whose deadline is over, else schedules the deadline again.
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
        // While the client is slow, nothing is read from the server; how slow the client may be is
        // bounded by its own deadline.
        let is_client_slow = self.connections.has_pending_output(stream.client);
        let deadline = stream_deadline(
            stream.deadline,
            if is_client_slow {
                now
            } else {
                connection.last_received_at
            },
            &self.limits,
        );
        match deadline > now {
            true => self
                .deadlines
                .schedule(deadline, Timer::ResponseStreamDeadline(connection_id)),
            false => self.abort_response_stream(now, connection_id, CloseReason::ResponseTimeout),
        }
    }
}
