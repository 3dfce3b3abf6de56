//! Handover: a replica that is told to end stays until a quorum without it has on disk what it knows to be chosen.
//!
//! It asks each other replica by digests what that one has on disk, sends what is missing there, and counts a replica once
//! everything is confirmed. Once enough of them are complete it votes on no further proposals and asks all of them again:
//! what it helped to choose meanwhile is handed over as well. A superseded replica hands over in the same way, and stays
//! until the newer incarnation takes part, as its votes may have been part of what that one is still gathering.

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

/// How much of the handover one other replica has.
#[derive(Clone, Debug, Default)]
struct Receiver {
    /// What it lacked when it first answered and has not confirmed since; none before its first answer.
    missing: Option<BTreeSet<ItemName>>,
    /// The items that were sent and are not confirmed yet, by the id of the message.
    in_flight: BTreeMap<u64, Vec<ItemName>>,
}

impl Receiver {
    fn is_complete(&self) -> bool {
        self.missing.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Takes in the digests of what is on its disk. Gives the items to send now.
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
        let to_send = differing.into_iter();
        to_send
            .filter(|(_, item)| missing.contains(&item.name))
            .collect()
    }
}

/// The handover of a replica that is to end.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    receivers: BTreeMap<ReplicaId, Receiver>,
    /// No further proposal is voted on; what counts now are the answers to the second query.
    is_voting_closed: bool,
    /// Another replica hears the newer incarnation of this one.
    is_successor_reachable: bool,
    is_done: bool,
    next_query_at: i64,
}

impl Handover {
    /// How many other replicas have everything.
    fn complete_receiver_count(&self) -> usize {
        let receivers = self.receivers.values();
        receivers.filter(|receiver| receiver.is_complete()).count()
    }

    /// Whether no further proposal of another replica is voted on.
    pub(super) fn is_voting_closed(&self) -> bool {
        self.is_voting_closed
    }

    /// When [`Replica::drive_handover`] is due.
    pub(super) fn wake_at(&self) -> Option<i64> {
        (!self.is_done).then_some(self.next_query_at)
    }
}

impl Replica {
    /// Whether a quorum without this replica has what it knows to be chosen, or it was not told to end.
    pub fn is_handed_over(&self) -> bool {
        self.handover
            .as_ref()
            .is_none_or(|handover| handover.is_done)
    }

    /// The process was told to end, or has recovered after that.
    pub(super) fn begin_handover(&mut self, now: i64) {
        self.handover = Some(Handover {
            next_query_at: now,
            // A replica that has not recovered has no votes, and nothing that the others lack.
            is_done: self.table.local().incarnation == Incarnation::NONE,
            ..Handover::default()
        });
    }

    /// The message that asks what a replica has on disk, and which incarnation of this one it hears.
    pub(super) fn handover_query() -> Payload {
        Payload::HandoverRequest {
            id: 0,
            items: Vec::new(),
        }
    }

    /// Queries the receivers that are not complete, and checks whether enough of them are.
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

    /// Whether everything is handed over. The first time that it seems so, voting ends and all are queried again.
    fn check_handover(&self, handover: &mut Handover, out: &mut Vec<Output>) -> bool {
        let others = self.table.replica_count() - 1;
        let needed = self.table.quorum_size().min(others);
        if self.table.is_superseded() {
            return handover.is_successor_reachable
                && handover.complete_receiver_count() + 1 >= needed;
        }
        // Hazard: what was accepted here and is not known to be chosen may have been acknowledged by another replica, and
        // a read in progress may become a proposal.
        let at_work = !self.is_idle() || !self.proposals.is_empty();
        if handover.complete_receiver_count() < needed || !self.pending.is_empty() || at_work {
            return false;
        }
        if handover.is_voting_closed {
            return true;
        }
        handover.is_voting_closed = true;
        handover.receivers.clear();
        self.query_receivers(handover, out);
        needed == 0
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

    /// Another replica is to end: learns the items that it knows to be chosen, and confirms once they are on disk. The
    /// sender may be a former incarnation, as what is chosen stays chosen.
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
        // A process speaks under its incarnation only once it takes part, and only the newest one counts as reachable.
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
        // Records are written in order: once this write is done, so are all before it.
        let ack = PendingWrite::SendVote(Some(sender.address), ack);
        self.write(Vec::new(), Some(ack), out);
    }

    /// Another replica says what it has on disk, and which incarnation of this replica it hears.
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
        // Hazard: a handover that is done has to stay, as it keeps this replica from voting.
        let Some(mut handover) = self.handover.take_if(|handover| !handover.is_done) else {
            return;
        };
        handover.is_successor_reachable |= slot_incarnation > local.incarnation;
        let receiver = handover.receivers.entry(sender.replica()).or_default();
        let entries = receiver.handle_digests(id, digests, &self.chosen);
        // Everything is sent at once: this replica has only its grace period, and its receivers request nothing more.
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
