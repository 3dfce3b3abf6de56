//! The generator against the emulated world in a time of its own: no socket, no sleep, the same figures every time.

use std::sync::Arc;

use emulator::world::{NodeRequest, Reply, World, WorldEvent};
use load::Micros;
use load::driver::Outcomes;
use load::generator::{End, Generator, Order, Setup};
use load::records::{Outcome, Try};
use load::scenario::Scenario;
use load::schedule::Schedule;
use load::summary::{Counted, Summary};

fn setup(text: &str) -> Arc<Setup> {
    let scenario = Scenario::read(text).unwrap();
    let schedule = Schedule::lay(&scenario, 5, scenario.limiters.count);
    let targets = scenario.limiters.count;
    Arc::new(Setup {
        scenario,
        schedule,
        targets,
        seed: 5,
    })
}

/// Plays a setup whose targets are the world's nodes themselves. `lag`: how late the generator itself is, by instant.
fn play(setup: &Arc<Setup>, lag: impl Fn(Micros) -> Micros) -> (Summary, Vec<Try>, World) {
    let mut world = World::new(&setup.scenario.world, 3, setup.targets, 0);
    world.begin(0, (setup.scenario.seconds * 1e6) as Micros);
    let mut clients = Generator::new(setup.clone(), 0, 1);
    let mut now = 0;
    while !clients.done() {
        while let Some(order) = clients.poll(now) {
            match order {
                Order::Send(token, sending) => {
                    let shut = matches!(setup.scenario.name.as_str(), "nobody listens");
                    if shut {
                        clients.ended(token, now, End::NotSent);
                        continue;
                    }
                    clients.written(token, now);
                    let (id, node) = (sending.id.to_string(), usize::from(sending.target));
                    let key = Some(sending.key.to_string());
                    world.handle_request(
                        now,
                        NodeRequest {
                            node,
                            limiter: 0,
                            token: token as u64,
                            id: &id,
                            key: key.as_deref(),
                            work: None,
                        },
                    );
                }
                Order::GiveUp(token) => world.connection_closed(now, token as u64),
            }
        }
        while let Some(word) = world.poll(now) {
            let WorldEvent::Answer(token, reply) = word else {
                continue;
            };
            let end = match reply {
                Reply::Served => End::Answered {
                    status: 200,
                    retry_after: None,
                },
                Reply::Rejected => End::Answered {
                    status: 503,
                    retry_after: Some(200_000),
                },
                Reply::Noise => End::Broken,
                _ => End::Answered {
                    status: 500,
                    retry_after: None,
                },
            };
            clients.ended(token as usize, now, end);
        }
        let next = [clients.next().map(|at| at + lag(at)), world.next_event_at()]
            .into_iter()
            .flatten()
            .min();
        now = next.unwrap_or(now).max(now + 1);
    }
    let tries = clients.finish(now);
    let outcomes = Outcomes {
        tries: tries.clone(),
        span: now,
        ..Outcomes::default()
    };
    (Summary::of(setup, &outcomes), tries, world)
}

fn frozen(more: &str) -> Arc<Setup> {
    setup(&format!(
        r#"{{"seconds":10,"arrivals":[{{"shape":"constant","rate":500}}],"limiters":{{"count":1}},"retries":{{"most":0}},
        "world":{{"nodes":{{"count":1,"cores":64,"work_ms":0.1,"work_cv":0,"speed":[1,1],"queue":100000,"keys_ms":0}},
        "faults":[{{"kind":"freeze","on":"node:0","at_s":5,"for_ms":500}}]}}{more}}}"#
    ))
}

#[test]
fn a_freeze_of_half_a_second_shows_at_its_size_and_a_closed_loop_would_hide_it() {
    let setup = frozen("");
    let (summary, _, world) = play(&setup, |_| 0);
    assert_eq!(
        (summary.offered, summary.served, world.counts().arrived),
        (5_000, 5_000, 5_000)
    );
    let max = summary.latency_us.max as f64;
    assert!((475_000.0..=525_000.0).contains(&max), "{max}");
    // 250 of 5,000 requests came during the freeze: the 99th percentile is a fifth of the way into it.
    assert!(
        (375_000..=425_000).contains(&summary.latency_us.p99),
        "{}",
        summary.latency_us.p99
    );
    assert!(summary.latency_us.p90 < 1_000 && summary.schedule_held);

    // The same world and the same number of requests from one client that waits for each answer.
    let mut world = World::new(&setup.scenario.world, 3, 1, 0);
    world.begin(0, 10_000_000);
    let (mut now, mut closed) = (0, Counted::default());
    for token in 0..5_000_u64 {
        let sent = now;
        world.handle_request(
            now,
            NodeRequest {
                node: 0,
                limiter: 0,
                token,
                id: &token.to_string(),
                key: None,
                work: None,
            },
        );
        while !std::iter::from_fn(|| world.poll(now)).any(|w| matches!(w, WorldEvent::Answer(..))) {
            now = world.next_event_at().expect("an answer is owed").max(now);
        }
        closed.add(now - sent);
        now = now.max(sent + 2_000);
    }
    assert!(
        closed.times().p99 < 1_000,
        "one slow answer in 5,000: {:?}",
        closed.times()
    );
}

#[test]
fn a_generator_that_was_late_says_so_and_counts_its_lateness_as_latency() {
    // The generator itself stands still for half a second; the node does not.
    let calm = frozen("").scenario.clone();
    let mut scenario = calm;
    scenario.world.faults.clear();
    let schedule = Schedule::lay(&scenario, 5, 1);
    let setup = Arc::new(Setup {
        scenario,
        schedule,
        targets: 1,
        seed: 5,
    });
    let (summary, ..) = play(&setup, |at| {
        if (5_000_000..5_500_000).contains(&at) {
            5_500_000 - at
        } else {
            0
        }
    });
    assert!(!summary.schedule_held, "{:?}", summary.send_lag_us);
    assert!(summary.send_lag_us.max >= 490_000 && summary.latency_us.max >= 490_000);
    assert!(summary.service_us.max < 2_000, "{:?}", summary.service_us);
    assert!(summary.text().contains("NOT HELD"));
}

#[test]
fn every_intended_request_ends_as_exactly_one_thing() {
    let faults = r#"{"kind":"spoil","on":"node:0","at_s":1,"for_ms":1000,"share":0.5},
        {"kind":"freeze","on":"node:1","at_s":2,"for_ms":7000},{"kind":"drain","on":"node:2","at_s":0.5,"for_ms":3000},
        {"kind":"hang","on":"node:2","at_s":4,"for_ms":2000}"#;
    let text = format!(
        r#"{{"seconds":8,"arrivals":[{{"shape":"poisson","rate":120}},{{"shape":"bursts","rate":20}}],
        "limiters":{{"count":3}},"world":{{"nodes":{{"count":3,"errors":0.05,"queue":6}},"faults":[{faults}]}}}}"#
    );
    let setup = setup(&text);
    let (summary, tries, world) = play(&setup, |_| 0);
    assert!(summary.adds_up);
    assert_eq!(summary.offered, setup.schedule.requests.len() as u64);
    for (name, count) in [
        ("served", summary.served),
        ("declined", summary.declined),
        ("failed", summary.failed),
        ("unanswered", summary.unanswered),
    ] {
        assert!(count > 0, "none {name}: {}", summary.text());
    }
    // Retries belong to their first try: at most three more, spaced by a wait, keyed ones after a refusal alone.
    assert!(summary.retries > 0 && tries.iter().all(|t| t.number <= 3));
    for pair in tries.windows(2) {
        let [a, b] = [pair[0], pair[1]];
        if a.request == b.request {
            assert!(b.intended >= a.ended + 50_000 || a.outcome == Outcome::NotSent);
        }
    }
    let keyed = |t: &&Try| setup.schedule.requests[t.request as usize].class == 1;
    for again in tries.iter().filter(keyed).filter(|t| t.number > 0) {
        let before = tries
            .iter()
            .find(|t| t.request == again.request && t.number + 1 == again.number)
            .unwrap();
        assert!(
            matches!(before.outcome, Outcome::Declined | Outcome::NotSent),
            "{before:?}"
        );
    }
    assert_eq!(world.counts().copies, 0);
    assert_eq!(world.counts().arrived, tries.len() as u64);
}

#[test]
fn a_target_that_takes_nothing_leaves_everything_not_sent() {
    let setup = setup(
        r#"{"name":"nobody listens","seconds":1,"arrivals":[{"shape":"constant","rate":100}],"limiters":{"count":1}}"#,
    );
    let (summary, tries, _) = play(&setup, |_| 0);
    assert_eq!(
        (summary.not_sent, summary.sent, summary.latency_us.count),
        (100, 0, 0)
    );
    assert_eq!(tries.len(), 400, "each is tried four times");
}

#[test]
fn an_interrupted_run_accounts_for_all_that_was_intended() {
    let setup = frozen("");
    let mut clients = Generator::new(setup.clone(), 0, 1);
    while let Some(order) = clients.poll(1_000_000) {
        if let Order::Send(token, sending) = order {
            clients.written(token, 1_000_000);
            if sending.request < 100 {
                clients.ended(
                    token,
                    1_000_000,
                    End::Answered {
                        status: 200,
                        retry_after: None,
                    },
                );
            }
        }
    }
    clients.interrupt();
    let outcomes = Outcomes {
        tries: clients.finish(1_000_000),
        interrupted: true,
        ..Outcomes::default()
    };
    let summary = Summary::of(&setup, &outcomes);
    assert!(summary.adds_up && summary.interrupted);
    assert_eq!(
        (summary.served, summary.unanswered, summary.not_sent),
        (100, 400, 4_500)
    );
}

/// Parts of one run have each request once between them.
#[test]
fn threads_share_the_schedule_without_overlap() {
    let setup = frozen("");
    let mut seen = vec![0; setup.schedule.requests.len()];
    for part in 0..3 {
        let mut clients = Generator::new(setup.clone(), part, 3);
        while let Some(order) = clients.poll(20_000_000) {
            if let Order::Send(_, sending) = order {
                seen[sending.request as usize] += 1;
            }
        }
    }
    assert!(seen.iter().all(|n| *n == 1));
}
