//! What is chosen: the items that are in force, and news for the agents.

use std::collections::BTreeMap;
use std::ops::Bound;

use protocol::digests::Digests;
use protocol::items::{Item, ItemLookup, ItemName};

use super::peer_messages::Ballot;
use super::registers::entry_digest;

/// The items that are known to be chosen.
#[derive(Clone, Debug, Default)]
pub struct ChosenItems {
    entries: BTreeMap<ItemName, (Ballot, Item)>,
    digest: u64,
    /// By parts: of all, and of names and versions alone, as agents have them.
    digests: Digests,
    version_digests: Digests,
}

/// What a chosen item is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// Known, or older.
    AlreadyKnown,
    /// Known, chosen anew under a higher proposal.
    NewBallot,
    /// News.
    NewVersion,
}

impl ChosenItems {
    /// Takes a chosen item in. One version has one content, and a later choice never has a lower version.
    pub fn learn(&mut self, ballot: Ballot, item: &Item) -> LearnOutcome {
        let learned = match self.entries.get(&item.name) {
            Some((_, old)) if old.ver > item.ver => return LearnOutcome::AlreadyKnown,
            Some((known, old)) if old.ver == item.ver && *known >= ballot => {
                return LearnOutcome::AlreadyKnown;
            }
            Some((_, old)) if old.ver == item.ver => LearnOutcome::NewBallot,
            _ => LearnOutcome::NewVersion,
        };
        self.toggle_digests(ballot, item);
        if let Some((ballot, item)) = self
            .entries
            .insert(item.name.clone(), (ballot, item.clone()))
        {
            self.toggle_digests(ballot, &item);
        }
        learned
    }

    fn toggle_digests(&mut self, ballot: Ballot, item: &Item) {
        let digest = entry_digest(&ballot, item);
        self.digest ^= digest;
        self.digests.toggle(&item.name, digest);
        self.version_digests
            .toggle(&item.name, Digests::item_digest(item));
    }

    /// What is chosen of an item, if anything.
    pub fn get(&self, name: &ItemName) -> Option<&Item> {
        self.entries.get(name).map(|(_, item)| item)
    }

    /// The version that is chosen, if any.
    pub fn version(&self, name: &ItemName) -> Option<u64> {
        self.get(name).map(|item| item.ver)
    }

    /// This version of an item, or a later one, is chosen.
    pub fn includes(&self, item: &Item) -> bool {
        self.version(&item.name).is_some_and(|ver| ver >= item.ver)
    }

    /// All that is chosen.
    pub fn entries(&self) -> impl Iterator<Item = &(Ballot, Item)> {
        self.entries.values()
    }

    /// Digest of all that is chosen.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digests of all that is chosen, by parts.
    pub fn digest_buckets(&self) -> &[u64] {
        self.digests.buckets()
    }

    /// How many items there are, dropped ones included, and their digest, as agents hold them.
    pub fn agent_digest(&self) -> (u32, u64) {
        (self.entries.len() as u32, self.version_digests.combined())
    }

    /// What is chosen of the parts of which another replica knows something else.
    pub fn entries_differing_from<'a>(
        &'a self,
        parts: &'a [u64],
    ) -> impl Iterator<Item = &'a (Ballot, Item)> {
        self.entries()
            .filter(|(_, item)| self.digests.bucket_differs(parts, &item.name))
    }

    /// What an agent lacks that has these parts, after a name.
    pub fn items_missing_from<'a>(
        &'a self,
        have: &'a [u64],
        after: Option<&ItemName>,
    ) -> impl Iterator<Item = &'a Item> {
        let rest = self.entries.range::<ItemName, _>((
            after.map_or(Bound::Unbounded, Bound::Excluded),
            Bound::Unbounded,
        ));
        rest.map(|(_, (_, item))| item)
            .filter(|item| self.version_digests.bucket_differs(have, &item.name))
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
