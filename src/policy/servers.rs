//! The view of the servers: the list, what is learned of each, and the silent ones.

use super::*;

/// So long after its last request what is known of a customer is forgotten.
const CUSTOMER_KEPT: Micros = 60 * SECOND;
/// A server that owes answers is suspected after this multiple of the usual answer time, at least this long.
const SILENT_MULTIPLE: f64 = 5.0;
const SILENT_MIN: Micros = 300_000;
/// First and longest time between trials of a suspect.
const TRIAL_FIRST: Micros = 250_000;
const TRIAL_LONGEST: Micros = 2 * SECOND;
/// Time constants: answer times of a server; what is known of it, when unheard; load reports.
const ANSWER_TAU: f64 = 1.0e6;
const FORGET_TAU: f64 = 8.0e6;
const REPORT_TAU: f64 = 0.6e6;
/// Share of the cold budget that is used: the rest is for chance.
const COLD_MARGIN: f64 = 0.5;
/// Attempts out at a server: rise for all gateways together, to which more than a few add up,
/// share of the aim after which an answer is late, cuts for a late answer and a refusal.
const BOUND_RISE: f64 = 1.5;
const BOUND_FEW: f64 = 4.0;
const LATE_SHARE: f64 = 0.5;
const LATE_CUT: f64 = 0.9;
const FULL_CUT: f64 = 0.7;
/// A server that turned a request away or let one run out rests this long, doubled up to the longest.
const REST_FIRST: Micros = 50_000;
const REST_LONGEST: Micros = 4 * SECOND;
/// Chance of an answer from a server: so many ends seen weigh as much as what is expected.
const TAKEN_PRIOR: f64 = 1.0;
/// Gains of a class's work by answers quicker and slower than it: most answers have also waited.
const WORK_DOWN: f64 = 0.05;
const WORK_UP: f64 = 0.01;
/// Gain of a class's mean answer time for each answer.
const MEAN_GAIN: f64 = 0.02;
/// A server's answer time over the mean: the most, and the least time between two.
const RATIO_MOST: f64 = 20.0;
const RATIO_STEP: Micros = 60_000;
/// Share of a bound that must be out for a good answer to raise it.
const BOUND_USED: f64 = 0.7;

impl Taken {
    fn faded(&self, now: Micros) -> (f64, f64) {
        let fade = (-((now - self.at) as f64) / FORGET_TAU).exp();
        (self.good * fade, self.ends * fade)
    }

    pub(super) fn learn(&mut self, now: Micros, good: bool) {
        let (before, ends) = self.faded(now);
        (self.good, self.ends, self.at) = (before + f64::from(u8::from(good)), ends + 1.0, now);
    }

    /// The chance by what was seen here, and where that is little by what is expected.
    pub(super) fn chance(&self, now: Micros, expected: f64) -> f64 {
        let (good, ends) = self.faded(now);
        (good + TAKEN_PRIOR * expected) / (ends + TAKEN_PRIOR)
    }
}

impl Server {
    /// Answer time over the fleet's mean; an unheard server drifts back to the mean and so to a new trial.
    pub(super) fn ratio(&self, now: Micros) -> f64 {
        1.0 + (self.ratio - 1.0) * (-((now - self.ratio_at) as f64) / FORGET_TAU).exp()
    }

    fn learn_ratio(&mut self, now: Micros, ratio: f64) {
        let before = self.ratio(now);
        let gain = 1.0 - (-((now - self.ratio_at).max(RATIO_STEP) as f64) / ANSWER_TAU).exp();
        (self.ratio, self.ratio_at) = (before + (ratio.min(RATIO_MOST) - before) * gain, now);
    }

    /// Danger: a jam of work that nobody waits for outlives its cause; only what comes back in time is sent.
    fn learn_bound(&mut self, outcome: Outcome, late: bool, least: f64) {
        let used = f64::from(self.out) + 1.0 >= BOUND_USED * self.bound;
        let rise = BOUND_RISE * least * (BOUND_FEW * least).min(1.0);
        self.bound = match outcome {
            Outcome::Ok if late => self.bound * LATE_CUT,
            Outcome::Ok if used => self.bound + rise / self.bound,
            Outcome::Rejected | Outcome::TimedOut => self.bound * FULL_CUT,
            _ => self.bound,
        };
        self.bound = self.bound.max(least);
    }

    /// Danger: a server kept full never drains. By plan, since some refuse one customer or plan only.
    fn learn_rest(&mut self, now: Micros, plan: usize, outcome: Outcome) {
        if outcome == Outcome::Ok {
            self.rests.remove(&plan);
        } else if matches!(
            outcome,
            Outcome::Rejected | Outcome::TimedOut | Outcome::ConnectFailed
        ) {
            let rest = self.rests.entry(plan).or_default();
            if now >= rest.until {
                rest.until = now + (REST_FIRST << rest.bad.min(16)).min(REST_LONGEST);
                rest.bad += 1;
            }
        }
    }

    pub(super) fn load(&self, now: Micros) -> f64 {
        let fade = (-((now - self.others_at) as f64) / REPORT_TAU).exp();
        f64::from(self.out) + self.others * fade
    }

    fn learn_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(told) = report.and_then(|r| {
            r.active_requests
                .map(|a| a - f64::from(self.out))
                .or(r.queued_requests)
        }) {
            (self.others, self.others_at) = (told.max(0.0), now);
        }
    }
}

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        match kind {
            ListKind::Failed => return self.actions.push(Action::WatchServerList),
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => {
                let listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
                for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed(id)) {
                    (server.ready, server.gone) = (false, true);
                }
            }
        }
        for entry in entries {
            // All gateways hear of a start at about the same time: their first requests are spread out.
            let first = self.settings.initial_concurrency.0 / self.sharers;
            let (now, stagger, rank) = (self.now, self.random() * WORK_GUESS, self.random());
            let server = self
                .servers
                .entry(entry.server)
                .or_insert_with(|| Server::unknown(first, rank));
            if entry.started_at > server.started {
                let (out, bound, sent_work, sent_at) = (server.out, server.bound, stagger, now);
                *server = Server {
                    out,
                    bound,
                    sent_work,
                    sent_at,
                    ..Server::unknown(first, server.rank)
                };
            }
            (server.zone, server.cell, server.kind) = (entry.zone, entry.cell, entry.machine_type);
            (server.started, server.ready) = (entry.started_at, entry.state == ServerState::Ready);
            server.gone = entry.state == ServerState::Removed;
            server.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
        }
        self.servers.retain(|_, s| !s.gone || s.out > 0);
        let mut ranks: Vec<f64> = self
            .servers
            .values()
            .filter(|s| s.ready)
            .map(|s| s.rank)
            .collect();
        ranks.sort_by(f64::total_cmp);
        // Danger: where each of hundreds sends to all, each try needs a connection, each hears too little.
        let used = (ranks.len() as f64 * SHARERS / self.gateways())
            .ceil()
            .max(USED_LEAST);
        let last = ranks.get(used as usize - 1).copied().unwrap_or(1.0);
        self.servers
            .values_mut()
            .for_each(|s| s.used = s.rank <= last);
        self.sharers = self.gateways() * (used / ranks.len().max(1) as f64).min(1.0);
    }

    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let age = (self.now - server.started).max(0);
        if server.started <= 0 || age >= self.settings.warm_up_duration {
            return 1.0;
        }
        let from = self.settings.cold_capacity_share.clamp(0.01, 1.0);
        from + (1.0 - from) * (age as f64 / self.settings.warm_up_duration as f64)
    }

    /// Work sent to a cold server not yet covered by its budget, and whether more fits: half a window's.
    /// Danger: overfed by all gateways together it falls over. Each has its share of a core at least.
    pub(super) fn cold_debt(&self, server: &Server, work: f64) -> (f64, bool) {
        let share = self.settings.overload_multiple * COLD_MARGIN / self.sharers;
        let rate = self.warmth(server) * share * server.weight.max(1.0);
        let debt = (server.sent_work - (self.now - server.sent_at) as f64 * rate).max(0.0);
        (
            debt,
            debt <= 0.0 || debt + work <= rate * self.settings.overload_window as f64 / 2.0,
        )
    }

    pub(super) fn work_of(&self, class: usize) -> f64 {
        self.works.get(class).copied().unwrap_or(WORK_GUESS)
    }

    pub(super) fn server_outcome(&mut self, end: &AttemptEnd) {
        let (now, least) = (self.now, 1.0 / self.sharers);
        let (class, plan) = self
            .held
            .get(&end.request)
            .map(|h| (h.request.class, h.request.plan))
            .unzip();
        let aim = class
            .and_then(|c| self.settings.classes.get(c))
            .map_or(SECOND, |c| c.latency_target);
        let Some(server) = self.servers.get_mut(&end.server) else {
            return;
        };
        server.out = server.out.saturating_sub(1);
        server.learn_bound(
            end.outcome,
            end.elapsed as f64 > aim as f64 * LATE_SHARE,
            least,
        );
        server.learn_rest(now, plan.unwrap_or(usize::MAX), end.outcome);
        if let Some(plan) =
            plan.filter(|p| *p < self.settings.plans.len() && end.outcome != Outcome::NotSent)
        {
            // Danger: a server that fails at once has little out, looks idle and draws ever more work.
            let good = end.outcome == Outcome::Ok;
            server.taken.entry(plan).or_default().learn(now, good);
            for plans in [plan, usize::MAX] {
                self.kinds
                    .entry((server.kind, plans))
                    .or_default()
                    .learn(now, good);
            }
        }
        server.learn_report(now, end.load_report);
        let heard = matches!(
            end.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Reset
        );
        server.unheard = if heard { Some(now) } else { server.unheard }.filter(|_| server.out > 0);
        let known = class.and_then(|c| self.means.get_mut(c).zip(self.works.get_mut(c)));
        if let (Outcome::Ok, Some((mean, work))) = (end.outcome, known) {
            let took = end.elapsed.max(1) as f64;
            *work += (took - *work) * if took < *work { WORK_DOWN } else { WORK_UP };
            *mean = if *mean > 0.0 {
                *mean + (took - *mean) * MEAN_GAIN
            } else {
                took
            };
            server.learn_ratio(now, took / *mean);
        }
    }

    /// Housekeeping: servers that owe answers are probed, and suspected if that stays unanswered too.
    pub(super) fn tick(&mut self) {
        let now = self.now;
        self.due(now + TICK, Due::Tick);
        let usual = self.means.iter().copied().fold(0.0, f64::max);
        let least = self.settings.min_silence_timeout.max(SILENT_MIN);
        let patience = ((usual * SILENT_MULTIPLE) as Micros).max(least);
        let ready = self.servers.values().filter(|s| s.ready).count();
        let mut suspects = self
            .servers
            .values()
            .filter(|s| s.suspect.is_some())
            .count();
        let mut trials = Vec::new();
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.ready) {
            let silent = server.unheard.is_some_and(|t| now - t > patience);
            let (wait, step) = match server.suspect {
                // Never more than half the fleet: when all are silent the trouble lies elsewhere.
                None if silent && (suspects + 1) * 2 <= ready => (TRIAL_FIRST, TRIAL_FIRST),
                Some((at, step)) if at <= now => (step, (step * 2).min(TRIAL_LONGEST)),
                None | Some(_) => continue,
            };
            suspects += usize::from(server.suspect.is_none());
            server.suspect = Some((now + wait, step));
            trials.push(*id);
        }
        trials.into_iter().for_each(|id| self.try_again(id));
        // Danger: a day brings thousands of customers; to look through them all at each tick costs the most.
        if now - self.swept < SECOND {
            return;
        }
        self.swept = now;
        let refill = |p: &Plan| {
            (p.hard_limit_burst / p.hard_limit_rate_per_s.max(1e-9) * SECOND as f64) as Micros
        };
        let longest = self
            .settings
            .plans
            .iter()
            .map(refill)
            .fold(CUSTOMER_KEPT, Micros::max);
        self.customers
            .retain(|_, c| c.out > 0 || now - c.seen < longest);
    }

    /// A suspected server's trial: a probe, or where there are none, the end of a confirmed suspicion.
    fn try_again(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        match (self.settings.can_probe, server.confirmed) {
            (true, _) => self.actions.push(Action::Probe(id)),
            (false, true) => {
                (server.suspect, server.unheard, server.confirmed) = (None, None, false)
            }
            (false, false) => self.confirm(id),
        }
    }

    /// The probe failed too: one long request alone must not move work. What may be repeated is moved.
    fn confirm(&mut self, id: ServerId) {
        let suspect = self
            .servers
            .get_mut(&id)
            .filter(|s| s.suspect.is_some() && !s.confirmed);
        let Some(server) = suspect else { return };
        server.confirmed = true;
        self.log(format!("server {} suspected: silent", id.0));
        for (request, held) in self.held.iter().filter(|(_, h)| !h.done && !h.streaming) {
            let repeat = self
                .settings
                .classes
                .get(held.request.class)
                .map(|c| c.idempotency);
            let moves =
                self.settings.can_cancel && repeat.is_some_and(|r| r != Idempotency::NotIdempotent);
            let there = held.out.iter().filter(|(_, at, _)| moves && *at == id);
            self.actions.extend(there.map(|(n, _, _)| Action::Cancel {
                request: *request,
                attempt: *n,
            }));
        }
    }

    pub(super) fn on_probe(&mut self, id: ServerId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.learn_report(self.now, report);
        if outcome != Outcome::Ok {
            return self.confirm(id);
        }
        server.unheard = (server.out > 0).then_some(self.now);
        server.suspect = None;
        if std::mem::take(&mut server.confirmed) {
            self.log(format!("server {} answers again", id.0));
        }
    }
}
