//! What passes from one process of a limiter to the next, and between the two while they overlap: as bytes, with checks.
//! No input or output.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::disabled_servers::DisabledServers;
use crate::lifecycle::DrainState;

/// First word of a record, with the number of its form.
const FORM: &str = "streamarch-operations-1";
/// Longest record.
const LONGEST: usize = 1024 * 1024;

/// What operators have asked of a limiter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationsRecord {
    /// The limiter's name.
    pub limiter: String,
    /// Servers taken out.
    #[serde(rename = "bans")]
    pub disabled_servers: DisabledServers,
    /// Whether clients are sent away.
    pub drain: DrainState,
}

/// Why bytes are no record that may be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Not of this form, torn, or damaged.
    Corrupt,
    /// Another limiter's.
    OtherLimiter,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordError::Corrupt => "it is torn, damaged or of another form",
            RecordError::OtherLimiter => "it is another limiter's",
        })
    }
}

impl std::error::Error for RecordError {}

impl OperationsRecord {
    /// A line with form and checksum, then the record.
    pub fn encode(&self) -> Vec<u8> {
        // Names and numbers can always be written.
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = format!("{FORM} {:08x}\n", crc32fast::hash(&body)).into_bytes();
        bytes.extend(body);
        bytes
    }

    /// Reads a record of this limiter, whole or not at all.
    ///
    /// # Errors
    /// What is no whole record, or another limiter's.
    pub fn decode(bytes: &[u8], limiter: &str) -> Result<OperationsRecord, RecordError> {
        let end = bytes
            .iter()
            .position(|byte| *byte == b'\n')
            .filter(|_| bytes.len() <= LONGEST);
        let (head, body) = bytes.split_at(end.ok_or(RecordError::Corrupt)?);
        let body = &body[1..];
        if head != format!("{FORM} {:08x}", crc32fast::hash(body)).as_bytes() {
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
