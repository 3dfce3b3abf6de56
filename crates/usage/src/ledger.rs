//! Recording attempts: numbered without gaps, written in groups, by one process per folder.
//!
//! An attempt is recorded before it is sent, in the same iteration of the event loop: a group is written, its attempts
//! are sent, and the next group records that they were. A kill loses no attempt that was sent. It may leave attempts of
//! one group that were recorded but not sent; the reader marks these as `maybe_unsent`.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use crate::log::{LogFile, RecordTooLong, Writer};
use crate::record::{AttemptUsage, FORMAT_VERSION, LogRecord};

/// Why a ledger cannot be opened.
#[derive(Debug)]
pub enum OpenError {
    /// An I/O error on a file.
    File(PathBuf, io::Error),
    /// Another process writes to this folder.
    Locked(PathBuf),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::File(path, error) => write!(f, "{}: {error}", path.display()),
            OpenError::Locked(path) => write!(
                f,
                "{}: another process writes to this ledger",
                path.display()
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// The ledger of one incarnation of a limiter.
#[derive(Debug)]
pub struct Ledger<D = File> {
    writer: Writer<D>,
    /// Number of the last recorded attempt.
    recorded_attempts: u64,
    /// Number of the last attempt that was sent.
    sent_attempts: u64,
    /// Number of the last attempt of the last group that was written.
    written_attempts: u64,
    /// Number up to which the log records that attempts were sent.
    logged_sent_attempts: u64,
    /// Lock on the folder, held for the lifetime of the ledger.
    _lock: Option<File>,
}

/// The file name of an incarnation.
pub fn file_name(incarnation: u64) -> String {
    format!("life-{incarnation:08}.use")
}

/// The numbers of the incarnations in a folder, in ascending order.
///
/// # Errors
/// An I/O error.
pub fn list_incarnations(folder: &Path) -> io::Result<Vec<u64>> {
    let mut incarnations = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|n| {
            n.strip_prefix("life-")?
                .strip_suffix(".use")?
                .parse::<u64>()
                .ok()
        });
        incarnations.extend(number);
    }
    incarnations.sort_unstable();
    Ok(incarnations)
}

impl Ledger<File> {
    /// Starts a new incarnation of a limiter in a folder and returns its number. Files of earlier incarnations are not
    /// modified, even if truncated.
    ///
    /// # Errors
    /// An I/O error, or another process writes to the folder.
    pub fn open(folder: &Path, limiter: &str) -> Result<(Ledger<File>, u64), OpenError> {
        let io_error = |path: &Path| {
            let path = path.to_path_buf();
            move |error| OpenError::File(path, error)
        };
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let path = folder.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(io_error(&path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(OpenError::Locked(folder.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(OpenError::File(path, error)),
        }
        let incarnation = list_incarnations(folder)
            .map_err(io_error(folder))?
            .last()
            .copied()
            .unwrap_or(0)
            + 1;
        let path = folder.join(file_name(incarnation));
        let file = OpenOptions::new()
            .create_new(true)
            .write(true)
            .open(&path)
            .map_err(io_error(&path))?;
        let mut ledger = Ledger::start(file, limiter, incarnation).map_err(io_error(&path))?;
        // The directory entry must survive a power loss like the records do.
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(io_error(folder))?;
        ledger._lock = Some(lock);
        Ok((ledger, incarnation))
    }
}

impl<D: LogFile> Ledger<D> {
    /// Starts an incarnation on an empty file.
    ///
    /// # Errors
    /// An I/O error.
    pub fn start(file: D, limiter: &str, incarnation: u64) -> io::Result<Ledger<D>> {
        let mut ledger = Ledger {
            writer: Writer::new(file),
            recorded_attempts: 0,
            sent_attempts: 0,
            written_attempts: 0,
            logged_sent_attempts: 0,
            _lock: None,
        };
        let header = LogRecord::Header {
            format_version: FORMAT_VERSION,
            limiter: limiter.to_string(),
            incarnation,
        };
        ledger.append_record(&header).map_err(io::Error::other)?;
        ledger.writer.write()?;
        ledger.writer.sync()?;
        Ok(ledger)
    }

    fn append_record(&mut self, record: &LogRecord) -> Result<(), RecordTooLong> {
        // Serializing plain data into memory can fail only because of its length.
        let bytes = postcard::to_stdvec(record).map_err(|_| RecordTooLong(usize::MAX))?;
        self.writer.append(&bytes)
    }

    /// Records an attempt and returns its number. It is in the log once [`Ledger::write`] has succeeded, and must not
    /// be sent before.
    ///
    /// # Errors
    /// The record would be too long; nothing was recorded.
    pub fn record(&mut self, usage: AttemptUsage) -> Result<u64, RecordTooLong> {
        self.append_sent();
        self.append_record(&LogRecord::Attempt(self.recorded_attempts + 1, usage))?;
        self.recorded_attempts += 1;
        Ok(self.recorded_attempts)
    }

    /// Records that attempts were sent, if that is not in the log yet.
    fn append_sent(&mut self) {
        if self.sent_attempts > self.logged_sent_attempts
            && self
                .append_record(&LogRecord::Sent(self.sent_attempts))
                .is_ok()
        {
            self.logged_sent_attempts = self.sent_attempts;
        }
    }

    /// Writes the recorded attempts, which may then be sent.
    ///
    /// # Errors
    /// An I/O error. No attempt of the group may be sent yet; the group is kept and written by the next call.
    pub fn write(&mut self) -> io::Result<()> {
        self.writer.write()?;
        self.written_attempts = self.recorded_attempts;
        Ok(())
    }

    /// Marks all written attempts as sent; the next group records it.
    pub fn mark_sent(&mut self) {
        self.sent_attempts = self.written_attempts;
    }

    /// Whether records wait to be written.
    pub fn has_pending(&self) -> bool {
        self.writer.pending() > 0
    }

    /// Writes everything and syncs it to the disk, including which attempts were sent. Called at the end of an
    /// incarnation and periodically: a power loss can lose what was written since the last call.
    ///
    /// # Errors
    /// An I/O error.
    pub fn sync(&mut self) -> io::Result<()> {
        self.append_sent();
        self.write()?;
        self.writer.sync()
    }
}
