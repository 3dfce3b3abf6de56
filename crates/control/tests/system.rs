//! The built programs as a system on loopback: what operators are told holds in the proxies, and
//! survives all kills.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, call};
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{HOST, READ_PREFIX, SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use serde_json::json;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn whole(folder: &TempDir) -> TestSystem {
    whole_of(
        folder,
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
    )
}

fn whole_of(folder: &TempDir, programs: &Path) -> TestSystem {
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    TestSystem::start(folder.path(), programs, size, soon()).unwrap()
}

#[test]
fn acknowledged_change_is_served_and_read_back() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    assert_eq!(whole.served_by(0, "/read/1").as_deref(), Some(SERVICES[0]));
    let change = Change::default()
        .set("routes", "reads", 5, route(READ_PREFIX, SERVICES[1]))
        .set("routes", "more", 2, route("/more/", SERVICES[1]))
        .drop("routes", "writes", 3);
    whole.operator.change(&change, soon()).unwrap();
    let until = soon();
    for edge in 0..whole.machines.edges() {
        let moved =
            || (whole.served_by(edge, "/read/2").as_deref() == Some(SERVICES[1])).then_some(());
        assert!(
            wait_for(until, moved).is_some(),
            "edge {edge} goes by what was before"
        );
        assert_eq!(
            whole.served_by(edge, "/more/1").as_deref(),
            Some(SERVICES[1])
        );
        assert_eq!(whole.send_request(edge, "/write/1").unwrap().status, 404);
    }
    // Without effect: a lower version, which is valid, and a call that is invalid in one part.
    let older = Change::default().set("routes", "reads", 4, route(READ_PREFIX, SERVICES[0]));
    whole.operator.change(&older, soon()).unwrap();
    let wrong = Change::default()
        .set("routes", "more", 9, route("/more/", SERVICES[0]))
        .set(
            "routes",
            "wrong",
            9,
            json!({"host": HOST, "prefix": "wrong"}),
        );
    assert!(
        whole
            .operator
            .change(&wrong, soon())
            .unwrap_err()
            .contains("400")
    );
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn truncated_call_has_no_effect() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    let route = route("/cut/", SERVICES[1]);
    let text =
        json!({"upsert": {"objs": [{"type": "routes", "meta": {"name": "cut", "ver": 9}, "spec": route}]}})
            .to_string();
    let (part, length) = (&text[..text.len() - 20], text.len());
    // Its length announces more, and the operator is gone; then one that is complete by its length
    // alone.
    for (length, status) in [(length, None), (part.len(), Some(400))] {
        let mut connection = Connection::open(whole.machines.ctl(0), soon()).unwrap();
        let head = format!(
            "POST /api/cfg/patch HTTP/1.1\r\nHost: core\r\nContent-Length: {length}\r\n\r\n"
        );
        connection
            .send(format!("{head}{part}").as_bytes(), soon())
            .unwrap();
        if let Some(status) = status {
            assert_eq!(connection.read_reply(soon()).unwrap().status, status);
        }
    }
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.send_request(0, "/cut/1").unwrap().status, 404);
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn acknowledged_items_survive_a_kill_of_all_programs() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    let change = Change::default().set("routes", "reads", 2, route(READ_PREFIX, SERVICES[1]));
    whole.operator.change(&change, soon()).unwrap();
    (0..whole.machines.cores()).for_each(|number| whole.machines.kill(Role::Control, number));
    // Proxies serve on by what they know, whatever that is.
    assert!(whole.served_by(0, "/read/1").is_some());
    whole.machines.start_cores().unwrap();
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    let until = soon();
    for edge in 0..whole.machines.edges() {
        let moved =
            || (whole.served_by(edge, "/read/2").as_deref() == Some(SERVICES[1])).then_some(());
        assert!(
            wait_for(until, moved).is_some(),
            "edge {edge} goes by what was before"
        );
    }
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn recovery_from_a_lost_disk_is_logged_at_once_by_all() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    whole.machines.kill(Role::Control, 2);
    std::fs::remove_dir_all(folder.path().join("disk-2")).unwrap();
    whole
        .machines
        .write_settings(Role::Control, 2, false)
        .unwrap();
    whole.machines.start(Role::Control, 2).unwrap();
    // By the programs' own log lines, as the runbook says: none of them has met an error.
    for (replica, line) in [
        (2, "INFO recovery completed incarnation=2 items="),
        (
            0,
            "INFO replica begins a new incarnation replica=2 incarnation=2 peer=",
        ),
    ] {
        let said = || {
            whole
                .machines
                .log(Role::Control, replica)
                .contains(line)
                .then_some(())
        };
        assert!(
            wait_for(soon(), said).is_some(),
            "{:?}",
            whole.machines.log(Role::Control, replica)
        );
    }
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

/// The built programs, each started with SIGXFSZ ignored: only then is a write beyond a limit an
/// error.
fn programs_that_may_be_limited(folder: &TempDir) -> std::path::PathBuf {
    let (programs, built) = (
        folder.path().join("programs"),
        built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
    );
    std::fs::create_dir(&programs).unwrap();
    for role in [Role::Control, Role::Agent, Role::Proxy] {
        let (path, program) = (programs.join(role.program()), built.join(role.program()));
        let text = format!(
            "#!/bin/sh\ntrap '' XFSZ\nexec '{}' \"$@\"\n",
            program.display()
        );
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::os::unix::fs::PermissionsExt::from_mode(0o755))
            .unwrap();
    }
    programs
}

#[test]
fn replica_reports_a_full_disk_and_resumes_by_itself() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole_of(&folder, &programs_that_may_be_limited(&folder));
    let at = whole.machines.ctl(0);
    let patch = |ver: u64, svc: &str| {
        let object = json!({"type": "routes", "meta": {"name": "full", "ver": ver}, "spec": route("/full/", svc)});
        let body = json!({"upsert": {"objs": [object]}}).to_string();
        call(at, "POST", "/api/cfg/patch", "", body.as_bytes(), soon()).unwrap()
    };
    let says = |whole: &TestSystem, line: &str| {
        let said = || {
            whole
                .machines
                .log(Role::Control, 0)
                .contains(line)
                .then_some(())
        };
        assert!(
            wait_for(soon(), said).is_some(),
            "{line}: {}",
            whole.machines.log(Role::Control, 0)
        );
    };
    assert_eq!(patch(1, SERVICES[0]).status, 200);
    // Its log can't grow, and all writes go to its end.
    let length = std::fs::metadata(folder.path().join("disk-0/headworks.db-wal"))
        .unwrap()
        .len();
    whole
        .machines
        .limit_file_size(Role::Control, 0, Some(length))
        .unwrap();
    let refused = wait_for(soon(), || {
        Some(patch(2, SERVICES[1])).filter(|reply| reply.status == 503)
    });
    let refused = refused
        .expect("its disk is full, and it takes writes")
        .text()
        .to_string();
    assert!(
        refused.contains("the disk of this replica is full or fails"),
        "{refused}"
    );
    says(&whole, "ERRO disk rejects writes, retrying");
    // The others are enough, and what they decide holds here too.
    let change = Change::default().set("routes", "full", 3, route("/full/", SERVICES[1]));
    whole.operator.change(&change, soon()).unwrap();
    let shows = || {
        let reply = call(at, "GET", "/api/cfg/get", "", b"", soon()).ok()?;
        (reply.status == 200
            && reply.text().contains("/full/")
            && reply.text().contains(r#""ver":3"#))
        .then_some(())
    };
    assert!(wait_for(soon(), shows).is_some());
    whole
        .machines
        .limit_file_size(Role::Control, 0, None)
        .unwrap();
    says(&whole, "INFO disk accepts writes again");
    assert_eq!(patch(4, SERVICES[0]).status, 200);
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn proxy_that_connected_while_its_agent_had_no_descriptors_becomes_ready() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    let machines = &mut whole.machines;
    machines.refuse_connections(Role::Agent, 0, true).unwrap();
    machines.kill(Role::Proxy, 0);
    machines.start(Role::Proxy, 0).unwrap();
    // It has called its agent by the time at which it answers.
    let answers = || machines.answers_readiness_check(0).then_some(());
    assert!(wait_for(soon(), answers).is_some());
    machines.refuse_connections(Role::Agent, 0, false).unwrap();
    let ready = || machines.is_ready(0).then_some(());
    assert!(
        wait_for(soon(), ready).is_some(),
        "the agent was not told of it again"
    );
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn control_program_without_descriptors_does_not_spin_and_answers_afterwards() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    let machines = &whole.machines;
    machines.refuse_connections(Role::Control, 0, true).unwrap();
    let used = || machines.usage(Role::Control, 0).unwrap().cpu_time;
    let (before, address) = (used(), machines.ctl(0));
    // They are established by the system, and wait to be accepted.
    let mut waiting = Connection::open(address, soon()).unwrap();
    let call = b"GET /api/cfg/get HTTP/1.1\r\nHost: core\r\n\r\n";
    waiting.send(call, soon()).unwrap();
    let most = Duration::from_millis(400);
    let spins = || (used() - before > most).then_some(());
    let span = Instant::now() + Duration::from_millis(1_000);
    assert!(
        wait_for(span, spins).is_none(),
        "it uses the processor while it waits"
    );
    machines
        .refuse_connections(Role::Control, 0, false)
        .unwrap();
    assert_eq!(waiting.read_reply(soon()).unwrap().status, 200);
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
