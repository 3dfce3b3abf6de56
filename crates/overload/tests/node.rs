//! A single node whose processor can't keep up with the offered load, on a driven clock.
//!
//! The node works as its host does: a turn takes in what arrived during the turn before and works
//! it off in order. An admitted request has a fixed cost, a rejected one a tenth of it. Input waits
//! until its turn begins.

use std::fmt::Write;

use overload::overload_detector::OverloadDetector;
use overload::priority::{self, BANDS};
use overload::{EVALUATION_INTERVAL, Micros};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Cost of a request, admitted and rejected: the node can serve 500 a second, or reject 5,000.
const COST: Micros = 2_000;
const REFUSED: Micros = COST / 10;
/// A node takes in input continuously, and turns at most once in this interval.
const TURN: Micros = 500;

#[derive(Default)]
struct Window {
    asked: [f64; 2],
    sent: [f64; 2],
    longest: Micros,
}

struct Node {
    shedder: OverloadDetector,
    sheds: bool,
    now: Micros,
    /// Until when arrivals are accounted for.
    seen: Micros,
    due: Micros,
    owed: [f64; 2],
    ids: u64,
    /// One entry a second.
    windows: Vec<Window>,
    lines: String,
}

impl Node {
    fn new(sheds: bool) -> Node {
        let shedder = OverloadDetector::default();
        let (owed, windows) = ([0.0; 2], Vec::new());
        Node {
            shedder,
            sheds,
            now: 0,
            seen: 0,
            due: EVALUATION_INTERVAL,
            owed,
            ids: 0,
            windows,
            lines: String::new(),
        }
    }

    /// Runs on with these requests a second of tiers 0 and 2.
    fn run(&mut self, span: Micros, loads: [f64; 2]) {
        let until = self.now + span;
        while self.now < until {
            let (began, waited) = (self.now, self.now - self.seen);
            self.seen = self.now;
            let at = (began / SECOND) as usize;
            self.windows
                .resize_with(self.windows.len().max(at + 1), Window::default);
            let came = |owed: f64, load: f64| owed + load * waited as f64 / SECOND as f64;
            self.owed = [0, 1].map(|kind| came(self.owed[kind], loads[kind]));
            let count = self.owed[0] as usize + self.owed[1] as usize;
            self.shedder.record_intake(count, waited);
            for kind in 0..2 {
                while self.owed[kind] >= 1.0 {
                    self.owed[kind] -= 1.0;
                    self.ask(at, kind);
                }
            }
            self.windows[at].longest = self.windows[at].longest.max(waited);
            if self.now >= self.due {
                self.due = self.now + EVALUATION_INTERVAL;
                self.shedder.evaluate(self.now);
                let border = self.shedder.threshold() * BANDS as f64;
                let _ = writeln!(
                    self.lines,
                    "{:>6} ms | {border:>5.1} | waited {waited} us",
                    self.now / MS
                );
            }
            self.now = self.now.max(began + TURN);
        }
    }

    fn ask(&mut self, at: usize, kind: usize) {
        self.ids += 1;
        let band = priority::band(kind as u32 * 2, 1);
        let sent = !self.sheds
            || priority::position(band, &self.ids.to_string()) < self.shedder.threshold();
        self.shedder.record_request(band, sent);
        self.windows[at].asked[kind] += 1.0;
        self.windows[at].sent[kind] += f64::from(u8::from(sent));
        self.now += if sent { COST } else { REFUSED };
    }

    fn longest(&self, from: usize) -> Micros {
        self.windows[from..]
            .iter()
            .map(|window| window.longest)
            .max()
            .unwrap_or(0)
    }
}

#[test]
fn at_three_times_its_capacity_a_node_rejects_the_lower_tier_before_it_is_late() {
    let run = |sheds| {
        let mut node = Node::new(sheds);
        node.run(2 * SECOND, [60.0, 140.0]);
        node.run(10 * SECOND, [200.0, 1_300.0]);
        node
    };
    let node = run(true);
    for (at, window) in node.windows.iter().enumerate().take(12) {
        let share = window.sent[0] / window.asked[0].max(1.0);
        // The node may learn during the second in which the load rises.
        assert!(
            share >= if at == 2 { 0.9 } else { 0.99 },
            "{at} s: {share:.3}\n{}",
            node.lines
        );
    }
    // A quarter of the shortest latency target is 100 ms.
    assert!(
        node.longest(4) <= 100 * MS,
        "{}\n{}",
        node.longest(4),
        node.lines
    );
    let late = &node.windows[4..12];
    // Rejections cost too: x admitted and 1,500 - x rejected requests fill a second.
    let bears = (SECOND as f64 - 1_500.0 * REFUSED as f64) / (COST - REFUSED) as f64;
    let sent = late.iter().map(|w| w.sent[0] + w.sent[1]).sum::<f64>() / late.len() as f64;
    assert!(
        sent >= 0.85 * bears,
        "{sent:.0} of {bears:.0}\n{}",
        node.lines
    );
    let without = run(false);
    assert!(
        without.longest(4) > SECOND,
        "it would not be late: {}",
        without.longest(4)
    );
}

#[test]
fn a_node_that_keeps_up_or_is_late_only_once_rejects_nothing() {
    let mut node = Node::new(true);
    node.run(3 * SECOND, [100.0, 250.0]);
    // A large update arrives, and one turn takes long.
    node.now += 120 * MS;
    node.run(3 * SECOND, [100.0, 250.0]);
    let refused = node
        .windows
        .iter()
        .map(|w| w.asked[1] - w.sent[1])
        .sum::<f64>();
    assert_eq!(refused, 0.0, "{}", node.lines);
}

#[test]
fn after_the_load_is_gone_everything_is_admitted_again() {
    let mut node = Node::new(true);
    node.run(6 * SECOND, [200.0, 1_300.0]);
    assert!(
        node.shedder.shedding_started_at().is_some(),
        "{}",
        node.lines
    );
    node.run(4 * SECOND, [60.0, 140.0]);
    assert!(
        node.shedder.threshold() >= 1.0 && node.shedder.shedding_started_at().is_none(),
        "{}",
        node.lines
    );
}

#[test]
fn a_node_that_fills_up_keeps_its_capacity_for_the_first_tier() {
    let mut shedder = OverloadDetector::default();
    let bands = [priority::band(0, 0), priority::band(2, 2)];
    for step in 1..=10 {
        (0..20).for_each(|n| shedder.record_request(bands[usize::from(n >= 5)], true));
        shedder.evaluate(step * EVALUATION_INTERVAL);
    }
    let kept = |shedder: &OverloadDetector, band: usize| {
        (shedder.threshold() * BANDS as f64 - band as f64).clamp(0.0, 1.0)
    };
    for (full, first, last) in [
        (0.5, 1.0, 1.0),
        (0.8, 1.0, 1.0),
        (0.9, 1.0, 0.33),
        (0.96, 0.8, 0.0),
        (1.5, 0.2, 0.0),
    ] {
        shedder.set_fill_level(full);
        let both = bands.map(|band| kept(&shedder, band));
        assert!(
            (both[0] - first).abs() < 0.02 && (both[1] - last).abs() < 0.02,
            "{full}: {both:?}"
        );
        assert_eq!(shedder.is_nearly_full(), full > 0.8);
    }
}
