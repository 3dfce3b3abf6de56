//! The script that makes CI accept failures of the tests listed as known to fail, and of no others.

use std::process::Command;

use tempfile::TempDir;
use test_case::test_case;

const ONE_ENTRY: &str = "net::no_answer, the loop is late, 37\n";
const BY_HAND: &str = "by hand: soak --seed 1, the loop is late, 37\n";
const FOUR_ENTRIES: &str = "a, cause, 1\nb, cause, 1\nc, cause, 1\nd, cause, 1\n";

/// The output of cargo for a test program whose tests passed and failed as listed.
fn program_output(passed: &[&str], failed: &[&str]) -> String {
    let mut output = String::new();
    for name in passed {
        output.push_str(&format!("test {name} ... ok\n"));
    }
    for name in failed {
        output.push_str(&format!("test {name} ... FAILED\n"));
    }
    if failed.is_empty() {
        output + "test result: ok. 1 passed; 0 failed; 0 ignored\n"
    } else {
        output
            + "test result: FAILED. 0 passed; 1 failed; 0 ignored\nerror: test failed, to rerun pass `--lib`\n"
    }
}

/// The output of cargo for a test program that was ended by a signal before it printed its result.
fn crashed_program_output() -> String {
    "test a ... ok\nerror: test failed, to rerun pass `--lib`\n".to_string()
}

#[test_case("", program_output(&["a"], &[]), 0, true; "all pass, none is listed")]
#[test_case("", program_output(&["a"], &["b"]), 101, false; "one fails, none is listed")]
#[test_case(ONE_ENTRY, program_output(&["a"], &["net::no_answer"]), 101, true; "the listed one fails")]
#[test_case(ONE_ENTRY, program_output(&["net::no_answer"], &[]), 0, false; "the listed one passes")]
#[test_case(ONE_ENTRY, program_output(&["a"], &[]), 0, false; "the listed one does not run")]
#[test_case(ONE_ENTRY, program_output(&[], &["net::no_answer", "b"]), 101, false; "another one fails beside it")]
#[test_case(ONE_ENTRY, program_output(&[], &["answer"]), 101, false; "one fails whose name is part of the listed one")]
#[test_case(ONE_ENTRY, program_output(&[], &["net::no_answer"]) + &crashed_program_output(), 101, false; "a program ends early beside it")]
#[test_case("", "error: could not compile\n".to_string(), 101, false; "the build fails")]
#[test_case(FOUR_ENTRIES, program_output(&[], &["a", "b", "c", "d"]), 101, false; "four are listed")]
#[test_case("net::no_answer\n", program_output(&[], &["net::no_answer"]), 101, false; "no cause and no issue")]
#[test_case(BY_HAND, program_output(&["a"], &[]), 0, true; "a run by hand is listed, all pass")]
#[test_case(BY_HAND, program_output(&["a"], &["soak"]), 101, false; "a run by hand is listed, a test fails")]
#[test_case("by hand: soak\n", program_output(&["a"], &[]), 0, false; "a run by hand without cause and issue")]
fn only_listed_tests_may_fail(list: &str, log: String, status: i32, passes: bool) {
    let folder = TempDir::new().unwrap();
    let (list_file, log_file) = (folder.path().join("list"), folder.path().join("log"));
    std::fs::write(&list_file, list).unwrap();
    std::fs::write(&log_file, log).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let finished = Command::new("bash")
        .arg(script)
        .arg(&list_file)
        .arg(&log_file)
        .arg(status.to_string())
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&finished.stderr);
    assert_eq!(finished.status.success(), passes, "{stderr}");
    assert_eq!(stderr.is_empty(), passes, "{stderr}");
}
