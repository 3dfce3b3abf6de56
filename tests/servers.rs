//! Servers that are silent, slow, failing or full; overload; invalid input.

mod common;

use common::*;
use streamarch::*;

#[test]
fn a_silent_server_is_suspected_and_its_idempotent_requests_are_moved() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (id, actions) = gateway.send_request(0, 0, 1);
    let server = sent_attempts(&actions)[0].1;
    let actions = gateway.advance(500 * MS);
    assert!(actions.contains(&Action::Probe(server)));
    let cancel = Action::Cancel {
        request: id,
        attempt: 0,
    };
    assert!(
        !actions.contains(&cancel),
        "one long request must not move a server's requests"
    );
    let event = Event::ProbeEnd {
        server,
        outcome: Outcome::TimedOut,
        load_report: None,
    };
    assert!(gateway.handle_event(event).contains(&cancel));
    let moved = sent_attempts(&gateway.end_attempt(id, 0, server, Outcome::Cancelled));
    assert!(moved.len() == 1 && moved[0].1 != server);
    let event = Event::ProbeEnd {
        server,
        outcome: Outcome::Ok,
        load_report: None,
    };
    assert!(
        gateway
            .handle_event(event)
            .iter()
            .any(|action| matches!(action, Action::Log(_))),
        "the end of the suspicion must be logged"
    );
}

/// Guards against requests that are given up because their server is slow and no other one can take them.
#[test]
fn a_silent_servers_requests_are_hedged_within_attempts_and_retry_budget() {
    let retry_budget = RetryBudget {
        earned_per_request: 0.0,
        max_balance: 2.0,
        unexecuted_cost: 1.0,
    };
    let mut gateway = Gateway::with_servers(
        Settings {
            hedges_silent_servers: true,
            retry_budget,
            ..settings()
        },
        4,
    );
    let mut sent = Vec::new();
    for customer in 0..10 {
        let (id, actions) = gateway.send_request(0, 0, customer);
        sent.extend(
            sent_attempts(&actions)
                .iter()
                .map(|(_, server)| (id, *server)),
        );
    }
    let silent = sent[0].1;
    let is_waiting = |(_, server): &&(RequestId, ServerId)| *server == silent;
    assert!(sent.iter().filter(is_waiting).count() > 1);
    gateway.advance(500 * MS);
    let event = Event::ProbeEnd {
        server: silent,
        outcome: Outcome::TimedOut,
        load_report: None,
    };
    let actions = gateway.handle_event(event);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. }))
    );
    let hedges = sent_attempts(&actions);
    // The gateway starts with half of the retry budget.
    let [(hedged, other)] = hedges[..] else {
        panic!("{hedges:?}");
    };
    assert_ne!(other, silent);
    let actions = gateway.end_attempt(hedged, 1, other, Outcome::Rejected);
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, Action::Shed { .. } | Action::Fail(_)))
    );
}

/// Guards against requests that are given up because their server is slow, where attempts are cancelled before others
/// are sent: without attempts or budget left they could only fail.
#[test]
fn attempts_are_cancelled_only_if_their_requests_may_be_sent_again() {
    let no_retries = RetryBudget {
        earned_per_request: 0.0,
        max_balance: 0.0,
        unexecuted_cost: 1.0,
    };
    let without_budget = Settings {
        retry_budget: no_retries,
        ..settings()
    };
    let without_attempts = Settings {
        max_attempts: 1,
        ..settings()
    };
    for settings in [without_budget, without_attempts] {
        let mut gateway = Gateway::with_servers(settings, 4);
        let (_, actions) = gateway.send_request(0, 0, 1);
        let server = sent_attempts(&actions)[0].1;
        gateway.advance(500 * MS);
        let event = Event::ProbeEnd {
            server,
            outcome: Outcome::TimedOut,
            load_report: None,
        };
        let actions = gateway.handle_event(event);
        let is_cancel = |action: &Action| matches!(action, Action::Cancel { .. });
        assert!(!actions.iter().any(is_cancel), "{actions:?}");
    }
}

/// Guards against requests that stay at a silent server because there was no retry budget when its silence was confirmed.
#[test]
fn attempts_left_at_a_silent_server_are_cancelled_once_the_budget_allows() {
    let retry_budget = RetryBudget {
        earned_per_request: 1.0,
        max_balance: 1.0,
        unexecuted_cost: 1.0,
    };
    let settings = Settings {
        retry_budget,
        ..settings()
    };
    let mut gateway = Gateway::with_servers(settings, 4);
    let mut sent = Vec::new();
    for customer in 0..10 {
        let (id, actions) = gateway.send_request(0, 0, customer);
        let attempts = sent_attempts(&actions);
        sent.extend(attempts.iter().map(|(_, server)| (id, *server)));
    }
    let silent = sent[0].1;
    let waiting = sent.iter().filter(|(_, server)| *server == silent).count();
    assert!(waiting > 1, "{waiting} requests at the silent server");
    gateway.advance(500 * MS);
    let mut cancelled = Vec::new();
    for _ in 0..2 {
        let event = Event::ProbeEnd {
            server: silent,
            outcome: Outcome::TimedOut,
            load_report: None,
        };
        let actions = gateway.handle_event(event);
        let cancels: Vec<RequestId> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Cancel { request, .. } => Some(*request),
                _ => None,
            })
            .collect();
        assert_eq!(cancels.len(), 1, "the budget allows one at a time");
        gateway.end_attempt(cancels[0], 0, silent, Outcome::Cancelled);
        cancelled.extend(cancels);
        // Earns the budget of another retry.
        gateway.send_request(0, 0, 99);
    }
    assert_ne!(cancelled[0], cancelled[1]);
}

#[test]
fn suspicion_never_covers_the_whole_fleet() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    (0..8).for_each(|n| drop(gateway.send_request(2, 0, n)));
    gateway.advance(900 * MS);
    let (_, actions) = gateway.send_request(0, 0, 99);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn a_fast_failing_server_gets_fewer_requests_and_not_the_next_attempt() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (mut sent_to_failing, mut retried_there) = (0, 0);
    for n in 0..400 {
        let (id, mut actions) = gateway.send_request(0, 0, n);
        gateway.now += 5 * MS;
        for attempt in 0..4 {
            let [(_, server)] = sent_attempts(&actions)[..] else {
                break;
            };
            let outcome = if server == ServerId(0) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            sent_to_failing += u32::from(server == ServerId(0) && n >= 100);
            retried_there += u32::from(server == ServerId(0) && attempt > 0);
            actions = gateway.end_attempt(id, attempt, server, outcome);
        }
    }
    assert!(
        sent_to_failing < 30,
        "{sent_to_failing} of 300 requests, an even share is 75"
    );
    assert!(
        retried_there <= 1,
        "{retried_there} retries went to the failing server"
    );
}

#[test]
fn a_slow_server_gets_fewer_requests() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let mut sent_to_slow = 0;
    for n in 0..200 {
        let (id, actions) = gateway.send_request(0, 0, n);
        let server = sent_attempts(&actions)[0].1;
        gateway.now += 5 * MS;
        let elapsed = if server == ServerId(0) {
            200 * MS
        } else {
            40 * MS
        };
        sent_to_slow += u32::from(server == ServerId(0) && n >= 100);
        gateway.handle_event(Event::AttemptEnd(AttemptEnd {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed,
            request_finished: true,
            actual_units: None,
            load_report: None,
        }));
    }
    assert!(
        sent_to_slow < 10,
        "{sent_to_slow} of 100 requests, an even share is 25"
    );
}

#[test]
fn servers_that_reject_everything_get_few_attempts() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let mut sent = 0;
    for n in 0..500 {
        let (id, mut actions) = gateway.send_request(2, 0, n);
        let mut attempt = 0;
        while let Some((_, server)) = sent_attempts(&actions).first().copied() {
            sent += 1;
            actions = gateway.end_attempt(id, attempt, server, Outcome::Rejected);
            attempt += 1;
        }
        gateway.now += 10 * MS;
    }
    assert!(
        sent < 60,
        "{sent} attempts in 5 s at four servers that reject everything"
    );
}

#[test]
fn attempts_in_flight_are_limited_and_other_requests_shed_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let responses: Vec<_> = (0..200).map(|n| gateway.send_request(0, 0, n).1).collect();
    let sent: usize = responses
        .iter()
        .map(|actions| sent_attempts(actions).len())
        .sum();
    let shed: usize = responses
        .iter()
        .map(|actions| shed_requests(actions).len())
        .sum();
    assert!(sent <= 24 && sent + shed == 200, "{sent} sent, {shed} shed");
}

#[test]
fn many_gateways_share_the_concurrency_limit() {
    let mut twelve_gateways = settings();
    twelve_gateways.gateway_count = 12;
    let mut gateway = Gateway::with_servers(twelve_gateways, 4);
    let sent: usize = (0..200)
        .map(|n| sent_attempts(&gateway.send_request(0, 0, n).1).len())
        .sum();
    assert!(
        sent <= 4,
        "{sent} attempts in flight at 4 servers from one of 12 gateways"
    );
}

#[test]
fn at_the_limit_the_more_valuable_class_goes_first() {
    let mut with_values = settings();
    with_values.classes[0].value = 0.2;
    with_values.classes[2].value = 5.0;
    let mut gateway = Gateway::with_servers(with_values, 4);
    for n in 0..2000 {
        let (id, actions) = gateway.send_request((n % 2) as usize * 2, 0, n);
        gateway.now += 10 * MS;
        gateway.end_attempt(id, 0, sent_attempts(&actions)[0].1, Outcome::Ok);
    }
    let mut sent = [0, 0];
    for n in 0..200 {
        let class = (n % 2) as usize;
        sent[class] += sent_attempts(&gateway.send_request(class * 2, 0, n).1).len();
    }
    assert!(
        sent[1] > sent[0],
        "sent of the less and the more valuable class: {sent:?}"
    );
}

#[test]
fn retries_are_limited_by_the_budget() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut retries = 0;
    for n in 0..200 {
        let (id, mut actions) = gateway.send_request(0, 0, n);
        let mut attempt = 0;
        while let Some((_, server)) = sent_attempts(&actions).first().copied() {
            actions = gateway.end_attempt(id, attempt, server, Outcome::Error);
            retries += u32::from(!sent_attempts(&actions).is_empty());
            attempt += 1;
        }
    }
    assert!(retries <= 10 + 20, "{retries} retries for 200 requests");
}

#[test]
fn invalid_input_gets_one_response_and_no_panic() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    for (class, plan) in [(9, 0), (0, 9), (9, 9)] {
        let (id, actions) = gateway.send_request(class, plan, 1);
        let responses = sent_attempts(&actions).len()
            + shed_requests(&actions).len()
            + failed_requests(&actions).len();
        assert_eq!(responses, 1);
        gateway.end_attempt(id, 7, ServerId(55), Outcome::Ok);
        gateway.handle_event(Event::ClientDisconnected(id));
        gateway.handle_event(Event::ClientDisconnected(id));
    }
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Failed,
        entries: vec![],
    });
    gateway.handle_event(Event::CounterResult {
        key: CounterKey(5),
        outcome: Outcome::Ok,
        total: f64::MAX,
    });
    gateway.now -= 5 * SECOND;
    let (id, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(
        shed_requests(&actions),
        [id],
        "with a clock that steps back, the deadline has passed"
    );
    let mut without_settings = Gateway::new(Settings::default());
    let (id, actions) = without_settings.send_request(0, 0, 1);
    assert_eq!(shed_requests(&actions), [id]);
    let mut zero_burst = settings();
    zero_burst.plans[1] = plan(0.001, 0.0);
    let mut gateway = Gateway::with_servers(zero_burst, 2);
    gateway.send_request(0, 1, 1);
    gateway.advance(SECOND);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = Gateway::with_servers(settings(), 6);
        let mut all_actions = Vec::new();
        for n in 0..200 {
            all_actions.extend(
                gateway
                    .send_request((n % 3) as usize, (n % 3) as usize, n % 7)
                    .1,
            );
            all_actions.extend(gateway.advance(4 * MS));
        }
        all_actions
    };
    assert_eq!(run(), run());
}
