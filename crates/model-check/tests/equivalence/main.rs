//! Random walks through the implementation and the model in lockstep. At every step both must promise,
//! accept, reject, choose, record and rebuild alike, and hold the same state on disk. Guards against a model
//! that no longer matches the implementation.

mod mapping;
mod world;

use std::collections::BTreeMap;

use model_check::packed_types::Value;
use test_case::test_case;
use world::World;

struct RandomSource(u64);

impl RandomSource {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }
}

fn random_walk(replicas: usize, seed: u64, compared: &mut BTreeMap<&'static str, usize>) {
    let mut random = RandomSource(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut world = World::new(replicas);
    let mut disk_losses = 0;
    for step in 0..250u64 {
        let machine = random.below(world.state.machines.len());
        let is_present = world.state.machines[machine].status != model_check::state::Status::Absent;
        match random.below(60) {
            0..=3 if is_present => {
                let version = 1 + random.below(3) as u8;
                world.operator_call(machine, Value::new(version, random.below(3) as u8));
            }
            4 if is_present => world.restart(machine, false, seed << 16 | step),
            5 if is_present && disk_losses < 2 => {
                disk_losses += 1;
                world.restart(machine, true, seed << 16 | step);
            }
            6 => world.replace(random.below(replicas), seed << 16 | step),
            7 if !world.state.chosen.is_empty() && is_present => {
                let (ballot, value) = world.state.chosen[random.below(world.state.chosen.len())];
                world.learn_chosen(machine, ballot, value);
            }
            _ if world.in_flight.is_empty() => {}
            drawn => {
                // Recent messages are preferred, but late ones are delivered as well. A message may be
                // delivered repeatedly.
                let in_flight_count = world.in_flight.len();
                let index = if drawn < 45 {
                    in_flight_count - 1 - random.below(in_flight_count.min(12))
                } else {
                    random.below(in_flight_count)
                };
                let envelope = world.in_flight[index].clone();
                if random.below(4) > 0 {
                    world.in_flight.remove(index);
                }
                world.deliver(&envelope);
            }
        }
        if world.ranks_exhausted {
            break;
        }
    }
    for (kind, count) in world.compared {
        *compared.entry(kind).or_default() += count;
    }
}

#[test_case(3; "three replicas")]
#[test_case(5; "five replicas")]
fn implementation_and_model_agree(replicas: usize) {
    let mut compared = BTreeMap::new();
    for seed in 1..=1_500 {
        random_walk(replicas, seed, &mut compared);
    }
    println!("{replicas} replicas: {compared:?}");
    let required_kinds = [
        "promises",
        "rejected prepare requests",
        "acceptances",
        "rejected accept requests",
        "ignored proposals",
    ];
    let required_kinds = required_kinds.into_iter().chain([
        "decisions",
        "chosen values",
        "incarnation requests",
        "rebuilds",
        "learned values",
    ]);
    required_kinds.for_each(|kind| {
        assert!(
            compared.get(kind).is_some_and(|count| *count >= 20),
            "fewer than 20 comparisons of {kind}"
        )
    });
}
