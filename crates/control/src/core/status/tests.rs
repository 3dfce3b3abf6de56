use super::*;
use crate::core::ids::{Ballot, Incarnation};
use crate::core::{Input, Output, RecoveredState, ReplicaConfig, ReplicaMetadata};
use crate::operator_api::{Command, Reply};
use protocol::digests::Digests;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{AgentMessage, NodeInfo};

fn look(core: &mut Replica, now: i64) -> Status {
    let mut out = Vec::new();
    core.step(
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
    let own = ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 1,
        ..ReplicaMetadata::default()
    };
    let chosen = vec![(Ballot::default(), item.clone())];
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let restored = RecoveredState {
        metadata: own,
        chosen,
        ..RecoveredState::default()
    };
    let setup = ReplicaConfig {
        zones,
        zone: "b".to_string(),
        recovered: restored,
        ..ReplicaConfig::default()
    };
    let (mut core, mut out) = (Replica::new(0, setup), Vec::new());
    let edge = |node: &str| NodeInfo {
        name: node.to_string(),
        zone: "b".to_string(),
        region: "r".to_string(),
        http_address: SocketAddr::from(([10, 0, 0, 1], 80)),
    };
    let digest = Digests::item_digest(&item);
    let mut take =
        |core: &mut Replica, now, link, up| core.step(now, Input::Agent(link, up), &mut out);
    for (link, node) in [(1, "lags"), (2, "holds"), (3, "new")] {
        take(&mut core, 0, link, AgentMessage::Hello(edge(node)));
    }
    for (now, link, digest) in [(100_000, 1, digest), (900_000, 1, 7), (900_000, 2, digest)] {
        take(
            &mut core,
            now,
            link,
            AgentMessage::ConfigState {
                item_count: 1,
                digest,
            },
        );
    }
    let status = look(&mut core, 1_100_000);
    assert_eq!(
        (status.zone.as_str(), status.in_touch, status.items),
        ("b", false, 1)
    );
    let seen: Vec<_> = status
        .limiters
        .iter()
        .map(|one| (one.node.as_str(), one.behind))
        .collect();
    assert_eq!(
        seen,
        [("holds", Some(0)), ("lags", Some(1_000)), ("new", None)]
    );
    assert!(
        status
            .limiters
            .iter()
            .all(|one| one.replica == "b" && one.linked)
    );
}
