//! The registers, as one replica keeps them: what it has promised and what it has accepted, one register an item's name.
//!
//! Promises are kept by register, so that changes of different items don't hinder each other. What a replica with an empty
//! disk may have promised in its incarnation before is not known by register: one floor under all stands for it.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Bound;

use protocol::digests::Digests;
use protocol::items::{Item, ItemName};
use serde::{Deserialize, Serialize};

use super::peer_messages::{Ballot, TransferRequest};
use super::transfer::{self, Chunk, TransferLimits};

/// A register of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// Nothing below this is accepted any more.
    pub promised: Ballot,
    /// What was accepted last.
    pub accepted: Option<(Ballot, Item)>,
}

/// All registers of one replica.
#[derive(Clone, Debug, Default)]
pub struct Registers {
    floor: Ballot,
    registers: BTreeMap<ItemName, Register>,
    digests: Digests,
}

/// The digest of one entry; a whole digest is all of them, one over the other.
pub fn entry_digest(ballot: &Ballot, item: &Item) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ballot, item).hash(&mut hasher);
    hasher.finish()
}

impl Registers {
    /// As they were on disk.
    pub fn restore(floor: Ballot, registers: Vec<(ItemName, Register)>) -> Registers {
        let held = registers
            .iter()
            .filter_map(|(_, register)| register.accepted.as_ref());
        let mut digests = Digests::default();
        held.for_each(|(ballot, item)| digests.toggle(&item.name, entry_digest(ballot, item)));
        Registers {
            floor,
            registers: registers.into_iter().collect(),
            digests,
        }
    }

    fn promised(&self, name: &ItemName) -> Ballot {
        self.registers
            .get(name)
            .map_or(self.floor, |register| register.promised.max(self.floor))
    }

    /// The highest promise on any of these that is over `ballot`.
    fn check_promises<'a>(
        &self,
        ballot: Ballot,
        names: impl Iterator<Item = &'a ItemName>,
    ) -> Result<(), Ballot> {
        match names.map(|name| self.promised(name)).max() {
            Some(promised) if promised > ballot => Err(promised),
            _ => Ok(()),
        }
    }

    /// Promises; gives what was accepted.
    ///
    /// # Errors
    /// A higher promise.
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        names: &[ItemName],
    ) -> Result<Vec<(Ballot, Item)>, Ballot> {
        self.check_promises(ballot, names.iter())?;
        for name in names {
            self.registers.entry(name.clone()).or_default().promised = ballot;
        }
        Ok(names
            .iter()
            .filter_map(|name| self.accepted(name).cloned())
            .collect())
    }

    /// Accepts all of it, or nothing.
    ///
    /// # Errors
    /// A higher promise.
    pub fn accept(&mut self, ballot: Ballot, items: &[Item]) -> Result<(), Ballot> {
        self.check_promises(ballot, items.iter().map(|item| &item.name))?;
        for item in items {
            self.registers
                .entry(item.name.clone())
                .or_default()
                .promised = ballot;
            self.store(ballot, item.clone());
        }
        Ok(())
    }

    fn store(&mut self, ballot: Ballot, item: Item) {
        self.digests
            .toggle(&item.name, entry_digest(&ballot, &item));
        let register = self.registers.entry(item.name.clone()).or_default();
        if let Some((ballot, item)) = register.accepted.replace((ballot, item)) {
            self.digests
                .toggle(&item.name, entry_digest(&ballot, &item));
        }
    }

    /// Takes over what another one has accepted and is chosen, or stands for what was lost here: it can only be newer.
    pub fn adopt(&mut self, ballot: Ballot, item: &Item) -> bool {
        let newer = self
            .accepted(&item.name)
            .is_none_or(|(own, _)| *own < ballot);
        if newer {
            self.store(ballot, item.clone());
            // Danger: a late message of a proposal before it would be accepted in its place, and this copy be lost for good.
            if let Some(register) = self.registers.get_mut(&item.name) {
                register.promised = register.promised.max(ballot);
            }
        }
        newer
    }

    /// Raises the floor under all promises.
    pub fn raise_floor(&mut self, floor: Ballot) {
        self.floor = self.floor.max(floor);
    }

    /// The floor under all promises.
    pub fn floor(&self) -> Ballot {
        self.floor
    }

    /// The highest promise of all.
    pub fn highest_promise(&self) -> Ballot {
        self.registers
            .values()
            .map(|register| register.promised)
            .fold(self.floor, Ballot::max)
    }

    /// What a register holds.
    pub fn accepted(&self, name: &ItemName) -> Option<&(Ballot, Item)> {
        self.registers.get(name)?.accepted.as_ref()
    }

    /// All that was accepted.
    pub fn accepted_entries(&self) -> impl Iterator<Item = &(Ballot, Item)> {
        self.registers
            .values()
            .filter_map(|register| register.accepted.as_ref())
    }

    /// A register, as it goes to disk.
    pub fn get(&self, name: &ItemName) -> Register {
        self.registers.get(name).cloned().unwrap_or_default()
    }

    /// All registers, as they go to disk.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemName, &Register)> {
        self.registers.iter()
    }

    /// Digests of all that was accepted, by parts.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// What answers a question of a transfer: what was accepted in the parts that differ, from its name on.
    pub fn transfer_chunks(
        &self,
        bounds: TransferLimits,
        question: &TransferRequest,
    ) -> Vec<Chunk> {
        let from = question
            .after
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        // In calm nothing differs, and no name has to be looked at.
        let same = question.digests == self.digests.buckets();
        let rest = self
            .registers
            .range::<ItemName, _>((from, Bound::Unbounded))
            .filter(|_| !same);
        let held = rest.filter_map(|(_, register)| register.accepted.as_ref());
        let differing =
            held.filter(|(_, item)| self.digests.bucket_differs(&question.digests, &item.name));
        transfer::chunks(bounds, question.after.clone(), differing.cloned())
    }
}

#[cfg(test)]
mod tests;
