//! Late answers: they count only for the process that asked, and for no other one that reaches the
//! same numbers.

use std::net::SocketAddr;

use control::core::ids::{Incarnation, ProcessId, RequestId, SingletonRole, Term};
use control::core::peer_messages::{Heartbeat, Payload, PeerMessage};
use control::core::transfer::{Chunk, Continuation, TransferLimits};
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::Command;

const MS: i64 = 1_000;
/// The clock of a process, which counts from its start.
const LATER: i64 = 3_000 * MS;
/// The run number of the asking process; the one before it has ended.
const RUN: u32 = 2;

fn speaker(replica: u8, run: u32) -> ProcessId {
    ProcessId {
        replica,
        incarnation: Incarnation::FIRST,
        run,
    }
}

fn address(replica: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, replica, 1], 7740))
}

/// The first of three replicas, started for the second time, with everything it has sent.
struct Asker {
    core: Replica,
    now: i64,
    out: Vec<Output>,
}

impl Asker {
    fn new() -> Asker {
        let own = ReplicaMetadata {
            incarnation: Incarnation::FIRST,
            run: RUN,
            incarnations: vec![Incarnation::FIRST; 3],
            addresses: (0..3).map(|replica| Some(address(replica))).collect(),
            ..ReplicaMetadata::default()
        };
        let setup = ReplicaConfig {
            zones: ["a", "b", "c"].map(String::from).to_vec(),
            zone: "a".to_string(),
            address: Some(address(0)),
            seed_addresses: Vec::new(),
            random_seed: 1,
            transfer_limits: TransferLimits::default(),
            recovered: RecoveredState {
                metadata: own,
                ..RecoveredState::default()
            },
        };
        Asker {
            core: Replica::new(0, setup),
            now: 0,
            out: Vec::new(),
        }
    }

    fn take(&mut self, input: Input) {
        self.core.step(self.now, input, &mut self.out);
    }

    fn heard(&mut self, replica: u8, body: Payload) {
        let incarnations = vec![Incarnation::FIRST; 3];
        let message = PeerMessage {
            sender: speaker(replica, 1),
            incarnations,
            payload: body,
        };
        self.take(Input::PeerMessage(address(replica), message));
    }

    /// It hears both other replicas, and both hear it.
    fn in_touch(&mut self) {
        for replica in [1, 2] {
            self.heard(
                replica,
                Payload::Heartbeat(Heartbeat {
                    reachable_replicas: 0b111,
                    ..Heartbeat::default()
                }),
            );
        }
    }

    fn sent(&self) -> impl Iterator<Item = &Payload> {
        self.out.iter().filter_map(|output| match output {
            Output::SendToReplicas(_, message) => Some(&message.payload),
            _ => None,
        })
    }
}

#[test]
fn vote_for_a_former_process_is_ignored() {
    let mut asker = Asker::new();
    let bid = |asker: &Asker| {
        asker.sent().find_map(|body| match body {
            Payload::LeaseRequest {
                role: SingletonRole::PlatformPoller,
                term,
                sent_at: at,
                ..
            } => Some((*term, *at)),
            _ => None,
        })
    };
    let (number, at) = (0..1_000)
        .find_map(|step| {
            asker.now = step * 10 * MS;
            asker.in_touch();
            asker.take(Input::Tick);
            bid(&asker)
        })
        .expect("a bid");
    // Its clock counts from its start, and its term was not on disk when the previous process
    // ended.
    let vote = |run| Payload::LeaseVote {
        role: SingletonRole::PlatformPoller,
        term: Term {
            number,
            holder: speaker(0, run),
        },
        sent_at: at,
        is_granted: true,
        newest_term: number,
    };
    for replica in [1, 2] {
        asker.heard(replica, vote(RUN - 1));
        assert_eq!(
            asker
                .core
                .acting_term(asker.now, SingletonRole::PlatformPoller),
            None
        );
    }
    for replica in [1, 2] {
        asker.heard(replica, vote(RUN));
    }
    assert_eq!(
        asker
            .core
            .acting_term(asker.now, SingletonRole::PlatformPoller),
        Some(number)
    );
}

/// The answer of a replica that has accepted the same value as the asking one.
fn same() -> Chunk {
    Chunk {
        start_after: None,
        items: Vec::new(),
        continuation: Continuation::End,
    }
}

#[test]
fn answer_to_a_former_process_is_ignored() {
    let mut asker = Asker::new();
    asker.now = LATER;
    asker.in_touch();
    asker.take(Input::OperatorCall(
        7,
        Command::GetConfiguration,
        LATER + 900 * MS,
    ));
    // Before that it has begun to read what it lacks itself.
    let asked = asker.sent().filter_map(|body| match body {
        Payload::ReadRequest { id, .. } => Some(*id),
        _ => None,
    });
    let id = asked.last().expect("a question");
    assert_eq!(id.requester, speaker(0, RUN));
    let answered = |asker: &Asker| {
        asker
            .out
            .iter()
            .any(|output| matches!(output, Output::Answer(7, _)))
    };
    // "The same as the asking one" referred to another replica.
    for replica in [1, 2] {
        let before = RequestId {
            requester: speaker(0, RUN - 1),
            ..id
        };
        asker.heard(
            replica,
            Payload::RegisterChunk {
                id: before,
                chunk: same(),
            },
        );
        assert!(!answered(&asker));
    }
    asker.heard(2, Payload::RegisterChunk { id, chunk: same() });
    assert!(answered(&asker), "one of three, and itself");
}
