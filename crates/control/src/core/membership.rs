//! The edges: each holds a lease at the replica that its agent is linked to and is a member while it renews it there. Replicas
//! tell each other whom they hold; who is heard nowhere is out.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use protocol::messages::{NodeInfo, NodeState};

use super::peer_messages::{Member, MembershipDelta, ReplicaId};
use crate::limits;

#[derive(Clone, Debug)]
struct MemberLease {
    told: Member,
    link: u64,
    heard: i64,
}

impl MemberLease {
    fn holds(&self, now: i64) -> bool {
        now - self.heard <= limits::MEMBER_LEASE_DURATION
    }
}

#[derive(Clone, Debug, Default)]
struct PeerReport {
    list: BTreeMap<String, Member>,
    digest: u64,
    /// The list came then...
    changed: i64,
    /// ...and was last confirmed then.
    heard: i64,
    /// It was asked for then.
    asked: Option<i64>,
}

impl PeerReport {
    fn holds(&self, now: i64, in_touch: bool) -> bool {
        now - self.heard
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
    own: BTreeMap<String, MemberLease>,
    /// Who spoke first on each link: an agent may have two for a while.
    links: BTreeMap<u64, NodeInfo>,
    hearsay: BTreeMap<ReplicaId, PeerReport>,
    /// The replicas that tell of each machine: few do, and looking at all for each change would grow with the replicas.
    tellers: BTreeMap<String, BTreeSet<ReplicaId>>,
    digest: u64,
    /// The own list as the others were told it last, and its digest.
    spread: (BTreeMap<String, Member>, u64),
    /// Edges that served, and when that was last so.
    lately: BTreeMap<String, i64>,
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

fn one(told: &Member) -> u64 {
    let mut hasher = DefaultHasher::new();
    // One always has a form; without, its digest would only be that of another one.
    hasher.write(&postcard::to_allocvec(told).unwrap_or_default());
    hasher.finish()
}

/// The digest of a list, whatever its order; of an empty one it is 0.
fn digest<'a>(list: impl Iterator<Item = &'a Member>) -> u64 {
    list.fold(0, |all, told| all ^ one(told))
}

impl Membership {
    /// The edges linked here.
    pub fn list(&self) -> Vec<Member> {
        self.own.values().map(|lease| lease.told.clone()).collect()
    }

    /// Digest of these.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives whether the list is another one than the others were told.
    fn settle(&self) -> bool {
        self.digest != self.spread.1
    }

    /// Takes a lease in, or out. The digest goes along: it is asked for with every change.
    fn lease(&mut self, node: &str, lease: Option<MemberLease>) -> Option<MemberLease> {
        let new = lease.as_ref().map_or(0, |lease| one(&lease.told));
        let old = match lease {
            Some(lease) => self.own.insert(node.to_string(), lease),
            None => self.own.remove(node),
        };
        self.digest ^= new ^ old.as_ref().map_or(0, |old| one(&old.told));
        old
    }

    /// What the other replicas are to be told, if the own list is another one than they were told last.
    pub fn news(&mut self) -> Option<MembershipDelta> {
        let (last, before) = &mut self.spread;
        if *before == self.digest {
            return None;
        }
        let told = self
            .own
            .iter()
            .filter(|(node, lease)| last.get(*node) != Some(&lease.told));
        let told: Vec<Member> = told.map(|(_, lease)| lease.told.clone()).collect();
        let gone: Vec<String> = last
            .keys()
            .filter(|node| !self.own.contains_key(*node))
            .cloned()
            .collect();
        let moved = MembershipDelta {
            before: *before,
            after: self.digest,
            told,
            gone,
        };
        moved.gone.iter().for_each(|node| _ = last.remove(node));
        last.extend(
            moved
                .told
                .iter()
                .map(|told| (told.edge.name.clone(), told.clone())),
        );
        *before = self.digest;
        Some(moved)
    }

    /// An agent has said who it is. Gives whether the list is another one.
    pub fn hello(&mut self, now: i64, link: u64, edge: NodeInfo) -> bool {
        // An agent that comes from another replica stands as it stood there until it says more.
        let known = self
            .known(&edge.name)
            .filter(|told| told.edge == edge)
            .map(|told| told.standing);
        let standing = known.unwrap_or_default();
        self.links.insert(link, edge.clone());
        let told = Member {
            edge,
            standing,
            linked: true,
        };
        let node = told.edge.name.clone();
        self.lease(
            &node,
            Some(MemberLease {
                told,
                link,
                heard: now,
            }),
        );
        self.look(&node);
        self.settle()
    }

    /// An agent has renewed its lease. Gives whether the list is another one.
    pub fn beat(&mut self, now: i64, link: u64, standing: NodeState) -> bool {
        let Some(edge) = self.links.get(&link).cloned() else {
            return false;
        };
        // The agent beats on the link that it keeps, whichever spoke last; and where it beats, it is.
        let same = |lease: &&mut MemberLease| {
            lease.told.linked && lease.told.standing == standing && lease.told.edge == edge
        };
        if let Some(lease) = self.own.get_mut(&edge.name).filter(same) {
            (lease.link, lease.heard) = (link, now);
            return false;
        }
        let node = edge.name.clone();
        let told = Member {
            edge,
            standing,
            linked: true,
        };
        self.lease(
            &node,
            Some(MemberLease {
                told,
                link,
                heard: now,
            }),
        );
        self.look(&node);
        self.settle()
    }

    /// An agent's link is gone; its lease runs on. Gives whether the list is another one.
    pub fn gone(&mut self, link: u64) -> bool {
        let edge = self.links.remove(&link);
        let held = edge
            .and_then(|edge| self.own.get(&edge.name))
            .filter(|lease| lease.link == link);
        let Some(mut lease) = held.cloned() else {
            return false;
        };
        lease.told.linked = false;
        let node = lease.told.edge.name.clone();
        self.lease(&node, Some(lease));
        self.look(&node);
        self.settle()
    }

    /// Drops the leases that have run out. Gives whether the own list is another one.
    pub fn expire(&mut self, now: i64, in_touch: bool) -> bool {
        let silent = self
            .hearsay
            .iter()
            .filter(|(_, hearsay)| !hearsay.holds(now, in_touch));
        for replica in silent.map(|(replica, _)| *replica).collect::<Vec<_>>() {
            let gone = self.hearsay.remove(&replica).unwrap_or_default();
            gone.list
                .keys()
                .for_each(|node| self.tells(replica, node, false));
        }
        let over = self.own.iter().filter(|(_, lease)| !lease.holds(now));
        let over: Vec<String> = over.map(|(node, _)| node.clone()).collect();
        over.iter().for_each(|node| _ = self.lease(node, None));
        let mut serving = ServingNodes::default();
        let mut away = BTreeSet::new();
        for told in self.all() {
            let (node, zone) = (&told.edge.name, &told.edge.zone);
            match told.standing {
                NodeState::Unavailable => _ = away.insert(node.clone()),
                NodeState::Ready | NodeState::Draining => serving.set(node, Some(zone)),
            }
        }
        self.serving = serving;
        self.left.extend(
            away.iter()
                .filter(|node| self.lately.contains_key(*node))
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
        self.lately
            .extend(silent.into_iter().map(|node| (node, now)));
        self.starting = away.difference(&self.left).cloned().collect();
        self.lately
            .extend(self.serving.nodes.keys().map(|node| (node.clone(), now)));
        if !in_touch {
            // Danger: those that are heard no more may serve on beside other replicas. Agents that are told a lower number
            // take larger slices of quotas, and the others go on with theirs.
            self.lately.values_mut().for_each(|at| *at = now);
        }
        // Who says that it leaves uses no slice any more.
        self.lately.retain(|node, at| {
            now - *at <= limits::RECENTLY_SERVING_DURATION && !away.contains(node)
        });
        self.settle()
    }

    /// A replica has told whom it holds. Gives whether the own list is another one.
    pub fn told(&mut self, now: i64, replica: ReplicaId, list: Vec<Member>) -> bool {
        self.moved_there(&list);
        let digest = digest(list.iter());
        let list: BTreeMap<String, Member> = list
            .into_iter()
            .map(|told| (told.edge.name.clone(), told))
            .collect();
        let nodes: Vec<String> = list.keys().cloned().collect();
        let new = PeerReport {
            list,
            digest,
            changed: now,
            heard: now,
            asked: None,
        };
        let old = self.hearsay.insert(replica, new).unwrap_or_default();
        old.list
            .keys()
            .for_each(|node| self.tells(replica, node, false));
        nodes
            .iter()
            .for_each(|node| self.tells(replica, node, true));
        nodes
            .iter()
            .chain(old.list.keys())
            .for_each(|node| self.look(node));
        self.settle()
    }

    /// A replica has told what has changed of whom it holds. Gives whether the own list is another one; nothing where a
    /// telling before it was missed, and the whole is to be asked for.
    pub fn moved(&mut self, now: i64, replica: ReplicaId, moved: MembershipDelta) -> Option<bool> {
        let hearsay = self.hearsay.entry(replica).or_default();
        if hearsay.digest == moved.after {
            hearsay.heard = now;
            return Some(false);
        }
        if hearsay.digest != moved.before {
            return if self.ask(now, replica) {
                None
            } else {
                Some(false)
            };
        }
        let gone = moved
            .gone
            .iter()
            .filter_map(|node| hearsay.list.remove(node));
        let digest = gone.fold(hearsay.digest, |digest, told| digest ^ one(&told));
        hearsay.digest = moved.told.iter().fold(digest, |digest, told| {
            let old = hearsay.list.insert(told.edge.name.clone(), told.clone());
            digest ^ one(told) ^ old.as_ref().map_or(0, one)
        });
        (hearsay.changed, hearsay.heard) = (now, now);
        moved
            .gone
            .iter()
            .for_each(|node| self.tells(replica, node, false));
        moved
            .told
            .iter()
            .for_each(|told| self.tells(replica, &told.edge.name, true));
        self.moved_there(&moved.told);
        moved
            .told
            .iter()
            .map(|told| &told.edge.name)
            .chain(&moved.gone)
            .for_each(|node| self.look(node));
        Some(self.settle())
    }

    /// Who is linked elsewhere by now is not held here.
    fn moved_there(&mut self, list: &[Member]) {
        for told in list.iter().filter(|told| told.linked) {
            if self
                .own
                .get(&told.edge.name)
                .is_some_and(|lease| !lease.told.linked)
            {
                self.lease(&told.edge.name, None);
            }
        }
    }

    /// A replica's beat has come. Gives whether its list is to be asked for.
    pub fn confirmed(&mut self, now: i64, replica: ReplicaId, digest: u64) -> bool {
        let hearsay = self.hearsay.entry(replica).or_default();
        if hearsay.digest == digest {
            hearsay.heard = now;
            return false;
        }
        self.ask(now, replica)
    }

    /// A replica's list is another one than is known here. Gives whether to ask for it now.
    fn ask(&mut self, now: i64, replica: ReplicaId) -> bool {
        let hearsay = self.hearsay.entry(replica).or_default();
        let ask = hearsay
            .asked
            .is_none_or(|asked| now - asked >= limits::SYNC_REQUEST_INTERVAL);
        if ask {
            hearsay.asked = Some(now);
            // A list of nobody, that waits for the answer.
            hearsay.heard = hearsay.heard.max(now - limits::MEMBER_LEASE_DURATION / 2);
        }
        ask
    }

    /// Edges that serve, or did so lately: those that are cut off use their slices of quotas on.
    pub fn lately(&self) -> usize {
        self.lately.len()
    }

    /// How many serve, in all and in a zone.
    pub fn serving(&self, zone: &str) -> (u32, u32) {
        (
            self.serving.nodes.len() as u32,
            self.serving.zones.get(zone).copied().unwrap_or_default(),
        )
    }

    /// A replica tells of a machine, or no longer.
    fn tells(&mut self, replica: ReplicaId, node: &str, tells: bool) {
        if tells {
            self.tellers
                .entry(node.to_string())
                .or_default()
                .insert(replica);
        } else if let Some(tellers) = self.tellers.get_mut(node) {
            tellers.remove(&replica);
            if tellers.is_empty() {
                self.tellers.remove(node);
            }
        }
    }

    /// Something else is said of a machine.
    fn look(&mut self, node: &str) {
        let told = self
            .known(node)
            .filter(|told| told.standing != NodeState::Unavailable);
        let zone = told.map(|told| told.edge.zone.clone());
        self.serving.set(node, zone.as_deref());
    }

    /// All that is said of a machine, each with its weight.
    fn said(&self, node: &str) -> impl Iterator<Item = ((bool, bool, i64), &Member)> {
        let own = self
            .own
            .get(node)
            .map(|lease| ((lease.told.linked, true, 0), &lease.told));
        let tellers = self.tellers.get(node).into_iter().flatten();
        let others = tellers.filter_map(|replica| {
            let hearsay = self.hearsay.get(replica)?;
            let told = hearsay.list.get(node)?;
            Some(((told.linked, false, hearsay.changed), told))
        });
        own.into_iter().chain(others)
    }

    /// A member, as [`Members::all`] has it.
    fn known(&self, node: &str) -> Option<&Member> {
        self.said(node)
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, told)| told)
    }

    /// All members. An edge linked here goes before hearsay, then who is linked there, then who was told of last.
    pub fn all(&self) -> Vec<&Member> {
        self.placed().into_iter().map(|(_, _, told)| told).collect()
    }

    /// The members whose leases hold at this instant. A process that stood still is asked before it has dropped the others.
    pub fn current(&self, now: i64, in_touch: bool) -> Vec<&Member> {
        let placed = self.placed_where(
            |lease| lease.holds(now),
            |hearsay| hearsay.holds(now, in_touch),
        );
        placed.into_iter().map(|(_, _, told)| told).collect()
    }

    /// The same as [`Members::all`], with the replica that told of each; without one, it is held here, on this link.
    pub fn placed(&self) -> Vec<(Option<ReplicaId>, u64, &Member)> {
        self.placed_where(|_| true, |_| true)
    }

    fn placed_where(
        &self,
        own: impl Fn(&MemberLease) -> bool,
        others: impl Fn(&PeerReport) -> bool,
    ) -> Vec<(Option<ReplicaId>, u64, &Member)> {
        let own = self.own.values().filter(|lease| own(lease));
        let own = own.map(|lease| {
            (
                (lease.told.linked, true, 0),
                (None, lease.link, &lease.told),
            )
        });
        let others = self.hearsay.iter().filter(|(_, hearsay)| others(hearsay));
        let others = others.flat_map(|(replica, hearsay)| {
            let one = |told| (Some(*replica), 0, told);
            hearsay
                .list
                .values()
                .map(move |told: &Member| ((told.linked, false, hearsay.changed), one(told)))
        });
        let mut best = BTreeMap::new();
        for (weight, one) in own.chain(others) {
            let entry = best
                .entry(one.2.edge.name.as_str())
                .or_insert((weight, one));
            if entry.0 < weight {
                *entry = (weight, one);
            }
        }
        best.into_values().map(|(_, one)| one).collect()
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    fn edge(node: &str) -> NodeInfo {
        let (zone, region) = ("a".to_string(), "r".to_string());
        NodeInfo {
            name: node.to_string(),
            zone,
            region,
            http: SocketAddr::from(([10, 0, 0, 1], 80)),
        }
    }

    /// What another replica holds of this one's list.
    fn held(other: &Membership) -> Vec<(&str, NodeState)> {
        other
            .all()
            .into_iter()
            .map(|told| (told.edge.name.as_str(), told.standing))
            .collect()
    }

    #[test]
    fn a_change_is_told_alone_and_who_missed_one_asks_for_the_whole() {
        let (mut one, mut other) = (Membership::default(), Membership::default());
        assert!(one.hello(0, 1, edge("e")) && one.hello(0, 2, edge("f")));
        let first = one.news().unwrap();
        assert_eq!((first.told.len(), one.news()), (2, None));
        assert_eq!(other.moved(0, 7, first.clone()), Some(false));
        assert!(one.beat(1, 1, NodeState::Ready) && !one.beat(2, 1, NodeState::Ready));
        let second = one.news().unwrap();
        assert_eq!((second.told.len(), second.gone.len()), (1, 0));
        assert!(one.beat(3, 2, NodeState::Draining));
        let third = one.news().unwrap();
        // The third comes before the second, and the first again.
        assert_eq!(other.moved(3, 7, third), None);
        assert_eq!(other.moved(4, 7, second), Some(false));
        assert_eq!(
            held(&other),
            [("e", NodeState::Ready), ("f", NodeState::Unavailable)]
        );
        assert!(
            !other.confirmed(5, 7, one.digest()),
            "it was asked for just now"
        );
        assert!(other.confirmed(limits::SYNC_REQUEST_INTERVAL + 5, 7, one.digest()));
        other.told(limits::SYNC_REQUEST_INTERVAL + 6, 7, one.list());
        assert!(!other.confirmed(limits::SYNC_REQUEST_INTERVAL + 7, 7, one.digest()));
        assert_eq!(
            held(&other),
            [("e", NodeState::Ready), ("f", NodeState::Draining)]
        );
        assert_eq!(other.serving("a"), (2, 2));
        // One whose lease has run out goes by its name alone.
        assert!(
            one.beat(limits::MEMBER_LEASE_DURATION, 1, NodeState::Ready)
                || one.expire(limits::MEMBER_LEASE_DURATION + 4, true)
        );
        let last = one.news().unwrap();
        assert_eq!(
            (last.told.len(), last.gone.as_slice()),
            (0, ["f".to_string()].as_slice())
        );
        assert_eq!(
            other.moved(limits::MEMBER_LEASE_DURATION + 5, 7, last),
            Some(false)
        );
        assert_eq!(
            (held(&other), other.serving("a")),
            (vec![("e", NodeState::Ready)], (1, 1))
        );
    }

    #[test]
    fn an_edge_that_falls_silent_counts_for_a_while_and_one_that_leaves_does_not() {
        let mut members = Membership::default();
        for (link, node) in [(1, "a"), (2, "b")] {
            members.hello(0, link, edge(node));
            members.beat(0, link, NodeState::Ready);
        }
        members.expire(0, true);
        members.beat(100, 1, NodeState::Unavailable);
        members.expire(limits::MEMBER_LEASE_DURATION + 1, true);
        assert_eq!((members.all().len(), members.lately()), (1, 1));
        members.expire(limits::RECENTLY_SERVING_DURATION + 1, true);
        assert_eq!(members.lately(), 0);
    }

    #[test]
    fn leases_end_by_themselves_and_sooner_for_hearsay_in_touch() {
        let (mut members, mut other) = (Membership::default(), Membership::default());
        other.hello(0, 1, edge("b"));
        members.hello(0, 1, edge("a"));
        members.told(0, 7, other.list());
        // Nothing was dropped: the process stood still.
        let named = |now, in_touch| members.current(now, in_touch).len();
        assert_eq!(
            (
                named(limits::MEMBER_LEASE_DURATION, true),
                named(limits::MEMBER_LEASE_DURATION + 1, true)
            ),
            (2, 0)
        );
        assert_eq!(
            (
                named(limits::MEMBER_LEASE_DURATION + 1, false),
                named(limits::MEMBER_LEASE_DURATION_WITHOUT_QUORUM + 1, false)
            ),
            (1, 0)
        );
    }

    #[test]
    fn a_replica_out_of_touch_counts_on_those_that_it_hears_no_more() {
        let mut members = Membership::default();
        members.hello(0, 1, edge("a"));
        members.beat(0, 1, NodeState::Ready);
        members.expire(0, true);
        let back = 2 * limits::RECENTLY_SERVING_DURATION;
        // The last is as a process finds it that stood still.
        for alone in [
            limits::MEMBER_LEASE_DURATION + 1,
            limits::RECENTLY_SERVING_DURATION + 1,
            back,
        ] {
            members.expire(alone, false);
            assert_eq!(members.lately(), 1, "{alone}");
        }
        members.expire(back + limits::RECENTLY_SERVING_DURATION, true);
        assert_eq!(members.lately(), 1);
        members.expire(back + limits::RECENTLY_SERVING_DURATION + 1, true);
        assert_eq!(members.lately(), 0);
    }

    #[test]
    fn an_edge_that_falls_silent_before_it_says_that_it_serves_counts_for_a_while() {
        let mut members = Membership::default();
        members.hello(0, 1, edge("a"));
        members.beat(0, 1, NodeState::Unavailable);
        members.expire(0, true);
        assert_eq!((members.all().len(), members.lately()), (1, 0));
        members.expire(limits::MEMBER_LEASE_DURATION + 1, true);
        assert_eq!((members.all().len(), members.lately()), (0, 1));
        members.expire(
            limits::MEMBER_LEASE_DURATION + limits::RECENTLY_SERVING_DURATION + 2,
            true,
        );
        assert_eq!(members.lately(), 0);
    }
}
