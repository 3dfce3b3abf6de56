//! Legs and probes on connections to servers.

use super::*;

impl Host {
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        ticket: AuthorisationRef,
        leg: u32,
        server: ServerId,
        deadline: Micros,
    ) {
        if self.answer_from_cache(now, ticket, leg) {
            return;
        }
        self.start_upstream_request(
            now,
            ticket.0,
            server,
            UpstreamPurpose::Attempt(ticket.1, leg),
            deadline,
        );
    }

    /// Sends a leg or a probe on an idle connection, or on a new one.
    pub(super) fn start_upstream_request(
        &mut self,
        now: Micros,
        service: usize,
        server: ServerId,
        errand: UpstreamPurpose,
        deadline: Micros,
    ) {
        while let Some(key) = self.services[service].pool.acquire(server) {
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            // Guards against a close that came meanwhile: what is written then would end in a reset.
            if !has_no_input(&connection.stream) {
                self.close(key);
                continue;
            }
            connection.role = Role::Upstream {
                service,
                server,
                state: UpstreamState::Sending(errand),
            };
            self.track_upstream_request(key, service, errand, deadline);
            return self.send_upstream_request(now, key);
        }
        let open: usize = self
            .services
            .iter()
            .map(|s| s.pool.connection_count())
            .sum();
        if open >= self.limits.max_upstream_connections {
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
                        errand,
                        Outcome::ConnectFailed,
                        None,
                    );
                }
            }
        }
        let role = Role::Upstream {
            service,
            server,
            state: UpstreamState::Connecting(errand),
        };
        let address = self.services[service].pool.address(server);
        match address.map(|address| self.connect(address, role)) {
            Some(Ok(key)) => {
                self.services[service].pool.record_opened(server);
                self.track_upstream_request(key, service, errand, deadline);
            }
            Some(Err(_)) | None => {
                self.end_upstream_request(service, server, errand, Outcome::ConnectFailed, None)
            }
        }
    }

    fn track_upstream_request(
        &mut self,
        key: ConnectionKey,
        service: usize,
        errand: UpstreamPurpose,
        deadline: Micros,
    ) {
        if let UpstreamPurpose::Attempt(authorisation, _) = errand {
            self.services[service]
                .attempt_connections
                .insert(authorisation, key);
        }
        self.deadlines
            .schedule(deadline, Timer::UpstreamDeadline(key, errand));
    }

    /// The connection is up: writes what the errand carries.
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
        let known = &self.services[*service];
        *state = state.on_connected();
        match state.purpose() {
            Some(UpstreamPurpose::Probe) => {
                let host = known
                    .pool
                    .address(*server)
                    .map(|a| a.to_string())
                    .unwrap_or_default();
                connection
                    .output
                    .extend(probes::build_request(&host, self.fetch_load_reports));
            }
            Some(UpstreamPurpose::Attempt(authorisation, _)) => {
                let Some(pending) = known.pending.get(authorisation) else {
                    return;
                };
                let left = known
                    .engine
                    .deadline(authorisation)
                    .map_or(0, |at| (at - now).max(0));
                connection.output.extend_from_slice(&pending.forward.head);
                // Writing to a vector cannot fail.
                let _ = write!(
                    connection.output,
                    "X-Expires-In: {:.3}\r\n\r\n",
                    left as f64 / 1e6
                );
                connection.output.extend_from_slice(&pending.forward.body);
                let origin = pending.connection;
                self.start_upload(origin, key);
            }
            None => {}
        }
        self.unflushed.push(key);
    }

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
        if let ReadState::Relay(_, to) = connection.read_state {
            return self.forward_relay(key, to);
        }
        let Some(errand) = state.purpose() else {
            // Nothing was asked: whatever this is, the connection is of no more use.
            _ = self.close(key);
            return;
        };
        if service == RECORDS_SERVICE {
            return self.read_records_response(key, errand);
        }
        match framing::parse_response(&connection.input, false, &self.limits) {
            Ok(None) => {
                if !matches!(
                    std::mem::replace(&mut connection.read_state, ReadState::ResponseStarted),
                    ReadState::ResponseStarted
                ) {
                    self.deadlines.schedule(
                        self.clock.now() + self.limits.response_idle_timeout,
                        Timer::ResponseIdle(key, errand),
                    );
                }
            }
            Ok(Some((answer, length))) => {
                let clean = connection.input.len() == length
                    && answer.keep_alive
                    && connection.has_sent_all();
                connection.input.clear();
                connection.input.shrink_to(4 * 1024);
                connection.read_state = ReadState::Idle;
                connection.role = Role::Upstream {
                    service,
                    server,
                    state: UpstreamState::Idle,
                };
                self.end_upstream_request(service, server, errand, Outcome::Reset, Some(answer));
                let now = self.now();
                if !(clean && self.services[service].pool.release(server, key, now)) {
                    self.close(key);
                }
            }
            Err(_) => {
                self.end_upstream_request(service, server, errand, Outcome::Error, None);
                self.close(key);
            }
        }
    }

    /// An errand is over: by its answer, or else by this outcome.
    pub(super) fn end_upstream_request(
        &mut self,
        service: usize,
        server: ServerId,
        errand: UpstreamPurpose,
        otherwise: Outcome,
        answer: Option<Response>,
    ) {
        let now = self.now();
        let header = answer
            .as_ref()
            .and_then(|a| a.headers.get("Endpoint-Load-Metrics"));
        let report: Option<LoadReport> = header.and_then(probes::parse_load_report);
        match errand {
            UpstreamPurpose::Attempt(authorisation, leg) => {
                let outcome = match &answer {
                    None => otherwise,
                    Some(answer) if service == INTROSPECTION_SERVICE => {
                        self.introspection_outcome(now, answer)
                    }
                    Some(answer) => upstreams::response_outcome(answer),
                };
                self.detach_upload(service, authorisation);
                let known = &mut self.services[service];
                known.attempt_connections.remove(authorisation);
                let answers =
                    known
                        .engine
                        .handle_attempt_ended(now, authorisation, leg, outcome, report);
                if let (true, Some(answer)) = (answers, answer) {
                    self.respond_served((service, authorisation), answer);
                }
            }
            UpstreamPurpose::Probe => {
                let body = answer
                    .as_ref()
                    .and_then(|a| std::str::from_utf8(&a.body).ok());
                let report = report.or(body.and_then(probes::parse_load_report));
                let outcome = answer.as_ref().map_or(otherwise, probes::probe_outcome);
                self.services[service]
                    .engine
                    .handle_probe_result(server, outcome, report);
            }
        }
    }
}
