//! Interface to the model checker: the steps possible in a state, their results, and the properties.

use stateright::{Model, Property};

use crate::bounds::{Bounds, DEFAULT_RANK};
use crate::packed_types::{Ballot, Incarnation, Value};
use crate::properties;
use crate::quorums::{Quorum, VoteCounter};
use crate::state::{Goal, State, Status};
use crate::steps::{Fault, Response};

/// Ranks of the incarnations begun on a restart or a disk loss: a new incarnation may sort before or after an
/// earlier one of the same number.
const REBUILD_RANKS: [u8; 2] = [4, 12];

/// Step of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A machine begins a round.
    Begin(usize, Goal, u8),
    /// A machine receives a prepare request.
    Prepare(usize, Ballot),
    /// A machine receives an accept request.
    Accept(usize, Ballot, Value),
    /// A machine has received promises from a quorum.
    Promised(usize, Quorum),
    /// A machine has received acceptances from a quorum.
    Accepted(usize),
    /// A machine learns a chosen value.
    Learn(usize, Ballot, Value),
    /// A machine learns an incarnation of a replica.
    Hear(usize, usize, Incarnation),
    /// A process ends and restarts.
    Restart(usize, u8),
    /// A machine loses its disk and restarts, and another machine is the first to record its new incarnation.
    /// These are one step: until the incarnation is recorded, nothing distinguishes the state from one in
    /// which the disk is lost later.
    LoseDisk(usize, u8, usize),
    /// A machine records that a replica begins an incarnation.
    Record(usize, usize, Incarnation),
    /// A machine has received the replies that it needs to become a member.
    Rebuild(usize, Quorum),
}

impl Bounds {
    fn counts_old_incarnations(&self) -> bool {
        self.fault == Some(Fault::OldIncarnationCounts)
    }

    fn push_round_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (machine, goal) in self
            .writers
            .iter()
            .filter(|_| state.rounds_begun < self.max_rounds_begun)
        {
            let local = &state.machines[*machine];
            if local.is_participant() {
                actions.extend(
                    (local.last_round + 1..=self.max_round)
                        .map(|round| Action::Begin(*machine, *goal, round)),
                );
            }
        }
        for (machine, local) in state.machines.iter().enumerate() {
            let Some(round) = local.led_round.as_ref().filter(|_| local.is_participant()) else {
                continue;
            };
            let counter = VoteCounter::for_round(state, machine, self.counts_old_incarnations());
            match round.proposed {
                None => {
                    let quorums = counter.quorums(state.promises_for(machine));
                    actions.extend(
                        quorums
                            .into_iter()
                            .map(|quorum| Action::Promised(machine, quorum)),
                    );
                }
                Some(_) => {
                    let quorum = counter.quorums(state.acceptances_for(machine)).pop();
                    actions.extend(quorum.map(|_| Action::Accepted(machine)));
                }
            }
        }
    }

    /// Adds the receipt of messages. A machine replies to each proposal and each incarnation only once: a
    /// repeated reply carries newer state, and so enables nothing that the first reply, or one sent only at
    /// the later time, does not. For the same reason a prepare request is not received once its proposer no
    /// longer waits for promises.
    fn push_message_actions(&self, state: &State, actions: &mut Vec<Action>) {
        let is_awaited = |ballot: &&Ballot| {
            let mut rounds = state
                .machines
                .iter()
                .filter_map(|other| other.led_round.as_ref());
            rounds.any(|round| round.ballot == **ballot && round.proposed.is_none())
        };
        for (machine, local) in state
            .machines
            .iter()
            .enumerate()
            .filter(|(_, local)| local.is_participant())
        {
            let has_promised = |ballot: &&Ballot| {
                let mut promises = state.promises.iter();
                promises
                    .any(|promise| promise.ballot == **ballot && promise.sender.machine == machine)
            };
            let prepares = state
                .prepare_requests
                .iter()
                .filter(is_awaited)
                .filter(|ballot| !has_promised(ballot));
            actions.extend(prepares.map(|ballot| Action::Prepare(machine, *ballot)));
            let has_accepted =
                |(ballot, value): &&(Ballot, Value)| local.accepted == Some((*ballot, *value));
            let accepts = state
                .accept_requests
                .iter()
                .filter(|accept| !has_accepted(accept));
            actions.extend(accepts.map(|(ballot, value)| Action::Accept(machine, *ballot, *value)));
            let has_recorded = |incarnation: Incarnation| {
                let mut replies = state.incarnation_replies.iter();
                replies.any(|reply| {
                    reply.incarnation == incarnation && reply.sender.machine == machine
                })
            };
            let records = state
                .incarnation_requests
                .iter()
                .filter(|(replica, _)| *replica != local.replica);
            let records = records.filter(|(_, incarnation)| !has_recorded(*incarnation));
            actions.extend(
                records
                    .map(|(replica, incarnation)| Action::Record(machine, *replica, *incarnation)),
            );
            let chosen = state.chosen.iter().filter(|_| self.learn_chosen);
            actions.extend(chosen.map(|(ballot, value)| Action::Learn(machine, *ballot, *value)));
        }
    }

    /// Adds the learning of incarnations. A machine that knows newer incarnations counts fewer votes, replies
    /// to fewer messages, and passes the same knowledge on to others. Except in the cases of
    /// [`crate::state::Machine::begins_new_incarnation_on`], everything that can happen after it has learned
    /// an incarnation can also happen without it.
    fn push_incarnation_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (machine, local) in state
            .machines
            .iter()
            .enumerate()
            .filter(|(_, local)| local.status != Status::Absent)
        {
            for replica in 0..state.replicas() {
                let mut incarnations: Vec<Incarnation> = state
                    .machines
                    .iter()
                    .map(|other| other.table[replica])
                    .collect();
                incarnations.sort_unstable();
                incarnations.dedup();
                let is_relevant = |incarnation: &Incarnation| {
                    *incarnation > local.table[replica]
                        && (self.learn_every_incarnation
                            || local.begins_new_incarnation_on(machine, replica, *incarnation))
                };
                let relevant = incarnations.into_iter().filter(is_relevant);
                actions.extend(
                    relevant.map(|incarnation| Action::Hear(machine, replica, incarnation)),
                );
            }
        }
    }

    fn push_failure_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (machine, local) in state.machines.iter().enumerate() {
            match local.status {
                Status::Rebuilding(_) => {
                    let counter =
                        VoteCounter::for_rebuild(state, machine, self.counts_old_incarnations());
                    let quorums = counter.quorums(state.incarnation_replies_for(machine));
                    actions.extend(
                        quorums
                            .into_iter()
                            .map(|quorum| Action::Rebuild(machine, quorum)),
                    );
                    if state.restarts < self.max_restarts {
                        actions.extend(REBUILD_RANKS.map(|rank| Action::Restart(machine, rank)));
                    }
                }
                // Otherwise a restart loses no state, and the step is omitted.
                Status::Member
                    if state.restarts < self.max_restarts && local.loses_state_on_restart() =>
                {
                    actions.push(Action::Restart(machine, DEFAULT_RANK));
                }
                _ => {}
            }
        }
        if state.disk_losses < self.max_disk_losses {
            let is_member = |machine: &usize| state.machines[*machine].status == Status::Member;
            for machine in self.wipeable_machines.iter().copied().filter(is_member) {
                let replica = state.machines[machine].replica;
                let ranks: &[u8] = if self.replaced_replica == Some(replica) {
                    &REBUILD_RANKS
                } else {
                    &REBUILD_RANKS[..1]
                };
                let others = state.machines.iter().enumerate();
                let others =
                    others.filter(|(_, other)| other.is_participant() && other.replica != replica);
                let losses =
                    others.flat_map(|(other, _)| ranks.iter().map(move |rank| (other, *rank)));
                actions.extend(losses.map(|(other, rank)| Action::LoseDisk(machine, rank, other)));
            }
        }
    }

    /// Returns the state after a step, or `None` if the step changes nothing.
    pub fn step(&self, previous: &State, action: &Action) -> Option<State> {
        let mut state = previous.clone();
        let fault = self.fault;
        match action {
            Action::Begin(machine, goal, round) => _ = state.begin_round(*machine, *goal, *round),
            Action::Prepare(machine, ballot) => {
                let response = state.prepare(*machine, *ballot, fault);
                matches!(response, Response::Promised(_)).then_some(())?;
            }
            Action::Accept(machine, ballot, value) => {
                (state.accept(*machine, *ballot, *value, fault) == Response::Accepted)
                    .then_some(())?;
            }
            Action::Promised(machine, quorum) => _ = state.handle_promises(*machine, quorum, fault),
            Action::Accepted(machine) => _ = state.handle_acceptances(*machine),
            Action::Learn(machine, ballot, value) => {
                state
                    .learn_chosen(*machine, *ballot, *value)
                    .then_some(())?;
            }
            Action::Hear(machine, replica, incarnation) => {
                state.learn_incarnation(*machine, *replica, *incarnation, Some(DEFAULT_RANK))
            }
            Action::Restart(machine, rank) => state.restart(*machine, *rank, fault),
            Action::LoseDisk(machine, rank, other) => {
                state.lose_disk(*machine, *rank, fault);
                let local = &state.machines[*machine];
                if let Status::Rebuilding(incarnation) = local.status {
                    let replica = local.replica;
                    state
                        .record_incarnation(*other, replica, incarnation, fault)
                        .then_some(())?;
                }
            }
            Action::Record(machine, replica, incarnation) => {
                state
                    .record_incarnation(*machine, *replica, *incarnation, fault)
                    .then_some(())?;
            }
            Action::Rebuild(machine, quorum) => state.rebuild(*machine, quorum, fault),
        }
        state.discard_stale_messages();
        if !self.no_symmetry_reduction {
            self.canonicalize(&mut state);
        }
        let restarted = matches!(action, Action::Restart(..));
        let only_counted_restart = restarted
            && State {
                restarts: previous.restarts,
                ..state.clone()
            } == *previous;
        (!only_counted_restart && state != *previous).then_some(state)
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        self.push_round_actions(state, actions);
        self.push_message_actions(state, actions);
        self.push_incarnation_actions(state, actions);
        self.push_failure_actions(state, actions);
    }

    fn next_state(&self, previous: &State, action: Action) -> Option<State> {
        self.step(previous, &action)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(properties::AGREEMENT, |_, state| {
                properties::agreement(state)
            }),
            Property::always(properties::DURABILITY, |_, state| {
                properties::durability(state)
            }),
            Property::always(properties::NO_RESURRECTION, |_, state| {
                properties::no_resurrection(state)
            }),
            Property::always(properties::NO_UNREBUILT_PARTICIPANT, |_, state| {
                properties::no_unrebuilt_participant(state)
            }),
        ]
    }
}
