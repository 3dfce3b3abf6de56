//! What stands around the gateways: servers, the counter, and the quotas as one who saw everything would keep them.

use std::collections::{BTreeMap, VecDeque};

use streamarch::{CounterKey, Outcome, Plan, Settings};

use crate::Micros;

const SECOND: f64 = 1e6;
/// Work of a request on a core that is warm.
pub const WORK: Micros = 100_000;
/// Cores of a server.
const CORES: usize = 2;
/// A server turns away what would wait longer than this.
const LINE: Micros = 2_000_000;

/// A server: two cores and a line before them.
#[derive(Clone, Debug, Default)]
pub struct Node {
    free: [Micros; CORES],
    /// When it started; 0 for long ago.
    started: Micros,
    /// Connections to it never come up.
    pub silent: bool,
    /// Nobody listens at its address any more.
    pub gone: bool,
    /// When work was sent to it while it was cold.
    cold: VecDeque<Micros>,
    /// The largest share that any window took of what makes it fall over.
    pub pushed: f64,
}

impl Node {
    /// A server that starts now, and is cold.
    pub fn started(now: Micros) -> Node {
        Node {
            free: [now; CORES],
            started: now,
            ..Node::default()
        }
    }

    /// It is there again, and cold.
    pub fn restart(&mut self, now: Micros) {
        *self = Node {
            pushed: self.pushed,
            ..Node::started(now)
        };
    }

    /// The share of its capacity that it has.
    fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = (now - self.started) as f64 / settings.warm_up_duration as f64;
        (settings.cold_capacity_share + (1.0 - settings.cold_capacity_share) * age).min(1.0)
    }

    /// Takes a request; gives the time at which it is answered, or none if it is turned away.
    pub fn take(&mut self, now: Micros, settings: &Settings) -> Option<Micros> {
        let warmth = self.warmth(now, settings);
        if warmth < 1.0 {
            let window = settings.overload_window;
            self.cold.push_back(now);
            while self.cold.front().is_some_and(|at| now - at >= window) {
                self.cold.pop_front();
            }
            let sent = (self.cold.len() as i64 * WORK) as f64;
            let falls = settings.overload_multiple * CORES as f64 * warmth * window as f64;
            self.pushed = self.pushed.max(sent / falls);
        }
        let core = self.free.iter_mut().min()?;
        let begins = (*core).max(now);
        if begins - now > LINE {
            return None;
        }
        *core = begins + (WORK as f64 / warmth) as Micros;
        Some(*core)
    }
}

/// The counter: one line of calls, each of which takes its time.
#[derive(Debug)]
pub struct Counter {
    call: Micros,
    line: Micros,
    free: Micros,
    totals: BTreeMap<CounterKey, f64>,
}

impl Counter {
    /// One that bears so many calls a second, and turns a call away that would wait longer than `line`.
    pub fn new(per_s: f64, line: Micros) -> Counter {
        Counter {
            call: (SECOND / per_s) as Micros,
            line,
            free: 0,
            totals: BTreeMap::new(),
        }
    }

    /// A call: how long its answer takes, and what it says.
    pub fn add(&mut self, now: Micros, name: CounterKey, add: f64) -> (Micros, Outcome, f64) {
        let waits = (self.free - now).max(0);
        if waits > self.line {
            return (self.call, Outcome::Rejected, 0.0);
        }
        self.free = now + waits + self.call;
        let total = self.totals.entry(name).or_default();
        *total += add;
        (waits + self.call, Outcome::Ok, *total)
    }
}

/// A customer's store, as one who saw all requests would keep it.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    level: f64,
    at: Micros,
}

impl Quota {
    /// A full one.
    pub fn full(plan: &Plan, now: Micros) -> Quota {
        Quota {
            level: plan.burst,
            at: now,
        }
    }

    fn fill(&mut self, plan: &Plan, now: Micros) {
        self.level =
            (self.level + plan.rate_per_s * (now - self.at) as f64 / SECOND).min(plan.burst);
        self.at = now;
    }

    /// Units are sent on: whether they are inside the quota.
    pub fn take(&mut self, plan: &Plan, now: Micros, units: f64) -> bool {
        self.fill(plan, now);
        let inside = units <= self.level;
        self.level -= if inside { units } else { 0.0 };
        inside
    }

    /// Half of it or more is there.
    pub fn has_room(&mut self, plan: &Plan, now: Micros) -> bool {
        self.fill(plan, now);
        self.level * 2.0 >= plan.burst
    }
}
