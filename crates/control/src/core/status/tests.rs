use super::*;
use crate::core::ids::{Ballot, Incarnation};
use crate::core::{Input, Output, RecoveredState, ReplicaConfig, ReplicaMetadata};
use crate::operator_api::{Command, Reply};
use protocol::digests::Digests;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{AgentMessage, NodeInfo};

fn read_status(replica: &mut Replica, now: i64) -> Status {
    let mut out = Vec::new();
    replica.step(
        now,
        Input::OperatorCall(9, Command::GetStatus, now),
        &mut out,
    );
    let answer = out.iter().find_map(|output| match output {
        Output::Answer(9, Reply::Status(body)) => Some(body),
        _ => None,
    });
    serde_json::from_slice(answer.unwrap()).unwrap()
}

#[test]
fn isolated_replica_reports_lagging_agents() {
    let name = ItemName {
        kind: ItemKind::Service,
        name: "s".to_string(),
    };
    let item = Item {
        name,
        ver: 3,
        spec: Some("{}".to_string()),
    };
    let metadata = ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 1,
        ..ReplicaMetadata::default()
    };
    let chosen = vec![(Ballot::default(), item.clone())];
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let recovered = RecoveredState {
        metadata,
        chosen,
        ..RecoveredState::default()
    };
    let config = ReplicaConfig {
        zones,
        zone: "b".to_string(),
        recovered,
        ..ReplicaConfig::default()
    };
    let (mut replica, mut out) = (Replica::new(0, config), Vec::new());
    let edge = |name: &str| NodeInfo {
        name: name.to_string(),
        zone: "b".to_string(),
        region: "r".to_string(),
        http_address: SocketAddr::from(([10, 0, 0, 1], 80)),
    };
    let digest = Digests::item_digest(&item);
    let mut handle_agent_message = |replica: &mut Replica, now, link, message| {
        replica.step(now, Input::AgentMessage(link, message), &mut out)
    };
    for (link, node) in [(1, "lags"), (2, "holds"), (3, "new")] {
        handle_agent_message(&mut replica, 0, link, AgentMessage::Hello(edge(node)));
    }
    for (now, link, digest) in [(100_000, 1, digest), (900_000, 1, 7), (900_000, 2, digest)] {
        handle_agent_message(
            &mut replica,
            now,
            link,
            AgentMessage::ConfigState {
                item_count: 1,
                digest,
            },
        );
    }
    let status = read_status(&mut replica, 1_100_000);
    assert_eq!(
        (
            status.zone.as_str(),
            status.has_quorum_contact,
            status.items
        ),
        ("b", false, 1)
    );
    let limiter_lags: Vec<_> = status
        .limiters
        .iter()
        .map(|limiter| (limiter.node.as_str(), limiter.lag_ms))
        .collect();
    assert_eq!(
        limiter_lags,
        [("holds", Some(0)), ("lags", Some(1_000)), ("new", None)]
    );
    assert!(
        status
            .limiters
            .iter()
            .all(|limiter| limiter.replica == "b" && limiter.is_connected)
    );
}
