//! Processes of the limiter together while part of the system fails: the fleet's totals, as the clients saw them.
//! Each run is `streamarch-load run`, which starts the limiters and the world and ends every process it started.

use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamarch-load");

/// The worst ratio of served to quota, window by window, of a run with this file of shared state.
fn by_window(shared: &'static str) -> Vec<f64> {
    let limiter = Path::new(PROGRAM).with_file_name("streamarch");
    assert!(
        limiter.exists(),
        "{} is missing: the workspace is built whole by `cargo test --workspace`",
        limiter.display()
    );
    let folder = tempfile::tempdir().unwrap();
    let (scenario, file) = (folder.path().join("lost.json"), folder.path().join("shared.json"));
    std::fs::write(&scenario, include_str!("../scenarios/faults/counter-lost-short.json")).unwrap();
    std::fs::write(&file, shared).unwrap();
    let output = Command::new(PROGRAM)
        .args(["run", &scenario.display().to_string(), "--json", "--shared", &file.display().to_string()])
        .arg("--limiter")
        .arg(&limiter)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["adds_up"], true, "no request lost or answered twice");
    let windows = report["quota"]["by_window"].as_array().unwrap();
    windows.iter().map(|w| w[0].as_f64().unwrap()).collect()
}

/// Guards what a fleet cut off from its counter grants: four limiters, the counter gone from 2 s to 14 s, windows of
/// 4 s. In the two that lie wholly in the loss, each limiter's slice keeps every workshop within 1.10 of its quota; open,
/// as DESIGN has it, the fleet grants a multiple.
#[test]
fn without_the_counter_slices_keep_the_fleet_within_its_quotas() {
    let open = thread::spawn(|| by_window("{}"));
    let sliced = by_window(r#"{"counter_lost": "slices"}"#);
    let open = open.join().unwrap();
    assert!(sliced[1..3].iter().all(|r| *r <= 1.10), "with slices: {sliced:?}");
    assert!(open[1..3].iter().any(|r| *r > 1.25), "open: {open:?}");
}
