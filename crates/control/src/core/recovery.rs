//! Repair: what was lost is rebuilt from those who were told it; what was begun and not finished is finished.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::digests::Digests;
use protocol::items::{Item, ItemName};

use super::peer_messages::{Ballot, Incarnation, ReplicaId, Term, TransferRequest};
use super::registers::entry_digest;
use super::replicas::ReplicaTable;
use super::transfer::{Chunk, Continuation, TransferProgress};
use crate::limits;

/// What a piece of an answer to a replica that rebuilds has brought about.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryStep {
    /// Nothing to be done.
    Wait,
    /// The one that has told it is to be asked for more.
    Request(TransferRequest),
    /// More than half of the others have told all.
    Complete,
}

/// A replica with an empty disk, on its way to a new incarnation. The others write the incarnation down first and answer with what they
/// hold afterwards: whoever counts a vote of the incarnation before it meets one of them that knows better.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// The incarnation that it wants.
    pub incarnation: Incarnation,
    /// How far each has told all, by its incarnation.
    sources: BTreeMap<ReplicaId, (Incarnation, TransferProgress)>,
    /// What was accepted, by the highest ballot.
    pub found: BTreeMap<ItemName, (Ballot, Item)>,
    /// Digests of this. Who holds the same of a part does not tell it again.
    digests: Digests,
    /// The first one with a link. It is asked alone at first: then most of the others have nothing to add.
    first_source: Option<SocketAddr>,
    first_source_asked: bool,
    /// Highest promise of all.
    pub floor: Ballot,
    /// Newest terms of the duties.
    pub terms: Vec<Term>,
    /// The others are asked again then.
    pub wake_at: i64,
    /// All is there and on its way to disk.
    pub persisting: bool,
}

impl Recovery {
    /// One whose disk still holds this: no more is told than differs from it.
    pub fn from_accepted<'a>(held: impl Iterator<Item = &'a (Ballot, Item)>) -> Recovery {
        let mut rebuild = Recovery::default();
        for (ballot, item) in held {
            rebuild
                .digests
                .toggle(&item.name, entry_digest(ballot, item));
            rebuild
                .found
                .insert(item.name.clone(), (*ballot, item.clone()));
        }
        rebuild
    }

    /// Wants an incarnation after the newest that is known.
    pub fn choose_incarnation(&mut self, newest: Incarnation, mark: u32) {
        if newest >= self.incarnation {
            *self = Recovery {
                incarnation: Incarnation {
                    number: newest.max(Incarnation::FIRST).number + 1,
                    nonce: mark,
                },
                first_source: self.first_source,
                // What was gathered was accepted under its ballots all the same.
                found: std::mem::take(&mut self.found),
                digests: std::mem::take(&mut self.digests),
                floor: self.floor,
                terms: std::mem::take(&mut self.terms),
                ..Recovery::default()
            };
        }
    }

    /// A link is up.
    pub fn handle_peer_connected(&mut self, now: i64, peer: SocketAddr) {
        if self.first_source.is_none() {
            self.first_source = Some(peer);
            self.wake_at = now;
        }
    }

    /// Whom to ask now, and for what: those that have not told all; the near one alone at first.
    pub fn next_requests(&mut self, replicas: &ReplicaTable) -> Vec<(SocketAddr, TransferRequest)> {
        let first = self
            .first_source
            .filter(|_| !std::mem::replace(&mut self.first_source_asked, true));
        if let Some(near) = first.filter(|_| self.sources.is_empty()) {
            return vec![(near, self.request(None))];
        }
        let counted = self
            .sources
            .iter()
            .filter(|(replica, (incarnation, _))| replicas.is_current(**replica, *incarnation));
        let begun: BTreeMap<SocketAddr, &TransferProgress> = counted
            .filter_map(|(replica, (_, transfer))| Some((replicas.address(*replica)?, transfer)))
            .collect();
        let peers = replicas.peers().into_iter();
        let open = peers.filter(|peer| begun.get(peer).is_none_or(|transfer| !transfer.complete));
        open.map(|peer| {
            (
                peer,
                self.request(begun.get(&peer).and_then(|transfer| transfer.after.clone())),
            )
        })
        .collect()
    }

    fn request(&self, after: Option<ItemName>) -> TransferRequest {
        TransferRequest {
            digests: self.digests.buckets().to_vec(),
            after,
        }
    }

    /// Most of the others have told all, each in an incarnation that counts.
    fn has_quorum(&self, replicas: &ReplicaTable) -> bool {
        let told = |(replica, (incarnation, transfer)): &(
            &ReplicaId,
            &(Incarnation, TransferProgress),
        )| { transfer.complete && replicas.is_current(**replica, *incarnation) };
        self.sources.iter().filter(told).count() >= replicas.recovery_quorum()
    }

    /// Takes a piece of an answer in.
    pub fn handle_chunk(
        &mut self,
        now: i64,
        by: (ReplicaId, Incarnation),
        (floor, terms): (Ballot, &[Term]),
        piece: Chunk,
        replicas: &ReplicaTable,
    ) -> RecoveryStep {
        let (_, transfer) = match self
            .sources
            .entry(by.0)
            .or_insert((by.1, TransferProgress::default()))
        {
            // What an incarnation before has told counts for nothing: it may have lost what this one was to hear.
            of if of.0 != by.1 => {
                *of = (by.1, TransferProgress::default());
                of
            }
            of => of,
        };
        let then = transfer.record_chunk(&piece);
        if then.is_some() {
            // The others are asked once the first has told all; who is silent is asked again.
            let first = then == Some(Continuation::End) && is_first_complete(&self.sources);
            self.wake_at = if first {
                now
            } else {
                now + limits::RECOVERY_REQUEST_INTERVAL
            };
        }
        for (ballot, item) in piece.items {
            if self
                .found
                .get(&item.name)
                .is_none_or(|(known, _)| *known < ballot)
            {
                self.digests
                    .toggle(&item.name, entry_digest(&ballot, &item));
                if let Some((ballot, item)) = self.found.insert(item.name.clone(), (ballot, item)) {
                    self.digests
                        .toggle(&item.name, entry_digest(&ballot, &item));
                }
            }
        }
        self.floor = self.floor.max(floor);
        for (at, term) in terms.iter().enumerate() {
            match self.terms.get_mut(at) {
                Some(known) => *known = (*known).max(*term),
                None => self.terms.push(*term),
            }
        }
        let after = self
            .sources
            .get(&by.0)
            .and_then(|(_, transfer)| transfer.after.clone());
        match then {
            Some(Continuation::RequestMore) => RecoveryStep::Request(self.request(after)),
            _ if self.has_quorum(replicas) => RecoveryStep::Complete,
            _ => RecoveryStep::Wait,
        }
    }
}

/// One has told all, and it is the first.
fn is_first_complete(answers: &BTreeMap<ReplicaId, (Incarnation, TransferProgress)>) -> bool {
    answers
        .values()
        .filter(|(_, transfer)| transfer.complete)
        .count()
        == 1
}

/// Registers whose values are not known to be chosen, and since when.
#[derive(Clone, Debug, Default)]
pub struct PendingProposals {
    since: BTreeMap<ItemName, i64>,
    in_flight: BTreeSet<ItemName>,
}

impl PendingProposals {
    /// Something was accepted that is not known to be chosen.
    pub fn insert(&mut self, now: i64, name: &ItemName) {
        self.since.entry(name.clone()).or_insert(now);
    }

    /// It is not known to be chosen.
    pub fn contains(&self, name: &ItemName) -> bool {
        self.since.contains_key(name)
    }

    /// It is chosen by now.
    pub fn remove(&mut self, name: &ItemName) {
        self.since.remove(name);
        self.in_flight.remove(name);
    }

    /// When the next one is due at this replica. The replicas take turns, so that normally one finishes it.
    pub fn wake_at(&self, replica: ReplicaId) -> Option<i64> {
        if self.in_flight.len() >= limits::MAX_REPAIRS_IN_FLIGHT {
            return None;
        }
        let idle = self
            .since
            .iter()
            .filter(|(name, _)| !self.in_flight.contains(*name));
        let earliest = idle.map(|(_, since)| *since).min()?;
        Some(earliest + limits::REPAIR_DELAY + i64::from(replica) * limits::REPAIR_STAGGER)
    }

    /// Takes those that are due, once the first is.
    pub fn take_due(&mut self, now: i64, replica: ReplicaId) -> Vec<ItemName> {
        if self.wake_at(replica).is_none_or(|wake| wake > now) {
            return Vec::new();
        }
        // Those that came soon after go along.
        let soon = now - limits::REPAIR_DELAY / 2;
        let due = self
            .since
            .iter()
            .filter(|(name, since)| **since <= soon && !self.in_flight.contains(*name));
        let room = limits::MAX_REPAIRS_IN_FLIGHT - self.in_flight.len();
        let due: Vec<ItemName> = due.take(room).map(|(name, _)| name.clone()).collect();
        self.in_flight.extend(due.iter().cloned());
        due
    }

    /// A try to finish these is over.
    pub fn release(&mut self, now: i64, names: &[ItemName]) {
        for name in names {
            self.in_flight.remove(name);
            if let Some(since) = self.since.get_mut(name) {
                *since = now;
            }
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}
