//! The file through which the processes of a limiter tell each other what operators asked for.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::handover::{OperationsRecord, RecordError};

/// The file, and what of it is known here.
#[derive(Debug)]
pub struct OperationsFile {
    path: PathBuf,
    /// The file as it was when it was last read or written: a rename brings another number.
    last_seen: Option<(u64, i64, i64, u64)>,
}

/// What stands in the file.
#[derive(Debug)]
pub enum PollOutcome {
    /// Nothing that was not known.
    Unchanged,
    /// A record that another process wrote.
    Record(OperationsRecord),
    /// Something that is passed over.
    Unusable(RecordError),
}

impl OperationsFile {
    /// In this folder; nothing is read or written yet.
    pub fn new(folder: &Path) -> OperationsFile {
        OperationsFile {
            path: folder.join("streamarch-operations"),
            last_seen: None,
        }
    }

    fn identity(&self) -> Option<(u64, i64, i64, u64)> {
        let file = fs::metadata(&self.path).ok()?;
        Some((file.ino(), file.mtime(), file.mtime_nsec(), file.len()))
    }

    /// Looks whether another process has written.
    pub fn poll(&mut self, limiter: &str) -> PollOutcome {
        let mark = self.identity();
        if mark == self.last_seen {
            return PollOutcome::Unchanged;
        }
        self.last_seen = mark;
        match fs::read(&self.path).map(|bytes| OperationsRecord::decode(&bytes, limiter)) {
            Ok(Ok(record)) => PollOutcome::Record(record),
            Ok(Err(unusable)) => PollOutcome::Unusable(unusable),
            // Gone, or going: there is nothing to take over.
            Err(_) => PollOutcome::Unchanged,
        }
    }

    /// Replaces the file whole.
    ///
    /// # Errors
    /// The system's: the file is as it was.
    pub fn write(&mut self, record: &OperationsRecord) -> io::Result<()> {
        let new = self.path.with_extension(std::process::id().to_string());
        let written = fs::write(&new, record.encode()).and_then(|()| fs::rename(&new, &self.path));
        if written.is_err() {
            // What is left of it is of no use; that it may not be there is no matter.
            let _ = fs::remove_file(&new);
        }
        // Guards what another process may have written just before: it is looked at once more, and finds the same.
        self.last_seen = None;
        written
    }
}
