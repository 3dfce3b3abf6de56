//! The built programs when a disk is lost right after another one was recovered or replaced:
//! acknowledged changes are read back.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{READ_PREFIX, SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn start_system(folder: &TempDir) -> TestSystem {
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    TestSystem::start(
        folder.path(),
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
        size,
        deadline(),
    )
    .unwrap()
}

#[track_caller]
fn assert_logs(system: &TestSystem, number: usize, line: &str) {
    let is_logged = || {
        system
            .machines
            .log(Role::Control, number)
            .contains(line)
            .then_some(())
    };
    assert!(
        wait_for(deadline(), is_logged).is_some(),
        "{line}: {}",
        system.machines.log(Role::Control, number)
    );
}

fn change(system: &mut TestSystem, ver: u64) {
    let change = Change::default().set(
        "routes",
        "reads",
        ver,
        route(READ_PREFIX, SERVICES[ver as usize % 2]),
    );
    system.operator.change(&change, deadline()).unwrap();
}

#[test]
fn successive_disk_losses_keep_acknowledged_items() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    for number in 0..3 {
        change(&mut system, 2 + number as u64);
        system.machines.kill(Role::Control, number);
        std::fs::remove_dir_all(folder.path().join(format!("disk-{number}"))).unwrap();
        system
            .machines
            .write_settings(Role::Control, number, false)
            .unwrap();
        system.machines.start(Role::Control, number).unwrap();
        assert_logs(
            &system,
            number,
            "INFO recovery completed incarnation=2 items=",
        );
    }
    // None of the disks that received the changes exists any more.
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn shutdown_waits_for_a_recovering_successor() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    change(&mut system, 2);
    // The successor of the first machine runs in the same zone at another address. Its recovery
    // needs both other replicas, of which one is stopped.
    system.machines.kill(Role::Control, 1);
    system
        .machines
        .write_settings(Role::Control, 3, false)
        .unwrap();
    system.machines.start(Role::Control, 3).unwrap();
    assert_logs(
        &system,
        0,
        "INFO superseded by a newer incarnation of this replica",
    );
    system.machines.terminate(Role::Control, 0);
    // As long as the successor is not up to date, the process stays longer than calls in progress
    // need.
    let early_deadline = Instant::now() + Duration::from_millis(700);
    assert_eq!(
        system
            .machines
            .wait_for_exit(Role::Control, 0, early_deadline),
        None
    );
    assert!(
        !system
            .machines
            .log(Role::Control, 3)
            .contains("recovery completed")
    );
    system.machines.start(Role::Control, 1).unwrap();
    assert_logs(&system, 3, "INFO recovery completed incarnation=2 items=");
    assert!(
        system
            .machines
            .wait_for_exit(Role::Control, 0, deadline())
            .is_some_and(|status| status.success())
    );
    assert_logs(&system, 0, "INFO handover complete");
    // All remaining processes are killed at once, including the successor, which keeps its disk.
    std::fs::remove_dir_all(folder.path().join("disk-0")).unwrap();
    [1, 2, 3]
        .into_iter()
        .for_each(|number| system.machines.kill(Role::Control, number));
    [1, 2, 3]
        .into_iter()
        .for_each(|number| system.machines.start(Role::Control, number).unwrap());
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    change(&mut system, 3);
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
