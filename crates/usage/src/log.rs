//! An append-only file of records, each with its length and checksum.
//!
//! A record that was appended completely is either read back intact or reported as damaged with its offset. A tail that
//! was truncated by the system or a kill is distinguished from damage: its record reaches past the end of the file, or
//! its bytes are all zero.

use std::fmt;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Bytes ahead of a record: length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 8;
/// Maximum length of a record.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// The file that records are written to, or a test double.
pub trait LogFile {
    /// Writes at the end and returns the number of bytes written, which may be fewer than given.
    ///
    /// # Errors
    /// An I/O error, such as a full disk.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    /// An I/O error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Syncs all written data to the disk.
    ///
    /// # Errors
    /// An I/O error. It is then unknown which data reached the disk, and the sync is not retried.
    fn sync(&mut self) -> io::Result<()>;
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::Start(length)).map(drop)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Appends records to a file in groups.
#[derive(Debug)]
pub struct Writer<D> {
    file: D,
    /// Length in bytes of the completely written groups.
    whole_bytes: u64,
    /// Whether a failed write may have left part of a group after `whole_bytes`.
    is_torn: bool,
    /// Encoded records that wait to be written.
    group: Vec<u8>,
}

impl<D: LogFile> Writer<D> {
    /// Creates a writer for an empty file.
    pub fn new(file: D) -> Writer<D> {
        Writer {
            file,
            whole_bytes: 0,
            is_torn: false,
            group: Vec::new(),
        }
    }

    /// Adds a record to the group; nothing is written yet.
    ///
    /// # Errors
    /// The record is too long.
    pub fn append(&mut self, record: &[u8]) -> Result<(), RecordTooLong> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(RecordTooLong(record.len()));
        }
        self.group
            .extend_from_slice(&(record.len() as u32).to_le_bytes());
        self.group
            .extend_from_slice(&checksum(record).to_le_bytes());
        self.group.extend_from_slice(record);
        Ok(())
    }

    /// Length of the group in bytes.
    pub fn pending(&self) -> usize {
        self.group.len()
    }

    /// Writes the group. Once written, it survives the end of the process; it survives a power loss only after
    /// [`Writer::sync`].
    ///
    /// # Errors
    /// An I/O error. The group is kept, and the next call writes it after the last completely written group.
    pub fn write(&mut self) -> io::Result<()> {
        if self.is_torn {
            self.file.truncate(self.whole_bytes)?;
            self.is_torn = false;
        }
        let mut written = 0;
        while written < self.group.len() {
            self.is_torn = true;
            match self.file.append(&self.group[written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.is_torn = false;
        self.whole_bytes += self.group.len() as u64;
        self.group.clear();
        Ok(())
    }

    /// Syncs written groups to the disk.
    ///
    /// # Errors
    /// An I/O error.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

/// A record exceeds [`MAX_RECORD_BYTES`]; holds its length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordTooLong(pub usize);

impl fmt::Display for RecordTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "record of {} bytes exceeds the maximum of {MAX_RECORD_BYTES}",
            self.0
        )
    }
}

impl std::error::Error for RecordTooLong {}

/// CRC-32 of the length and the record. It covers the length so that a corrupted length is detected even if the bytes
/// it selects match the checksum.
fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(record.len() as u32).to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}

/// Contents of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogContents {
    /// The complete records in order, each with its offset in bytes.
    pub records: Vec<(u64, Vec<u8>)>,
    /// Length of a truncated tail after them, in bytes.
    pub torn_bytes: u64,
}

/// Why a log file cannot be read.
#[derive(Debug)]
pub enum LogError {
    /// An I/O error on a file.
    File(PathBuf, io::Error),
    /// The file is damaged: the record at this offset is lost, and intact records may follow. The file was not
    /// modified.
    Damaged {
        /// The file.
        file: PathBuf,
        /// Offset in bytes at which the damage begins.
        offset: u64,
        /// Bytes from there to the end of the file.
        unread_bytes: u64,
    },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::File(path, error) => write!(f, "{}: {error}", path.display()),
            LogError::Damaged {
                file,
                offset,
                unread_bytes,
            } => {
                write!(
                    f,
                    "{}: damaged at byte {offset}, the {unread_bytes} bytes from there on were not read",
                    file.display()
                )
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Reads all records of a file.
///
/// # Errors
/// An I/O error; damage, with its offset.
pub fn read(path: &Path) -> Result<LogContents, LogError> {
    let mut bytes = Vec::new();
    let io_error = |error| LogError::File(path.to_path_buf(), error);
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .map_err(io_error)?;
    decode(&bytes).map_err(|offset| LogError::Damaged {
        file: path.to_path_buf(),
        offset,
        unread_bytes: bytes.len() as u64 - offset,
    })
}

/// Decodes the records of a file's bytes.
///
/// # Errors
/// The offset at which damage begins.
pub fn decode(bytes: &[u8]) -> Result<LogContents, u64> {
    let mut records = Vec::new();
    let mut at = 0;
    loop {
        let rest = &bytes[at..];
        let tail = LogContents {
            records: Vec::new(),
            torn_bytes: rest.len() as u64,
        };
        if rest.iter().all(|byte| *byte == 0) || rest.len() < HEADER_BYTES {
            return Ok(LogContents { records, ..tail });
        }
        let read_u32 = |from: usize| {
            u32::from_le_bytes([rest[from], rest[from + 1], rest[from + 2], rest[from + 3]])
        };
        let (length, stored_checksum) = (read_u32(0) as usize, read_u32(4));
        if length > MAX_RECORD_BYTES {
            return Err(at as u64);
        }
        let Some(record) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else {
            // A corrupted length in the middle of the file may also reach past the end. Without this check that damage
            // would pass as a truncated tail; it shows by an intact record that follows.
            return if has_intact_record(&rest[1..]) {
                Err(at as u64)
            } else {
                Ok(LogContents { records, ..tail })
            };
        };
        if checksum(record) != stored_checksum {
            // A power loss may leave zeros in place of the tail; anything else is damage.
            let is_zeroed =
                record.iter().rev().take_while(|byte| **byte == 0).count() == length && length > 0;
            let is_last = rest[HEADER_BYTES + length..].iter().all(|byte| *byte == 0);
            return if is_zeroed && is_last {
                Ok(LogContents { records, ..tail })
            } else {
                Err(at as u64)
            };
        }
        records.push((at as u64, record.to_vec()));
        at += HEADER_BYTES + length;
    }
}

/// Whether an intact record begins anywhere in these bytes.
fn has_intact_record(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(HEADER_BYTES)).any(|at| {
        let rest = &bytes[at..];
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let stored_checksum = u32::from_le_bytes([rest[4], rest[5], rest[6], rest[7]]);
        (1..=MAX_RECORD_BYTES).contains(&length)
            && rest
                .get(HEADER_BYTES..HEADER_BYTES + length)
                .is_some_and(|record| checksum(record) == stored_checksum)
    })
}
