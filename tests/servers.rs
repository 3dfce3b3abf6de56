//! Servers that are silent, slow, full or jammed; overload; odd input.

mod common;

use common::*;
use streamarch::*;

#[test]
fn a_silent_server_is_suspected_and_its_safe_work_moved() {
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
        "one long request must not move a server's work"
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
            .any(|a| matches!(a, Action::Log(_))),
        "it is readmitted by its answer"
    );
}

#[test]
fn suspicion_never_empties_the_fleet() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    (0..8).for_each(|n| drop(gateway.send_request(2, 0, n)));
    gateway.advance(900 * MS);
    let (_, actions) = gateway.send_request(0, 0, 99);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn a_server_that_fails_at_once_gets_less_and_not_the_next_attempt() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let (mut to_bad, mut again) = (0, 0);
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
            to_bad += u32::from(server == ServerId(0) && n >= 100);
            again += u32::from(server == ServerId(0) && attempt > 0);
            actions = gateway.end_attempt(id, attempt, server, outcome);
        }
    }
    assert!(to_bad < 30, "{to_bad} of 300, an even share is 75");
    assert!(again <= 1, "{again} further attempts went there");
}

#[test]
fn a_slow_server_gets_less() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let mut to_slow = 0;
    for n in 0..200 {
        let (id, actions) = gateway.send_request(0, 0, n);
        let server = sent_attempts(&actions)[0].1;
        gateway.now += 5 * MS;
        let took = if server == ServerId(0) {
            200 * MS
        } else {
            40 * MS
        };
        to_slow += u32::from(server == ServerId(0) && n >= 100);
        gateway.handle_event(Event::AttemptEnd(AttemptEnd {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: took,
            request_finished: true,
            actual_units: None,
            load_report: None,
        }));
    }
    assert!(to_slow < 10, "{to_slow} of 100, an even share is 25");
}

#[test]
fn a_jam_is_not_fed() {
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
        "{sent} attempts in 5 s at four servers that turn everything away"
    );
}

#[test]
fn work_out_is_bounded_and_the_rest_refused_at_once() {
    let mut gateway = Gateway::with_servers(settings(), 4);
    let answers: Vec<_> = (0..200).map(|n| gateway.send_request(0, 0, n).1).collect();
    let sent: usize = answers.iter().map(|a| sent_attempts(a).len()).sum();
    let shed: usize = answers.iter().map(|a| shed_requests(a).len()).sum();
    assert!(
        sent <= 24 && sent + shed == 200,
        "{sent} sent, {shed} refused"
    );
}

#[test]
fn many_gateways_share_the_bound() {
    let mut many = settings();
    many.gateway_count = 12;
    let mut gateway = Gateway::with_servers(many, 4);
    let sent: usize = (0..200)
        .map(|n| sent_attempts(&gateway.send_request(0, 0, n).1).len())
        .sum();
    assert!(sent <= 4, "{sent} out at 4 servers from one of 12 gateways");
}

#[test]
fn at_the_bound_the_dearer_class_goes_first() {
    let mut worths = settings();
    worths.classes[0].value = 0.2;
    worths.classes[2].value = 5.0;
    let mut gateway = Gateway::with_servers(worths, 4);
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
    assert!(sent[1] > sent[0], "cheap and dear: {sent:?}");
}

#[test]
fn further_attempts_are_bounded_by_the_budget() {
    let mut gateway = Gateway::with_servers(settings(), 8);
    let mut again = 0;
    for n in 0..200 {
        let (id, mut actions) = gateway.send_request(0, 0, n);
        let mut attempt = 0;
        while let Some((_, server)) = sent_attempts(&actions).first().copied() {
            actions = gateway.end_attempt(id, attempt, server, Outcome::Error);
            again += u32::from(!sent_attempts(&actions).is_empty());
            attempt += 1;
        }
    }
    assert!(
        again <= 10 + 20,
        "{again} further attempts for 200 requests"
    );
}

#[test]
fn odd_input_gets_one_answer_and_no_panic() {
    let mut gateway = Gateway::with_servers(settings(), 2);
    for (class, plan) in [(9, 0), (0, 9), (9, 9)] {
        let (id, actions) = gateway.send_request(class, plan, 1);
        let answered = sent_attempts(&actions).len()
            + shed_requests(&actions).len()
            + failed_requests(&actions).len();
        assert_eq!(answered, 1);
        gateway.end_attempt(id, 7, ServerId(55), Outcome::Ok);
        gateway.handle_event(Event::ClientDisconnected(id));
        gateway.handle_event(Event::ClientDisconnected(id));
    }
    gateway.handle_event(Event::ServerList {
        kind: ListKind::Failed,
        entries: vec![],
    });
    gateway.handle_event(Event::CounterAnswered {
        key: CounterKey(5),
        outcome: Outcome::Ok,
        total: f64::MAX,
    });
    gateway.now -= 5 * SECOND;
    let (id, actions) = gateway.send_request(0, 0, 1);
    assert_eq!(
        shed_requests(&actions),
        [id],
        "a clock that steps back: this deadline has passed"
    );
    let mut empty = Gateway::new(Settings::default());
    let (id, actions) = empty.send_request(0, 0, 1);
    assert_eq!(shed_requests(&actions), [id]);
    let mut zero = settings();
    zero.plans[1] = plan(0.001, 0.0);
    let mut gateway = Gateway::with_servers(zero, 2);
    gateway.send_request(0, 1, 1);
    gateway.advance(SECOND);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = Gateway::with_servers(settings(), 6);
        let mut all = Vec::new();
        for n in 0..200 {
            all.extend(
                gateway
                    .send_request((n % 3) as usize, (n % 3) as usize, n % 7)
                    .1,
            );
            all.extend(gateway.advance(4 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}
