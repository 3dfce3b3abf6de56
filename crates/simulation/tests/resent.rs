//! Orders that are sent again: what each schedule of the plan brings about, and that none breaks a rule.

use std::collections::BTreeSet;

use simulation::cluster::{MS, SECOND};
use simulation::draw::{Often, Plan, draw};
use simulation::play::play;
use simulation::schedule::{Ask, Schedule, What};
use test_case::test_case;

const SIX: Plan = Plan {
    cores: 6,
    edges: 0,
    load: 0,
    often: Often::Resent,
    bug: None,
};

/// Orders between two instants, with the replica that each goes to first.
fn calls(schedule: &Schedule, from: i64, to: i64) -> Vec<(Ask, usize)> {
    let within = schedule
        .steps
        .iter()
        .filter(|step| (from..to).contains(&step.at));
    within
        .filter_map(|step| match &step.what {
            What::Call(ask, at) => Some((*ask, *at)),
            _ => None,
        })
        .collect()
}

#[test]
fn each_schedule_holds_what_the_plan_is_for() {
    for seed in 1..=40 {
        let schedule = draw(seed, SIX);
        assert_eq!(Schedule::read(&schedule.to_string()).unwrap(), schedule);
        assert!(
            schedule
                .steps
                .iter()
                .any(|step| step.what == What::Lose(700)),
            "{seed}: no answer is lost"
        );
        let pairs = schedule
            .steps
            .iter()
            .filter(|step| matches!(step.what, What::Call(Ask::Two(..), _)));
        for burst in pairs.map(|step| step.at) {
            let around = calls(&schedule, burst - 120 * MS, burst + 121 * MS);
            let named = around
                .iter()
                .filter(|(ask, _)| !matches!(ask, Ask::Set(20.., ..) | Ask::Read));
            let replicas: BTreeSet<usize> = named.clone().map(|(_, at)| *at).collect();
            assert!(
                named.count() >= 8 && replicas.len() >= 8,
                "{seed}: {around:?}"
            );
            let sets = around.iter().filter_map(|(ask, _)| match ask {
                Ask::Set(item @ 0..20, ver, _) => Some((*item, *ver)),
                _ => None,
            });
            let sets: Vec<(u64, u64)> = sets.collect();
            assert!(
                sets.len() == 2 && sets[0] == sets[1],
                "{seed}: {sets:?} are not one version of one item"
            );
        }
        // After all changes, and at every replica.
        let late = schedule
            .steps
            .iter()
            .filter(|step| step.at >= schedule.calm + SECOND);
        let repeats: BTreeSet<usize> = late
            .map(|step| match step.what {
                What::Again(_, at) => at,
                ref other => panic!("{seed}: {other} after the last change"),
            })
            .collect();
        assert_eq!(repeats.len(), 6, "{seed}");
        assert!(
            calls(&schedule, 0, i64::MAX).len() >= 150,
            "{seed}: too few changes"
        );
    }
}

#[test_case(6, 0, 8; "six replicas")]
#[test_case(3, 0, 12; "three replicas")]
#[test_case(6, 3, 4; "six replicas and three edges")]
fn orders_that_are_sent_again_break_no_rule(cores: usize, edges: usize, many: u64) {
    for seed in 1..=many {
        let outcome = play(&draw(
            seed,
            Plan {
                cores,
                edges,
                load: if edges > 0 { 30 } else { 0 },
                ..SIX
            },
        ));
        assert!(
            outcome.faults.is_empty(),
            "seed {seed}: {:?}",
            outcome.faults
        );
        assert!(
            outcome.repeated >= 10 && outcome.refused > 0,
            "seed {seed}: {outcome:?}"
        );
    }
}
