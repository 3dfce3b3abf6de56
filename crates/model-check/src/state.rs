//! A state of all machines, of their disks, and of what is on its way between them.
//!
//! Messages that were sent stay in the state for as long as anybody would take them. One that is never taken
//! is lost, one that is taken twice was doubled, and any order of taking is a reordering: no steps of their
//! own are needed for these.

use crate::numbers::{Ballot, Incarnation, Value};

/// Most replicas.
pub const REPLICAS: usize = 5;

/// The newest incarnation that is known of each replica.
pub type Table = [Incarnation; REPLICAS];

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Want {
    /// This is to be in force.
    Write(Value),
    /// What was accepted is to be finished.
    Finish,
}

/// A round that a machine leads. It is lost when its process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// What it is for.
    pub want: Want,
    /// Its ballot.
    pub ballot: Ballot,
    /// What it asks to accept; none while it asks for promises.
    pub proposed: Option<Value>,
    /// Acknowledged once that is chosen.
    pub acknowledges: Option<Value>,
}

/// Whether a machine votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// Not there yet.
    Absent,
    /// It rebuilds, towards this incarnation.
    Rebuilds(Incarnation),
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
    pub round: u8,
    /// The incarnations that it knows.
    pub table: Table,
    /// Nothing below this is accepted any more.
    pub promised: Ballot,
    /// The same as on disk: less only where that fault is planted.
    pub promised_on_disk: Ballot,
    /// What was accepted last.
    pub accepted: Option<(Ballot, Value)>,
    /// What it knows to be chosen.
    pub chosen: Option<(Ballot, Value)>,
    /// The round that it leads.
    pub leads: Option<Round>,
    /// Its disk was lost or never held anything, and it has not rebuilt since.
    pub hollow: bool,
}

impl Machine {
    /// A machine that has voted from the first start on.
    pub fn first(replica: usize) -> Machine {
        Machine {
            status: Status::Member,
            incarnation: Some(Incarnation::FIRST),
            hollow: false,
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
            round: 0,
            table: [Incarnation::FIRST; REPLICAS],
            promised: Ballot::default(),
            promised_on_disk: Ballot::default(),
            accepted: None,
            chosen: None,
            leads: None,
            hollow: true,
        }
    }

    /// A newer incarnation of its replica is known to it.
    pub fn aside(&self) -> bool {
        self.status == Status::Member
            && self
                .incarnation
                .is_some_and(|own| self.table[self.replica] > own)
    }

    /// An incarnation is one that makes this machine begin another one: it rebuilds and this one is newer, or
    /// it began this one itself.
    pub fn hears_own(&self, machine: usize, replica: usize, incarnation: Incarnation) -> bool {
        let newer = match self.status {
            Status::Rebuilds(wanted) => incarnation > wanted,
            _ => {
                self.incarnation.is_some_and(|own| incarnation > own)
                    && incarnation.machine() == machine
            }
        };
        replica == self.replica && newer
    }

    /// Something would be lost or undone if its process ended now.
    pub fn forgets(&self) -> bool {
        self.leads.is_some() || self.aside() || self.promised != self.promised_on_disk
    }

    /// It votes and proposes.
    pub fn takes_part(&self) -> bool {
        self.status == Status::Member && !self.aside()
    }
}

/// Who speaks, and the incarnations that it knew then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Speaker {
    /// The machine.
    pub machine: usize,
    /// The incarnation that it votes for.
    pub incarnation: Incarnation,
    /// What it knows.
    pub table: Table,
}

/// A promise, on its way to who proposes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise {
    /// The proposal.
    pub ballot: Ballot,
    /// Who promises.
    pub by: Speaker,
    /// What was accepted there.
    pub accepted: Option<(Ballot, Value)>,
}

/// An acceptance, on its way to who proposes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Accepted {
    /// The proposal.
    pub ballot: Ballot,
    /// Who accepts.
    pub by: Speaker,
}

/// An answer to a machine that rebuilds: its incarnation is written down, and this is all there is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Recorded {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Who has written it down.
    pub by: Speaker,
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
    pub begun: u8,
    /// Processes that have started again.
    pub restarts: u8,
    /// Disks that were lost.
    pub losses: u8,
    /// Ballots for which promises were asked.
    pub prepares: Vec<Ballot>,
    /// What was asked to be accepted.
    pub accepts: Vec<(Ballot, Value)>,
    /// Promises that are still waited for.
    pub promises: Vec<Promise>,
    /// Acceptances that are still waited for.
    pub accepted: Vec<Accepted>,
    /// Incarnations that were asked to be written down, by replica.
    pub records: Vec<(usize, Incarnation)>,
    /// Answers to these that are still waited for.
    pub recorded: Vec<Recorded>,
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
    pub fn first(replicas: usize) -> State {
        assert!((1..=REPLICAS).contains(&replicas), "one to five replicas");
        let mut machines: Vec<Machine> = (0..replicas).map(Machine::first).collect();
        machines.push(Machine::empty(0, Status::Absent));
        State {
            machines,
            begun: 0,
            restarts: 0,
            losses: 0,
            prepares: Vec::new(),
            accepts: Vec::new(),
            promises: Vec::new(),
            accepted: Vec::new(),
            records: Vec::new(),
            recorded: Vec::new(),
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
    pub fn others(&self) -> usize {
        let others = self.replicas() - 1;
        (others / 2 + 1).min(others)
    }

    /// Forgets messages that nobody would take any more: so that states that differ in nothing else are one.
    pub fn tidy(&mut self) {
        let machines = &self.machines;
        let leads = |ballot: Ballot, accepting: bool| {
            let rounds = machines.iter().filter_map(|machine| machine.leads.as_ref());
            rounds
                .clone()
                .any(|round| round.ballot == ballot && round.proposed.is_some() == accepting)
        };
        self.promises.retain(|promise| leads(promise.ballot, false));
        self.accepted
            .retain(|accepted| leads(accepted.ballot, true));
        let rebuilds = |incarnation| {
            machines
                .iter()
                .any(|m| m.status == Status::Rebuilds(incarnation))
        };
        self.recorded
            .retain(|recorded| rebuilds(recorded.incarnation));
    }
}

/// Puts something into a sorted list, once.
pub fn put<T: Ord>(list: &mut Vec<T>, item: T) {
    if let Err(at) = list.binary_search(&item) {
        list.insert(at, item);
    }
}
