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
const COUNT_WAIT: Micros = 300 * MS;

/// A message to a proxy.
enum News {
    Total(u64, f64),
    Lost(u64),
    Moved(u64),
}

struct Proxy {
    router: RequestRouter,
    keys: SlotMap<RequestKey, ()>,
    /// One-way delay to the counter.
    far: Micros,
    cut: bool,
    /// Calls that wait for their totals, and when they time out.
    calls: Vec<(Micros, u64, bool)>,
}

/// A fleet of proxies and the counter that they share.
struct Fleet {
    now: Micros,
    proxies: Vec<Proxy>,
    /// Messages on their way to the counter, and from it.
    adds: BTreeMap<(Micros, u64), (usize, u64, f64)>,
    news: BTreeMap<(Micros, u64), (usize, News)>,
    number: u64,
    counts: BTreeMap<u64, f64>,
    held: bool,
    /// The share of the proxies that the counter assumes to reach it.
    reached: f64,
    sent: Vec<Micros>,
    refused: usize,
}

fn route() -> Route {
    let text = r#"{"host":"h","prefix":"/","kind":"idem","timeout":"3s","target_time":"500ms","svc":"s","tries":2}"#;
    serde_json::from_str(text).unwrap()
}

fn servers() -> Vec<ServerEntry> {
    let one = |number| ServerEntry {
        server: ServerId(number),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: 0,
    };
    (1..=20).map(one).collect()
}

impl Fleet {
    /// This many proxies; every third one is next to the counter, the others in other regions.
    fn new(proxies: usize) -> Fleet {
        let proxy = |at: usize| {
            let mut router = RequestRouter::new(at as u64, Bounds::default());
            for early in [3 * SECOND, 0] {
                router.set_limiter_count(START - early, proxies as u32);
            }
            router.set_counter_term(Some(1));
            router.create_engine("s", &[], 500 * MS, servers());
            let far = if at.is_multiple_of(3) { MS } else { 55 * MS };
            Proxy {
                router,
                keys: SlotMap::with_key(),
                far,
                cut: false,
                calls: Vec::new(),
            }
        };
        Fleet {
            now: START,
            proxies: (0..proxies).map(proxy).collect(),
            adds: BTreeMap::new(),
            news: BTreeMap::new(),
            number: 0,
            counts: BTreeMap::new(),
            held: true,
            reached: 1.0,
            sent: Vec::new(),
            refused: 0,
        }
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// The counter moves: for a time there is none, then an empty one.
    fn lose(&mut self) {
        self.held = false;
        self.counts.clear();
    }

    fn find(&mut self, term: u64) {
        self.held = true;
        for at in 0..self.proxies.len() {
            let key = (self.now + self.proxies[at].far, self.number());
            self.news.insert(key, (at, News::Moved(term)));
        }
    }

    /// One millisecond: messages arrive, and this proxy receives this many requests of the tenant.
    fn step(&mut self, tenant: &Tenant, requests: impl Fn(usize) -> usize) {
        self.now += MS;
        while let Some(entry) = self
            .adds
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (at, name, units) = entry.remove();
            let news = if self.held {
                let total = self.counts.entry(name).or_default();
                let alone = *total == 0.0;
                *total += units;
                News::Total(name, if alone { *total } else { *total / self.reached })
            } else {
                News::Lost(name)
            };
            let key = (self.now + self.proxies[at].far, self.number());
            self.news.insert(key, (at, news));
        }
        while let Some(entry) = self
            .news
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (at, news) = entry.remove();
            let proxy = &mut self.proxies[at];
            if proxy.cut {
                continue;
            }
            match news {
                News::Moved(term) => proxy.router.set_counter_term(Some(term)),
                News::Total(name, _) | News::Lost(name) => {
                    let Some(call) = proxy
                        .calls
                        .iter()
                        .position(|(_, called, _)| *called == name)
                    else {
                        continue;
                    };
                    let (_, _, expired) = proxy.calls.remove(call);
                    match news {
                        _ if expired => proxy.router.handle_late_counter_result(),
                        News::Total(_, total) => {
                            proxy.router.handle_counter_result(name, Outcome::Ok, total)
                        }
                        _ => proxy
                            .router
                            .handle_counter_result(name, Outcome::ConnectFailed, 0.0),
                    }
                }
            }
        }
        for at in 0..self.proxies.len() {
            for _ in 0..requests(at) {
                let proxy = &mut self.proxies[at];
                let request = proxy.keys.insert(());
                let (route, deadline) = (route(), self.now + 3 * SECOND);
                let tenant = Some(("t", tenant));
                let asked = RoutingRequest {
                    key: request,
                    request_id: "i",
                    route: &route,
                    service: "s",
                    tenant,
                    allowed_regions: &[],
                    deadline,
                };
                proxy.router.submit(self.now, &asked).unwrap();
            }
            self.decide(at);
        }
    }

    fn decide(&mut self, at: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[at];
        for (_, name, expired) in proxy
            .calls
            .iter_mut()
            .filter(|(due, _, expired)| !*expired && *due <= now)
        {
            *expired = true;
            proxy
                .router
                .handle_counter_result(*name, Outcome::TimedOut, 0.0);
        }
        // An engine decides once a microsecond.
        for round in 0..4 {
            let mut steps = Vec::new();
            self.proxies[at]
                .router
                .run(now + round, &mut steps, |_, _| {});
            for step in steps {
                match step {
                    RouterAction::SendAttempt {
                        handle: ticket,
                        attempt: leg,
                        ..
                    } => {
                        self.sent.push(now);
                        self.proxies[at].router.handle_attempt_ended(
                            now + round,
                            ticket,
                            leg,
                            Outcome::Ok,
                        );
                    }
                    RouterAction::Reject(..) => self.refused += 1,
                    RouterAction::AddToCounter(add) => {
                        let key = (now + self.proxies[at].far, self.number());
                        self.proxies[at]
                            .calls
                            .push((now + COUNT_WAIT, add.counter, false));
                        if !self.proxies[at].cut {
                            self.adds.insert(key, (at, add.counter, add.units));
                        }
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
    }

    /// Most requests that were sent within any five seconds.
    fn most(&self) -> usize {
        let within = |from: usize| {
            self.sent[from..]
                .iter()
                .take_while(|at| **at < self.sent[from] + 5 * SECOND)
                .count()
        };
        (0..self.sent.len()).map(within).max().unwrap_or(0)
    }
}

/// Timeline of the faults, in milliseconds from the start.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    /// The counter is lost, and found empty.
    Moves(i64, i64),
    /// This many proxies are isolated for a time.
    Cut(usize, i64, i64),
}

fn play(trouble: Trouble, usual: usize) -> Fleet {
    let tenant: Tenant = serde_json::from_str(r#"{"per_s":195,"burst":195}"#).unwrap();
    let mut fleet = Fleet::new(12);
    for ms in 0..10_000 {
        match trouble {
            Trouble::Moves(lost, _) if ms == lost => fleet.lose(),
            Trouble::Moves(_, found) if ms == found => fleet.find(2),
            Trouble::Cut(count, from, _) if ms == from => {
                fleet
                    .proxies
                    .iter_mut()
                    .take(count)
                    .for_each(|proxy| proxy.cut = true);
            }
            // From two seconds on the counter extrapolates its totals to the proxies that do not
            // reach it.
            Trouble::Cut(count, from, _) if ms == from + 2_400 => {
                fleet.reached = 1.0 - count as f64 / 12.0
            }
            Trouble::Cut(count, _, to) if ms == to => {
                fleet
                    .proxies
                    .iter_mut()
                    .take(count)
                    .for_each(|proxy| proxy.cut = false);
            }
            Trouble::Cut(_, _, to) if ms == to + 400 => fleet.reached = 1.0,
            _ => {}
        }
        // 122 a second is the usual rate, and eight times as many from the first second on.
        let period = if ms < 1_000 { 98 } else { 98 / usual as i64 };
        fleet.step(&tenant, |at| {
            usize::from((ms + 8 * at as i64) % period == 0)
        });
    }
    fleet
}

#[test]
fn tenant_back_at_its_usual_rate_is_soon_not_rejected() {
    let tenant: Tenant = serde_json::from_str(r#"{"per_s":195,"burst":195}"#).unwrap();
    let mut fleet = Fleet::new(12);
    for ms in 0..9_000 {
        let period = if (1_000..5_000).contains(&ms) { 12 } else { 98 };
        match ms {
            3_500 => fleet.lose(),
            4_900 => fleet.find(2),
            7_000 => fleet.refused = 0,
            _ => {}
        }
        fleet.step(&tenant, |at| {
            usize::from((ms + 8 * at as i64) % period == 0)
        });
    }
    assert!(fleet.refused <= 3, "{}", fleet.refused);
}

/// (195 a second, 195 of burst) over five seconds, a tenth more, and 20.
const ALLOWED: usize = 1_307;

#[test_case(Trouble::None; "in calm")]
#[test_case(Trouble::Moves(2_500, 4_000); "the count moves")]
#[test_case(Trouble::Moves(2_500, 2_600); "the count moves at once")]
#[test_case(Trouble::Moves(1_100, 2_700); "the count moves as the tenant turns hot")]
#[test_case(Trouble::Moves(1_500, 9_900); "the count is lost for long")]
#[test_case(Trouble::Cut(4, 3_000, 8_000); "a third is out of touch")]
fn tenant_at_eight_times_its_usual_rate_stays_within_its_quota(trouble: Trouble) {
    let fleet = play(trouble, 8);
    let most = fleet.most();
    assert!(
        most <= ALLOWED,
        "{most} were sent in five seconds, {ALLOWED} are allowed"
    );
    assert!(
        most >= 600,
        "{most} were sent in five seconds: less than what a tenant may have"
    );
}

#[test]
fn tenant_beyond_its_quota_gets_all_of_it() {
    let fleet = play(Trouble::None, 8);
    let later = fleet
        .sent
        .iter()
        .filter(|at| **at >= START + 3 * SECOND)
        .count();
    // Seven seconds at 195, and the part of the burst that is refilled evenly: 23 a second.
    assert!((1_330..=1_676).contains(&later), "{later} of 1526");
}

#[test]
fn tenant_at_its_usual_rate_is_not_rejected() {
    let fleet = play(Trouble::None, 1);
    assert!(
        fleet.refused * 200 <= fleet.sent.len(),
        "{} of {}",
        fleet.refused,
        fleet.sent.len()
    );
}

#[test]
fn fleet_stays_within_quota_whenever_the_counter_moves() {
    for lost in (900..4_000).step_by(740) {
        for gap in [50, 1_500] {
            let most = play(Trouble::Moves(lost, lost + gap), 8).most();
            assert!(
                most <= ALLOWED,
                "lost at {lost} ms for {gap} ms: {most} of {ALLOWED}"
            );
        }
    }
}
