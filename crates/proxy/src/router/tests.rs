//! One limiter's engines, run until they return no more actions, with servers and a counter that
//! respond immediately.

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

/// A router with servers that respond immediately, and a counter that does so or fails.
struct Bench {
    router: RequestRouter,
    keys: SlotMap<RequestKey, ()>,
    now: Micros,
    counter_totals: BTreeMap<u64, f64>,
    sent_count: usize,
    over_quota_count: usize,
    is_counter_up: bool,
}

impl Bench {
    fn new(limiters: u32) -> Bench {
        assert!(Items::new().is_empty());
        let mut router = RequestRouter::new(7, Bounds::default());
        router.set_limiter_count(START - STARTUP_DURATION, limiters);
        router.set_limiter_count(START, limiters);
        router.create_engine("s", &[], 500 * MS, (1..=20).map(server).collect());
        let (keys, counter_totals) = (SlotMap::with_key(), BTreeMap::new());
        Bench {
            router,
            keys,
            now: START,
            counter_totals,
            sent_count: 0,
            over_quota_count: 0,
            is_counter_up: true,
        }
    }

    fn submit_request(&mut self, tenant: Option<&Tenant>) -> RequestKey {
        let request = self.keys.insert(());
        let (route, deadline) = (route("idem"), self.now + 3 * SECOND);
        let tenant = tenant.map(|tenant| ("t", tenant));
        let routing_request = RoutingRequest {
            key: request,
            request_id: "i",
            route: &route,
            service: "s",
            tenant,
            allowed_regions: &[],
            deadline,
        };
        self.router.submit(self.now, &routing_request).unwrap();
        request
    }

    /// Runs the router until it returns no more actions, and reports the results of all actions.
    fn run_until_idle(&mut self) {
        for _ in 0..8 {
            let mut actions = Vec::new();
            self.router.run(self.now, &mut actions, |_, _| {});
            for action in actions {
                match action {
                    RouterAction::SendAttempt {
                        handle, attempt, ..
                    } => {
                        self.sent_count += 1;
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
                    ) => self.over_quota_count += 1,
                    RouterAction::AddToCounter(add) if self.is_counter_up => {
                        let total = self.counter_totals.entry(add.counter).or_default();
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
fn request_without_quota_makes_no_counter_call_and_one_with_quota_makes_it_first() {
    let mut bench = Bench::new(4);
    bench.submit_request(None);
    bench.run_until_idle();
    assert_eq!((bench.sent_count, bench.counter_totals.len()), (1, 0));
    bench.submit_request(Some(&tenant(100.0)));
    bench.run_until_idle();
    assert_eq!(bench.sent_count, 2);
    assert!(
        bench
            .counter_totals
            .values()
            .any(|total| (*total - 1.0).abs() < 0.1),
        "{:?}",
        bench.counter_totals
    );
}

#[test]
fn all_requests_submitted_before_one_run_are_admitted() {
    let mut bench = Bench::new(1);
    let limited = tenant(100.0);
    (0..20).for_each(|_| _ = bench.submit_request(Some(&limited)));
    bench.run_until_idle();
    assert_eq!((bench.sent_count, bench.over_quota_count), (20, 0));
}

#[test]
fn only_the_tenant_over_its_quota_is_rejected() {
    let mut bench = Bench::new(1);
    let limited_tenant = tenant(20.0);
    for _ in 0..500 {
        bench.submit_request(Some(&limited_tenant));
        bench.submit_request(None);
        bench.run_until_idle();
        bench.now += 10 * MS;
    }
    let admitted = bench.sent_count - 500;
    // In five seconds: 100 by the rate, a burst of 20, and at most the permitted overshoot.
    assert!(
        (80..=145).contains(&admitted) && bench.over_quota_count == 500 - admitted,
        "{admitted}"
    );
}

#[test]
fn without_the_counter_a_limiter_stays_within_its_share() {
    let mut bench = Bench::new(10);
    bench.is_counter_up = false;
    let limited = tenant(100.0);
    for _ in 0..1_000 {
        bench.submit_request(Some(&limited));
        bench.run_until_idle();
        bench.now += 5 * MS;
    }
    // A tenth of the 600 that the quota permits in five seconds.
    assert!(
        (40..=66).contains(&bench.sent_count),
        "{}",
        bench.sent_count
    );
}

#[test_case::test_case(|router: &mut RequestRouter| router.set_isolated(true); "isolated")]
#[test_case::test_case(|router: &mut RequestRouter| router.handle_clock_jump(START, SECOND); "after a clock jump")]
fn isolation_or_clock_jump_reduces_the_share_to_a_third(fault: fn(&mut RequestRouter)) {
    let mut bench = Bench::new(10);
    let limited = tenant(100.0);
    bench.submit_request(Some(&limited));
    bench.run_until_idle();
    fault(&mut bench.router);
    bench.is_counter_up = false;
    bench.sent_count = 0;
    while bench.now < START + SECOND {
        bench.submit_request(Some(&limited));
        bench.run_until_idle();
        bench.now += 5 * MS;
    }
    // A thirtieth of the 155 that the quota permits in the first second; a tenth is usual.
    assert!((2..=8).contains(&bench.sent_count), "{}", bench.sent_count);
    fault(&mut bench.router);
    bench.router.set_isolated(false);
    bench.now += SECOND;
    for _ in 0..200 {
        bench.submit_request(Some(&limited));
        bench.run_until_idle();
        bench.now += 5 * MS;
    }
    assert!(
        (13..=32).contains(&bench.sent_count),
        "{}",
        bench.sent_count
    );
}

#[test]
fn counter_that_changes_its_owner_grants_no_window_twice() {
    // Ten limiters, a tenant at ten times its quota, and a counter that moves to another owner each
    // second and is then empty.
    let mut limiters: Vec<Bench> = (0..10).map(|_| Bench::new(10)).collect();
    let (limited, mut counter_totals) = (tenant(100.0), BTreeMap::new());
    for round in 0..500 {
        if round % 100 == 50 {
            counter_totals.clear();
            limiters
                .iter_mut()
                .for_each(|limiter| limiter.router.set_counter_term(Some(round)));
        }
        for limiter in &mut limiters {
            std::mem::swap(&mut counter_totals, &mut limiter.counter_totals);
            limiter.submit_request(Some(&limited));
            limiter.run_until_idle();
            std::mem::swap(&mut counter_totals, &mut limiter.counter_totals);
            limiter.now = START + (round as Micros + 1) * 10 * MS;
        }
    }
    let sent_count: usize = limiters.iter().map(|limiter| limiter.sent_count).sum();
    // Five seconds at 100 per second, a burst of 100, and the permitted overshoot; everything beyond
    // is rejected.
    assert!((350..=680).contains(&sent_count), "{sent_count}");
}

#[test]
fn briefly_expired_leases_do_not_enlarge_the_share() {
    let mut router = RequestRouter::new(7, Bounds::default());
    let announcements = [
        (0, 3, 16),
        (1, 12, 24),
        (4, 5, 12),
        (5, 5, 12),
        (14, 3, 12),
        (15, 4, 5),
        (16, 12, 12),
        (17, 4, 12),
    ];
    for (second, limiter_count, divisor) in announcements {
        router.set_limiter_count(second * SECOND, limiter_count);
        assert_eq!(router.quota_divisor, divisor, "at {second} s");
    }
}

#[test]
fn clock_jump_does_not_enlarge_the_share() {
    let mut router = RequestRouter::new(7, Bounds::default());
    // First for a limiter that has just started, then for one to which a lower number was announced.
    for (jump_from, second, limiter_count, divisor) in
        [(0, 0, 1, 16), (0, 9, 1, 16), (11, 11, 4, 4), (11, 12, 1, 4)]
    {
        let now = second * SECOND;
        if jump_from < second {
            router.handle_clock_jump(now, (second - jump_from) * SECOND);
        }
        router.set_limiter_count(now, limiter_count);
        assert_eq!(router.quota_divisor, divisor, "at {second} s");
    }
    router.handle_clock_jump(30 * SECOND, 18 * SECOND);
    router.set_limiter_count(30 * SECOND, 1);
    assert_eq!(router.quota_divisor, 4);
}

#[test]
fn earlier_term_is_no_change_of_the_counters_owner() {
    let mut bench = Bench::new(4);
    bench.router.set_counter_term(Some(6));
    assert!(bench.router.quota_shares.is_binding(bench.now));
    // The second request is submitted after the first total.
    for _ in 0..2 {
        bench.submit_request(Some(&tenant(100.0)));
        bench.run_until_idle();
    }
    bench.now += 10 * SECOND;
    for (term, is_change) in [(6, false), (5, false), (6, false), (7, true)] {
        bench.router.set_counter_term(Some(term));
        assert_eq!(
            bench.router.quota_shares.is_binding(bench.now),
            is_change,
            "term {term}"
        );
    }
}

#[test]
fn changed_limits_of_a_tenant_get_their_own_plan() {
    let mut bench = Bench::new(1);
    for per_s in [10.0, 10.0, 20.0, 10.0] {
        bench.submit_request(Some(&tenant(per_s)));
        bench.run_until_idle();
    }
    assert_eq!((bench.router.plan_count, bench.sent_count), (3, 4));
}

/// Engines number their authorisations independently: the end of a request in one engine must not
/// end the request with the same key in another.
#[test_case::test_case(true; "clients disconnect")]
#[test_case::test_case(false; "requests are rejected")]
fn end_of_one_request_leaves_others_in_the_quota_engine(clients_disconnect: bool) {
    let mut bench = Bench::new(4);
    bench
        .router
        .create_engine("empty", &[], 500 * MS, Vec::new());
    let (limited, route, deadline) = (tenant(100.0), route("idem"), START + 3 * SECOND);
    let mut submit = |service, tenant| {
        let request = bench.keys.insert(());
        let routing_request = RoutingRequest {
            key: request,
            request_id: "i",
            route: &route,
            service,
            tenant,
            allowed_regions: &[],
            deadline,
        };
        bench.router.submit(START, &routing_request).unwrap()
    };
    let quota_checked: Vec<RequestHandle> = (0..40)
        .map(|_| submit("s", Some(("t", &limited))))
        .collect();
    let others: Vec<RequestHandle> = (0..40).map(|_| submit("empty", None)).collect();
    assert!(
        quota_checked
            .iter()
            .zip(&others)
            .all(|(one, other)| one.key == other.key && one.engine_index == 0)
    );
    let (mut actions, mut counter_adds) = (Vec::new(), Vec::new());
    if clients_disconnect {
        others.into_iter().for_each(|other| {
            bench
                .router
                .handle_client_disconnected(START, other, &mut actions)
        });
    }
    bench.router.run(START, &mut actions, |_, _| {});
    for action in actions {
        match action {
            RouterAction::SendAttempt {
                handle, attempt, ..
            } => {
                bench.sent_count += 1;
                assert!(
                    bench
                        .router
                        .handle_attempt_ended(START, handle, attempt, Outcome::Ok)
                );
            }
            RouterAction::AddToCounter(add) => counter_adds.push(add),
            RouterAction::Reject(
                _,
                EngineRejection::Declined {
                    over_quota: false, ..
                },
            ) => assert!(!clients_disconnect),
            other => panic!("{other:?}"),
        }
    }
    // Some are admitted by the local share; the others wait for the counter's total.
    assert!((1..40).contains(&bench.sent_count), "{}", bench.sent_count);
    counter_adds.into_iter().for_each(|add| {
        bench
            .router
            .handle_counter_result(add.counter, Outcome::Ok, add.units)
    });
    bench.run_until_idle();
    assert_eq!(bench.sent_count, 40);
}
