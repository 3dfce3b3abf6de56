//! Calls of the operators, and the rounds and readings by which they are carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::items::{self, Item, ItemKind, ItemName, Items};

use super::chosen::{ChosenItems, LearnOutcome};
use super::handover::Handover;
use super::outbox::PendingWrite;
use super::peer_messages::{Ballot, Incarnation, Payload, ReplicaId, RequestId, TransferRequest};
use super::proposal::{Action, Intent, Outcome, Proposal};
use super::transfer::{Chunk, Continuation, TransferProgress};
use super::{Output, Record, Replica, role_lease};
use crate::limits;
use crate::operator_api::{Command, Reply};

/// Why no change is taken: operators are to look at this replica's disk.
const DISK_REJECTS_WRITES: &str = "the disk of this replica is full or fails: it takes no writes";

/// Why a call is neither taken nor refused that another one has overtaken by half.
const PARTIALLY_APPLIED: &str = "ver: another change stands at the version of an item, and other items of this call may be in force: \
                      send it with higher versions";

/// A reading of all registers by more than half of the replicas: nothing that was acknowledged can be missing in it.
#[derive(Clone, Debug)]
pub(super) struct QuorumRead {
    call: u64,
    /// A change that made no sense against what is known here, and is checked again against all there is.
    patch: Option<Vec<u8>>,
    /// Those that have told all, and how far the others have come.
    votes: BTreeMap<ReplicaId, Incarnation>,
    transfers: BTreeMap<ReplicaId, (Incarnation, TransferProgress)>,
    found: BTreeMap<ItemName, (Ballot, Item)>,
    /// What was known here when it began.
    digests: Vec<u64>,
    /// More than half have answered; what is not known to be chosen by then is finished first.
    repair_at: Option<i64>,
    pub(super) deadline: i64,
    pub(super) wake_at: i64,
}

impl QuorumRead {
    /// What a replica is to be asked for.
    fn request(&self, replica: ReplicaId) -> TransferRequest {
        let after = self
            .transfers
            .get(&replica)
            .and_then(|(_, transfer)| transfer.after.clone());
        TransferRequest {
            digests: self.digests.clone(),
            after,
        }
    }

    /// Takes note of a piece of an answer. What an incarnation before has told does not count.
    fn record_chunk(
        &mut self,
        by: (ReplicaId, Incarnation),
        piece: &Chunk,
    ) -> Option<Continuation> {
        let (incarnation, transfer) = self
            .transfers
            .entry(by.0)
            .or_insert((by.1, TransferProgress::default()));
        if *incarnation != by.1 {
            (*incarnation, *transfer) = (by.1, TransferProgress::default());
        }
        transfer.record_chunk(piece)
    }

    /// What was found and is not known to be chosen. It may be lost again: nobody must have seen it then.
    fn unconfirmed(&self, news: &ChosenItems) -> Vec<ItemName> {
        let items = self.found.values().map(|(_, item)| item);
        let open = items.filter(|item| item.name.kind != ItemKind::Zone && !news.includes(item));
        open.map(|item| item.name.clone()).collect()
    }
}

impl Replica {
    /// Begins what operators ask.
    pub(super) fn handle_call(
        &mut self,
        now: i64,
        call: u64,
        command: Command,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        // Also of a replica that does nothing else: that is when it is asked.
        if command == Command::GetStatus {
            return out.push(Output::Answer(call, Reply::Status(self.status(now).json())));
        }
        let no = if !self.table.is_participant() {
            Some("this replica has not rebuilt, or was replaced")
        } else if self.shutting_down {
            Some("this process is about to end")
        } else if !self.table.has_quorum_contact(now) {
            Some("more than half of the replicas are out of touch")
        } else if self.disk_full && command != Command::GetConfiguration {
            Some(DISK_REJECTS_WRITES)
        } else {
            None
        };
        if let Some(no) = no {
            return out.push(Output::Answer(call, Reply::Unavailable(no)));
        }
        match command {
            Command::GetStatus => {}
            Command::GetConfiguration => self.start_read(now, call, None, deadline, out),
            Command::SetEvacuation { zone, .. } if !self.zones.contains(&zone) => {
                out.push(Output::Answer(
                    call,
                    Reply::NotFound(format!("zone: {zone:?}")),
                ));
            }
            Command::SetEvacuation { zone, evacuate: on } => {
                let name = ItemName {
                    kind: ItemKind::Zone,
                    name: zone,
                };
                self.propose(
                    now,
                    Some(call),
                    Intent::SetEvacuation(name, on),
                    deadline,
                    out,
                );
            }
            Command::ApplyPatch(body) => {
                // What was only accepted may be lost again, and with it what a change refers to.
                match items::parse_patch(&body, &self.chosen) {
                    Ok(items) if self.up_to_date || !items::depends_on_other_items(&items) => {
                        self.propose_items(now, call, items, deadline, out);
                    }
                    // What it refers to may have been acknowledged, or dropped, elsewhere and not be known here yet.
                    _ => self.start_read(now, call, Some(body), deadline, out),
                }
            }
        }
    }

    fn propose_items(
        &mut self,
        now: i64,
        call: u64,
        items: Vec<Item>,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        if items.is_empty() {
            return out.push(Output::Answer(call, Reply::Done));
        }
        self.propose(now, Some(call), Intent::SetItems(items), deadline, out);
    }

    pub(super) fn propose(
        &mut self,
        now: i64,
        call: Option<u64>,
        want: Intent,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let number = self.next_request_id();
        self.proposals
            .insert(number, Proposal::new(want, now, deadline));
        if let Some(call) = call {
            self.calls.insert(number, call);
        }
        self.drive_proposals(now, out);
    }

    /// Begins rounds that wait, sends again what was not answered, and ends what took too long.
    pub(super) fn drive_proposals(&mut self, now: i64, out: &mut Vec<Output>) {
        let finish = self.repair_wake_at().is_some_and(|wake| wake <= now);
        if finish && self.has_quorum_contact && self.table.is_participant() && !self.disk_full {
            let names = self.pending.take_due(now, self.table.local().replica);
            if !names.is_empty() {
                let number = self.next_request_id();
                self.proposals.insert(
                    number,
                    Proposal::new(Intent::Repair(names), now, now + limits::REPAIR_TIMEOUT),
                );
            }
        }
        if self.proposals.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.proposals.keys().copied().collect();
        let mut busy: BTreeSet<ItemName> = BTreeSet::new();
        for number in numbers {
            let Some(round) = self.proposals.get(&number) else {
                continue;
            };
            if now >= round.deadline || !self.table.is_participant() {
                // The others' votes may do without this replica's; where they did not, its disk is what is to be mended.
                let why = if self.disk_full {
                    DISK_REJECTS_WRITES
                } else {
                    "no answer of more than half of the replicas"
                };
                self.end_proposal(now, number, Some(Reply::Unavailable(why)), out);
                continue;
            }
            let names = if self.proposals.len() > 1 {
                round.names()
            } else {
                Vec::new()
            };
            // Two rounds of one process for one item would only hinder each other.
            let free = names.iter().all(|name| !busy.contains(name));
            busy.extend(names);
            let due = round.is_idle() && round.wake_at <= now;
            if due && free && self.is_repair_superfluous(number) {
                // Danger: it would only refuse others at work on these registers.
                self.apply_actions(
                    now,
                    number,
                    vec![Action::Report(Outcome::Done), Action::Finished],
                    out,
                );
            } else if due && free {
                self.highest_round += 1;
                let ballot = Ballot {
                    round: role_lease::next_round(round.highest_seen, self.highest_round),
                    proposer: self.table.local(),
                };
                self.highest_round = ballot.round;
                let step = self
                    .proposals
                    .get_mut(&number)
                    .map(|round| round.start(now, ballot));
                self.apply_actions(now, number, step.into_iter().collect(), out);
            } else if due {
                if let Some(round) = self.proposals.get_mut(&number) {
                    round.wake_at = now + limits::RESEND_INTERVAL / 10;
                }
            } else if !round.is_idle() && round.wake_at <= now {
                let steps = self
                    .proposals
                    .get_mut(&number)
                    .map(|round| round.on_timeout(now))
                    .unwrap_or_default();
                self.apply_actions(now, number, steps, out);
            }
        }
    }

    /// When what is not known to be chosen is to be finished. While the others tell what is, there is no need.
    pub(super) fn repair_wake_at(&self) -> Option<i64> {
        let wake = self.pending.wake_at(self.table.local().replica)?;
        Some(if self.is_exchanging() {
            wake.max(self.next_sync)
        } else {
            wake
        })
    }

    /// A round that only finishes what was found, and all of that is known to be chosen by now.
    fn is_repair_superfluous(&self, number: u64) -> bool {
        let Some(round) = self
            .proposals
            .get(&number)
            .filter(|round| round.is_repair())
        else {
            return false;
        };
        match self.repairing_reads.get(&number) {
            Some(reading) => reading.unconfirmed(&self.chosen).is_empty(),
            None => !round.names().iter().any(|name| self.pending.contains(name)),
        }
    }

    fn end_proposal(&mut self, now: i64, number: u64, reply: Option<Reply>, out: &mut Vec<Output>) {
        let reading = self
            .repairing_reads
            .remove(&number)
            .map(|reading| reading.call);
        if let (Some(call), Some(reply)) = (self.calls.remove(&number).or(reading), reply) {
            out.push(Output::Answer(call, reply));
        }
        if let Some(round) = self.proposals.remove(&number) {
            self.pending.release(now, &round.names());
        }
    }

    fn apply_actions(&mut self, now: i64, number: u64, steps: Vec<Action>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                Action::Broadcast(body) => self.broadcast_proposal(now, number, body, out),
                Action::Chosen(ballot, items) => {
                    self.broadcast(Payload::Chosen(ballot), out);
                    self.learn_chosen(
                        now,
                        items.into_iter().map(|item| (ballot, item)).collect(),
                        out,
                    );
                }
                Action::Report(outcome) => {
                    let reply = match outcome {
                        Outcome::Done => Reply::Done,
                        Outcome::Conflict => Reply::Conflict,
                        Outcome::PartiallyApplied => Reply::Unavailable(PARTIALLY_APPLIED),
                    };
                    if let Some(call) = self.calls.remove(&number) {
                        out.push(Output::Answer(call, reply));
                    }
                    if let Some(reading) = self.repairing_reads.remove(&number) {
                        self.read_out(now, reading, out);
                    }
                }
                Action::Retry(_) => {}
                Action::Finished => self.end_proposal(now, number, None, out),
            }
        }
    }

    /// To all replicas that have not answered, this one included.
    fn broadcast_proposal(&mut self, now: i64, number: u64, body: Payload, out: &mut Vec<Output>) {
        let Some(round) = self.proposals.get(&number) else {
            return;
        };
        let me = self.table.local().replica;
        let to = (0..self.table.replica_count() as ReplicaId)
            .filter(|replica| *replica != me && round.awaits_vote_of(*replica));
        let to = to
            .filter_map(|replica| self.table.address(replica))
            .collect();
        let own = round.awaits_vote_of(me);
        self.send(to, body.clone(), out);
        match body {
            Payload::Prepare { ballot, names } if own => {
                self.prepare(now, None, ballot, &names, out)
            }
            Payload::Accept { ballot, items } if own => self.accept(now, None, ballot, &items, out),
            _ => {}
        }
    }

    pub(super) fn handle_prepare(
        &mut self,
        now: i64,
        from: SocketAddr,
        ballot: Ballot,
        names: &[ItemName],
        out: &mut Vec<Output>,
    ) {
        self.prepare(now, Some(from), ballot, names, out);
    }

    fn prepare(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        names: &[ItemName],
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(ballot.round);
        if self.disk_full || (from.is_some() && self.voting_closed()) {
            return;
        }
        match self.registers.prepare(ballot, names) {
            Ok(accepted) => {
                let rows = names
                    .iter()
                    .map(|name| Record::Register(name.clone(), self.registers.get(name)));
                let rows = rows.collect();
                self.write(
                    rows,
                    Some(PendingWrite::Vote(
                        from,
                        Payload::Promise { ballot, accepted },
                    )),
                    out,
                );
            }
            Err(seen) => self.deliver_vote(now, from, Payload::Nack { ballot, seen }, out),
        }
    }

    pub(super) fn handle_accept(
        &mut self,
        now: i64,
        from: SocketAddr,
        ballot: Ballot,
        items: &[Item],
        out: &mut Vec<Output>,
    ) {
        self.accept(now, Some(from), ballot, items, out);
    }

    fn accept(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        items: &[Item],
        out: &mut Vec<Output>,
    ) {
        self.highest_round = self.highest_round.max(ballot.round);
        if self.disk_full || (from.is_some() && self.voting_closed()) {
            return;
        }
        match self.registers.accept(ballot, items) {
            Ok(()) => {
                for item in items {
                    self.track_pending(now, &item.name);
                }
                let name = |item: &Item| item.name.clone();
                let rows = items
                    .iter()
                    .map(|item| Record::Register(name(item), self.registers.get(&item.name)));
                let rows = rows.collect();
                self.write(
                    rows,
                    Some(PendingWrite::Vote(from, Payload::Accepted(ballot))),
                    out,
                );
            }
            Err(seen) => self.deliver_vote(now, from, Payload::Nack { ballot, seen }, out),
        }
    }

    /// It is about to end, and a majority is there without it: no further proposal of another replica gets its vote.
    fn voting_closed(&self) -> bool {
        self.handover.as_ref().is_some_and(Handover::voting_closed)
    }

    /// Whether a register is to be finished.
    pub(super) fn track_pending(&mut self, now: i64, name: &ItemName) {
        match self.registers.accepted(name) {
            Some((_, item)) if !self.chosen.includes(item) => self.pending.insert(now, name),
            _ => self.pending.remove(name),
        }
    }

    /// Items are chosen.
    pub(super) fn learn_chosen(
        &mut self,
        now: i64,
        items: Vec<(Ballot, Item)>,
        out: &mut Vec<Output>,
    ) {
        let (mut rows, mut news) = (Vec::new(), Vec::new());
        for (ballot, item) in items {
            match self.chosen.learn(ballot, &item) {
                LearnOutcome::AlreadyKnown => {}
                learned => {
                    if self.registers.adopt(ballot, &item) {
                        rows.push(Record::Register(
                            item.name.clone(),
                            self.registers.get(&item.name),
                        ));
                    }
                    rows.push(Record::Chosen(ballot, item.clone()));
                    news.extend((learned == LearnOutcome::NewVersion).then(|| item.clone()));
                }
            }
            self.track_pending(now, &item.name);
        }
        if !rows.is_empty() {
            self.write(rows, None, out);
        }
        if !news.is_empty() {
            self.announce_items(news, out);
        }
    }

    /// A vote on one of this replica's rounds, readings or bids.
    pub(super) fn handle_vote(
        &mut self,
        now: i64,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        body: Payload,
        out: &mut Vec<Output>,
    ) {
        match body {
            Payload::Promise { ballot, accepted } => {
                let Some(number) = self.proposal_with(ballot) else {
                    return;
                };
                let Some(round) = self.proposals.get_mut(&number) else {
                    return;
                };
                let steps = round.handle_promise(now, by, accepted, &self.table, &self.chosen);
                self.apply_actions(now, number, steps, out);
            }
            Payload::Accepted(ballot) => {
                let Some(number) = self.proposal_with(ballot) else {
                    return;
                };
                let Some(round) = self.proposals.get_mut(&number) else {
                    return;
                };
                let steps = round.handle_accepted(by, &self.table);
                self.apply_actions(now, number, steps, out);
            }
            Payload::Nack { ballot, seen } => {
                let Some(number) = self.proposal_with(ballot) else {
                    return;
                };
                self.highest_round = self.highest_round.max(seen.round);
                let Some(round) = self.proposals.get(&number) else {
                    return;
                };
                // Danger: proposers of one register that all begin anew at once refuse each other for seconds.
                let (least, most) = round.backoff();
                let pause = least + self.random_below(most) as i64;
                let Some(round) = self.proposals.get_mut(&number) else {
                    return;
                };
                let steps = round.handle_nack(now, by.0, seen, pause, &self.table);
                self.apply_actions(now, number, steps, out);
            }
            Payload::RegisterChunk { id, chunk: piece } => {
                self.handle_register_chunk(now, id, (from, by), piece, out)
            }
            Payload::LeaseVote {
                role: duty,
                term,
                sent_at: at,
                granted,
                newest_term: newest,
            } => {
                self.handle_lease_vote(now, by, duty, term, at, (granted, newest), out);
            }
            _ => {}
        }
    }

    fn proposal_with(&self, ballot: Ballot) -> Option<u64> {
        self.proposals
            .iter()
            .find(|(_, round)| round.ballot() == ballot)
            .map(|(number, _)| *number)
    }

    /// Begins a reading.
    fn start_read(
        &mut self,
        now: i64,
        call: u64,
        patch: Option<Vec<u8>>,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let me = self.table.local();
        let found = self
            .registers
            .accepted_entries()
            .map(|(ballot, item)| (item.name.clone(), (*ballot, item.clone())));
        let reading = QuorumRead {
            call,
            patch,
            votes: BTreeMap::from([(me.replica, me.incarnation)]),
            transfers: BTreeMap::new(),
            found: found.collect(),
            digests: self.registers.digests().buckets().to_vec(),
            repair_at: None,
            deadline,
            wake_at: now + limits::RESEND_INTERVAL,
        };
        self.broadcast(
            Payload::ReadRequest {
                id: self.request_id(id),
                request: reading.request(me.replica),
            },
            out,
        );
        self.reads.insert(id, reading);
        self.read_whole(now, id, out);
    }

    /// The question of a reading.
    fn request_id(&self, number: u64) -> RequestId {
        RequestId {
            requester: self.table.local(),
            number,
        }
    }

    /// Another replica asks for all that was accepted.
    pub(super) fn handle_read_request(
        &self,
        from: SocketAddr,
        id: RequestId,
        question: &TransferRequest,
        out: &mut Vec<Output>,
    ) {
        for piece in self
            .registers
            .transfer_chunks(self.transfer_limits, question)
        {
            self.send(vec![from], Payload::RegisterChunk { id, chunk: piece }, out);
        }
    }

    fn handle_register_chunk(
        &mut self,
        now: i64,
        id: RequestId,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        piece: Chunk,
        out: &mut Vec<Output>,
    ) {
        // Danger: a process before this one asked under the same numbers. Its answers tell of what stood then, and "the
        // same as the asking one" is not this one.
        if id != self.request_id(id.number) {
            return;
        }
        let id = id.number;
        let Some(reading) = self.reads.get_mut(&id) else {
            return;
        };
        let then = reading.record_chunk(by, &piece);
        if then.is_some() {
            reading.wake_at = now + limits::RESEND_INTERVAL;
        }
        for (ballot, item) in piece.items {
            if reading
                .found
                .get(&item.name)
                .is_none_or(|(known, _)| *known < ballot)
            {
                reading.found.insert(item.name.clone(), (ballot, item));
            }
        }
        match then {
            Some(Continuation::End) => {
                reading.votes.insert(by.0, by.1);
                self.read_whole(now, id, out);
            }
            Some(Continuation::RequestMore) => {
                let question = reading.request(by.0);
                self.send(
                    vec![from],
                    Payload::ReadRequest {
                        id: self.request_id(id),
                        request: question,
                    },
                    out,
                );
            }
            _ => {}
        }
    }

    fn read_whole(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        let Some(reading) = self.reads.get_mut(&id) else {
            return;
        };
        let counted = reading
            .votes
            .iter()
            .filter(|(replica, incarnation)| self.table.is_current(**replica, **incarnation))
            .count();
        if counted < self.table.quorum() {
            return;
        }
        let open = reading.unconfirmed(&self.chosen);
        // Who is at work on it normally ends it soon.
        let settles = *reading
            .repair_at
            .get_or_insert(now + limits::READ_REPAIR_DELAY);
        if !open.is_empty() && now < settles {
            reading.wake_at = settles;
            return;
        }
        let Some(reading) = self.reads.remove(&id) else {
            return;
        };
        if open.is_empty() {
            return self.read_out(now, reading, out);
        }
        let deadline = reading.deadline;
        let number = self.next_request_id();
        self.repairing_reads.insert(number, reading);
        self.proposals
            .insert(number, Proposal::new(Intent::Repair(open), now, deadline));
        self.drive_proposals(now, out);
    }

    /// All that was found is chosen, or lost.
    fn read_out(&mut self, now: i64, reading: QuorumRead, out: &mut Vec<Output>) {
        let lost = reading.unconfirmed(&self.chosen);
        let found = reading
            .found
            .values()
            .map(|(_, item)| item)
            .filter(|item| !lost.contains(&item.name));
        // Of one version what is chosen goes first.
        let found: Items = newest(self.chosen.entries().map(|(_, item)| item).chain(found));
        let found = found.values();
        let Some(patch) = reading.patch else {
            return out.push(Output::Answer(
                reading.call,
                Reply::Items(items::configuration_json(found)),
            ));
        };
        match items::parse_patch(&patch, &newest(found)) {
            Ok(items) => self.propose_items(now, reading.call, items, reading.deadline, out),
            Err(error) => out.push(Output::Answer(reading.call, Reply::Invalid(error.0))),
        }
    }

    /// Asks again those that have not answered, and ends what took too long.
    pub(super) fn readings_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self
            .reads
            .iter()
            .filter(|(_, reading)| now >= reading.wake_at.min(reading.deadline));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(reading) = self.reads.get_mut(&id) else {
                continue;
            };
            if now >= reading.deadline {
                let reply = Reply::Unavailable("no answer of more than half of the replicas");
                out.push(Output::Answer(reading.call, reply));
                self.reads.remove(&id);
                continue;
            }
            reading.wake_at = now + limits::RESEND_INTERVAL;
            if reading.repair_at.is_some() {
                self.read_whole(now, id, out);
                continue;
            }
            let missing = (0..self.table.replica_count() as ReplicaId)
                .filter(|replica| !reading.votes.contains_key(replica));
            let ask = |replica| Some((self.table.address(replica)?, reading.request(replica)));
            for (to, question) in missing.filter_map(ask).collect::<Vec<_>>() {
                self.send(
                    vec![to],
                    Payload::ReadRequest {
                        id: self.request_id(id),
                        request: question,
                    },
                    out,
                );
            }
        }
    }
}

/// The newest of these, by name.
fn newest<'a>(all: impl Iterator<Item = &'a Item>) -> Items {
    let mut newest = Items::new();
    for item in all {
        if newest
            .get(&item.name)
            .is_none_or(|known| known.ver < item.ver)
        {
            newest.insert(item.name.clone(), item.clone());
        }
    }
    newest
}
