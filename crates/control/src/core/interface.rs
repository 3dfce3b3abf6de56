//! The interface between a host and a replica: the configuration and the stored state that a replica starts with, and
//! the inputs and outputs of [`Replica::step`](super::Replica::step).

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
    /// The number of the process start within this incarnation, from 1.
    pub run: u32,
    /// No proposal below this ballot is accepted on any register.
    pub promise_floor: Ballot,
    /// The newest term granted for each role, followed by the newest term of each role that was observed as held.
    pub terms: Vec<Term>,
    /// The newest known incarnation of each replica, by [`ReplicaId`](super::ids::ReplicaId).
    pub incarnations: Vec<Incarnation>,
    /// The confirmed address of each replica, by [`ReplicaId`](super::ids::ReplicaId).
    pub addresses: Vec<Option<SocketAddr>>,
}

/// The state that a replica reads from its disk at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The metadata; the default one for an empty disk.
    pub metadata: ReplicaMetadata,
    /// All registers.
    pub registers: Vec<(ItemName, Register)>,
    /// The items known to be chosen, with the ballot of each.
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
    /// Addresses of replicas to contact first, from the settings.
    pub seed_addresses: Vec<SocketAddr>,
    /// The seed of the random numbers.
    pub random_seed: u64,
    /// The state read from disk.
    pub recovered: RecoveredState,
    /// Sizes of the messages of a state transfer.
    pub transfer_limits: TransferLimits,
}

/// An input of a replica. Calls and agents' links are identified by numbers that the host assigns.
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
    /// An agent's link was closed.
    AgentDisconnected(u64),
    /// The platform's complete list of servers.
    ServerListRead(Vec<Server>),
    /// This process failed to perform the role.
    RoleFailed(SingletonRole),
    /// Whether the disk rejects writes. The host keeps requested writes until the disk accepts them again.
    DiskFull(bool),
    /// The process was asked to shut down.
    Shutdown,
}

/// A record to be written to disk. Records are written in the order in which they are requested.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The metadata of this replica.
    Metadata(ReplicaMetadata),
    /// A register.
    Register(ItemName, Register),
    /// An item known to be chosen, and its ballot.
    Chosen(Ballot, Item),
}

/// An output of a replica. The host performs the outputs in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the replicas at these addresses.
    SendToReplicas(Vec<SocketAddr>, PeerMessage),
    /// Keep links to the replicas at these addresses, and to no others.
    Peers(Vec<SocketAddr>),
    /// Write the records, then pass in [`Input::WriteCompleted`] with this request id.
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
    /// Operators' calls that wait for a proposal.
    pub calls: usize,
    /// Quorum reads for operators' calls, including those that wait for a repair.
    pub reads: usize,
    /// Writes whose completion triggers a further step.
    pub writes: usize,
    /// Registers whose accepted value is not known to be chosen.
    pub repairs: usize,
}
