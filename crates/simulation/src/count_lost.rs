//! A plan of schedules in which the shared count is lost while a tenant surges: its holder is killed, loses its disk, stands
//! still or is cut off, the whole core is killed, and the count moves twice within one window of the rules.

use crate::chance::Chance;
use crate::cluster::{MS, SECOND};
use crate::schedule::{Holder, Step, What};

/// Ways in which the count is lost, those of the whole core twice as often as each other one.
const WAYS: [Way; 8] = [
    Way::Holder(Holder::Kill),
    Way::Holder(Holder::Wipe),
    Way::Holder(Holder::Cut),
    Way::Holder(Holder::Freeze),
    Way::Twice,
    Way::All,
    Way::All,
    Way::Dark,
];

#[derive(Clone, Copy)]
enum Way {
    Holder(Holder),
    /// The holder is killed, and the next one as soon as it has the duty.
    Twice,
    All,
    Dark,
}

/// Draws the steps that begin at an instant; also when they end.
pub(crate) fn draw(chance: &mut Chance, begin: i64, edges: usize) -> (Vec<Step>, i64) {
    let mut draft = Draft {
        chance,
        steps: Vec::new(),
    };
    let mut at = begin;
    for _ in 0..1 + draft.chance.below(2) {
        at = draft.round(at, edges);
    }
    (draft.steps, at)
}

struct Draft<'a> {
    chance: &'a mut Chance,
    steps: Vec<Step>,
}

impl Draft<'_> {
    fn add(&mut self, at: i64, what: What) {
        self.steps.push(Step {
            at: at / MS * MS,
            what,
        });
    }

    fn between(&mut self, least: i64, most: i64) -> i64 {
        least + self.chance.below((most - least) as u64) as i64
    }

    /// One surge, with one to three losses of the count in it.
    fn round(&mut self, begin: i64, edges: usize) -> i64 {
        let surge = begin + self.between(0, 800 * MS);
        let end = surge + self.between(4 * SECOND, 7 * SECOND);
        // Half of the tenant's rate before, two to twelve times its rate then.
        let calm = self.chance.below(2) * 60 / edges.max(1) as u64;
        let most = self.between(240, 1_440) as u64 / edges.max(1) as u64;
        self.add(begin, What::Surge(calm));
        self.add(surge, What::Surge(most));
        self.add(end, What::Surge(0));
        let mut lost = surge + self.between(-400 * MS, 1_800 * MS);
        for _ in 0..1 + self.chance.below(3) {
            self.lose(lost);
            lost += self.between(700 * MS, 2_600 * MS);
        }
        for edge in 0..edges {
            if self.chance.below(12) == 0 {
                let at = surge + self.between(0, 3 * SECOND);
                self.add(at, What::Proxy(edge));
            }
        }
        end
    }

    fn lose(&mut self, at: i64) {
        let end = at + self.between(60 * MS, 2 * SECOND);
        match WAYS[self.chance.below(WAYS.len() as u64) as usize] {
            Way::Holder(trouble) => {
                self.add(at, What::Holder(trouble));
                self.add(end, What::Holder(Holder::Mend));
            }
            Way::Twice => {
                let next = at + self.between(1_600 * MS, 2_400 * MS);
                self.add(at, What::Holder(Holder::Kill));
                self.add(at + 100 * MS, What::Holder(Holder::Mend));
                self.add(next, What::Holder(Holder::Kill));
                self.add(next + 100 * MS, What::Holder(Holder::Mend));
            }
            Way::All => self.add(at, What::All),
            Way::Dark => self.add(at, What::Dark),
        }
    }
}
