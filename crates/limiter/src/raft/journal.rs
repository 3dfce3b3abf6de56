//! A member's log and vote in a file that only grows: each record with its length and checksum, on disk before
//! anybody is told of it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState};
use raft::storage::MemStorage;

const ENTRY: u8 = 1;
const STATE: u8 = 2;
/// Bytes before a record's own: kind, length, checksum.
const FRAME: usize = 9;

/// The file.
#[derive(Debug)]
pub struct Journal {
    file: File,
    length: u64,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// The record at the start of `bytes`: kind, content, length in all. `None`: it is not whole, or not as written.
fn record(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let (frame, rest) = bytes.split_first_chunk::<FRAME>()?;
    let [kind, l0, l1, l2, l3, c0, c1, c2, c3] = *frame;
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let content = rest.get(..length)?;
    (crc32fast::hash(content) == u32::from_be_bytes([c0, c1, c2, c3])).then_some((
        kind,
        content,
        FRAME + length,
    ))
}

fn write(out: &mut Vec<u8>, kind: u8, content: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(content.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(content).to_be_bytes());
    out.extend_from_slice(content);
}

impl Journal {
    /// Opens the journal in `folder` and reads it into `store`. A torn record at the end was promised to nobody
    /// and is cut off.
    ///
    /// # Errors
    /// The journal can't be read, or a record in it is invalid.
    pub fn open(folder: &Path, store: &MemStorage) -> io::Result<Journal> {
        fs::create_dir_all(folder)?;
        let path = folder.join("raft.journal");
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut at = 0;
        while let Some((kind, content, length)) = record(&bytes[at..]) {
            let mut store = store.wl();
            match kind {
                ENTRY => {
                    let entry = Entry::parse_from_bytes(content).map_err(|_| broken("an entry"))?;
                    store
                        .append(&[entry])
                        .map_err(|_| broken("an entry out of place"))?;
                }
                STATE => {
                    let state =
                        HardState::parse_from_bytes(content).map_err(|_| broken("a state"))?;
                    store.set_hardstate(state);
                }
                _ => return Err(broken("an unknown kind of record")),
            }
            at += length;
        }
        file.set_len(at as u64)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        // The file's own name must last too.
        File::open(folder)?.sync_all()?;
        Ok(Journal {
            file,
            length: at as u64,
        })
    }

    /// Its length in bytes.
    pub fn length_bytes(&self) -> u64 {
        self.length
    }

    /// Appends entries and state, and waits until they are on disk.
    ///
    /// # Errors
    /// The journal can't be written.
    pub fn append(&mut self, entries: &[Entry], state: Option<&HardState>) -> io::Result<()> {
        let mut out = Vec::new();
        let bad = |_| broken("cannot be written");
        for entry in entries {
            write(&mut out, ENTRY, &entry.write_to_bytes().map_err(bad)?);
        }
        if let Some(state) = state {
            write(&mut out, STATE, &state.write_to_bytes().map_err(bad)?);
        }
        if out.is_empty() {
            return Ok(());
        }
        self.file.write_all(&out)?;
        self.file.sync_data()?;
        self.length += out.len() as u64;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
