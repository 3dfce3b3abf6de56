//! One limiter's engines, run until nothing follows, with servers and a counter that answer at
//! once.

use protocol::items::Items;
use slotmap::SlotMap;
use streamarch::{ServerEntry, ServerState};

use super::quota_engine::STARTUP_DURATION;
use super::*;

const START: Micros = 10 * SECOND;

fn route(kind: &str) -> Route {
    let text = format!(
        r#"{{"host":"h","prefix":"/a/","kind":"{kind}","timeout":"3s","target_time":"500ms","prio":2,"svc":"s","tries":2}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn tenant(per_s: f64) -> Tenant {
    serde_json::from_str(&format!(r#"{{"per_s":{per_s},"burst":{per_s}}}"#)).unwrap()
}

fn server(number: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(number),
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 2.0,
        started_at: 0,
    }
}

struct Bench {
    router: RequestRouter,
    keys: SlotMap<RequestKey, ()>,
    now: Micros,
    counts: BTreeMap<u64, f64>,
    sent: usize,
    refused: usize,
    count_answers: bool,
}

impl Bench {
    fn new(limiters: u32) -> Bench {
        assert!(Items::new().is_empty());
        let mut router = RequestRouter::new(7, Bounds::default());
        router.set_limiter_count(START - STARTUP_DURATION, limiters);
        router.set_limiter_count(START, limiters);
        router.create_engine("s", &[], 500 * MS, (1..=20).map(server).collect());
        let (keys, counts) = (SlotMap::with_key(), BTreeMap::new());
        Bench {
            router,
            keys,
            now: START,
            counts,
            sent: 0,
            refused: 0,
            count_answers: true,
        }
    }

    fn ask(&mut self, tenant: Option<&Tenant>) -> RequestKey {
        let request = self.keys.insert(());
        let (route, deadline) = (route("idem"), self.now + 3 * SECOND);
        let tenant = tenant.map(|tenant| ("t", tenant));
        let request_info = RoutingRequest {
            key: request,
            request_id: "i",
            route: &route,
            service: "s",
            tenant,
            allowed_regions: &[],
            deadline,
        };
        self.router.submit(self.now, &request_info).unwrap();
        request
    }

    /// Runs until nothing follows; servers answer at once, and the counter if there is one.
    fn settle(&mut self) {
        for _ in 0..8 {
            let mut actions = Vec::new();
            self.router.run(self.now, &mut actions, |_, _| {});
            for step in actions {
                match step {
                    RouterAction::SendAttempt {
                        handle, attempt, ..
                    } => {
                        self.sent += 1;
                        assert!(self.router.handle_attempt_ended(
                            self.now,
                            handle,
                            attempt,
                            Outcome::Ok
                        ));
                    }
                    RouterAction::Reject(
                        _,
                        EngineRejection::Declined {
                            over_quota: true, ..
                        },
                    ) => self.refused += 1,
                    RouterAction::AddToCounter(add) if self.count_answers => {
                        let total = self.counts.entry(add.counter).or_default();
                        *total += add.units;
                        self.router
                            .handle_counter_result(add.counter, Outcome::Ok, *total);
                    }
                    RouterAction::AddToCounter(add) => {
                        self.router
                            .handle_counter_result(add.counter, Outcome::ConnectFailed, 0.0)
                    }
                    other => panic!("{other:?}"),
                }
            }
            self.now += 1;
        }
    }
}

#[test]
fn request_without_quota_makes_no_call_and_one_with_it_is_counted_first() {
    let mut bench = Bench::new(4);
    bench.ask(None);
    bench.settle();
    assert_eq!((bench.sent, bench.counts.len()), (1, 0));
    bench.ask(Some(&tenant(100.0)));
    bench.settle();
    assert_eq!(bench.sent, 2);
    assert!(
        bench
            .counts
            .values()
            .any(|total| (*total - 1.0).abs() < 0.1),
        "{:?}",
        bench.counts
    );
}

#[test]
fn all_requests_of_one_turn_are_admitted() {
    let mut bench = Bench::new(1);
    let limited = tenant(100.0);
    (0..20).for_each(|_| _ = bench.ask(Some(&limited)));
    bench.settle();
    assert_eq!((bench.sent, bench.refused), (20, 0));
}

#[test]
fn tenant_beyond_its_quota_is_rejected_and_no_other() {
    let mut bench = Bench::new(1);
    let limited = tenant(20.0);
    for _ in 0..500 {
        bench.ask(Some(&limited));
        bench.ask(None);
        bench.settle();
        bench.now += 10 * MS;
    }
    let limited = bench.sent - 500;
    // Five seconds: 100 for the rate, 20 of burst, and no more than the rules' margin beyond.
    assert!(
        (80..=145).contains(&limited) && bench.refused == 500 - limited,
        "{limited}"
    );
}

#[test]
fn without_the_counter_a_limiter_keeps_to_its_share() {
    let mut bench = Bench::new(10);
    bench.count_answers = false;
    let limited = tenant(100.0);
    for _ in 0..1_000 {
        bench.ask(Some(&limited));
        bench.settle();
        bench.now += 5 * MS;
    }
    // A tenth of 600 in five seconds.
    assert!((40..=66).contains(&bench.sent), "{}", bench.sent);
}

#[test_case::test_case(|m: &mut RequestRouter| m.set_isolated(true); "alone")]
#[test_case::test_case(|m: &mut RequestRouter| m.handle_clock_jump(START, SECOND); "the clock went on at once")]
fn isolated_limiters_share_is_a_third(trouble: fn(&mut RequestRouter)) {
    let mut bench = Bench::new(10);
    let limited = tenant(100.0);
    bench.ask(Some(&limited));
    bench.settle();
    trouble(&mut bench.router);
    bench.count_answers = false;
    bench.sent = 0;
    while bench.now < START + SECOND {
        bench.ask(Some(&limited));
        bench.settle();
        bench.now += 5 * MS;
    }
    // A thirtieth of 155 in the first second, where it was a tenth.
    assert!((2..=8).contains(&bench.sent), "{}", bench.sent);
    trouble(&mut bench.router);
    bench.router.set_isolated(false);
    bench.now += SECOND;
    for _ in 0..200 {
        bench.ask(Some(&limited));
        bench.settle();
        bench.now += 5 * MS;
    }
    assert!((13..=32).contains(&bench.sent), "{}", bench.sent);
}

#[test]
fn moved_counter_grants_no_window_twice() {
    // Ten limiters, a tenant at eight times its quota, and a counter that moves each second and is
    // then empty.
    let mut limiters: Vec<Bench> = (0..10).map(|_| Bench::new(10)).collect();
    let (limited, mut counts) = (tenant(100.0), BTreeMap::new());
    for round in 0..500 {
        if round % 100 == 50 {
            counts.clear();
            limiters
                .iter_mut()
                .for_each(|limiter| limiter.router.set_counter_term(Some(round)));
        }
        for limiter in &mut limiters {
            std::mem::swap(&mut counts, &mut limiter.counts);
            limiter.ask(Some(&limited));
            limiter.settle();
            std::mem::swap(&mut counts, &mut limiter.counts);
            limiter.now = START + (round as Micros + 1) * 10 * MS;
        }
    }
    let sent: usize = limiters.iter().map(|limiter| limiter.sent).sum();
    // Five seconds at 100, 100 of burst, and the rules' margin; everything beyond is rejected.
    assert!((350..=680).contains(&sent), "{sent}");
}

#[test]
fn briefly_expired_leases_enlarge_no_share() {
    let mut router = RequestRouter::new(7, Bounds::default());
    let told = [
        (0, 3, 16),
        (1, 12, 24),
        (4, 5, 12),
        (5, 5, 12),
        (14, 3, 12),
        (15, 4, 5),
        (16, 12, 12),
        (17, 4, 12),
    ];
    for (second, limiters, spread) in told {
        router.set_limiter_count(second * SECOND, limiters);
        assert_eq!(router.quota_divisor, spread, "at {second}");
    }
}

#[test]
fn clock_jump_enlarges_no_share() {
    let mut router = RequestRouter::new(7, Bounds::default());
    // Of a limiter that has just started, and of one that was told of fewer.
    for (told, second, limiters, spread) in
        [(0, 0, 1, 16), (0, 9, 1, 16), (11, 11, 4, 4), (11, 12, 1, 4)]
    {
        let now = second * SECOND;
        if told < second {
            router.handle_clock_jump(now, (second - told) * SECOND);
        }
        router.set_limiter_count(now, limiters);
        assert_eq!(router.quota_divisor, spread, "at {second}");
    }
    router.handle_clock_jump(30 * SECOND, 18 * SECOND);
    router.set_limiter_count(30 * SECOND, 1);
    assert_eq!(router.quota_divisor, 4);
}

#[test]
fn former_term_is_not_a_move_of_the_counter() {
    let mut bench = Bench::new(4);
    bench.router.set_counter_term(Some(6));
    assert!(bench.router.quota_shares.is_binding(bench.now));
    // The second one comes after the first total.
    for _ in 0..2 {
        bench.ask(Some(&tenant(100.0)));
        bench.settle();
    }
    bench.now += 10 * SECOND;
    for (term, moves) in [(6, false), (5, false), (6, false), (7, true)] {
        bench.router.set_counter_term(Some(term));
        assert_eq!(
            bench.router.quota_shares.is_binding(bench.now),
            moves,
            "term {term}"
        );
    }
}

#[test]
fn changed_limits_of_a_tenant_get_their_own_position() {
    let mut bench = Bench::new(1);
    for per_s in [10.0, 10.0, 20.0, 10.0] {
        bench.ask(Some(&tenant(per_s)));
        bench.settle();
    }
    assert_eq!((bench.router.plan_count, bench.sent), (3, 4));
}

/// Engines number their authorisations independently.
#[test_case::test_case(true; "clients leave")]
#[test_case::test_case(false; "they are refused")]
fn end_of_one_request_leaves_others_in_the_quota_engine(leave: bool) {
    let mut bench = Bench::new(4);
    bench
        .router
        .create_engine("empty", &[], 500 * MS, Vec::new());
    let (limited, route, deadline) = (tenant(100.0), route("idem"), START + 3 * SECOND);
    let mut take = |svc, tenant| {
        let request = bench.keys.insert(());
        let request_info = RoutingRequest {
            key: request,
            request_id: "i",
            route: &route,
            service: svc,
            tenant,
            allowed_regions: &[],
            deadline,
        };
        bench.router.submit(START, &request_info).unwrap()
    };
    let judged: Vec<RequestHandle> = (0..40).map(|_| take("s", Some(("t", &limited)))).collect();
    let others: Vec<RequestHandle> = (0..40).map(|_| take("empty", None)).collect();
    assert!(
        judged
            .iter()
            .zip(&others)
            .all(|(one, other)| one.key == other.key && one.engine_index == 0)
    );
    let (mut actions, mut counts) = (Vec::new(), Vec::new());
    if leave {
        others.into_iter().for_each(|other| {
            bench
                .router
                .handle_client_disconnected(START, other, &mut actions)
        });
    }
    bench.router.run(START, &mut actions, |_, _| {});
    for step in actions {
        match step {
            RouterAction::SendAttempt {
                handle, attempt, ..
            } => {
                bench.sent += 1;
                assert!(
                    bench
                        .router
                        .handle_attempt_ended(START, handle, attempt, Outcome::Ok)
                );
            }
            RouterAction::AddToCounter(add) => counts.push(add),
            RouterAction::Reject(
                _,
                EngineRejection::Declined {
                    over_quota: false, ..
                },
            ) => assert!(!leave),
            other => panic!("{other:?}"),
        }
    }
    // Some were admitted by the local share; the others wait for the counter.
    assert!((1..40).contains(&bench.sent), "{}", bench.sent);
    counts.into_iter().for_each(|add| {
        bench
            .router
            .handle_counter_result(add.counter, Outcome::Ok, add.units)
    });
    bench.settle();
    assert_eq!(bench.sent, 40);
}
