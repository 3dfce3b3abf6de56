//! Events of a replica that are logged.

use std::fmt;
use std::net::SocketAddr;

use super::ids::{Incarnation, ReplicaId, SingletonRole};

/// An event of a replica. Its [`message`](Event::message) is a fixed text; its fields are logged as key-value pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A quorum granted this replica the lease on a role.
    RoleAcquired {
        /// The role.
        role: SingletonRole,
        /// The term of the lease.
        term: u64,
    },
    /// Another replica lost its disk and begins a new incarnation.
    IncarnationObserved {
        /// The other replica.
        replica: ReplicaId,
        /// Its new incarnation.
        incarnation: Incarnation,
        /// Its address.
        peer: SocketAddr,
    },
    /// Another machine holds a newer incarnation of this replica.
    Superseded,
    /// This machine itself began the newer incarnation and never completed it: this replica recovers again.
    AbandonedIncarnation,
    /// A quorum reports that the newer incarnation of this replica is unreachable: this replica recovers.
    IncarnationReclaimed,
    /// This replica has recovered its registers from the others and participates under a new incarnation.
    RecoveryCompleted {
        /// The incarnation.
        incarnation: Incarnation,
        /// The number of recovered items.
        items: usize,
    },
    /// A quorum read has shown that this replica knows all items in force.
    CaughtUp {
        /// The number of known items, removed ones included.
        items: usize,
    },
    /// An agent is sent the known items before this replica has caught up for the first time: any item may be missing.
    PartialTransfer {
        /// The agent's link.
        link: u64,
        /// The number of known items, removed ones included.
        items: usize,
    },
    /// The disk rejects writes: this replica makes no new promises, acceptances or lease grants.
    VotingSuspended,
    /// The disk accepts writes again.
    VotingResumed,
}

impl Event {
    /// The text of the log line.
    pub fn message(&self) -> &'static str {
        match self {
            Event::RoleAcquired { .. } => "role acquired",
            Event::IncarnationObserved { .. } => "replica begins a new incarnation",
            Event::Superseded => "superseded by a newer incarnation of this replica",
            Event::AbandonedIncarnation => "newer incarnation was never completed, recovering",
            Event::IncarnationReclaimed => "newer incarnation is unreachable, recovering",
            Event::RecoveryCompleted { .. } => "recovery completed",
            Event::CaughtUp { .. } => "caught up with all items in force",
            Event::PartialTransfer { .. } => {
                "items sent to an agent before this replica has caught up"
            }
            Event::VotingSuspended => "disk rejects writes, voting suspended",
            Event::VotingResumed => "disk accepts writes, voting resumed",
        }
    }

    /// Whether the log line must be flushed at once, since operators wait for it.
    pub fn is_immediate(&self) -> bool {
        match self {
            Event::IncarnationObserved { .. }
            | Event::Superseded
            | Event::IncarnationReclaimed
            | Event::RecoveryCompleted { .. } => true,
            Event::RoleAcquired { .. }
            | Event::AbandonedIncarnation
            | Event::CaughtUp { .. }
            | Event::PartialTransfer { .. }
            | Event::VotingSuspended
            | Event::VotingResumed => false,
        }
    }
}

impl slog::KV for Event {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        match self {
            Event::RoleAcquired { role, term } => {
                serializer.emit_arguments("role", &format_args!("{role}"))?;
                serializer.emit_u64("term", *term)
            }
            Event::IncarnationObserved {
                replica,
                incarnation,
                peer,
            } => {
                serializer.emit_u8("replica", *replica)?;
                serializer.emit_u32("incarnation", incarnation.number)?;
                serializer.emit_arguments("peer", &format_args!("{peer}"))
            }
            Event::RecoveryCompleted { incarnation, items } => {
                serializer.emit_u32("incarnation", incarnation.number)?;
                serializer.emit_usize("items", *items)
            }
            Event::CaughtUp { items } => serializer.emit_usize("items", *items),
            Event::PartialTransfer { link, items } => {
                serializer.emit_u64("link", *link)?;
                serializer.emit_usize("items", *items)
            }
            Event::Superseded
            | Event::AbandonedIncarnation
            | Event::IncarnationReclaimed
            | Event::VotingSuspended
            | Event::VotingResumed => Ok(()),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}
