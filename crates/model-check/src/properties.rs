//! Invariants that hold in every state.

use crate::packed_types::{Ballot, Value};
use crate::state::{Machine, State};

/// Agreement: at most one content of each version is chosen.
pub const AGREEMENT: &str = "one content";
/// Durability: every majority that can still respond finds each chosen or acknowledged value, or a newer one.
pub const DURABILITY: &str = "kept";
/// No resurrection: after a drop is chosen, no older version is chosen or found by a majority.
pub const NO_RESURRECTION: &str = "dropped";
/// A machine that has lost its disk participates in nothing before it has rebuilt its state.
pub const NO_UNREBUILT_PARTICIPANT: &str = "hollow";

/// Checks [`AGREEMENT`].
pub fn agreement(state: &State) -> bool {
    let chosen = &state.chosen;
    let differ = |a: Value, b: Value| a.version() == b.version() && a != b;
    !chosen
        .iter()
        .any(|(_, a)| chosen.iter().any(|(_, b)| differ(*a, *b)))
}

/// Checks [`DURABILITY`].
pub fn durability(state: &State) -> bool {
    let acknowledged = state.acknowledged.iter().copied();
    let required = state
        .chosen
        .iter()
        .map(|(_, value)| *value)
        .chain(acknowledged);
    let required: Vec<Value> = required.collect();
    required.is_empty()
        || every_majority(state, |found| {
            required.iter().all(|value| holds(found, *value))
        })
}

fn holds(found: Option<(Ballot, Value)>, value: Value) -> bool {
    found.is_some_and(|(_, found)| found == value || found.version() > value.version())
}

/// Checks [`NO_RESURRECTION`].
pub fn no_resurrection(state: &State) -> bool {
    let is_drop = |(_, value): &&(Ballot, Value)| value.content() == 0;
    let Some((ballot, drop)) = state
        .chosen
        .iter()
        .filter(is_drop)
        .max_by_key(|(_, value)| *value)
    else {
        return true;
    };
    let older = |value: Value| value.version() < drop.version();
    !state
        .chosen
        .iter()
        .any(|(later, value)| later > ballot && older(*value))
        && every_majority(state, |found| found.is_none_or(|(_, value)| !older(value)))
}

/// Checks [`NO_UNREBUILT_PARTICIPANT`].
pub fn no_unrebuilt_participant(state: &State) -> bool {
    !state
        .machines
        .iter()
        .any(|machine| machine.needs_rebuild && machine.is_participant())
}

/// Whether a predicate holds for the accepted value found by every majority that can respond. A majority has
/// one machine per replica, and none of its machines knows a newer incarnation of another member's replica.
/// Sets larger than a bare majority need no check: they find the same value as one of these.
fn every_majority(state: &State, holds: impl Fn(Option<(Ballot, Value)>) -> bool) -> bool {
    let is_voter = |machine: &&Machine| machine.is_participant();
    let machines: Vec<&Machine> = state.machines.iter().filter(is_voter).collect();
    let sets = 0u32..1 << machines.len();
    let majorities = sets
        .filter(|set| set.count_ones() as usize == state.majority())
        .filter_map(|set| {
            let chosen = machines
                .iter()
                .enumerate()
                .filter(|(index, _)| set >> index & 1 == 1);
            let members: Vec<&Machine> = chosen.map(|(_, machine)| *machine).collect();
            is_consistent(&members).then_some(members)
        });
    majorities.into_iter().all(|members| {
        holds(
            members
                .iter()
                .filter_map(|machine| machine.accepted)
                .max_by_key(|(ballot, _)| *ballot),
        )
    })
}

fn is_consistent(members: &[&Machine]) -> bool {
    members.iter().enumerate().all(|(index, machine)| {
        let is_duplicate = members[..index]
            .iter()
            .any(|other| other.replica == machine.replica);
        let is_outdated = members
            .iter()
            .any(|other| Some(other.table[machine.replica]) > machine.incarnation);
        !is_duplicate && !is_outdated
    })
}
