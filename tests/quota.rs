//! Quotas: counting, the sliding-window estimate, the local check, an unreachable counter, the concurrency limit.

mod common;

use common::*;
use streamarch::*;

fn is_admitted(
    gateway: &mut Gateway,
    counter: &mut FakeCounter,
    plan: usize,
    customer: u64,
) -> bool {
    let (id, actions) = gateway.send_request(0, plan, customer);
    let actions = counter.answer(gateway, actions);
    for (_, server) in sent_attempts(&actions) {
        let ended = gateway.end_attempt(id, 0, server, Outcome::Ok);
        counter.answer(gateway, ended);
    }
    !sent_attempts(&actions).is_empty()
}

#[test]
fn a_request_waits_for_its_counter_call_and_is_admitted_by_the_total() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(0, 1, 9);
    assert!(
        sent_attempts(&actions).is_empty()
            && counter_calls(&actions)
                .iter()
                .any(|(_, amount)| *amount == 1.0)
    );
    let actions = FakeCounter::default().answer(&mut gateway, actions);
    assert_eq!(sent_attempts(&actions)[0].0, id);
}

#[test]
fn a_burst_is_admitted_up_to_the_bucket_capacity() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let admitted = (0..40)
        .filter(|_| is_admitted(&mut gateway, &mut counter, 1, 9))
        .count();
    assert!((9..=11).contains(&admitted), "{admitted} of a bucket of 10");
}

#[test]
fn a_customer_above_its_rate_keeps_getting_its_rate() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let mut admitted = 0;
    for _ in 0..1000 {
        admitted += u32::from(is_admitted(&mut gateway, &mut counter, 1, 9));
        gateway.advance(20 * MS);
    }
    // 20 s at 5 per second and a bucket of 10.
    assert!(
        (95..=115).contains(&admitted),
        "{admitted} admitted, quota 110"
    );
}

#[test]
fn two_gateways_share_one_quota() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    let admitted = (0..40)
        .filter(|n| is_admitted(&mut gateways[n % 2], &mut counter, 1, 9))
        .count();
    assert!((9..=11).contains(&admitted), "{admitted} of a bucket of 10");
}

#[test]
fn rejected_units_are_given_back() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..40).for_each(|_| _ = is_admitted(&mut gateway, &mut counter, 1, 9));
    let total: f64 = counter.0.values().sum();
    assert!(
        (9.0..=11.0).contains(&total),
        "the counter holds {total} of a bucket of 10"
    );
}

#[test]
fn rejected_requests_in_quick_succession_make_no_calls() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..20).for_each(|_| _ = is_admitted(&mut gateway, &mut counter, 1, 9));
    let calls: usize = (0..50)
        .map(|_| counter_calls(&gateway.send_request(0, 1, 9).1).len())
        .sum();
    assert_eq!(calls, 0);
}

#[test]
fn requests_are_admitted_after_the_wait_for_a_silent_counter() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(0, 1, 9);
    assert!(sent_attempts(&actions).is_empty());
    assert!(
        sent_attempts(&gateway.advance(60 * MS)).is_empty(),
        "the counter may only be overloaded"
    );
    assert_eq!(sent_attempts(&gateway.advance(40 * MS))[0].0, id);
}

#[test]
fn a_lost_counter_causes_no_wait_and_is_detected_when_back() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut all_actions = Vec::new();
    for customer in 0..200 {
        gateway.now += 10 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, customer);
        for (key, _) in counter_calls(&actions) {
            actions.extend(gateway.handle_event(Event::CounterResult {
                key,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
        all_actions.extend(actions);
    }
    assert!(all_actions.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
    gateway.advance(1200 * MS);
    let (_, actions) = gateway.send_request(0, 1, 50);
    assert_eq!(
        sent_attempts(&actions).len(),
        1,
        "must not wait for a lost counter"
    );
    let answered = FakeCounter::default().answer(&mut gateway, actions);
    assert!(answered.contains(&Action::Log("counter service responds again".into())));
}

#[test]
fn a_broken_connection_with_many_calls_does_not_make_the_counter_lost() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut calls = Vec::new();
    for customer in 0..20 {
        calls.extend(counter_calls(&gateway.send_request(0, 1, customer).1));
    }
    assert!(calls.len() >= 8);
    let timed_out = |(key, _)| Event::CounterResult {
        key,
        outcome: Outcome::TimedOut,
        total: 0.0,
    };
    let actions = gateway.handle_events(&calls.into_iter().map(timed_out).collect::<Vec<_>>());
    assert!(!actions.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
}

#[test]
fn without_a_timely_answer_the_local_estimate_rejects_a_customer_over_quota() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut sent = 0;
    // The bucket holds 10 units and gets 5 per second; none of the totals arrives in time.
    for n in 0..40 {
        gateway.now += 20 * MS;
        // Calls for other customers are answered in time: the counter is not overloaded.
        for other in 0..4 {
            let (id, actions) = gateway.send_request(0, 1, 100 + 4 * n + other);
            let sent = sent_attempts(&FakeCounter::default().answer(&mut gateway, actions));
            sent.into_iter()
                .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        }
        let (id, mut actions) = gateway.send_request(0, 1, 9);
        for (key, amount) in counter_calls(&actions) {
            let outcome = if amount >= 0.0 {
                Outcome::TimedOut
            } else {
                Outcome::Ok
            };
            actions.extend(gateway.handle_event(Event::CounterResult {
                key,
                outcome,
                total: 0.0,
            }));
            gateway.handle_event(Event::LateCounterResult);
        }
        for (_, server) in sent_attempts(&actions) {
            sent += 1;
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    assert!((8..=20).contains(&sent), "{sent} attempts sent");
}

#[test]
fn a_late_counter_gets_fewer_calls_and_is_not_lost() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let (mut all_actions, mut calls) = (Vec::new(), [0; 2]);
    for customer in 0..400 {
        gateway.now += 20 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, customer);
        for (key, _) in counter_calls(&actions) {
            calls[usize::from(customer >= 200)] += 1;
            actions.extend(gateway.handle_event(Event::CounterResult {
                key,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
            gateway.handle_event(Event::LateCounterResult);
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
        all_actions.extend(actions);
    }
    assert!(!all_actions.contains(&Action::Log(
        "counter service lost: requests are admitted by the local check alone".into()
    )));
    assert!(calls[0] > 0 && calls[1] * 2 < calls[0], "{calls:?}");
}

#[test]
fn an_emptied_counter_grants_no_second_bucket() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..9).for_each(|_| _ = is_admitted(&mut gateway, &mut counter, 1, 9));
    counter.0.clear();
    let admitted = (0..40)
        .filter(|_| is_admitted(&mut gateway, &mut counter, 1, 9))
        .count();
    assert!(admitted <= 2, "{admitted} more admitted after 9 of 10");
}

#[test]
fn actual_units_are_added_with_the_next_call() {
    let mut settings_with_estimates = settings();
    settings_with_estimates.units_are_estimates = true;
    let (mut gateway, mut counter) = (
        Gateway::with_servers(settings_with_estimates, 4),
        FakeCounter::default(),
    );
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
        .map(|(_, amount)| amount)
        .sum();
    assert_eq!(
        added, 4.0,
        "one unit, and three by which the estimate was too low"
    );
}

#[test]
fn the_concurrency_limit_holds_over_two_gateways() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    let mut in_flight = Vec::new();
    for n in 0..6 {
        let gateway = &mut gateways[n % 2];
        let (_, actions) = gateway.send_request(0, 2, 9);
        in_flight.extend(
            sent_attempts(&counter.answer(gateway, actions))
                .into_iter()
                .map(|attempt| (n % 2, attempt)),
        );
    }
    assert_eq!(in_flight.len(), 2);
    let (index, (id, server)) = in_flight[0];
    let ended = gateways[index].end_attempt(id, 0, server, Outcome::Ok);
    counter.answer(&mut gateways[index], ended);
    gateways[1].advance(100 * MS);
    let (_, actions) = gateways[1].send_request(0, 2, 9);
    assert_eq!(
        sent_attempts(&counter.answer(&mut gateways[1], actions)).len(),
        1,
        "the slot was not released"
    );
}

#[test]
fn slots_of_a_dead_gateway_are_released() {
    let mut counter = FakeCounter::default();
    let mut dead_gateway = Gateway::with_servers(settings(), 4);
    for _ in 0..2 {
        let (_, actions) = dead_gateway.send_request(0, 2, 9);
        counter.answer(&mut dead_gateway, actions);
    }
    let mut live_gateway = Gateway::with_servers(settings(), 4);
    let (_, actions) = live_gateway.send_request(0, 2, 9);
    assert!(sent_attempts(&counter.answer(&mut live_gateway, actions)).is_empty());
    live_gateway.advance(5 * SECOND);
    let (_, actions) = live_gateway.send_request(0, 2, 9);
    assert_eq!(
        sent_attempts(&counter.answer(&mut live_gateway, actions)).len(),
        1
    );
}

/// Units counted at the counter, units admitted, and calls for one customer, at a counter that rejects the calls for
/// all other customers.
fn counted_and_admitted(seed: u64) -> (f64, f64, usize) {
    let mut large_plan = settings();
    large_plan.plans[1] = plan(500.0, 1000.0);
    let mut gateway = Gateway {
        balancer: Balancer::new(large_plan, seed),
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
    let (mut counter, mut admitted, mut calls) = (FakeCounter::default(), 0.0, 0);
    for n in 0..600 {
        gateway.now += 2 * MS;
        let (id, actions) = gateway.send_request(0, 1, 1_000 + n);
        let mut sent = sent_attempts(&actions);
        for (key, _) in counter_calls(&actions) {
            sent.extend(sent_attempts(&gateway.handle_event(Event::CounterResult {
                key,
                outcome: Outcome::Rejected,
                total: 0.0,
            })));
        }
        sent.into_iter()
            .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        let (id, actions) = gateway.send_request(0, 1, seed);
        calls += counter_calls(&actions).len();
        for (_, server) in sent_attempts(&counter.answer(&mut gateway, actions)) {
            admitted += 1.0;
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    (counter.0.values().sum(), admitted, calls)
}

#[test]
fn an_overloaded_counter_learns_admitted_units_from_few_calls() {
    let results: Vec<(f64, f64, usize)> = (0..16).map(counted_and_admitted).collect();
    let calls: usize = results.iter().map(|result| result.2).sum();
    assert!(calls < 16 * 150, "{calls} calls");
    let relative_error = results
        .iter()
        .map(|(counted, admitted, _)| (counted / admitted - 1.0).abs())
        .sum::<f64>()
        / 16.0;
    assert!(
        relative_error < 0.2,
        "counted units are off by {relative_error}"
    );
}

#[test]
fn a_counter_that_lost_its_data_gets_the_units_again() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    (0..9).for_each(|_| _ = is_admitted(&mut gateway, &mut counter, 1, 9));
    counter.0.clear();
    for _ in 0..40 {
        is_admitted(&mut gateway, &mut counter, 1, 9);
        gateway.advance(20 * MS);
    }
    let max_total = counter.0.values().copied().fold(0.0, f64::max);
    assert!(
        max_total >= 9.0,
        "{max_total} units at the counter: other gateways would admit a whole bucket"
    );
}

#[test]
fn a_customer_gets_its_rate_where_the_first_answer_of_each_window_is_lost() {
    let (mut gateway, mut counter) = (Gateway::with_servers(settings(), 4), FakeCounter::default());
    let mut admitted = 0;
    for _ in 0..1000 {
        // Calls for other customers are answered in time: the counter is not overloaded.
        (0..3).for_each(|n| _ = is_admitted(&mut gateway, &mut counter, 1, 100 + n));
        let (id, mut actions) = gateway.send_request(0, 1, 9);
        let is_new = |(key, _): &(CounterKey, f64)| !counter.0.contains_key(key);
        if let Some((key, amount)) = counter_calls(&actions).into_iter().find(is_new) {
            *counter.0.entry(key).or_default() += amount;
            actions.extend(gateway.handle_event(Event::CounterResult {
                key,
                outcome: Outcome::TimedOut,
                total: 0.0,
            }));
        } else {
            actions = counter.answer(&mut gateway, actions);
        }
        for (_, server) in sent_attempts(&actions) {
            admitted += 1;
            let ended = gateway.end_attempt(id, 0, server, Outcome::Ok);
            counter.answer(&mut gateway, ended);
        }
        gateway.advance(20 * MS);
    }
    // 20 s at 5 per second and a bucket of 10.
    assert!(
        (95..=125).contains(&admitted),
        "{admitted} admitted, quota 110"
    );
}

#[test]
fn two_gateways_at_an_overloaded_counter_share_one_quota() {
    let mut gateways = [
        Gateway::with_servers(settings(), 8),
        Gateway::with_servers(settings(), 8),
    ];
    let (mut counter, mut admitted) = (FakeCounter::default(), 0);
    for n in 0..2000 {
        let gateway = &mut gateways[n % 2];
        // Most calls for other customers are rejected, and each of their requests ends at once.
        let (id, actions) = gateway.send_request(0, 1, 1_000 + n as u64);
        let mut sent = sent_attempts(&actions);
        for (key, _) in counter_calls(&actions) {
            let outcome = if n % 16 < 6 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            sent.extend(sent_attempts(&gateway.handle_event(Event::CounterResult {
                key,
                outcome,
                total: 1.0,
            })));
        }
        sent.into_iter()
            .for_each(|(_, server)| drop(gateway.end_attempt(id, 0, server, Outcome::Ok)));
        admitted += u32::from(is_admitted(gateway, &mut counter, 1, 9));
        gateways
            .iter_mut()
            .for_each(|gateway| gateway.now += 10 * MS);
    }
    // 20 s at 5 per second and a bucket of 10; the few calls make the count inexact.
    assert!(
        (90..=160).contains(&admitted),
        "{admitted} admitted, quota 110"
    );
}

/// Replaces plan 1 (a burst of 10 units, 5 per second, windows of 2 s) by one with the given rate and burst, at index
/// 3.
fn change_plan(gateway: &mut Gateway, rate_and_burst: (f64, f64)) {
    let predecessor = Some((gateway.now, 1));
    gateway.handle_event(Event::PlanAdded(Plan {
        inherited_window: 2 * SECOND,
        predecessor,
        ..plan(rate_and_burst.0, rate_and_burst.1)
    }));
}

fn count_admitted(
    gateways: &mut [Gateway],
    counter: &mut FakeCounter,
    plan: usize,
    requests: usize,
) -> usize {
    let count = gateways.len();
    (0..requests)
        .filter(|n| is_admitted(&mut gateways[n % count], counter, plan, 9))
        .count()
}

#[test]
fn a_higher_plan_grants_no_second_burst_and_then_its_own_rate() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    assert!((9..=11).contains(&count_admitted(&mut gateways, &mut counter, 1, 40)));
    gateways
        .iter_mut()
        .for_each(|g| change_plan(g, (20.0, 40.0)));
    let at_once = count_admitted(&mut gateways, &mut counter, 3, 40);
    assert!(
        at_once <= 1,
        "{at_once} admitted right after the change: the bucket was empty"
    );
    // Two windows later the bucket has filled at the new rate, up to the new burst.
    gateways.iter_mut().for_each(|g| _ = g.advance(4 * SECOND));
    let filled = count_admitted(&mut gateways, &mut counter, 3, 120);
    assert!((34..=44).contains(&filled), "{filled} of a bucket of 40");
}

#[test]
fn a_lower_plan_keeps_the_tokens_left_up_to_its_capacity() {
    for (used, tokens_left) in [(0, 6), (8, 2)] {
        let mut gateways = [Gateway::with_servers(settings(), 4)];
        let mut counter = FakeCounter::default();
        assert_eq!(count_admitted(&mut gateways, &mut counter, 1, used), used);
        change_plan(&mut gateways[0], (1.0, 6.0));
        let admitted = count_admitted(&mut gateways, &mut counter, 3, 20);
        assert!(
            (tokens_left - 1..=tokens_left + 1).contains(&admitted),
            "{admitted} admitted after {used}, {tokens_left} were left"
        );
    }
}

#[test]
fn changing_the_plan_back_and_forth_in_one_window_changes_nothing() {
    let mut gateways = [Gateway::with_servers(settings(), 4)];
    let mut counter = FakeCounter::default();
    assert_eq!(count_admitted(&mut gateways, &mut counter, 1, 6), 6);
    change_plan(&mut gateways[0], (20.0, 40.0));
    gateways[0].handle_event(Event::PlanAdded(Plan {
        inherited_window: 2 * SECOND,
        predecessor: Some((gateways[0].now, 3)),
        ..plan(5.0, 10.0)
    }));
    let between = count_admitted(&mut gateways, &mut counter, 3, 1);
    let admitted = count_admitted(&mut gateways, &mut counter, 4, 20);
    assert!(
        (3..=5).contains(&(between + admitted)),
        "{between} and {admitted} admitted of the 4 that were left"
    );
}

#[test]
fn a_gateway_that_never_saw_the_customer_grants_no_second_burst() {
    let mut gateways = [
        Gateway::with_servers(settings(), 4),
        Gateway::with_servers(settings(), 4),
    ];
    let mut counter = FakeCounter::default();
    assert!((9..=11).contains(&count_admitted(&mut gateways[..1], &mut counter, 1, 40)));
    gateways
        .iter_mut()
        .for_each(|g| change_plan(g, (20.0, 40.0)));
    let at_once = count_admitted(&mut gateways[1..], &mut counter, 3, 40);
    assert!(at_once <= 2, "{at_once} admitted by the other gateway");
}

/// Units admitted to a customer with 20 requests per second during 12 s without the counter, after 3 s with it if
/// `counter_known`.
fn admitted_without_the_counter(even_shares: bool, counter_known: bool) -> usize {
    let mut gateway = Gateway::with_servers(
        Settings {
            even_shares_counter_lost: even_shares,
            ..settings()
        },
        8,
    );
    let (mut counter, mut admitted, ticks_with_counter) = (
        FakeCounter::default(),
        0,
        if counter_known { 60 } else { 0 },
    );
    for tick in 0..ticks_with_counter + 240 {
        gateway.now += 50 * MS;
        let (id, mut actions) = gateway.send_request(0, 1, 7);
        if tick < ticks_with_counter {
            actions = counter.answer(&mut gateway, actions);
        } else {
            for (key, _) in counter_calls(&actions) {
                actions.extend(gateway.handle_event(Event::CounterResult {
                    key,
                    outcome: Outcome::TimedOut,
                    total: 0.0,
                }));
            }
            admitted += sent_attempts(&actions).len();
        }
        for (_, server) in sent_attempts(&actions) {
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    admitted
}

/// Guards against two faults of a gateway that is cut off from the counter and has `even_shares_counter_lost` set: it
/// admitted a customer as if it were the customer's only gateway, and a customer that had been over quota before was
/// rejected altogether until the counter came back.
#[test]
fn without_the_counter_a_gateway_grants_its_even_share_and_no_more() {
    // Rate 5 and burst 10 over two gateways: 35 units for each in 12 s.
    let with_even_shares =
        [true, false].map(|counter_known| admitted_without_the_counter(true, counter_known));
    assert!(
        with_even_shares.iter().all(|n| (32..=40).contains(n)),
        "{with_even_shares:?} admitted with even shares"
    );
    let without_even_shares =
        [true, false].map(|counter_known| admitted_without_the_counter(false, counter_known));
    assert!(
        without_even_shares[0] < 20 && without_even_shares[1] > 50,
        "{without_even_shares:?} admitted with counter_known true and false, without even shares"
    );
}
