//! A single node whose processor cannot keep up with the offered load, on a simulated clock.
//!
//! The node works like its host: each iteration of the event loop reads what arrived during the one
//! before and processes it in order. An admitted request has a fixed cost, a rejected one a tenth
//! of it. Input waits until its iteration begins.

use std::fmt::Write;

use overload::overload_detector::OverloadDetector;
use overload::priority::{self, BANDS};
use overload::{EVALUATION_INTERVAL, Micros};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Cost of an admitted request: the node can serve 500 per second.
const ADMITTED_COST: Micros = 2_000;
/// Cost of a rejected request: the node can reject 5,000 per second.
const REJECTED_COST: Micros = ADMITTED_COST / 10;
/// Shortest duration of an iteration.
const MIN_ITERATION: Micros = 500;

/// Counts of one second.
#[derive(Default)]
struct Window {
    /// By tier: 0 and 2.
    offered: [f64; 2],
    admitted: [f64; 2],
    max_wait: Micros,
}

struct Node {
    detector: OverloadDetector,
    /// Requests are rejected as the detector decides; otherwise all are admitted.
    sheds: bool,
    now: Micros,
    /// Arrivals until this time have been read.
    read_until: Micros,
    next_evaluation_at: Micros,
    /// Requests that arrived and are not processed yet, with a fraction.
    pending: [f64; 2],
    last_id: u64,
    /// One entry per second.
    windows: Vec<Window>,
    log: String,
}

impl Node {
    fn new(sheds: bool) -> Node {
        let detector = OverloadDetector::default();
        let (pending, windows) = ([0.0; 2], Vec::new());
        Node {
            detector,
            sheds,
            now: 0,
            read_until: 0,
            next_evaluation_at: EVALUATION_INTERVAL,
            pending,
            last_id: 0,
            windows,
            log: String::new(),
        }
    }

    /// Runs for `duration` with these rates of requests per second of tiers 0 and 2.
    fn run(&mut self, duration: Micros, rates: [f64; 2]) {
        let end = self.now + duration;
        while self.now < end {
            let (started_at, wait) = (self.now, self.now - self.read_until);
            self.read_until = self.now;
            let second = (started_at / SECOND) as usize;
            self.windows
                .resize_with(self.windows.len().max(second + 1), Window::default);
            let arrived = |pending: f64, rate: f64| pending + rate * wait as f64 / SECOND as f64;
            self.pending = [0, 1].map(|kind| arrived(self.pending[kind], rates[kind]));
            let count = self.pending[0] as usize + self.pending[1] as usize;
            self.detector.record_intake(count, wait);
            for kind in 0..2 {
                while self.pending[kind] >= 1.0 {
                    self.pending[kind] -= 1.0;
                    self.process_request(second, kind);
                }
            }
            self.windows[second].max_wait = self.windows[second].max_wait.max(wait);
            if self.now >= self.next_evaluation_at {
                self.next_evaluation_at = self.now + EVALUATION_INTERVAL;
                self.detector.evaluate(self.now);
                let threshold = self.detector.threshold() * BANDS as f64;
                let _ = writeln!(
                    self.log,
                    "{:>6} ms | threshold {threshold:>5.1} | waited {wait} us",
                    self.now / MS
                );
            }
            self.now = self.now.max(started_at + MIN_ITERATION);
        }
    }

    fn process_request(&mut self, second: usize, kind: usize) {
        self.last_id += 1;
        let band = priority::band(kind as u32 * 2, 1);
        let is_admitted = !self.sheds
            || priority::shed_rank(band, &self.last_id.to_string()) < self.detector.threshold();
        self.detector.record_request(band, is_admitted);
        self.windows[second].offered[kind] += 1.0;
        self.windows[second].admitted[kind] += f64::from(u8::from(is_admitted));
        self.now += if is_admitted {
            ADMITTED_COST
        } else {
            REJECTED_COST
        };
    }

    fn max_wait(&self, from_second: usize) -> Micros {
        self.windows[from_second..]
            .iter()
            .map(|window| window.max_wait)
            .max()
            .unwrap_or(0)
    }
}

#[test]
fn node_at_three_times_its_capacity_rejects_the_lower_tier_before_it_is_late() {
    let run = |sheds| {
        let mut node = Node::new(sheds);
        node.run(2 * SECOND, [60.0, 140.0]);
        node.run(10 * SECOND, [200.0, 1_300.0]);
        node
    };
    let node = run(true);
    for (second, window) in node.windows.iter().enumerate().take(12) {
        let share = window.admitted[0] / window.offered[0].max(1.0);
        // The load rises in second 2, in which the node may still adapt.
        assert!(
            share >= if second == 2 { 0.9 } else { 0.99 },
            "second {second}: {share:.3} of tier 0 admitted\n{}",
            node.log
        );
    }
    // A quarter of the shortest latency target is 100 ms.
    assert!(
        node.max_wait(4) <= 100 * MS,
        "input waited {} us\n{}",
        node.max_wait(4),
        node.log
    );
    let overloaded = &node.windows[4..12];
    // Rejections have a cost as well: x admitted and 1,500 - x rejected requests fill a second.
    let capacity =
        (SECOND as f64 - 1_500.0 * REJECTED_COST as f64) / (ADMITTED_COST - REJECTED_COST) as f64;
    let admitted = overloaded
        .iter()
        .map(|w| w.admitted[0] + w.admitted[1])
        .sum::<f64>()
        / overloaded.len() as f64;
    assert!(
        admitted >= 0.85 * capacity,
        "admitted {admitted:.0} of {capacity:.0} per second\n{}",
        node.log
    );
    let unprotected = run(false);
    assert!(
        unprotected.max_wait(4) > SECOND,
        "without shedding input waited only {} us",
        unprotected.max_wait(4)
    );
}

#[test]
fn node_that_keeps_up_or_is_late_only_once_rejects_nothing() {
    let mut node = Node::new(true);
    node.run(3 * SECOND, [100.0, 250.0]);
    // A large update arrives, and one iteration takes long.
    node.now += 120 * MS;
    node.run(3 * SECOND, [100.0, 250.0]);
    let rejected = node
        .windows
        .iter()
        .map(|w| w.offered[1] - w.admitted[1])
        .sum::<f64>();
    assert_eq!(rejected, 0.0, "{}", node.log);
}

#[test]
fn all_requests_are_admitted_again_after_an_overload() {
    let mut node = Node::new(true);
    node.run(6 * SECOND, [200.0, 1_300.0]);
    assert!(
        node.detector.shedding_started_at().is_some(),
        "{}",
        node.log
    );
    node.run(4 * SECOND, [60.0, 140.0]);
    assert!(
        node.detector.threshold() >= 1.0 && node.detector.shedding_started_at().is_none(),
        "{}",
        node.log
    );
}

#[test]
fn nearly_full_node_keeps_its_capacity_for_the_first_tier() {
    let mut detector = OverloadDetector::default();
    let bands = [priority::band(0, 0), priority::band(2, 2)];
    for interval in 1..=10 {
        (0..20).for_each(|n| detector.record_request(bands[usize::from(n >= 5)], true));
        detector.evaluate(interval * EVALUATION_INTERVAL);
    }
    let admitted_share = |detector: &OverloadDetector, band: usize| {
        (detector.threshold() * BANDS as f64 - band as f64).clamp(0.0, 1.0)
    };
    for (fill_level, first_tier, last_tier) in [
        (0.5, 1.0, 1.0),
        (0.8, 1.0, 1.0),
        (0.9, 1.0, 0.33),
        (0.96, 0.8, 0.0),
        (1.5, 0.2, 0.0),
    ] {
        detector.set_fill_level(fill_level);
        let shares = bands.map(|band| admitted_share(&detector, band));
        assert!(
            (shares[0] - first_tier).abs() < 0.02 && (shares[1] - last_tier).abs() < 0.02,
            "fill level {fill_level}: admitted shares {shares:?}"
        );
        assert_eq!(detector.is_nearly_full(), fill_level > 0.8);
    }
}
