//! The life of a request: taken, tried, tried further, refused or over.

use super::*;

impl Balancer {
    pub(super) fn on_request(&mut self, request: &Request) {
        let (id, deadline) = (request.id, request.deadline);
        if self.requests.contains_key(&id) {
            return;
        }
        self.retry_balance = (self.retry_balance + self.settings.retry_budget.earned_per_request)
            .min(self.settings.retry_budget.max_balance);
        self.requests.insert(
            id,
            RequestState {
                request: request.clone(),
                ..RequestState::default()
            },
        );
        if self.settings.classes.get(request.class).is_none()
            || deadline <= self.now
            || should_shed(request)
        {
            return self.reject(id);
        }
        self.usual_value_rate +=
            (self.value_per_work(request) - self.usual_value_rate) * VALUE_RATE_GAIN;
        self.schedule(deadline, Timer::RequestDeadline(id));
        self.check_quota(id);
    }

    pub(super) fn on_attempt_end(&mut self, end: &AttemptEnd) {
        self.record_outcome(end);
        let id = end.request;
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(index) = held
            .in_flight
            .iter()
            .position(|(n, _, _)| *n == end.attempt)
        else {
            return;
        };
        let (_, server, sent) = held.in_flight.remove(index);
        held.last_server = Some(server);
        let may_have_run = match end.outcome {
            Outcome::Ok
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled => true,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        };
        if may_have_run && held.first_execution.is_none() {
            let (zone, cell) = self
                .servers
                .get(&server)
                .map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            held.first_execution = Some(FirstExecution {
                zone,
                cell,
                sent_at: sent,
            });
        }
        // The difference between guessed and true units goes along with the customer's next call.
        if let Some(actual) = end
            .actual_units
            .filter(|_| self.settings.units_are_estimates && !held.counted.is_empty())
            && let Some(known) = self.customers.get_mut(&held.request.customer)
        {
            known.units.uncounted += actual - held.request.units;
        }
        let none_out = held.in_flight.is_empty();
        if end.request_finished || end.outcome == Outcome::Ok || held.is_finished {
            self.close_request(id);
        } else if none_out
            && end.outcome != Outcome::NotSent
            && self.can_retry(id)
            && self.retry_balance >= 1.0
        {
            self.retry_balance -= if may_have_run {
                1.0
            } else {
                self.settings.retry_budget.unexecuted_cost
            };
            self.send_attempt(id);
        } else if none_out {
            self.give_up(id);
        }
    }

    /// Rule 2: a further attempt only where it cannot have its effect twice.
    fn can_retry(&self, id: RequestId) -> bool {
        let Some(held) = self.requests.get(&id) else {
            return false;
        };
        let Some(class) = self.settings.classes.get(held.request.class) else {
            return false;
        };
        let harmless = match (class.idempotency, held.first_execution) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (
                Idempotency::Keyed {
                    dedup_window: window,
                    ..
                },
                Some(ran),
            ) => self.now - ran.sent_at + self.settings.min_handle_interval < window,
            (Idempotency::NotIdempotent, Some(_)) => false,
        };
        harmless
            && held.attempts_sent < self.settings.max_attempts.max(1)
            && self.now < held.request.deadline
    }

    /// The client left: nothing is owed, but what the request took and never used is given back.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|h| h.attempts_sent == 0) {
            self.return_units(id);
        }
        self.close_request(id);
    }

    /// Rule 1: no server, no further attempt or no time left; refused where that is true, else failed.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(held) = self
            .requests
            .get(&id)
            .filter(|h| !h.is_finished && !h.is_streaming)
        else {
            return;
        };
        if held.attempts_sent == 0 {
            self.return_units(id);
        }
        self.reject(id);
    }

    pub(super) fn reject(&mut self, id: RequestId) {
        let chance = self.random();
        let Some(held) = self.requests.get(&id) else {
            return;
        };
        let may_run = held.first_execution.is_some() || !held.in_flight.is_empty();
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
            .filter(|p| held.is_denied && p.rate_per_s > 0.0);
        let least = if self.is_counter_lost() {
            self.settings.min_retry_after_counter_lost as f64
        } else {
            0.0
        };
        let refill = |p: &Plan| (held.request.units / p.rate_per_s * SECOND as f64).max(least);
        // Danger: told the same time, all that were refused come back together. A place comes free in about
        // the time of an answer; later than the aim allows, a return is of no use.
        let time = plan.map_or(self.class_work(held.request.class), refill) * (0.5 + chance);
        let stay_away = (time as Micros).min(most);
        let shed = Action::Shed {
            request: id,
            retry_after: stay_away,
            over_quota: held.is_denied,
        };
        self.close_request(id);
        self.actions.push(if safe || !may_run {
            shed
        } else {
            Action::Fail(id)
        });
    }

    /// The request is over; it is remembered, and holds its place, only while attempts are out.
    fn close_request(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        held.is_finished = true;
        if held.in_flight.is_empty() {
            self.release_slot(id);
            self.requests.remove(&id);
        }
    }
}
