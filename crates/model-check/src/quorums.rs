//! Counting of votes: which of them form a quorum for the requester, and the state that they report together.

use crate::packed_types::{Ballot, Value};
use crate::state::{IncarnationTable, MAX_REPLICAS, Machine, Sender, State, Status, insert_sorted};

/// Vote as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Vote {
    /// Voter, with the incarnations that it knew.
    pub sender: Sender,
    /// Highest ballot promised by the voter, where the message carries it.
    pub floor: Ballot,
    /// Value accepted by the voter, where the message carries it.
    pub accepted: Option<(Ballot, Value)>,
}

/// Combined state reported by the votes of a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quorum {
    /// Newest incarnations known to the requester or any of the voters.
    pub table: IncarnationTable,
    /// Highest promised ballot.
    pub floor: Ballot,
    /// Accepted value with the highest ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// Counts the votes received by one machine.
pub struct VoteCounter<'a> {
    state: &'a State,
    machine: usize,
    required_votes: usize,
    /// Whether votes of outdated incarnations count ([`crate::steps::Fault::OldIncarnationCounts`]).
    count_old_incarnations: bool,
}

impl<'a> VoteCounter<'a> {
    /// Counter for the round that a machine leads.
    pub fn for_round(
        state: &'a State,
        machine: usize,
        count_old_incarnations: bool,
    ) -> VoteCounter<'a> {
        VoteCounter {
            state,
            machine,
            required_votes: state.majority(),
            count_old_incarnations,
        }
    }

    /// Counter for a rebuilding machine.
    pub fn for_rebuild(
        state: &'a State,
        machine: usize,
        count_old_incarnations: bool,
    ) -> VoteCounter<'a> {
        VoteCounter {
            state,
            machine,
            required_votes: state.rebuild_quorum(),
            count_old_incarnations,
        }
    }

    fn local_machine(&self) -> &Machine {
        &self.state.machines[self.machine]
    }

    /// Returns the combined state of the votes if they form a quorum in the current state.
    pub fn quorum(&self, votes: &[Vote]) -> Option<Quorum> {
        let local = self.local_machine();
        let mut quorum = Quorum {
            table: local.table,
            floor: Ballot::default(),
            accepted: None,
        };
        for vote in votes {
            for (newest, reported) in quorum.table.iter_mut().zip(vote.sender.table) {
                *newest = reported.max(*newest);
            }
            quorum.floor = quorum.floor.max(vote.floor);
            quorum.accepted = quorum.accepted.max(vote.accepted);
        }
        let is_superseded = local.status == Status::Member
            && local
                .incarnation
                .is_some_and(|incarnation| quorum.table[local.replica] > incarnation);
        let mut counted = [false; MAX_REPLICAS];
        for vote in votes {
            let replica = self.state.machines[vote.sender.machine].replica;
            counted[replica] |=
                self.count_old_incarnations || quorum.table[replica] == vote.sender.incarnation;
        }
        let counted = counted.iter().filter(|counted| **counted).count();
        (!is_superseded && counted >= self.required_votes).then_some(quorum)
    }

    /// Returns every quorum that can result from receiving any subset of the votes, including sets larger
    /// than the implementation waits for. At most one vote of each machine is used, since a later vote
    /// reports everything that an earlier one does.
    pub fn quorums(&self, votes: impl Iterator<Item = Vote>) -> Vec<Quorum> {
        let local_replica = self.local_machine().replica;
        let may_count = |vote: &Vote| {
            vote.sender.machine == self.machine || self.replica_of(vote) != local_replica
        };
        let votes: Vec<Vote> = votes.filter(may_count).collect();
        let mut quorums = Vec::new();
        if votes.len() >= self.required_votes {
            self.enumerate(&votes, &mut Vec::new(), &mut quorums);
        }
        quorums
    }

    fn replica_of(&self, vote: &Vote) -> usize {
        self.state.machines[vote.sender.machine].replica
    }

    /// Extends `selected` with every subset of `votes`, which must be sorted by voting machine.
    fn enumerate(&self, votes: &[Vote], selected: &mut Vec<Vote>, quorums: &mut Vec<Quorum>) {
        let Some(first) = votes.first() else {
            self.quorum(selected)
                .into_iter()
                .for_each(|quorum| insert_sorted(quorums, quorum));
            return;
        };
        let machine_votes = votes
            .iter()
            .take_while(|vote| vote.sender.machine == first.sender.machine)
            .count();
        let (candidates, rest) = votes.split_at(machine_votes);
        self.enumerate(rest, selected, quorums);
        for vote in candidates {
            selected.push(*vote);
            self.enumerate(rest, selected, quorums);
            selected.pop();
        }
    }
}

impl State {
    /// Promises received for the round that a machine leads.
    pub fn promises_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let ballot = self.machines[machine]
            .led_round
            .as_ref()
            .map(|round| round.ballot);
        let replies = self
            .promises
            .iter()
            .filter(move |promise| Some(promise.ballot) == ballot);
        replies.map(|promise| Vote {
            sender: promise.sender,
            floor: Ballot::default(),
            accepted: promise.accepted,
        })
    }

    /// Acceptances received for the round that a machine leads.
    pub fn acceptances_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let ballot = self.machines[machine]
            .led_round
            .as_ref()
            .map(|round| round.ballot);
        let replies = self
            .acceptances
            .iter()
            .filter(move |acceptance| Some(acceptance.ballot) == ballot);
        replies.map(|acceptance| Vote {
            sender: acceptance.sender,
            floor: Ballot::default(),
            accepted: None,
        })
    }

    /// Replies received by a rebuilding machine.
    pub fn incarnation_replies_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let status = self.machines[machine].status;
        let replies = self
            .incarnation_replies
            .iter()
            .filter(move |reply| status == Status::Rebuilding(reply.incarnation));
        replies.map(|reply| Vote {
            sender: reply.sender,
            floor: reply.floor,
            accepted: reply.accepted,
        })
    }
}
