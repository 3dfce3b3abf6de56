//! The messages between replicas, the stored records and the replies to operators keep their encoding byte for byte:
//! replicas are upgraded one at a time, and a stored database outlives the program that wrote it.

#[path = "../../protocol/tests/common/mod.rs"]
mod common;

use std::fmt::Write;
use std::net::SocketAddr;

use common::{encodings, variants};
use control::core::ReplicaMetadata;
use control::core::ids::{Ballot, Incarnation, ProcessId, RequestId, SingletonRole, Term};
use control::core::peer_messages::{
    Frame, Heartbeat, Member, MembershipDelta, Payload, PeerMessage, TransferRequest,
};
use control::core::registers::Register;
use control::core::status::{LimiterStatus, ReplicaStatus, RoleStatus, Status};
use control::core::transfer::{Chunk, Continuation};
use control::lookup;
use control::operator_api::Reply;
use overload::admission_controller::ReplicaLoad;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::{NodeInfo, NodeState};
use protocol::platform::Server;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 7740))
}

fn name(name: &str) -> ItemName {
    ItemName {
        kind: ItemKind::Service,
        name: name.into(),
    }
}

fn item(service: &str, ver: u64) -> Item {
    Item {
        name: name(service),
        ver,
        spec: Some(format!(r#"{{"maxconn":{ver}}}"#)),
    }
}

fn process_id() -> ProcessId {
    ProcessId {
        replica: 2,
        incarnation: Incarnation {
            number: 3,
            nonce: 0x9e37_79b9,
        },
        run: 4,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: process_id(),
    }
}

fn term() -> Term {
    Term {
        number: 12,
        holder: process_id(),
    }
}

fn entry(service: &str, ver: u64) -> (Ballot, Item) {
    (ballot(300), item(service, ver))
}

fn transfer_request() -> TransferRequest {
    TransferRequest {
        digests: vec![0, 1, u64::MAX],
        start_after: Some(name("m")),
    }
}

fn request_id() -> RequestId {
    RequestId {
        requester: process_id(),
        number: 77,
    }
}

fn member(state: NodeState, is_connected: bool) -> Member {
    let node = NodeInfo {
        name: "edge-1".into(),
        zone: "alajuela".into(),
        region: "meseta".into(),
        http_address: address(33),
    };
    Member {
        node,
        state,
        is_connected,
    }
}

fn server() -> Server {
    Server {
        id: "i-7".into(),
        svc: "records".into(),
        addr: SocketAddr::from(([10, 128, 0, 9], 8080)),
        zone: "alajuela".into(),
        slots: 300,
        accepts_requests: false,
        warm_up_left_us: 1_500_000,
    }
}

fn chunks() -> [(&'static str, Chunk); 3] {
    let chunk = |start_after: Option<ItemName>, continuation| Chunk {
        start_after,
        items: vec![entry("n", 8)],
        continuation,
    };
    [
        ("the last chunk", chunk(None, Continuation::End)),
        (
            "a chunk that another follows",
            chunk(Some(name("m")), Continuation::MoreFollows),
        ),
        (
            "a chunk after which more is to be requested",
            chunk(Some(name("m")), Continuation::RequestMore),
        ),
    ]
}

fn payloads() -> Vec<(&'static str, Payload)> {
    let heartbeat = Heartbeat {
        reachable_replicas: 1 << 127 | 5,
        chosen_digest: 6,
        server_list_version: (7, 8),
        membership_digest: 9,
        counter_clock: -10,
    };
    let delta = MembershipDelta {
        digest_before: 1,
        digest_after: 2,
        changed_members: vec![
            member(NodeState::Ready, true),
            member(NodeState::Unavailable, false),
        ],
        removed_names: vec!["edge-9".into()],
    };
    let load = ReplicaLoad {
        offered: vec![(0, 1.5), (63, 2.0)],
        admitted: 3.0,
        outcomes: [1.0, 2.0, 3.0, 4.0, 5.0],
        limiter_count: 6,
        decided_rate: Some(Some(0.5)),
    };
    let [last, with_follower, with_request] = chunks().map(|(_, chunk)| chunk);
    vec![
        ("heartbeat", Payload::Heartbeat(heartbeat)),
        (
            "replicas",
            Payload::ReplicaAddresses(vec![Some(address(10)), None]),
        ),
        (
            "prepare",
            Payload::Prepare {
                ballot: ballot(5),
                names: vec![name("a"), name("b")],
            },
        ),
        (
            "promise",
            Payload::Promise {
                ballot: ballot(5),
                accepted_values: vec![entry("a", 1)],
            },
        ),
        (
            "accept",
            Payload::Accept {
                ballot: ballot(5),
                items: vec![item("a", 2)],
            },
        ),
        ("accepted", Payload::Accepted(ballot(5))),
        (
            "rejected",
            Payload::Nack {
                ballot: ballot(5),
                higher_ballot: ballot(6),
            },
        ),
        ("chosen", Payload::Chosen(ballot(5))),
        (
            "synchronize",
            Payload::DigestRequest {
                id: 1 << 48 | 9,
                digests: vec![1, 2],
            },
        ),
        (
            "digest entries",
            Payload::DigestEntries {
                id: 9,
                entries: vec![(u64::MAX, ballot(5))],
            },
        ),
        (
            "fetch",
            Payload::FetchRequest {
                id: 9,
                keys: vec![1, u64::MAX],
            },
        ),
        (
            "chosen items",
            Payload::ChosenChunk {
                id: 9,
                sequence: 1,
                items: vec![entry("a", 1)],
                continuation: Continuation::MoreFollows,
            },
        ),
        (
            "read",
            Payload::ReadRequest {
                id: request_id(),
                request: transfer_request(),
            },
        ),
        (
            "registers",
            Payload::RegisterChunk {
                id: request_id(),
                chunk: with_follower,
            },
        ),
        (
            "record an incarnation",
            Payload::IncarnationRequest {
                incarnation: process_id().incarnation,
                request: transfer_request(),
            },
        ),
        (
            "incarnation recorded",
            Payload::IncarnationRecorded {
                incarnation: process_id().incarnation,
                promise_floor: ballot(5),
                chunk: with_request,
                terms: vec![term(), Term::default()],
            },
        ),
        (
            "lease request",
            Payload::LeaseRequest {
                role: SingletonRole::PlatformPoller,
                term: 12,
                sent_at: 13,
                is_renewal: false,
            },
        ),
        (
            "lease renewal",
            Payload::LeaseRequest {
                role: SingletonRole::Counter,
                term: 12,
                sent_at: 13,
                is_renewal: true,
            },
        ),
        (
            "lease vote",
            Payload::LeaseVote {
                role: SingletonRole::Counter,
                term: term(),
                sent_at: 13,
                is_granted: true,
                newest_term: 14,
            },
        ),
        (
            "lease release",
            Payload::LeaseRelease {
                role: SingletonRole::PlatformPoller,
                term: 12,
                is_unused: true,
            },
        ),
        (
            "members",
            Payload::MemberList(vec![member(NodeState::Draining, true)]),
        ),
        ("membership change", Payload::MembershipDelta(delta)),
        ("request for members", Payload::MemberListRequest),
        (
            "servers",
            Payload::ServerList {
                version: (4, 9),
                servers: vec![server()],
            },
        ),
        ("request for servers", Payload::ServerListRequest),
        (
            "load",
            Payload::LoadReport {
                region: "meseta".into(),
                services: vec![("records".into(), load)],
            },
        ),
        (
            "handover",
            Payload::HandoverRequest {
                id: 3,
                items: vec![entry("a", 1)],
            },
        ),
        (
            "handover confirmed",
            Payload::HandoverAck {
                id: 3,
                digests: vec![1, 2],
                slot_incarnation: Incarnation::FIRST,
            },
        ),
        (
            "the last chunk of registers",
            Payload::RegisterChunk {
                id: request_id(),
                chunk: last,
            },
        ),
    ]
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let mut payloads = payloads();
    let extra = payloads.split_off(payloads.len() - 1);
    let text = variants(&payloads) + &encodings(&extra);
    insta::assert_snapshot!("peer-messages", text);
    insta::assert_snapshot!(
        "continuations",
        variants(&chunks().map(|(label, chunk)| (label, chunk.continuation)))
    );
    insta::assert_snapshot!(
        "roles",
        variants(&[
            ("platform poller", SingletonRole::PlatformPoller),
            ("counter", SingletonRole::Counter)
        ])
    );
}

#[test]
fn frames_between_replicas_keep_their_bytes() {
    let incarnations = vec![
        Incarnation::FIRST,
        Incarnation::NONE,
        process_id().incarnation,
    ];
    let message = PeerMessage {
        sender: process_id(),
        incarnations,
        payload: Payload::MemberListRequest,
    };
    let examples = [
        ("address of the sender", Frame::SenderAddress(address(10))),
        ("nothing", Frame::KeepAlive),
        ("message", Frame::PeerMessage(message)),
    ];
    insta::assert_snapshot!("frames", variants(&examples));
}

#[test]
fn stored_records_keep_their_bytes() {
    let metadata = ReplicaMetadata {
        incarnation: process_id().incarnation,
        run: 4,
        promise_floor: ballot(5),
        terms: vec![term(), Term::default()],
        incarnations: vec![Incarnation::FIRST, process_id().incarnation],
        addresses: vec![Some(address(10)), None],
    };
    let register = Register {
        promised_ballot: ballot(301),
        accepted_value: Some(entry("a", 1)),
    };
    let mut text = encodings(&[
        ("metadata, none", ReplicaMetadata::default()),
        ("metadata", metadata),
    ]);
    text += &encodings(&[
        ("register, empty", Register::default()),
        ("register", register),
    ]);
    text += &encodings(&[("chosen", entry("a", 1))]);
    text += &encodings(&[("name", name("a"))]);
    insta::assert_snapshot!("rows", text);
}

#[test]
fn operator_replies_keep_status_and_body() {
    let replies = [
        ("done", Reply::Done),
        ("items", Reply::Items(b"{\"objs\":[]}".to_vec())),
        ("status", Reply::Status(b"{}".to_vec())),
        ("invalid", Reply::Invalid("call: key".into())),
        ("conflict", Reply::Conflict),
        ("unknown", Reply::NotFound("zone: \"x\"".into())),
        ("unavailable", Reply::Unavailable("not now")),
        ("another method", Reply::MethodNotAllowed),
    ];
    let mut text = String::new();
    for (label, reply) in replies {
        let (status, body) = reply.parts();
        writeln!(
            text,
            "{label}: {status} {}",
            String::from_utf8(body).unwrap()
        )
        .unwrap();
    }
    insta::assert_snapshot!("operator-answers", text);
}

#[test]
fn json_of_a_lookup_keeps_its_keys() {
    let body = lookup::answer_body(&[address(33), address(34)], 2_000_000);
    insta::assert_snapshot!("lookup-answer", String::from_utf8(body).unwrap());
}

#[test]
fn json_of_a_status_keeps_its_keys() {
    let status = Status {
        zone: "alajuela".into(),
        program_version: "0.1.0".into(),
        incarnation: 3,
        run: 4,
        is_participant: true,
        is_superseded: false,
        has_quorum_contact: true,
        disk_full: false,
        items: 350,
        digest: "0123456789abcdef".into(),
        caught_up: true,
        unconfirmed_items: 2,
        server_list_version: (4, 9),
        replicas: vec![ReplicaStatus {
            zone: "heredia".into(),
            incarnation: 1,
            address: Some(address(11)),
            is_reachable: true,
        }],
        roles: vec![RoleStatus {
            role: "poll".into(),
            holder: Some("heredia".into()),
            term: 12,
        }],
        limiters: vec![LimiterStatus {
            node: "edge-1".into(),
            zone: "alajuela".into(),
            replica: "heredia".into(),
            is_connected: true,
            state: "ready".into(),
            items: Some(349),
            lag_ms: Some(40),
        }],
        omitted_limiters: 1,
    };
    let json = status.json();
    assert_eq!(serde_json::from_slice::<Status>(&json).unwrap(), status);
    insta::assert_snapshot!("status", String::from_utf8(json).unwrap());
}
