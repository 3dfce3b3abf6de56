//! The framing of messages on a connection: the length as a 32-bit little-endian integer, then the message in `postcard`.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// The reason why received bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is greater than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The bytes of the frame do not decode to exactly one message of the expected type.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "message exceeds the maximum size",
            DecodeError::Malformed => "message is malformed",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Appends a message to a buffer, with its length prefix.
pub fn encode<T: Serialize>(out: &mut Vec<u8>, message: &T) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    match postcard::to_extend(message, std::mem::take(out)) {
        Ok(extended) => {
            *out = extended;
            let length = (out.len() - start - LENGTH_BYTES) as u32;
            out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        }
        // A vector can always grow, and every message type can be encoded.
        Err(error) => unreachable!("{error}"),
    }
}

/// Removes the message at the start of `input` and returns it; `None` if it has not been received completely.
///
/// # Errors
/// The bytes are not a valid message. The connection can't be used any more, as the start of the next message is unknown.
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
