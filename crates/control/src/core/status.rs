//! How a replica sees the system, for operators: told from what it holds, without asking anybody, and bounded.

use std::net::SocketAddr;

use protocol::messages::NodeState;
use serde::{Deserialize, Serialize};

use super::Replica;
use super::peer_messages::{ReplicaId, SingletonRole};
use crate::limits;

/// How one replica sees the system. Spans are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its zone.
    pub zone: String,
    /// The program's version.
    pub program: String,
    /// Its incarnation; 0 while it rebuilds.
    pub incarnation: u32,
    /// Starts of its process in this incarnation.
    pub run: u32,
    /// It votes and answers.
    pub takes_part: bool,
    /// Its replica has a newer incarnation: another machine stands for it.
    pub replaced: bool,
    /// More than half of the replicas are in touch with it.
    pub in_touch: bool,
    /// Its disk takes nothing.
    pub disk_full: bool,
    /// Items that are chosen, dropped ones included.
    pub items: u32,
    /// Their digest, by names and versions: the same where the same is known.
    pub digest: String,
    /// Items that were accepted and are not known to be chosen.
    pub unfinished: usize,
    /// The platform's list: the poller's term, and the list's number within it.
    pub servers: (u64, u64),
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The duties.
    pub duties: Vec<RoleStatus>,
    /// The limiters that are members.
    pub limiters: Vec<LimiterStatus>,
    /// Limiters that are not in the list, as it would be too long.
    pub left_out: usize,
}

/// A replica, as another one sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its zone.
    pub zone: String,
    /// Its newest incarnation; 0 is none.
    pub incarnation: u32,
    /// Where it is reached, as far as known.
    pub address: Option<SocketAddr>,
    /// It was heard of late; always so of the replica itself.
    pub heard: bool,
}

/// A duty, as a replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// `poll` or `count`.
    pub duty: String,
    /// The zone of who holds it; none while nobody is known to.
    pub holder: Option<String>,
    /// The term; 0 without a holder.
    pub term: u64,
}

/// A limiter with its agent, as a replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterStatus {
    /// Its machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The zone of the replica that its agent is linked to.
    pub replica: String,
    /// Its agent is linked now; else its lease runs out.
    pub linked: bool,
    /// `ready`, `leaving` or `away`.
    pub standing: String,
    /// Items that it holds, if it is linked to the replica that tells and has said so.
    pub items: Option<u32>,
    /// It has held less than this replica for so long at most; 0 if it holds the same.
    pub behind: Option<i64>,
}

impl Status {
    /// As it goes to operators.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Replica {
    /// How this replica sees the system.
    pub(super) fn status(&self, now: i64) -> Status {
        let me = self.table.local();
        let zone = |replica: ReplicaId| {
            self.zones
                .get(usize::from(replica))
                .cloned()
                .unwrap_or_default()
        };
        let (items, digest) = self.chosen.agent_digest();
        let replica = |at: usize| ReplicaStatus {
            zone: zone(at as ReplicaId),
            incarnation: self.table.newest_incarnation(at as ReplicaId).number,
            address: self.table.address(at as ReplicaId),
            heard: self.table.is_reachable(now, at as ReplicaId),
        };
        let duty = |(duty, word): (SingletonRole, &str)| {
            let own = self.acting_term(now, duty).map(|term| (me.replica, term));
            let known = self.role_leases[duty as usize]
                .known_holder(now)
                .map(|term| (term.holder.replica, term.number));
            let held = own.or(known);
            RoleStatus {
                duty: word.to_string(),
                holder: held.map(|(replica, _)| zone(replica)),
                term: held.map_or(0, |(_, term)| term),
            }
        };
        let members = self.membership.members_with_origin();
        let limiter =
            |(replica, link, told): &(Option<ReplicaId>, u64, &super::peer_messages::Member)| {
                let holding = self.agents.state(*link).filter(|_| replica.is_none());
                LimiterStatus {
                    node: told.node.name.clone(),
                    zone: told.node.zone.clone(),
                    replica: zone(replica.unwrap_or(me.replica)),
                    linked: told.connected,
                    standing: match told.state {
                        NodeState::Ready => "ready",
                        NodeState::Draining => "leaving",
                        NodeState::Unavailable => "away",
                    }
                    .to_string(),
                    items: holding.map(|holding| holding.items),
                    behind: holding.map(|holding| holding.behind(now, digest) / 1_000),
                }
            };
        Status {
            zone: zone(me.replica),
            program: env!("CARGO_PKG_VERSION").to_string(),
            incarnation: me.incarnation.number,
            run: self.run,
            takes_part: self.table.is_participant(),
            replaced: self.table.is_superseded(),
            in_touch: self.table.has_quorum_contact(now),
            disk_full: self.disk_full,
            items,
            digest: format!("{digest:016x}"),
            unfinished: self.pending.len(),
            servers: self.server_list.version(),
            replicas: (0..self.table.replica_count()).map(replica).collect(),
            duties: [
                (SingletonRole::PlatformPoller, "poll"),
                (SingletonRole::Counter, "count"),
            ]
            .map(duty)
            .into(),
            limiters: members
                .iter()
                .take(limits::MAX_LISTED_LIMITERS)
                .map(limiter)
                .collect(),
            left_out: members.len().saturating_sub(limits::MAX_LISTED_LIMITERS),
        }
    }
}

#[cfg(test)]
mod tests;
