//! What can change a state. Each step follows what `control::core` does with one message, one start or one
//! loss.

use std::str::FromStr;

use crate::packed_types::{Ballot, Incarnation, Value};
use crate::quorums::Quorum;
use crate::state::{
    Acceptance, Goal, IncarnationReply, IncarnationTable, Machine, Promise, Round, Sender, State,
    Status, insert_sorted,
};

/// A fault that is planted into the steps, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A machine with an empty disk takes itself for the first incarnation, and votes.
    EmptyVotes,
    /// A promise goes out without being on disk.
    PromiseNotOnDisk,
    /// A vote counts whatever incarnation of its replica it comes from.
    OldIncarnationCounts,
    /// A machine that has rebuilt takes over no floor under its promises.
    NoFloor,
    /// A start is not counted in ballots.
    RunNotCounted,
    /// A vote does not tell which incarnations the voter knows.
    TableNotTold,
    /// A proposer judges a version by what it found, though it knows another content of it to be chosen.
    FoundBeforeChosen,
}

impl Fault {
    /// All of them, with their names.
    pub const ALL: [(&'static str, Fault); 7] = [
        ("empty-votes", Fault::EmptyVotes),
        ("promise-not-on-disk", Fault::PromiseNotOnDisk),
        ("old-incarnation-counts", Fault::OldIncarnationCounts),
        ("no-floor", Fault::NoFloor),
        ("run-not-counted", Fault::RunNotCounted),
        ("table-not-told", Fault::TableNotTold),
        ("found-before-chosen", Fault::FoundBeforeChosen),
    ];
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        let fault = Fault::ALL
            .iter()
            .find(|(name, _)| *name == text)
            .map(|(_, fault)| *fault);
        fault.ok_or_else(|| format!("none of {}", Fault::ALL.map(|(name, _)| name).join(", ")))
    }
}

/// What a machine answers to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It promises, and has accepted this before.
    Promised(Option<(Ballot, Value)>),
    /// It accepts.
    Accepted,
    /// It has promised something to a higher one.
    Rejected(Ballot),
    /// Nothing: the proposal is not for it, or of an incarnation that it knows to be an old one.
    Ignored,
}

/// What a proposer makes of the promises of a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// To be accepted; nothing where that is chosen already.
    pub proposed: Option<Value>,
    /// To be acknowledged once that is chosen.
    pub to_acknowledge: Option<Value>,
}

/// What to propose for what is wanted, in place of what was found.
pub fn decide(
    goal: Goal,
    found: Option<Value>,
    chosen: Option<Value>,
    fault: Option<Fault>,
) -> Decision {
    let unchosen =
        found.filter(|found| chosen.is_none_or(|chosen| chosen.version() < found.version()));
    let current = chosen
        .filter(|_| unchosen.is_none() && fault != Some(Fault::FoundBeforeChosen))
        .or(found);
    let Goal::Write(wanted) = goal else {
        return Decision {
            proposed: unchosen,
            to_acknowledge: None,
        };
    };
    match current {
        Some(found) if found.version() == wanted.version() && found != wanted => Decision {
            proposed: unchosen,
            to_acknowledge: None,
        },
        Some(found) if found.version() >= wanted.version() => Decision {
            proposed: unchosen,
            to_acknowledge: Some(wanted),
        },
        _ => Decision {
            proposed: Some(wanted),
            to_acknowledge: Some(wanted),
        },
    }
}

impl State {
    /// A machine begins a round; what it led before is given up.
    pub fn begin_round(&mut self, machine: usize, goal: Goal, round: u8) -> Ballot {
        let local = &mut self.machines[machine];
        let ballot = Ballot::new(
            round,
            local.replica,
            local.incarnation.unwrap_or_default(),
            local.run,
        );
        local.last_round = round;
        local.led_round = Some(Round {
            goal,
            ballot,
            proposed: None,
            to_acknowledge: None,
        });
        insert_sorted(&mut self.prepare_requests, ballot);
        self.rounds_begun += 1;
        ballot
    }

    /// A machine takes a proposal's message in, and learns of who proposes. Gives whether it deals with it.
    fn admits_proposal(&mut self, machine: usize, ballot: Ballot, proposed: Option<Value>) -> bool {
        let local = &self.machines[machine];
        if ballot.replica() == local.replica {
            // A process asks itself without a message, and only for a round that it leads.
            let is_led = |round: &Round| round.ballot == ballot && round.proposed == proposed;
            return local.is_participant() && local.led_round.as_ref().is_some_and(is_led);
        }
        if !local.is_participant() || local.table[ballot.replica()] > ballot.incarnation() {
            return false;
        }
        self.machines[machine].table[ballot.replica()] = ballot.incarnation();
        true
    }

    fn sender(&self, machine: usize, fault: Option<Fault>) -> Sender {
        let local = &self.machines[machine];
        let incarnation = local.incarnation.unwrap_or_default();
        let mut table = local.table;
        if fault == Some(Fault::TableNotTold) {
            table = IncarnationTable::default();
            table[local.replica] = incarnation;
        }
        Sender {
            machine,
            incarnation,
            table,
        }
    }

    /// A machine is asked for a promise.
    pub fn prepare(&mut self, machine: usize, ballot: Ballot, fault: Option<Fault>) -> Response {
        if !self.admits_proposal(machine, ballot, None) {
            return Response::Ignored;
        }
        let local = &mut self.machines[machine];
        if local.promised > ballot {
            return Response::Rejected(local.promised);
        }
        local.promised = ballot;
        if fault != Some(Fault::PromiseNotOnDisk) {
            local.promised_on_disk = ballot;
        }
        let accepted = local.accepted;
        let sender = self.sender(machine, fault);
        insert_sorted(
            &mut self.promises,
            Promise {
                ballot,
                sender,
                accepted,
            },
        );
        Response::Promised(accepted)
    }

    /// A machine is asked to accept.
    pub fn accept(
        &mut self,
        machine: usize,
        ballot: Ballot,
        value: Value,
        fault: Option<Fault>,
    ) -> Response {
        if !self.admits_proposal(machine, ballot, Some(value)) {
            return Response::Ignored;
        }
        let local = &mut self.machines[machine];
        if local.promised > ballot {
            return Response::Rejected(local.promised);
        }
        (local.promised, local.promised_on_disk) = (ballot, ballot);
        local.accepted = Some((ballot, value));
        let sender = self.sender(machine, fault);
        insert_sorted(&mut self.acceptances, Acceptance { ballot, sender });
        Response::Accepted
    }

    /// A proposer has the promises of a majority.
    pub fn handle_promises(
        &mut self,
        machine: usize,
        quorum: &Quorum,
        fault: Option<Fault>,
    ) -> Option<Decision> {
        // What it has heard of incarnations by that may be lost with its process: it can do more without.
        let local = &mut self.machines[machine];
        let chosen = local.chosen.map(|(_, value)| value);
        let round = local
            .led_round
            .as_mut()
            .filter(|round| round.proposed.is_none())?;
        let decision = decide(
            round.goal,
            quorum.accepted.map(|(_, value)| value),
            chosen,
            fault,
        );
        match decision.proposed {
            Some(value) => {
                (round.proposed, round.to_acknowledge) = (Some(value), decision.to_acknowledge);
                let ballot = round.ballot;
                insert_sorted(&mut self.accept_requests, (ballot, value));
            }
            None => {
                local.led_round = None;
                decision
                    .to_acknowledge
                    .into_iter()
                    .for_each(|value| insert_sorted(&mut self.acknowledged, value));
            }
        }
        Some(decision)
    }

    /// A proposer hears that a majority has accepted.
    pub fn handle_acceptances(&mut self, machine: usize) -> Option<Value> {
        let local = &mut self.machines[machine];
        let round = local.led_round.take()?;
        let value = round.proposed?;
        insert_sorted(&mut self.chosen, (round.ballot, value));
        round
            .to_acknowledge
            .into_iter()
            .for_each(|value| insert_sorted(&mut self.acknowledged, value));
        self.learn_chosen(machine, round.ballot, value);
        Some(value)
    }

    /// A machine is told what is chosen. Gives whether that changes anything.
    pub fn learn_chosen(&mut self, machine: usize, ballot: Ballot, value: Value) -> bool {
        let local = &mut self.machines[machine];
        let known = local.chosen.is_some_and(|(known, old_value)| {
            old_value.version() > value.version()
                || (old_value.version() == value.version() && known >= ballot)
        });
        if !local.is_participant() || known {
            return false;
        }
        local.chosen = Some((ballot, value));
        if local.accepted.is_none_or(|(accepted, _)| accepted < ballot) {
            local.accepted = Some((ballot, value));
            // As the code's `Registers::adopt`: a late proposal from before it is not accepted in its place.
            local.promised = local.promised.max(ballot);
            local.promised_on_disk = local.promised_on_disk.max(ballot);
        }
        true
    }

    /// A machine hears of an incarnation, by any message. `rank` is that of the incarnation that it wants
    /// then, if any; without one it does not hear, of one that it began itself, that its own address is told
    /// with it.
    pub fn learn_incarnation(
        &mut self,
        machine: usize,
        replica: usize,
        incarnation: Incarnation,
        rank: Option<u8>,
    ) {
        let local = &mut self.machines[machine];
        local.table[replica] = local.table[replica].max(incarnation);
        if replica != local.replica {
            return;
        }
        // It began this one itself, and lost its disk before it ended that: nobody else has it.
        let abandoned = local.is_superseded() && incarnation.machine() == machine;
        if local.is_superseded() {
            local.led_round = None;
        }
        let overtaken =
            matches!(local.status, Status::Rebuilding(pending) if local.table[replica] > pending);
        if let Some(rank) = rank.filter(|_| abandoned || overtaken) {
            self.begin_incarnation(machine, incarnation.number() + 1, rank);
        }
    }

    fn begin_incarnation(&mut self, machine: usize, number: u16, rank: u8) {
        let incarnation = Incarnation::new(number, rank, machine);
        let local = &mut self.machines[machine];
        local.status = Status::Rebuilding(incarnation);
        let replica = local.replica;
        insert_sorted(&mut self.incarnation_requests, (replica, incarnation));
    }

    /// A machine without a disk of its replica's: it rebuilds, or by a planted fault votes.
    fn start_with_empty_disk(&mut self, machine: usize, rank: u8, fault: Option<Fault>) {
        let replica = self.machines[machine].replica;
        if fault == Some(Fault::EmptyVotes) {
            self.machines[machine] = Machine {
                needs_rebuild: true,
                ..Machine::initial(replica)
            };
            return;
        }
        self.machines[machine] = Machine::empty(replica, Status::Absent);
        self.begin_incarnation(machine, Incarnation::FIRST.number() + 1, rank);
    }

    /// A process ends, and starts again with what is on its disk.
    pub fn restart(&mut self, machine: usize, rank: u8, fault: Option<Fault>) {
        self.restarts += 1;
        let Some(incarnation) = self.machines[machine].incarnation else {
            return self.start_with_empty_disk(machine, rank, fault);
        };
        let local = &mut self.machines[machine];
        let has_proposed = |ballot: &Ballot| {
            (ballot.replica(), ballot.incarnation(), ballot.run())
                == (local.replica, incarnation, local.run)
        };
        // Runs are told apart only where one has proposed something.
        if fault != Some(Fault::RunNotCounted) && self.prepare_requests.iter().any(has_proposed) {
            local.run += 1;
        }
        local.status = Status::Member;
        local.table[local.replica] = incarnation;
        local.promised = local.promised_on_disk;
        if local.last_round > 0 {
            local.last_round = local.promised.round();
        }
        local.led_round = None;
    }

    /// A machine loses its disk, and starts again.
    pub fn lose_disk(&mut self, machine: usize, rank: u8, fault: Option<Fault>) {
        self.disk_losses += 1;
        self.start_with_empty_disk(machine, rank, fault);
    }

    /// A machine with an empty disk starts for a replica; the one that it replaces may go on for a while.
    pub fn replace(&mut self, replica: usize, rank: u8, fault: Option<Fault>) {
        let machine = self.replicas();
        self.machines[machine].replica = replica;
        self.start_with_empty_disk(machine, rank, fault);
    }

    /// A machine is asked to write down that an incarnation begins. Gives whether it does.
    pub fn record_incarnation(
        &mut self,
        machine: usize,
        replica: usize,
        incarnation: Incarnation,
        fault: Option<Fault>,
    ) -> bool {
        let local = &mut self.machines[machine];
        if !local.is_participant() || local.replica == replica || local.table[replica] > incarnation
        {
            return false;
        }
        local.table[replica] = incarnation;
        let (floor, accepted) = (local.promised, local.accepted);
        let sender = self.sender(machine, fault);
        insert_sorted(
            &mut self.incarnation_replies,
            IncarnationReply {
                incarnation,
                sender,
                floor,
                accepted,
            },
        );
        true
    }

    /// A machine has gathered what a majority of the others held, and takes part from now on.
    pub fn rebuild(&mut self, machine: usize, quorum: &Quorum, fault: Option<Fault>) {
        let local = &mut self.machines[machine];
        let Status::Rebuilding(incarnation) = local.status else {
            return;
        };
        local.table = quorum.table;
        local.table[local.replica] = local.table[local.replica].max(incarnation);
        if fault != Some(Fault::NoFloor) {
            local.promised = local.promised.max(quorum.floor);
            local.promised_on_disk = local.promised;
        }
        local.accepted = local.accepted.max(quorum.accepted);
        // What is taken over is promised to its proposal, as where a machine learns.
        if let Some((ballot, _)) = quorum.accepted {
            local.promised = local.promised.max(ballot);
            local.promised_on_disk = local.promised;
        }
        (local.status, local.incarnation) = (Status::Member, Some(incarnation));
        (
            local.run,
            local.last_round,
            local.led_round,
            local.needs_rebuild,
        ) = (0, 0, None, false);
    }
}
