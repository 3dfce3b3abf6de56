//! Late responses count only for the process that sent the request, not for a later process of the
//! replica that reaches the same request or term number.

use std::net::SocketAddr;

use control::core::ids::{Incarnation, ProcessId, RequestId, SingletonRole, Term};
use control::core::peer_messages::{Heartbeat, Payload, PeerMessage};
use control::core::transfer::{Chunk, Continuation, TransferLimits};
use control::core::{Input, Output, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata};
use control::operator_api::Command;

const MS: i64 = 1_000;
/// A time well after the start of a process, at which its clock begins.
const LATE_TIME: i64 = 3_000 * MS;
/// The run number of the requesting process; the process of the run before has ended.
const RUN: u32 = 2;

fn process_id(replica: u8, run: u32) -> ProcessId {
    ProcessId {
        replica,
        incarnation: Incarnation::FIRST,
        run,
    }
}

fn address(replica: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, replica, 1], 7740))
}

/// The first of three replicas, started for the second time, with all its outputs.
struct Requester {
    core: Replica,
    now: i64,
    outputs: Vec<Output>,
}

impl Requester {
    fn new() -> Requester {
        let metadata = ReplicaMetadata {
            incarnation: Incarnation::FIRST,
            run: RUN,
            incarnations: vec![Incarnation::FIRST; 3],
            addresses: (0..3).map(|replica| Some(address(replica))).collect(),
            ..ReplicaMetadata::default()
        };
        let config = ReplicaConfig {
            zones: ["a", "b", "c"].map(String::from).to_vec(),
            zone: "a".to_string(),
            address: Some(address(0)),
            seed_addresses: Vec::new(),
            random_seed: 1,
            transfer_limits: TransferLimits::default(),
            recovered: RecoveredState {
                metadata,
                ..RecoveredState::default()
            },
        };
        Requester {
            core: Replica::new(0, config),
            now: 0,
            outputs: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        self.core.step(self.now, input, &mut self.outputs);
    }

    fn receive(&mut self, replica: u8, payload: Payload) {
        let incarnations = vec![Incarnation::FIRST; 3];
        let message = PeerMessage {
            sender: process_id(replica, 1),
            incarnations,
            payload,
        };
        self.step(Input::PeerMessage(address(replica), message));
    }

    /// Receives heartbeats of both other replicas, which both receive those of this one.
    fn receive_heartbeats(&mut self) {
        for replica in [1, 2] {
            self.receive(
                replica,
                Payload::Heartbeat(Heartbeat {
                    reachable_replicas: 0b111,
                    ..Heartbeat::default()
                }),
            );
        }
    }

    fn sent_payloads(&self) -> impl Iterator<Item = &Payload> {
        self.outputs.iter().filter_map(|output| match output {
            Output::SendToReplicas(_, message) => Some(&message.payload),
            _ => None,
        })
    }
}

#[test]
fn vote_for_a_previous_process_is_ignored() {
    let mut requester = Requester::new();
    let lease_request = |requester: &Requester| {
        requester.sent_payloads().find_map(|payload| match payload {
            Payload::LeaseRequest {
                role: SingletonRole::PlatformPoller,
                term,
                sent_at,
                ..
            } => Some((*term, *sent_at)),
            _ => None,
        })
    };
    let (number, sent_at) = (0..1_000)
        .find_map(|step| {
            requester.now = step * 10 * MS;
            requester.receive_heartbeats();
            requester.step(Input::Tick);
            lease_request(&requester)
        })
        .expect("no lease was requested");
    // The clock of each process begins at its start, and the term of the previous process was not
    // on disk when it ended: both may send the same term and time.
    let vote = |run| Payload::LeaseVote {
        role: SingletonRole::PlatformPoller,
        term: Term {
            number,
            holder: process_id(0, run),
        },
        sent_at,
        is_granted: true,
        newest_term: number,
    };
    for replica in [1, 2] {
        requester.receive(replica, vote(RUN - 1));
        assert_eq!(
            requester
                .core
                .acting_term(requester.now, SingletonRole::PlatformPoller),
            None
        );
    }
    for replica in [1, 2] {
        requester.receive(replica, vote(RUN));
    }
    assert_eq!(
        requester
            .core
            .acting_term(requester.now, SingletonRole::PlatformPoller),
        Some(number)
    );
}

/// The response of a replica whose registers equal those of the requester.
fn no_differences() -> Chunk {
    Chunk {
        start_after: None,
        items: Vec::new(),
        continuation: Continuation::End,
    }
}

#[test]
fn response_to_a_previous_process_is_ignored() {
    let mut requester = Requester::new();
    requester.now = LATE_TIME;
    requester.receive_heartbeats();
    requester.step(Input::OperatorCall(
        7,
        Command::GetConfiguration,
        LATE_TIME + 900 * MS,
    ));
    // The last one: before it the replica has requested items that it lacks itself.
    let request_ids = requester
        .sent_payloads()
        .filter_map(|payload| match payload {
            Payload::ReadRequest { id, .. } => Some(*id),
            _ => None,
        });
    let id = request_ids.last().expect("no read was requested");
    assert_eq!(id.requester, process_id(0, RUN));
    let is_answered = |requester: &Requester| {
        requester
            .outputs
            .iter()
            .any(|output| matches!(output, Output::Answer(7, _)))
    };
    // "No differences" was said of the registers of the previous process.
    for replica in [1, 2] {
        let previous_id = RequestId {
            requester: process_id(0, RUN - 1),
            ..id
        };
        requester.receive(
            replica,
            Payload::RegisterChunk {
                id: previous_id,
                chunk: no_differences(),
            },
        );
        assert!(!is_answered(&requester));
    }
    requester.receive(
        2,
        Payload::RegisterChunk {
            id,
            chunk: no_differences(),
        },
    );
    assert!(
        is_answered(&requester),
        "one other replica of three and the requester are a quorum"
    );
}
