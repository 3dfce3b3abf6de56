//! Global state of the model: the machines, their disks, and the messages in flight.
//!
//! Sent messages stay in the state for as long as any machine would act on them. A message that is never
//! received counts as lost, one received twice as duplicated, and any order of receipt is possible, so that
//! loss, duplication and reordering need no steps of their own.

use crate::packed_types::{Ballot, Incarnation, Value};

/// Maximum number of replicas.
pub const MAX_REPLICAS: usize = 5;

/// Newest known incarnation of each replica.
pub type IncarnationTable = [Incarnation; MAX_REPLICAS];

/// Goal of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Goal {
    /// Write this value.
    Write(Value),
    /// Finish a value that is accepted but possibly not chosen yet.
    Finish,
}

/// Round led by a machine. It is lost when the process ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// Goal that the proposal serves.
    pub goal: Goal,
    /// Ballot under which it proposes.
    pub ballot: Ballot,
    /// Value in the accept requests; `None` during the prepare phase.
    pub proposed: Option<Value>,
    /// Value acknowledged to the operator once `proposed` is chosen.
    pub to_acknowledge: Option<Value>,
}

/// Membership status of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// Not started yet.
    Absent,
    /// Rebuilding its state, to become a member under this incarnation.
    Rebuilding(Incarnation),
    /// Member under the incarnation on its disk.
    Member,
}

/// State of a machine. Durable state is on disk before any message that depends on it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    /// Replica that the machine runs.
    pub replica: usize,
    /// Membership status, which decides whether it votes.
    pub status: Status,
    /// Incarnation on its disk; `None` if the disk is empty.
    pub incarnation: Option<Incarnation>,
    /// Run of the process within the incarnation. Starts are counted only where they change the behaviour.
    pub run: u8,
    /// Highest round that the process has proposed with.
    pub last_round: u8,
    /// Newest incarnations known to the machine.
    pub table: IncarnationTable,
    /// Highest promised ballot: proposals with lower ballots are rejected.
    pub promised: Ballot,
    /// Promised ballot on disk; lower than `promised` only under [`crate::steps::Fault::PromiseNotOnDisk`].
    pub promised_on_disk: Ballot,
    /// Value accepted last, with its ballot.
    pub accepted: Option<(Ballot, Value)>,
    /// Value known to be chosen, with its ballot.
    pub chosen: Option<(Ballot, Value)>,
    /// Round that the machine leads.
    pub led_round: Option<Round>,
    /// Whether the disk is empty or was lost and the machine has not rebuilt its state since.
    pub needs_rebuild: bool,
}

impl Machine {
    /// Returns a machine that is a member from the first start on.
    pub fn initial(replica: usize) -> Machine {
        Machine {
            status: Status::Member,
            incarnation: Some(Incarnation::FIRST),
            needs_rebuild: false,
            ..Machine::empty(replica, Status::Absent)
        }
    }

    /// Returns a machine with an empty disk.
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

    /// Whether the machine knows a newer incarnation of its own replica.
    pub fn is_superseded(&self) -> bool {
        self.status == Status::Member
            && self
                .incarnation
                .is_some_and(|current| self.table[self.replica] > current)
    }

    /// Whether learning `incarnation` makes this machine begin another incarnation: either it is rebuilding
    /// and `incarnation` is newer than its own, or it began `incarnation` itself.
    pub fn begins_new_incarnation_on(
        &self,
        machine: usize,
        replica: usize,
        incarnation: Incarnation,
    ) -> bool {
        let newer = match self.status {
            Status::Rebuilding(pending) => incarnation > pending,
            _ => {
                self.incarnation
                    .is_some_and(|current| incarnation > current)
                    && incarnation.machine() == machine
            }
        };
        replica == self.replica && newer
    }

    /// Whether a restart of the process would lose or revert any state.
    pub fn loses_state_on_restart(&self) -> bool {
        self.led_round.is_some() || self.is_superseded() || self.promised != self.promised_on_disk
    }

    /// Whether the machine votes and proposes.
    pub fn is_participant(&self) -> bool {
        self.status == Status::Member && !self.is_superseded()
    }
}

/// Sender of a message, with the incarnations that it knew when it sent the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sender {
    /// Index of the sending machine.
    pub machine: usize,
    /// Incarnation under which it votes.
    pub incarnation: Incarnation,
    /// Newest incarnations known to the sender.
    pub table: IncarnationTable,
}

/// Promise in flight to the proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// Acceptor that promises.
    pub sender: Sender,
    /// Value accepted by the sender, with its ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// Acceptance in flight to the proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptance {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// Acceptor that accepts.
    pub sender: Sender,
}

/// Reply to a rebuilding machine: its incarnation is recorded, and the reply carries the sender's complete
/// state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationReply {
    /// Incarnation that was recorded.
    pub incarnation: Incarnation,
    /// Machine that recorded the incarnation.
    pub sender: Sender,
    /// Highest ballot promised by the sender.
    pub floor: Ballot,
    /// Value accepted by the sender, with its ballot.
    pub accepted: Option<(Ballot, Value)>,
}

/// Global state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Machines in the order of their replicas, followed by the replacement machine.
    pub machines: Vec<Machine>,
    /// Number of rounds begun.
    pub rounds_begun: u8,
    /// Number of process restarts.
    pub restarts: u8,
    /// Number of disk losses.
    pub disk_losses: u8,
    /// Ballots of the prepare requests sent.
    pub prepare_requests: Vec<Ballot>,
    /// Ballots and values of the accept requests sent.
    pub accept_requests: Vec<(Ballot, Value)>,
    /// Promises that a proposer still waits for.
    pub promises: Vec<Promise>,
    /// Acceptances that a proposer still waits for.
    pub acceptances: Vec<Acceptance>,
    /// Requests to record an incarnation, with the replica that begins it.
    pub incarnation_requests: Vec<(usize, Incarnation)>,
    /// Replies to these requests that a rebuilding machine still waits for.
    pub incarnation_replies: Vec<IncarnationReply>,
    /// Ballots and values that a proposer has seen accepted by a majority.
    pub chosen: Vec<(Ballot, Value)>,
    /// Values acknowledged to operators.
    pub acknowledged: Vec<Value>,
}

impl State {
    /// Returns the initial state: every replica at its first start, and a replacement machine that is not
    /// started.
    ///
    /// # Panics
    /// Panics if `replicas` is not between 1 and [`MAX_REPLICAS`].
    pub fn initial(replicas: usize) -> State {
        assert!(
            (1..=MAX_REPLICAS).contains(&replicas),
            "number of replicas must be between 1 and {MAX_REPLICAS}"
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

    /// Number of replicas, the replacement machine excluded.
    pub fn replicas(&self) -> usize {
        self.machines.len() - 1
    }

    /// Size of a majority of the replicas.
    pub fn majority(&self) -> usize {
        self.replicas() / 2 + 1
    }

    /// Number of replies that a rebuilding machine needs: a majority of the other replicas.
    pub fn rebuild_quorum(&self) -> usize {
        let others = self.replicas() - 1;
        (others / 2 + 1).min(others)
    }

    /// Discards messages that no machine would act on any more, so that states that differ only in these are
    /// identical.
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

/// Inserts an item into a sorted list without duplicates.
pub fn insert_sorted<T: Ord>(list: &mut Vec<T>, item: T) {
    if let Err(index) = list.binary_search(&item) {
        list.insert(index, item);
    }
}
