//! The file through which the processes of a limiter exchange the results of operator commands.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::handover::{OperationsRecord, RecordError};

/// The file, and the version of it that was last read.
#[derive(Debug)]
pub struct OperationsFile {
    path: PathBuf,
    /// Inode, modification time (seconds and nanoseconds) and length at the last read; `None` after a write. A rename
    /// changes the inode.
    last_seen: Option<(u64, i64, i64, u64)>,
}

/// The result of a poll of the file.
#[derive(Debug)]
pub enum PollOutcome {
    /// Unchanged since the last poll, or missing.
    Unchanged,
    /// A record, normally written by another process.
    Record(OperationsRecord),
    /// Content that is ignored.
    Unusable(RecordError),
}

impl OperationsFile {
    /// The file in this directory; nothing is read or written yet.
    pub fn new(directory: &Path) -> OperationsFile {
        OperationsFile {
            path: directory.join("streamarch-operations"),
            last_seen: None,
        }
    }

    fn identity(&self) -> Option<(u64, i64, i64, u64)> {
        let metadata = fs::metadata(&self.path).ok()?;
        Some((
            metadata.ino(),
            metadata.mtime(),
            metadata.mtime_nsec(),
            metadata.len(),
        ))
    }

    /// Reads the file if it has changed since the last poll.
    pub fn poll(&mut self, limiter: &str) -> PollOutcome {
        let identity = self.identity();
        if identity == self.last_seen {
            return PollOutcome::Unchanged;
        }
        self.last_seen = identity;
        match fs::read(&self.path).map(|bytes| OperationsRecord::decode(&bytes, limiter)) {
            Ok(Ok(record)) => PollOutcome::Record(record),
            Ok(Err(unusable)) => PollOutcome::Unusable(unusable),
            // Missing, or deleted since the check above: there is nothing to apply.
            Err(_) => PollOutcome::Unchanged,
        }
    }

    /// Replaces the whole file atomically, by a rename.
    ///
    /// # Errors
    /// The system's error: the file is as it was.
    pub fn write(&mut self, record: &OperationsRecord) -> io::Result<()> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let written = fs::write(&temporary, record.encode())
            .and_then(|()| fs::rename(&temporary, &self.path));
        if written.is_err() {
            // A partial temporary file is of no use; it is no error if there is none.
            let _ = fs::remove_file(&temporary);
        }
        // Another process may have written just before: the next poll reads the file again, and normally finds this
        // record.
        self.last_seen = None;
        written
    }
}
