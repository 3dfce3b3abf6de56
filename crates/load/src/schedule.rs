//! Every request that a run means to send, laid out ahead: a matter of scenario and seed alone, blind to answers.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::weighted::WeightedIndex;

use crate::Micros;
use crate::scenario::{Scenario, Workshops};
use crate::shapes::{Shape, instants};

/// A member workshop as clients know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Workshop {
    /// Its number.
    pub customer: u64,
    /// Position of its plan.
    pub plan: u8,
    /// Limiters in its set, and the number of the first.
    pub set: (u16, u16),
}

/// A request that is meant to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intended {
    /// When, since the run's start.
    pub at: Micros,
    /// Position of the workshop.
    pub workshop: u32,
    /// Position of the class.
    pub class: u8,
    /// Units.
    pub units: u8,
    /// The limiter of its first try, by its place in the workshop's set.
    pub limiter: u16,
}

/// All that is meant to be sent, in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Who sends.
    pub workshops: Vec<Workshop>,
    /// What is sent.
    pub requests: Vec<Intended>,
}

/// Customers are numbers below this.
pub const CUSTOMERS: u64 = 1 << 33;

impl Schedule {
    /// Lays out a scenario for so many limiters. Same scenario, same seed: the same schedule.
    pub fn lay(scenario: &Scenario, seed: u64, limiters: usize) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut workshops = found(scenario, limiters, &mut rng);
        let weights = weights(&scenario.workshops, &workshops, &mut rng);
        let shares: Vec<f64> = scenario.classes.iter().map(|c| c.share).collect();
        // With no shares at all every class is as likely as another.
        let classes =
            WeightedIndex::new(&shares).or_else(|_| WeightedIndex::new(vec![1.0; shares.len()]));
        let mut drawn: Vec<(Micros, u32)> = Vec::new();
        for arrival in &scenario.arrivals {
            let mut rng = ChaCha8Rng::seed_from_u64(rng.random());
            let fits = |w: &Workshop| {
                let name = &scenario.workshops.plans[usize::from(w.plan)].name;
                arrival.plan.as_ref().is_none_or(|plan| plan == name)
            };
            let mut fit: Vec<u32> = (0..workshops.len() as u32)
                .filter(|w| fits(&workshops[*w as usize]))
                .collect();
            if fit.is_empty() {
                // Few workshops and a small share: the plan is given to one, so that the traffic has a source.
                let plan = scenario
                    .workshops
                    .plans
                    .iter()
                    .position(|p| Some(&p.name) == arrival.plan.as_ref());
                workshops[0].plan = plan.unwrap_or(0) as u8;
                fit.push(0);
            }
            let random = arrival.random || arrival.shape == Shape::Poisson;
            let few = arrival
                .workshops
                .unwrap_or(if arrival.shape == Shape::Spells {
                    1
                } else {
                    fit.len()
                });
            if few < fit.len() {
                fit.shuffle(&mut rng);
                fit.truncate(few);
            }
            if arrival.shape == Shape::Spells {
                for workshop in &fit {
                    let plan =
                        &scenario.workshops.plans[usize::from(workshops[*workshop as usize].plan)];
                    let quota = plan.rate / mean_units(plan.units);
                    let points = arrival.points(scenario.seconds, quota, &mut rng);
                    drawn.extend(
                        instants(&points, random, &mut rng)
                            .into_iter()
                            .map(|at| (at, *workshop)),
                    );
                }
                continue;
            }
            let points = arrival.points(scenario.seconds, 0.0, &mut rng);
            let weight: Vec<f64> = fit.iter().map(|w| weights[*w as usize]).collect();
            let Ok(who) = WeightedIndex::new(&weight) else {
                continue;
            };
            let at = instants(&points, random, &mut rng);
            drawn.extend(at.into_iter().map(|at| (at, fit[who.sample(&mut rng)])));
        }
        drawn.sort_unstable();
        let mut favours = Favours::new(scenario, &workshops, rng.random());
        let request = |(at, workshop): (Micros, u32)| {
            let of = &workshops[workshop as usize];
            let [least, most] = scenario.workshops.plans[usize::from(of.plan)].units;
            Intended {
                at,
                workshop,
                class: classes.as_ref().map_or(0, |c| c.sample(&mut rng)) as u8,
                units: units([least, most], &mut rng),
                limiter: favours.pick(at, workshop as usize, of.set, &mut rng),
            }
        };
        let requests = drawn.into_iter().map(request).collect();
        Schedule {
            workshops,
            requests,
        }
    }
}

/// A request's units: one more is half as likely.
fn units([least, most]: [u8; 2], rng: &mut impl Rng) -> u8 {
    let mut units = least;
    while units < most && rng.random::<bool>() {
        units += 1;
    }
    units
}

fn mean_units([least, most]: [u8; 2]) -> f64 {
    let more = i32::from(most - least);
    f64::from(least) + (1..=more).map(|k| 0.5_f64.powi(k)).sum::<f64>()
}

fn found(scenario: &Scenario, limiters: usize, rng: &mut impl Rng) -> Vec<Workshop> {
    let plans = &scenario.workshops.plans;
    let total: f64 = plans.iter().map(|p| p.share).sum();
    let count = scenario.workshops.count;
    let mut workshops: Vec<Workshop> = Vec::with_capacity(count);
    let (mut shared, mut plan) = (plans[0].share, 0);
    let mut customers = std::collections::HashSet::with_capacity(count);
    for number in 0..count {
        while (number as f64 + 0.5) / count as f64 * total > shared && plan + 1 < plans.len() {
            plan += 1;
            shared += plans[plan].share;
        }
        let [least, most] = scenario.limiters.spread;
        let most = most.min(limiters).max(1);
        let spread = rng.random_range(least.min(most)..=most) as u16;
        let set = (spread, rng.random_range(0..limiters.max(1)) as u16);
        let mut customer = rng.random_range(1..CUSTOMERS);
        while !customers.insert(customer) {
            customer = rng.random_range(1..CUSTOMERS);
        }
        workshops.push(Workshop {
            customer,
            plan: plan as u8,
            set,
        });
    }
    workshops
}

/// How much of the traffic falls on each workshop: as its quota, unevenly.
fn weights(plan: &Workshops, workshops: &[Workshop], rng: &mut impl Rng) -> Vec<f64> {
    let mut ranks: Vec<usize> = (1..=workshops.len()).collect();
    ranks.shuffle(rng);
    let weight = |(w, rank): (&Workshop, usize)| {
        plan.plans[usize::from(w.plan)].rate.max(1e-9) * (rank as f64).powf(-plan.skew)
    };
    workshops.iter().zip(ranks).map(weight).collect()
}

/// Which limiter of its set a workshop favours at present.
struct Favours {
    uneven: f64,
    shift: [f64; 2],
    rng: ChaCha8Rng,
    /// By workshop: the favoured one within its set, and until when.
    now: Vec<(u16, Micros)>,
}

impl Favours {
    fn new(scenario: &Scenario, workshops: &[Workshop], seed: u64) -> Favours {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let now = vec![(0, Micros::MIN); workshops.len()];
        Favours {
            uneven: scenario.limiters.uneven,
            shift: scenario.limiters.shift_s,
            rng,
            now,
        }
    }

    fn pick(&mut self, at: Micros, workshop: usize, set: (u16, u16), rng: &mut impl Rng) -> u16 {
        let (favoured, until) = &mut self.now[workshop];
        if at >= *until {
            *favoured = self.rng.random_range(0..set.0);
            *until = at + (self.rng.random_range(self.shift[0]..=self.shift[1]) * 1e6) as Micros;
        }
        let favoured = *favoured;
        // The place within the set; what it means among the limiters is for the sender.
        if rng.random::<f64>() < self.uneven {
            favoured
        } else {
            rng.random_range(0..set.0)
        }
    }
}

#[cfg(test)]
mod tests;
