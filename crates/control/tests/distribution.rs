//! What replicas send to agents: completeness, membership, the shared counter.

mod common;

use control::core::ids::Incarnation;
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::Reply;
use protocol::messages::{AgentMessage, ControlMessage, CounterAdd, NodeState};
use simulation::cluster::{Cluster, MS, SECOND, service};

use common::{ALL, edge, started};

#[test]
fn agent_is_told_complete_by_an_up_to_date_replica() {
    let mut cluster = started(13);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(SECOND);
    cluster.wipe(5);
    cluster.start(5);
    cluster.feed(
        5,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "f"))),
    );
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
                ControlMessage::ClusterView(_) | ControlMessage::AdmissionLevels { .. }
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
            seed_addresses: seeds,
            random_seed: 1,
            recovered: restored,
            ..ReplicaConfig::default()
        },
    );
    let mut out = Vec::new();
    core.step(
        0,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "a"))),
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
fn members_renew_anywhere_and_one_replica_counts() {
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
            .all(|at| members(&cluster, *at) == [("e1".to_string(), NodeState::Draining)])
    );
    cluster.run(4 * SECOND);
    assert!(ALL.iter().all(|at| members(&cluster, *at).is_empty()));

    let add = |time| AgentMessage::CounterBatch {
        batch: 5,
        clock_us: time,
        adds: vec![CounterAdd {
            counter: 1,
            units: 2.0,
            ttl_us: SECOND,
        }],
    };
    cluster.feed(3, Input::AgentMessage(3, add(TIME)));
    cluster.feed(2, Input::AgentMessage(4, add(TIME)));
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

/// The limiters' clock, ahead of the replicas' knowledge of it.
const TIME: i64 = 2 * dataplane::clock::STEADY_CLOCK_START;

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
    let counted = |cluster: &mut Cluster, link, time| {
        cluster.feed(3, Input::AgentMessage(link, add(time)));
        matches!(
            cluster.nodes[3].told.last(),
            Some((_, ControlMessage::CounterTotals { .. }))
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
    cluster.feed(5, Input::AgentMessage(9, AgentMessage::Clock(0)));
    let told = cluster.nodes[5].told.last().unwrap();
    assert!(
        matches!(told, (9, ControlMessage::Clock(time)) if *time > TIME + 4 * SECOND),
        "{told:?}"
    );
}
