//! Random walks of the code and of the model side by side: at each step both promise, accept, refuse, choose,
//! record and rebuild the same, and the disks hold the same.

mod names;
mod world;

use std::collections::BTreeMap;

use model_check::numbers::Value;
use test_case::test_case;
use world::World;

struct Chance(u64);

impl Chance {
    fn below(&mut self, most: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % most.max(1)
    }
}

fn walk(replicas: usize, seed: u64, compared: &mut BTreeMap<&'static str, usize>) {
    let mut chance = Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut world = World::new(replicas);
    let mut lost = 0;
    for step in 0..250u64 {
        let at = chance.below(world.state.machines.len());
        let there = world.state.machines[at].status != model_check::state::Status::Absent;
        match chance.below(60) {
            0..=3 if there => {
                let version = 1 + chance.below(3) as u8;
                world.call(at, Value::new(version, chance.below(3) as u8));
            }
            4 if there => world.restart(at, false, seed << 16 | step),
            5 if there && lost < 2 => {
                lost += 1;
                world.restart(at, true, seed << 16 | step);
            }
            6 => world.replace(chance.below(replicas), seed << 16 | step),
            7 if !world.state.chosen.is_empty() && there => {
                let (ballot, value) = world.state.chosen[chance.below(world.state.chosen.len())];
                world.learn(at, ballot, value);
            }
            _ if world.mail.is_empty() => {}
            drawn => {
                // Late ones come as well; each may be lost, and come again.
                let most = world.mail.len();
                let index = if drawn < 45 {
                    most - 1 - chance.below(most.min(12))
                } else {
                    chance.below(most)
                };
                let mail = world.mail[index].clone();
                if chance.below(4) > 0 {
                    world.mail.remove(index);
                }
                world.deliver(&mail);
            }
        }
        if world.over {
            break;
        }
    }
    for (what, count) in world.compared {
        *compared.entry(what).or_default() += count;
    }
}

#[test_case(3; "three replicas")]
#[test_case(5; "five replicas")]
fn code_and_model_say_the_same(replicas: usize) {
    let mut compared = BTreeMap::new();
    for seed in 1..=1_500 {
        walk(replicas, seed, &mut compared);
    }
    println!("{replicas} replicas: {compared:?}");
    let all = [
        "promises",
        "refusals of a promise",
        "acceptances",
        "refusals to accept",
        "silence to a proposal",
    ];
    let all = all
        .into_iter()
        .chain(["decisions", "choices", "records", "rebuilt", "learned"]);
    all.for_each(|what| {
        assert!(
            compared.get(what).is_some_and(|count| *count >= 20),
            "too few: {what}"
        )
    });
}
