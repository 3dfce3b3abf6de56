//! Corruption of synced data: detected, named, quarantined; never presented as valid.

use std::collections::BTreeMap;

use rusqlite::Connection;
use test_case::test_case;

use super::*;
use crate::core::RecoveredState;
use crate::core::ids::Incarnation;
use crate::disk::{DATABASE_FILE, verify, verify_file};

const LOG: &str = "headworks.db-wal";

fn many() -> Vec<Record> {
    (0..40)
        .flat_map(|n| rows(&format!("s{n}"), 100 + n))
        .collect()
}

/// A folder whose file holds `many`, and whose program has ended.
fn closed() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    open(folder.path(), true)
        .unwrap()
        .store
        .commit(&many())
        .unwrap();
    folder
}

fn plain(folder: &Path) -> Connection {
    Connection::open(folder.join(DATABASE_FILE)).unwrap()
}

#[test]
fn committed_records_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    // On the machine's own files.
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
        .commit(&[rows("s", 7), rows("s", 8), rows("t", 1)].concat())
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
    assert_eq!(held(&opened), after(&[rows("s", 8), rows("t", 1)]));
    assert_eq!(opened.quarantined, None);
}

#[test]
fn empty_disk_has_no_incarnation_and_partial_recovery_is_discarded() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), false).unwrap();
    assert_eq!(opened.recovered, RecoveredState::default());
    opened.store.commit(&rows("s", 7)).unwrap();
    drop(opened);
    assert_eq!(
        open(folder.path(), false).unwrap().recovered,
        RecoveredState::default()
    );
}

/// Corrupts a folder with `many`.
fn harm(folder: &Path, how: &str) {
    let path = folder.join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    match how {
        "head" => bytes[..100].fill(7),
        "formats" => bytes[18] ^= 1,
        "version" => bytes[63] ^= 2,
        "short" => bytes.truncate(bytes.len() / 2),
        "empty" => bytes.clear(),
        "bit" => {
            let text = br#"{"ver":103,"text":"xxx"#;
            let at = bytes
                .windows(text.len())
                .rposition(|window| window == text)
                .unwrap();
            bytes[at + 20] ^= 4;
        }
        sql => return plain(folder).execute_batch(sql).unwrap(),
    }
    std::fs::write(&path, bytes).unwrap();
    if how == "empty" {
        std::fs::write(folder.join(LOG), [0; 64]).unwrap();
    }
}

const OTHER: &str = "UPDATE registers SET (value, sum) =
    (SELECT value, sum FROM registers WHERE name = x'02027333') WHERE name = x'02027334'";

#[test_case("head", "the file is no database"; "head overwritten")]
#[test_case("formats", "formats that are none"; "a bit of the head that makes the file one to be read only")]
#[test_case("version", "the head names schema version 3, its table 1"; "a bit of the version")]
#[test_case("short", "disk"; "cut short")]
#[test_case("empty", "the log stands without its file"; "emptied")]
#[test_case("bit", "svcs/s3: does not match its checksum"; "a bit of a row")]
#[test_case(OTHER, "registers svcs/s4: does not match its checksum"; "a row in another's place")]
#[test_case("UPDATE chosen SET value = 7 WHERE name = x'02027334'", "chosen svcs/s4: is no bytes"; "a row of a type")]
#[test_case("UPDATE own SET value = x'00'", "own : does not match its checksum"; "the replica's own row")]
#[test_case("UPDATE schema SET sum = 1", "version does not match its checksum"; "the stated version")]
#[test_case("DROP TABLE chosen", "no such table: chosen"; "a table gone")]
fn corrupt_files_are_named_and_quarantined(how: &str, named: &str) {
    let folder = closed();
    harm(folder.path(), how);
    let harmed = files(folder.path());
    let report = verify(folder.path()).unwrap();
    assert!(!report.faults.is_empty(), "{report}");
    assert_eq!(files(folder.path()), harmed, "verify changes nothing");

    // The operators' settings may still say that the system starts for the first time.
    let opened = open(folder.path(), true).unwrap();
    let lost = opened.quarantined.unwrap();
    assert!(
        lost.contains(named) && lost.contains("aside-1-headworks.db"),
        "{lost}"
    );
    assert_eq!(opened.recovered, RecoveredState::default());
    drop(opened.store);
    assert_eq!(
        files(folder.path())["aside-1-headworks.db"],
        harmed[DATABASE_FILE]
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
        "nor at the next start"
    );
}

#[test]
fn sqlite_check_misses_a_flipped_bit_of_a_record() {
    let folder = closed();
    harm(folder.path(), "bit");
    assert_eq!(
        crate::disk::pragma(&plain(folder.path()), "PRAGMA quick_check").unwrap(),
        "ok"
    );
}

#[test]
fn oldest_quarantined_files_are_removed() {
    let folder = closed();
    for _ in 0..5 {
        harm(folder.path(), "head");
        assert!(open(folder.path(), false).unwrap().quarantined.is_some());
    }
    let files = files(folder.path());
    let kept: Vec<&String> = files
        .keys()
        .filter(|name| name.starts_with("aside"))
        .collect();
    assert_eq!(
        kept,
        [
            "aside-3-headworks.db",
            "aside-4-headworks.db",
            "aside-5-headworks.db"
        ]
    );
}

/// After this many syncs of the folder power is lost; renames after the last one may have been
/// stored or not.
#[test_case(0)]
#[test_case(1)]
fn quarantine_cut_anywhere_never_separates_file_and_wal(syncs: usize) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    opened.store.commit(&many()).unwrap();
    let mut base = files(folder.path());
    base.get_mut(LOG).unwrap()[5_000] ^= 1;
    for renamed in [false, true] {
        let folder = lay(&base);
        watch(folder.path());
        tapes().get_mut(folder.path()).unwrap().fails = Some((syncs, ErrorKind::Other));
        assert!(open(folder.path(), false).is_err());
        steps(folder.path());
        if !renamed && syncs == 0 {
            std::fs::rename(
                folder.path().join("aside-1-headworks.db"),
                folder.path().join(DATABASE_FILE),
            )
            .unwrap();
        } else if !renamed {
            std::fs::rename(
                folder.path().join("aside-1-headworks.db-wal"),
                folder.path().join(LOG),
            )
            .unwrap();
        }
        let opened = open(folder.path(), true).unwrap();
        assert_eq!(opened.recovered, RecoveredState::default(), "{renamed}");
    }
}

#[test_case(false; "closed")]
#[test_case(true; "with its log")]
fn newer_schema_is_rejected_and_left_as_it_is(logged: bool) {
    let folder = closed();
    let connection = plain(folder.path());
    let sum = crate::disk::records::checksum("schema", &[], &7_i64.to_le_bytes());
    let newer = format!(
        "PRAGMA user_version = 7; UPDATE schema SET version = 7, sum = {sum}; DROP TABLE chosen"
    );
    connection.execute_batch(&newer).unwrap();
    let before = if logged {
        files(folder.path())
    } else {
        drop(connection);
        files(folder.path())
    };
    assert_eq!(before.contains_key(LOG), logged);
    let folder = lay(&before);
    std::fs::remove_file(folder.path().join("headworks.db-shm")).ok();
    let before = files(folder.path());
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
    assert!(files(folder.path()) == before);
}

#[test]
fn undecodable_record_gets_no_checksum_in_migration() {
    let own = crate::core::ReplicaMetadata {
        incarnation: Incarnation::FIRST,
        run: 3,
        ..Default::default()
    };
    let folder = unversioned(&[many()], &own);
    plain(folder.path())
        .execute_batch("UPDATE registers SET value = x'ff' WHERE name = x'02027334'")
        .unwrap();
    let lost = open(folder.path(), false).unwrap().quarantined.unwrap();
    assert!(
        lost.contains("registers svcs/s4: does not decode"),
        "{lost}"
    );
}

#[test]
fn report_covers_file_and_wal_and_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    assert!(verify(folder.path()).is_err());
    let mut opened = open(folder.path(), true).unwrap();
    opened.store.commit(&many()).unwrap();
    opened.store.commit(&rows("s3", 2_000)).unwrap();
    let before = files(folder.path());
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
    assert_eq!(files(folder.path()), before);
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

/// What one corruption did to a start.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Seen {
    Nothing,
    PutAside,
    /// The last commit is missing.
    Before,
}

/// Files with some content in the database and some in the log, and where the last commit begins in
/// that.
fn half_logged() -> (Files, usize, Vec<Held>) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    // Enough for several pages: not every commit writes the same ones.
    let first = (0..120)
        .flat_map(|n| rows(&format!("s{n}"), 100 + n))
        .collect();
    let changed = ["s3", "s97", "s44", "s110", "s17"];
    let changes = changed.iter().zip(2_000..).map(|(at, ver)| rows(at, ver));
    let commits: Vec<Vec<Record>> = std::iter::once(first).chain(changes).collect();
    let mut begins = 0;
    for (number, commit) in commits.iter().enumerate() {
        begins = std::fs::metadata(folder.path().join(LOG)).unwrap().len() as usize;
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
        files(folder.path()),
        begins,
        (4..=6).map(|count| after(&commits[..count])).collect(),
    )
}

#[test]
fn flipped_bit_in_a_wal_header_is_detected() {
    let (base, last, _) = half_logged();
    let frame = 24 + 4_096;
    let frames =
        (0..(last - 32) / frame).flat_map(|number| (0..24).map(move |at| 32 + number * frame + at));
    let unseen = (0..32).chain(frames).filter(|at| {
        let mut files = base.clone();
        files.get_mut(LOG).unwrap()[*at] ^= 1;
        let log = crate::disk::wal::read(&files[LOG], 4_096, |_, _| false);
        log.corruption.is_none()
    });
    assert_eq!(unseen.collect::<Vec<_>>(), [0; 0]);
}

#[test]
fn lost_commit_mark_is_detected_by_a_rewritten_page() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = open(folder.path(), true).unwrap();
    (1..4).for_each(|ver| opened.store.commit(&rows("s", ver)).unwrap());
    let mut log = files(folder.path()).remove(LOG).unwrap();
    let mark = log.len() - 3 * (24 + 4_096);
    log[mark..mark + 24].fill(0);
    let harm = crate::disk::wal::read(&log, 4_096, |_, _| false)
        .corruption
        .unwrap();
    assert!(harm.contains("more than one commit follows"), "{harm}");
}

#[test]
fn quarantined_files_are_unchanged() {
    let (mut base, ..) = half_logged();
    let file = base.get_mut(DATABASE_FILE).unwrap();
    // Pages keep copies in their free space: all of them.
    for at in 0..file.len() - 30 {
        file[at + 20] ^= if file[at..].starts_with(b"\"ver\":175") {
            4
        } else {
            0
        };
    }
    let folder = lay(&base);
    let lost = open(folder.path(), false).unwrap().quarantined.unwrap();
    assert!(
        lost.contains("svcs/s75: does not match its checksum"),
        "{lost}"
    );
    let files = files(folder.path());
    assert!(
        files["aside-1-headworks.db"] == base[DATABASE_FILE]
            && files["aside-1-headworks.db-wal"] == base[LOG]
    );
}

#[test]
fn corruption_is_never_read_as_valid() {
    let (base, last, states) = half_logged();
    let mut chance = Chance(29);
    let mut seen = BTreeMap::new();
    for trial in 0..1_500 {
        let mut files = base.clone();
        let logged = trial % 2 == 0;
        let bytes = files
            .get_mut(if logged { LOG } else { DATABASE_FILE })
            .unwrap();
        let at = chance.below(bytes.len());
        let sector = at / 512 * 512;
        // Corruption in the last commit looks like a loss of power; so does a sector lost together
        // with the marker of the one before.
        let mark = last.saturating_sub(4_120);
        let marked = trial % 3 == 0 && sector < mark + 24 && mark < sector + 512;
        let may = logged && (sector + 512 > last || marked);
        if trial % 3 == 0 {
            let sector = sector..(sector + 512).min(bytes.len());
            let other = chance.below(bytes.len() / 512 - 1) * 512;
            let other = bytes[other..other + sector.len()].to_vec();
            let zeros = vec![0; sector.len()];
            bytes[sector].copy_from_slice(if trial % 2 == 0 { &zeros } else { &other });
        } else {
            bytes[at] ^= 1 << chance.below(8);
        }
        let folder = lay(&files);
        let report = verify(folder.path()).unwrap_or_else(|error| panic!("{trial}: {error:#}"));
        let opened = open(folder.path(), true).unwrap_or_else(|error| panic!("{trial}: {error:#}"));
        let found = match &opened.quarantined {
            Some(_) if opened.recovered == RecoveredState::default() => Seen::PutAside,
            None if held(&opened) == states[2] => Seen::Nothing,
            None if may && held(&opened) == states[1] => Seen::Before,
            None if may && marked && held(&opened) == states[0] => Seen::Before,
            lost => panic!(
                "{trial}: {at} of {}: {lost:?}",
                if logged { LOG } else { DATABASE_FILE }
            ),
        };
        assert_eq!(
            report.faults.is_empty(),
            found != Seen::PutAside,
            "{trial}: {report}"
        );
        *seen.entry((logged, found)).or_insert(0) += 1;
    }
    // Most of the file's bytes are free, or stand anew in the log.
    let seen: Vec<_> = seen
        .into_iter()
        .filter(|(_, count)| *count >= 100)
        .map(|(what, _)| what)
        .collect();
    let all = [
        (false, Seen::Nothing),
        (false, Seen::PutAside),
        (true, Seen::PutAside),
        (true, Seen::Before),
    ];
    assert!(seen == all, "{seen:?}");
}
