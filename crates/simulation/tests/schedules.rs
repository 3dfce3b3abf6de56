//! Schedules with fixed seeds, those that once broke a rule, and deliberate harm that must be seen.

use std::path::Path;

use simulation::draw::{Plan, draw};
use simulation::play::play;
use simulation::schedule::Schedule;

#[test]
fn what_once_broke_a_rule_breaks_none() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("schedules");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let schedule = Schedule::read(&std::fs::read_to_string(&path).unwrap()).unwrap();
        let outcome = play(&schedule);
        assert!(
            outcome.faults.is_empty(),
            "{}: {:?}",
            path.display(),
            outcome.faults
        );
    }
}

#[test]
fn a_schedule_is_a_text_that_plays_the_same_again() {
    let schedule = draw(5, Plan::default());
    let again = Schedule::read(&schedule.to_string()).unwrap();
    assert_eq!(schedule, again);
    assert_eq!(play(&schedule), play(&again));
    assert!(
        Schedule::read("simulation 1\n1.0 fly 3\n")
            .unwrap_err()
            .to_string()
            .contains("line 2")
    );
}

#[test]
fn readings_that_wait_to_finish_what_is_chosen_by_then_keep_no_write_out() {
    let outcome = play(&draw(
        7_000_861,
        Plan {
            cores: 4,
            edges: 2,
            ..Plan::default()
        },
    ));
    assert!(outcome.faults.is_empty(), "{:?}", outcome.faults);
    // 4.7 s while they began rounds all the same.
    assert!(
        (1..2_000_000).contains(&outcome.recovered),
        "{} us",
        outcome.recovered
    );
}

/// Schedules are kept for years: what is read of a stored one is written back word for word.
#[test]
fn a_stored_schedule_is_written_back_as_it_stands() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("schedules");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stored = std::fs::read_to_string(&path).unwrap();
        let stored = stored
            .lines()
            .filter(|line| !line.is_empty() && !line.starts_with('#'));
        let written = Schedule::read(&stored.clone().collect::<Vec<_>>().join("\n"))
            .unwrap()
            .to_string();
        assert_eq!(
            written.lines().collect::<Vec<_>>(),
            stored.collect::<Vec<_>>(),
            "{}",
            path.display()
        );
    }
}
