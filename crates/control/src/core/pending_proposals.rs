//! Registers whose accepted value is not known to be chosen. Its proposer may have stopped before the proposal
//! completed; another replica then has to complete it by a repair.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::ItemName;

use super::ids::ReplicaId;
use crate::limits;

/// The registers of one replica that may need a repair.
#[derive(Clone, Debug, Default)]
pub struct PendingProposals {
    /// When each register was added, or when its last repair ended.
    pending_since: BTreeMap<ItemName, i64>,
    /// The registers that a repair in progress covers.
    under_repair: BTreeSet<ItemName>,
}

impl PendingProposals {
    /// Adds a register whose accepted value is not known to be chosen.
    pub fn insert(&mut self, now: i64, name: &ItemName) {
        self.pending_since.entry(name.clone()).or_insert(now);
    }

    /// Whether the register is pending.
    pub fn contains(&self, name: &ItemName) -> bool {
        self.pending_since.contains_key(name)
    }

    /// Removes a register whose value is known to be chosen.
    pub fn remove(&mut self, name: &ItemName) {
        self.pending_since.remove(name);
        self.under_repair.remove(name);
    }

    /// The time of the next repair at this replica; `None` if nothing is pending or the maximum number of repairs is in
    /// progress. The replicas' delays are staggered, so that normally only one of them starts a repair.
    pub fn wake_at(&self, replica: ReplicaId) -> Option<i64> {
        if self.under_repair.len() >= limits::MAX_REPAIRS_IN_FLIGHT {
            return None;
        }
        let waiting = self.pending_since.iter();
        let waiting = waiting.filter(|(name, _)| !self.under_repair.contains(*name));
        let earliest = waiting.map(|(_, since)| *since).min()?;
        let stagger = i64::from(replica) * limits::REPAIR_STAGGER;
        Some(earliest + limits::REPAIR_DELAY + stagger)
    }

    /// Returns the registers to repair now and marks them as under repair; empty before the first of them is due.
    pub fn take_due_repairs(&mut self, now: i64, replica: ReplicaId) -> Vec<ItemName> {
        if self.wake_at(replica).is_none_or(|wake_at| wake_at > now) {
            return Vec::new();
        }
        // Registers that were added soon after the first one are repaired together with it.
        let latest = now - limits::REPAIR_DELAY / 2;
        let due = self
            .pending_since
            .iter()
            .filter(|(_, since)| **since <= latest);
        let due = due.filter(|(name, _)| !self.under_repair.contains(*name));
        let remaining = limits::MAX_REPAIRS_IN_FLIGHT - self.under_repair.len();
        let due: Vec<ItemName> = due.take(remaining).map(|(name, _)| name.clone()).collect();
        self.under_repair.extend(due.iter().cloned());
        due
    }

    /// A proposal for these registers has ended. The delay of those that are still pending starts over.
    pub fn finish_repair(&mut self, now: i64, names: &[ItemName]) {
        for name in names {
            self.under_repair.remove(name);
            if let Some(since) = self.pending_since.get_mut(name) {
                *since = now;
            }
        }
    }

    /// The number of pending registers.
    pub fn len(&self) -> usize {
        self.pending_since.len()
    }

    /// Whether no register is pending.
    pub fn is_empty(&self) -> bool {
        self.pending_since.is_empty()
    }
}
