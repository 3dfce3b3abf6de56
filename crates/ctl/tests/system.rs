//! The built `streamarchctl` program against a complete system on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use ctl::status::{SystemStatus, query_replicas};
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{SERVICES, Size, TENANT, TENANT_KEY, TestSystem, route};
use emulator::system::wait_for;
use serde_json::Value;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamarchctl");

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// Runs the program, and returns its exit code and its output.
fn run_ctl(arguments: &[&str]) -> (Option<i32>, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(PROGRAM).args(arguments).output().unwrap();
    (
        status.code(),
        String::from_utf8([stdout, stderr].concat()).unwrap(),
    )
}

#[test]
fn status_export_and_diff_of_a_running_system() {
    let folder = TempDir::new().unwrap();
    let programs = built_programs_folder(Path::new(PROGRAM), env!("CARGO"));
    let size = Size {
        zones: 3,
        edges: 1,
        net: unused_net(),
    };
    let mut system = TestSystem::start(folder.path(), &programs, size, test_deadline()).unwrap();
    let addresses: Vec<SocketAddr> = (0..3).map(|number| system.machines.ctl(number)).collect();
    let all_addresses = addresses
        .iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(",");

    // Each limiter is linked to the replica of its zone and has all items.
    let is_settled = |status: &SystemStatus| {
        let is_current = |limiter: &control::core::status::LimiterStatus| {
            limiter.lag_ms == Some(0) && limiter.replica == limiter.zone
        };
        status.findings.is_empty()
            && status.limiters.len() == 3
            && status.limiters.iter().all(is_current)
    };
    let query = || query_replicas(&addresses, || Instant::now() + Duration::from_secs(1));
    let settled = wait_for(test_deadline(), || {
        Some(query()).filter(|status| is_settled(status))
    });
    assert!(settled.is_some(), "{}", query());
    let (code, text) = run_ctl(&["status", "--at", &all_addresses]);
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("count (term") && text.contains("poll (term"),
        "{text}"
    );

    let (code, before) = run_ctl(&["export", "--at", &addresses[0].to_string()]);
    assert_eq!(code, Some(0), "{before}");
    assert!(
        before.contains(TENANT) && !before.contains(TENANT_KEY),
        "{before}"
    );
    let path = folder.path().join("before.json");
    std::fs::write(&path, &before).unwrap();
    let path = path.to_str().unwrap();
    assert_eq!(
        run_ctl(&["diff", path, &addresses[1].to_string()]).0,
        Some(0)
    );
    let change = Change::default()
        .set("routes", "reads", 5, route("/other/", SERVICES[0]))
        .drop("routes", "writes", 3);
    system.operator.change(&change, test_deadline()).unwrap();
    let (code, text) = run_ctl(&["diff", path, &addresses[1].to_string(), "--json"]);
    let output: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &output["changed"][0]["item"]),
        (Some(1), &Value::from("routes/reads")),
        "{text}"
    );
    assert_eq!(
        output["changed"][0]["keys"].as_array().map(Vec::len),
        Some(1),
        "{text}"
    );
    assert_eq!(output["dropped"][0]["item"], "routes/writes");

    // A replica that does not answer is a finding (exit code 1). If none answers, or the arguments are invalid, the command
    // fails (exit code 2).
    system.machines.kill(Role::Control, 2);
    let (code, text) = run_ctl(&["status", "--at", &all_addresses, "--json"]);
    let output: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(code, Some(1), "{text}");
    assert!(
        output["findings"][0]
            .as_str()
            .unwrap()
            .contains(&addresses[2].to_string()),
        "{text}"
    );
    assert_eq!(
        run_ctl(&["status", "--at", &addresses[2].to_string()]).0,
        Some(2)
    );
    assert_eq!(run_ctl(&["diff", "no-such-file", path]).0, Some(2));
    assert_eq!(run_ctl(&["what"]).0, Some(2));
    let (code, text) = run_ctl(&["--help"]);
    assert!(code == Some(0) && text.contains("before.json"), "{text}");
}
