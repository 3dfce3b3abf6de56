//! One replica, or a few that are no majority, are out of touch for some twenty seconds: cut off both ways, one way, or from
//! some; standing still; with all links reset again and again. Edges end beside it, and operators ask all of them, the one
//! that is cut off first of all.

use super::{BEGIN, Draft};
use crate::cluster::{MS, SECOND};
use crate::play::{DROPPED_ONCE, REFERRED};
use crate::schedule::{Ask, Schedule, What};

/// An operator sends an order again for so long at the most.
const PATIENCE: i64 = 8 * SECOND;

impl Draft {
    /// The schedule of a seed.
    pub(super) fn cut_off(mut self, seed: u64) -> Schedule {
        let at = BEGIN + 2 * SECOND + self.spell(0, SECOND);
        let end = at + self.spell(18 * SECOND, 23 * SECOND);
        // Where there are edges, one of its zone ends beside it.
        let edge = self.chance.below(self.plan.edges.max(1) as u64) as usize;
        let replica = if self.plan.edges > 0 {
            edge * 2 % self.plan.cores
        } else {
            self.replica()
        };
        self.out_of_touch(at, end, replica);
        if self.plan.edges > 0 {
            let dies = at + self.spell(500 * MS, 1_100 * MS);
            self.add(dies, What::EdgeKill(edge));
            self.add(end + 3 * SECOND, What::EdgeStart(edge));
        }
        self.orders(at, end, replica);
        self.schedule(seed, end + 4 * SECOND)
    }

    fn out_of_touch(&mut self, at: i64, end: i64, replica: usize) {
        let cores = self.plan.cores;
        let others: Vec<usize> = (0..cores).filter(|other| *other != replica).collect();
        match self.chance.below(8) {
            0 => {
                self.add(at, What::Cut(vec![replica]));
                self.add(end, What::Heal);
            }
            1 => {
                let few = (cores - 1) / 2;
                let group = (0..few).map(|next| (replica + next) % cores).collect();
                self.add(at, What::Cut(group));
                self.add(end, What::Heal);
            }
            kind @ 2..=4 => {
                // Nothing comes in; nothing goes out; or it hears and is heard by too few.
                let some = if kind == 4 { cores - cores / 2 } else { cores };
                for other in others.into_iter().take(some) {
                    let (from, to) = if kind == 2 {
                        (other, replica)
                    } else {
                        (replica, other)
                    };
                    self.add(at, What::OneWay(from, to));
                }
                self.add(end, What::Heal);
            }
            5 | 6 => {
                self.add(at, What::Stand(replica));
                self.add(end, What::GoOn(replica));
            }
            _ => {
                let mut next = at;
                while next < end {
                    self.add(next, What::Reset(replica));
                    next += self.spell(50 * MS, 2_500 * MS);
                }
            }
        }
    }

    /// Orders to all, and to the one that is cut off most of all.
    fn orders(&mut self, at: i64, end: i64, replica: usize) {
        let cores = self.plan.cores as u64;
        let other = |draft: &mut Draft| {
            (replica + 1 + draft.chance.below(cores.max(2) - 1) as usize) % cores as usize
        };
        // What it has not heard of: a service that is new, and one that is gone.
        let elsewhere = other(self);
        self.set(BEGIN / 2, DROPPED_ONCE, 1, elsewhere);
        self.set(at + 2 * SECOND, REFERRED, 1, elsewhere);
        self.add(
            at + 2 * SECOND,
            What::Call(Ask::Drop(DROPPED_ONCE, 2), elsewhere),
        );
        // An evacuation that is given up there and done elsewhere, and its end, which is never asked of it first.
        self.add(at + 100 * MS, What::Call(Ask::Drain(true), replica));
        self.add(
            at + PATIENCE + 2 * SECOND,
            What::Call(Ask::Drain(false), elsewhere),
        );
        let (mut next, mut ver) = (at, 10);
        while next < end + 3 * SECOND {
            ver += 1;
            self.content += 2;
            let (item, content) = (self.chance.below(3), self.content);
            let ask = match self.chance.below(8) {
                0 | 1 => Ask::Set(item, ver, content),
                2 => Ask::Drop(item, ver),
                3 => Ask::Route(item % 2, ver, content),
                4 => Ask::Bad(ver, content),
                // By then it stands, and the other one is gone.
                5 if next > at + 2 * SECOND + PATIENCE => Ask::Refer(ver, content),
                6 if next > at + 2 * SECOND + PATIENCE => Ask::Dangle(ver, content),
                _ => Ask::Read,
            };
            let to = if self.chance.below(3) > 0 {
                replica
            } else {
                other(self)
            };
            self.add(next, What::Call(ask, to));
            next += self.spell(150 * MS, 900 * MS);
        }
        // As it comes back.
        for _ in 0..6 {
            ver += 1;
            self.content += 2;
            let (when, content) = (end + self.spell(0, 1_500 * MS), self.content);
            let ask = if self.chance.below(2) == 0 {
                Ask::Refer(ver, content)
            } else {
                Ask::Dangle(ver, content)
            };
            self.add(when, What::Call(ask, replica));
        }
    }
}
