//! The export under kills at every step, damage and two processes: nothing missing, nothing doubled.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use usage::export::{ExportError, Exporter, Step};
use usage::ledger::{Ledger, file_name};
use usage::record::AttemptUsage;

fn booked(ledger: &mut Ledger, count: u64) {
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

/// A life of so many tries that ended without a word of its last group.
fn life(folder: &Path, count: u64) {
    let (mut ledger, _) = Ledger::open(folder, "n0").unwrap();
    booked(&mut ledger, count);
}

/// What stands in the batches of a folder: by life and number, and how many are unsure.
fn handed_over(out: &Path) -> (Vec<(i64, i64)>, i64) {
    let (mut all, mut unsure) = (Vec::new(), 0);
    let mut paths: Vec<_> = fs::read_dir(out)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    paths.sort();
    for path in paths {
        let stored = table::open(&path).unwrap();
        all.extend(
            stored
                .integers("life")
                .unwrap()
                .into_iter()
                .zip(stored.integers("number").unwrap()),
        );
        unsure += stored.integers("unsure").unwrap().iter().sum::<i64>();
    }
    (all, unsure)
}

/// Runs until nothing is left; ahead of each run that is let alone goes one that is ended at a step. Opened anew each
/// time, as by a process that was killed.
fn run(folder: &Path, out: &Path, most: usize, kill: Step) {
    for _ in 0..100 {
        Exporter::open(folder)
            .unwrap()
            .write_batch(out, most, &mut |step| step != kill)
            .unwrap();
        let mut export = Exporter::open(folder).unwrap();
        match export.write_batch(out, most, &mut |_| true).unwrap() {
            Some(batch) => export.acknowledge(batch.number).unwrap(),
            None => return,
        }
    }
    panic!("no end");
}

#[test]
fn ended_at_any_step_and_begun_again_it_hands_over_the_same_set() {
    for kill in [
        Step::Started,
        Step::BatchRecorded,
        Step::Written,
        Step::Acknowledged,
    ] {
        let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        [7, 3, 5]
            .iter()
            .for_each(|count| life(folder.path(), *count));
        run(folder.path(), out.path(), 4, kill);
        let (all, unsure) = handed_over(out.path());
        let distinct: BTreeSet<_> = all.iter().collect();
        assert_eq!(
            (all.len(), distinct.len(), unsure),
            (15, 15, 15),
            "{kill:?}"
        );
    }
}

#[test]
fn a_repeat_reproduces_a_batch_byte_for_byte_and_later_use_does_not_change_it() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    life(folder.path(), 5);
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
    life(folder.path(), 9);
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
fn of_a_life_that_goes_on_only_what_went_out_is_handed_over() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (mut ledger, _) = Ledger::open(folder.path(), "n0").unwrap();
    booked(&mut ledger, 4);
    let mut export = Exporter::open(folder.path()).unwrap();
    assert_eq!(
        export.write_batch(out.path(), 100, &mut |_| true).unwrap(),
        None
    );
    ledger.mark_sent();
    booked(&mut ledger, 2);
    let batch = export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap()
        .unwrap();
    assert_eq!(batch.attempt_count(), 4);
    export.acknowledge(1).unwrap();
    // Killed: the last two may or may not have gone out, and are handed over as that.
    drop(ledger);
    export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap()
        .unwrap();
    let (all, unsure) = handed_over(out.path());
    assert_eq!((all.len(), unsure), (6, 2));
}

#[test]
fn damage_ends_an_export_by_its_place_and_a_second_process_is_refused() {
    let (folder, out) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    life(folder.path(), 5);
    life(folder.path(), 5);
    let path = folder.path().join(file_name(1));
    let whole = fs::read(&path).unwrap();
    let mut damaged = whole.clone();
    damaged[whole.len() / 2] ^= 1;
    fs::write(&path, &damaged).unwrap();
    let mut export = Exporter::open(folder.path()).unwrap();
    assert!(matches!(
        Exporter::open(folder.path()),
        Err(ExportError::Locked(_))
    ));
    let said = export
        .write_batch(out.path(), 100, &mut |_| true)
        .unwrap_err()
        .to_string();
    assert!(
        said.contains("life-00000001.use: damaged at byte "),
        "{said}"
    );
    assert_eq!(fs::read_dir(out.path()).unwrap().count(), 0);
    fs::write(&path, &whole).unwrap();
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
    let said = Exporter::open(folder.path()).unwrap_err().to_string();
    assert!(said.contains("did you mean 'acknowledged'?"), "{said}");
}
