//! Going through what was booked.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use crate::booking::{Booking, FORM, Record};
use crate::ledger::{file_name, lives};
use crate::log::{self, LogError};

/// A try as it stands in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booked {
    /// The limiter.
    pub limiter: String,
    /// Its life.
    pub life: u64,
    /// Number within that life, from 1 without gaps.
    pub number: u64,
    /// What was booked.
    pub booking: Booking,
    /// Booked in the last group before a kill: it may not have gone out.
    pub unsure: bool,
}

/// A life's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Life {
    /// Its tries.
    pub tries: Vec<Booked>,
    /// Bytes of a torn tail, which was never acknowledged.
    pub torn: u64,
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
        text: String,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Folder(path, error) => write!(f, "{}: {error}", path.display()),
            ReadError::Log(error) => write!(f, "{error}"),
            ReadError::Record { file, offset, text } => {
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
pub fn life(folder: &Path, life: u64) -> Result<Life, ReadError> {
    let file = folder.join(file_name(life));
    let contents = log::read(&file).map_err(ReadError::Log)?;
    let mut read = Life {
        tries: Vec::new(),
        torn: contents.torn,
    };
    let (mut limiter, mut sent) = (None, 0);
    for (offset, bytes) in &contents.records {
        let bad = |text: String| ReadError::Record {
            file: file.clone(),
            offset: *offset,
            text,
        };
        match (postcard::from_bytes::<Record>(bytes), &limiter) {
            (Ok(Record::Life { form, .. }), None) if form != FORM => {
                return Err(bad(format!("form {form}, this program reads {FORM}")));
            }
            (
                Ok(Record::Life {
                    limiter: name,
                    life: told,
                    ..
                }),
                None,
            ) if told == life => limiter = Some(name),
            (Ok(Record::Try(number, booking)), Some(limiter))
                if number == read.tries.len() as u64 + 1 =>
            {
                read.tries.push(Booked {
                    limiter: limiter.clone(),
                    life,
                    number,
                    booking,
                    unsure: false,
                });
            }
            (Ok(Record::Sent(upto)), Some(_)) if upto <= read.tries.len() as u64 => {
                sent = sent.max(upto)
            }
            (Ok(other), _) => return Err(bad(format!("out of place: {other:?}"))),
            (Err(error), _) => return Err(bad(error.to_string())),
        }
    }
    read.tries
        .iter_mut()
        .for_each(|t| t.unsure = t.number > sent);
    Ok(read)
}

/// Reads all lives of a folder, in order.
///
/// # Errors
/// As [`life`].
pub fn all(folder: &Path) -> Result<Vec<Life>, ReadError> {
    let lives = lives(folder).map_err(|e| ReadError::Folder(folder.to_path_buf(), e))?;
    lives
        .into_iter()
        .map(|number| life(folder, number))
        .collect()
}
