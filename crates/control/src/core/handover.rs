//! Handover: a replica that is told to end stays until what it knows to be chosen is on the disks of a majority
//! without it.
//!
//! It asks each other replica by digests what that one holds on disk, sends what is missing there, and counts a replica
//! once all of it is confirmed. Once enough of them are, it votes on no further proposals and asks all once more: what it
//! helped to choose meanwhile is handed over as well. A replica whose slot has a newer incarnation hands over what it
//! knows to be chosen in the same way, and stays until the newer incarnation is whole, as its vote may have been part of
//! what that one is still gathering.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::items::{Item, ItemName};

use super::chosen::ChosenItems;
use super::outbox::PendingWrite;
use super::peer_messages::{Ballot, Incarnation, Payload, ReplicaId};
use super::transfer::{TransferLimits, split_into_chunks};
use super::{Output, Replica};
use crate::limits;

/// How far one other replica is.
#[derive(Clone, Debug, Default)]
struct Receiver {
    /// What it lacked when it first answered and has not confirmed since; none before that.
    missing: Option<BTreeSet<ItemName>>,
    /// Items on their way to it, by the number of the message.
    in_flight: BTreeMap<u64, Vec<ItemName>>,
}

impl Receiver {
    fn is_complete(&self) -> bool {
        self.missing.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// What is on its disk, as it says. Gives the items to send it now.
    fn handle_digests(
        &mut self,
        id: u64,
        parts: &[u64],
        news: &ChosenItems,
    ) -> Vec<(Ballot, Item)> {
        let lacking: Vec<(Ballot, Item)> = news.entries_differing_from(parts).cloned().collect();
        let names: BTreeSet<ItemName> = lacking.iter().map(|(_, item)| item.name.clone()).collect();
        let confirmed = self.in_flight.remove(&id).unwrap_or_default();
        let owed = self.missing.get_or_insert_with(|| names.clone());
        owed.retain(|name| names.contains(name) && !confirmed.contains(name));
        if !self.in_flight.is_empty() {
            return Vec::new();
        }
        lacking
            .into_iter()
            .filter(|(_, item)| owed.contains(&item.name))
            .collect()
    }
}

/// The handover of a replica that is to end.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    receivers: BTreeMap<ReplicaId, Receiver>,
    /// No further proposal is voted on; what counts now is the second asking.
    voting_closed: bool,
    /// The newer incarnation of its own slot was heard by another replica.
    successor_seen: bool,
    done: bool,
    wake_at: i64,
}

impl Handover {
    /// So many other replicas hold all of it.
    fn complete_receivers(&self) -> usize {
        self.receivers
            .values()
            .filter(|receiver| receiver.is_complete())
            .count()
    }

    /// Nothing new is voted on.
    pub(super) fn voting_closed(&self) -> bool {
        self.voting_closed
    }

    /// When it is to be looked at again.
    pub(super) fn wake(&self) -> Option<i64> {
        (!self.done).then_some(self.wake_at)
    }
}

impl Replica {
    /// What this replica holds stands on a majority of the replicas without it; or it was not told to end.
    pub fn is_handed_over(&self) -> bool {
        self.handover.as_ref().is_none_or(|handover| handover.done)
    }

    /// The process was told to end, or became whole after that.
    pub(super) fn begin_handover(&mut self, now: i64) {
        // One that has rebuilt nothing counts for nothing, and holds nothing that others lack.
        let done = self.table.local().incarnation == Incarnation::NONE;
        self.handover = Some(Handover {
            wake_at: now,
            done,
            ..Handover::default()
        });
    }

    /// Asks those again that have not confirmed all, and looks whether enough have.
    pub(super) fn drive_handover(&mut self, now: i64, out: &mut Vec<Output>) {
        let Some(mut handover) = self.handover.take() else {
            return;
        };
        if !handover.done && self.check_handover(&mut handover, out) {
            handover.done = true;
        }
        if !handover.done && now >= handover.wake_at {
            handover.wake_at = now + limits::RESEND_INTERVAL;
            self.request_digests(&mut handover, out);
        }
        self.handover = Some(handover);
    }

    /// Whether all is handed over; the first time that it seems so, votes end and all are asked once more.
    fn check_handover(&self, handover: &mut Handover, out: &mut Vec<Output>) -> bool {
        let others = self.table.replica_count() - 1;
        let needed = self.table.quorum().min(others);
        let aside = self.table.is_superseded();
        if aside {
            return handover.successor_seen && handover.complete_receivers() + 1 >= needed;
        }
        // Danger: what was accepted here and is not known to be chosen may have been acknowledged by another replica.
        // A reading that is under way may become a round.
        let at_work = !self.is_idle() || !self.proposals.is_empty();
        if handover.complete_receivers() < needed || !self.pending.is_empty() || at_work {
            return false;
        }
        if handover.voting_closed {
            return true;
        }
        handover.voting_closed = true;
        handover.receivers.clear();
        self.request_digests(handover, out);
        needed == 0
    }

    fn request_digests(&self, handover: &mut Handover, out: &mut Vec<Output>) {
        let me = self.table.local().replica;
        for replica in (0..self.table.replica_count() as ReplicaId).filter(|replica| *replica != me)
        {
            let receiver = handover.receivers.entry(replica).or_default();
            let Some(address) = self.table.address(replica) else {
                continue;
            };
            if !receiver.is_complete() || (self.table.is_superseded() && !handover.successor_seen) {
                receiver.in_flight.clear();
                self.send(
                    vec![address],
                    Payload::HandoverRequest {
                        id: 0,
                        items: Vec::new(),
                    },
                    out,
                );
            }
        }
    }

    /// Another replica is to end: what it knows to be chosen is confirmed once it is on disk here. An old incarnation
    /// may say so too, as what is chosen stays chosen.
    pub(super) fn handle_handover_request(
        &mut self,
        now: i64,
        (from, replica): (SocketAddr, ReplicaId),
        id: u64,
        items: Vec<(Ballot, Item)>,
        out: &mut Vec<Output>,
    ) {
        if !self.table.is_participant() || self.disk_full {
            return;
        }
        self.learn_chosen(now, items, out);
        let parts = self.chosen.digest_buckets().to_vec();
        // Only one that is whole speaks under its incarnation, and only the newest one is heard.
        let whole = self
            .table
            .is_reachable(now, replica)
            .then(|| self.table.newest_incarnation(replica));
        let body = Payload::HandoverAck {
            id,
            digests: parts,
            slot_incarnation: whole.unwrap_or(Incarnation::NONE),
        };
        // Rows are written in order: once this is there, all before it is.
        self.write(Vec::new(), Some(PendingWrite::Vote(Some(from), body)), out);
    }

    /// Another replica says what it holds on disk.
    pub(super) fn handle_handover_ack(
        &mut self,
        from: (SocketAddr, ReplicaId),
        (id, parts): (u64, &[u64]),
        whole: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let me = self.table.local();
        // Danger: one that is done stays, as it is what keeps this replica from voting.
        let Some(mut handover) = self.handover.take_if(|handover| !handover.done) else {
            return;
        };
        handover.successor_seen |= whole > me.incarnation;
        let receiver = handover.receivers.entry(from.1).or_default();
        let items = receiver.handle_digests(id, parts, &self.chosen);
        // All of it at once: the leaver has its grace only, and its receivers ask no further question.
        let bounds = TransferLimits {
            response_bytes: usize::MAX,
            ..self.transfer_limits
        };
        let (pieces, _) = split_into_chunks(bounds, items.into_iter(), |(_, item)| item);
        for piece in pieces.into_iter().filter(|piece| !piece.is_empty()) {
            self.last_request_id += 1;
            let names = piece.iter().map(|(_, item)| item.name.clone()).collect();
            receiver.in_flight.insert(self.last_request_id, names);
            self.send(
                vec![from.0],
                Payload::HandoverRequest {
                    id: self.last_request_id,
                    items: piece,
                },
                out,
            );
        }
        self.handover = Some(handover);
    }
}
