//! The current program reads a database of an earlier version that was killed, so that its
//! write-ahead log is not checkpointed.
//!
//! `stored/` was written by version 0.1.0 as the only replica, in zone `z1`: three items were set,
//! one of them was removed, and an evacuation of the zone was begun.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use control::disk;
use emulator::system::client::call;
use emulator::system::machines::{Layout, Machines, Role, unused_net, zones};
use emulator::system::wait_for;
use serde_json::{Value, json};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn stored_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored")
}

/// Copies the stored database, so that it is never written to.
fn copy_stored_database(folder: &Path) {
    std::fs::create_dir_all(folder).unwrap();
    for name in ["headworks.db", "headworks.db-wal"] {
        std::fs::copy(stored_folder().join(name), folder.join(name)).unwrap();
    }
}

#[test]
fn stored_database_is_reported_as_it_was_written() {
    let folder = TempDir::new().unwrap();
    copy_stored_database(folder.path());
    let report = serde_json::to_string_pretty(&disk::verify(folder.path()).unwrap()).unwrap();
    insta::assert_snapshot!("stored-report", report);
}

#[test]
fn program_reads_a_stored_database() {
    let folder = TempDir::new().unwrap();
    let plan = Layout {
        folder: folder.path().to_path_buf(),
        programs_folder: Path::new(PROGRAM).parent().unwrap().to_path_buf(),
        net: unused_net(),
        zones: zones(1),
        edges: 0,
        platform: "127.0.0.1:9".parse().unwrap(),
        per_s: 1,
    };
    let mut machines = Machines::new(plan).unwrap();
    copy_stored_database(&folder.path().join("disk-0"));
    machines.write_settings(Role::Control, 0, false).unwrap();
    machines.start(Role::Control, 0).unwrap();
    let get_json = |path: &str| {
        let response = call(machines.ctl(0), "GET", path, "", b"", deadline()).ok()?;
        (response.status == 200).then(|| serde_json::from_slice::<Value>(response.body()).unwrap())
    };
    let configuration = wait_for(deadline(), || get_json("/api/cfg/get"));
    let expected = json!({"objs": [
        {"type": "routes", "meta": {"name": "reads", "ver": 4}, "spec": {"host": "h", "prefix": "/p/", "kind": "idem",
         "timeout": "3000ms", "target_time": "500ms", "svc": "records"}},
        {"type": "svcs", "meta": {"name": "records", "ver": 3}, "spec": {"hcheck": "/h", "maxconn": 110}}
    ]});
    assert_eq!(
        configuration,
        Some(expected),
        "{}",
        machines.log(Role::Control, 0)
    );
    let status = get_json("/api/status").unwrap();
    // The removed item and the evacuation of the zone count as items as well; each start of the
    // process increments the run number.
    assert_eq!(
        (&status["items"], &status["incarnation"], &status["run"]),
        (&json!(4), &json!(1), &json!(2))
    );
}
