//! State transfers as one replica's core carries them out: to an agent, and in requests and chunks
//! between replicas.

use control::core::ids::{Ballot, Incarnation, ProcessId};
use control::core::peer_messages::{Payload, PeerMessage};
use control::core::registers::Register;
use control::core::transfer::{Continuation, TransferLimits};
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use protocol::digests;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo};

const MS: i64 = 1_000;
const OTHER: [u8; 4] = [10, 0, 1, 0];

fn item(at: usize) -> Item {
    let name = ItemName {
        kind: ItemKind::Service,
        name: format!("s{at:04}"),
    };
    Item {
        name,
        ver: 1,
        spec: Some("x".repeat(52)),
    }
}

/// A core with this many replicas and items of about 100 bytes, which sends ten of them at a time.
fn core(replicas: usize, items: usize) -> Replica {
    let zones: Vec<String> = (0..replicas).map(|at| format!("z{at}")).collect();
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
    let restored = RecoveredState {
        metadata: ReplicaMetadata {
            incarnation: Incarnation::FIRST,
            run: 1,
            incarnations,
            ..ReplicaMetadata::default()
        },
        registers: (0..items).map(item).map(register).collect(),
        chosen: (0..items).map(|at| (ballot, item(at))).collect(),
    };
    let zone = zones[0].clone();
    let bounds = TransferLimits {
        chunk_bytes: 1_060,
        response_bytes: 10_600,
    };
    Replica::new(
        0,
        ReplicaConfig {
            zones,
            zone,
            random_seed: 1,
            recovered: restored,
            transfer_limits: bounds,
            ..ReplicaConfig::default()
        },
    )
}

fn take(core: &mut Replica, now: i64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    core.step(now, input, &mut out);
    out
}

#[test]
fn agent_sync_is_chunked_with_a_window() {
    let mut core = core(1, 200);
    take(&mut core, 0, Input::Tick);
    take(&mut core, 400 * MS, Input::Tick);
    let http = "10.1.0.1:80".parse().unwrap();
    let edge = NodeInfo {
        name: "e".into(),
        zone: "z0".into(),
        region: "r".into(),
        http_address: http,
    };
    let mut told = take(
        &mut core,
        500 * MS,
        Input::AgentMessage(7, AgentMessage::Hello(edge)),
    );
    let (mut held, mut open, mut whole, mut asked) = (0, 0, false, 0);
    loop {
        for output in std::mem::take(&mut told) {
            match output {
                Output::SendToAgents(_, ControlMessage::Items(items)) => {
                    assert!(items.len() <= 10 && !whole, "{}", items.len());
                    (held, open) = (held + items.len(), open + usize::from(!items.is_empty()));
                }
                Output::SendToAgents(_, ControlMessage::Complete) => whole = true,
                _ => {}
            }
        }
        assert!(open <= 4, "{open} pieces under way");
        asked += 1;
        if whole || asked > 50 {
            break;
        }
        open -= 1;
        let holding = AgentMessage::ConfigState {
            item_count: held as u32,
            digest: 1,
        };
        told = take(&mut core, 500 * MS + asked, Input::AgentMessage(7, holding));
    }
    assert_eq!((held, whole), (200, true));
}

fn from_other(body: Payload) -> Input {
    let by = ProcessId {
        replica: 1,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let incarnations = vec![Incarnation::FIRST; 3];
    Input::PeerMessage(
        (OTHER, 7740).into(),
        PeerMessage {
            sender: by,
            incarnations,
            payload: body,
        },
    )
}

fn bodies(out: Vec<Output>) -> Vec<Payload> {
    let body = |output| {
        if let Output::SendToReplicas(_, message) = output {
            Some(message.payload)
        } else {
            None
        }
    };
    out.into_iter().filter_map(body).collect()
}

#[test]
fn missed_items_are_fetched_once_despite_duplicates_and_gaps() {
    let mut core = core(3, 50);
    let beat = |chosen| {
        let hears = 0b11;
        from_other(Payload::Heartbeat(
            control::core::peer_messages::Heartbeat {
                reachable_replicas: hears,
                chosen_digest: chosen,
                ..Default::default()
            },
        ))
    };
    let mut said = Vec::new();
    for at in 0..3 {
        said.extend(bodies(take(&mut core, at * 400 * MS, beat(99))));
    }
    let asked = said.iter().filter_map(|body| {
        if let Payload::DigestRequest { id, .. } = body {
            Some(*id)
        } else {
            None
        }
    });
    let ids: Vec<u64> = asked.collect();
    assert_eq!(ids.len(), 1, "one question at a time");
    let newer = Ballot {
        round: 2,
        ..Ballot::default()
    };
    let entries = |id| {
        // Two items are newer there, one is older.
        let keys = [item(3), item(4), item(5)].map(|item| digests::name_key(&item.name));
        let ballots = [newer, newer, Ballot::default()];
        from_other(Payload::DigestEntries {
            id,
            entries: keys.into_iter().zip(ballots).collect(),
        })
    };
    let first = bodies(take(&mut core, 1_300 * MS, entries(ids[0])));
    let fetch = first.iter().find_map(|body| match body {
        Payload::FetchRequest { id, keys: wanted } => Some((*id, wanted.len())),
        _ => None,
    });
    let (id, wanted) = fetch.expect("nothing is fetched");
    assert_eq!(wanted, 2);
    let led = |out: Vec<Output>| {
        bodies(out).iter().any(|body| {
            matches!(
                body,
                Payload::DigestRequest { .. } | Payload::FetchRequest { .. }
            )
        })
    };
    assert!(
        !led(take(&mut core, 1_301 * MS, entries(ids[0]))),
        "a doubled answer is asked for again"
    );
    let learn = |id, piece, at, then| {
        let items = vec![(newer, Item { ver: 2, ..item(at) })];
        from_other(Payload::ChosenChunk {
            id,
            sequence: piece,
            items,
            continuation: then,
        })
    };
    // A chunk after a gap is learned from, but not continued; the next expected one is, once.
    assert!(!led(take(
        &mut core,
        1_302 * MS,
        learn(id, 1, 4, Continuation::RequestMore)
    )));
    assert!(led(take(
        &mut core,
        1_303 * MS,
        learn(id, 0, 3, Continuation::RequestMore)
    )));
    assert!(!led(take(
        &mut core,
        1_304 * MS,
        learn(id, 0, 3, Continuation::RequestMore)
    )));
    let ver = |core: &Replica, at| {
        core.chosen_items()
            .find(|other| other.name == item(at).name)
            .map(|item| item.ver)
    };
    assert_eq!(
        (ver(&core, 3), ver(&core, 4), ver(&core, 5)),
        (Some(2), Some(2), Some(1))
    );
}
