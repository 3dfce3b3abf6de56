//! A replica without quorum contact, or with contact only just restored: what it sends to whom.

use control::core::Input;
use control::core::ids::SingletonRole;
use control::operator_api::{Command, Reply};
use protocol::messages::{AgentMessage, ControlMessage, CounterAdd, NodeInfo, NodeState};
use simulation::cluster::{Cluster, MS, SECOND, service};
use test_case::test_case;

const OTHERS: [usize; 5] = [0, 1, 2, 3, 5];
/// The replica that is cut off.
const AT: usize = 4;

fn started() -> Cluster {
    let mut cluster = Cluster::new(7);
    cluster.run_to(4 * SECOND);
    assert_eq!(cluster.ask(0, service("s", 1, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    cluster
}

fn edge(node: &str) -> NodeInfo {
    let http = "10.1.0.9:8686".parse().unwrap();
    NodeInfo {
        name: node.to_string(),
        zone: "e".to_string(),
        region: "r2".to_string(),
        http_address: http,
    }
}

fn in_touch(cluster: &Cluster) -> bool {
    let node = &cluster.nodes[AT];
    node.core
        .as_ref()
        .unwrap()
        .has_quorum_contact(node.clock.at(cluster.now))
}

fn told(cluster: &Cluster, wanted: impl Fn(&ControlMessage) -> bool) -> bool {
    cluster.nodes[AT].told.iter().any(|(_, down)| wanted(down))
}

fn route(svc: &str) -> Command {
    let spec = format!(
        r#"{{"host":"h","prefix":"/r/","kind":"idem","timeout":"2000ms","target_time":"500ms","svc":"{svc}","tries":2}}"#
    );
    let object = format!(r#"{{"type":"routes","meta":{{"name":"r","ver":1}},"spec":{spec}}}"#);
    Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{object}]}}}}"#).into_bytes())
}

fn drop_service() -> Command {
    Command::ApplyPatch(br#"{"remove":{"svcs":[{"name":"s","ver":2}]}}"#.to_vec())
}

#[test_case(service("s", 2, 2); "a change")]
#[test_case(service("s", 1, 9); "a change that conflicts with what it knows")]
#[test_case(route("nowhere"); "a change that refers to what it has not heard of")]
#[test_case(Command::ApplyPatch(b"{".to_vec()); "no change at all")]
#[test_case(Command::GetConfiguration; "a reading")]
#[test_case(Command::SetEvacuation { zone: "c".to_string(), evacuate: true }; "an evacuation")]
fn isolated_replica_answers_unavailable_not_rejected(command: Command) {
    let mut cluster = started();
    cluster.cut(&[AT], &OTHERS);
    // Before it notices, and long after.
    for after in [0, 500 * MS, 2 * SECOND, 20 * SECOND] {
        cluster.run(after);
        let reply = cluster.ask(AT, command.clone());
        assert!(
            matches!(reply, Some(Reply::Unavailable(_))),
            "{after}: {reply:?}"
        );
    }
}

#[test]
fn lagging_replica_does_not_report_complete() {
    let mut cluster = started();
    cluster.cut(&[AT], &OTHERS);
    cluster.run(2 * SECOND);
    cluster.feed(AT, Input::AgentMessage(1, AgentMessage::Hello(edge("e1"))));
    cluster.run(SECOND);
    assert!(told(
        &cluster,
        |down| matches!(down, ControlMessage::ClusterView(who) if !who.has_quorum && who.counter.is_none())
    ));
    assert!(told(
        &cluster,
        |down| matches!(down, ControlMessage::Items(items) if !items.is_empty())
    ));
    assert!(!told(&cluster, |down| *down == ControlMessage::Complete));
    assert_eq!(cluster.ask(0, service("s", 2, 2)), Some(Reply::Done));
    cluster.heal();
    while !in_touch(&cluster) {
        cluster.run(10 * MS);
    }
    // Contact is restored, but it does not know what was chosen meanwhile.
    cluster.feed(AT, Input::AgentMessage(2, AgentMessage::Hello(edge("e2"))));
    let knows = |cluster: &Cluster| cluster.chosen(AT).values().any(|item| item.ver == 2);
    assert!(!knows(&cluster) && !told(&cluster, |down| *down == ControlMessage::Complete));
    while !told(&cluster, |down| *down == ControlMessage::Complete) {
        assert!(cluster.now < 40 * SECOND, "it never says so");
        cluster.run(10 * MS);
    }
    assert!(knows(&cluster));
}

#[test]
fn expired_grant_counts_nothing() {
    let mut cluster = Cluster::new(7);
    cluster.run_to(4 * SECOND);
    let holder = cluster.holders(SingletonRole::Counter)[0].0;
    let others: Vec<usize> = (0..6).filter(|at| *at != holder).collect();
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
            .any(|(_, down)| *down == ControlMessage::NotCounted(5))
    );
    assert!(
        !cluster.nodes[holder]
            .told
            .iter()
            .any(|(_, down)| matches!(down, ControlMessage::CounterTotals { .. }))
    );
}

#[test]
fn reconnected_replica_checks_changes_by_a_quorum_read() {
    let mut cluster = started();
    cluster.cut(&[AT], &OTHERS);
    cluster.run(2 * SECOND);
    assert_eq!(cluster.ask(0, drop_service()), Some(Reply::Done));
    cluster.run(18 * SECOND);
    cluster.heal();
    while !in_touch(&cluster) {
        cluster.run(10 * MS);
    }
    assert!(
        cluster
            .chosen(AT)
            .values()
            .any(|item| item.ver == 1 && item.spec.is_some()),
        "it knows by now"
    );
    let reply = cluster.ask(AT, route("s"));
    assert!(
        matches!(&reply, Some(Reply::Invalid(text)) if text.contains("no service")),
        "{reply:?}"
    );
}

/// How long it is cut off, and with which edges: those linked to others, and the one linked to
/// itself.
#[test_case(false, 5 * SECOND, &["far", "near"]; "cut off for a while: all, as it may hear of them no more")]
#[test_case(false, 12 * SECOND, &["near"]; "cut off for long: its own")]
#[test_case(true, 5 * SECOND, &["far"]; "frozen for a while: its own have gone elsewhere")]
#[test_case(true, 20 * SECOND, &[]; "frozen for long: nobody")]
fn lookups_exclude_expired_members(frozen: bool, span: i64, named: &[&str]) {
    let mut cluster = started();
    let beat = |cluster: &mut Cluster, at: usize, link: u64, node: &str| {
        cluster.feed(
            at,
            Input::AgentMessage(link, AgentMessage::Hello(edge(node))),
        );
        cluster.feed(
            at,
            Input::AgentMessage(link, AgentMessage::Heartbeat(NodeState::Ready)),
        );
    };
    beat(&mut cluster, 0, 1, "far");
    beat(&mut cluster, AT, 2, "near");
    cluster.run(400 * MS);
    if frozen {
        cluster.freeze(AT, true);
    } else {
        cluster.cut(&[AT], &OTHERS);
    }
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.run(400 * MS);
        if !frozen {
            cluster.feed(
                AT,
                Input::AgentMessage(2, AgentMessage::Heartbeat(NodeState::Ready)),
            );
        }
    }
    // It is asked first, before any other input.
    let node = &cluster.nodes[AT];
    let members = node
        .core
        .as_ref()
        .unwrap()
        .members(node.clock.at(cluster.now));
    let members: Vec<&str> = members.iter().map(|told| told.node.name.as_str()).collect();
    assert_eq!(members, named);
}
