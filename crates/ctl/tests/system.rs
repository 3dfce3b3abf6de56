//! The built program against a whole system on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use ctl::status::{View, ask};
use emulator::system::machines::{Role, beside, net};
use emulator::system::operator::Change;
use emulator::system::wait_for;
use emulator::system::whole::{KEY, SERVICES, Size, TENANT, Whole, route};
use serde_json::Value;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamarchctl");

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn gauge(words: &[&str]) -> (Option<i32>, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(PROGRAM).args(words).output().unwrap();
    (
        status.code(),
        String::from_utf8([stdout, stderr].concat()).unwrap(),
    )
}

#[test]
fn status_export_and_diff_of_a_running_system() {
    let folder = TempDir::new().unwrap();
    let programs = beside(Path::new(PROGRAM), env!("CARGO"));
    let size = Size {
        zones: 3,
        edges: 1,
        net: net(),
    };
    let mut whole = Whole::start(folder.path(), &programs, size, soon()).unwrap();
    let ctl: Vec<SocketAddr> = (0..3).map(|number| whole.machines.ctl(number)).collect();
    let all = ctl
        .iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(",");

    // Each limiter is at the replica of its zone, and holds all.
    let settled = |view: &View| {
        let well = |one: &control::core::status::LimiterStatus| {
            one.lag_ms == Some(0) && one.replica == one.zone
        };
        view.findings.is_empty() && view.limiters.len() == 3 && view.limiters.iter().all(well)
    };
    let look = || ask(&ctl, || Instant::now() + Duration::from_secs(1));
    let view = wait_for(soon(), || Some(look()).filter(|view| settled(view)));
    assert!(view.is_some(), "{}", look());
    let (code, text) = gauge(&["status", "--at", &all]);
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("count (term") && text.contains("poll (term"),
        "{text}"
    );

    let (code, before) = gauge(&["export", "--at", &ctl[0].to_string()]);
    assert_eq!(code, Some(0), "{before}");
    assert!(before.contains(TENANT) && !before.contains(KEY), "{before}");
    let file = folder.path().join("before.json");
    std::fs::write(&file, &before).unwrap();
    let file = file.to_str().unwrap();
    assert_eq!(gauge(&["diff", file, &ctl[1].to_string()]).0, Some(0));
    let change = Change::default()
        .set("routes", "reads", 5, route("/other/", SERVICES[0]))
        .drop("routes", "writes", 3);
    whole.operator.change(&change, soon()).unwrap();
    let (code, text) = gauge(&["diff", file, &ctl[1].to_string(), "--json"]);
    let found: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &found["changed"][0]["item"]),
        (Some(1), &Value::from("routes/reads")),
        "{text}"
    );
    assert_eq!(
        found["changed"][0]["keys"].as_array().map(Vec::len),
        Some(1),
        "{text}"
    );
    assert_eq!(found["dropped"][0]["item"], "routes/writes");

    // A replica that is gone is a finding; a call that nobody answers, or words that make no sense, are none.
    whole.machines.kill(Role::Control, 2);
    let (code, text) = gauge(&["status", "--at", &all, "--json"]);
    let found: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(code, Some(1), "{text}");
    assert!(
        found["findings"][0]
            .as_str()
            .unwrap()
            .contains(&ctl[2].to_string()),
        "{text}"
    );
    assert_eq!(gauge(&["status", "--at", &ctl[2].to_string()]).0, Some(2));
    assert_eq!(gauge(&["diff", "no-such-file", file]).0, Some(2));
    assert_eq!(gauge(&["what"]).0, Some(2));
    let (code, text) = gauge(&["--help"]);
    assert!(code == Some(0) && text.contains("before.json"), "{text}");
}
