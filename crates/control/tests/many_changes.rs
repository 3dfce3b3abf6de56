//! The built programs: a replica that was stopped during hundreds of changes catches up after its
//! start.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::call;
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::test_system::{Size, TestSystem};
use emulator::system::wait_for;
use serde_json::{Value, json};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");
/// The changes of the test.
const CHANGES: u64 = 300;
/// The items that they set and remove in turn.
const ITEMS: u64 = 40;
/// The greatest size of a replica's files with this few items: the write-ahead log is truncated at
/// 4 MiB.
const MAX_FILE_BYTES: u64 = 5 * 1024 * 1024;

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn get_json(system: &TestSystem, replica: usize, path: &str) -> Option<Value> {
    let reply = call(
        system.machines.ctl(replica),
        "GET",
        path,
        "",
        b"",
        deadline(),
    )
    .ok()?;
    serde_json::from_slice(reply.body())
        .ok()
        .filter(|_| reply.status == 200)
}

/// A change of one service, or its removal, by the number of the change.
fn change(system: &TestSystem, number: u64) {
    let (name, ver) = (format!("many-{:02}", number % ITEMS), 1 + number / ITEMS);
    let body = match number % 5 {
        0 => json!({"remove": {"svcs": [{"name": name, "ver": ver}]}}),
        _ => json!({"upsert": {"objs": [{"type": "svcs", "meta": {"name": name, "ver": ver},
            "spec": {"hcheck": format!("/{number}")}}]}}),
    };
    let address = system.machines.ctl(number as usize % 2);
    let acknowledged = || {
        let reply = call(
            address,
            "POST",
            "/api/cfg/patch",
            "",
            body.to_string().as_bytes(),
            deadline(),
        )
        .ok()?;
        (reply.status == 200).then_some(())
    };
    assert!(
        wait_for(deadline(), acknowledged).is_some(),
        "change {number} is not acknowledged"
    );
}

#[test]
fn replica_catches_up_after_hundreds_of_missed_changes() {
    let folder = TempDir::new().unwrap();
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    let mut system = TestSystem::start(
        folder.path(),
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
        size,
        deadline(),
    )
    .unwrap();
    (0..ITEMS).for_each(|number| change(&system, number));
    system.machines.kill(Role::Control, 2);
    (ITEMS..CHANGES).for_each(|number| change(&system, number));
    system.machines.start(Role::Control, 2).unwrap();
    let started_at = Instant::now();
    // The digest covers the items that the replica itself knows, not those that it reads from
    // others.
    let digest =
        |replica| get_json(&system, replica, "/api/status").map(|status| status["digest"].clone());
    let has_caught_up = || {
        digest(2)
            .filter(|digest_here| !digest_here.is_null() && Some(digest_here) == digest(0).as_ref())
    };
    assert!(
        wait_for(deadline(), has_caught_up).is_some(),
        "digest {:?} at the restarted replica, {:?} at another",
        digest(2),
        digest(0)
    );
    println!(
        "caught up {} ms after its start",
        started_at.elapsed().as_millis()
    );
    let items = wait_for(deadline(), || get_json(&system, 2, "/api/cfg/get")).unwrap();
    let version_of = |name: &str| {
        let objects = items["objs"].as_array().into_iter().flatten();
        objects
            .clone()
            .find(|object| object["meta"]["name"] == name)
            .map(|object| object["meta"]["ver"].clone())
    };
    for number in CHANGES - ITEMS..CHANGES {
        let is_removed = number % 5 == 0;
        let expected = (!is_removed).then(|| json!(1 + number / ITEMS));
        assert_eq!(
            version_of(&format!("many-{:02}", number % ITEMS)),
            expected,
            "change {number}"
        );
    }
    for replica in 0..3 {
        let files = std::fs::read_dir(folder.path().join(format!("disk-{replica}"))).unwrap();
        let bytes: u64 = files
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum();
        println!("replica {replica}: {bytes} bytes on disk");
        assert!(bytes <= MAX_FILE_BYTES, "replica {replica}: {bytes} bytes");
    }
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
