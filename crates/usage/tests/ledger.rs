//! The ledger with truncated files, flipped bits, full disks and kills.

use std::fs;
use std::io;
use std::path::Path;

use quickcheck::{Gen, QuickCheck};
use usage::ledger::{Ledger, OpenError, file_name};
use usage::log::{self, LogFile, Writer};
use usage::reader::{self, ReadError};
use usage::record::AttemptUsage;

fn usage(customer: u64) -> AttemptUsage {
    let key = Some(format!("key-{customer}"));
    AttemptUsage {
        sent_at: 7,
        customer,
        class: "sign-off".into(),
        plan: "taller".into(),
        milli_units: 2_000,
        idempotency_key: key,
        ..AttemptUsage::default()
    }
}

/// Writes an incarnation with groups of these sizes; all groups but the last are marked as sent.
fn write_incarnation(folder: &Path, groups: &[u64]) {
    let (mut ledger, _) = Ledger::open(folder, "n0").unwrap();
    let mut customer = 0;
    for (index, size) in groups.iter().enumerate() {
        for _ in 0..*size {
            customer += 1;
            ledger.record(usage(customer)).unwrap();
        }
        ledger.write().unwrap();
        if index + 1 < groups.len() {
            ledger.mark_sent();
        }
    }
}

#[test]
fn recorded_attempts_are_read_and_a_kill_before_sending_leaves_one_group_possibly_unsent() {
    let folder = tempfile::tempdir().unwrap();
    write_incarnation(folder.path(), &[3, 2, 4]);
    write_incarnation(folder.path(), &[1]);
    let incarnations = reader::read_all(folder.path()).unwrap();
    let sent_count = |incarnation: usize| {
        incarnations[incarnation]
            .attempts
            .iter()
            .filter(|t| !t.maybe_unsent)
            .count()
    };
    assert_eq!(
        (
            incarnations.len(),
            incarnations[0].attempts.len(),
            sent_count(0),
            sent_count(1)
        ),
        (2, 9, 5, 0)
    );
    assert!(
        incarnations[0]
            .attempts
            .iter()
            .enumerate()
            .all(|(index, t)| t.number == index as u64 + 1 && t.usage.customer == t.number)
    );
    assert_eq!(
        (
            incarnations[1].attempts[0].incarnation,
            incarnations[1].attempts[0].limiter.as_str()
        ),
        (2, "n0")
    );
}

#[test]
fn an_incarnation_that_ended_in_order_has_no_possibly_unsent_attempts() {
    let folder = tempfile::tempdir().unwrap();
    let (mut ledger, incarnation) = Ledger::open(folder.path(), "n0").unwrap();
    ledger.record(usage(1)).unwrap();
    ledger.write().unwrap();
    ledger.mark_sent();
    ledger.sync().unwrap();
    assert!(
        !reader::read_incarnation(folder.path(), incarnation)
            .unwrap()
            .attempts[0]
            .maybe_unsent
    );
}

#[test]
fn only_one_process_writes_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let locked = Ledger::open(folder.path(), "n0").unwrap();
    assert!(matches!(
        Ledger::open(folder.path(), "n0"),
        Err(OpenError::Locked(_))
    ));
    drop(locked);
    assert_eq!(Ledger::open(folder.path(), "n0").unwrap().1, 2);
}

/// Truncation at any byte leaves an earlier state. A flipped bit is reported as damage, except where it makes the last
/// record look truncated; all records before that one are then still read.
#[test]
fn truncation_leaves_an_earlier_state_and_flipped_bits_are_never_ignored() {
    let folder = tempfile::tempdir().unwrap();
    write_incarnation(folder.path(), &[2, 3, 2]);
    let path = folder.path().join(file_name(1));
    let intact = fs::read(&path).unwrap();
    let attempts = reader::read_incarnation(folder.path(), 1).unwrap().attempts;
    let mut previous_count = 0;
    for length in 0..=intact.len() {
        fs::write(&path, &intact[..length]).unwrap();
        let read = reader::read_incarnation(folder.path(), 1).unwrap();
        assert!(
            read.attempts.len() >= previous_count && read.attempts.len() <= attempts.len(),
            "truncated at {length}"
        );
        previous_count = read.attempts.len();
        let is_prefix = read
            .attempts
            .iter()
            .zip(&attempts)
            .all(|(a, b)| a.usage == b.usage && a.number == b.number);
        assert!(is_prefix, "truncated at {length}");
    }
    assert_eq!(previous_count, attempts.len());
    let mut reported = 0;
    for at in 0..intact.len() {
        for bit in [0x01, 0x80] {
            let mut damaged = intact.clone();
            damaged[at] ^= bit;
            fs::write(&path, &damaged).unwrap();
            match reader::read_incarnation(folder.path(), 1) {
                Err(ReadError::Log(log::LogError::Damaged { offset, .. })) => {
                    assert!(
                        offset <= at as u64,
                        "damage at byte {at} is reported at the later offset {offset}"
                    );
                    reported += 1;
                }
                Err(error) => panic!("byte {at}: {error}"),
                // Only an increased length of the last record looks like a truncated tail.
                Ok(read) => {
                    assert!(
                        read.torn_bytes > 0 && read.attempts.len() == attempts.len() - 1,
                        "byte {at}"
                    );
                }
            }
        }
    }
    println!(
        "{} truncations, {} flips, {reported} reported",
        intact.len() + 1,
        intact.len() * 2
    );
    assert!(
        reported >= intact.len() * 2 - 8,
        "{reported} of {}",
        intact.len() * 2
    );
}

/// A file on a disk with a capacity in bytes, which accepts at most 7 bytes per write.
#[derive(Default)]
struct SmallFile {
    bytes: Vec<u8>,
    capacity: usize,
}

impl LogFile for &mut SmallFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let length = bytes
            .len()
            .min(7)
            .min(self.capacity.saturating_sub(self.bytes.len()));
        if length == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.bytes.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_full_disk_keeps_complete_records_and_the_pending_group() {
    // For a range of capacities at which the disk becomes full.
    for capacity in 60..400 {
        let mut file = SmallFile {
            bytes: Vec::new(),
            capacity,
        };
        let mut ledger = Ledger::start(&mut file, "n0", 1).unwrap();
        let mut failed = false;
        for customer in 1..=8 {
            ledger.record(usage(customer)).unwrap();
            if ledger.write().is_err() {
                failed = true;
                break;
            }
        }
        let pending = ledger.has_pending();
        drop(ledger);
        assert_eq!(failed, pending);
        let read = log::decode(&file.bytes).expect("the tail is truncated, not damaged");
        assert!(failed || read.records.len() == 9);
    }
    // With a writer that continues after the error.
    let mut file = SmallFile {
        bytes: Vec::new(),
        capacity: 30,
    };
    let mut writer = Writer::new(&mut file);
    writer.append(b"a record of some length").unwrap();
    assert!(writer.write().is_err());
    writer.append(b"another").unwrap();
    assert!(writer.write().is_err(), "still full");
    drop(writer);
    let mut file = SmallFile {
        bytes: Vec::new(),
        capacity: 40,
    };
    let mut writer = Writer::new(&mut file);
    writer.append(b"first").unwrap();
    writer.write().unwrap();
    writer.append(b"a record of some length").unwrap();
    writer.append(b"third").unwrap();
    assert!(writer.write().is_err());
    assert_eq!(writer.pending(), 23 + 5 + 16);
}

#[test]
fn random_records_are_read_back_in_order_from_groups_of_any_size() {
    fn holds(groups: Vec<Vec<Vec<u8>>>) -> bool {
        let mut file = SmallFile {
            bytes: Vec::new(),
            capacity: usize::MAX,
        };
        let mut writer = Writer::new(&mut file);
        for group in &groups {
            group
                .iter()
                .for_each(|record| writer.append(record).unwrap());
            writer.write().unwrap();
        }
        drop(writer);
        let read = log::decode(&file.bytes).unwrap();
        let records: Vec<Vec<u8>> = read.records.into_iter().map(|(_, record)| record).collect();
        records == groups.concat()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4))
        .tests(300)
        .quickcheck(holds as fn(Vec<Vec<Vec<u8>>>) -> bool);
}
