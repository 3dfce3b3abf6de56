//! The built programs with one isolated control program: it stalls for a while, or has no quorum.

use std::path::Path;
use std::time::{Duration, Instant};

use control::limits::STALL_THRESHOLD;
use emulator::system::client::{Connection, Reply, call};
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{READ_PREFIX, SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use serde_json::{Value, json};
use tempfile::TempDir;

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn start_system(folder: &TempDir) -> TestSystem {
    start_system_of(folder, 3)
}

fn start_system_of(folder: &TempDir, zones: usize) -> TestSystem {
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_control")), env!("CARGO"));
    TestSystem::start(
        folder.path(),
        &programs,
        Size {
            zones,
            edges: 1,
            net: unused_net(),
        },
        deadline(),
    )
    .unwrap()
}

fn send_call(system: &TestSystem, replica: usize, method: &str, path: &str, body: &str) -> Reply {
    call(
        system.machines.ctl(replica),
        method,
        path,
        "",
        body.as_bytes(),
        deadline(),
    )
    .unwrap()
}

/// The status that a replica reports; null while it does not answer.
fn status(system: &TestSystem, replica: usize) -> Value {
    let reply_deadline = Instant::now() + Duration::from_millis(500);
    let reply = call(
        system.machines.ctl(replica),
        "GET",
        "/api/status",
        "",
        b"",
        reply_deadline,
    );
    reply
        .ok()
        .and_then(|reply| serde_json::from_slice(reply.body()).ok())
        .unwrap_or_default()
}

fn wait_until(condition: impl Fn() -> bool, description: &str) {
    assert!(
        wait_for(deadline(), || condition().then_some(())).is_some(),
        "not reached: {description}"
    );
}

#[test]
fn stalled_call_is_not_applied_after_later_ones() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    wait_until(
        || status(&system, 2)["in_touch"] == true,
        "the replica has quorum contact",
    );
    system.machines.pause(Role::Control, 2);
    let (stalled_at, min_stall) = (
        Instant::now(),
        Duration::from_micros(STALL_THRESHOLD as u64 + 100_000),
    );
    let mut connection = Connection::open(system.machines.ctl(2), deadline()).unwrap();
    let request = b"POST /api/drain/z1/begin HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n";
    connection.send(request, deadline()).unwrap();
    // The operator gets no answer and retries the call at another replica; then the evacuation is
    // ended.
    drop(connection);
    for begin in [true, false] {
        system
            .operator
            .set_zone_evacuation("z1", begin, deadline())
            .unwrap();
    }
    let digest = status(&system, 0)["digest"].clone();
    assert!(digest.is_string(), "{}", status(&system, 0));
    let is_missing = |system: &TestSystem| status(system, 0)["replicas"][2]["heard"] == false;
    wait_until(
        || is_missing(&system) && stalled_at.elapsed() > min_stall,
        "the others have noticed the stall, and it lasted for longer than the threshold",
    );
    system.machines.resume(Role::Control, 2);
    wait_until(
        || !is_missing(&system) && status(&system, 2)["in_touch"] == true,
        "the replica has quorum contact again",
    );
    // A change from the stalled call would be chosen within a second, the timeout of a call.
    let window_end = Instant::now() + Duration::from_millis(1_200);
    let chosen = || status(&system, 0)["digest"].clone();
    assert_eq!(
        wait_for(window_end, || Some(chosen())
            .filter(|chosen| *chosen != digest)),
        None
    );
    assert!(
        system
            .machines
            .log(Role::Control, 2)
            .contains("process stalled, closing all links")
    );
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn isolated_replica_neither_rejects_nor_acknowledges() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    (0..2).for_each(|replica| system.machines.kill(Role::Control, replica));
    wait_until(
        || status(&system, 2)["in_touch"] == false,
        "the replica has no quorum contact",
    );
    let object = json!({"type": "routes", "meta": {"name": "new", "ver": 1}, "spec": route("/new/", "unheard-of")});
    let unknown_service = json!({"upsert": {"objs": [object]}}).to_string();
    for (method, path, body) in [
        ("POST", "/api/cfg/patch", unknown_service.as_str()),
        ("POST", "/api/cfg/patch", "{"),
        ("GET", "/api/cfg/get", ""),
        ("POST", "/api/drain/z1/begin", ""),
    ] {
        let started_at = Instant::now();
        let reply = send_call(&system, 2, method, path, body);
        assert_eq!((reply.status, path), (503, path), "{}", reply.text());
        assert!(
            started_at.elapsed() < Duration::from_secs(1),
            "a caller retries at another replica after one second"
        );
    }
    let lookup = call(
        system.machines.dir(2),
        "GET",
        "/api/lookup?name=x&region=r3",
        "",
        b"",
        deadline(),
    )
    .unwrap();
    assert!(lookup.status == 200 && lookup.text().contains(&system.machines.http(2).to_string()));
    // The edges stay ready and serve by their last configuration.
    for edge in 0..system.machines.edges() {
        assert!(
            system.machines.is_ready(edge) && system.served_by(edge, "/read/1").is_some(),
            "edge {edge}"
        );
    }
    (0..2).for_each(|replica| system.machines.start(Role::Control, replica).unwrap());
    let change = Change::default().set("routes", "reads", 2, route(READ_PREFIX, SERVICES[1]));
    system.operator.change(&change, deadline()).unwrap();
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

/// Kills the programs of an edge and starts them again; waits until it serves requests.
fn assert_serves_after_a_restart(system: &mut TestSystem, edge: usize) {
    for role in [Role::Agent, Role::Proxy] {
        system.machines.kill(role, edge);
        system.machines.start(role, edge).unwrap();
    }
    let is_served =
        || (system.served_by(edge, "/read/1").as_deref() == Some(SERVICES[0])).then_some(());
    assert!(
        wait_for(deadline(), is_served).is_some(),
        "edge {edge} answers {:?}",
        system
            .send_request(edge, "/read/1")
            .map(|reply| reply.text().to_string())
    );
}

/// Guards against edges that wait for a quorum before they serve anything.
#[test]
fn restarted_edge_serves_by_the_snapshot_of_a_replica_that_has_lost_its_quorum() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    kill_quorum(&mut system, 1..3);
    assert_serves_after_a_restart(&mut system, 0);
    assert_serves_after_a_restart(&mut system, 2);
}

/// Kills these control programs, once the first one has caught up and so can send snapshots.
fn kill_quorum(system: &mut TestSystem, replicas: std::ops::Range<usize>) {
    wait_until(
        || status(system, 0)["caught_up"] == true,
        "the replica that is left has caught up",
    );
    for replica in replicas {
        system.machines.kill(Role::Control, replica);
    }
    wait_until(
        || status(system, 0)["in_touch"] == false,
        "it has lost its quorum",
    );
}

/// As above, where the replica of the edge's zone has restarted and can't tell what it lacks: another one can.
#[test]
fn restarted_edge_serves_by_a_snapshot_although_the_replica_of_its_zone_has_restarted() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system_of(&folder, 5);
    kill_quorum(&mut system, 2..5);
    system.machines.kill(Role::Control, 1);
    system.machines.start(Role::Control, 1).unwrap();
    wait_until(
        || status(&system, 1)["in_touch"] == false,
        "the other replica has restarted",
    );
    for edge in [0, 1, 4] {
        assert_serves_after_a_restart(&mut system, edge);
    }
}
