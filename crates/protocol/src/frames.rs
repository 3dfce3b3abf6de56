//! The encoding of messages on a connection: the length as four bytes, little-endian, then the message in `postcard`.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The greatest size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The size of the length before a message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why received bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is greater than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The bytes do not decode to a message of the expected type.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "message is too long",
            DecodeError::Malformed => "message does not decode",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Appends the frame of a message to a buffer.
pub fn encode<T: Serialize>(out: &mut Vec<u8>, message: &T) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    match postcard::to_extend(message, std::mem::take(out)) {
        Ok(extended) => {
            *out = extended;
            let length = (out.len() - start - LENGTH_BYTES) as u32;
            out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        }
        // A vector has no end, and every message type can be encoded.
        Err(error) => unreachable!("{error}"),
    }
}

/// Removes the message at the start of `input`, if it is complete.
///
/// # Errors
/// The bytes are no message; the connection can't be used any more.
pub fn decode<T: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<T>, DecodeError> {
    let Some((length, rest)) = input.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong);
    }
    let Some(bytes) = rest.get(..length) else {
        return Ok(None);
    };
    let (message, trailing) =
        postcard::take_from_bytes(bytes).map_err(|_| DecodeError::Malformed)?;
    if !trailing.is_empty() {
        return Err(DecodeError::Malformed);
    }
    input.drain(..LENGTH_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
