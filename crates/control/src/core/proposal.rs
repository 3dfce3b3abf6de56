//! One proposal on the proposer's side: promises from a quorum (phase 1), the choice of values from those accepted
//! before, and acceptance by a quorum (phase 2). All items of a call are proposed together, under one ballot.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::{Item, ItemName, has_same_content};

use super::chosen::ChosenItems;
use super::ids::Voter;
use super::ids::{Ballot, Incarnation, ReplicaId};
use super::peer_messages::Payload;
use super::replicas::ReplicaTable;
use crate::limits;

/// The purpose of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Put these items in force, each under its version.
    SetItems(Vec<Item>),
    /// Set whether the zone of this name is evacuated.
    SetEvacuation(ItemName, bool),
    /// Complete whatever was accepted on these registers.
    Repair(Vec<ItemName>),
}

impl Intent {
    /// The names of the registers that the proposal concerns.
    pub fn names(&self) -> Vec<ItemName> {
        match self {
            Intent::SetItems(items) => items.iter().map(|item| item.name.clone()).collect(),
            Intent::SetEvacuation(name, _) => vec![name.clone()],
            Intent::Repair(names) => names.clone(),
        }
    }

    fn is_large(&self) -> bool {
        let Intent::SetItems(items) = self else {
            return false;
        };
        let contents = items.iter().filter_map(|item| item.spec.as_deref());
        contents.map(str::len).sum::<usize>() > limits::LARGE_CONTENT_BYTES
    }
}

/// The outcome of a proposal for its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All items are on the disks of a quorum.
    Done,
    /// Different content was found under the version of an item; no item of the call is or can come into force.
    Conflict,
    /// Different content was found under the version of an item, while other items of the call are in force or may come
    /// into force.
    PartiallyApplied,
}

/// The proposer's next step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the payload to all replicas that have not voted, this one included.
    Broadcast(Payload),
    /// Learn that these items are chosen, and notify the other replicas.
    Chosen(Ballot, Vec<Item>),
    /// Report the outcome to the caller.
    Report(Outcome),
    /// Start again under a higher ballot, no earlier than this time.
    Retry(i64),
    /// Remove the proposal.
    Finished,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Not started, or waiting to start again.
    Idle,
    /// Phase 1, with the newest accepted value of each register that the promises have reported so far.
    Preparing(BTreeMap<ItemName, (Ballot, Item)>),
    /// Phase 2, with the proposed values.
    Accepting(Vec<Item>),
}

/// The values to propose, and the outcome that is reported once they are chosen.
struct Choice {
    items: Vec<Item>,
    outcome: Outcome,
}

impl Choice {
    fn done(items: Vec<Item>) -> Choice {
        Choice {
            items,
            outcome: Outcome::Done,
        }
    }
}

/// How long a rejected proposal waits before it starts again: the minimum plus a random part of the jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The minimum, in microseconds.
    pub minimum_us: i64,
    /// The upper bound of the random part, in microseconds.
    pub max_jitter_us: u64,
}

/// A proposal in progress.
#[derive(Clone, Debug)]
pub struct Proposal {
    intent: Intent,
    ballot: Ballot,
    phase: Phase,
    /// The replicas that have voted for the proposal in the current phase.
    votes: BTreeMap<ReplicaId, Incarnation>,
    /// The replicas that have rejected the current ballot.
    rejections: BTreeSet<ReplicaId>,
    attempts: u32,
    outcome_reported: bool,
    /// The outcome to report once the proposed values are chosen.
    outcome: Outcome,
    /// The highest version among values of its own that it has proposed: they may come into force whatever is found
    /// later.
    proposed_version: Option<u64>,
    /// The time at which the proposal expires.
    pub deadline: i64,
    /// The time of the next resend or start.
    pub wake_at: i64,
    /// The highest ballot in favor of which the proposal was rejected.
    pub highest_rejecting_ballot: Ballot,
}

impl Proposal {
    /// Creates a proposal that has not started.
    pub fn new(intent: Intent, now: i64, deadline: i64) -> Proposal {
        Proposal {
            intent,
            ballot: Ballot::default(),
            phase: Phase::Idle,
            votes: BTreeMap::new(),
            rejections: BTreeSet::new(),
            attempts: 0,
            outcome_reported: false,
            outcome: Outcome::Done,
            proposed_version: None,
            deadline,
            wake_at: now,
            highest_rejecting_ballot: Ballot::default(),
        }
    }

    /// The names of the registers that the proposal concerns.
    pub fn names(&self) -> Vec<ItemName> {
        self.intent.names()
    }

    /// The current ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the proposal has not started, or waits to start again.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether the outcome was reported.
    pub fn has_reported_outcome(&self) -> bool {
        self.outcome_reported
    }

    /// Whether the proposal only completes proposals of other replicas.
    pub fn is_repair(&self) -> bool {
        matches!(self.intent, Intent::Repair(_))
    }

    /// Whether a replica has not voted in the current phase.
    pub fn awaits_vote_of(&self, replica: ReplicaId) -> bool {
        !self.votes.contains_key(&replica)
    }

    fn next_resend(&self, now: i64) -> i64 {
        let interval = if self.intent.is_large() {
            limits::LARGE_RESEND_INTERVAL
        } else {
            limits::RESEND_INTERVAL
        };
        now + interval
    }

    /// Starts phase 1. `ballot` must be above all known ballots.
    pub fn start(&mut self, now: i64, ballot: Ballot) -> Action {
        self.ballot = ballot;
        self.attempts += 1;
        self.enter_phase(now, Phase::Preparing(BTreeMap::new()));
        Action::Broadcast(self.prepare_payload())
    }

    fn enter_phase(&mut self, now: i64, phase: Phase) {
        self.phase = phase;
        self.votes.clear();
        self.rejections.clear();
        self.wake_at = self.next_resend(now);
    }

    fn prepare_payload(&self) -> Payload {
        Payload::Prepare {
            ballot: self.ballot,
            names: self.intent.names(),
        }
    }

    fn accept_payload(&self, items: &[Item]) -> Payload {
        Payload::Accept {
            ballot: self.ballot,
            items: items.to_vec(),
        }
    }

    /// A replica has promised, and reports the values that it had accepted before.
    pub fn handle_promise(
        &mut self,
        now: i64,
        voter: Voter,
        accepted_values: Vec<(Ballot, Item)>,
        table: &ReplicaTable,
        chosen: &ChosenItems,
    ) -> Vec<Action> {
        let Phase::Preparing(found_values) = &mut self.phase else {
            return Vec::new();
        };
        for (ballot, item) in accepted_values {
            let known = found_values.get(&item.name);
            if known.is_none_or(|(known_ballot, _)| *known_ballot < ballot) {
                found_values.insert(item.name.clone(), (ballot, item));
            }
        }
        self.votes.insert(voter.replica, voter.incarnation);
        if !table.is_quorum(&self.votes) {
            return Vec::new();
        }
        let Phase::Preparing(found_values) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let Choice { items, outcome } = self.choose_values(&found_values, chosen);
        if items.is_empty() {
            self.outcome_reported = true;
            return vec![Action::Report(outcome), Action::Finished];
        }
        // A conflict is reported only once the conflicting values are chosen: until then they may still be lost.
        self.outcome = outcome;
        if outcome == Outcome::Done && !self.is_repair() {
            self.proposed_version = items.iter().map(|item| item.ver).max();
        }
        let accept = self.accept_payload(&items);
        self.enter_phase(now, Phase::Accepting(items));
        vec![Action::Broadcast(accept)]
    }

    /// Chooses the values to propose from those found in phase 1. Values that are already chosen are not proposed
    /// again.
    fn choose_values(
        &self,
        found_values: &BTreeMap<ItemName, (Ballot, Item)>,
        chosen: &ChosenItems,
    ) -> Choice {
        match &self.intent {
            Intent::Repair(_) => Choice::done(unconfirmed_values(found_values, chosen)),
            Intent::SetItems(items) => choose_items(items, found_values, chosen),
            Intent::SetEvacuation(name, evacuate) => {
                let current = current_value(name, found_values, chosen);
                let is_evacuated = current.and_then(|item| item.spec.as_deref()) == Some("true");
                let is_overtaken = self
                    .proposed_version
                    .is_some_and(|proposed| current.is_some_and(|item| item.ver > proposed));
                if is_evacuated == *evacuate || is_overtaken {
                    return Choice::done(unconfirmed_values(found_values, chosen));
                }
                Choice::done(vec![Item {
                    name: name.clone(),
                    ver: current.map_or(1, |item| item.ver + 1),
                    spec: Some(evacuate.to_string()),
                }])
            }
        }
    }

    /// A replica has accepted.
    pub fn handle_accepted(&mut self, voter: Voter, table: &ReplicaTable) -> Vec<Action> {
        if !matches!(self.phase, Phase::Accepting(_)) {
            return Vec::new();
        }
        self.votes.insert(voter.replica, voter.incarnation);
        if !table.is_quorum(&self.votes) {
            return Vec::new();
        }
        let Phase::Accepting(items) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let mut actions = vec![Action::Chosen(self.ballot, items)];
        if !self.outcome_reported {
            self.outcome_reported = true;
            actions.push(Action::Report(self.outcome));
        }
        actions.push(Action::Finished);
        actions
    }

    /// The backoff after a rejection, which grows with the number of attempts. A repair waits longer, since the
    /// proposal in favor of which it was rejected completes the same registers.
    pub fn backoff(&self) -> Backoff {
        let doublings = self.attempts.saturating_sub(1);
        Backoff {
            minimum_us: if self.is_repair() {
                limits::REPAIR_BACKOFF
            } else {
                limits::PROPOSAL_BACKOFF
            },
            max_jitter_us: limits::BACKOFF_JITTER << doublings.min(limits::MAX_BACKOFF_DOUBLINGS),
        }
    }

    /// A replica has rejected the ballot, since it has promised a register to `higher_ballot`. If the remaining
    /// reachable replicas are no quorum, the proposal starts again after `backoff` microseconds.
    pub fn handle_nack(
        &mut self,
        now: i64,
        replica: ReplicaId,
        higher_ballot: Ballot,
        backoff: i64,
        table: &ReplicaTable,
    ) -> Vec<Action> {
        self.highest_rejecting_ballot = self.highest_rejecting_ballot.max(higher_ballot);
        self.rejections.insert(replica);
        let replicas = 0..table.replica_count() as ReplicaId;
        let remaining_voters = replicas.filter(|replica| {
            table.is_reachable(now, *replica) && !self.rejections.contains(replica)
        });
        if self.is_idle() || remaining_voters.count() >= table.quorum_size() {
            return Vec::new();
        }
        self.retry_at(now + backoff)
    }

    fn retry_at(&mut self, start_at: i64) -> Vec<Action> {
        self.phase = Phase::Idle;
        self.wake_at = start_at;
        vec![Action::Retry(start_at)]
    }

    /// No quorum has voted in time: resends the last message, or starts again if any replica has rejected the ballot.
    pub fn handle_timeout(&mut self, now: i64) -> Vec<Action> {
        self.wake_at = self.next_resend(now);
        let payload = match &self.phase {
            Phase::Idle => return Vec::new(),
            _ if !self.rejections.is_empty() => {
                return self.retry_at(now + limits::PROPOSAL_BACKOFF);
            }
            Phase::Preparing(_) => self.prepare_payload(),
            Phase::Accepting(items) => self.accept_payload(items),
        };
        vec![Action::Broadcast(payload)]
    }
}

/// The current value of a register.
///
/// Of one version the chosen value is used: promises given before another proposal was chosen may report a value that
/// lost against it under the same version.
fn current_value<'a>(
    name: &ItemName,
    found_values: &'a BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &'a ChosenItems,
) -> Option<&'a Item> {
    let found = found_values.get(name).map(|(_, item)| item);
    let chosen = chosen.get(name);
    let is_newest = |chosen: &&Item| found.is_none_or(|found| found.ver <= chosen.ver);
    chosen.filter(is_newest).or(found)
}

/// The values found in phase 1 that are not known to be chosen.
fn unconfirmed_values(
    found_values: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Vec<Item> {
    let items = found_values.values().map(|(_, item)| item);
    items
        .filter(|item| !chosen.includes(item))
        .cloned()
        .collect()
}

fn choose_items(
    items: &[Item],
    found_values: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Choice {
    let conflicts = |item: &Item| {
        current_value(&item.name, found_values, chosen)
            .is_some_and(|current| current.ver == item.ver && !has_same_content(current, item))
    };
    if items.iter().any(conflicts) {
        return resolve_conflict(items, found_values, chosen);
    }
    let mut proposed = Vec::new();
    for item in items {
        match current_value(&item.name, found_values, chosen) {
            // A lower version has no effect and is no error: a later change has overtaken it. The same version is a
            // repeated call.
            Some(current) if current.ver >= item.ver => {
                if !chosen.includes(current) {
                    proposed.push(current.clone());
                }
            }
            _ => proposed.push(item.clone()),
        }
    }
    Choice::done(proposed)
}

/// Chooses the values where different content was found under the version of one of the items.
///
/// An earlier attempt of the same call, here or at another replica, may have reached a few replicas, and its other
/// items could still be found there and completed. A conflict must rule that out: the values found are proposed again,
/// even if already chosen, so that no value of the earlier attempt can be chosen any more. This is impossible for a
/// register without a value. A value equal to the call's item is in force, and one that was overtaken may have been. In
/// these cases the outcome is [`Outcome::PartiallyApplied`], and the caller gets no definite answer.
fn resolve_conflict(
    items: &[Item],
    found_values: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Choice {
    let can_be_excluded = |item: &Item| {
        found_values.get(&item.name).is_some_and(|(_, found)| {
            found.ver < item.ver || found.ver == item.ver && !has_same_content(found, item)
        })
    };
    match items {
        [_] => Choice {
            items: unconfirmed_values(found_values, chosen),
            outcome: Outcome::Conflict,
        },
        _ if items.iter().all(can_be_excluded) => Choice {
            items: found_values
                .values()
                .map(|(_, item)| item.clone())
                .collect(),
            outcome: Outcome::Conflict,
        },
        _ => Choice {
            items: unconfirmed_values(found_values, chosen),
            outcome: Outcome::PartiallyApplied,
        },
    }
}
