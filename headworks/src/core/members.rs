//! The edges: each holds a lease at the seat that its agent is linked to and is a member while it renews it there. Seats
//! tell each other whom they hold; who is heard nowhere is out.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hasher};

use mains::messages::{Edge, Standing};

use super::letters::{Seat, Told};
use crate::limits;

#[derive(Clone, Debug)]
struct Lease {
    told: Told,
    link: u64,
    heard: i64,
}

#[derive(Clone, Debug, Default)]
struct Hearsay {
    list: Vec<Told>,
    digest: u64,
    /// The list came then...
    changed: i64,
    /// ...and was last confirmed then.
    heard: i64,
    /// It was asked for then.
    asked: Option<i64>,
}

/// The members as one seat sees them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    own: BTreeMap<String, Lease>,
    /// Who spoke first on each link: an agent may have two for a while.
    links: BTreeMap<u64, Edge>,
    hearsay: BTreeMap<Seat, Hearsay>,
    digest: u64,
    /// Edges that served, and when that was last so.
    lately: BTreeMap<String, i64>,
}

fn digest(list: &[Told]) -> u64 {
    let mut hasher = DefaultHasher::new();
    // A list always has a form; without one, its digest would only be that of another list.
    hasher.write(&postcard::to_allocvec(list).unwrap_or_default());
    hasher.finish()
}

impl Members {
    /// The edges linked here.
    pub fn list(&self) -> Vec<Told> {
        self.own.values().map(|lease| lease.told.clone()).collect()
    }

    /// Digest of these.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives whether the list is another one now.
    fn settle(&mut self) -> bool {
        let digest = digest(&self.list());
        std::mem::replace(&mut self.digest, digest) != digest
    }

    /// An agent has said who it is. Gives whether the list is another one.
    pub fn hello(&mut self, now: i64, link: u64, edge: Edge) -> bool {
        // An agent that comes from another seat stands as it stood there until it says more.
        let known = self.all().into_iter().find(|told| told.edge == edge).map(|told| told.standing);
        let standing = known.unwrap_or_default();
        self.links.insert(link, edge.clone());
        let told = Told { edge, standing, linked: true };
        self.own.insert(told.edge.node.clone(), Lease { told, link, heard: now });
        self.settle()
    }

    /// An agent has renewed its lease. Gives whether the list is another one.
    pub fn beat(&mut self, now: i64, link: u64, standing: Standing) -> bool {
        let Some(edge) = self.links.get(&link).cloned() else { return false };
        let told = Told { edge, standing, linked: true };
        let node = told.edge.node.clone();
        // The agent beats on the link that it keeps, whichever spoke last; and where it beats, it is.
        let before = self.own.insert(node, Lease { told: told.clone(), link, heard: now });
        before.is_none_or(|before| before.told != told) && self.settle()
    }

    /// An agent's link is gone; its lease runs on. Gives whether the list is another one.
    pub fn gone(&mut self, link: u64) -> bool {
        self.links.remove(&link);
        let Some(lease) = self.own.values_mut().find(|lease| lease.link == link) else { return false };
        lease.told.linked = false;
        self.settle()
    }

    /// Drops the leases that have run out. Gives whether the own list is another one.
    pub fn expire(&mut self, now: i64, in_touch: bool) -> bool {
        let span = if in_touch { limits::LEASE } else { limits::LEASE_ALONE };
        self.hearsay.retain(|_, hearsay| now - hearsay.heard <= span);
        self.own.retain(|_, lease| now - lease.heard <= limits::LEASE);
        let (away, served): (Vec<&Told>, Vec<&Told>) =
            self.all().into_iter().partition(|told| told.standing == Standing::Away);
        let node = |told: &&Told| told.edge.node.clone();
        let (away, served): (Vec<String>, Vec<String>) =
            (away.iter().map(node).collect(), served.iter().map(node).collect());
        self.lately.extend(served.into_iter().map(|node| (node, now)));
        // Who says that it leaves uses no slice any more.
        self.lately.retain(|node, at| now - *at <= limits::LATELY && !away.contains(node));
        self.settle()
    }

    /// A seat has told whom it holds. Gives whether the own list is another one.
    pub fn told(&mut self, now: i64, seat: Seat, list: Vec<Told>) -> bool {
        // Who is linked elsewhere by now is not held here.
        let moved = |node: &str| list.iter().any(|told| told.linked && told.edge.node == node);
        self.own.retain(|node, lease| lease.told.linked || !moved(node));
        let digest = digest(&list);
        self.hearsay.insert(seat, Hearsay { list, digest, changed: now, heard: now, asked: None });
        self.settle()
    }

    /// A seat's beat has come. Gives whether its list is to be asked for.
    pub fn confirmed(&mut self, now: i64, seat: Seat, digest: u64) -> bool {
        let hearsay = self.hearsay.entry(seat).or_default();
        if hearsay.digest == digest || (digest == self::digest(&[]) && hearsay.list.is_empty()) {
            hearsay.heard = now;
            return false;
        }
        let ask = hearsay.asked.is_none_or(|asked| now - asked >= limits::ASK);
        if ask {
            hearsay.asked = Some(now);
            // A list of nobody, that waits for the answer.
            hearsay.heard = hearsay.heard.max(now - limits::LEASE / 2);
        }
        ask
    }

    /// Edges that serve, or did so lately: those that are cut off use their slices of quotas on.
    pub fn lately(&self) -> usize {
        self.lately.len()
    }

    /// All members. An edge linked here goes before hearsay, then who is linked there, then who was told of last.
    pub fn all(&self) -> Vec<&Told> {
        let mut best: BTreeMap<&str, ((bool, bool, i64), &Told)> = BTreeMap::new();
        let own = self.own.values().map(|lease| ((lease.told.linked, true, 0), &lease.told));
        let others = self.hearsay.values().flat_map(|hearsay| {
            hearsay.list.iter().map(|told| ((told.linked, false, hearsay.changed), told))
        });
        for (weight, told) in own.chain(others) {
            let entry = best.entry(&told.edge.node).or_insert((weight, told));
            if entry.0 < weight {
                *entry = (weight, told);
            }
        }
        best.into_values().map(|(_, told)| told).collect()
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    #[test]
    fn an_edge_that_falls_silent_counts_for_a_while_and_one_that_leaves_does_not() {
        let mut members = Members::default();
        let (zone, region, http) = (String::new(), String::new(), SocketAddr::from(([10, 0, 0, 1], 80)));
        let edge =
            |node: &str| Edge { node: node.to_string(), zone: zone.clone(), region: region.clone(), http };
        for (link, node) in [(1, "a"), (2, "b")] {
            members.hello(0, link, edge(node));
            members.beat(0, link, Standing::Ready);
        }
        members.expire(0, true);
        members.beat(100, 1, Standing::Away);
        members.expire(limits::LEASE + 1, true);
        assert_eq!((members.all().len(), members.lately()), (1, 1));
        members.expire(limits::LATELY + 1, true);
        assert_eq!(members.lately(), 0);
    }
}
