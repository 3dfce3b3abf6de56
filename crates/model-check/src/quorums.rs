//! Which votes make a quorum for who asked, and what it learns from them.

use crate::packed_types::{Ballot, Value};
use crate::state::{IncarnationTable, MAX_REPLICAS, Machine, Sender, State, Status, insert_sorted};

/// A vote, as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Vote {
    /// Who votes.
    pub sender: Sender,
    /// Highest promise there, where that is told.
    pub floor: Ballot,
    /// What was accepted there, where that is told.
    pub accepted: Option<(Ballot, Value)>,
}

/// What the votes of a quorum tell together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quorum {
    /// The newest incarnations that any of them, or the one that asked, knows.
    pub table: IncarnationTable,
    /// Highest promise.
    pub floor: Ballot,
    /// What was accepted under the highest ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// Adds up the votes that one machine hears.
pub struct VoteCounter<'a> {
    state: &'a State,
    machine: usize,
    required_votes: usize,
    /// By a planted fault, votes of old incarnations count.
    count_old_incarnations: bool,
}

impl<'a> VoteCounter<'a> {
    /// For a round that a machine leads.
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

    /// For a machine that rebuilds.
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

    /// What these votes tell together, if they are a quorum just now.
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

    /// All quorums that can be heard, where any of the votes may be lost, larger ones than the code waits for
    /// included. Of one machine's votes the later one tells all that the one before does, so that one of each
    /// is enough.
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

    /// `votes` are sorted by the machine that votes.
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
    /// The promises that came for the round that a machine leads.
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

    /// The acceptances that came for the round that a machine leads.
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

    /// The answers that came to a machine that rebuilds.
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
