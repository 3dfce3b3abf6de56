//! The identifiers of replicas, processes, proposals, requests and leases, and their orderings.
//!
//! Fields are encoded by position (`postcard`): their order is part of the wire format and of the stored data.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a replica: the position of its zone among all zones, sorted by name.
pub type ReplicaId = u8;

/// An incarnation of a replica: it lasts as long as the disk's contents, and a process with an empty disk begins a new
/// one. Incarnations are ordered; the nonce distinguishes two that begin with the same number at the same time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// The number; 0 for no incarnation.
    pub number: u32,
    /// A random number.
    pub nonce: u32,
}

impl Incarnation {
    /// No incarnation: the process has not recovered yet, and its votes are not counted.
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

/// A replica in one incarnation, as the originator of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Voter {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A process of a replica: its incarnation, and the number of the process start within it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProcessId {
    /// The replica.
    pub replica: ReplicaId,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The number of the process start within this incarnation, from 1.
    pub run: u32,
}

impl ProcessId {
    /// The voter on whose behalf this process votes.
    pub fn voter(&self) -> Voter {
        Voter {
            replica: self.replica,
            incarnation: self.incarnation,
        }
    }
}

/// The ballot of a proposal. Ballots are unique even across restarts, since `run` changes with each start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The round, increased with each attempt.
    pub round: u64,
    /// The proposer.
    pub proposer: ProcessId,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.proposer.replica)
    }
}

/// The id of a request. Numbers start over when a process restarts, so the id names the process as well: a late
/// response to a request of an earlier process must not match.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// The process that sent the request.
    pub requester: ProcessId,
    /// The number of the request within that process.
    pub number: u64,
}

/// A role that one replica at a time performs for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SingletonRole {
    /// Polls the platform's list of servers.
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
    /// The number, increased with each candidacy.
    pub number: u64,
    /// The holder or candidate.
    pub holder: ProcessId,
}
