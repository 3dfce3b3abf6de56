//! The five rules, each by its symptom.

mod common;

use common::*;
use streamarch::*;

#[test]
fn rule_1_every_request_gets_one_final_answer_in_time() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (safe, mut actions) = gateway.send_request(0, 0, 1);
    let (risky, more) = gateway.send_request(2, 0, 1);
    actions.extend(more);
    actions.extend(gateway.advance(SECOND + 8 * MS));
    let finals = |id| {
        shed_requests(&actions)
            .iter()
            .chain(&failed_requests(&actions))
            .filter(|i| **i == id)
            .count()
    };
    assert_eq!((finals(safe), finals(risky)), (1, 1));
    assert_eq!(
        failed_requests(&actions),
        [risky],
        "an unsafe request that may have run must not be refused"
    );
    assert!(
        gateway
            .advance(2 * SECOND)
            .iter()
            .all(|a| matches!(a, Action::WakeAt(_) | Action::Log(_) | Action::Probe(_)))
    );
}

#[test]
fn rule_1_holds_without_any_server() {
    let mut gateway = Gateway::new(settings());
    let (id, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(shed_requests(&actions), [id]);
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_is_not_sent_again() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(2, 0, 1);
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Reset);
    assert_eq!(
        (sent_attempts(&actions).len(), failed_requests(&actions)),
        (0, vec![id])
    );
}

#[test]
fn rule_2_an_unsafe_request_that_never_ran_is_sent_again() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(2, 0, 1);
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Rejected);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn rule_2_a_keyed_request_stays_inside_its_group_and_window() {
    for _ in 0..20 {
        let mut gateway = Gateway::with_servers(settings(), 8);
        let (id, actions) = gateway.send_request(1, 0, 1);
        let first = sent_attempts(&actions)[0].1;
        let again = sent_attempts(&gateway.end_attempt(id, 0, first, Outcome::Reset));
        assert_eq!(
            again[0].1.0 % 2,
            first.0 % 2,
            "the repeat must stay in the zone"
        );
    }
    let mut short = settings();
    short.classes[1].idempotency = Idempotency::Keyed {
        scope: DedupScope::Zone,
        dedup_window: 100 * MS,
    };
    let mut gateway = Gateway::with_servers(short, 8);
    let (id, actions) = gateway.send_request(1, 0, 1);
    gateway.now += 120 * MS;
    let actions = gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Reset);
    assert_eq!(
        (sent_attempts(&actions).len(), failed_requests(&actions)),
        (0, vec![id])
    );
}

#[test]
fn rule_2_no_two_attempts_are_out_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (_, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(sent_attempts(&actions).len(), 1);
    assert!(
        sent_attempts(&gateway.advance(900 * MS)).is_empty(),
        "sent again while the first was out"
    );
}

#[test]
fn rule_3_nothing_new_goes_to_a_draining_or_gone_server() {
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
        "a server absent from a full list is gone"
    );
}

#[test]
fn rule_4_a_cold_server_gets_no_more_than_its_share() {
    let mut gateway = Gateway::new(settings());
    let now = gateway.now;
    let entries = (0..4)
        .map(|n| server_entry(n, ServerState::Ready, if n == 0 { now } else { 0 }))
        .collect();
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Cached,
        entries,
    });
    let mut cold = 0;
    for n in 0..100 {
        let (id, actions) = gateway.send_request(0, 0, n);
        let server = sent_attempts(&actions)[0].1;
        cold += u32::from(server == ServerId(0));
        gateway.now += 10 * MS;
        gateway.end_attempt(id, 0, server, Outcome::Ok);
    }
    // One second: 2 x 0.2 to 0.28 of a core's second for both gateways, at 50 ms of work each.
    assert!(
        cold <= 5,
        "{cold} requests went to the cold server in a second"
    );
}

#[test]
fn rule_5_a_ceiling_is_kept_by_a_gateway_alone() {
    let mut hard = settings();
    hard.counter_available = false;
    hard.plans[0] = Plan {
        hard_limit_rate_per_s: 10.0,
        hard_limit_burst: 20.0,
        hard_limit_slack: 1.0,
        ..Plan::default()
    };
    let mut gateway = Gateway::with_servers(hard, 4);
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
        "{sent} sent in 4 s, an even share of the filling is 20"
    );
}
