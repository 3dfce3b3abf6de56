//! Placement: which server a request goes to.

use super::*;

/// A server where an attempt of the same request has just ended badly looks so many times slower to it.
const AGAIN: f64 = 8.0;
/// Servers drawn by chance for a choice between them, at least.
const DRAWN: usize = 2;

/// A server that was drawn for a choice.
struct Drawn {
    /// The lower, the sooner it was drawn.
    turn: f64,
    /// How long it is likely to take.
    wait: f64,
    /// An attempt of the same request has just ended badly there.
    failed: bool,
    server: ServerId,
}

impl Balancer {
    /// The server where this request is likely to be done first, if any may take it.
    fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let share = self.worth_share(id);
        let used = self
            .servers
            .values()
            .filter(|s| s.used && s.ready && s.suspect.is_none());
        let bounds: f64 = used.map(|s| s.bound).sum();
        let out: u32 = self.servers.values().map(|s| s.out).sum();
        if f64::from(out) >= (bounds * share).max(1.0) {
            return None;
        }
        let chances: Vec<f64> = (0..self.servers.len())
            .map(|_| -(1.0 - self.random()).ln())
            .collect();
        let held = self.held.get(&id)?;
        let work = self.work_of(held.request.class);
        // Danger: without chance all gateways would take the same servers and leave out the cold.
        let ready = self.servers.values().filter(|s| s.ready).count();
        let few = DRAWN.max((ready as f64 / self.gateways()).ceil() as usize);
        let mut drawn: Vec<Drawn> = Vec::with_capacity(few + 1);
        for ((server_id, server), chance) in self.servers.iter().zip(chances) {
            let allowed = server.ready && server.suspect.is_none() && self.may_go(held, server);
            let rest = server.rests.get(&held.request.plan);
            let rests = rest.is_some_and(|r| r.until > self.now);
            let most = if rest.is_some() {
                1.0
            } else {
                (server.bound * share).max(1.0)
            };
            let warmth = self.warmth(server);
            let fed = warmth < 1.0 && !self.cold_debt(server, work).1;
            if !allowed || rests || fed || f64::from(server.out) >= most {
                continue;
            }
            let failed = held.last == Some(*server_id);
            let again = if failed { AGAIN } else { 1.0 };
            let taken = self.taken_chance(server, held.request.plan) / again;
            let slowness = server.ratio(self.now) / (server.weight * warmth * taken);
            let turn = chance * slowness * server.ratio(self.now) / taken;
            let place = drawn.partition_point(|other| other.turn < turn);
            if place < few {
                let wait = slowness * server.load(self.now);
                drawn.insert(
                    place,
                    Drawn {
                        turn,
                        wait,
                        failed,
                        server: *server_id,
                    },
                );
                drawn.truncate(few);
            }
        }
        // Danger: servers without load wait alike, however slow they look: then the draw alone would decide.
        let sooner = |a: &&Drawn, b: &&Drawn| {
            let waits = a.wait.total_cmp(&b.wait);
            waits.then(a.failed.cmp(&b.failed))
        };
        drawn.iter().min_by(sooner).map(|drawn| drawn.server)
    }

    /// The chance that this server takes a request of the plan: by its own ends, shrunk to those of its kind
    /// for the plan, and these to those of its kind.
    fn taken_chance(&self, server: &Server, plan: usize) -> f64 {
        let all = self.kinds.get(&(server.kind, usize::MAX));
        let kind = self.kinds.get(&(server.kind, plan));
        let own = server.taken.get(&plan);
        [all, kind, own]
            .into_iter()
            .flatten()
            .fold(1.0, |expected, t| t.chance(self.now, expected))
    }

    /// Rule 2: a keyed request that may have run goes only to servers that would drop its repeat. Danger: a
    /// small group may hold no other server that is used here.
    fn may_go(&self, held: &Held, server: &Server) -> bool {
        let repeat = self
            .settings
            .classes
            .get(held.request.class)
            .map(|c| c.idempotency);
        match (repeat, held.ran) {
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
            ) => server.used,
        }
    }

    fn worth_share(&self, id: RequestId) -> f64 {
        let worth = self
            .held
            .get(&id)
            .map_or(0.0, |h| self.worth_for_work(&h.request));
        if self.usual_worth <= 0.0 {
            1.0
        } else {
            (worth / self.usual_worth).clamp(CHEAP_SHARE, 1.0)
        }
    }

    pub(super) fn worth_for_work(&self, request: &Request) -> f64 {
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
        worth * price / self.work_of(request.class)
    }

    pub(super) fn place(&mut self, id: RequestId) {
        let Some(server_id) = self.choose(id) else {
            return self.give_up(id);
        };
        let now = self.now;
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.out.push((held.attempts, server_id, now));
        held.attempts += 1;
        let class = held.request.class;
        let work = self.work_of(class);
        let debt = self
            .servers
            .get(&server_id)
            .map_or(0.0, |s| self.cold_debt(s, work).0);
        if let Some(server) = self.servers.get_mut(&server_id) {
            (server.sent_work, server.sent_at) = (debt + work, now);
            server.out += 1;
            server.unheard.get_or_insert(now);
        }
        self.actions.push(Action::Send {
            request: id,
            server: server_id,
            timeout: 0,
        });
    }
}
