//! What the replicas of the core say to each other, and the numbers by which it is ordered.

use std::fmt;
use std::net::SocketAddr;

use overload::judge::Share;
use protocol::items::{Item, ItemName};
use protocol::messages::{NodeInfo, NodeState};
use protocol::platform::Server;
use serde::{Deserialize, Serialize};

use super::transfer::{Chunk, Continuation};

/// A replica's number: the place of its zone among all zones, by name.
pub type ReplicaId = u8;

/// An incarnation of a replica. It goes on while its disk stays; who comes with an empty disk begins a new one. Ordered; the mark,
/// drawn by chance, tells apart two that begin the same number at once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Its number; 0 is none yet.
    pub number: u32,
    /// Drawn by chance.
    pub nonce: u32,
}

impl Incarnation {
    /// None yet: counts for nothing.
    pub const NONE: Incarnation = Incarnation {
        number: 0,
        nonce: 0,
    };
    /// That of every replica at the first start of the whole system.
    pub const FIRST: Incarnation = Incarnation {
        number: 1,
        nonce: 0,
    };
}

/// Who speaks: a replica, its incarnation, and the run of its process within that.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProcessId {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Starts of its process in this incarnation.
    pub run: u32,
}

/// The number of a proposal. No two proposals share one: the run changes with each start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Rises with each try.
    pub round: u64,
    /// Whose it is.
    pub proposer: ProcessId,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.proposer.replica)
    }
}

/// The number of a question. A process that starts anew counts from the beginning, so that a number alone would be found
/// again: an answer that is late counts only for the very process that asked.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// Who asks.
    pub requester: ProcessId,
    /// Which of its questions.
    pub number: u64,
}

/// A duty that one replica does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SingletonRole {
    /// Asks the platform for its list.
    PlatformPoller,
    /// Keeps the shared count.
    Counter,
}

impl SingletonRole {
    /// All of them.
    pub const ALL: [SingletonRole; 2] = [SingletonRole::PlatformPoller, SingletonRole::Counter];
}

/// A term of a duty, and whose it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Rises with each holder.
    pub number: u64,
    /// The holder.
    pub holder: ProcessId,
}

/// An edge as the replica knows it that its agent is linked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The edge.
    pub node: NodeInfo,
    /// How it stands.
    pub state: NodeState,
    /// Its agent is linked now; else its lease only runs out.
    pub connected: bool,
}

/// A change of the edges linked to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipDelta {
    /// Digest of those before...
    pub digest_before: u64,
    /// ...and after it.
    pub digest_after: u64,
    /// Those that came, or stand otherwise.
    pub changed: Vec<Member>,
    /// Machines that are there no more.
    pub removed: Vec<String>,
}

/// The sign of life of a replica, with what tells whether something was missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The replicas that it hears, a bit each.
    pub reachable: u128,
    /// Digest of what it knows to be chosen.
    pub chosen_digest: u64,
    /// Version of its list of servers.
    pub server_list_version: (u64, u64),
    /// Digest of the edges linked to it.
    pub membership_digest: u64,
    /// The limiters' clock, as it has it.
    pub counter_clock: i64,
}

/// What the asking one of a transfer has, and from where on it wants what differs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Digests of what it has, by parts.
    pub digests: Vec<u64>,
    /// It has all up to this name.
    pub after: Option<ItemName>,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Sign of incarnation.
    Heartbeat(Heartbeat),
    /// Where the replicas are; the incarnations stand in the message.
    ReplicaAddresses(Vec<Option<SocketAddr>>),
    /// Asks for a promise on registers.
    Prepare {
        /// The proposal.
        ballot: Ballot,
        /// The registers.
        names: Vec<ItemName>,
    },
    /// Promises, and what was accepted before.
    Promise {
        /// The proposal.
        ballot: Ballot,
        /// Of these registers, those that hold something.
        accepted: Vec<(Ballot, Item)>,
    },
    /// Asks to accept.
    Accept {
        /// The proposal.
        ballot: Ballot,
        /// One for each register.
        items: Vec<Item>,
    },
    /// Has accepted, on disk.
    Accepted(Ballot),
    /// Does neither: a higher proposal was promised something.
    Nack {
        /// The proposal.
        ballot: Ballot,
        /// The higher one.
        seen: Ballot,
    },
    /// All that was accepted under this proposal is chosen.
    Chosen(Ballot),
    /// Digests of what the speaker knows to be chosen, by parts; it wants what is in those that differ.
    DigestRequest {
        /// Number of the question.
        id: u64,
        /// The digests.
        digests: Vec<u64>,
    },
    /// Answers this where much differs: the name, as a number, and the ballot of each entry of the parts that differ.
    DigestEntries {
        /// Number of the question.
        id: u64,
        /// The entries.
        entries: Vec<(u64, Ballot)>,
    },
    /// Asks for some of these, by their names.
    FetchRequest {
        /// Number of the question.
        id: u64,
        /// The names, as numbers.
        wanted: Vec<u64>,
    },
    /// Items that are chosen.
    ChosenChunk {
        /// Number of the question.
        id: u64,
        /// Which piece of the answer it is.
        sequence: u32,
        /// The items.
        items: Vec<(Ballot, Item)>,
        /// What follows.
        continuation: Continuation,
    },
    /// Asks for all that was accepted.
    ReadRequest {
        /// The question.
        id: RequestId,
        /// What the asking one has accepted itself.
        request: TransferRequest,
    },
    /// What was accepted, of the parts that differ.
    RegisterChunk {
        /// The question.
        id: RequestId,
        /// A piece of it.
        chunk: Chunk,
    },
    /// A replica that has lost its disk begins this incarnation: to be written down, and answered with all there is.
    IncarnationRequest {
        /// The incarnation.
        incarnation: Incarnation,
        /// What it has gathered so far.
        request: TransferRequest,
    },
    /// The incarnation is on disk here; this is what was accepted, of the parts that differ.
    IncarnationRecorded {
        /// The incarnation.
        incarnation: Incarnation,
        /// Highest proposal that was promised anything.
        floor: Ballot,
        /// A piece of what was accepted.
        chunk: Chunk,
        /// Newest term of each duty.
        terms: Vec<Term>,
    },
    /// Asks for a duty, or for more of it.
    LeaseRequest {
        /// The duty.
        role: SingletonRole,
        /// The term.
        term: u64,
        /// When it was sent, on the clock of the bidder.
        sent_at: i64,
        /// The bidder holds the duty already.
        renewal: bool,
    },
    /// Answer to a bid.
    LeaseVote {
        /// The duty.
        role: SingletonRole,
        /// The term, and who bid for it: its clock and its terms may come to the same numbers after a start.
        term: Term,
        /// As in the bid.
        sent_at: i64,
        /// It is granted for a time.
        granted: bool,
        /// Newest term that the voter knows.
        newest_term: u64,
    },
    /// The holder, or the bidder, of this term gives it back.
    LeaseRelease {
        /// The duty.
        role: SingletonRole,
        /// The term.
        term: u64,
        /// It was never won.
        unused: bool,
    },
    /// The edges linked to the speaker.
    MemberList(Vec<Member>),
    /// What has changed of these since the last telling.
    MembershipDelta(MembershipDelta),
    /// Asks for these.
    MemberListRequest,
    /// The platform's list.
    ServerList {
        /// The poller's term and the list's number within it.
        version: (u64, u64),
        /// The list; `cold` counts from now.
        servers: Vec<Server>,
    },
    /// Asks for it.
    ServerListRequest,
    /// What the speaker's limiters saw of the services of a region, and the rate that each is let through at.
    LoadReport {
        /// The region.
        region: String,
        /// By service.
        services: Vec<(String, Share)>,
    },
    /// The speaker is to end. These items are chosen and are to be held here; also said by one whose slot has a newer
    /// incarnation.
    HandoverRequest {
        /// Number of the message; 0 only asks what is held.
        id: u64,
        /// The items.
        items: Vec<(Ballot, Item)>,
    },
    /// What was known to be chosen once that message was taken in is on disk here.
    HandoverAck {
        /// Number of the message.
        id: u64,
        /// Digests of it, by parts.
        digests: Vec<u64>,
        /// The incarnation of the asking one's slot that was heard of late; none if none was.
        slot_incarnation: Incarnation,
    },
}

/// A message from a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Who speaks.
    pub sender: ProcessId,
    /// The newest incarnations that it knows, by replica.
    #[serde(with = "incarnations")]
    pub incarnations: Vec<Incarnation>,
    /// What it says.
    pub payload: Payload,
}

/// The incarnations as they travel: their number, and those that are not the first. Most replicas stay in theirs for long, so that
/// a message does not grow with the replicas.
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

/// What is put on a link between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Where the one that opened the link can be reached itself; first on a link, both ways.
    SenderAddress(SocketAddr),
    /// Nothing but a sign of life of the link.
    KeepAlive,
    /// A message.
    PeerMessage(PeerMessage),
}
