//! The program and its driver on loopback sockets. What is asserted holds at any speed: sums, and who was told what.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

use emulator::serving::WorldServer;
use emulator::world::Service;
use load::driver::{self, Progress};
use load::generator::Setup;
use load::scenario::Scenario;
use load::schedule::Schedule;
use load::summary::Summary;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamarch-load");

fn setup(text: &str, targets: usize) -> Arc<Setup> {
    let scenario = Scenario::read(text).unwrap();
    let schedule = Schedule::lay(&scenario, 5, targets);
    Arc::new(Setup {
        scenario,
        schedule,
        targets,
        seed: 5,
    })
}

fn run(setup: &Arc<Setup>, targets: &[SocketAddr], threads: usize) -> Summary {
    let outcomes = driver::run(setup, targets, threads, &Progress::default()).unwrap();
    let summary = Summary::of(setup, &outcomes);
    assert!(summary.adds_up, "{}", summary.text());
    summary
}

const QUICK: &str = r#"{"seconds":0.5,"arrivals":[{"shape":"constant","rate":400}],"retries":{"most":0},
    "limiters":{"count":1,"spread":[1,1]},"world":{"nodes":{"count":1,"cores":8,"work_ms":1,"queue":100000,"cold_s":0}}}"#;

#[test]
fn what_was_sent_is_what_arrived() {
    let setup = setup(QUICK, 1);
    let world = WorldServer::start(&setup.scenario.world, 1, 1).unwrap();
    let node = world.address(Service::Node(0), 0).unwrap();
    world.begin(1_000_000);
    let summary = run(&setup, &[node], 2);
    let counts = world.stop();
    assert_eq!(
        (summary.served, counts.arrived, counts.ids, counts.served),
        (200, 200, 200, 200)
    );
    assert_eq!(summary.latency_us.count, 200);
}

#[test]
fn resets_and_noise_are_failures_and_nothing_is_sent_twice() {
    let text = QUICK.replace(
        "\"cold_s\":0}",
        "\"cold_s\":0},\"faults\":[{\"kind\":\"reset\",\"on\":\"node:0\",\"at_s\":0.1,\"every_s\":0.1,\"for_ms\":1},\
         {\"kind\":\"spoil\",\"on\":\"node:0\",\"at_s\":0.2,\"for_ms\":9000,\"share\":0.5}]",
    );
    let setup = setup(&text, 1);
    let world = WorldServer::start(&setup.scenario.world, 1, 1).unwrap();
    let node = world.address(Service::Node(0), 0).unwrap();
    world.begin(10_000_000);
    let summary = run(&setup, &[node], 1);
    let counts = world.stop();
    assert!(
        counts.spoilt > 0 && summary.failed >= counts.spoilt,
        "{counts:?}"
    );
    assert_eq!(counts.copies, 0);
    // Only a close that crossed a request on a kept connection has it sent once more, and then it had not arrived.
    assert!(counts.arrived <= 200 && counts.again == 0, "{counts:?}");
}

#[test]
fn a_port_where_nobody_listens_takes_nothing() {
    let setup = setup(QUICK, 1);
    // Port 1 is never given out by the system.
    let summary = run(&setup, &[SocketAddr::from(([127, 0, 0, 1], 1))], 1);
    assert_eq!((summary.not_sent, summary.sent), (200, 0));
}

#[test]
fn a_target_that_never_accepts_leaves_requests_unanswered_or_not_sent() {
    let text = QUICK.replace(
        "\"limiters\"",
        "\"classes\":[{\"name\":\"lookup\",\"share\":1,\"deadline_ms\":300,\"try_share\":[1,1]}],\"limiters\"",
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let summary = run(&setup(&text, 1), &[listener.local_addr().unwrap()], 1);
    assert_eq!(
        summary.unanswered + summary.not_sent,
        200,
        "{}",
        summary.text()
    );
}

#[test]
fn too_few_connections_are_said_and_never_pass_as_a_held_schedule() {
    let text = QUICK.replace("\"work_ms\":1", "\"work_ms\":50").replace(
        "\"retries\"",
        "\"generator\":{\"connections\":2},\"retries\"",
    );
    let setup = setup(&text, 1);
    let world = WorldServer::start(&setup.scenario.world, 1, 1).unwrap();
    let node = world.address(Service::Node(0), 0).unwrap();
    world.begin(10_000_000);
    let summary = run(&setup, &[node], 1);
    assert!(
        summary.no_connections > 0 && !summary.schedule_held,
        "{}",
        summary.text()
    );
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn call(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

fn json(output: &Output) -> serde_json::Value {
    serde_json::from_slice(&output.stdout).expect("one JSON document alone on standard output")
}

/// A server that answers each request with these bytes and closes; it tells of each.
fn server(answer: &'static [u8]) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let (mut stream, mut bytes) = (stream, [0; 4096]);
                if stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                    // A client that has left is not owed the answer.
                    let _ = stream.write_all(answer);
                    let _ = tell.send(());
                }
            });
        }
    });
    (address, told)
}

#[test]
fn a_run_out_of_descriptors_goes_on_and_adds_up() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = write(
        folder.path(),
        "s.json",
        &QUICK.replace("\"work_ms\":1", "\"work_ms\":200"),
    );
    let (address, _told) = server(b"");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = listener.local_addr().unwrap().to_string();
    let line = format!(
        "ulimit -n 30; exec {PROGRAM} run {scenario} --target {silent} --target {address} --json"
    );
    let output = Command::new("sh").args(["-c", &line]).output().unwrap();
    let report = json(&output);
    assert_eq!(
        (report["offered"].as_u64(), report["adds_up"].as_bool()),
        (Some(200), Some(true))
    );
    assert!(report["no_sockets"].as_u64() > Some(0), "{report}");
}

#[test]
fn a_run_that_is_interrupted_writes_a_whole_report() {
    let folder = tempfile::tempdir().unwrap();
    let text =
        r#"{"seconds":600,"arrivals":[{"shape":"constant","rate":50}],"retries":{"most":0}}"#;
    let scenario = write(folder.path(), "s.json", text);
    let (address, told) =
        server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    let report = folder.path().join("report");
    let child = Command::new(PROGRAM)
        .args([
            "run",
            &scenario,
            "--json",
            "--target",
            &address.to_string(),
            "--report",
        ])
        .arg(&report)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    for _ in 0..10 {
        told.recv().unwrap();
    }
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::INT).unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success(), "{output:?}");
    let printed = json(&output);
    let kept: serde_json::Value =
        serde_json::from_slice(&std::fs::read(report.join("report.json")).unwrap()).unwrap();
    assert_eq!(printed, kept);
    assert_eq!(
        (kept["interrupted"].as_bool(), kept["adds_up"].as_bool()),
        (Some(true), Some(true))
    );
    assert_eq!(kept["offered"].as_u64(), Some(30_000));
    assert!(
        kept["served"].as_u64() >= Some(9) && kept["not_sent"].as_u64() > Some(20_000),
        "{kept}"
    );
    let page = std::fs::read_to_string(report.join("report.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("ended before its time"));
    let stored = table::open(&report.join("records.parquet")).unwrap();
    assert_eq!(stored.row_count() as u64, kept["tries"].as_u64().unwrap());
}

#[test]
fn what_a_server_answers_is_counted_as_what_it_means() {
    let folder = tempfile::tempdir().unwrap();
    let text = r#"{"seconds":0.2,"arrivals":[{"shape":"constant","rate":100}],"retries":{"most":1,"wait_ms":[1,2]},
        "classes":[{"name":"sign-off","share":1,"keyed":true,"deadline_ms":4000,"try_share":[1,1],"body_bytes":[3,9]}]}"#;
    let scenario = write(folder.path(), "s.json", text);
    let cases: [(&'static [u8], &str, u64); 4] = [
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", "served", 20),
        (
            b"HTTP/1.1 429 -\r\nRetry-After: 0.05\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            "declined",
            40,
        ),
        (b"HTTP/1.1 504 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "failed", 20),
        (b"no answer at all\r\n\r\n", "failed", 20),
    ];
    for (answer, key, tries) in cases {
        let (address, _told) = server(answer);
        let report = json(&call(&[
            "run",
            &scenario,
            "--target",
            &address.to_string(),
            "--json",
        ]));
        assert_eq!(
            (report[key].as_u64(), report["tries"].as_u64()),
            (Some(20), Some(tries)),
            "{key}: {report}"
        );
    }
}

#[test]
fn traces_go_in_and_out_and_are_replayed() {
    let folder = tempfile::tempdir().unwrap();
    let lines = "at,account,class,id\n10.0,0a,lookup,a\n10.2,0b,sign-off,b\n10.1,0a,lookup,c\n10.2,0b,sign-off,b\n60,0c,lookup,d\n";
    let csv = write(folder.path(), "t.csv", lines);
    let trace = folder.path().join("t.parquet").display().to_string();
    let done = call(&[
        "trace",
        "import",
        &csv,
        &trace,
        "--duplicates",
        "drop",
        "--gaps",
        "close",
        "--gap",
        "0.3",
    ]);
    let said = String::from_utf8(done.stdout).unwrap();
    assert!(
        said.contains("out of order: 1")
            && said.contains("duplicates: 1")
            && said.contains("gaps: 1"),
        "{said}"
    );
    let said = String::from_utf8(call(&["trace", "inspect", &trace]).stdout).unwrap();
    assert!(
        said.contains("requests: 4\nlength: 0.500 s") && said.contains("class sign-off: 1"),
        "{said}"
    );
    let (address, _told) =
        server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    let target = address.to_string();
    let report = json(&call(&[
        "trace", "replay", &trace, "--target", &target, "--json", "--speed", "5",
    ]));
    assert_eq!(report["served"].as_u64(), Some(4));
    assert!(report["by_class"]["sign-off"]["served"].as_u64() == Some(1));

    // A trace that can't be read is refused by its place, and what stood there before stays.
    let cut = write(
        folder.path(),
        "cut.csv",
        "at,account,class,id\n1,0a,lookup,a\n2,0",
    );
    let before = std::fs::read(&trace).unwrap();
    let refused = call(&["trace", "import", &cut, &trace]);
    assert!(!refused.status.success());
    let said = String::from_utf8(refused.stderr).unwrap();
    assert!(
        said.contains("line 3, column 2: 2 fields where the head has 4"),
        "{said}"
    );
    assert_eq!(std::fs::read(&trace).unwrap(), before);
    std::fs::write(&trace, &before[..before.len() / 2]).unwrap();
    assert!(!call(&["trace", "inspect", &trace]).status.success());
}

#[test]
fn reports_are_compared_and_keys_swept() {
    let folder = tempfile::tempdir().unwrap();
    let text = r#"{"seconds":0.3,"arrivals":[{"shape":"constant","rate":50}]}"#;
    let scenario = write(folder.path(), "s.json", text);
    let (address, _told) =
        server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    let target = address.to_string();
    let swept = folder.path().join("sweep");
    let at = swept.display().to_string();
    let args = [
        "sweep",
        &scenario,
        "--key",
        "arrivals[0].rate",
        "--values",
        "50,100",
        "--target",
        &target,
        "--report",
        &at,
    ];
    let output = call(&args);
    assert!(output.status.success(), "{output:?}");
    assert!(
        std::fs::read_to_string(swept.join("sweep.html"))
            .unwrap()
            .contains("<svg")
    );
    let (one, two) = (
        swept.join("50").display().to_string(),
        swept.join("100").display().to_string(),
    );
    let said = String::from_utf8(call(&["compare", &one, &two]).stdout).unwrap();
    assert!(
        said.contains("offered") && said.contains("30 (+100.0 %)"),
        "{said}"
    );
    let refused = call(&[
        "sweep",
        &scenario,
        "--key",
        "arrivals[0].rate",
        "--values",
        "50,-1",
        "--target",
        &target,
    ]);
    assert!(
        String::from_utf8(refused.stderr)
            .unwrap()
            .contains("'arrivals[0].rate': is -1")
    );
    assert!(
        refused.stdout.is_empty(),
        "nothing is run before all values are checked"
    );
}

#[test]
fn wrong_calls_and_scenarios_are_refused_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = write(folder.path(), "s.json", r#"{"arivals":[]}"#);
    let refused = call(&["run", &scenario]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        String::from_utf8(refused.stderr)
            .unwrap()
            .contains("'arivals': unknown key; did you mean 'arrivals'?")
    );
    for args in [
        &["fly"][..],
        &[],
        &["run"],
        &["compare", "a"],
        &["run", "x", "--target", "nowhere"],
        &["run", "x", "--gaps", "y"],
    ] {
        assert_eq!(call(args).status.code(), Some(2), "{args:?}");
    }
    let good = write(folder.path(), "g.json", QUICK);
    let below_a_file = format!("{good}/report");
    let refused = call(&[
        "run",
        &good,
        "--target",
        "127.0.0.1:1",
        "--report",
        &below_a_file,
    ]);
    assert_eq!((refused.status.code(), refused.stdout.len()), (Some(1), 0));
}
