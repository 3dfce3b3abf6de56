//! The identifiers of replicas, processes, proposals, requests and leases, and their orders.
//!
//! Fields are written by their position (`postcard`): their order is part of the wire and of stored data.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a replica: the position of its zone among all zones, by name.
pub type ReplicaId = u8;

/// An incarnation of a replica: it lasts as long as the disk, and a process with an empty disk begins a new one.
/// Incarnations are ordered; the nonce tells two apart that begin with the same number at once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Its number; 0 for none.
    pub number: u32,
    /// A random number.
    pub nonce: u32,
}

impl Incarnation {
    /// No incarnation: the process has not recovered yet, and its votes count for nothing.
    pub const NONE: Incarnation = Incarnation {
        number: 0,
        nonce: 0,
    };
    /// The incarnation of every replica at the first start of the whole system.
    pub const FIRST: Incarnation = Incarnation {
        number: 1,
        nonce: 0,
    };
}

/// A replica in one incarnation: whose vote it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Voter {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A process of a replica: its incarnation, and how often it has started in it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProcessId {
    /// The replica.
    pub replica: ReplicaId,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The number of the start in this incarnation, from 1.
    pub run: u32,
}

impl ProcessId {
    /// Whose votes this process gives.
    pub fn voter(&self) -> Voter {
        Voter {
            replica: self.replica,
            incarnation: self.incarnation,
        }
    }
}

/// The ballot of a proposal. No two proposals share one, since the run changes with each start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Rises with each attempt.
    pub round: u64,
    /// The proposer.
    pub proposer: ProcessId,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.proposer.replica)
    }
}

/// The id of a request. A process that restarts counts from the beginning: a late answer counts only for the very process
/// that has sent the request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// The process that has sent the request.
    pub requester: ProcessId,
    /// The number of the request in that process.
    pub number: u64,
}

/// A role that only one replica performs, for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SingletonRole {
    /// Reads the platform's list of servers.
    PlatformPoller,
    /// Keeps the shared counter.
    Counter,
}

impl SingletonRole {
    /// All roles.
    pub const ALL: [SingletonRole; 2] = [SingletonRole::PlatformPoller, SingletonRole::Counter];
}

impl fmt::Display for SingletonRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SingletonRole::PlatformPoller => "poll",
            SingletonRole::Counter => "count",
        })
    }
}

/// The term of a lease, and its holder or candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Rises with each holder.
    pub number: u64,
    /// The holder.
    pub holder: ProcessId,
}
