//! Recovery of a replica whose disk has lost its registers, under a new incarnation.
//!
//! The other replicas first persist the new incarnation and then answer with their accepted values. A proposer that
//! counts a vote of the previous incarnation therefore meets, in any quorum, a replica that reports the new one. The
//! recovering replica participates again once more than half of the others have answered completely and all values are
//! on its disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::digests::Digests;
use protocol::items::{Item, ItemName};

use super::events::Event;
use super::ids::Voter;
use super::ids::{Ballot, Incarnation, ReplicaId, SingletonRole, Term};
use super::outbox::PendingWrite;
use super::peer_messages::{Payload, TransferRequest};
use super::registers::entry_digest;
use super::replicas::{ReplicaTable, Sender};
use super::role_lease::{RoleLease, StoredTerms};
use super::transfer::{Chunk, Continuation, SourceProgress};
use super::{Output, Record, Replica};
use crate::limits;

/// The step that follows a chunk of another replica's registers.
#[derive(Clone, Debug, PartialEq)]
pub enum RecoveryStep {
    /// Wait for further chunks.
    Wait,
    /// Request more from the sender of the chunk.
    Request(TransferRequest),
    /// More than half of the other replicas have answered completely.
    Complete,
}

/// The promises and lease grants that a recovering replica adopts from another one.
#[derive(Clone, Copy, Debug)]
pub struct Promises<'a> {
    /// The highest ballot to which the other replica has promised any register.
    pub promise_floor: Ballot,
    /// The newest term that the other replica has granted for each role.
    pub terms: &'a [Term],
}

/// A recovery in progress.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// The incarnation to begin.
    pub incarnation: Incarnation,
    sources: BTreeMap<ReplicaId, SourceProgress>,
    /// The received value of each register with the highest ballot.
    pub accepted_values: BTreeMap<ItemName, (Ballot, Item)>,
    /// Digests of `accepted_values`: a source omits the buckets in which it has the same values.
    digests: Digests,
    /// The first connected replica. It alone is sent the first request, since most of the others will have nothing to
    /// add.
    first_source: Option<SocketAddr>,
    first_source_requested: bool,
    /// The highest promise of any replica.
    pub promise_floor: Ballot,
    /// The newest term of each role.
    pub terms: Vec<Term>,
    next_request_at: i64,
    /// All values were received and are being written to disk.
    is_persisting: bool,
}

impl Recovery {
    /// Creates a recovery of a replica whose disk still holds these entries, so that only differing ones are received.
    pub fn from_accepted<'a>(entries: impl Iterator<Item = &'a (Ballot, Item)>) -> Recovery {
        let mut recovery = Recovery::default();
        for (ballot, item) in entries {
            recovery.merge_value(*ballot, item.clone());
        }
        recovery
    }

    /// Stores the value unless one with a higher ballot is known.
    fn merge_value(&mut self, ballot: Ballot, item: Item) {
        let known = self.accepted_values.get(&item.name);
        if known.is_some_and(|(known, _)| *known >= ballot) {
            return;
        }
        let digest = entry_digest(&ballot, &item);
        self.digests.toggle(&item.name, digest);
        let replaced = self
            .accepted_values
            .insert(item.name.clone(), (ballot, item));
        if let Some((ballot, item)) = replaced {
            let digest = entry_digest(&ballot, &item);
            self.digests.toggle(&item.name, digest);
        }
    }

    /// Chooses an incarnation after the newest known one. The received values stay valid, since they were accepted
    /// under their ballots independently of this incarnation, but the sources have to answer again.
    pub fn choose_incarnation(&mut self, newest: Incarnation, nonce: u32) {
        if newest >= self.incarnation {
            let number = newest.max(Incarnation::FIRST).number + 1;
            self.incarnation = Incarnation { number, nonce };
            self.sources.clear();
            self.first_source_requested = false;
            self.next_request_at = 0;
            self.is_persisting = false;
        }
    }

    /// A link to a replica was established.
    pub fn handle_peer_connected(&mut self, now: i64, peer: SocketAddr) {
        if self.first_source.is_none() {
            self.first_source = Some(peer);
            self.next_request_at = now;
        }
    }

    /// The time of the next requests; `None` once everything was received.
    pub fn wake_at(&self) -> Option<i64> {
        (!self.is_persisting).then_some(self.next_request_at)
    }

    /// The requests to send now: initially to the first source alone, then to each replica that has not answered
    /// completely.
    pub fn next_requests(&mut self, table: &ReplicaTable) -> Vec<(SocketAddr, TransferRequest)> {
        if let Some(first) = self.first_source
            && !std::mem::replace(&mut self.first_source_requested, true)
            && self.sources.is_empty()
        {
            return vec![(first, self.request(None))];
        }
        let current = self.sources.iter();
        let current =
            current.filter(|(replica, source)| table.is_current(**replica, source.incarnation));
        let by_address = current
            .filter_map(|(replica, source)| Some((table.address(*replica)?, &source.progress)));
        let by_address: BTreeMap<SocketAddr, _> = by_address.collect();
        let mut requests = Vec::new();
        for peer in table.peer_addresses() {
            let progress = by_address.get(&peer);
            if !progress.is_some_and(|progress| progress.is_complete) {
                let start_after = progress.and_then(|progress| progress.start_after.clone());
                requests.push((peer, self.request(start_after)));
            }
        }
        requests
    }

    fn request(&self, start_after: Option<ItemName>) -> TransferRequest {
        TransferRequest {
            digests: self.digests.buckets().to_vec(),
            start_after,
        }
    }

    /// Whether more than half of the other replicas have answered completely, each in its newest incarnation.
    fn has_quorum(&self, table: &ReplicaTable) -> bool {
        let complete = self.sources.iter().filter(|(replica, source)| {
            source.progress.is_complete && table.is_current(**replica, source.incarnation)
        });
        complete.count() >= table.recovery_quorum_size()
    }

    /// Merges a chunk of another replica's registers.
    pub fn handle_chunk(
        &mut self,
        now: i64,
        voter: Voter,
        promises: Promises<'_>,
        chunk: Chunk,
        table: &ReplicaTable,
    ) -> RecoveryStep {
        let source = self.sources.entry(voter.replica);
        let source = source.or_insert(SourceProgress::new(voter.incarnation));
        let continuation = source.record_chunk(voter.incarnation, &chunk);
        let start_after = source.progress.start_after.clone();
        if let Some(continuation) = continuation {
            // The others are sent requests as soon as the first source is complete; unanswered requests are repeated
            // later.
            let first_complete =
                continuation == Continuation::End && self.complete_source_count() == 1;
            self.next_request_at = if first_complete {
                now
            } else {
                now + limits::RECOVERY_REQUEST_INTERVAL
            };
        }
        for (ballot, item) in chunk.items {
            self.merge_value(ballot, item);
        }
        self.merge_promises(promises);
        match continuation {
            Some(Continuation::RequestMore) => RecoveryStep::Request(self.request(start_after)),
            _ if self.has_quorum(table) => RecoveryStep::Complete,
            _ => RecoveryStep::Wait,
        }
    }

    fn complete_source_count(&self) -> usize {
        let sources = self.sources.values();
        sources.filter(|source| source.progress.is_complete).count()
    }

    fn merge_promises(&mut self, promises: Promises<'_>) {
        self.promise_floor = self.promise_floor.max(promises.promise_floor);
        for (role, term) in promises.terms.iter().enumerate() {
            match self.terms.get_mut(role) {
                Some(known) => *known = (*known).max(*term),
                None => self.terms.push(*term),
            }
        }
    }
}

impl Replica {
    /// Whether this replica is recovering under this incarnation and waits for responses.
    pub(super) fn is_recovering_as(&self, incarnation: Incarnation) -> bool {
        self.recovery
            .as_ref()
            .is_some_and(|recovery| !recovery.is_persisting && recovery.incarnation == incarnation)
    }

    /// Sends the requests of a recovery that are due.
    pub(super) fn drive_recovery(&mut self, now: i64, out: &mut Vec<Output>) {
        // Drawn at each call, so that the sequence of random numbers does not depend on the state of the recovery.
        let nonce = self.random_below(1 << 32) as u32;
        let local = self.table.local().replica;
        let newest = self.table.newest_incarnation(local);
        let Some(recovery) = self
            .recovery
            .as_mut()
            .filter(|recovery| !recovery.is_persisting)
        else {
            return;
        };
        if newest > recovery.incarnation || recovery.incarnation == Incarnation::NONE {
            recovery.choose_incarnation(newest, nonce);
        }
        if now < recovery.next_request_at {
            return;
        }
        recovery.next_request_at = now + limits::RECOVERY_REQUEST_INTERVAL;
        let incarnation = recovery.incarnation;
        for (to, request) in recovery.next_requests(&self.table) {
            let payload = Payload::IncarnationRequest {
                incarnation,
                request,
            };
            self.send(vec![to], payload, out);
        }
    }

    /// Another replica recovers under a new incarnation: persists that incarnation, then answers.
    pub(super) fn handle_incarnation_request(
        &mut self,
        sender: Sender,
        incarnation: Incarnation,
        request: TransferRequest,
        out: &mut Vec<Output>,
    ) {
        let (peer, replica) = (sender.address, sender.replica());
        let is_local = replica == self.table.local().replica;
        if !self.table.is_participant() || is_local || self.disk.is_full {
            return;
        }
        // The sender learns the addresses of the others, and any incarnation newer than the one that it has chosen.
        self.send_addresses_and_members(peer, out);
        if incarnation < self.table.newest_incarnation(replica) {
            return;
        }
        if self
            .table
            .learn_incarnation(replica, incarnation, Some(peer))
        {
            let event = Event::IncarnationObserved {
                replica,
                incarnation,
                peer,
            };
            out.push(Output::Log(event));
            out.push(Output::Peers(self.table.peer_addresses()));
            self.broadcast_addresses(out);
        }
        let answer = PendingWrite::SendIncarnationRecorded(peer, incarnation, request);
        self.write(vec![Record::Metadata(self.metadata())], Some(answer), out);
    }

    /// Handles a chunk of another replica's registers. Once a quorum has answered completely, all values are persisted.
    pub(super) fn handle_incarnation_recorded(
        &mut self,
        now: i64,
        sender: Sender,
        promise_floor: Ballot,
        chunk: Chunk,
        terms: &[Term],
        out: &mut Vec<Output>,
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let promises = Promises {
            promise_floor,
            terms,
        };
        match recovery.handle_chunk(now, sender.voter(), promises, chunk, &self.table) {
            RecoveryStep::Wait => {}
            RecoveryStep::Request(request) => {
                let payload = Payload::IncarnationRequest {
                    incarnation: recovery.incarnation,
                    request,
                };
                self.send(vec![sender.address], payload, out);
            }
            RecoveryStep::Complete => self.persist_recovery(out),
        }
    }

    fn persist_recovery(&mut self, out: &mut Vec<Output>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.is_persisting = true;
        let incarnation = recovery.incarnation;
        self.registers.raise_promise_floor(recovery.promise_floor);
        for (ballot, item) in recovery.accepted_values.values() {
            self.registers.adopt(*ballot, item);
        }
        for (lease, term) in self.role_leases.iter_mut().zip(&recovery.terms) {
            lease.adopt_term(*term);
        }
        self.proposals.observe_round(recovery.promise_floor.round);
        let registers = self.registers.iter();
        let record = |(name, register): (&ItemName, &_)| {
            Record::Register(name.clone(), Clone::clone(register))
        };
        let mut records: Vec<Record> = registers.map(record).collect();
        let mut metadata = self.metadata();
        metadata.incarnation = incarnation;
        metadata.incarnations[usize::from(self.table.local().replica)] = incarnation;
        records.push(Record::Metadata(metadata));
        let begin = PendingWrite::BeginIncarnation(incarnation);
        self.write(records, Some(begin), out);
    }

    /// All recovered values are on disk: this replica participates from now on.
    pub(super) fn begin_incarnation(
        &mut self,
        now: i64,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let replica = self.table.local().replica;
        self.recovery = None;
        let newest = self.table.newest_incarnation(replica);
        self.table.begin_incarnation(incarnation);
        if newest > incarnation {
            // Another machine has begun a newer incarnation meanwhile: this one is superseded at once.
            self.table.learn_incarnation(replica, newest, None);
            return self.handle_replicas_changed(now, out);
        }
        self.restart_role_leases(now);
        let entries = self.registers.accepted_entries();
        let names: Vec<ItemName> = entries.map(|(_, item)| item.name.clone()).collect();
        for name in &names {
            self.track_pending(now, name);
        }
        if self.is_shutting_down {
            // The shutdown was requested while there was nothing to hand over; now there is.
            self.begin_handover(now);
        }
        let items = names.len();
        out.push(Output::Log(Event::RecoveryCompleted { incarnation, items }));
        self.handle_replicas_changed(now, out);
        self.broadcast_membership(out);
        self.next_heartbeat_at = now;
        // Chosen items can be learned from any of the others.
        if let Some(first) = self.table.other_addresses().first() {
            self.request_digest_exchange(*first, out);
        }
    }

    /// Resets the leases: in a new incarnation this replica has granted only the terms that it adopted from the others.
    fn restart_role_leases(&mut self, now: i64) {
        let (local, replica_count) = (self.table.local(), self.table.replica_count());
        self.role_leases = SingletonRole::ALL.map(|role| {
            let stored = StoredTerms {
                granted_term: self.role_leases[role as usize].granted_term(),
                last_held_term: Term::default(),
            };
            RoleLease::new(role, local, replica_count, stored, now)
        });
    }
}
