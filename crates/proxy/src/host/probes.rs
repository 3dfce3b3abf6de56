//! Health checks of servers.

use std::io::Write;

use slog::info;

use super::metrics::outcome_name;
use super::*;

/// Additional time for the probe of a server in another region: two round trips, for connecting and
/// for one exchange.
const REMOTE_PROBE_EXTRA_TIME: Micros = 250 * MS;

impl Host {
    /// Sends a health check to a server.
    pub(super) fn start_probe(&mut self, now: Micros, engine_index: usize, server: ServerId) {
        let path = self
            .server_table
            .get(server)
            .and_then(|record| self.config_store.service(&record.listing.svc));
        let path = path.map_or("/healthz".to_string(), |service| service.hcheck.clone());
        let connection_id =
            match self.acquire_connection(now, server, UpstreamPurpose::Probe(engine_index)) {
                Ok(connection_id) => connection_id,
                Err(outcome) => {
                    return self.handle_probe_result(engine_index, server, outcome);
                }
            };
        let Some((address, instance_id)) = self.server_table.address_and_instance_id(server) else {
            return;
        };
        if let Some(output) = self.connections.output(connection_id) {
            // Writing to a vector can't fail.
            let _ = write!(
                output,
                "GET {path} HTTP/1.1\r\nHost: {address}\r\nX-Want-Instance: {instance_id}\r\n\r\n"
            );
        }
        let extra_time = if self.server_table.is_in_other_region(server) {
            REMOTE_PROBE_EXTRA_TIME
        } else {
            0
        };
        let timeout = self
            .limits
            .probe_timeout
            .max(self.router.probe_timeout(engine_index))
            + extra_time;
        self.deadlines
            .schedule(now + timeout, Timer::ProbeTimeout(connection_id));
    }

    /// Ends a health check that is still in progress at its time-out.
    pub(super) fn handle_probe_timeout(&mut self, connection_id: ConnectionId) {
        let Some(Role::Upstream(upstream)) = self.roles.get(connection_id) else {
            return;
        };
        if let Some(UpstreamPurpose::Probe(engine_index)) = upstream.state.purpose() {
            let server = upstream.server;
            self.close_upstream(connection_id);
            self.handle_probe_result(engine_index, server, Outcome::TimedOut);
        }
    }

    /// Records the end of a health check, and reports it to the router.
    pub(super) fn handle_probe_result(
        &mut self,
        engine_index: usize,
        server: ServerId,
        outcome: Outcome,
    ) {
        self.record_probe_result(server, outcome);
        self.router
            .handle_probe_result(engine_index, server, outcome);
    }

    /// Counts the end of a health check, and logs it unless the server is healthy.
    pub(super) fn record_probe_result(&mut self, server: ServerId, outcome: Outcome) {
        *self
            .metrics
            .probes
            .entry(outcome_name(outcome))
            .or_default() += 1;
        if outcome == Outcome::Ok {
            return;
        }
        let instance_id = self
            .server_table
            .address_and_instance_id(server)
            .map_or("unlisted", |(_, instance_id)| instance_id);
        info!(self.log, "health check failed"; "server" => instance_id, "outcome" => ?outcome);
    }
}
