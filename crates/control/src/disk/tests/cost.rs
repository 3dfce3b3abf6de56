//! Cost of a commit and of a start, by storage layout. Prints tables; run by hand:
//! `cargo test --release -p streamarch-control --lib disk::tests::cost -- --ignored --nocapture --test-threads=1`

use std::collections::BTreeSet;
use std::io::Write;
use std::time::Instant;

use rusqlite::{Connection, OpenFlags};

use super::*;
use crate::disk::records::checksum;
use crate::disk::{DATABASE_FILE, verify};

/// The measured changes.
const COMMITS: u64 = 400;
/// The items that the database holds before.
const ITEMS: u64 = 1_000;

/// A storage layout for records.
#[derive(Clone, Copy, PartialEq)]
enum Layout {
    /// SQLite with a write-ahead log.
    Wal,
    /// SQLite with a rollback journal of this mode.
    Journal(&'static str),
    /// An append-only file without SQLite.
    AppendOnly,
}

/// A database of one of the layouts.
enum Database {
    Sqlite(Store),
    AppendOnly(PathBuf, File),
}

impl Database {
    fn new(folder: &Path, layout: Layout, recorded: bool) -> Database {
        let access = if recorded {
            FileAccess {
                vfs: Some("recording"),
                sync_folder: record_folder_sync,
            }
        } else {
            FileAccess::DIRECT
        };
        let connection = match layout {
            Layout::AppendOnly => {
                let file = OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(folder.join("own.log"))
                    .unwrap();
                return Database::AppendOnly(folder.to_path_buf(), file);
            }
            Layout::Wal => {
                return Database::Sqlite(Store::open_with(access, folder, true).unwrap().store);
            }
            Layout::Journal(mode) => {
                drop(Store::open_with(access, folder, true).unwrap());
                let flags = OpenFlags::default();
                let opened = match access.vfs {
                    Some(vfs) => {
                        Connection::open_with_flags_and_vfs(folder.join(DATABASE_FILE), flags, vfs)
                    }
                    None => Connection::open_with_flags(folder.join(DATABASE_FILE), flags),
                };
                let connection = opened.unwrap();
                for setting in [
                    "locking_mode=EXCLUSIVE",
                    &format!("journal_mode={mode}"),
                    "synchronous=FULL",
                ] {
                    crate::disk::pragma(&connection, &format!("PRAGMA {setting}")).unwrap();
                }
                connection
            }
        };
        Database::Sqlite(Store {
            connection,
            wal_path: PathBuf::new(),
            checkpoint_bytes: u64::MAX,
        })
    }

    fn commit(&mut self, records: &[Record]) {
        match self {
            Database::Sqlite(store) => store.commit(records).unwrap(),
            Database::AppendOnly(folder, file) => {
                let mut buffer = Vec::new();
                for record in records {
                    let bytes = match record {
                        Record::Register(name, register) => {
                            postcard::to_allocvec(&(name, register))
                        }
                        Record::Chosen(ballot, item) => postcard::to_allocvec(&(ballot, item)),
                        Record::Metadata(metadata) => postcard::to_allocvec(metadata),
                    };
                    let bytes = bytes.unwrap();
                    buffer.extend((bytes.len() as u32).to_le_bytes());
                    buffer.extend(checksum("log", &[], &bytes).to_le_bytes());
                    buffer.extend(bytes);
                }
                let offset = file.metadata().unwrap().len();
                record(
                    folder,
                    FileOp::Write("own.log".to_string(), offset, buffer.clone()),
                )
                .unwrap();
                record(folder, FileOp::Sync("own.log".to_string())).unwrap();
                file.write_all(&buffer).unwrap();
                if !recordings().contains_key(folder) {
                    file.sync_data().unwrap();
                }
            }
        }
    }
}

/// Fills a folder, then makes single changes; gives the syncs, bytes and milliseconds of one
/// change.
fn measure_changes(layout: Layout, recorded: bool) -> (f64, f64, f64) {
    let folder = tempfile::tempdir().unwrap();
    drop(open(tempfile::tempdir().unwrap().path(), false));
    let mut database = Database::new(folder.path(), layout, recorded);
    database.commit(
        &(0..ITEMS)
            .flat_map(|n| change_records(&format!("s{n}"), n + 1))
            .collect::<Vec<_>>(),
    );
    if recorded {
        start_recording(folder.path());
    }
    let (mut rng, started_at) = (Rng(3), Instant::now());
    for ver in 0..COMMITS {
        // A change is written by two votes and by its announcement: three commits of one record.
        let service = format!("s{}", rng.below(ITEMS as usize));
        let [Record::Register(name, accepted), chosen] = &change_records(&service, 5_000 + ver)[..]
        else {
            unreachable!()
        };
        let promised = Register {
            promised_ballot: accepted.promised_ballot,
            accepted_value: None,
        };
        database.commit(&[Record::Register(name.clone(), promised)]);
        database.commit(&[Record::Register(name.clone(), accepted.clone())]);
        database.commit(std::slice::from_ref(chosen));
    }
    let elapsed_ms = started_at.elapsed().as_secs_f64() * 1e3 / COMMITS as f64;
    let operations = if recorded {
        take_recording(folder.path())
    } else {
        Vec::new()
    };
    let (mut syncs, mut bytes, mut known_files) = (
        0,
        0,
        BTreeSet::from([DATABASE_FILE, "headworks.db-wal", "own.log"]),
    );
    for operation in &operations {
        match operation {
            // The first sync of a new file also syncs its name in the folder.
            FileOp::Sync(file) => syncs += 1 + usize::from(known_files.insert(file)),
            FileOp::Write(_, _, written) => bytes += written.len(),
            FileOp::Delete(file) => _ = known_files.remove(file.as_str()),
            _ => {}
        }
    }
    (
        syncs as f64 / COMMITS as f64,
        bytes as f64 / COMMITS as f64,
        elapsed_ms,
    )
}

#[test]
#[ignore = "prints the cost of a change"]
fn cost_of_a_change() {
    println!(
        "| layout | syncs | bytes | ms at 0.5 ms per sync | ms at 5 ms per sync | ms measured |"
    );
    let journal = ["DELETE", "TRUNCATE", "PERSIST"].map(Layout::Journal);
    for layout in [Layout::Wal, Layout::AppendOnly].into_iter().chain(journal) {
        let name = match layout {
            Layout::Wal => "SQLite, WAL",
            Layout::AppendOnly => "append-only file, never compacted",
            Layout::Journal(mode) => mode,
        };
        let (syncs, bytes, _) = measure_changes(layout, true);
        let (_, _, measured_ms) = measure_changes(layout, false);
        println!(
            "| {name} | {syncs:.2} | {bytes:.0} | {:.1} | {:.0} | {measured_ms:.2} |",
            syncs * 0.5,
            syncs * 5.0
        );
    }
}

#[test]
#[ignore = "prints the cost of a start"]
fn cost_of_a_start() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = Store::open(folder.path(), true).unwrap();
    for batch in 0..100 {
        let records =
            (batch * 100..batch * 100 + 100).flat_map(|n| change_records(&format!("s{n}"), n + 1));
        opened.store.commit(&records.collect::<Vec<_>>()).unwrap();
    }
    let power_loss_files = read_files(folder.path());
    drop(opened);
    for (name, files) in [
        ("after a shutdown", read_files(folder.path())),
        ("after a loss of power", power_loss_files),
    ] {
        let folder = write_files(&files);
        let sizes: Vec<String> = files
            .iter()
            .map(|(name, bytes)| format!("{name} {}", bytes.len()))
            .collect();
        let started_at = Instant::now();
        verify(folder.path()).unwrap();
        let verify_ms = started_at.elapsed().as_secs_f64() * 1e3;
        let started_at = Instant::now();
        let opened = Store::open(folder.path(), false).unwrap();
        let open_ms = started_at.elapsed().as_secs_f64() * 1e3;
        assert_eq!(opened.recovered.registers.len(), 10_000);
        println!(
            "{name}: {open_ms:.0} ms, verify {verify_ms:.0} ms; {}",
            sizes.join(", ")
        );
    }
    // The same contents in an append-only file: read, checked and decoded.
    let folder = tempfile::tempdir().unwrap();
    let mut database = Database::new(folder.path(), Layout::AppendOnly, false);
    // While the folder is recorded, commits do not sync.
    start_recording(folder.path());
    for n in 0..10_000 {
        database.commit(&change_records(&format!("s{n}"), n + 1));
    }
    let started_at = Instant::now();
    let bytes = std::fs::read(folder.path().join("own.log")).unwrap();
    let (mut offset, mut count) = (0, 0);
    while let Some(header) = bytes.get(offset..offset + 8) {
        let length = u32::from_le_bytes(header[..4].try_into().unwrap()) as usize;
        let value = &bytes[offset + 8..offset + 8 + length];
        assert_eq!(checksum("log", &[], value).to_le_bytes(), header[4..]);
        // Every second record is a chosen item.
        match count % 2 {
            0 => _ = postcard::from_bytes::<(ItemName, Register)>(value).unwrap(),
            _ => _ = postcard::from_bytes::<(Ballot, Item)>(value).unwrap(),
        }
        (offset, count) = (offset + 8 + length, count + 1);
    }
    println!(
        "append-only file: {:.0} ms for {count} records, {} bytes",
        started_at.elapsed().as_secs_f64() * 1e3,
        bytes.len()
    );
}
