//! The built programs with one control program cut off: it stalls for a while, or hears no others.

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

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn whole(folder: &TempDir) -> TestSystem {
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_control")), env!("CARGO"));
    TestSystem::start(
        folder.path(),
        &programs,
        Size {
            zones: 3,
            edges: 1,
            net: unused_net(),
        },
        soon(),
    )
    .unwrap()
}

fn asked(whole: &TestSystem, replica: usize, method: &str, path: &str, body: &str) -> Reply {
    call(
        whole.machines.ctl(replica),
        method,
        path,
        "",
        body.as_bytes(),
        soon(),
    )
    .unwrap()
}

/// How a replica sees the system; `None` while it does not answer.
fn status(whole: &TestSystem, replica: usize) -> Value {
    let until = Instant::now() + Duration::from_millis(500);
    let reply = call(
        whole.machines.ctl(replica),
        "GET",
        "/api/status",
        "",
        b"",
        until,
    );
    reply
        .ok()
        .and_then(|reply| serde_json::from_slice(reply.body()).ok())
        .unwrap_or_default()
}

fn until(wanted: impl Fn() -> bool, what: &str) {
    assert!(
        wait_for(soon(), || wanted().then_some(())).is_some(),
        "{what}"
    );
}

#[test]
fn stalled_call_is_not_applied_after_later_ones() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    until(|| status(&whole, 2)["in_touch"] == true, "it is in touch");
    whole.machines.pause(Role::Control, 2);
    let (stopped, stood) = (
        Instant::now(),
        Duration::from_micros(STALL_THRESHOLD as u64 + 100_000),
    );
    let mut late = Connection::open(whole.machines.ctl(2), soon()).unwrap();
    let order = b"POST /api/drain/z1/begin HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n";
    late.send(order, soon()).unwrap();
    // Without an answer the operator gives up and has the call made elsewhere; then the evacuation
    // is ended.
    drop(late);
    for begin in [true, false] {
        whole
            .operator
            .set_zone_evacuation("z1", begin, soon())
            .unwrap();
    }
    let digest = status(&whole, 0)["digest"].clone();
    assert!(digest.is_string(), "{}", status(&whole, 0));
    let misses = |whole: &TestSystem| status(whole, 0)["replicas"][2]["heard"] == false;
    until(
        || misses(&whole) && stopped.elapsed() > stood,
        "the others miss it, and it stood still for long enough",
    );
    whole.machines.resume(Role::Control, 2);
    until(
        || !misses(&whole) && status(&whole, 2)["in_touch"] == true,
        "it is back",
    );
    // What it accepted before would be chosen within a second, the time allowed for a call.
    let end = Instant::now() + Duration::from_millis(1_200);
    let chosen = || status(&whole, 0)["digest"].clone();
    assert_eq!(
        wait_for(end, || Some(chosen()).filter(|chosen| *chosen != digest)),
        None
    );
    assert!(
        whole
            .machines
            .log(Role::Control, 2)
            .contains("process stalled, closing all links")
    );
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn isolated_replica_neither_rejects_nor_acknowledges() {
    let folder = TempDir::new().unwrap();
    let mut whole = whole(&folder);
    (0..2).for_each(|replica| whole.machines.kill(Role::Control, replica));
    until(
        || status(&whole, 2)["in_touch"] == false,
        "it is out of touch",
    );
    let object = json!({"type": "routes", "meta": {"name": "new", "ver": 1}, "spec": route("/new/", "unheard-of")});
    let refers = json!({"upsert": {"objs": [object]}}).to_string();
    for (method, path, body) in [
        ("POST", "/api/cfg/patch", refers.as_str()),
        ("POST", "/api/cfg/patch", "{"),
        ("GET", "/api/cfg/get", ""),
        ("POST", "/api/drain/z1/begin", ""),
    ] {
        let begun = Instant::now();
        let reply = asked(&whole, 2, method, path, body);
        assert_eq!((reply.status, path), (503, path), "{}", reply.text());
        assert!(
            begun.elapsed() < Duration::from_secs(1),
            "a caller asks the next one after that"
        );
    }
    let lookup = call(
        whole.machines.dir(2),
        "GET",
        "/api/lookup?name=x&region=r3",
        "",
        b"",
        soon(),
    )
    .unwrap();
    assert!(lookup.status == 200 && lookup.text().contains(&whole.machines.http(2).to_string()));
    // The edges are ready and serve by what they know.
    for edge in 0..whole.machines.edges() {
        assert!(
            whole.machines.is_ready(edge) && whole.served_by(edge, "/read/1").is_some(),
            "edge {edge}"
        );
    }
    (0..2).for_each(|replica| whole.machines.start(Role::Control, replica).unwrap());
    let change = Change::default().set("routes", "reads", 2, route(READ_PREFIX, SERVICES[1]));
    whole.operator.change(&change, soon()).unwrap();
    assert_eq!(whole.operator.differences(soon()), Ok(Vec::new()));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
