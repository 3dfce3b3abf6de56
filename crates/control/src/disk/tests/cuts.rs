//! Loss of power at every write and sync: synced data is there; of each later write all, nothing or
//! a part.

use std::collections::{BTreeMap, BTreeSet};

use test_case::test_case;

use super::*;
use crate::core::ReplicaMetadata;
use crate::core::ids::Incarnation;

/// A write that may be present, missing or torn.
#[derive(Clone)]
struct Loose {
    file: String,
    change: Change,
}

#[derive(Clone)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

/// The state of a disk at an instant.
#[derive(Clone, Default)]
struct Disk {
    synced: Files,
    loose: Vec<Loose>,
    /// Names that were removed, and may reappear.
    removed: Files,
    /// Files that are new, and may be missing.
    fresh: BTreeSet<String>,
}

impl Loose {
    /// Applies the bytes from `from` to `to` of this write to the file.
    fn apply(&self, files: &mut Files, from: usize, to: usize) {
        let file = files.entry(self.file.clone()).or_default();
        match &self.change {
            Change::Length(length) => file.resize(*length as usize, 0),
            Change::Write(at, bytes) => {
                let (from, to) = (from.min(bytes.len()), to.min(bytes.len()));
                let at = *at as usize;
                file.resize(file.len().max(at + to), 0);
                file[at + from..at + to].copy_from_slice(&bytes[from..to]);
            }
        }
    }

    fn length(&self) -> usize {
        match &self.change {
            Change::Write(_, bytes) => bytes.len(),
            Change::Length(_) => 0,
        }
    }
}

const ALL: usize = usize::MAX;

impl Disk {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(file, at, bytes) => self.change(file, Change::Write(*at, bytes.clone())),
            Step::Length(file, length) => self.change(file, Change::Length(*length)),
            Step::Sync(file) => {
                self.synced.entry(file.clone()).or_default();
                self.fresh.remove(file);
                for loose in self.loose.extract_if(.., |loose| loose.file == *file) {
                    loose.apply(&mut self.synced, 0, ALL);
                }
            }
            Step::Delete(file) => {
                self.loose.retain(|loose| loose.file != *file);
                self.fresh.remove(file);
                if let Some(bytes) = self.synced.remove(file) {
                    self.removed.insert(file.clone(), bytes);
                }
            }
            Step::Folder => {
                self.removed.clear();
                self.fresh.clear();
            }
            Step::Told => {}
        }
    }

    fn change(&mut self, file: &str, change: Change) {
        if !self.synced.contains_key(file) {
            self.removed.remove(file);
            self.synced.insert(file.to_string(), Vec::new());
            self.fresh.insert(file.to_string());
        }
        self.loose.push(Loose {
            file: file.to_string(),
            change,
        });
    }

    /// The states that may be found after a loss of power now.
    fn images(&self, chance: &mut Chance) -> BTreeSet<Files> {
        let count = self.loose.len();
        // For each unsynced write, the part of it that is present.
        let mut ways = vec![vec![(0, ALL); count], vec![(0, 0); count]];
        for at in 0..count {
            let length = self.loose[at].length();
            let parts = [
                (0, 0),
                (0, 8),
                (0, 512),
                (0, length / 2),
                (512, ALL),
                (length / 2, ALL),
                (8, ALL),
            ];
            for part in parts {
                // The earlier ones are present and the later ones not; or all others are.
                let before = |other: usize| if other < at { (0, ALL) } else { (0, 0) };
                ways.push(
                    (0..count)
                        .map(|other| if other == at { part } else { before(other) })
                        .collect(),
                );
                ways.push(
                    (0..count)
                        .map(|other| if other == at { part } else { (0, ALL) })
                        .collect(),
                );
            }
            ways.push(
                (0..count)
                    .map(|other| if other == at { (0, ALL) } else { (0, 0) })
                    .collect(),
            );
        }
        for _ in 0..if count > 1 { 6 } else { 0 } {
            ways.push(
                (0..count)
                    .map(|_| [(0, 0), (0, ALL), (0, 512), (512, ALL)][chance.below(4)])
                    .collect(),
            );
        }
        let mut images = BTreeSet::new();
        for way in ways {
            let mut files = self.synced.clone();
            for (loose, (from, to)) in self.loose.iter().zip(way) {
                if to > 0 {
                    loose.apply(&mut files, from, to);
                }
            }
            let mut removed = files.clone();
            removed.extend(self.removed.clone());
            let mut missing = files.clone();
            missing.retain(|name, _| !self.fresh.contains(name));
            images.extend([files, removed, missing]);
        }
        images
    }
}

/// Passes every state that may be found after each step to `check`, with the number of commits
/// reported by then. Returns how many states there were.
fn cut(base: Files, steps: &[Step], mut check: impl FnMut(usize, usize, &Files)) -> usize {
    let mut disk = Disk {
        synced: base,
        ..Disk::default()
    };
    let (mut told, mut seen, mut chance) = (0, BTreeSet::new(), Chance(1));
    for (number, step) in steps.iter().enumerate() {
        disk.step(step);
        told += usize::from(matches!(step, Step::Told));
        for image in disk.images(&mut chance) {
            if seen.insert((told, image.clone())) {
                check(number, told, &image);
            }
        }
    }
    seen.len()
}

fn open_cut(number: usize, image: &Files, bootstrap: bool) -> OpenedStore {
    let folder = lay(image);
    let opened =
        open(folder.path(), bootstrap).unwrap_or_else(|error| panic!("step {number}: {error:#}"));
    assert_eq!(opened.quarantined, None, "step {number}");
    opened
}

fn own(opened: &OpenedStore) -> (Incarnation, u32) {
    (
        opened.recovered.metadata.incarnation,
        opened.recovered.metadata.run,
    )
}

#[test]
fn first_start_survives_a_power_loss_at_any_step() {
    let folder = tempfile::tempdir().unwrap();
    watch(folder.path());
    let opened = open(folder.path(), true).unwrap();
    told(folder.path());
    let steps = steps(folder.path());
    drop(opened);
    let mut runs = BTreeSet::new();
    let images = cut(Files::new(), &steps, |number, told, image| {
        let (incarnation, run) = own(&open_cut(number, image, true));
        assert!(
            incarnation == Incarnation::FIRST && run > told as u32,
            "step {number}: run {run}"
        );
        runs.insert((told, run));
    });
    assert!(images > 100, "{images}");
    assert_eq!(runs, BTreeSet::from([(0, 1), (0, 2), (1, 2)]));
}

fn commits() -> Vec<Vec<Record>> {
    let all = |first: u64| {
        (first..first + 12)
            .flat_map(move |n| rows(&format!("s{n}"), 100 * first + n))
            .collect()
    };
    vec![
        all(0),
        rows("s3", 2_000),
        all(6),
        rows("s3", 2_001),
        [rows("s4", 5_000), rows("new", 1)].concat(),
    ]
}

/// Operations on a store other than commits.
enum Beside {
    Nothing,
    Checkpoint,
    Close,
}

#[test_case(Beside::Nothing; "commits alone")]
#[test_case(Beside::Checkpoint; "with a checkpoint and the log begun anew")]
#[test_case(Beside::Close; "with an end and a start")]
fn reported_writes_survive_a_power_loss_at_any_step(beside: Beside) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    let commits = commits();
    opened.store.commit(&commits[0]).unwrap();
    let base = files(folder.path());
    watch(folder.path());
    if matches!(beside, Beside::Checkpoint) {
        opened.store.checkpoint_bytes = 16 * 1024;
    }
    let mut run = opened.recovered.metadata.run;
    for (number, commit) in commits.iter().enumerate().skip(1) {
        opened.store.commit(commit).unwrap();
        told(folder.path());
        match beside {
            Beside::Close if number == 2 => {
                drop(opened);
                opened = open(folder.path(), false).unwrap();
                run = opened.recovered.metadata.run;
            }
            _ => {}
        }
    }
    let steps = steps(folder.path());
    let emptied = steps
        .iter()
        .filter(|step| matches!(step, Step::Length(file, 0) if file.ends_with("-wal")));
    assert_eq!(
        emptied.count(),
        if matches!(beside, Beside::Checkpoint) {
            2
        } else {
            0
        }
    );
    let states: Vec<_> = (1..=commits.len())
        .map(|count| after(&commits[..count]))
        .collect();
    let mut newer = 0;
    let images = cut(base, &steps, |number, told, image| {
        let opened = open_cut(number, image, false);
        let held = held(&opened);
        let next = states.get(told + 1) == Some(&held);
        newer += usize::from(next);
        assert!(
            next || held == states[told],
            "step {number}, {told} told: {held:?}"
        );
        assert!((2..=run + 1).contains(&opened.recovered.metadata.run));
    });
    assert!(images > 100 && newer > 0, "{images} {newer}");
}

#[test]
fn migration_survives_a_power_loss_at_any_step() {
    let commits = commits();
    let before = ReplicaMetadata {
        incarnation: Incarnation {
            number: 4,
            nonce: 9,
        },
        run: 6,
        ..ReplicaMetadata::default()
    };
    let folder = unversioned(&commits, &before);
    let base = files(folder.path());
    watch(folder.path());
    let opened = open(folder.path(), false).unwrap();
    told(folder.path());
    let steps = steps(folder.path());
    let expected = after(&commits);
    let mut kinds = BTreeMap::new();
    let images = cut(base, &steps, |number, told, image| {
        let folder = lay(image);
        *kinds
            .entry(super::super::verify(folder.path()).unwrap().schema)
            .or_insert(0) += 1;
        let opened = open_cut(number, image, true);
        assert_eq!(held(&opened), expected, "step {number}");
        let (incarnation, run) = own(&opened);
        assert!(
            incarnation == before.incarnation && (7 + told as u32..=8).contains(&run),
            "step {number}: {run}"
        );
    });
    assert!(
        images > 100 && kinds[&0] > 0 && kinds[&1] > 0,
        "{images} {kinds:?}"
    );
    assert_eq!(
        (held(&opened), own(&opened)),
        (expected, (before.incarnation, 7))
    );
}
