//! What is chosen: the items that are in force, and news for the agents.

use std::collections::BTreeMap;
use std::ops::Bound;

use protocol::digests::Digests;
use protocol::items::{Item, ItemLookup, ItemName};

use super::peer_messages::Ballot;
use super::registers::digest;

/// The items that are known to be chosen.
#[derive(Clone, Debug, Default)]
pub struct ChosenItems {
    chosen: BTreeMap<ItemName, (Ballot, Item)>,
    digest: u64,
    /// By parts: of all, and of names and versions alone, as agents have them.
    parts: Digests,
    versions: Digests,
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
        let learned = match self.chosen.get(&item.name) {
            Some((_, old)) if old.ver > item.ver => return LearnOutcome::AlreadyKnown,
            Some((known, old)) if old.ver == item.ver && *known >= ballot => {
                return LearnOutcome::AlreadyKnown;
            }
            Some((_, old)) if old.ver == item.ver => LearnOutcome::NewBallot,
            _ => LearnOutcome::NewVersion,
        };
        self.turn(ballot, item);
        if let Some((ballot, item)) = self
            .chosen
            .insert(item.name.clone(), (ballot, item.clone()))
        {
            self.turn(ballot, &item);
        }
        learned
    }

    fn turn(&mut self, ballot: Ballot, item: &Item) {
        let digest = digest(&ballot, item);
        self.digest ^= digest;
        self.parts.toggle(&item.name, digest);
        self.versions.toggle(&item.name, Digests::item_digest(item));
    }

    /// What is chosen of an item, if anything.
    pub fn chosen(&self, name: &ItemName) -> Option<&Item> {
        self.chosen.get(name).map(|(_, item)| item)
    }

    /// The version that is chosen, if any.
    pub fn version(&self, name: &ItemName) -> Option<u64> {
        self.chosen(name).map(|item| item.ver)
    }

    /// This version of an item, or a later one, is chosen.
    pub fn has(&self, item: &Item) -> bool {
        self.version(&item.name).is_some_and(|ver| ver >= item.ver)
    }

    /// All that is chosen.
    pub fn all(&self) -> impl Iterator<Item = &(Ballot, Item)> {
        self.chosen.values()
    }

    /// Digest of all that is chosen.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digests of all that is chosen, by parts.
    pub fn parts(&self) -> &[u64] {
        self.parts.buckets()
    }

    /// How many items there are, dropped ones included, and their digest, as agents hold them.
    pub fn holding(&self) -> (u32, u64) {
        (self.chosen.len() as u32, self.versions.combined())
    }

    /// What is chosen of the parts of which another replica knows something else.
    pub fn differing<'a>(&'a self, parts: &'a [u64]) -> impl Iterator<Item = &'a (Ballot, Item)> {
        self.all()
            .filter(|(_, item)| self.parts.bucket_differs(parts, &item.name))
    }

    /// What an agent lacks that has these parts, after a name.
    pub fn lacking<'a>(
        &'a self,
        have: &'a [u64],
        after: Option<&ItemName>,
    ) -> impl Iterator<Item = &'a Item> {
        let rest = self.chosen.range::<ItemName, _>((
            after.map_or(Bound::Unbounded, Bound::Excluded),
            Bound::Unbounded,
        ));
        rest.map(|(_, (_, item))| item)
            .filter(|item| self.versions.bucket_differs(have, &item.name))
    }
}

impl ItemLookup for ChosenItems {
    fn find_item(&self, name: &ItemName) -> Option<&Item> {
        self.chosen(name)
    }

    fn all_items(&self) -> impl Iterator<Item = &Item> {
        self.chosen.values().map(|(_, item)| item)
    }
}
