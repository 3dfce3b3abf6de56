//! The database of a replica. One thread owns it, commits the writes that are queued, and reports when they are on disk.
//! What is queued goes into one commit, as each commit costs a sync of the disk.
//!
//! Files are trusted only as far as they can be checked: `wal` reads SQLite's write-ahead log before SQLite does, SQLite
//! checks its own pages, and each record has a checksum. Corrupt files are quarantined ([`OpenedStore::quarantined`]), and the
//! replica starts with an empty state. A file of a newer schema version is rejected and not modified. `docs/disk.md` explains
//! the log lines.

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
    /// The path of the write-ahead log.
    wal_path: PathBuf,
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
                // SQLITE_ERROR is a schema that does not fit. Any other code is a failed access, which is no corruption: the next
                // attempt may succeed, and replicas that share a fault must not all quarantine their files.
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

/// The page size in bytes that the header of the database states; 0 if it can't be read.
fn page_size(header: &[u8]) -> usize {
    match header.get(16..18) {
        Some([0, 1]) => 65_536,
        Some([high, low]) => usize::from(*high) << 8 | usize::from(*low),
        _ => 0,
    }
}

/// Why the header of a database file is corrupt, if it is.
fn header_corruption(header: &[u8]) -> Option<&'static str> {
    if header.len() < 100 {
        return Some("database file truncated");
    }
    if !header.starts_with(b"SQLite format 3\0") || page_size(header) < 512 {
        return Some("not an SQLite database");
    }
    // SQLite opens a file with a higher write version read-only.
    let versions_known = header[18..20]
        .iter()
        .all(|version| (1..=2).contains(version));
    (!versions_known).then_some("unknown file format version in the database header")
}

/// Checks the files for corruption that SQLite itself would not report, and for a newer schema version.
fn check_files(folder: &Path) -> eyre::Result<()> {
    let path = |suffix: &str| folder.join(format!("{DATABASE_FILE}{suffix}"));
    let context = || format!("disk: checking {}", path("").display());
    if file_length(&path("-journal"))
        .wrap_err_with(context)?
        .is_some_and(|length| length > 0)
    {
        // A rollback journal is left by a first start that was interrupted: SQLite rolls it back.
        return Ok(());
    }
    let length = file_length(&path("")).wrap_err_with(context)?;
    let wal_bytes = match std::fs::read(path("-wal")) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error).wrap_err_with(context),
    };
    if length.is_none_or(|length| length == 0) {
        return match wal_bytes.is_empty() {
            true => Ok(()),
            false => Err(Corruption::of("write-ahead log without its database file").into()),
        };
    }
    let file = File::open(path("")).wrap_err_with(context)?;
    let mut header = [0; 100];
    if file.read_exact_at(&mut header, 0).is_err() {
        return Err(Corruption::of("database file truncated").into());
    }
    if let Some(corruption) = header_corruption(&header) {
        return Err(Corruption::of(corruption).into());
    }
    let page_bytes = page_size(&header);
    let page_matches = |number: u32, content: &[u8]| {
        let mut stored = vec![0; page_bytes];
        let offset = u64::from(number.saturating_sub(1)) * page_bytes as u64;
        file.read_exact_at(&mut stored, offset).is_ok() && stored == content
    };
    let wal_contents = wal::read(&wal_bytes, page_bytes, page_matches);
    // The schema version is in the first page.
    let first_page = wal_contents
        .pages
        .get(&1)
        .map(|offset| wal::page_content(&wal_bytes, *offset, page_bytes));
    let version = first_page
        .unwrap_or(&header)
        .get(60..64)
        .and_then(|word| word.try_into().ok());
    if version.is_some_and(|version| u32::from_be_bytes(version) > CURRENT_VERSION) {
        // SQLite would create a write-ahead log even to read the file, which has to stay unchanged: it is verified in memory.
        verify(folder)?;
    }
    match wal_contents.corruption {
        Some(corruption) => Err(Corruption::of(corruption).into()),
        None => Ok(()),
    }
}

/// Runs a pragma; gives the first column of its first row, or an empty text.
fn pragma(connection: &Connection, sql: &str) -> eyre::Result<String> {
    let context = || format!("disk: {sql}");
    let mut statement = connection.prepare(sql).wrap_err_with(context)?;
    let mut rows = statement.query([]).wrap_err_with(context)?;
    let row = rows.next().wrap_err_with(context)?;
    Ok(row
        .and_then(|row| row.get::<_, String>(0).ok())
        .unwrap_or_default())
}

/// SQLite's own check of a database.
fn quick_check(connection: &Connection) -> eyre::Result<()> {
    match pragma(connection, "PRAGMA quick_check")? {
        result if result == "ok" => Ok(()),
        result => Err(Corruption::of(format!("quick_check reports {result:?}")).into()),
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
        // Without this SQLite would checkpoint the log into the file on close, and so modify a file that is rejected.
        let no_checkpoint_on_close = DbConfig::SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE;
        connection
            .set_db_config(no_checkpoint_on_close, true)
            .wrap_err("disk: opening")?;
        // Exclusive locking has to be set before the journal mode: otherwise the index of the write-ahead log is placed in memory
        // that is shared between processes.
        pragma(&connection, "PRAGMA locking_mode=EXCLUSIVE")?;
        pragma(&connection, "PRAGMA synchronous=FULL")?;
        let stored_schema = schema::stored_schema(&connection)?;
        quick_check(&connection)?;
        let mode = pragma(&connection, "PRAGMA journal_mode=WAL")?;
        if mode != "wal" {
            return Err(eyre!("disk: journal mode is {mode:?}, expected \"wal\""));
        }
        pragma(&connection, "PRAGMA cache_size=-512")?;
        pragma(&connection, "PRAGMA temp_store=MEMORY")?;
        pragma(&connection, "PRAGMA wal_autocheckpoint=0")?;
        schema::migrate(&mut connection, stored_schema)?;
        let (recovered, faults) = records::read_all(&connection, true)?;
        if !faults.is_empty() {
            return Err(Corruption(faults).into());
        }
        connection
            .set_db_config(no_checkpoint_on_close, false)
            .wrap_err("disk: opening")?;
        let wal_path = folder.join(format!("{DATABASE_FILE}-wal"));
        Ok((
            Store {
                connection,
                wal_path,
                checkpoint_bytes: CHECKPOINT_BYTES,
            },
            recovered,
        ))
    }

    /// Opens the database of a folder. `bootstrap`: the whole system starts for the first time, so that an empty disk is
    /// no loss. Corrupt files are quarantined; the state is then empty, but never treated as that of a first start.
    ///
    /// # Errors
    /// The folder can't be used, the disk rejects writes, or the file is of a newer schema version.
    pub fn open(folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
        Store::open_with(FileAccess::DIRECT, folder, bootstrap)
    }

    fn open_with(access: FileAccess, folder: &Path, bootstrap: bool) -> eyre::Result<OpenedStore> {
        let context = || format!("disk: folder {}", folder.display());
        std::fs::create_dir_all(folder).wrap_err_with(context)?;
        let mut quarantined = None;
        let (mut store, mut recovered) = match Store::connect(access, folder) {
            Ok(connected) => connected,
            Err(error) if is_corruption(&error) => {
                let path = quarantine::quarantine(folder, access.sync_folder)?;
                quarantined = Some(format!("{error:#}; quarantined as {}", path.display()));
                Store::connect(access, folder)?
            }
            Err(error) => return Err(error),
        };
        if recovered.metadata.incarnation == Incarnation::NONE {
            // A recovery that was interrupted is discarded, and starts over.
            if recovered != RecoveredState::default() {
                store.clear()?;
                recovered = RecoveredState::default();
            }
            if bootstrap && !quarantine::has_quarantined(folder) {
                recovered.metadata.incarnation = Incarnation::FIRST;
            }
        }
        if recovered.metadata.incarnation != Incarnation::NONE {
            // No ballot may be used twice: each start has its own run number, which is on disk before anything is sent.
            recovered.metadata.run += 1;
            store.commit([&Record::Metadata(recovered.metadata.clone())])?;
        }
        (access.sync_folder)(folder).wrap_err_with(context)?;
        Ok(OpenedStore {
            store,
            recovered,
            quarantined,
        })
    }

    /// Deletes all records.
    fn clear(&mut self) -> eyre::Result<()> {
        let context = "disk: clearing";
        let transaction = self.connection.transaction().wrap_err(context)?;
        for table in records::TABLES {
            transaction
                .execute(&format!("DELETE FROM {table}"), [])
                .wrap_err(context)?;
        }
        transaction.commit().wrap_err(context)
    }

    /// Writes records, in order, in one commit. They are durable once this returns.
    ///
    /// # Errors
    /// The disk rejects the write. Then either none of the records is stored, or all of them are.
    pub fn commit<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a Record>,
    ) -> eyre::Result<()> {
        let transaction = self.connection.transaction().wrap_err("disk: beginning")?;
        for record in records {
            records::write_record(&transaction, record)?;
        }
        transaction.commit().wrap_err("disk: committing")?;
        if file_length(&self.wal_path)
            .is_ok_and(|length| length.is_some_and(|length| length >= self.checkpoint_bytes))
        {
            // The commit is durable without a checkpoint, so a failure is ignored: a disk that rejects this will reject the
            // next commit as well. The log is truncated, as corruption would go unnoticed in a log whose pages are already
            // in the file.
            pragma(&self.connection, "PRAGMA wal_checkpoint(TRUNCATE)").ok();
        }
        Ok(())
    }
}
