//! The built programs under a second loss right after a repair or a replacement: acknowledged
//! changes are read back.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{READ_PREFIX, SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn whole(folder: &TempDir) -> TestSystem {
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    TestSystem::start(
        folder.path(),
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
        size,
        soon(),
    )
    .unwrap()
}

#[track_caller]
fn says(whole: &TestSystem, number: usize, line: &str) {
    let said = || {
        whole
            .machines
            .log(Role::Control, number)
            .contains(line)
            .then_some(())
    };
    assert!(
        wait_for(soon(), said).is_some(),
        "{line}: {}",
        whole.machines.log(Role::Control, number)
    );
}

fn change(whole: &mut TestSystem, ver: u64) {
    let change = Change::default().set(
        "routes",
        "reads",
        ver,
        route(READ_PREFIX, SERVICES[ver as usize % 2]),
    );
    whole.operator.change(&change, soon()).unwrap();
}

#[test]
fn successive_disk_losses_keep_acknowledged_items() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    for number in 0..3 {
        change(&mut whole, 2 + number as u64);
        whole.machines.kill(Role::Control, number);
        std::fs::remove_dir_all(folder.path().join(format!("disk-{number}"))).unwrap();
        whole
            .machines
            .write_settings(Role::Control, number, false)
            .unwrap();
        whole.machines.start(Role::Control, number).unwrap();
        says(
            &whole,
            number,
            "INFO recovery completed incarnation=2 items=",
        );
    }
    // None of the disks that received the changes is left.
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn shutdown_waits_for_a_recovering_successor() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    change(&mut whole, 2);
    // The successor of the first machine stands in its zone at another address; the recovery of
    // three replicas needs both others, of which one does not run yet.
    whole.machines.kill(Role::Control, 1);
    whole
        .machines
        .write_settings(Role::Control, 3, false)
        .unwrap();
    whole.machines.start(Role::Control, 3).unwrap();
    says(
        &whole,
        0,
        "INFO superseded by a newer incarnation of this replica",
    );
    whole.machines.terminate(Role::Control, 0);
    // Without a successor that is up to date it stays longer than it takes to answer calls in
    // progress.
    let early = Instant::now() + Duration::from_millis(700);
    assert_eq!(whole.machines.wait_for_exit(Role::Control, 0, early), None);
    assert!(
        !whole
            .machines
            .log(Role::Control, 3)
            .contains("recovery completed")
    );
    whole.machines.start(Role::Control, 1).unwrap();
    says(&whole, 3, "INFO recovery completed incarnation=2 items=");
    assert!(
        whole
            .machines
            .wait_for_exit(Role::Control, 0, soon())
            .is_some_and(|status| status.success())
    );
    says(&whole, 0, "INFO handover complete");
    // All remaining processes are killed at once, the successor's with its disk among them.
    std::fs::remove_dir_all(folder.path().join("disk-0")).unwrap();
    [1, 2, 3]
        .into_iter()
        .for_each(|number| whole.machines.kill(Role::Control, number));
    [1, 2, 3]
        .into_iter()
        .for_each(|number| whole.machines.start(Role::Control, number).unwrap());
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    change(&mut whole, 3);
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
