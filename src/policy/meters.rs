//! One customer's counts, as far as this gateway knows them.

use super::*;

/// Time constant, in seconds, of what other gateways let through of a customer.
const OTHERS_TAU: f64 = 0.5;

/// A quota as a store: rate in units a second, most units held, and the window of its count.
#[derive(Clone, Copy)]
pub(super) struct Store {
    pub(super) rate: f64,
    pub(super) burst: f64,
    pub(super) window: Micros,
    pub(super) most: f64,
}

impl Store {
    /// Units against a rate.
    pub(super) fn of_rate(plan: &Plan) -> Store {
        let &Plan {
            rate_per_s: rate,
            burst,
            max_carryover: repaid,
            ..
        } = plan;
        Store {
            rate,
            burst,
            window: plan.window_length(),
            most: burst + repaid,
        }
    }

    fn fill(&self) -> f64 {
        self.rate * self.window as f64 / SECOND as f64
    }

    /// What of a window's total still counts in the next: what exceeds its filling, as far as the store goes.
    pub(super) fn overhang(&self, total: f64) -> f64 {
        (total - self.fill()).clamp(0.0, self.most)
    }
}

/// A count: of attempts out or of units, its store, and what a request counts.
pub(super) type Counted = (bool, Store, f64);

/// Number of the window and the share of it left. Danger: demand crowds where all customers turn at once.
pub(super) fn window_at(now: Micros, length: Micros, customer: CustomerId) -> (i64, f64) {
    let shifted = now + (mix(customer.0) % length as u64) as Micros;
    (
        shifted.div_euclid(length),
        1.0 - shifted.rem_euclid(length) as f64 / length as f64,
    )
}

impl Meter {
    /// Brings the window up to `now`; gives what may have been counted: a full store and what flowed in.
    pub(super) fn turn(&mut self, store: Store, customer: CustomerId, now: Micros) -> f64 {
        let (window, left) = window_at(now, store.window, customer);
        let flowed = store.fill() * (1.0 - left);
        if window != self.window {
            let next = window == self.window + 1 && store.rate > 0.0;
            // Danger: units not yet added after an outage must not fill the new window.
            let known = (self.estimate() + self.carry, self.fleet, self.unheard);
            let (told, fleet, unheard) = if next { known } else { (0.0, 0.0, 0.0) };
            (self.debt, self.fleet) = (store.overhang(told), store.overhang(told.max(fleet)));
            (self.window, self.current, self.asked, self.spill) = (window, self.debt, 0.0, 0.0);
            (self.own, self.flying, self.carry, self.read) = (0.0, 0.0, 0.0, false);
            (self.told, self.foreign, self.unheard) = (now, 0.0, store.overhang(unheard));
            // Danger: verdicts clearing together at the turn let held-back demand go at once.
            self.over &= next;
        }
        store.burst + flowed
    }

    /// The plan changed in service: what is left stays, as far as the new store holds it. Danger: the new
    /// figures alone would grant a second burst in the window, or take back what is left.
    pub(super) fn replan(&mut self, old: Store, new: Store, customer: CustomerId, now: Micros) {
        let room = self.turn(old, customer, now);
        let flowed = new.fill() * (1.0 - window_at(now, new.window, customer).1);
        let left = room - self.estimate() - self.carry;
        self.spill += new.burst + flowed - room + (left - new.burst).max(0.0);
    }

    /// The sliding window: what still counts of the window before is part of the present total.
    pub(super) fn estimate(&self) -> f64 {
        self.current + self.spill
    }

    /// What is known here, and what others are likely to have added since the last total came in.
    pub(super) fn expected(&self, now: Micros) -> f64 {
        self.estimate() + self.carry + self.others * (now - self.told) as f64 / SECOND as f64
    }

    /// A total came in. Danger: an emptied counter shows less than was added here; own adds then stand in.
    pub(super) fn learn(
        &mut self,
        add: f64,
        total: f64,
        flowed: f64,
        (rate, now): (f64, Micros),
    ) -> f64 {
        self.own += add;
        // Danger: the one who was to add what the window before left over may have failed: it stands in here.
        let (total, least) = (total.max(self.own), self.own + self.debt);
        let (foreign, since) = (total - self.own, (now - self.told) as f64 / SECOND as f64);
        // The first total of a window also holds what the one before left over, which is no use of others.
        if self.read && since > 0.0 {
            let others = ((foreign - self.foreign) / since).clamp(0.0, rate);
            self.others += (others - self.others) * (1.0 - (-since / OTHERS_TAU).exp());
        }
        (self.told, self.foreign, self.unheard) = (now, foreign, 0.0);
        let total = total.max(least);
        self.current = total + self.flying;
        // Danger: an idle spell must not let a customer save more than its store holds.
        self.spill = self.spill.max(flowed - (total - add));
        total
    }

    /// What stands in here for what the counter lacks goes along with the next call: others lack it too.
    pub(super) fn tell_missing(&mut self, total: f64) {
        let missing = (self.own + self.debt - total).max(0.0);
        let left_over = missing.min(self.debt);
        (self.debt, self.own) = (self.debt - left_over, self.own - (missing - left_over));
        (self.current, self.carry) = (self.current - missing, self.carry + missing);
    }
}

impl Customer {
    pub(super) fn meter(&mut self, open: bool) -> &mut Meter {
        if open {
            &mut self.open
        } else {
            &mut self.units
        }
    }

    /// The share that its verdicts let through, less what notices to all its gateways keep out for a while.
    pub(super) fn granted(&self, now: Micros) -> f64 {
        self.grant * self.let_in(now)
    }

    fn let_in(&self, now: Micros) -> f64 {
        1.0 - self.kept_out * (-((now - self.told) as f64) / TOLD_TAU).exp()
    }

    /// Danger: who stays over must not have back by the next notice what the last took. Told over is seen.
    pub(super) fn told_over(&mut self, now: Micros) {
        (self.kept_out, self.told, self.seen) =
            (1.0 - self.let_in(now) * (1.0 - GRANT_GAIN), now, now);
    }

    /// The hard ceiling, kept by each gateway alone: an even share, empty at its start: a restart fills none.
    pub(super) fn take_ceiling(
        &mut self,
        plan: &Plan,
        spread: f64,
        units: f64,
        now: Micros,
    ) -> bool {
        let flow =
            (now - self.ceiling_at) as f64 / SECOND as f64 * plan.hard_limit_rate_per_s / spread;
        (self.ceiling, self.ceiling_at) = (
            (self.ceiling + flow).min(plan.hard_limit_burst / spread),
            now,
        );
        let fits = self.ceiling >= units;
        self.ceiling -= if fits { units } else { 0.0 };
        fits
    }
}
