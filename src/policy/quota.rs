//! Quota: local count, calls to the counter and their verdicts, what is given back.

use super::meters::{Counted, Store, window_at};
use super::*;

/// Window of the count of attempts out: what a dead gateway left in it is forgotten at the turn.
const OPEN_WINDOW: Micros = 4 * SECOND;
/// Within its slice a gateway asks anew for a customer found over quota, but not more often than this.
const VERDICT_FRESH: Micros = 100_000;
/// The wait for the counter is at most this share of the aim.
const WAIT_SHARE: f64 = 0.15;
/// So many calls in a row without any sign of life, and the counter counts as lost.
const LOST_AFTER: u32 = 4;
/// Calls that fail within this of one another are one sign: they were on one connection that broke.
const FAILURES_APART: Micros = 3_000;
/// Pace, the share of requests that make a call: at first that of so many gateways in all, times the
/// climb while no call has failed yet; then cut and raised by calls, down to the least. Low: as if lost.
const PACE_FIRST: f64 = 64.0;
const PACE_CLIMB: f64 = 1.5;
const PACE_CUT: f64 = 0.75;
const PACE_RISE: f64 = 1.15;
const PACE_LOW: f64 = 0.5;
const PACE_LEAST: f64 = 1.0 / 65536.0;
/// Odds of a call, times this at the allowance and for the plan where use beyond the quota costs most.
const PACE_FAVOUR: f64 = 6.0;
/// A total within this share of one's own add is that add alone. Of units given back this share stays: else
/// the next gateway, too, would find itself alone and carry over what the window before left once more.
const SAME: f64 = 1e-5;
const TRACE: f64 = 1e-3;
/// What is missing at the counter is told so many seconds after the turn, with this chance for each total.
const MISSING_AFTER: f64 = 0.2;
const MISSING_TOLD: f64 = 0.3;
/// Share of its allowance that an unknown customer is taken to use.
const USE_GUESS: f64 = 0.5;
/// Least share of the tries of a customer at its cap that still asks a crowded counter.
const ASK_LEAST: f64 = 0.1;
/// A call adds its units from this chance on that they pass; else a little, to know itself as the first.
const LIKELY: f64 = 0.5;
const ADD_LEAST: f64 = 0.02;
/// While the counter is lost, one call in this time looks whether it is back.
const LOST_PROBE: Micros = SECOND;

impl Balancer {
    /// Danger: gateways that start together would crowd the counter before any of them has heard of it.
    pub(super) fn first_pace(&self) -> f64 {
        (PACE_FIRST / self.gateways()).min(1.0)
    }

    pub(super) fn counter_lost(&self) -> bool {
        self.counter.failures >= LOST_AFTER
    }

    /// The ordinary path: local count, then the calls; the verdict falls when they are answered.
    pub(super) fn ask(&mut self, id: RequestId) {
        let Some(request) = self.held.get(&id).map(|h| h.request.clone()) else {
            return;
        };
        let (now, booted, who) = (self.now, self.booted.unwrap_or(self.now), request.customer);
        let Some(plan) = self.settings.plans.get(request.plan).cloned() else {
            return self.place(id);
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
        let unknown = || Customer::unknown(before, booted, USE_GUESS);
        let customer = self.customers.entry(who).or_insert_with(unknown);
        customer.seen = now;
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
            customer
                .units
                .replan(Store::of_rate(old), Store::of_rate(&plan), who, now);
        }
        let granted = customer.granted(now).max(ASK_LEAST);
        let spread = f64::from(
            request
                .customer_gateways
                .clamp(1, self.settings.gateway_count.max(1)),
        );
        let lost = self.counter_lost();
        // Danger: cut off, or with a counter that knows nothing of the open window, all gateways grant all.
        let sliced = self.settings.even_shares_counter_lost
            && (lost || now - self.counter.since < plan.window_length());
        // Danger: at a crowded counter denied tries hold places of the cap while they wait and deny others.
        let asks = plan.max_concurrent == 0 || self.counter.pace >= 1.0 || self.random() < granted;
        let usable =
            asks && self.settings.counter_available && (!lost || now >= self.counter.next_probe);
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
            self.store_of(request.plan, open)
                .map(|store| (open, store, units(open)))
        };
        let meters: Vec<Counted> = [false, true].into_iter().filter_map(counted).collect();
        let how = (plan.max_concurrent, spread, sliced, weight == 0.0);
        let (mut fits, within) = self.fits_here(who, how, &meters);
        // Danger: a share of the tries that pass unasked grows with them, and the refused come back at once.
        let informed =
            plan.max_concurrent == 0 && self.customers.get(&who).is_some_and(|c| c.units.read);
        fits = fits && (weight > 0.0 || informed || sliced || self.random() < self.alone(who));
        let ceiling = |c: &mut Customer| c.take_ceiling(&plan, spread, request.units, now);
        fits = fits
            && (plan.hard_limit_rate_per_s <= 0.0
                || self.customers.get_mut(&who).is_some_and(ceiling));
        if fits {
            self.count(&request, &meters, weight, spread);
        }
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.denied = !fits;
        if !fits || held.calls == 0 || lost || (first && within) {
            return self.verdict(id);
        }
        let aim = self
            .settings
            .classes
            .get(request.class)
            .map_or(SECOND, |c| c.latency_target);
        self.due(now + (aim as f64 * WAIT_SHARE) as Micros, Due::Wait(id));
    }

    /// The store of a plan. Danger: attempts out of a dead gateway must not fill the cap for good: windows.
    fn store_of(&self, plan: usize, open: bool) -> Option<Store> {
        let plan = self.settings.plans.get(plan)?;
        let places = Store {
            rate: 0.0,
            burst: plan.max_concurrent.into(),
            window: OPEN_WINDOW,
            most: 0.0,
        };
        let (store, kept) = if open {
            (places, places.burst)
        } else {
            (Store::of_rate(plan), plan.rate_per_s)
        };
        (kept > 0.0).then_some(store)
    }

    /// The chance to pass without a verdict: as verdicts went; none where passing beyond would cost more.
    fn alone(&self, customer: CustomerId) -> f64 {
        let Some(known) = self.customers.get(&customer) else {
            return 1.0;
        };
        let loss = self.settings.plans.get(known.plan).map_or(0.0, |p| {
            (p.over_quota_cost_share - p.over_quota_value_share).max(0.0)
        });
        let even = loss / (1.0 + loss);
        ((known.granted(self.now) - even) / (1.0 - even)).clamp(0.0, 1.0)
    }

    /// The local count: who is over past its slice makes no call; and whether all fit that do as this one.
    fn fits_here(
        &mut self,
        who: CustomerId,
        how: (u32, f64, bool, bool),
        all: &[Counted],
    ) -> (bool, bool) {
        let (most, spread, sliced, alone) = how;
        let (now, lost) = (
            self.now,
            alone || self.counter_lost() || self.counter.pace < PACE_LOW,
        );
        let Some(customer) = self.customers.get_mut(&who) else {
            return (true, false);
        };
        let (mut fits, mut within) = (most == 0 || customer.out < i64::from(most), true);
        for (open, store, units) in all {
            let meter = customer.meter(*open);
            let room = meter.turn(*store, who, now);
            meter.asked += units;
            let past_slice = store.rate > 0.0 && meter.asked > (room / spread).max(*units);
            let told_lately = now - meter.called < VERDICT_FRESH;
            let known = units
                + if alone {
                    meter.expected(now)
                } else {
                    meter.estimate() + meter.carry
                };
            fits &= known <= room || !(lost || (meter.over && (past_slice || told_lately)));
            let fleet = if self.settings.even_share_first {
                meter.fleet
            } else {
                meter.unheard
            };
            let slice = fleet + (units * spread).min(room) <= room;
            fits &= !sliced || store.rate <= 0.0 || slice;
            within &= known <= room && slice;
        }
        (fits, within)
    }

    fn count(&mut self, request: &Request, meters: &[Counted], weight: f64, spread: f64) {
        let now = self.now;
        let (grant, mut counted) = (self.alone(request.customer), Vec::new());
        let likely = self
            .customers
            .get(&request.customer)
            .is_none_or(|c| c.granted(now) >= LIKELY);
        for &(open, store, units) in meters {
            let Some(customer) = self.customers.get_mut(&request.customer) else {
                return;
            };
            let meter = customer.meter(open);
            meter.unheard += if open { 0.0 } else { units * spread };
            meter.fleet += units * spread;
            if weight == 0.0 {
                // What the counter was not told goes along with the next call.
                meter.carry += if open { 0.0 } else { units };
                continue;
            }
            (meter.called, self.counter.next_probe) = (now, now + LOST_PROBE);
            // It adds its own if that is likely let through, and what is likely let through of others.
            let own = units
                * if open || likely {
                    1.0
                } else {
                    ADD_LEAST.max(self.settings.min_counted_share)
                };
            let others = units * (weight - 1.0) * grant;
            let (stands_for, add) = (
                own + others - units,
                own + others + std::mem::take(&mut meter.carry),
            );
            // Danger: the chance of few calls adds up over a window. Where those that one stood for do not
            // come, or are more, the next puts it right.
            meter.carry = if open { 0.0 } else { -others };
            meter.flying += add;
            meter.current += add;
            let (id, window) = (Some(request.id), meter.window);
            counted.push((open, window, if open { own + others } else { own }));
            let customer = request.customer;
            let call = Call {
                id,
                customer,
                window,
                add,
                stands_for,
                open,
                ..Call::default()
            };
            self.call(call, store.window);
        }
        self.customers
            .entry(request.customer)
            .and_modify(|c| c.out += 1);
        self.held
            .entry(request.id)
            .and_modify(|h| (h.opened, h.counted) = (true, counted));
    }

    /// The share of requests that make a call: more of those that may find the customer over at a cost.
    fn call_share(&self, request: &Request) -> f64 {
        let known = self.customers.get(&request.customer);
        let used = known.map_or(USE_GUESS, |c| c.units.used.max(c.open.used).clamp(0.0, 1.0));
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
        let favoured = self.counter.pace * PACE_FAVOUR.powf(used + stake - 1.0);
        favoured / (favoured + (1.0 - self.counter.pace))
    }

    fn call(&mut self, call: Call, length: Micros) {
        // All gateways compute the same name.
        let count = mix(call.customer.0.wrapping_mul(2) + u64::from(call.open));
        let name = CounterKey(mix(count ^ call.window as u64) >> 1);
        let call = Call {
            made: self.now,
            ..call
        };
        self.calls.entry(name).or_default().push_back(call);
        call.id
            .into_iter()
            .for_each(|id| _ = self.held.get_mut(&id).map(|h| h.calls += 1));
        self.actions.push(Action::AddToCounter {
            key: name,
            amount: call.add,
            expires_in: 2 * length + SECOND,
        });
    }

    pub(super) fn on_counted(&mut self, name: CounterKey, outcome: Outcome, total: f64) {
        let Some(queue) = self.calls.get_mut(&name) else {
            return;
        };
        let Some(call) = queue.pop_front() else {
            return;
        };
        if queue.is_empty() {
            self.calls.remove(&name);
        }
        self.counter_heard(
            outcome,
            self.now - call.made > self.settings.counter_timeout,
        );
        let denied = self.answer(call, outcome, total);
        let Some(id) = call.id else { return };
        let Some(held) = self.held.get_mut(&id).filter(|h| h.calls > 0) else {
            return;
        };
        held.denied |= denied;
        held.calls -= 1;
        if held.calls == 0 {
            if outcome == Outcome::Ok {
                self.learn_grant(id);
            }
            self.verdict(id);
        }
    }

    /// Danger: each of hundreds of gateways lets a customer's first requests pass before it has a verdict of
    /// its own. While the counter is crowded a verdict against a customer is told to all its gateways.
    fn learn_grant(&mut self, id: RequestId) {
        let Some((request, denied)) = self.held.get(&id).map(|h| (&h.request, h.denied)) else {
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
        known.grant += (f64::from(u8::from(!denied)) - known.grant) * GRANT_GAIN;
        let crowded = self.settings.can_notify_gateways && self.counter.pace < 1.0;
        if !denied || !crowded || now - known.told < TELL_EVERY {
            return;
        }
        known.told_over(now);
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
    pub(super) fn on_told(&mut self, notice: OverQuotaNotice) {
        let (now, booted) = (self.now, self.booted.unwrap_or(self.now));
        let unknown = || Customer::unknown(notice.plan, booted, 1.0);
        self.customers
            .entry(notice.customer)
            .or_insert_with(unknown)
            .told_over(now);
    }

    fn answer(&mut self, call: Call, outcome: Outcome, total: f64) -> bool {
        let (now, chance, grant) = (self.now, self.random(), self.alone(call.customer));
        let Some(plan) = self.customers.get(&call.customer).map(|c| c.plan) else {
            return false;
        };
        let Some(store) = self.store_of(plan, call.open) else {
            return false;
        };
        let Some(known) = self.customers.get_mut(&call.customer) else {
            return false;
        };
        let meter = known.meter(call.open);
        let room = meter.turn(store, call.customer, now);
        let present = call.window == meter.window;
        let strict = self.settings.even_share_first;
        let blind = strict || (!meter.read && chance >= grant);
        meter.flying = (meter.flying - if present { call.add.max(0.0) } else { 0.0 }).max(0.0);
        match outcome {
            Outcome::Ok if present => {
                // Danger: a give-back makes a count look fresh again; what still counts is added once.
                let first =
                    call.id.is_some() && (total - call.add).abs() < SAME * call.add && !meter.read;
                meter.read |= call.id.is_some();
                meter.debt = if call.carries { 0.0 } else { meter.debt };
                let (told, flowed) = (total, room - store.burst);
                let total = meter.learn(call.add, told, flowed, (store.rate, now));
                let total = total + meter.spill - call.stands_for;
                // Not all at once, and not while the first of the window may still be reading the one before.
                if !strict && flowed > store.rate * MISSING_AFTER && chance < MISSING_TOLD {
                    meter.tell_missing(told);
                }
                let over = total > room;
                meter.used = total / room.max(1e-9);
                // What is given back or read says nothing of who asks next.
                let asks = call.add > 0.0 || (call.id.is_some() && !call.open);
                meter.over = if asks { over } else { meter.over };
                if first && store.rate > 0.0 {
                    // The first to count in a window reads the total of the one before, for all.
                    let read = Call {
                        id: None,
                        window: call.window - 1,
                        add: 0.0,
                        stands_for: 0.0,
                        ..call
                    };
                    self.call(read, store.window);
                }
                over
            }
            Outcome::Ok if call.window + 1 == meter.window && call.add == 0.0 => {
                let (window, own) = (meter.window, if strict { 0.0 } else { meter.debt });
                let add = store.overhang(total).max(own);
                (meter.current, meter.flying) = (meter.current + add, meter.flying + add);
                if add > 0.0 {
                    self.call(
                        Call {
                            window,
                            add,
                            carries: true,
                            ..call
                        },
                        store.window,
                    );
                }
                false
            }
            Outcome::Ok => total - call.stands_for > room,
            // No verdict: the request passes, unless what is known shows the customer over.
            Outcome::TimedOut => blind || meter.expected(now) > room,
            // Nothing was added: what passes goes along with the next call. Danger: what was never added and
            // is given back leaves a counter that turns calls away below nothing.
            _ => {
                let held = call.id.and_then(|id| self.held.get_mut(&id));
                let units = held
                    .as_ref()
                    .filter(|_| !call.open)
                    .map_or(0.0, |h| h.request.units);
                let counted = held.map(|h| &mut h.counted);
                let own = counted.map_or(0.0, |c| {
                    c.extract_if(.., |c| c.0 == call.open).map(|c| c.2).sum()
                });
                if present {
                    meter.current -= call.add;
                    meter.carry += call.add - own;
                }
                let denied = blind || meter.expected(now) + units > room;
                meter.carry += if denied || !present { 0.0 } else { units };
                denied
            }
        }
    }

    /// Danger: a crowded counter taken for lost. One that turns calls away is alive and only asked less.
    fn counter_heard(&mut self, outcome: Outcome, slow: bool) {
        let lost = self.counter_lost();
        // Danger: one connection that breaks fails all calls on it at once, and the counter passes for lost.
        let unheard = !matches!(outcome, Outcome::Ok | Outcome::Rejected);
        let another = unheard && self.now - self.counter.failed >= FAILURES_APART;
        self.counter.failed = if another {
            self.now
        } else {
            self.counter.failed
        };
        let (factor, silent) = match outcome {
            Outcome::Ok if self.counter.climbs && !slow => (PACE_CLIMB, 0),
            Outcome::Ok if !slow => (PACE_RISE, 0),
            Outcome::Ok | Outcome::Rejected => (PACE_CUT, 0),
            _ => (
                PACE_CUT,
                self.counter.failures.saturating_add(u32::from(another)),
            ),
        };
        self.counter.failures = silent;
        self.counter.climbs &= outcome == Outcome::Ok && !slow;
        self.counter.pace = (self.counter.pace * factor).clamp(PACE_LEAST, 1.0);
        if lost != self.counter_lost() {
            self.log(
                if lost {
                    "counter is back"
                } else {
                    "counter lost: requests pass"
                }
                .to_string(),
            );
            (self.counter.pace, self.counter.climbs) = (self.first_pace(), true);
        }
    }

    /// All calls are answered, or the wait for them is over: then the request passes.
    pub(super) fn verdict(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.done) else {
            return;
        };
        held.calls = 0;
        if held.denied {
            self.give_back(id);
            self.refuse(id);
        } else {
            self.settle(id, true);
            self.place(id);
        }
    }

    /// What of its units was not added, or not used, is told at once. Danger: of many gateways each makes its
    /// next call for the customer windows later, and what passes on such verdicts is never counted.
    fn settle(&mut self, id: RequestId, used: bool) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let units = held.request.units * if used { 1.0 } else { TRACE };
        let added = held.counted.iter_mut().filter(|(open, ..)| !open);
        let spare: Vec<_> = added
            .map(|(_, at, own)| (*at, std::mem::replace(own, units) - units))
            .collect();
        for (window, units) in spare.into_iter().filter(|(_, units)| *units != 0.0) {
            self.add_back(id, false, window, units);
        }
    }

    /// Refused units are added back negatively, and a place among the attempts out is given up.
    pub(super) fn give_back(&mut self, id: RequestId) {
        self.close_open(id);
        self.settle(id, false);
    }

    fn add_back(&mut self, id: RequestId, open: bool, window: i64, units: f64) {
        let Some(request) = self.held.get(&id).map(|h| h.request.clone()) else {
            return;
        };
        let Some(store) = self.store_of(request.plan, open) else {
            return;
        };
        let (customer, lost) = (request.customer, self.counter_lost());
        let Some(meter) = self
            .customers
            .get_mut(&customer)
            .map(|known| known.meter(open))
        else {
            return;
        };
        meter.turn(store, customer, self.now);
        let present = window == meter.window;
        // A place is given up at once where they are scarce or no call follows soon, else with the next.
        let scarce = meter.current * 2.0 >= store.burst || meter.asked < store.burst;
        let waits = lost
            || if open {
                !scarce && units <= 1.0
            } else {
                units.abs() < LIKELY * request.units
            };
        // Danger: given back to a later window than it was counted in, the new one would grant it again.
        if present && (open || !waits) {
            meter.flying += (-units).max(0.0);
            meter.current = (meter.current - units).max(0.0);
        }
        let back = Call {
            customer,
            window,
            add: -units,
            open,
            ..Call::default()
        };
        match (present, waits) {
            (true, true) => meter.carry -= units,
            (false, _) if open => {}
            _ => self.call(back, store.window),
        }
    }

    pub(super) fn close_open(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.opened) else {
            return;
        };
        held.opened = false;
        let place = held
            .counted
            .iter()
            .position(|(open, _, _)| *open)
            .map(|n| held.counted.remove(n));
        self.customers
            .entry(held.request.customer)
            .and_modify(|c| c.out -= 1);
        if let Some((open, window, units)) = place {
            self.add_back(id, open, window, units);
        }
    }
}
