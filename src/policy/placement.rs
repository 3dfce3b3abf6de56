//! Placement: the choice of the server for an attempt.

use super::*;

/// A server where an attempt of the same request has just failed counts as this many times slower for it.
const FAILED_SERVER_PENALTY: f64 = 8.0;
/// Minimum number of servers drawn at random as candidates.
const MIN_CANDIDATES: usize = 2;

/// A server drawn at random as a candidate.
struct Candidate {
    /// Weighted random value; the lowest ones become candidates.
    draw: f64,
    /// Expected waiting time, relative to other candidates.
    expected_wait: f64,
    /// The last attempt of the same request ended there.
    has_just_failed: bool,
    server: ServerId,
}

impl Balancer {
    /// The server with the shortest expected wait among randomly drawn candidates, if any server can take
    /// the request.
    fn choose_server(&mut self, id: RequestId) -> Option<ServerId> {
        let limit_share = self.limit_share(id);
        let usable = self
            .servers
            .values()
            .filter(|s| s.in_subset && s.is_ready && s.suspicion.is_none());
        let total_limit: f64 = usable.map(|s| s.concurrency_limit).sum();
        let total_in_flight: u32 = self.servers.values().map(|s| s.in_flight).sum();
        if f64::from(total_in_flight) >= (total_limit * limit_share).max(1.0) {
            return None;
        }
        let draws: Vec<f64> = (0..self.servers.len())
            .map(|_| -(1.0 - self.random()).ln())
            .collect();
        let state = self.requests.get(&id)?;
        let work = self.class_work(state.request.class);
        // Without the random draw all gateways would choose the same servers and leave out cold ones.
        let ready_servers = self.servers.values().filter(|s| s.is_ready).count();
        let candidate_count =
            MIN_CANDIDATES.max((ready_servers as f64 / self.gateway_count()).ceil() as usize);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(candidate_count + 1);
        for ((server_id, server), draw) in self.servers.iter().zip(draws) {
            let is_allowed =
                server.is_ready && server.suspicion.is_none() && self.is_eligible(state, server);
            let backoff = server.backoffs.get(&state.request.plan);
            let is_backing_off = backoff.is_some_and(|b| b.ends_at > self.now);
            let limit = if backoff.is_some() {
                1.0
            } else {
                (server.concurrency_limit * limit_share).max(1.0)
            };
            let capacity_share = self.capacity_share(server);
            let is_over_budget = capacity_share < 1.0 && !self.cold_budget(server, work).1;
            if !is_allowed
                || is_backing_off
                || is_over_budget
                || f64::from(server.in_flight) >= limit
            {
                continue;
            }
            let has_just_failed = state.last_server == Some(*server_id);
            let failure_penalty = if has_just_failed {
                FAILED_SERVER_PENALTY
            } else {
                1.0
            };
            let success_probability =
                self.success_probability(server, state.request.plan) / failure_penalty;
            let slowness = server.current_latency_ratio(self.now)
                / (server.weight * capacity_share * success_probability);
            let weighted_draw =
                draw * slowness * server.current_latency_ratio(self.now) / success_probability;
            let position = candidates.partition_point(|other| other.draw < weighted_draw);
            if position < candidate_count {
                let expected_wait = slowness * server.estimated_load(self.now);
                candidates.insert(
                    position,
                    Candidate {
                        draw: weighted_draw,
                        expected_wait,
                        has_just_failed,
                        server: *server_id,
                    },
                );
                candidates.truncate(candidate_count);
            }
        }
        // Servers without load have the same wait, however slow they are: the draw alone would then decide.
        let by_expected_wait = |a: &&Candidate, b: &&Candidate| {
            let by_wait = a.expected_wait.total_cmp(&b.expected_wait);
            by_wait.then(a.has_just_failed.cmp(&b.has_just_failed))
        };
        candidates
            .iter()
            .min_by(by_expected_wait)
            .map(|candidate| candidate.server)
    }

    /// Probability that the server serves a request of the plan: by the server's own attempts, with those of
    /// its machine type and the plan as prior, whose prior in turn are all attempts of the machine type.
    fn success_probability(&self, server: &Server, plan: usize) -> f64 {
        let for_machine_type = self
            .machine_type_stats
            .get(&(server.machine_type, usize::MAX));
        let for_plan = self.machine_type_stats.get(&(server.machine_type, plan));
        let at_server = server.plan_stats.get(&plan);
        [for_machine_type, for_plan, at_server]
            .into_iter()
            .flatten()
            .fold(1.0, |expected, stats| {
                stats.success_probability(self.now, expected)
            })
    }

    /// Whether the request may go to the server. A keyed request that may have been executed goes only to
    /// servers that would drop its duplicate; these need not be in the subset, since a small scope may have
    /// no other server in it.
    fn is_eligible(&self, state: &RequestState, server: &Server) -> bool {
        let idempotency = self
            .settings
            .classes
            .get(state.request.class)
            .map(|c| c.idempotency);
        match (idempotency, state.first_execution) {
            (
                Some(Idempotency::Keyed {
                    scope: DedupScope::Zone,
                    ..
                }),
                Some(first_execution),
            ) => server.zone == first_execution.zone,
            (
                Some(Idempotency::Keyed {
                    scope: DedupScope::Cell,
                    ..
                }),
                Some(first_execution),
            ) => server.cell == first_execution.cell,
            (
                Some(
                    Idempotency::Keyed { .. }
                    | Idempotency::Idempotent
                    | Idempotency::NotIdempotent,
                )
                | None,
                _,
            ) => server.in_subset,
        }
    }

    /// Share of the concurrency limits that is open to the request, by its value per work.
    fn limit_share(&self, id: RequestId) -> f64 {
        let value_rate = self
            .requests
            .get(&id)
            .map_or(0.0, |state| self.value_per_work(&state.request));
        if self.usual_value_rate <= 0.0 {
            1.0
        } else {
            (value_rate / self.usual_value_rate).clamp(LOW_VALUE_LIMIT_SHARE, 1.0)
        }
    }

    pub(super) fn value_per_work(&self, request: &Request) -> f64 {
        let value = self
            .settings
            .classes
            .get(request.class)
            .map_or(0.0, |c| c.value);
        let value_factor = self
            .settings
            .plans
            .get(request.plan)
            .map_or(1.0, |p| p.value_factor);
        value * value_factor / self.class_work(request.class)
    }

    /// Sends an attempt to a server, or gives the request up if none can take it.
    pub(super) fn send_attempt(&mut self, id: RequestId) {
        if !self.try_send_attempt(id) {
            self.give_up(id);
        }
    }

    /// Sends an attempt to a server; returns whether one can take it.
    pub(super) fn try_send_attempt(&mut self, id: RequestId) -> bool {
        let Some(server_id) = self.choose_server(id) else {
            return false;
        };
        let now = self.now;
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        state.in_flight.push((state.attempts_sent, server_id, now));
        state.attempts_sent += 1;
        let class = state.request.class;
        let work = self.class_work(class);
        let uncovered_work = self
            .servers
            .get(&server_id)
            .map_or(0.0, |s| self.cold_budget(s, work).0);
        if let Some(server) = self.servers.get_mut(&server_id) {
            (server.uncovered_work, server.uncovered_work_at) = (uncovered_work + work, now);
            server.in_flight += 1;
            server.silent_since.get_or_insert(now);
        }
        self.actions.push(Action::Send {
            request: id,
            server: server_id,
            timeout: 0,
        });
        true
    }
}
