//! Quota: the local check, calls to the counter service and the decisions on their answers, units given back.

use super::meters::{Charge, TokenBucket, window_at};
use super::*;

/// Window of the concurrency counter. What a dead gateway left in it is dropped with the window.
const CONCURRENCY_WINDOW: Micros = 4 * SECOND;
/// Within its even share a gateway checks a customer found over quota again, but not more often than this.
const MIN_RECHECK_INTERVAL: Micros = 100_000;
/// Maximum wait for the counter, as a share of the latency target.
const COUNTER_WAIT_SHARE: f64 = 0.15;
/// The counter counts as lost after this many consecutive calls without any response.
const LOST_AFTER_FAILURES: u32 = 4;
/// Calls that fail within this interval count as one failure: they were on one connection that broke.
const FAILURE_MERGE_INTERVAL: Micros = 3_000;
/// The initial call share is set so that the fleet makes as many calls as this number of gateways with a call
/// for each request.
const INITIAL_CALLING_GATEWAYS: f64 = 64.0;
/// Growth of the call share for each answered call while no call has failed yet.
const SLOW_START_FACTOR: f64 = 1.5;
/// Factor on the call share for each call that failed, was rejected or was answered late.
const CALL_SHARE_DECREASE: f64 = 0.75;
/// Factor on the call share for each call answered in time, after slow start.
const CALL_SHARE_INCREASE: f64 = 1.15;
/// Below this call share the local check rejects on its own, as if the counter were lost.
const LOW_CALL_SHARE: f64 = 0.5;
const MIN_CALL_SHARE: f64 = 1.0 / 65536.0;
/// Factor on the odds of a call, for a customer with its whole quota in use and the plan whose over-quota use
/// costs the most. It is smaller for lower use and lower cost.
const CALL_ODDS_FACTOR: f64 = 6.0;
/// A total that differs from the amount just added by less than this share of it consists of that amount
/// alone.
const SAME_TOTAL_TOLERANCE: f64 = 1e-5;
/// This share of units given back stays in the counter. Otherwise the next gateway would also find itself the
/// first in the window, and add the carryover of the previous one a second time.
const RETAINED_SHARE: f64 = 1e-3;
/// Units missing at the counter are added again no sooner than this after the turn of the window.
const RESTORE_DELAY_S: f64 = 0.2;
/// Probability, for each total, that missing units are added again: not all gateways do so at once.
const RESTORE_PROBABILITY: f64 = 0.3;
/// Assumed share of its quota that an unknown customer uses.
const INITIAL_USED_SHARE: f64 = 0.5;
/// Minimum share of the requests of a customer with a concurrency limit that still call an overloaded
/// counter.
const MIN_CHECK_PROBABILITY: f64 = 0.1;
/// From this probability of being admitted on, a request's call adds all of its units.
const LIKELY_ADMITTED: f64 = 0.5;
/// Below it, the call adds this share of them: enough to recognise the first call in a window.
const MIN_COUNTED_SHARE: f64 = 0.02;
/// While the counter is lost, one call in this interval checks whether it is back.
const LOST_PROBE_INTERVAL: Micros = SECOND;

impl Balancer {
    /// Call share at the start: gateways that start together would overload the counter before its first
    /// answer.
    pub(super) fn initial_call_share(&self) -> f64 {
        (INITIAL_CALLING_GATEWAYS / self.gateway_count()).min(1.0)
    }

    pub(super) fn is_counter_lost(&self) -> bool {
        self.counter_health.consecutive_failures >= LOST_AFTER_FAILURES
    }

    /// Checks the quota of a request: first locally, then by calls to the counter. The decision follows when
    /// they are answered.
    pub(super) fn check_quota(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).map(|state| state.request.clone()) else {
            return;
        };
        let (now, started_at, customer_id) = (
            self.now,
            self.started_at.unwrap_or(self.now),
            request.customer,
        );
        let Some(plan) = self.settings.plans.get(request.plan).cloned() else {
            return self.send_attempt(id);
        };
        // A customer unknown here may have used up much of the window under the previous plan.
        let in_same_window = |instant| {
            window_at(instant, plan.inherited_window, customer_id).0
                == window_at(now, plan.inherited_window, customer_id).0
        };
        let predecessor = plan
            .predecessor
            .filter(|(since, _)| plan.inherited_window > 0 && in_same_window(*since));
        let previous_plan = predecessor.map_or(request.plan, |c| c.1);
        let new_customer = || Customer::unknown(previous_plan, started_at, INITIAL_USED_SHARE);
        let customer = self
            .customers
            .entry(customer_id)
            .or_insert_with(new_customer);
        customer.last_seen_at = now;
        let last_plan = std::mem::replace(&mut customer.plan, request.plan);
        let keeps_tokens = |old: &&Plan| {
            old.inherited_window.max(plan.inherited_window) > 0
                && old.rate_per_s.min(plan.rate_per_s) > 0.0
        };
        if let Some(old) = self
            .settings
            .plans
            .get(last_plan)
            .filter(|_| last_plan != request.plan)
            .filter(keeps_tokens)
        {
            customer.units.change_plan(
                TokenBucket::of_plan(old),
                TokenBucket::of_plan(&plan),
                customer_id,
                now,
            );
        }
        let admit_share = customer
            .effective_admit_share(now)
            .max(MIN_CHECK_PROBABILITY);
        let customer_gateways = f64::from(
            request
                .customer_gateways
                .clamp(1, self.settings.gateway_count.max(1)),
        );
        let is_lost = self.is_counter_lost();
        // Without the counter, or with one that does not know the current window, each gateway would grant
        // the whole quota.
        let even_share_only = self.settings.even_shares_counter_lost
            && (is_lost || now - self.counter_health.replaced_at < plan.window_length());
        // At an overloaded counter, requests that will be denied hold concurrency slots while they wait, and
        // so deny others.
        let may_call = plan.max_concurrent == 0
            || self.counter_health.base_call_share >= 1.0
            || self.random() < admit_share;
        let can_call = may_call
            && self.settings.counter_available
            && (!is_lost || now >= self.counter_health.next_probe_at);
        let even_share_first = self.settings.even_share_first;
        let call_share = if is_lost || even_share_first {
            1.0
        } else {
            self.call_share(&request)
        };
        // With an overloaded counter, the call of one request also stands for those that make none.
        let weight = if can_call && self.random() < call_share {
            1.0 / call_share
        } else {
            0.0
        };
        let amount_of = |concurrency| if concurrency { 1.0 } else { request.units };
        let charge = |concurrency| {
            self.bucket_of(request.plan, concurrency)
                .map(|bucket| (concurrency, bucket, amount_of(concurrency)))
        };
        let charges: Vec<Charge> = [false, true].into_iter().filter_map(charge).collect();
        let limits = (
            plan.max_concurrent,
            customer_gateways,
            even_share_only,
            weight == 0.0,
        );
        let (mut fits, within_even_share) = self.check_locally(customer_id, limits, &charges);
        // Requests admitted unchecked grow in number with the requests, and rejected clients retry at once.
        let has_total = plan.max_concurrent == 0
            && self
                .customers
                .get(&customer_id)
                .is_some_and(|c| c.units.total_received);
        fits = fits
            && (weight > 0.0
                || has_total
                || even_share_only
                || self.random() < self.unchecked_admit_probability(customer_id));
        let within_hard_limit =
            |c: &mut Customer| c.take_hard_limit(&plan, customer_gateways, request.units, now);
        fits = fits
            && (plan.hard_limit_rate_per_s <= 0.0
                || self
                    .customers
                    .get_mut(&customer_id)
                    .is_some_and(within_hard_limit));
        if fits {
            self.count_request(&request, &charges, weight, customer_gateways);
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.is_denied = !fits;
        if !fits || state.pending_calls == 0 || is_lost || (even_share_first && within_even_share) {
            return self.decide(id);
        }
        let latency_target = self
            .settings
            .classes
            .get(request.class)
            .map_or(SECOND, |c| c.latency_target);
        self.schedule(
            now + (latency_target as f64 * COUNTER_WAIT_SHARE) as Micros,
            Timer::CounterWait(id),
        );
    }

    /// The token bucket of a plan. The concurrency limit is counted in windows too: attempts of a dead
    /// gateway would otherwise use it up for good.
    fn bucket_of(&self, plan: usize, concurrency: bool) -> Option<TokenBucket> {
        let plan = self.settings.plans.get(plan)?;
        let slots = TokenBucket {
            rate_per_s: 0.0,
            burst: plan.max_concurrent.into(),
            window: CONCURRENCY_WINDOW,
            max_carryover: 0.0,
        };
        let (bucket, limit) = if concurrency {
            (slots, slots.burst)
        } else {
            (TokenBucket::of_plan(plan), plan.rate_per_s)
        };
        (limit > 0.0).then_some(bucket)
    }

    /// Probability of admitting a request without a counter total: by the admit share, and zero where
    /// admitting over quota would be expected to cost more than it earns.
    fn unchecked_admit_probability(&self, customer_id: CustomerId) -> f64 {
        let Some(customer) = self.customers.get(&customer_id) else {
            return 1.0;
        };
        let net_loss = self.settings.plans.get(customer.plan).map_or(0.0, |p| {
            (p.over_quota_cost_share - p.over_quota_value_share).max(0.0)
        });
        let break_even = net_loss / (1.0 + net_loss);
        ((customer.effective_admit_share(self.now) - break_even) / (1.0 - break_even))
            .clamp(0.0, 1.0)
    }

    /// The local check: a customer over quota that is beyond its even share makes no call. `limits` is the
    /// concurrency limit, the customer's gateways, whether only the even share is admitted, and whether the
    /// request makes no call. Returns whether the request passes, and whether it is within this gateway's
    /// even share.
    fn check_locally(
        &mut self,
        customer_id: CustomerId,
        limits: (u32, f64, bool, bool),
        charges: &[Charge],
    ) -> (bool, bool) {
        let (max_concurrent, customer_gateways, even_share_only, makes_no_call) = limits;
        let (now, local_only) = (
            self.now,
            makes_no_call
                || self.is_counter_lost()
                || self.counter_health.base_call_share < LOW_CALL_SHARE,
        );
        let Some(customer) = self.customers.get_mut(&customer_id) else {
            return (true, false);
        };
        let (mut fits, mut all_within_even_share) = (
            max_concurrent == 0 || customer.in_flight < i64::from(max_concurrent),
            true,
        );
        for (concurrency, bucket, amount) in charges {
            let meter = customer.meter(*concurrency);
            let room = meter.advance(*bucket, customer_id, now);
            meter.requested += amount;
            let beyond_even_share = bucket.rate_per_s > 0.0
                && meter.requested > (room / customer_gateways).max(*amount);
            let called_recently = now - meter.last_call_at < MIN_RECHECK_INTERVAL;
            let expected_total = amount
                + if makes_no_call {
                    meter.expected(now)
                } else {
                    meter.estimate() + meter.uncounted
                };
            fits &= expected_total <= room
                || !(local_only || (meter.over_quota && (beyond_even_share || called_recently)));
            let extrapolated = if self.settings.even_share_first {
                meter.extrapolated_in_window
            } else {
                meter.extrapolated_since_total
            };
            let within_even_share = extrapolated + (amount * customer_gateways).min(room) <= room;
            fits &= !even_share_only || bucket.rate_per_s <= 0.0 || within_even_share;
            all_within_even_share &= expected_total <= room && within_even_share;
        }
        (fits, all_within_even_share)
    }

    /// Counts an admitted request locally and, if `weight` is not 0, at the counter service; a call stands
    /// for `weight` requests.
    fn count_request(
        &mut self,
        request: &Request,
        charges: &[Charge],
        weight: f64,
        customer_gateways: f64,
    ) {
        let now = self.now;
        let (admit_probability, mut counted) = (
            self.unchecked_admit_probability(request.customer),
            Vec::new(),
        );
        let is_likely_admitted = self
            .customers
            .get(&request.customer)
            .is_none_or(|c| c.effective_admit_share(now) >= LIKELY_ADMITTED);
        for &(concurrency, bucket, charged) in charges {
            let Some(customer) = self.customers.get_mut(&request.customer) else {
                return;
            };
            let meter = customer.meter(concurrency);
            meter.extrapolated_since_total += if concurrency {
                0.0
            } else {
                charged * customer_gateways
            };
            meter.extrapolated_in_window += charged * customer_gateways;
            if weight == 0.0 {
                // The next call adds what was not reported to the counter.
                meter.uncounted += if concurrency { 0.0 } else { charged };
                continue;
            }
            (meter.last_call_at, self.counter_health.next_probe_at) =
                (now, now + LOST_PROBE_INTERVAL);
            // The call adds the request's own units if it is likely to be admitted, and the units that are
            // likely to be admitted of requests without a call.
            let own_amount = charged
                * if concurrency || is_likely_admitted {
                    1.0
                } else {
                    MIN_COUNTED_SHARE.max(self.settings.min_counted_share)
                };
            let others_amount = charged * (weight - 1.0) * admit_probability;
            let (extrapolated, amount) = (
                own_amount + others_amount - charged,
                own_amount + others_amount + std::mem::take(&mut meter.uncounted),
            );
            // With few calls the sampling error would add up over a window: the next call corrects it, if the
            // requests that this one stands for do not come, or more do.
            meter.uncounted = if concurrency { 0.0 } else { -others_amount };
            meter.pending += amount;
            meter.known_total += amount;
            let (request_id, window_index) = (Some(request.id), meter.window_index);
            counted.push((
                concurrency,
                window_index,
                if concurrency {
                    own_amount + others_amount
                } else {
                    own_amount
                },
            ));
            let customer = request.customer;
            let call = CounterCall {
                request: request_id,
                customer,
                window_index,
                amount,
                extrapolated,
                concurrency,
                ..CounterCall::default()
            };
            self.call_counter(call, bucket.window);
        }
        self.customers
            .entry(request.customer)
            .and_modify(|c| c.in_flight += 1);
        self.requests
            .entry(request.id)
            .and_modify(|state| (state.holds_slot, state.counted) = (true, counted));
    }

    /// Probability that a request makes a call: higher for a customer close to its quota, and for a plan
    /// whose over-quota use is expensive.
    fn call_share(&self, request: &Request) -> f64 {
        let customer = self.customers.get(&request.customer);
        let used_share = customer.map_or(INITIAL_USED_SHARE, |c| {
            c.units
                .used_share
                .max(c.concurrency.used_share)
                .clamp(0.0, 1.0)
        });
        let cost = |p: &Plan| p.value_factor * p.over_quota_cost_share;
        let max_cost = self
            .settings
            .plans
            .iter()
            .map(cost)
            .fold(f64::MIN_POSITIVE, f64::max);
        let relative_cost = self
            .settings
            .plans
            .get(request.plan)
            .map_or(0.0, |p| cost(p) / max_cost);
        let weighted = self.counter_health.base_call_share
            * CALL_ODDS_FACTOR.powf(used_share + relative_cost - 1.0);
        weighted / (weighted + (1.0 - self.counter_health.base_call_share))
    }

    /// Calls the counter service and keeps the call until its answer.
    fn call_counter(&mut self, call: CounterCall, window: Micros) {
        // All gateways compute the same key.
        let counter_hash =
            splitmix64(call.customer.0.wrapping_mul(2) + u64::from(call.concurrency));
        let key = CounterKey(splitmix64(counter_hash ^ call.window_index as u64) >> 1);
        let call = CounterCall {
            made_at: self.now,
            ..call
        };
        self.counter_calls.entry(key).or_default().push_back(call);
        call.request.into_iter().for_each(|id| {
            _ = self
                .requests
                .get_mut(&id)
                .map(|state| state.pending_calls += 1)
        });
        self.actions.push(Action::AddToCounter {
            key,
            amount: call.amount,
            ttl: 2 * window + SECOND,
        });
    }

    pub(super) fn on_counter_answer(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        let Some(queue) = self.counter_calls.get_mut(&key) else {
            return;
        };
        let Some(call) = queue.pop_front() else {
            return;
        };
        if queue.is_empty() {
            self.counter_calls.remove(&key);
        }
        self.update_counter_health(
            outcome,
            self.now - call.made_at > self.settings.counter_timeout,
        );
        let is_denied = self.apply_answer(call, outcome, total);
        let Some(id) = call.request else { return };
        let Some(state) = self
            .requests
            .get_mut(&id)
            .filter(|state| state.pending_calls > 0)
        else {
            return;
        };
        state.is_denied |= is_denied;
        state.pending_calls -= 1;
        if state.pending_calls == 0 {
            if outcome == Outcome::Ok {
                self.update_admit_share(id);
            }
            self.decide(id);
        }
    }

    /// Updates the admit share of a customer. While the counter is overloaded, all of the customer's gateways
    /// are notified when it is over quota: each of hundreds would otherwise admit its first requests until it
    /// has a total of its own.
    fn update_admit_share(&mut self, id: RequestId) {
        let Some((request, is_denied)) = self
            .requests
            .get(&id)
            .map(|state| (&state.request, state.is_denied))
        else {
            return;
        };
        let (now, gateway_count, own_index) = (
            self.now,
            self.settings.gateway_count.max(1),
            self.settings.gateway_index,
        );
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return;
        };
        customer.admit_share +=
            (f64::from(u8::from(!is_denied)) - customer.admit_share) * ADMIT_SHARE_GAIN;
        let is_overloaded =
            self.settings.can_notify_gateways && self.counter_health.base_call_share < 1.0;
        if !is_denied || !is_overloaded || now - customer.last_notice_at < MIN_NOTICE_INTERVAL {
            return;
        }
        customer.record_notice(now);
        let notice = OverQuotaNotice {
            customer: request.customer,
            plan: request.plan,
        };
        let gateways = (0..request.customer_gateways.min(gateway_count))
            .map(|n| (request.first_gateway % gateway_count + n) % gateway_count);
        self.actions.extend(
            gateways
                .filter(|n| *n != own_index)
                .map(|n| Action::NotifyGateway(n, notice)),
        );
    }

    /// A notice from another gateway counts like a finding of this one; it decays, so that the customer is
    /// checked again.
    pub(super) fn on_notice(&mut self, notice: OverQuotaNotice) {
        let (now, started_at) = (self.now, self.started_at.unwrap_or(self.now));
        let new_customer = || Customer::unknown(notice.plan, started_at, 1.0);
        self.customers
            .entry(notice.customer)
            .or_insert_with(new_customer)
            .record_notice(now);
    }

    /// Applies the answer to a call and returns whether it denies the request.
    fn apply_answer(&mut self, call: CounterCall, outcome: Outcome, total: f64) -> bool {
        let (now, draw, admit_probability) = (
            self.now,
            self.random(),
            self.unchecked_admit_probability(call.customer),
        );
        let Some(plan) = self.customers.get(&call.customer).map(|c| c.plan) else {
            return false;
        };
        let Some(bucket) = self.bucket_of(plan, call.concurrency) else {
            return false;
        };
        let Some(customer) = self.customers.get_mut(&call.customer) else {
            return false;
        };
        let meter = customer.meter(call.concurrency);
        let room = meter.advance(bucket, call.customer, now);
        let is_current = call.window_index == meter.window_index;
        let even_share_first = self.settings.even_share_first;
        let denies_unknown =
            even_share_first || (!meter.total_received && draw >= admit_probability);
        meter.pending = (meter.pending
            - if is_current {
                call.amount.max(0.0)
            } else {
                0.0
            })
        .max(0.0);
        match outcome {
            Outcome::Ok if is_current => {
                // Units given back can make a counter look new again; the carryover must be added only once.
                let is_first = call.request.is_some()
                    && (total - call.amount).abs() < SAME_TOTAL_TOLERANCE * call.amount
                    && !meter.total_received;
                meter.total_received |= call.request.is_some();
                meter.carryover = if call.is_carryover {
                    0.0
                } else {
                    meter.carryover
                };
                let (counter_total, refilled) = (total, room - bucket.burst);
                let total = meter.record_total(
                    call.amount,
                    counter_total,
                    refilled,
                    (bucket.rate_per_s, now),
                );
                let total = total + meter.overflow - call.extrapolated;
                // Not all gateways at once, and not while the first one in the window may still be reading
                // the previous window.
                if !even_share_first
                    && refilled > bucket.rate_per_s * RESTORE_DELAY_S
                    && draw < RESTORE_PROBABILITY
                {
                    meter.restore_missing(counter_total);
                }
                let is_over = total > room;
                meter.used_share = total / room.max(1e-9);
                // The total after giving units back or reading says nothing about the next request.
                let is_new_use = call.amount > 0.0 || (call.request.is_some() && !call.concurrency);
                meter.over_quota = if is_new_use {
                    is_over
                } else {
                    meter.over_quota
                };
                if is_first && bucket.rate_per_s > 0.0 {
                    // The first gateway to count in a window reads the total of the previous one, for all
                    // gateways.
                    let read_call = CounterCall {
                        request: None,
                        window_index: call.window_index - 1,
                        amount: 0.0,
                        extrapolated: 0.0,
                        ..call
                    };
                    self.call_counter(read_call, bucket.window);
                }
                is_over
            }
            Outcome::Ok if call.window_index + 1 == meter.window_index && call.amount == 0.0 => {
                let (window_index, own_carryover) = (
                    meter.window_index,
                    if even_share_first {
                        0.0
                    } else {
                        meter.carryover
                    },
                );
                let amount = bucket.carryover(total).max(own_carryover);
                (meter.known_total, meter.pending) =
                    (meter.known_total + amount, meter.pending + amount);
                if amount > 0.0 {
                    self.call_counter(
                        CounterCall {
                            window_index,
                            amount,
                            is_carryover: true,
                            ..call
                        },
                        bucket.window,
                    );
                }
                false
            }
            Outcome::Ok => total - call.extrapolated > room,
            // No total: the request is admitted, unless what is known here shows the customer over quota.
            Outcome::TimedOut => denies_unknown || meter.expected(now) > room,
            // Nothing was added: the next call adds what is admitted. Units that were never added must not be
            // given back either, or a counter that rejects calls would fall below zero.
            _ => {
                let state = call.request.and_then(|id| self.requests.get_mut(&id));
                let units = state
                    .as_ref()
                    .filter(|_| !call.concurrency)
                    .map_or(0.0, |state| state.request.units);
                let counted = state.map(|state| &mut state.counted);
                let own_amount = counted.map_or(0.0, |c| {
                    c.extract_if(.., |c| c.0 == call.concurrency)
                        .map(|c| c.2)
                        .sum()
                });
                if is_current {
                    meter.known_total -= call.amount;
                    meter.uncounted += call.amount - own_amount;
                }
                let is_denied = denies_unknown || meter.expected(now) + units > room;
                meter.uncounted += if is_denied || !is_current { 0.0 } else { units };
                is_denied
            }
        }
    }

    /// Updates the health of the counter and the call share. A counter that rejects calls is overloaded and
    /// not lost: it only gets fewer calls.
    fn update_counter_health(&mut self, outcome: Outcome, is_slow: bool) {
        let was_lost = self.is_counter_lost();
        // A broken connection fails all calls on it at once; that alone must not make the counter count as
        // lost.
        let has_failed = !matches!(outcome, Outcome::Ok | Outcome::Rejected);
        let is_new_failure =
            has_failed && self.now - self.counter_health.last_failure_at >= FAILURE_MERGE_INTERVAL;
        self.counter_health.last_failure_at = if is_new_failure {
            self.now
        } else {
            self.counter_health.last_failure_at
        };
        let (factor, consecutive_failures) = match outcome {
            Outcome::Ok if self.counter_health.in_slow_start && !is_slow => (SLOW_START_FACTOR, 0),
            Outcome::Ok if !is_slow => (CALL_SHARE_INCREASE, 0),
            Outcome::Ok | Outcome::Rejected => (CALL_SHARE_DECREASE, 0),
            _ => (
                CALL_SHARE_DECREASE,
                self.counter_health
                    .consecutive_failures
                    .saturating_add(u32::from(is_new_failure)),
            ),
        };
        self.counter_health.consecutive_failures = consecutive_failures;
        self.counter_health.in_slow_start &= outcome == Outcome::Ok && !is_slow;
        self.counter_health.base_call_share =
            (self.counter_health.base_call_share * factor).clamp(MIN_CALL_SHARE, 1.0);
        if was_lost != self.is_counter_lost() {
            self.log(
                if was_lost {
                    "counter service responds again"
                } else {
                    "counter service lost: requests are admitted by the local check alone"
                }
                .to_string(),
            );
            (
                self.counter_health.base_call_share,
                self.counter_health.in_slow_start,
            ) = (self.initial_call_share(), true);
        }
    }

    /// Decides on a request when all its calls are answered, or when the wait for them is over; what is not
    /// denied by then is admitted.
    pub(super) fn decide(&mut self, id: RequestId) {
        let Some(state) = self
            .requests
            .get_mut(&id)
            .filter(|state| !state.is_finished)
        else {
            return;
        };
        state.pending_calls = 0;
        if state.is_denied {
            self.return_units(id);
            self.reject(id);
        } else {
            self.settle_units(id, true);
            self.send_attempt(id);
        }
    }

    /// Corrects the units that were added for a request to those it used, at once: with many gateways each
    /// one's next call for the customer may come windows later, and the units would never be counted.
    fn settle_units(&mut self, id: RequestId, was_used: bool) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let units = state.request.units * if was_used { 1.0 } else { RETAINED_SHARE };
        let unit_entries = state
            .counted
            .iter_mut()
            .filter(|(concurrency, ..)| !concurrency);
        let differences: Vec<_> = unit_entries
            .map(|(_, window_index, amount)| {
                (*window_index, std::mem::replace(amount, units) - units)
            })
            .collect();
        for (window_index, units) in differences.into_iter().filter(|(_, units)| *units != 0.0) {
            self.add_back(id, false, window_index, units);
        }
    }

    /// Gives back the units of a request that was not sent, and its concurrency slot.
    pub(super) fn return_units(&mut self, id: RequestId) {
        self.release_slot(id);
        self.settle_units(id, false);
    }

    /// Takes units that were added in a window off the counter again; a negative amount is added to it.
    fn add_back(&mut self, id: RequestId, concurrency: bool, window_index: i64, units: f64) {
        let Some(request) = self.requests.get(&id).map(|state| state.request.clone()) else {
            return;
        };
        let Some(bucket) = self.bucket_of(request.plan, concurrency) else {
            return;
        };
        let (customer, is_lost) = (request.customer, self.is_counter_lost());
        let Some(meter) = self
            .customers
            .get_mut(&customer)
            .map(|c| c.meter(concurrency))
        else {
            return;
        };
        meter.advance(bucket, customer, self.now);
        let is_current = window_index == meter.window_index;
        // A slot is released at once if slots are scarce or no call will follow soon, otherwise with the next
        // call.
        let is_scarce = meter.known_total * 2.0 >= bucket.burst || meter.requested < bucket.burst;
        let is_deferred = is_lost
            || if concurrency {
                !is_scarce && units <= 1.0
            } else {
                units.abs() < LIKELY_ADMITTED * request.units
            };
        // Only in the window in which they were counted: given back to a later one, they would be granted
        // twice.
        if is_current && (concurrency || !is_deferred) {
            meter.pending += (-units).max(0.0);
            meter.known_total = (meter.known_total - units).max(0.0);
        }
        let call = CounterCall {
            customer,
            window_index,
            amount: -units,
            concurrency,
            ..CounterCall::default()
        };
        match (is_current, is_deferred) {
            (true, true) => meter.uncounted -= units,
            (false, _) if concurrency => {}
            _ => self.call_counter(call, bucket.window),
        }
    }

    /// Ends the request's place in the customer's requests in flight, and releases its concurrency slot.
    pub(super) fn release_slot(&mut self, id: RequestId) {
        let Some(state) = self.requests.get_mut(&id).filter(|state| state.holds_slot) else {
            return;
        };
        state.holds_slot = false;
        let slot = state
            .counted
            .iter()
            .position(|(concurrency, _, _)| *concurrency)
            .map(|n| state.counted.remove(n));
        self.customers
            .entry(state.request.customer)
            .and_modify(|c| c.in_flight -= 1);
        if let Some((concurrency, window_index, units)) = slot {
            self.add_back(id, concurrency, window_index, units);
        }
    }
}
