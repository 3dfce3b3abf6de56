//! The built control programs: two operators under one number at two replicas at once, and an
//! accepted call sent again at every replica, whatever happened in between.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Barrier;
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, call};
use emulator::system::machines::{Role, built_programs_folder, unused_net, zones};
use emulator::system::test_system::{SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use serde_json::{Value, json};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// Sends a call until it has a definite answer, always to the same replica.
fn clear(at: SocketAddr, path: &str, body: &str) -> u16 {
    let once = || {
        let reply = call(at, "POST", path, "", body.as_bytes(), soon()).ok()?;
        (reply.status < 500).then_some(reply.status)
    };
    wait_for(soon(), once).expect("no clear answer")
}

fn patch(at: SocketAddr, body: &Value) -> u16 {
    clear(at, "/api/cfg/patch", &body.to_string())
}

/// A service and a route to it, by version and by the operator who set them.
fn order(ver: u64, operator: u32) -> Value {
    let prefix = format!("/ours-{operator}/");
    json!({"upsert": {"objs": [
        {"type": "svcs", "meta": {"name": "ours", "ver": ver}, "spec": {"hcheck": "/h", "maxconn": 100 + operator}},
        {"type": "routes", "meta": {"name": "ours", "ver": ver}, "spec": route(&prefix, "ours")},
    ]}})
}

struct Replicas(TestSystem);

impl Replicas {
    fn ctl(&self) -> Vec<SocketAddr> {
        (0..self.0.machines.cores())
            .map(|number| self.0.machines.ctl(number))
            .collect()
    }

    /// The answers of all replicas.
    #[track_caller]
    fn everywhere(&self, body: &Value, status: u16, when: &str) {
        for (number, at) in self.ctl().into_iter().enumerate() {
            assert_eq!(patch(at, body), status, "replica {number} {when}");
        }
    }
}

#[test]
fn one_of_two_contents_stays_acknowledged_on_repeats() {
    let folder = TempDir::new().unwrap();
    let size = Size {
        zones: 3,
        edges: 0,
        net: unused_net(),
    };
    let programs = built_programs_folder(Path::new(PROGRAM), env!("CARGO"));
    let mut replicas = Replicas(TestSystem::start(folder.path(), &programs, size, soon()).unwrap());
    let ctl = replicas.ctl();
    for ver in 2..5 {
        let start = Barrier::new(2);
        let send = |operator: usize| {
            start.wait();
            patch(ctl[operator], &order(ver, operator as u32))
        };
        let statuses = std::thread::scope(|scope| {
            let both = [0, 1].map(|operator| scope.spawn(move || send(operator)));
            both.map(|one| one.join().unwrap())
        });
        assert!(
            statuses == [200, 409] || statuses == [409, 200],
            "{statuses:?} for version {ver}"
        );
        let (taken, refused) = if statuses[0] == 200 { (0, 1) } else { (1, 0) };
        replicas.everywhere(&order(ver, taken), 200, "at once");
        replicas.everywhere(&order(ver, refused), 409, "to the other one");
    }
    let taken = (0..2)
        .find(|operator| patch(ctl[2], &order(4, *operator)) == 200)
        .unwrap();
    let taken = order(4, taken);
    for zone in ["begin", "finish", "begin"] {
        assert_eq!(
            clear(ctl[1], &format!("/api/drain/{}/{zone}", zones(3)[2].0), ""),
            200
        );
    }
    replicas.everywhere(&taken, 200, "after evacuations");
    (0..ctl.len()).for_each(|number| replicas.0.machines.kill(Role::Control, number));
    replicas.0.machines.start_cores().unwrap();
    replicas.everywhere(&taken, 200, "after all were killed");
    replicas.0.machines.kill(Role::Control, 2);
    std::fs::remove_dir_all(folder.path().join("disk-2")).unwrap();
    replicas
        .0
        .machines
        .write_settings(Role::Control, 2, false)
        .unwrap();
    replicas.0.machines.start(Role::Control, 2).unwrap();
    replicas.everywhere(&taken, 200, "after a disk was lost");
    for ver in 1..=60 {
        let other = json!({"type": "routes", "meta": {"name": "other", "ver": ver}, "spec": route("/other/", SERVICES[0])});
        assert_eq!(
            patch(ctl[ver % 3], &json!({"upsert": {"objs": [other]}})),
            200
        );
    }
    replicas.everywhere(&taken, 200, "after sixty changes of another item");
    for kind in ["routes", "svcs"] {
        let gone = json!({"remove": {kind: [{"name": "ours", "ver": 5}]}});
        replicas.everywhere(&gone, 200, "as it is dropped");
    }
    replicas.everywhere(&taken, 200, "after all of it was dropped");
    assert_eq!(replicas.0.machines.stop(), Vec::<String>::new());
}

/// How many items a replica knows to be chosen, evacuations included.
fn items(at: SocketAddr) -> u64 {
    let reply = call(at, "GET", "/api/status", "", b"", soon()).unwrap();
    serde_json::from_slice::<Value>(reply.body()).unwrap()["items"]
        .as_u64()
        .unwrap()
}

#[test]
fn evacuation_of_a_disconnected_sender_is_dropped_after_a_stall() {
    let folder = TempDir::new().unwrap();
    let size = Size {
        zones: 3,
        edges: 0,
        net: unused_net(),
    };
    let programs = built_programs_folder(Path::new(PROGRAM), env!("CARGO"));
    let mut whole = TestSystem::start(folder.path(), &programs, size, soon()).unwrap();
    let at = whole.machines.ctl(0);
    // The first sender is gone when the replica resumes, the second one still waits for its answer.
    for (gone, zone) in [(true, 1), (false, 2)] {
        let before = items(at);
        whole.machines.pause(Role::Control, 0);
        let mut sender = Connection::open(at, soon()).unwrap();
        let path = format!("/api/drain/{}/begin", zones(3)[zone].0);
        let order = format!("POST {path} HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n");
        sender.send(order.as_bytes(), soon()).unwrap();
        let sender = (!gone).then_some(sender);
        whole.machines.resume(Role::Control, 0);
        // More calls follow, so that everything begun is finished.
        for ver in 1..=5 {
            assert_eq!(patch(at, &order_of_limits(ver + zone as u64 * 10)), 200);
        }
        if let Some(mut sender) = sender {
            // While it hears nobody yet it answers 503, and the call is sent again.
            let status = sender.read_reply(soon()).unwrap().status;
            assert!(status == 200 || clear(at, &path, "") == 200, "{status}");
        }
        assert_eq!(
            items(at) - before,
            u64::from(!gone),
            "the sender has left: {gone}"
        );
    }
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

/// A change of an item that exists from the start.
fn order_of_limits(ver: u64) -> Value {
    let spec =
        json!({"hdr_bytes": 16384, "body_bytes": 1_048_576, "hdr": "3000ms", "idle": "15000ms"});
    json!({"upsert": {"objs": [{"type": "limits", "meta": {"ver": ver}, "spec": spec}]}})
}
