//! The link to the agent: configuration, servers and counter totals arrive on it, and counter adds
//! go out.

use protocol::frames;
use protocol::log_ring::IMMEDIATE;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};
use slog::{error, info, warn};
use streamarch::{Outcome, ServerId};

use super::*;
use crate::config_store::ConfigChange;

/// After the end of a zone's evacuation its servers may be cold for this much longer than their
/// warm-up: the operator's call needs time to get here, and the servers may go cold until it does.
const COLD_LAG: Micros = SECOND;
/// Warm-up where the configuration names none.
const WARMUP: Micros = 3 * SECOND;

impl Host {
    pub(super) fn open_feed(&mut self, now: Micros) {
        if self.agent.is_some() {
            return;
        }
        match self.connections.connect(self.settings.agent_address(), now) {
            Ok(key) => {
                self.roles.insert(key, Role::Agent);
                self.agent = Some(key);
                self.deadlines
                    .schedule(now + CONNECT_TIMEOUT, Timer::Connect(key));
            }
            Err(_) => self
                .deadlines
                .schedule(now + AGENT_RETRY_DELAY, Timer::Feed),
        }
    }

    pub(super) fn feed_up(&mut self, now: Micros, key: ConnectionId) {
        info!(self.log, "agent is there");
        let hello = AgentMessage::Hello(self.edge());
        if let Some(out) = self.connections.output(key) {
            frames::encode(out, &hello);
        }
        self.standing = self.stands();
        self.tell(&AgentMessage::Heartbeat(self.standing));
        // Counter calls in flight on the old link get no totals.
        self.send_adds(now);
    }

    pub(super) fn feed_lost(&mut self, now: Micros, key: ConnectionId) {
        self.remove_connection(key);
        self.agent = None;
        for batch in std::mem::take(&mut self.batches) {
            self.not_counted(&batch, Outcome::Reset);
        }
        self.deadlines
            .schedule(now + AGENT_RETRY_DELAY, Timer::Feed);
    }

    fn tell(&mut self, message: &AgentMessage) {
        if let Some(out) = self.agent.and_then(|key| self.connections.output(key)) {
            frames::encode(out, message);
        }
    }

    /// Sends the load reports.
    pub(super) fn tell_load(&mut self, now: Micros) {
        self.deadlines.schedule(now + overload::STEP, Timer::Load);
        let load = self.router.shedding().take_reports(now);
        if !load.is_empty() {
            self.tell(&AgentMessage::LoadReports(load));
        }
    }

    pub(super) fn beat(&mut self, now: Micros) {
        self.beat_now();
        self.deadlines
            .schedule(now + HEARTBEAT_INTERVAL, Timer::Beat);
    }

    pub(super) fn beat_now(&mut self) {
        self.standing = self.stands();
        self.tell(&AgentMessage::Heartbeat(self.standing));
    }

    pub(super) fn feed_came(&mut self, now: Micros, key: ConnectionId) {
        loop {
            let Some(wire) = self.connections.get_mut(key) else {
                return;
            };
            match frames::decode::<ControlMessage>(&mut wire.input) {
                Ok(Some(message)) => self.heard(now, message),
                Ok(None) => break,
                Err(fault) => {
                    error!(self.log, "agent: {fault}"; "step" => "reading news", "peer" => "agent");
                    return self.feed_lost(now, key);
                }
            }
        }
        if self.standing != self.stands() {
            self.beat_now();
        }
    }

    fn heard(&mut self, now: Micros, message: ControlMessage) {
        match message {
            ControlMessage::ClusterView(ClusterView {
                limiters,
                counter: holder,
                has_quorum: in_touch,
                ..
            }) => {
                self.router.limiters(now, limiters);
                self.router.alone(!in_touch);
                self.router.set_counter_term(holder.map(|(_, term)| term));
            }
            ControlMessage::Items(items) => {
                let (touched, faults) = self.config_store.apply(items);
                for fault in faults {
                    warn!(self.log, #IMMEDIATE, "item left out: {fault}"; "step" => "reading items", "peer" => "agent");
                }
                self.touched(now, touched);
            }
            ControlMessage::Servers { version, servers } => {
                if self.server_table.update(now, version, servers) {
                    self.list(now);
                }
            }
            ControlMessage::Complete => self.agent_complete = true,
            ControlMessage::Clock(time) => {
                self.clock.advance_to(time);
                self.caught_up_at = self.clock.now();
                self.router.jumped(time, time - now);
            }
            ControlMessage::Levels { age, levels } => {
                self.router.shedding().set_levels(now, age, levels)
            }
            ControlMessage::Totals { batch, totals } => self.totals(batch, &totals),
            ControlMessage::NotCounted(batch) => {
                if let Some(batch) = self.take_batch(batch) {
                    self.not_counted(&batch, Outcome::ConnectFailed);
                }
            }
        }
    }

    fn touched(&mut self, now: Micros, touched: ConfigChange) {
        if let Some(limits) = self.config_store.limits().filter(|_| touched.has_new_items) {
            self.limits.max_head_bytes = limits.hdr_bytes as usize;
            self.limits.max_request_bytes = limits.body_bytes;
            self.limits.request_timeout = limits.hdr.0;
            self.limits.client_idle_timeout = limits.idle.0;
            self.client_keep_alive = clients::stay(limits.idle.0);
        }
        if touched.zones {
            self.server_table.set_evacuated(
                now,
                self.config_store.evacuated_zones(),
                touched.returned_zones,
                WARMUP + COLD_LAG,
            );
            self.list(now);
        }
    }

    /// Passes the servers to every engine, and their addresses to the pool.
    pub(super) fn list(&mut self, now: Micros) {
        let places: Vec<_> = self
            .router
            .places()
            .map(|(s, p, at)| (s.to_string(), p.to_vec(), at))
            .collect();
        for (svc, pins, at) in places {
            let entries = self.server_table.entries(now, &svc, &pins);
            self.pool_listed(entries.iter().map(|entry| entry.server).collect());
            self.router.listed(at, entries);
        }
        self.pool_unlisted();
        if let Some(at) = self.server_table.next_warm(now) {
            self.deadlines.schedule(at, Timer::Warm);
        }
    }

    pub(super) fn pool_listed(&mut self, servers: Vec<ServerId>) {
        for server in servers {
            if let Some((address, _)) = self.server_table.address_of(server) {
                let moved = self.pool.add_server(server, address);
                self.close_idle(moved);
            }
        }
    }

    /// Adds are sent once a turn.
    pub(super) fn send_adds(&mut self, now: Micros) {
        if self.adds.is_empty() {
            return;
        }
        let adds = std::mem::take(&mut self.adds);
        self.batch += 1;
        let names = adds.iter().map(|add| add.counter).collect();
        let batch = CounterBatch {
            number: self.batch,
            names,
            sent: now,
            expired: false,
        };
        let up = self
            .agent
            .and_then(|key| self.connections.get(key))
            .is_some_and(|wire| wire.is_connected());
        if !up {
            return self.not_counted(&batch, Outcome::ConnectFailed);
        }
        self.tell(&AgentMessage::CounterBatch {
            batch: self.batch,
            time: now,
            adds,
        });
        self.batches.push_back(batch);
        if self.batches.len() == 1 {
            self.deadlines.schedule(now + COUNTER_TIMEOUT, Timer::Batch);
        }
    }

    fn take_batch(&mut self, number: u64) -> Option<CounterBatch> {
        let at = self
            .batches
            .iter()
            .position(|batch| batch.number == number)?;
        self.batches.remove(at)
    }

    fn not_counted(&mut self, batch: &CounterBatch, outcome: Outcome) {
        for name in batch.names.iter().filter(|_| !batch.expired) {
            self.router.handle_count(*name, outcome, 0.0);
        }
    }

    fn totals(&mut self, number: u64, totals: &[f64]) {
        let Some(batch) = self.take_batch(number) else {
            return;
        };
        if batch.expired {
            return self.router.handle_late_count();
        }
        for (at, name) in batch.names.iter().enumerate() {
            match totals.get(at) {
                Some(total) => self.router.handle_count(*name, Outcome::Ok, *total),
                None => self.router.handle_count(*name, Outcome::ConnectFailed, 0.0),
            }
        }
    }

    pub(super) fn batch_due(&mut self, now: Micros) {
        let mut late = Vec::new();
        for batch in self
            .batches
            .iter_mut()
            .filter(|b| !b.expired && b.sent + COUNTER_TIMEOUT <= now)
        {
            batch.expired = true;
            late.append(&mut batch.names.clone());
        }
        for name in late {
            self.router.handle_count(name, Outcome::TimedOut, 0.0);
        }
        // Bounds the memory used for calls to a counter that never answers.
        while self.batches.len() > 1_000 {
            self.batches.pop_front();
        }
        if let Some(next) = self.batches.iter().find(|batch| !batch.expired) {
            self.deadlines
                .schedule(next.sent + COUNTER_TIMEOUT, Timer::Batch);
        } else if !self.batches.is_empty() {
            self.deadlines.schedule(now + COUNTER_TIMEOUT, Timer::Batch);
        }
    }
}
