//! Agreement on configuration items: timelines of six replicas, one column each, two per region.

mod common;

use control::operator_api::{Command, Reply};
use protocol::items::ItemKind;
use simulation::cluster::{Cluster, MS, SECOND, assert_timeline, service};
use test_case::test_case;

use common::{read_back, started};

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
        let winner = if replies[0] == Some(Reply::Done) {
            "/1"
        } else {
            "/2"
        };
        assert!(read_back(&mut cluster, 3).contains(winner));
    }
}

#[test_case(false; "power loss")]
#[test_case(true; "disk loss")]
fn acknowledged_item_survives_loss_of_its_replica(wipe: bool) {
    let mut cluster = started(2);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    // No other replica learns that the item is chosen, as the announcement is lost.
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
    let restarted = if wipe { "r_" } else { "-_" };
    assert_timeline(
        &lines,
        &format!(
            "  a   b   c   d   e   f
        3.2s  oP_ o_  o_  oC_ .   o_
        4.2s  oP7 o7  o7  oC7 {restarted} o7
        6.2s  oP7 o7  o7  oC7 o7  o7"
        ),
    );
}

#[test]
fn only_the_majority_partition_acknowledges() {
    let mut cluster = started(3);
    cluster.cut(&[0, 1], &[2, 3, 4, 5]);
    let pending = cluster.call(0, service("s", 1, 1));
    cluster.run(1_500 * MS);
    let mut lines = vec![cluster.line(&["s"])];
    // The side without a majority answers 503 at once.
    assert!(matches!(
        cluster.ask(1, service("s", 2, 1)),
        Some(Reply::Unavailable(_))
    ));
    assert!(matches!(
        cluster.reply(pending),
        Some(Reply::Unavailable(_))
    ));
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

#[test_case(true; "the minority receives but is not received")]
#[test_case(false; "the minority is received but does not receive")]
fn only_the_majority_side_of_a_one_way_partition_acknowledges(minority_receives: bool) {
    let mut cluster = started(16);
    let pairs = [0, 1]
        .into_iter()
        .flat_map(|minority| [2, 3, 4, 5].map(|majority| (minority, majority)));
    cluster.cuts.extend(pairs.map(|(minority, majority)| {
        if minority_receives {
            (minority, majority)
        } else {
            (majority, minority)
        }
    }));
    let pending = cluster.call(1, service("s", 1, 1));
    cluster.run(1_500 * MS);
    assert!(
        matches!(cluster.reply(pending), Some(Reply::Unavailable(_))),
        "{:?}",
        cluster.reply(pending)
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
    let cut = if minority_receives {
        "-3  -3 "
    } else {
        "-_  -_ "
    };
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
fn older_and_repeated_changes_have_no_effect() {
    let mut cluster = started(6);
    let mut set =
        |replica: usize, ver: u64, content: u64| cluster.ask(replica, service("s", ver, content));
    assert_eq!(set(0, 7, 1), Some(Reply::Done));
    // A change with a lower version than the chosen one succeeds without an effect.
    assert_eq!(set(3, 5, 2), Some(Reply::Done));
    assert_eq!(set(3, 7, 2), Some(Reply::Conflict));
    assert_eq!(set(3, 7, 1), Some(Reply::Done));
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
    let call = |last_svc: &str| {
        let mut routes: Vec<String> = (0..349).map(|n| route(n, "s")).collect();
        routes.push(route(349, last_svc));
        Command::ApplyPatch(
            format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, routes.join(",")).into_bytes(),
        )
    };
    // A replica that does not know the service yet reads from a quorum before it rejects the call.
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
    let mut evacuate = |zone: &str, evacuate| {
        cluster.ask(
            2,
            Command::SetEvacuation {
                zone: zone.into(),
                evacuate,
            },
        )
    };
    assert_eq!(evacuate("c", false), Some(Reply::Done));
    assert_eq!(evacuate("c", true), Some(Reply::Done));
    assert_eq!(evacuate("c", true), Some(Reply::Done));
    assert_eq!(evacuate("c", false), Some(Reply::Done));
    assert!(matches!(evacuate("x", true), Some(Reply::NotFound(_))));
    cluster.run(SECOND);
    let zone = cluster.chosen(5).into_values().next().unwrap();
    assert_eq!((zone.ver, zone.spec.as_deref()), (2, Some("false")));
    // The evacuation is no item of the configuration that operators read.
    assert_eq!(read_back(&mut cluster, 0), r#"{"objs":[]}"#);
}
