//! A tenant's quota over all proxies, on driven time: the counter is far away, moves, and is
//! unreachable.

use std::collections::BTreeMap;

use protocol::items::{Route, Tenant};
use protocol::settings::Bounds;
use proxy::router::{RequestKey, RequestRouter, RouterAction, RoutingRequest};
use slotmap::SlotMap;
use streamarch::{Micros, Outcome, ServerEntry, ServerId, ServerState};
use test_case::test_case;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
/// Time-out of a counter call, as at the host.
const COUNTER_TIMEOUT: Micros = 300 * MS;

/// A message to a proxy.
enum CounterMessage {
    Total(u64, f64),
    Unavailable(u64),
    TermChanged(u64),
}

struct Proxy {
    router: RequestRouter,
    keys: SlotMap<RequestKey, ()>,
    /// One-way delay to the counter.
    one_way_delay: Micros,
    isolated: bool,
    /// Calls that wait for their totals, and when they time out.
    calls: Vec<(Micros, u64, bool)>,
}

/// A fleet of proxies and the counter that they share.
struct Fleet {
    now: Micros,
    proxies: Vec<Proxy>,
    /// Messages on their way to the counter, and from it.
    adds_in_flight: BTreeMap<(Micros, u64), (usize, u64, f64)>,
    messages_in_flight: BTreeMap<(Micros, u64), (usize, CounterMessage)>,
    sequence: u64,
    totals: BTreeMap<u64, f64>,
    counter_available: bool,
    /// The share of the proxies that the counter assumes to reach it.
    reachable_fraction: f64,
    sent_at: Vec<Micros>,
    rejected: usize,
}

fn route() -> Route {
    let text = r#"{"host":"h","prefix":"/","kind":"idem","timeout":"3s","target_time":"500ms","svc":"s","tries":2}"#;
    serde_json::from_str(text).unwrap()
}

fn servers() -> Vec<ServerEntry> {
    let server = |number| ServerEntry {
        server: ServerId(number),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    };
    (1..=20).map(server).collect()
}

impl Fleet {
    /// This many proxies; every third one is next to the counter, the others in other regions.
    fn new(proxies: usize) -> Fleet {
        let proxy = |index: usize| {
            let mut router = RequestRouter::new(index as u64, Bounds::default());
            for age in [3 * SECOND, 0] {
                router.set_limiter_count(START - age, proxies as u32);
            }
            router.set_counter_term(Some(1));
            router.create_engine("s", &[], 500 * MS, servers());
            let one_way_delay = if index.is_multiple_of(3) { MS } else { 55 * MS };
            Proxy {
                router,
                keys: SlotMap::with_key(),
                one_way_delay,
                isolated: false,
                calls: Vec::new(),
            }
        };
        Fleet {
            now: START,
            proxies: (0..proxies).map(proxy).collect(),
            adds_in_flight: BTreeMap::new(),
            messages_in_flight: BTreeMap::new(),
            sequence: 0,
            totals: BTreeMap::new(),
            counter_available: true,
            reachable_fraction: 1.0,
            sent_at: Vec::new(),
            rejected: 0,
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The counter moves: for a time there is none, then an empty one.
    fn lose_counter(&mut self) {
        self.counter_available = false;
        self.totals.clear();
    }

    fn restore_counter(&mut self, term: u64) {
        self.counter_available = true;
        for index in 0..self.proxies.len() {
            let key = (
                self.now + self.proxies[index].one_way_delay,
                self.next_sequence(),
            );
            self.messages_in_flight
                .insert(key, (index, CounterMessage::TermChanged(term)));
        }
    }

    /// One millisecond: messages arrive, and this proxy receives this many requests of the tenant.
    fn step(&mut self, tenant: &Tenant, requests: impl Fn(usize) -> usize) {
        self.now += MS;
        while let Some(entry) = self
            .adds_in_flight
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (index, counter, units) = entry.remove();
            let message = if self.counter_available {
                let total = self.totals.entry(counter).or_default();
                let is_first_add = *total == 0.0;
                *total += units;
                CounterMessage::Total(
                    counter,
                    if is_first_add {
                        *total
                    } else {
                        *total / self.reachable_fraction
                    },
                )
            } else {
                CounterMessage::Unavailable(counter)
            };
            let key = (
                self.now + self.proxies[index].one_way_delay,
                self.next_sequence(),
            );
            self.messages_in_flight.insert(key, (index, message));
        }
        while let Some(entry) = self
            .messages_in_flight
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (index, message) = entry.remove();
            let proxy = &mut self.proxies[index];
            if proxy.isolated {
                continue;
            }
            match message {
                CounterMessage::TermChanged(term) => proxy.router.set_counter_term(Some(term)),
                CounterMessage::Total(counter, _) | CounterMessage::Unavailable(counter) => {
                    let Some(call) = proxy
                        .calls
                        .iter()
                        .position(|(_, called, _)| *called == counter)
                    else {
                        continue;
                    };
                    let (_, _, expired) = proxy.calls.remove(call);
                    match message {
                        _ if expired => proxy.router.handle_late_counter_result(),
                        CounterMessage::Total(_, total) => {
                            proxy
                                .router
                                .handle_counter_result(counter, Outcome::Ok, total)
                        }
                        _ => {
                            proxy
                                .router
                                .handle_counter_result(counter, Outcome::ConnectFailed, 0.0)
                        }
                    }
                }
            }
        }
        for index in 0..self.proxies.len() {
            for _ in 0..requests(index) {
                let proxy = &mut self.proxies[index];
                let key = proxy.keys.insert(());
                let (route, deadline) = (route(), self.now + 3 * SECOND);
                let tenant = Some(("t", tenant));
                let routing_request = RoutingRequest {
                    key,
                    request_id: "i",
                    route: &route,
                    service: "s",
                    tenant,
                    allowed_regions: &[],
                    deadline,
                };
                proxy.router.submit(self.now, &routing_request).unwrap();
            }
            self.decide(index);
        }
    }

    fn decide(&mut self, index: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        for (_, counter, expired) in proxy
            .calls
            .iter_mut()
            .filter(|(times_out_at, _, expired)| !*expired && *times_out_at <= now)
        {
            *expired = true;
            proxy
                .router
                .handle_counter_result(*counter, Outcome::TimedOut, 0.0);
        }
        // An engine decides once a microsecond.
        for offset in 0..4 {
            let mut actions = Vec::new();
            self.proxies[index]
                .router
                .run(now + offset, &mut actions, |_, _| {});
            for action in actions {
                match action {
                    RouterAction::SendAttempt {
                        handle, attempt, ..
                    } => {
                        self.sent_at.push(now);
                        self.proxies[index].router.handle_attempt_ended(
                            now + offset,
                            handle,
                            attempt,
                            Outcome::Ok,
                        );
                    }
                    RouterAction::Reject(..) => self.rejected += 1,
                    RouterAction::AddToCounter(add) => {
                        let key = (
                            now + self.proxies[index].one_way_delay,
                            self.next_sequence(),
                        );
                        self.proxies[index]
                            .calls
                            .push((now + COUNTER_TIMEOUT, add.counter, false));
                        if !self.proxies[index].isolated {
                            self.adds_in_flight
                                .insert(key, (index, add.counter, add.units));
                        }
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    /// Most requests that were sent within any five seconds.
    fn max_sent_within_five_seconds(&self) -> usize {
        let within = |from: usize| {
            self.sent_at[from..]
                .iter()
                .take_while(|at| **at < self.sent_at[from] + 5 * SECOND)
                .count()
        };
        (0..self.sent_at.len()).map(within).max().unwrap_or(0)
    }
}

/// Timeline of the faults, in milliseconds from the start.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// The counter is lost, and found empty.
    CounterMove(i64, i64),
    /// This many proxies are isolated for a time.
    Isolation(usize, i64, i64),
}

fn run_scenario(fault: Fault, load_factor: usize) -> Fleet {
    let tenant: Tenant = serde_json::from_str(r#"{"per_s":195,"burst":195}"#).unwrap();
    let mut fleet = Fleet::new(12);
    for ms in 0..10_000 {
        match fault {
            Fault::CounterMove(lost, _) if ms == lost => fleet.lose_counter(),
            Fault::CounterMove(_, found) if ms == found => fleet.restore_counter(2),
            Fault::Isolation(count, from, _) if ms == from => {
                fleet
                    .proxies
                    .iter_mut()
                    .take(count)
                    .for_each(|proxy| proxy.isolated = true);
            }
            // From two seconds on the counter extrapolates its totals to the proxies that do not
            // reach it.
            Fault::Isolation(count, from, _) if ms == from + 2_400 => {
                fleet.reachable_fraction = 1.0 - count as f64 / 12.0
            }
            Fault::Isolation(count, _, to) if ms == to => {
                fleet
                    .proxies
                    .iter_mut()
                    .take(count)
                    .for_each(|proxy| proxy.isolated = false);
            }
            Fault::Isolation(_, _, to) if ms == to + 400 => fleet.reachable_fraction = 1.0,
            _ => {}
        }
        // 122 a second is the usual rate, and eight times as many from the first second on.
        let period = if ms < 1_000 {
            98
        } else {
            98 / load_factor as i64
        };
        fleet.step(&tenant, |index| {
            usize::from((ms + 8 * index as i64) % period == 0)
        });
    }
    fleet
}

#[test]
fn tenant_that_returns_to_its_usual_rate_is_no_longer_rejected() {
    let tenant: Tenant = serde_json::from_str(r#"{"per_s":195,"burst":195}"#).unwrap();
    let mut fleet = Fleet::new(12);
    for ms in 0..9_000 {
        let period = if (1_000..5_000).contains(&ms) { 12 } else { 98 };
        match ms {
            3_500 => fleet.lose_counter(),
            4_900 => fleet.restore_counter(2),
            7_000 => fleet.rejected = 0,
            _ => {}
        }
        fleet.step(&tenant, |index| {
            usize::from((ms + 8 * index as i64) % period == 0)
        });
    }
    assert!(fleet.rejected <= 3, "{}", fleet.rejected);
}

/// (195 a second, 195 of burst) over five seconds, a tenth more, and 20.
const MAX_SENT_WITHIN_FIVE_SECONDS: usize = 1_307;

#[test_case(Fault::None; "in calm")]
#[test_case(Fault::CounterMove(2_500, 4_000); "the count moves")]
#[test_case(Fault::CounterMove(2_500, 2_600); "the count moves at once")]
#[test_case(Fault::CounterMove(1_100, 2_700); "the count moves as the tenant turns hot")]
#[test_case(Fault::CounterMove(1_500, 9_900); "the count is lost for long")]
#[test_case(Fault::Isolation(4, 3_000, 8_000); "a third is out of touch")]
fn tenant_at_eight_times_its_usual_rate_stays_within_its_quota(fault: Fault) {
    let fleet = run_scenario(fault, 8);
    let max_sent = fleet.max_sent_within_five_seconds();
    assert!(
        max_sent <= MAX_SENT_WITHIN_FIVE_SECONDS,
        "{max_sent} were sent in five seconds, {MAX_SENT_WITHIN_FIVE_SECONDS} are allowed"
    );
    assert!(
        max_sent >= 600,
        "{max_sent} were sent in five seconds: less than what a tenant may have"
    );
}

#[test]
fn tenant_beyond_its_quota_receives_all_of_it() {
    let fleet = run_scenario(Fault::None, 8);
    let sent_after_three_seconds = fleet
        .sent_at
        .iter()
        .filter(|at| **at >= START + 3 * SECOND)
        .count();
    // Seven seconds at 195, and the part of the burst that is refilled evenly: 23 a second.
    assert!(
        (1_330..=1_676).contains(&sent_after_three_seconds),
        "{sent_after_three_seconds} of 1526"
    );
}

#[test]
fn tenant_at_its_usual_rate_is_not_rejected() {
    let fleet = run_scenario(Fault::None, 1);
    assert!(
        fleet.rejected * 200 <= fleet.sent_at.len(),
        "{} of {}",
        fleet.rejected,
        fleet.sent_at.len()
    );
}

#[test]
fn fleet_stays_within_quota_whenever_the_counter_moves() {
    for lost in (900..4_000).step_by(740) {
        for gap in [50, 1_500] {
            let max_sent = run_scenario(Fault::CounterMove(lost, lost + gap), 8)
                .max_sent_within_five_seconds();
            assert!(
                max_sent <= MAX_SENT_WITHIN_FIVE_SECONDS,
                "lost at {lost} ms for {gap} ms: {max_sent} of {MAX_SENT_WITHIN_FIVE_SECONDS}"
            );
        }
    }
}
