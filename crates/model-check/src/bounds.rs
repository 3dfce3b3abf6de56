//! Limits of an exploration.

/// Rank of a new incarnation where its order relative to others of the same number does not matter.
pub const DEFAULT_RANK: u8 = 8;

use crate::state::{Goal, State};
use crate::steps::Fault;

/// Limits of an exploration, and the fault injected into it.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of replicas, the replacement machine excluded.
    pub replicas: usize,
    /// Machines that may begin rounds, each with the goal of its round. The index after the last replica
    /// denotes the replacement machine.
    pub writers: Vec<(usize, Goal)>,
    /// Maximum number of rounds begun in total.
    pub max_rounds_begun: u8,
    /// Highest round number in a ballot.
    pub max_round: u8,
    /// Maximum number of process restarts in total.
    pub max_restarts: u8,
    /// Replica that is reassigned to a replacement machine. The replacement runs from the initial state on,
    /// and has no effect until another machine receives its messages.
    pub replaced_replica: Option<usize>,
    /// Machines that may lose their disks.
    pub wipeable_machines: Vec<usize>,
    /// Maximum number of disk losses in total.
    pub max_disk_losses: u8,
    /// Whether machines may learn chosen values from others.
    pub learn_chosen: bool,
    /// Whether machines learn incarnations from any message, not only where that enables further steps.
    pub learn_every_incarnation: bool,
    /// Disables symmetry reduction, so that states that differ only in the numbers of interchangeable
    /// machines are distinct.
    pub no_symmetry_reduction: bool,
    /// Fault injected into the steps.
    pub fault: Option<Fault>,
}

impl Bounds {
    /// Returns the initial state.
    pub fn initial_state(&self) -> State {
        let mut state = State::initial(self.replicas);
        if let Some(replica) = self.replaced_replica {
            state.replace(replica, DEFAULT_RANK, self.fault);
        }
        state
    }
}
