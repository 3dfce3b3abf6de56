//! The code's cores and the model's state, fed the same; each verdict of one is compared with that of the
//! other.

use std::collections::BTreeMap;

use control::core::ids;
use control::core::peer_messages::{Heartbeat, Payload, PeerMessage};
use control::core::registers::Register;
use control::core::transfer::{Continuation, TransferLimits};
use control::core::{
    Input, Output, Record, RecoveredState, Replica, ReplicaConfig, ReplicaMetadata,
};
use control::operator_api::{Command, Reply};
use model_check::numbers::{Ballot, Incarnation, Value};
use model_check::quorums::{Counting, Vote};
use model_check::state::{Speaker, State, Status, Want};
use model_check::steps::Verdict;
use protocol::digests::Digests;
use protocol::items::Item;

use super::names::{Names, address, item, machine, name, patch, value};

/// All cores are on one clock, which stands still.
const NOW: i64 = 1_000_000_000;
/// Calls and rounds do not end by themselves.
const DEADLINE: i64 = NOW + 1_000_000;

#[derive(Clone, Default)]
struct Disk {
    own: ReplicaMetadata,
    register: Option<Register>,
    chosen: Option<(ids::Ballot, Item)>,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Mail {
    pub from: usize,
    pub to: usize,
    pub message: PeerMessage,
}

/// What a core gave out for one input, but for the messages that were mailed.
#[derive(Default)]
struct Given {
    sent: Vec<PeerMessage>,
    replies: Vec<Reply>,
}

impl Given {
    fn find<T>(&self, which: impl Fn(&PeerMessage) -> Option<T>) -> Option<T> {
        self.sent.iter().find_map(which)
    }
}

pub struct World {
    pub state: State,
    pub mail: Vec<Mail>,
    /// Verdicts that were compared.
    pub compared: BTreeMap<&'static str, usize>,
    cores: Vec<Option<Replica>>,
    disks: Vec<Disk>,
    names: Names,
    /// The votes that each machine has heard for what it leads or rebuilds.
    heard: Vec<Vec<Vote>>,
    /// By machine that rebuilds: the floor and what was accepted, as it was told under the incarnation before as well.
    gathered: Vec<(Ballot, Option<(Ballot, Value)>)>,
    calls: u64,
    /// No room for a further mark between others: the walk ends.
    pub over: bool,
}

impl World {
    pub fn new(replicas: usize) -> World {
        let machines = replicas + 1;
        let mut names = Names::default();
        let mut disks = vec![Disk::default(); machines];
        for (replica, disk) in disks.iter_mut().enumerate().take(replicas) {
            disk.own = ReplicaMetadata {
                incarnation: ids::Incarnation::FIRST,
                incarnations: vec![ids::Incarnation::FIRST; replicas],
                addresses: (0..replicas)
                    .map(|replica| Some(address(replica)))
                    .collect(),
                ..ReplicaMetadata::default()
            };
            names.run(replica, ids::Incarnation::FIRST, 1, 0);
        }
        let mut world = World {
            state: State::first(replicas),
            mail: Vec::new(),
            compared: BTreeMap::new(),
            cores: (0..machines).map(|_| None).collect(),
            disks,
            names,
            heard: vec![Vec::new(); machines],
            gathered: vec![Default::default(); machines],
            calls: 0,
            over: false,
        };
        (0..replicas).for_each(|machine| _ = world.start(machine, replicas as u64));
        world
    }

    fn count(&mut self, what: &'static str) {
        *self.compared.entry(what).or_default() += 1;
    }

    /// Starts a core with what is on its disk. Gives the incarnation that it asks the others to record.
    fn start(&mut self, machine: usize, seed: u64) -> Option<ids::Incarnation> {
        let zones: Vec<String> = (0..self.state.replicas())
            .map(|zone| format!("z{zone}"))
            .collect();
        let disk = &mut self.disks[machine];
        let empty = disk.own.incarnation == ids::Incarnation::NONE;
        if empty {
            *disk = Disk::default();
        } else {
            disk.own.run += 1;
        }
        let setup = ReplicaConfig {
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
                metadata: disk.own.clone(),
                registers: disk
                    .register
                    .iter()
                    .map(|register| (name(), register.clone()))
                    .collect(),
                chosen: disk.chosen.iter().cloned().collect(),
            },
        };
        self.heard[machine].clear();
        self.gathered[machine] = Default::default();
        self.cores[machine] = Some(Replica::new(NOW, setup));
        let given = self.feed(machine, Input::Tick);
        given.find(|sent| match sent.payload {
            Payload::IncarnationRequest { incarnation, .. } => Some(incarnation),
            _ => None,
        })
    }

    /// Feeds a core; what it writes is on disk at once.
    fn feed(&mut self, at: usize, input: Input) -> Given {
        let mut given = Given::default();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            let Some(core) = &mut self.cores[at] else {
                return given;
            };
            core.step(NOW, input, &mut out);
            for output in out {
                match output {
                    Output::SendToReplicas(to, message) => {
                        let mails = to.into_iter().map(machine).map(|to| Mail {
                            from: at,
                            to,
                            message: message.clone(),
                        });
                        self.mail
                            .extend(mails.filter(|mail| carries(&mail.message.payload)));
                        given.sent.push(message);
                    }
                    Output::Write(number, rows) => {
                        rows.into_iter().for_each(|row| self.written(at, row));
                        inputs.insert(0, Input::WriteCompleted(number));
                    }
                    Output::Answer(_, reply) => given.replies.push(reply),
                    _ => {}
                }
            }
        }
        given
    }

    fn written(&mut self, at: usize, row: Record) {
        let disk = &mut self.disks[at];
        match row {
            Record::Metadata(own) => disk.own = own,
            Record::Register(_, register) => disk.register = Some(register),
            Record::Chosen(ballot, item) => disk.chosen = Some((ballot, item)),
        }
    }

    /// The disk of a core holds what the model's machine does, and both vote or don't.
    fn compare(&mut self, at: usize) {
        let (model, disk) = (&self.state.machines[at], &self.disks[at]);
        let Some(core) = &self.cores[at] else { return };
        assert_eq!(
            core.is_participant(),
            model.takes_part(),
            "machine {at} takes part"
        );
        if model.status == Status::Member {
            let register = disk.register.clone().unwrap_or_default();
            let promised = register.promised_ballot.max(disk.own.promise_floor);
            assert_eq!(
                self.names.ballot(promised),
                model.promised,
                "promised by {at}"
            );
            assert_eq!(
                self.names.accepted(register.accepted_value.as_ref()),
                model.accepted,
                "accepted by {at}"
            );
            assert_eq!(
                self.names.accepted(disk.chosen.as_ref()),
                model.chosen,
                "chosen at {at}"
            );
            let incarnation = self.names.incarnation(model.replica, core.incarnation());
            assert_eq!(Some(incarnation), model.incarnation, "incarnation of {at}");
            if model.takes_part() {
                assert_eq!(
                    self.names.table(&disk.own.incarnations),
                    model.table,
                    "incarnations known to {at}"
                );
            }
        }
        self.count("disks");
    }

    /// Tells a core that those whose incarnations it knows as the newest live. They tell it nothing that it
    /// does not know.
    pub fn touch(&mut self, at: usize) {
        let own = self.state.machines[at].replica;
        let table = self.state.machines[at].table;
        for (replica, known) in table
            .iter()
            .enumerate()
            .take(self.state.replicas())
            .filter(|(at, _)| *at != own)
        {
            let from = if *known == Incarnation::FIRST {
                replica
            } else {
                known.machine()
            };
            let body = Payload::Heartbeat(Heartbeat {
                reachable_replicas: u128::MAX,
                counter_clock: NOW,
                ..Heartbeat::default()
            });
            self.told(at, replica, *known, from, body);
        }
    }

    /// A message of the newest incarnation that is known of a replica, with nothing of others.
    fn told(
        &mut self,
        at: usize,
        replica: usize,
        known: Incarnation,
        from: usize,
        body: Payload,
    ) -> Given {
        let by = ids::ProcessId {
            replica: replica as u8,
            incarnation: self.names.real(replica, known),
            run: 0,
        };
        let incarnations = vec![ids::Incarnation::NONE; self.state.replicas()];
        self.feed(
            at,
            Input::PeerMessage(
                address(from),
                PeerMessage {
                    sender: by,
                    incarnations,
                    payload: body,
                },
            ),
        )
    }

    /// An operator's call comes to a machine that leads no round.
    pub fn call(&mut self, at: usize, wanted: Value) {
        self.touch(at);
        let idle = self.cores[at]
            .as_ref()
            .is_some_and(|core| core.pending_counts().proposals == 0);
        if !idle || !self.state.machines[at].takes_part() {
            return;
        }
        self.calls += 1;
        let given = self.feed(
            at,
            Input::OperatorCall(self.calls, Command::ApplyPatch(patch(wanted)), DEADLINE),
        );
        let begun = given.find(|sent| match &sent.payload {
            Payload::Prepare { ballot, .. } => Some(*ballot),
            _ => None,
        });
        let ballot = begun.unwrap_or_else(|| panic!("no round of {at}: {:?}", given.replies));
        self.heard[at].clear();
        let own = self
            .state
            .begin(at, Want::Write(wanted), ballot.round as u8);
        assert_eq!(self.names.ballot(ballot), own);
        self.count("begun");
        let accepted = self.state.machines[at].accepted;
        if let Verdict::Promises(found) = self.state.prepare(at, own, None) {
            assert_eq!(found, accepted);
            self.hear_own(at, found);
        }
        self.compare(at);
    }

    fn hear_own(&mut self, at: usize, accepted: Option<(Ballot, Value)>) {
        let own = &self.state.machines[at];
        let by = Speaker {
            machine: at,
            incarnation: own.incarnation.unwrap_or_default(),
            table: own.table,
        };
        self.heard[at].push(Vote {
            by,
            floor: Ballot::default(),
            accepted,
        });
    }

    /// A process ends and starts again; `lost`: its disk is empty then.
    pub fn restart(&mut self, at: usize, lost: bool, seed: u64) {
        if lost {
            self.disks[at] = Disk::default();
        }
        let wants = self.start(at, seed);
        let replica = self.state.machines[at].replica;
        let rank = wants.and_then(|real| self.begin(replica, at, real));
        match (lost, self.state.machines[at].status) {
            (_, Status::Absent) => self.state.replace(replica, rank.unwrap_or(1), None),
            (true, _) => self.state.lose_disk(at, rank.unwrap_or(1), None),
            (false, _) => self.state.restart(at, rank.unwrap_or(1), None),
        }
        self.forget(at);
        let own = &self.disks[at].own;
        self.names.run(
            replica,
            own.incarnation,
            own.run,
            self.state.machines[at].run,
        );
        self.count("starts");
        if !self.over {
            self.compare(at);
        }
    }

    /// A machine writes down what it hears of incarnations only while it takes part. The model keeps the rest
    /// as well: without hearsay, as it is explored, nothing is heard then but what makes the machine begin
    /// another incarnation.
    fn forget(&mut self, at: usize) {
        let (model, disk) = (&mut self.state.machines[at], &self.disks[at]);
        if model.status != Status::Member {
            return;
        }
        let table = self.names.table(&disk.own.incarnations);
        let others = (0..table.len()).filter(|replica| *replica != model.replica);
        for replica in others {
            assert!(
                table[replica] <= model.table[replica],
                "machine {at} knows what it never heard"
            );
            model.table[replica] = table[replica];
        }
    }

    /// Another machine starts for a replica.
    pub fn replace(&mut self, replica: usize, seed: u64) {
        let at = self.state.replicas();
        if self.state.machines[at].status == Status::Absent {
            self.state.machines[at].replica = replica;
            self.restart(at, false, seed);
        }
    }

    fn begin(&mut self, replica: usize, at: usize, real: ids::Incarnation) -> Option<u8> {
        let rank = self.names.begin(replica, at, real);
        self.over |= rank.is_none();
        rank
    }

    /// A machine is told what is chosen.
    pub fn learn(&mut self, at: usize, ballot: Ballot, value: Value) {
        let Some((real, _)) = self.real_chosen(ballot) else {
            return;
        };
        let own = self.state.machines[at].replica;
        let replica = (own + 1) % self.state.replicas();
        let known = self.state.machines[at].table[replica];
        let from = if known == Incarnation::FIRST {
            replica
        } else {
            known.machine()
        };
        self.told(
            at,
            replica,
            known,
            from,
            Payload::ChosenChunk {
                id: 0,
                sequence: 0,
                items: vec![(real, item(value))],
                continuation: Continuation::End,
            },
        );
        self.state.learn(at, ballot, value);
        self.count("learned");
        self.compare(at);
    }

    fn real_chosen(&self, ballot: Ballot) -> Option<(ids::Ballot, Item)> {
        let mut chosen = self.disks.iter().filter_map(|disk| disk.chosen.as_ref());
        chosen
            .find(|(real, _)| self.names.ballot(*real) == ballot)
            .cloned()
    }

    /// A message arrives, at the code and at the model.
    pub fn deliver(&mut self, mail: &Mail) {
        let at = mail.to;
        let led = self.state.machines[at].leads.clone();
        let given = self.feed(
            at,
            Input::PeerMessage(address(mail.from), mail.message.clone()),
        );
        self.hear(at, &mail.message, &given);
        if self.over {
            return;
        }
        let replica = usize::from(mail.message.sender.replica);
        let speaker = Speaker {
            machine: mail.from,
            incarnation: self
                .names
                .incarnation(replica, mail.message.sender.incarnation),
            table: self.names.table(&mail.message.incarnations),
        };
        let own = &self.state.machines[at];
        let counts = own.table[replica] == speaker.incarnation && own.replica != replica;
        let vote = |floor, accepted| Vote {
            by: speaker,
            floor,
            accepted,
        };
        let mine =
            |ballot| led.as_ref().is_some_and(|round| round.ballot == ballot) && own.takes_part();
        match &mail.message.payload {
            Payload::Prepare { ballot, .. } => self.prepare(at, self.names.ballot(*ballot), &given),
            Payload::Accept { ballot, items } => {
                self.accept(at, self.names.ballot(*ballot), value(&items[0]), &given)
            }
            Payload::Promise {
                ballot,
                accepted_values: accepted,
            } if counts && mine(self.names.ballot(*ballot)) => {
                let vote = vote(Ballot::default(), self.names.accepted(accepted.first()));
                self.promised(at, vote, &given);
            }
            Payload::Accepted(ballot) if counts && mine(self.names.ballot(*ballot)) => {
                self.accepted(at, vote(Ballot::default(), None), &given);
            }
            Payload::IncarnationRequest {
                incarnation,
                request: question,
            } => {
                let anew = question.digests == Digests::default().buckets();
                self.record(at, replica, *incarnation, anew, &given);
            }
            Payload::IncarnationRecorded {
                incarnation,
                promise_floor: floor,
                chunk: piece,
                ..
            } if counts => {
                let wanted = Status::Rebuilds(self.names.incarnation(own.replica, *incarnation));
                if own.status == wanted {
                    let accepted = self.names.accepted(piece.items.first());
                    self.recorded(at, *incarnation, vote(self.names.ballot(*floor), accepted));
                }
            }
            Payload::Chosen(ballot) if counts => {
                let ballot = self.names.ballot(*ballot);
                let held = own.accepted.filter(|(accepted, _)| *accepted == ballot);
                held.into_iter()
                    .for_each(|(ballot, value)| _ = self.state.learn(at, ballot, value));
            }
            _ => {}
        }
        self.compare(at);
    }

    /// The incarnations that a message tells.
    fn hear(&mut self, at: usize, message: &PeerMessage, given: &Given) {
        let own = self.state.machines[at].replica;
        let wants = given.find(|sent| match sent.payload {
            Payload::IncarnationRequest { incarnation, .. }
                if !self.names.knows(own, incarnation) =>
            {
                Some(incarnation)
            }
            _ => None,
        });
        let rank = wants.and_then(|real| self.begin(own, at, real));
        if self.over {
            return;
        }
        let replica = usize::from(message.sender.replica);
        let mut table = self.names.table(&message.incarnations);
        table[replica] =
            table[replica].max(self.names.incarnation(replica, message.sender.incarnation));
        let before = self.state.machines[at].status;
        for (replica, incarnation) in table.iter().enumerate().take(self.state.replicas()) {
            self.state
                .hear(at, replica, *incarnation, rank.filter(|_| replica == own));
        }
        let after = self.state.machines[at].status;
        assert_eq!(
            before != after,
            rank.is_some(),
            "machine {at} begins another incarnation"
        );
        if before != after {
            self.heard[at].clear();
        }
    }

    fn prepare(&mut self, at: usize, ballot: Ballot, given: &Given) {
        let verdict = self.state.prepare(at, ballot, None);
        let code = given.find(|sent| match &sent.payload {
            Payload::Promise {
                accepted_values: accepted,
                ..
            } => {
                assert_eq!(
                    self.names.table(&sent.incarnations),
                    self.state.machines[at].table
                );
                Some(Verdict::Promises(self.names.accepted(accepted.first())))
            }
            Payload::Nack {
                higher_ballot: seen,
                ..
            } => Some(Verdict::Refuses(self.names.ballot(*seen))),
            _ => None,
        });
        assert_eq!(
            code.unwrap_or(Verdict::Silent),
            verdict,
            "machine {at} is asked to promise {ballot:?}"
        );
        self.count(match verdict {
            Verdict::Promises(_) => "promises",
            Verdict::Refuses(_) => "refusals of a promise",
            _ => "silence to a proposal",
        });
    }

    fn accept(&mut self, at: usize, ballot: Ballot, value: Value, given: &Given) {
        let verdict = self.state.accept(at, ballot, value, None);
        let code = given.find(|sent| match &sent.payload {
            Payload::Accepted(_) => Some(Verdict::Accepts),
            Payload::Nack {
                higher_ballot: seen,
                ..
            } => Some(Verdict::Refuses(self.names.ballot(*seen))),
            _ => None,
        });
        assert_eq!(
            code.unwrap_or(Verdict::Silent),
            verdict,
            "machine {at} is asked to accept {ballot:?}"
        );
        self.count(match verdict {
            Verdict::Accepts => "acceptances",
            Verdict::Refuses(_) => "refusals to accept",
            _ => "silence to a proposal",
        });
    }

    fn promised(&mut self, at: usize, vote: Vote, given: &Given) {
        let asks = given.find(|sent| match &sent.payload {
            Payload::Accept { items, .. } => Some(value(&items[0])),
            _ => None,
        });
        let Some(round) = self.state.machines[at]
            .leads
            .clone()
            .filter(|round| round.proposed.is_none())
        else {
            assert_eq!(asks, None);
            return;
        };
        self.vote(at, vote);
        let Some(quorum) = Counting::round(&self.state, at, false).quorum(&self.heard[at]) else {
            assert!(
                asks.is_none() && given.replies.is_empty(),
                "machine {at} decides without a quorum"
            );
            return self.count("votes short of a majority");
        };
        let decision = self
            .state
            .promised(at, &quorum, None)
            .expect("a round that prepares");
        assert_eq!(asks, decision.proposed, "machine {at} asks to accept");
        self.heard[at].clear();
        self.count("decisions");
        match decision.proposed {
            Some(value) => {
                if self.state.accept(at, round.ballot, value, None) == Verdict::Accepts {
                    self.hear_own(at, None);
                }
            }
            None => assert_eq!(given.replies, vec![reply(decision.acknowledges)]),
        }
    }

    fn accepted(&mut self, at: usize, vote: Vote, given: &Given) {
        let chosen = given.find(|sent| matches!(sent.payload, Payload::Chosen(_)).then_some(()));
        let Some(round) = self.state.machines[at]
            .leads
            .clone()
            .filter(|round| round.proposed.is_some())
        else {
            assert_eq!(chosen, None);
            return;
        };
        self.vote(at, vote);
        let Some(_) = Counting::round(&self.state, at, false).quorum(&self.heard[at]) else {
            assert!(
                chosen.is_none() && given.replies.is_empty(),
                "machine {at} ends without a quorum"
            );
            return self.count("votes short of a majority");
        };
        self.state.accepted(at);
        assert!(chosen.is_some(), "machine {at} has a quorum of acceptances");
        assert_eq!(given.replies, vec![reply(round.acknowledges)]);
        self.heard[at].clear();
        self.count("choices");
    }

    fn vote(&mut self, at: usize, vote: Vote) {
        let replica = |vote: &Vote| self.state.machines[vote.by.machine].replica;
        let of = replica(&vote);
        // Of a machine, and of a replica, the last vote counts; what it told before stays known.
        let before = self.heard[at]
            .iter()
            .filter(|known| replica(known) == of)
            .filter_map(|known| known.accepted)
            .max();
        let before_floor = self.heard[at]
            .iter()
            .filter(|known| replica(known) == of)
            .map(|known| known.floor)
            .max();
        let known = Vote {
            accepted: vote.accepted.max(before),
            floor: vote.floor.max(before_floor.unwrap_or_default()),
            ..vote
        };
        let rest = self.heard[at]
            .iter()
            .filter(|known| replica(known) != of)
            .copied();
        self.heard[at] = rest.chain([known]).collect();
    }

    /// `anew`: the one that rebuilds has gathered nothing yet, so that it is told all.
    fn record(
        &mut self,
        at: usize,
        replica: usize,
        incarnation: ids::Incarnation,
        anew: bool,
        given: &Given,
    ) {
        let model = self.state.record(
            at,
            replica,
            self.names.incarnation(replica, incarnation),
            None,
        );
        let code = given.find(|sent| match &sent.payload {
            Payload::IncarnationRecorded {
                promise_floor: floor,
                chunk: piece,
                ..
            } => {
                let own = &self.state.machines[at];
                assert_eq!(self.names.ballot(*floor), own.promised);
                assert_eq!(self.names.table(&sent.incarnations), own.table);
                let told = self.names.accepted(piece.items.first());
                assert!(told == own.accepted || !anew && piece.items.is_empty());
                Some(())
            }
            _ => None,
        });
        assert_eq!(
            code.is_some(),
            model,
            "machine {at} writes down {incarnation:?} of {replica}"
        );
        self.count("records");
    }

    fn recorded(&mut self, at: usize, incarnation: ids::Incarnation, vote: Vote) {
        // One that begins anew keeps what it has gathered, and is told no more of it.
        let (floor, accepted) = self.gathered[at];
        let (floor, accepted) = (floor.max(vote.floor), accepted.max(vote.accepted));
        self.gathered[at] = (floor, accepted);
        self.vote(
            at,
            Vote {
                floor,
                accepted,
                ..vote
            },
        );
        if let Some(quorum) = Counting::rebuild(&self.state, at, false).quorum(&self.heard[at]) {
            self.state.rebuild(at, &quorum, None);
            self.heard[at].clear();
            // One that gave its former incarnation up goes on counting runs.
            let run = self.disks[at].own.run;
            self.names
                .run(self.state.machines[at].replica, incarnation, run, 0);
            self.count("rebuilt");
        }
    }
}

fn reply(acknowledges: Option<Value>) -> Reply {
    acknowledges.map_or(Reply::Conflict, |_| Reply::Done)
}

/// Refusals are not delivered: the model's proposers begin anew whenever they like. Where the replicas are
/// is, with the incarnations.
fn carries(body: &Payload) -> bool {
    matches!(
        body,
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
