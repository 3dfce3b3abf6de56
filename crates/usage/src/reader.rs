//! Going through what was booked.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use crate::ledger::{file_name, list_incarnations};
use crate::log::{self, LogError};
use crate::record::{AttemptUsage, FORMAT_VERSION, LogRecord};

/// A try as it stands in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// The limiter.
    pub limiter: String,
    /// Its life.
    pub incarnation: u64,
    /// Number within that life, from 1 without gaps.
    pub number: u64,
    /// What was booked.
    pub usage: AttemptUsage,
    /// Booked in the last group before a kill: it may not have gone out.
    pub maybe_unsent: bool,
}

/// A life's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncarnationLog {
    /// Its tries.
    pub attempts: Vec<RecordedAttempt>,
    /// Bytes of a torn tail, which was never acknowledged.
    pub torn_bytes: u64,
}

/// Why a ledger can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// The folder.
    Folder(PathBuf, io::Error),
    /// The log.
    Log(LogError),
    /// A record that is whole and makes no sense, by its place.
    Record {
        /// The file.
        file: PathBuf,
        /// Where the record begins.
        offset: u64,
        /// What is wrong with it.
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
                message: text,
            } => {
                write!(f, "{}: byte {offset}: {text}", file.display())
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// Reads one life.
///
/// # Errors
/// The system's; damage or a gap, by its place. Nothing is passed over in silence.
pub fn read_incarnation(folder: &Path, life: u64) -> Result<IncarnationLog, ReadError> {
    let file = folder.join(file_name(life));
    let contents = log::read(&file).map_err(ReadError::Log)?;
    let mut read = IncarnationLog {
        attempts: Vec::new(),
        torn_bytes: contents.torn_bytes,
    };
    let (mut limiter, mut sent) = (None, 0);
    for (offset, bytes) in &contents.records {
        let bad = |text: String| ReadError::Record {
            file: file.clone(),
            offset: *offset,
            message: text,
        };
        match (postcard::from_bytes::<LogRecord>(bytes), &limiter) {
            (
                Ok(LogRecord::Header {
                    format_version: form,
                    ..
                }),
                None,
            ) if form != FORMAT_VERSION => {
                return Err(bad(format!(
                    "form {form}, this program reads {FORMAT_VERSION}"
                )));
            }
            (
                Ok(LogRecord::Header {
                    limiter: name,
                    incarnation: told,
                    ..
                }),
                None,
            ) if told == life => limiter = Some(name),
            (Ok(LogRecord::Attempt(number, booking)), Some(limiter))
                if number == read.attempts.len() as u64 + 1 =>
            {
                read.attempts.push(RecordedAttempt {
                    limiter: limiter.clone(),
                    incarnation: life,
                    number,
                    usage: booking,
                    maybe_unsent: false,
                });
            }
            (Ok(LogRecord::Sent(upto)), Some(_)) if upto <= read.attempts.len() as u64 => {
                sent = sent.max(upto)
            }
            (Ok(other), _) => return Err(bad(format!("out of place: {other:?}"))),
            (Err(error), _) => return Err(bad(error.to_string())),
        }
    }
    read.attempts
        .iter_mut()
        .for_each(|t| t.maybe_unsent = t.number > sent);
    Ok(read)
}

/// Reads all lives of a folder, in order.
///
/// # Errors
/// As [`life`].
pub fn read_all(folder: &Path) -> Result<Vec<IncarnationLog>, ReadError> {
    let lives =
        list_incarnations(folder).map_err(|e| ReadError::Folder(folder.to_path_buf(), e))?;
    lives
        .into_iter()
        .map(|number| read_incarnation(folder, number))
        .collect()
}
