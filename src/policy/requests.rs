//! The life cycle of a request: accepted, attempted, retried, rejected or ended.

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
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(index) = state
            .in_flight
            .iter()
            .position(|(n, _, _)| *n == end.attempt)
        else {
            return;
        };
        let (_, server, sent_at) = state.in_flight.remove(index);
        state.last_server = Some(server);
        let may_have_executed = match end.outcome {
            Outcome::Ok
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled => true,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        };
        if may_have_executed && state.first_execution.is_none() {
            let (zone, cell) = self
                .servers
                .get(&server)
                .map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            state.first_execution = Some(FirstExecution {
                zone,
                cell,
                sent_at,
            });
        }
        // The customer's next call adds the difference between estimated and actual units.
        if let Some(actual_units) = end
            .actual_units
            .filter(|_| self.settings.units_are_estimates && !state.counted.is_empty())
            && let Some(customer) = self.customers.get_mut(&state.request.customer)
        {
            customer.units.uncounted += actual_units - state.request.units;
        }
        state.is_untransmittable |= end.outcome == Outcome::NotSent;
        state.is_answered |= end.outcome == Outcome::Ok;
        let none_in_flight = state.in_flight.is_empty();
        if end.request_finished || end.outcome == Outcome::Ok || state.is_finished {
            self.close_request(id);
        } else if none_in_flight && self.can_retry(id) && self.retry_balance >= 1.0 {
            self.retry_balance -= if may_have_executed {
                1.0
            } else {
                self.settings.retry_budget.unexecuted_cost
            };
            self.send_attempt(id);
        } else if none_in_flight {
            self.give_up(id);
        }
    }

    /// Whether the request may be sent again: only where it cannot take effect twice, within its attempts
    /// and its deadline.
    pub(super) fn can_retry(&self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let Some(class) = self.settings.classes.get(state.request.class) else {
            return false;
        };
        let is_safe = match (class.idempotency, state.first_execution) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { dedup_window, .. }, Some(first_execution)) => {
                self.now - first_execution.sent_at + self.settings.min_handle_interval
                    < dedup_window
            }
            (Idempotency::NotIdempotent, Some(_)) => false,
        };
        let max_attempts = match state.request.max_attempts {
            0 => self.settings.max_attempts.max(1),
            max_attempts => max_attempts,
        };
        is_safe
            && !state.is_untransmittable
            && state.attempts_sent < max_attempts
            && self.now < state.request.deadline
    }

    /// The client disconnected: there is no response, but units that the request took and did not use are
    /// given back.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|state| state.attempts_sent == 0)
        {
            self.return_units(id);
        }
        self.close_request(id);
    }

    /// Ends a request that has no server, no further attempt or no time left, unless its response is
    /// streaming.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(state) = self
            .requests
            .get(&id)
            .filter(|state| !state.is_finished && !state.is_streaming)
        else {
            return;
        };
        if state.attempts_sent == 0 {
            self.return_units(id);
        }
        self.reject(id);
    }

    /// Sends the final response: shed where the client may safely retry, otherwise failed.
    pub(super) fn reject(&mut self, id: RequestId) {
        let jitter = self.random();
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let may_have_executed = state.first_execution.is_some() || !state.in_flight.is_empty();
        let idempotency = self
            .settings
            .classes
            .get(state.request.class)
            .map(|c| c.idempotency);
        let is_idempotent = matches!(
            idempotency,
            None | Some(
                Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DedupScope::All,
                        ..
                    }
            )
        );
        let max_delay = if self.settings.sends_retry_after {
            self.settings.max_retry_after
        } else {
            0
        };
        let limiting_plan = self
            .settings
            .plans
            .get(state.request.plan)
            .filter(|p| state.is_denied && p.rate_per_s > 0.0);
        let min_delay = if self.is_counter_lost() {
            self.settings.min_retry_after_counter_lost as f64
        } else {
            0.0
        };
        let refill_delay =
            |p: &Plan| (state.request.units / p.rate_per_s * SECOND as f64).max(min_delay);
        // With the same delay, all rejected clients would retry at once. A slot becomes free after about
        // one response time; a retry that comes later than the latency target allows is of no use.
        let delay = limiting_plan.map_or(self.class_work(state.request.class), refill_delay)
            * (0.5 + jitter);
        let retry_after = (delay as Micros).min(max_delay);
        let shed = Action::Shed {
            request: id,
            retry_after,
            over_quota: state.is_denied,
        };
        self.close_request(id);
        self.actions.push(if is_idempotent || !may_have_executed {
            shed
        } else {
            Action::Fail(id)
        });
    }

    /// Ends the request; it is kept, and holds its concurrency slot, only while attempts are in flight.
    fn close_request(&mut self, id: RequestId) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.is_finished = true;
        if state.in_flight.is_empty() {
            self.release_slot(id);
            self.requests.remove(&id);
        }
    }
}
