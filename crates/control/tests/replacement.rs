//! Full disks, replacements and recoveries: timelines of six replicas, one column each, two to a region.

mod common;

use control::core::ids::{Ballot, Incarnation, ProcessId};
use control::core::peer_messages::{Payload, PeerMessage};
use control::core::{Input, Output};
use control::operator_api::{Command, Reply};
use protocol::items::{ItemKind, ItemName};
use simulation::cluster::{MS, SECOND, assert_timeline, service};

use common::{read_back, started};

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
