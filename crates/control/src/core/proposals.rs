//! The proposals in progress at this replica: when each starts, is resent, backs off and ends.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::ItemName;

use super::ids::{Ballot, ReplicaId};
use super::operator_calls::DISK_REJECTS_WRITES;
use super::peer_messages::Payload;
use super::proposal::{Action, Intent, Outcome, Proposal};
use super::replicas::Sender;
use super::role_lease::LeaseVote;
use super::{Output, Replica};
use crate::limits;
use crate::operator_api::Reply;

/// The response to a call some of whose items may be in force although another change has taken the version of one.
const PARTIALLY_APPLIED: &str = "ver: another change stands at the version of an item, and other items of this call \
     may be in force: send it with higher versions";

/// The response to a call whose proposal or read did not reach a quorum in time.
pub(super) const NO_QUORUM: &str = "no answer of more than half of the replicas";

/// The delay before a proposal is checked again whose registers are in use by another proposal of this replica.
const BUSY_RETRY_INTERVAL: i64 = limits::RESEND_INTERVAL / 10;

/// The proposals of one replica, by request id.
#[derive(Debug)]
pub(super) struct Proposals {
    in_progress: BTreeMap<u64, Proposal>,
    /// The operator's call that waits for each proposal.
    call_by_proposal: BTreeMap<u64, u64>,
    /// The highest known round of any ballot.
    highest_round: u64,
}

/// The step that is due for a proposal.
enum DueStep {
    Nothing,
    Expire,
    /// End a repair whose registers are all known to be chosen by now.
    EndRedundantRepair,
    Start,
    /// Wait for another proposal of this replica that uses the same registers.
    WaitForRegisters,
    Resend,
}

impl Proposals {
    pub(super) fn new(highest_round: u64) -> Proposals {
        Proposals {
            in_progress: BTreeMap::new(),
            call_by_proposal: BTreeMap::new(),
            highest_round,
        }
    }

    /// The number of proposals in progress.
    pub(super) fn len(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether no proposal is in progress.
    pub(super) fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// The number of operators' calls that wait for a proposal.
    pub(super) fn call_count(&self) -> usize {
        self.call_by_proposal.len()
    }

    /// The time of the next due step of any proposal.
    pub(super) fn wake_at(&self) -> Option<i64> {
        let proposals = self.in_progress.values();
        proposals
            .map(|proposal| proposal.wake_at.min(proposal.deadline))
            .min()
    }

    /// Records a round used by another proposer, so that the next ballot is above it.
    pub(super) fn observe_round(&mut self, round: u64) {
        self.highest_round = self.highest_round.max(round);
    }

    fn find_by_ballot(&self, ballot: Ballot) -> Option<u64> {
        let mut open = self.in_progress.iter();
        open.find(|(_, proposal)| proposal.ballot() == ballot)
            .map(|(id, _)| *id)
    }
}

impl Replica {
    /// Starts a proposal for an operator's call.
    pub(super) fn propose(
        &mut self,
        now: i64,
        call: u64,
        intent: Intent,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let proposal = Proposal::new(intent, now, deadline);
        self.proposals.in_progress.insert(id, proposal);
        self.proposals.call_by_proposal.insert(id, call);
        self.drive_proposals(now, out);
    }

    /// Starts a proposal that only completes what was accepted on these registers. Returns its id.
    pub(super) fn propose_repair(&mut self, now: i64, names: Vec<ItemName>, deadline: i64) -> u64 {
        let id = self.next_request_id();
        let proposal = Proposal::new(Intent::Repair(names), now, deadline);
        self.proposals.in_progress.insert(id, proposal);
        id
    }

    /// Starts waiting proposals, resends unanswered messages and ends proposals whose deadline has passed.
    pub(super) fn drive_proposals(&mut self, now: i64, out: &mut Vec<Output>) {
        self.start_due_repairs(now);
        if self.proposals.is_empty() {
            return;
        }
        let ids: Vec<u64> = self.proposals.in_progress.keys().copied().collect();
        let mut busy: BTreeSet<ItemName> = BTreeSet::new();
        for id in ids {
            match self.due_step(now, id, &mut busy) {
                DueStep::Nothing => {}
                DueStep::Expire => self.expire_proposal(now, id, out),
                DueStep::EndRedundantRepair => {
                    // Continuing would only cause rejections of other proposals for these registers.
                    let actions = vec![Action::Report(Outcome::Done), Action::Finished];
                    self.apply_actions(now, id, actions, out);
                }
                DueStep::Start => self.start_proposal(now, id, out),
                DueStep::WaitForRegisters => {
                    if let Some(proposal) = self.proposals.in_progress.get_mut(&id) {
                        proposal.wake_at = now + BUSY_RETRY_INTERVAL;
                    }
                }
                DueStep::Resend => {
                    let proposal = self.proposals.in_progress.get_mut(&id);
                    let actions = proposal.map(|proposal| proposal.handle_timeout(now));
                    self.apply_actions(now, id, actions.unwrap_or_default(), out);
                }
            }
        }
    }

    /// Starts a repair of the registers whose accepted value has not become known as chosen for
    /// [`limits::REPAIR_DELAY`].
    fn start_due_repairs(&mut self, now: i64) {
        let is_due = self.repair_wake_at().is_some_and(|wake_at| wake_at <= now);
        let can_propose =
            self.has_quorum_contact && self.table.is_participant() && !self.disk.is_full;
        if !is_due || !can_propose {
            return;
        }
        let names = self
            .pending
            .take_due_repairs(now, self.table.local().replica);
        if !names.is_empty() {
            self.propose_repair(now, names, now + limits::REPAIR_TIMEOUT);
        }
    }

    /// The time of the next repair. It is postponed while a digest exchange with another replica is open, since that is
    /// likely to report the value as chosen.
    pub(super) fn repair_wake_at(&self) -> Option<i64> {
        let wake_at = self.pending.wake_at(self.table.local().replica)?;
        Some(if self.catch_up.is_exchanging() {
            wake_at.max(self.catch_up.next_request_at())
        } else {
            wake_at
        })
    }

    /// The step that is due for a proposal. `busy` collects the registers of the proposals checked before it: two
    /// proposals of one process for the same register would only reject each other.
    fn due_step(&self, now: i64, id: u64, busy: &mut BTreeSet<ItemName>) -> DueStep {
        let Some(proposal) = self.proposals.in_progress.get(&id) else {
            return DueStep::Nothing;
        };
        if now >= proposal.deadline || !self.table.is_participant() {
            return DueStep::Expire;
        }
        let names = if self.proposals.len() > 1 {
            proposal.names()
        } else {
            Vec::new()
        };
        let has_free_registers = names.iter().all(|name| !busy.contains(name));
        busy.extend(names);
        match (
            proposal.wake_at <= now,
            proposal.is_idle(),
            has_free_registers,
        ) {
            (false, ..) => DueStep::Nothing,
            (true, false, _) => DueStep::Resend,
            (true, true, false) => DueStep::WaitForRegisters,
            (true, true, true) if self.is_redundant(id) => DueStep::EndRedundantRepair,
            (true, true, true) => DueStep::Start,
        }
    }

    /// Whether a proposal is a repair, and everything that it would complete is known to be chosen by now.
    fn is_redundant(&self, id: u64) -> bool {
        let proposal = self.proposals.in_progress.get(&id);
        let Some(repair) = proposal.filter(|proposal| proposal.is_repair()) else {
            return false;
        };
        match self.reads.awaiting_repair(id) {
            Some(read) => read.unconfirmed(&self.chosen).is_empty(),
            None => !repair
                .names()
                .iter()
                .any(|name| self.pending.contains(name)),
        }
    }

    fn start_proposal(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        let proposer = self.table.local();
        let Proposals {
            in_progress: open,
            highest_round,
            ..
        } = &mut self.proposals;
        let Some(proposal) = open.get_mut(&id) else {
            return;
        };
        *highest_round = proposal
            .highest_rejecting_ballot
            .round
            .max(*highest_round + 1)
            + 1;
        let ballot = Ballot {
            round: *highest_round,
            proposer,
        };
        let action = proposal.start(now, ballot);
        self.apply_actions(now, id, vec![action], out);
    }

    fn expire_proposal(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        // A quorum may exist without this replica's vote; if it did not, the caller is pointed to this replica's disk.
        let reason = if self.disk.is_full {
            DISK_REJECTS_WRITES
        } else {
            NO_QUORUM
        };
        self.end_proposal(now, id, Some(Reply::Unavailable(reason)), out);
    }

    fn end_proposal(&mut self, now: i64, id: u64, reply: Option<Reply>, out: &mut Vec<Output>) {
        let read = self.reads.take_awaiting_repair(id);
        let call = self.proposals.call_by_proposal.remove(&id);
        if let (Some(call), Some(reply)) = (call.or(read.and_then(|read| read.call())), reply) {
            out.push(Output::Answer(call, reply));
        }
        if let Some(proposal) = self.proposals.in_progress.remove(&id) {
            self.pending.finish_repair(now, &proposal.names());
        }
    }

    fn apply_actions(&mut self, now: i64, id: u64, actions: Vec<Action>, out: &mut Vec<Output>) {
        for action in actions {
            match action {
                Action::Broadcast(payload) => self.broadcast_proposal(now, id, payload, out),
                Action::Chosen(ballot, items) => {
                    self.broadcast(Payload::Chosen(ballot), out);
                    let entries = items.into_iter().map(|item| (ballot, item));
                    self.learn_chosen(now, entries.collect(), out);
                }
                Action::Report(outcome) => self.report_outcome(now, id, outcome, out),
                Action::Retry(_) => {}
                Action::Finished => self.end_proposal(now, id, None, out),
            }
        }
    }

    fn report_outcome(&mut self, now: i64, id: u64, outcome: Outcome, out: &mut Vec<Output>) {
        let reply = match outcome {
            Outcome::Done => Reply::Done,
            Outcome::Conflict => Reply::Conflict,
            Outcome::PartiallyApplied => Reply::Unavailable(PARTIALLY_APPLIED),
        };
        if let Some(call) = self.proposals.call_by_proposal.remove(&id) {
            out.push(Output::Answer(call, reply));
        }
        if let Some(read) = self.reads.take_awaiting_repair(id) {
            self.complete_read(now, read, out);
        }
    }

    /// Sends a message to each replica that has not voted yet, this one included.
    fn broadcast_proposal(&mut self, now: i64, id: u64, payload: Payload, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposals.in_progress.get(&id) else {
            return;
        };
        let local = self.table.local().replica;
        let others = (0..self.table.replica_count() as ReplicaId)
            .filter(|replica| *replica != local && proposal.awaits_vote_of(*replica));
        let to = others
            .filter_map(|replica| self.table.address(replica))
            .collect();
        let awaits_local_vote = proposal.awaits_vote_of(local);
        self.send(to, payload.clone(), out);
        match payload {
            Payload::Prepare { ballot, names } if awaits_local_vote => {
                self.handle_prepare(now, None, ballot, &names, out)
            }
            Payload::Accept { ballot, items } if awaits_local_vote => {
                self.handle_accept(now, None, ballot, &items, out)
            }
            _ => {}
        }
    }

    /// Handles a response to a proposal, a quorum read or a lease request of this replica.
    pub(super) fn handle_vote(
        &mut self,
        now: i64,
        sender: Sender,
        vote: Payload,
        out: &mut Vec<Output>,
    ) {
        let voter = sender.voter();
        match vote {
            Payload::Promise {
                ballot,
                accepted_values,
            } => {
                let Some(id) = self.proposals.find_by_ballot(ballot) else {
                    return;
                };
                let Some(proposal) = self.proposals.in_progress.get_mut(&id) else {
                    return;
                };
                let actions =
                    proposal.handle_promise(now, voter, accepted_values, &self.table, &self.chosen);
                self.apply_actions(now, id, actions, out);
            }
            Payload::Accepted(ballot) => {
                let Some(id) = self.proposals.find_by_ballot(ballot) else {
                    return;
                };
                let Some(proposal) = self.proposals.in_progress.get_mut(&id) else {
                    return;
                };
                let actions = proposal.handle_accepted(voter, &self.table);
                self.apply_actions(now, id, actions, out);
            }
            Payload::Nack {
                ballot,
                higher_ballot,
            } => self.handle_nack(now, voter.replica, ballot, higher_ballot, out),
            Payload::RegisterChunk { id, chunk } => {
                self.handle_register_chunk(now, sender, id, chunk, out)
            }
            Payload::LeaseVote {
                role,
                term,
                sent_at,
                is_granted,
                newest_term,
            } => {
                let vote = LeaseVote {
                    term: term.number,
                    sent_at,
                    is_granted,
                    newest_term,
                };
                // A vote on a request of an earlier process of this replica must not count, since its `sent_at` belongs
                // to that request.
                if term.holder == self.table.local() {
                    self.handle_lease_vote(now, voter, role, vote, out);
                }
            }
            _ => {}
        }
    }

    fn handle_nack(
        &mut self,
        now: i64,
        replica: ReplicaId,
        ballot: Ballot,
        higher_ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.proposals.find_by_ballot(ballot) else {
            return;
        };
        self.proposals.observe_round(higher_ballot.round);
        let Some(proposal) = self.proposals.in_progress.get(&id) else {
            return;
        };
        // Without jitter, proposers of one register start again at the same time and reject each other for seconds.
        let backoff = proposal.backoff();
        let backoff = backoff.minimum_us + self.random_below(backoff.max_jitter_us) as i64;
        let Some(proposal) = self.proposals.in_progress.get_mut(&id) else {
            return;
        };
        let actions = proposal.handle_nack(now, replica, higher_ballot, backoff, &self.table);
        self.apply_actions(now, id, actions, out);
    }
}
