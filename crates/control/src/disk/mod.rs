//! The database of a replica. One thread owns it, commits the writes that are queued, and reports when they are on disk.
//! What is queued goes into one commit, as each commit costs a sync of the disk.
//!
//! Files are trusted only as far as they can be checked: `wal` reads SQLite's write-ahead log before SQLite does, SQLite
//! checks its own pages, and each record has a checksum. Corrupt files are quarantined ([`OpenedStore::quarantined`]), and the
//! replica counts as empty. A file of a newer schema version is rejected and left as it is. `docs/disk.md` explains the lines
//! of the log.

mod quarantine;
mod records;
mod schema;
#[cfg(test)]
mod tests;
mod verify;
mod wal;
mod write_queue;

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use eyre::{WrapErr, eyre};
use rusqlite::config::DbConfig;
use rusqlite::{Connection, ErrorCode, OpenFlags, ffi};

use crate::core::ids::Incarnation;
use crate::core::{Record, RecoveredState};

pub use self::records::{CorruptRecord, Corruption};
pub use self::schema::CURRENT_VERSION;
pub use self::verify::{Report, verify, verify_file};
pub use self::write_queue::{WriteRequest, WriterEvent, spawn};

/// The name of the file in the data folder.
const DATABASE_FILE: &str = "headworks.db";

/// The write-ahead log is checkpointed once it has this many bytes.
const CHECKPOINT_BYTES: u64 = 4 * 1024 * 1024;

/// The database.
pub struct Store {
    connection: Connection,
    log: PathBuf,
    /// The size of the write-ahead log, in bytes, at which it is checkpointed.
    checkpoint_bytes: u64,
}

/// A store that was opened, and what it holds.
pub struct OpenedStore {
    /// The database.
    pub store: Store,
    /// The state that was found on disk.
    pub recovered: RecoveredState,
    /// Why the files that were found were quarantined, and where they are now, if they were.
    pub quarantined: Option<String>,
}

/// How files are accessed: directly, or through the file system of a test.
#[derive(Clone, Copy)]
struct FileAccess {
    vfs: Option<&'static str>,
    sync_folder: fn(&Path) -> io::Result<()>,
}

impl FileAccess {
    const DIRECT: FileAccess = FileAccess {
        vfs: None,
        sync_folder: quarantine::sync_folder,
    };
}

/// Whether an error says that the files are corrupt, and not that the disk can't be written or read now.
fn is_corruption(error: &eyre::Report) -> bool {
    use rusqlite::Error;
    error
        .chain()
        .any(|cause| match cause.downcast_ref::<Error>() {
            None => cause.is::<Corruption>(),
            Some(Error::SqliteFailure(error, _)) => match error.code {
                ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase | ErrorCode::TypeMismatch => {
                    true
                }
                // Not a failure to read: the next attempt may succeed, also at all replicas that share a fault.
                _ => error.extended_code == ffi::SQLITE_ERROR,
            },
            Some(Error::SqlInputError { .. } | Error::QueryReturnedNoRows) => true,
            Some(Error::InvalidColumnType(..) | Error::IntegralValueOutOfRange(..)) => true,
            Some(_) => false,
        })
}

fn file_length(path: &Path) -> io::Result<Option<u64>> {
    match std::fs::metadata(path) {
        Ok(metadata) => Ok(Some(metadata.len())),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// The size of the database's pages, as its header says.
fn page_size(head: &[u8]) -> usize {
    match head.get(16..18) {
        Some([0, 1]) => 65_536,
        Some([high, low]) => usize::from(*high) << 8 | usize::from(*low),
        _ => 0,
    }
}

/// What is wrong with the header of a database file.
fn header_corruption(head: &[u8]) -> Option<&'static str> {
    if head.len() < 100 {
        return Some("the file is cut short");
    }
    if !head.starts_with(b"SQLite format 3\0") || page_size(head) < 512 {
        return Some("the file is no database");
    }
    // With another number there SQLite would open the file read-only.
    let formats = head[18..20].iter().all(|format| (1..=2).contains(format));
    (!formats).then_some("the head of the file names formats that are none")
}

/// Checks the files for corruption that SQLite itself would not report, and for a newer schema version.
fn check_files(folder: &Path) -> eyre::Result<()> {
    let path = |end: &str| folder.join(format!("{DATABASE_FILE}{end}"));
    let step = || format!("disk: looking at {}", path("").display());
    if file_length(&path("-journal"))
        .wrap_err_with(step)?
        .is_some_and(|length| length > 0)
    {
        // The first start was cut off: SQLite rolls it back.
        return Ok(());
    }
    let length = file_length(&path("")).wrap_err_with(step)?;
    let log = match std::fs::read(path("-wal")) {
        Ok(log) => log,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error).wrap_err_with(step),
    };
    if length.is_none_or(|length| length == 0) {
        return match log.is_empty() {
            true => Ok(()),
            false => Err(Corruption::of("the log stands without its file").into()),
        };
    }
    let file = File::open(path("")).wrap_err_with(step)?;
    let mut head = [0; 100];
    if file.read_exact_at(&mut head, 0).is_err() {
        return Err(Corruption::of("the file is cut short").into());
    }
    if let Some(harm) = header_corruption(&head) {
        return Err(Corruption::of(harm).into());
    }
    let page = page_size(&head);
    let stands = |number: u32, content: &[u8]| {
        let mut there = vec![0; page];
        let at = u64::from(number.saturating_sub(1)) * page as u64;
        file.read_exact_at(&mut there, at).is_ok() && there == content
    };
    let read = wal::read(&log, page, stands);
    // The schema version is in the first page.
    let first = read
        .pages
        .get(&1)
        .map(|at| wal::page_content(&log, *at, page));
    let version = first
        .unwrap_or(&head)
        .get(60..64)
        .and_then(|word| word.try_into().ok());
    if version.is_some_and(|version| u32::from_be_bytes(version) > CURRENT_VERSION) {
        // SQLite would create a log beside the file even to read it: verified in memory, the file is left as it is.
        verify(folder)?;
    }
    match read.corruption {
        Some(harm) => Err(Corruption::of(harm).into()),
        None => Ok(()),
    }
}

fn pragma(connection: &Connection, text: &str) -> eyre::Result<String> {
    let step = || format!("disk: {text}");
    let mut statement = connection.prepare(text).wrap_err_with(step)?;
    let mut rows = statement.query([]).wrap_err_with(step)?;
    let row = rows.next().wrap_err_with(step)?;
    Ok(row
        .and_then(|row| row.get::<_, String>(0).ok())
        .unwrap_or_default())
}

/// SQLite's own check of a database.
fn quick_check(connection: &Connection) -> eyre::Result<()> {
    match pragma(connection, "PRAGMA quick_check")? {
        whole if whole == "ok" => Ok(()),
        found => Err(Corruption::of(format!("the check says {found:?}")).into()),
    }
}

impl Store {
    fn connect(access: FileAccess, folder: &Path) -> eyre::Result<(Store, RecoveredState)> {
        check_files(folder)?;
        let (file, flags) = (folder.join(DATABASE_FILE), OpenFlags::default());
        let opened = match access.vfs {
            None => Connection::open_with_flags(file, flags),
            Some(vfs) => Connection::open_with_flags_and_vfs(file, flags, vfs),
        };
        let mut connection = opened.wrap_err("disk: opening")?;
        // Hazard: a rejected file must be left as it is, but SQLite would checkpoint the log into it as it closes it.
        let kept = DbConfig::SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE;
        connection
            .set_db_config(kept, true)
            .wrap_err("disk: opening")?;
        // Hazard: exclusive locking has to be set first. Otherwise the log's index is in memory that is shared between processes.
        pragma(&connection, "PRAGMA locking_mode=EXCLUSIVE")?;
        pragma(&connection, "PRAGMA synchronous=FULL")?;
        let found = schema::stored_schema(&connection)?;
        quick_check(&connection)?;
        let mode = pragma(&connection, "PRAGMA journal_mode=WAL")?;
        if mode != "wal" {
            return Err(eyre!("disk: the journal is {mode:?}, not wal"));
        }
        pragma(&connection, "PRAGMA cache_size=-512")?;
        pragma(&connection, "PRAGMA temp_store=MEMORY")?;
        pragma(&connection, "PRAGMA wal_autocheckpoint=0")?;
        schema::migrate(&mut connection, found)?;
        let (restored, faults) = records::read_all(&connection, true)?;
        if !faults.is_empty() {
            return Err(Corruption(faults).into());
        }
        connection
            .set_db_config(kept, false)
            .wrap_err("disk: opening")?;
        let log = folder.join(format!("{DATABASE_FILE}-wal"));
        Ok((
            Store {
                connection,
                log,
                checkpoint_bytes: CHECKPOINT_BYTES,
            },
            restored,
        ))
    }

    /// Opens the database of a folder. `bootstrap`: the whole system starts for the first time, so that an empty disk is
    /// no loss. Corrupt files are quarantined; the disk then counts as empty, and never as that of a first start.
    ///
    /// # Errors
    /// The folder can't be used, the disk rejects writes, or the file is of a newer schema version.
    pub fn open(folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
        Store::open_with(FileAccess::DIRECT, folder, bootstrap)
    }

    fn open_with(access: FileAccess, folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
        let step = || format!("disk: folder {}", folder.display());
        std::fs::create_dir_all(folder).wrap_err_with(step)?;
        let mut quarantined = None;
        let (mut store, mut restored) = match Store::connect(access, folder) {
            Ok(found) => found,
            Err(error) if is_corruption(&error) => {
                let kept = quarantine::quarantine(folder, access.sync_folder)?;
                quarantined = Some(format!("{error:#}; put aside as {}", kept.display()));
                Store::connect(access, folder)?
            }
            Err(error) => return Err(error),
        };
        if restored.metadata.incarnation == Incarnation::NONE {
            // A recovery that was cut off counts for nothing.
            if restored != RecoveredState::default() {
                store.clear()?;
                restored = RecoveredState::default();
            }
            if bootstrap && !quarantine::has_quarantined(folder) {
                restored.metadata.incarnation = Incarnation::FIRST;
            }
        }
        if restored.metadata.incarnation != Incarnation::NONE {
            // No ballot may be used twice: each start has a run of its own, which is on disk before anything is sent.
            restored.metadata.run += 1;
            store.commit([&Record::Metadata(restored.metadata.clone())])?;
        }
        (access.sync_folder)(folder).wrap_err_with(step)?;
        Ok(OpenedStore {
            store,
            recovered: restored,
            quarantined,
        })
    }

    fn clear(&mut self) -> eyre::Result<()> {
        let step = "disk: clearing";
        let transaction = self.connection.transaction().wrap_err(step)?;
        for table in records::TABLES {
            transaction
                .execute(&format!("DELETE FROM {table}"), [])
                .wrap_err(step)?;
        }
        transaction.commit().wrap_err(step)
    }

    /// Writes records, in order, in one commit. They are on disk once this returns.
    ///
    /// # Errors
    /// The disk rejects the write. Then either none of the records is there, or all of them are.
    pub fn commit<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a Record>,
    ) -> eyre::Result<()> {
        let transaction = self.connection.transaction().wrap_err("disk: beginning")?;
        for record in records {
            records::write_record(&transaction, record)?;
        }
        transaction.commit().wrap_err("disk: committing")?;
        if file_length(&self.log)
            .is_ok_and(|length| length.is_some_and(|length| length >= self.checkpoint_bytes))
        {
            // The commit stands without a checkpoint: a disk that rejects this will reject the next commit as well. The log is
            // truncated, as corruption would go unnoticed in a log that the file is ahead of.
            pragma(&self.connection, "PRAGMA wal_checkpoint(TRUNCATE)").ok();
        }
        Ok(())
    }
}
