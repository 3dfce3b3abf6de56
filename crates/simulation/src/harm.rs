//! Deliberate harm done by the world around the programs; docs/core.md says which rule sees each.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use control::core::Input;
use control::core::ids::{Ballot, Incarnation, ProcessId, ReplicaId, SingletonRole};
use control::core::peer_messages::{Payload, PeerMessage};
use control::core::transfer::{Chunk, Continuation};
use control::operator_api::Reply;
use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ClusterView, ControlMessage, CounterAdd};

use crate::chance::mix;
use crate::cluster::{Cluster, Event, MS, SECOND};

/// Deliberate harm done by the world around the programs, to show that the simulation sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// A disk says that rows are there before they are.
    Sync,
    /// A replica with an empty disk counts at once.
    Empty,
    /// The replicas go by the time of day, which is set now and then.
    Clock,
    /// The clock of a process stands still with it: a duty goes on after its grant ended.
    Stood,
    /// Replicas do not hear of newer incarnations.
    Incarnations,
    /// What a machine says that was replaced counts for its replica.
    Old,
    /// Dropped items are not on disk after a start.
    Tombstone,
    /// What was promised is forgotten when something else is to be accepted.
    Promise,
    /// Granted terms are not on disk after a start.
    Term,
    /// Of what was accepted the one counts that arrived last.
    Arrival,
    /// An edge forgets what it showed.
    Forget,
    /// News apply at a proxy as they arrive.
    News,
    /// Acceptances arrive that were never sent.
    Accepted,
    /// The holder of the count counts nothing.
    Count,
    /// Adds are counted twice.
    Twice,
    /// A replica that does not hold the count answers with totals of its own.
    Totals,
    /// A message for a replica that is out of reach is sent again without pause.
    Resend,
    /// A call of the operators is taken again and again.
    Calls,
    /// A quarter of the votes that were written are never reported: what waits for it is held for good.
    Written,
    /// A start of a process is not counted: its proposals have the numbers of those before it.
    Run,
    /// A replica that rebuilds hears of no floor under its promises.
    Floor,
    /// An answer is believed whatever process asked, so long as its number fits.
    Asked,
    /// Answers to operators' calls go to one another's callers.
    Callers,
    /// A replica tells who proposes of versions that are one lower than those that it accepted.
    Versions,
    /// A replica tells nobody of what it accepted and what says dropped.
    Traces,
    /// Of a call of several items the last is lost on its way, and the others are accepted.
    Halves,
    /// A process that stood still takes what waits on its links for new.
    Queued,
    /// An order that waited at a process that stood still is carried out though its caller has gone.
    Late,
    /// The last beat that came through is told again in place of those that do not.
    Echo,
    /// The same, and proposals are answered in place of those that they do not reach.
    Forged,
    /// Agents are told that theirs is the only limiter: each proxy takes a whole quota for its share.
    Only,
    /// What is given back to the count is taken off it thrice.
    Returned,
    /// A replica that rebuilds hears of no items.
    Hollow,
    /// What is chosen is told by the one that chose it alone, and never again.
    Untold,
    /// A process that is told to end does so at once.
    Leave,
    /// A transfer of state that breaks off counts as whole.
    Partial,
    /// A transfer of state leaves out what was dropped.
    Undropped,
    /// Agents are told that what they have is a whole configuration before it is.
    Whole,
}

impl Bug {
    /// All of them, by name.
    pub const ALL: &'static [(&'static str, Bug)] = &[
        ("sync", Bug::Sync),
        ("empty", Bug::Empty),
        ("clock", Bug::Clock),
        ("stood", Bug::Stood),
        ("incarnations", Bug::Incarnations),
        ("old", Bug::Old),
        ("tombstone", Bug::Tombstone),
        ("promise", Bug::Promise),
        ("term", Bug::Term),
        ("arrival", Bug::Arrival),
        ("forget", Bug::Forget),
        ("news", Bug::News),
        ("accepted", Bug::Accepted),
        ("count", Bug::Count),
        ("twice", Bug::Twice),
        ("totals", Bug::Totals),
        ("resend", Bug::Resend),
        ("calls", Bug::Calls),
        ("written", Bug::Written),
        ("run", Bug::Run),
        ("floor", Bug::Floor),
        ("asked", Bug::Asked),
        ("callers", Bug::Callers),
        ("versions", Bug::Versions),
        ("traces", Bug::Traces),
        ("halves", Bug::Halves),
        ("queued", Bug::Queued),
        ("late", Bug::Late),
        ("echo", Bug::Echo),
        ("forged", Bug::Forged),
        ("only", Bug::Only),
        ("returned", Bug::Returned),
        ("hollow", Bug::Hollow),
        ("untold", Bug::Untold),
        ("leave", Bug::Leave),
        ("partial", Bug::Partial),
        ("undropped", Bug::Undropped),
        ("whole", Bug::Whole),
    ];
}

/// What harm has to remember.
#[derive(Debug, Default)]
pub(crate) struct Harm {
    /// What was to be accepted: from whom, by whom, under which proposal.
    accepts: BTreeMap<(usize, usize, Ballot), PeerMessage>,
    /// What was accepted in spite of a promise: by whom, for whom, under which one, and the proposal it was for.
    forgot: BTreeMap<(usize, usize, Ballot), Ballot>,
    /// Adds that came to a machine, by connection and batch.
    adds: BTreeMap<(u64, u64), Vec<CounterAdd>>,
    /// Writes that are never reported: the machine, its incarnation, their number.
    pub(crate) unreported: BTreeSet<(usize, u64, u64)>,
    /// An answer to a call that waits for another one to be given in its place.
    answer: Option<(u64, Reply)>,
    /// What each machine counted on its own.
    counts: HashMap<(usize, u64), f64>,
    /// The last beat that came through, by who sent it and to whom.
    beats: BTreeMap<(usize, usize), PeerMessage>,
    /// What each edge's proxy was told last of each item.
    items: BTreeMap<(usize, ItemName), Item>,
}

impl Cluster {
    pub(crate) fn has(&self, bug: Bug) -> bool {
        self.bug == Some(bug)
    }

    /// How far a machine's clock is off now: the time of day is set now and then.
    pub(crate) fn off(&self, at: usize) -> i64 {
        let drawn = mix(&[self.seed, 9, at as u64, (self.now / (3 * SECOND)) as u64]);
        let steps = [0, 0, -900 * MS, 900 * MS, 0, 0, -2_000 * MS, 2_000 * MS];
        if self.has(Bug::Clock) {
            steps[(drawn % 8) as usize]
        } else {
            0
        }
    }

    /// A message as it arrives.
    pub(crate) fn harmed(
        &self,
        from: usize,
        to: usize,
        mut peer_message: PeerMessage,
    ) -> PeerMessage {
        let by_arrival = |all: &mut Vec<(Ballot, Item)>| {
            all.iter_mut()
                .for_each(|(ballot, _)| ballot.round = self.now as u64);
        };
        let newest = |zone: usize| {
            let machines = self.nodes.iter().filter(|node| node.zone == zone);
            machines
                .map(|node| node.disk.own.incarnation)
                .max()
                .unwrap_or_default()
        };
        match (self.bug, &mut peer_message.payload) {
            (Some(Bug::Incarnations), _) => peer_message.incarnations.fill(Incarnation::NONE),
            (Some(Bug::Accepted), Payload::Nack { ballot, .. }) => {
                peer_message.payload = Payload::Accepted(*ballot)
            }
            (Some(Bug::Asked), Payload::RegisterChunk { id, .. }) => {
                id.requester = self.speaker(to).unwrap_or(id.requester)
            }
            (Some(Bug::Asked), Payload::LeaseVote { term, .. }) => {
                term.holder = self.speaker(to).unwrap_or(term.holder)
            }
            (
                Some(Bug::Versions),
                Payload::Promise {
                    accepted_values: accepted,
                    ..
                },
            ) => {
                accepted
                    .iter_mut()
                    .for_each(|(_, item)| item.ver = item.ver.saturating_sub(1));
            }
            (
                Some(Bug::Traces),
                Payload::Promise {
                    accepted_values: accepted,
                    ..
                },
            )
            | (
                Some(Bug::Traces),
                Payload::RegisterChunk {
                    chunk: Chunk {
                        items: accepted, ..
                    },
                    ..
                },
            ) => {
                accepted.retain(|(_, item)| item.spec.is_some());
            }
            (Some(Bug::Halves), Payload::Accept { items, .. }) if items.len() > 1 => {
                _ = items.pop()
            }
            (
                Some(Bug::Floor),
                Payload::IncarnationRecorded {
                    promise_floor: floor,
                    ..
                },
            ) => *floor = Ballot::default(),
            (Some(Bug::Hollow), Payload::IncarnationRecorded { chunk: piece, .. }) => {
                piece.items.clear()
            }
            (Some(Bug::Untold), Payload::ChosenChunk { items, .. }) => items.clear(),
            (Some(Bug::Partial), Payload::IncarnationRecorded { chunk: piece, .. }) => {
                piece.continuation = Continuation::End
            }
            (Some(Bug::Undropped), Payload::ChosenChunk { items, .. }) => {
                items.retain(|(_, item)| item.spec.is_some())
            }
            (Some(Bug::Undropped), Payload::IncarnationRecorded { chunk: piece, .. }) => {
                piece.items.retain(|(_, item)| item.spec.is_some());
            }
            (
                Some(Bug::Arrival),
                Payload::Promise {
                    accepted_values: accepted,
                    ..
                },
            ) => by_arrival(accepted),
            (Some(Bug::Arrival), Payload::RegisterChunk { chunk: piece, .. }) => {
                by_arrival(&mut piece.items)
            }
            (Some(Bug::Old), body) => {
                // The old one does not hear of the new one, and its votes count as those of the new one.
                let votes = matches!(
                    body,
                    Payload::Promise { .. } | Payload::Accepted(_) | Payload::LeaseVote { .. }
                );
                let zone = self.nodes[from].zone;
                if votes && peer_message.sender.incarnation != Incarnation::NONE {
                    peer_message.sender.incarnation =
                        newest(zone).max(peer_message.sender.incarnation);
                }
                if !self.holding().contains(&to) {
                    peer_message.incarnations[self.nodes[to].zone] = Incarnation::NONE;
                }
            }
            _ => {}
        }
        peer_message
    }

    /// Who the process of a machine is.
    fn speaker(&self, at: usize) -> Option<ProcessId> {
        let node = &self.nodes[at];
        let own = &node.disk.own;
        node.core.as_ref().map(|core| ProcessId {
            replica: node.zone as ReplicaId,
            incarnation: core.incarnation(),
            run: own.run,
        })
    }

    /// An answer as its caller gets it, and that of the call that it is mistaken for.
    pub(crate) fn harmed_answer(&mut self, call: u64, reply: Reply) -> Vec<(u64, Reply)> {
        if !self.has(Bug::Callers) {
            return vec![(call, reply)];
        }
        match self.harm.answer.take() {
            Some((other, held)) => vec![(other, reply), (call, held)],
            None => {
                self.harm.answer = Some((call, reply));
                Vec::new()
            }
        }
    }

    /// A message that may not come through: in place of a beat the last one comes that did, and a proposal is answered in place
    /// of whom it does not reach.
    pub(crate) fn echo(&mut self, from: usize, to: usize, peer_message: &PeerMessage) {
        if !self.has(Bug::Echo) && !self.has(Bug::Forged) {
            return;
        }
        let beat = matches!(peer_message.payload, Payload::Heartbeat(_));
        if !self.cuts.contains(&(from, to)) {
            if beat {
                self.harm.beats.insert((from, to), peer_message.clone());
            }
            return;
        }
        if let Some(last) = self.harm.beats.get(&(from, to)).cloned().filter(|_| beat) {
            self.slip(from, to, last);
        }
        let body = match &peer_message.payload {
            Payload::Prepare { ballot, .. } => Payload::Promise {
                ballot: *ballot,
                accepted_values: Vec::new(),
            },
            Payload::Accept { ballot, .. } => Payload::Accepted(*ballot),
            _ => return,
        };
        if let Some(last) = self
            .harm
            .beats
            .get(&(to, from))
            .cloned()
            .filter(|_| self.has(Bug::Forged))
        {
            self.slip(
                to,
                from,
                PeerMessage {
                    payload: body,
                    ..last
                },
            );
        }
    }

    /// A message comes in spite of a cut.
    fn slip(&mut self, from: usize, to: usize, peer_message: PeerMessage) {
        let (address, incarnation) = (self.nodes[from].address, self.nodes[to].incarnation);
        let input = Box::new(Input::PeerMessage(address, peer_message));
        self.enter(self.now + MS, Event::Feed(to, incarnation, input));
    }

    /// What an agent says as it comes to a machine: so many times.
    pub(crate) fn harmed_up(&mut self, id: u64, up: &AgentMessage) -> usize {
        match up {
            AgentMessage::CounterBatch { batch, adds, .. } if self.has(Bug::Totals) => {
                self.harm.adds.insert((id, *batch), adds.clone());
                1
            }
            AgentMessage::CounterBatch { .. } if self.has(Bug::Twice) => 2,
            AgentMessage::CounterBatch { adds, .. }
                if self.has(Bug::Returned) && adds.iter().all(|add| add.units < 0.0) =>
            {
                3
            }
            _ => 1,
        }
    }

    /// A message as it is sent; none if something else goes in its place.
    pub(crate) fn harmed_sent(
        &mut self,
        from: usize,
        to: usize,
        peer_message: &PeerMessage,
    ) -> Option<PeerMessage> {
        let mut peer_message = peer_message.clone();
        if !self.has(Bug::Promise) {
            return Some(peer_message);
        }
        match &mut peer_message.payload {
            Payload::Accept { ballot, .. } => {
                self.harm
                    .accepts
                    .insert((from, to, *ballot), peer_message.clone());
            }
            Payload::Nack {
                ballot,
                higher_ballot: seen,
            } => {
                // What it has promised it forgets, and accepts.
                if let Some(mut accept) = self.harm.accepts.remove(&(to, from, *ballot)) {
                    self.harm.forgot.insert((from, to, *seen), *ballot);
                    if let Payload::Accept { ballot, .. } = &mut accept.payload {
                        *ballot = *seen;
                    }
                    self.enter(self.now + 1, Event::PeerMessage(to, from, Box::new(accept)));
                    return None;
                }
            }
            Payload::Accepted(ballot) => {
                if let Some(was) = self.harm.forgot.remove(&(from, to, *ballot)) {
                    *ballot = was;
                }
            }
            _ => {}
        }
        Some(peer_message)
    }

    /// What a machine tells an agent.
    pub(crate) fn harmed_down(
        &mut self,
        id: u64,
        node: usize,
        down: ControlMessage,
    ) -> ControlMessage {
        match down {
            ControlMessage::CounterTotals { batch, totals } if self.has(Bug::Count) => {
                ControlMessage::CounterTotals {
                    batch,
                    totals: totals.iter().map(|_| 1.0).collect(),
                }
            }
            ControlMessage::NotCounted(batch) if self.has(Bug::Totals) => {
                let adds = self.harm.adds.remove(&(id, batch)).unwrap_or_default();
                let counts = &mut self.harm.counts;
                let one = |add: &CounterAdd| {
                    let total = counts.entry((node, add.counter)).or_default();
                    *total += add.units;
                    *total
                };
                ControlMessage::CounterTotals {
                    batch,
                    totals: adds.iter().map(one).collect(),
                }
            }
            ControlMessage::ClusterView(who) if self.has(Bug::Only) => {
                ControlMessage::ClusterView(ClusterView {
                    limiter_count: 1,
                    ..who
                })
            }
            ControlMessage::Items(items) if items.is_empty() && self.has(Bug::Whole) => {
                ControlMessage::SnapshotComplete
            }
            ControlMessage::ClusterView(who) if self.has(Bug::Totals) => {
                // It goes on as the holder of the last term that it had.
                let own = self
                    .terms
                    .iter()
                    .rfind(|((duty, _), at)| *duty == SingletonRole::Counter && **at == node);
                match own {
                    Some(((_, term), _)) => {
                        let holder = Some((self.nodes[node].address, *term));
                        ControlMessage::ClusterView(ClusterView {
                            counter: holder,
                            has_quorum: true,
                            ..who
                        })
                    }
                    None => ControlMessage::ClusterView(who),
                }
            }
            down => down,
        }
    }

    /// All that an edge was told of items, each as it arrived last.
    pub(crate) fn by_arrival(&mut self, at: usize, items: Vec<Item>) -> Vec<Item> {
        self.harm.items.extend(
            items
                .into_iter()
                .map(|item| ((at, item.name.clone()), item)),
        );
        let own = self.harm.items.iter().filter(|((edge, _), _)| *edge == at);
        own.map(|(_, item)| item.clone()).collect()
    }
}
