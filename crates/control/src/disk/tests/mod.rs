//! The database under faults: cut off at every write and sync, torn, corrupted, full.
//!
//! SQLite's writes are observed through a file system of the tests that SQLite calls (`sqlite-vfs`,
//! a crate with a safe trait). Deriving the sequence of writes from snapshots of the files was
//! rejected: it shows no syncs, and nothing of the first start, where a rollback journal is used.

mod cost;
mod cuts;
mod full;
mod growth;
mod harm;

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Error, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use protocol::items::{Item, ItemKind, ItemName};
use sqlite_vfs::{
    DatabaseHandle, LockKind, OpenAccess, OpenOptions as Wanted, Vfs, WalDisabled, register,
};

use super::{FileAccess, OpenedStore, Store};
use crate::core::Record;
use crate::core::ids::Ballot;
use crate::core::registers::Register;

/// An operation on the files of a folder.
#[derive(Clone, Debug)]
enum Step {
    Write(String, u64, Vec<u8>),
    Length(String, u64),
    Sync(String),
    Delete(String),
    /// The folder's names are synced.
    Folder,
    /// A commit was reported as on disk.
    Told,
}

/// A folder under observation.
#[derive(Default)]
struct Tape {
    steps: Vec<Step>,
    /// This many writes and syncs succeed; later ones fail in this way.
    fails: Option<(usize, ErrorKind)>,
}

type Tapes = BTreeMap<PathBuf, Tape>;

fn tapes() -> MutexGuard<'static, Tapes> {
    static TAPES: OnceLock<Mutex<Tapes>> = OnceLock::new();
    TAPES
        .get_or_init(Mutex::default)
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Records a step in an observed folder, or fails.
fn step(folder: &Path, step: Step) -> Result<(), Error> {
    let mut tapes = tapes();
    let Some(tape) = tapes.get_mut(folder) else {
        return Ok(());
    };
    if let Some((left, kind)) = &mut tape.fails {
        match left.checked_sub(1) {
            Some(less) => *left = less,
            None => return Err(Error::from(*kind)),
        }
    }
    tape.steps.push(step);
    Ok(())
}

fn watch(folder: &Path) {
    tapes().insert(folder.to_path_buf(), Tape::default());
}

fn told(folder: &Path) {
    step(folder, Step::Told).unwrap();
}

fn steps(folder: &Path) -> Vec<Step> {
    tapes().remove(folder).unwrap().steps
}

struct Watched;

struct Handle {
    file: File,
    folder: PathBuf,
    name: String,
}

fn parts(path: &str) -> (PathBuf, String) {
    let path = Path::new(path);
    (
        path.parent().unwrap().to_path_buf(),
        path.file_name().unwrap().to_string_lossy().into_owned(),
    )
}

impl Vfs for Watched {
    type Handle = Handle;

    fn open(&self, path: &str, wanted: Wanted) -> Result<Handle, Error> {
        let (folder, name) = parts(path);
        let create = matches!(wanted.access, OpenAccess::Create | OpenAccess::CreateNew);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(create)
            .truncate(false)
            .open(path)?;
        Ok(Handle { file, folder, name })
    }

    fn delete(&self, path: &str) -> Result<(), Error> {
        let (folder, name) = parts(path);
        std::fs::remove_file(path)?;
        step(&folder, Step::Delete(name))
    }

    fn exists(&self, path: &str) -> Result<bool, Error> {
        Ok(Path::new(path).exists())
    }

    fn temporary_name(&self) -> String {
        unreachable!("what is kept for a while is kept in memory")
    }

    fn random(&self, buffer: &mut [i8]) {
        static CHANCE: Mutex<Chance> = Mutex::new(Chance(7));
        let mut chance = CHANCE.lock().unwrap();
        buffer
            .iter_mut()
            .for_each(|byte| *byte = chance.below(256) as u8 as i8);
    }

    fn sleep(&self, duration: Duration) -> Duration {
        duration
    }
}

impl DatabaseHandle for Handle {
    type WalIndex = WalDisabled;

    fn size(&self) -> Result<u64, Error> {
        Ok(self.file.metadata()?.len())
    }

    fn read_exact_at(&mut self, buffer: &mut [u8], at: u64) -> Result<(), Error> {
        self.file.read_exact_at(buffer, at)
    }

    fn write_all_at(&mut self, bytes: &[u8], at: u64) -> Result<(), Error> {
        step(
            &self.folder,
            Step::Write(self.name.clone(), at, bytes.to_vec()),
        )?;
        self.file.write_all_at(bytes, at)
    }

    fn sync(&mut self, _: bool) -> Result<(), Error> {
        step(&self.folder, Step::Sync(self.name.clone()))
    }

    fn set_len(&mut self, length: u64) -> Result<(), Error> {
        step(&self.folder, Step::Length(self.name.clone(), length))?;
        self.file.set_len(length)
    }

    fn lock(&mut self, _: LockKind) -> Result<bool, Error> {
        Ok(true)
    }

    fn reserved(&mut self) -> Result<bool, Error> {
        Ok(false)
    }

    fn current_lock(&self) -> Result<LockKind, Error> {
        Ok(LockKind::None)
    }

    fn wal_index(&self, _: bool) -> Result<WalDisabled, Error> {
        Err(ErrorKind::Unsupported.into())
    }
}

fn folder_synced(folder: &Path) -> io::Result<()> {
    step(folder, Step::Folder)
}

/// Opens through the observing file system. Nothing waits for a real disk.
fn open(folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
    static ONCE: OnceLock<()> = OnceLock::new();
    ONCE.get_or_init(|| register("watched", Watched, false).unwrap());
    Store::open_with(
        FileAccess {
            vfs: Some("watched"),
            sync_folder: folder_synced,
        },
        folder,
        bootstrap,
    )
}

/// A random generator with a seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((mixed ^ (mixed >> 27)) % most.max(1) as u64) as usize
    }
}

fn name(name: &str) -> ItemName {
    ItemName {
        kind: ItemKind::Service,
        name: name.to_string(),
    }
}

fn item(at: &str, ver: u64) -> Item {
    Item {
        name: name(at),
        ver,
        spec: Some(format!("{{\"ver\":{ver},\"text\":\"{}\"}}", "x".repeat(60))),
    }
}

/// The writes of one change at a replica.
fn rows(at: &str, ver: u64) -> Vec<Record> {
    let ballot = Ballot {
        round: ver,
        ..Ballot::default()
    };
    let register = Register {
        promised_ballot: ballot,
        accepted_value: Some((ballot, item(at, ver))),
    };
    vec![
        Record::Register(name(at), register),
        Record::Chosen(ballot, item(at, ver)),
    ]
}

/// Registers and chosen items.
type Held = (
    BTreeMap<ItemName, Register>,
    BTreeMap<ItemName, (Ballot, Item)>,
);

/// The contents after some commits.
fn after(commits: &[Vec<Record>]) -> Held {
    let (mut registers, mut chosen) = (BTreeMap::new(), BTreeMap::new());
    for row in commits.iter().flatten().cloned() {
        match row {
            Record::Metadata(_) => {}
            Record::Register(name, register) => _ = registers.insert(name, register),
            Record::Chosen(ballot, item) => _ = chosen.insert(item.name.clone(), (ballot, item)),
        }
    }
    (registers, chosen)
}

/// The contents that a store was opened with, in the same form.
fn held(opened: &OpenedStore) -> Held {
    let chosen = opened
        .recovered
        .chosen
        .iter()
        .map(|(ballot, item)| (item.name.clone(), (*ballot, item.clone())));
    (
        opened.recovered.registers.iter().cloned().collect(),
        chosen.collect(),
    )
}

type Files = BTreeMap<String, Vec<u8>>;

fn files(folder: &Path) -> Files {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap());
    entries
        .map(|entry| {
            (
                entry.file_name().into_string().unwrap(),
                std::fs::read(entry.path()).unwrap(),
            )
        })
        .collect()
}

fn lay(files: &Files) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in files {
        std::fs::write(folder.path().join(name), bytes).unwrap();
    }
    folder
}

/// A file of the first builds: no version, no checksums.
fn unversioned(commits: &[Vec<Record>], own: &crate::core::ReplicaMetadata) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let connection = rusqlite::Connection::open(folder.path().join(super::DATABASE_FILE)).unwrap();
    let tables = "PRAGMA journal_mode=WAL;
        CREATE TABLE own (one INTEGER PRIMARY KEY CHECK (one = 1), value BLOB NOT NULL);
        CREATE TABLE registers (name BLOB PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
        CREATE TABLE chosen (name BLOB PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;";
    connection.execute_batch(tables).unwrap();
    let (registers, chosen) = after(commits);
    let bytes = |table: &str, name: Vec<u8>, value: Vec<u8>| {
        let text = format!("INSERT INTO {table} VALUES (?1, ?2)");
        connection
            .execute(&text, rusqlite::params![name, value])
            .unwrap();
    };
    for (name, register) in &registers {
        bytes(
            "registers",
            postcard::to_allocvec(name).unwrap(),
            postcard::to_allocvec(register).unwrap(),
        );
    }
    for (name, chosen) in &chosen {
        bytes(
            "chosen",
            postcard::to_allocvec(name).unwrap(),
            postcard::to_allocvec(chosen).unwrap(),
        );
    }
    let own = postcard::to_allocvec(own).unwrap();
    connection
        .execute("INSERT INTO own VALUES (1, ?1)", [own])
        .unwrap();
    drop(connection);
    folder
}
