//! Bodies on their way from a client's connection to a server's while they still come.

use super::*;
use crate::frontend::reject;
use crate::net::framing::{BodyFraming, Request};
use crate::upload::Upload;

impl Host {
    /// A body that is not kept whole: the request is taken by its head.
    pub(super) fn begin_upload(
        &mut self,
        key: ConnectionKey,
        incoming: IncomingMessage<RequestHead>,
    ) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Client { door, .. } = connection.role else {
            return;
        };
        let (extent, come) = (incoming.framing, incoming.received_body_bytes);
        let Some((head, reader, body)) = incoming.into_parts() else {
            return;
        };
        self.buffered_bytes += body.len();
        connection.close_after_response = !head.keep_alive;
        connection.continue_sent = false;
        let upload = Upload::new(extent, reader, body, self.limits.relay_window_bytes);
        connection.read_state = ReadState::Upload(upload);
        let request = Request::new(head, Vec::new());
        let read = match door {
            // What is safe to repeat has no body.
            ListenerKind::Platform if request.method == "GET" => {
                Err(reject(400, "the class has no body"))
            }
            ListenerKind::Platform => self.platform.parse_request(&request, &self.limits, now),
            ListenerKind::Introspection | ListenerKind::Cluster => {
                Err(reject(413, "the body is too long"))
            }
        };
        match read {
            Ok(mut authorisation) => {
                // The client's time counts from its last byte.
                let left = match extent {
                    BodyFraming::Length(length) => length.saturating_sub(come),
                    BodyFraming::Chunked | BodyFraming::UntilClose => {
                        self.limits.max_request_bytes.saturating_sub(come)
                    }
                };
                let rest = (left / self.limits.min_body_bytes_per_s.max(1)) as Micros * 1_000_000;
                authorisation.deadline += rest.min(self.limits.max_upload_extension);
                let forward = UpstreamRequest::from_streaming_request(&request, extent);
                self.submit_authorisation(
                    key,
                    RECORDS_SERVICE,
                    authorisation,
                    forward,
                    RequestKind::Platform,
                );
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.client.record_body_progress(now, come);
                }
                self.schedule_client_deadline(key);
                self.read_upload(key);
            }
            Err(rejection) => self.respond_rejection(key, &rejection, true),
        }
    }

    /// More has come of a body that goes on while it comes.
    pub(super) fn read_upload(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ReadState::Upload(upload) = &connection.read_state else {
            return;
        };
        let (before, leg) = (connection.buffered_bytes(), upload.attempt());
        let taken = match leg {
            None => Host::forward_body(connection, None),
            Some(leg) => match self.connections.get_disjoint_mut([key, leg]) {
                Some([client, server]) => Host::forward_body(client, Some(&mut server.output)),
                None => return,
            },
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.buffered_bytes =
            (self.buffered_bytes + connection.buffered_bytes()).saturating_sub(before);
        let ReadState::Upload(upload) = &connection.read_state else {
            return;
        };
        let (whole, bytes) = (upload.is_complete(), upload.received_bytes());
        connection.client.record_body_progress(now, bytes);
        if taken.is_err() {
            // What is spoilt here cannot be told on: the leg ends, and the client hears what is wrong.
            return self.reject_upload(key, &reject(400, "malformed"));
        }
        if whole {
            connection.client.begin_processing(now);
        }
        if let Some(leg) = leg {
            self.queue_upload(leg, whole);
        }
        self.report_discarded_body(key);
        self.schedule_client_deadline(key);
    }

    /// Once some of a body is no longer here its request can't be moved to another server.
    fn report_discarded_body(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if let Role::Client {
            waits: Some((service, authorisation)),
            ..
        } = connection.role
            && connection.active_upload().is_some_and(Upload::is_discarded)
        {
            self.services[service]
                .engine
                .handle_body_discarded(authorisation);
        }
    }

    fn forward_body(
        connection: &mut Connection,
        out: Option<&mut Vec<u8>>,
    ) -> Result<(), framing::ParseError> {
        let ReadState::Upload(upload) = &mut connection.read_state else {
            return Ok(());
        };
        upload.read(&mut connection.input, out)
    }

    /// A leg of such a request is up, and its head written: what is here goes on.
    pub(super) fn start_upload(&mut self, origin: ConnectionKey, leg: ConnectionKey) {
        let Some([client, server]) = self.connections.get_disjoint_mut([origin, leg]) else {
            return;
        };
        let before = client.buffered_bytes();
        let ReadState::Upload(upload) = &mut client.read_state else {
            return;
        };
        upload.start_attempt(leg, &mut server.output);
        let whole = upload.is_complete();
        self.buffered_bytes =
            (self.buffered_bytes + client.buffered_bytes()).saturating_sub(before);
        self.queue_upload(leg, whole);
        self.report_discarded_body(origin);
        self.reread.push(origin);
    }

    /// What was passed on to a server is written; until its end has been, nothing counts as sent.
    fn queue_upload(&mut self, leg: ConnectionKey, whole: bool) {
        if let Some(server) = self.connections.get_mut(leg) {
            server.is_uploading = !whole;
            self.unflushed.push(leg);
        }
    }

    /// A leg is over.
    pub(super) fn detach_upload(&mut self, service: usize, authorisation: AuthorisationKey) {
        let pending = self.services[service].pending.get(authorisation);
        let Some(client) = pending.and_then(|pending| self.connections.get_mut(pending.connection))
        else {
            return;
        };
        if let ReadState::Upload(upload) = &mut client.read_state {
            upload.end_attempt();
        }
    }

    /// A leg's connection takes in more: its client may be read on.
    pub(super) fn resume_upload(&mut self, leg: ConnectionKey) {
        let Some(Role::Upstream { service, state, .. }) = self.connections.get(leg).map(|c| c.role)
        else {
            return;
        };
        let Some(UpstreamPurpose::Attempt(authorisation, _)) = state.purpose() else {
            return;
        };
        let origin = self.services[service]
            .pending
            .get(authorisation)
            .map(|pending| pending.connection);
        let waits = |key: &ConnectionKey| {
            self.connections
                .get(*key)
                .is_some_and(|client| client.has_unread)
        };
        if let Some(origin) = origin.filter(waits) {
            self.reread.push(origin);
        }
    }

    /// The client's body is spoilt or does not come: its request is over, and this is its answer.
    pub(super) fn reject_upload(&mut self, key: ConnectionKey, rejection: &Rejection) {
        self.abandon_client_request(key);
        self.respond_rejection(key, rejection, true);
    }
}
