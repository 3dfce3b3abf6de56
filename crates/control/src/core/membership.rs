//! Membership of the edges: each edge holds a lease at the replica to which its agent is linked, and is a member as
//! long as it renews the lease there. The replicas report their members to each other; an edge that no replica reports
//! is no member.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

use protocol::messages::{NodeInfo, NodeState};

use super::ids::ReplicaId;
use super::peer_messages::{Member, MembershipDelta, Payload};
use super::replicas::Sender;
use super::{Output, Replica};
use crate::limits;

/// The lease of an edge whose agent is, or was last, linked to this replica.
#[derive(Clone, Debug)]
struct MemberLease {
    member: Member,
    link: u64,
    renewed_at: i64,
}

impl MemberLease {
    fn is_valid(&self, now: i64) -> bool {
        now - self.renewed_at <= limits::MEMBER_LEASE_DURATION
    }

    fn precedence(&self) -> Precedence {
        Precedence {
            is_connected: self.member.is_connected,
            is_local: true,
            changed_at: 0,
        }
    }
}

/// The members that another replica reports.
#[derive(Clone, Debug, Default)]
struct PeerReport {
    members: BTreeMap<String, Member>,
    digest: u64,
    /// When the report last changed.
    changed_at: i64,
    /// When the other replica last confirmed the digest.
    confirmed_at: i64,
    /// When the complete list was last requested.
    requested_at: Option<i64>,
}

impl PeerReport {
    fn is_valid(&self, now: i64, has_quorum_contact: bool) -> bool {
        let duration = if has_quorum_contact {
            limits::MEMBER_LEASE_DURATION
        } else {
            limits::MEMBER_LEASE_DURATION_WITHOUT_QUORUM
        };
        now - self.confirmed_at <= duration
    }

    fn precedence(&self, member: &Member) -> Precedence {
        Precedence {
            is_connected: member.is_connected,
            is_local: false,
            changed_at: self.changed_at,
        }
    }

    /// Applies a delta whose `digest_before` is the digest of this report.
    fn apply(&mut self, now: i64, delta: &MembershipDelta) {
        for name in &delta.removed_names {
            if let Some(removed) = self.members.remove(name) {
                self.digest ^= member_digest(&removed);
            }
        }
        for member in &delta.changed_members {
            let name = member.node.name.clone();
            let replaced = self.members.insert(name, member.clone());
            self.digest ^= member_digest(member) ^ replaced.as_ref().map_or(0, member_digest);
        }
        self.changed_at = now;
        self.confirmed_at = now;
    }
}

/// The precedence of a report of an edge: of several, the one with the greatest precedence is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// The edge's agent is linked to the replica that reports it.
    is_connected: bool,
    /// The edge holds its lease at this replica.
    is_local: bool,
    /// When the report was last changed.
    changed_at: i64,
}

/// A member, and the place of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocatedMember<'a> {
    /// The replica that reports it; `None` for this replica itself.
    pub reporter: Option<ReplicaId>,
    /// The agent's link if the lease is held at this replica, otherwise 0.
    pub link: u64,
    /// The member.
    pub member: &'a Member,
}

/// The outcome of a delta of another replica's members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// No further step is needed: the delta was applied or already known, or the list was requested recently.
    Applied,
    /// The delta was applied, and the local members have an unannounced change.
    LocalMembersChanged,
    /// An earlier delta was missed: the complete list must be requested.
    ListNeeded,
}

/// The numbers of serving edges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServingCounts {
    /// In all zones.
    pub total: u32,
    /// In one zone.
    pub in_zone: u32,
}

/// The local members as last announced to the other replicas.
#[derive(Clone, Debug, Default)]
struct Announced {
    members: BTreeMap<String, Member>,
    digest: u64,
}

/// The members as known to one replica. Edges are identified by the names of their machines.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    local_leases: BTreeMap<String, MemberLease>,
    /// The edge of each agent's link; for a while an agent may have two links.
    links: BTreeMap<u64, NodeInfo>,
    reports: BTreeMap<ReplicaId, PeerReport>,
    /// The replicas that report each edge, so that a change need not be looked up in all reports.
    reporters: BTreeMap<String, BTreeSet<ReplicaId>>,
    /// The digest of the local members.
    digest: u64,
    last_announced: Announced,
    /// Edges that serve or served recently, and when each was last known to serve.
    recently_serving: BTreeMap<String, i64>,
    /// Edges that have not reported yet that they serve.
    not_yet_ready: BTreeSet<String>,
    /// Edges that served and report that they no longer do.
    departed: BTreeSet<String>,
    serving: ServingNodes,
}

/// The serving edges with their zones, and their number in each zone. They are kept up to date incrementally, since
/// they are read often.
#[derive(Clone, Debug, Default)]
struct ServingNodes {
    nodes: BTreeMap<String, String>,
    zones: BTreeMap<String, u32>,
}

impl ServingNodes {
    /// Sets the zone in which an edge serves; `None` if it does not serve.
    fn set_zone(&mut self, name: &str, zone: Option<&str>) {
        if self.nodes.get(name).map(String::as_str) == zone {
            return;
        }
        let previous_zone = match zone {
            Some(zone) => {
                *self.zones.entry(zone.to_string()).or_default() += 1;
                self.nodes.insert(name.to_string(), zone.to_string())
            }
            None => self.nodes.remove(name),
        };
        if let Some(count) = previous_zone.and_then(|zone| self.zones.get_mut(&zone)) {
            *count -= 1;
        }
    }
}

fn member_digest(member: &Member) -> u64 {
    let mut hasher = DefaultHasher::new();
    // Encoding a member does not fail; if it did, the digest would merely coincide with that of other such members.
    hasher.write(&postcard::to_allocvec(member).unwrap_or_default());
    hasher.finish()
}

/// The digest of a list, independent of its order; 0 for an empty one.
fn list_digest<'a>(members: impl Iterator<Item = &'a Member>) -> u64 {
    members.fold(0, |digest, member| digest ^ member_digest(member))
}

impl Membership {
    /// The edges whose leases are held at this replica.
    pub fn local_members(&self) -> Vec<Member> {
        let leases = self.local_leases.values();
        leases.map(|lease| lease.member.clone()).collect()
    }

    /// The digest of the local members.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether the local members differ from those announced to the other replicas.
    fn has_unannounced_change(&self) -> bool {
        self.digest != self.last_announced.digest
    }

    /// Adds, replaces or removes a lease, and keeps the digest up to date.
    fn set_lease(&mut self, name: &str, lease: Option<MemberLease>) {
        let digest_of = |lease: &MemberLease| member_digest(&lease.member);
        self.digest ^= lease.as_ref().map_or(0, digest_of);
        let replaced = match lease {
            Some(lease) => self.local_leases.insert(name.to_string(), lease),
            None => self.local_leases.remove(name),
        };
        self.digest ^= replaced.as_ref().map_or(0, digest_of);
    }

    /// Returns the changes of the local members since they were last announced, if any, and marks them as announced.
    pub fn take_delta(&mut self) -> Option<MembershipDelta> {
        if !self.has_unannounced_change() {
            return None;
        }
        let announced = &mut self.last_announced;
        let changed_leases = self.local_leases.iter();
        let changed_leases = changed_leases
            .filter(|(name, lease)| announced.members.get(*name) != Some(&lease.member));
        let changed_members: Vec<Member> = changed_leases
            .map(|(_, lease)| lease.member.clone())
            .collect();
        let removed_names = announced.members.keys();
        let removed_names = removed_names.filter(|name| !self.local_leases.contains_key(*name));
        let removed_names: Vec<String> = removed_names.cloned().collect();
        for name in &removed_names {
            announced.members.remove(name);
        }
        for member in &changed_members {
            let name = member.node.name.clone();
            announced.members.insert(name, member.clone());
        }
        Some(MembershipDelta {
            digest_before: std::mem::replace(&mut announced.digest, self.digest),
            digest_after: self.digest,
            changed_members,
            removed_names,
        })
    }

    /// An agent has reported to which edge it belongs. Returns whether the local members have an unannounced change.
    pub fn handle_hello(&mut self, now: i64, link: u64, node: NodeInfo) -> bool {
        // An edge that moves here from another replica keeps its state until its agent reports another one.
        let known = self.best_report(&node.name);
        let known = known.filter(|member| member.node == node);
        let state = known.map(|member| member.state).unwrap_or_default();
        self.links.insert(link, node.clone());
        self.renew(now, link, node, state)
    }

    /// An agent has renewed its lease. Returns whether the local members have an unannounced change.
    pub fn handle_heartbeat(&mut self, now: i64, link: u64, state: NodeState) -> bool {
        let Some(node) = self.links.get(&link).cloned() else {
            return false;
        };
        // If an agent has two links, it sends heartbeats on the one that it keeps.
        if let Some(lease) = self.local_leases.get_mut(&node.name) {
            let member = &lease.member;
            if member.is_connected && member.state == state && member.node == node {
                lease.link = link;
                lease.renewed_at = now;
                return false;
            }
        }
        self.renew(now, link, node, state)
    }

    fn renew(&mut self, now: i64, link: u64, node: NodeInfo, state: NodeState) -> bool {
        let name = node.name.clone();
        let member = Member {
            node,
            state,
            is_connected: true,
        };
        let lease = MemberLease {
            member,
            link,
            renewed_at: now,
        };
        self.set_lease(&name, Some(lease));
        self.update_serving(&name);
        self.has_unannounced_change()
    }

    /// An agent's link was closed; its lease remains until it expires. Returns whether the local members have an
    /// unannounced change.
    pub fn handle_disconnect(&mut self, link: u64) -> bool {
        let node = self.links.remove(&link);
        let lease = node.and_then(|node| self.local_leases.get(&node.name));
        let Some(mut lease) = lease.filter(|lease| lease.link == link).cloned() else {
            return false;
        };
        lease.member.is_connected = false;
        let name = lease.member.node.name.clone();
        self.set_lease(&name, Some(lease));
        self.update_serving(&name);
        self.has_unannounced_change()
    }

    /// Removes expired leases and reports. Returns whether the local members have an unannounced change.
    pub fn expire_leases(&mut self, now: i64, has_quorum_contact: bool) -> bool {
        self.expire_reports(now, has_quorum_contact);
        let expired = self
            .local_leases
            .iter()
            .filter(|(_, lease)| !lease.is_valid(now));
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.set_lease(&name, None);
        }
        let unavailable = self.rebuild_serving();
        self.update_recently_serving(now, has_quorum_contact, &unavailable);
        self.has_unannounced_change()
    }

    fn expire_reports(&mut self, now: i64, has_quorum_contact: bool) {
        let reports = self.reports.iter();
        let expired = reports.filter(|(_, report)| !report.is_valid(now, has_quorum_contact));
        for replica in expired.map(|(replica, _)| *replica).collect::<Vec<_>>() {
            let report = self.reports.remove(&replica).unwrap_or_default();
            for name in report.members.keys() {
                self.remove_reporter(replica, name);
            }
        }
    }

    /// Recomputes which edges serve. Returns the edges that report that they do not.
    fn rebuild_serving(&mut self) -> BTreeSet<String> {
        let mut serving = ServingNodes::default();
        let mut unavailable = BTreeSet::new();
        for member in self.all_members() {
            let name = &member.node.name;
            match member.state {
                NodeState::Unavailable => _ = unavailable.insert(name.clone()),
                NodeState::Ready | NodeState::Draining => {
                    serving.set_zone(name, Some(&member.node.zone))
                }
            }
        }
        self.serving = serving;
        unavailable
    }

    /// Updates which edges may still use their slices of quotas although no replica reports them any more.
    fn update_recently_serving(
        &mut self,
        now: i64,
        has_quorum_contact: bool,
        unavailable: &BTreeSet<String>,
    ) {
        let recently_serving = &mut self.recently_serving;
        let newly_departed = unavailable.iter();
        let newly_departed = newly_departed.filter(|name| recently_serving.contains_key(*name));
        self.departed.extend(newly_departed.cloned());
        self.departed.retain(|name| unavailable.contains(name));
        // An edge that becomes silent before it has reported that it serves may be serving by now, and use its slices.
        for name in &self.not_yet_ready {
            if !unavailable.contains(name) && !self.serving.nodes.contains_key(name) {
                recently_serving.insert(name.clone(), now);
            }
        }
        self.not_yet_ready = unavailable.difference(&self.departed).cloned().collect();
        for name in self.serving.nodes.keys() {
            recently_serving.insert(name.clone(), now);
        }
        if !has_quorum_contact {
            // Edges unknown here may keep serving while linked to other replicas. If agents were sent a lower number of
            // limiters, they would take larger slices of quotas while those edges keep using theirs.
            recently_serving
                .values_mut()
                .for_each(|serving_at| *serving_at = now);
        }
        // An edge that reports that it no longer serves uses no slice any more.
        recently_serving.retain(|name, serving_at| {
            now - *serving_at <= limits::RECENTLY_SERVING_DURATION && !unavailable.contains(name)
        });
    }

    /// Another replica has sent all its members. Returns whether the local members have an unannounced change.
    pub fn handle_member_list(
        &mut self,
        now: i64,
        replica: ReplicaId,
        members: Vec<Member>,
    ) -> bool {
        self.release_moved_leases(&members);
        let digest = list_digest(members.iter());
        let by_name = members.into_iter();
        let by_name = by_name.map(|member| (member.node.name.clone(), member));
        let report = PeerReport {
            members: by_name.collect(),
            digest,
            changed_at: now,
            confirmed_at: now,
            requested_at: None,
        };
        let names: Vec<String> = report.members.keys().cloned().collect();
        let replaced = self.reports.insert(replica, report).unwrap_or_default();
        for name in replaced.members.keys() {
            self.remove_reporter(replica, name);
        }
        for name in &names {
            self.add_reporter(replica, name);
        }
        for name in names.iter().chain(replaced.members.keys()) {
            self.update_serving(name);
        }
        self.has_unannounced_change()
    }

    /// Another replica has sent the changes of its members.
    pub fn handle_delta(
        &mut self,
        now: i64,
        replica: ReplicaId,
        delta: MembershipDelta,
    ) -> DeltaOutcome {
        let report = self.reports.entry(replica).or_default();
        if report.digest == delta.digest_after {
            report.confirmed_at = now;
            return DeltaOutcome::Applied;
        }
        if report.digest != delta.digest_before {
            return if self.should_request_list(now, replica) {
                DeltaOutcome::ListNeeded
            } else {
                DeltaOutcome::Applied
            };
        }
        report.apply(now, &delta);
        for name in &delta.removed_names {
            self.remove_reporter(replica, name);
        }
        for member in &delta.changed_members {
            self.add_reporter(replica, &member.node.name);
        }
        self.release_moved_leases(&delta.changed_members);
        let changed = delta.changed_members.iter().map(|member| &member.node.name);
        for name in changed.chain(&delta.removed_names) {
            self.update_serving(name);
        }
        if self.has_unannounced_change() {
            DeltaOutcome::LocalMembersChanged
        } else {
            DeltaOutcome::Applied
        }
    }

    /// Releases the leases of edges whose agents are no longer linked here but to another replica.
    fn release_moved_leases(&mut self, members: &[Member]) {
        for member in members.iter().filter(|member| member.is_connected) {
            let name = &member.node.name;
            let lease = self.local_leases.get(name);
            if lease.is_some_and(|lease| !lease.member.is_connected) {
                self.set_lease(name, None);
            }
        }
    }

    /// Another replica has sent the digest of its members. Returns whether to request its list now.
    pub fn handle_digest(&mut self, now: i64, replica: ReplicaId, digest: u64) -> bool {
        let report = self.reports.entry(replica).or_default();
        if report.digest == digest {
            report.confirmed_at = now;
            return false;
        }
        self.should_request_list(now, replica)
    }

    /// Whether to request the list of a replica whose members differ from its report now. If so, records the request.
    fn should_request_list(&mut self, now: i64, replica: ReplicaId) -> bool {
        let report = self.reports.entry(replica).or_default();
        let is_due = report
            .requested_at
            .is_none_or(|requested_at| now - requested_at >= limits::SYNC_REQUEST_INTERVAL);
        if is_due {
            report.requested_at = Some(now);
            // The report must not expire before the response arrives.
            let min_confirmed_at = now - limits::MEMBER_LEASE_DURATION / 2;
            report.confirmed_at = report.confirmed_at.max(min_confirmed_at);
        }
        is_due
    }

    /// The number of edges that serve or served recently: partitioned edges keep using their slices of quotas.
    pub fn recently_serving_count(&self) -> usize {
        self.recently_serving.len()
    }

    /// The numbers of edges that serve in total and in a zone.
    pub fn serving_counts(&self, zone: &str) -> ServingCounts {
        ServingCounts {
            total: self.serving.nodes.len() as u32,
            in_zone: self.serving.zones.get(zone).copied().unwrap_or_default(),
        }
    }

    fn add_reporter(&mut self, replica: ReplicaId, name: &str) {
        let reporters = self.reporters.entry(name.to_string()).or_default();
        reporters.insert(replica);
    }

    fn remove_reporter(&mut self, replica: ReplicaId, name: &str) {
        if let Some(reporters) = self.reporters.get_mut(name) {
            reporters.remove(&replica);
            if reporters.is_empty() {
                self.reporters.remove(name);
            }
        }
    }

    /// Recomputes whether an edge serves, after a change of its reports.
    fn update_serving(&mut self, name: &str) {
        let member = self.best_report(name);
        let serving = member.filter(|member| member.state != NodeState::Unavailable);
        let zone = serving.map(|member| member.node.zone.clone());
        self.serving.set_zone(name, zone.as_deref());
    }

    /// The report of an edge with the highest precedence, as in [`Membership::all_members`].
    fn best_report(&self, name: &str) -> Option<&Member> {
        let local = self.local_leases.get(name);
        let local = local.map(|lease| (lease.precedence(), &lease.member));
        let reporters = self.reporters.get(name).into_iter().flatten();
        let reported = reporters.filter_map(|replica| {
            let report = self.reports.get(replica)?;
            let member = report.members.get(name)?;
            Some((report.precedence(member), member))
        });
        let best = local.into_iter().chain(reported);
        let best = best.max_by_key(|(precedence, _)| *precedence);
        best.map(|(_, member)| member)
    }

    /// All members, each as in the report with the highest precedence.
    pub fn all_members(&self) -> Vec<&Member> {
        let located = self.located_members().into_iter();
        located.map(|located| located.member).collect()
    }

    /// The members whose leases and reports are valid at `now`, even if a process that stalled has not removed the
    /// expired ones yet.
    pub fn valid_members(&self, now: i64, has_quorum_contact: bool) -> Vec<&Member> {
        let located = self.located_members_where(
            |lease| lease.is_valid(now),
            |report| report.is_valid(now, has_quorum_contact),
        );
        located.into_iter().map(|located| located.member).collect()
    }

    /// All members, each with the place of its lease.
    pub fn located_members(&self) -> Vec<LocatedMember<'_>> {
        self.located_members_where(|_| true, |_| true)
    }

    fn located_members_where(
        &self,
        is_valid_lease: impl Fn(&MemberLease) -> bool,
        is_valid_report: impl Fn(&PeerReport) -> bool,
    ) -> Vec<LocatedMember<'_>> {
        let local = self
            .local_leases
            .values()
            .filter(|lease| is_valid_lease(lease));
        let local = local.map(|lease| {
            let located = LocatedMember {
                reporter: None,
                link: lease.link,
                member: &lease.member,
            };
            (lease.precedence(), located)
        });
        let reports = self.reports.iter();
        let reports = reports.filter(|(_, report)| is_valid_report(report));
        let reported = reports.flat_map(|(replica, report)| {
            report.members.values().map(move |member| {
                let located = LocatedMember {
                    reporter: Some(*replica),
                    link: 0,
                    member,
                };
                (report.precedence(member), located)
            })
        });
        let mut best = BTreeMap::new();
        for (precedence, located) in local.chain(reported) {
            let name = located.member.node.name.as_str();
            let entry = best.entry(name).or_insert((precedence, located));
            if entry.0 < precedence {
                *entry = (precedence, located);
            }
        }
        best.into_values().map(|(_, located)| located).collect()
    }
}

impl Replica {
    /// Sends all local members to a replica.
    pub(super) fn send_member_list(&self, to: SocketAddr, out: &mut Vec<Output>) {
        let members = self.membership.local_members();
        self.send(vec![to], Payload::MemberList(members), out);
    }

    /// Another replica has sent all its members.
    pub(super) fn handle_member_list(
        &mut self,
        now: i64,
        sender: Sender,
        members: Vec<Member>,
        out: &mut Vec<Output>,
    ) {
        let replica = sender.replica();
        if self.membership.handle_member_list(now, replica, members) {
            self.broadcast_membership(out);
        }
    }

    /// Another replica has sent the changes of its members.
    pub(super) fn handle_membership_delta(
        &mut self,
        now: i64,
        sender: Sender,
        delta: MembershipDelta,
        out: &mut Vec<Output>,
    ) {
        match self.membership.handle_delta(now, sender.replica(), delta) {
            DeltaOutcome::Applied => {}
            DeltaOutcome::LocalMembersChanged => self.broadcast_membership(out),
            DeltaOutcome::ListNeeded => {
                self.send(vec![sender.address], Payload::MemberListRequest, out)
            }
        }
    }

    /// Sends the changes of the local members, if any, to the other replicas.
    pub(super) fn broadcast_membership(&mut self, out: &mut Vec<Output>) {
        if let Some(delta) = self.membership.take_delta() {
            self.broadcast(Payload::MembershipDelta(delta), out);
        }
    }
}

#[cfg(test)]
mod tests;
