//! One customer's counts, as far as this gateway knows them.

use super::*;

/// Time constant, in seconds, of what other gateways let through of a customer.
const OTHERS_RATE_TAU_S: f64 = 0.5;

/// A quota as a store: rate in units a second, most units held, and the window of its count.
#[derive(Clone, Copy)]
pub(super) struct TokenBucket {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) window: Micros,
    pub(super) max_carryover: f64,
}

impl TokenBucket {
    /// Units against a rate.
    pub(super) fn of_plan(plan: &Plan) -> TokenBucket {
        let &Plan {
            rate_per_s: rate,
            burst,
            max_carryover: repaid,
            ..
        } = plan;
        TokenBucket {
            rate_per_s: rate,
            burst,
            window: plan.window_length(),
            max_carryover: burst + repaid,
        }
    }

    fn refill(&self) -> f64 {
        self.rate_per_s * self.window as f64 / SECOND as f64
    }

    /// What of a window's total still counts in the next: what exceeds its filling, as far as the store goes.
    pub(super) fn carryover(&self, total: f64) -> f64 {
        (total - self.refill()).clamp(0.0, self.max_carryover)
    }
}

/// A count: of attempts out or of units, its store, and what a request counts.
pub(super) type Charge = (bool, TokenBucket, f64);

/// Number of the window and the share of it left. Danger: demand crowds where all customers turn at once.
pub(super) fn window_at(now: Micros, length: Micros, customer: CustomerId) -> (i64, f64) {
    let shifted = now + (splitmix64(customer.0) % length as u64) as Micros;
    (
        shifted.div_euclid(length),
        1.0 - shifted.rem_euclid(length) as f64 / length as f64,
    )
}

impl Meter {
    /// Brings the window up to `now`; gives what may have been counted: a full store and what flowed in.
    pub(super) fn advance(&mut self, store: TokenBucket, customer: CustomerId, now: Micros) -> f64 {
        let (window, left) = window_at(now, store.window, customer);
        let flowed = store.refill() * (1.0 - left);
        if window != self.window_index {
            let next = window == self.window_index + 1 && store.rate_per_s > 0.0;
            // Danger: units not yet added after an outage must not fill the new window.
            let known = (
                self.estimate() + self.uncounted,
                self.extrapolated_in_window,
                self.extrapolated_since_total,
            );
            let (told, fleet, unheard) = if next { known } else { (0.0, 0.0, 0.0) };
            (self.carryover, self.extrapolated_in_window) =
                (store.carryover(told), store.carryover(told.max(fleet)));
            (
                self.window_index,
                self.known_total,
                self.requested,
                self.overflow,
            ) = (window, self.carryover, 0.0, 0.0);
            (
                self.own_confirmed,
                self.pending,
                self.uncounted,
                self.total_received,
            ) = (0.0, 0.0, 0.0, false);
            (
                self.last_total_at,
                self.added_by_others,
                self.extrapolated_since_total,
            ) = (now, 0.0, store.carryover(unheard));
            // Danger: verdicts clearing together at the turn let held-back demand go at once.
            self.over_quota &= next;
        }
        store.burst + flowed
    }

    /// The plan changed in service: what is left stays, as far as the new store holds it. Danger: the new
    /// figures alone would grant a second burst in the window, or take back what is left.
    pub(super) fn change_plan(
        &mut self,
        old: TokenBucket,
        new: TokenBucket,
        customer: CustomerId,
        now: Micros,
    ) {
        let room = self.advance(old, customer, now);
        let flowed = new.refill() * (1.0 - window_at(now, new.window, customer).1);
        let left = room - self.estimate() - self.uncounted;
        self.overflow += new.burst + flowed - room + (left - new.burst).max(0.0);
    }

    /// The sliding window: what still counts of the window before is part of the present total.
    pub(super) fn estimate(&self) -> f64 {
        self.known_total + self.overflow
    }

    /// What is known here, and what others are likely to have added since the last total came in.
    pub(super) fn expected(&self, now: Micros) -> f64 {
        self.estimate()
            + self.uncounted
            + self.others_rate_per_s * (now - self.last_total_at) as f64 / SECOND as f64
    }

    /// A total came in. Danger: an emptied counter shows less than was added here; own adds then stand in.
    pub(super) fn record_total(
        &mut self,
        add: f64,
        total: f64,
        flowed: f64,
        (rate, now): (f64, Micros),
    ) -> f64 {
        self.own_confirmed += add;
        // Danger: the one who was to add what the window before left over may have failed: it stands in here.
        let (total, least) = (
            total.max(self.own_confirmed),
            self.own_confirmed + self.carryover,
        );
        let (foreign, since) = (
            total - self.own_confirmed,
            (now - self.last_total_at) as f64 / SECOND as f64,
        );
        // The first total of a window also holds what the one before left over, which is no use of others.
        if self.total_received && since > 0.0 {
            let others = ((foreign - self.added_by_others) / since).clamp(0.0, rate);
            self.others_rate_per_s +=
                (others - self.others_rate_per_s) * (1.0 - (-since / OTHERS_RATE_TAU_S).exp());
        }
        (
            self.last_total_at,
            self.added_by_others,
            self.extrapolated_since_total,
        ) = (now, foreign, 0.0);
        let total = total.max(least);
        self.known_total = total + self.pending;
        // Danger: an idle spell must not let a customer save more than its store holds.
        self.overflow = self.overflow.max(flowed - (total - add));
        total
    }

    /// What stands in here for what the counter lacks goes along with the next call: others lack it too.
    pub(super) fn restore_missing(&mut self, total: f64) {
        let missing = (self.own_confirmed + self.carryover - total).max(0.0);
        let left_over = missing.min(self.carryover);
        (self.carryover, self.own_confirmed) = (
            self.carryover - left_over,
            self.own_confirmed - (missing - left_over),
        );
        (self.known_total, self.uncounted) = (self.known_total - missing, self.uncounted + missing);
    }
}

impl Customer {
    pub(super) fn meter(&mut self, open: bool) -> &mut Meter {
        if open {
            &mut self.concurrency
        } else {
            &mut self.units
        }
    }

    /// The share that its verdicts let through, less what notices to all its gateways keep out for a while.
    pub(super) fn effective_admit_share(&self, now: Micros) -> f64 {
        self.admit_share * self.share_after_notices(now)
    }

    fn share_after_notices(&self, now: Micros) -> f64 {
        1.0 - self.notice_reject_share
            * (-((now - self.last_notice_at) as f64) / NOTICE_DECAY_US).exp()
    }

    /// Danger: who stays over must not have back by the next notice what the last took. Told over is seen.
    pub(super) fn record_notice(&mut self, now: Micros) {
        (
            self.notice_reject_share,
            self.last_notice_at,
            self.last_seen_at,
        ) = (
            1.0 - self.share_after_notices(now) * (1.0 - ADMIT_SHARE_GAIN),
            now,
            now,
        );
    }

    /// The hard ceiling, kept by each gateway alone: an even share, empty at its start: a restart fills none.
    pub(super) fn take_hard_limit(
        &mut self,
        plan: &Plan,
        spread: f64,
        units: f64,
        now: Micros,
    ) -> bool {
        let flow = (now - self.hard_limit_refilled_at) as f64 / SECOND as f64
            * plan.hard_limit_rate_per_s
            / spread;
        (self.hard_limit_tokens, self.hard_limit_refilled_at) = (
            (self.hard_limit_tokens + flow).min(plan.hard_limit_burst / spread),
            now,
        );
        let fits = self.hard_limit_tokens >= units;
        self.hard_limit_tokens -= if fits { units } else { 0.0 };
        fits
    }
}
