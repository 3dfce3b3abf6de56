//! What must hold in every state.

use crate::packed_types::{Ballot, Value};
use crate::state::{Machine, State};

/// At most one content of a version is ever chosen.
pub const AGREEMENT: &str = "one content";
/// What was chosen is found by every majority that could still answer, or something newer in its place.
pub const DURABILITY: &str = "kept";
/// Nothing older is chosen, nor found by a majority, after an item was dropped.
pub const NO_RESURRECTION: &str = "dropped";
/// A machine that has lost its disk takes part in nothing before it has rebuilt.
pub const NO_UNREBUILT_PARTICIPANT: &str = "hollow";

/// [`AGREEMENT`].
pub fn agreement(state: &State) -> bool {
    let chosen = &state.chosen;
    let differ = |a: Value, b: Value| a.version() == b.version() && a != b;
    !chosen
        .iter()
        .any(|(_, a)| chosen.iter().any(|(_, b)| differ(*a, *b)))
}

/// [`DURABILITY`].
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

/// [`NO_RESURRECTION`].
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

/// [`NO_UNREBUILT_PARTICIPANT`].
pub fn no_unrebuilt_participant(state: &State) -> bool {
    !state
        .machines
        .iter()
        .any(|machine| machine.needs_rebuild && machine.is_participant())
}

/// Whether something is true of what each majority finds that could answer: one machine for each of its
/// replicas, none of which knows a newer incarnation of another one's replica. More machines than a bare
/// majority find what one of these does.
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
