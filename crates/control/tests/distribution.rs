//! Messages of replicas to agents: configuration and its completeness, membership, the shared
//! counter.

mod common;

use control::core::ids::Incarnation;
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::Reply;
use protocol::messages::{AgentMessage, Completeness, ControlMessage, CounterAdd, NodeState};
use simulation::cluster::{Cluster, MS, SECOND, service};

use common::{ALL, edge, started};

#[test]
fn only_an_up_to_date_replica_sends_complete() {
    let mut cluster = started(13);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    cluster.wipe(5);
    cluster.start(5);
    cluster.feed(
        5,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "f"))),
    );
    let received = |cluster: &Cluster| {
        // An empty list of items after the first message is a heartbeat.
        let is_heartbeat = |(index, message): &(usize, &ControlMessage)| {
            *index > 1 && *message == &ControlMessage::Items(Vec::new())
        };
        let messages = cluster.nodes[5]
            .told
            .iter()
            .map(|(_, message)| message)
            .enumerate();
        let messages = messages.filter(|message| {
            !matches!(
                message.1,
                ControlMessage::ClusterView(_) | ControlMessage::AdmissionLevels { .. }
            ) && !is_heartbeat(message)
        });
        messages
            .map(|(_, message)| match message {
                ControlMessage::Items(items) => format!("{} items", items.len()),
                message => format!("{message:?}"),
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(received(&cluster), ["0 items"]);
    cluster.run(2 * SECOND);
    assert_eq!(received(&cluster), ["0 items", "1 items", "Complete"]);
}

/// What the agent on this link was sent of the configuration: its completeness, in the order of the messages.
fn completeness_sent_to(cluster: &Cluster, replica: usize, agent: u64) -> Vec<Completeness> {
    let sent = cluster.nodes[replica].told.iter();
    let sent = sent.filter(|(link, _)| *link == agent);
    sent.filter_map(|(_, message)| message.completeness())
        .collect()
}

/// Guards against edges that serve by a part of the configuration, and against those that serve nothing without a quorum.
#[test]
fn replica_without_a_quorum_sends_a_snapshot_only_if_it_was_up_to_date_since_its_start() {
    let mut cluster = started(14);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    (1..6).for_each(|replica| cluster.kill(replica));
    cluster.run(3 * SECOND);
    let hello = |name: &str| Input::AgentMessage(1, AgentMessage::Hello(edge(name, "a")));
    cluster.feed(0, hello("e1"));
    cluster.run(SECOND);
    assert_eq!(
        completeness_sent_to(&cluster, 0, 1),
        [Completeness::Snapshot]
    );
    // After its restart it can't tell whether its disk has everything.
    cluster.kill(0);
    cluster.nodes[0].told.clear();
    cluster.start(0);
    cluster.feed(0, hello("e2"));
    cluster.run(3 * SECOND);
    assert_eq!(completeness_sent_to(&cluster, 0, 1), []);
    (1..6).for_each(|replica| cluster.start(replica));
    cluster.run(3 * SECOND);
    assert_eq!(
        completeness_sent_to(&cluster, 0, 1),
        [Completeness::Complete]
    );
}

#[test]
fn single_replica_sends_complete() {
    let metadata = ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 1,
        ..ReplicaMetadata::default()
    };
    let (zones, zone, seed_addresses) = (vec!["a".to_string()], "a".to_string(), Vec::new());
    let (address, recovered) = (
        "10.0.0.0:7740".parse().ok(),
        RecoveredState {
            metadata,
            ..RecoveredState::default()
        },
    );
    let mut core = Replica::new(
        0,
        ReplicaConfig {
            zones,
            zone,
            address,
            seed_addresses,
            random_seed: 1,
            recovered,
            ..ReplicaConfig::default()
        },
    );
    let mut outputs = Vec::new();
    core.step(
        0,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "a"))),
        &mut outputs,
    );
    (1..10).for_each(|tick| core.step(tick * 500 * MS, Input::Tick, &mut outputs));
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::SendToAgents(_, ControlMessage::Complete))),
        "{outputs:?}"
    );
}

#[test]
fn members_renew_at_any_replica_and_one_replica_counts() {
    let mut cluster = started(10);
    cluster.feed(
        1,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "a"))),
    );
    cluster.feed(
        1,
        Input::AgentMessage(1, AgentMessage::Heartbeat(NodeState::Ready)),
    );
    cluster.run(100 * MS);
    let members = |cluster: &Cluster, replica: usize| {
        let core = cluster.nodes[replica].core.as_ref().unwrap();
        let now = cluster.nodes[replica].clock.at(cluster.now);
        core.members(now)
            .iter()
            .map(|member| (member.node.name.clone(), member.state))
            .collect::<Vec<_>>()
    };
    let ready = vec![("e1".to_string(), NodeState::Ready)];
    assert!(
        ALL.iter()
            .all(|replica| members(&cluster, *replica) == ready)
    );
    // The edge moves to another replica, where it drains; the state that the first replica reports
    // is superseded.
    cluster.feed(1, Input::AgentDisconnected(1));
    cluster.feed(
        4,
        Input::AgentMessage(2, AgentMessage::Hello(edge("e1", "a"))),
    );
    cluster.feed(
        4,
        Input::AgentMessage(2, AgentMessage::Heartbeat(NodeState::Draining)),
    );
    cluster.run(100 * MS);
    assert!(
        ALL.iter()
            .all(|replica| members(&cluster, *replica) == [("e1".to_string(), NodeState::Draining)])
    );
    cluster.run(4 * SECOND);
    assert!(
        ALL.iter()
            .all(|replica| members(&cluster, *replica).is_empty())
    );

    let add = |time| AgentMessage::CounterBatch {
        batch: 5,
        clock_us: time,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl_us: SECOND,
        }],
    };
    cluster.feed(3, Input::AgentMessage(3, add(LIMITER_TIME)));
    cluster.feed(2, Input::AgentMessage(4, add(LIMITER_TIME)));
    assert_eq!(
        cluster.nodes[3].told.last().unwrap().1,
        ControlMessage::CounterTotals {
            batch: 5,
            totals: vec![2.0]
        }
    );
    assert_eq!(
        cluster.nodes[2].told.last().unwrap().1,
        ControlMessage::NotCounted(5)
    );
}

/// A time of the limiters' clock, later than the replicas know.
const LIMITER_TIME: i64 = 2 * dataplane::clock::STEADY_CLOCK_START;

#[test]
fn limiters_with_different_clocks_do_not_count_together() {
    let mut cluster = started(10);
    let add = |time| AgentMessage::CounterBatch {
        batch: 5,
        clock_us: time,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl_us: 90 * SECOND,
        }],
    };
    let is_counted = |cluster: &mut Cluster, link, time| {
        cluster.feed(3, Input::AgentMessage(link, add(time)));
        matches!(
            cluster.nodes[3].told.last(),
            Some((_, ControlMessage::CounterTotals { .. }))
        )
    };
    assert!(
        is_counted(&mut cluster, 1, LIMITER_TIME)
            && is_counted(&mut cluster, 2, LIMITER_TIME - 400 * MS)
    );
    // A limiter whose clock is behind receives the current time, and is counted once it has adopted
    // it.
    assert!(!is_counted(&mut cluster, 2, LIMITER_TIME - SECOND));
    let messages = &cluster.nodes[3].told;
    assert!(
        matches!(messages[messages.len() - 2], (2, ControlMessage::Clock(time)) if time == LIMITER_TIME)
    );
    assert!(is_counted(&mut cluster, 2, LIMITER_TIME));
    // A limiter whose clock is ahead: its counter names have no earlier counts, so that nothing is
    // counted until the time of that clock is reached.
    assert!(!is_counted(&mut cluster, 3, LIMITER_TIME + 2 * SECOND));
    cluster.run(1_900 * MS);
    assert!(!is_counted(&mut cluster, 1, LIMITER_TIME + 3_900 * MS));
    cluster.run(110 * MS);
    assert!(is_counted(&mut cluster, 1, LIMITER_TIME + 4_010 * MS));
    // Heartbeats carry the clock to the other replicas, so that a new holder of the counter
    // continues it.
    cluster.run(SECOND);
    cluster.feed(5, Input::AgentMessage(9, AgentMessage::Clock(0)));
    let last_message = cluster.nodes[5].told.last().unwrap();
    assert!(
        matches!(last_message, (9, ControlMessage::Clock(time)) if *time > LIMITER_TIME + 4 * SECOND),
        "{last_message:?}"
    );
}
