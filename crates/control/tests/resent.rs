//! The built control programs: two operators set different contents of one version at two replicas
//! at once, and an acknowledged call is retried at every replica after restarts, disk losses and
//! other changes.

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

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// Retries a call at the same replica until the status is final (below 500), and gives the status.
fn call_until_final(address: SocketAddr, path: &str, body: &str) -> u16 {
    let attempt = || {
        let reply = call(address, "POST", path, "", body.as_bytes(), deadline()).ok()?;
        (reply.status < 500).then_some(reply.status)
    };
    wait_for(deadline(), attempt).expect("no final status in time")
}

fn patch(address: SocketAddr, body: &Value) -> u16 {
    call_until_final(address, "/api/cfg/patch", &body.to_string())
}

/// A service and a route to it, by version and by the operator who set them.
fn service_and_route(ver: u64, operator: u32) -> Value {
    let prefix = format!("/ours-{operator}/");
    json!({"upsert": {"objs": [
        {"type": "svcs", "meta": {"name": "ours", "ver": ver}, "spec": {"hcheck": "/h", "maxconn": 100 + operator}},
        {"type": "routes", "meta": {"name": "ours", "ver": ver}, "spec": route(&prefix, "ours")},
    ]}})
}

struct Replicas(TestSystem);

impl Replicas {
    fn operator_addresses(&self) -> Vec<SocketAddr> {
        (0..self.0.machines.cores())
            .map(|number| self.0.machines.ctl(number))
            .collect()
    }

    /// Sends a call to every replica, and checks the status.
    #[track_caller]
    fn assert_status_everywhere(&self, body: &Value, status: u16, when: &str) {
        for (number, address) in self.operator_addresses().into_iter().enumerate() {
            assert_eq!(patch(address, body), status, "replica {number} {when}");
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
    let mut replicas =
        Replicas(TestSystem::start(folder.path(), &programs, size, deadline()).unwrap());
    let ctl = replicas.operator_addresses();
    for ver in 2..5 {
        let start = Barrier::new(2);
        let send = |operator: usize| {
            start.wait();
            patch(ctl[operator], &service_and_route(ver, operator as u32))
        };
        let statuses = std::thread::scope(|scope| {
            let threads = [0, 1].map(|operator| scope.spawn(move || send(operator)));
            threads.map(|thread| thread.join().unwrap())
        });
        assert!(
            statuses == [200, 409] || statuses == [409, 200],
            "{statuses:?} for version {ver}"
        );
        let (accepted, rejected) = if statuses[0] == 200 { (0, 1) } else { (1, 0) };
        replicas.assert_status_everywhere(&service_and_route(ver, accepted), 200, "at once");
        replicas.assert_status_everywhere(
            &service_and_route(ver, rejected),
            409,
            "for the other operator",
        );
    }
    let accepted = (0..2)
        .find(|operator| patch(ctl[2], &service_and_route(4, *operator)) == 200)
        .unwrap();
    let accepted = service_and_route(4, accepted);
    for action in ["begin", "finish", "begin"] {
        assert_eq!(
            call_until_final(
                ctl[1],
                &format!("/api/drain/{}/{action}", zones(3)[2].0),
                ""
            ),
            200
        );
    }
    replicas.assert_status_everywhere(&accepted, 200, "after evacuations");
    (0..ctl.len()).for_each(|number| replicas.0.machines.kill(Role::Control, number));
    replicas.0.machines.start_cores().unwrap();
    replicas.assert_status_everywhere(&accepted, 200, "after all were killed");
    replicas.0.machines.kill(Role::Control, 2);
    std::fs::remove_dir_all(folder.path().join("disk-2")).unwrap();
    replicas
        .0
        .machines
        .write_settings(Role::Control, 2, false)
        .unwrap();
    replicas.0.machines.start(Role::Control, 2).unwrap();
    replicas.assert_status_everywhere(&accepted, 200, "after a disk was lost");
    for ver in 1..=60 {
        let other = json!({"type": "routes", "meta": {"name": "other", "ver": ver}, "spec": route("/other/", SERVICES[0])});
        assert_eq!(
            patch(ctl[ver % 3], &json!({"upsert": {"objs": [other]}})),
            200
        );
    }
    replicas.assert_status_everywhere(&accepted, 200, "after sixty changes of another item");
    for kind in ["routes", "svcs"] {
        let removal = json!({"remove": {kind: [{"name": "ours", "ver": 5}]}});
        replicas.assert_status_everywhere(&removal, 200, "on removal");
    }
    replicas.assert_status_everywhere(&accepted, 200, "after all its items were removed");
    assert_eq!(replicas.0.machines.stop(), Vec::<String>::new());
}

/// The number of items in force, by a quorum read.
fn items_in_force(address: SocketAddr) -> u64 {
    let reply = call(address, "GET", "/api/cfg/get", "", b"", deadline()).unwrap();
    let configuration: Value = serde_json::from_slice(reply.body()).unwrap();
    configuration["objs"].as_array().unwrap().len() as u64
}

/// The number of items that a replica knows to be chosen, evacuations included.
fn chosen_count(address: SocketAddr) -> u64 {
    let reply = call(address, "GET", "/api/status", "", b"", deadline()).unwrap();
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
    let mut system = TestSystem::start(folder.path(), &programs, size, deadline()).unwrap();
    let address = system.machines.ctl(0);
    // The first call may have been acknowledged by another replica: this one learns its items a little later.
    let items = items_in_force(address);
    let knows_all = || (chosen_count(address) == items).then_some(());
    assert!(wait_for(deadline(), knows_all).is_some());
    // The first sender has disconnected when the replica resumes, the second one still waits for
    // its answer.
    for (disconnects, zone) in [(true, 1), (false, 2)] {
        let count_before = chosen_count(address);
        system.machines.pause(Role::Control, 0);
        let mut sender = Connection::open(address, deadline()).unwrap();
        let path = format!("/api/drain/{}/begin", zones(3)[zone].0);
        let request = format!("POST {path} HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n");
        sender.send(request.as_bytes(), deadline()).unwrap();
        let sender = (!disconnects).then_some(sender);
        system.machines.resume(Role::Control, 0);
        // Later calls complete only after the pending one was handled.
        for ver in 1..=5 {
            assert_eq!(
                patch(address, &change_of_limits(ver + zone as u64 * 10)),
                200
            );
        }
        if let Some(mut sender) = sender {
            // Until the replica has quorum contact again it answers 503, and the call is retried.
            let status = sender.read_reply(deadline()).unwrap().status;
            assert!(
                status == 200 || call_until_final(address, &path, "") == 200,
                "{status}"
            );
        }
        assert_eq!(
            chosen_count(address) - count_before,
            u64::from(!disconnects),
            "the sender has disconnected: {disconnects}"
        );
    }
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

/// A change of an item that exists in every configuration.
fn change_of_limits(ver: u64) -> Value {
    let spec =
        json!({"hdr_bytes": 16384, "body_bytes": 1_048_576, "hdr": "3000ms", "idle": "15000ms"});
    json!({"upsert": {"objs": [{"type": "limits", "meta": {"ver": ver}, "spec": spec}]}})
}
