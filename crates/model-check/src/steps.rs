//! Transitions of the state. Each one models how `control::core` processes one message, one start or one disk
//! loss.

use std::str::FromStr;

use crate::packed_types::{Ballot, Incarnation, Value};
use crate::quorums::Quorum;
use crate::state::{
    Acceptance, Goal, IncarnationReply, IncarnationTable, Machine, Promise, Round, Sender, State,
    Status, insert_sorted,
};

/// Fault injected into the steps to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A machine with an empty disk assumes the first incarnation and votes.
    EmptyVotes,
    /// A promise is sent before it is on disk.
    PromiseNotOnDisk,
    /// A vote counts whatever incarnation of its replica it comes from.
    OldIncarnationCounts,
    /// A rebuilt machine adopts no lower limit for its promises.
    NoFloor,
    /// Ballots do not distinguish the runs of a process.
    RunNotCounted,
    /// A vote does not carry the incarnations that the voter knows.
    TableNotTold,
    /// A proposer decides by the value found in the promises, although it knows another content of that
    /// version to be chosen.
    FoundBeforeChosen,
}

impl Fault {
    /// All faults, with their names on the command line.
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
        fault.ok_or_else(|| {
            format!(
                "unknown fault; expected one of: {}",
                Fault::ALL.map(|(name, _)| name).join(", ")
            )
        })
    }
}

/// Response of a machine to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Promises, and reports the value that it accepted before.
    Promised(Option<(Ballot, Value)>),
    /// Accepts the proposal.
    Accepted,
    /// Rejects the proposal because of a promise for this higher ballot.
    Rejected(Ballot),
    /// Does not respond: the machine does not participate, or the proposal comes from an outdated
    /// incarnation.
    Ignored,
}

/// Decision of a proposer after the promises of a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Value to propose; `None` if nothing remains to be accepted.
    pub proposed: Option<Value>,
    /// Value to acknowledge once `proposed` is chosen, or at once if there is none.
    pub to_acknowledge: Option<Value>,
}

/// Decides what to propose for a goal, given the value found in the promises and the value known to be
/// chosen.
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
    /// A machine begins a round and abandons any round that it led before.
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

    /// A machine receives a proposal and learns the proposer's incarnation. Returns whether it processes the
    /// proposal.
    fn admits_proposal(&mut self, machine: usize, ballot: Ballot, proposed: Option<Value>) -> bool {
        let local = &self.machines[machine];
        if ballot.replica() == local.replica {
            // A process sends itself no message, and votes in its own round only while it leads it.
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

    /// A machine receives a prepare request.
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

    /// A machine receives an accept request.
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

    /// A proposer has received promises from a majority.
    pub fn handle_promises(
        &mut self,
        machine: usize,
        quorum: &Quorum,
        fault: Option<Fault>,
    ) -> Option<Decision> {
        // The incarnations in the quorum are not added to the table: they may be lost with the process, and
        // without them the machine can do more.
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

    /// A proposer has received acceptances from a majority.
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

    /// A machine learns a chosen value. Returns whether that changes its state.
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
            // As in `Registers::adopt` of the implementation: without the raised promise, a late proposal
            // with a lower ballot would replace the chosen value.
            local.promised = local.promised.max(ballot);
            local.promised_on_disk = local.promised_on_disk.max(ballot);
        }
        true
    }

    /// A machine learns an incarnation from any message. `rank` is that of the incarnation that it begins as
    /// a result, if any. `None` means that, for an incarnation that it began itself, it does not learn that
    /// the incarnation is bound to its own address.
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
        // The machine began this incarnation itself and lost its disk before it finished rebuilding: no other
        // machine holds the incarnation.
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

    /// Starts a machine without a disk of its replica: it rebuilds, or votes under [`Fault::EmptyVotes`].
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

    /// A process ends and restarts with the state on its disk.
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
        // Runs are distinguished only if the previous one has proposed something.
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

    /// A machine loses its disk and restarts.
    pub fn lose_disk(&mut self, machine: usize, rank: u8, fault: Option<Fault>) {
        self.disk_losses += 1;
        self.start_with_empty_disk(machine, rank, fault);
    }

    /// A replacement machine with an empty disk starts for a replica; the replaced machine may continue for a
    /// while.
    pub fn replace(&mut self, replica: usize, rank: u8, fault: Option<Fault>) {
        let machine = self.replicas();
        self.machines[machine].replica = replica;
        self.start_with_empty_disk(machine, rank, fault);
    }

    /// A machine is asked to record that an incarnation begins. Returns whether it does.
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

    /// A rebuilding machine has received the state of a majority of the other replicas and becomes a member.
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
        // An adopted value also implies a promise for its ballot, as in [`State::learn_chosen`].
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
