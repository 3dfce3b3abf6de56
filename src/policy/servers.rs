//! The view of the servers: the list, what is learned of each, and the silent ones.

use super::*;

/// So long after its last request what is known of a customer is forgotten.
const CUSTOMER_RETENTION: Micros = 60 * SECOND;
/// A server that owes answers is suspected after this multiple of the usual answer time, at least this long.
const SILENCE_MULTIPLE: f64 = 5.0;
const MIN_SILENCE: Micros = 300_000;
/// First and longest time between trials of a suspect.
const FIRST_TRIAL_INTERVAL: Micros = 250_000;
const MAX_TRIAL_INTERVAL: Micros = 2 * SECOND;
/// Time constants: answer times of a server; what is known of it, when unheard; load reports.
const LATENCY_TAU_US: f64 = 1.0e6;
const FORGET_TAU_US: f64 = 8.0e6;
const REPORT_TAU_US: f64 = 0.6e6;
/// Share of the cold budget that is used: the rest is for chance.
const COLD_BUDGET_SHARE: f64 = 0.5;
/// Attempts out at a server: rise for all gateways together, to which more than a few add up,
/// share of the aim after which an answer is late, cuts for a late answer and a refusal.
const LIMIT_INCREASE: f64 = 1.5;
const FEW_GATEWAYS: f64 = 4.0;
const LATE_TARGET_SHARE: f64 = 0.5;
const LATE_LIMIT_FACTOR: f64 = 0.9;
const REJECTED_LIMIT_FACTOR: f64 = 0.7;
/// A server that turned a request away or let one run out rests this long, doubled up to the longest.
const FIRST_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 4 * SECOND;
/// Chance of an answer from a server: so many ends seen weigh as much as what is expected.
const SUCCESS_PRIOR_WEIGHT: f64 = 1.0;
/// Gains of a class's work by answers quicker and slower than it: most answers have also waited.
const WORK_GAIN_DOWN: f64 = 0.05;
const WORK_GAIN_UP: f64 = 0.01;
/// Gain of a class's mean answer time for each answer.
const MEAN_LATENCY_GAIN: f64 = 0.02;
/// A server's answer time over the mean: the most, and the least time between two.
const MAX_LATENCY_RATIO: f64 = 20.0;
const MIN_LATENCY_RATIO_STEP: Micros = 60_000;
/// Share of a bound that must be out for a good answer to raise it.
const LIMIT_USED_SHARE: f64 = 0.7;

impl AttemptStats {
    fn decayed(&self, now: Micros) -> (f64, f64) {
        let fade = (-((now - self.updated_at) as f64) / FORGET_TAU_US).exp();
        (self.successes * fade, self.attempts * fade)
    }

    pub(super) fn record(&mut self, now: Micros, good: bool) {
        let (before, ends) = self.decayed(now);
        (self.successes, self.attempts, self.updated_at) =
            (before + f64::from(u8::from(good)), ends + 1.0, now);
    }

    /// The chance by what was seen here, and where that is little by what is expected.
    pub(super) fn success_probability(&self, now: Micros, expected: f64) -> f64 {
        let (good, ends) = self.decayed(now);
        (good + SUCCESS_PRIOR_WEIGHT * expected) / (ends + SUCCESS_PRIOR_WEIGHT)
    }
}

impl Server {
    /// Answer time over the fleet's mean; an unheard server drifts back to the mean and so to a new trial.
    pub(super) fn current_latency_ratio(&self, now: Micros) -> f64 {
        1.0 + (self.latency_ratio - 1.0)
            * (-((now - self.latency_ratio_at) as f64) / FORGET_TAU_US).exp()
    }

    fn record_latency_ratio(&mut self, now: Micros, ratio: f64) {
        let before = self.current_latency_ratio(now);
        let gain = 1.0
            - (-((now - self.latency_ratio_at).max(MIN_LATENCY_RATIO_STEP) as f64)
                / LATENCY_TAU_US)
                .exp();
        (self.latency_ratio, self.latency_ratio_at) =
            (before + (ratio.min(MAX_LATENCY_RATIO) - before) * gain, now);
    }

    /// Danger: a jam of work that nobody waits for outlives its cause; only what comes back in time is sent.
    fn update_concurrency_limit(&mut self, outcome: Outcome, late: bool, least: f64) {
        let used = f64::from(self.in_flight) + 1.0 >= LIMIT_USED_SHARE * self.concurrency_limit;
        let rise = LIMIT_INCREASE * least * (FEW_GATEWAYS * least).min(1.0);
        self.concurrency_limit = match outcome {
            Outcome::Ok if late => self.concurrency_limit * LATE_LIMIT_FACTOR,
            Outcome::Ok if used => self.concurrency_limit + rise / self.concurrency_limit,
            Outcome::Rejected | Outcome::TimedOut => self.concurrency_limit * REJECTED_LIMIT_FACTOR,
            _ => self.concurrency_limit,
        };
        self.concurrency_limit = self.concurrency_limit.max(least);
    }

    /// Danger: a server kept full never drains. By plan, since some refuse one customer or plan only.
    fn update_backoff(&mut self, now: Micros, plan: usize, outcome: Outcome) {
        if outcome == Outcome::Ok {
            self.backoffs.remove(&plan);
        } else if matches!(
            outcome,
            Outcome::Rejected | Outcome::TimedOut | Outcome::ConnectFailed
        ) {
            let rest = self.backoffs.entry(plan).or_default();
            if now >= rest.ends_at {
                rest.ends_at =
                    now + (FIRST_BACKOFF << rest.consecutive_failures.min(16)).min(MAX_BACKOFF);
                rest.consecutive_failures += 1;
            }
        }
    }

    pub(super) fn estimated_load(&self, now: Micros) -> f64 {
        let fade = (-((now - self.others_load_at) as f64) / REPORT_TAU_US).exp();
        f64::from(self.in_flight) + self.others_load * fade
    }

    fn record_load_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(told) = report.and_then(|r| {
            r.active_requests
                .map(|a| a - f64::from(self.in_flight))
                .or(r.queued_requests)
        }) {
            (self.others_load, self.others_load_at) = (told.max(0.0), now);
        }
    }
}

impl Balancer {
    pub(super) fn on_server_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        match kind {
            ListKind::Failed => return self.actions.push(Action::WatchServerList),
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => {
                let listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
                for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed(id)) {
                    (server.is_ready, server.is_removed) = (false, true);
                }
            }
        }
        for entry in entries {
            // All gateways hear of a start at about the same time: their first requests are spread out.
            let first = self.settings.initial_concurrency.0 / self.gateways_per_server;
            let (now, stagger, rank) = (self.now, self.random() * INITIAL_WORK_US, self.random());
            let server = self
                .servers
                .entry(entry.server)
                .or_insert_with(|| Server::unknown(first, rank));
            if entry.started_at > server.started_at {
                let (out, bound, sent_work, sent_at) =
                    (server.in_flight, server.concurrency_limit, stagger, now);
                *server = Server {
                    in_flight: out,
                    concurrency_limit: bound,
                    uncovered_work: sent_work,
                    uncovered_work_at: sent_at,
                    ..Server::unknown(first, server.subset_rank)
                };
            }
            (server.zone, server.cell, server.machine_type) =
                (entry.zone, entry.cell, entry.machine_type);
            (server.started_at, server.is_ready) =
                (entry.started_at, entry.state == ServerState::Ready);
            server.is_removed = entry.state == ServerState::Removed;
            server.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
        }
        self.servers.retain(|_, s| !s.is_removed || s.in_flight > 0);
        let mut ranks: Vec<f64> = self
            .servers
            .values()
            .filter(|s| s.is_ready)
            .map(|s| s.subset_rank)
            .collect();
        ranks.sort_by(f64::total_cmp);
        // Danger: where each of hundreds sends to all, each try needs a connection, each hears too little.
        let used = (ranks.len() as f64 * MAX_GATEWAYS_PER_SERVER / self.gateways())
            .ceil()
            .max(MIN_SUBSET_SIZE);
        let last = ranks.get(used as usize - 1).copied().unwrap_or(1.0);
        self.servers
            .values_mut()
            .for_each(|s| s.in_subset = s.subset_rank <= last);
        self.gateways_per_server = self.gateways() * (used / ranks.len().max(1) as f64).min(1.0);
    }

    pub(super) fn capacity_share(&self, server: &Server) -> f64 {
        let age = (self.now - server.started_at).max(0);
        if server.started_at <= 0 || age >= self.settings.warm_up_duration {
            return 1.0;
        }
        let from = self.settings.cold_capacity_share.clamp(0.01, 1.0);
        from + (1.0 - from) * (age as f64 / self.settings.warm_up_duration as f64)
    }

    /// Work sent to a cold server not yet covered by its budget, and whether more fits: half a window's.
    /// Danger: overfed by all gateways together it falls over. Each has its share of a core at least.
    pub(super) fn cold_budget(&self, server: &Server, work: f64) -> (f64, bool) {
        let share = self.settings.overload_multiple * COLD_BUDGET_SHARE / self.gateways_per_server;
        let rate = self.capacity_share(server) * share * server.weight.max(1.0);
        let debt =
            (server.uncovered_work - (self.now - server.uncovered_work_at) as f64 * rate).max(0.0);
        (
            debt,
            debt <= 0.0 || debt + work <= rate * self.settings.overload_window as f64 / 2.0,
        )
    }

    pub(super) fn class_work(&self, class: usize) -> f64 {
        self.class_work
            .get(class)
            .copied()
            .unwrap_or(INITIAL_WORK_US)
    }

    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let (now, least) = (self.now, 1.0 / self.gateways_per_server);
        let (class, plan) = self
            .requests
            .get(&end.request)
            .map(|h| (h.request.class, h.request.plan))
            .unzip();
        let aim = class
            .and_then(|c| self.settings.classes.get(c))
            .map_or(SECOND, |c| c.latency_target);
        let Some(server) = self.servers.get_mut(&end.server) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.update_concurrency_limit(
            end.outcome,
            end.elapsed as f64 > aim as f64 * LATE_TARGET_SHARE,
            least,
        );
        server.update_backoff(now, plan.unwrap_or(usize::MAX), end.outcome);
        if let Some(plan) =
            plan.filter(|p| *p < self.settings.plans.len() && end.outcome != Outcome::NotSent)
        {
            // Danger: a server that fails at once has little out, looks idle and draws ever more work.
            let good = end.outcome == Outcome::Ok;
            server.plan_stats.entry(plan).or_default().record(now, good);
            for plans in [plan, usize::MAX] {
                self.machine_type_stats
                    .entry((server.machine_type, plans))
                    .or_default()
                    .record(now, good);
            }
        }
        server.record_load_report(now, end.load_report);
        let heard = matches!(
            end.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
        );
        server.silent_since = if heard {
            Some(now)
        } else {
            server.silent_since
        }
        .filter(|_| server.in_flight > 0);
        let known = class.and_then(|c| {
            self.class_mean_latency
                .get_mut(c)
                .zip(self.class_work.get_mut(c))
        });
        if let (Outcome::Ok, Some((mean, work))) = (end.outcome, known) {
            let took = end.elapsed.max(1) as f64;
            *work += (took - *work)
                * if took < *work {
                    WORK_GAIN_DOWN
                } else {
                    WORK_GAIN_UP
                };
            *mean = if *mean > 0.0 {
                *mean + (took - *mean) * MEAN_LATENCY_GAIN
            } else {
                took
            };
            server.record_latency_ratio(now, took / *mean);
        }
    }

    /// Housekeeping: servers that owe answers are probed, and suspected if that stays unanswered too.
    pub(super) fn run_housekeeping(&mut self) {
        let now = self.now;
        self.schedule(now + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
        let usual = self.class_mean_latency.iter().copied().fold(0.0, f64::max);
        let least = self.settings.min_silence_timeout.max(MIN_SILENCE);
        let patience = ((usual * SILENCE_MULTIPLE) as Micros).max(least);
        let ready = self.servers.values().filter(|s| s.is_ready).count();
        let mut suspects = self
            .servers
            .values()
            .filter(|s| s.suspicion.is_some())
            .count();
        let mut trials = Vec::new();
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.is_ready) {
            let silent = server.silent_since.is_some_and(|t| now - t > patience);
            let (wait, step) = match server.suspicion {
                // Never more than half the fleet: when all are silent the trouble lies elsewhere.
                None if silent && (suspects + 1) * 2 <= ready => {
                    (FIRST_TRIAL_INTERVAL, FIRST_TRIAL_INTERVAL)
                }
                Some((at, step)) if at <= now => (step, (step * 2).min(MAX_TRIAL_INTERVAL)),
                None | Some(_) => continue,
            };
            suspects += usize::from(server.suspicion.is_none());
            server.suspicion = Some((now + wait, step));
            trials.push(*id);
        }
        trials.into_iter().for_each(|id| self.retry_suspect(id));
        // Danger: a day brings thousands of customers; to look through them all at each tick costs the most.
        if now - self.customers_swept_at < SECOND {
            return;
        }
        self.customers_swept_at = now;
        let refill = |p: &Plan| {
            (p.hard_limit_burst / p.hard_limit_rate_per_s.max(1e-9) * SECOND as f64) as Micros
        };
        let longest = self
            .settings
            .plans
            .iter()
            .map(refill)
            .fold(CUSTOMER_RETENTION, Micros::max);
        self.customers
            .retain(|_, c| c.in_flight > 0 || now - c.last_seen_at < longest);
    }

    /// A suspected server's trial: a probe, or where there are none, the end of a confirmed suspicion.
    fn retry_suspect(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        match (self.settings.can_probe, server.silence_confirmed) {
            (true, _) => self.actions.push(Action::Probe(id)),
            (false, true) => {
                (
                    server.suspicion,
                    server.silent_since,
                    server.silence_confirmed,
                ) = (None, None, false)
            }
            (false, false) => self.confirm_silence(id),
        }
    }

    /// The probe failed too: one long request alone must not move work. What may be repeated is moved.
    fn confirm_silence(&mut self, id: ServerId) {
        let suspect = self
            .servers
            .get_mut(&id)
            .filter(|s| s.suspicion.is_some() && !s.silence_confirmed);
        let Some(server) = suspect else { return };
        server.silence_confirmed = true;
        self.log(format!("server {} suspected: silent", id.0));
        for (request, held) in self
            .requests
            .iter()
            .filter(|(_, h)| !h.is_finished && !h.is_streaming)
        {
            let repeat = self
                .settings
                .classes
                .get(held.request.class)
                .map(|c| c.idempotency);
            let moves =
                self.settings.can_cancel && repeat.is_some_and(|r| r != Idempotency::NotIdempotent);
            let there = held
                .in_flight
                .iter()
                .filter(|(_, at, _)| moves && *at == id);
            self.actions.extend(there.map(|(n, _, _)| Action::Cancel {
                request: *request,
                attempt: *n,
            }));
        }
    }

    pub(super) fn on_probe_end(
        &mut self,
        id: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.record_load_report(self.now, report);
        if outcome != Outcome::Ok {
            return self.confirm_silence(id);
        }
        server.silent_since = (server.in_flight > 0).then_some(self.now);
        server.suspicion = None;
        if std::mem::take(&mut server.silence_confirmed) {
            self.log(format!("server {} answers again", id.0));
        }
    }
}
