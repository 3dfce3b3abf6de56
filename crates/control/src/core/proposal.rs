//! One proposal, as its proposer sees it: promises from a quorum (phase 1), a choice of values by what was accepted before,
//! and acceptance by a quorum (phase 2). All items of a call are proposed together, under one ballot.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::{Item, ItemName, has_same_content};

use super::chosen::ChosenItems;
use super::ids::Voter;
use super::ids::{Ballot, Incarnation, ReplicaId};
use super::peer_messages::Payload;
use super::replicas::ReplicaTable;
use crate::limits;

/// What a proposal is to achieve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// These items are to be in force, each by its version.
    SetItems(Vec<Item>),
    /// The zone of this name is to be evacuated, or not.
    SetEvacuation(ItemName, bool),
    /// Whatever was accepted on these registers is to be completed.
    Repair(Vec<ItemName>),
}

impl Intent {
    /// The registers that the proposal is for.
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

/// How a proposal ends for the call that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Everything is on the disks of a quorum.
    Done,
    /// Another content was found at the version of an item; nothing of the call is in force or can come into force.
    Conflict,
    /// Another content was found at the version of an item, while other items of the call are in force or may come into
    /// force.
    PartiallyApplied,
}

/// What the proposer is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the payload to all replicas that have not voted, this one included.
    Broadcast(Payload),
    /// Learn that these items are chosen, and tell the other replicas.
    Chosen(Ballot, Vec<Item>),
    /// Report the outcome. The proposal may go on, to complete what it has found.
    Report(Outcome),
    /// Start again under a higher ballot, not before this time.
    Retry(i64),
    /// Remove the proposal.
    Finished,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// It has not started, or waits to start again.
    Idle,
    /// Phase 1, with the newest accepted value of each register that the promises have told so far.
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

/// How long a rejected proposal waits: the minimum and a random share of the jitter, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The least time.
    pub minimum_us: i64,
    /// The bound of the random time on top.
    pub max_jitter_us: u64,
}

/// A proposal in progress.
#[derive(Clone, Debug)]
pub struct Proposal {
    intent: Intent,
    ballot: Ballot,
    phase: Phase,
    /// The replicas that have voted for it in the present phase.
    votes: BTreeMap<ReplicaId, Incarnation>,
    /// The replicas that have rejected its present ballot.
    rejections: BTreeSet<ReplicaId>,
    attempts: u32,
    outcome_reported: bool,
    /// What is reported once the proposed values are chosen.
    outcome: Outcome,
    /// The highest version of values of its own that it has proposed: they may come into force whatever is found later.
    proposed_version: Option<u64>,
    /// When it is given up.
    pub deadline: i64,
    /// When it is to be looked at again.
    pub wake_at: i64,
    /// The highest ballot that it was rejected for.
    pub highest_rejecting_ballot: Ballot,
}

impl Proposal {
    /// A proposal that has not started.
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

    /// The registers that it is for.
    pub fn names(&self) -> Vec<ItemName> {
        self.intent.names()
    }

    /// Its present ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether it has not started, or waits to start again.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether its outcome was reported.
    pub fn has_reported_outcome(&self) -> bool {
        self.outcome_reported
    }

    /// Whether it only completes what others began.
    pub fn is_repair(&self) -> bool {
        matches!(self.intent, Intent::Repair(_))
    }

    /// Whether a replica has not voted in the present phase.
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

    /// Starts phase 1 under a ballot above all that were seen.
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

    /// A replica has promised, and has told what it had accepted before.
    pub fn handle_promise(
        &mut self,
        now: i64,
        voter: Voter,
        accepted: Vec<(Ballot, Item)>,
        table: &ReplicaTable,
        chosen: &ChosenItems,
    ) -> Vec<Action> {
        let Phase::Preparing(found) = &mut self.phase else {
            return Vec::new();
        };
        for (ballot, item) in accepted {
            let known = found.get(&item.name);
            if known.is_none_or(|(known, _)| *known < ballot) {
                found.insert(item.name.clone(), (ballot, item));
            }
        }
        self.votes.insert(voter.replica, voter.incarnation);
        if !table.is_quorum(&self.votes) {
            return Vec::new();
        }
        let Phase::Preparing(found) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let Choice { items, outcome } = self.choose_values(&found, chosen);
        if items.is_empty() {
            self.outcome_reported = true;
            return vec![Action::Report(outcome), Action::Finished];
        }
        // A conflict is reported only once what caused it is chosen: until then it may be lost again.
        self.outcome = outcome;
        if outcome == Outcome::Done && !self.is_repair() {
            self.proposed_version = items.iter().map(|item| item.ver).max();
        }
        let accept = self.accept_payload(&items);
        self.enter_phase(now, Phase::Accepting(items));
        vec![Action::Broadcast(accept)]
    }

    /// Chooses the values to propose by what was found. Nothing is proposed for what is chosen already.
    fn choose_values(
        &self,
        found: &BTreeMap<ItemName, (Ballot, Item)>,
        chosen: &ChosenItems,
    ) -> Choice {
        match &self.intent {
            Intent::Repair(_) => Choice::done(unconfirmed_values(found, chosen)),
            Intent::SetItems(items) => choose_items(items, found, chosen),
            Intent::SetEvacuation(name, evacuate) => {
                let current = current_value(name, found, chosen);
                let is_set = current.and_then(|item| item.spec.as_deref()) == Some("true");
                let is_overtaken = self
                    .proposed_version
                    .is_some_and(|own| current.is_some_and(|item| item.ver > own));
                if is_set == *evacuate || is_overtaken {
                    return Choice::done(unconfirmed_values(found, chosen));
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

    /// How long to wait after a rejection: the longer the more often. A repair gives way, as the proposal that it was
    /// rejected for completes the same registers.
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

    /// A replica has rejected the ballot, as it has promised something to the higher ballot `seen`. If no quorum is left the
    /// proposal starts again after `backoff` microseconds.
    pub fn handle_nack(
        &mut self,
        now: i64,
        replica: ReplicaId,
        seen: Ballot,
        backoff: i64,
        table: &ReplicaTable,
    ) -> Vec<Action> {
        self.highest_rejecting_ballot = self.highest_rejecting_ballot.max(seen);
        self.rejections.insert(replica);
        let replicas = 0..table.replica_count() as ReplicaId;
        let may_vote = replicas.filter(|replica| {
            table.is_reachable(now, *replica) && !self.rejections.contains(replica)
        });
        if self.is_idle() || may_vote.count() >= table.quorum_size() {
            return Vec::new();
        }
        self.retry_at(now + backoff)
    }

    fn retry_at(&mut self, at: i64) -> Vec<Action> {
        self.phase = Phase::Idle;
        self.wake_at = at;
        vec![Action::Retry(at)]
    }

    /// Not all replicas have voted in time: resends the last message, or starts again if any has rejected the ballot.
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
/// Hazard: promises that were given before another proposal was chosen may tell a value that has lost against that one at
/// the same version. So of one version the chosen value counts.
fn current_value<'a>(
    name: &ItemName,
    found: &'a BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &'a ChosenItems,
) -> Option<&'a Item> {
    let found = found.get(name).map(|(_, item)| item);
    let chosen = chosen.get(name);
    let is_newest = |chosen: &&Item| found.is_none_or(|found| found.ver <= chosen.ver);
    chosen.filter(is_newest).or(found)
}

/// The found values that are not known to be chosen.
fn unconfirmed_values(
    found: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Vec<Item> {
    let items = found.values().map(|(_, item)| item);
    items
        .filter(|item| !chosen.includes(item))
        .cloned()
        .collect()
}

fn choose_items(
    items: &[Item],
    found: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Choice {
    let conflicts = |item: &Item| {
        current_value(&item.name, found, chosen)
            .is_some_and(|current| current.ver == item.ver && !has_same_content(current, item))
    };
    if items.iter().any(conflicts) {
        return resolve_conflict(items, found, chosen);
    }
    let mut proposed = Vec::new();
    for item in items {
        match current_value(&item.name, found, chosen) {
            // A lower version has no effect, and that is no error: a later change has overtaken it. The same version is there
            // already: the call was sent before.
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

/// Chooses the values where another content was found at the version of one of the items.
///
/// A former attempt of the same call, here or at another replica, may have reached a few replicas, and its other items might
/// still be found there and completed. A conflict must rule that out: what was found is proposed again, even where it is
/// chosen already, so that nothing of the former attempt can be chosen any more. Where nothing was found there is nothing to
/// put in its place; a value that is as the call has it is in force, and one that was overtaken may have been. Then the
/// caller gets no definite answer.
fn resolve_conflict(
    items: &[Item],
    found: &BTreeMap<ItemName, (Ballot, Item)>,
    chosen: &ChosenItems,
) -> Choice {
    let is_excluded = |item: &Item| {
        found.get(&item.name).is_some_and(|(_, found)| {
            found.ver < item.ver || found.ver == item.ver && !has_same_content(found, item)
        })
    };
    match items {
        [_] => Choice {
            items: unconfirmed_values(found, chosen),
            outcome: Outcome::Conflict,
        },
        _ if items.iter().all(is_excluded) => Choice {
            items: found.values().map(|(_, item)| item.clone()).collect(),
            outcome: Outcome::Conflict,
        },
        _ => Choice {
            items: unconfirmed_values(found, chosen),
            outcome: Outcome::PartiallyApplied,
        },
    }
}
