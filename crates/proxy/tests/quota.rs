//! Enforcement of a tenant's quota over all proxies, in simulated time: with a counter that most
//! proxies reach over a long distance, that moves to another node, or that is unreachable.

use std::collections::BTreeMap;

use protocol::items::{Route, Tenant};
use protocol::settings::Bounds;
use proxy::router::{RequestKey, RequestRouter, RouterAction, RoutingRequest};
use slotmap::SlotMap;
use streamarch::{Micros, Outcome, ServerEntry, ServerId, ServerState};
use test_case::test_case;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Start of the simulated time.
const START: Micros = 1_000 * SECOND;
/// Timeout of a counter call, the shortest that the proxy's host uses.
const COUNTER_TIMEOUT: Micros = 300 * MS;

/// A message from the counter to a proxy.
enum CounterMessage {
    /// The total of this counter.
    Total(u64, f64),
    /// The call for this counter failed: no node holds it.
    Unavailable(u64),
    /// The counter has moved to another node, which holds it in this term.
    TermChanged(u64),
}

/// The router of a proxy, and its path to the counter.
struct Proxy {
    router: RequestRouter,
    keys: SlotMap<RequestKey, ()>,
    /// One-way delay to the counter.
    one_way_delay: Micros,
    /// No message passes between this proxy and the counter.
    isolated: bool,
    /// Calls without a result: when each times out, its counter, and whether it has timed out.
    calls: Vec<(Micros, u64, bool)>,
}

/// A fleet of proxies and the counter that they share.
struct Fleet {
    /// The simulated time.
    now: Micros,
    proxies: Vec<Proxy>,
    /// Messages to the counter, by their arrival and a sequence number: proxy, counter and units.
    adds_in_flight: BTreeMap<(Micros, u64), (usize, u64, f64)>,
    /// Messages to the proxies, by their arrival and a sequence number.
    messages_in_flight: BTreeMap<(Micros, u64), (usize, CounterMessage)>,
    /// Number of messages so far. It orders messages that arrive at the same time.
    sequence: u64,
    /// The counter's totals.
    totals: BTreeMap<u64, f64>,
    /// Whether a node holds the counter.
    counter_available: bool,
    /// The share of the proxies that the counter assumes to reach it; it scales its totals up by
    /// this.
    reachable_fraction: f64,
    /// When each request was sent to a server.
    sent_at: Vec<Micros>,
    /// Number of rejected requests.
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
    /// Creates this many proxies. Every third one is 1 ms from the counter, the others are in other
    /// regions, 55 ms away.
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

    /// The counter becomes unavailable and loses its totals.
    fn lose_counter(&mut self) {
        self.counter_available = false;
        self.totals.clear();
    }

    /// An empty counter becomes available in this term, and all proxies are notified.
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

    /// Advances the time by 1 ms: messages arrive, and each proxy receives the tenant's requests,
    /// whose number `requests` returns by the index of the proxy.
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

    /// Expires counter calls, lets the router of a proxy decide and carries out its actions.
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
        // An engine decides at most once per microsecond.
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

    /// The highest number of requests sent to servers within any window of 5 s.
    fn max_sent_within_five_seconds(&self) -> usize {
        let sent_within = |from: usize| {
            self.sent_at[from..]
                .iter()
                .take_while(|sent_at| **sent_at < self.sent_at[from] + 5 * SECOND)
                .count()
        };
        (0..self.sent_at.len()).map(sent_within).max().unwrap_or(0)
    }
}

/// A fault, with its times in milliseconds from the start.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// The counter is lost at the first time, and an empty one is available from the second time
    /// on.
    CounterMove(i64, i64),
    /// This many proxies are isolated from the counter between the two times.
    Isolation(usize, i64, i64),
}

/// Simulates 10 s with this fault. From the second one on the tenant sends `load_factor` times its
/// usual rate.
fn run_scenario(fault: Fault, load_factor: usize) -> Fleet {
    let tenant: Tenant = serde_json::from_str(r#"{"per_s":195,"burst":195}"#).unwrap();
    let mut fleet = Fleet::new(12);
    for ms in 0..10_000 {
        match fault {
            Fault::CounterMove(lost_at, _) if ms == lost_at => fleet.lose_counter(),
            Fault::CounterMove(_, restored) if ms == restored => fleet.restore_counter(2),
            Fault::Isolation(count, from, _) if ms == from => {
                fleet
                    .proxies
                    .iter_mut()
                    .take(count)
                    .for_each(|proxy| proxy.isolated = true);
            }
            // After more than 2 s of isolation the counter extrapolates its totals to the proxies
            // that do not reach it.
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
        // A request every 98 ms at each of 12 proxies is the usual rate of 122 per second.
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
    assert!(fleet.rejected <= 3, "{} requests rejected", fleet.rejected);
}

/// The quota over 5 s (195 per second and a burst of 195), with a tolerance of a tenth and 20.
const MAX_SENT_WITHIN_FIVE_SECONDS: usize = 1_307;

#[test_case(Fault::None; "no fault")]
#[test_case(Fault::CounterMove(2_500, 4_000); "the counter moves")]
#[test_case(Fault::CounterMove(2_500, 2_600); "the counter moves within 100 ms")]
#[test_case(Fault::CounterMove(1_100, 2_700); "the counter moves as the rate rises")]
#[test_case(Fault::CounterMove(1_500, 9_900); "the counter is unavailable for long")]
#[test_case(Fault::Isolation(4, 3_000, 8_000); "a third of the proxies is isolated")]
fn tenant_at_eight_times_its_usual_rate_stays_within_its_quota(fault: Fault) {
    let fleet = run_scenario(fault, 8);
    let max_sent = fleet.max_sent_within_five_seconds();
    assert!(
        max_sent <= MAX_SENT_WITHIN_FIVE_SECONDS,
        "{max_sent} requests were sent within 5 s, {MAX_SENT_WITHIN_FIVE_SECONDS} are allowed"
    );
    assert!(
        max_sent >= 600,
        "{max_sent} requests were sent within 5 s: less than the quota"
    );
}

#[test]
fn tenant_beyond_its_quota_receives_all_of_it() {
    let fleet = run_scenario(Fault::None, 8);
    let sent_after_three_seconds = fleet
        .sent_at
        .iter()
        .filter(|sent_at| **sent_at >= START + 3 * SECOND)
        .count();
    // 7 s at 195 per second, and 23 per second from the part of the burst that is refilled evenly.
    assert!(
        (1_330..=1_676).contains(&sent_after_three_seconds),
        "{sent_after_three_seconds} requests sent, 1526 expected"
    );
}

#[test]
fn tenant_at_its_usual_rate_is_not_rejected() {
    let fleet = run_scenario(Fault::None, 1);
    assert!(
        fleet.rejected * 200 <= fleet.sent_at.len(),
        "{} requests rejected, {} sent",
        fleet.rejected,
        fleet.sent_at.len()
    );
}

#[test]
fn fleet_stays_within_quota_whenever_the_counter_moves() {
    for lost_at in (900..4_000).step_by(740) {
        for gap in [50, 1_500] {
            let max_sent = run_scenario(Fault::CounterMove(lost_at, lost_at + gap), 8)
                .max_sent_within_five_seconds();
            assert!(
                max_sent <= MAX_SENT_WITHIN_FIVE_SECONDS,
                "counter lost at {lost_at} ms for {gap} ms: {max_sent} sent, {MAX_SENT_WITHIN_FIVE_SECONDS} allowed"
            );
        }
    }
}
