//! Attempts and health checks on connections to servers.

use super::*;

impl Host {
    /// Starts an attempt of an authorisation, unless the cache already has its response.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        authorisation: AuthorisationRef,
        attempt: u32,
        server: ServerId,
        deadline: Micros,
    ) {
        if self.answer_from_cache(now, authorisation, attempt) {
            return;
        }
        self.start_upstream_request(
            now,
            authorisation.0,
            server,
            UpstreamPurpose::Attempt(authorisation.1, attempt),
            deadline,
        );
    }

    /// Sends an attempt or a health check on an idle connection, or on a new one.
    pub(super) fn start_upstream_request(
        &mut self,
        now: Micros,
        service: usize,
        server: ServerId,
        purpose: UpstreamPurpose,
        deadline: Micros,
    ) {
        while let Some(key) = self.services[service].pool.acquire(server) {
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            // The server may have closed it meanwhile: a request written to it would end in a reset.
            if !has_no_input(&connection.stream) {
                self.close(key);
                continue;
            }
            connection.role = Role::Upstream {
                service,
                server,
                state: UpstreamState::Sending(purpose),
            };
            self.track_upstream_request(key, service, purpose, deadline);
            return self.send_upstream_request(now, key);
        }
        let connection_count: usize = self
            .services
            .iter()
            .map(|s| s.pool.connection_count())
            .sum();
        if connection_count >= self.limits.max_upstream_connections {
            match self
                .services
                .iter()
                .find_map(|s| s.pool.longest_idle_connection())
            {
                Some(key) => _ = self.close(key),
                None => {
                    return self.end_upstream_request(
                        service,
                        server,
                        purpose,
                        Outcome::ConnectFailed,
                        None,
                    );
                }
            }
        }
        let role = Role::Upstream {
            service,
            server,
            state: UpstreamState::Connecting(purpose),
        };
        let address = self.services[service].pool.address(server);
        match address.map(|address| self.connect(address, role)) {
            Some(Ok(key)) => {
                self.services[service].pool.record_opened(server);
                self.track_upstream_request(key, service, purpose, deadline);
            }
            Some(Err(_)) | None => {
                self.end_upstream_request(service, server, purpose, Outcome::ConnectFailed, None)
            }
        }
    }

    /// Records the connection of an attempt, and schedules the request's deadline.
    fn track_upstream_request(
        &mut self,
        key: ConnectionKey,
        service: usize,
        purpose: UpstreamPurpose,
        deadline: Micros,
    ) {
        if let UpstreamPurpose::Attempt(authorisation, _) = purpose {
            self.services[service]
                .attempt_connections
                .insert(authorisation, key);
        }
        self.deadlines
            .schedule(deadline, Timer::UpstreamDeadline(key, purpose));
    }

    /// The connection is established: queues its request for writing.
    pub(super) fn send_upstream_request(&mut self, now: Micros, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service,
            server,
            state,
        } = &mut connection.role
        else {
            return;
        };
        let service_state = &self.services[*service];
        *state = state.on_connected();
        match state.purpose() {
            Some(UpstreamPurpose::Probe) => {
                let host = service_state
                    .pool
                    .address(*server)
                    .map(|a| a.to_string())
                    .unwrap_or_default();
                connection
                    .output
                    .extend(probes::build_request(&host, self.fetch_load_reports));
            }
            Some(UpstreamPurpose::Attempt(authorisation, _)) => {
                let Some(pending) = service_state.pending.get(authorisation) else {
                    return;
                };
                let remaining = service_state
                    .engine
                    .deadline(authorisation)
                    .map_or(0, |deadline| (deadline - now).max(0));
                connection
                    .output
                    .extend_from_slice(&pending.upstream_request.head);
                // Writing to a vector cannot fail.
                let _ = write!(
                    connection.output,
                    "X-Expires-In: {:.3}\r\n\r\n",
                    remaining as f64 / 1e6
                );
                connection
                    .output
                    .extend_from_slice(&pending.upstream_request.body);
                let client_key = pending.connection;
                self.start_upload(client_key, key);
            }
            None => {}
        }
        self.unflushed.push(key);
    }

    /// Reads a server's input: a response, or more of one.
    pub(super) fn read_upstream_response(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Upstream {
            service,
            server,
            state,
        } = connection.role
        else {
            return;
        };
        if let ReadState::Relay(_, client_key) = connection.read_state {
            return self.forward_relay(key, client_key);
        }
        let Some(purpose) = state.purpose() else {
            // Input without a request: the connection can't be reused.
            _ = self.close(key);
            return;
        };
        if service == RECORDS_SERVICE {
            return self.read_records_response(key, purpose);
        }
        match framing::parse_response(&connection.input, false, &self.limits) {
            Ok(None) => {
                if !matches!(
                    std::mem::replace(&mut connection.read_state, ReadState::ResponseStarted),
                    ReadState::ResponseStarted
                ) {
                    self.deadlines.schedule(
                        self.clock.now() + self.limits.response_idle_timeout,
                        Timer::ResponseIdle(key, purpose),
                    );
                }
            }
            Ok(Some((response, length))) => {
                let is_reusable = connection.input.len() == length
                    && response.keep_alive
                    && connection.has_sent_all();
                connection.input.clear();
                connection.input.shrink_to(4 * 1024);
                connection.read_state = ReadState::Idle;
                connection.role = Role::Upstream {
                    service,
                    server,
                    state: UpstreamState::Idle,
                };
                self.end_upstream_request(service, server, purpose, Outcome::Reset, Some(response));
                let now = self.now();
                if !(is_reusable && self.services[service].pool.release(server, key, now)) {
                    self.close(key);
                }
            }
            Err(_) => {
                self.end_upstream_request(service, server, purpose, Outcome::Error, None);
                self.close(key);
            }
        }
    }

    /// An attempt or a health check has ended. Its outcome follows from the response; without one it is `fallback`.
    pub(super) fn end_upstream_request(
        &mut self,
        service: usize,
        server: ServerId,
        purpose: UpstreamPurpose,
        fallback: Outcome,
        response: Option<Response>,
    ) {
        let now = self.now();
        let header = response
            .as_ref()
            .and_then(|r| r.headers.get("Endpoint-Load-Metrics"));
        let report: Option<LoadReport> = header.and_then(probes::parse_load_report);
        match purpose {
            UpstreamPurpose::Attempt(authorisation, attempt) => {
                let outcome = match &response {
                    None => fallback,
                    Some(response) if service == INTROSPECTION_SERVICE => {
                        self.introspection_outcome(now, response)
                    }
                    Some(response) => upstreams::response_outcome(response),
                };
                self.detach_upload(service, authorisation);
                let service_state = &mut self.services[service];
                service_state.attempt_connections.remove(authorisation);
                let is_final = service_state.engine.handle_attempt_ended(
                    now,
                    authorisation,
                    attempt,
                    outcome,
                    report,
                );
                if let (true, Some(response)) = (is_final, response) {
                    self.respond_served((service, authorisation), response);
                }
            }
            UpstreamPurpose::Probe => {
                let body = response
                    .as_ref()
                    .and_then(|r| std::str::from_utf8(&r.body).ok());
                let report = report.or(body.and_then(probes::parse_load_report));
                let outcome = response.as_ref().map_or(fallback, probes::probe_outcome);
                self.services[service]
                    .engine
                    .handle_probe_result(server, outcome, report);
            }
        }
    }
}
