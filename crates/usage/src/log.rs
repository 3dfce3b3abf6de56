//! Records in a file, each with its length and checksum.
//!
//! What was appended whole is read back whole, or its place is named. A tail that the system or a kill cut off is told
//! from damage: it reaches past the end of the file, or what should hold it is nothing but zeros.

use std::fmt;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Length and checksum ahead of a record.
const HEAD: usize = 8;
/// Longest record.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Where records go: a file, or what a test puts in its place.
pub trait LogFile {
    /// Writes at the end; how much was written may be less.
    ///
    /// # Errors
    /// The system's, a full disk among them.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Cuts the file to a length.
    ///
    /// # Errors
    /// The system's.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Brings all that was written to the disk itself.
    ///
    /// # Errors
    /// The system's. What it was about is then unknown, and not tried again.
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

/// Appends records in groups.
#[derive(Debug)]
pub struct Writer<D> {
    disk: D,
    /// Length of what is whole.
    whole: u64,
    /// A group that failed may have left a part of it behind `whole`.
    torn: bool,
    group: Vec<u8>,
}

impl<D: LogFile> Writer<D> {
    /// Appends to an empty file.
    pub fn new(disk: D) -> Writer<D> {
        Writer {
            disk,
            whole: 0,
            torn: false,
            group: Vec::new(),
        }
    }

    /// Puts a record into the group; nothing is written yet.
    ///
    /// # Errors
    /// A record that is too long.
    pub fn append(&mut self, record: &[u8]) -> Result<(), RecordTooLong> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(RecordTooLong(record.len()));
        }
        self.group
            .extend_from_slice(&(record.len() as u32).to_le_bytes());
        self.group.extend_from_slice(&sum(record).to_le_bytes());
        self.group.extend_from_slice(record);
        Ok(())
    }

    /// Bytes in the group.
    pub fn pending(&self) -> usize {
        self.group.len()
    }

    /// Writes the group. Once it is written, an end of the process can't lose it; a loss of power can, until
    /// [`Writer::sync`].
    ///
    /// # Errors
    /// The system's. The group is kept, and goes out with the next call, behind what was whole before.
    pub fn write(&mut self) -> io::Result<()> {
        if self.torn {
            self.disk.truncate(self.whole)?;
            self.torn = false;
        }
        let mut done = 0;
        while done < self.group.len() {
            self.torn = true;
            match self.disk.append(&self.group[done..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => done += length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.torn = false;
        self.whole += self.group.len() as u64;
        self.group.clear();
        Ok(())
    }

    /// Brings what was written to the disk itself.
    ///
    /// # Errors
    /// The system's.
    pub fn sync(&mut self) -> io::Result<()> {
        self.disk.sync()
    }
}

/// A record over [`LONGEST`], and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordTooLong(pub usize);

impl fmt::Display for RecordTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a record of {} bytes, {MAX_RECORD_BYTES} at most",
            self.0
        )
    }
}

impl std::error::Error for RecordTooLong {}

/// The checksum also covers the length, so that a changed length can't pass with a record that happens to fit it.
fn sum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(record.len() as u32).to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogContents {
    /// Its whole records, in order, with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
    /// Bytes of a torn tail behind them.
    pub torn_bytes: u64,
}

/// Why a file can't be read.
#[derive(Debug)]
pub enum LogError {
    /// The system's word.
    File(PathBuf, io::Error),
    /// Damage: what stood at this offset is lost, and whole records may stand behind it. Nothing was changed.
    Damaged {
        /// The file.
        file: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// Bytes from there to the file's end.
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
                unread_bytes: behind,
            } => {
                write!(
                    f,
                    "{}: damaged at byte {offset}, {behind} bytes from there on are not read",
                    file.display()
                )
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Reads a file whole.
///
/// # Errors
/// The system's; damage, with its place.
pub fn read(path: &Path) -> Result<LogContents, LogError> {
    let mut bytes = Vec::new();
    let system = |error| LogError::File(path.to_path_buf(), error);
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .map_err(system)?;
    decode(&bytes).map_err(|offset| LogError::Damaged {
        file: path.to_path_buf(),
        offset,
        unread_bytes: bytes.len() as u64 - offset,
    })
}

/// The records of a file's bytes.
///
/// # Errors
/// Where damage begins.
pub fn decode(bytes: &[u8]) -> Result<LogContents, u64> {
    let mut records = Vec::new();
    let mut at = 0;
    loop {
        let rest = &bytes[at..];
        let torn = LogContents {
            records: Vec::new(),
            torn_bytes: rest.len() as u64,
        };
        if rest.iter().all(|byte| *byte == 0) || rest.len() < HEAD {
            return Ok(LogContents { records, ..torn });
        }
        let word = |from: usize| {
            u32::from_le_bytes([rest[from], rest[from + 1], rest[from + 2], rest[from + 3]])
        };
        let (length, told) = (word(0) as usize, word(4));
        if length > MAX_RECORD_BYTES {
            return Err(at as u64);
        }
        let Some(record) = rest.get(HEAD..HEAD + length) else {
            // Danger: a changed length of a record in the middle also reaches past the end; then something whole
            // stands behind its head.
            return if whole_behind(&rest[1..]) {
                Err(at as u64)
            } else {
                Ok(LogContents { records, ..torn })
            };
        };
        if sum(record) != told {
            // A loss of power may leave zeros where a tail was to be; anything else is damage.
            let unwritten =
                record.iter().rev().take_while(|byte| **byte == 0).count() == length && length > 0;
            let last = rest[HEAD + length..].iter().all(|byte| *byte == 0);
            return if unwritten && last {
                Ok(LogContents { records, ..torn })
            } else {
                Err(at as u64)
            };
        }
        records.push((at as u64, record.to_vec()));
        at += HEAD + length;
    }
}

/// Whether a whole record begins anywhere in these bytes.
fn whole_behind(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(HEAD)).any(|at| {
        let rest = &bytes[at..];
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let told = u32::from_le_bytes([rest[4], rest[5], rest[6], rest[7]]);
        (1..=MAX_RECORD_BYTES).contains(&length)
            && rest
                .get(HEAD..HEAD + length)
                .is_some_and(|record| sum(record) == told)
    })
}
