//! The status of the system as known to one replica, for operators: built from its own state alone, and bounded in
//! size. Operators' scripts read the JSON: renamed fields keep their keys by `serde` attributes.

use std::net::SocketAddr;

use protocol::messages::NodeState;
use serde::{Deserialize, Serialize};

use super::Replica;
use super::ids::{ReplicaId, SingletonRole};
use super::membership::LocatedMember;
use crate::limits;

/// The status of the system as known to one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The zone of the replica.
    pub zone: String,
    /// The version of the program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// The number of its incarnation; 0 while it recovers.
    pub incarnation: u32,
    /// The number of the process start within this incarnation, from 1.
    pub run: u32,
    /// Whether it votes and answers calls.
    #[serde(rename = "takes_part")]
    pub is_participant: bool,
    /// Whether another machine holds a newer incarnation of it.
    #[serde(rename = "replaced")]
    pub is_superseded: bool,
    /// Whether it is in contact with a quorum.
    #[serde(rename = "in_touch")]
    pub has_quorum_contact: bool,
    /// Whether its disk rejects writes.
    pub disk_full: bool,
    /// The number of items that it knows to be chosen, including removed ones.
    pub items: u32,
    /// The digest of their names and versions, in hexadecimal: equal at replicas that know the same items.
    pub digest: String,
    /// Whether it has known, at some time since its start, all items in force. Before that it tells agents that what they get may be a
    /// part.
    #[serde(default)]
    pub caught_up: bool,
    /// The number of accepted items that are not known to be chosen.
    #[serde(rename = "unfinished")]
    pub unconfirmed_items: usize,
    /// The version of the platform's list: the term of the poller, and the number of the list within it.
    #[serde(rename = "servers")]
    pub server_list_version: (u64, u64),
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The roles that one replica performs for all.
    #[serde(rename = "duties")]
    pub roles: Vec<RoleStatus>,
    /// The members, at most [`limits::MAX_LISTED_LIMITERS`] of them.
    pub limiters: Vec<LimiterStatus>,
    /// The number of further members that are not listed.
    #[serde(rename = "left_out")]
    pub omitted_limiters: usize,
}

/// A replica as known to another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its zone.
    pub zone: String,
    /// The number of its newest known incarnation; 0 for none.
    pub incarnation: u32,
    /// Its address, if known.
    pub address: Option<SocketAddr>,
    /// Whether a message of it was received recently; always true for the reporting replica itself.
    #[serde(rename = "heard")]
    pub is_reachable: bool,
}

/// A role as known to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// `poll` or `count`.
    #[serde(rename = "duty")]
    pub role: String,
    /// The zone of the replica that holds the lease; `None` while no holder is known.
    pub holder: Option<String>,
    /// The term of the lease; 0 without a holder.
    pub term: u64,
}

/// An edge, whose proxy and agent form one limiter, as known to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterStatus {
    /// The name of its machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The zone of the replica that its agent is linked to.
    pub replica: String,
    /// Whether its agent is linked. The lease of a disconnected one expires soon.
    #[serde(rename = "linked")]
    pub is_connected: bool,
    /// The state: `ready`, `leaving` or `away`.
    #[serde(rename = "standing")]
    pub state: String,
    /// The number of items that it has, if it is linked to the reporting replica and has reported them.
    pub items: Option<u32>,
    /// An upper bound of the time for which its items have differed from this replica's, in milliseconds; 0 if they are
    /// the same.
    #[serde(rename = "behind")]
    pub lag_ms: Option<i64>,
}

impl Status {
    /// The status as JSON, as sent to operators.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Replica {
    /// The status of the system as known to this replica.
    pub(super) fn status(&self, now: i64) -> Status {
        let local = self.table.local();
        let summary = self.chosen.summary();
        let members = self.membership.located_members();
        let limiters = members.iter().take(limits::MAX_LISTED_LIMITERS);
        let replicas = 0..self.table.replica_count() as ReplicaId;
        Status {
            zone: self.zone_name(local.replica),
            program_version: env!("CARGO_PKG_VERSION").to_string(),
            incarnation: local.incarnation.number,
            run: self.run,
            is_participant: self.table.is_participant(),
            is_superseded: self.table.is_superseded(),
            has_quorum_contact: self.table.has_quorum_contact(now),
            disk_full: self.disk.is_full,
            items: summary.items,
            digest: format!("{:016x}", summary.digest),
            caught_up: self.catch_up.has_been_up_to_date(),
            unconfirmed_items: self.pending.len(),
            server_list_version: self.server_list.version(),
            replicas: replicas.map(|id| self.replica_status(now, id)).collect(),
            roles: SingletonRole::ALL
                .map(|role| self.role_status(now, role))
                .into(),
            limiters: limiters
                .map(|located| self.limiter_status(now, located))
                .collect(),
            omitted_limiters: members.len().saturating_sub(limits::MAX_LISTED_LIMITERS),
        }
    }

    fn zone_name(&self, replica: ReplicaId) -> String {
        let zone = self.zones.get(usize::from(replica));
        zone.cloned().unwrap_or_default()
    }

    fn replica_status(&self, now: i64, replica: ReplicaId) -> ReplicaStatus {
        ReplicaStatus {
            zone: self.zone_name(replica),
            incarnation: self.table.newest_incarnation(replica).number,
            address: self.table.address(replica),
            is_reachable: self.table.is_reachable(now, replica),
        }
    }

    fn role_status(&self, now: i64, role: SingletonRole) -> RoleStatus {
        let acting = self.acting_term(now, role);
        let (holder, term) = match acting {
            Some(term) => (Some(self.table.local().replica), term),
            None => {
                let known = self.lease(role).known_holder(now);
                let holder = known.map(|term| term.holder.replica);
                (holder, known.map_or(0, |term| term.number))
            }
        };
        RoleStatus {
            role: role.to_string(),
            holder: holder.map(|replica| self.zone_name(replica)),
            term,
        }
    }

    fn limiter_status(&self, now: i64, located: &LocatedMember<'_>) -> LimiterStatus {
        let LocatedMember {
            reporter, member, ..
        } = located;
        let state = self.agents.agent_state(located.link);
        let state = state.filter(|_| reporter.is_none());
        let digest = self.chosen.summary().digest;
        LimiterStatus {
            node: member.node.name.clone(),
            zone: member.node.zone.clone(),
            replica: self.zone_name(reporter.unwrap_or(self.table.local().replica)),
            is_connected: member.is_connected,
            state: state_name(member.state).to_string(),
            items: state.map(|state| state.items),
            lag_ms: state.map(|state| state.lag_us(now, digest) / MICROS_PER_MILLI),
        }
    }
}

/// The name of a node's state in [`LimiterStatus::state`].
fn state_name(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "leaving",
        NodeState::Unavailable => "away",
    }
}

const MICROS_PER_MILLI: i64 = 1_000;

#[cfg(test)]
mod tests;
