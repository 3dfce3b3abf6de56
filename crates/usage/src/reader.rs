//! Reading recorded attempts.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use crate::ledger::{file_name, list_incarnations};
use crate::log::{self, LogError};
use crate::record::{AttemptUsage, FORMAT_VERSION, LogRecord};

/// An attempt as read from the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// Name of the limiter.
    pub limiter: String,
    /// Number of the limiter's incarnation.
    pub incarnation: u64,
    /// Number within that incarnation, from 1 without gaps.
    pub number: u64,
    /// The recorded usage.
    pub usage: AttemptUsage,
    /// Recorded in the last group before a kill, so possibly not sent.
    pub maybe_unsent: bool,
}

/// Contents of an incarnation's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncarnationLog {
    /// Its attempts.
    pub attempts: Vec<RecordedAttempt>,
    /// Length in bytes of a truncated tail, which was never acknowledged as written.
    pub torn_bytes: u64,
}

/// Why a ledger cannot be read.
#[derive(Debug)]
pub enum ReadError {
    /// An I/O error on the folder.
    Folder(PathBuf, io::Error),
    /// An error of a log file.
    Log(LogError),
    /// A record is intact but invalid.
    Record {
        /// The file.
        file: PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
        /// Description of the error.
        message: String,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Folder(path, error) => write!(f, "{}: {error}", path.display()),
            ReadError::Log(error) => write!(f, "{error}"),
            ReadError::Record {
                file,
                offset,
                message,
            } => {
                write!(f, "{}: byte {offset}: {message}", file.display())
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// Reads one incarnation.
///
/// # Errors
/// An I/O error; damage or a gap, with its offset. No record is skipped silently.
pub fn read_incarnation(folder: &Path, incarnation: u64) -> Result<IncarnationLog, ReadError> {
    let file = folder.join(file_name(incarnation));
    let contents = log::read(&file).map_err(ReadError::Log)?;
    let mut log = IncarnationLog {
        attempts: Vec::new(),
        torn_bytes: contents.torn_bytes,
    };
    let (mut limiter, mut sent_attempts) = (None, 0);
    for (offset, bytes) in &contents.records {
        let invalid_record = |message: String| ReadError::Record {
            file: file.clone(),
            offset: *offset,
            message,
        };
        match (postcard::from_bytes::<LogRecord>(bytes), &limiter) {
            (Ok(LogRecord::Header { format_version, .. }), None)
                if format_version != FORMAT_VERSION =>
            {
                return Err(invalid_record(format!(
                    "format version {format_version} is not supported, expected {FORMAT_VERSION}"
                )));
            }
            (
                Ok(LogRecord::Header {
                    limiter: name,
                    incarnation: header_incarnation,
                    ..
                }),
                None,
            ) if header_incarnation == incarnation => limiter = Some(name),
            (Ok(LogRecord::Attempt(number, usage)), Some(limiter))
                if number == log.attempts.len() as u64 + 1 =>
            {
                log.attempts.push(RecordedAttempt {
                    limiter: limiter.clone(),
                    incarnation,
                    number,
                    usage,
                    maybe_unsent: false,
                });
            }
            (Ok(LogRecord::Sent(last_sent)), Some(_)) if last_sent <= log.attempts.len() as u64 => {
                sent_attempts = sent_attempts.max(last_sent)
            }
            (Ok(other), _) => return Err(invalid_record(format!("unexpected record: {other:?}"))),
            (Err(error), _) => return Err(invalid_record(error.to_string())),
        }
    }
    log.attempts
        .iter_mut()
        .for_each(|t| t.maybe_unsent = t.number > sent_attempts);
    Ok(log)
}

/// Reads all incarnations of a folder, in order.
///
/// # Errors
/// See [`read_incarnation`].
pub fn read_all(folder: &Path) -> Result<Vec<IncarnationLog>, ReadError> {
    let incarnations =
        list_incarnations(folder).map_err(|e| ReadError::Folder(folder.to_path_buf(), e))?;
    incarnations
        .into_iter()
        .map(|number| read_incarnation(folder, number))
        .collect()
}
