//! State transfers by the core of one replica: to an agent, and in requests and chunks between
//! replicas.

use control::core::ids::{Ballot, Incarnation, ProcessId};
use control::core::peer_messages::{Payload, PeerMessage};
use control::core::registers::Register;
use control::core::transfer::{Continuation, TransferLimits};
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use protocol::digests;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo};

const MS: i64 = 1_000;
/// The address of the other replica.
const PEER: [u8; 4] = [10, 0, 1, 0];

fn item(index: usize) -> Item {
    let name = ItemName {
        kind: ItemKind::Service,
        name: format!("s{index:04}"),
    };
    Item {
        name,
        ver: 1,
        spec: Some("x".repeat(52)),
    }
}

/// A replica of a cluster of this size that holds items of about 100 bytes, ten of which fill a
/// chunk.
fn replica_with_items(replicas: usize, items: usize) -> Replica {
    let zones: Vec<String> = (0..replicas).map(|index| format!("z{index}")).collect();
    let ballot = Ballot {
        round: 1,
        ..Ballot::default()
    };
    let register = |item: Item| {
        (
            item.name.clone(),
            Register {
                promised_ballot: ballot,
                accepted_value: Some((ballot, item)),
            },
        )
    };
    let incarnations = vec![Incarnation::FIRST; replicas];
    let recovered = RecoveredState {
        metadata: ReplicaMetadata {
            incarnation: Incarnation::FIRST,
            run: 1,
            incarnations,
            ..ReplicaMetadata::default()
        },
        registers: (0..items).map(item).map(register).collect(),
        chosen: (0..items).map(|index| (ballot, item(index))).collect(),
    };
    let zone = zones[0].clone();
    let transfer_limits = TransferLimits {
        chunk_bytes: 1_060,
        response_bytes: 10_600,
    };
    Replica::new(
        0,
        ReplicaConfig {
            zones,
            zone,
            random_seed: 1,
            recovered,
            transfer_limits,
            ..ReplicaConfig::default()
        },
    )
}

fn step(core: &mut Replica, now: i64, input: Input) -> Vec<Output> {
    let mut outputs = Vec::new();
    core.step(now, input, &mut outputs);
    outputs
}

#[test]
fn agent_sync_is_chunked_with_a_window() {
    let mut core = replica_with_items(1, 200);
    step(&mut core, 0, Input::Tick);
    step(&mut core, 400 * MS, Input::Tick);
    let http = "10.1.0.1:80".parse().unwrap();
    let edge = NodeInfo {
        name: "e".into(),
        zone: "z0".into(),
        region: "r".into(),
        http_address: http,
    };
    let mut outputs = step(
        &mut core,
        500 * MS,
        Input::AgentMessage(7, AgentMessage::Hello(edge)),
    );
    let (mut received, mut unacknowledged, mut is_complete, mut rounds) = (0, 0, false, 0);
    loop {
        for output in std::mem::take(&mut outputs) {
            match output {
                Output::SendToAgents(_, ControlMessage::Items(items)) => {
                    assert!(items.len() <= 10 && !is_complete, "{}", items.len());
                    (received, unacknowledged) = (
                        received + items.len(),
                        unacknowledged + usize::from(!items.is_empty()),
                    );
                }
                Output::SendToAgents(_, ControlMessage::Complete) => is_complete = true,
                _ => {}
            }
        }
        assert!(unacknowledged <= 4, "{unacknowledged} chunks in flight");
        rounds += 1;
        if is_complete || rounds > 50 {
            break;
        }
        unacknowledged -= 1;
        let config_state = AgentMessage::ConfigState {
            item_count: received as u32,
            digest: 1,
        };
        outputs = step(
            &mut core,
            500 * MS + rounds,
            Input::AgentMessage(7, config_state),
        );
    }
    assert_eq!((received, is_complete), (200, true));
}

fn from_peer(payload: Payload) -> Input {
    let sender = ProcessId {
        replica: 1,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let incarnations = vec![Incarnation::FIRST; 3];
    Input::PeerMessage(
        (PEER, 7740).into(),
        PeerMessage {
            sender,
            incarnations,
            payload,
        },
    )
}

fn sent_payloads(outputs: Vec<Output>) -> Vec<Payload> {
    let payload = |output| {
        if let Output::SendToReplicas(_, message) = output {
            Some(message.payload)
        } else {
            None
        }
    };
    outputs.into_iter().filter_map(payload).collect()
}

#[test]
fn missed_items_are_fetched_once_despite_duplicates_and_gaps() {
    let mut core = replica_with_items(3, 50);
    let heartbeat = |chosen_digest| {
        let reachable_replicas = 0b11;
        from_peer(Payload::Heartbeat(
            control::core::peer_messages::Heartbeat {
                reachable_replicas,
                chosen_digest,
                ..Default::default()
            },
        ))
    };
    let mut sent = Vec::new();
    for tick in 0..3 {
        sent.extend(sent_payloads(step(
            &mut core,
            tick * 400 * MS,
            heartbeat(99),
        )));
    }
    let request_ids = sent.iter().filter_map(|payload| {
        if let Payload::DigestRequest { id, .. } = payload {
            Some(*id)
        } else {
            None
        }
    });
    let ids: Vec<u64> = request_ids.collect();
    assert_eq!(ids.len(), 1, "more than one digest request at a time");
    let newer = Ballot {
        round: 2,
        ..Ballot::default()
    };
    let entries = |id| {
        // Two items are newer at the peer, one is older.
        let keys = [item(3), item(4), item(5)].map(|item| digests::name_key(&item.name));
        let ballots = [newer, newer, Ballot::default()];
        from_peer(Payload::DigestEntries {
            id,
            entries: keys.into_iter().zip(ballots).collect(),
        })
    };
    let payloads = sent_payloads(step(&mut core, 1_300 * MS, entries(ids[0])));
    let fetch_request = payloads.iter().find_map(|payload| match payload {
        Payload::FetchRequest { id, keys } => Some((*id, keys.len())),
        _ => None,
    });
    let (id, requested_items) = fetch_request.expect("nothing is fetched");
    assert_eq!(requested_items, 2);
    let requests_more = |outputs: Vec<Output>| {
        sent_payloads(outputs).iter().any(|payload| {
            matches!(
                payload,
                Payload::DigestRequest { .. } | Payload::FetchRequest { .. }
            )
        })
    };
    assert!(
        !requests_more(step(&mut core, 1_301 * MS, entries(ids[0]))),
        "a duplicate response leads to another request"
    );
    let chunk = |id, sequence, index, continuation| {
        let items = vec![(
            newer,
            Item {
                ver: 2,
                ..item(index)
            },
        )];
        from_peer(Payload::ChosenChunk {
            id,
            sequence,
            items,
            continuation,
        })
    };
    // The items of a chunk after a gap are learned, but only the next expected chunk leads to a
    // request for more, and only once.
    assert!(!requests_more(step(
        &mut core,
        1_302 * MS,
        chunk(id, 1, 4, Continuation::RequestMore)
    )));
    assert!(requests_more(step(
        &mut core,
        1_303 * MS,
        chunk(id, 0, 3, Continuation::RequestMore)
    )));
    assert!(!requests_more(step(
        &mut core,
        1_304 * MS,
        chunk(id, 0, 3, Continuation::RequestMore)
    )));
    let ver = |core: &Replica, index| {
        core.chosen_items()
            .find(|other| other.name == item(index).name)
            .map(|item| item.ver)
    };
    assert_eq!(
        (ver(&core, 3), ver(&core, 4), ver(&core, 5)),
        (Some(2), Some(2), Some(1))
    );
}
