//! Symmetry reduction: of states that differ only in the numbers of interchangeable machines, one is
//! explored.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::bounds::Bounds;
use crate::state::{Machine, Sender, State};

impl Bounds {
    /// Machines that only vote: none of them proposes, is replaced or loses its disk, so no ballot, no
    /// incarnation other than the first and no incarnation table distinguishes them.
    fn interchangeable_machines(&self) -> Vec<usize> {
        let is_writer = |machine: usize| self.writers.iter().any(|(writer, _)| *writer == machine);
        let is_special = |machine: usize| {
            self.wipeable_machines.contains(&machine) || self.replaced_replica == Some(machine)
        };
        (0..self.replicas)
            .filter(|machine| !is_writer(*machine) && !is_special(*machine))
            .collect()
    }

    /// Renumbers interchangeable machines in the order of their state and the messages they sent. The order
    /// of machines with equal keys is arbitrary; at worst, two equivalent states are both explored.
    pub fn canonicalize(&self, state: &mut State) {
        let interchangeable = self.interchangeable_machines();
        let mut sorted = interchangeable.clone();
        sorted.sort_by_cached_key(|machine| symmetry_key(state, *machine));
        if sorted == interchangeable {
            return;
        }
        let mut new_index: Vec<usize> = (0..state.machines.len()).collect();
        let machines = state.machines.clone();
        for (to, from) in interchangeable.into_iter().zip(sorted) {
            new_index[from] = to;
            state.machines[to] = Machine {
                replica: to,
                ..machines[from].clone()
            };
        }
        let renumber = |sender: &mut Sender| sender.machine = new_index[sender.machine];
        state
            .promises
            .iter_mut()
            .for_each(|promise| renumber(&mut promise.sender));
        state
            .acceptances
            .iter_mut()
            .for_each(|acceptance| renumber(&mut acceptance.sender));
        state
            .incarnation_replies
            .iter_mut()
            .for_each(|reply| renumber(&mut reply.sender));
        state.promises.sort_unstable();
        state.acceptances.sort_unstable();
        state.incarnation_replies.sort_unstable();
    }
}

fn symmetry_key(state: &State, machine: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    Machine {
        replica: 0,
        ..state.machines[machine].clone()
    }
    .hash(&mut hasher);
    let is_sender = |sender: &Sender| sender.machine == machine;
    for promise in state
        .promises
        .iter()
        .filter(|promise| is_sender(&promise.sender))
    {
        (promise.ballot, promise.accepted, promise.sender.table).hash(&mut hasher);
    }
    for acceptance in state
        .acceptances
        .iter()
        .filter(|acceptance| is_sender(&acceptance.sender))
    {
        (acceptance.ballot, acceptance.sender.table).hash(&mut hasher);
    }
    for reply in state
        .incarnation_replies
        .iter()
        .filter(|reply| is_sender(&reply.sender))
    {
        (
            reply.incarnation,
            reply.floor,
            reply.accepted,
            reply.sender.table,
        )
            .hash(&mut hasher);
    }
    hasher.finish()
}
