//! The record of operators' commands that the processes of a limiter exchange while an old and a new one overlap in an
//! upgrade: its encoding and validation. No I/O.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::disabled_servers::DisabledServers;
use crate::lifecycle::DrainState;

/// First word of a record: its format and the format's version.
const FORMAT: &str = "streamarch-operations-1";
/// Maximum length of a record.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// The state that operators' commands have set at a limiter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationsRecord {
    /// The limiter's name.
    pub limiter: String,
    /// Servers that are or were disabled.
    #[serde(rename = "bans")]
    pub disabled_servers: DisabledServers,
    /// Whether the limiter drains.
    pub drain: DrainState,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Truncated, damaged, or of another format.
    Corrupt,
    /// Written by another limiter.
    OtherLimiter,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordError::Corrupt => "truncated, corrupt or of another format",
            RecordError::OtherLimiter => "written by another limiter",
        })
    }
}

impl std::error::Error for RecordError {}

impl OperationsRecord {
    /// Encodes the record: a line with format and checksum, then the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising names and numbers to JSON cannot fail.
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = format!("{FORMAT} {:08x}\n", crc32fast::hash(&body)).into_bytes();
        bytes.extend(body);
        bytes
    }

    /// Decodes a record of the named limiter.
    ///
    /// # Errors
    /// The bytes are not a complete record, or it is that of another limiter.
    pub fn decode(bytes: &[u8], limiter: &str) -> Result<OperationsRecord, RecordError> {
        let head_end = bytes
            .iter()
            .position(|byte| *byte == b'\n')
            .filter(|_| bytes.len() <= MAX_RECORD_BYTES);
        let (head, body) = bytes.split_at(head_end.ok_or(RecordError::Corrupt)?);
        let body = &body[1..];
        if head != format!("{FORMAT} {:08x}", crc32fast::hash(body)).as_bytes() {
            return Err(RecordError::Corrupt);
        }
        let record: OperationsRecord =
            serde_json::from_slice(body).map_err(|_| RecordError::Corrupt)?;
        if record.limiter == limiter {
            Ok(record)
        } else {
            Err(RecordError::OtherLimiter)
        }
    }
}

#[cfg(test)]
mod tests;
