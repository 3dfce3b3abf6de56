//! The registers of one replica: its promises and accepted values, one register per item name.
//!
//! Promises are kept per register, so that changes of different items do not conflict. The promises of a previous
//! incarnation, before its disk was lost, are not known per register: a floor under all promises covers them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Bound;

use protocol::digests::Digests;
use protocol::items::{Item, ItemName};
use serde::{Deserialize, Serialize};

use super::ids::Ballot;
use super::peer_messages::TransferRequest;
use super::transfer::{self, Chunk, TransferLimits};

/// A register of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// No proposal below this ballot is accepted.
    pub promised_ballot: Ballot,
    /// The value accepted last, and its ballot.
    pub accepted_value: Option<(Ballot, Item)>,
}

/// All registers of one replica.
#[derive(Clone, Debug, Default)]
pub struct Registers {
    floor: Ballot,
    registers: BTreeMap<ItemName, Register>,
    digests: Digests,
}

/// The digest of an accepted or chosen value. The digest of a set is the XOR of the digests of its entries.
pub fn entry_digest(ballot: &Ballot, item: &Item) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ballot, item).hash(&mut hasher);
    hasher.finish()
}

impl Registers {
    /// Creates the registers from those read from disk.
    pub fn restore(floor: Ballot, registers: Vec<(ItemName, Register)>) -> Registers {
        let mut digests = Digests::default();
        for (_, register) in &registers {
            if let Some((ballot, item)) = &register.accepted_value {
                digests.toggle(&item.name, entry_digest(ballot, item));
            }
        }
        Registers {
            floor,
            registers: registers.into_iter().collect(),
            digests,
        }
    }

    fn promised(&self, name: &ItemName) -> Ballot {
        let register = self.registers.get(name);
        register.map_or(self.floor, |register| {
            register.promised_ballot.max(self.floor)
        })
    }

    /// Fails with the highest promise on any of these registers if that is above `ballot`.
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

    fn promise(&mut self, ballot: Ballot, name: &ItemName) {
        let register = self.registers.entry(name.clone()).or_default();
        register.promised_ballot = ballot;
    }

    /// Promises to accept nothing below `ballot` on these registers. Returns their accepted values.
    ///
    /// # Errors
    /// The highest promise on any of them, if it is above `ballot`; then nothing is promised.
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        names: &[ItemName],
    ) -> Result<Vec<(Ballot, Item)>, Ballot> {
        self.check_promises(ballot, names.iter())?;
        for name in names {
            self.promise(ballot, name);
        }
        let accepted = names
            .iter()
            .filter_map(|name| self.accepted_value(name).cloned());
        Ok(accepted.collect())
    }

    /// Accepts all of the items under `ballot`, or none.
    ///
    /// # Errors
    /// The highest promise on any of their registers, if it is above `ballot`; then nothing is accepted.
    pub fn accept(&mut self, ballot: Ballot, items: &[Item]) -> Result<(), Ballot> {
        self.check_promises(ballot, items.iter().map(|item| &item.name))?;
        for item in items {
            self.promise(ballot, &item.name);
            self.store_accepted(ballot, item.clone());
        }
        Ok(())
    }

    fn store_accepted(&mut self, ballot: Ballot, item: Item) {
        let name = item.name.clone();
        self.digests.toggle(&name, entry_digest(&ballot, &item));
        let register = self.registers.entry(name.clone()).or_default();
        if let Some((ballot, item)) = register.accepted_value.replace((ballot, item)) {
            self.digests.toggle(&name, entry_digest(&ballot, &item));
        }
    }

    /// Stores a value that is chosen, or that another replica has accepted and this one recovers, unless a value with a
    /// higher ballot was accepted here. Returns whether it was stored.
    pub fn adopt(&mut self, ballot: Ballot, item: &Item) -> bool {
        let known = self.accepted_value(&item.name);
        let is_newer = known.is_none_or(|(known_ballot, _)| *known_ballot < ballot);
        if is_newer {
            self.store_accepted(ballot, item.clone());
            // Without this promise a late message of an earlier proposal would be accepted and overwrite this copy for
            // good.
            if let Some(register) = self.registers.get_mut(&item.name) {
                register.promised_ballot = register.promised_ballot.max(ballot);
            }
        }
        is_newer
    }

    /// Raises the floor under all promises.
    pub fn raise_promise_floor(&mut self, floor: Ballot) {
        self.floor = self.floor.max(floor);
    }

    /// The floor under all promises.
    pub fn promise_floor(&self) -> Ballot {
        self.floor
    }

    /// The highest promise on any register.
    pub fn highest_promise(&self) -> Ballot {
        let promises = self
            .registers
            .values()
            .map(|register| register.promised_ballot);
        promises.fold(self.floor, Ballot::max)
    }

    /// The accepted value of a register, and its ballot.
    pub fn accepted_value(&self, name: &ItemName) -> Option<&(Ballot, Item)> {
        self.registers.get(name)?.accepted_value.as_ref()
    }

    /// All accepted values, sorted by name.
    pub fn accepted_entries(&self) -> impl Iterator<Item = &(Ballot, Item)> {
        let registers = self.registers.values();
        registers.filter_map(|register| register.accepted_value.as_ref())
    }

    /// A register as it is persisted; the default one if it has never been used.
    pub fn get(&self, name: &ItemName) -> Register {
        self.registers.get(name).cloned().unwrap_or_default()
    }

    /// All registers as they are persisted.
    pub fn iter(&self) -> impl Iterator<Item = (&ItemName, &Register)> {
        self.registers.iter()
    }

    /// Digests of the accepted values, by bucket.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// The chunks that answer a transfer request: the accepted values of the buckets that differ, after the name at
    /// which it continues.
    pub fn transfer_chunks(&self, limits: TransferLimits, request: &TransferRequest) -> Vec<Chunk> {
        let start_after = request.start_after.as_ref();
        let from = start_after.map_or(Bound::Unbounded, Bound::Excluded);
        // Normally nothing differs, and the entries need no comparison by bucket.
        let has_same_digests = request.digests == self.digests.buckets();
        let remaining = self
            .registers
            .range::<ItemName, _>((from, Bound::Unbounded));
        let accepted = remaining.filter_map(|(_, register)| register.accepted_value.as_ref());
        let differing = accepted.filter(|(_, item)| {
            !has_same_digests && self.digests.bucket_differs(&request.digests, &item.name)
        });
        transfer::response_chunks(limits, request.start_after.clone(), differing.cloned())
    }
}

#[cfg(test)]
mod tests;
