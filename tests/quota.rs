//! The mechanism: counts, estimate, local count, an unreachable counter, the cap on attempts out.

mod common;

use common::*;
use streamarch::*;

fn passed(gateway: &mut Gateway, counter: &mut FakeCounter, plan: usize, customer: u64) -> bool {
    let (id, actions) = gateway.send_request(0, plan, customer);
    let actions = counter.answer(gateway, actions);
    for (_, server) in sent_attempts(&actions) {
        let ended = gateway.end_attempt(id, 0, server, Outcome::Ok);
        counter.answer(gateway, ended);
    }
    !sent_attempts(&actions).is_empty()
}

#[test]
fn a_request_is_held_for_its_call_and_passes_on_the_total() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(0, 1, 9);
    assert!(
        sent_attempts(&actions).is_empty()
            && counter_calls(&actions).iter().any(|(_, add)| *add == 1.0)
    );
    let actions = FakeCounter::default().answer(&mut gateway, actions);
    assert_eq!(sent_attempts(&actions)[0].0, id);
}

#[test]
fn a_burst_passes_what_the_store_holds_and_no_more() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let passes = (0..40)
        .filter(|_| passed(&mut gateway, &mut counter, 1, 9))
        .count();
    assert!((9..=11).contains(&passes), "{passes} of a store of 10");
}

#[test]
fn a_steady_heavy_customer_keeps_getting_its_rate() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let mut passes = 0;
    for _ in 0..1000 {
        passes += u32::from(passed(&mut gateway, &mut counter, 1, 9));
        gateway.advance(20 * MS);
    }
    // 20 s at 5 a second and a store of 10.
    assert!((95..=115).contains(&passes), "{passes} passed, 110 granted");
}

#[test]
fn two_gateways_hold_one_quota() {
    let mut pair = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    let passes = (0..40)
        .filter(|n| passed(&mut pair[n % 2], &mut counter, 1, 9))
        .count();
    assert!((9..=11).contains(&passes), "{passes} of a store of 10");
}

#[test]
fn refused_units_are_added_back() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..40).for_each(|_| _ = passed(&mut gateway, &mut counter, 1, 9));
    let total: f64 = counter.0.values().sum();
    assert!(
        (9.0..=11.0).contains(&total),
        "the count holds {total} of a store of 10"
    );
}

#[test]
fn a_crowd_of_refused_tries_costs_no_calls() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..20).for_each(|_| _ = passed(&mut gateway, &mut counter, 1, 9));
    let calls: usize = (0..50)
        .map(|_| counter_calls(&gateway.send_request(0, 1, 9).1).len())
        .sum();
    assert_eq!(calls, 0);
}

#[test]
fn a_silent_counter_lets_requests_pass_after_the_wait() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(0, 1, 9);
    assert!(sent_attempts(&actions).is_empty());
    assert!(
        sent_attempts(&gateway.advance(60 * MS)).is_empty(),
        "it may only be crowded"
    );
    assert_eq!(sent_attempts(&gateway.advance(40 * MS))[0].0, id);
}

#[test]
fn a_lost_counter_costs_no_wait_and_is_found_again() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut log = Vec::new();
    for customer in 0..200 {
        gateway.now += 10 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, customer);
        for (name, _) in counter_calls(&actions) {
            actions.extend(gateway.handle_event(Event::CounterAnswered {
                key: name,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
        log.extend(actions);
    }
    assert!(log.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
    gateway.advance(1200 * MS);
    let (_, actions) = gateway.send_request(0, 1, 50);
    assert_eq!(sent_attempts(&actions).len(), 1, "held for a lost counter");
    let back = FakeCounter::default().answer(&mut gateway, actions);
    assert!(back.contains(&Action::Log("counter service responds again".into())));
}

#[test]
fn a_connection_that_breaks_under_many_calls_is_no_lost_counter() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut out = Vec::new();
    for customer in 0..20 {
        out.extend(counter_calls(&gateway.send_request(0, 1, customer).1));
    }
    assert!(out.len() >= 8);
    let failed = |(name, _)| Event::CounterAnswered {
        key: name,
        outcome: Outcome::TimedOut,
        total: 0.0,
    };
    let actions = gateway.handle_events(&out.into_iter().map(failed).collect::<Vec<_>>());
    assert!(!actions.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
}

#[test]
fn without_an_answer_in_time_what_is_known_here_shows_a_customer_over() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut sent = 0;
    // The store holds 10 units and 5 flow in each second; none of the totals comes in time.
    for n in 0..40 {
        gateway.now += 20 * MS;
        // Others are answered in time: the counter is not crowded.
        for other in 0..4 {
            let (id, actions) = gateway.send_request(0, 1, 100 + 4 * n + other);
            let sent = sent_attempts(&FakeCounter::default().answer(&mut gateway, actions));
            sent.into_iter()
                .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        }
        let (id, mut actions) = gateway.send_request(0, 1, 9);
        for (name, add) in counter_calls(&actions) {
            let outcome = if add >= 0.0 {
                Outcome::TimedOut
            } else {
                Outcome::Ok
            };
            actions.extend(gateway.handle_event(Event::CounterAnswered {
                key: name,
                outcome,
                total: 0.0,
            }));
            gateway.handle_event(Event::LateCounterAnswer);
        }
        for (_, server) in sent_attempts(&actions) {
            sent += 1;
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    assert!((8..=20).contains(&sent), "{sent} sent on");
}

#[test]
fn a_counter_that_answers_late_is_asked_less_and_not_taken_for_lost() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let (mut log, mut calls) = (Vec::new(), [0; 2]);
    for customer in 0..400 {
        gateway.now += 20 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, customer);
        for (name, _) in counter_calls(&actions) {
            calls[usize::from(customer >= 200)] += 1;
            actions.extend(gateway.handle_event(Event::CounterAnswered {
                key: name,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
            gateway.handle_event(Event::LateCounterAnswer);
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
        log.extend(actions);
    }
    assert!(!log.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
    assert!(calls[0] > 0 && calls[1] * 2 < calls[0], "{calls:?}");
}

#[test]
fn a_counter_that_comes_back_empty_grants_no_fresh_store() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..9).for_each(|_| _ = passed(&mut gateway, &mut counter, 1, 9));
    counter.0.clear();
    let passes = (0..40)
        .filter(|_| passed(&mut gateway, &mut counter, 1, 9))
        .count();
    assert!(passes <= 2, "{passes} more after 9 of 10");
}

#[test]
fn true_units_are_carried_to_the_next_call() {
    let mut settles = settings();
    settles.units_are_estimates = true;
    let (mut gateway, mut counter) = (Gateway::with_servers(settles, 4), FakeCounter::default());
    let (id, actions) = gateway.send_request(0, 1, 9);
    let server = sent_attempts(&counter.answer(&mut gateway, actions))[0].1;
    gateway.handle_event(Event::AttemptEnd(AttemptEnd {
        request: id,
        attempt: 0,
        server,
        outcome: Outcome::Ok,
        elapsed: 50 * MS,
        request_finished: true,
        actual_units: Some(4.0),
        load_report: None,
    }));
    let added: f64 = counter_calls(&gateway.send_request(0, 1, 9).1)
        .iter()
        .map(|(_, add)| add)
        .sum();
    assert_eq!(added, 4.0, "one unit and three that the guess was short");
}

#[test]
fn attempts_out_are_capped_over_two_gateways() {
    let mut pair = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    let mut out = Vec::new();
    for n in 0..6 {
        let gateway = &mut pair[n % 2];
        let (_, actions) = gateway.send_request(0, 2, 9);
        out.extend(
            sent_attempts(&counter.answer(gateway, actions))
                .into_iter()
                .map(|s| (n % 2, s)),
        );
    }
    assert_eq!(out.len(), 2);
    let (gateway, (id, server)) = out[0];
    let ended = pair[gateway].end_attempt(id, 0, server, Outcome::Ok);
    counter.answer(&mut pair[gateway], ended);
    pair[1].advance(100 * MS);
    let (_, actions) = pair[1].send_request(0, 2, 9);
    assert_eq!(
        sent_attempts(&counter.answer(&mut pair[1], actions)).len(),
        1,
        "the room was not given back"
    );
}

#[test]
fn what_a_dead_gateway_had_out_is_forgotten() {
    let mut counter = FakeCounter::default();
    let mut dead = Gateway::with_servers(settings(), 4);
    for _ in 0..2 {
        let (_, actions) = dead.send_request(0, 2, 9);
        counter.answer(&mut dead, actions);
    }
    let mut alive = Gateway::with_servers(settings(), 4);
    let (_, actions) = alive.send_request(0, 2, 9);
    assert!(sent_attempts(&counter.answer(&mut alive, actions)).is_empty());
    alive.advance(5 * SECOND);
    let (_, actions) = alive.send_request(0, 2, 9);
    assert_eq!(sent_attempts(&counter.answer(&mut alive, actions)).len(), 1);
}

/// Units told to the counter and units that passed, for one customer at a counter that turns all others away.
fn told_and_passed(seed: u64) -> (f64, f64, usize) {
    let mut large = settings();
    large.plans[1] = plan(500.0, 1000.0);
    let mut gateway = Gateway {
        balancer: Balancer::new(large, seed),
        now: 100 * SECOND,
        next_id: 0,
    };
    let entries = (0..200)
        .map(|n| server_entry(n, ServerState::Ready, 0))
        .collect();
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Cached,
        entries,
    });
    let (mut counter, mut passed, mut calls) = (FakeCounter::default(), 0.0, 0);
    for n in 0..600 {
        gateway.now += 2 * MS;
        let (id, actions) = gateway.send_request(0, 1, 1_000 + n);
        let mut sent = sent_attempts(&actions);
        for (name, _) in counter_calls(&actions) {
            sent.extend(sent_attempts(&gateway.handle_event(
                Event::CounterAnswered {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                },
            )));
        }
        sent.into_iter()
            .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        let (id, actions) = gateway.send_request(0, 1, seed);
        calls += counter_calls(&actions).len();
        for (_, server) in sent_attempts(&counter.answer(&mut gateway, actions)) {
            passed += 1.0;
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    (counter.0.values().sum(), passed, calls)
}

#[test]
fn a_crowded_counter_is_told_what_passes_by_a_few_calls() {
    let all: Vec<(f64, f64, usize)> = (0..16).map(told_and_passed).collect();
    let calls: usize = all.iter().map(|a| a.2).sum();
    assert!(calls < 16 * 150, "{calls} calls");
    let off = all
        .iter()
        .map(|(told, passed, _)| (told / passed - 1.0).abs())
        .sum::<f64>()
        / 16.0;
    assert!(off < 0.2, "off by {off} of what passed");
}

#[test]
fn a_counter_that_lost_its_numbers_is_told_them_again() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..9).for_each(|_| _ = passed(&mut gateway, &mut counter, 1, 9));
    counter.0.clear();
    for _ in 0..40 {
        passed(&mut gateway, &mut counter, 1, 9);
        gateway.advance(20 * MS);
    }
    let most = counter.0.values().copied().fold(0.0, f64::max);
    assert!(
        most >= 9.0,
        "{most} told of what has passed: others would let a store pass"
    );
}

#[test]
fn a_customer_gets_its_rate_where_the_first_answer_of_each_window_is_lost() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let mut passes = 0;
    for _ in 0..1000 {
        // Others are answered in time: the counter is not crowded.
        (0..3).for_each(|n| _ = passed(&mut gateway, &mut counter, 1, 100 + n));
        let (id, mut actions) = gateway.send_request(0, 1, 9);
        let new = |(name, _): &(CounterKey, f64)| !counter.0.contains_key(name);
        if let Some((name, add)) = counter_calls(&actions).into_iter().find(new) {
            *counter.0.entry(name).or_default() += add;
            actions.extend(gateway.handle_event(Event::CounterAnswered {
                key: name,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
        } else {
            actions = counter.answer(&mut gateway, actions);
        }
        for (_, server) in sent_attempts(&actions) {
            passes += 1;
            let ended = gateway.end_attempt(id, 0, server, Outcome::Ok);
            counter.answer(&mut gateway, ended);
        }
        gateway.advance(20 * MS);
    }
    // 20 s at 5 a second and a store of 10.
    assert!((95..=125).contains(&passes), "{passes} passed, 110 granted");
}

#[test]
fn two_gateways_at_a_crowded_counter_hold_one_quota() {
    let mut pair = [
        Gateway::with_servers(settings(), 8),
        Gateway::with_servers(settings(), 8),
    ];
    let (mut counter, mut passes) = (FakeCounter::default(), 0);
    for n in 0..2000 {
        let gateway = &mut pair[n % 2];
        // Every third call of others is turned away, and each request for them is over at once.
        let (id, actions) = gateway.send_request(0, 1, 1_000 + n as u64);
        let mut sent = sent_attempts(&actions);
        for (name, _) in counter_calls(&actions) {
            let outcome = if n % 16 < 6 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            sent.extend(sent_attempts(&gateway.handle_event(
                Event::CounterAnswered {
                    key: name,
                    outcome,
                    total: 1.0,
                },
            )));
        }
        sent.into_iter()
            .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        passes += u32::from(passed(gateway, &mut counter, 1, 9));
        pair.iter_mut().for_each(|gateway| gateway.now += 10 * MS);
    }
    // 20 s at 5 a second and a store of 10.
    // Few calls leave some doubt.
    assert!((90..=160).contains(&passes), "{passes} passed, 110 granted");
}

/// Plan 1 has 10 units at 5 a second, windows of 2 s. It changes to `to` now, at position 3.
fn change(gateway: &mut Gateway, to: (f64, f64)) {
    let changed = Some((gateway.now, 1));
    gateway.handle_event(Event::PlanAdded(Plan {
        inherited_window: 2 * SECOND,
        predecessor: changed,
        ..plan(to.0, to.1)
    }));
}

fn burst(gateways: &mut [Gateway], counter: &mut FakeCounter, plan: usize, tries: usize) -> usize {
    let many = gateways.len();
    (0..tries)
        .filter(|n| passed(&mut gateways[n % many], counter, plan, 9))
        .count()
}

#[test]
fn a_higher_plan_grants_no_second_burst_and_then_its_own_rate() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    assert!((9..=11).contains(&burst(&mut gateways, &mut counter, 1, 40)));
    gateways.iter_mut().for_each(|g| change(g, (20.0, 40.0)));
    let at_once = burst(&mut gateways, &mut counter, 3, 40);
    assert!(
        at_once <= 1,
        "{at_once} passed right after the change: the store was empty"
    );
    // Two windows later it has filled at the new rate, up to the new burst and no further.
    gateways.iter_mut().for_each(|g| _ = g.advance(4 * SECOND));
    let filled = burst(&mut gateways, &mut counter, 3, 120);
    assert!((34..=44).contains(&filled), "{filled} of a store of 40");
}

#[test]
fn a_lower_plan_leaves_what_is_left_as_far_as_it_holds_it() {
    for (used, left) in [(0, 6), (8, 2)] {
        let mut gateways = [Gateway::with_servers(settings(), 4)];
        let mut counter = FakeCounter::default();
        assert_eq!(burst(&mut gateways, &mut counter, 1, used), used);
        change(&mut gateways[0], (1.0, 6.0));
        let passes = burst(&mut gateways, &mut counter, 3, 20);
        assert!(
            (left - 1..=left + 1).contains(&passes),
            "{passes} after {used}, {left} were left"
        );
    }
}

#[test]
fn back_and_forth_in_one_window_is_as_if_nothing_had_changed() {
    let mut gateways = [Gateway::with_servers(settings(), 4)];
    let mut counter = FakeCounter::default();
    assert_eq!(burst(&mut gateways, &mut counter, 1, 6), 6);
    change(&mut gateways[0], (20.0, 40.0));
    gateways[0].handle_event(Event::PlanAdded(Plan {
        inherited_window: 2 * SECOND,
        predecessor: Some((gateways[0].now, 3)),
        ..plan(5.0, 10.0)
    }));
    let between = burst(&mut gateways, &mut counter, 3, 1);
    let passes = burst(&mut gateways, &mut counter, 4, 20);
    assert!(
        (3..=5).contains(&(between + passes)),
        "{between} and {passes} of the 4 that were left"
    );
}

#[test]
fn a_gateway_that_never_saw_the_customer_grants_it_no_second_burst_either() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    assert!((9..=11).contains(&burst(&mut gateways[..1], &mut counter, 1, 40)));
    gateways.iter_mut().for_each(|g| change(g, (20.0, 40.0)));
    let at_once = burst(&mut gateways[1..], &mut counter, 3, 40);
    assert!(at_once <= 2, "{at_once} passed through the other gateway");
}

/// Units passed to a customer at 20 tries a second, without the counter for 12 s: after 3 s with it, or at once.
fn passed_without_the_counter(slices: bool, heard_before: bool) -> usize {
    let mut gateway = Gateway::with_servers(
        Settings {
            even_shares_counter_lost: slices,
            ..settings()
        },
        8,
    );
    let (mut counter, mut passed, before) =
        (FakeCounter::default(), 0, if heard_before { 60 } else { 0 });
    for tick in 0..before + 240 {
        gateway.now += 50 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, 7);
        if tick < before {
            actions = counter.answer(&mut gateway, actions);
        } else {
            for (name, _) in counter_calls(&actions) {
                actions.extend(gateway.handle_event(Event::CounterAnswered {
                    key: name,
                    outcome: Outcome::TimedOut,
                    total: 0.0,
                }));
            }
            passed += sent_attempts(&actions).len();
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    passed
}

/// Guards two faults of a gateway cut off from the counter, where `lost_slices` is set: it granted a customer as if it
/// were its only gateway, and one whose verdicts had kept it out was refused all until the counter came back.
#[test]
fn without_the_counter_a_gateway_grants_its_even_slice_and_no_more() {
    // Rate 5 and burst 10 over a set of 2: 12 s hold 35 units a gateway.
    let sliced = [true, false].map(|before| passed_without_the_counter(true, before));
    assert!(
        sliced.iter().all(|n| (32..=40).contains(n)),
        "{sliced:?} passed in slices"
    );
    let open = [true, false].map(|before| passed_without_the_counter(false, before));
    assert!(
        open[0] < 20 && open[1] > 50,
        "{open:?} passed as DESIGN has it"
    );
}
