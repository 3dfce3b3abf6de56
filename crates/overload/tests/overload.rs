//! A fleet of limiters in front of servers that can't serve the offered load, on a driven clock.
//!
//! Each server has two slots and a short queue, and rejects requests when the queue is full. A
//! request goes to the less loaded of two servers drawn at random. Clients that are rejected or
//! time out retry twice. Each test also runs without the part that it covers, and has to fail then.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

use overload::admission::Admission;
use overload::admission_controller::AdmissionController;
use overload::load::RequestOutcome;
use overload::priority::{self, BANDS};
use overload::{EVALUATION_INTERVAL, Micros};
use test_case::test_case;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TICK: Micros = 10 * MS;
const AIM: Micros = 500 * MS;
/// Mean work of a request; a client's time-out; the wait before a rejected client retries.
const WORK: Micros = 90 * MS;
const PATIENCE: Micros = 1_500 * MS;
const BACK: Micros = 300 * MS;
const HOMES: usize = 3;
/// Slots of a server, and the bound of its queue.
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Retries earned by each request.
const EARNED: f64 = 0.12;
const WINDOW: usize = (2 * SECOND / TICK) as usize;

/// The part that a simulated fleet runs without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// No request is rejected because of a level.
    Levels,
    /// All requests have the same priority, whatever their tier.
    Tiers,
    /// A limiter without levels admits everything.
    OwnShare,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    tier: u32,
    first: Micros,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Count {
    asked: [f64; 2],
    answered: [f64; 2],
    in_aim: f64,
    lines: String,
}

struct World {
    now: Micros,
    without: Without,
    limiters: Vec<(Admission, usize, f64)>,
    homes: Vec<(AdmissionController, bool)>,
    /// The servers' capacity a second, and by how much they are slowed down now.
    bears: f64,
    slowed: f64,
    further: f64,
    /// When each accepted request of a server is done, in order.
    servers: Vec<VecDeque<Micros>>,
    /// Arrivals by time: the client, its limiter, and since when it waits.
    answers: BTreeMap<(Micros, u64), (Asked, usize, Micros)>,
    back: VecDeque<(Micros, Asked)>,
    ids: u64,
    owed: [f64; 2],
    windows: Vec<Count>,
    rates: Vec<f64>,
}

impl World {
    fn new(limiters: usize, bears: f64, without: Without) -> World {
        let limiter = |at: usize| (Admission::default(), at % HOMES, 1.0);
        World {
            now: 0,
            without,
            limiters: (0..limiters).map(limiter).collect(),
            homes: (0..HOMES)
                .map(|home| (AdmissionController::new(home as u64), true))
                .collect(),
            bears,
            slowed: 1.0,
            further: 10.0,
            servers: vec![
                VecDeque::new();
                (bears * WORK as f64 / 1e6 / SLOTS as f64).round() as usize
            ],
            answers: BTreeMap::new(),
            back: VecDeque::new(),
            ids: 0,
            owed: [0.0; 2],
            windows: vec![Count::default()],
            rates: Vec::new(),
        }
    }

    fn window(&mut self) -> &mut Count {
        self.windows
            .last_mut()
            .expect("there is one from the start")
    }

    /// Runs on with these requests a second of tiers 0 and 2.
    fn run(&mut self, span: Micros, loads: [f64; 2]) {
        for _ in 0..span / TICK {
            self.now += TICK;
            for (kind, load) in loads.iter().enumerate() {
                self.owed[kind] += load * TICK as f64 / SECOND as f64;
                while self.owed[kind] >= 1.0 {
                    self.owed[kind] -= 1.0;
                    self.window().asked[kind] += 1.0;
                    let asked = Asked {
                        tier: kind as u32 * 2,
                        first: self.now,
                        tries: 0,
                    };
                    self.ask(asked);
                }
            }
            while self.back.front().is_some_and(|(at, _)| *at <= self.now) {
                let asked = self.back.pop_front().expect("looked at").1;
                self.ask(asked);
            }
            self.serve();
            self.control();
            if ((self.now / TICK) as usize).is_multiple_of(WINDOW) {
                self.windows.push(Count::default());
            }
        }
    }

    fn ask(&mut self, asked: Asked) {
        self.ids += 1;
        let at =
            (self.ids.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % self.limiters.len();
        let tier = if self.without == Without::Tiers {
            1
        } else {
            asked.tier
        };
        let band = priority::band(tier, tier);
        let (now, without) = (self.now, self.without);
        let admission = &mut self.limiters[at].0;
        let silent = without == Without::OwnShare && admission.has_stale_levels(now);
        let border = if without == Without::Levels || silent {
            1.0
        } else {
            admission.threshold(now, "s")
        };
        let sent = priority::position(band, &self.ids.to_string()) < border;
        admission.record_request("s", band, sent);
        if !sent {
            return self.refused(asked);
        }
        self.further = (self.further + EARNED).min(20.0);
        let (mut asked_of, mut taken) = (0, self.offer(asked, at, 0));
        while !taken && asked_of < 1 && self.further >= 1.0 {
            (asked_of, self.further) = (asked_of + 1, self.further - 1.0);
            taken = self.offer(asked, at, asked_of);
        }
        if !taken {
            self.refused(asked);
        }
    }

    /// Sends a request to one of two servers; returns whether that accepted it.
    fn offer(&mut self, asked: Asked, at: usize, round: u64) -> bool {
        let now = self.now;
        let draw = |salt: u64| {
            priority::position(0, &format!("{} {round} {salt}", self.ids)) * BANDS as f64
        };
        let (one, other) = (self.server(draw(1)), self.server(draw(2)));
        let work = WORK as f64 * self.slowed * (0.4 + 1.2 * draw(3));
        let to = if self.servers[one].len() <= self.servers[other].len() {
            one
        } else {
            other
        };
        let server = &mut self.servers[to];
        server.retain(|done| *done > now);
        if server.len() >= SLOTS + QUEUE {
            self.limiters[at]
                .0
                .record_outcome(now, "s", RequestOutcome::Rejected);
            return false;
        }
        // A slot becomes free when all but one of those before it are done.
        let free = server
            .len()
            .checked_sub(SLOTS)
            .map_or(now, |behind| server[behind]);
        let done = free + work as Micros;
        let place = server.partition_point(|other| *other <= done);
        server.insert(place, done);
        self.answers.insert((done, self.ids), (asked, at, now));
        true
    }

    fn server(&self, draw: f64) -> usize {
        (draw * self.servers.len() as f64) as usize % self.servers.len()
    }

    fn refused(&mut self, asked: Asked) {
        if asked.tries < 2 {
            // Clients are told waits that are spread.
            let spread = (self.ids % 7) as Micros * 40 * MS;
            let at = self.now + BACK + spread;
            let place = self.back.partition_point(|(due, _)| *due <= at);
            self.back.insert(
                place,
                (
                    at,
                    Asked {
                        tries: asked.tries + 1,
                        ..asked
                    },
                ),
            );
        }
    }

    fn serve(&mut self) {
        while self
            .answers
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= self.now)
        {
            let (_, (asked, at, since)) = self.answers.pop_first().expect("looked at");
            let (now, took) = (self.now, self.now - since);
            self.limiters[at]
                .0
                .record_outcome(now, "s", RequestOutcome::Answered(took, AIM));
            if took > PATIENCE {
                self.refused(asked);
                continue;
            }
            let window = self.window();
            window.in_aim += f64::from(u8::from(took <= AIM));
            let kind = (asked.tier / 2) as usize;
            // It counts in the window of its first attempt.
            let first = (asked.first / TICK) as usize / WINDOW;
            self.windows[first].answered[kind] += 1.0;
        }
    }

    /// Limiters report, replicas evaluate, exchange their sums and send levels. A limiter whose
    /// replica is gone connects to the next.
    fn control(&mut self) {
        let steps = EVALUATION_INTERVAL / TICK;
        let (now, tick) = (self.now, self.now / TICK);
        for (at, (admission, home, _)) in self.limiters.iter_mut().enumerate() {
            if (tick + at as Micros) % steps != 0 {
                continue;
            }
            for report in admission.take_reports(now) {
                if self.homes[*home].1 {
                    self.homes[*home].0.handle_report(now, at as u64, &report);
                }
            }
        }
        if tick % steps != 0 {
            return;
        }
        let shares: Vec<_> = self
            .homes
            .iter()
            .map(|(home, up)| home.replica_load(now).filter(|_| *up))
            .collect();
        for (at, (home, up)) in self.homes.iter_mut().enumerate().filter(|(_, (_, up))| *up) {
            let others = shares.iter().enumerate().filter(|(other, _)| *other != at);
            others.for_each(|(other, share)| {
                share
                    .iter()
                    .for_each(|share| home.handle_peer_load(now, other as u64, share.clone()));
            });
            home.evaluate(now);
            debug_assert!(*up);
        }
        for (admission, home, heard) in &mut self.limiters {
            let (judge, up) = &self.homes[*home];
            if *up && *heard > 0.0 {
                admission.set_levels(now, judge.level("s").into_iter().collect(), 0);
            }
        }
        let rate = self
            .homes
            .iter()
            .find(|(_, up)| *up)
            .and_then(|(home, _)| home.admitted_rate());
        self.rates.extend(rate);
        let borders: Vec<f64> = self
            .limiters
            .iter()
            .take(10)
            .map(|l| l.0.threshold(now, "s"))
            .collect();
        let queue = self.answers.len();
        let line = borders.iter().fold(String::new(), |mut line, border| {
            let _ = write!(line, "{:>6.1}", border * BANDS as f64);
            line
        });
        let lines = &mut self.window().lines;
        let _ = writeln!(lines, "{:>5.1} s |{line} | {queue} out", now as f64 / 1e6);
    }

    /// The share of protected requests served, by window, and the useful share of the servers'
    /// capacity.
    fn figures(&self, from: usize, to: usize) -> (f64, f64) {
        let windows = &self.windows[from..to];
        let share = |w: &Count| w.answered[0] / w.asked[0].max(1.0);
        let protected = windows.iter().map(share).fold(f64::MAX, f64::min);
        let good = windows.iter().map(|w| w.in_aim).sum::<f64>();
        (protected, good / (self.bears * 2.0 * windows.len() as f64))
    }

    fn drawn(&self) -> String {
        self.windows.iter().map(|w| w.lines.as_str()).collect()
    }
}

/// Three times the capacity, a fifth of it protected.
const LOADS: [f64; 2] = [0.6, 2.4];

fn loads(bears: f64) -> [f64; 2] {
    LOADS.map(|load| load * bears)
}

#[test_case(10, 300.0; "ten")]
#[test_case(100, 600.0; "a hundred")]
#[test_case(1_000, 2_000.0; "a thousand")]
fn at_three_times_capacity_protected_requests_are_served_and_servers_stay_useful(
    limiters: usize,
    bears: f64,
) {
    let run = |without| {
        let mut world = World::new(limiters, bears, without);
        world.run(4 * SECOND, loads(bears / 4.0));
        world.run(24 * SECOND, loads(bears));
        world
    };
    let world = run(Without::Nothing);
    let (protected, good) = world.figures(4, 13);
    assert!(protected >= 0.97, "{protected:.3}\n{}", world.drawn());
    assert!(good >= 0.90, "{good:.3}\n{}", world.drawn());
    // The rate settles without oscillating.
    let late = &world.rates[world.rates.len() - 50..];
    let (least, most) = late
        .iter()
        .fold((f64::MAX, 0.0_f64), |(l, m), r| (l.min(*r), m.max(*r)));
    assert!(
        most <= least * 1.75,
        "{least:.0} to {most:.0}\n{}",
        world.drawn()
    );
    let (protected, good) = run(Without::Levels).figures(4, 13);
    assert!(protected < 0.9, "without levels: {protected:.3}, {good:.3}");
    let (protected, _) = run(Without::Tiers).figures(4, 13);
    assert!(protected < 0.9, "without tiers: {protected:.3}");
}

#[test]
fn a_level_is_set_within_a_second_and_removed_after_the_load() {
    let mut world = World::new(30, 300.0, Without::Nothing);
    world.run(4 * SECOND, loads(75.0));
    assert!(
        world
            .limiters
            .iter()
            .all(|l| l.0.threshold(world.now, "s") == 1.0)
    );
    world.run(1_400 * MS, loads(300.0));
    let open = world
        .limiters
        .iter()
        .filter(|l| l.0.threshold(world.now, "s") == 1.0)
        .count();
    // The queues fill in the first 0.4 s: before that there is nothing to detect.
    assert_eq!(open, 0, "{}", world.drawn());
    world.run(10 * SECOND, loads(300.0));
    world.run(9 * SECOND, loads(75.0));
    let open = world
        .limiters
        .iter()
        .filter(|l| l.0.threshold(world.now, "s") == 1.0)
        .count();
    assert_eq!(open, 30, "{}", world.drawn());
    assert!(
        world
            .homes
            .iter()
            .all(|(home, _)| home.admitted_rate().is_none())
    );
}

#[test]
fn limiters_without_levels_keep_to_their_share() {
    let run = |without| {
        let mut world = World::new(30, 300.0, without);
        world.run(8 * SECOND, loads(300.0));
        // Two thirds of the limiters receive nothing any more, and their replicas receive nothing
        // from them.
        world
            .limiters
            .iter_mut()
            .filter(|l| l.1 > 0)
            .for_each(|l| l.2 = 0.0);
        world
            .homes
            .iter_mut()
            .skip(1)
            .for_each(|home| home.1 = false);
        world.run(20 * SECOND, loads(300.0));
        world
    };
    let world = run(Without::Nothing);
    let (protected, good) = world.figures(6, 13);
    assert!(
        protected >= 0.9 && good >= 0.7,
        "{protected:.3} {good:.3}\n{}",
        world.drawn()
    );
    let (protected, good) = run(Without::OwnShare).figures(6, 13);
    assert!(
        protected < 0.9 || good < 0.7,
        "without shares: {protected:.3} {good:.3}"
    );
}

#[test]
fn a_lost_replica_is_replaced_with_little_effect_on_protected_requests() {
    let mut world = World::new(30, 300.0, Without::Nothing);
    world.run(12 * SECOND, loads(300.0));
    world.homes[0].1 = false;
    // Its limiters connect to the next replica after a second.
    world.run(SECOND, loads(300.0));
    world
        .limiters
        .iter_mut()
        .filter(|l| l.1 == 0)
        .for_each(|l| l.1 = 1);
    world.run(5 * SECOND, loads(300.0));
    // It returns without state, and follows the other replicas' decision.
    world.homes[0] = (AdmissionController::new(0), true);
    world.limiters.iter_mut().step_by(3).for_each(|l| l.1 = 0);
    world.run(6 * SECOND, loads(300.0));
    let (protected, good) = world.figures(5, 11);
    assert!(
        protected >= 0.95 && good >= 0.85,
        "{protected:.3} {good:.3}\n{}",
        world.drawn()
    );
}

#[test]
fn after_the_trigger_is_gone_everything_is_served_again() {
    let run = |without| {
        let mut world = World::new(30, 300.0, without);
        let calm = [60.0, 180.0];
        world.run(4 * SECOND, calm);
        // For four seconds the servers are four times slower.
        world.slowed = 4.0;
        world.run(4 * SECOND, calm);
        world.slowed = 1.0;
        world.run(16 * SECOND, calm);
        world
    };
    let served = |world: &World, from: usize| {
        let windows = &world.windows[from..11];
        let share = |w: &Count| (w.answered[0] + w.answered[1]) / (w.asked[0] + w.asked[1]);
        windows.iter().map(share).fold(f64::MAX, f64::min)
    };
    // Stated bound: eight seconds.
    let world = run(Without::Nothing);
    assert!(
        served(&world, 8) >= 0.95,
        "{:.3}\n{}",
        served(&world, 8),
        world.drawn()
    );
}
