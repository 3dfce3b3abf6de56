//! The link to the agent: it delivers the configuration, the servers and counter totals, and takes
//! heartbeats, load reports and additions to the shared counter.

use protocol::frames;
use protocol::messages::{AgentMessage, ClusterView, Completeness, ControlMessage};
use slog::{error, info, warn};
use streamarch::{Outcome, ServerId};

use super::*;
use crate::config_store::ConfigChange;

/// After the end of a zone's evacuation, its servers count as cold for this much longer than their
/// warm-up: the operator's call takes time to reach this proxy, and the servers may go cold until
/// then.
const COLD_ZONE_MARGIN: Micros = SECOND;
/// The warm-up time assumed for the servers of a zone whose evacuation ended.
const DEFAULT_WARM_UP_TIME: Micros = 3 * SECOND;

impl Host {
    pub(super) fn connect_to_agent(&mut self, now: Micros) {
        if self.agent_connection.is_some() {
            return;
        }
        match self.connections.connect(self.settings.agent_address(), now) {
            Ok(connection_id) => {
                self.roles.insert(connection_id, Role::Agent);
                self.agent_connection = Some(connection_id);
                self.deadlines.schedule(
                    now + MIN_CONNECT_TIMEOUT,
                    Timer::ConnectTimeout(connection_id),
                );
            }
            Err(_) => self
                .deadlines
                .schedule(now + AGENT_RECONNECT_DELAY, Timer::ConnectAgent),
        }
    }

    pub(super) fn handle_agent_connected(&mut self, now: Micros, connection_id: ConnectionId) {
        info!(self.log, "connected to the agent");
        let hello = AgentMessage::Hello(self.node_info());
        if let Some(output) = self.connections.output(connection_id) {
            frames::encode(output, &hello);
        }
        self.announced_state = self.node_state();
        self.send_to_agent(&AgentMessage::Heartbeat(self.announced_state));
        // The batches in flight on the previous link have failed, as their totals can no longer
        // arrive; only pending additions are sent.
        self.send_counter_batch(now);
    }

    pub(super) fn handle_agent_lost(&mut self, now: Micros, connection_id: ConnectionId) {
        self.remove_connection(connection_id);
        self.agent_connection = None;
        for batch in std::mem::take(&mut self.counter_batches) {
            self.fail_counter_batch(&batch, Outcome::Reset);
        }
        self.deadlines
            .schedule(now + AGENT_RECONNECT_DELAY, Timer::ConnectAgent);
    }

    fn send_to_agent(&mut self, message: &AgentMessage) {
        if let Some(output) = self
            .agent_connection
            .and_then(|connection_id| self.connections.output(connection_id))
        {
            frames::encode(output, message);
        }
    }

    /// Sends the load reports, and schedules the next ones.
    pub(super) fn send_load_reports(&mut self, now: Micros) {
        self.deadlines
            .schedule(now + overload::EVALUATION_INTERVAL, Timer::LoadReport);
        let load_reports = self.router.shedding().take_load_reports(now);
        if !load_reports.is_empty() {
            self.send_to_agent(&AgentMessage::LoadReports(load_reports));
        }
    }

    pub(super) fn handle_heartbeat_timer(&mut self, now: Micros) {
        self.send_heartbeat();
        self.deadlines
            .schedule(now + HEARTBEAT_INTERVAL, Timer::Heartbeat);
    }

    pub(super) fn send_heartbeat(&mut self) {
        self.announced_state = self.node_state();
        self.send_to_agent(&AgentMessage::Heartbeat(self.announced_state));
    }

    pub(super) fn handle_agent_input(&mut self, now: Micros, connection_id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(connection_id) else {
                return;
            };
            match frames::decode::<ControlMessage>(&mut connection.input) {
                Ok(Some(message)) => self.handle_control_message(now, message),
                Ok(None) => break,
                Err(error) => {
                    error!(self.log, "malformed message from the agent: {error}"; "step" => "reading messages", "peer" => "agent");
                    return self.handle_agent_lost(now, connection_id);
                }
            }
        }
        if self.announced_state != self.node_state() {
            self.send_heartbeat();
        }
    }

    fn handle_control_message(&mut self, now: Micros, message: ControlMessage) {
        match message {
            ControlMessage::ClusterView(ClusterView {
                limiter_count,
                counter,
                has_quorum,
                ..
            }) => {
                self.router.set_limiter_count(now, limiter_count);
                self.router.set_isolated(!has_quorum);
                self.router.set_counter_term(counter.map(|(_, term)| term));
            }
            ControlMessage::Items(items) => {
                let had_items = self.config_store.item_count() > 0;
                let (change, errors) = self.config_store.apply(items);
                for error in errors {
                    warn!(self.log, #IMMEDIATE, "configuration item rejected: {error}"; "step" => "reading items", "peer" => "agent");
                }
                if !had_items {
                    self.log_configuration("first configuration items received");
                }
                self.handle_config_change(now, change);
            }
            ControlMessage::Servers { version, servers } => {
                if self.server_table.update(now, version, servers) {
                    self.update_servers(now);
                }
            }
            ControlMessage::SnapshotComplete => self.raise_completeness(Completeness::Snapshot),
            ControlMessage::Complete => self.raise_completeness(Completeness::Complete),
            ControlMessage::Confirmed { age_us } => {
                // The clock may have jumped since this iteration began.
                let confirmed_at = self.clock.now() - age_us;
                self.config_freshness.confirm(confirmed_at);
            }
            ControlMessage::Clock(advanced_to) => {
                let time_before = self.clock.now();
                self.clock.advance_to(advanced_to);
                let jump = self.clock.now() - time_before;
                self.config_freshness.handle_clock_jump(jump);
                self.input_read_until = self.clock.now();
                self.router
                    .handle_clock_jump(advanced_to, advanced_to - now);
            }
            ControlMessage::AdmissionLevels { age_us, levels } => self
                .router
                .shedding()
                .set_admission_levels(now, age_us, levels),
            ControlMessage::CounterTotals { batch, totals } => {
                self.handle_counter_totals(batch, &totals)
            }
            ControlMessage::NotCounted(batch) => {
                if let Some(batch) = self.take_counter_batch(batch) {
                    self.fail_counter_batch(&batch, Outcome::ConnectFailed);
                }
            }
        }
    }

    fn raise_completeness(&mut self, to: Completeness) {
        if self.completeness.raise(to) {
            self.log_configuration(match to {
                Completeness::Complete => "configuration complete",
                Completeness::Snapshot | Completeness::Partial => "configuration snapshot complete",
            });
        }
    }

    fn log_configuration(&self, message: &'static str) {
        info!(self.log, "{message}"; "items" => self.config_store.item_count(), "tenants" => self.config_store.tenant_count());
    }

    fn handle_config_change(&mut self, now: Micros, change: ConfigChange) {
        if let Some(limits) = self
            .config_store
            .client_limits()
            .filter(|_| change.has_new_items)
        {
            self.limits.max_head_bytes = limits.hdr_bytes as usize;
            self.limits.max_request_bytes = limits.body_bytes;
            self.limits.request_timeout = limits.hdr.0;
            self.limits.client_idle_timeout = limits.idle.0;
            self.client_keep_alive = responses::keep_alive_value(limits.idle.0);
        }
        if change.zones_changed {
            self.server_table.set_evacuated_zones(
                now,
                self.config_store.evacuated_zones(),
                change.restored_zones,
                DEFAULT_WARM_UP_TIME + COLD_ZONE_MARGIN,
            );
            self.update_servers(now);
        }
    }

    /// Passes the servers to every engine, and their addresses to the connection pool.
    pub(super) fn update_servers(&mut self, now: Micros) {
        let engines: Vec<_> = self
            .router
            .service_engines()
            .map(|(service, regions, engine)| (service.to_string(), regions.to_vec(), engine))
            .collect();
        for (service, regions, engine) in engines {
            let entries = self.server_table.entries(now, &service, &regions);
            self.add_servers_to_pool(entries.iter().map(|entry| entry.server).collect());
            self.router.update_servers(engine, entries);
        }
        self.close_unlisted_servers();
        if let Some(warm_up_end) = self.server_table.next_warm_up_end(now) {
            self.deadlines.schedule(warm_up_end, Timer::WarmUpEnd);
        }
    }

    pub(super) fn add_servers_to_pool(&mut self, servers: Vec<ServerId>) {
        for server in servers {
            if let Some((address, _)) = self.server_table.address_and_instance_id(server) {
                let obsolete_connections = self.upstream_pool.add_server(server, address);
                self.close_idle_upstreams(obsolete_connections);
            }
        }
    }

    /// Sends the pending additions to the shared counter as a batch, once per iteration.
    pub(super) fn send_counter_batch(&mut self, now: Micros) {
        if self.pending_adds.is_empty() {
            return;
        }
        let adds = std::mem::take(&mut self.pending_adds);
        self.last_batch_number += 1;
        self.metrics.counter_batches += 1;
        let counters = adds.iter().map(|add| add.counter).collect();
        let batch = CounterBatch {
            number: self.last_batch_number,
            counters,
            sent_at: now,
            deadline: now + self.counter_timeout.timeout(),
            is_timed_out: false,
        };
        let is_connected = self
            .agent_connection
            .and_then(|connection_id| self.connections.get(connection_id))
            .is_some_and(|connection| connection.is_connected());
        if !is_connected {
            return self.fail_counter_batch(&batch, Outcome::ConnectFailed);
        }
        self.send_to_agent(&AgentMessage::CounterBatch {
            batch: self.last_batch_number,
            clock_us: now,
            adds,
        });
        if self.counter_batches.is_empty() {
            self.deadlines
                .schedule(batch.deadline, Timer::CounterBatchTimeout);
        }
        self.counter_batches.push_back(batch);
    }

    fn take_counter_batch(&mut self, number: u64) -> Option<CounterBatch> {
        let index = self
            .counter_batches
            .iter()
            .position(|batch| batch.number == number)?;
        self.counter_batches.remove(index)
    }

    fn fail_counter_batch(&mut self, batch: &CounterBatch, outcome: Outcome) {
        self.metrics.counter_batches_failed += 1;
        for counter in batch.counters.iter().filter(|_| !batch.is_timed_out) {
            self.router.handle_counter_result(*counter, outcome, 0.0);
        }
    }

    fn handle_counter_totals(&mut self, number: u64, totals: &[f64]) {
        let Some(batch) = self.take_counter_batch(number) else {
            return;
        };
        self.counter_timeout
            .record(self.clock.now() - batch.sent_at);
        if batch.is_timed_out {
            self.metrics.counter_batches_late += 1;
            return self.router.handle_late_counter_result();
        }
        for (index, counter) in batch.counters.iter().enumerate() {
            match totals.get(index) {
                Some(total) => self
                    .router
                    .handle_counter_result(*counter, Outcome::Ok, *total),
                None => self
                    .router
                    .handle_counter_result(*counter, Outcome::ConnectFailed, 0.0),
            }
        }
    }

    pub(super) fn handle_counter_batch_timeout(&mut self, now: Micros) {
        self.batch_check_at = Micros::MAX;
        let mut timed_out_counters = Vec::new();
        for batch in self
            .counter_batches
            .iter_mut()
            .filter(|batch| !batch.is_timed_out && batch.deadline <= now)
        {
            batch.is_timed_out = true;
            self.metrics.counter_batches_timed_out += 1;
            timed_out_counters.append(&mut batch.counters.clone());
        }
        for counter in timed_out_counters {
            self.router
                .handle_counter_result(counter, Outcome::TimedOut, 0.0);
        }
        // Bounds the memory used for calls to a counter that never responds.
        while self.counter_batches.len() > 1_000 {
            self.counter_batches.pop_front();
        }
        // Batches that have timed out are kept, since their totals may still arrive.
        let waiting_batches = self
            .counter_batches
            .iter()
            .filter(|batch| !batch.is_timed_out);
        if let Some(next_deadline) = waiting_batches.map(|batch| batch.deadline).min() {
            self.schedule_batch_timeout_check(next_deadline);
        }
    }

    /// Schedules the next check, unless an earlier one is scheduled: a batch may have an earlier
    /// deadline than the one before it, as the time-out adapts.
    fn schedule_batch_timeout_check(&mut self, at: Micros) {
        if at < self.batch_check_at {
            self.batch_check_at = at;
            self.deadlines.schedule(at, Timer::CounterBatchTimeout);
        }
    }
}
