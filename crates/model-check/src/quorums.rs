//! Which votes make a quorum for who asked, and what it learns from them.

use crate::numbers::{Ballot, Value};
use crate::state::{Machine, REPLICAS, Speaker, State, Status, Table, put};

/// A vote, as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Vote {
    /// Who votes.
    pub by: Speaker,
    /// Highest promise there, where that is told.
    pub floor: Ballot,
    /// What was accepted there, where that is told.
    pub accepted: Option<(Ballot, Value)>,
}

/// What the votes of a quorum tell together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quorum {
    /// The newest incarnations that any of them, or the one that asked, knows.
    pub table: Table,
    /// Highest promise.
    pub floor: Ballot,
    /// What was accepted under the highest ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// Adds up the votes that one machine hears.
pub struct Counting<'a> {
    state: &'a State,
    machine: usize,
    need: usize,
    /// By a planted fault, votes of old incarnations count.
    old_counts: bool,
}

impl<'a> Counting<'a> {
    /// For a round that a machine leads.
    pub fn round(state: &'a State, machine: usize, old_counts: bool) -> Counting<'a> {
        Counting {
            state,
            machine,
            need: state.majority(),
            old_counts,
        }
    }

    /// For a machine that rebuilds.
    pub fn rebuild(state: &'a State, machine: usize, old_counts: bool) -> Counting<'a> {
        Counting {
            state,
            machine,
            need: state.others(),
            old_counts,
        }
    }

    fn own(&self) -> &Machine {
        &self.state.machines[self.machine]
    }

    /// What these votes tell together, if they are a quorum just now.
    pub fn quorum(&self, votes: &[Vote]) -> Option<Quorum> {
        let own = self.own();
        let mut quorum = Quorum {
            table: own.table,
            floor: Ballot::default(),
            accepted: None,
        };
        for vote in votes {
            for (known, told) in quorum.table.iter_mut().zip(vote.by.table) {
                *known = told.max(*known);
            }
            quorum.floor = quorum.floor.max(vote.floor);
            quorum.accepted = quorum.accepted.max(vote.accepted);
        }
        let aside = own.status == Status::Member
            && own
                .incarnation
                .is_some_and(|incarnation| quorum.table[own.replica] > incarnation);
        let mut counted = [false; REPLICAS];
        for vote in votes {
            let replica = self.state.machines[vote.by.machine].replica;
            counted[replica] |= self.old_counts || quorum.table[replica] == vote.by.incarnation;
        }
        let counted = counted.iter().filter(|counted| **counted).count();
        (!aside && counted >= self.need).then_some(quorum)
    }

    /// All quorums that can be heard, where any of the votes may be lost, larger ones than the code waits for
    /// included. Of one machine's votes the later one tells all that the one before does, so that one of each
    /// is enough.
    pub fn quorums(&self, votes: impl Iterator<Item = Vote>) -> Vec<Quorum> {
        let own = self.own().replica;
        let other = |vote: &Vote| vote.by.machine == self.machine || self.replica(vote) != own;
        let votes: Vec<Vote> = votes.filter(other).collect();
        let mut found = Vec::new();
        if votes.len() >= self.need {
            self.choose(&votes, &mut Vec::new(), &mut found);
        }
        found
    }

    fn replica(&self, vote: &Vote) -> usize {
        self.state.machines[vote.by.machine].replica
    }

    /// `votes` are sorted by the machine that votes.
    fn choose(&self, votes: &[Vote], taken: &mut Vec<Vote>, found: &mut Vec<Quorum>) {
        let Some(first) = votes.first() else {
            self.quorum(taken)
                .into_iter()
                .for_each(|quorum| put(found, quorum));
            return;
        };
        let same = votes
            .iter()
            .take_while(|vote| vote.by.machine == first.by.machine)
            .count();
        let (these, rest) = votes.split_at(same);
        self.choose(rest, taken, found);
        for vote in these {
            taken.push(*vote);
            self.choose(rest, taken, found);
            taken.pop();
        }
    }
}

impl State {
    /// The promises that came for the round that a machine leads.
    pub fn promises_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let ballot = self.machines[machine]
            .leads
            .as_ref()
            .map(|round| round.ballot);
        let these = self
            .promises
            .iter()
            .filter(move |promise| Some(promise.ballot) == ballot);
        these.map(|promise| Vote {
            by: promise.by,
            floor: Ballot::default(),
            accepted: promise.accepted,
        })
    }

    /// The acceptances that came for the round that a machine leads.
    pub fn accepted_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let ballot = self.machines[machine]
            .leads
            .as_ref()
            .map(|round| round.ballot);
        let these = self
            .accepted
            .iter()
            .filter(move |accepted| Some(accepted.ballot) == ballot);
        these.map(|accepted| Vote {
            by: accepted.by,
            floor: Ballot::default(),
            accepted: None,
        })
    }

    /// The answers that came to a machine that rebuilds.
    pub fn recorded_for(&self, machine: usize) -> impl Iterator<Item = Vote> {
        let status = self.machines[machine].status;
        let these = self
            .recorded
            .iter()
            .filter(move |told| status == Status::Rebuilds(told.incarnation));
        these.map(|told| Vote {
            by: told.by,
            floor: told.floor,
            accepted: told.accepted,
        })
    }
}
