//! The Paxos acceptor, promising and accepting, and the learner of chosen items.

use std::net::SocketAddr;

use protocol::items::{Item, ItemName};

use super::chosen::LearnOutcome;
use super::handover::Handover;
use super::ids::Ballot;
use super::outbox::PendingWrite;
use super::peer_messages::Payload;
use super::{Output, Record, Replica};

impl Replica {
    /// Phase 1: promises to accept nothing below `ballot` on these registers. `from` is `None` for this replica's own
    /// proposal.
    pub(super) fn handle_prepare(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        names: &[ItemName],
        out: &mut Vec<Output>,
    ) {
        self.proposals.observe_round(ballot.round);
        if !self.may_vote(from) {
            return;
        }
        match self.registers.prepare(ballot, names) {
            Ok(accepted_values) => {
                let records = self.register_records(names.iter());
                let promise = Payload::Promise {
                    ballot,
                    accepted_values,
                };
                self.write(records, Some(PendingWrite::SendVote(from, promise)), out);
            }
            Err(higher_ballot) => self.deliver_vote(
                now,
                from,
                Payload::Nack {
                    ballot,
                    higher_ballot,
                },
                out,
            ),
        }
    }

    /// Phase 2: accepts the items under `ballot`, all of them or none. `from` is `None` for this replica's own
    /// proposal.
    pub(super) fn handle_accept(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        ballot: Ballot,
        items: &[Item],
        out: &mut Vec<Output>,
    ) {
        self.proposals.observe_round(ballot.round);
        if !self.may_vote(from) {
            return;
        }
        match self.registers.accept(ballot, items) {
            Ok(()) => {
                for item in items {
                    self.track_pending(now, &item.name);
                }
                let records = self.register_records(items.iter().map(|item| &item.name));
                let vote = Payload::Accepted(ballot);
                self.write(records, Some(PendingWrite::SendVote(from, vote)), out);
            }
            Err(higher_ballot) => self.deliver_vote(
                now,
                from,
                Payload::Nack {
                    ballot,
                    higher_ballot,
                },
                out,
            ),
        }
    }

    /// Whether this replica votes on a proposal. It does not while its disk rejects writes, nor on other replicas'
    /// proposals once its handover has closed voting.
    fn may_vote(&self, from: Option<SocketAddr>) -> bool {
        let is_voting_closed = self
            .handover
            .as_ref()
            .is_some_and(Handover::is_voting_closed);
        !self.disk.is_full && (from.is_none() || !is_voting_closed)
    }

    fn register_records<'a>(&self, names: impl Iterator<Item = &'a ItemName>) -> Vec<Record> {
        let record = |name: &ItemName| Record::Register(name.clone(), self.registers.get(name));
        names.map(record).collect()
    }

    /// Another replica reports that all values accepted under `ballot` are chosen.
    pub(super) fn handle_chosen(&mut self, now: i64, ballot: Ballot, out: &mut Vec<Output>) {
        let entries = self.registers.accepted_entries();
        let entries = entries.filter(|(accepted_ballot, _)| *accepted_ballot == ballot);
        let entries = entries.cloned().collect();
        self.learn_chosen(now, entries, out);
    }

    /// Learns chosen items: persists them, and announces new versions to the agents.
    pub(super) fn learn_chosen(
        &mut self,
        now: i64,
        entries: Vec<(Ballot, Item)>,
        out: &mut Vec<Output>,
    ) {
        let (mut records, mut new_versions) = (Vec::new(), Vec::new());
        for (ballot, item) in entries {
            let outcome = self.chosen.learn(ballot, &item);
            if outcome != LearnOutcome::AlreadyKnown {
                if self.registers.adopt(ballot, &item) {
                    let register = self.registers.get(&item.name);
                    records.push(Record::Register(item.name.clone(), register));
                }
                records.push(Record::Chosen(ballot, item.clone()));
            }
            if outcome == LearnOutcome::NewVersion {
                new_versions.push(item.clone());
            }
            self.track_pending(now, &item.name);
        }
        if !records.is_empty() {
            self.write(records, None, out);
        }
        if !new_versions.is_empty() {
            self.announce_items(new_versions, out);
        }
    }

    /// Updates whether the accepted value of a register is known to be chosen; if it is not, a repair is due later.
    pub(super) fn track_pending(&mut self, now: i64, name: &ItemName) {
        match self.registers.accepted_value(name) {
            Some((_, item)) if !self.chosen.includes(item) => self.pending.insert(now, name),
            _ => self.pending.remove(name),
        }
    }
}
