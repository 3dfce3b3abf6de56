//! Messages on a connection: `postcard`, each with its length before it.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than any message.
    TooLong,
    /// Not of the kind that is spoken here.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "a message longer than any",
            DecodeError::Malformed => "a message of another kind",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Appends a message to what is to be written.
pub fn encode<T: Serialize>(out: &mut Vec<u8>, message: &T) {
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    match postcard::to_extend(message, std::mem::take(out)) {
        Ok(written) => {
            *out = written;
            let length = (out.len() - at - 4) as u32;
            out[at..at + 4].copy_from_slice(&length.to_le_bytes());
        }
        // A vector takes all there is, and no message here is of a kind without a form.
        Err(error) => unreachable!("{error}"),
    }
}

/// Takes the message at the start of `input` from it, once it is whole.
///
/// # Errors
/// What is there is none; the connection is of no more use.
pub fn decode<T: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<T>, DecodeError> {
    let Some((length, rest)) = input.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong);
    }
    let Some(bytes) = rest.get(..length) else {
        return Ok(None);
    };
    let (message, left) = postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Malformed)?;
    if !left.is_empty() {
        return Err(DecodeError::Malformed);
    }
    input.drain(..4 + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
