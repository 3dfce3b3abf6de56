//! The messages that replicas send each other.
//!
//! Variants and fields are written by their position (`postcard`): their order is part of the wire.

use std::net::SocketAddr;

use overload::admission_controller::ReplicaLoad;
use protocol::items::{Item, ItemName};
use protocol::messages::{NodeInfo, NodeState};
use protocol::platform::Server;
use serde::{Deserialize, Serialize};

use super::ids::{Ballot, Incarnation, ProcessId, ReplicaId, RequestId, SingletonRole, Term};
use super::transfer::{Chunk, Continuation};

/// An edge as the replica knows it at which it holds its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The edge.
    pub node: NodeInfo,
    /// Whether it serves.
    pub state: NodeState,
    /// Whether its agent is linked to the replica; otherwise its lease is about to expire.
    pub is_connected: bool,
}

/// A change of the members of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipDelta {
    /// The digest of the members before the change.
    pub digest_before: u64,
    /// The digest of the members after it.
    pub digest_after: u64,
    /// Members that were added or changed.
    pub changed_members: Vec<Member>,
    /// The names of members that were removed.
    pub removed_names: Vec<String>,
}

/// The heartbeat of a replica, with digests by which others notice that they have missed something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The replicas that it hears, one bit each.
    pub reachable_replicas: u128,
    /// The digest of the items that it knows to be chosen.
    pub chosen_digest: u64,
    /// The version of its list of servers.
    pub server_list_version: (u64, u64),
    /// The digest of its members.
    pub membership_digest: u64,
    /// The clock by which limiters name windows, in microseconds.
    pub counter_clock: i64,
}

/// What the requester of a transfer has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Digests of what it has, by bucket; only buckets that differ are sent.
    pub digests: Vec<u64>,
    /// The name after which to continue.
    pub start_after: Option<ItemName>,
}

/// The payload of a peer message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The confirmed address of each replica; their incarnations are in the message.
    ReplicaAddresses(Vec<Option<SocketAddr>>),
    /// Phase 1 of a proposal: requests a promise.
    Prepare {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The registers.
        names: Vec<ItemName>,
    },
    /// Promises to accept nothing below the ballot.
    Promise {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The accepted values of the registers that have one.
        accepted_values: Vec<(Ballot, Item)>,
    },
    /// Phase 2 of a proposal: requests acceptance.
    Accept {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// One item for each register.
        items: Vec<Item>,
    },
    /// Everything of the proposal is accepted, and on disk.
    Accepted(Ballot),
    /// Rejects a proposal, since something was promised to a higher ballot.
    Nack {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The higher ballot.
        higher_ballot: Ballot,
    },
    /// Everything that was accepted under this ballot is chosen.
    Chosen(Ballot),
    /// Opens a digest exchange: requests the chosen items of the buckets that differ.
    DigestRequest {
        /// The id of the exchange.
        id: u64,
        /// Digests of the chosen items that the sender knows, by bucket.
        digests: Vec<u64>,
    },
    /// Answers a digest request where much differs: the key and the ballot of each entry of the buckets that differ.
    DigestEntries {
        /// The id of the exchange.
        id: u64,
        /// The entries.
        entries: Vec<(u64, Ballot)>,
    },
    /// Requests some of these entries.
    FetchRequest {
        /// The id of the exchange.
        id: u64,
        /// The keys of the entries.
        keys: Vec<u64>,
    },
    /// Chosen items, in answer to a digest or fetch request.
    ChosenChunk {
        /// The id of the exchange.
        id: u64,
        /// The number of the chunk within the answer, from 0.
        sequence: u32,
        /// The items.
        items: Vec<(Ballot, Item)>,
        /// What follows.
        continuation: Continuation,
    },
    /// Requests the accepted values of all registers, for a quorum read.
    ReadRequest {
        /// The id of the request.
        id: RequestId,
        /// What the requester has accepted itself.
        request: TransferRequest,
    },
    /// Accepted values, in answer to a read request.
    RegisterChunk {
        /// The id of the request.
        id: RequestId,
        /// The values.
        chunk: Chunk,
    },
    /// The sender recovers under a new incarnation, which is to be persisted and answered with all accepted values.
    IncarnationRequest {
        /// The incarnation.
        incarnation: Incarnation,
        /// What the sender has gathered so far.
        request: TransferRequest,
    },
    /// The incarnation is on disk here; accepted values follow.
    IncarnationRecorded {
        /// The incarnation.
        incarnation: Incarnation,
        /// The highest promise on any register.
        promise_floor: Ballot,
        /// Accepted values.
        chunk: Chunk,
        /// The newest term of each role that the sender has granted.
        terms: Vec<Term>,
    },
    /// Requests the lease on a role, or its renewal.
    LeaseRequest {
        /// The role.
        role: SingletonRole,
        /// The term.
        term: u64,
        /// When it was sent, on the clock of the requester.
        sent_at: i64,
        /// The requester holds the lease already.
        is_renewal: bool,
    },
    /// Answers a lease request.
    LeaseVote {
        /// The role.
        role: SingletonRole,
        /// The term and its requester: after a restart the same numbers come again.
        term: Term,
        /// When the request was sent.
        sent_at: i64,
        /// Whether the lease is granted.
        is_granted: bool,
        /// The newest term that the voter knows.
        newest_term: u64,
    },
    /// The holder or candidate of a term gives it up.
    LeaseRelease {
        /// The role.
        role: SingletonRole,
        /// The term.
        term: u64,
        /// The term was never won.
        is_unused: bool,
    },
    /// All members of the sender.
    MemberList(Vec<Member>),
    /// The change of the sender's members since it was last announced.
    MembershipDelta(MembershipDelta),
    /// Requests all members of the receiver.
    MemberListRequest,
    /// The platform's list of servers.
    ServerList {
        /// The term of the poller, and the number of the list within it.
        version: (u64, u64),
        /// The servers; what is left of a warm-up counts from now.
        servers: Vec<Server>,
    },
    /// Requests the list of servers.
    ServerListRequest,
    /// What the limiters of the sender report about the services of a region.
    LoadReport {
        /// The region.
        region: String,
        /// The reports, by service.
        services: Vec<(String, ReplicaLoad)>,
    },
    /// The sender is to end, or is superseded: these chosen items are to be on disk at the receiver.
    HandoverRequest {
        /// The id of the message; 0 asks only what the receiver has.
        id: u64,
        /// The items.
        items: Vec<(Ballot, Item)>,
    },
    /// Answers a handover request once its items are on disk.
    HandoverAck {
        /// The id of the message.
        id: u64,
        /// Digests of the chosen items on disk, by bucket.
        digests: Vec<u64>,
        /// The newest incarnation of the requester's replica that was heard recently; none if none was.
        slot_incarnation: Incarnation,
    },
}

/// A message from a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The process that sends it.
    pub sender: ProcessId,
    /// The newest incarnation of each replica that the sender knows.
    #[serde(with = "incarnations")]
    pub incarnations: Vec<Incarnation>,
    /// The payload.
    pub payload: Payload,
}

/// The encoding of the incarnations: their number, and those that are not the first one. Most replicas keep the first one
/// for long, so that messages do not grow with the number of replicas.
mod incarnations {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    use super::{Incarnation, ReplicaId};

    pub fn serialize<S: Serializer>(
        incarnations: &[Incarnation],
        to: S,
    ) -> Result<S::Ok, S::Error> {
        let later = incarnations
            .iter()
            .enumerate()
            .filter(|(_, incarnation)| **incarnation != Incarnation::FIRST);
        let later: Vec<(ReplicaId, Incarnation)> = later
            .map(|(at, incarnation)| (at as ReplicaId, *incarnation))
            .collect();
        (incarnations.len() as ReplicaId, later).serialize(to)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<Incarnation>, D::Error> {
        let (count, later) = <(ReplicaId, Vec<(ReplicaId, Incarnation)>)>::deserialize(from)?;
        let mut incarnations = vec![Incarnation::FIRST; usize::from(count)];
        for (replica, incarnation) in later {
            let place = incarnations
                .get_mut(usize::from(replica))
                .ok_or_else(|| D::Error::custom("no such replica"))?;
            *place = incarnation;
        }
        Ok(incarnations)
    }
}

/// A frame on a link between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The address at which the sender is reached; the first frame in both directions.
    SenderAddress(SocketAddr),
    /// A sign of life of the link.
    KeepAlive,
    /// A message.
    PeerMessage(PeerMessage),
}
