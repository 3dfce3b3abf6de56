//! The shared counter: totals by name, kept only by the replica that holds the lease on that role. A new holder starts with
//! no totals.

use std::collections::HashMap;

use protocol::messages::CounterAdd;

use crate::limits;

/// One total.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    units: f64,
    /// The total is dropped at this time.
    expires_at: i64,
}

/// The totals of one term.
#[derive(Clone, Debug, Default)]
pub struct SharedCounter {
    totals: HashMap<u64, Total>,
    next_sweep: i64,
    /// The term of the lease under which the totals were counted.
    term: u64,
    last_add_at: Option<i64>,
    /// Nothing is counted before this time.
    suspended_until: Option<i64>,
}

impl SharedCounter {
    /// The clock by which windows are named has jumped ahead by `duration`, to names under which nothing was counted yet. If
    /// anything was counted recently, counting is suspended for as long: otherwise a tenant would have both windows.
    pub fn suspend(&mut self, now: i64, duration: i64) {
        let last_add_at = self.last_add_at;
        if last_add_at.is_some_and(|last| now - last < limits::QUOTA_WINDOW) {
            self.suspended_until = self.suspended_until.max(Some(now + duration));
        }
    }

    /// Whether counting is suspended.
    pub fn is_suspended(&self, now: i64) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Adds in order, and gives the total after each addition. Where only a share of the limiters reaches the counter, the
    /// totals are given as if the others had added as much: they use even slices of the quotas without it.
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
        // An addition that is not a number must not spoil the total for good.
        if add.units.is_finite() {
            total.units += add.units;
        }
        // The first limiter must find its own addition alone: it carries over what is left of the window before.
        if is_first {
            total.units
        } else {
            total.units / share
        }
    }

    fn sweep(&mut self, now: i64) {
        if now >= self.next_sweep {
            self.next_sweep = now + limits::COUNTER_SWEEP_INTERVAL;
            self.totals.retain(|_, total| total.expires_at > now);
        }
    }
}

#[cfg(test)]
mod tests;
