//! Corruption of synced data is detected, reported and quarantined, and never read as valid.

use std::collections::BTreeMap;

use rusqlite::Connection;
use test_case::test_case;

use super::*;
use crate::core::RecoveredState;
use crate::core::ids::Incarnation;
use crate::disk::{DATABASE_FILE, verify, verify_file};

/// The write-ahead log.
const WAL_FILE: &str = "headworks.db-wal";

fn initial_records() -> Vec<Record> {
    (0..40)
        .flat_map(|n| change_records(&format!("s{n}"), 100 + n))
        .collect()
}

/// A folder whose file holds the initial records, after a shutdown.
fn closed_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    open(folder.path(), true)
        .unwrap()
        .store
        .commit(&initial_records())
        .unwrap();
    folder
}

/// Opens a database with SQLite alone.
fn open_sqlite(folder: &Path) -> Connection {
    Connection::open(folder.join(DATABASE_FILE)).unwrap()
}

#[test]
fn committed_records_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    // Through the operating system, without the recording file system.
    let mut opened = Store::open(folder.path(), true).unwrap();
    assert_eq!(
        (
            opened.recovered.metadata.incarnation,
            opened.recovered.metadata.run
        ),
        (Incarnation::FIRST, 1)
    );
    opened
        .store
        .commit(
            &[
                change_records("s", 7),
                change_records("s", 8),
                change_records("t", 1),
            ]
            .concat(),
        )
        .unwrap();
    drop(opened);
    let opened = Store::open(folder.path(), false).unwrap();
    assert_eq!(
        (
            opened.recovered.metadata.incarnation,
            opened.recovered.metadata.run
        ),
        (Incarnation::FIRST, 2)
    );
    assert_eq!(
        state_of(&opened),
        state_after(&[change_records("s", 8), change_records("t", 1)])
    );
    assert_eq!(opened.quarantined, None);
}

#[test]
fn empty_disk_has_no_incarnation_and_partial_recovery_is_discarded() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), false).unwrap();
    assert_eq!(opened.recovered, RecoveredState::default());
    opened.store.commit(&change_records("s", 7)).unwrap();
    drop(opened);
    assert_eq!(
        open(folder.path(), false).unwrap().recovered,
        RecoveredState::default()
    );
}

/// Corrupts a folder with the initial records, in a named way or by an SQL statement.
fn corrupt(folder: &Path, how: &str) {
    let path = folder.join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    match how {
        "header" => bytes[..100].fill(7),
        "format version" => bytes[18] ^= 1,
        "schema version" => bytes[63] ^= 2,
        "truncated" => bytes.truncate(bytes.len() / 2),
        "emptied" => bytes.clear(),
        "record bit" => {
            let text = br#"{"ver":103,"text":"xxx"#;
            let offset = bytes
                .windows(text.len())
                .rposition(|window| window == text)
                .unwrap();
            bytes[offset + 20] ^= 4;
        }
        sql => return open_sqlite(folder).execute_batch(sql).unwrap(),
    }
    std::fs::write(&path, bytes).unwrap();
    if how == "emptied" {
        std::fs::write(folder.join(WAL_FILE), [0; 64]).unwrap();
    }
}

/// Stores the value of one record in the place of another.
const SWAP_RECORD: &str = "UPDATE registers SET (value, sum) =
    (SELECT value, sum FROM registers WHERE name = x'02027333') WHERE name = x'02027334'";

#[test_case("header", "not an SQLite database"; "header overwritten")]
#[test_case("format version", "unknown file format version"; "a bit of the header that makes SQLite open the file read-only")]
#[test_case("schema version", "header has schema version 3, table schema has 1"; "a bit of the schema version")]
#[test_case("truncated", "disk"; "truncated")]
#[test_case("emptied", "write-ahead log without its database file"; "emptied")]
#[test_case("record bit", "svcs/s3: does not match its checksum"; "a bit of a record")]
#[test_case(SWAP_RECORD, "registers svcs/s4: does not match its checksum"; "a record in the place of another")]
#[test_case("UPDATE chosen SET value = 7 WHERE name = x'02027334'", "chosen svcs/s4: is not a blob"; "a value of another type")]
#[test_case("UPDATE own SET value = x'00'", "own : does not match its checksum"; "the replica metadata")]
#[test_case("UPDATE schema SET sum = 1", "version does not match its checksum"; "the checksum of the schema version")]
#[test_case("DROP TABLE chosen", "no such table: chosen"; "a missing table")]
fn corrupt_files_are_reported_and_quarantined(how: &str, message: &str) {
    let folder = closed_folder();
    corrupt(folder.path(), how);
    let corrupt_files = read_files(folder.path());
    let report = verify(folder.path()).unwrap();
    assert!(!report.faults.is_empty(), "{report}");
    assert_eq!(
        read_files(folder.path()),
        corrupt_files,
        "verify changed the files"
    );

    // The settings may still say that the system starts for the first time (`bootstrap`).
    let opened = open(folder.path(), true).unwrap();
    let reason = opened.quarantined.unwrap();
    assert!(
        reason.contains(message) && reason.contains("aside-1-headworks.db"),
        "{reason}"
    );
    assert_eq!(opened.recovered, RecoveredState::default());
    drop(opened.store);
    assert_eq!(
        read_files(folder.path())["aside-1-headworks.db"],
        corrupt_files[DATABASE_FILE]
    );
    assert!(
        !verify_file(&folder.path().join("aside-1-headworks.db"))
            .unwrap()
            .faults
            .is_empty()
    );
    let opened = open(folder.path(), true).unwrap();
    assert_eq!(
        (opened.quarantined, opened.recovered),
        (None, RecoveredState::default()),
        "the next start treats the folder as that of a first start"
    );
}

#[test]
fn sqlite_check_misses_a_flipped_bit_of_a_record() {
    let folder = closed_folder();
    corrupt(folder.path(), "record bit");
    assert_eq!(
        crate::disk::pragma(&open_sqlite(folder.path()), "PRAGMA quick_check").unwrap(),
        "ok"
    );
}

#[test]
fn oldest_quarantined_files_are_removed() {
    let folder = closed_folder();
    for _ in 0..5 {
        corrupt(folder.path(), "header");
        assert!(open(folder.path(), false).unwrap().quarantined.is_some());
    }
    let files = read_files(folder.path());
    let quarantined: Vec<&String> = files
        .keys()
        .filter(|name| name.starts_with("aside"))
        .collect();
    assert_eq!(
        quarantined,
        [
            "aside-3-headworks.db",
            "aside-4-headworks.db",
            "aside-5-headworks.db"
        ]
    );
}

/// Power is lost after this many syncs of the folder; renames after the last sync may have been
/// stored or not.
#[test_case(0)]
#[test_case(1)]
fn interrupted_quarantine_never_separates_file_and_wal(syncs: usize) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    opened.store.commit(&initial_records()).unwrap();
    let mut base = read_files(folder.path());
    base.get_mut(WAL_FILE).unwrap()[5_000] ^= 1;
    for is_renamed in [false, true] {
        let folder = write_files(&base);
        start_recording(folder.path());
        recordings().get_mut(folder.path()).unwrap().fail_after = Some((syncs, ErrorKind::Other));
        assert!(open(folder.path(), false).is_err());
        take_recording(folder.path());
        if !is_renamed && syncs == 0 {
            std::fs::rename(
                folder.path().join("aside-1-headworks.db"),
                folder.path().join(DATABASE_FILE),
            )
            .unwrap();
        } else if !is_renamed {
            std::fs::rename(
                folder.path().join("aside-1-headworks.db-wal"),
                folder.path().join(WAL_FILE),
            )
            .unwrap();
        }
        let opened = open(folder.path(), true).unwrap();
        assert_eq!(opened.recovered, RecoveredState::default(), "{is_renamed}");
    }
}

#[test_case(false; "after a shutdown")]
#[test_case(true; "with a write-ahead log")]
fn newer_schema_is_rejected_and_not_modified(with_wal: bool) {
    let folder = closed_folder();
    let connection = open_sqlite(folder.path());
    let sum = crate::disk::records::checksum("schema", &[], &7_i64.to_le_bytes());
    let newer = format!(
        "PRAGMA user_version = 7; UPDATE schema SET version = 7, sum = {sum}; DROP TABLE chosen"
    );
    connection.execute_batch(&newer).unwrap();
    let files_before = if with_wal {
        read_files(folder.path())
    } else {
        drop(connection);
        read_files(folder.path())
    };
    assert_eq!(files_before.contains_key(WAL_FILE), with_wal);
    let folder = write_files(&files_before);
    std::fs::remove_file(folder.path().join("headworks.db-shm")).ok();
    let files_before = read_files(folder.path());
    for error in [
        Store::open(folder.path(), true).err(),
        verify(folder.path()).err(),
    ] {
        let error = format!("{:#}", error.unwrap());
        assert!(
            error.contains("schema version 7") && error.contains("up to 1"),
            "{error}"
        );
    }
    assert!(read_files(folder.path()) == files_before);
}

#[test]
fn undecodable_record_gets_no_checksum_in_migration() {
    let metadata = crate::core::ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 3,
        ..Default::default()
    };
    let folder = create_unversioned(&[initial_records()], &metadata);
    open_sqlite(folder.path())
        .execute_batch("UPDATE registers SET value = x'ff' WHERE name = x'02027334'")
        .unwrap();
    let reason = open(folder.path(), false).unwrap().quarantined.unwrap();
    assert!(
        reason.contains("registers svcs/s4: does not decode"),
        "{reason}"
    );
}

#[test]
fn report_covers_file_and_wal_and_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    assert!(verify(folder.path()).is_err());
    let mut opened = open(folder.path(), true).unwrap();
    opened.store.commit(&initial_records()).unwrap();
    opened.store.commit(&change_records("s3", 2_000)).unwrap();
    let files_before = read_files(folder.path());
    let report = verify(folder.path()).unwrap();
    assert_eq!((report.schema, report.incarnation, report.run), (1, 1, 1));
    assert_eq!(
        (report.registers, report.chosen, report.commits),
        (40, 40, 4)
    );
    assert_eq!(
        (report.highest, report.faults),
        (BTreeMap::from([("svcs", 2_000)]), vec![])
    );
    assert_eq!(read_files(folder.path()), files_before);
    drop(opened);
    let report = verify(folder.path()).unwrap();
    assert_eq!((report.registers, report.commits), (40, 0));
    assert!(
        report
            .to_string()
            .contains("highest version 2000 of svcs\n"),
        "{report}"
    );
}

/// The result of a start with corrupt files.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StartResult {
    /// All commits were read.
    Complete,
    Quarantined,
    /// The last commits are missing, as after a loss of power.
    Truncated,
}

/// Files with some commits in the database and some in the write-ahead log; the offset of the last
/// commit in the log; and the states before the last two commits, before the last one and after it.
fn partly_checkpointed() -> (Files, usize, Vec<StoredState>) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    // Enough for several pages, so that not every commit writes the same ones.
    let initial = (0..120)
        .flat_map(|n| change_records(&format!("s{n}"), 100 + n))
        .collect();
    let changed_services = ["s3", "s97", "s44", "s110", "s17"];
    let changes = changed_services
        .iter()
        .zip(2_000..)
        .map(|(service, ver)| change_records(service, ver));
    let commits: Vec<Vec<Record>> = std::iter::once(initial).chain(changes).collect();
    let mut last_commit_offset = 0;
    for (number, commit) in commits.iter().enumerate() {
        last_commit_offset = std::fs::metadata(folder.path().join(WAL_FILE))
            .unwrap()
            .len() as usize;
        opened.store.commit(commit).unwrap();
        if number == 0 {
            opened
                .store
                .connection
                .query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(()))
                .unwrap();
        }
    }
    (
        read_files(folder.path()),
        last_commit_offset,
        (4..=6)
            .map(|count| state_after(&commits[..count]))
            .collect(),
    )
}

#[test]
fn flipped_bit_in_a_wal_header_is_detected() {
    let (base, last_commit_offset, _) = partly_checkpointed();
    let frame_bytes = 24 + 4_096;
    let frames = (0..(last_commit_offset - 32) / frame_bytes)
        .flat_map(|number| (0..24).map(move |byte| 32 + number * frame_bytes + byte));
    let undetected = (0..32).chain(frames).filter(|offset| {
        let mut files = base.clone();
        files.get_mut(WAL_FILE).unwrap()[*offset] ^= 1;
        let contents = crate::disk::wal::read(&files[WAL_FILE], 4_096, |_, _| false);
        contents.corruption.is_none()
    });
    assert_eq!(undetected.collect::<Vec<_>>(), [0; 0]);
}

#[test]
fn lost_commit_mark_is_detected_by_a_rewritten_page() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    (1..4).for_each(|ver| opened.store.commit(&change_records("s", ver)).unwrap());
    let mut wal_bytes = read_files(folder.path()).remove(WAL_FILE).unwrap();
    let commit_mark = wal_bytes.len() - 3 * (24 + 4_096);
    wal_bytes[commit_mark..commit_mark + 24].fill(0);
    let corruption = crate::disk::wal::read(&wal_bytes, 4_096, |_, _| false)
        .corruption
        .unwrap();
    assert!(
        corruption.contains("more than one commit follows"),
        "{corruption}"
    );
}

#[test]
fn quarantined_files_are_unchanged() {
    let (mut base, ..) = partly_checkpointed();
    let file = base.get_mut(DATABASE_FILE).unwrap();
    // Old copies of the record remain in the free space of pages: the bit is flipped in all of
    // them.
    for offset in 0..file.len() - 30 {
        file[offset + 20] ^= if file[offset..].starts_with(b"\"ver\":175") {
            4
        } else {
            0
        };
    }
    let folder = write_files(&base);
    let reason = open(folder.path(), false).unwrap().quarantined.unwrap();
    assert!(
        reason.contains("svcs/s75: does not match its checksum"),
        "{reason}"
    );
    let files = read_files(folder.path());
    assert!(
        files["aside-1-headworks.db"] == base[DATABASE_FILE]
            && files["aside-1-headworks.db-wal"] == base[WAL_FILE]
    );
}

#[test]
fn corruption_is_never_read_as_valid() {
    let (base, last_commit_offset, states) = partly_checkpointed();
    let mut rng = Rng(29);
    let mut counts = BTreeMap::new();
    for trial in 0..1_500 {
        let mut files = base.clone();
        let in_wal = trial % 2 == 0;
        let bytes = files
            .get_mut(if in_wal { WAL_FILE } else { DATABASE_FILE })
            .unwrap();
        let offset = rng.below(bytes.len());
        let sector = offset / 512 * 512;
        // Corruption in the last commit can't be distinguished from a loss of power, nor can the
        // loss of the sector with the commit mark of the commit before it.
        let commit_mark = last_commit_offset.saturating_sub(4_120);
        let has_commit_mark =
            trial % 3 == 0 && sector < commit_mark + 24 && commit_mark < sector + 512;
        let may_be_truncated = in_wal && (sector + 512 > last_commit_offset || has_commit_mark);
        if trial % 3 == 0 {
            let sector = sector..(sector + 512).min(bytes.len());
            let other_offset = rng.below(bytes.len() / 512 - 1) * 512;
            let other = bytes[other_offset..other_offset + sector.len()].to_vec();
            let zeros = vec![0; sector.len()];
            bytes[sector].copy_from_slice(if trial % 2 == 0 { &zeros } else { &other });
        } else {
            bytes[offset] ^= 1 << rng.below(8);
        }
        let folder = write_files(&files);
        let report = verify(folder.path()).unwrap_or_else(|error| panic!("{trial}: {error:#}"));
        let opened = open(folder.path(), true).unwrap_or_else(|error| panic!("{trial}: {error:#}"));
        let result = match &opened.quarantined {
            Some(_) if opened.recovered == RecoveredState::default() => StartResult::Quarantined,
            None if state_of(&opened) == states[2] => StartResult::Complete,
            None if may_be_truncated && state_of(&opened) == states[1] => StartResult::Truncated,
            None if may_be_truncated && has_commit_mark && state_of(&opened) == states[0] => {
                StartResult::Truncated
            }
            reason => panic!(
                "{trial}: {offset} of {}: {reason:?}",
                if in_wal { WAL_FILE } else { DATABASE_FILE }
            ),
        };
        assert_eq!(
            report.faults.is_empty(),
            result != StartResult::Quarantined,
            "{trial}: {report}"
        );
        *counts.entry((in_wal, result)).or_insert(0) += 1;
    }
    // Most of the bytes of the file are unused, or are replaced by newer pages in the log. The
    // results that occur at least 100 times are compared.
    let results: Vec<_> = counts
        .into_iter()
        .filter(|(_, count)| *count >= 100)
        .map(|(result, _)| result)
        .collect();
    let expected = [
        (false, StartResult::Complete),
        (false, StartResult::Quarantined),
        (true, StartResult::Quarantined),
        (true, StartResult::Truncated),
    ];
    assert!(results == expected, "{results:?}");
}
