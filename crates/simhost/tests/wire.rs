//! Tests of the program through its standard input and output: batches in, replies out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Instances":2,"SlotNo":0,"Lanes":[{"ObjectiveUs":500000,"GiveUpUs":1000000,"Semantics":"retryable","Group":"all","Value":1.0,"New":7}],"Tariffs":[{"UnitsPerS":5.0,"StoreSize":10.0,"WorthFactor":1.0}],"PeriodUs":4000,"Discovery":"push","Specifics":{"Counter":true,"CounterTimeoutUs":30000},"Permissions":{"MaxAttempts":3,"RetryAfter":true,"MaxRetryAfterUs":500000},"Rules":{"ColdFrom":0.2,"ColdUs":1000000,"FallMultiple":2.0,"FallUs":1000000}}"#;

fn run_simhost(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_streamarch-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the program reads its input");
    child.wait_with_output().expect("the program ends")
}

fn boot(host_name: &str) -> String {
    format!(
        "on\tWho={host_name}\nboot\tRngSeed=1\tParams={SETTINGS}\npool\tSheet=0\tItems=1\n\
         item\tServer=7\tReadiness=1\tHeft=1\tFuture=x\nmembership\tKind=2\tSerial=1\tSheet=0\n"
    )
}

const REQUEST_LINE: &str =
    "query\tReq=r-a\tCategory=0\tTariff=0\tAccount=5\tNotAfterUs=2000000\tWeight=2\tDoors=2\n";

#[test]
fn an_empty_batch_is_acknowledged() {
    let output = run_simhost("begin_batch\tTUs=5\neob\n\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"ack\n");
}

#[test]
fn a_request_is_counted_and_then_sent_under_its_name() {
    let request_batch = format!(
        "begin_batch\tTUs=1000000\n{}{REQUEST_LINE}eob\n",
        boot("node/3")
    );
    let text = String::from_utf8(run_simhost(&request_batch).stdout).unwrap();
    assert!(text.starts_with("on_behalf\tWho=node/3\n"), "{text}");
    let tally = text
        .lines()
        .rfind(|l| l.contains("Add=2"))
        .expect("a call to the counter");
    let key_field = tally
        .split('\t')
        .find(|p| p.starts_with("SlotName="))
        .unwrap();
    let answer_batch = format!(
        "begin_batch\tTUs=1004000\non\tWho=node/3\nreckoned\t{key_field}\tResult=0\tTotal=2\neob\n"
    );
    let text =
        String::from_utf8(run_simhost(&format!("{request_batch}{answer_batch}")).stdout).unwrap();
    assert!(text.contains("issue\tReq=r-a\tServer=7"), "{text}");
}

#[test]
fn kill_and_boot_in_one_batch_leave_a_fresh_instance() {
    let batch = format!(
        "begin_batch\tTUs=1000000\n{}{REQUEST_LINE}kill\n{}eob\n",
        boot("node/1"),
        boot("node/1").replace("on\tWho=node/1\n", "")
    );
    let text = String::from_utf8(run_simhost(&batch).stdout).unwrap();
    assert!(!text.contains("tally") && text.ends_with("ack\n"), "{text}");
}

#[test]
fn malformed_input_is_reported_and_fails() {
    for input in [
        "hello\n",
        "begin_batch\tTUs=x\neob\n",
        "begin_batch\tTUs=1\non\tWho=node/0\nbell\tToken=1\neob\n",
        "begin_batch\tTUs=1\non\tWho=node/0\nboot\tRngSeed=1\tParams={broken\neob\n",
        "begin_batch\tTUs=1\npool\tSheet=0\tItems=2\neob\n",
        "begin_batch\tTUs=1\n",
    ] {
        let output = run_simhost(input);
        assert!(!output.status.success(), "{input:?}");
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.starts_with("streamarch-simhost: "), "{message}");
    }
}

#[test]
fn a_notice_from_another_gateway_is_parsed_and_other_messages_are_ignored() {
    for message in ["00000005", "", "zz", "0000zz", "0000é"] {
        let batch = format!(
            "begin_batch\tTUs=1000000\n{}memo\tAuthor=1\tMsg={message}\n{REQUEST_LINE}eob\n",
            boot("node/0")
        );
        let output = run_simhost(&batch);
        assert!(output.status.success(), "{message:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("tally") || text.contains("shed"), "{text}");
    }
}
