//! A round of registers, as its proposer sees it: promises from more than half of the replicas, a decision on what they
//! hold, acceptance by more than half. All items of a call travel together.

use std::collections::{BTreeMap, BTreeSet};

use protocol::items::{Item, ItemName, has_same_content};

use super::chosen::ChosenItems;
use super::peer_messages::{Ballot, Incarnation, Payload, ReplicaId};
use super::replicas::ReplicaTable;
use crate::limits;

/// What a round is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// These items are to be in force, each by its version.
    SetItems(Vec<Item>),
    /// A zone is to be evacuated, or not.
    SetEvacuation(ItemName, bool),
    /// What was accepted is to be finished.
    Repair(Vec<ItemName>),
}

impl Intent {
    /// The registers that it is about.
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
        items
            .iter()
            .map(|item| item.spec.as_deref().map_or(0, str::len))
            .sum::<usize>()
            > limits::LARGE_CONTENT_BYTES
    }
}

/// How a round ends for who wanted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All of it is on the disks of more than half.
    Done,
    /// Something else stands at this version, and nothing of the call is in force or can come into force.
    Conflict,
    /// Something else stands at the version of one item, and others of the call are in force, or may come into force.
    PartiallyApplied,
}

/// What a round wants done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To all replicas, this one included.
    Broadcast(Payload),
    /// These items are chosen.
    Chosen(Ballot, Vec<Item>),
    /// The outcome; the round may go on to finish what it found.
    Report(Outcome),
    /// Begin again with a higher ballot, not before then.
    Retry(i64),
    /// It is over.
    Finished,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle,
    Preparing(BTreeMap<ItemName, (Ballot, Item)>),
    Accepting(Vec<Item>),
}

/// A round that is under way.
#[derive(Clone, Debug)]
pub struct Proposal {
    intent: Intent,
    ballot: Ballot,
    phase: Phase,
    votes: BTreeMap<ReplicaId, Incarnation>,
    rejections: BTreeSet<ReplicaId>,
    attempts: u32,
    reported: bool,
    /// What is told once what is proposed is chosen.
    outcome: Outcome,
    /// Own contents were proposed: they may come into force, whatever is found later. Of a zone, its version.
    proposed_version: Option<u64>,
    /// Given up then.
    pub deadline: i64,
    /// To be looked at again then.
    pub wake_at: i64,
    /// Highest proposal that stood in the way.
    pub highest_seen: Ballot,
}

impl Proposal {
    /// A round that has not begun.
    pub fn new(want: Intent, now: i64, deadline: i64) -> Proposal {
        Proposal {
            intent: want,
            ballot: Ballot::default(),
            phase: Phase::Idle,
            votes: BTreeMap::new(),
            rejections: BTreeSet::new(),
            attempts: 0,
            reported: false,
            outcome: Outcome::Done,
            proposed_version: None,
            deadline,
            wake_at: now,
            highest_seen: Ballot::default(),
        }
    }

    /// The registers that it is about.
    pub fn names(&self) -> Vec<ItemName> {
        self.intent.names()
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// It waits to begin, anew or at all.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Its outcome was told.
    pub fn is_reported(&self) -> bool {
        self.reported
    }

    fn next_resend(&self, now: i64) -> i64 {
        now + if self.intent.is_large() {
            limits::LARGE_RESEND_INTERVAL
        } else {
            limits::RESEND_INTERVAL
        }
    }

    /// Begins, with a ballot over all that were seen.
    pub fn start(&mut self, now: i64, ballot: Ballot) -> Action {
        self.ballot = ballot;
        self.phase = Phase::Preparing(BTreeMap::new());
        self.attempts += 1;
        self.votes.clear();
        self.rejections.clear();
        self.wake_at = self.next_resend(now);
        Action::Broadcast(Payload::Prepare {
            ballot,
            names: self.intent.names(),
        })
    }

    fn has_quorum(&self, replicas: &ReplicaTable) -> bool {
        // A vote counts only from the newest incarnation that any voter of the round knows; a message's incarnations are taken in
        // before its vote is, so the table here knows them all.
        self.votes
            .iter()
            .filter(|(replica, incarnation)| replicas.is_current(**replica, **incarnation))
            .count()
            >= replicas.quorum()
    }

    /// A promise has come.
    pub fn handle_promise(
        &mut self,
        now: i64,
        by: (ReplicaId, Incarnation),
        accepted: Vec<(Ballot, Item)>,
        replicas: &ReplicaTable,
        news: &ChosenItems,
    ) -> Vec<Action> {
        let Phase::Preparing(found) = &mut self.phase else {
            return Vec::new();
        };
        for (ballot, item) in accepted {
            if found
                .get(&item.name)
                .is_none_or(|(known, _)| *known < ballot)
            {
                found.insert(item.name.clone(), (ballot, item));
            }
        }
        self.votes.insert(by.0, by.1);
        if !self.has_quorum(replicas) {
            return Vec::new();
        }
        let Phase::Preparing(found) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let (items, outcome) = self.choose_values(&found, news);
        if items.is_empty() {
            self.reported = true;
            return vec![Action::Report(outcome), Action::Finished];
        }
        // Nothing is refused for something that may be lost again: only once that is chosen.
        self.outcome = outcome;
        if outcome == Outcome::Done && !matches!(self.intent, Intent::Repair(_)) {
            self.proposed_version =
                Some(items.iter().map(|item| item.ver).max().unwrap_or_default());
        }
        self.votes.clear();
        self.rejections.clear();
        self.wake_at = self.next_resend(now);
        let step = Action::Broadcast(Payload::Accept {
            ballot: self.ballot,
            items: items.clone(),
        });
        self.phase = Phase::Accepting(items);
        vec![step]
    }

    /// What to propose in place of what was found, and what that means. Nothing is proposed for what is chosen already.
    fn choose_values(
        &self,
        found: &BTreeMap<ItemName, (Ballot, Item)>,
        news: &ChosenItems,
    ) -> (Vec<Item>, Outcome) {
        // Danger: promises that were given before another proposal was chosen may hold what has lost against it
        // at the same version.
        let old = |name: &ItemName| {
            let found = found.get(name).map(|(_, item)| item);
            let chosen = news.get(name);
            chosen
                .filter(|chosen| found.is_none_or(|found| found.ver <= chosen.ver))
                .or(found)
        };
        let open = |item: &&Item| !news.includes(item);
        let finish = || {
            found
                .values()
                .map(|(_, item)| item)
                .filter(open)
                .cloned()
                .collect::<Vec<_>>()
        };
        match &self.intent {
            Intent::Repair(_) => (finish(), Outcome::Done),
            Intent::SetItems(items) => {
                let differs = |item: &Item| {
                    old(&item.name)
                        .is_some_and(|old| old.ver == item.ver && !has_same_content(old, item))
                };
                if items.iter().any(differs) {
                    return resolve_conflict(items, found, finish());
                }
                let mut proposed = Vec::new();
                for item in items {
                    match old(&item.name) {
                        // A lower version has no effect, and that is in order: a later change has overtaken it.
                        // Its own version is there already: the call was sent before.
                        Some(old) if old.ver >= item.ver => {
                            proposed.extend(open(&old).then(|| old.clone()))
                        }
                        _ => proposed.push(item.clone()),
                    }
                }
                (proposed, Outcome::Done)
            }
            Intent::SetEvacuation(name, on) => {
                let stands = old(name).and_then(|item| item.spec.as_deref()) == Some("true");
                let overtaken = self
                    .proposed_version
                    .is_some_and(|own| old(name).is_some_and(|item| item.ver > own));
                if stands == *on || overtaken {
                    return (finish(), Outcome::Done);
                }
                let ver = old(name).map_or(1, |item| item.ver + 1);
                (
                    vec![Item {
                        name: name.clone(),
                        ver,
                        spec: Some(on.to_string()),
                    }],
                    Outcome::Done,
                )
            }
        }
    }

    /// A replica has accepted.
    pub fn handle_accepted(
        &mut self,
        by: (ReplicaId, Incarnation),
        replicas: &ReplicaTable,
    ) -> Vec<Action> {
        if !matches!(self.phase, Phase::Accepting(_)) {
            return Vec::new();
        }
        self.votes.insert(by.0, by.1);
        if !self.has_quorum(replicas) {
            return Vec::new();
        }
        let Phase::Accepting(items) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let mut steps = vec![Action::Chosen(self.ballot, items)];
        if !self.reported {
            self.reported = true;
            steps.push(Action::Report(self.outcome));
        }
        steps.push(Action::Finished);
        steps
    }

    /// It only finishes what others began.
    pub fn is_repair(&self) -> bool {
        matches!(self.intent, Intent::Repair(_))
    }

    /// How long to wait after a refusal: at the least, and by chance. The more often, the longer; and who only finishes
    /// what was found gives way, as the one that refuses it by a higher proposal finishes it as well.
    pub fn backoff(&self) -> (i64, u64) {
        let least = if self.is_repair() {
            limits::REPAIR_BACKOFF
        } else {
            limits::PROPOSAL_BACKOFF
        };
        (
            least,
            limits::BACKOFF_JITTER
                << self
                    .attempts
                    .saturating_sub(1)
                    .min(limits::MAX_BACKOFF_DOUBLINGS),
        )
    }

    /// A replica has promised something to a higher proposal. `pause` is how long to wait, if it begins again.
    pub fn handle_nack(
        &mut self,
        now: i64,
        replica: ReplicaId,
        seen: Ballot,
        pause: i64,
        replicas: &ReplicaTable,
    ) -> Vec<Action> {
        self.highest_seen = self.highest_seen.max(seen);
        self.rejections.insert(replica);
        let may = |replica: &ReplicaId| {
            replicas.is_reachable(now, *replica) && !self.rejections.contains(replica)
        };
        let possible = (0..replicas.replica_count() as ReplicaId)
            .filter(may)
            .count();
        if self.is_idle() || possible >= replicas.quorum() {
            return Vec::new();
        }
        self.retry_at(now + pause)
    }

    fn retry_at(&mut self, at: i64) -> Vec<Action> {
        self.phase = Phase::Idle;
        self.wake_at = at;
        vec![Action::Retry(at)]
    }

    /// Time has come to look at it: what was not answered is sent again, or it begins anew.
    pub fn on_timeout(&mut self, now: i64) -> Vec<Action> {
        self.wake_at = self.next_resend(now);
        let body = match &self.phase {
            Phase::Idle => return Vec::new(),
            _ if !self.rejections.is_empty() => {
                return self.retry_at(now + limits::PROPOSAL_BACKOFF);
            }
            Phase::Preparing(_) => Payload::Prepare {
                ballot: self.ballot,
                names: self.intent.names(),
            },
            Phase::Accepting(items) => Payload::Accept {
                ballot: self.ballot,
                items: items.clone(),
            },
        };
        vec![Action::Broadcast(body)]
    }

    /// Who has not answered the last message.
    pub fn awaits_vote_of(&self, replica: ReplicaId) -> bool {
        !self.votes.contains_key(&replica)
    }
}

/// What to propose where something else stands at the version of one of a call's items, and what that means.
///
/// A former try of the same call, here or at another replica, may have reached a few replicas. Its other items could still
/// be found there and finished. A refusal must rule that out: what was found is proposed anew, also where it is chosen
/// already, so that what a former try left counts no more. Where nothing was found there is nothing to put in its place;
/// what stands as the call has it is in force, and what was overtaken may have been: then the caller gets no clear answer.
fn resolve_conflict(
    items: &[Item],
    found: &BTreeMap<ItemName, (Ballot, Item)>,
    open: Vec<Item>,
) -> (Vec<Item>, Outcome) {
    let excluded = |item: &Item| {
        let differs =
            |old: &Item| old.ver < item.ver || old.ver == item.ver && !has_same_content(old, item);
        found.get(&item.name).is_some_and(|(_, old)| differs(old))
    };
    match items {
        [_] => (open, Outcome::Conflict),
        _ if items.iter().all(excluded) => (
            found.values().map(|(_, item)| item.clone()).collect(),
            Outcome::Conflict,
        ),
        _ => (open, Outcome::PartiallyApplied),
    }
}
