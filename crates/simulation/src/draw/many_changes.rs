//! Schedules of hundreds of changes, drops among them, while replicas are away for any part of them: killed, without power,
//! standing still, cut off, or with their disks lost. As each comes back, messages are lost, doubled and late, others leave,
//! and the changes go on: its transfer is cut, comes twice, and comes from replicas that are behind themselves.

use super::{BEGIN, Draft};
use crate::cluster::{MS, SECOND};
use crate::schedule::{Ask, Schedule, What};

/// So many changes at the least...
const CHANGES: u64 = 110;
/// ...and up to so many more.
const MORE: u64 = 40;
/// Services that are changed, beside the three that readings are compared for. The ninth is the probes'.
const SERVICES: u64 = 60;
/// One change in so many is a drop.
const DROPS: u64 = 5;

impl Draft {
    /// The changes, evenly over a span.
    fn changes_between(&mut self, from: i64, to: i64) {
        let many = CHANGES + self.chance.below(MORE);
        for number in 0..many {
            let at = from + (to - from) * number as i64 / many as i64 + self.spell(0, 20 * MS);
            self.content += 2;
            let item = match self.chance.below(4) {
                0 => self.chance.below(3),
                _ => 10 + self.chance.below(SERVICES),
            };
            // Versions rise with time, so that each change is news.
            let (ver, content, replica) = (2 + number, self.content, self.replica());
            let ask = match self.chance.below(DROPS) {
                0 => Ask::Drop(item, ver),
                _ => Ask::Set(item, ver, content),
            };
            self.add(at, What::Call(ask, replica));
        }
        for _ in 0..4 {
            let (at, replica) = (self.spell(from, to), self.replica());
            self.add(at, What::Call(Ask::Read, replica));
        }
    }

    /// A replica is away for a part of a span, and comes back while the network and another one are in trouble.
    fn away(&mut self, from: i64, to: i64) {
        let replica = self.replica();
        let leaves = self.spell(from, (to - SECOND).max(from + SECOND));
        let returns = leaves + self.spell(500 * MS, (to - leaves).max(SECOND));
        match self.chance.below(6) {
            0 => self.add(leaves, What::Kill(replica)),
            1 => self.add(leaves, What::Power(replica)),
            2 | 3 => self.add(leaves, What::Wipe(replica)),
            4 => {
                self.add(leaves, What::Freeze(replica));
                self.add(returns, What::Thaw(replica));
            }
            _ => {
                self.add(leaves, What::Cut(vec![replica]));
                self.add(returns, What::Heal);
            }
        }
        self.add(returns, What::Start(replica));
        // Its transfer: in pieces that are lost, come twice and late.
        let (drops, twice, late) = (
            self.chance.below(250),
            self.chance.below(250),
            self.chance.below(150),
        );
        let over = returns + self.spell(300 * MS, 1_500 * MS);
        self.add(returns, What::Drops(drops));
        self.add(returns, What::Twice(twice));
        self.add(returns, What::Late(late));
        self.add(over, What::Drops(0));
        self.add(over, What::Twice(0));
        self.add(over, What::Late(0));
        // The one that tells leaves in the middle of it, or the one that is told starts over, or the source is behind.
        let other = (replica + 1 + self.chance.below(self.plan.cores as u64 - 1) as usize)
            % self.plan.cores;
        let middle = returns + self.spell(5 * MS, 400 * MS);
        match self.chance.below(4) {
            0 => {
                self.add(middle, What::Kill(other));
                self.add(middle + 300 * MS, What::Start(other));
            }
            1 => {
                self.add(middle, What::Kill(replica));
                self.add(middle + 50 * MS, What::Start(replica));
            }
            2 => {
                self.add(middle, What::OneWay(other, replica));
                self.add(middle + 500 * MS, What::Heal);
            }
            _ => {
                // Beyond this operators that wait for a majority would all ask at once.
                self.add(returns - 450 * MS, What::Kill(other));
                self.add(returns - 50 * MS, What::Start(other));
            }
        }
    }
}

/// The schedule of a seed.
pub(super) fn draw(mut draft: Draft, seed: u64) -> Schedule {
    let calm = (BEGIN + draft.spell(13 * SECOND, 18 * SECOND)) / MS * MS;
    draft.changes_between(BEGIN, calm + SECOND);
    // One after the other: what must be borne is one loss at a time.
    let (absences, from) = (1 + draft.chance.below(3) as i64, BEGIN + 500 * MS);
    for number in 0..absences {
        let span = (calm - from) / absences;
        draft.away(
            from + span * number,
            from + span * (number + 1) - 2 * SECOND,
        );
    }
    if draft.plan.edges > 0 {
        draft.edge(BEGIN + SECOND);
    }
    draft.plan.schedule(seed, calm, draft.steps)
}
