//! Tracks whether this replica knows all chosen items.
//!
//! After a start or a loss of contact to a quorum, a replica may know fewer chosen items than the others. It first
//! learns the items that they know to be chosen, until more than half of the replicas, itself included, know the same
//! ones, or, if items change continuously, for [`limits::CATCH_UP_DURATION`]. A change that was acknowledged by a
//! replica that is now gone may still be missing: more than half have accepted it, but none of them may know that it is
//! chosen. Therefore a quorum read follows; once everything that it finds is known to be chosen, the replica is up to
//! date.

use std::collections::BTreeMap;

use super::anti_entropy::DigestExchange;
use super::events::Event;
use super::ids::{Incarnation, ReplicaId};
use super::quorum_read::ReadPurpose;
use super::replicas::Sender;
use super::{Output, Replica};
use crate::limits;

/// The number of consecutive heartbeats with a different digest after which an exchange with their sender begins.
const MISMATCHES_BEFORE_EXCHANGE: u32 = 2;

/// The progress of a replica in learning all chosen items.
#[derive(Debug)]
pub(super) struct CatchUp {
    /// The replicas whose chosen items were all known here at some time since the start or the last reset, one bit
    /// each.
    matched_replicas: u128,
    is_up_to_date: bool,
    /// Whether this has been so at any time since the start.
    has_been_up_to_date: bool,
    /// The read begins at this time at the latest, even if digests still differ.
    read_due_at: Option<i64>,
    /// Counts the resets: a read that began before the last one does not make this replica up to date.
    epoch: u64,
    /// The number of consecutive heartbeats of each replica with a different digest of the chosen items.
    digest_mismatches: BTreeMap<ReplicaId, u32>,
    /// Earliest time of the next request for another replica's chosen items.
    next_request_at: i64,
    pub(super) exchange: DigestExchange,
    exchange_id_base: u64,
}

impl CatchUp {
    pub(super) fn new(now: i64, incarnation: Incarnation, run: u32) -> CatchUp {
        CatchUp {
            matched_replicas: 0,
            is_up_to_date: false,
            has_been_up_to_date: false,
            read_due_at: None,
            epoch: 0,
            digest_mismatches: BTreeMap::new(),
            next_request_at: now,
            exchange: DigestExchange::default(),
            // Ids differ from those of earlier processes, so that a late response to one of these matches no exchange
            // here.
            exchange_id_base: u64::from(incarnation.number) << 48 | u64::from(run) << 24,
        }
    }

    /// Whether all chosen items are known here, as verified by a quorum read since the last reset.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.is_up_to_date
    }

    /// Whether all items that were chosen at some earlier time are known here. Before that, the known ones may be any part: a
    /// replica that lost its disk learns the items of new proposals before the older ones.
    pub(super) fn has_been_up_to_date(&self) -> bool {
        self.has_been_up_to_date
    }

    /// Earliest time of the next request for another replica's chosen items.
    pub(super) fn next_request_at(&self) -> i64 {
        self.next_request_at
    }

    /// Whether a digest exchange is open.
    pub(super) fn is_exchanging(&self) -> bool {
        self.exchange.is_open()
    }

    /// Opens a digest exchange in place of any other. Returns its id.
    pub(super) fn open_exchange(&mut self, number: u64) -> u64 {
        let id = self.exchange_id_base + number;
        self.exchange = DigestExchange::new(id);
        id
    }

    /// Starts over: without contact to a quorum the other replicas may choose items unknown here.
    pub(super) fn reset(&mut self) {
        self.is_up_to_date = false;
        self.matched_replicas = 0;
        self.read_due_at = None;
        self.epoch += 1;
    }

    /// Counts consecutive heartbeats whose digest differs from the local one. Returns whether to begin an exchange with
    /// the sender now.
    fn count_mismatch(
        &mut self,
        now: i64,
        replica: ReplicaId,
        matches: bool,
        may_request: bool,
    ) -> bool {
        let mismatches = self.digest_mismatches.entry(replica).or_default();
        *mismatches = if matches { 0 } else { *mismatches + 1 };
        let is_due = *mismatches >= MISMATCHES_BEFORE_EXCHANGE && now >= self.next_request_at;
        if is_due && may_request {
            *mismatches = 0;
            self.next_request_at = now + limits::SYNC_REQUEST_INTERVAL;
        }
        is_due && may_request
    }
}

impl Replica {
    /// Compares the digest of another replica's chosen items with that of this one.
    pub(super) fn compare_chosen_digest(
        &mut self,
        now: i64,
        sender: Sender,
        chosen_digest: u64,
        out: &mut Vec<Output>,
    ) {
        let replica = sender.replica();
        if !self.catch_up.is_up_to_date && self.has_quorum_contact {
            if chosen_digest == self.chosen.digest() {
                self.catch_up.matched_replicas |= 1 << replica;
            }
            self.update_up_to_date(now, out);
        }
        let matches = chosen_digest == self.chosen.digest();
        let may_request = self.table.is_participant();
        if self
            .catch_up
            .count_mismatch(now, replica, matches, may_request)
        {
            self.request_digest_exchange(sender.address, out);
        }
    }

    /// All items that another replica knew to be chosen are known here.
    pub(super) fn handle_caught_up(&mut self, now: i64, replica: ReplicaId, out: &mut Vec<Output>) {
        self.catch_up.matched_replicas |= 1 << replica;
        self.update_up_to_date(now, out);
    }

    /// Chosen items are being transferred to this replica: postpones the read and the next request to another replica.
    pub(super) fn mark_lagging(&mut self, now: i64) {
        self.catch_up.read_due_at = Some(now + limits::CATCH_UP_DURATION);
        self.catch_up.next_request_at = now + limits::SYNC_REQUEST_INTERVAL;
    }

    /// Begins the quorum read that makes this replica up to date, once a quorum knows the same items or the time is
    /// over.
    pub(super) fn update_up_to_date(&mut self, now: i64, out: &mut Vec<Output>) {
        if self.catch_up.is_up_to_date || !self.has_quorum_contact || self.reads.is_catching_up() {
            return;
        }
        let matched = self.catch_up.matched_replicas.count_ones() as usize + 1;
        let quorum_matches = matched >= self.table.quorum_size() && self.pending.is_empty();
        let deadline = now + limits::CATCH_UP_DURATION;
        let deadline = *self.catch_up.read_due_at.get_or_insert(deadline);
        if (quorum_matches || now >= deadline) && self.table.is_participant() {
            let purpose = ReadPurpose::CatchUp {
                epoch: self.catch_up.epoch,
            };
            self.start_read(now, purpose, now + limits::CATCH_UP_READ_TIMEOUT, out);
        }
    }

    /// The quorum read has completed: this replica is up to date, and notifies the agents.
    pub(super) fn handle_catch_up_read(&mut self, epoch: u64, out: &mut Vec<Output>) {
        if epoch == self.catch_up.epoch
            && !std::mem::replace(&mut self.catch_up.is_up_to_date, true)
        {
            self.catch_up.has_been_up_to_date = true;
            let items = self.chosen.len();
            out.push(Output::Log(Event::CaughtUp { items }));
            self.announce_complete(out);
        }
    }
}
