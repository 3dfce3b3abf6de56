//! Operators whose answers are lost, and orders that were taken and are sent again.

use std::collections::BTreeSet;

use control::operator_api::Reply;
use protocol::items::ItemName;

use super::rules::says;
use super::{Pending, Player};
use crate::chance::mix;
use crate::history::DROPPED;
use crate::schedule::Ask;

/// What is remembered for it.
#[derive(Debug, Default)]
pub(super) struct Resent {
    /// Of a thousand answers so many are lost.
    pub(super) lose: u64,
    /// Trouble is over since then: what is sent again is acknowledged.
    pub(super) calm: Option<i64>,
    /// Orders that were acknowledged, in order, whether the operator heard of it or not.
    taken: Vec<Ask>,
    /// Versions and contents that were refused.
    refused: BTreeSet<(ItemName, u64, u64)>,
}

impl Player {
    /// An answer on its way to the operator: it may be lost. What was taken is remembered all the same.
    pub(super) fn arrives(
        &mut self,
        pending: &Pending,
        call: u64,
        answer: Option<(i64, Reply)>,
    ) -> Option<(i64, Reply)> {
        let (at, reply) = answer?;
        if pending.probe {
            return Some((at, reply));
        }
        let done = reply == Reply::Done && !pending.ask.writes().is_empty();
        if done && !self.resent.taken.contains(&pending.ask) {
            self.resent.taken.push(pending.ask);
        }
        if mix(&[self.cluster.seed, 31, call]) % 1_000 < self.resent.lose {
            self.check_taken(pending, &reply);
            return None;
        }
        Some((at, reply))
    }

    /// An order that was taken is sent again.
    pub(super) fn again(&mut self, back: usize, replica: usize) {
        let taken = &self.resent.taken;
        let Some(ask) = taken
            .len()
            .checked_sub(1)
            .map(|last| taken[last - back % taken.len()])
        else {
            return;
        };
        self.ask(ask, replica, false);
        if let Some(pending) = self.pending.iter_mut().rfind(|pending| pending.ask == ask) {
            pending.repeat = true;
        }
    }

    /// What was taken is never refused, also where the operator does not hear of it.
    fn check_taken(&mut self, pending: &Pending, reply: &Reply) {
        let refused = matches!(reply, Reply::Conflict | Reply::Invalid(_));
        if refused && self.resent.taken.contains(&pending.ask) {
            self.fault(
                "refused",
                format!("{:?} was taken, and then refused: {reply:?}", pending.ask),
            );
        }
    }

    /// An answer that the operator hears: what is refused is not sent again.
    pub(super) fn heard(&mut self, pending: &Pending, reply: &Reply) {
        self.check_taken(pending, reply);
        if matches!(reply, Reply::Conflict | Reply::Invalid(_)) {
            let writes = pending.ask.writes().into_iter();
            self.resent
                .refused
                .extend(writes.filter(|(_, _, content)| *content != DROPPED));
        }
    }

    /// Of what was refused nothing is in force.
    pub(super) fn check_refused(&mut self) {
        let stands = |(name, ver, content): &&(ItemName, u64, u64)| {
            let spec = self.cluster.contents.get(&(name.clone(), *ver));
            spec.is_some_and(|spec| says(spec.as_deref(), *content))
        };
        let found = self.resent.refused.iter().find(stands).cloned();
        if let Some((name, ver, content)) = found {
            self.fault(
                "refused",
                format!("{name} {ver} with {content} was refused, and is in force"),
            );
        }
    }

    /// No clear answer came for as long as an operator sends again.
    pub(super) fn given_up(&mut self, pending: &Pending) {
        self.outcome.unclear += 1;
        if pending.repeat && self.resent.calm.is_some_and(|calm| pending.begun >= calm) {
            self.fault(
                "ack",
                format!("{:?} was taken, and is not acknowledged again", pending.ask),
            );
        }
    }
}
