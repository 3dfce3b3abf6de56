//! Export with kills at every step, damaged files and two processes: no attempt is lost or exported twice.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use usage::export::{ExportError, Exporter, Step};
use usage::ledger::{Ledger, file_name};
use usage::record::AttemptUsage;

fn record_attempts(ledger: &mut Ledger, count: u64) {
    for customer in 0..count {
        ledger
            .record(AttemptUsage {
                customer,
                class: "lookup".into(),
                milli_units: 1_000,
                ..AttemptUsage::default()
            })
            .unwrap();
    }
    ledger.write().unwrap();
}

/// An incarnation with `count` attempts that ended before it recorded that its last group was sent.
fn write_incarnation(folder: &Path, count: u64) {
    let (mut ledger, _) = Ledger::open(folder, "n0").unwrap();
    record_attempts(&mut ledger, count);
}

/// The attempts in the batches of a folder as pairs of incarnation and number, and how many are possibly unsent.
fn read_batches(out: &Path) -> (Vec<(i64, i64)>, i64) {
    let (mut attempts, mut maybe_unsent) = (Vec::new(), 0);
    let mut paths: Vec<_> = fs::read_dir(out)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    paths.sort();
    for path in paths {
        let stored = table::open(&path).unwrap();
        attempts.extend(
            stored
                .integers("life")
                .unwrap()
                .into_iter()
                .zip(stored.integers("number").unwrap()),
        );
        maybe_unsent += stored.integers("unsure").unwrap().iter().sum::<i64>();
    }
    (attempts, maybe_unsent)
}

/// Exports until nothing is left. Before each complete run there is one that is interrupted at a step. The exporter is
/// opened anew each time, as after a kill of its process.
fn run_until_done(folder: &Path, out: &Path, max_attempts: usize, interrupted_step: Step) {
    for _ in 0..100 {
        Exporter::open(folder)
            .unwrap()
            .write_batch(out, max_attempts, &mut |step| step != interrupted_step)
            .unwrap();
        let mut export = Exporter::open(folder).unwrap();
        match export
            .write_batch(out, max_attempts, &mut |_| true)
            .unwrap()
        {
            Some(batch) => export.acknowledge(batch.number).unwrap(),
            None => return,
        }
    }
    panic!("export did not finish within 100 runs");
}

#[test]
fn an_export_interrupted_at_any_step_and_resumed_exports_each_attempt_once() {
    for interrupted_step in [
        Step::Started,
        Step::BatchRecorded,
        Step::Written,
        Step::Acknowledged,
    ] {
        let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        [7, 3, 5]
            .iter()
            .for_each(|count| write_incarnation(folder.path(), *count));
        run_until_done(folder.path(), out.path(), 4, interrupted_step);
        let (attempts, maybe_unsent) = read_batches(out.path());
        let distinct: BTreeSet<_> = attempts.iter().collect();
        assert_eq!(
            (attempts.len(), distinct.len(), maybe_unsent),
            (15, 15, 15),
            "{interrupted_step:?}"
        );
    }
}

#[test]
fn a_repeated_run_reproduces_the_pending_batch_despite_later_usage() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    write_incarnation(folder.path(), 5);
    let mut export = Exporter::open(folder.path()).unwrap();
    let batch = export
        .write_batch(out.path(), 3, &mut |_| true)
        .unwrap()
        .unwrap();
    assert_eq!((batch.number, batch.attempt_count()), (1, 3));
    let path = out.path().join(batch.file_name());
    let first = fs::read(&path).unwrap();
    fs::remove_file(&path).unwrap();
    drop(export);
    write_incarnation(folder.path(), 9);
    let mut export = Exporter::open(folder.path()).unwrap();
    assert_eq!(
        export.write_batch(out.path(), 100, &mut |_| true).unwrap(),
        Some(batch.clone())
    );
    assert_eq!(fs::read(&path).unwrap(), first);
    assert!(matches!(
        export.acknowledge(2),
        Err(ExportError::NotPending {
            acknowledged: 2,
            pending: Some(1)
        })
    ));
    export.acknowledge(1).unwrap();
    export.acknowledge(1).unwrap();
    let next = export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap()
        .unwrap();
    assert_eq!((next.number, next.attempt_count()), (2, 11));
}

#[test]
fn only_sent_attempts_of_a_running_incarnation_are_exported() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (mut ledger, _) = Ledger::open(folder.path(), "n0").unwrap();
    record_attempts(&mut ledger, 4);
    let mut export = Exporter::open(folder.path()).unwrap();
    assert_eq!(
        export.write_batch(out.path(), 100, &mut |_| true).unwrap(),
        None
    );
    ledger.mark_sent();
    record_attempts(&mut ledger, 2);
    let batch = export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap()
        .unwrap();
    assert_eq!(batch.attempt_count(), 4);
    export.acknowledge(1).unwrap();
    // After a kill the last two attempts are exported as possibly unsent.
    drop(ledger);
    export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap()
        .unwrap();
    let (attempts, maybe_unsent) = read_batches(out.path());
    assert_eq!((attempts.len(), maybe_unsent), (6, 2));
}

#[test]
fn damage_is_reported_with_its_offset_and_a_second_process_is_rejected() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    write_incarnation(folder.path(), 5);
    write_incarnation(folder.path(), 5);
    let path = folder.path().join(file_name(1));
    let intact = fs::read(&path).unwrap();
    let mut damaged = intact.clone();
    damaged[intact.len() / 2] ^= 1;
    fs::write(&path, &damaged).unwrap();
    let mut export = Exporter::open(folder.path()).unwrap();
    assert!(matches!(
        Exporter::open(folder.path()),
        Err(ExportError::Locked(_))
    ));
    let error = export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("life-00000001.use: damaged at byte "),
        "{error}"
    );
    assert_eq!(fs::read_dir(out.path()).unwrap().count(), 0);
    fs::write(&path, &intact).unwrap();
    assert_eq!(
        export
            .write_batch(out.path(), 100, &mut |_| true)
            .unwrap()
            .unwrap()
            .attempt_count(),
        10
    );
    drop(export);
    fs::write(folder.path().join("export.json"), "{\"acknowledgd\":1}").unwrap();
    let error = Exporter::open(folder.path()).unwrap_err().to_string();
    assert!(error.contains("did you mean 'acknowledged'?"), "{error}");
}
