//! How far states are explored.

/// The rank of an incarnation where nothing else is to be compared.
pub const DEFAULT_RANK: u8 = 8;

use crate::state::{Goal, State};
use crate::steps::Fault;

/// Bounds of an exploration, and the fault that is planted into it.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of replicas.
    pub replicas: usize,
    /// Which machine may begin rounds, and what for. The machine after the last replica's is the one that
    /// replaces another.
    pub writers: Vec<(usize, Goal)>,
    /// Most rounds that are begun in all.
    pub max_rounds_begun: u8,
    /// Highest round of a ballot.
    pub max_round: u8,
    /// Most starts of processes that had ended.
    pub max_restarts: u8,
    /// The replica that is given to another machine. That one runs from the beginning, and does nothing
    /// before it is heard.
    pub replaced_replica: Option<usize>,
    /// Machines that may lose their disks...
    pub wipeable_machines: Vec<usize>,
    /// ...so many of them.
    pub max_disk_losses: u8,
    /// Machines may be told what is chosen.
    pub learn_chosen: bool,
    /// Machines hear of incarnations by any message, not only where that lets them do more.
    pub learn_every_incarnation: bool,
    /// States that differ only in the numbers of machines that are alike are told apart.
    pub no_symmetry_reduction: bool,
    /// A fault.
    pub fault: Option<Fault>,
}

impl Bounds {
    /// The first state.
    pub fn initial_state(&self) -> State {
        let mut state = State::initial(self.replicas);
        if let Some(replica) = self.replaced_replica {
            state.replace(replica, DEFAULT_RANK, self.fault);
        }
        state
    }
}
