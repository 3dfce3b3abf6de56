//! The replicated state: timelines of six replicas, one column each, two to a region.

use control::core::ids::{Ballot, Incarnation, ProcessId, SingletonRole};
use control::core::peer_messages::{Payload, PeerMessage};
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::{Command, Reply};
use protocol::items::{ItemKind, ItemName};
use protocol::messages::{AgentMessage, ControlMessage, CounterAdd, NodeInfo, NodeState};
use simulation::cluster::{Cluster, MS, SECOND, assert_timeline, service};
use test_case::test_case;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.run_to(3 * SECOND);
    cluster
}

fn read_back(cluster: &mut Cluster, at: usize) -> String {
    match cluster.ask(at, Command::GetConfiguration) {
        Some(Reply::Items(body)) => String::from_utf8(body).unwrap(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn change_at_any_replica_reaches_all() {
    let mut cluster = Cluster::new(1);
    let mut lines = Vec::new();
    cluster.run_to(SECOND);
    lines.push(cluster.line(&["s"]));
    cluster.run_to(3 * SECOND);
    lines.push(cluster.line(&["s"]));
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    lines.push(cluster.line(&["s"]));
    cluster.run_to(3_500 * MS);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        1.0s  o_  o_  o_  o_  o_  o_
        3.0s  oP_ o_  o_  oC_ o_  o_
        3.2s  oP_ o_  o_  oC_ o7  o_
        3.5s  oP7 o7  o7  oC7 o7  o7",
    );
    assert!(read_back(&mut cluster, 1).contains(r#""ver":7"#));
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn one_of_two_contents_of_a_version_is_acknowledged() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        let calls = [
            cluster.call(0, service("s", 7, 1)),
            cluster.call(5, service("s", 7, 2)),
        ];
        cluster.run(2 * SECOND);
        let replies = calls.map(|call| cluster.reply(call));
        let done = replies
            .iter()
            .filter(|reply| **reply == Some(Reply::Done))
            .count();
        assert_eq!(
            (done, replies.contains(&Some(Reply::Conflict))),
            (1, true),
            "{seed}: {replies:?}"
        );
        cluster.check_contents();
        assert!(cluster.agree() && cluster.chosen(0).len() == 1, "{seed}");
        let won = if replies[0] == Some(Reply::Done) {
            "/1"
        } else {
            "/2"
        };
        assert!(read_back(&mut cluster, 3).contains(won));
    }
}

#[test_case(false; "it loses power")]
#[test_case(true; "it loses its disk")]
fn acknowledged_item_survives_loss_of_its_replica(wipe: bool) {
    let mut cluster = started(2);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    // Before any other replica learns that it is chosen: the announcement is lost.
    cluster.cut(&[4], &[0, 1, 2, 3, 5]);
    if wipe {
        cluster.wipe(4)
    } else {
        cluster.power(4)
    }
    let mut lines = vec![cluster.line(&["s"])];
    cluster.run(SECOND);
    cluster.heal();
    cluster.start(4);
    cluster.run(10 * MS);
    lines.push(cluster.line(&["s"]));
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    let back = if wipe { "r_" } else { "-_" };
    assert_timeline(
        &lines,
        &format!(
            "  a   b   c   d   e   f
        3.2s  oP_ o_  o_  oC_ .   o_
        4.2s  oP7 o7  o7  oC7 {back} o7
        6.2s  oP7 o7  o7  oC7 o7  o7"
        ),
    );
}

#[test]
fn only_the_majority_partition_acknowledges() {
    let mut cluster = started(3);
    cluster.cut(&[0, 1], &[2, 3, 4, 5]);
    let early = cluster.call(0, service("s", 1, 1));
    cluster.run(1_500 * MS);
    let mut lines = vec![cluster.line(&["s"])];
    // The part without a majority says so at once.
    assert!(matches!(
        cluster.ask(1, service("s", 2, 1)),
        Some(Reply::Unavailable(_))
    ));
    assert!(matches!(cluster.reply(early), Some(Reply::Unavailable(_))));
    assert_eq!(cluster.ask(2, service("s", 3, 1)), Some(Reply::Done));
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    cluster.heal();
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        4.5s  -_  -_  o_  oC_ o_  o_
        6.7s  -_  -_  oP3 oC3 o3  o3
        8.7s  o3  o3  oP3 oC3 o3  o3",
    );
}

#[test_case(true; "the smaller part hears and is not heard")]
#[test_case(false; "the smaller part is heard and does not hear")]
fn only_the_majority_side_of_a_one_way_partition_acknowledges(hears: bool) {
    let mut cluster = started(16);
    let pairs = [0, 1]
        .into_iter()
        .flat_map(|one| [2, 3, 4, 5].map(|other| (one, other)));
    cluster
        .cuts
        .extend(pairs.map(|(one, other)| if hears { (one, other) } else { (other, one) }));
    let early = cluster.call(1, service("s", 1, 1));
    cluster.run(1_500 * MS);
    assert!(
        matches!(cluster.reply(early), Some(Reply::Unavailable(_))),
        "{:?}",
        cluster.reply(early)
    );
    assert!(matches!(
        cluster.ask(0, service("s", 2, 2)),
        Some(Reply::Unavailable(_))
    ));
    assert_eq!(cluster.ask(2, service("s", 3, 3)), Some(Reply::Done));
    cluster.run(2 * SECOND);
    let mut lines = vec![cluster.line(&["s"])];
    cluster.heal();
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    let cut = if hears { "-3  -3 " } else { "-_  -_ " };
    assert_timeline(
        &lines,
        &format!(
            "  a   b   c   d   e   f
        6.7s  {cut} oP3 oC3 o3  o3
        8.7s  o3  o3  oP3 oC3 o3  o3"
        ),
    );
    cluster.check_contents();
    assert!(
        cluster.agree() && cluster.faults.is_empty(),
        "{:?}",
        cluster.faults
    );
}

#[test]
fn brief_zone_loss_keeps_one_lease_holder_and_acknowledged_items() {
    let mut cluster = started(17);
    assert_eq!(cluster.ask(3, service("s", 7, 1)), Some(Reply::Done));
    // The owner of the counter loses power, and is back before its grants have expired by the
    // others' clocks.
    cluster.power(3);
    let mut lines = vec![cluster.line(&["s"])];
    assert_eq!(cluster.ask(0, service("s", 8, 2)), Some(Reply::Done));
    cluster.run_to(4_700 * MS);
    cluster.start(3);
    lines.push(cluster.line(&["s"]));
    cluster.run(900 * MS);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        3.2s  oP_ o_  o_  .   o_  o_
        4.7s  oP8 o8  o8  -_  o8  o8
        5.6s  oP8 o8  o8  o8  oC8 o8",
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn replica_with_a_full_disk_keeps_its_role_and_resumes_later() {
    let mut cluster = started(5);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    // The replica that polls, while a call of its operator is in progress.
    cluster.fill(0, true);
    let mut lines = vec![cluster.line(&["s"])];
    let refused = cluster.ask(0, service("s", 8, 1));
    assert!(
        matches!(refused, Some(Reply::Unavailable(why)) if why.contains("disk of this replica")),
        "{refused:?}"
    );
    assert!(read_back(&mut cluster, 0).contains(r#""ver":7"#));
    // The others are enough without it, and it learns what they decide.
    assert_eq!(cluster.ask(4, service("s", 9, 1)), Some(Reply::Done));
    cluster.run(4 * SECOND);
    lines.push(cluster.line(&["s"]));
    // With two more gone it is needed again. A change that was in progress when the disk became
    // full says so as well.
    cluster.fill(0, false);
    (1..3).for_each(|replica| cluster.kill(replica));
    let open = cluster.call(0, service("s", 10, 1));
    cluster.fill(0, true);
    cluster.run(SECOND);
    assert!(
        matches!(cluster.reply(open), Some(Reply::Unavailable(why)) if why.contains("disk of this replica"))
    );
    cluster.fill(0, false);
    assert_eq!(cluster.ask(0, service("s", 11, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a    b    c    d    e    f
        3.2s  oP7  o_   o_   oC_  o_   o_
        7.6s  oP9  o9   o9   oC9  o9   o9
        9.8s  oP11 .    .    oC11 o11  o11",
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn replaced_replica_votes_and_its_former_holder_does_not() {
    let mut cluster = started(4);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    // The new machine starts while the old one still runs, cut off from all but two.
    cluster.cut(&[5], &[0, 1, 2, 3]);
    let new = cluster.add(5);
    cluster.cut(&[5], &[new]);
    cluster.start(new);
    cluster.run(10 * MS);
    let mut lines = vec![cluster.line(&["s"])];
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    cluster.heal();
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    // With three replicas down, the old holder's vote would be the fourth.
    cluster.kill(0);
    cluster.kill(1);
    cluster.kill(new);
    assert!(!matches!(
        cluster.ask(2, service("s", 9, 2)),
        Some(Reply::Done)
    ));
    assert!(matches!(
        cluster.ask(5, Command::GetConfiguration),
        Some(Reply::Unavailable(_))
    ));
    lines.push(cluster.line(&["s"]));
    cluster.start(new);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.ask(2, service("s", 11, 2)), Some(Reply::Done));
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "        a    b    c    d    e    f
         3.2s  oP7  o7   o_   oC_  o_   o_   r_
         5.2s  oP7  o7   o7   oC7  o7   x_   o7
         6.2s  oP7  o7   o7   oC7  o7   x_   o7
         7.1s  .    .    o7   oC7  o7   x_   .
        10.4s  .    .    oP11 oC11 o11  x_   o11",
    );
}

#[test]
fn replacement_at_another_address_votes() {
    let mut cluster = started(15);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.wipe(5);
    cluster.run(SECOND);
    let new = cluster.add(5);
    cluster.start(new);
    cluster.run(2 * SECOND);
    let mut lines = vec![cluster.line(&["s"])];
    // With two more gone it is one of the four that are needed, and operators may call it.
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.ask(new, service("s", 8, 2)), Some(Reply::Done));
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        6.2s  oP7 o7  o7  oC7 o7  .  o7
        9.5s  .   .   oP8 oC8 o8  .  o8",
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn recovery_waits_for_a_quorum_of_the_others() {
    let mut cluster = started(12);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.wipe(5);
    cluster.cut(&[5], &[2, 3, 4]);
    cluster.start(5);
    cluster.run(2 * SECOND);
    let mut lines = vec![cluster.line(&["s"])];
    assert!(matches!(
        cluster.ask(5, Command::GetConfiguration),
        Some(Reply::Unavailable(_))
    ));
    cluster.heal();
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        5.2s  oP7 o7  o7  oC7 o7  r_
        6.2s  oP7 o7  o7  oC7 o7  o7",
    );
}

#[test]
fn recovered_replica_keeps_former_promises() {
    let mut cluster = started(14);
    // A promise given only by the replica's previous incarnation and some others.
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.wipe(5);
    cluster.start(5);
    cluster.run(2 * SECOND);
    let node = &mut cluster.nodes[5];
    let core = node.core.as_mut().unwrap();
    let incarnations = vec![
        Incarnation::FIRST,
        Incarnation::FIRST,
        Incarnation::FIRST,
        Incarnation::FIRST,
        Incarnation::FIRST,
        core.incarnation(),
    ];
    let by = ProcessId {
        replica: 0,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let names = vec![ItemName {
        kind: ItemKind::Tenant,
        name: "t".to_string(),
    }];
    let body = Payload::Prepare {
        ballot: Ballot {
            round: 1,
            ..Ballot::default()
        },
        names,
    };
    let mut out = Vec::new();
    // Below the highest promise, on a register of which nothing is known any more.
    let peer_message = PeerMessage {
        sender: by,
        incarnations,
        payload: body,
    };
    core.step(
        node.clock.at(cluster.now),
        Input::PeerMessage("10.0.0.0:7740".parse().unwrap(), peer_message),
        &mut out,
    );
    let refused = |output: &Output| {
        matches!(
            output,
            Output::SendToReplicas(
                _,
                PeerMessage {
                    payload: Payload::Nack { .. },
                    ..
                }
            )
        )
    };
    assert!(out.iter().any(refused), "{out:?}");
}

#[test]
fn agent_is_told_complete_by_an_up_to_date_replica() {
    let mut cluster = started(13);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    cluster.wipe(5);
    cluster.start(5);
    cluster.feed(5, Input::Agent(1, AgentMessage::Hello(edge("e1", "f"))));
    let heard = |cluster: &Cluster| {
        // Empty, and not the first message: a heartbeat.
        let sign = |(at, down): &(usize, &ControlMessage)| {
            *at > 1 && *down == &ControlMessage::Items(Vec::new())
        };
        let told = cluster.nodes[5]
            .told
            .iter()
            .map(|(_, down)| down)
            .enumerate();
        let told = told.filter(|told| {
            !matches!(
                told.1,
                ControlMessage::ClusterView(_) | ControlMessage::Levels { .. }
            ) && !sign(told)
        });
        told.map(|(_, down)| match down {
            ControlMessage::Items(items) => format!("{} items", items.len()),
            down => format!("{down:?}"),
        })
        .collect::<Vec<_>>()
    };
    assert_eq!(heard(&cluster), ["0 items"]);
    cluster.run(2 * SECOND);
    assert_eq!(heard(&cluster), ["0 items", "1 items", "Complete"]);
}

#[test]
fn only_replica_reports_complete() {
    let own = ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 1,
        ..ReplicaMetadata::default()
    };
    let (zones, zone, seeds) = (vec!["a".to_string()], "a".to_string(), Vec::new());
    let (address, restored) = (
        "10.0.0.0:7740".parse().ok(),
        RecoveredState {
            metadata: own,
            ..RecoveredState::default()
        },
    );
    let mut core = Replica::new(
        0,
        ReplicaConfig {
            zones,
            zone,
            address,
            seeds,
            seed: 1,
            recovered: restored,
            ..ReplicaConfig::default()
        },
    );
    let mut out = Vec::new();
    core.step(
        0,
        Input::Agent(1, AgentMessage::Hello(edge("e1", "a"))),
        &mut out,
    );
    (1..10).for_each(|beat| core.step(beat * 500 * MS, Input::Tick, &mut out));
    assert!(
        out.iter()
            .any(|output| matches!(output, Output::SendToAgents(_, ControlMessage::Complete))),
        "{out:?}"
    );
}

#[test]
fn full_restart_keeps_acknowledged_items() {
    let mut cluster = started(5);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    assert_eq!(
        cluster.ask(
            1,
            Command::SetEvacuation {
                zone: "c".into(),
                evacuate: true
            }
        ),
        Some(Reply::Done)
    );
    let terms = cluster.terms.clone();
    ALL.iter().for_each(|at| cluster.kill(*at));
    let mut lines = vec![cluster.line(&["s", "c"])];
    cluster.run(500 * MS);
    ALL.iter().for_each(|at| cluster.start(*at));
    cluster.run(SECOND);
    lines.push(cluster.line(&["s", "c"]));
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s", "c"]));
    assert_timeline(
        &lines,
        "       a    b    c    d    e    f
        3.5s   .    .    .    .    .    .
        5.0s   o71  o71  o71  oC71 o71  o71
        7.0s   oP71 o71  o71  oC71 o71  o71",
    );
    // The terms of the roles keep increasing.
    for duty in SingletonRole::ALL {
        let before = terms
            .keys()
            .filter(|(of, _)| *of == duty)
            .map(|(_, term)| *term)
            .max();
        assert!(Some(cluster.holders(duty)[0].1) > before, "{duty:?}");
    }
}

/// Until there is a counter, proxies keep tenants to their local shares. After all were killed, the
/// replica that owned the counter takes it over again at once, as nobody else can hold a grant of
/// those that voted for it. A later one finds the role taken.
#[test]
fn former_counter_resumes_after_a_full_restart() {
    let mut cluster = started(5);
    let before = cluster.holders(SingletonRole::Counter)[0];
    ALL.iter().for_each(|at| cluster.power(*at));
    let mut lines = vec![cluster.line(&[])];
    cluster.run(500 * MS);
    ALL.iter().for_each(|at| cluster.start(*at));
    cluster.run(700 * MS);
    lines.push(cluster.line(&[]));
    // It ends once more, alone, and is back while the others' grants to it are valid.
    cluster.run(SECOND);
    cluster.kill(before.0);
    cluster.run(300 * MS);
    cluster.start(before.0);
    cluster.run(800 * MS);
    lines.push(cluster.line(&[]));
    cluster.power(before.0);
    cluster.run(2_400 * MS);
    lines.push(cluster.line(&[]));
    assert_timeline(
        &lines,
        "     a   b   c   d   e   f
        3.0s  .   .   .   .   .   .
        4.2s  o   o   o   oC  o   o
        6.3s  oP  o   o   oC  o   o
        8.7s  oP  o   o   .   oC  o",
    );
    let after = cluster.holders(SingletonRole::Counter)[0];
    assert!(
        after.0 != before.0 && after.1 > before.1 + 1,
        "{before:?} {after:?}"
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

/// Proxies that have lost power serve nothing until they know servers: a replica reads the list as
/// it starts.
#[test]
fn server_list_is_read_before_any_lease_after_a_full_restart() {
    let mut cluster = started(5);
    let polls = |cluster: &Cluster, at: usize| {
        cluster.nodes[at]
            .core
            .as_ref()
            .is_some_and(|core| core.polls_platform(cluster.now))
    };
    ALL.iter().for_each(|at| cluster.kill(*at));
    ALL.iter().for_each(|at| cluster.start(*at));
    cluster.feed(2, Input::Agent(1, AgentMessage::Hello(edge("e1", "c"))));
    // Two of six, so that many replicas keep to the platform's rate limit.
    assert_eq!(ALL.iter().filter(|at| polls(&cluster, **at)).count(), 2);
    cluster.run(500 * MS);
    assert!(cluster.holders(SingletonRole::PlatformPoller).is_empty());
    cluster.feed(0, Input::ServerListRead(vec![]));
    cluster.run(100 * MS);
    let told = |cluster: &Cluster| {
        let told = cluster.nodes[2].told.iter().rev();
        told.into_iter().find_map(|(_, down)| {
            if let ControlMessage::Servers { version, .. } = down {
                Some(*version)
            } else {
                None
            }
        })
    };
    assert_eq!(told(&cluster), Some((0, 1)));
    assert!(
        ALL.iter().all(|at| !polls(&cluster, *at)),
        "a list is known"
    );
    // Any list of a poller supersedes it.
    cluster.run(2 * SECOND);
    let (holder, term) = cluster.holders(SingletonRole::PlatformPoller)[0];
    let one = protocol::platform::Server {
        id: "i".into(),
        svc: "s".into(),
        addr: "10.9.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        accepts_requests: true,
        warm_up_left: 0,
    };
    cluster.feed(holder, Input::ServerListRead(vec![one]));
    cluster.run(100 * MS);
    assert_eq!(told(&cluster), Some((term, 1)));
}

#[test]
fn older_and_repeated_changes_have_no_effect() {
    let mut cluster = started(6);
    let mut ask = |at: usize, ver: u64, content: u64| cluster.ask(at, service("s", ver, content));
    assert_eq!(ask(0, 7, 1), Some(Reply::Done));
    // A later change has overtaken it: it succeeds without an effect.
    assert_eq!(ask(3, 5, 2), Some(Reply::Done));
    assert_eq!(ask(3, 7, 2), Some(Reply::Conflict));
    assert_eq!(ask(3, 7, 1), Some(Reply::Done));
    cluster.run(SECOND);
    assert!(read_back(&mut cluster, 5).contains("/1"));
    assert!(cluster.agree());
}

#[test]
fn call_of_350_items_is_atomic() {
    let mut cluster = started(7);
    let route = |n: usize, svc: &str| {
        format!(
            r#"{{"type":"routes","meta":{{"name":"r{n}","ver":3}},"spec":{{"host":"h","prefix":"/{n}/","kind":"idem",
            "timeout":"3s","target_time":"1s","svc":"{svc}"}}}}"#
        )
    };
    let call = |last: &str| {
        let mut all: Vec<String> = (0..349).map(|n| route(n, "s")).collect();
        all.push(route(349, last));
        Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, all.join(",")).into_bytes())
    };
    // A replica that has not heard of the service yet asks the others before it rejects the call.
    let first = cluster.call(0, service("s", 1, 1));
    cluster.run(230 * MS);
    assert_eq!(cluster.reply(first), Some(Reply::Done));
    assert_eq!(cluster.ask(5, call("s")), Some(Reply::Done));
    assert!(
        matches!(cluster.ask(5, call("unknown")), Some(Reply::Invalid(text)) if text.contains("svc"))
    );
    cluster.run(SECOND);
    assert!(cluster.agree());
    assert_eq!(
        cluster
            .chosen(3)
            .keys()
            .filter(|name| name.kind == ItemKind::Route)
            .count(),
        350
    );
}

#[test]
fn evacuation_begins_and_ends_once() {
    let mut cluster = started(8);
    let mut drain = |zone: &str, on| {
        cluster.ask(
            2,
            Command::SetEvacuation {
                zone: zone.into(),
                evacuate: on,
            },
        )
    };
    assert_eq!(drain("c", false), Some(Reply::Done));
    assert_eq!(drain("c", true), Some(Reply::Done));
    assert_eq!(drain("c", true), Some(Reply::Done));
    assert_eq!(drain("c", false), Some(Reply::Done));
    assert!(matches!(drain("x", true), Some(Reply::NotFound(_))));
    cluster.run(SECOND);
    let zone = cluster.chosen(5).into_values().next().unwrap();
    assert_eq!((zone.ver, zone.spec.as_deref()), (2, Some("false")));
    // Not an item of the operators' configuration.
    assert_eq!(read_back(&mut cluster, 0), r#"{"objs":[]}"#);
}

#[test]
fn role_moves_at_once_after_shutdown_and_soon_after_a_kill() {
    let mut cluster = started(9);
    let mut lines = vec![cluster.line(&[])];
    cluster.feed(3, Input::Shutdown);
    lines.push(cluster.line(&[]));
    cluster.run(600 * MS);
    lines.push(cluster.line(&[]));
    cluster.kill(0);
    cluster.run(1_200 * MS);
    lines.push(cluster.line(&[]));
    cluster.run(1_200 * MS);
    lines.push(cluster.line(&[]));
    assert_timeline(
        &lines,
        "      a   b   c   d   e   f
        3.0s  oP  o   o   oC  o   o
        3.0s  oP  o   o   o   o   o
        3.6s  oP  o   o   o   oC  o
        4.8s  .   o   o   o   oC  o
        6.0s  .   oP  o   o   oC  o",
    );
}

fn edge(node: &str, zone: &str) -> NodeInfo {
    let http = "10.1.0.9:8686".parse().unwrap();
    NodeInfo {
        name: node.to_string(),
        zone: zone.to_string(),
        region: "r".to_string(),
        http,
    }
}

#[test]
fn members_renew_anywhere_and_one_replica_counts() {
    let mut cluster = started(10);
    cluster.feed(1, Input::Agent(1, AgentMessage::Hello(edge("e1", "a"))));
    cluster.feed(
        1,
        Input::Agent(1, AgentMessage::Heartbeat(NodeState::Ready)),
    );
    cluster.run(100 * MS);
    let members = |cluster: &Cluster, at: usize| {
        let core = cluster.nodes[at].core.as_ref().unwrap();
        let now = cluster.nodes[at].clock.at(cluster.now);
        core.members(now)
            .iter()
            .map(|told| (told.node.name.clone(), told.state))
            .collect::<Vec<_>>()
    };
    let ready = vec![("e1".to_string(), NodeState::Ready)];
    assert!(ALL.iter().all(|at| members(&cluster, *at) == ready));
    // It moves to another replica, where it drains; what the first one reports of it does not count
    // any more.
    cluster.feed(1, Input::AgentDisconnected(1));
    cluster.feed(4, Input::Agent(2, AgentMessage::Hello(edge("e1", "a"))));
    cluster.feed(
        4,
        Input::Agent(2, AgentMessage::Heartbeat(NodeState::Draining)),
    );
    cluster.run(100 * MS);
    assert!(
        ALL.iter()
            .all(|at| members(&cluster, *at) == [("e1".to_string(), NodeState::Draining)])
    );
    cluster.run(4 * SECOND);
    assert!(ALL.iter().all(|at| members(&cluster, *at).is_empty()));

    let add = |time| AgentMessage::CounterBatch {
        batch: 5,
        time,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl: SECOND,
        }],
    };
    cluster.feed(3, Input::Agent(3, add(TIME)));
    cluster.feed(2, Input::Agent(4, add(TIME)));
    assert_eq!(
        cluster.nodes[3].told.last().unwrap().1,
        ControlMessage::Totals {
            batch: 5,
            totals: vec![2.0]
        }
    );
    assert_eq!(
        cluster.nodes[2].told.last().unwrap().1,
        ControlMessage::NotCounted(5)
    );
}

/// The limiters' clock, ahead of the replicas' knowledge of it.
const TIME: i64 = 2 * dataplane::clock::STEADY_CLOCK_START;

#[test]
fn limiters_with_different_clocks_do_not_count_together() {
    let mut cluster = started(10);
    let add = |time| AgentMessage::CounterBatch {
        batch: 5,
        time,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl: 90 * SECOND,
        }],
    };
    let counted = |cluster: &mut Cluster, link, time| {
        cluster.feed(3, Input::Agent(link, add(time)));
        matches!(
            cluster.nodes[3].told.last(),
            Some((_, ControlMessage::Totals { .. }))
        )
    };
    assert!(counted(&mut cluster, 1, TIME) && counted(&mut cluster, 2, TIME - 400 * MS));
    // A limiter that is behind is told so, and counted once it follows.
    assert!(!counted(&mut cluster, 2, TIME - SECOND));
    let told = &cluster.nodes[3].told;
    assert!(matches!(told[told.len() - 2], (2, ControlMessage::Clock(time)) if time == TIME));
    assert!(counted(&mut cluster, 2, TIME));
    // One that is ahead: nothing was counted under its names, so that nothing is counted for as
    // long as it is ahead.
    assert!(!counted(&mut cluster, 3, TIME + 2 * SECOND));
    cluster.run(1_900 * MS);
    assert!(!counted(&mut cluster, 1, TIME + 3_900 * MS));
    cluster.run(110 * MS);
    assert!(counted(&mut cluster, 1, TIME + 4_010 * MS));
    // The other replicas know it by heartbeats, and a counter that moves continues with it.
    cluster.run(SECOND);
    cluster.feed(5, Input::Agent(9, AgentMessage::Clock(0)));
    let told = cluster.nodes[5].told.last().unwrap();
    assert!(
        matches!(told, (9, ControlMessage::Clock(time)) if *time > TIME + 4 * SECOND),
        "{told:?}"
    );
}

#[test]
fn server_list_reaches_all_replicas() {
    let mut cluster = started(11);
    cluster.feed(5, Input::Agent(1, AgentMessage::Hello(edge("e1", "f"))));
    cluster.cut(&[5], &[0, 1, 2, 3, 4]);
    cluster.feed(0, Input::ServerListRead(vec![]));
    // A replica without the role has no say.
    cluster.feed(1, Input::ServerListRead(vec![]));
    cluster.run(1_500 * MS);
    let heard = |cluster: &Cluster| {
        let told = cluster.nodes[5].told.iter();
        told.filter_map(|(_, down)| match down {
            ControlMessage::Servers { version, .. } => Some(*version),
            _ => None,
        })
        .collect::<Vec<_>>()
    };
    assert!(heard(&cluster).is_empty());
    cluster.heal();
    cluster.run(SECOND);
    let term = cluster.holders(SingletonRole::PlatformPoller)[0].1;
    assert_eq!(heard(&cluster), [(term, 1)]);
}
