//! What must hold in every state.

use crate::numbers::{Ballot, Value};
use crate::state::{Machine, State};

/// At most one content of a version is ever chosen.
pub const ONE_CONTENT: &str = "one content";
/// What was chosen is found by every majority that could still answer, or something newer in its place.
pub const KEPT: &str = "kept";
/// Nothing older is chosen, nor found by a majority, after an item was dropped.
pub const DROPPED: &str = "dropped";
/// A machine that has lost its disk takes part in nothing before it has rebuilt.
pub const HOLLOW: &str = "hollow";

/// [`ONE_CONTENT`].
pub fn one_content(state: &State) -> bool {
    let chosen = &state.chosen;
    let differ = |a: Value, b: Value| a.version() == b.version() && a != b;
    !chosen
        .iter()
        .any(|(_, a)| chosen.iter().any(|(_, b)| differ(*a, *b)))
}

/// [`KEPT`].
pub fn kept(state: &State) -> bool {
    let acknowledged = state.acknowledged.iter().copied();
    let must = state
        .chosen
        .iter()
        .map(|(_, value)| *value)
        .chain(acknowledged);
    let must: Vec<Value> = must.collect();
    must.is_empty() || every_majority(state, |found| must.iter().all(|value| holds(found, *value)))
}

fn holds(found: Option<(Ballot, Value)>, value: Value) -> bool {
    found.is_some_and(|(_, found)| found == value || found.version() > value.version())
}

/// [`DROPPED`].
pub fn dropped(state: &State) -> bool {
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

/// [`HOLLOW`].
pub fn hollow(state: &State) -> bool {
    !state
        .machines
        .iter()
        .any(|machine| machine.hollow && machine.takes_part())
}

/// Whether something is true of what each majority finds that could answer: one machine for each of its
/// replicas, none of which knows a newer incarnation of another one's replica. More machines than a bare
/// majority find what one of these does.
fn every_majority(state: &State, holds: impl Fn(Option<(Ballot, Value)>) -> bool) -> bool {
    let votes = |machine: &&Machine| machine.takes_part();
    let machines: Vec<&Machine> = state.machines.iter().filter(votes).collect();
    let sets = 0u32..1 << machines.len();
    let majorities = sets
        .filter(|set| set.count_ones() as usize == state.majority())
        .filter_map(|set| {
            let chosen = machines
                .iter()
                .enumerate()
                .filter(|(at, _)| set >> at & 1 == 1);
            let members: Vec<&Machine> = chosen.map(|(_, machine)| *machine).collect();
            agree(&members).then_some(members)
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

fn agree(members: &[&Machine]) -> bool {
    members.iter().enumerate().all(|(at, machine)| {
        let twice = members[..at]
            .iter()
            .any(|other| other.replica == machine.replica);
        let old = members
            .iter()
            .any(|other| Some(other.table[machine.replica]) > machine.incarnation);
        !twice && !old
    })
}
