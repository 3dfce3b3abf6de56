//! Full disks, replacements and recoveries: timelines of six replicas, one column each, two per
//! region.

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
    // The replica with the role of the poller, while it also handles a call of an operator.
    cluster.fill(0, true);
    let mut lines = vec![cluster.line(&["s"])];
    let rejected = cluster.ask(0, service("s", 8, 1));
    assert!(
        matches!(rejected, Some(Reply::Unavailable(reason)) if reason.contains("disk of this replica")),
        "{rejected:?}"
    );
    assert!(read_back(&mut cluster, 0).contains(r#""ver":7"#));
    // The others are a quorum without it, and it learns their changes.
    assert_eq!(cluster.ask(4, service("s", 9, 1)), Some(Reply::Done));
    cluster.run(4 * SECOND);
    lines.push(cluster.line(&["s"]));
    // With two more replicas stopped it is needed for a quorum. A change that was in progress when
    // the disk became full is answered with the same error.
    cluster.fill(0, false);
    (1..3).for_each(|replica| cluster.kill(replica));
    let pending = cluster.call(0, service("s", 10, 1));
    cluster.fill(0, true);
    cluster.run(SECOND);
    assert!(
        matches!(cluster.reply(pending), Some(Reply::Unavailable(reason)) if reason.contains("disk of this replica"))
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
fn replacement_votes_and_the_replaced_node_does_not() {
    let mut cluster = started(4);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    // The new node starts while the old one still runs, cut off from most replicas.
    cluster.cut(&[5], &[0, 1, 2, 3]);
    let new_node = cluster.add(5);
    cluster.cut(&[5], &[new_node]);
    cluster.start(new_node);
    cluster.run(10 * MS);
    let mut lines = vec![cluster.line(&["s"])];
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s"]));
    cluster.heal();
    cluster.run(SECOND);
    lines.push(cluster.line(&["s"]));
    // With three replicas stopped, the vote of the replaced node would complete the quorum of four.
    cluster.kill(0);
    cluster.kill(1);
    cluster.kill(new_node);
    assert!(!matches!(
        cluster.ask(2, service("s", 9, 2)),
        Some(Reply::Done)
    ));
    assert!(matches!(
        cluster.ask(5, Command::GetConfiguration),
        Some(Reply::Unavailable(_))
    ));
    lines.push(cluster.line(&["s"]));
    cluster.start(new_node);
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
    let new_node = cluster.add(5);
    cluster.start(new_node);
    cluster.run(2 * SECOND);
    let mut lines = vec![cluster.line(&["s"])];
    // With two more replicas stopped it is one of the four that a quorum needs, and operators can
    // call it.
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.ask(new_node, service("s", 8, 2)), Some(Reply::Done));
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
fn recovered_replica_keeps_promises_of_its_previous_incarnation() {
    let mut cluster = started(14);
    // The promise was given by the previous incarnation of this replica and by some others.
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
    let sender = ProcessId {
        replica: 0,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let names = vec![ItemName {
        kind: ItemKind::Tenant,
        name: "t".to_string(),
    }];
    let payload = Payload::Prepare {
        ballot: Ballot {
            round: 1,
            ..Ballot::default()
        },
        names,
    };
    let mut outputs = Vec::new();
    // The ballot is below the highest promise, for a register that the recovered replica does not
    // know.
    let peer_message = PeerMessage {
        sender,
        incarnations,
        payload,
    };
    core.step(
        node.clock.at(cluster.now),
        Input::PeerMessage("10.0.0.0:7740".parse().unwrap(), peer_message),
        &mut outputs,
    );
    let is_nack = |output: &Output| {
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
    assert!(outputs.iter().any(is_nack), "{outputs:?}");
}
