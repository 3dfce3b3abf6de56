//! A state of all machines, of their disks, and of what is on its way between them.
//!
//! Messages that were sent stay in the state for as long as anybody would take them. One that is never taken
//! is lost, one that is taken twice was doubled, and any order of taking is a reordering: no steps of their
//! own are needed for these.

use crate::packed_types::{Ballot, Incarnation, Value};

/// Most replicas.
pub const MAX_REPLICAS: usize = 5;

/// The newest incarnation that is known of each replica.
pub type IncarnationTable = [Incarnation; MAX_REPLICAS];

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Goal {
    /// This is to be in force.
    Write(Value),
    /// What was accepted is to be finished.
    Finish,
}

/// A round that a machine leads. It is lost when its process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// What it is for.
    pub goal: Goal,
    /// Its ballot.
    pub ballot: Ballot,
    /// What it asks to accept; none while it asks for promises.
    pub proposed: Option<Value>,
    /// Acknowledged once that is chosen.
    pub to_acknowledge: Option<Value>,
}

/// Whether a machine votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// Not there yet.
    Absent,
    /// It rebuilds, towards this incarnation.
    Rebuilding(Incarnation),
    /// It holds an incarnation.
    Member,
}

/// A machine. What it writes down is on disk before anything of it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    /// The replica that it is for.
    pub replica: usize,
    /// Whether it votes.
    pub status: Status,
    /// Its incarnation, as on its disk; none where that is empty.
    pub incarnation: Option<Incarnation>,
    /// Starts of its process in this incarnation, as far as they matter.
    pub run: u8,
    /// Highest round that its process has proposed with.
    pub last_round: u8,
    /// The incarnations that it knows.
    pub table: IncarnationTable,
    /// Nothing below this is accepted any more.
    pub promised: Ballot,
    /// The same as on disk: less only where that fault is planted.
    pub promised_on_disk: Ballot,
    /// What was accepted last.
    pub accepted: Option<(Ballot, Value)>,
    /// What it knows to be chosen.
    pub chosen: Option<(Ballot, Value)>,
    /// The round that it leads.
    pub led_round: Option<Round>,
    /// Its disk was lost or never held anything, and it has not rebuilt since.
    pub needs_rebuild: bool,
}

impl Machine {
    /// A machine that has voted from the first start on.
    pub fn initial(replica: usize) -> Machine {
        Machine {
            status: Status::Member,
            incarnation: Some(Incarnation::FIRST),
            needs_rebuild: false,
            ..Machine::empty(replica, Status::Absent)
        }
    }

    /// A machine with an empty disk.
    pub fn empty(replica: usize, status: Status) -> Machine {
        Machine {
            replica,
            status,
            incarnation: None,
            run: 0,
            last_round: 0,
            table: [Incarnation::FIRST; MAX_REPLICAS],
            promised: Ballot::default(),
            promised_on_disk: Ballot::default(),
            accepted: None,
            chosen: None,
            led_round: None,
            needs_rebuild: true,
        }
    }

    /// A newer incarnation of its replica is known to it.
    pub fn is_superseded(&self) -> bool {
        self.status == Status::Member
            && self
                .incarnation
                .is_some_and(|current| self.table[self.replica] > current)
    }

    /// An incarnation is one that makes this machine begin another one: it rebuilds and this one is newer, or
    /// it began this one itself.
    pub fn begins_new_incarnation_on(
        &self,
        machine: usize,
        replica: usize,
        incarnation: Incarnation,
    ) -> bool {
        let newer = match self.status {
            Status::Rebuilding(wanted) => incarnation > wanted,
            _ => {
                self.incarnation
                    .is_some_and(|current| incarnation > current)
                    && incarnation.machine() == machine
            }
        };
        replica == self.replica && newer
    }

    /// Something would be lost or undone if its process ended now.
    pub fn loses_state_on_restart(&self) -> bool {
        self.led_round.is_some() || self.is_superseded() || self.promised != self.promised_on_disk
    }

    /// It votes and proposes.
    pub fn is_participant(&self) -> bool {
        self.status == Status::Member && !self.is_superseded()
    }
}

/// Who speaks, and the incarnations that it knew then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sender {
    /// The machine.
    pub machine: usize,
    /// The incarnation that it votes for.
    pub incarnation: Incarnation,
    /// What it knows.
    pub table: IncarnationTable,
}

/// A promise, on its way to who proposes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise {
    /// The proposal.
    pub ballot: Ballot,
    /// Who promises.
    pub sender: Sender,
    /// What was accepted there.
    pub accepted: Option<(Ballot, Value)>,
}

/// An acceptance, on its way to who proposes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptance {
    /// The proposal.
    pub ballot: Ballot,
    /// Who accepts.
    pub sender: Sender,
}

/// An answer to a machine that rebuilds: its incarnation is written down, and this is all there is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationReply {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Who has written it down.
    pub sender: Sender,
    /// Highest promise there.
    pub floor: Ballot,
    /// What was accepted there.
    pub accepted: Option<(Ballot, Value)>,
}

/// A state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The machines: that of each replica, and behind them the one that replaces another.
    pub machines: Vec<Machine>,
    /// Rounds that were begun.
    pub rounds_begun: u8,
    /// Processes that have started again.
    pub restarts: u8,
    /// Disks that were lost.
    pub disk_losses: u8,
    /// Ballots for which promises were asked.
    pub prepare_requests: Vec<Ballot>,
    /// What was asked to be accepted.
    pub accept_requests: Vec<(Ballot, Value)>,
    /// Promises that are still waited for.
    pub promises: Vec<Promise>,
    /// Acceptances that are still waited for.
    pub acceptances: Vec<Acceptance>,
    /// Incarnations that were asked to be written down, by replica.
    pub incarnation_requests: Vec<(usize, Incarnation)>,
    /// Answers to these that are still waited for.
    pub incarnation_replies: Vec<IncarnationReply>,
    /// What some proposer saw accepted by a majority.
    pub chosen: Vec<(Ballot, Value)>,
    /// What was acknowledged to operators.
    pub acknowledged: Vec<Value>,
}

impl State {
    /// All replicas at their first start, and a machine that is not there yet.
    ///
    /// # Panics
    /// There are more replicas than the state has room for.
    pub fn initial(replicas: usize) -> State {
        assert!(
            (1..=MAX_REPLICAS).contains(&replicas),
            "one to five replicas"
        );
        let mut machines: Vec<Machine> = (0..replicas).map(Machine::initial).collect();
        machines.push(Machine::empty(0, Status::Absent));
        State {
            machines,
            rounds_begun: 0,
            restarts: 0,
            disk_losses: 0,
            prepare_requests: Vec::new(),
            accept_requests: Vec::new(),
            promises: Vec::new(),
            acceptances: Vec::new(),
            incarnation_requests: Vec::new(),
            incarnation_replies: Vec::new(),
            chosen: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    /// Number of replicas.
    pub fn replicas(&self) -> usize {
        self.machines.len() - 1
    }

    /// More than half of the replicas.
    pub fn majority(&self) -> usize {
        self.replicas() / 2 + 1
    }

    /// More than half of the other replicas, which a machine that rebuilds needs.
    pub fn rebuild_quorum(&self) -> usize {
        let others = self.replicas() - 1;
        (others / 2 + 1).min(others)
    }

    /// Forgets messages that nobody would take any more: so that states that differ in nothing else are one.
    pub fn discard_stale_messages(&mut self) {
        let machines = &self.machines;
        let is_led = |ballot: Ballot, accepting: bool| {
            let rounds = machines
                .iter()
                .filter_map(|machine| machine.led_round.as_ref());
            rounds
                .clone()
                .any(|round| round.ballot == ballot && round.proposed.is_some() == accepting)
        };
        self.promises
            .retain(|promise| is_led(promise.ballot, false));
        self.acceptances
            .retain(|acceptance| is_led(acceptance.ballot, true));
        let is_rebuilding = |incarnation| {
            machines
                .iter()
                .any(|machine| machine.status == Status::Rebuilding(incarnation))
        };
        self.incarnation_replies
            .retain(|reply| is_rebuilding(reply.incarnation));
    }
}

/// Puts something into a sorted list, once.
pub fn insert_sorted<T: Ord>(list: &mut Vec<T>, item: T) {
    if let Err(index) = list.binary_search(&item) {
        list.insert(index, item);
    }
}
