//! The shared count: numbers by name, kept by the holder of the duty alone. A fresh holder starts empty.

use std::collections::HashMap;

use protocol::messages::CounterAdd;

use crate::limits;

/// The numbers.
#[derive(Clone, Debug, Default)]
pub struct SharedCounter {
    /// The total, and when it is forgotten.
    totals: HashMap<u64, (f64, i64)>,
    next_sweep: i64,
    /// The term that they are of.
    term: u64,
    /// The last add.
    last_add_at: Option<i64>,
    /// Nothing is counted before then.
    suspended_until: Option<i64>,
}

impl SharedCounter {
    /// The limiters' clock has gone on by so much at once, and its windows have names under which nothing was counted. Where
    /// something was under the old ones lately, nothing is until as much time has passed: else a tenant had both.
    pub fn suspend(&mut self, now: i64, span: i64) {
        if self
            .last_add_at
            .is_some_and(|last| now - last < limits::QUOTA_WINDOW)
        {
            self.suspended_until = self.suspended_until.max(Some(now + span));
        }
    }

    /// Nothing is counted now.
    pub fn is_suspended(&self, now: i64) -> bool {
        self.suspended_until.is_some_and(|held| now < held)
    }

    /// Adds in order; gives each total after its add. Where only a share of the limiters reaches the count, totals are told
    /// as if the others had added like these: they let even slices pass without it.
    pub fn add(&mut self, now: i64, term: u64, share: f64, adds: &[CounterAdd]) -> Vec<f64> {
        if self.term != term {
            *self = SharedCounter {
                term,
                suspended_until: self.suspended_until,
                ..SharedCounter::default()
            };
        }
        self.last_add_at = Some(now);
        if now >= self.next_sweep {
            self.next_sweep = now + limits::COUNTER_SWEEP_INTERVAL;
            self.totals.retain(|_, (_, until)| *until > now);
        }
        let one = |add: &CounterAdd| {
            let number = self.totals.entry(add.counter).or_insert((0.0, 0));
            if number.1 <= now {
                *number = (0.0, now.saturating_add(add.ttl.max(0)));
            }
            // What is no number must not spoil the total for good.
            let alone = number.0 == 0.0;
            number.0 += if add.units.is_finite() {
                add.units
            } else {
                0.0
            };
            // Who adds first must find its own add alone: it carries over what the window before left.
            if alone { number.0 } else { number.0 / share }
        };
        adds.iter().map(one).collect()
    }
}

#[cfg(test)]
mod tests;
