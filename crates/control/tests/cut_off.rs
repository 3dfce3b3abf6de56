//! The replies and agent messages of a replica that has no quorum contact, or has just regained it.

use control::core::Input;
use control::core::ids::SingletonRole;
use control::operator_api::{Command, Reply};
use protocol::messages::{AgentMessage, ControlMessage, CounterAdd, NodeInfo, NodeState};
use simulation::cluster::{Cluster, MS, SECOND, service};
use test_case::test_case;

const OTHERS: [usize; 5] = [0, 1, 2, 3, 5];
/// The replica that is cut off.
const ISOLATED: usize = 4;

fn started() -> Cluster {
    let mut cluster = Cluster::new(7);
    cluster.run_to(4 * SECOND);
    assert_eq!(cluster.ask(0, service("s", 1, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    cluster
}

fn edge(name: &str) -> NodeInfo {
    let http = "10.1.0.9:8686".parse().unwrap();
    NodeInfo {
        name: name.to_string(),
        zone: "e".to_string(),
        region: "r2".to_string(),
        http_address: http,
    }
}

fn has_quorum_contact(cluster: &Cluster) -> bool {
    let node = &cluster.nodes[ISOLATED];
    node.core
        .as_ref()
        .unwrap()
        .has_quorum_contact(node.clock.at(cluster.now))
}

fn has_sent(cluster: &Cluster, matches: impl Fn(&ControlMessage) -> bool) -> bool {
    cluster.nodes[ISOLATED]
        .told
        .iter()
        .any(|(_, message)| matches(message))
}

fn route(svc: &str) -> Command {
    let spec = format!(
        r#"{{"host":"h","prefix":"/r/","kind":"idem","timeout":"2000ms","target_time":"500ms","svc":"{svc}","tries":2}}"#
    );
    let object = format!(r#"{{"type":"routes","meta":{{"name":"r","ver":1}},"spec":{spec}}}"#);
    Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{object}]}}}}"#).into_bytes())
}

fn remove_service() -> Command {
    Command::ApplyPatch(br#"{"remove":{"svcs":[{"name":"s","ver":2}]}}"#.to_vec())
}

#[test_case(service("s", 2, 2); "a change")]
#[test_case(service("s", 1, 9); "a change that conflicts with its chosen items")]
#[test_case(route("nowhere"); "a change that refers to an unknown service")]
#[test_case(Command::ApplyPatch(b"{".to_vec()); "a malformed change")]
#[test_case(Command::GetConfiguration; "a read of the configuration")]
#[test_case(Command::SetEvacuation { zone: "c".to_string(), evacuate: true }; "an evacuation")]
fn isolated_replica_answers_unavailable_not_rejected(command: Command) {
    let mut cluster = started();
    cluster.cut(&[ISOLATED], &OTHERS);
    // Before the replica detects the loss of contact, and long after.
    for delay in [0, 500 * MS, 2 * SECOND, 20 * SECOND] {
        cluster.run(delay);
        let reply = cluster.ask(ISOLATED, command.clone());
        assert!(
            matches!(reply, Some(Reply::Unavailable(_))),
            "{delay}: {reply:?}"
        );
    }
}

#[test]
fn lagging_replica_does_not_report_complete() {
    let mut cluster = started();
    cluster.cut(&[ISOLATED], &OTHERS);
    cluster.run(2 * SECOND);
    cluster.feed(
        ISOLATED,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1"))),
    );
    cluster.run(SECOND);
    assert!(has_sent(
        &cluster,
        |message| matches!(message, ControlMessage::ClusterView(view) if !view.has_quorum && view.counter.is_none())
    ));
    assert!(has_sent(
        &cluster,
        |message| matches!(message, ControlMessage::Items(items) if !items.is_empty())
    ));
    assert!(!has_sent(&cluster, |message| *message == ControlMessage::Complete));
    assert_eq!(cluster.ask(0, service("s", 2, 2)), Some(Reply::Done));
    cluster.heal();
    while !has_quorum_contact(&cluster) {
        cluster.run(10 * MS);
    }
    // Contact is restored, but the replica does not know yet what was chosen meanwhile.
    cluster.feed(
        ISOLATED,
        Input::AgentMessage(2, AgentMessage::Hello(edge("e2"))),
    );
    let knows_change =
        |cluster: &Cluster| cluster.chosen(ISOLATED).values().any(|item| item.ver == 2);
    assert!(
        !knows_change(&cluster)
            && !has_sent(&cluster, |message| *message == ControlMessage::Complete)
    );
    while !has_sent(&cluster, |message| *message == ControlMessage::Complete) {
        assert!(cluster.now < 40 * SECOND, "Complete is never sent");
        cluster.run(10 * MS);
    }
    assert!(knows_change(&cluster));
}

#[test]
fn counter_with_an_expired_lease_counts_nothing() {
    let mut cluster = Cluster::new(7);
    cluster.run_to(4 * SECOND);
    let holder = cluster.holders(SingletonRole::Counter)[0].0;
    let others: Vec<usize> = (0..6).filter(|replica| *replica != holder).collect();
    cluster.cut(&[holder], &others);
    cluster.run(1_500 * MS);
    let adds = AgentMessage::CounterBatch {
        batch: 5,
        clock_us: 0,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl_us: SECOND,
        }],
    };
    cluster.feed(holder, Input::AgentMessage(3, adds));
    assert!(
        cluster.nodes[holder]
            .told
            .iter()
            .any(|(_, message)| *message == ControlMessage::NotCounted(5))
    );
    assert!(
        !cluster.nodes[holder]
            .told
            .iter()
            .any(|(_, message)| matches!(message, ControlMessage::CounterTotals { .. }))
    );
}

#[test]
fn reconnected_replica_checks_changes_by_a_quorum_read() {
    let mut cluster = started();
    cluster.cut(&[ISOLATED], &OTHERS);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.ask(0, remove_service()), Some(Reply::Done));
    cluster.run(18 * SECOND);
    cluster.heal();
    while !has_quorum_contact(&cluster) {
        cluster.run(10 * MS);
    }
    assert!(
        cluster
            .chosen(ISOLATED)
            .values()
            .any(|item| item.ver == 1 && item.spec.is_some()),
        "the replica already knows the removal"
    );
    let reply = cluster.ask(ISOLATED, route("s"));
    assert!(
        matches!(&reply, Some(Reply::Invalid(text)) if text.contains("no service")),
        "{reply:?}"
    );
}

/// The replica is cut off or frozen for a span; `far` is linked to another replica, `near` to this
/// one.
#[test_case(false, 5 * SECOND, &["far", "near"]; "cut off briefly: all, as members have not expired yet")]
#[test_case(false, 12 * SECOND, &["near"]; "cut off for long: its own member")]
#[test_case(true, 5 * SECOND, &["far"]; "frozen briefly: without its own member, whose link is lost")]
#[test_case(true, 20 * SECOND, &[]; "frozen for long: none")]
fn lookups_exclude_expired_members(is_frozen: bool, span: i64, expected: &[&str]) {
    let mut cluster = started();
    let register = |cluster: &mut Cluster, replica: usize, link: u64, name: &str| {
        cluster.feed(
            replica,
            Input::AgentMessage(link, AgentMessage::Hello(edge(name))),
        );
        cluster.feed(
            replica,
            Input::AgentMessage(link, AgentMessage::Heartbeat(NodeState::Ready)),
        );
    };
    register(&mut cluster, 0, 1, "far");
    register(&mut cluster, ISOLATED, 2, "near");
    cluster.run(400 * MS);
    if is_frozen {
        cluster.freeze(ISOLATED, true);
    } else {
        cluster.cut(&[ISOLATED], &OTHERS);
    }
    let end_at = cluster.now + span;
    while cluster.now < end_at {
        cluster.run(400 * MS);
        if !is_frozen {
            cluster.feed(
                ISOLATED,
                Input::AgentMessage(2, AgentMessage::Heartbeat(NodeState::Ready)),
            );
        }
    }
    // Members are read before the replica handles any other input.
    let node = &cluster.nodes[ISOLATED];
    let members = node
        .core
        .as_ref()
        .unwrap()
        .members(node.clock.at(cluster.now));
    let members: Vec<&str> = members
        .iter()
        .map(|member| member.node.name.as_str())
        .collect();
    assert_eq!(members, expected);
}
