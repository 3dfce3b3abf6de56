//! Exactly-once export of usage: batches that a repeated run reproduces byte for byte, and a cursor that advances only
//! when a batch has been acknowledged.
//!
//! The cursor is a file that is replaced atomically. It stores which attempts were acknowledged, and the pending batch
//! with the ranges of its attempts. A batch is stored there before its file is written, so that after an interruption
//! at any point the next run finds the same batch and writes the same file.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use config_check::KeyError;
use serde::{Deserialize, Serialize};
use table::{ColumnValues, Table, TableError};

use crate::ledger::list_incarnations;
use crate::reader::{self, ReadError, RecordedAttempt};

/// The attempts of a batch within one incarnation, as an inclusive range.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRange {
    /// Number of the incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the first attempt.
    #[serde(rename = "from")]
    pub first: u64,
    /// Number of the last attempt.
    #[serde(rename = "to")]
    pub last: u64,
}

/// A batch of attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Number of the batch, from 1 without gaps.
    pub number: u64,
    /// Its attempts.
    pub ranges: Vec<AttemptRange>,
}

impl Batch {
    /// File name of the batch.
    pub fn file_name(&self) -> String {
        format!("use-{:08}.parquet", self.number)
    }

    /// Number of attempts in the batch.
    pub fn attempt_count(&self) -> u64 {
        self.ranges.iter().map(|r| r.last + 1 - r.first).sum()
    }
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Cursor {
    /// Number of the last acknowledged batch.
    #[serde(rename = "acknowledged")]
    acknowledged_batch: u64,
    /// Last acknowledged attempt of each incarnation.
    #[serde(rename = "done")]
    acknowledged_attempts: BTreeMap<u64, u64>,
    /// The pending batch: stored, not yet acknowledged.
    #[serde(rename = "under_way")]
    pending: Option<Batch>,
}

/// Why usage cannot be exported.
#[derive(Debug)]
pub enum ExportError {
    /// An I/O error on a file.
    File(PathBuf, io::Error),
    /// The cursor file is invalid. It is not rebuilt, because that could bill attempts twice.
    Cursor(PathBuf, KeyError),
    /// The ledger cannot be read.
    Read(ReadError),
    /// The batch file cannot be written.
    Table(TableError),
    /// Another process exports from this folder.
    Locked(PathBuf),
    /// The acknowledged batch is not the pending one.
    NotPending {
        /// Number of the batch that was acknowledged.
        acknowledged: u64,
        /// Number of the pending batch, if there is one.
        pending: Option<u64>,
    },
    /// The pending batch refers to attempts that the ledger does not have.
    MissingAttempts(AttemptRange),
}

impl fmt::Display for ExportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExportError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ExportError::Cursor(path, error) => write!(f, "{}: {error}", path.display()),
            ExportError::Read(error) => write!(f, "{error}"),
            ExportError::Table(error) => write!(f, "{error}"),
            ExportError::Locked(path) => {
                write!(f, "{}: another process is exporting", path.display())
            }
            ExportError::NotPending {
                acknowledged,
                pending: Some(number),
            } => {
                write!(
                    f,
                    "batch {acknowledged} is not pending; the pending batch is {number}"
                )
            }
            ExportError::NotPending {
                acknowledged,
                pending: None,
            } => {
                write!(
                    f,
                    "batch {acknowledged} is not pending; there is no pending batch"
                )
            }
            ExportError::MissingAttempts(r) => write!(
                f,
                "incarnation {}: attempts {} to {} are missing",
                r.incarnation, r.first, r.last
            ),
        }
    }
}

impl std::error::Error for ExportError {}

/// A point at which a run may be interrupted and later resumed without loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing was done yet.
    Started,
    /// The batch is stored in the cursor.
    BatchRecorded,
    /// The batch file is complete.
    Written,
    /// The batch is acknowledged.
    Acknowledged,
}

/// Exports the ledger of a folder, by one process at a time.
#[derive(Debug)]
pub struct Exporter {
    folder: PathBuf,
    cursor: Cursor,
    /// Lock on the export, held for the lifetime of the exporter.
    _lock: File,
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> ExportError {
    let path = path.to_path_buf();
    move |error| ExportError::File(path, error)
}

/// Tries to lock a file. `None` if another process has locked it; otherwise the lock lasts as long as the returned
/// file.
fn try_lock(path: &Path) -> Result<Option<File>, ExportError> {
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(io_error(path))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(ExportError::File(path.to_path_buf(), error)),
    }
}

impl Exporter {
    /// Opens a ledger's folder for export.
    ///
    /// # Errors
    /// An I/O error; another process is exporting; the cursor file is invalid.
    pub fn open(folder: &Path) -> Result<Exporter, ExportError> {
        let locked = || ExportError::Locked(folder.to_path_buf());
        let lock = try_lock(&folder.join("export.lock"))?.ok_or_else(locked)?;
        let path = folder.join("export.json");
        let cursor = match fs::read_to_string(&path) {
            Ok(text) => {
                config_check::parse_json(&text).map_err(|error| ExportError::Cursor(path, error))?
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Cursor::default(),
            Err(error) => return Err(ExportError::File(path, error)),
        };
        Ok(Exporter {
            folder: folder.to_path_buf(),
            cursor,
            _lock: lock,
        })
    }

    fn store_cursor(&mut self, cursor: Cursor) -> Result<(), ExportError> {
        let path = self.folder.join("export.json");
        // Serializing cannot fail: the cursor is plain data.
        let text = serde_json::to_string_pretty(&cursor).unwrap_or_default();
        let write = |mut file: File| {
            file.write_all(text.as_bytes()).map_err(io_error(&path))?;
            Ok(file)
        };
        table::write_atomically(&path, |e| ExportError::File(path.clone(), e), write)?;
        // The rename survives a power loss only after the folder has been synced.
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(io_error(&self.folder))?;
        self.cursor = cursor;
        Ok(())
    }

    /// The pending batch: stored, not yet acknowledged.
    pub fn pending(&self) -> Option<&Batch> {
        self.cursor.pending.as_ref()
    }

    /// Writes the pending batch into a folder, or else the next one of at most `max_attempts` attempts. `None` if there
    /// is nothing to export or the run was stopped: `should_continue` is called at each step, and `false` stops the run
    /// there.
    ///
    /// # Errors
    /// An I/O error; damage in the ledger, with its offset. A repeated run resumes where this one failed.
    pub fn write_batch(
        &mut self,
        out: &Path,
        max_attempts: usize,
        should_continue: &mut dyn FnMut(Step) -> bool,
    ) -> Result<Option<Batch>, ExportError> {
        if !should_continue(Step::Started) {
            return Ok(None);
        }
        let incarnations = self.final_attempts()?;
        let batch = match self.cursor.pending.clone() {
            Some(batch) => batch,
            None => {
                let Some(batch) = self.next_batch(&incarnations, max_attempts) else {
                    return Ok(None);
                };
                self.store_cursor(Cursor {
                    pending: Some(batch.clone()),
                    ..self.cursor.clone()
                })?;
                batch
            }
        };
        if !should_continue(Step::BatchRecorded) {
            return Ok(None);
        }
        let mut attempts = Vec::new();
        for range in &batch.ranges {
            let incarnation = incarnations
                .get(&range.incarnation)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let attempts_of_range = incarnation
                .get(range.first as usize - 1..range.last as usize)
                .ok_or(ExportError::MissingAttempts(*range))?;
            attempts.extend_from_slice(attempts_of_range);
        }
        fs::create_dir_all(out).map_err(io_error(out))?;
        table::write(&out.join(batch.file_name()), &columns(&attempts))
            .map_err(ExportError::Table)?;
        Ok(should_continue(Step::Written).then_some(batch))
    }

    /// Records that billing has received the batch: the cursor advances past it. Repeated calls have no effect.
    ///
    /// # Errors
    /// The batch is not the pending one; an I/O error.
    pub fn acknowledge(&mut self, number: u64) -> Result<(), ExportError> {
        if number > 0 && number == self.cursor.acknowledged_batch {
            return Ok(());
        }
        let pending = self.cursor.pending.as_ref().map(|b| b.number);
        let Some(batch) = self.cursor.pending.clone().filter(|b| b.number == number) else {
            return Err(ExportError::NotPending {
                acknowledged: number,
                pending,
            });
        };
        let mut acknowledged_attempts = self.cursor.acknowledged_attempts.clone();
        acknowledged_attempts.extend(
            batch
                .ranges
                .iter()
                .map(|range| (range.incarnation, range.last)),
        );
        self.store_cursor(Cursor {
            acknowledged_batch: number,
            acknowledged_attempts,
            pending: None,
        })
    }

    /// All attempts whose records are final: of a running incarnation those that were sent, of an ended one all.
    fn final_attempts(&self) -> Result<BTreeMap<u64, Vec<RecordedAttempt>>, ExportError> {
        let numbers = list_incarnations(&self.folder).map_err(io_error(&self.folder))?;
        let ended = try_lock(&self.folder.join("lock"))?;
        let running = if ended.is_none() {
            numbers.last().copied()
        } else {
            None
        };
        let mut final_attempts = BTreeMap::new();
        for number in numbers {
            let mut attempts = reader::read_incarnation(&self.folder, number)
                .map_err(ExportError::Read)?
                .attempts;
            if running == Some(number) {
                attempts.retain(|t| !t.maybe_unsent);
            }
            final_attempts.insert(number, attempts);
        }
        Ok(final_attempts)
    }

    fn next_batch(
        &self,
        incarnations: &BTreeMap<u64, Vec<RecordedAttempt>>,
        max_attempts: usize,
    ) -> Option<Batch> {
        let (mut ranges, mut remaining) = (Vec::new(), max_attempts as u64);
        for (incarnation, attempts) in incarnations {
            let acknowledged = self
                .cursor
                .acknowledged_attempts
                .get(incarnation)
                .copied()
                .unwrap_or(0);
            let last = (attempts.len() as u64).min(acknowledged + remaining);
            if last > acknowledged {
                ranges.push(AttemptRange {
                    incarnation: *incarnation,
                    first: acknowledged + 1,
                    last,
                });
                remaining -= last - acknowledged;
            }
        }
        let number = self.cursor.acknowledged_batch + 1;
        (!ranges.is_empty()).then_some(Batch { number, ranges })
    }
}

fn columns(attempts: &[RecordedAttempt]) -> Table {
    let numbers = |get: fn(&RecordedAttempt) -> i64| {
        ColumnValues::Integers(attempts.iter().map(get).collect())
    };
    let texts = |get: fn(&RecordedAttempt) -> &str| {
        ColumnValues::Strings(attempts.iter().map(|t| get(t).to_string()).collect())
    };
    vec![
        ("limiter", texts(|t| &t.limiter)),
        ("life", numbers(|t| t.incarnation as i64)),
        ("number", numbers(|t| t.number as i64)),
        ("at_us", numbers(|t| t.usage.sent_at)),
        ("account", numbers(|t| t.usage.customer as i64)),
        ("class", texts(|t| &t.usage.class)),
        ("plan", texts(|t| &t.usage.plan)),
        ("plan_version", numbers(|t| t.usage.plan_version as i64)),
        ("milli_units", numbers(|t| t.usage.milli_units as i64)),
        (
            "reservation",
            texts(|t| t.usage.reservation.as_deref().unwrap_or_default()),
        ),
        (
            "key",
            texts(|t| t.usage.idempotency_key.as_deref().unwrap_or_default()),
        ),
        ("again", numbers(|t| i64::from(t.usage.is_retry))),
        ("unsure", numbers(|t| i64::from(t.maybe_unsent))),
    ]
}
