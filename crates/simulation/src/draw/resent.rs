//! Schedules of orders that are sent again: in each, eight orders at once, each to another replica, two of them with two
//! contents under one version, answers lost at 0.7, changes of other items all the time, and after each kind of trouble
//! repeats of what was taken at every replica.

use super::{BEGIN, Draft};
use crate::cluster::{MS, SECOND};
use crate::schedule::{Ask, Schedule, What};

/// Of a thousand answers to operators so many are lost.
const LOST: u64 = 700;
/// Orders that are under way at once.
const AT_ONCE: usize = 8;
/// Other items, changed in turn between the bursts, and how often.
const OTHERS: u64 = 12;
const CHANGE: i64 = 65 * MS;
/// What comes between a burst and its repeats takes no longer.
const BETWEEN: i64 = 1_600 * MS;
/// Repeats of a burst go back over so many orders that were taken.
const BACK: u64 = 40;

/// The schedule of a seed.
pub(super) fn draw(seed: u64, mut draft: Draft) -> Schedule {
    draft.add(BEGIN / 2, What::Lose(LOST));
    let bursts = 4 + draft.chance.below(3);
    let first = draft.chance.below(6);
    let mut at = BEGIN;
    for burst in 0..bursts {
        draft.burst(at, burst);
        draft.between(at + 300 * MS, first + burst);
        let repeats = at + BETWEEN + draft.spell(0, 400 * MS);
        draft.repeats(repeats);
        at = repeats + draft.spell(100 * MS, 600 * MS);
    }
    let calm = at / MS * MS;
    draft.others(BEGIN, calm);
    // No other change is made after these.
    for seconds in [2, 4] {
        draft.repeats(calm + seconds * SECOND);
    }
    draft.plan.schedule(seed, calm, draft.steps)
}

impl Draft {
    fn content(&mut self) -> u64 {
        self.content += 2;
        self.content
    }

    /// Eight orders at once, each to another replica.
    fn burst(&mut self, at: i64, burst: u64) {
        let ver = 2 + burst * 3;
        let (item, pair) = (self.chance.below(3), self.chance.below(2));
        let contents: [u64; AT_ONCE] = std::array::from_fn(|_| self.content());
        let next = ver + self.chance.below(2);
        let either = if self.chance.below(2) == 0 {
            Ask::Unpair(pair, next)
        } else {
            Ask::Pair(pair, ver, contents[4])
        };
        let orders: [Ask; AT_ONCE] = [
            Ask::Set(item, ver, contents[0]),
            Ask::Set(item, ver, contents[1]),
            Ask::Two(ver, contents[2], contents[2] + 1),
            Ask::Pair(pair, ver, contents[3]),
            either,
            Ask::Route(pair, ver, contents[5]),
            Ask::Drain(burst.is_multiple_of(2)),
            Ask::Drop((item + 1) % 3, ver + 1),
        ];
        let first = self.replica();
        let spread = [2, 40, 120][self.chance.below(3) as usize] * MS;
        for (number, order) in orders.into_iter().enumerate() {
            let at = at + self.spell(0, spread);
            self.add(at, What::Call(order, first + number));
        }
        let replica = self.replica();
        self.add(at + 900 * MS, What::Call(Ask::Read, replica));
    }

    /// What comes between an order and its repeat.
    fn between(&mut self, at: i64, kind: u64) {
        let replica = self.replica();
        let end = at + self.spell(100 * MS, 700 * MS);
        match kind % 6 {
            0 => {
                self.add(at, What::Kill(replica));
                self.add(end, What::Start(replica));
            }
            1 => {
                self.add(at, What::Replace(replica));
                self.add(end, What::Retire(replica));
            }
            2 => {
                self.add(at, What::Wipe(replica));
                self.add(end, What::Start(replica));
            }
            3 => {
                // Begun, finished, and begun anew.
                for (number, on) in [true, false, true].into_iter().enumerate() {
                    let at = at + number as i64 * 300 * MS;
                    self.add(at, What::Call(Ask::Drain(on), replica + number));
                }
                self.add(at, What::All);
            }
            4 => self.add(at, What::Dark),
            _ => {
                self.add(at, What::Cut(vec![replica]));
                self.add(end, What::Heal);
            }
        }
    }

    /// Orders that were taken, once at every replica.
    fn repeats(&mut self, at: i64) {
        for replica in 0..self.plan.cores {
            let at = at + self.spell(0, 60 * MS);
            let back = self.chance.below(BACK) as usize;
            self.add(at, What::Again(back, replica));
        }
    }

    /// Changes of other items, all the time.
    fn others(&mut self, from: i64, to: i64) {
        let (mut at, mut number) = (from, 0);
        while at < to {
            let content = self.content();
            let replica = self.replica();
            // Names beyond those that the histories are kept of.
            let item = 20 + number % OTHERS;
            self.add(
                at,
                What::Call(Ask::Set(item, 1 + number / OTHERS, content), replica),
            );
            at += CHANGE;
            number += 1;
        }
    }
}
