//! A fleet of limiters in front of servers that cannot serve the offered load, on a simulated
//! clock.
//!
//! Each server has two slots and a short queue, and rejects requests when the queue is full. A
//! request goes to the less loaded of two servers drawn at random. Clients that are rejected or
//! time out retry twice. Some tests also run without the mechanism that they cover, and check that
//! the requirement is not met then.

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
const LATENCY_TARGET: Micros = 500 * MS;
/// Mean processing time of a request.
const MEAN_WORK: Micros = 90 * MS;
const CLIENT_TIMEOUT: Micros = 1_500 * MS;
/// Shortest delay before a client retries.
const RETRY_DELAY: Micros = 300 * MS;
const REPLICAS: usize = 3;
/// Requests that a server processes at once.
const SERVER_SLOTS: usize = 2;
/// Longest queue of a server.
const SERVER_QUEUE: usize = 8;
/// Retries that each admitted request adds to the limiters' retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.12;
const WINDOW_TICKS: usize = (2 * SECOND / TICK) as usize;

/// The mechanism that a simulated fleet runs without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// No request is rejected because of a level.
    Levels,
    /// All requests have the same priority, whatever their tier.
    Tiers,
    /// A limiter without levels admits everything.
    LocalDecision,
}

#[derive(Clone, Copy, Debug)]
struct ClientRequest {
    tier: u32,
    first_sent_at: Micros,
    retries: u32,
}

/// Counts of a window of two seconds, by kind of load: tiers 0 and 2.
#[derive(Clone, Debug, Default)]
struct Window {
    offered: [f64; 2],
    answered: [f64; 2],
    within_target: f64,
    log: String,
}

struct Fleet {
    now: Micros,
    without: Without,
    /// Each limiter with its replica, and whether it receives levels (1) or not (0).
    limiters: Vec<(Admission, usize, f64)>,
    /// Each replica, and whether it is up.
    replicas: Vec<(AdmissionController, bool)>,
    /// The servers' capacity in requests per second.
    capacity: f64,
    /// Factor by which the servers are slower at present.
    slowdown: f64,
    /// Retries that limiters may send to another server.
    retry_budget: f64,
    /// For each server, when each of its accepted requests is done, in order.
    servers: Vec<VecDeque<Micros>>,
    /// Responses by time and request id: the request, its limiter, and when the attempt began.
    responses: BTreeMap<(Micros, u64), (ClientRequest, usize, Micros)>,
    /// Requests that clients retry, by time.
    client_retries: VecDeque<(Micros, ClientRequest)>,
    last_id: u64,
    /// Requests due to be sent by kind of load, with a fraction.
    pending: [f64; 2],
    windows: Vec<Window>,
    /// The admitted rate at each evaluation that limits it.
    rates: Vec<f64>,
}

impl Fleet {
    fn new(limiters: usize, capacity: f64, without: Without) -> Fleet {
        let limiter = |index: usize| (Admission::default(), index % REPLICAS, 1.0);
        Fleet {
            now: 0,
            without,
            limiters: (0..limiters).map(limiter).collect(),
            replicas: (0..REPLICAS)
                .map(|replica| (AdmissionController::new(replica as u64), true))
                .collect(),
            capacity,
            slowdown: 1.0,
            retry_budget: 10.0,
            servers: vec![
                VecDeque::new();
                (capacity * MEAN_WORK as f64 / 1e6 / SERVER_SLOTS as f64).round() as usize
            ],
            responses: BTreeMap::new(),
            client_retries: VecDeque::new(),
            last_id: 0,
            pending: [0.0; 2],
            windows: vec![Window::default()],
            rates: Vec::new(),
        }
    }

    fn current_window(&mut self) -> &mut Window {
        self.windows
            .last_mut()
            .expect("there is a window from the start")
    }

    /// Runs for `duration` with these rates of requests per second of tiers 0 and 2.
    fn run(&mut self, duration: Micros, rates: [f64; 2]) {
        for _ in 0..duration / TICK {
            self.now += TICK;
            for (kind, rate) in rates.iter().enumerate() {
                self.pending[kind] += rate * TICK as f64 / SECOND as f64;
                while self.pending[kind] >= 1.0 {
                    self.pending[kind] -= 1.0;
                    self.current_window().offered[kind] += 1.0;
                    let request = ClientRequest {
                        tier: kind as u32 * 2,
                        first_sent_at: self.now,
                        retries: 0,
                    };
                    self.send_request(request);
                }
            }
            while self
                .client_retries
                .front()
                .is_some_and(|(at, _)| *at <= self.now)
            {
                let request = self.client_retries.pop_front().expect("just checked").1;
                self.send_request(request);
            }
            self.deliver_responses();
            self.run_control_loop();
            if ((self.now / TICK) as usize).is_multiple_of(WINDOW_TICKS) {
                self.windows.push(Window::default());
            }
        }
    }

    fn send_request(&mut self, request: ClientRequest) {
        self.last_id += 1;
        let limiter =
            (self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % self.limiters.len();
        let tier = if self.without == Without::Tiers {
            1
        } else {
            request.tier
        };
        let band = priority::band(tier, tier);
        let (now, without) = (self.now, self.without);
        let admission = &mut self.limiters[limiter].0;
        let admits_all = without == Without::LocalDecision && admission.has_stale_levels(now);
        let threshold = if without == Without::Levels || admits_all {
            1.0
        } else {
            admission.threshold(now, "s")
        };
        let is_admitted = priority::shed_rank(band, &self.last_id.to_string()) < threshold;
        admission.record_request("s", band, is_admitted);
        if !is_admitted {
            return self.handle_rejection(request);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(20.0);
        let (mut attempt, mut is_accepted) = (0, self.send_attempt(request, limiter, 0));
        while !is_accepted && attempt < 1 && self.retry_budget >= 1.0 {
            (attempt, self.retry_budget) = (attempt + 1, self.retry_budget - 1.0);
            is_accepted = self.send_attempt(request, limiter, attempt);
        }
        if !is_accepted {
            self.handle_rejection(request);
        }
    }

    /// Sends an attempt to one of two servers. Returns whether the server accepted it.
    fn send_attempt(&mut self, request: ClientRequest, limiter: usize, attempt: u64) -> bool {
        let now = self.now;
        let draw = |salt: u64| {
            priority::shed_rank(0, &format!("{} {attempt} {salt}", self.last_id)) * BANDS as f64
        };
        let (first, second) = (self.server_index(draw(1)), self.server_index(draw(2)));
        let work = MEAN_WORK as f64 * self.slowdown * (0.4 + 1.2 * draw(3));
        let chosen = if self.servers[first].len() <= self.servers[second].len() {
            first
        } else {
            second
        };
        let server = &mut self.servers[chosen];
        server.retain(|done_at| *done_at > now);
        if server.len() >= SERVER_SLOTS + SERVER_QUEUE {
            self.limiters[limiter]
                .0
                .record_outcome(now, "s", RequestOutcome::Rejected);
            return false;
        }
        // A slot becomes free when all but one of the earlier requests are done.
        let started_at = server
            .len()
            .checked_sub(SERVER_SLOTS)
            .map_or(now, |index| server[index]);
        let done_at = started_at + work as Micros;
        let index = server.partition_point(|other| *other <= done_at);
        server.insert(index, done_at);
        self.responses
            .insert((done_at, self.last_id), (request, limiter, now));
        true
    }

    fn server_index(&self, draw: f64) -> usize {
        (draw * self.servers.len() as f64) as usize % self.servers.len()
    }

    fn handle_rejection(&mut self, request: ClientRequest) {
        if request.retries < 2 {
            // Clients are told different delays, so that they do not all return at once.
            let jitter = (self.last_id % 7) as Micros * 40 * MS;
            let retry_at = self.now + RETRY_DELAY + jitter;
            let index = self
                .client_retries
                .partition_point(|(at, _)| *at <= retry_at);
            self.client_retries.insert(
                index,
                (
                    retry_at,
                    ClientRequest {
                        retries: request.retries + 1,
                        ..request
                    },
                ),
            );
        }
    }

    fn deliver_responses(&mut self) {
        while self
            .responses
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= self.now)
        {
            let (_, (request, limiter, started_at)) =
                self.responses.pop_first().expect("just checked");
            let (now, latency) = (self.now, self.now - started_at);
            self.limiters[limiter].0.record_outcome(
                now,
                "s",
                RequestOutcome::Answered(latency, LATENCY_TARGET),
            );
            if latency > CLIENT_TIMEOUT {
                self.handle_rejection(request);
                continue;
            }
            let window = self.current_window();
            window.within_target += f64::from(u8::from(latency <= LATENCY_TARGET));
            let kind = (request.tier / 2) as usize;
            // The response counts in the window in which the request was first sent.
            let first_window = (request.first_sent_at / TICK) as usize / WINDOW_TICKS;
            self.windows[first_window].answered[kind] += 1.0;
        }
    }

    /// Limiters report; replicas exchange their sums, evaluate them and send levels.
    fn run_control_loop(&mut self) {
        let interval_ticks = EVALUATION_INTERVAL / TICK;
        let (now, tick) = (self.now, self.now / TICK);
        for (index, (admission, replica, _)) in self.limiters.iter_mut().enumerate() {
            if (tick + index as Micros) % interval_ticks != 0 {
                continue;
            }
            for report in admission.take_reports(now) {
                if self.replicas[*replica].1 {
                    self.replicas[*replica]
                        .0
                        .handle_report(now, index as u64, &report);
                }
            }
        }
        if tick % interval_ticks != 0 {
            return;
        }
        let loads: Vec<_> = self
            .replicas
            .iter()
            .map(|(controller, is_up)| controller.replica_load(now).filter(|_| *is_up))
            .collect();
        for (index, (controller, is_up)) in self
            .replicas
            .iter_mut()
            .enumerate()
            .filter(|(_, (_, is_up))| *is_up)
        {
            let peers = loads.iter().enumerate().filter(|(peer, _)| *peer != index);
            peers.for_each(|(peer, load)| {
                load.iter()
                    .for_each(|load| controller.handle_peer_load(now, peer as u64, load.clone()));
            });
            controller.evaluate(now);
            debug_assert!(*is_up);
        }
        for (admission, replica, receives_levels) in &mut self.limiters {
            let (controller, is_up) = &self.replicas[*replica];
            if *is_up && *receives_levels > 0.0 {
                admission.set_levels(now, controller.level("s").into_iter().collect(), 0);
            }
        }
        let rate = self
            .replicas
            .iter()
            .find(|(_, is_up)| *is_up)
            .and_then(|(controller, _)| controller.admitted_rate());
        self.rates.extend(rate);
        let thresholds: Vec<f64> = self
            .limiters
            .iter()
            .take(10)
            .map(|l| l.0.threshold(now, "s"))
            .collect();
        let in_flight = self.responses.len();
        let columns = thresholds
            .iter()
            .fold(String::new(), |mut columns, threshold| {
                let _ = write!(columns, "{:>6.1}", threshold * BANDS as f64);
                columns
            });
        let log = &mut self.current_window().log;
        let _ = writeln!(
            log,
            "{:>5.1} s | thresholds{columns} | {in_flight} in flight",
            now as f64 / 1e6
        );
    }

    /// The smallest share of tier 0 answered in any window, and the rate of responses within the
    /// latency target as a share of the servers' capacity.
    fn summary(&self, from: usize, to: usize) -> (f64, f64) {
        let windows = &self.windows[from..to];
        let share = |w: &Window| w.answered[0] / w.offered[0].max(1.0);
        let protected = windows.iter().map(share).fold(f64::MAX, f64::min);
        let within_target = windows.iter().map(|w| w.within_target).sum::<f64>();
        (
            protected,
            within_target / (self.capacity * 2.0 * windows.len() as f64),
        )
    }

    fn log(&self) -> String {
        self.windows.iter().map(|w| w.log.as_str()).collect()
    }
}

/// Three times the capacity, a fifth of it protected (tier 0).
const LOAD_FACTORS: [f64; 2] = [0.6, 2.4];

fn overload_rates(capacity: f64) -> [f64; 2] {
    LOAD_FACTORS.map(|factor| factor * capacity)
}

#[test_case(10, 300.0; "ten limiters")]
#[test_case(100, 600.0; "a hundred limiters")]
#[test_case(1_000, 2_000.0; "a thousand limiters")]
fn at_three_times_capacity_tier_0_is_served_and_servers_answer_in_time(
    limiters: usize,
    capacity: f64,
) {
    let run = |without| {
        let mut fleet = Fleet::new(limiters, capacity, without);
        fleet.run(4 * SECOND, overload_rates(capacity / 4.0));
        fleet.run(24 * SECOND, overload_rates(capacity));
        fleet
    };
    let fleet = run(Without::Nothing);
    let (protected, goodput) = fleet.summary(4, 13);
    assert!(
        protected >= 0.97,
        "tier 0 answered: {protected:.3}\n{}",
        fleet.log()
    );
    assert!(goodput >= 0.90, "goodput: {goodput:.3}\n{}", fleet.log());
    // The rate settles without oscillating.
    let last_rates = &fleet.rates[fleet.rates.len() - 50..];
    let (min, max) = last_rates
        .iter()
        .fold((f64::MAX, 0.0_f64), |(min, max), rate| {
            (min.min(*rate), max.max(*rate))
        });
    assert!(
        max <= min * 1.75,
        "rate between {min:.0} and {max:.0}\n{}",
        fleet.log()
    );
    let (protected, goodput) = run(Without::Levels).summary(4, 13);
    assert!(
        protected < 0.9,
        "without levels: tier 0 answered {protected:.3}, goodput {goodput:.3}"
    );
    let (protected, _) = run(Without::Tiers).summary(4, 13);
    assert!(
        protected < 0.9,
        "without tiers: tier 0 answered {protected:.3}"
    );
}

#[test]
fn level_is_set_within_a_second_of_overload_and_removed_after_it() {
    let mut fleet = Fleet::new(30, 300.0, Without::Nothing);
    fleet.run(4 * SECOND, overload_rates(75.0));
    assert!(
        fleet
            .limiters
            .iter()
            .all(|l| l.0.threshold(fleet.now, "s") == 1.0)
    );
    fleet.run(1_400 * MS, overload_rates(300.0));
    let without_level = fleet
        .limiters
        .iter()
        .filter(|l| l.0.threshold(fleet.now, "s") == 1.0)
        .count();
    // The queues fill in the first 0.4 s: before that there is no overload to detect.
    assert_eq!(without_level, 0, "{}", fleet.log());
    fleet.run(10 * SECOND, overload_rates(300.0));
    fleet.run(9 * SECOND, overload_rates(75.0));
    let without_level = fleet
        .limiters
        .iter()
        .filter(|l| l.0.threshold(fleet.now, "s") == 1.0)
        .count();
    assert_eq!(without_level, 30, "{}", fleet.log());
    assert!(
        fleet
            .replicas
            .iter()
            .all(|(controller, _)| controller.admitted_rate().is_none())
    );
}

#[test]
fn limiters_without_levels_keep_to_their_share() {
    let run = |without| {
        let mut fleet = Fleet::new(30, 300.0, without);
        fleet.run(8 * SECOND, overload_rates(300.0));
        // Two thirds of the limiters receive no levels any more, and their replicas receive no
        // reports from them.
        fleet
            .limiters
            .iter_mut()
            .filter(|l| l.1 > 0)
            .for_each(|l| l.2 = 0.0);
        fleet
            .replicas
            .iter_mut()
            .skip(1)
            .for_each(|replica| replica.1 = false);
        fleet.run(20 * SECOND, overload_rates(300.0));
        fleet
    };
    let fleet = run(Without::Nothing);
    let (protected, goodput) = fleet.summary(6, 13);
    assert!(
        protected >= 0.9 && goodput >= 0.7,
        "tier 0 answered {protected:.3}, goodput {goodput:.3}\n{}",
        fleet.log()
    );
    let (protected, goodput) = run(Without::LocalDecision).summary(6, 13);
    assert!(
        protected < 0.9 || goodput < 0.7,
        "without local decisions: tier 0 answered {protected:.3}, goodput {goodput:.3}"
    );
}

#[test]
fn loss_and_return_of_a_replica_hardly_affect_tier_0() {
    let mut fleet = Fleet::new(30, 300.0, Without::Nothing);
    fleet.run(12 * SECOND, overload_rates(300.0));
    fleet.replicas[0].1 = false;
    // Its limiters connect to the next replica after a second.
    fleet.run(SECOND, overload_rates(300.0));
    fleet
        .limiters
        .iter_mut()
        .filter(|l| l.1 == 0)
        .for_each(|l| l.1 = 1);
    fleet.run(5 * SECOND, overload_rates(300.0));
    // It returns without state, and follows the decision of the other replicas.
    fleet.replicas[0] = (AdmissionController::new(0), true);
    fleet.limiters.iter_mut().step_by(3).for_each(|l| l.1 = 0);
    fleet.run(6 * SECOND, overload_rates(300.0));
    let (protected, goodput) = fleet.summary(5, 11);
    assert!(
        protected >= 0.95 && goodput >= 0.85,
        "tier 0 answered {protected:.3}, goodput {goodput:.3}\n{}",
        fleet.log()
    );
}

/// A temporary slowdown must not leave the fleet in a state in which the retries alone keep the
/// servers overloaded.
#[test]
fn all_requests_are_served_again_after_a_temporary_slowdown() {
    let run = |without| {
        let mut fleet = Fleet::new(30, 300.0, without);
        let rates = [60.0, 180.0];
        fleet.run(4 * SECOND, rates);
        // For four seconds the servers are four times slower.
        fleet.slowdown = 4.0;
        fleet.run(4 * SECOND, rates);
        fleet.slowdown = 1.0;
        fleet.run(16 * SECOND, rates);
        fleet
    };
    let min_answered_share = |fleet: &Fleet, from: usize| {
        let windows = &fleet.windows[from..11];
        let share = |w: &Window| (w.answered[0] + w.answered[1]) / (w.offered[0] + w.offered[1]);
        windows.iter().map(share).fold(f64::MAX, f64::min)
    };
    // Required recovery time: eight seconds; window 8 begins then.
    let fleet = run(Without::Nothing);
    assert!(
        min_answered_share(&fleet, 8) >= 0.95,
        "answered {:.3}\n{}",
        min_answered_share(&fleet, 8),
        fleet.log()
    );
}
