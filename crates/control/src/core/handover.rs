//! Handover: a replica that is asked to shut down keeps running until a quorum without it has all items that it knows
//! to be chosen on disk.
//!
//! It queries the digests of the items on each other replica's disk, sends the missing items, and counts the replica as
//! complete once all of them are confirmed. Once enough replicas are complete it stops voting on other replicas'
//! proposals and queries all of them again, so that items which its votes helped to choose meanwhile are handed over as
//! well. A superseded replica hands over in the same way, and keeps running until the newer incarnation participates,
//! since that one may still be collecting values that depend on its votes.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::{Item, ItemName};

use super::chosen::ChosenItems;
use super::ids::{Ballot, Incarnation, ReplicaId};
use super::outbox::PendingWrite;
use super::peer_messages::Payload;
use super::replicas::Sender;
use super::transfer::{TransferLimits, split_into_chunks};
use super::{Output, Replica};
use crate::limits;

/// The progress of the handover to one other replica.
#[derive(Clone, Debug, Default)]
struct Receiver {
    /// The items that were missing in its first answer and have not been confirmed since; `None` before that answer.
    missing: Option<BTreeSet<ItemName>>,
    /// The items sent and not yet confirmed, by the id of the message.
    in_flight: BTreeMap<u64, Vec<ItemName>>,
}

impl Receiver {
    fn is_complete(&self) -> bool {
        self.missing.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Handles the digests of the items on its disk. Returns the items to send now.
    fn handle_digests(
        &mut self,
        id: u64,
        digests: &[u64],
        chosen: &ChosenItems,
    ) -> Vec<(Ballot, Item)> {
        let differing = chosen.entries_differing_from(digests).cloned();
        let differing: Vec<(Ballot, Item)> = differing.collect();
        let names = differing.iter().map(|(_, item)| item.name.clone());
        let names: BTreeSet<ItemName> = names.collect();
        let confirmed = self.in_flight.remove(&id).unwrap_or_default();
        let missing = self.missing.get_or_insert_with(|| names.clone());
        missing.retain(|name| names.contains(name) && !confirmed.contains(name));
        if !self.in_flight.is_empty() {
            return Vec::new();
        }
        let unconfirmed = differing.into_iter();
        unconfirmed
            .filter(|(_, item)| missing.contains(&item.name))
            .collect()
    }
}

/// The handover of a replica that shuts down.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    receivers: BTreeMap<ReplicaId, Receiver>,
    /// No further proposals of other replicas are voted on, and receivers are complete by their answers to the second
    /// query.
    is_voting_closed: bool,
    /// Another replica reports the newer incarnation of this one as reachable.
    is_successor_reachable: bool,
    is_done: bool,
    next_query_at: i64,
}

impl Handover {
    /// The number of other replicas that have all items.
    fn complete_receiver_count(&self) -> usize {
        let receivers = self.receivers.values();
        receivers.filter(|receiver| receiver.is_complete()).count()
    }

    /// Whether no further proposals of other replicas are voted on.
    pub(super) fn is_voting_closed(&self) -> bool {
        self.is_voting_closed
    }

    /// The time at which [`Replica::drive_handover`] is due.
    pub(super) fn wake_at(&self) -> Option<i64> {
        (!self.is_done).then_some(self.next_query_at)
    }
}

impl Replica {
    /// Whether the handover is complete, or no shutdown was requested.
    pub fn is_handed_over(&self) -> bool {
        self.handover
            .as_ref()
            .is_none_or(|handover| handover.is_done)
    }

    /// Begins the handover, when a shutdown is requested or when a recovery completes after that.
    pub(super) fn begin_handover(&mut self, now: i64) {
        self.handover = Some(Handover {
            next_query_at: now,
            // A replica that has not recovered has cast no votes, and has no items that the others lack.
            is_done: self.table.local().incarnation == Incarnation::NONE,
            ..Handover::default()
        });
    }

    /// The message that queries the items on a replica's disk, and the incarnation of this replica that it can reach.
    pub(super) fn handover_query() -> Payload {
        Payload::HandoverRequest {
            id: 0,
            items: Vec::new(),
        }
    }

    /// Checks whether the handover is complete, and otherwise queries the receivers that are not.
    pub(super) fn drive_handover(&mut self, now: i64, out: &mut Vec<Output>) {
        let Some(mut handover) = self.handover.take() else {
            return;
        };
        if !handover.is_done && self.check_handover(&mut handover, out) {
            handover.is_done = true;
        }
        if !handover.is_done && now >= handover.next_query_at {
            handover.next_query_at = now + limits::RESEND_INTERVAL;
            self.query_receivers(&mut handover, out);
        }
        self.handover = Some(handover);
    }

    /// Whether all items are handed over. When enough receivers are complete for the first time, closes voting and
    /// queries all of them again.
    fn check_handover(&self, handover: &mut Handover, out: &mut Vec<Output>) -> bool {
        let others = self.table.replica_count() - 1;
        let required = self.table.quorum_size().min(others);
        if self.table.is_superseded() {
            return handover.is_successor_reachable
                && handover.complete_receiver_count() + 1 >= required;
        }
        // A value that was accepted here and is not known to be chosen may have been acknowledged by another replica,
        // and a read in progress may become a proposal.
        let has_open_work = !self.is_idle() || !self.proposals.is_empty();
        if handover.complete_receiver_count() < required
            || !self.pending.is_empty()
            || has_open_work
        {
            return false;
        }
        if handover.is_voting_closed {
            return true;
        }
        handover.is_voting_closed = true;
        handover.receivers.clear();
        self.query_receivers(handover, out);
        required == 0
    }

    fn query_receivers(&self, handover: &mut Handover, out: &mut Vec<Output>) {
        let local = self.table.local().replica;
        let awaits_successor = self.table.is_superseded() && !handover.is_successor_reachable;
        for replica in 0..self.table.replica_count() as ReplicaId {
            if replica == local {
                continue;
            }
            let receiver = handover.receivers.entry(replica).or_default();
            let Some(address) = self.table.address(replica) else {
                continue;
            };
            if !receiver.is_complete() || awaits_successor {
                receiver.in_flight.clear();
                self.send(vec![address], Replica::handover_query(), out);
            }
        }
    }

    /// Another replica shuts down: learns the items that it knows to be chosen, and confirms them once they are on
    /// disk. The sender may be an earlier incarnation, since chosen items stay chosen.
    pub(super) fn handle_handover_request(
        &mut self,
        now: i64,
        sender: Sender,
        id: u64,
        entries: Vec<(Ballot, Item)>,
        out: &mut Vec<Output>,
    ) {
        if !self.table.is_participant() || self.disk.is_full {
            return;
        }
        self.learn_chosen(now, entries, out);
        // A process sends messages under its incarnation only once it participates, and only the newest incarnation
        // counts as reachable.
        let replica = sender.replica();
        let slot_incarnation = if self.table.is_reachable(now, replica) {
            self.table.newest_incarnation(replica)
        } else {
            Incarnation::NONE
        };
        let ack = Payload::HandoverAck {
            id,
            digests: self.chosen.digest_buckets().to_vec(),
            slot_incarnation,
        };
        // Records are written in order: once this write is done, all earlier ones are.
        let ack = PendingWrite::SendVote(Some(sender.address), ack);
        self.write(Vec::new(), Some(ack), out);
    }

    /// Another replica reports the digests of the items on its disk, and the incarnation of this replica that it can
    /// reach.
    pub(super) fn handle_handover_ack(
        &mut self,
        now: i64,
        sender: Sender,
        id: u64,
        digests: &[u64],
        slot_incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        self.handle_slot_report(now, sender.replica(), slot_incarnation);
        let local = self.table.local();
        // A completed handover must not be taken out, since it keeps this replica from voting.
        let Some(mut handover) = self.handover.take_if(|handover| !handover.is_done) else {
            return;
        };
        handover.is_successor_reachable |= slot_incarnation > local.incarnation;
        let receiver = handover.receivers.entry(sender.replica()).or_default();
        let entries = receiver.handle_digests(id, digests, &self.chosen);
        // All items are sent at once: this replica has only its grace period, and receivers do not request more chunks.
        let limits = TransferLimits {
            response_bytes: usize::MAX,
            ..self.transfer_limits
        };
        let split = split_into_chunks(limits, entries.into_iter(), |(_, item)| item);
        for items in split.chunks.into_iter().filter(|chunk| !chunk.is_empty()) {
            let id = self.next_request_id();
            let names = items.iter().map(|(_, item)| item.name.clone()).collect();
            receiver.in_flight.insert(id, names);
            let payload = Payload::HandoverRequest { id, items };
            self.send(vec![sender.address], payload, out);
        }
        self.handover = Some(handover);
    }
}
