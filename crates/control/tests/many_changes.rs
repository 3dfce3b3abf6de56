//! The built programs: a replica that is stopped for hundreds of changes, and started again.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::call;
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::test_system::{Size, TestSystem};
use emulator::system::wait_for;
use serde_json::{Value, json};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");
const CHANGES: u64 = 300;
const ITEMS: u64 = 40;
/// Stated bound: most bytes of a replica's files with this few items; the write-ahead log is
/// truncated at 4 MiB.
const FILES: u64 = 5 * 1024 * 1024;

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn read(whole: &TestSystem, replica: usize, path: &str) -> Option<Value> {
    let reply = call(whole.machines.ctl(replica), "GET", path, "", b"", soon()).ok()?;
    serde_json::from_slice(reply.body())
        .ok()
        .filter(|_| reply.status == 200)
}

/// A change of one service, or its removal, by the number of the change.
fn change(whole: &TestSystem, number: u64) {
    let (name, ver) = (format!("many-{:02}", number % ITEMS), 1 + number / ITEMS);
    let body = match number % 5 {
        0 => json!({"remove": {"svcs": [{"name": name, "ver": ver}]}}),
        _ => json!({"upsert": {"objs": [{"type": "svcs", "meta": {"name": name, "ver": ver},
            "spec": {"hcheck": format!("/{number}")}}]}}),
    };
    let at = whole.machines.ctl(number as usize % 2);
    let taken = || {
        let reply = call(
            at,
            "POST",
            "/api/cfg/patch",
            "",
            body.to_string().as_bytes(),
            soon(),
        )
        .ok()?;
        (reply.status == 200).then_some(())
    };
    assert!(
        wait_for(soon(), taken).is_some(),
        "change {number} is not taken"
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
    let mut whole = TestSystem::start(
        folder.path(),
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
        size,
        soon(),
    )
    .unwrap();
    (0..ITEMS).for_each(|number| change(&whole, number));
    whole.machines.kill(Role::Control, 2);
    (ITEMS..CHANGES).for_each(|number| change(&whole, number));
    whole.machines.start(Role::Control, 2).unwrap();
    let started = Instant::now();
    // What it knows itself, not what it reads from the others.
    let digest =
        |replica| read(&whole, replica, "/api/status").map(|status| status["digest"].clone());
    let same = || digest(2).filter(|own| !own.is_null() && Some(own) == digest(0).as_ref());
    assert!(
        wait_for(soon(), same).is_some(),
        "{:?} at the one that was away, {:?}",
        digest(2),
        digest(0)
    );
    println!("whole {} ms after its start", started.elapsed().as_millis());
    let items = wait_for(soon(), || read(&whole, 2, "/api/cfg/get")).unwrap();
    let shown = |name: &str| {
        let objects = items["objs"].as_array().into_iter().flatten();
        objects
            .clone()
            .find(|object| object["meta"]["name"] == name)
            .map(|object| object["meta"]["ver"].clone())
    };
    for number in CHANGES - ITEMS..CHANGES {
        let dropped = number % 5 == 0;
        let wanted = (!dropped).then(|| json!(1 + number / ITEMS));
        assert_eq!(
            shown(&format!("many-{:02}", number % ITEMS)),
            wanted,
            "change {number}"
        );
    }
    for replica in 0..3 {
        let files = std::fs::read_dir(folder.path().join(format!("disk-{replica}"))).unwrap();
        let bytes: u64 = files
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum();
        println!("replica {replica}: {bytes} bytes on disk");
        assert!(bytes <= FILES, "replica {replica}: {bytes} bytes");
    }
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
