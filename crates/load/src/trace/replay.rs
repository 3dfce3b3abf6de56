//! A trace as a schedule.

use std::collections::HashMap;

use crate::Micros;
use crate::scenario::{ClassPlan, PlanPlan, Scenario};
use crate::schedule::{CUSTOMERS, Intended, Schedule, Workshop};
use crate::trace::Row;

/// Takes a trace's plans, classes and length into a scenario and lays it out, `speed` times as fast. Plans and classes
/// that the scenario names keep its figures; others take those of its first.
pub fn lay(scenario: &mut Scenario, rows: &[Row], limiters: usize, speed: f64) -> Schedule {
    let mut workshops: Vec<Workshop> = Vec::new();
    let mut known: HashMap<u64, u32> = HashMap::new();
    let limiters = limiters.max(1) as u16;
    let mut requests = Vec::with_capacity(rows.len());
    for row in rows {
        let plan = position(
            &mut scenario.workshops.plans,
            |p| p.name == row.plan,
            || PlanPlan {
                name: row.plan.clone(),
                ..PlanPlan::default()
            },
        );
        let class = position(
            &mut scenario.classes,
            |c| c.name == row.class,
            || ClassPlan {
                name: row.class.clone(),
                ..ClassPlan::default()
            },
        );
        let customer = row.account % CUSTOMERS;
        let workshop = *known.entry(customer).or_insert_with(|| {
            workshops.push(Workshop {
                customer,
                plan,
                set: (limiters, 0),
            });
            workshops.len() as u32 - 1
        });
        let limiter = row.limiter.unwrap_or(requests.len() as u16) % limiters;
        let at = (row.at as f64 / speed) as Micros;
        requests.push(Intended {
            at,
            workshop,
            class,
            units: row.units,
            limiter,
        });
    }
    scenario.seconds = requests
        .last()
        .map_or(0.0, |r| r.at as f64 / 1e6)
        .max(0.001);
    Schedule {
        workshops,
        requests,
    }
}

/// The position of what fits; what doesn't stand there yet is put behind, with the figures of the first.
fn position<T: Clone + Default + Figures>(
    all: &mut Vec<T>,
    fits: impl Fn(&T) -> bool,
    new: impl Fn() -> T,
) -> u8 {
    match all.iter().position(fits) {
        Some(position) => position as u8,
        None if all.len() >= 255 => 254,
        None => {
            let new = all
                .first()
                .map_or_else(&new, |first| first.named_as(&new()));
            all.push(new);
            all.len() as u8 - 1
        }
    }
}

trait Figures {
    /// The same figures under another's name.
    fn named_as(&self, other: &Self) -> Self;
}

impl Figures for PlanPlan {
    fn named_as(&self, other: &PlanPlan) -> PlanPlan {
        PlanPlan {
            name: other.name.clone(),
            ..self.clone()
        }
    }
}

impl Figures for ClassPlan {
    fn named_as(&self, other: &ClassPlan) -> ClassPlan {
        ClassPlan {
            name: other.name.clone(),
            ..self.clone()
        }
    }
}
