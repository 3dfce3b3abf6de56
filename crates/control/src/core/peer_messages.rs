//! The messages between replicas.
//!
//! Variants and fields are encoded by position (`postcard`): their order is part of the wire format.

use std::net::SocketAddr;

use overload::admission_controller::ReplicaLoad;
use protocol::items::{Item, ItemName};
use protocol::messages::{NodeInfo, NodeState};
use protocol::platform::Server;
use serde::{Deserialize, Serialize};

use super::ids::{Ballot, Incarnation, ProcessId, ReplicaId, RequestId, SingletonRole, Term};
use super::transfer::{Chunk, Continuation};

/// An edge as known to the replica at which it holds its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The edge.
    pub node: NodeInfo,
    /// Whether it serves requests.
    pub state: NodeState,
    /// Whether its agent is linked to the replica. The lease of a disconnected one expires soon.
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

/// The heartbeat of a replica, with digests by which the others detect that they lack updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The replicas whose messages it receives, one bit each.
    pub reachable_replicas: u128,
    /// The digest of the items that it knows to be chosen.
    pub chosen_digest: u64,
    /// The version of its server list.
    pub server_list_version: (u64, u64),
    /// The digest of its members.
    pub membership_digest: u64,
    /// The shared clock by which limiters number quota windows, in microseconds.
    pub counter_clock: i64,
}

/// A request for a transfer, with a description of the requester's entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Digests of the requester's entries, by bucket; only buckets that differ are sent.
    pub digests: Vec<u64>,
    /// The name after which the transfer continues; `None` to begin with the first.
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
    /// Accepts a proposal: all its items are on disk.
    Accepted(Ballot),
    /// Rejects a proposal, since a register was promised to a higher ballot.
    Nack {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The higher ballot.
        higher_ballot: Ballot,
    },
    /// All values accepted under this ballot are chosen.
    Chosen(Ballot),
    /// Opens a digest exchange: requests the chosen items of the buckets that differ.
    DigestRequest {
        /// The id of the exchange.
        id: u64,
        /// Digests of the chosen items that the sender knows, by bucket.
        digests: Vec<u64>,
    },
    /// Answers a digest request if the difference is large: the key and the ballot of each entry of the buckets that
    /// differ.
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
        /// What follows this chunk.
        continuation: Continuation,
    },
    /// Requests the accepted values of all registers, for a quorum read.
    ReadRequest {
        /// The id of the request.
        id: RequestId,
        /// The values that the requester itself has accepted.
        request: TransferRequest,
    },
    /// Accepted values, in answer to a read request.
    RegisterChunk {
        /// The id of the request.
        id: RequestId,
        /// The values.
        chunk: Chunk,
    },
    /// The sender recovers under a new incarnation: the receiver persists it and answers with all accepted values.
    IncarnationRequest {
        /// The incarnation.
        incarnation: Incarnation,
        /// The values that the sender has collected so far.
        request: TransferRequest,
    },
    /// The requester's incarnation is on the sender's disk; carries accepted values.
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
        /// When the request was sent, in microseconds on the clock of the requester.
        sent_at: i64,
        /// Whether the requester already holds the lease.
        is_renewal: bool,
    },
    /// Answers a lease request.
    LeaseVote {
        /// The role.
        role: SingletonRole,
        /// The term and its requester, since a restarted process may use the same numbers again.
        term: Term,
        /// When the request was sent, in microseconds on the clock of the requester.
        sent_at: i64,
        /// Whether the lease is granted.
        is_granted: bool,
        /// The newest term that the voter knows.
        newest_term: u64,
    },
    /// The holder or candidate of a term releases it.
    LeaseRelease {
        /// The role.
        role: SingletonRole,
        /// The term.
        term: u64,
        /// Whether the lease was never acquired in this term.
        is_unused: bool,
    },
    /// All members of the sender.
    MemberList(Vec<Member>),
    /// The change of the sender's members since its last announcement.
    MembershipDelta(MembershipDelta),
    /// Requests all members of the receiver.
    MemberListRequest,
    /// The platform's list of servers.
    ServerList {
        /// The term of the poller, and the number of the list within it.
        version: (u64, u64),
        /// The servers; the remaining warm-up time counts from the receipt.
        servers: Vec<Server>,
    },
    /// Requests the list of servers.
    ServerListRequest,
    /// The load that the limiters of the sender report for the services of a region.
    LoadReport {
        /// The region.
        region: String,
        /// The reports, by service.
        services: Vec<(String, ReplicaLoad)>,
    },
    /// The sender shuts down or is superseded: the receiver persists these chosen items.
    HandoverRequest {
        /// The id of the message; 0 for a query of the receiver's items.
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
        /// The newest incarnation of the requester's replica if it is reachable, otherwise [`Incarnation::NONE`].
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

/// The encoding of the incarnations: their count, and those other than the first one. Most replicas stay in their first
/// incarnation for long, so that messages do not grow with the number of replicas.
mod incarnations {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    use super::{Incarnation, ReplicaId};

    pub fn serialize<S: Serializer>(
        incarnations: &[Incarnation],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let later = incarnations
            .iter()
            .enumerate()
            .filter(|(_, incarnation)| **incarnation != Incarnation::FIRST);
        let later: Vec<(ReplicaId, Incarnation)> = later
            .map(|(replica, incarnation)| (replica as ReplicaId, *incarnation))
            .collect();
        (incarnations.len() as ReplicaId, later).serialize(serializer)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<Vec<Incarnation>, D::Error> {
        let (count, later) =
            <(ReplicaId, Vec<(ReplicaId, Incarnation)>)>::deserialize(deserializer)?;
        let mut incarnations = vec![Incarnation::FIRST; usize::from(count)];
        for (replica, incarnation) in later {
            let entry = incarnations
                .get_mut(usize::from(replica))
                .ok_or_else(|| D::Error::custom("replica number out of range"))?;
            *entry = incarnation;
        }
        Ok(incarnations)
    }
}

/// A frame on a link between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The listening address of the sender; the first frame in both directions.
    SenderAddress(SocketAddr),
    /// Keeps an idle link open.
    KeepAlive,
    /// A message.
    PeerMessage(PeerMessage),
}
