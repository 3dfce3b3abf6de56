//! The edges: each holds a lease at the replica that its agent is linked to and is a member while it renews it there. Replicas
//! tell each other whom they hold; who is heard nowhere is out.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use protocol::messages::{NodeInfo, NodeState};

use super::peer_messages::{Member, MembershipDelta, ReplicaId};
use crate::limits;

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
}

#[derive(Clone, Debug, Default)]
struct PeerReport {
    members: BTreeMap<String, Member>,
    digest: u64,
    /// The list came then...
    changed_at: i64,
    /// ...and was last confirmed then.
    confirmed_at: i64,
    /// It was asked for then.
    requested_at: Option<i64>,
}

impl PeerReport {
    fn is_valid(&self, now: i64, in_touch: bool) -> bool {
        now - self.confirmed_at
            <= if in_touch {
                limits::MEMBER_LEASE_DURATION
            } else {
                limits::MEMBER_LEASE_DURATION_WITHOUT_QUORUM
            }
    }
}

/// The members as one replica sees them.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    local: BTreeMap<String, MemberLease>,
    /// Who spoke first on each link: an agent may have two for a while.
    links: BTreeMap<u64, NodeInfo>,
    reports: BTreeMap<ReplicaId, PeerReport>,
    /// The replicas that tell of each machine: few do, and looking at all for each change would grow with the replicas.
    reporters: BTreeMap<String, BTreeSet<ReplicaId>>,
    digest: u64,
    /// The own list as the others were told it last, and its digest.
    announced: (BTreeMap<String, Member>, u64),
    /// Edges that served, and when that was last so.
    recently_serving: BTreeMap<String, i64>,
    /// Edges that have not said yet that they serve...
    starting: BTreeSet<String>,
    /// ...and those that served and say that they do no more.
    left: BTreeSet<String>,
    serving: ServingNodes,
}

/// The machines that serve, with their zones, and how many in each: kept as it changes, as it is asked often.
#[derive(Clone, Debug, Default)]
struct ServingNodes {
    nodes: BTreeMap<String, String>,
    zones: BTreeMap<String, u32>,
}

impl ServingNodes {
    /// A machine serves in a zone, or does not serve.
    fn set(&mut self, node: &str, zone: Option<&str>) {
        if self.nodes.get(node).map(String::as_str) == zone {
            return;
        }
        let old = match zone {
            Some(zone) => {
                *self.zones.entry(zone.to_string()).or_default() += 1;
                self.nodes.insert(node.to_string(), zone.to_string())
            }
            None => self.nodes.remove(node),
        };
        if let Some(count) = old.and_then(|old| self.zones.get_mut(&old)) {
            *count -= 1;
        }
    }
}

fn member_digest(told: &Member) -> u64 {
    let mut hasher = DefaultHasher::new();
    // One always has a form; without, its digest would only be that of another one.
    hasher.write(&postcard::to_allocvec(told).unwrap_or_default());
    hasher.finish()
}

/// The digest of a list, whatever its order; of an empty one it is 0.
fn digest<'a>(list: impl Iterator<Item = &'a Member>) -> u64 {
    list.fold(0, |all, told| all ^ member_digest(told))
}

impl Membership {
    /// The edges linked here.
    pub fn local_members(&self) -> Vec<Member> {
        self.local
            .values()
            .map(|lease| lease.member.clone())
            .collect()
    }

    /// Digest of these.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives whether the list is another one than the others were told.
    fn has_unannounced_change(&self) -> bool {
        self.digest != self.announced.1
    }

    /// Takes a lease in, or out. The digest goes along: it is asked for with every change.
    fn set_lease(&mut self, node: &str, lease: Option<MemberLease>) -> Option<MemberLease> {
        let new = lease
            .as_ref()
            .map_or(0, |lease| member_digest(&lease.member));
        let old = match lease {
            Some(lease) => self.local.insert(node.to_string(), lease),
            None => self.local.remove(node),
        };
        self.digest ^= new ^ old.as_ref().map_or(0, |old| member_digest(&old.member));
        old
    }

    /// What the other replicas are to be told, if the own list is another one than they were told last.
    pub fn take_delta(&mut self) -> Option<MembershipDelta> {
        let (last, before) = &mut self.announced;
        if *before == self.digest {
            return None;
        }
        let told = self
            .local
            .iter()
            .filter(|(node, lease)| last.get(*node) != Some(&lease.member));
        let told: Vec<Member> = told.map(|(_, lease)| lease.member.clone()).collect();
        let gone: Vec<String> = last
            .keys()
            .filter(|node| !self.local.contains_key(*node))
            .cloned()
            .collect();
        let moved = MembershipDelta {
            digest_before: *before,
            digest_after: self.digest,
            changed: told,
            removed: gone,
        };
        moved.removed.iter().for_each(|node| _ = last.remove(node));
        last.extend(
            moved
                .changed
                .iter()
                .map(|told| (told.node.name.clone(), told.clone())),
        );
        *before = self.digest;
        Some(moved)
    }

    /// An agent has said who it is. Gives whether the list is another one.
    pub fn handle_hello(&mut self, now: i64, link: u64, edge: NodeInfo) -> bool {
        // An agent that comes from another replica stands as it stood there until it says more.
        let known = self
            .best_report(&edge.name)
            .filter(|told| told.node == edge)
            .map(|told| told.state);
        let standing = known.unwrap_or_default();
        self.links.insert(link, edge.clone());
        let told = Member {
            node: edge,
            state: standing,
            connected: true,
        };
        let node = told.node.name.clone();
        self.set_lease(
            &node,
            Some(MemberLease {
                member: told,
                link,
                renewed_at: now,
            }),
        );
        self.update_serving(&node);
        self.has_unannounced_change()
    }

    /// An agent has renewed its lease. Gives whether the list is another one.
    pub fn handle_heartbeat(&mut self, now: i64, link: u64, standing: NodeState) -> bool {
        let Some(edge) = self.links.get(&link).cloned() else {
            return false;
        };
        // The agent beats on the link that it keeps, whichever spoke last; and where it beats, it is.
        let same = |lease: &&mut MemberLease| {
            lease.member.connected && lease.member.state == standing && lease.member.node == edge
        };
        if let Some(lease) = self.local.get_mut(&edge.name).filter(same) {
            (lease.link, lease.renewed_at) = (link, now);
            return false;
        }
        let node = edge.name.clone();
        let told = Member {
            node: edge,
            state: standing,
            connected: true,
        };
        self.set_lease(
            &node,
            Some(MemberLease {
                member: told,
                link,
                renewed_at: now,
            }),
        );
        self.update_serving(&node);
        self.has_unannounced_change()
    }

    /// An agent's link is gone; its lease runs on. Gives whether the list is another one.
    pub fn handle_disconnect(&mut self, link: u64) -> bool {
        let edge = self.links.remove(&link);
        let held = edge
            .and_then(|edge| self.local.get(&edge.name))
            .filter(|lease| lease.link == link);
        let Some(mut lease) = held.cloned() else {
            return false;
        };
        lease.member.connected = false;
        let node = lease.member.node.name.clone();
        self.set_lease(&node, Some(lease));
        self.update_serving(&node);
        self.has_unannounced_change()
    }

    /// Drops the leases that have run out. Gives whether the own list is another one.
    pub fn expire_leases(&mut self, now: i64, in_touch: bool) -> bool {
        let silent = self
            .reports
            .iter()
            .filter(|(_, hearsay)| !hearsay.is_valid(now, in_touch));
        for replica in silent.map(|(replica, _)| *replica).collect::<Vec<_>>() {
            let gone = self.reports.remove(&replica).unwrap_or_default();
            gone.members
                .keys()
                .for_each(|node| self.set_reporter(replica, node, false));
        }
        let over = self.local.iter().filter(|(_, lease)| !lease.is_valid(now));
        let over: Vec<String> = over.map(|(node, _)| node.clone()).collect();
        over.iter().for_each(|node| _ = self.set_lease(node, None));
        let mut serving = ServingNodes::default();
        let mut away = BTreeSet::new();
        for told in self.all_members() {
            let (node, zone) = (&told.node.name, &told.node.zone);
            match told.state {
                NodeState::Unavailable => _ = away.insert(node.clone()),
                NodeState::Ready | NodeState::Draining => serving.set(node, Some(zone)),
            }
        }
        self.serving = serving;
        self.left.extend(
            away.iter()
                .filter(|node| self.recently_serving.contains_key(*node))
                .cloned(),
        );
        self.left.retain(|node| away.contains(node));
        // Danger: one that falls silent before it has said that it serves may serve by then, and use its slices.
        let heard = |node: &String| away.contains(node) || self.serving.nodes.contains_key(node);
        let silent: Vec<String> = self
            .starting
            .iter()
            .filter(|node| !heard(node))
            .cloned()
            .collect();
        self.recently_serving
            .extend(silent.into_iter().map(|node| (node, now)));
        self.starting = away.difference(&self.left).cloned().collect();
        self.recently_serving
            .extend(self.serving.nodes.keys().map(|node| (node.clone(), now)));
        if !in_touch {
            // Danger: those that are heard no more may serve on beside other replicas. Agents that are told a lower number
            // take larger slices of quotas, and the others go on with theirs.
            self.recently_serving.values_mut().for_each(|at| *at = now);
        }
        // Who says that it leaves uses no slice any more.
        self.recently_serving.retain(|node, at| {
            now - *at <= limits::RECENTLY_SERVING_DURATION && !away.contains(node)
        });
        self.has_unannounced_change()
    }

    /// A replica has told whom it holds. Gives whether the own list is another one.
    pub fn handle_member_list(&mut self, now: i64, replica: ReplicaId, list: Vec<Member>) -> bool {
        self.release_moved(&list);
        let digest = digest(list.iter());
        let list: BTreeMap<String, Member> = list
            .into_iter()
            .map(|told| (told.node.name.clone(), told))
            .collect();
        let nodes: Vec<String> = list.keys().cloned().collect();
        let new = PeerReport {
            members: list,
            digest,
            changed_at: now,
            confirmed_at: now,
            requested_at: None,
        };
        let old = self.reports.insert(replica, new).unwrap_or_default();
        old.members
            .keys()
            .for_each(|node| self.set_reporter(replica, node, false));
        nodes
            .iter()
            .for_each(|node| self.set_reporter(replica, node, true));
        nodes
            .iter()
            .chain(old.members.keys())
            .for_each(|node| self.update_serving(node));
        self.has_unannounced_change()
    }

    /// A replica has told what has changed of whom it holds. Gives whether the own list is another one; nothing where a
    /// telling before it was missed, and the whole is to be asked for.
    pub fn handle_delta(
        &mut self,
        now: i64,
        replica: ReplicaId,
        moved: MembershipDelta,
    ) -> Option<bool> {
        let hearsay = self.reports.entry(replica).or_default();
        if hearsay.digest == moved.digest_after {
            hearsay.confirmed_at = now;
            return Some(false);
        }
        if hearsay.digest != moved.digest_before {
            return if self.should_request_list(now, replica) {
                None
            } else {
                Some(false)
            };
        }
        let gone = moved
            .removed
            .iter()
            .filter_map(|node| hearsay.members.remove(node));
        let digest = gone.fold(hearsay.digest, |digest, told| digest ^ member_digest(&told));
        hearsay.digest = moved.changed.iter().fold(digest, |digest, told| {
            let old = hearsay.members.insert(told.node.name.clone(), told.clone());
            digest ^ member_digest(told) ^ old.as_ref().map_or(0, member_digest)
        });
        (hearsay.changed_at, hearsay.confirmed_at) = (now, now);
        moved
            .removed
            .iter()
            .for_each(|node| self.set_reporter(replica, node, false));
        moved
            .changed
            .iter()
            .for_each(|told| self.set_reporter(replica, &told.node.name, true));
        self.release_moved(&moved.changed);
        moved
            .changed
            .iter()
            .map(|told| &told.node.name)
            .chain(&moved.removed)
            .for_each(|node| self.update_serving(node));
        Some(self.has_unannounced_change())
    }

    /// Who is linked elsewhere by now is not held here.
    fn release_moved(&mut self, list: &[Member]) {
        for told in list.iter().filter(|told| told.connected) {
            if self
                .local
                .get(&told.node.name)
                .is_some_and(|lease| !lease.member.connected)
            {
                self.set_lease(&told.node.name, None);
            }
        }
    }

    /// A replica's beat has come. Gives whether its list is to be asked for.
    pub fn handle_digest(&mut self, now: i64, replica: ReplicaId, digest: u64) -> bool {
        let hearsay = self.reports.entry(replica).or_default();
        if hearsay.digest == digest {
            hearsay.confirmed_at = now;
            return false;
        }
        self.should_request_list(now, replica)
    }

    /// A replica's list is another one than is known here. Gives whether to ask for it now.
    fn should_request_list(&mut self, now: i64, replica: ReplicaId) -> bool {
        let hearsay = self.reports.entry(replica).or_default();
        let ask = hearsay
            .requested_at
            .is_none_or(|asked| now - asked >= limits::SYNC_REQUEST_INTERVAL);
        if ask {
            hearsay.requested_at = Some(now);
            // A list of nobody, that waits for the answer.
            hearsay.confirmed_at = hearsay
                .confirmed_at
                .max(now - limits::MEMBER_LEASE_DURATION / 2);
        }
        ask
    }

    /// Edges that serve, or did so lately: those that are cut off use their slices of quotas on.
    pub fn recently_serving_count(&self) -> usize {
        self.recently_serving.len()
    }

    /// How many serve, in all and in a zone.
    pub fn serving_counts(&self, zone: &str) -> (u32, u32) {
        (
            self.serving.nodes.len() as u32,
            self.serving.zones.get(zone).copied().unwrap_or_default(),
        )
    }

    /// A replica tells of a machine, or no longer.
    fn set_reporter(&mut self, replica: ReplicaId, node: &str, tells: bool) {
        if tells {
            self.reporters
                .entry(node.to_string())
                .or_default()
                .insert(replica);
        } else if let Some(tellers) = self.reporters.get_mut(node) {
            tellers.remove(&replica);
            if tellers.is_empty() {
                self.reporters.remove(node);
            }
        }
    }

    /// Something else is said of a machine.
    fn update_serving(&mut self, node: &str) {
        let told = self
            .best_report(node)
            .filter(|told| told.state != NodeState::Unavailable);
        let zone = told.map(|told| told.node.zone.clone());
        self.serving.set(node, zone.as_deref());
    }

    /// All that is said of a machine, each with its weight.
    fn reports_of(&self, node: &str) -> impl Iterator<Item = ((bool, bool, i64), &Member)> {
        let own = self
            .local
            .get(node)
            .map(|lease| ((lease.member.connected, true, 0), &lease.member));
        let tellers = self.reporters.get(node).into_iter().flatten();
        let others = tellers.filter_map(|replica| {
            let hearsay = self.reports.get(replica)?;
            let told = hearsay.members.get(node)?;
            Some(((told.connected, false, hearsay.changed_at), told))
        });
        own.into_iter().chain(others)
    }

    /// A member, as [`Members::all`] has it.
    fn best_report(&self, node: &str) -> Option<&Member> {
        self.reports_of(node)
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, told)| told)
    }

    /// All members. An edge linked here goes before hearsay, then who is linked there, then who was told of last.
    pub fn all_members(&self) -> Vec<&Member> {
        self.members_with_origin()
            .into_iter()
            .map(|(_, _, told)| told)
            .collect()
    }

    /// The members whose leases hold at this instant. A process that stood still is asked before it has dropped the others.
    pub fn valid_members(&self, now: i64, in_touch: bool) -> Vec<&Member> {
        let placed = self.members_with_origin_where(
            |lease| lease.is_valid(now),
            |hearsay| hearsay.is_valid(now, in_touch),
        );
        placed.into_iter().map(|(_, _, told)| told).collect()
    }

    /// The same as [`Members::all`], with the replica that told of each; without one, it is held here, on this link.
    pub fn members_with_origin(&self) -> Vec<(Option<ReplicaId>, u64, &Member)> {
        self.members_with_origin_where(|_| true, |_| true)
    }

    fn members_with_origin_where(
        &self,
        own: impl Fn(&MemberLease) -> bool,
        others: impl Fn(&PeerReport) -> bool,
    ) -> Vec<(Option<ReplicaId>, u64, &Member)> {
        let own = self.local.values().filter(|lease| own(lease));
        let own = own.map(|lease| {
            (
                (lease.member.connected, true, 0),
                (None, lease.link, &lease.member),
            )
        });
        let others = self.reports.iter().filter(|(_, hearsay)| others(hearsay));
        let others = others.flat_map(|(replica, hearsay)| {
            let one = |told| (Some(*replica), 0, told);
            hearsay
                .members
                .values()
                .map(move |told: &Member| ((told.connected, false, hearsay.changed_at), one(told)))
        });
        let mut best = BTreeMap::new();
        for (weight, one) in own.chain(others) {
            let entry = best
                .entry(one.2.node.name.as_str())
                .or_insert((weight, one));
            if entry.0 < weight {
                *entry = (weight, one);
            }
        }
        best.into_values().map(|(_, one)| one).collect()
    }
}

#[cfg(test)]
mod tests;
