//! Quorum reads: the values of all registers as accepted by more than half of the replicas, so that no change that any
//! replica has acknowledged can be missing.

use std::collections::BTreeMap;

use protocol::items::{self, Item, ItemKind, ItemName, Items};

use super::chosen::ChosenItems;
use super::ids::Voter;
use super::ids::{Ballot, Incarnation, ReplicaId, RequestId};
use super::peer_messages::{Payload, TransferRequest};
use super::proposals::NO_QUORUM;
use super::replicas::Sender;
use super::transfer::{Chunk, Continuation, SourceProgress};
use super::{Output, Replica};
use crate::limits;
use crate::operator_api::Reply;

/// The purpose of a quorum read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// An operator has requested the configuration.
    Configuration { call: u64 },
    /// A patch whose consistency could not be decided from the items known here is checked against the result.
    Patch { call: u64, patch: Vec<u8> },
    /// This replica verifies that it knows every acknowledged change: see [`super::catch_up`].
    CatchUp { epoch: u64 },
}

impl ReadPurpose {
    /// The operator's call that waits for the read.
    fn call(&self) -> Option<u64> {
        match self {
            ReadPurpose::Configuration { call } | ReadPurpose::Patch { call, .. } => Some(*call),
            ReadPurpose::CatchUp { .. } => None,
        }
    }

    /// How long the read waits for the proposers of the values that it has found to complete their proposals.
    fn repair_delay(&self) -> i64 {
        match self {
            ReadPurpose::Configuration { .. } | ReadPurpose::Patch { .. } => {
                limits::READ_REPAIR_DELAY
            }
            // No caller waits for the result, and with a short delay replicas that start together would repair the same
            // registers at the same time.
            ReadPurpose::CatchUp { .. } => limits::CATCH_UP_REPAIR_DELAY,
        }
    }
}

/// A quorum read in progress.
#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    purpose: ReadPurpose,
    /// The replicas that have answered completely.
    votes: BTreeMap<ReplicaId, Incarnation>,
    sources: BTreeMap<ReplicaId, SourceProgress>,
    /// The newest accepted value of each register received so far.
    accepted_values: BTreeMap<ItemName, (Ballot, Item)>,
    /// Digests of the registers of this replica when the read began.
    digests: Vec<u64>,
    /// Set once a quorum has answered: values that are not known to be chosen by this time are repaired before the read
    /// completes.
    repair_at: Option<i64>,
    deadline: i64,
    wake_at: i64,
}

impl QuorumRead {
    /// The operator's call that waits for the read.
    pub(super) fn call(&self) -> Option<u64> {
        self.purpose.call()
    }

    /// The request for the part that a replica has not sent yet.
    fn request(&self, replica: ReplicaId) -> TransferRequest {
        let source = self.sources.get(&replica);
        TransferRequest {
            digests: self.digests.clone(),
            start_after: source.and_then(|source| source.progress.start_after.clone()),
        }
    }

    /// Merges a chunk of a replica's response. Returns what follows the chunk; `None` for a duplicate.
    fn record_chunk(&mut self, voter: Voter, chunk: Chunk) -> Option<Continuation> {
        let source = self.sources.entry(voter.replica);
        let source = source.or_insert(SourceProgress::new(voter.incarnation));
        let continuation = source.record_chunk(voter.incarnation, &chunk);
        for (ballot, item) in chunk.items {
            let known = self.accepted_values.get(&item.name);
            if known.is_none_or(|(known, _)| *known < ballot) {
                self.accepted_values
                    .insert(item.name.clone(), (ballot, item));
            }
        }
        continuation
    }

    /// The registers with a value that is not known to be chosen. Such a value may still be lost, so it must not be
    /// reported to a caller.
    pub(super) fn unconfirmed(&self, chosen: &ChosenItems) -> Vec<ItemName> {
        let items = self.accepted_values.values().map(|(_, item)| item);
        let unconfirmed =
            items.filter(|item| item.name.kind != ItemKind::Zone && !chosen.includes(item));
        unconfirmed.map(|item| item.name.clone()).collect()
    }
}

/// The quorum reads of one replica, by request id.
#[derive(Debug, Default)]
pub(super) struct QuorumReads {
    in_progress: BTreeMap<u64, QuorumRead>,
    /// Reads that wait for a repair, by the id of its proposal.
    awaiting_repair: BTreeMap<u64, QuorumRead>,
}

impl QuorumReads {
    /// The number of reads in progress for operators' calls.
    pub(super) fn call_count(&self) -> usize {
        let reads = self
            .in_progress
            .values()
            .chain(self.awaiting_repair.values());
        reads.filter(|read| read.call().is_some()).count()
    }

    /// Whether a read for this replica's own catching up is in progress.
    pub(super) fn is_catching_up(&self) -> bool {
        let mut reads = self
            .in_progress
            .values()
            .chain(self.awaiting_repair.values());
        reads.any(|read| read.call().is_none())
    }

    /// The time of the next due step of any read.
    pub(super) fn wake_at(&self) -> Option<i64> {
        let reads = self.in_progress.values();
        reads.map(|read| read.wake_at.min(read.deadline)).min()
    }

    /// The read that waits for this repair.
    pub(super) fn awaiting_repair(&self, proposal: u64) -> Option<&QuorumRead> {
        self.awaiting_repair.get(&proposal)
    }

    /// Removes and returns the read that waits for this repair.
    pub(super) fn take_awaiting_repair(&mut self, proposal: u64) -> Option<QuorumRead> {
        self.awaiting_repair.remove(&proposal)
    }
}

impl Replica {
    /// Starts a quorum read.
    pub(super) fn start_read(
        &mut self,
        now: i64,
        purpose: ReadPurpose,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let local = self.table.local();
        let entry = |(ballot, item): &(Ballot, Item)| (item.name.clone(), (*ballot, item.clone()));
        let read = QuorumRead {
            purpose,
            votes: BTreeMap::from([(local.replica, local.incarnation)]),
            sources: BTreeMap::new(),
            accepted_values: self.registers.accepted_entries().map(entry).collect(),
            digests: self.registers.digests().buckets().to_vec(),
            repair_at: None,
            deadline,
            wake_at: now + limits::RESEND_INTERVAL,
        };
        let request = read.request(local.replica);
        let request_id = self.request_id(id);
        let payload = Payload::ReadRequest {
            id: request_id,
            request,
        };
        self.broadcast(payload, out);
        self.reads.in_progress.insert(id, read);
        self.check_read(now, id, out);
    }

    fn request_id(&self, number: u64) -> RequestId {
        RequestId {
            requester: self.table.local(),
            number,
        }
    }

    /// Answers another replica's quorum read.
    pub(super) fn handle_read_request(
        &self,
        from: std::net::SocketAddr,
        id: RequestId,
        request: &TransferRequest,
        out: &mut Vec<Output>,
    ) {
        let chunks = self
            .registers
            .transfer_chunks(self.transfer_limits, request);
        for chunk in chunks {
            self.send(vec![from], Payload::RegisterChunk { id, chunk }, out);
        }
    }

    /// Handles a chunk of a response to a quorum read.
    pub(super) fn handle_register_chunk(
        &mut self,
        now: i64,
        sender: Sender,
        id: RequestId,
        chunk: Chunk,
        out: &mut Vec<Output>,
    ) {
        // An earlier process of this replica used the same numbers. A response to it is outdated, and omits values that
        // that process had and this one may lack.
        if id != self.request_id(id.number) {
            return;
        }
        let Some(read) = self.reads.in_progress.get_mut(&id.number) else {
            return;
        };
        let voter = sender.voter();
        let continuation = read.record_chunk(voter, chunk);
        if continuation.is_some() {
            read.wake_at = now + limits::RESEND_INTERVAL;
        }
        match continuation {
            Some(Continuation::End) => {
                read.votes.insert(voter.replica, voter.incarnation);
                self.check_read(now, id.number, out);
            }
            Some(Continuation::RequestMore) => {
                let request = read.request(voter.replica);
                self.send(
                    vec![sender.address],
                    Payload::ReadRequest { id, request },
                    out,
                );
            }
            Some(Continuation::MoreFollows) | None => {}
        }
    }

    /// Completes a read that a quorum has answered, or starts the repair that it needs first.
    fn check_read(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        let Some(read) = self.reads.in_progress.get_mut(&id) else {
            return;
        };
        if !self.table.is_quorum(&read.votes) {
            return;
        }
        let unconfirmed = read.unconfirmed(&self.chosen);
        // The proposer of an unconfirmed value normally completes it soon.
        let repair_at = *read
            .repair_at
            .get_or_insert(now + read.purpose.repair_delay());
        if !unconfirmed.is_empty() && now < repair_at {
            read.wake_at = repair_at;
            return;
        }
        let Some(read) = self.reads.in_progress.remove(&id) else {
            return;
        };
        if unconfirmed.is_empty() {
            return self.complete_read(now, read, out);
        }
        let proposal = self.propose_repair(now, unconfirmed, read.deadline);
        self.reads.awaiting_repair.insert(proposal, read);
        self.drive_proposals(now, out);
    }

    /// Completes a read: each value found is chosen by now, or was lost.
    pub(super) fn complete_read(&mut self, now: i64, read: QuorumRead, out: &mut Vec<Output>) {
        let lost = read.unconfirmed(&self.chosen);
        let found_items = read.accepted_values.values().map(|(_, item)| item);
        let found_items = found_items.filter(|item| !lost.contains(&item.name));
        // Of two items with the same version the chosen one is used.
        let chosen = self.chosen.entries().map(|(_, item)| item);
        let items: Items = newest_versions(chosen.chain(found_items));
        match read.purpose {
            ReadPurpose::Configuration { call } => {
                let body = items::configuration_json(items.values());
                out.push(Output::Answer(call, Reply::Items(body)));
            }
            ReadPurpose::Patch { call, patch } => match items::parse_patch(&patch, &items) {
                Ok(items) => self.propose_items(now, call, items, read.deadline, out),
                Err(error) => out.push(Output::Answer(call, Reply::Invalid(error.0))),
            },
            ReadPurpose::CatchUp { epoch } => self.handle_catch_up_read(epoch, out),
        }
    }

    /// Resends unanswered requests, and ends reads whose deadline has passed.
    pub(super) fn drive_reads(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self.reads.in_progress.iter();
        let due = due.filter(|(_, read)| now >= read.wake_at.min(read.deadline));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(read) = self.reads.in_progress.get_mut(&id) else {
                continue;
            };
            if now >= read.deadline {
                if let Some(call) = read.call() {
                    let reply = Reply::Unavailable(NO_QUORUM);
                    out.push(Output::Answer(call, reply));
                }
                self.reads.in_progress.remove(&id);
                continue;
            }
            read.wake_at = now + limits::RESEND_INTERVAL;
            if read.repair_at.is_some() {
                self.check_read(now, id, out);
            } else {
                self.resend_read_requests(id, out);
            }
        }
    }

    fn resend_read_requests(&self, id: u64, out: &mut Vec<Output>) {
        let Some(read) = self.reads.in_progress.get(&id) else {
            return;
        };
        for replica in 0..self.table.replica_count() as ReplicaId {
            if read.votes.contains_key(&replica) {
                continue;
            }
            if let Some(address) = self.table.address(replica) {
                let payload = Payload::ReadRequest {
                    id: self.request_id(id),
                    request: read.request(replica),
                };
                self.send(vec![address], payload, out);
            }
        }
    }
}

/// The newest version of each item; of equal versions the first.
fn newest_versions<'a>(items: impl Iterator<Item = &'a Item>) -> Items {
    let mut newest = Items::new();
    for item in items {
        let known = newest.get(&item.name);
        if known.is_none_or(|known| known.ver < item.ver) {
            newest.insert(item.name.clone(), item.clone());
        }
    }
    newest
}
