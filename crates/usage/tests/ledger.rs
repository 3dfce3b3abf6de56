//! The ledger under cuts, flips, full disks and kills.

use std::fs;
use std::io;
use std::path::Path;

use quickcheck::{Gen, QuickCheck};
use usage::ledger::{Ledger, OpenError, file_name};
use usage::log::{self, LogFile, Writer};
use usage::reader::{self, ReadError};
use usage::record::AttemptUsage;

fn booking(customer: u64) -> AttemptUsage {
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

/// Groups of these sizes, each sent but the last.
fn written(folder: &Path, groups: &[u64]) {
    let (mut ledger, _) = Ledger::open(folder, "n0").unwrap();
    let mut customer = 0;
    for (k, size) in groups.iter().enumerate() {
        for _ in 0..*size {
            customer += 1;
            ledger.record(booking(customer)).unwrap();
        }
        ledger.write().unwrap();
        if k + 1 < groups.len() {
            ledger.mark_sent();
        }
    }
}

#[test]
fn what_was_booked_is_read_and_a_kill_before_the_sending_leaves_one_unsure_group() {
    let folder = tempfile::tempdir().unwrap();
    written(folder.path(), &[3, 2, 4]);
    written(folder.path(), &[1]);
    let lives = reader::read_all(folder.path()).unwrap();
    let sure = |life: usize| {
        lives[life]
            .attempts
            .iter()
            .filter(|t| !t.maybe_unsent)
            .count()
    };
    assert_eq!(
        (lives.len(), lives[0].attempts.len(), sure(0), sure(1)),
        (2, 9, 5, 0)
    );
    assert!(
        lives[0]
            .attempts
            .iter()
            .enumerate()
            .all(|(k, t)| t.number == k as u64 + 1 && t.usage.customer == t.number)
    );
    assert_eq!(
        (
            lives[1].attempts[0].incarnation,
            lives[1].attempts[0].limiter.as_str()
        ),
        (2, "n0")
    );
}

#[test]
fn a_life_that_ended_in_order_has_nothing_unsure() {
    let folder = tempfile::tempdir().unwrap();
    let (mut ledger, life) = Ledger::open(folder.path(), "n0").unwrap();
    ledger.record(booking(1)).unwrap();
    ledger.write().unwrap();
    ledger.mark_sent();
    ledger.sync().unwrap();
    assert!(
        !reader::read_incarnation(folder.path(), life)
            .unwrap()
            .attempts[0]
            .maybe_unsent
    );
}

#[test]
fn one_process_books_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let held = Ledger::open(folder.path(), "n0").unwrap();
    assert!(matches!(
        Ledger::open(folder.path(), "n0"),
        Err(OpenError::Locked(_))
    ));
    drop(held);
    assert_eq!(Ledger::open(folder.path(), "n0").unwrap().1, 2);
}

/// Every cut leaves an earlier state, and every flipped byte is named or leaves all that was acknowledged.
#[test]
fn cuts_leave_an_earlier_state_and_flips_are_never_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    written(folder.path(), &[2, 3, 2]);
    let path = folder.path().join(file_name(1));
    let whole = fs::read(&path).unwrap();
    let tries = reader::read_incarnation(folder.path(), 1).unwrap().attempts;
    let mut before = 0;
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).unwrap();
        let read = reader::read_incarnation(folder.path(), 1).unwrap();
        assert!(
            read.attempts.len() >= before && read.attempts.len() <= tries.len(),
            "cut at {cut}"
        );
        before = read.attempts.len();
        let same = read
            .attempts
            .iter()
            .zip(&tries)
            .all(|(a, b)| a.usage == b.usage && a.number == b.number);
        assert!(same, "cut at {cut}");
    }
    assert_eq!(before, tries.len());
    let mut named = 0;
    for at in 0..whole.len() {
        for bit in [0x01, 0x80] {
            let mut flipped = whole.clone();
            flipped[at] ^= bit;
            fs::write(&path, &flipped).unwrap();
            match reader::read_incarnation(folder.path(), 1) {
                Err(ReadError::Log(log::LogError::Damaged { offset, .. })) => {
                    assert!(offset <= at as u64, "byte {at} is not behind {offset}");
                    named += 1;
                }
                Err(error) => panic!("byte {at}: {error}"),
                // Only a longer length of the very last record looks like a tail that was cut off.
                Ok(read) => {
                    assert!(
                        read.torn_bytes > 0 && read.attempts.len() == tries.len() - 1,
                        "byte {at}"
                    );
                }
            }
        }
    }
    println!(
        "{} cuts, {} flips, {named} named",
        whole.len() + 1,
        whole.len() * 2
    );
    assert!(
        named >= whole.len() * 2 - 8,
        "{named} of {}",
        whole.len() * 2
    );
}

/// A disk that has room for so many bytes until it is given more, and takes a few at a time.
#[derive(Default)]
struct Small {
    bytes: Vec<u8>,
    room: usize,
}

impl LogFile for &mut Small {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let length = bytes
            .len()
            .min(7)
            .min(self.room.saturating_sub(self.bytes.len()));
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
fn a_full_disk_keeps_what_is_whole_and_the_group_goes_out_once_there_is_room() {
    // For every size at which the disk is full.
    for room in 60..400 {
        let mut disk = Small {
            bytes: Vec::new(),
            room,
        };
        let mut ledger = Ledger::start(&mut disk, "n0", 1).unwrap();
        let mut failed = false;
        for customer in 1..=8 {
            ledger.record(booking(customer)).unwrap();
            if ledger.write().is_err() {
                failed = true;
                break;
            }
        }
        let pending = ledger.has_pending();
        drop(ledger);
        assert_eq!(failed, pending);
        let read = log::decode(&disk.bytes).expect("a tail is torn, nothing is damaged");
        assert!(failed || read.records.len() == 9);
    }
    // And with the writer still there.
    let mut disk = Small {
        bytes: Vec::new(),
        room: 30,
    };
    let mut writer = Writer::new(&mut disk);
    writer.append(b"a record of some length").unwrap();
    assert!(writer.write().is_err());
    writer.append(b"another").unwrap();
    assert!(writer.write().is_err(), "still full");
    drop(writer);
    let mut disk = Small {
        bytes: Vec::new(),
        room: 40,
    };
    let mut writer = Writer::new(&mut disk);
    writer.append(b"first").unwrap();
    writer.write().unwrap();
    writer.append(b"a record of some length").unwrap();
    writer.append(b"third").unwrap();
    assert!(writer.write().is_err());
    assert_eq!(writer.pending(), 23 + 5 + 16);
}

#[test]
fn random_records_come_back_in_order_from_groups_of_any_size() {
    fn holds(groups: Vec<Vec<Vec<u8>>>) -> bool {
        let mut disk = Small {
            bytes: Vec::new(),
            room: usize::MAX,
        };
        let mut writer = Writer::new(&mut disk);
        for group in &groups {
            group
                .iter()
                .for_each(|record| writer.append(record).unwrap());
            writer.write().unwrap();
        }
        drop(writer);
        let read = log::decode(&disk.bytes).unwrap();
        let records: Vec<Vec<u8>> = read.records.into_iter().map(|(_, record)| record).collect();
        records == groups.concat()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4))
        .tests(300)
        .quickcheck(holds as fn(Vec<Vec<Vec<u8>>>) -> bool);
}
