//! Runs the implementation's replicas and the model's state on the same inputs, and compares each response.

use std::collections::BTreeMap;

use control::core::ids;
use control::core::peer_messages::{Heartbeat, Payload, PeerMessage};
use control::core::registers::Register;
use control::core::transfer::{Continuation, TransferLimits};
use control::core::{
    Input, Output, Record, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata,
};
use control::operator_api::{Command, Reply};
use model_check::packed_types::{Ballot, Incarnation, Value};
use model_check::quorums::{Vote, VoteCounter};
use model_check::state::{Goal, Sender, State, Status};
use model_check::steps::Response;
use protocol::digests::Digests;
use protocol::items::Item;

use super::mapping::{Mapping, address, item, item_name, machine_of, patch, value};

/// Time of all replicas in microseconds; the clock does not advance.
const NOW: i64 = 1_000_000_000;
/// Far enough in the future that no call or round times out.
const DEADLINE: i64 = NOW + 1_000_000;

#[derive(Clone, Default)]
struct DiskState {
    metadata: ReplicaMetadata,
    register: Option<Register>,
    chosen: Option<(ids::Ballot, Item)>,
}

/// Message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: PeerMessage,
}

/// Output of a replica for one input.
#[derive(Default)]
struct StepOutput {
    sent: Vec<PeerMessage>,
    replies: Vec<Reply>,
}

impl StepOutput {
    fn find<T>(&self, select: impl Fn(&PeerMessage) -> Option<T>) -> Option<T> {
        self.sent.iter().find_map(select)
    }
}

pub struct World {
    pub state: State,
    pub in_flight: Vec<Envelope>,
    /// Number of comparisons by kind.
    pub compared: BTreeMap<&'static str, usize>,
    cores: Vec<Option<Replica>>,
    disks: Vec<DiskState>,
    mapping: Mapping,
    /// Votes that each machine has received for the round it leads or for its rebuild.
    votes: Vec<Vec<Vote>>,
    /// For each rebuilding machine, the highest promise and the accepted value received so far, including
    /// those received under its previous incarnation.
    rebuild_progress: Vec<(Ballot, Option<(Ballot, Value)>)>,
    calls: u64,
    /// Set when no rank is free for a new incarnation; the walk ends.
    pub ranks_exhausted: bool,
}

impl World {
    pub fn new(replicas: usize) -> World {
        let machines = replicas + 1;
        let mut mapping = Mapping::default();
        let mut disks = vec![DiskState::default(); machines];
        for (replica, disk) in disks.iter_mut().enumerate().take(replicas) {
            disk.metadata = ReplicaMetadata {
                incarnation: ids::Incarnation::FIRST,
                incarnations: vec![ids::Incarnation::FIRST; replicas],
                addresses: (0..replicas)
                    .map(|replica| Some(address(replica)))
                    .collect(),
                ..ReplicaMetadata::default()
            };
            mapping.insert_run(replica, ids::Incarnation::FIRST, 1, 0);
        }
        let mut world = World {
            state: State::initial(replicas),
            in_flight: Vec::new(),
            compared: BTreeMap::new(),
            cores: (0..machines).map(|_| None).collect(),
            disks,
            mapping,
            votes: vec![Vec::new(); machines],
            rebuild_progress: vec![Default::default(); machines],
            calls: 0,
            ranks_exhausted: false,
        };
        (0..replicas).for_each(|machine| _ = world.start(machine, replicas as u64));
        world
    }

    fn count(&mut self, kind: &'static str) {
        *self.compared.entry(kind).or_default() += 1;
    }

    /// Starts a replica from its disk. Returns the incarnation that it asks the others to record.
    fn start(&mut self, machine: usize, seed: u64) -> Option<ids::Incarnation> {
        let zones: Vec<String> = (0..self.state.replicas())
            .map(|zone| format!("z{zone}"))
            .collect();
        let disk = &mut self.disks[machine];
        let empty = disk.metadata.incarnation == ids::Incarnation::NONE;
        if empty {
            *disk = DiskState::default();
        } else {
            disk.metadata.run += 1;
        }
        let config = ReplicaConfig {
            zone: zones[self.state.machines[machine].replica].clone(),
            address: Some(address(machine)),
            seed_addresses: (0..zones.len())
                .filter(|other| *other != machine)
                .map(address)
                .collect(),
            zones,
            random_seed: seed << 8 | machine as u64,
            transfer_limits: TransferLimits::default(),
            recovered: RecoveredState {
                metadata: disk.metadata.clone(),
                registers: disk
                    .register
                    .iter()
                    .map(|register| (item_name(), register.clone()))
                    .collect(),
                chosen: disk.chosen.iter().cloned().collect(),
            },
        };
        self.votes[machine].clear();
        self.rebuild_progress[machine] = Default::default();
        self.cores[machine] = Some(Replica::new(NOW, config));
        let step_output = self.step_core(machine, Input::Tick);
        step_output.find(|sent| match sent.payload {
            Payload::IncarnationRequest { incarnation, .. } => Some(incarnation),
            _ => None,
        })
    }

    /// Passes an input to a replica. Its writes complete at once.
    fn step_core(&mut self, machine: usize, input: Input) -> StepOutput {
        let mut step_output = StepOutput::default();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            let Some(core) = &mut self.cores[machine] else {
                return step_output;
            };
            core.step(NOW, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::SendToReplicas(to, message) => {
                        let envelopes = to.into_iter().map(machine_of).map(|to| Envelope {
                            from: machine,
                            to,
                            message: message.clone(),
                        });
                        self.in_flight.extend(
                            envelopes.filter(|envelope| is_delivered(&envelope.message.payload)),
                        );
                        step_output.sent.push(message);
                    }
                    Output::Write(number, rows) => {
                        rows.into_iter()
                            .for_each(|row| self.apply_record(machine, row));
                        inputs.insert(0, Input::WriteCompleted(number));
                    }
                    Output::Answer(_, reply) => step_output.replies.push(reply),
                    _ => {}
                }
            }
        }
        step_output
    }

    fn apply_record(&mut self, machine: usize, row: Record) {
        let disk = &mut self.disks[machine];
        match row {
            Record::Metadata(metadata) => disk.metadata = metadata,
            Record::Register(_, register) => disk.register = Some(register),
            Record::Chosen(ballot, item) => disk.chosen = Some((ballot, item)),
        }
    }

    /// Asserts that the replica's disk equals the state of the model's machine, and that both participate or
    /// neither does.
    fn compare(&mut self, machine: usize) {
        let (model, disk) = (&self.state.machines[machine], &self.disks[machine]);
        let Some(core) = &self.cores[machine] else {
            return;
        };
        assert_eq!(
            core.is_participant(),
            model.is_participant(),
            "whether machine {machine} participates"
        );
        if model.status == Status::Member {
            let register = disk.register.clone().unwrap_or_default();
            let promised = register.promised_ballot.max(disk.metadata.promise_floor);
            assert_eq!(
                self.mapping.ballot(promised),
                model.promised,
                "ballot promised by machine {machine}"
            );
            assert_eq!(
                self.mapping.accepted(register.accepted_value.as_ref()),
                model.accepted,
                "value accepted by machine {machine}"
            );
            assert_eq!(
                self.mapping.accepted(disk.chosen.as_ref()),
                model.chosen,
                "value chosen at machine {machine}"
            );
            let incarnation = self.mapping.incarnation(model.replica, core.incarnation());
            assert_eq!(
                Some(incarnation),
                model.incarnation,
                "incarnation of machine {machine}"
            );
            if model.is_participant() {
                assert_eq!(
                    self.mapping.table(&disk.metadata.incarnations),
                    model.table,
                    "incarnations known to machine {machine}"
                );
            }
        }
        self.count("disks");
    }

    /// Sends heartbeats to a replica from the newest incarnations that it knows, so that it considers these
    /// reachable. The heartbeats carry nothing that it does not know.
    pub fn refresh_liveness(&mut self, machine: usize) {
        let own_replica = self.state.machines[machine].replica;
        let table = self.state.machines[machine].table;
        for (replica, known) in table
            .iter()
            .enumerate()
            .take(self.state.replicas())
            .filter(|(replica, _)| *replica != own_replica)
        {
            let from = if *known == Incarnation::FIRST {
                replica
            } else {
                known.machine()
            };
            let payload = Payload::Heartbeat(Heartbeat {
                reachable_replicas: u128::MAX,
                counter_clock: NOW,
                ..Heartbeat::default()
            });
            self.send_as(machine, replica, *known, from, payload);
        }
    }

    /// Sends a payload from the newest known incarnation of a replica, without incarnations of other
    /// replicas.
    fn send_as(
        &mut self,
        machine: usize,
        replica: usize,
        known: Incarnation,
        from: usize,
        payload: Payload,
    ) -> StepOutput {
        let process = ids::ProcessId {
            replica: replica as u8,
            incarnation: self.mapping.core_incarnation(replica, known),
            run: 0,
        };
        let incarnations = vec![ids::Incarnation::NONE; self.state.replicas()];
        self.step_core(
            machine,
            Input::PeerMessage(
                address(from),
                PeerMessage {
                    sender: process,
                    incarnations,
                    payload,
                },
            ),
        )
    }

    /// Passes an operator's call to a machine that leads no round.
    pub fn operator_call(&mut self, machine: usize, wanted: Value) {
        self.refresh_liveness(machine);
        let idle = self.cores[machine]
            .as_ref()
            .is_some_and(|core| core.pending_counts().proposals == 0);
        if !idle || !self.state.machines[machine].is_participant() {
            return;
        }
        self.calls += 1;
        let step_output = self.step_core(
            machine,
            Input::OperatorCall(self.calls, Command::ApplyPatch(patch(wanted)), DEADLINE),
        );
        let prepared_ballot = step_output.find(|sent| match &sent.payload {
            Payload::Prepare { ballot, .. } => Some(*ballot),
            _ => None,
        });
        let ballot = prepared_ballot.unwrap_or_else(|| {
            panic!(
                "machine {machine} began no round: {:?}",
                step_output.replies
            )
        });
        self.votes[machine].clear();
        let model_ballot = self
            .state
            .begin_round(machine, Goal::Write(wanted), ballot.round as u8);
        assert_eq!(self.mapping.ballot(ballot), model_ballot);
        self.count("rounds begun");
        let accepted = self.state.machines[machine].accepted;
        if let Response::Promised(found) = self.state.prepare(machine, model_ballot, None) {
            assert_eq!(found, accepted);
            self.push_own_vote(machine, found);
        }
        self.compare(machine);
    }

    fn push_own_vote(&mut self, machine: usize, accepted: Option<(Ballot, Value)>) {
        let local = &self.state.machines[machine];
        let sender = Sender {
            machine,
            incarnation: local.incarnation.unwrap_or_default(),
            table: local.table,
        };
        self.votes[machine].push(Vote {
            sender,
            floor: Ballot::default(),
            accepted,
        });
    }

    /// Restarts a process; with `disk_lost`, from an empty disk.
    pub fn restart(&mut self, machine: usize, disk_lost: bool, seed: u64) {
        if disk_lost {
            self.disks[machine] = DiskState::default();
        }
        let requested = self.start(machine, seed);
        let replica = self.state.machines[machine].replica;
        let rank = requested.and_then(|core_id| self.insert_incarnation(replica, machine, core_id));
        match (disk_lost, self.state.machines[machine].status) {
            (_, Status::Absent) => self.state.replace(replica, rank.unwrap_or(1), None),
            (true, _) => self.state.lose_disk(machine, rank.unwrap_or(1), None),
            (false, _) => self.state.restart(machine, rank.unwrap_or(1), None),
        }
        self.sync_table_from_disk(machine);
        let metadata = &self.disks[machine].metadata;
        self.mapping.insert_run(
            replica,
            metadata.incarnation,
            metadata.run,
            self.state.machines[machine].run,
        );
        self.count("starts");
        if !self.ranks_exhausted {
            self.compare(machine);
        }
    }

    /// A machine persists the incarnations that it learns only while it participates, whereas the model keeps
    /// all of them. In explorations without
    /// [`learn_every_incarnation`](model_check::bounds::Bounds::learn_every_incarnation), a machine that does
    /// not participate learns only incarnations that make it begin another one.
    fn sync_table_from_disk(&mut self, machine: usize) {
        let (model, disk) = (&mut self.state.machines[machine], &self.disks[machine]);
        if model.status != Status::Member {
            return;
        }
        let table = self.mapping.table(&disk.metadata.incarnations);
        let others = (0..table.len()).filter(|replica| *replica != model.replica);
        for replica in others {
            assert!(
                table[replica] <= model.table[replica],
                "machine {machine} knows an incarnation that it has not received"
            );
            model.table[replica] = table[replica];
        }
    }

    /// Starts the replacement machine for a replica.
    pub fn replace(&mut self, replica: usize, seed: u64) {
        let machine = self.state.replicas();
        if self.state.machines[machine].status == Status::Absent {
            self.state.machines[machine].replica = replica;
            self.restart(machine, false, seed);
        }
    }

    fn insert_incarnation(
        &mut self,
        replica: usize,
        machine: usize,
        core_id: ids::Incarnation,
    ) -> Option<u8> {
        let rank = self.mapping.insert_incarnation(replica, machine, core_id);
        self.ranks_exhausted |= rank.is_none();
        rank
    }

    /// Sends a chosen value to a machine.
    pub fn learn_chosen(&mut self, machine: usize, ballot: Ballot, value: Value) {
        let Some((core_id, _)) = self.find_chosen(ballot) else {
            return;
        };
        let own_replica = self.state.machines[machine].replica;
        let replica = (own_replica + 1) % self.state.replicas();
        let known = self.state.machines[machine].table[replica];
        let from = if known == Incarnation::FIRST {
            replica
        } else {
            known.machine()
        };
        self.send_as(
            machine,
            replica,
            known,
            from,
            Payload::ChosenChunk {
                id: 0,
                sequence: 0,
                items: vec![(core_id, item(value))],
                continuation: Continuation::End,
            },
        );
        self.state.learn_chosen(machine, ballot, value);
        self.count("learned values");
        self.compare(machine);
    }

    fn find_chosen(&self, ballot: Ballot) -> Option<(ids::Ballot, Item)> {
        let mut chosen = self.disks.iter().filter_map(|disk| disk.chosen.as_ref());
        chosen
            .find(|(core_id, _)| self.mapping.ballot(*core_id) == ballot)
            .cloned()
    }

    /// Delivers a message to the implementation and to the model.
    pub fn deliver(&mut self, envelope: &Envelope) {
        let machine = envelope.to;
        let led_round = self.state.machines[machine].led_round.clone();
        let step_output = self.step_core(
            machine,
            Input::PeerMessage(address(envelope.from), envelope.message.clone()),
        );
        self.deliver_incarnations(machine, &envelope.message, &step_output);
        if self.ranks_exhausted {
            return;
        }
        let replica = usize::from(envelope.message.sender.replica);
        let sender = Sender {
            machine: envelope.from,
            incarnation: self
                .mapping
                .incarnation(replica, envelope.message.sender.incarnation),
            table: self.mapping.table(&envelope.message.incarnations),
        };
        let local = &self.state.machines[machine];
        let is_counted = local.table[replica] == sender.incarnation && local.replica != replica;
        let vote = |floor, accepted| Vote {
            sender,
            floor,
            accepted,
        };
        let is_led = |ballot| {
            led_round
                .as_ref()
                .is_some_and(|round| round.ballot == ballot)
                && local.is_participant()
        };
        match &envelope.message.payload {
            Payload::Prepare { ballot, .. } => {
                self.handle_prepare(machine, self.mapping.ballot(*ballot), &step_output)
            }
            Payload::Accept { ballot, items } => self.handle_accept(
                machine,
                self.mapping.ballot(*ballot),
                value(&items[0]),
                &step_output,
            ),
            Payload::Promise {
                ballot,
                accepted_values,
            } if is_counted && is_led(self.mapping.ballot(*ballot)) => {
                let vote = vote(
                    Ballot::default(),
                    self.mapping.accepted(accepted_values.first()),
                );
                self.handle_promise(machine, vote, &step_output);
            }
            Payload::Accepted(ballot) if is_counted && is_led(self.mapping.ballot(*ballot)) => {
                self.handle_acceptance(machine, vote(Ballot::default(), None), &step_output);
            }
            Payload::IncarnationRequest {
                incarnation,
                request,
            } => {
                let is_first_request = request.digests == Digests::default().buckets();
                self.handle_incarnation_request(
                    machine,
                    replica,
                    *incarnation,
                    is_first_request,
                    &step_output,
                );
            }
            Payload::IncarnationRecorded {
                incarnation,
                promise_floor,
                chunk,
                ..
            } if is_counted => {
                let expected_status =
                    Status::Rebuilding(self.mapping.incarnation(local.replica, *incarnation));
                if local.status == expected_status {
                    let accepted = self.mapping.accepted(chunk.items.first());
                    self.handle_incarnation_recorded(
                        machine,
                        *incarnation,
                        vote(self.mapping.ballot(*promise_floor), accepted),
                    );
                }
            }
            Payload::Chosen(ballot) if is_counted => {
                let ballot = self.mapping.ballot(*ballot);
                let accepted = local.accepted.filter(|(accepted, _)| *accepted == ballot);
                accepted.into_iter().for_each(|(ballot, value)| {
                    _ = self.state.learn_chosen(machine, ballot, value)
                });
            }
            _ => {}
        }
        self.compare(machine);
    }

    /// Passes the incarnations in a message to the model.
    fn deliver_incarnations(
        &mut self,
        machine: usize,
        message: &PeerMessage,
        step_output: &StepOutput,
    ) {
        let own_replica = self.state.machines[machine].replica;
        let requested = step_output.find(|sent| match sent.payload {
            Payload::IncarnationRequest { incarnation, .. }
                if !self.mapping.has_incarnation(own_replica, incarnation) =>
            {
                Some(incarnation)
            }
            _ => None,
        });
        let rank =
            requested.and_then(|core_id| self.insert_incarnation(own_replica, machine, core_id));
        if self.ranks_exhausted {
            return;
        }
        let replica = usize::from(message.sender.replica);
        let mut table = self.mapping.table(&message.incarnations);
        table[replica] = table[replica].max(
            self.mapping
                .incarnation(replica, message.sender.incarnation),
        );
        let before = self.state.machines[machine].status;
        for (replica, incarnation) in table.iter().enumerate().take(self.state.replicas()) {
            self.state.learn_incarnation(
                machine,
                replica,
                *incarnation,
                rank.filter(|_| replica == own_replica),
            );
        }
        let after = self.state.machines[machine].status;
        assert_eq!(
            before != after,
            rank.is_some(),
            "whether machine {machine} begins another incarnation"
        );
        if before != after {
            self.votes[machine].clear();
        }
    }

    fn handle_prepare(&mut self, machine: usize, ballot: Ballot, step_output: &StepOutput) {
        let model_response = self.state.prepare(machine, ballot, None);
        let core_response = step_output.find(|sent| match &sent.payload {
            Payload::Promise {
                accepted_values, ..
            } => {
                assert_eq!(
                    self.mapping.table(&sent.incarnations),
                    self.state.machines[machine].table
                );
                Some(Response::Promised(
                    self.mapping.accepted(accepted_values.first()),
                ))
            }
            Payload::Nack { higher_ballot, .. } => {
                Some(Response::Rejected(self.mapping.ballot(*higher_ballot)))
            }
            _ => None,
        });
        assert_eq!(
            core_response.unwrap_or(Response::Ignored),
            model_response,
            "response of machine {machine} to prepare request {ballot:?}"
        );
        self.count(match model_response {
            Response::Promised(_) => "promises",
            Response::Rejected(_) => "rejected prepare requests",
            _ => "ignored proposals",
        });
    }

    fn handle_accept(
        &mut self,
        machine: usize,
        ballot: Ballot,
        value: Value,
        step_output: &StepOutput,
    ) {
        let model_response = self.state.accept(machine, ballot, value, None);
        let core_response = step_output.find(|sent| match &sent.payload {
            Payload::Accepted(_) => Some(Response::Accepted),
            Payload::Nack { higher_ballot, .. } => {
                Some(Response::Rejected(self.mapping.ballot(*higher_ballot)))
            }
            _ => None,
        });
        assert_eq!(
            core_response.unwrap_or(Response::Ignored),
            model_response,
            "response of machine {machine} to accept request {ballot:?}"
        );
        self.count(match model_response {
            Response::Accepted => "acceptances",
            Response::Rejected(_) => "rejected accept requests",
            _ => "ignored proposals",
        });
    }

    fn handle_promise(&mut self, machine: usize, vote: Vote, step_output: &StepOutput) {
        let core_proposal = step_output.find(|sent| match &sent.payload {
            Payload::Accept { items, .. } => Some(value(&items[0])),
            _ => None,
        });
        let Some(round) = self.state.machines[machine]
            .led_round
            .clone()
            .filter(|round| round.proposed.is_none())
        else {
            assert_eq!(core_proposal, None);
            return;
        };
        self.push_vote(machine, vote);
        let Some(quorum) =
            VoteCounter::for_round(&self.state, machine, false).quorum(&self.votes[machine])
        else {
            assert!(
                core_proposal.is_none() && step_output.replies.is_empty(),
                "machine {machine} proposes or replies without a quorum of promises"
            );
            return self.count("votes short of a majority");
        };
        let decision = self
            .state
            .handle_promises(machine, &quorum, None)
            .expect("machine leads a round in the prepare phase");
        assert_eq!(
            core_proposal, decision.proposed,
            "value proposed by machine {machine}"
        );
        self.votes[machine].clear();
        self.count("decisions");
        match decision.proposed {
            Some(value) => {
                if self.state.accept(machine, round.ballot, value, None) == Response::Accepted {
                    self.push_own_vote(machine, None);
                }
            }
            None => assert_eq!(step_output.replies, vec![reply(decision.to_acknowledge)]),
        }
    }

    fn handle_acceptance(&mut self, machine: usize, vote: Vote, step_output: &StepOutput) {
        let chosen =
            step_output.find(|sent| matches!(sent.payload, Payload::Chosen(_)).then_some(()));
        let Some(round) = self.state.machines[machine]
            .led_round
            .clone()
            .filter(|round| round.proposed.is_some())
        else {
            assert_eq!(chosen, None);
            return;
        };
        self.push_vote(machine, vote);
        let Some(_) =
            VoteCounter::for_round(&self.state, machine, false).quorum(&self.votes[machine])
        else {
            assert!(
                chosen.is_none() && step_output.replies.is_empty(),
                "machine {machine} reports a chosen value or replies without a quorum of acceptances"
            );
            return self.count("votes short of a majority");
        };
        self.state.handle_acceptances(machine);
        assert!(
            chosen.is_some(),
            "machine {machine} has a quorum of acceptances but reports no chosen value"
        );
        assert_eq!(step_output.replies, vec![reply(round.to_acknowledge)]);
        self.votes[machine].clear();
        self.count("chosen values");
    }

    fn push_vote(&mut self, machine: usize, vote: Vote) {
        let replica_of = |vote: &Vote| self.state.machines[vote.sender.machine].replica;
        let voter = replica_of(&vote);
        // Only the last vote of each replica counts; what its earlier votes reported is retained.
        let previous_value = self.votes[machine]
            .iter()
            .filter(|known| replica_of(known) == voter)
            .filter_map(|known| known.accepted)
            .max();
        let previous_floor = self.votes[machine]
            .iter()
            .filter(|known| replica_of(known) == voter)
            .map(|known| known.floor)
            .max();
        let merged = Vote {
            accepted: vote.accepted.max(previous_value),
            floor: vote.floor.max(previous_floor.unwrap_or_default()),
            ..vote
        };
        let rest = self.votes[machine]
            .iter()
            .filter(|known| replica_of(known) != voter)
            .copied();
        self.votes[machine] = rest.chain([merged]).collect();
    }

    /// `is_first_request`: the rebuilding machine has received no state yet, so the reply must be complete.
    fn handle_incarnation_request(
        &mut self,
        machine: usize,
        replica: usize,
        incarnation: ids::Incarnation,
        is_first_request: bool,
        step_output: &StepOutput,
    ) {
        let model_records = self.state.record_incarnation(
            machine,
            replica,
            self.mapping.incarnation(replica, incarnation),
            None,
        );
        let core_response = step_output.find(|sent| match &sent.payload {
            Payload::IncarnationRecorded {
                promise_floor,
                chunk,
                ..
            } => {
                let local = &self.state.machines[machine];
                assert_eq!(self.mapping.ballot(*promise_floor), local.promised);
                assert_eq!(self.mapping.table(&sent.incarnations), local.table);
                let sent_value = self.mapping.accepted(chunk.items.first());
                assert!(
                    sent_value == local.accepted || !is_first_request && chunk.items.is_empty()
                );
                Some(())
            }
            _ => None,
        });
        assert_eq!(
            core_response.is_some(),
            model_records,
            "whether machine {machine} records {incarnation:?} of replica {replica}"
        );
        self.count("incarnation requests");
    }

    fn handle_incarnation_recorded(
        &mut self,
        machine: usize,
        incarnation: ids::Incarnation,
        vote: Vote,
    ) {
        // A machine that begins another incarnation keeps the state that it has received, and is not sent it
        // again.
        let (floor, accepted) = self.rebuild_progress[machine];
        let (floor, accepted) = (floor.max(vote.floor), accepted.max(vote.accepted));
        self.rebuild_progress[machine] = (floor, accepted);
        self.push_vote(
            machine,
            Vote {
                floor,
                accepted,
                ..vote
            },
        );
        if let Some(quorum) =
            VoteCounter::for_rebuild(&self.state, machine, false).quorum(&self.votes[machine])
        {
            self.state.rebuild(machine, &quorum, None);
            self.votes[machine].clear();
            // A machine that abandoned its previous incarnation continues to count runs.
            let run = self.disks[machine].metadata.run;
            self.mapping
                .insert_run(self.state.machines[machine].replica, incarnation, run, 0);
            self.count("rebuilds");
        }
    }
}

fn reply(to_acknowledge: Option<Value>) -> Reply {
    to_acknowledge.map_or(Reply::Conflict, |_| Reply::Done)
}

/// Nacks are not delivered, since the model's proposers may begin a new round at any time. Replica addresses
/// are delivered, since they are sent with the incarnations.
fn is_delivered(payload: &Payload) -> bool {
    matches!(
        payload,
        Payload::Prepare { .. }
            | Payload::Promise { .. }
            | Payload::Accept { .. }
            | Payload::Accepted(_)
            | Payload::Chosen(_)
            | Payload::IncarnationRequest { .. }
            | Payload::IncarnationRecorded { .. }
            | Payload::ReplicaAddresses(_)
    )
}
