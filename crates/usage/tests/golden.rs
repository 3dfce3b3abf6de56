//! The byte format of the ledger's files must not change, because a ledger outlives the program that wrote it.

use std::fs;

use usage::export::Exporter;
use usage::ledger::{Ledger, file_name};
use usage::reader;
use usage::record::AttemptUsage;

fn hex(bytes: &[u8]) -> String {
    let lines = bytes
        .chunks(32)
        .map(|line| line.iter().map(|byte| format!("{byte:02x}")).collect());
    lines.collect::<Vec<String>>().join("\n")
}

fn usages() -> [AttemptUsage; 2] {
    let plain = AttemptUsage {
        sent_at: 1_790_000_000_000_000,
        customer: 9,
        class: "sign-off".into(),
        plan: "taller".into(),
        plan_version: 3,
        milli_units: 2_500,
        ..AttemptUsage::default()
    };
    let repeated = AttemptUsage {
        reservation: Some("r-1".into()),
        idempotency_key: Some("k-1".into()),
        is_retry: true,
        ..plain.clone()
    };
    [plain, repeated]
}

#[test]
fn ledger_files_keep_their_byte_format_and_are_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut ledger, incarnation) = Ledger::open(folder.path(), "limiter-1").unwrap();
    for usage in usages() {
        ledger.record(usage).unwrap();
        ledger.write().unwrap();
        ledger.mark_sent();
    }
    ledger.sync().unwrap();
    let file = file_name(incarnation);
    insta::assert_snapshot!(
        "ledger",
        format!(
            "{file}\n{}",
            hex(&fs::read(folder.path().join(&file)).unwrap())
        )
    );
    let read = reader::read_incarnation(folder.path(), incarnation).unwrap();
    let read: Vec<AttemptUsage> = read
        .attempts
        .into_iter()
        .map(|attempt| attempt.usage)
        .collect();
    assert_eq!(read, usages());
}

#[test]
fn the_export_cursor_keeps_its_keys() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (mut ledger, _) = Ledger::open(folder.path(), "limiter-1").unwrap();
    ledger.record(usages()[0].clone()).unwrap();
    ledger.write().unwrap();
    drop(ledger);
    let cursor = || fs::read_to_string(folder.path().join("export.json")).unwrap();
    let mut export = Exporter::open(folder.path()).unwrap();
    let batch = export
        .write_batch(out.path(), 10, &mut |_| true)
        .unwrap()
        .unwrap();
    let under_way = cursor();
    export.acknowledge(batch.number).unwrap();
    insta::assert_snapshot!("export-cursor", format!("{under_way}\n{}", cursor()));
    assert!(out.path().join("use-00000001.parquet").exists());
}
