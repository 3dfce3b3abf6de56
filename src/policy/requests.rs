//! The life of a request: taken, tried, tried further, refused or over.

use super::*;

impl Balancer {
    pub(super) fn on_request(&mut self, request: &Request) {
        let (id, deadline) = (request.id, request.deadline);
        if self.held.contains_key(&id) {
            return;
        }
        self.retries = (self.retries + self.settings.retry_budget.earned_per_request)
            .min(self.settings.retry_budget.max_balance);
        self.held.insert(
            id,
            Held {
                request: request.clone(),
                ..Held::default()
            },
        );
        if self.settings.classes.get(request.class).is_none()
            || deadline <= self.now
            || should_shed(request)
        {
            return self.refuse(id);
        }
        self.usual_worth += (self.worth_for_work(request) - self.usual_worth) * WORTH_GAIN;
        self.due(deadline, Due::Deadline(id));
        self.ask(id);
    }

    pub(super) fn on_attempt_end(&mut self, end: &AttemptEnd) {
        self.server_outcome(end);
        let id = end.request;
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let Some(index) = held.out.iter().position(|(n, _, _)| *n == end.attempt) else {
            return;
        };
        let (_, server, sent) = held.out.remove(index);
        held.last = Some(server);
        let may_have_run = match end.outcome {
            Outcome::Ok
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled => true,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        };
        if may_have_run && held.ran.is_none() {
            let (zone, cell) = self
                .servers
                .get(&server)
                .map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            held.ran = Some(Ran { zone, cell, sent });
        }
        // The difference between guessed and true units goes along with the customer's next call.
        if let Some(actual) = end
            .actual_units
            .filter(|_| self.settings.units_are_estimates && !held.counted.is_empty())
            && let Some(known) = self.customers.get_mut(&held.request.customer)
        {
            known.units.carry += actual - held.request.units;
        }
        let none_out = held.out.is_empty();
        if end.request_finished || end.outcome == Outcome::Ok || held.done {
            self.close(id);
        } else if none_out
            && end.outcome != Outcome::NotSent
            && self.may_repeat(id)
            && self.retries >= 1.0
        {
            self.retries -= if may_have_run {
                1.0
            } else {
                self.settings.retry_budget.unexecuted_cost
            };
            self.place(id);
        } else if none_out {
            self.give_up(id);
        }
    }

    /// Rule 2: a further attempt only where it cannot have its effect twice.
    fn may_repeat(&self, id: RequestId) -> bool {
        let Some(held) = self.held.get(&id) else {
            return false;
        };
        let Some(class) = self.settings.classes.get(held.request.class) else {
            return false;
        };
        let harmless = match (class.idempotency, held.ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (
                Idempotency::Keyed {
                    dedup_window: window,
                    ..
                },
                Some(ran),
            ) => self.now - ran.sent + self.settings.min_handle_interval < window,
            (Idempotency::NotIdempotent, Some(_)) => false,
        };
        harmless
            && held.attempts < self.settings.max_attempts.max(1)
            && self.now < held.request.deadline
    }

    /// The client left: nothing is owed, but what the request took and never used is given back.
    pub(super) fn on_left(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| h.attempts == 0) {
            self.give_back(id);
        }
        self.close(id);
    }

    /// Rule 1: no server, no further attempt or no time left; refused where that is true, else failed.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id).filter(|h| !h.done && !h.streaming) else {
            return;
        };
        if held.attempts == 0 {
            self.give_back(id);
        }
        self.refuse(id);
    }

    pub(super) fn refuse(&mut self, id: RequestId) {
        let chance = self.random();
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let may_run = held.ran.is_some() || !held.out.is_empty();
        let repeat = self
            .settings
            .classes
            .get(held.request.class)
            .map(|c| c.idempotency);
        let safe = matches!(
            repeat,
            None | Some(
                Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DedupScope::All,
                        ..
                    }
            )
        );
        let most = if self.settings.sends_retry_after {
            self.settings.max_retry_after
        } else {
            0
        };
        let plan = self
            .settings
            .plans
            .get(held.request.plan)
            .filter(|p| held.denied && p.rate_per_s > 0.0);
        let least = if self.counter_lost() {
            self.settings.min_retry_after_counter_lost as f64
        } else {
            0.0
        };
        let refill = |p: &Plan| (held.request.units / p.rate_per_s * SECOND as f64).max(least);
        // Danger: told the same time, all that were refused come back together. A place comes free in about
        // the time of an answer; later than the aim allows, a return is of no use.
        let time = plan.map_or(self.work_of(held.request.class), refill) * (0.5 + chance);
        let stay_away = (time as Micros).min(most);
        let shed = Action::Shed {
            request: id,
            retry_after: stay_away,
            over_quota: held.denied,
        };
        self.close(id);
        self.actions.push(if safe || !may_run {
            shed
        } else {
            Action::Fail(id)
        });
    }

    /// The request is over; it is remembered, and holds its place, only while attempts are out.
    fn close(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.done = true;
        if held.out.is_empty() {
            self.close_open(id);
            self.held.remove(&id);
        }
    }
}
