//! The built programs as a system on loopback: an acknowledged change is served by the proxies, and
//! survives a kill of all programs.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, call};
use emulator::system::machines::{
    Role, built_programs_folder, programs_ignoring_file_size_signal, unused_net, zones,
};
use emulator::system::operator::Change;
use emulator::system::test_system::{
    HOST, READ_PREFIX, SERVICES, Size, TestSystem, route, server_config,
};
use emulator::system::wait_for;
use serde_json::json;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_control");

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn start_system(folder: &TempDir) -> TestSystem {
    start_system_with(
        folder,
        &built_programs_folder(Path::new(PROGRAM), env!("CARGO")),
    )
}

fn start_system_with(folder: &TempDir, programs: &Path) -> TestSystem {
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    TestSystem::start(folder.path(), programs, size, deadline()).unwrap()
}

#[test]
fn acknowledged_change_is_served_and_read_back() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    assert_eq!(system.served_by(0, "/read/1").as_deref(), Some(SERVICES[0]));
    let change = Change::default()
        .set("routes", "reads", 5, route(READ_PREFIX, SERVICES[1]))
        .set("routes", "more", 2, route("/more/", SERVICES[1]))
        .drop("routes", "writes", 3);
    system.operator.change(&change, deadline()).unwrap();
    let rerouted_deadline = deadline();
    for edge in 0..system.machines.edges() {
        let is_rerouted =
            || (system.served_by(edge, "/read/2").as_deref() == Some(SERVICES[1])).then_some(());
        assert!(
            wait_for(rerouted_deadline, is_rerouted).is_some(),
            "edge {edge} still serves by the previous configuration"
        );
        assert_eq!(
            system.served_by(edge, "/more/1").as_deref(),
            Some(SERVICES[1])
        );
        assert_eq!(system.send_request(edge, "/write/1").unwrap().status, 404);
    }
    // Neither has an effect: a valid change with a lower version, and a call of which one part is
    // invalid.
    let older = Change::default().set("routes", "reads", 4, route(READ_PREFIX, SERVICES[0]));
    system.operator.change(&older, deadline()).unwrap();
    let invalid = Change::default()
        .set("routes", "more", 9, route("/more/", SERVICES[0]))
        .set(
            "routes",
            "wrong",
            9,
            json!({"host": HOST, "prefix": "wrong"}),
        );
    assert!(
        system
            .operator
            .change(&invalid, deadline())
            .unwrap_err()
            .contains("400")
    );
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn truncated_call_has_no_effect() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let route = route("/cut/", SERVICES[1]);
    let text =
        json!({"upsert": {"objs": [{"type": "routes", "meta": {"name": "cut", "ver": 9}, "spec": route}]}})
            .to_string();
    let (truncated, full_length) = (&text[..text.len() - 20], text.len());
    // First a body that is shorter than its Content-Length, from an operator that disconnects; then
    // one with a matching Content-Length that is truncated JSON.
    for (length, status) in [(full_length, None), (truncated.len(), Some(400))] {
        let mut connection = Connection::open(system.machines.ctl(0), deadline()).unwrap();
        let head = format!(
            "POST /api/cfg/patch HTTP/1.1\r\nHost: core\r\nContent-Length: {length}\r\n\r\n"
        );
        connection
            .send(format!("{head}{truncated}").as_bytes(), deadline())
            .unwrap();
        if let Some(status) = status {
            assert_eq!(connection.read_reply(deadline()).unwrap().status, status);
        }
    }
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.send_request(0, "/cut/1").unwrap().status, 404);
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn acknowledged_items_survive_a_kill_of_all_programs() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let change = Change::default().set("routes", "reads", 2, route(READ_PREFIX, SERVICES[1]));
    system.operator.change(&change, deadline()).unwrap();
    (0..system.machines.cores()).for_each(|number| system.machines.kill(Role::Control, number));
    // Proxies keep serving by their last configuration, whichever it is.
    assert!(system.served_by(0, "/read/1").is_some());
    system.machines.start_cores().unwrap();
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    let rerouted_deadline = deadline();
    for edge in 0..system.machines.edges() {
        let is_rerouted =
            || (system.served_by(edge, "/read/2").as_deref() == Some(SERVICES[1])).then_some(());
        assert!(
            wait_for(rerouted_deadline, is_rerouted).is_some(),
            "edge {edge} still serves by the previous configuration"
        );
    }
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

// Guards against servers that stay unknown where the platform's list has no length and ends with its connection.
#[test]
fn servers_of_a_list_without_a_length_are_known() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    system.fleet.omit_platform_lengths();
    let service =
        json!({"hcheck": "/healthz", "maxconn": 100, "warmup": "0s", "cold_rate_s": 50.0});
    let change = Change::default().set("svcs", "late", 2, service).set(
        "routes",
        "late",
        2,
        route("/late/", "late"),
    );
    system.operator.change(&change, deadline()).unwrap();
    let (zone, _) = &zones(3)[0];
    system
        .fleet
        .start_server(server_config("late", zone), true, None)
        .unwrap();
    let served_deadline = deadline();
    for edge in 0..system.machines.edges() {
        let is_served =
            || (system.served_by(edge, "/late/1").as_deref() == Some("late")).then_some(());
        assert!(
            wait_for(served_deadline, is_served).is_some(),
            "edge {edge} does not know the server"
        );
    }
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

/// Splits of a route's requests by computed weights, as JSON encoders print them, and keys with unusual values.
const SPLITS: [&str; 3] = [
    r#"[{"svc":"bakery","wt":0.09090909090909091},{"svc":"press","wt":0.9090909090909091}]"#,
    r#"[{"svc":"bakery","wt":0.07692307692307693},{"svc":"press","wt":0.9230769230769231,"note":1e400}]"#,
    r#"[{"svc":"bakery","wt":18446744073709551617},{"svc":"press","wt":1.0,"note":"\ud800"}]"#,
];

/// A route as operators send it and read it back.
fn split_route(version: u64, split: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"split","ver":{version}}},"spec":{{"host":"{HOST}","prefix":"/split/","kind":"idem","timeout":"3000ms","target_time":"500ms","split":{split},"public":true}}}}"#
    )
}

// Guards against items that are read back with other content than was acknowledged, from any replica, also after their disks
// were read again, one was lost, and after a repeated call.
#[test]
fn items_are_read_back_from_all_replicas_as_they_were_sent() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let patch = |system: &TestSystem, replica: usize, object: &str| {
        let body = format!(r#"{{"upsert":{{"objs":[{object}]}}}}"#);
        let address = system.machines.ctl(replica);
        call(
            address,
            "POST",
            "/api/cfg/patch",
            "",
            body.as_bytes(),
            deadline(),
        )
        .unwrap()
        .status
    };
    let expect_read_back = |system: &TestSystem, object: &str| {
        for replica in 0..system.machines.cores() {
            let address = system.machines.ctl(replica);
            let is_read_back = || {
                let reply = call(address, "GET", "/api/cfg/get", "", b"", deadline()).ok()?;
                (reply.status == 200).then(|| {
                    assert!(
                        reply.text().contains(object),
                        "{object} in {}",
                        reply.text()
                    )
                })
            };
            assert!(
                wait_for(deadline(), is_read_back).is_some(),
                "replica {replica}"
            );
        }
    };
    for (version, split) in (2..).zip(SPLITS) {
        let object = split_route(version, split);
        assert_eq!(patch(&system, 0, &object), 200);
        expect_read_back(&system, &object);
        // What was read back can be sent again; another content under its version can't.
        assert_eq!(patch(&system, 1, &object), 200);
        let other = object.replacen("0.0", "0.00", 1).replacen("617", "618", 1);
        assert_ne!(other, object);
        assert_eq!(patch(&system, 2, &other), 409);
        expect_read_back(&system, &object);
    }
    let newest = split_route(SPLITS.len() as u64 + 1, SPLITS[SPLITS.len() - 1]);
    (0..system.machines.cores()).for_each(|replica| system.machines.kill(Role::Control, replica));
    system.machines.start_cores().unwrap();
    expect_read_back(&system, &newest);
    system.machines.lose_disk(1).unwrap();
    system.machines.start(Role::Control, 1).unwrap();
    expect_read_back(&system, &newest);
}

// Guards against a control program that ends with a stack overflow when one connection brings many calls at once.
#[test]
fn many_calls_at_once_on_one_connection_are_all_answered() {
    const CALLS: usize = 30_000;
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    for (address, path) in [
        (system.machines.dir(0), "/api/lookup?region=r1"),
        (system.machines.ctl(1), "/api/nothing"),
    ] {
        let stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let mut sender = stream.try_clone().unwrap();
        let calls = format!("GET {path} HTTP/1.1\r\nHost: core\r\n\r\n").repeat(CALLS);
        let answered = std::thread::scope(|scope| {
            scope.spawn(move || sender.write_all(calls.as_bytes()).unwrap());
            let lines = BufReader::new(stream).lines().map_while(Result::ok);
            lines
                .filter(|line| line.starts_with("Content-Length: "))
                .take(CALLS)
                .count()
        });
        assert_eq!(answered, CALLS, "{path}");
    }
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

/// The edges that a replica names to clients of a region, by their indices; `None` if it names none or does not answer.
fn looked_up_edges(system: &TestSystem, replica: usize, region: &str) -> Option<Vec<usize>> {
    let path = format!("/api/lookup?name={HOST}&region={region}&zone=z");
    let address = system.machines.dir(replica);
    let reply = call(address, "GET", &path, "", b"", deadline()).ok()?;
    let is_named = |edge: &usize| {
        let address = format!("\"{}\"", system.machines.http(*edge));
        reply.text().contains(&address)
    };
    (reply.status == 200).then(|| (0..system.machines.edges()).filter(is_named).collect())
}

// Guards against a directory that leads clients to regions where a route of their host must not be served, also while
// it lacks items after its start, and where none of the permitted edges is left.
#[test]
fn clients_are_led_only_to_regions_where_their_routes_may_be_served() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let regions: Vec<String> = zones(3).into_iter().map(|(_, region)| region).collect();
    let mut pinned_route = route("/pinned/", SERVICES[0]);
    pinned_route["pins"] = json!([regions[0], regions[1]]);
    let change = Change::default().set("routes", "pinned", 2, pinned_route);
    system.operator.change(&change, deadline()).unwrap();
    let expect = |system: &TestSystem, region: usize, expected: Option<Vec<usize>>| {
        for replica in 0..system.machines.cores() {
            let is_as_expected =
                || (looked_up_edges(system, replica, &regions[region]) == expected).then_some(());
            assert!(
                wait_for(deadline(), is_as_expected).is_some(),
                "replica {replica}, region {region}: {:?} instead of {expected:?}",
                looked_up_edges(system, replica, &regions[region])
            );
        }
    };
    // One edge is ready in each region: permitted ones are named beside it.
    expect(&system, 0, Some(vec![0, 1]));
    expect(&system, 1, Some(vec![0, 1]));
    expect(&system, 2, Some(vec![0, 1, 2]));
    // The edges of the permitted regions leave in order.
    for (edge, left) in [(0, Some(vec![1])), (1, None)] {
        system.machines.terminate(Role::Proxy, edge);
        system.machines.terminate(Role::Agent, edge);
        expect(&system, 0, left);
    }
    expect(&system, 2, Some(vec![2]));
    // All replicas start again: no answer meanwhile names an edge that is not permitted.
    (0..system.machines.cores()).for_each(|replica| system.machines.kill(Role::Control, replica));
    system.machines.start_cores().unwrap();
    let is_ready = || {
        let named = looked_up_edges(&system, 0, &regions[2]);
        assert_eq!(looked_up_edges(&system, 0, &regions[0]), None);
        (named == Some(vec![2])).then_some(())
    };
    assert!(wait_for(deadline(), is_ready).is_some());
}

#[test]
fn recovery_from_a_lost_disk_is_logged_at_once_by_all() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    system.machines.kill(Role::Control, 2);
    std::fs::remove_dir_all(folder.path().join("disk-2")).unwrap();
    system
        .machines
        .write_settings(Role::Control, 2, false)
        .unwrap();
    system.machines.start(Role::Control, 2).unwrap();
    // The log lines that the runbook names.
    for (replica, line) in [
        (2, "INFO recovery completed incarnation=2 items="),
        (
            0,
            "INFO replica begins a new incarnation replica=2 incarnation=2 peer=",
        ),
    ] {
        let is_logged = || {
            system
                .machines
                .log(Role::Control, replica)
                .contains(line)
                .then_some(())
        };
        assert!(
            wait_for(deadline(), is_logged).is_some(),
            "{:?}",
            system.machines.log(Role::Control, replica)
        );
    }
    assert_eq!(system.operator.differences(deadline()), Ok(Vec::new()));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

/// The built programs, which fail to write beyond the file size limit instead of ending.
fn programs_ignoring_sigxfsz(folder: &TempDir) -> std::path::PathBuf {
    let built = built_programs_folder(Path::new(PROGRAM), env!("CARGO"));
    programs_ignoring_file_size_signal(folder.path(), &built).unwrap()
}

#[test]
fn replica_reports_a_full_disk_and_resumes_automatically() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system_with(&folder, &programs_ignoring_sigxfsz(&folder));
    let address = system.machines.ctl(0);
    let patch = |ver: u64, svc: &str| {
        let object = json!({"type": "routes", "meta": {"name": "full", "ver": ver}, "spec": route("/full/", svc)});
        let body = json!({"upsert": {"objs": [object]}}).to_string();
        call(
            address,
            "POST",
            "/api/cfg/patch",
            "",
            body.as_bytes(),
            deadline(),
        )
        .unwrap()
    };
    let assert_logs = |system: &TestSystem, line: &str| {
        let is_logged = || {
            system
                .machines
                .log(Role::Control, 0)
                .contains(line)
                .then_some(())
        };
        assert!(
            wait_for(deadline(), is_logged).is_some(),
            "{line}: {}",
            system.machines.log(Role::Control, 0)
        );
    };
    assert_eq!(patch(1, SERVICES[0]).status, 200);
    // The write-ahead log can't grow any more, and all writes are appended to it.
    system.machines.fail_disk(0, true).unwrap();
    let rejected = wait_for(deadline(), || {
        Some(patch(2, SERVICES[1])).filter(|reply| reply.status == 503)
    });
    let rejected = rejected
        .expect("a replica with a full disk still acknowledges writes")
        .text()
        .to_string();
    assert!(
        rejected.contains("the disk of this replica is full or fails"),
        "{rejected}"
    );
    assert_logs(&system, "ERRO disk rejects writes, retrying");
    // The other replicas are a quorum, and this one learns their changes.
    let change = Change::default().set("routes", "full", 3, route("/full/", SERVICES[1]));
    system.operator.change(&change, deadline()).unwrap();
    let is_read_back = || {
        let reply = call(address, "GET", "/api/cfg/get", "", b"", deadline()).ok()?;
        (reply.status == 200
            && reply.text().contains("/full/")
            && reply.text().contains(r#""ver":3"#))
        .then_some(())
    };
    assert!(wait_for(deadline(), is_read_back).is_some());
    system.machines.fail_disk(0, false).unwrap();
    assert_logs(&system, "INFO disk accepts writes again");
    assert_eq!(patch(4, SERVICES[0]).status, 200);
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn proxy_that_connected_while_its_agent_had_no_descriptors_becomes_ready() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let machines = &mut system.machines;
    machines.refuse_connections(Role::Agent, 0, true).unwrap();
    machines.kill(Role::Proxy, 0);
    machines.start(Role::Proxy, 0).unwrap();
    // The proxy has connected to its agent before it accepts requests.
    let answers = || machines.answers_readiness_check(0).then_some(());
    assert!(wait_for(deadline(), answers).is_some());
    machines.refuse_connections(Role::Agent, 0, false).unwrap();
    let is_ready = || machines.is_ready(0).then_some(());
    assert!(
        wait_for(deadline(), is_ready).is_some(),
        "the agent did not accept the proxy's connection afterwards"
    );
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn control_program_without_descriptors_does_not_spin_and_answers_afterwards() {
    let folder = TempDir::new().unwrap();
    let mut system = start_system(&folder);
    let machines = &system.machines;
    machines.refuse_connections(Role::Control, 0, true).unwrap();
    let cpu_time = || machines.usage(Role::Control, 0).unwrap().cpu_time;
    let (cpu_time_before, address) = (cpu_time(), machines.ctl(0));
    // The kernel establishes the connection, which then waits to be accepted.
    let mut pending = Connection::open(address, deadline()).unwrap();
    let request = b"GET /api/cfg/get HTTP/1.1\r\nHost: core\r\n\r\n";
    pending.send(request, deadline()).unwrap();
    let max_cpu_time = Duration::from_millis(400);
    let is_spinning = || (cpu_time() - cpu_time_before > max_cpu_time).then_some(());
    let window_end = Instant::now() + Duration::from_millis(1_000);
    assert!(
        wait_for(window_end, is_spinning).is_none(),
        "the event loop spins while it can't accept"
    );
    machines
        .refuse_connections(Role::Control, 0, false)
        .unwrap();
    assert_eq!(pending.read_reply(deadline()).unwrap().status, 200);
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
