//! Booking: numbers without gaps, groups, one writer a folder.
//!
//! A try is booked before its leg goes out, in the same turn of the loop: a group is written, its legs are sent, and the
//! next group says that they went out. A kill loses nothing that was sent. It may leave tries that were booked and not
//! sent: those of one group, which the reader is told apart (`unsure`).

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use crate::log::{LogFile, RecordTooLong, Writer};
use crate::record::{AttemptUsage, FORMAT_VERSION, LogRecord};

/// Why a ledger can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The system's word.
    File(PathBuf, io::Error),
    /// Another process writes this folder.
    Locked(PathBuf),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::File(path, error) => write!(f, "{}: {error}", path.display()),
            OpenError::Locked(path) => write!(f, "{}: another process books here", path.display()),
        }
    }
}

impl std::error::Error for OpenError {}

/// A ledger in one life of its limiter.
#[derive(Debug)]
pub struct Ledger<D = File> {
    writer: Writer<D>,
    /// Number of the last try that was booked, and of the last one that is known to have gone out.
    booked: u64,
    sent: u64,
    /// Number of the last try of the last group that was written.
    written: u64,
    told: u64,
    /// Held as long as the ledger is.
    _lock: Option<File>,
}

/// The name of a life's file.
pub fn file_name(life: u64) -> String {
    format!("life-{life:08}.use")
}

/// The lives in a folder, in order.
///
/// # Errors
/// The system's.
pub fn list_incarnations(folder: &Path) -> io::Result<Vec<u64>> {
    let mut lives = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|n| {
            n.strip_prefix("life-")?
                .strip_suffix(".use")?
                .parse::<u64>()
                .ok()
        });
        lives.extend(number);
    }
    lives.sort_unstable();
    Ok(lives)
}

impl Ledger<File> {
    /// Begins a new life of a limiter in a folder. What earlier lives left there is not touched, torn or not.
    ///
    /// # Errors
    /// The system's; another process books in the folder.
    pub fn open(folder: &Path, limiter: &str) -> Result<(Ledger<File>, u64), OpenError> {
        let system = |path: &Path| {
            let path = path.to_path_buf();
            move |error| OpenError::File(path, error)
        };
        fs::create_dir_all(folder).map_err(system(folder))?;
        let path = folder.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(system(&path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(OpenError::Locked(folder.to_path_buf())),
            Err(TryLockError::Error(error)) => return Err(OpenError::File(path, error)),
        }
        let life = list_incarnations(folder)
            .map_err(system(folder))?
            .last()
            .copied()
            .unwrap_or(0)
            + 1;
        let path = folder.join(file_name(life));
        let file = OpenOptions::new()
            .create_new(true)
            .write(true)
            .open(&path)
            .map_err(system(&path))?;
        let mut ledger = Ledger::start(file, limiter, life).map_err(system(&path))?;
        // The name must outlast a loss of power as the records do.
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(system(folder))?;
        ledger._lock = Some(lock);
        Ok((ledger, life))
    }
}

impl<D: LogFile> Ledger<D> {
    /// Begins a life on an empty disk.
    ///
    /// # Errors
    /// The system's.
    pub fn start(disk: D, limiter: &str, life: u64) -> io::Result<Ledger<D>> {
        let mut ledger = Ledger {
            writer: Writer::new(disk),
            booked: 0,
            sent: 0,
            written: 0,
            told: 0,
            _lock: None,
        };
        let life = LogRecord::Header {
            format_version: FORMAT_VERSION,
            limiter: limiter.to_string(),
            incarnation: life,
        };
        ledger.put(&life).map_err(io::Error::other)?;
        ledger.writer.write()?;
        ledger.writer.sync()?;
        Ok(ledger)
    }

    fn put(&mut self, record: &LogRecord) -> Result<(), RecordTooLong> {
        // Plain data into memory: it can't fail but for its length.
        let bytes = postcard::to_stdvec(record).map_err(|_| RecordTooLong(usize::MAX))?;
        self.writer.append(&bytes)
    }

    /// Books a try; it is in the log once [`Ledger::write`] has succeeded, and must not go out before.
    ///
    /// # Errors
    /// A booking that no record can hold; nothing was booked.
    pub fn record(&mut self, booking: AttemptUsage) -> Result<u64, RecordTooLong> {
        self.tell();
        self.put(&LogRecord::Attempt(self.booked + 1, booking))?;
        self.booked += 1;
        Ok(self.booked)
    }

    fn tell(&mut self) {
        if self.sent > self.told && self.put(&LogRecord::Sent(self.sent)).is_ok() {
            self.told = self.sent;
        }
    }

    /// Writes what was booked. Then it may go out.
    ///
    /// # Errors
    /// The system's. Nothing of the group may go out yet; it is kept and goes with the next call.
    pub fn write(&mut self) -> io::Result<()> {
        self.writer.write()?;
        self.written = self.booked;
        Ok(())
    }

    /// All tries that were written have gone out; the next group says so.
    pub fn mark_sent(&mut self) {
        self.sent = self.written;
    }

    /// Whether anything is to be written.
    pub fn has_pending(&self) -> bool {
        self.writer.pending() > 0
    }

    /// Brings everything to the disk itself, with what is known to have gone out: at the end of a life, and as often as
    /// a loss of power shall cost no more.
    ///
    /// # Errors
    /// The system's.
    pub fn sync(&mut self) -> io::Result<()> {
        self.tell();
        self.write()?;
        self.writer.sync()
    }
}
