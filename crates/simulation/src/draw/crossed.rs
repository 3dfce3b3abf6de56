//! Schedules in which answers meet the wrong question: messages are held, doubled and late, and a process that asked
//! starts anew before it is answered and comes to the same numbers again.
//!
//! Each schedule holds several *crossings* of a replica, in spells without any other trouble, so that what the process asks
//! after its second start has the numbers that it had after its first one. Between the crossings operators ask, messages
//! come late and twice, and processes of the core and of edges are killed and start.

use super::Plan;
use crate::chance::Chance;
use crate::cluster::{MS, SECOND};
use crate::schedule::{Ask, Schedule, Step, What};

/// The first start is over, and the first call taken.
const BEGIN: i64 = 4 * SECOND;
/// From the start of a process to what it asks: it is in touch by then.
const SETTLED: i64 = 900 * MS;
/// How long one crossing takes, with what it leaves behind.
const CROSSING: i64 = 4_500 * MS;

struct Draft {
    chance: Chance,
    steps: Vec<Step>,
    plan: Plan,
    content: u64,
    version: u64,
}

impl Draft {
    fn add(&mut self, at: i64, what: What) {
        // To the millisecond, so that a text says all.
        self.steps.push(Step {
            at: at / MS * MS,
            what,
        });
    }

    fn spell(&mut self, least: i64, most: i64) -> i64 {
        least + self.chance.below((most - least) as u64) as i64
    }

    fn replica(&mut self) -> usize {
        self.chance.below(self.plan.cores as u64) as usize
    }

    fn set(&mut self, at: i64, item: u64, replica: usize) {
        self.content += 2;
        self.version += 1;
        self.add(
            at,
            What::Call(Ask::Set(item, self.version, self.content), replica),
        );
    }

    /// A replica reads, and its answers are held. It is killed, starts, and is cut off while the others take a change; then
    /// it reads again, its question goes nowhere, and the answers to the first one arrive.
    fn crossing(&mut self, at: i64) {
        let cores = self.plan.cores;
        let replica = self.replica();
        let other = (replica + 1 + self.chance.below(cores as u64 - 1) as usize) % cores;
        self.add(at, What::Kill(replica));
        self.add(at + 20 * MS, What::Start(replica));
        let asks = at + 20 * MS + SETTLED;
        let killed = asks + self.spell(70 * MS, 130 * MS);
        let started = killed + 30 * MS;
        let cut = started + SETTLED - 300 * MS;
        let again = started + SETTLED;
        let held = (again + 12 * MS - asks) / MS;
        self.add(
            asks,
            What::Hold(replica, ((killed - asks) / MS) as u64, held as u64),
        );
        self.add(asks + MS, What::Call(Ask::Read, replica));
        self.add(killed, What::Kill(replica));
        self.add(started, What::Start(replica));
        self.add(cut, What::Cut(vec![replica]));
        let item = self.chance.below(3);
        self.set(cut + 5 * MS, item, other);
        self.add(again, What::Heal);
        for far in (0..cores).filter(|far| *far != replica) {
            self.add(again, What::OneWay(replica, far));
        }
        self.add(again + MS, What::Call(Ask::Read, replica));
        self.add(again + 250 * MS, What::Heal);
    }

    /// Messages come late and twice while operators ask and processes are killed.
    fn between(&mut self, from: i64, to: i64) {
        let (twice, late) = (100 + self.chance.below(500), 20 + self.chance.below(300));
        self.add(from, What::Twice(twice));
        self.add(from, What::Late(late));
        let mut at = from;
        while at < to - 200 * MS {
            let (replica, item) = (self.replica(), self.chance.below(3));
            match self.chance.below(6) {
                0 | 1 => self.set(at, item, replica),
                2 => self.add(at, What::Call(Ask::Read, replica)),
                3 if self.plan.edges > 0 => {
                    let edge = self.chance.below(self.plan.edges as u64) as usize;
                    self.add(at, What::EdgeKill(edge));
                    self.add(at + 60 * MS, What::EdgeStart(edge));
                }
                4 if self.plan.edges > 0 => {
                    let edge = self.chance.below(self.plan.edges as u64) as usize;
                    self.add(at, What::Proxy(edge));
                }
                _ => {
                    self.add(at, What::Kill(replica));
                    self.add(at + 40 * MS, What::Start(replica));
                }
            }
            at += self.spell(80 * MS, 400 * MS);
        }
        self.add(to, What::Twice(0));
        self.add(to, What::Late(0));
    }
}

/// The schedule of a seed.
pub(super) fn draw(seed: u64, plan: Plan) -> Schedule {
    let chance = Chance::new(seed.wrapping_mul(11).wrapping_add(5));
    let mut draft = Draft {
        chance,
        steps: Vec::new(),
        plan,
        content: 4_000,
        version: 2,
    };
    let crossings = 2 + draft.chance.below(3);
    let mut at = BEGIN;
    for _ in 0..crossings {
        draft.crossing(at);
        at += CROSSING;
        let end = at + draft.spell(SECOND, 3 * SECOND);
        draft.between(at, end);
        at = end + SECOND;
    }
    draft.plan.schedule(seed, at / MS * MS, draft.steps)
}
