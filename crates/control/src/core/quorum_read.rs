//! Quorum reads: all registers as more than half of the replicas have accepted them, so that nothing that was
//! acknowledged anywhere can be missing.

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

/// What a quorum read is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// An operator asks for the configuration.
    Configuration { call: u64 },
    /// A patch that was inconsistent with the items known here is to be checked against the result.
    Patch { call: u64, patch: Vec<u8> },
    /// This replica makes sure that it knows everything that was acknowledged: see [`super::catch_up`].
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

    /// How long the read waits for the replicas that proposed what it has found to complete it.
    fn repair_delay(&self) -> i64 {
        match self {
            ReadPurpose::Configuration { .. } | ReadPurpose::Patch { .. } => {
                limits::READ_REPAIR_DELAY
            }
            // Nobody waits for the answer. Hazard: replicas that start together would repair the same registers at once.
            ReadPurpose::CatchUp { .. } => limits::CATCH_UP_REPAIR_DELAY,
        }
    }
}

/// A quorum read that is in progress.
#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    purpose: ReadPurpose,
    /// The replicas that have answered completely.
    votes: BTreeMap<ReplicaId, Incarnation>,
    sources: BTreeMap<ReplicaId, SourceProgress>,
    /// The newest accepted value of each register so far.
    accepted_values: BTreeMap<ItemName, (Ballot, Item)>,
    /// Digests of the registers of this replica when the read began.
    digests: Vec<u64>,
    /// Set once a quorum has answered. What is not known to be chosen by then is repaired before the read completes.
    repair_at: Option<i64>,
    deadline: i64,
    wake_at: i64,
}

impl QuorumRead {
    /// The operator's call that waits for the read.
    pub(super) fn call(&self) -> Option<u64> {
        self.purpose.call()
    }

    /// The request for what a replica has not answered yet.
    fn request(&self, replica: ReplicaId) -> TransferRequest {
        let source = self.sources.get(&replica);
        TransferRequest {
            digests: self.digests.clone(),
            start_after: source.and_then(|source| source.progress.start_after.clone()),
        }
    }

    /// Takes in a chunk of a replica's answer, and gives what follows it; none for a duplicate.
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

    /// The registers whose value was found and is not known to be chosen. It may be lost again, so nobody may see it yet.
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
    /// How many are in progress for an operator's call.
    pub(super) fn call_count(&self) -> usize {
        let reads = self
            .in_progress
            .values()
            .chain(self.awaiting_repair.values());
        reads.filter(|read| read.call().is_some()).count()
    }

    /// Whether this replica reads what it may lack itself.
    pub(super) fn is_catching_up(&self) -> bool {
        let mut reads = self
            .in_progress
            .values()
            .chain(self.awaiting_repair.values());
        reads.any(|read| read.call().is_none())
    }

    /// When the next one is to be looked at.
    pub(super) fn wake_at(&self) -> Option<i64> {
        let wakes = self.in_progress.values();
        wakes.map(|read| read.wake_at.min(read.deadline)).min()
    }

    /// The read that waits for this repair.
    pub(super) fn awaiting_repair(&self, proposal: u64) -> Option<&QuorumRead> {
        self.awaiting_repair.get(&proposal)
    }

    /// Takes out the read that waits for this repair.
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
        let id_of_process = self.request_id(id);
        let payload = Payload::ReadRequest {
            id: id_of_process,
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

    /// Takes in a chunk of the answer to a quorum read.
    pub(super) fn handle_register_chunk(
        &mut self,
        now: i64,
        sender: Sender,
        id: RequestId,
        chunk: Chunk,
        out: &mut Vec<Output>,
    ) {
        // Hazard: a former process of this replica used the same numbers. An answer to it tells what was accepted then,
        // and leaves out what that process had, which this one may lack.
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
        // Whoever proposed it normally completes it soon.
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

    /// Answers the call of a read: everything that was found is chosen by now, or was lost.
    pub(super) fn complete_read(&mut self, now: i64, read: QuorumRead, out: &mut Vec<Output>) {
        let lost = read.unconfirmed(&self.chosen);
        let found = read.accepted_values.values().map(|(_, item)| item);
        let found = found.filter(|item| !lost.contains(&item.name));
        // Of two items of one version the chosen one counts.
        let chosen = self.chosen.entries().map(|(_, item)| item);
        let items: Items = newest_versions(chosen.chain(found));
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

    /// Resends the requests that were not answered, and ends reads whose deadline has passed.
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

/// The newest version of each item; of one version the first.
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
