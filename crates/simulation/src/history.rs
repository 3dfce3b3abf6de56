//! Histories of operators' calls on one item, and whether they are linearizable: whether each call can be given one
//! instant between its begin and its end at which it took effect, so that a register with versions explains all answers.
//!
//! The search is Wing and Gong's with the states seen kept aside (as Lowe has it). A call without a clear answer may take
//! effect at any time after it began, or never.

use std::collections::HashSet;

/// What stands: nothing yet, or a version and its content; dropped is a content as well.
pub type Value = Option<(u64, u64)>;

/// A content that says: dropped.
pub const DROPPED: u64 = 0;

/// What was asked, and what came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// A write that was acknowledged.
    Wrote(u64, u64),
    /// A write that was refused, as something else stands at its version: it has no effect at any time.
    Refused(u64, u64),
    /// A write of a call of several items that was refused for one of them: it has no effect at any time.
    Void(u64, u64),
    /// A write without a clear answer.
    Unclear(u64, u64),
    /// A reading. What was dropped reads like what was never there.
    Read(Value),
}

/// One call on the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Op {
    /// It began then...
    pub from: i64,
    /// ...and ended then; never, where no clear answer came.
    pub to: i64,
    /// What it was.
    pub did: Did,
}

/// Most calls of one history.
pub const MOST: usize = 512;

/// Most states that are looked at: those of a history that has an order are few.
const STATES: usize = 300_000;

/// Calls, a bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Set([u128; MOST / 128]);

impl Set {
    fn has(&self, at: usize) -> bool {
        self.0[at / 128] & (1 << (at % 128)) != 0
    }

    fn with(mut self, at: usize) -> Set {
        self.0[at / 128] |= 1 << (at % 128);
        self
    }

    /// How many of the others are here.
    fn of(&self, others: &Set) -> u32 {
        self.0
            .iter()
            .zip(&others.0)
            .map(|(own, other)| (own & other).count_ones())
            .sum()
    }
}

/// What stands after a call, if its answer fits what stands before it.
fn after(value: Value, did: Did) -> Option<Value> {
    match did {
        Did::Wrote(ver, content) | Did::Unclear(ver, content) => match value {
            // A later change has overtaken it: it is in order, and without effect.
            Some((stands, _)) if stands > ver => Some(value),
            Some((stands, held)) if stands == ver => {
                (held == content || matches!(did, Did::Unclear(..))).then_some(value)
            }
            _ => Some(Some((ver, content))),
        },
        Did::Refused(ver, content) => {
            // One that a later change has overtaken is acknowledged: it may have been taken before.
            value
                .is_some_and(|(stands, held)| stands == ver && held != content)
                .then_some(value)
        }
        Did::Void(..) => Some(value),
        Did::Read(read) => {
            (value.filter(|(_, content)| *content != DROPPED) == read).then_some(value)
        }
    }
}

/// A call that was refused, and one that shows its content at its version in force. A drop has no content of its own: that
/// of another call can't be told from it, and is left to the search.
fn in_force_though_refused(ops: &[Op]) -> Option<(Op, Op)> {
    let one = |refused: &Op| {
        let (Did::Refused(ver, content) | Did::Void(ver, content)) = refused.did else {
            return None;
        };
        let shows = |op: &&Op| {
            op.did == Did::Wrote(ver, content) || op.did == Did::Read(Some((ver, content)))
        };
        ops.iter()
            .find(shows)
            .filter(|_| content != DROPPED)
            .map(|shown| (*refused, *shown))
    };
    ops.iter().find_map(one)
}

/// Whether a history can be explained. Calls that never ended need not have taken effect.
///
/// # Errors
/// The calls that no order explains, as far as the search came.
pub fn explained(ops: &[Op]) -> Result<(), String> {
    if ops.len() > MOST {
        return Err(format!(
            "{} calls are more than the {MOST} that are checked",
            ops.len()
        ));
    }
    if let Some((refused, other)) = in_force_though_refused(ops) {
        return Err(format!("{refused:?} was refused, and there is {other:?}"));
    }
    let ended = ops.iter().enumerate().filter(|(_, op)| op.to < i64::MAX);
    let must = ended.fold(Set::default(), |all, (at, _)| all.with(at));
    let mut seen: HashSet<(Set, Value)> = HashSet::new();
    let mut open: Vec<(Set, Value)> = vec![(Set::default(), None)];
    let mut best = Set::default();
    while let Some((done, value)) = open.pop() {
        if seen.len() > STATES {
            return Err(format!(
                "{} calls: no order among {STATES} states",
                ops.len()
            ));
        }
        if done.of(&must) == must.of(&must) {
            return Ok(());
        }
        if done.of(&must) > best.of(&must) {
            best = done;
        }
        let left = |at: &usize| !done.has(*at);
        // Who begins after another has ended comes after it.
        let first_end = (0..ops.len())
            .filter(left)
            .map(|at| ops[at].to)
            .min()
            .unwrap_or(i64::MAX);
        for at in (0..ops.len())
            .filter(left)
            .filter(|at| ops[*at].from <= first_end)
        {
            let Some(next) = after(value, ops[at].did) else {
                continue;
            };
            // Versions only rise: a call that need not have come has its effect once, and is then no part of the state.
            let unclear = ops[at].to == i64::MAX;
            if unclear && next == value {
                continue;
            }
            let state = (if unclear { done } else { done.with(at) }, next);
            if seen.insert(state) {
                open.push(state);
            }
        }
    }
    let stuck: Vec<String> = ops
        .iter()
        .enumerate()
        .filter(|(at, _)| !best.has(*at))
        .map(|(_, op)| format!("{op:?}"))
        .collect();
    let first = stuck.iter().take(6).cloned().collect::<Vec<_>>().join(", ");
    Err(format!(
        "{} of {} calls fit no order: {first}",
        stuck.len(),
        ops.len()
    ))
}

#[cfg(test)]
mod tests;
