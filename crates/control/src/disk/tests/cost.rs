//! Cost of a commit and of a start, by storage layout. Prints tables; run by hand:
//! `cargo test --release -p streamarch-control --lib disk::trials::cost -- --ignored --nocapture --test-threads=1`

use std::collections::BTreeSet;
use std::io::Write;
use std::time::Instant;

use rusqlite::{Connection, OpenFlags};

use super::*;
use crate::disk::records::checksum;
use crate::disk::{DATABASE_FILE, verify};

const COMMITS: u64 = 400;
const ITEMS: u64 = 1_000;

/// A storage layout for rows.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Log,
    Journal(&'static str),
    Own,
}

enum Kept {
    Store(Store),
    Own(PathBuf, File),
}

impl Kept {
    fn new(folder: &Path, way: Way, watched: bool) -> Kept {
        let reach = if watched {
            FileAccess {
                vfs: Some("watched"),
                sync_folder: folder_synced,
            }
        } else {
            FileAccess::DIRECT
        };
        let connection = match way {
            Way::Own => {
                let file = OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(folder.join("own.log"))
                    .unwrap();
                return Kept::Own(folder.to_path_buf(), file);
            }
            Way::Log => return Kept::Store(Store::open_with(reach, folder, true).unwrap().store),
            Way::Journal(mode) => {
                drop(Store::open_with(reach, folder, true).unwrap());
                let flags = OpenFlags::default();
                let opened = match reach.vfs {
                    Some(vfs) => {
                        Connection::open_with_flags_and_vfs(folder.join(DATABASE_FILE), flags, vfs)
                    }
                    None => Connection::open_with_flags(folder.join(DATABASE_FILE), flags),
                };
                let connection = opened.unwrap();
                for text in [
                    "locking_mode=EXCLUSIVE",
                    &format!("journal_mode={mode}"),
                    "synchronous=FULL",
                ] {
                    crate::disk::pragma(&connection, &format!("PRAGMA {text}")).unwrap();
                }
                connection
            }
        };
        Kept::Store(Store {
            connection,
            log: PathBuf::new(),
            checkpoint_bytes: u64::MAX,
        })
    }

    fn commit(&mut self, rows: &[Record]) {
        match self {
            Kept::Store(store) => store.commit(rows).unwrap(),
            Kept::Own(folder, file) => {
                let mut record = Vec::new();
                for row in rows {
                    let bytes = match row {
                        Record::Register(name, register) => {
                            postcard::to_allocvec(&(name, register))
                        }
                        Record::Chosen(ballot, item) => postcard::to_allocvec(&(ballot, item)),
                        Record::Metadata(own) => postcard::to_allocvec(own),
                    };
                    let bytes = bytes.unwrap();
                    record.extend((bytes.len() as u32).to_le_bytes());
                    record.extend(checksum("log", &[], &bytes).to_le_bytes());
                    record.extend(bytes);
                }
                let at = file.metadata().unwrap().len();
                step(
                    folder,
                    Step::Write("own.log".to_string(), at, record.clone()),
                )
                .unwrap();
                step(folder, Step::Sync("own.log".to_string())).unwrap();
                file.write_all(&record).unwrap();
                if !tapes().contains_key(folder) {
                    file.sync_data().unwrap();
                }
            }
        }
    }
}

/// Fills a folder, then makes single changes; returns syncs and bytes per change, and milliseconds
/// per change.
fn changes(way: Way, watched: bool) -> (f64, f64, f64) {
    let folder = tempfile::tempdir().unwrap();
    drop(open(tempfile::tempdir().unwrap().path(), false));
    let mut kept = Kept::new(folder.path(), way, watched);
    kept.commit(
        &(0..ITEMS)
            .flat_map(|n| rows(&format!("s{n}"), n + 1))
            .collect::<Vec<_>>(),
    );
    if watched {
        watch(folder.path());
    }
    let (mut chance, begin) = (Chance(3), Instant::now());
    for ver in 0..COMMITS {
        // A change is written by two votes and by its announcement: three commits of one row.
        let at = format!("s{}", chance.below(ITEMS as usize));
        let [Record::Register(name, accepted), chosen] = &rows(&at, 5_000 + ver)[..] else {
            unreachable!()
        };
        let promised = Register {
            promised_ballot: accepted.promised_ballot,
            accepted_value: None,
        };
        kept.commit(&[Record::Register(name.clone(), promised)]);
        kept.commit(&[Record::Register(name.clone(), accepted.clone())]);
        kept.commit(std::slice::from_ref(chosen));
    }
    let spent = begin.elapsed().as_secs_f64() * 1e3 / COMMITS as f64;
    let steps = if watched {
        steps(folder.path())
    } else {
        Vec::new()
    };
    let (mut syncs, mut bytes, mut known) = (
        0,
        0,
        BTreeSet::from([DATABASE_FILE, "headworks.db-wal", "own.log"]),
    );
    for step in &steps {
        match step {
            // A new file's name is synced with it.
            Step::Sync(file) => syncs += 1 + usize::from(known.insert(file)),
            Step::Write(_, _, written) => bytes += written.len(),
            Step::Delete(file) => _ = known.remove(file.as_str()),
            _ => {}
        }
    }
    (
        syncs as f64 / COMMITS as f64,
        bytes as f64 / COMMITS as f64,
        spent,
    )
}

#[test]
#[ignore = "prints what a change costs"]
fn cost_of_a_change() {
    println!("| way | syncs | bytes | ms at 0.5 ms a sync | ms at 5 ms a sync | ms here |");
    let journal = ["DELETE", "TRUNCATE", "PERSIST"].map(Way::Journal);
    for way in [Way::Log, Way::Own].into_iter().chain(journal) {
        let name = match way {
            Way::Log => "SQLite, WAL",
            Way::Own => "own log, never compacted",
            Way::Journal(mode) => mode,
        };
        let (syncs, bytes, _) = changes(way, true);
        let (_, _, here) = changes(way, false);
        println!(
            "| {name} | {syncs:.2} | {bytes:.0} | {:.1} | {:.0} | {here:.2} |",
            syncs * 0.5,
            syncs * 5.0
        );
    }
}

#[test]
#[ignore = "prints what a start costs"]
fn cost_of_a_start() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = Store::open(folder.path(), true).unwrap();
    for group in 0..100 {
        let all = (group * 100..group * 100 + 100).flat_map(|n| rows(&format!("s{n}"), n + 1));
        opened.store.commit(&all.collect::<Vec<_>>()).unwrap();
    }
    let left = files(folder.path());
    drop(opened);
    for (name, files) in [
        ("after an end", files(folder.path())),
        ("after a loss of power", left),
    ] {
        let folder = lay(&files);
        let sizes: Vec<String> = files
            .iter()
            .map(|(name, bytes)| format!("{name} {}", bytes.len()))
            .collect();
        let begin = Instant::now();
        verify(folder.path()).unwrap();
        let verified = begin.elapsed().as_secs_f64() * 1e3;
        let begin = Instant::now();
        let opened = Store::open(folder.path(), false).unwrap();
        let spent = begin.elapsed().as_secs_f64() * 1e3;
        assert_eq!(opened.recovered.registers.len(), 10_000);
        println!(
            "{name}: {spent:.0} ms, verify {verified:.0} ms; {}",
            sizes.join(", ")
        );
    }
    // The same contents in a log of our own: read, checked and decoded.
    let folder = tempfile::tempdir().unwrap();
    let mut kept = Kept::new(folder.path(), Way::Own, false);
    // Does not wait for the disk.
    watch(folder.path());
    for n in 0..10_000 {
        kept.commit(&rows(&format!("s{n}"), n + 1));
    }
    let begin = Instant::now();
    let bytes = std::fs::read(folder.path().join("own.log")).unwrap();
    let (mut at, mut found) = (0, 0);
    while let Some(head) = bytes.get(at..at + 8) {
        let length = u32::from_le_bytes(head[..4].try_into().unwrap()) as usize;
        let value = &bytes[at + 8..at + 8 + length];
        assert_eq!(checksum("log", &[], value).to_le_bytes(), head[4..]);
        // Every second record is a chosen item.
        match found % 2 {
            0 => _ = postcard::from_bytes::<(ItemName, Register)>(value).unwrap(),
            _ => _ = postcard::from_bytes::<(Ballot, Item)>(value).unwrap(),
        }
        (at, found) = (at + 8 + length, found + 1);
    }
    println!(
        "own log: {:.0} ms for {found} rows, {} bytes",
        begin.elapsed().as_secs_f64() * 1e3,
        bytes.len()
    );
}
