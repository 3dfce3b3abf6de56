//! A member's log and hard state (term, vote, commit index) in an append-only file. Each record carries its length and a
//! checksum, and is synced to disk before any message that depends on it is sent.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState};
use raft::storage::MemStorage;

/// Record kind of a log entry.
const ENTRY: u8 = 1;
/// Record kind of a hard state.
const HARD_STATE: u8 = 2;
/// Size of the header before a record's content: kind, content length, checksum.
const HEADER_BYTES: usize = 9;

/// The journal's file, positioned at its end.
#[derive(Debug)]
pub struct Journal {
    file: File,
    length_bytes: u64,
}

fn invalid_data(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Decodes the record at the start of `bytes` into kind, content and total length. `None` if it is incomplete or its
/// checksum does not match.
fn decode_record(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
    let [kind, l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let content = rest.get(..length)?;
    (crc32fast::hash(content) == u32::from_be_bytes([c0, c1, c2, c3])).then_some((
        kind,
        content,
        HEADER_BYTES + length,
    ))
}

fn encode_record(out: &mut Vec<u8>, kind: u8, content: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(content.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(content).to_be_bytes());
    out.extend_from_slice(content);
}

impl Journal {
    /// Opens the journal in `folder` and loads it into `store`. The file is cut at the first incomplete or damaged record:
    /// its write was interrupted before it was synced, so no message that depends on it has been sent.
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
        let mut offset = 0;
        while let Some((kind, content, length)) = decode_record(&bytes[offset..]) {
            let mut store = store.wl();
            match kind {
                ENTRY => {
                    let entry = Entry::parse_from_bytes(content)
                        .map_err(|_| invalid_data("malformed log entry"))?;
                    store
                        .append(&[entry])
                        .map_err(|_| invalid_data("log entry out of sequence"))?;
                }
                HARD_STATE => {
                    let state = HardState::parse_from_bytes(content)
                        .map_err(|_| invalid_data("malformed hard state"))?;
                    store.set_hardstate(state);
                }
                _ => return Err(invalid_data("unknown record kind")),
            }
            offset += length;
        }
        file.set_len(offset as u64)?;
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        // Makes the file's directory entry durable.
        File::open(folder)?.sync_all()?;
        Ok(Journal {
            file,
            length_bytes: offset as u64,
        })
    }

    /// The length of the file.
    pub fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Appends entries and hard state, and returns once they are synced to disk.
    ///
    /// # Errors
    /// The journal can't be written.
    pub fn append(&mut self, entries: &[Entry], state: Option<&HardState>) -> io::Result<()> {
        let mut out = Vec::new();
        let encode_error = |_| invalid_data("cannot be written");
        for entry in entries {
            encode_record(
                &mut out,
                ENTRY,
                &entry.write_to_bytes().map_err(encode_error)?,
            );
        }
        if let Some(state) = state {
            encode_record(
                &mut out,
                HARD_STATE,
                &state.write_to_bytes().map_err(encode_error)?,
            );
        }
        if out.is_empty() {
            return Ok(());
        }
        self.file.write_all(&out)?;
        self.file.sync_data()?;
        self.length_bytes += out.len() as u64;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
