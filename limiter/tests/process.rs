//! The program as a process: what a signal does to it.

mod common;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use common::*;

/// Ends the process also when the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn at_sighup_a_faulty_file_changes_nothing_and_a_good_one_is_taken() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let server = StandIn::start(|_, _| ok("served"));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(&config(&[server.address], nobody()));
    let mut child = Command::new(env!("CARGO_BIN_EXE_streamarch"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let process = Process(child);
    // Ends with the log if the program does.
    let mut line_with =
        |text: &str| log.by_ref().map(Result::unwrap).find(|line| line.contains(text)).expect(text);
    let serving = line_with("serving on ");
    let address = serving.rsplit(' ').next().unwrap().parse().unwrap();
    let signal = |name: &str| {
        let told = Command::new("sh").args(["-c", &format!("kill -{name} {}", process.0.id())]).status();
        assert!(told.unwrap().success());
    };

    let good = config(&[server.address], nobody());
    write(&good.replace("\"discovery\":\"", "\"discovery\":\"nowhere"));
    signal("HUP");
    assert!(line_with("configuration not taken").contains("key 'discovery'"));
    assert_eq!(ask(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status, 200);
    write(&good);
    signal("HUP");
    line_with("configuration taken");
    signal("TERM");
    line_with("told to end");
}

#[test]
fn the_log_is_lines_or_json_and_its_options_are_checked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config(&[nobody()], nobody())).unwrap();
    let start = |options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        command.args(["serve", "--config"]).arg(&path).args(options).stderr(Stdio::piped()).spawn().unwrap()
    };
    let first = |options: &[&str]| {
        let mut child = start(options);
        let mut line = String::new();
        BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
        drop(Process(child));
        line
    };
    assert!(first(&[]).starts_with("n0 serving on 127.0.0.1:"));
    let json: serde_json::Value = serde_json::from_str(&first(&["--log-format", "json"])).unwrap();
    assert_eq!((json["level"].as_str(), json["fields"]["limiter"].as_str()), (Some("INFO"), Some("n0")));
    assert!(json["fields"]["message"].as_str().unwrap().starts_with("serving on "));
    for options in [["--log-format", "xml"], ["--log-level", "loud"]] {
        let mut child = start(&options);
        assert_eq!(child.wait().unwrap().code(), Some(2), "{options:?}");
    }
}

#[test]
fn use_is_verified_exported_and_acknowledged_on_the_command_line() {
    let folder = tempfile::tempdir().unwrap();
    let (ledger, out) = (folder.path().join("ledger"), folder.path().join("out"));
    {
        let (mut ledger, _) = usage::ledger::Ledger::open(&ledger, "n0").unwrap();
        (0..3).for_each(|n| {
            _ = ledger.book(usage::booking::Booking { customer: n, ..Default::default() }).unwrap()
        });
        ledger.write().unwrap();
        ledger.went_out();
        ledger.sync().unwrap();
    }
    let call = |words: &[&str], paths: &[&std::path::Path], rest: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        let output = command.arg("usage").args(words).args(paths).args(rest).output().unwrap();
        (output.status.success(), String::from_utf8(output.stdout).unwrap())
    };
    assert!(
        call(&["verify"], &[&ledger], &[]).1.contains("3 tries, 0 of them unsure, a torn tail of 0 bytes")
    );
    assert_eq!(call(&["show"], &[&ledger], &[]).1.lines().count(), 3);
    for _ in 0..2 {
        assert!(call(&["export"], &[&ledger, &out], &[]).1.starts_with("batch 1: 3 tries"));
    }
    assert!(!call(&["acknowledge"], &[&ledger], &["2"]).0);
    assert!(call(&["acknowledge"], &[&ledger], &["1"]).0);
    assert_eq!(call(&["export"], &[&ledger, &out], &[]).1, "nothing new\n");
    let path = ledger.join("life-00000001.use");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let (whole, said) = call(&["verify"], &[&ledger], &[]);
    assert!(!whole && said.contains("damaged at byte "), "{said}");
}
