//! The items known to be chosen, which are in force.

use std::collections::BTreeMap;
use std::ops::Bound;

use protocol::digests::Digests;
use protocol::items::{Item, ItemLookup, ItemName};

use super::ids::Ballot;
use super::registers::entry_digest;

/// The items known to be chosen, including removed ones.
#[derive(Clone, Debug, Default)]
pub struct ChosenItems {
    entries: BTreeMap<ItemName, (Ballot, Item)>,
    /// The digest of all entries.
    digest: u64,
    /// Digests of the entries, by bucket.
    digests: Digests,
    /// Digests of names and versions alone, by bucket: agents compute theirs in the same way.
    version_digests: Digests,
}

/// The effect of learning a chosen item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// None: the item or a newer one was already known.
    AlreadyKnown,
    /// The version was already known and has been chosen again under a higher ballot.
    NewBallot,
    /// The version is new.
    NewVersion,
}

/// A summary of a set of items by which agents and replicas compare their items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemSummary {
    /// The number of items, including removed ones.
    pub items: u32,
    /// The digest of the names and versions.
    pub digest: u64,
}

impl ChosenItems {
    /// Records that an item is chosen under a ballot. A version has exactly one chosen content, and a later choice
    /// never has a lower version.
    pub fn learn(&mut self, ballot: Ballot, item: &Item) -> LearnOutcome {
        let outcome = match self.entries.get(&item.name) {
            Some((_, known)) if known.ver > item.ver => LearnOutcome::AlreadyKnown,
            Some((known_ballot, known)) if known.ver == item.ver => {
                if *known_ballot >= ballot {
                    LearnOutcome::AlreadyKnown
                } else {
                    LearnOutcome::NewBallot
                }
            }
            _ => LearnOutcome::NewVersion,
        };
        if outcome != LearnOutcome::AlreadyKnown {
            self.toggle_digests(ballot, item);
            let entry = (ballot, item.clone());
            if let Some((ballot, item)) = self.entries.insert(item.name.clone(), entry) {
                self.toggle_digests(ballot, &item);
            }
        }
        outcome
    }

    /// Adds an entry to the digests, or removes it if it is included.
    fn toggle_digests(&mut self, ballot: Ballot, item: &Item) {
        let digest = entry_digest(&ballot, item);
        self.digest ^= digest;
        self.digests.toggle(&item.name, digest);
        let version_digest = Digests::item_digest(item);
        self.version_digests.toggle(&item.name, version_digest);
    }

    /// The chosen item of this name.
    pub fn get(&self, name: &ItemName) -> Option<&Item> {
        self.entries.get(name).map(|(_, item)| item)
    }

    /// Whether this version of an item, or a later one, is known to be chosen.
    pub fn includes(&self, item: &Item) -> bool {
        self.get(&item.name)
            .is_some_and(|known| known.ver >= item.ver)
    }

    /// The number of items, removed ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no item is known to be chosen.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries, in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &(Ballot, Item)> {
        self.entries.values()
    }

    /// The digest of all entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digests of the entries, by bucket.
    pub fn digest_buckets(&self) -> &[u64] {
        self.digests.buckets()
    }

    /// The summary with which agents' summaries are compared.
    pub fn summary(&self) -> ItemSummary {
        ItemSummary {
            items: self.len() as u32,
            digest: self.version_digests.combined(),
        }
    }

    /// The entries of the buckets whose digests differ from these.
    pub fn entries_differing_from<'a>(
        &'a self,
        digests: &'a [u64],
    ) -> impl Iterator<Item = &'a (Ballot, Item)> {
        self.entries()
            .filter(|(_, item)| self.digests.bucket_differs(digests, &item.name))
    }

    /// The items after the name `start_after`, of the buckets whose digests of names and versions differ from these.
    pub fn items_missing_from<'a>(
        &'a self,
        digests: &'a [u64],
        start_after: Option<&ItemName>,
    ) -> impl Iterator<Item = &'a Item> {
        let from = start_after.map_or(Bound::Unbounded, Bound::Excluded);
        let remaining = self.entries.range::<ItemName, _>((from, Bound::Unbounded));
        remaining
            .map(|(_, (_, item))| item)
            .filter(|item| self.version_digests.bucket_differs(digests, &item.name))
    }
}

impl ItemLookup for ChosenItems {
    fn find_item(&self, name: &ItemName) -> Option<&Item> {
        self.get(name)
    }

    fn all_items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|(_, item)| item)
    }
}
