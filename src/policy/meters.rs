//! The counters of one customer, as far as this gateway knows them.

use super::*;

/// Time constant, in seconds, of the rate at which other gateways admit a customer.
const OTHERS_RATE_TAU_S: f64 = 0.5;

/// A quota as a token bucket, counted in windows.
#[derive(Clone, Copy)]
pub(super) struct TokenBucket {
    pub(super) rate_per_s: f64,
    pub(super) burst: f64,
    pub(super) window: Micros,
    /// Maximum overuse of a window that counts in the next one.
    pub(super) max_carryover: f64,
}

impl TokenBucket {
    /// The bucket of a plan's units.
    pub(super) fn of_plan(plan: &Plan) -> TokenBucket {
        let &Plan {
            rate_per_s,
            burst,
            max_carryover,
            ..
        } = plan;
        TokenBucket {
            rate_per_s,
            burst,
            window: plan.window_length(),
            max_carryover: burst + max_carryover,
        }
    }

    fn refill(&self) -> f64 {
        self.rate_per_s * self.window as f64 / SECOND as f64
    }

    /// What of a window's total counts in the next window: the part above the refill, up to the maximum.
    pub(super) fn carryover(&self, total: f64) -> f64 {
        (total - self.refill()).clamp(0.0, self.max_carryover)
    }
}

/// A counter that a request is charged to: whether it counts attempts in flight (otherwise units), its
/// bucket, and the amount.
pub(super) type Charge = (bool, TokenBucket, f64);

/// Index of the current window and the share of it that is left. The boundaries are offset by customer: if
/// the windows of all customers turned at once, their demand would bunch up there.
pub(super) fn window_at(now: Micros, length: Micros, customer: CustomerId) -> (i64, f64) {
    let shifted = now + (splitmix64(customer.0) % length as u64) as Micros;
    (
        shifted.div_euclid(length),
        1.0 - shifted.rem_euclid(length) as f64 / length as f64,
    )
}

impl Meter {
    /// Moves on to the window at `now`. Returns the total up to which the customer is within quota: a full
    /// bucket and what has been refilled in the window.
    pub(super) fn advance(
        &mut self,
        bucket: TokenBucket,
        customer: CustomerId,
        now: Micros,
    ) -> f64 {
        let (window, share_left) = window_at(now, bucket.window, customer);
        let refilled = bucket.refill() * (1.0 - share_left);
        if window != self.window_index {
            let is_next = window == self.window_index + 1 && bucket.rate_per_s > 0.0;
            // Units not yet added after an outage count through the carryover only; they must not fill the
            // new window.
            let previous = (
                self.estimate() + self.uncounted,
                self.extrapolated_in_window,
                self.extrapolated_since_total,
            );
            let (total, in_window, since_total) = if is_next { previous } else { (0.0, 0.0, 0.0) };
            (self.carryover, self.extrapolated_in_window) = (
                bucket.carryover(total),
                bucket.carryover(total.max(in_window)),
            );
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
            ) = (now, 0.0, bucket.carryover(since_total));
            // The over-quota flag stays: cleared for all at the turn, it would release the held-back demand
            // at once.
            self.over_quota &= is_next;
        }
        bucket.burst + refilled
    }

    /// Applies a change of plan at run time: the tokens left are kept, as far as the new bucket holds them.
    /// Using the new figures alone would grant a second burst in the window, or take away tokens that are
    /// left.
    pub(super) fn change_plan(
        &mut self,
        old: TokenBucket,
        new: TokenBucket,
        customer: CustomerId,
        now: Micros,
    ) {
        let room = self.advance(old, customer, now);
        let refilled = new.refill() * (1.0 - window_at(now, new.window, customer).1);
        let tokens_left = room - self.estimate() - self.uncounted;
        self.overflow += new.burst + refilled - room + (tokens_left - new.burst).max(0.0);
    }

    /// The sliding-window estimate; the carryover of the previous window is part of the known total.
    pub(super) fn estimate(&self) -> f64 {
        self.known_total + self.overflow
    }

    /// The estimate with units not yet added, and with what others have probably added since the last total.
    pub(super) fn expected(&self, now: Micros) -> f64 {
        self.estimate()
            + self.uncounted
            + self.others_rate_per_s * (now - self.last_total_at) as f64 / SECOND as f64
    }

    /// Records a total from the counter and returns the total to judge by. A counter that lost its data shows
    /// less than this gateway added; the gateway's own units are then used instead.
    pub(super) fn record_total(
        &mut self,
        amount: f64,
        total: f64,
        refilled: f64,
        (rate_per_s, now): (f64, Micros),
    ) -> f64 {
        self.own_confirmed += amount;
        // The gateway that was to add the carryover of the previous window may have failed: it counts here
        // anyway.
        let (total, min_total) = (
            total.max(self.own_confirmed),
            self.own_confirmed + self.carryover,
        );
        let (added_by_others, elapsed_s) = (
            total - self.own_confirmed,
            (now - self.last_total_at) as f64 / SECOND as f64,
        );
        // The first total of a window also contains the carryover, which is not use by others.
        if self.total_received && elapsed_s > 0.0 {
            let others_rate =
                ((added_by_others - self.added_by_others) / elapsed_s).clamp(0.0, rate_per_s);
            self.others_rate_per_s += (others_rate - self.others_rate_per_s)
                * (1.0 - (-elapsed_s / OTHERS_RATE_TAU_S).exp());
        }
        (
            self.last_total_at,
            self.added_by_others,
            self.extrapolated_since_total,
        ) = (now, added_by_others, 0.0);
        let total = total.max(min_total);
        self.known_total = total + self.pending;
        // After an idle period a customer must not have saved more than its bucket holds.
        self.overflow = self.overflow.max(refilled - (total - amount));
        total
    }

    /// Has the next call add what the counter's `total` lacks: other gateways do not know of it either.
    pub(super) fn restore_missing(&mut self, total: f64) {
        let missing = (self.own_confirmed + self.carryover - total).max(0.0);
        let missing_carryover = missing.min(self.carryover);
        (self.carryover, self.own_confirmed) = (
            self.carryover - missing_carryover,
            self.own_confirmed - (missing - missing_carryover),
        );
        (self.known_total, self.uncounted) = (self.known_total - missing, self.uncounted + missing);
    }
}

impl Customer {
    /// The meter of attempts in flight, or that of units.
    pub(super) fn meter(&mut self, concurrency: bool) -> &mut Meter {
        if concurrency {
            &mut self.concurrency
        } else {
            &mut self.units
        }
    }

    /// The share of its requests to admit: by the counter's totals, reduced for a while by notices between
    /// gateways.
    pub(super) fn effective_admit_share(&self, now: Micros) -> f64 {
        self.admit_share * self.share_after_notices(now)
    }

    fn share_after_notices(&self, now: Micros) -> f64 {
        1.0 - self.notice_reject_share
            * (-((now - self.last_notice_at) as f64) / NOTICE_DECAY_US).exp()
    }

    /// Records a notice. Notices accumulate, so that a customer that stays over quota does not regain by the
    /// next notice what the last one took away. A notice also counts as activity.
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

    /// Takes units from the hard limit and returns whether they were available. Each gateway keeps an even
    /// share of the limit by itself, empty at its start, so that a restart does not refill it.
    pub(super) fn take_hard_limit(
        &mut self,
        plan: &Plan,
        customer_gateways: f64,
        units: f64,
        now: Micros,
    ) -> bool {
        let refilled = (now - self.hard_limit_refilled_at) as f64 / SECOND as f64
            * plan.hard_limit_rate_per_s
            / customer_gateways;
        (self.hard_limit_tokens, self.hard_limit_refilled_at) = (
            (self.hard_limit_tokens + refilled).min(plan.hard_limit_burst / customer_gateways),
            now,
        );
        let fits = self.hard_limit_tokens >= units;
        self.hard_limit_tokens -= if fits { units } else { 0.0 };
        fits
    }
}
