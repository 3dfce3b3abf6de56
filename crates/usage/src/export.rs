//! Use handed over once and only once: batches that a repeat reproduces byte for byte, and a cursor that moves only when
//! a batch has been acknowledged.
//!
//! The cursor is one file, replaced whole. It holds what was acknowledged, and the batch that is under way with the
//! tries that belong to it. A batch is decided there before its file is written; interrupted anywhere, the next run
//! finds the same batch and writes the same file.

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

/// The tries of a batch within one life: from and to, both included.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRange {
    /// The life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The first try.
    #[serde(rename = "from")]
    pub first: u64,
    /// The last one.
    #[serde(rename = "to")]
    pub last: u64,
}

/// A batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Its number, from 1 without gaps.
    pub number: u64,
    /// Its tries.
    pub ranges: Vec<AttemptRange>,
}

impl Batch {
    /// Its file's name.
    pub fn file_name(&self) -> String {
        format!("use-{:08}.parquet", self.number)
    }

    /// How many tries it holds.
    pub fn attempt_count(&self) -> u64 {
        self.ranges.iter().map(|r| r.last + 1 - r.first).sum()
    }
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Cursor {
    /// Number of the last batch that was acknowledged.
    acknowledged: u64,
    /// By life, the last try of an acknowledged batch.
    done: BTreeMap<u64, u64>,
    /// The batch under way.
    under_way: Option<Batch>,
}

/// Why nothing can be exported.
#[derive(Debug)]
pub enum ExportError {
    /// The system's word.
    File(PathBuf, io::Error),
    /// The cursor's file makes no sense; it is not guessed anew, since that could bill twice.
    Cursor(PathBuf, KeyError),
    /// The ledger can't be read.
    Read(ReadError),
    /// The batch can't be written.
    Table(TableError),
    /// Another process exports from this folder.
    Locked(PathBuf),
    /// An acknowledgement of another batch than the one under way.
    NotPending {
        /// What was acknowledged.
        acknowledged: u64,
        /// What is under way, if anything is.
        pending: Option<u64>,
    },
    /// A batch under way names tries that the ledger does not have.
    MissingAttempts(AttemptRange),
}

impl fmt::Display for ExportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExportError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ExportError::Cursor(path, fault) => write!(f, "{}: {fault}", path.display()),
            ExportError::Read(error) => write!(f, "{error}"),
            ExportError::Table(error) => write!(f, "{error}"),
            ExportError::Locked(path) => write!(f, "{}: another process exports", path.display()),
            ExportError::NotPending {
                acknowledged: told,
                pending: Some(number),
            } => {
                write!(f, "batch {told} is not under way, batch {number} is")
            }
            ExportError::NotPending {
                acknowledged: told,
                pending: None,
            } => {
                write!(f, "batch {told} is not under way, none is")
            }
            ExportError::MissingAttempts(r) => write!(
                f,
                "life {}: tries {} to {} are missing",
                r.incarnation, r.first, r.last
            ),
        }
    }
}

impl std::error::Error for ExportError {}

/// A point at which a run may end without leaving anything undone for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Before anything.
    Started,
    /// The batch is decided, and stands in the cursor.
    BatchRecorded,
    /// Its file stands whole.
    Written,
    /// It is acknowledged.
    Acknowledged,
}

/// A folder's export. One process at a time.
#[derive(Debug)]
pub struct Exporter {
    folder: PathBuf,
    cursor: Cursor,
    /// Held as long as the export is.
    _lock: File,
}

fn system(path: &Path) -> impl FnOnce(io::Error) -> ExportError {
    let path = path.to_path_buf();
    move |error| ExportError::File(path, error)
}

/// Whether a file is locked by a process that lives; if not, it is locked here as long as the result is kept.
fn lock(path: &Path) -> Result<Option<File>, ExportError> {
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(system(path))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(ExportError::File(path.to_path_buf(), error)),
    }
}

impl Exporter {
    /// Opens a ledger's folder for exporting.
    ///
    /// # Errors
    /// The system's; another process exports; a cursor that makes no sense.
    pub fn open(folder: &Path) -> Result<Exporter, ExportError> {
        let held = || ExportError::Locked(folder.to_path_buf());
        let lock = lock(&folder.join("export.lock"))?.ok_or_else(held)?;
        let path = folder.join("export.json");
        let cursor = match fs::read_to_string(&path) {
            Ok(text) => {
                config_check::parse_json(&text).map_err(|fault| ExportError::Cursor(path, fault))?
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

    fn keep(&mut self, cursor: Cursor) -> Result<(), ExportError> {
        let path = self.folder.join("export.json");
        // Plain data: nothing in it can fail to be written.
        let text = serde_json::to_string_pretty(&cursor).unwrap_or_default();
        let write = |mut file: File| {
            file.write_all(text.as_bytes()).map_err(system(&path))?;
            Ok(file)
        };
        table::write_atomically(&path, |e| ExportError::File(path.clone(), e), write)?;
        // A rename outlasts a loss of power once its folder is on the disk.
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(system(&self.folder))?;
        self.cursor = cursor;
        Ok(())
    }

    /// The batch under way.
    pub fn pending(&self) -> Option<&Batch> {
        self.cursor.under_way.as_ref()
    }

    /// Writes the batch under way into a folder, or the next one of `most` tries at most; `None` if there is nothing new.
    /// `go_on` is asked at each step; a run that it ends has done that step and nothing behind it.
    ///
    /// # Errors
    /// The system's; damage in the ledger, by its place. Run again, it goes on where it was.
    pub fn write_batch(
        &mut self,
        out: &Path,
        most: usize,
        go_on: &mut dyn FnMut(Step) -> bool,
    ) -> Result<Option<Batch>, ExportError> {
        if !go_on(Step::Started) {
            return Ok(None);
        }
        let lives = self.settled()?;
        let batch = match self.cursor.under_way.clone() {
            Some(batch) => batch,
            None => {
                let Some(batch) = self.next(&lives, most) else {
                    return Ok(None);
                };
                self.keep(Cursor {
                    under_way: Some(batch.clone()),
                    ..self.cursor.clone()
                })?;
                batch
            }
        };
        if !go_on(Step::BatchRecorded) {
            return Ok(None);
        }
        let mut tries = Vec::new();
        for range in &batch.ranges {
            let of = lives
                .get(&range.incarnation)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let named = of
                .get(range.first as usize - 1..range.last as usize)
                .ok_or(ExportError::MissingAttempts(*range))?;
            tries.extend_from_slice(named);
        }
        fs::create_dir_all(out).map_err(system(out))?;
        table::write(&out.join(batch.file_name()), &columns(&tries)).map_err(ExportError::Table)?;
        Ok(go_on(Step::Written).then_some(batch))
    }

    /// The batch has been taken over by whoever bills: the cursor moves behind it. A repeat changes nothing.
    ///
    /// # Errors
    /// Another batch is under way; the system's.
    pub fn acknowledge(&mut self, number: u64) -> Result<(), ExportError> {
        if number > 0 && number == self.cursor.acknowledged {
            return Ok(());
        }
        let under_way = self.cursor.under_way.as_ref().map(|b| b.number);
        let Some(batch) = self.cursor.under_way.clone().filter(|b| b.number == number) else {
            return Err(ExportError::NotPending {
                acknowledged: number,
                pending: under_way,
            });
        };
        let mut done = self.cursor.done.clone();
        done.extend(
            batch
                .ranges
                .iter()
                .map(|range| (range.incarnation, range.last)),
        );
        self.keep(Cursor {
            acknowledged: number,
            done,
            under_way: None,
        })
    }

    /// All tries of which nothing will change any more: of a life that goes on those that are known to have gone out, of
    /// one that has ended all.
    fn settled(&self) -> Result<BTreeMap<u64, Vec<RecordedAttempt>>, ExportError> {
        let numbers = list_incarnations(&self.folder).map_err(system(&self.folder))?;
        let ended = lock(&self.folder.join("lock"))?;
        let goes_on = if ended.is_none() {
            numbers.last().copied()
        } else {
            None
        };
        let mut settled = BTreeMap::new();
        for number in numbers {
            let mut tries = reader::read_incarnation(&self.folder, number)
                .map_err(ExportError::Read)?
                .attempts;
            if goes_on == Some(number) {
                tries.retain(|t| !t.maybe_unsent);
            }
            settled.insert(number, tries);
        }
        Ok(settled)
    }

    fn next(&self, lives: &BTreeMap<u64, Vec<RecordedAttempt>>, most: usize) -> Option<Batch> {
        let (mut ranges, mut room) = (Vec::new(), most as u64);
        for (life, tries) in lives {
            let done = self.cursor.done.get(life).copied().unwrap_or(0);
            let to = (tries.len() as u64).min(done + room);
            if to > done {
                ranges.push(AttemptRange {
                    incarnation: *life,
                    first: done + 1,
                    last: to,
                });
                room -= to - done;
            }
        }
        let number = self.cursor.acknowledged + 1;
        (!ranges.is_empty()).then_some(Batch { number, ranges })
    }
}

fn columns(tries: &[RecordedAttempt]) -> Table {
    let numbers =
        |get: fn(&RecordedAttempt) -> i64| ColumnValues::Integers(tries.iter().map(get).collect());
    let texts = |get: fn(&RecordedAttempt) -> &str| {
        ColumnValues::Strings(tries.iter().map(|t| get(t).to_string()).collect())
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
