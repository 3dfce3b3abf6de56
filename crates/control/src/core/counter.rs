//! The shared counter: totals by counter id, kept only by the replica that holds the lease on that role. A new holder
//! starts without totals.

use std::collections::HashMap;

use protocol::messages::CounterAdd;

use crate::limits;

/// The total of one counter.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    units: f64,
    /// The time at which the total expires, in microseconds.
    expires_at: i64,
}

/// The totals of one term.
#[derive(Clone, Debug, Default)]
pub struct SharedCounter {
    totals: HashMap<u64, Total>,
    next_sweep_at: i64,
    /// The term of the lease under which the totals were counted.
    term: u64,
    last_add_at: Option<i64>,
    /// Counting is suspended until this time.
    suspended_until: Option<i64>,
}

impl SharedCounter {
    /// Handles a jump of the clock by which windows are numbered, ahead by `duration` microseconds to numbers without
    /// any counts. If there were recent additions, counting is suspended for the same time: otherwise a tenant could
    /// use the quotas of both windows.
    pub fn suspend(&mut self, now: i64, duration: i64) {
        let last_add_at = self.last_add_at;
        if last_add_at.is_some_and(|last_add_at| now - last_add_at < limits::QUOTA_WINDOW) {
            self.suspended_until = self.suspended_until.max(Some(now + duration));
        }
    }

    /// Whether counting is suspended.
    pub fn is_suspended(&self, now: i64) -> bool {
        self.suspended_until
            .is_some_and(|suspended_until| now < suspended_until)
    }

    /// Applies the additions in order. Returns the total after each of them. If only `share` of the limiters reaches
    /// the counter, the totals are extrapolated as if the others had added in proportion: they use even slices of the
    /// quotas without it.
    pub fn add(&mut self, now: i64, term: u64, share: f64, adds: &[CounterAdd]) -> Vec<f64> {
        if self.term != term {
            *self = SharedCounter {
                term,
                suspended_until: self.suspended_until,
                ..SharedCounter::default()
            };
        }
        self.last_add_at = Some(now);
        self.sweep(now);
        let totals = adds.iter().map(|add| self.add_one(now, share, add));
        totals.collect()
    }

    fn add_one(&mut self, now: i64, share: f64, add: &CounterAdd) -> f64 {
        let total = self.totals.entry(add.counter).or_default();
        if total.expires_at <= now {
            *total = Total {
                units: 0.0,
                expires_at: now.saturating_add(add.ttl_us.max(0)),
            };
        }
        let is_first = total.units == 0.0;
        // An addition that is not finite would make the total unusable for good.
        if add.units.is_finite() {
            total.units += add.units;
        }
        // The first addition is returned unchanged: its limiter carries over the remainder of the previous window.
        if is_first {
            total.units
        } else {
            total.units / share
        }
    }

    fn sweep(&mut self, now: i64) {
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + limits::COUNTER_SWEEP_INTERVAL;
            self.totals.retain(|_, total| total.expires_at > now);
        }
    }
}

#[cfg(test)]
mod tests;
