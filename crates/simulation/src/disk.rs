//! A replica's disk as the simulation plays it: rows are there once they are synced; a loss of power keeps some of the rest.

use std::collections::{BTreeMap, VecDeque};

use control::core::ids::{Ballot, Incarnation};
use control::core::registers::Register;
use control::core::{Record, RecoveredState, ReplicaMetadata};
use protocol::items::{Item, ItemName};

/// What is on a disk, and what is on its way.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// About the replica itself.
    pub own: ReplicaMetadata,
    registers: BTreeMap<ItemName, Register>,
    chosen: BTreeMap<ItemName, (Ballot, Item)>,
    /// Writes that are not synced, by their numbers, in order.
    pub waiting: VecDeque<(u64, Vec<Record>)>,
    /// Nothing is synced before then.
    pub stalled: i64,
    /// Nothing more goes on it.
    pub full: bool,
}

impl Disk {
    fn apply(&mut self, rows: Vec<Record>) {
        for row in rows {
            match row {
                Record::Metadata(own) => self.own = own,
                Record::Register(name, register) => _ = self.registers.insert(name, register),
                Record::Chosen(ballot, item) => {
                    _ = self.chosen.insert(item.name.clone(), (ballot, item))
                }
            }
        }
    }

    /// Syncs all up to this number; gives the numbers that are there now.
    pub fn sync(&mut self, number: u64) -> Vec<u64> {
        let Some(place) = self.waiting.iter().position(|(waits, _)| *waits == number) else {
            return Vec::new();
        };
        let done: Vec<_> = self.waiting.drain(..=place).collect();
        done.into_iter()
            .map(|(number, rows)| {
                self.apply(rows);
                number
            })
            .collect()
    }

    /// Of what waits, the first so many get there; the rest is lost.
    pub fn cut(&mut self, kept: usize) {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .take(kept)
            .for_each(|(_, rows)| self.apply(rows));
        self.stalled = 0;
    }

    /// What a process finds that starts; half a rebuilding counts for nothing.
    pub fn restore(&mut self) -> RecoveredState {
        if self.own.incarnation == Incarnation::NONE {
            *self = Disk {
                full: self.full,
                ..Disk::default()
            };
            return RecoveredState::default();
        }
        self.own.run += 1;
        RecoveredState {
            metadata: self.own.clone(),
            registers: self.registers.clone().into_iter().collect(),
            chosen: self.chosen.values().cloned().collect(),
        }
    }

    /// The version of an item that is on the disk, as a vote counts it.
    pub fn version(&self, name: &ItemName) -> Option<u64> {
        self.registers
            .get(name)?
            .accepted_value
            .as_ref()
            .map(|(_, item)| item.ver)
    }

    /// All versions that are on the disk.
    pub fn versions(&self) -> impl Iterator<Item = (&ItemName, u64)> {
        self.registers
            .keys()
            .filter_map(|name| Some((name, self.version(name)?)))
    }

    /// Deliberate harm, for the simulation's own tests: dropped items are not there after a start.
    pub fn forget_dropped(&mut self) {
        self.registers.retain(|_, register| {
            register
                .accepted_value
                .as_ref()
                .is_none_or(|(_, item)| item.spec.is_some())
        });
        self.chosen.retain(|_, (_, item)| item.spec.is_some());
    }
}
