//! A loss of power at every write and sync: synced data must survive; of each unsynced write all,
//! nothing or a part may be stored.

use std::collections::{BTreeMap, BTreeSet};

use test_case::test_case;

use super::*;
use crate::core::ReplicaMetadata;
use crate::core::ids::Incarnation;

/// An unsynced write, which may be present, missing or torn.
#[derive(Clone)]
struct UnsyncedChange {
    file: String,
    change: Change,
}

#[derive(Clone)]
enum Change {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

/// The state of a disk at an instant.
#[derive(Clone, Default)]
struct Disk {
    synced: Files,
    unsynced: Vec<UnsyncedChange>,
    /// Deleted files whose deletion is not synced: they may reappear.
    deleted: Files,
    /// New files whose names are not synced: they may be missing.
    created: BTreeSet<String>,
}

impl UnsyncedChange {
    /// Applies the bytes from `from` to `to` of this write to the file.
    fn apply(&self, files: &mut Files, from: usize, to: usize) {
        let file = files.entry(self.file.clone()).or_default();
        match &self.change {
            Change::SetLength(length) => file.resize(*length as usize, 0),
            Change::Write(offset, bytes) => {
                let (from, to) = (from.min(bytes.len()), to.min(bytes.len()));
                let offset = *offset as usize;
                file.resize(file.len().max(offset + to), 0);
                file[offset + from..offset + to].copy_from_slice(&bytes[from..to]);
            }
        }
    }

    fn length(&self) -> usize {
        match &self.change {
            Change::Write(_, bytes) => bytes.len(),
            Change::SetLength(_) => 0,
        }
    }
}

/// The end of a write, however long it is.
const END: usize = usize::MAX;

impl Disk {
    fn apply(&mut self, operation: &FileOp) {
        match operation {
            FileOp::Write(file, offset, bytes) => {
                self.add_change(file, Change::Write(*offset, bytes.clone()))
            }
            FileOp::SetLength(file, length) => self.add_change(file, Change::SetLength(*length)),
            FileOp::Sync(file) => {
                self.synced.entry(file.clone()).or_default();
                self.created.remove(file);
                for unsynced in self.unsynced.extract_if(.., |change| change.file == *file) {
                    unsynced.apply(&mut self.synced, 0, END);
                }
            }
            FileOp::Delete(file) => {
                self.unsynced.retain(|change| change.file != *file);
                self.created.remove(file);
                if let Some(bytes) = self.synced.remove(file) {
                    self.deleted.insert(file.clone(), bytes);
                }
            }
            FileOp::SyncFolder => {
                self.deleted.clear();
                self.created.clear();
            }
            FileOp::CommitReported => {}
        }
    }

    fn add_change(&mut self, file: &str, change: Change) {
        if !self.synced.contains_key(file) {
            self.deleted.remove(file);
            self.synced.insert(file.to_string(), Vec::new());
            self.created.insert(file.to_string());
        }
        self.unsynced.push(UnsyncedChange {
            file: file.to_string(),
            change,
        });
    }

    /// The states that may be found after a loss of power at this point.
    fn possible_states(&self, rng: &mut Rng) -> BTreeSet<Files> {
        let count = self.unsynced.len();
        // For each unsynced write, the part of it that is present.
        let mut combinations = vec![vec![(0, END); count], vec![(0, 0); count]];
        for index in 0..count {
            let length = self.unsynced[index].length();
            let parts = [
                (0, 0),
                (0, 8),
                (0, 512),
                (0, length / 2),
                (512, END),
                (length / 2, END),
                (8, END),
            ];
            for part in parts {
                // Of the other writes only the earlier ones are present, or all of them.
                let preceding = |other: usize| if other < index { (0, END) } else { (0, 0) };
                combinations.push(
                    (0..count)
                        .map(|other| {
                            if other == index {
                                part
                            } else {
                                preceding(other)
                            }
                        })
                        .collect(),
                );
                combinations.push(
                    (0..count)
                        .map(|other| if other == index { part } else { (0, END) })
                        .collect(),
                );
            }
            combinations.push(
                (0..count)
                    .map(|other| if other == index { (0, END) } else { (0, 0) })
                    .collect(),
            );
        }
        for _ in 0..if count > 1 { 6 } else { 0 } {
            combinations.push(
                (0..count)
                    .map(|_| [(0, 0), (0, END), (0, 512), (512, END)][rng.below(4)])
                    .collect(),
            );
        }
        let mut states = BTreeSet::new();
        for parts in combinations {
            let mut files = self.synced.clone();
            for (unsynced, (from, to)) in self.unsynced.iter().zip(parts) {
                if to > 0 {
                    unsynced.apply(&mut files, from, to);
                }
            }
            let mut with_deleted = files.clone();
            with_deleted.extend(self.deleted.clone());
            let mut without_created = files.clone();
            without_created.retain(|name, _| !self.created.contains(name));
            states.extend([files, with_deleted, without_created]);
        }
        states
    }
}

/// Passes every state that may be found after each operation to `check`, with the number of commits
/// reported by then. Gives the number of states.
fn check_power_losses(
    base: Files,
    operations: &[FileOp],
    mut check: impl FnMut(usize, usize, &Files),
) -> usize {
    let mut disk = Disk {
        synced: base,
        ..Disk::default()
    };
    let (mut reported, mut checked, mut rng) = (0, BTreeSet::new(), Rng(1));
    for (number, operation) in operations.iter().enumerate() {
        disk.apply(operation);
        reported += usize::from(matches!(operation, FileOp::CommitReported));
        for files in disk.possible_states(&mut rng) {
            if checked.insert((reported, files.clone())) {
                check(number, reported, &files);
            }
        }
    }
    checked.len()
}

/// Opens files that were left by a loss of power after this operation.
fn open_after_power_loss(number: usize, files: &Files, bootstrap: bool) -> OpenedStore {
    let folder = write_files(files);
    let opened = open(folder.path(), bootstrap)
        .unwrap_or_else(|error| panic!("operation {number}: {error:#}"));
    assert_eq!(opened.quarantined, None, "operation {number}");
    opened
}

fn incarnation_and_run(opened: &OpenedStore) -> (Incarnation, u32) {
    (
        opened.recovered.metadata.incarnation,
        opened.recovered.metadata.run,
    )
}

#[test]
fn first_start_survives_a_power_loss_at_any_operation() {
    let folder = tempfile::tempdir().unwrap();
    start_recording(folder.path());
    let opened = open(folder.path(), true).unwrap();
    record_report(folder.path());
    let operations = take_recording(folder.path());
    drop(opened);
    let mut runs = BTreeSet::new();
    let states_checked =
        check_power_losses(Files::new(), &operations, |number, reported, files| {
            let (incarnation, run) =
                incarnation_and_run(&open_after_power_loss(number, files, true));
            assert!(
                incarnation == Incarnation::FIRST && run > reported as u32,
                "operation {number}: run {run}"
            );
            runs.insert((reported, run));
        });
    assert!(states_checked > 100, "{states_checked}");
    assert_eq!(runs, BTreeSet::from([(0, 1), (0, 2), (1, 2)]));
}

fn commits() -> Vec<Vec<Record>> {
    let batch = |first: u64| {
        (first..first + 12)
            .flat_map(move |n| change_records(&format!("s{n}"), 100 * first + n))
            .collect()
    };
    vec![
        batch(0),
        change_records("s3", 2_000),
        batch(6),
        change_records("s3", 2_001),
        [change_records("s4", 5_000), change_records("new", 1)].concat(),
    ]
}

/// An operation on the store between the commits.
enum Interleaved {
    Nothing,
    Checkpoint,
    Reopen,
}

#[test_case(Interleaved::Nothing; "commits only")]
#[test_case(Interleaved::Checkpoint; "with a checkpoint that restarts the log")]
#[test_case(Interleaved::Reopen; "with a shutdown and a start")]
fn reported_writes_survive_a_power_loss_at_any_operation(interleaved: Interleaved) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    let commits = commits();
    opened.store.commit(&commits[0]).unwrap();
    let base_files = read_files(folder.path());
    start_recording(folder.path());
    if matches!(interleaved, Interleaved::Checkpoint) {
        opened.store.checkpoint_bytes = 16 * 1024;
    }
    let mut run = opened.recovered.metadata.run;
    for (number, commit) in commits.iter().enumerate().skip(1) {
        opened.store.commit(commit).unwrap();
        record_report(folder.path());
        match interleaved {
            Interleaved::Reopen if number == 2 => {
                drop(opened);
                opened = open(folder.path(), false).unwrap();
                run = opened.recovered.metadata.run;
            }
            _ => {}
        }
    }
    let operations = take_recording(folder.path());
    let truncations = operations.iter().filter(
        |operation| matches!(operation, FileOp::SetLength(file, 0) if file.ends_with("-wal")),
    );
    assert_eq!(
        truncations.count(),
        if matches!(interleaved, Interleaved::Checkpoint) {
            2
        } else {
            0
        }
    );
    let states: Vec<_> = (1..=commits.len())
        .map(|count| state_after(&commits[..count]))
        .collect();
    let mut unreported = 0;
    let states_checked = check_power_losses(base_files, &operations, |number, reported, files| {
        let opened = open_after_power_loss(number, files, false);
        let state = state_of(&opened);
        let is_next = states.get(reported + 1) == Some(&state);
        unreported += usize::from(is_next);
        assert!(
            is_next || state == states[reported],
            "operation {number}, {reported} reported: {state:?}"
        );
        assert!((2..=run + 1).contains(&opened.recovered.metadata.run));
    });
    assert!(
        states_checked > 100 && unreported > 0,
        "{states_checked} {unreported}"
    );
}

#[test]
fn migration_survives_a_power_loss_at_any_operation() {
    let commits = commits();
    let metadata = ReplicaMetadata {
        incarnation: Incarnation {
            number: 4,
            nonce: 9,
        },
        run: 6,
        ..ReplicaMetadata::default()
    };
    let folder = create_unversioned(&commits, &metadata);
    let base_files = read_files(folder.path());
    start_recording(folder.path());
    let opened = open(folder.path(), false).unwrap();
    record_report(folder.path());
    let operations = take_recording(folder.path());
    let expected = state_after(&commits);
    let mut versions = BTreeMap::new();
    let states_checked = check_power_losses(base_files, &operations, |number, reported, files| {
        let folder = write_files(files);
        *versions
            .entry(super::super::verify(folder.path()).unwrap().schema)
            .or_insert(0) += 1;
        let opened = open_after_power_loss(number, files, true);
        assert_eq!(state_of(&opened), expected, "operation {number}");
        let (incarnation, run) = incarnation_and_run(&opened);
        assert!(
            incarnation == metadata.incarnation && (7 + reported as u32..=8).contains(&run),
            "operation {number}: {run}"
        );
    });
    assert!(
        states_checked > 100 && versions[&0] > 0 && versions[&1] > 0,
        "{states_checked} {versions:?}"
    );
    assert_eq!(
        (state_of(&opened), incarnation_and_run(&opened)),
        (expected, (metadata.incarnation, 7))
    );
}
