//! Quota: local count, calls to the counter and their verdicts, what is given back.

use super::meters::{Charge, TokenBucket, window_at};
use super::*;

/// Window of the count of attempts out: what a dead gateway left in it is forgotten at the turn.
const CONCURRENCY_WINDOW: Micros = 4 * SECOND;
/// Within its slice a gateway asks anew for a customer found over quota, but not more often than this.
const MIN_RECHECK_INTERVAL: Micros = 100_000;
/// The wait for the counter is at most this share of the aim.
const COUNTER_WAIT_SHARE: f64 = 0.15;
/// So many calls in a row without any sign of life, and the counter counts as lost.
const LOST_AFTER_FAILURES: u32 = 4;
/// Calls that fail within this of one another are one sign: they were on one connection that broke.
const FAILURE_MERGE_INTERVAL: Micros = 3_000;
/// Pace, the share of requests that make a call: at first that of so many gateways in all, times the
/// climb while no call has failed yet; then cut and raised by calls, down to the least. Low: as if lost.
const INITIAL_CALLING_GATEWAYS: f64 = 64.0;
const SLOW_START_FACTOR: f64 = 1.5;
const CALL_SHARE_DECREASE: f64 = 0.75;
const CALL_SHARE_INCREASE: f64 = 1.15;
const LOW_CALL_SHARE: f64 = 0.5;
const MIN_CALL_SHARE: f64 = 1.0 / 65536.0;
/// Odds of a call, times this at the allowance and for the plan where use beyond the quota costs most.
const CALL_ODDS_FACTOR: f64 = 6.0;
/// A total within this share of one's own add is that add alone. Of units given back this share stays: else
/// the next gateway, too, would find itself alone and carry over what the window before left once more.
const SAME_TOTAL_TOLERANCE: f64 = 1e-5;
const RETAINED_SHARE: f64 = 1e-3;
/// What is missing at the counter is told so many seconds after the turn, with this chance for each total.
const RESTORE_DELAY_S: f64 = 0.2;
const RESTORE_PROBABILITY: f64 = 0.3;
/// Share of its allowance that an unknown customer is taken to use.
const INITIAL_USED_SHARE: f64 = 0.5;
/// Least share of the tries of a customer at its cap that still asks a crowded counter.
const MIN_CHECK_PROBABILITY: f64 = 0.1;
/// A call adds its units from this chance on that they pass; else a little, to know itself as the first.
const LIKELY_ADMITTED: f64 = 0.5;
const MIN_COUNTED_SHARE: f64 = 0.02;
/// While the counter is lost, one call in this time looks whether it is back.
const LOST_PROBE_INTERVAL: Micros = SECOND;

impl Balancer {
    /// Danger: gateways that start together would crowd the counter before any of them has heard of it.
    pub(super) fn initial_call_share(&self) -> f64 {
        (INITIAL_CALLING_GATEWAYS / self.gateways()).min(1.0)
    }

    pub(super) fn is_counter_lost(&self) -> bool {
        self.counter_health.consecutive_failures >= LOST_AFTER_FAILURES
    }

    /// The ordinary path: local count, then the calls; the verdict falls when they are answered.
    pub(super) fn check_quota(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).map(|h| h.request.clone()) else {
            return;
        };
        let (now, booted, who) = (
            self.now,
            self.started_at.unwrap_or(self.now),
            request.customer,
        );
        let Some(plan) = self.settings.plans.get(request.plan).cloned() else {
            return self.send_attempt(id);
        };
        // Danger: who is unknown here may have used up much of the window under the plan before.
        let same = |since| {
            window_at(since, plan.inherited_window, who).0
                == window_at(now, plan.inherited_window, who).0
        };
        let changed = plan
            .predecessor
            .filter(|(since, _)| plan.inherited_window > 0 && same(*since));
        let before = changed.map_or(request.plan, |c| c.1);
        let unknown = || Customer::unknown(before, booted, INITIAL_USED_SHARE);
        let customer = self.customers.entry(who).or_insert_with(unknown);
        customer.last_seen_at = now;
        let last = std::mem::replace(&mut customer.plan, request.plan);
        let kept = |old: &&Plan| {
            old.inherited_window.max(plan.inherited_window) > 0
                && old.rate_per_s.min(plan.rate_per_s) > 0.0
        };
        if let Some(old) = self
            .settings
            .plans
            .get(last)
            .filter(|_| last != request.plan)
            .filter(kept)
        {
            customer.units.change_plan(
                TokenBucket::of_plan(old),
                TokenBucket::of_plan(&plan),
                who,
                now,
            );
        }
        let granted = customer
            .effective_admit_share(now)
            .max(MIN_CHECK_PROBABILITY);
        let spread = f64::from(
            request
                .customer_gateways
                .clamp(1, self.settings.gateway_count.max(1)),
        );
        let lost = self.is_counter_lost();
        // Danger: cut off, or with a counter that knows nothing of the open window, all gateways grant all.
        let sliced = self.settings.even_shares_counter_lost
            && (lost || now - self.counter_health.replaced_at < plan.window_length());
        // Danger: at a crowded counter denied tries hold places of the cap while they wait and deny others.
        let asks = plan.max_concurrent == 0
            || self.counter_health.base_call_share >= 1.0
            || self.random() < granted;
        let usable = asks
            && self.settings.counter_available
            && (!lost || now >= self.counter_health.next_probe_at);
        let first = self.settings.even_share_first;
        let share = if lost || first {
            1.0
        } else {
            self.call_share(&request)
        };
        // A crowded counter: the call of one request stands for those that make none.
        let weight = if usable && self.random() < share {
            1.0 / share
        } else {
            0.0
        };
        let units = |open| if open { 1.0 } else { request.units };
        let counted = |open| {
            self.bucket_of(request.plan, open)
                .map(|store| (open, store, units(open)))
        };
        let meters: Vec<Charge> = [false, true].into_iter().filter_map(counted).collect();
        let how = (plan.max_concurrent, spread, sliced, weight == 0.0);
        let (mut fits, within) = self.check_locally(who, how, &meters);
        // Danger: a share of the tries that pass unasked grows with them, and the refused come back at once.
        let informed = plan.max_concurrent == 0
            && self
                .customers
                .get(&who)
                .is_some_and(|c| c.units.total_received);
        fits = fits
            && (weight > 0.0
                || informed
                || sliced
                || self.random() < self.unchecked_admit_probability(who));
        let ceiling = |c: &mut Customer| c.take_hard_limit(&plan, spread, request.units, now);
        fits = fits
            && (plan.hard_limit_rate_per_s <= 0.0
                || self.customers.get_mut(&who).is_some_and(ceiling));
        if fits {
            self.count_request(&request, &meters, weight, spread);
        }
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        held.is_denied = !fits;
        if !fits || held.pending_calls == 0 || lost || (first && within) {
            return self.decide(id);
        }
        let aim = self
            .settings
            .classes
            .get(request.class)
            .map_or(SECOND, |c| c.latency_target);
        self.schedule(
            now + (aim as f64 * COUNTER_WAIT_SHARE) as Micros,
            Timer::CounterWait(id),
        );
    }

    /// The store of a plan. Danger: attempts out of a dead gateway must not fill the cap for good: windows.
    fn bucket_of(&self, plan: usize, open: bool) -> Option<TokenBucket> {
        let plan = self.settings.plans.get(plan)?;
        let places = TokenBucket {
            rate_per_s: 0.0,
            burst: plan.max_concurrent.into(),
            window: CONCURRENCY_WINDOW,
            max_carryover: 0.0,
        };
        let (store, kept) = if open {
            (places, places.burst)
        } else {
            (TokenBucket::of_plan(plan), plan.rate_per_s)
        };
        (kept > 0.0).then_some(store)
    }

    /// The chance to pass without a verdict: as verdicts went; none where passing beyond would cost more.
    fn unchecked_admit_probability(&self, customer: CustomerId) -> f64 {
        let Some(known) = self.customers.get(&customer) else {
            return 1.0;
        };
        let loss = self.settings.plans.get(known.plan).map_or(0.0, |p| {
            (p.over_quota_cost_share - p.over_quota_value_share).max(0.0)
        });
        let even = loss / (1.0 + loss);
        ((known.effective_admit_share(self.now) - even) / (1.0 - even)).clamp(0.0, 1.0)
    }

    /// The local count: who is over past its slice makes no call; and whether all fit that do as this one.
    fn check_locally(
        &mut self,
        who: CustomerId,
        how: (u32, f64, bool, bool),
        all: &[Charge],
    ) -> (bool, bool) {
        let (most, spread, sliced, alone) = how;
        let (now, lost) = (
            self.now,
            alone || self.is_counter_lost() || self.counter_health.base_call_share < LOW_CALL_SHARE,
        );
        let Some(customer) = self.customers.get_mut(&who) else {
            return (true, false);
        };
        let (mut fits, mut within) = (most == 0 || customer.in_flight < i64::from(most), true);
        for (open, store, units) in all {
            let meter = customer.meter(*open);
            let room = meter.advance(*store, who, now);
            meter.requested += units;
            let past_slice =
                store.rate_per_s > 0.0 && meter.requested > (room / spread).max(*units);
            let told_lately = now - meter.last_call_at < MIN_RECHECK_INTERVAL;
            let known = units
                + if alone {
                    meter.expected(now)
                } else {
                    meter.estimate() + meter.uncounted
                };
            fits &= known <= room || !(lost || (meter.over_quota && (past_slice || told_lately)));
            let fleet = if self.settings.even_share_first {
                meter.extrapolated_in_window
            } else {
                meter.extrapolated_since_total
            };
            let slice = fleet + (units * spread).min(room) <= room;
            fits &= !sliced || store.rate_per_s <= 0.0 || slice;
            within &= known <= room && slice;
        }
        (fits, within)
    }

    fn count_request(&mut self, request: &Request, meters: &[Charge], weight: f64, spread: f64) {
        let now = self.now;
        let (grant, mut counted) = (
            self.unchecked_admit_probability(request.customer),
            Vec::new(),
        );
        let likely = self
            .customers
            .get(&request.customer)
            .is_none_or(|c| c.effective_admit_share(now) >= LIKELY_ADMITTED);
        for &(open, store, units) in meters {
            let Some(customer) = self.customers.get_mut(&request.customer) else {
                return;
            };
            let meter = customer.meter(open);
            meter.extrapolated_since_total += if open { 0.0 } else { units * spread };
            meter.extrapolated_in_window += units * spread;
            if weight == 0.0 {
                // What the counter was not told goes along with the next call.
                meter.uncounted += if open { 0.0 } else { units };
                continue;
            }
            (meter.last_call_at, self.counter_health.next_probe_at) =
                (now, now + LOST_PROBE_INTERVAL);
            // It adds its own if that is likely let through, and what is likely let through of others.
            let own = units
                * if open || likely {
                    1.0
                } else {
                    MIN_COUNTED_SHARE.max(self.settings.min_counted_share)
                };
            let others = units * (weight - 1.0) * grant;
            let (stands_for, add) = (
                own + others - units,
                own + others + std::mem::take(&mut meter.uncounted),
            );
            // Danger: the chance of few calls adds up over a window. Where those that one stood for do not
            // come, or are more, the next puts it right.
            meter.uncounted = if open { 0.0 } else { -others };
            meter.pending += add;
            meter.known_total += add;
            let (id, window) = (Some(request.id), meter.window_index);
            counted.push((open, window, if open { own + others } else { own }));
            let customer = request.customer;
            let call = CounterCall {
                request: id,
                customer,
                window_index: window,
                amount: add,
                extrapolated: stands_for,
                concurrency: open,
                ..CounterCall::default()
            };
            self.call_counter(call, store.window);
        }
        self.customers
            .entry(request.customer)
            .and_modify(|c| c.in_flight += 1);
        self.requests
            .entry(request.id)
            .and_modify(|h| (h.holds_slot, h.counted) = (true, counted));
    }

    /// The share of requests that make a call: more of those that may find the customer over at a cost.
    fn call_share(&self, request: &Request) -> f64 {
        let known = self.customers.get(&request.customer);
        let used = known.map_or(INITIAL_USED_SHARE, |c| {
            c.units
                .used_share
                .max(c.concurrency.used_share)
                .clamp(0.0, 1.0)
        });
        let cost = |p: &Plan| p.value_factor * p.over_quota_cost_share;
        let most = self
            .settings
            .plans
            .iter()
            .map(cost)
            .fold(f64::MIN_POSITIVE, f64::max);
        let stake = self
            .settings
            .plans
            .get(request.plan)
            .map_or(0.0, |p| cost(p) / most);
        let favoured =
            self.counter_health.base_call_share * CALL_ODDS_FACTOR.powf(used + stake - 1.0);
        favoured / (favoured + (1.0 - self.counter_health.base_call_share))
    }

    fn call_counter(&mut self, call: CounterCall, length: Micros) {
        // All gateways compute the same name.
        let count = splitmix64(call.customer.0.wrapping_mul(2) + u64::from(call.concurrency));
        let name = CounterKey(splitmix64(count ^ call.window_index as u64) >> 1);
        let call = CounterCall {
            made_at: self.now,
            ..call
        };
        self.counter_calls.entry(name).or_default().push_back(call);
        call.request
            .into_iter()
            .for_each(|id| _ = self.requests.get_mut(&id).map(|h| h.pending_calls += 1));
        self.actions.push(Action::AddToCounter {
            key: name,
            amount: call.amount,
            expires_in: 2 * length + SECOND,
        });
    }

    pub(super) fn on_counter_answer(&mut self, name: CounterKey, outcome: Outcome, total: f64) {
        let Some(queue) = self.counter_calls.get_mut(&name) else {
            return;
        };
        let Some(call) = queue.pop_front() else {
            return;
        };
        if queue.is_empty() {
            self.counter_calls.remove(&name);
        }
        self.update_counter_health(
            outcome,
            self.now - call.made_at > self.settings.counter_timeout,
        );
        let denied = self.apply_answer(call, outcome, total);
        let Some(id) = call.request else { return };
        let Some(held) = self.requests.get_mut(&id).filter(|h| h.pending_calls > 0) else {
            return;
        };
        held.is_denied |= denied;
        held.pending_calls -= 1;
        if held.pending_calls == 0 {
            if outcome == Outcome::Ok {
                self.update_admit_share(id);
            }
            self.decide(id);
        }
    }

    /// Danger: each of hundreds of gateways lets a customer's first requests pass before it has a verdict of
    /// its own. While the counter is crowded a verdict against a customer is told to all its gateways.
    fn update_admit_share(&mut self, id: RequestId) {
        let Some((request, denied)) = self.requests.get(&id).map(|h| (&h.request, h.is_denied))
        else {
            return;
        };
        let (now, many, own) = (
            self.now,
            self.settings.gateway_count.max(1),
            self.settings.gateway_index,
        );
        let Some(known) = self.customers.get_mut(&request.customer) else {
            return;
        };
        known.admit_share += (f64::from(u8::from(!denied)) - known.admit_share) * ADMIT_SHARE_GAIN;
        let crowded =
            self.settings.can_notify_gateways && self.counter_health.base_call_share < 1.0;
        if !denied || !crowded || now - known.last_notice_at < MIN_NOTICE_INTERVAL {
            return;
        }
        known.record_notice(now);
        let notice = OverQuotaNotice {
            customer: request.customer,
            plan: request.plan,
        };
        let set = (0..request.customer_gateways.min(many))
            .map(|n| (request.first_gateway % many + n) % many);
        self.actions.extend(
            set.filter(|n| *n != own)
                .map(|n| Action::NotifyGateway(n, notice)),
        );
    }

    /// Another gateway's verdict counts as one's own; it fades, so that the customer is tried again.
    pub(super) fn on_notice(&mut self, notice: OverQuotaNotice) {
        let (now, booted) = (self.now, self.started_at.unwrap_or(self.now));
        let unknown = || Customer::unknown(notice.plan, booted, 1.0);
        self.customers
            .entry(notice.customer)
            .or_insert_with(unknown)
            .record_notice(now);
    }

    fn apply_answer(&mut self, call: CounterCall, outcome: Outcome, total: f64) -> bool {
        let (now, chance, grant) = (
            self.now,
            self.random(),
            self.unchecked_admit_probability(call.customer),
        );
        let Some(plan) = self.customers.get(&call.customer).map(|c| c.plan) else {
            return false;
        };
        let Some(store) = self.bucket_of(plan, call.concurrency) else {
            return false;
        };
        let Some(known) = self.customers.get_mut(&call.customer) else {
            return false;
        };
        let meter = known.meter(call.concurrency);
        let room = meter.advance(store, call.customer, now);
        let present = call.window_index == meter.window_index;
        let strict = self.settings.even_share_first;
        let blind = strict || (!meter.total_received && chance >= grant);
        meter.pending = (meter.pending - if present { call.amount.max(0.0) } else { 0.0 }).max(0.0);
        match outcome {
            Outcome::Ok if present => {
                // Danger: a give-back makes a count look fresh again; what still counts is added once.
                let first = call.request.is_some()
                    && (total - call.amount).abs() < SAME_TOTAL_TOLERANCE * call.amount
                    && !meter.total_received;
                meter.total_received |= call.request.is_some();
                meter.carryover = if call.is_carryover {
                    0.0
                } else {
                    meter.carryover
                };
                let (told, flowed) = (total, room - store.burst);
                let total = meter.record_total(call.amount, told, flowed, (store.rate_per_s, now));
                let total = total + meter.overflow - call.extrapolated;
                // Not all at once, and not while the first of the window may still be reading the one before.
                if !strict
                    && flowed > store.rate_per_s * RESTORE_DELAY_S
                    && chance < RESTORE_PROBABILITY
                {
                    meter.restore_missing(told);
                }
                let over = total > room;
                meter.used_share = total / room.max(1e-9);
                // What is given back or read says nothing of who asks next.
                let asks = call.amount > 0.0 || (call.request.is_some() && !call.concurrency);
                meter.over_quota = if asks { over } else { meter.over_quota };
                if first && store.rate_per_s > 0.0 {
                    // The first to count in a window reads the total of the one before, for all.
                    let read = CounterCall {
                        request: None,
                        window_index: call.window_index - 1,
                        amount: 0.0,
                        extrapolated: 0.0,
                        ..call
                    };
                    self.call_counter(read, store.window);
                }
                over
            }
            Outcome::Ok if call.window_index + 1 == meter.window_index && call.amount == 0.0 => {
                let (window, own) = (
                    meter.window_index,
                    if strict { 0.0 } else { meter.carryover },
                );
                let add = store.carryover(total).max(own);
                (meter.known_total, meter.pending) = (meter.known_total + add, meter.pending + add);
                if add > 0.0 {
                    self.call_counter(
                        CounterCall {
                            window_index: window,
                            amount: add,
                            is_carryover: true,
                            ..call
                        },
                        store.window,
                    );
                }
                false
            }
            Outcome::Ok => total - call.extrapolated > room,
            // No verdict: the request passes, unless what is known shows the customer over.
            Outcome::TimedOut => blind || meter.expected(now) > room,
            // Nothing was added: what passes goes along with the next call. Danger: what was never added and
            // is given back leaves a counter that turns calls away below nothing.
            _ => {
                let held = call.request.and_then(|id| self.requests.get_mut(&id));
                let units = held
                    .as_ref()
                    .filter(|_| !call.concurrency)
                    .map_or(0.0, |h| h.request.units);
                let counted = held.map(|h| &mut h.counted);
                let own = counted.map_or(0.0, |c| {
                    c.extract_if(.., |c| c.0 == call.concurrency)
                        .map(|c| c.2)
                        .sum()
                });
                if present {
                    meter.known_total -= call.amount;
                    meter.uncounted += call.amount - own;
                }
                let denied = blind || meter.expected(now) + units > room;
                meter.uncounted += if denied || !present { 0.0 } else { units };
                denied
            }
        }
    }

    /// Danger: a crowded counter taken for lost. One that turns calls away is alive and only asked less.
    fn update_counter_health(&mut self, outcome: Outcome, slow: bool) {
        let lost = self.is_counter_lost();
        // Danger: one connection that breaks fails all calls on it at once, and the counter passes for lost.
        let unheard = !matches!(outcome, Outcome::Ok | Outcome::Rejected);
        let another =
            unheard && self.now - self.counter_health.last_failure_at >= FAILURE_MERGE_INTERVAL;
        self.counter_health.last_failure_at = if another {
            self.now
        } else {
            self.counter_health.last_failure_at
        };
        let (factor, silent) = match outcome {
            Outcome::Ok if self.counter_health.in_slow_start && !slow => (SLOW_START_FACTOR, 0),
            Outcome::Ok if !slow => (CALL_SHARE_INCREASE, 0),
            Outcome::Ok | Outcome::Rejected => (CALL_SHARE_DECREASE, 0),
            _ => (
                CALL_SHARE_DECREASE,
                self.counter_health
                    .consecutive_failures
                    .saturating_add(u32::from(another)),
            ),
        };
        self.counter_health.consecutive_failures = silent;
        self.counter_health.in_slow_start &= outcome == Outcome::Ok && !slow;
        self.counter_health.base_call_share =
            (self.counter_health.base_call_share * factor).clamp(MIN_CALL_SHARE, 1.0);
        if lost != self.is_counter_lost() {
            self.log(
                if lost {
                    "counter is back"
                } else {
                    "counter lost: requests pass"
                }
                .to_string(),
            );
            (
                self.counter_health.base_call_share,
                self.counter_health.in_slow_start,
            ) = (self.initial_call_share(), true);
        }
    }

    /// All calls are answered, or the wait for them is over: then the request passes.
    pub(super) fn decide(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.is_finished) else {
            return;
        };
        held.pending_calls = 0;
        if held.is_denied {
            self.return_units(id);
            self.reject(id);
        } else {
            self.settle_units(id, true);
            self.send_attempt(id);
        }
    }

    /// What of its units was not added, or not used, is told at once. Danger: of many gateways each makes its
    /// next call for the customer windows later, and what passes on such verdicts is never counted.
    fn settle_units(&mut self, id: RequestId, used: bool) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        let units = held.request.units * if used { 1.0 } else { RETAINED_SHARE };
        let added = held.counted.iter_mut().filter(|(open, ..)| !open);
        let spare: Vec<_> = added
            .map(|(_, at, own)| (*at, std::mem::replace(own, units) - units))
            .collect();
        for (window, units) in spare.into_iter().filter(|(_, units)| *units != 0.0) {
            self.add_back(id, false, window, units);
        }
    }

    /// Refused units are added back negatively, and a place among the attempts out is given up.
    pub(super) fn return_units(&mut self, id: RequestId) {
        self.release_slot(id);
        self.settle_units(id, false);
    }

    fn add_back(&mut self, id: RequestId, open: bool, window: i64, units: f64) {
        let Some(request) = self.requests.get(&id).map(|h| h.request.clone()) else {
            return;
        };
        let Some(store) = self.bucket_of(request.plan, open) else {
            return;
        };
        let (customer, lost) = (request.customer, self.is_counter_lost());
        let Some(meter) = self
            .customers
            .get_mut(&customer)
            .map(|known| known.meter(open))
        else {
            return;
        };
        meter.advance(store, customer, self.now);
        let present = window == meter.window_index;
        // A place is given up at once where they are scarce or no call follows soon, else with the next.
        let scarce = meter.known_total * 2.0 >= store.burst || meter.requested < store.burst;
        let waits = lost
            || if open {
                !scarce && units <= 1.0
            } else {
                units.abs() < LIKELY_ADMITTED * request.units
            };
        // Danger: given back to a later window than it was counted in, the new one would grant it again.
        if present && (open || !waits) {
            meter.pending += (-units).max(0.0);
            meter.known_total = (meter.known_total - units).max(0.0);
        }
        let back = CounterCall {
            customer,
            window_index: window,
            amount: -units,
            concurrency: open,
            ..CounterCall::default()
        };
        match (present, waits) {
            (true, true) => meter.uncounted -= units,
            (false, _) if open => {}
            _ => self.call_counter(back, store.window),
        }
    }

    pub(super) fn release_slot(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| h.holds_slot) else {
            return;
        };
        held.holds_slot = false;
        let place = held
            .counted
            .iter()
            .position(|(open, _, _)| *open)
            .map(|n| held.counted.remove(n));
        self.customers
            .entry(held.request.customer)
            .and_modify(|c| c.in_flight -= 1);
        if let Some((open, window, units)) = place {
            self.add_back(id, open, window, units);
        }
    }
}
