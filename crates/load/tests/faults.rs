//! Processes of the limiter together while part of the system fails: the fleet's totals, as the clients saw them.
//! Each run is `streamarch-load run`, which starts the limiters and the world and ends every process it started.

use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamarch-load");
const LOST: &str = include_str!("../scenarios/faults/counter-lost-short.json");
const CRASH: &str = include_str!("../scenarios/faults/counter-crash-short.json");
/// Runs side by side disturb each other's figures: one test's runs at a time.
static BENCH: Mutex<()> = Mutex::new(());

/// The worst ratio of served to quota, window by window, of a run of this scenario with this file of shared state.
fn by_window(scenario_text: &'static str, shared: &'static str) -> Vec<f64> {
    let limiter = Path::new(PROGRAM).with_file_name("streamarch");
    assert!(
        limiter.exists(),
        "{} is missing: the workspace is built whole by `cargo test --workspace`",
        limiter.display()
    );
    let folder = tempfile::tempdir().unwrap();
    let (scenario, file) = (
        folder.path().join("scenario.json"),
        folder.path().join("shared.json"),
    );
    std::fs::write(&scenario, scenario_text).unwrap();
    std::fs::write(&file, shared).unwrap();
    let output = Command::new(PROGRAM)
        .args([
            "run",
            &scenario.display().to_string(),
            "--json",
            "--shared",
            &file.display().to_string(),
        ])
        .arg("--limiter")
        .arg(&limiter)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
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
    let _alone = BENCH.lock().unwrap_or_else(|e| e.into_inner());
    let open = thread::spawn(|| by_window(LOST, "{}"));
    let sliced = by_window(LOST, r#"{"counter_lost": "slices"}"#);
    let open = open.join().unwrap();
    assert!(
        sliced[1..3].iter().all(|r| *r <= 1.10),
        "with slices: {sliced:?}"
    );
    assert!(open[1..3].iter().any(|r| *r > 1.25), "open: {open:?}");
}

/// Guards a counter that comes back empty: four limiters, the counter dead at 6 s for 500 ms and back with no counts,
/// windows of 4 s, the program as `run` has it. The windows after it is back read 0.77 to 1.04 by hand and up to 1.17
/// in the tests' debug build: at 4 s a workshop's quota is a few requests, so they read coarse. A window granted twice
/// would read near 2: at most 1.30 is asked. The window of the crash itself is not asked for: the limiters let requests pass until
/// they see the counter back (1.25 to 1.39 by hand). Nor does this show which part holds the bound: with the own adds
/// no longer standing in for a lost total (`Meter::learn`) it still passes.
#[test]
fn a_counter_back_empty_grants_no_window_twice() {
    let _alone = BENCH.lock().unwrap_or_else(|e| e.into_inner());
    let open = by_window(CRASH, "{}");
    assert!(
        open[2..].iter().all(|r| *r <= 1.30),
        "after the crash: {open:?}"
    );
}
