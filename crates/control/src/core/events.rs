//! Events of a replica that are worth a line of the log.

use std::fmt;
use std::net::SocketAddr;

use super::ids::{Incarnation, ReplicaId, SingletonRole};

/// An event of a replica. Its [`message`](Event::message) is fixed; the rest is logged as key-values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This replica was granted the lease on a role by a quorum.
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
    /// The newer incarnation was begun by this machine itself and never completed: this replica recovers.
    AbandonedIncarnation,
    /// No quorum can reach the newer incarnation of this replica any more: this replica recovers.
    IncarnationReclaimed,
    /// This replica has recovered its registers from the others and takes part in an incarnation of its own.
    RecoveryCompleted {
        /// The incarnation.
        incarnation: Incarnation,
        /// How many items were recovered.
        items: usize,
    },
    /// The disk rejects writes: this replica promises, accepts and grants nothing new.
    VotingSuspended,
    /// The disk accepts writes again.
    VotingResumed,
}

impl Event {
    /// The line of the log.
    pub fn message(&self) -> &'static str {
        match self {
            Event::RoleAcquired { .. } => "role acquired",
            Event::IncarnationObserved { .. } => "replica begins a new incarnation",
            Event::Superseded => "superseded by a newer incarnation of this replica",
            Event::AbandonedIncarnation => "newer incarnation was never completed, recovering",
            Event::IncarnationReclaimed => "newer incarnation is unreachable, recovering",
            Event::RecoveryCompleted { .. } => "recovery completed",
            Event::VotingSuspended => "disk rejects writes, voting suspended",
            Event::VotingResumed => "disk accepts writes, voting resumed",
        }
    }

    /// Whether operators wait for this line, so that it must not stay in the log's buffer.
    pub fn is_immediate(&self) -> bool {
        match self {
            Event::IncarnationObserved { .. }
            | Event::Superseded
            | Event::IncarnationReclaimed
            | Event::RecoveryCompleted { .. } => true,
            Event::RoleAcquired { .. }
            | Event::AbandonedIncarnation
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
