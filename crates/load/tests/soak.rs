//! A short soak of the built programs; many seeds are played by hand (`streamarch-load soak`).

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;

use emulator::system::machines::built_programs_folder;
use load::soak::{Plan, Trouble, run};

fn programs() -> PathBuf {
    built_programs_folder(
        Path::new(env!("CARGO_BIN_EXE_streamarch-load")),
        env!("CARGO"),
    )
}

#[test]
fn nothing_that_must_hold_is_violated_under_faults_that_overlap() {
    let programs = programs();
    for seed in [1, 2, 3] {
        let plan = Plan {
            trouble: Trouble::Faults,
            seed,
            seconds: 6.0,
            zones: 3,
            edges: 1,
            programs: programs.clone(),
        };
        assert_nothing_is_violated(&plan);
    }
}

/// Guards against requests that a proxy ends with a 502 of its own although their server is running
/// them.
#[test]
fn no_running_request_is_given_up_under_shutdowns_and_releases_in_series() {
    let programs = programs();
    for seed in [1, 2] {
        let plan = Plan {
            trouble: Trouble::Shutdowns,
            seed,
            seconds: 8.0,
            zones: 3,
            edges: 2,
            programs: programs.clone(),
        };
        assert_nothing_is_violated(&plan);
    }
}

/// Guards against half of an answer that reaches a client as a whole one when its server ends with unread input, and against the
/// loss of a whole one.
#[test]
fn uploads_get_whole_answers_or_none_from_servers_that_answer_early_and_end() {
    let programs = programs();
    for seed in [1, 2] {
        let plan = Plan {
            trouble: Trouble::EarlyAnswers,
            seed,
            seconds: 8.0,
            zones: 3,
            edges: 2,
            programs: programs.clone(),
        };
        assert_nothing_is_violated(&plan);
    }
}

/// Guards against edges that serve by a part of the configuration, and so don't tell servers the tenant of a key.
#[test]
fn nothing_that_must_hold_is_violated_when_power_and_disks_are_lost() {
    let programs = programs();
    for seed in [517, 522] {
        let plan = Plan {
            trouble: Trouble::LostDisks,
            seed,
            seconds: 8.0,
            zones: 5,
            edges: 2,
            programs: programs.clone(),
        };
        assert_nothing_is_violated(&plan);
    }
}

fn assert_nothing_is_violated(plan: &Plan) {
    let seed = plan.seed;
    let report = run(plan, &AtomicBool::new(false)).unwrap();
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {}",
        report.text()
    );
    // A check that was never made has not held.
    assert!(report.acknowledged > 3, "seed {seed}: {}", report.text());
    let made = report.checks.iter().all(|(_, count)| *count > 0);
    assert!(made, "seed {seed}: {}", report.text());
}
