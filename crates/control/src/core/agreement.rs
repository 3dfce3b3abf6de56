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
use super::{Core, Output, Record, role_lease};
use crate::limits;
use crate::operator_api::{Command, Reply};

/// Why no change is taken: operators are to look at this replica's disk.
const DISK: &str = "the disk of this replica is full or fails: it takes no writes";

/// Why a call is neither taken nor refused that another one has overtaken by half.
const PARTLY: &str = "ver: another change stands at the version of an item, and other items of this call may be in force: \
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
    parts: Vec<u64>,
    /// More than half have answered; what is not known to be chosen by then is finished first.
    settles: Option<i64>,
    pub(super) deadline: i64,
    pub(super) wake: i64,
}

impl QuorumRead {
    /// What a replica is to be asked for.
    fn question(&self, replica: ReplicaId) -> TransferRequest {
        let after = self
            .transfers
            .get(&replica)
            .and_then(|(_, transfer)| transfer.after.clone());
        TransferRequest {
            parts: self.parts.clone(),
            after,
        }
    }

    /// Takes note of a piece of an answer. What an incarnation before has told does not count.
    fn took(&mut self, by: (ReplicaId, Incarnation), piece: &Chunk) -> Option<Continuation> {
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
    fn open(&self, news: &ChosenItems) -> Vec<ItemName> {
        let items = self.found.values().map(|(_, item)| item);
        let open = items.filter(|item| item.name.kind != ItemKind::Zone && !news.has(item));
        open.map(|item| item.name.clone()).collect()
    }
}

impl Core {
    /// Begins what operators ask.
    pub(super) fn call(
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
        let no = if !self.replicas.takes_part() {
            Some("this replica has not rebuilt, or was replaced")
        } else if self.stopping {
            Some("this process is about to end")
        } else if !self.replicas.in_touch(now) {
            Some("more than half of the replicas are out of touch")
        } else if self.full && command != Command::GetConfiguration {
            Some(DISK)
        } else {
            None
        };
        if let Some(no) = no {
            return out.push(Output::Answer(call, Reply::Unavailable(no)));
        }
        match command {
            Command::GetStatus => {}
            Command::GetConfiguration => self.read(now, call, None, deadline, out),
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
                self.round(now, Some(call), Intent::Zone(name, on), deadline, out);
            }
            Command::ApplyPatch(body) => {
                // What was only accepted may be lost again, and with it what a change refers to.
                match items::parse_patch(&body, &self.news) {
                    Ok(items) if self.whole || !items::depends_on_other_items(&items) => {
                        self.change(now, call, items, deadline, out);
                    }
                    // What it refers to may have been acknowledged, or dropped, elsewhere and not be known here yet.
                    _ => self.read(now, call, Some(body), deadline, out),
                }
            }
        }
    }

    fn change(
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
        self.round(now, Some(call), Intent::Items(items), deadline, out);
    }

    pub(super) fn round(
        &mut self,
        now: i64,
        call: Option<u64>,
        want: Intent,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let number = self.number();
        self.rounds
            .insert(number, Proposal::new(want, now, deadline));
        if let Some(call) = call {
            self.calls.insert(number, call);
        }
        self.rounds_turn(now, out);
    }

    /// Begins rounds that wait, sends again what was not answered, and ends what took too long.
    pub(super) fn rounds_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let finish = self.finish_wake().is_some_and(|wake| wake <= now);
        if finish && self.touch && self.replicas.takes_part() && !self.full {
            let names = self.unfinished.take(now, self.replicas.me().replica);
            if !names.is_empty() {
                let number = self.number();
                self.rounds.insert(
                    number,
                    Proposal::new(Intent::Finish(names), now, now + limits::REPAIR_TIMEOUT),
                );
            }
        }
        if self.rounds.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.rounds.keys().copied().collect();
        let mut busy: BTreeSet<ItemName> = BTreeSet::new();
        for number in numbers {
            let Some(round) = self.rounds.get(&number) else {
                continue;
            };
            if now >= round.deadline || !self.replicas.takes_part() {
                // The others' votes may do without this replica's; where they did not, its disk is what is to be mended.
                let why = if self.full {
                    DISK
                } else {
                    "no answer of more than half of the replicas"
                };
                self.over(now, number, Some(Reply::Unavailable(why)), out);
                continue;
            }
            let names = if self.rounds.len() > 1 {
                round.names()
            } else {
                Vec::new()
            };
            // Two rounds of one process for one item would only hinder each other.
            let free = names.iter().all(|name| !busy.contains(name));
            busy.extend(names);
            let due = round.waits() && round.wake <= now;
            if due && free && self.finished(number) {
                // Danger: it would only refuse others at work on these registers.
                self.steps(
                    now,
                    number,
                    vec![Action::Outcome(Outcome::Done), Action::Over],
                    out,
                );
            } else if due && free {
                self.round += 1;
                let ballot = Ballot {
                    round: role_lease::over(round.seen, self.round),
                    by: self.replicas.me(),
                };
                self.round = ballot.round;
                let step = self
                    .rounds
                    .get_mut(&number)
                    .map(|round| round.begin(now, ballot));
                self.steps(now, number, step.into_iter().collect(), out);
            } else if due {
                if let Some(round) = self.rounds.get_mut(&number) {
                    round.wake = now + limits::RESEND_INTERVAL / 10;
                }
            } else if !round.waits() && round.wake <= now {
                let steps = self
                    .rounds
                    .get_mut(&number)
                    .map(|round| round.due(now))
                    .unwrap_or_default();
                self.steps(now, number, steps, out);
            }
        }
    }

    /// When what is not known to be chosen is to be finished. While the others tell what is, there is no need.
    pub(super) fn finish_wake(&self) -> Option<i64> {
        let wake = self.unfinished.wake(self.replicas.me().replica)?;
        Some(if self.asks() {
            wake.max(self.next_sync)
        } else {
            wake
        })
    }

    /// A round that only finishes what was found, and all of that is known to be chosen by now.
    fn finished(&self, number: u64) -> bool {
        let Some(round) = self.rounds.get(&number).filter(|round| round.finishes()) else {
            return false;
        };
        match self.finishing.get(&number) {
            Some(reading) => reading.open(&self.news).is_empty(),
            None => !round.names().iter().any(|name| self.unfinished.holds(name)),
        }
    }

    fn over(&mut self, now: i64, number: u64, reply: Option<Reply>, out: &mut Vec<Output>) {
        let reading = self.finishing.remove(&number).map(|reading| reading.call);
        if let (Some(call), Some(reply)) = (self.calls.remove(&number).or(reading), reply) {
            out.push(Output::Answer(call, reply));
        }
        if let Some(round) = self.rounds.remove(&number) {
            self.unfinished.tried(now, &round.names());
        }
    }

    fn steps(&mut self, now: i64, number: u64, steps: Vec<Action>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                Action::All(body) => self.all(now, number, body, out),
                Action::Chosen(ballot, items) => {
                    self.spread(Payload::Chosen(ballot), out);
                    self.learn(
                        now,
                        items.into_iter().map(|item| (ballot, item)).collect(),
                        out,
                    );
                }
                Action::Outcome(outcome) => {
                    let reply = match outcome {
                        Outcome::Done => Reply::Done,
                        Outcome::Conflict => Reply::Conflict,
                        Outcome::PartiallyApplied => Reply::Unavailable(PARTLY),
                    };
                    if let Some(call) = self.calls.remove(&number) {
                        out.push(Output::Answer(call, reply));
                    }
                    if let Some(reading) = self.finishing.remove(&number) {
                        self.read_out(now, reading, out);
                    }
                }
                Action::Again(_) => {}
                Action::Over => self.over(now, number, None, out),
            }
        }
    }

    /// To all replicas that have not answered, this one included.
    fn all(&mut self, now: i64, number: u64, body: Payload, out: &mut Vec<Output>) {
        let Some(round) = self.rounds.get(&number) else {
            return;
        };
        let me = self.replicas.me().replica;
        let to = (0..self.replicas.count() as ReplicaId)
            .filter(|replica| *replica != me && round.missing(*replica));
        let to = to
            .filter_map(|replica| self.replicas.address(replica))
            .collect();
        let own = round.missing(me);
        self.send(to, body.clone(), out);
        match body {
            Payload::Prepare { ballot, names } if own => {
                self.prepare_at(now, None, ballot, &names, out)
            }
            Payload::Accept { ballot, items } if own => {
                self.accept_at(now, None, ballot, &items, out)
            }
            _ => {}
        }
    }

    pub(super) fn prepare(
        &mut self,
        now: i64,
        from: SocketAddr,
        ballot: Ballot,
        names: &[ItemName],
        out: &mut Vec<Output>,
    ) {
        self.prepare_at(now, Some(from), ballot, names, out);
    }

    fn prepare_at(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        names: &[ItemName],
        out: &mut Vec<Output>,
    ) {
        self.round = self.round.max(ballot.round);
        if self.full || (from.is_some() && self.closed()) {
            return;
        }
        match self.registers.prepare(ballot, names) {
            Ok(accepted) => {
                let rows = names
                    .iter()
                    .map(|name| Record::Register(name.clone(), self.registers.register(name)));
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
            Err(seen) => self.send_to_peer(now, from, Payload::Nack { ballot, seen }, out),
        }
    }

    pub(super) fn accept(
        &mut self,
        now: i64,
        from: SocketAddr,
        ballot: Ballot,
        items: &[Item],
        out: &mut Vec<Output>,
    ) {
        self.accept_at(now, Some(from), ballot, items, out);
    }

    fn accept_at(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        items: &[Item],
        out: &mut Vec<Output>,
    ) {
        self.round = self.round.max(ballot.round);
        if self.full || (from.is_some() && self.closed()) {
            return;
        }
        match self.registers.accept(ballot, items) {
            Ok(()) => {
                for item in items {
                    self.settle(now, &item.name);
                }
                let name = |item: &Item| item.name.clone();
                let rows = items
                    .iter()
                    .map(|item| Record::Register(name(item), self.registers.register(&item.name)));
                let rows = rows.collect();
                self.write(
                    rows,
                    Some(PendingWrite::Vote(from, Payload::Accepted(ballot))),
                    out,
                );
            }
            Err(seen) => self.send_to_peer(now, from, Payload::Nack { ballot, seen }, out),
        }
    }

    /// It is about to end, and a majority is there without it: no further proposal of another replica gets its vote.
    fn closed(&self) -> bool {
        self.handover.as_ref().is_some_and(Handover::closed)
    }

    /// Whether a register is to be finished.
    pub(super) fn settle(&mut self, now: i64, name: &ItemName) {
        match self.registers.accepted(name) {
            Some((_, item)) if !self.news.has(item) => self.unfinished.begun(now, name),
            _ => self.unfinished.finished(name),
        }
    }

    /// Items are chosen.
    pub(super) fn learn(&mut self, now: i64, items: Vec<(Ballot, Item)>, out: &mut Vec<Output>) {
        let (mut rows, mut news) = (Vec::new(), Vec::new());
        for (ballot, item) in items {
            match self.news.learn(ballot, &item) {
                LearnOutcome::AlreadyKnown => {}
                learned => {
                    if self.registers.adopt(ballot, &item) {
                        rows.push(Record::Register(
                            item.name.clone(),
                            self.registers.register(&item.name),
                        ));
                    }
                    rows.push(Record::Chosen(ballot, item.clone()));
                    news.extend((learned == LearnOutcome::NewVersion).then(|| item.clone()));
                }
            }
            self.settle(now, &item.name);
        }
        if !rows.is_empty() {
            self.write(rows, None, out);
        }
        if !news.is_empty() {
            self.tell_items(news, out);
        }
    }

    /// A vote on one of this replica's rounds, readings or bids.
    pub(super) fn vote(
        &mut self,
        now: i64,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        body: Payload,
        out: &mut Vec<Output>,
    ) {
        match body {
            Payload::Promise { ballot, accepted } => {
                let Some(number) = self.number_of(ballot) else {
                    return;
                };
                let Some(round) = self.rounds.get_mut(&number) else {
                    return;
                };
                let steps = round.promised(now, by, accepted, &self.replicas, &self.news);
                self.steps(now, number, steps, out);
            }
            Payload::Accepted(ballot) => {
                let Some(number) = self.number_of(ballot) else {
                    return;
                };
                let Some(round) = self.rounds.get_mut(&number) else {
                    return;
                };
                let steps = round.accepted(by, &self.replicas);
                self.steps(now, number, steps, out);
            }
            Payload::Nack { ballot, seen } => {
                let Some(number) = self.number_of(ballot) else {
                    return;
                };
                self.round = self.round.max(seen.round);
                let Some(round) = self.rounds.get(&number) else {
                    return;
                };
                // Danger: proposers of one register that all begin anew at once refuse each other for seconds.
                let (least, most) = round.pause();
                let pause = least + self.draw(most) as i64;
                let Some(round) = self.rounds.get_mut(&number) else {
                    return;
                };
                let steps = round.refused(now, by.0, seen, pause, &self.replicas);
                self.steps(now, number, steps, out);
            }
            Payload::RegisterChunk { id, piece } => self.answered(now, id, (from, by), piece, out),
            Payload::LeaseVote {
                duty,
                term,
                at,
                granted,
                newest,
            } => {
                self.voted(now, by, duty, term, at, (granted, newest), out);
            }
            _ => {}
        }
    }

    fn number_of(&self, ballot: Ballot) -> Option<u64> {
        self.rounds
            .iter()
            .find(|(_, round)| round.ballot() == ballot)
            .map(|(number, _)| *number)
    }

    /// Begins a reading.
    fn read(
        &mut self,
        now: i64,
        call: u64,
        patch: Option<Vec<u8>>,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let id = self.number();
        let me = self.replicas.me();
        let found = self
            .registers
            .held()
            .map(|(ballot, item)| (item.name.clone(), (*ballot, item.clone())));
        let reading = QuorumRead {
            call,
            patch,
            votes: BTreeMap::from([(me.replica, me.incarnation)]),
            transfers: BTreeMap::new(),
            found: found.collect(),
            parts: self.registers.digests().buckets().to_vec(),
            settles: None,
            deadline,
            wake: now + limits::RESEND_INTERVAL,
        };
        self.spread(
            Payload::ReadRequest {
                id: self.question(id),
                question: reading.question(me.replica),
            },
            out,
        );
        self.readings.insert(id, reading);
        self.read_whole(now, id, out);
    }

    /// The question of a reading.
    fn question(&self, number: u64) -> RequestId {
        RequestId {
            by: self.replicas.me(),
            number,
        }
    }

    /// Another replica asks for all that was accepted.
    pub(super) fn asked(
        &self,
        from: SocketAddr,
        id: RequestId,
        question: &TransferRequest,
        out: &mut Vec<Output>,
    ) {
        for piece in self.registers.answer(self.bounds, question) {
            self.send(vec![from], Payload::RegisterChunk { id, piece }, out);
        }
    }

    fn answered(
        &mut self,
        now: i64,
        id: RequestId,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        piece: Chunk,
        out: &mut Vec<Output>,
    ) {
        // Danger: a process before this one asked under the same numbers. Its answers tell of what stood then, and "the
        // same as the asking one" is not this one.
        if id != self.question(id.number) {
            return;
        }
        let id = id.number;
        let Some(reading) = self.readings.get_mut(&id) else {
            return;
        };
        let then = reading.took(by, &piece);
        if then.is_some() {
            reading.wake = now + limits::RESEND_INTERVAL;
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
                let question = reading.question(by.0);
                self.send(
                    vec![from],
                    Payload::ReadRequest {
                        id: self.question(id),
                        question,
                    },
                    out,
                );
            }
            _ => {}
        }
    }

    fn read_whole(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        let Some(reading) = self.readings.get_mut(&id) else {
            return;
        };
        let counted = reading
            .votes
            .iter()
            .filter(|(replica, incarnation)| self.replicas.counts(**replica, **incarnation))
            .count();
        if counted < self.replicas.majority() {
            return;
        }
        let open = reading.open(&self.news);
        // Who is at work on it normally ends it soon.
        let settles = *reading
            .settles
            .get_or_insert(now + limits::READ_REPAIR_DELAY);
        if !open.is_empty() && now < settles {
            reading.wake = settles;
            return;
        }
        let Some(reading) = self.readings.remove(&id) else {
            return;
        };
        if open.is_empty() {
            return self.read_out(now, reading, out);
        }
        let deadline = reading.deadline;
        let number = self.number();
        self.finishing.insert(number, reading);
        self.rounds
            .insert(number, Proposal::new(Intent::Finish(open), now, deadline));
        self.rounds_turn(now, out);
    }

    /// All that was found is chosen, or lost.
    fn read_out(&mut self, now: i64, reading: QuorumRead, out: &mut Vec<Output>) {
        let lost = reading.open(&self.news);
        let found = reading
            .found
            .values()
            .map(|(_, item)| item)
            .filter(|item| !lost.contains(&item.name));
        // Of one version what is chosen goes first.
        let found: Items = newest(self.news.all().map(|(_, item)| item).chain(found));
        let found = found.values();
        let Some(patch) = reading.patch else {
            return out.push(Output::Answer(
                reading.call,
                Reply::Items(items::configuration_json(found)),
            ));
        };
        match items::parse_patch(&patch, &newest(found)) {
            Ok(items) => self.change(now, reading.call, items, reading.deadline, out),
            Err(error) => out.push(Output::Answer(reading.call, Reply::Invalid(error.0))),
        }
    }

    /// Asks again those that have not answered, and ends what took too long.
    pub(super) fn readings_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self
            .readings
            .iter()
            .filter(|(_, reading)| now >= reading.wake.min(reading.deadline));
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(reading) = self.readings.get_mut(&id) else {
                continue;
            };
            if now >= reading.deadline {
                let reply = Reply::Unavailable("no answer of more than half of the replicas");
                out.push(Output::Answer(reading.call, reply));
                self.readings.remove(&id);
                continue;
            }
            reading.wake = now + limits::RESEND_INTERVAL;
            if reading.settles.is_some() {
                self.read_whole(now, id, out);
                continue;
            }
            let missing = (0..self.replicas.count() as ReplicaId)
                .filter(|replica| !reading.votes.contains_key(replica));
            let ask = |replica| Some((self.replicas.address(replica)?, reading.question(replica)));
            for (to, question) in missing.filter_map(ask).collect::<Vec<_>>() {
                self.send(
                    vec![to],
                    Payload::ReadRequest {
                        id: self.question(id),
                        question,
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
