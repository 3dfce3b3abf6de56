//! Placement: which server a request goes to.

use super::*;

/// A server where an attempt of the same request has just ended badly looks so many times slower to it.
const FAILED_SERVER_PENALTY: f64 = 8.0;
/// Servers drawn by chance for a choice between them, at least.
const MIN_CANDIDATES: usize = 2;

/// A server that was drawn for a choice.
struct Candidate {
    /// The lower, the sooner it was drawn.
    draw: f64,
    /// How long it is likely to take.
    expected_wait: f64,
    /// An attempt of the same request has just ended badly there.
    has_just_failed: bool,
    server: ServerId,
}

impl Balancer {
    /// The server where this request is likely to be done first, if any may take it.
    fn choose_server(&mut self, id: RequestId) -> Option<ServerId> {
        let share = self.limit_share(id);
        let used = self
            .servers
            .values()
            .filter(|s| s.in_subset && s.is_ready && s.suspicion.is_none());
        let bounds: f64 = used.map(|s| s.concurrency_limit).sum();
        let out: u32 = self.servers.values().map(|s| s.in_flight).sum();
        if f64::from(out) >= (bounds * share).max(1.0) {
            return None;
        }
        let chances: Vec<f64> = (0..self.servers.len())
            .map(|_| -(1.0 - self.random()).ln())
            .collect();
        let held = self.requests.get(&id)?;
        let work = self.class_work(held.request.class);
        // Danger: without chance all gateways would take the same servers and leave out the cold.
        let ready = self.servers.values().filter(|s| s.is_ready).count();
        let few = MIN_CANDIDATES.max((ready as f64 / self.gateways()).ceil() as usize);
        let mut drawn: Vec<Candidate> = Vec::with_capacity(few + 1);
        for ((server_id, server), chance) in self.servers.iter().zip(chances) {
            let allowed =
                server.is_ready && server.suspicion.is_none() && self.is_eligible(held, server);
            let rest = server.backoffs.get(&held.request.plan);
            let rests = rest.is_some_and(|r| r.ends_at > self.now);
            let most = if rest.is_some() {
                1.0
            } else {
                (server.concurrency_limit * share).max(1.0)
            };
            let warmth = self.capacity_share(server);
            let fed = warmth < 1.0 && !self.cold_budget(server, work).1;
            if !allowed || rests || fed || f64::from(server.in_flight) >= most {
                continue;
            }
            let failed = held.last_server == Some(*server_id);
            let again = if failed { FAILED_SERVER_PENALTY } else { 1.0 };
            let taken = self.success_probability(server, held.request.plan) / again;
            let slowness =
                server.current_latency_ratio(self.now) / (server.weight * warmth * taken);
            let turn = chance * slowness * server.current_latency_ratio(self.now) / taken;
            let place = drawn.partition_point(|other| other.draw < turn);
            if place < few {
                let wait = slowness * server.estimated_load(self.now);
                drawn.insert(
                    place,
                    Candidate {
                        draw: turn,
                        expected_wait: wait,
                        has_just_failed: failed,
                        server: *server_id,
                    },
                );
                drawn.truncate(few);
            }
        }
        // Danger: servers without load wait alike, however slow they look: then the draw alone would decide.
        let sooner = |a: &&Candidate, b: &&Candidate| {
            let waits = a.expected_wait.total_cmp(&b.expected_wait);
            waits.then(a.has_just_failed.cmp(&b.has_just_failed))
        };
        drawn.iter().min_by(sooner).map(|drawn| drawn.server)
    }

    /// The chance that this server takes a request of the plan: by its own ends, shrunk to those of its kind
    /// for the plan, and these to those of its kind.
    fn success_probability(&self, server: &Server, plan: usize) -> f64 {
        let all = self
            .machine_type_stats
            .get(&(server.machine_type, usize::MAX));
        let kind = self.machine_type_stats.get(&(server.machine_type, plan));
        let own = server.plan_stats.get(&plan);
        [all, kind, own]
            .into_iter()
            .flatten()
            .fold(1.0, |expected, t| t.success_probability(self.now, expected))
    }

    /// Rule 2: a keyed request that may have run goes only to servers that would drop its repeat. Danger: a
    /// small group may hold no other server that is used here.
    fn is_eligible(&self, held: &RequestState, server: &Server) -> bool {
        let repeat = self
            .settings
            .classes
            .get(held.request.class)
            .map(|c| c.idempotency);
        match (repeat, held.first_execution) {
            (
                Some(Idempotency::Keyed {
                    scope: DedupScope::Zone,
                    ..
                }),
                Some(ran),
            ) => server.zone == ran.zone,
            (
                Some(Idempotency::Keyed {
                    scope: DedupScope::Cell,
                    ..
                }),
                Some(ran),
            ) => server.cell == ran.cell,
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

    fn limit_share(&self, id: RequestId) -> f64 {
        let worth = self
            .requests
            .get(&id)
            .map_or(0.0, |h| self.value_per_work(&h.request));
        if self.usual_value_rate <= 0.0 {
            1.0
        } else {
            (worth / self.usual_value_rate).clamp(LOW_VALUE_LIMIT_SHARE, 1.0)
        }
    }

    pub(super) fn value_per_work(&self, request: &Request) -> f64 {
        let worth = self
            .settings
            .classes
            .get(request.class)
            .map_or(0.0, |c| c.value);
        let price = self
            .settings
            .plans
            .get(request.plan)
            .map_or(1.0, |p| p.value_factor);
        worth * price / self.class_work(request.class)
    }

    pub(super) fn send_attempt(&mut self, id: RequestId) {
        let Some(server_id) = self.choose_server(id) else {
            return self.give_up(id);
        };
        let now = self.now;
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        held.in_flight.push((held.attempts_sent, server_id, now));
        held.attempts_sent += 1;
        let class = held.request.class;
        let work = self.class_work(class);
        let debt = self
            .servers
            .get(&server_id)
            .map_or(0.0, |s| self.cold_budget(s, work).0);
        if let Some(server) = self.servers.get_mut(&server_id) {
            (server.uncovered_work, server.uncovered_work_at) = (debt + work, now);
            server.in_flight += 1;
            server.silent_since.get_or_insert(now);
        }
        self.actions.push(Action::Send {
            request: id,
            server: server_id,
            timeout: 0,
        });
    }
}
