//! Tests of the world without sockets, in virtual time: the effects of faults, and the counts.

use emulator::Micros;
use emulator::counter;
use emulator::plan::WorldPlan;
use emulator::world::{NodeRequest, Reply, Service, World, WorldEvent};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn world(faults: &str) -> World {
    let text = format!(
        "{{\"nodes\":{{\"count\":2,\"cores\":1,\"speed\":[1,1],\"work_ms\":10,\"work_cv\":0,\"rack\":1,\"queue\":4,\
         \"cold_s\":1}},\"counter\":{{\"parts\":1,\"per_s\":1000,\"ms\":0}},\"faults\":[{faults}]}}"
    );
    let plan: WorldPlan = config_check::parse_json(&text).unwrap();
    plan.check(2).unwrap();
    let mut world = World::new(&plan, 3, 2, 0);
    world.begin(0, 60 * SECOND);
    world
}

fn send_request(
    world: &mut World,
    now: Micros,
    node: usize,
    token: u64,
    id: &str,
    key: Option<&str>,
) {
    world.handle_request(
        now,
        NodeRequest {
            node,
            limiter: 0,
            token,
            id,
            key,
            work: None,
        },
    );
}

/// All events up to an instant.
fn run_until(world: &mut World, end: Micros) -> Vec<(Micros, WorldEvent)> {
    let mut events = Vec::new();
    while let Some(at) = world.next_event_at().filter(|at| *at <= end) {
        while let Some(event) = world.poll(at) {
            events.push((at, event));
        }
    }
    events
}

#[test]
fn a_freeze_delays_answers_by_its_length_and_loses_none() {
    let mut world = world(r#"{"kind":"freeze","on":"node:0","at_s":0.005,"for_ms":500}"#);
    send_request(&mut world, 0, 0, 1, "a", None);
    assert_eq!(run_until(&mut world, 100 * MS), []);
    send_request(&mut world, 100 * MS, 0, 2, "b", None);
    let served = [
        (510 * MS, WorldEvent::Answer(1, Reply::Served)),
        (520 * MS, WorldEvent::Answer(2, Reply::Served)),
    ];
    assert_eq!(run_until(&mut world, SECOND), served);
}

#[test]
fn a_crashed_counter_is_reset_and_restarts_empty() {
    let mut world = world(r#"{"kind":"die","on":"counter","at_s":1,"for_ms":1000}"#);
    let call = counter::call("/v2/numbers/n?delta=3&life_ms=60000").unwrap();
    world.handle_counter_call(0, 0, 1, call);
    assert_eq!(
        run_until(&mut world, 500 * MS),
        [(MS, WorldEvent::Answer(1, Reply::Total(3.0)))]
    );
    let fell = [
        (SECOND, WorldEvent::StopListening(Service::Counter)),
        (SECOND, WorldEvent::Reset(Service::Counter)),
    ];
    assert_eq!(run_until(&mut world, SECOND), fell);
    assert_eq!(
        run_until(&mut world, 2 * SECOND),
        [(2 * SECOND, WorldEvent::Open(Service::Counter))]
    );
    world.handle_counter_call(2 * SECOND, 0, 2, call);
    assert_eq!(
        run_until(&mut world, 3 * SECOND)[0].1,
        WorldEvent::Answer(2, Reply::Total(3.0))
    );
    assert_eq!(
        world.counts().calls_by,
        [vec![1, 0, 1]],
        "calls by limiter, second by second"
    );
}

#[test]
fn a_partition_isolates_one_limiter_and_not_the_other() {
    let mut world =
        world(r#"{"kind":"partition","on":"counter","at_s":0,"for_ms":300,"limiter":1}"#);
    run_until(&mut world, 0);
    let call = counter::call("/v2/numbers/n?delta=1&life_ms=60000").unwrap();
    world.handle_counter_call(MS, 0, 1, call);
    world.handle_counter_call(MS, 1, 2, call);
    let events = run_until(&mut world, SECOND);
    assert_eq!(
        events[0],
        (2 * MS, WorldEvent::Answer(1, Reply::Total(1.0)))
    );
    // The call of the partitioned limiter arrives when the partition ends.
    assert_eq!(
        events[1],
        (301 * MS, WorldEvent::Answer(2, Reply::Total(2.0)))
    );
}

#[test]
fn repeats_of_a_key_are_dropped_in_one_rack_and_counted_where_they_run_twice() {
    let mut world = world("");
    send_request(&mut world, 0, 0, 1, "a", Some("k"));
    run_until(&mut world, 20 * MS);
    send_request(&mut world, 20 * MS, 0, 2, "b", Some("k"));
    let events = run_until(&mut world, 30 * MS);
    assert_eq!(
        events,
        [(20 * MS, WorldEvent::Answer(2, Reply::Served))],
        "a dropped repeat is answered at once"
    );
    send_request(&mut world, 30 * MS, 1, 3, "c", Some("k"));
    run_until(&mut world, SECOND);
    let counts = world.counts();
    assert_eq!((counts.keyed, counts.dropped, counts.keys_twice), (3, 1, 1));
    send_request(&mut world, 9 * SECOND, 0, 4, "d", Some("k"));
    assert_eq!(
        world.counts().dropped,
        1,
        "a key is forgotten after its time"
    );
}

#[test]
fn concurrent_copies_and_requests_after_a_drain_are_counted() {
    let mut world = world(r#"{"kind":"drain","on":"node:0","at_s":1,"for_ms":9000}"#);
    send_request(&mut world, 0, 0, 1, "a", None);
    send_request(&mut world, MS, 1, 2, "a", None);
    assert_eq!((world.counts().again, world.counts().copies), (1, 1));
    let events = run_until(&mut world, 3 * SECOND);
    // Published 1.5 s after the drain began; the grace of 2.05 s starts from there.
    assert!(events.contains(&(2_500 * MS, WorldEvent::ListChanged)));
    for (token, at) in [(3, 4_400), (4, 4_600)] {
        send_request(&mut world, at * MS, 0, token, &token.to_string(), None);
    }
    assert_eq!(world.counts().after_drain, 1);
    assert!(
        run_until(&mut world, 5 * SECOND)
            .contains(&(4_600 * MS, WorldEvent::Answer(4, Reply::Rejected)))
    );
}

#[test]
fn a_replaced_node_gets_a_cold_successor_with_a_new_name() {
    let mut world = world(r#"{"kind":"replace","on":"node:1","at_s":1,"for_ms":2000}"#);
    let events = run_until(&mut world, 10 * SECOND);
    assert!(events.contains(&(SECOND, WorldEvent::Open(Service::Node(2)))));
    assert!(events.contains(&(3 * SECOND, WorldEvent::StopListening(Service::Node(1)))));
    let list = world.list(None, |n| format!("127.0.0.1:{n}"));
    assert!(
        list.contains("s-0002") && !list.contains("s-0001"),
        "{list}"
    );
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let faults = r#"{"kind":"die","on":"nodes:0.5","at_s":1,"for_ms":100,"every_s":1}"#;
    let seen = || run_until(&mut world(faults), 20 * SECOND);
    assert!(!seen().is_empty());
    assert_eq!(seen(), seen());
}

#[test]
fn the_key_of_a_rejected_request_is_not_dropped_later() {
    let mut world = world(r#"{"kind":"drain","on":"node:0","at_s":0,"for_ms":100}"#);
    run_until(&mut world, 0);
    send_request(&mut world, MS, 0, 1, "a", Some("k"));
    assert_eq!(
        run_until(&mut world, MS),
        [(MS, WorldEvent::Answer(1, Reply::Rejected))]
    );
    send_request(&mut world, 2 * MS, 1, 2, "a", Some("k"));
    run_until(&mut world, 200 * MS);
    // After its restart the node runs the request, since no node in its rack had started it.
    send_request(&mut world, 200 * MS, 0, 3, "a", Some("k"));
    let counts = world.counts();
    assert_eq!((counts.dropped, counts.keys_twice, counts.again), (0, 1, 2));
}

/// A random action of a limiter.
#[derive(Clone, Debug)]
enum Step {
    Request(u8, u8),
    Count,
    Probe(u8),
    Disconnect(u8),
    Advance(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match a % 6 {
            0 | 1 => Step::Request(b, u8::arbitrary(g)),
            2 => Step::Count,
            3 => Step::Probe(b),
            4 => Step::Disconnect(b),
            _ => Step::Advance(u16::arbitrary(g)),
        }
    }
}

/// In any order of actions, every request is answered at most once, unanswered ones were lost to a reset or a silence
/// that the plan causes, and no answer is sent without a request.
#[test]
fn random_actions_are_answered_at_most_once() {
    fn is_answered_at_most_once(steps: Vec<Step>) -> bool {
        let mut world = world(
            r#"{"kind":"freeze","on":"node:0","at_s":0.1,"for_ms":50,"every_s":0.2},
               {"kind":"die","on":"node:1","at_s":0.15,"for_ms":30,"every_s":0.3},
               {"kind":"partition","on":"counter","at_s":0.1,"for_ms":40,"every_s":0.11}"#,
        );
        let (mut now, mut token) = (0, 0_u64);
        let mut unanswered = std::collections::BTreeSet::new();
        let settle =
            |world: &mut World, unanswered: &mut std::collections::BTreeSet<u64>, end: Micros| {
                run_until(world, end).iter().all(|(_, event)| match event {
                    WorldEvent::Answer(token, _) => unanswered.remove(token),
                    _ => true,
                })
            };
        for step in steps {
            token += 1;
            match step {
                Step::Request(node, id) => {
                    send_request(
                        &mut world,
                        now,
                        usize::from(node % 2),
                        token,
                        &id.to_string(),
                        None,
                    );
                    unanswered.insert(token);
                }
                Step::Count => {
                    world.handle_counter_call(
                        now,
                        0,
                        token,
                        counter::call("/v2/numbers/n?delta=1&life_ms=5").unwrap(),
                    );
                    unanswered.insert(token);
                }
                Step::Probe(node) => {
                    world.handle_probe(now, usize::from(node % 2), 0, token);
                    unanswered.insert(token);
                }
                Step::Disconnect(which) => {
                    let chosen = unanswered
                        .iter()
                        .nth(usize::from(which) % unanswered.len().max(1))
                        .copied();
                    if let Some(token) = chosen {
                        world.connection_closed(now, token);
                    }
                }
                Step::Advance(micros) => {
                    now += Micros::from(micros);
                    if !settle(&mut world, &mut unanswered, now) {
                        return false;
                    }
                }
            }
        }
        // After the last fault every request is answered, except those lost to resets or closed connections.
        settle(&mut world, &mut unanswered, now + 70 * SECOND) && world.next_event_at().is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(300)
        .quickcheck(is_answered_at_most_once as fn(Vec<Step>) -> bool);
}
