//! What a host and a replica exchange: the configuration and the stored state that a replica starts with, the inputs of
//! [`Replica::step`](super::Replica::step) and its outputs.

use std::net::SocketAddr;

use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ControlMessage};
use protocol::platform::Server;
use serde::{Deserialize, Serialize};

use super::events::Event;
use super::ids::{Ballot, Incarnation, SingletonRole, Term};
use super::peer_messages::PeerMessage;
use super::registers::Register;
use super::transfer::TransferLimits;
use crate::operator_api::{Command, Reply};

/// The metadata that a replica persists: its own identity, its promises and leases, and the table of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// The incarnation of this replica; [`Incarnation::NONE`] until it has recovered.
    pub incarnation: Incarnation,
    /// How often the process has started in this incarnation.
    pub run: u32,
    /// No proposal below this ballot is accepted on any register.
    pub promise_floor: Ballot,
    /// The newest term granted for each role, followed by the newest term of each role that was seen to be held.
    pub terms: Vec<Term>,
    /// The newest known incarnation of each replica, by [`ReplicaId`](super::ids::ReplicaId).
    pub incarnations: Vec<Incarnation>,
    /// The confirmed address of each replica, by [`ReplicaId`](super::ids::ReplicaId).
    pub addresses: Vec<Option<SocketAddr>>,
}

/// The state that a replica found on its disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The metadata; the default one for an empty disk.
    pub metadata: ReplicaMetadata,
    /// All registers.
    pub registers: Vec<(ItemName, Register)>,
    /// The items that were known to be chosen, with the ballot of each.
    pub chosen: Vec<(Ballot, Item)>,
}

/// The configuration of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaConfig {
    /// The zones of all replicas; the position of a zone is the id of its replica.
    pub zones: Vec<String>,
    /// The zone of this replica.
    pub zone: String,
    /// The address at which other replicas and agents reach this one.
    pub address: Option<SocketAddr>,
    /// Addresses to contact first, from the settings.
    pub seed_addresses: Vec<SocketAddr>,
    /// The seed of the random numbers.
    pub random_seed: u64,
    /// The state found on disk.
    pub recovered: RecoveredState,
    /// Sizes of the messages of a state transfer.
    pub transfer_limits: TransferLimits,
}

/// An input of a replica. A call or an agent's link is named by a number that the host gives it.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A message from the replica at this address.
    PeerMessage(SocketAddr, PeerMessage),
    /// A link with the replica at this address was established.
    PeerConnected(SocketAddr),
    /// The write with this request id is on disk.
    WriteCompleted(u64),
    /// A call of an operator, to be answered before the deadline, in microseconds.
    OperatorCall(u64, Command, i64),
    /// A message from the agent on this link.
    AgentMessage(u64, AgentMessage),
    /// The agent's link was closed.
    AgentDisconnected(u64),
    /// All pages of the platform's list were read.
    ServerListRead(Vec<Server>),
    /// This process is unable to perform the role.
    RoleFailed(SingletonRole),
    /// Whether the disk rejects writes. Requested writes wait until it accepts them again.
    DiskFull(bool),
    /// The process was told to end.
    Shutdown,
}

/// A record to be written to disk. Records are written in the order in which they were requested.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The metadata of this replica.
    Metadata(ReplicaMetadata),
    /// A register.
    Register(ItemName, Register),
    /// An item that is known to be chosen, and its ballot.
    Chosen(Ballot, Item),
}

/// An output of a replica, to be carried out by the host in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the replicas at these addresses.
    SendToReplicas(Vec<SocketAddr>, PeerMessage),
    /// Keep links with the replicas at these addresses, and with no others.
    Peers(Vec<SocketAddr>),
    /// Write the records, then pass [`Input::Written`] with the request id.
    Write(u64, Vec<Record>),
    /// Answer an operator's call.
    Answer(u64, Reply),
    /// Send a message to the agents on these links.
    SendToAgents(Vec<u64>, ControlMessage),
    /// Log an event.
    Log(Event),
}

/// How many operations of each kind a replica has in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Proposals.
    pub proposals: usize,
    /// Operators' calls that a proposal is for.
    pub calls: usize,
    /// Quorum reads, including those that wait for a repair.
    pub reads: usize,
    /// Writes that something waits for.
    pub writes: usize,
    /// Registers whose accepted value is not known to be chosen.
    pub repairs: usize,
}
