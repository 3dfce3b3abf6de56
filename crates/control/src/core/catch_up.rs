//! Whether this replica knows everything that is chosen.
//!
//! After a start, or without contact to a quorum, a replica may know less than the others. First it learns what they know to be
//! chosen, until more than half of the replicas, itself included, know the same, or, while items change all the time, for
//! [`limits::CATCH_UP_DURATION`]. That may still lack what was acknowledged by a replica that is gone: it is accepted by more
//! than half, and none of them may know that it is chosen. So then a quorum read follows, and once everything that it has found
//! is known to be chosen the replica is up to date.

use std::collections::BTreeMap;

use super::anti_entropy::DigestExchange;
use super::ids::{Incarnation, ReplicaId};
use super::quorum_read::ReadPurpose;
use super::replicas::Sender;
use super::{Output, Replica};
use crate::limits;

/// Heartbeats in a row with another digest after which a replica is asked for what differs.
const MISMATCHES_BEFORE_EXCHANGE: u32 = 2;

/// What a replica knows about its own completeness.
#[derive(Debug)]
pub(super) struct CatchUp {
    /// The replicas whose chosen items were all known here at some instant since the start, one bit each.
    matched_replicas: u128,
    is_up_to_date: bool,
    /// The read begins at this time, whatever the digests say.
    read_due_at: Option<i64>,
    /// How often this replica has lost contact to a quorum: a read that began before does not count.
    epoch: u64,
    /// Heartbeats in a row of each replica with another digest of the chosen items.
    digest_mismatches: BTreeMap<ReplicaId, u32>,
    /// No other replica is asked for chosen items before this time.
    next_request_at: i64,
    pub(super) exchange: DigestExchange,
    exchange_id_base: u64,
}

impl CatchUp {
    pub(super) fn new(now: i64, incarnation: Incarnation, run: u32) -> CatchUp {
        CatchUp {
            matched_replicas: 0,
            is_up_to_date: false,
            read_due_at: None,
            epoch: 0,
            digest_mismatches: BTreeMap::new(),
            next_request_at: now,
            exchange: DigestExchange::default(),
            // Hazard: with the numbers of a former process, a late answer to that one would be taken for one to this.
            exchange_id_base: u64::from(incarnation.number) << 48 | u64::from(run) << 24,
        }
    }

    /// Whether everything that is chosen is known here, as far as a quorum can tell.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.is_up_to_date
    }

    /// When another replica may be asked for chosen items.
    pub(super) fn next_request_at(&self) -> i64 {
        self.next_request_at
    }

    /// Whether a digest exchange waits for its answer.
    pub(super) fn is_exchanging(&self) -> bool {
        self.exchange.is_open()
    }

    /// Opens a digest exchange in place of any other, and gives its id.
    pub(super) fn open_exchange(&mut self, number: u64) -> u64 {
        let id = self.exchange_id_base + number;
        self.exchange = DigestExchange::new(id);
        id
    }

    /// Without contact to a quorum the others may choose what this replica does not hear of.
    pub(super) fn reset(&mut self) {
        self.is_up_to_date = false;
        self.matched_replicas = 0;
        self.read_due_at = None;
        self.epoch += 1;
    }

    /// Counts a heartbeat whose digest is, or is not, the one of this replica. Gives whether its sender is to be asked for
    /// what differs.
    fn count_mismatch(
        &mut self,
        now: i64,
        replica: ReplicaId,
        matches: bool,
        may_ask: bool,
    ) -> bool {
        let mismatches = self.digest_mismatches.entry(replica).or_default();
        *mismatches = if matches { 0 } else { *mismatches + 1 };
        let ask = *mismatches >= MISMATCHES_BEFORE_EXCHANGE && now >= self.next_request_at;
        if ask && may_ask {
            *mismatches = 0;
            self.next_request_at = now + limits::SYNC_REQUEST_INTERVAL;
        }
        ask && may_ask
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
        let may_ask = self.table.is_participant();
        if self.catch_up.count_mismatch(now, replica, matches, may_ask) {
            self.request_digest_exchange(sender.address, out);
        }
    }

    /// Everything that another replica knew to be chosen is known here.
    pub(super) fn handle_caught_up(&mut self, now: i64, replica: ReplicaId, out: &mut Vec<Output>) {
        self.catch_up.matched_replicas |= 1 << replica;
        self.update_up_to_date(now, out);
    }

    /// Chosen items are on their way to this replica: it is not up to date, and asks no second replica meanwhile.
    pub(super) fn mark_lagging(&mut self, now: i64) {
        self.catch_up.read_due_at = Some(now + limits::CATCH_UP_DURATION);
        self.catch_up.next_request_at = now + limits::SYNC_REQUEST_INTERVAL;
    }

    /// Begins the read that makes this replica up to date, once nothing else is to be learned before.
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

    /// Everything that more than half of the replicas have accepted is known to be chosen here: the agents are told.
    pub(super) fn handle_catch_up_read(&mut self, epoch: u64, out: &mut Vec<Output>) {
        if epoch == self.catch_up.epoch
            && !std::mem::replace(&mut self.catch_up.is_up_to_date, true)
        {
            self.announce_complete(out);
        }
    }
}
