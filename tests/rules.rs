//! The five rules that a gateway must always keep: one final response for each request, no double
//! execution, nothing new to draining or removed servers, no overload of cold servers, and hard
//! limits.

mod common;

use common::*;
use streamarch::*;

#[test]
fn every_request_gets_one_final_response_in_time() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (idempotent, mut actions) = gateway.send_request(0, 0, 1);
    let (not_idempotent, more_actions) = gateway.send_request(2, 0, 1);
    actions.extend(more_actions);
    actions.extend(gateway.advance(SECOND + 8 * MS));
    let final_responses = |id| {
        shed_requests(&actions)
            .iter()
            .chain(&failed_requests(&actions))
            .filter(|other| **other == id)
            .count()
    };
    assert_eq!(
        (final_responses(idempotent), final_responses(not_idempotent)),
        (1, 1)
    );
    assert_eq!(
        failed_requests(&actions),
        [not_idempotent],
        "a non-idempotent request that may have been executed must not be shed"
    );
    assert!(gateway.advance(2 * SECOND).iter().all(|action| matches!(
        action,
        Action::WakeAt(_) | Action::Log(_) | Action::Probe(_)
    )));
}

#[test]
fn a_request_gets_a_final_response_without_any_server() {
    let mut gateway = Gateway::new(settings());
    let (id, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(shed_requests(&actions), [id]);
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_is_not_retried() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(2, 0, 1);
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Reset);
    assert_eq!(
        (sent_attempts(&actions).len(), failed_requests(&actions)),
        (0, vec![id])
    );
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(2, 0, 1);
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Rejected);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn a_keyed_request_is_retried_only_within_its_scope_and_window() {
    for _ in 0..20 {
        let mut gateway = Gateway::with_servers(settings(), 8);
        let (id, actions) = gateway.send_request(1, 0, 1);
        let first_server = sent_attempts(&actions)[0].1;
        let retries = sent_attempts(&gateway.end_attempt(id, 0, first_server, Outcome::Reset));
        assert_eq!(
            retries[0].1.0 % 2,
            first_server.0 % 2,
            "the retry must stay in the zone"
        );
    }
    let mut short_window = settings();
    short_window.classes[1].idempotency = Idempotency::Keyed {
        scope: DedupScope::Zone,
        dedup_window: 100 * MS,
    };
    let mut gateway = Gateway::with_servers(short_window, 8);
    let (id, actions) = gateway.send_request(1, 0, 1);
    gateway.now += 120 * MS;
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Reset);
    assert_eq!(
        (sent_attempts(&actions).len(), failed_requests(&actions)),
        (0, vec![id])
    );
}

#[test]
fn a_request_has_at_most_one_attempt_in_flight() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (_, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(sent_attempts(&actions).len(), 1);
    assert!(
        sent_attempts(&gateway.advance(900 * MS)).is_empty(),
        "sent again while the first attempt was in flight"
    );
}

#[test]
fn no_new_request_goes_to_a_draining_or_removed_server() {
    let mut gateway = Gateway::with_servers(settings(), 3);
    let entries = vec![
        server_entry(0, ServerState::Draining, 0),
        server_entry(1, ServerState::Removed, 0),
    ];
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Changes,
        entries,
    });
    for n in 0..20 {
        let (id, actions) = gateway.send_request(0, 0, n);
        assert_eq!(sent_attempts(&actions), [(id, ServerId(2))]);
        gateway.end_attempt(id, 0, ServerId(2), Outcome::Ok);
    }
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Full,
        entries: vec![server_entry(0, ServerState::Ready, 0)],
    });
    let (_, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(
        sent_attempts(&actions)[0].1,
        ServerId(0),
        "a server absent from a full list is removed"
    );
}

#[test]
fn a_cold_server_gets_no_more_than_its_share() {
    let mut gateway = Gateway::new(settings());
    let now = gateway.now;
    let entries = (0..4)
        .map(|n| server_entry(n, ServerState::Ready, if n == 0 { now } else { 0 }))
        .collect();
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Cached,
        entries,
    });
    let mut sent_to_cold = 0;
    for n in 0..100 {
        let (id, actions) = gateway.send_request(0, 0, n);
        let server = sent_attempts(&actions)[0].1;
        sent_to_cold += u32::from(server == ServerId(0));
        gateway.now += 10 * MS;
        gateway.end_attempt(id, 0, server, Outcome::Ok);
    }
    // Over one second, twice 0.2 to 0.28 core seconds for both gateways together, at 50 ms of work
    // per request.
    assert!(
        sent_to_cold <= 5,
        "{sent_to_cold} requests went to the cold server in a second"
    );
}

#[test]
fn a_gateway_keeps_its_share_of_a_hard_limit_without_the_counter() {
    let mut with_hard_limit = settings();
    with_hard_limit.counter_available = false;
    with_hard_limit.plans[0] = Plan {
        hard_limit_rate_per_s: 10.0,
        hard_limit_burst: 20.0,
        hard_limit_slack: 1.0,
        ..Plan::default()
    };
    let mut gateway = Gateway::with_servers(with_hard_limit, 4);
    let mut sent = 0;
    for _ in 0..400 {
        let (id, actions) = gateway.send_request(0, 0, 1);
        gateway.now += 10 * MS;
        for (_, server) in sent_attempts(&actions) {
            sent += 1;
            gateway.end_attempt(id, 0, server, Outcome::Ok);
        }
    }
    assert!(
        (10..=20).contains(&sent),
        "{sent} sent in 4 s, an even share of the refill is 20"
    );
}
