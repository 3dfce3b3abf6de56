//! The database under faults: power lost at every write and sync, torn writes, corruption, a full
//! disk.
//!
//! SQLite's writes are recorded by a virtual file system of these tests (`sqlite-vfs`, a crate with
//! a safe trait). Deriving the sequence of writes from snapshots of the files was rejected: they
//! show no syncs, and nothing of the first start, which uses a rollback journal.

mod corruption;
mod cost;
mod full;
mod growth;
mod power_loss;

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Error, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use protocol::items::{Item, ItemKind, ItemName};
use sqlite_vfs::{
    DatabaseHandle, LockKind, OpenAccess, OpenOptions as SqliteOpenOptions, Vfs, WalDisabled,
    register,
};

use super::{FileAccess, OpenedStore, Store};
use crate::core::Record;
use crate::core::ids::Ballot;
use crate::core::registers::Register;

/// An operation on the files of a folder.
#[derive(Clone, Debug)]
enum FileOp {
    Write(String, u64, Vec<u8>),
    SetLength(String, u64),
    Sync(String),
    Delete(String),
    /// The names in the folder are synced.
    SyncFolder,
    /// A commit was reported as on disk.
    CommitReported,
}

/// The operations on a folder, in order.
#[derive(Default)]
struct Recording {
    operations: Vec<FileOp>,
    /// This many operations succeed; later ones fail with this error.
    fail_after: Option<(usize, ErrorKind)>,
}

type Recordings = BTreeMap<PathBuf, Recording>;

fn recordings() -> MutexGuard<'static, Recordings> {
    static RECORDINGS: OnceLock<Mutex<Recordings>> = OnceLock::new();
    RECORDINGS
        .get_or_init(Mutex::default)
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Records an operation on a recorded folder, or fails it.
fn record(folder: &Path, operation: FileOp) -> Result<(), Error> {
    let mut recordings = recordings();
    let Some(recording) = recordings.get_mut(folder) else {
        return Ok(());
    };
    if let Some((remaining, kind)) = &mut recording.fail_after {
        match remaining.checked_sub(1) {
            Some(fewer) => *remaining = fewer,
            None => return Err(Error::from(*kind)),
        }
    }
    recording.operations.push(operation);
    Ok(())
}

/// Begins to record the operations on a folder.
fn start_recording(folder: &Path) {
    recordings().insert(folder.to_path_buf(), Recording::default());
}

/// Records that a commit was reported as on disk.
fn record_report(folder: &Path) {
    record(folder, FileOp::CommitReported).unwrap();
}

/// Ends the recording of a folder; gives its operations.
fn take_recording(folder: &Path) -> Vec<FileOp> {
    recordings().remove(folder).unwrap().operations
}

/// Stores files on disk and records each operation; syncs are recorded alone.
struct RecordingVfs;

struct Handle {
    file: File,
    folder: PathBuf,
    name: String,
}

fn split_path(path: &str) -> (PathBuf, String) {
    let path = Path::new(path);
    (
        path.parent().unwrap().to_path_buf(),
        path.file_name().unwrap().to_string_lossy().into_owned(),
    )
}

impl Vfs for RecordingVfs {
    type Handle = Handle;

    fn open(&self, path: &str, options: SqliteOpenOptions) -> Result<Handle, Error> {
        let (folder, name) = split_path(path);
        let create = matches!(options.access, OpenAccess::Create | OpenAccess::CreateNew);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(create)
            .truncate(false)
            .open(path)?;
        Ok(Handle { file, folder, name })
    }

    fn delete(&self, path: &str) -> Result<(), Error> {
        let (folder, name) = split_path(path);
        std::fs::remove_file(path)?;
        record(&folder, FileOp::Delete(name))
    }

    fn exists(&self, path: &str) -> Result<bool, Error> {
        Ok(Path::new(path).exists())
    }

    fn temporary_name(&self) -> String {
        unreachable!("temporary data is kept in memory")
    }

    fn random(&self, buffer: &mut [i8]) {
        static RNG: Mutex<Rng> = Mutex::new(Rng(7));
        let mut rng = RNG.lock().unwrap();
        buffer
            .iter_mut()
            .for_each(|byte| *byte = rng.below(256) as u8 as i8);
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

    fn read_exact_at(&mut self, buffer: &mut [u8], offset: u64) -> Result<(), Error> {
        self.file.read_exact_at(buffer, offset)
    }

    fn write_all_at(&mut self, bytes: &[u8], offset: u64) -> Result<(), Error> {
        record(
            &self.folder,
            FileOp::Write(self.name.clone(), offset, bytes.to_vec()),
        )?;
        self.file.write_all_at(bytes, offset)
    }

    fn sync(&mut self, _: bool) -> Result<(), Error> {
        record(&self.folder, FileOp::Sync(self.name.clone()))
    }

    fn set_len(&mut self, length: u64) -> Result<(), Error> {
        record(&self.folder, FileOp::SetLength(self.name.clone(), length))?;
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

fn record_folder_sync(folder: &Path) -> io::Result<()> {
    record(folder, FileOp::SyncFolder)
}

/// Opens a store through the recording file system. No sync waits for a real disk.
fn open(folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
    static ONCE: OnceLock<()> = OnceLock::new();
    ONCE.get_or_init(|| register("recording", RecordingVfs, false).unwrap());
    Store::open_with(
        FileAccess {
            vfs: Some("recording"),
            sync_folder: record_folder_sync,
        },
        folder,
        bootstrap,
    )
}

/// A seeded random number generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((mixed ^ (mixed >> 27)) % bound.max(1) as u64) as usize
    }
}

fn name(name: &str) -> ItemName {
    ItemName {
        kind: ItemKind::Service,
        name: name.to_string(),
    }
}

fn item(service: &str, ver: u64) -> Item {
    Item {
        name: name(service),
        ver,
        spec: Some(format!("{{\"ver\":{ver},\"text\":\"{}\"}}", "x".repeat(60))),
    }
}

/// The records that one change of a service writes at a replica.
fn change_records(service: &str, ver: u64) -> Vec<Record> {
    let ballot = Ballot {
        round: ver,
        ..Ballot::default()
    };
    let register = Register {
        promised_ballot: ballot,
        accepted_value: Some((ballot, item(service, ver))),
    };
    vec![
        Record::Register(name(service), register),
        Record::Chosen(ballot, item(service, ver)),
    ]
}

/// Registers and chosen items by name.
type StoredState = (
    BTreeMap<ItemName, Register>,
    BTreeMap<ItemName, (Ballot, Item)>,
);

/// The state after some commits.
fn state_after(commits: &[Vec<Record>]) -> StoredState {
    let (mut registers, mut chosen) = (BTreeMap::new(), BTreeMap::new());
    for record in commits.iter().flatten().cloned() {
        match record {
            Record::Metadata(_) => {}
            Record::Register(name, register) => _ = registers.insert(name, register),
            Record::Chosen(ballot, item) => _ = chosen.insert(item.name.clone(), (ballot, item)),
        }
    }
    (registers, chosen)
}

/// The state that a store was opened with.
fn state_of(opened: &OpenedStore) -> StoredState {
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

/// The contents of the files of a folder, by name.
type Files = BTreeMap<String, Vec<u8>>;

fn read_files(folder: &Path) -> Files {
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

/// Creates a folder with these files.
fn write_files(files: &Files) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, bytes) in files {
        std::fs::write(folder.path().join(name), bytes).unwrap();
    }
    folder
}

/// A database as the first builds wrote it: without a version and without checksums.
fn create_unversioned(
    commits: &[Vec<Record>],
    metadata: &crate::core::ReplicaMetadata,
) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let connection = rusqlite::Connection::open(folder.path().join(super::DATABASE_FILE)).unwrap();
    let tables = "PRAGMA journal_mode=WAL;
        CREATE TABLE own (one INTEGER PRIMARY KEY CHECK (one = 1), value BLOB NOT NULL);
        CREATE TABLE registers (name BLOB PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
        CREATE TABLE chosen (name BLOB PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;";
    connection.execute_batch(tables).unwrap();
    let (registers, chosen) = state_after(commits);
    let insert = |table: &str, name: Vec<u8>, value: Vec<u8>| {
        let sql = format!("INSERT INTO {table} VALUES (?1, ?2)");
        connection
            .execute(&sql, rusqlite::params![name, value])
            .unwrap();
    };
    for (name, register) in &registers {
        insert(
            "registers",
            postcard::to_allocvec(name).unwrap(),
            postcard::to_allocvec(register).unwrap(),
        );
    }
    for (name, chosen) in &chosen {
        insert(
            "chosen",
            postcard::to_allocvec(name).unwrap(),
            postcard::to_allocvec(chosen).unwrap(),
        );
    }
    let metadata = postcard::to_allocvec(metadata).unwrap();
    connection
        .execute("INSERT INTO own VALUES (1, ?1)", [metadata])
        .unwrap();
    drop(connection);
    folder
}
