//! The view of the servers: the list, the statistics of each, and the detection of silent ones.

use super::*;

/// The state of a customer is kept for this long after its last request, or longer if the bucket of its hard
/// limit takes longer to refill.
const CUSTOMER_RETENTION: Micros = 60 * SECOND;
/// A server with attempts in flight is suspected after this multiple of the usual response time without a
/// response.
const SILENCE_MULTIPLE: f64 = 5.0;
/// Lower bound of that time.
const MIN_SILENCE: Micros = 300_000;
/// First interval between trials of a suspected server; it doubles with each trial.
const FIRST_TRIAL_INTERVAL: Micros = 250_000;
/// Longest interval between trials of a suspected server.
const MAX_TRIAL_INTERVAL: Micros = 2 * SECOND;
/// Time constant of the moving average of a server's latency ratio.
const LATENCY_TAU_US: f64 = 1.0e6;
/// Time constant with which the statistics of a server decay while it gets no attempts.
const FORGET_TAU_US: f64 = 8.0e6;
/// Time constant with which a load report decays.
const REPORT_TAU_US: f64 = 0.6e6;
/// Share of a cold server's budget that is used; the rest is a margin for random variation.
const COLD_BUDGET_SHARE: f64 = 0.5;
/// Increase of a server's concurrency limit over all gateways together, for each round of responses.
const LIMIT_INCREASE: f64 = 1.5;
/// With more gateways per server than this, the increase of each is reduced further, as they add up.
const FEW_GATEWAYS: f64 = 4.0;
/// A response is late after this share of the latency target.
const LATE_TARGET_SHARE: f64 = 0.5;
/// Factor on the concurrency limit for a late response.
const LATE_LIMIT_FACTOR: f64 = 0.9;
/// Factor on the concurrency limit for a rejected or timed-out attempt.
const REJECTED_LIMIT_FACTOR: f64 = 0.7;
/// First backoff from a server after a rejected, timed-out or unconnected attempt; it doubles with each
/// failure.
const FIRST_BACKOFF: Micros = 50_000;
/// Longest backoff from a server.
const MAX_BACKOFF: Micros = 4 * SECOND;
/// Weight of the prior success probability, in attempts.
const SUCCESS_PRIOR_WEIGHT: f64 = 1.0;
/// Gain of a class's work for a response that took less. It is higher than the other gain, because most
/// responses also include queueing time.
const WORK_GAIN_DOWN: f64 = 0.05;
/// Gain of a class's work for a response that took longer.
const WORK_GAIN_UP: f64 = 0.01;
/// Gain of a class's mean response time for each response.
const MEAN_LATENCY_GAIN: f64 = 0.02;
/// Upper bound of a server's latency ratio.
const MAX_LATENCY_RATIO: f64 = 20.0;
/// A response counts in the latency ratio as if at least this long after the one before.
const MIN_LATENCY_RATIO_STEP: Micros = 60_000;
/// Share of the concurrency limit that must be in flight for a response in time to raise it.
const LIMIT_USED_SHARE: f64 = 0.7;

impl AttemptStats {
    fn decayed(&self, now: Micros) -> (f64, f64) {
        let decay = (-((now - self.updated_at) as f64) / FORGET_TAU_US).exp();
        (self.successes * decay, self.attempts * decay)
    }

    pub(super) fn record(&mut self, now: Micros, is_success: bool) {
        let (successes, attempts) = self.decayed(now);
        (self.successes, self.attempts, self.updated_at) = (
            successes + f64::from(u8::from(is_success)),
            attempts + 1.0,
            now,
        );
    }

    /// Probability of success by the recorded attempts, with `expected` as prior where there are few.
    pub(super) fn success_probability(&self, now: Micros, expected: f64) -> f64 {
        let (successes, attempts) = self.decayed(now);
        (successes + SUCCESS_PRIOR_WEIGHT * expected) / (attempts + SUCCESS_PRIOR_WEIGHT)
    }
}

impl Server {
    /// Response time relative to the fleet's mean. Without responses it drifts back to the mean, so that the
    /// server gets requests again.
    pub(super) fn current_latency_ratio(&self, now: Micros) -> f64 {
        1.0 + (self.latency_ratio - 1.0)
            * (-((now - self.latency_ratio_at) as f64) / FORGET_TAU_US).exp()
    }

    fn record_latency_ratio(&mut self, now: Micros, ratio: f64) {
        let current = self.current_latency_ratio(now);
        let gain = 1.0
            - (-((now - self.latency_ratio_at).max(MIN_LATENCY_RATIO_STEP) as f64)
                / LATENCY_TAU_US)
                .exp();
        (self.latency_ratio, self.latency_ratio_at) = (
            current + (ratio.min(MAX_LATENCY_RATIO) - current) * gain,
            now,
        );
    }

    /// Adapts the concurrency limit to what the server answers in time: a queue of requests that no client
    /// waits for any more would outlast its cause.
    fn update_concurrency_limit(&mut self, outcome: Outcome, is_late: bool, min_limit: f64) {
        let is_used = f64::from(self.in_flight) + 1.0 >= LIMIT_USED_SHARE * self.concurrency_limit;
        let increase = LIMIT_INCREASE * min_limit * (FEW_GATEWAYS * min_limit).min(1.0);
        self.concurrency_limit = match outcome {
            Outcome::Ok if is_late => self.concurrency_limit * LATE_LIMIT_FACTOR,
            Outcome::Ok if is_used => self.concurrency_limit + increase / self.concurrency_limit,
            Outcome::Rejected | Outcome::TimedOut => self.concurrency_limit * REJECTED_LIMIT_FACTOR,
            _ => self.concurrency_limit,
        };
        self.concurrency_limit = self.concurrency_limit.max(min_limit);
    }

    /// Backs off from a server that rejects, times out or cannot be reached: a server kept full never drains
    /// its queue. By plan, since some servers reject only one customer or plan.
    fn update_backoff(&mut self, now: Micros, plan: usize, outcome: Outcome) {
        if outcome == Outcome::Ok {
            self.backoffs.remove(&plan);
        } else if matches!(
            outcome,
            Outcome::Rejected | Outcome::TimedOut | Outcome::ConnectFailed
        ) {
            let backoff = self.backoffs.entry(plan).or_default();
            if now >= backoff.ends_at {
                backoff.ends_at =
                    now + (FIRST_BACKOFF << backoff.consecutive_failures.min(16)).min(MAX_BACKOFF);
                backoff.consecutive_failures += 1;
            }
        }
    }

    pub(super) fn estimated_load(&self, now: Micros) -> f64 {
        let decay = (-((now - self.others_load_at) as f64) / REPORT_TAU_US).exp();
        f64::from(self.in_flight) + self.others_load * decay
    }

    fn record_load_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(others_load) = report.and_then(|r| {
            r.active_requests
                .map(|active| active - f64::from(self.in_flight))
                .or(r.queued_requests)
        }) {
            (self.others_load, self.others_load_at) = (others_load.max(0.0), now);
        }
    }
}

impl Balancer {
    pub(super) fn on_server_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        match kind {
            ListKind::Failed => return self.actions.push(Action::WatchServerList),
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => {
                let is_listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
                for (_, server) in self.servers.iter_mut().filter(|(id, _)| !is_listed(id)) {
                    (server.is_ready, server.is_removed) = (false, true);
                }
            }
        }
        for entry in entries {
            // All gateways learn of a start at about the same time: the random initial work spreads their
            // first requests.
            let initial_limit = self.settings.initial_concurrency.0 / self.gateways_per_server;
            let (now, initial_work, rank) =
                (self.now, self.random() * INITIAL_WORK_US, self.random());
            let server = self
                .servers
                .entry(entry.server)
                .or_insert_with(|| Server::unknown(initial_limit, rank));
            if entry.started_at > server.started_at {
                let (in_flight, concurrency_limit, uncovered_work, uncovered_work_at) = (
                    server.in_flight,
                    server.concurrency_limit,
                    initial_work,
                    now,
                );
                *server = Server {
                    in_flight,
                    concurrency_limit,
                    uncovered_work,
                    uncovered_work_at,
                    ..Server::unknown(initial_limit, server.subset_rank)
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
        // If each of hundreds of gateways sent to all servers, nearly every attempt would need a new
        // connection, and each gateway would see too few responses of a server to judge it.
        let subset_size = (ranks.len() as f64 * MAX_GATEWAYS_PER_SERVER / self.gateway_count())
            .ceil()
            .max(MIN_SUBSET_SIZE);
        let max_rank = ranks.get(subset_size as usize - 1).copied().unwrap_or(1.0);
        self.servers
            .values_mut()
            .for_each(|s| s.in_subset = s.subset_rank <= max_rank);
        self.gateways_per_server =
            self.gateway_count() * (subset_size / ranks.len().max(1) as f64).min(1.0);
    }

    /// Share of its capacity that the server has while it warms up.
    pub(super) fn capacity_share(&self, server: &Server) -> f64 {
        let age = (self.now - server.started_at).max(0);
        if server.started_at <= 0 || age >= self.settings.warm_up_duration {
            return 1.0;
        }
        let initial_share = self.settings.cold_capacity_share.clamp(0.01, 1.0);
        initial_share + (1.0 - initial_share) * (age as f64 / self.settings.warm_up_duration as f64)
    }

    /// Work sent to a cold server that its budget has not covered, and whether `work` more fits into half an
    /// overload window. All gateways together must not overload a cold server; each has its share of one
    /// core at least.
    pub(super) fn cold_budget(&self, server: &Server, work: f64) -> (f64, bool) {
        let share = self.settings.overload_multiple * COLD_BUDGET_SHARE / self.gateways_per_server;
        let rate = self.capacity_share(server) * share * server.weight.max(1.0);
        let uncovered_work =
            (server.uncovered_work - (self.now - server.uncovered_work_at) as f64 * rate).max(0.0);
        (
            uncovered_work,
            uncovered_work <= 0.0
                || uncovered_work + work <= rate * self.settings.overload_window as f64 / 2.0,
        )
    }

    pub(super) fn class_work(&self, class: usize) -> f64 {
        self.class_work
            .get(class)
            .copied()
            .unwrap_or(INITIAL_WORK_US)
    }

    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let (now, min_limit) = (self.now, 1.0 / self.gateways_per_server);
        let (class, plan) = self
            .requests
            .get(&end.request)
            .map(|state| (state.request.class, state.request.plan))
            .unzip();
        let is_answered = self
            .requests
            .get(&end.request)
            .is_some_and(|state| state.is_answered);
        let latency_target = class
            .and_then(|c| self.settings.classes.get(c))
            .map_or(SECOND, |c| c.latency_target);
        let Some(server) = self.servers.get_mut(&end.server) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.update_concurrency_limit(
            end.outcome,
            end.elapsed as f64 > latency_target as f64 * LATE_TARGET_SHARE,
            min_limit,
        );
        server.update_backoff(now, plan.unwrap_or(usize::MAX), end.outcome);
        // An attempt that is cancelled because another one was answered says nothing about its server.
        let is_superseded = end.outcome == Outcome::Cancelled && is_answered;
        if let Some(plan) = plan.filter(|p| {
            *p < self.settings.plans.len() && end.outcome != Outcome::NotSent && !is_superseded
        }) {
            // A server that fails fast has few attempts in flight, looks idle and would attract ever more of
            // them.
            let is_success = end.outcome == Outcome::Ok;
            server
                .plan_stats
                .entry(plan)
                .or_default()
                .record(now, is_success);
            for plan_key in [plan, usize::MAX] {
                self.machine_type_stats
                    .entry((server.machine_type, plan_key))
                    .or_default()
                    .record(now, is_success);
            }
        }
        server.record_load_report(now, end.load_report);
        let has_responded = matches!(
            end.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
        );
        server.silent_since = if has_responded {
            Some(now)
        } else {
            server.silent_since
        }
        .filter(|_| server.in_flight > 0);
        let class_stats = class.and_then(|c| {
            self.class_mean_latency
                .get_mut(c)
                .zip(self.class_work.get_mut(c))
        });
        if let (Outcome::Ok, Some((mean, work))) = (end.outcome, class_stats) {
            let elapsed = end.elapsed.max(1) as f64;
            *work += (elapsed - *work)
                * if elapsed < *work {
                    WORK_GAIN_DOWN
                } else {
                    WORK_GAIN_UP
                };
            *mean = if *mean > 0.0 {
                *mean + (elapsed - *mean) * MEAN_LATENCY_GAIN
            } else {
                elapsed
            };
            server.record_latency_ratio(now, elapsed / *mean);
        }
    }

    /// Probes servers that do not respond to their attempts, and removes idle customers. A server is treated
    /// as silent if the probe fails too.
    pub(super) fn run_housekeeping(&mut self) {
        let now = self.now;
        self.schedule(now + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
        let usual_latency = self.class_mean_latency.iter().copied().fold(0.0, f64::max);
        let min_timeout = self.settings.min_silence_timeout.max(MIN_SILENCE);
        let silence_timeout = ((usual_latency * SILENCE_MULTIPLE) as Micros).max(min_timeout);
        let ready_servers = self.servers.values().filter(|s| s.is_ready).count();
        let mut suspects = self
            .servers
            .values()
            .filter(|s| s.suspicion.is_some())
            .count();
        let mut trials = Vec::new();
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.is_ready) {
            let is_silent = server
                .silent_since
                .is_some_and(|silent_since| now - silent_since > silence_timeout);
            let (interval, next_interval) = match server.suspicion {
                // Never more than half of the fleet: if all servers are silent, the fault lies elsewhere.
                None if is_silent && (suspects + 1) * 2 <= ready_servers => {
                    (FIRST_TRIAL_INTERVAL, FIRST_TRIAL_INTERVAL)
                }
                Some((trial_at, next_interval)) if trial_at <= now => {
                    (next_interval, (next_interval * 2).min(MAX_TRIAL_INTERVAL))
                }
                None | Some(_) => continue,
            };
            suspects += usize::from(server.suspicion.is_none());
            server.suspicion = Some((now + interval, next_interval));
            trials.push(*id);
        }
        trials.into_iter().for_each(|id| self.retry_suspect(id));
        // A day brings thousands of customers: going through all of them each time would be the most
        // expensive step.
        if now - self.customers_swept_at < SECOND {
            return;
        }
        self.customers_swept_at = now;
        let refill_time = |p: &Plan| {
            (p.hard_limit_burst / p.hard_limit_rate_per_s.max(1e-9) * SECOND as f64) as Micros
        };
        let retention = self
            .settings
            .plans
            .iter()
            .map(refill_time)
            .fold(CUSTOMER_RETENTION, Micros::max);
        self.customers
            .retain(|_, c| c.in_flight > 0 || now - c.last_seen_at < retention);
    }

    /// Tries a suspected server again: by a probe or, where servers cannot be probed, by ending a confirmed
    /// suspicion.
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

    /// Confirms that a server is silent: its probe failed too, since one long request alone must not move
    /// work. The requests there that can be sent to another server are moved.
    fn confirm_silence(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id).filter(|s| s.suspicion.is_some()) else {
            return;
        };
        if !std::mem::replace(&mut server.silence_confirmed, true) {
            self.log(format!("server {} suspected: no response", id.0));
        }
        if self.settings.hedges_silent_servers {
            self.hedge_attempts(id);
        } else if self.settings.can_cancel {
            self.cancel_attempts(id);
        }
    }

    /// The repeatable requests whose only attempt is in flight at this server.
    fn movable_requests(&self, server: ServerId) -> Vec<RequestId> {
        let is_movable = |state: &RequestState| {
            let class = self.settings.classes.get(state.request.class);
            let is_repeatable = class.is_some_and(|c| c.idempotency != Idempotency::NotIdempotent);
            let is_waiting = matches!(state.in_flight[..], [(_, at, _)] if at == server);
            is_repeatable && is_waiting && !state.is_finished && !state.is_streaming
        };
        self.requests
            .iter()
            .filter(|(_, state)| is_movable(state))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Sends a second attempt of each request that waits for this server, as far as servers and the retry budget
    /// allow; the rest follow after the next failed probe. The first attempt is kept: its server may only be
    /// slow, and the second attempt may fail.
    fn hedge_attempts(&mut self, silent_server: ServerId) {
        for id in self.movable_requests(silent_server) {
            if self.retry_balance < 1.0 {
                return;
            }
            if self.can_retry(id) && self.try_send_attempt(id) {
                self.retry_balance -= 1.0;
            }
        }
    }

    /// Cancels the attempts at this server whose requests may be sent to another one, as far as the retry budget
    /// allows; the rest follow after the next failed probe. Without another attempt a request could only fail.
    fn cancel_attempts(&mut self, silent_server: ServerId) {
        let allowed_retries = self.retry_balance as usize;
        let movable = self.movable_requests(silent_server);
        let retryable = movable.into_iter().filter(|id| self.can_retry(*id));
        let retryable: Vec<RequestId> = retryable.take(allowed_retries).collect();
        for request in retryable {
            let state = &self.requests[&request];
            let cancels = state
                .in_flight
                .iter()
                .map(|(attempt, _, _)| Action::Cancel {
                    request,
                    attempt: *attempt,
                });
            self.actions.extend(cancels);
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
        if !matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            return self.confirm_silence(id);
        }
        server.silent_since = (server.in_flight > 0).then_some(self.now);
        // A server that rejects the probe is full, not silent. It stays suspected, and gets no new requests.
        if outcome == Outcome::Rejected {
            return;
        }
        server.suspicion = None;
        if std::mem::take(&mut server.silence_confirmed) {
            self.log(format!("server {} responds again", id.0));
        }
    }
}
