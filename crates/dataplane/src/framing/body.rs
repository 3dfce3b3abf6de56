//! Message bodies: how their end is determined, and reading them incrementally.

use super::ParseError;

/// How the end of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By the empty last chunk.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Longest chunk-size line, including extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Most bytes of all trailer fields.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The state of a body being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Within a body of known length, with this many bytes left.
    KnownLength(u64),
    /// Within a body that ends with its connection.
    UntilClose,
    /// At a chunk-size line.
    ChunkSize,
    /// Within a chunk's data, with this many bytes left.
    ChunkData(u64),
    /// At the line end after a chunk's data.
    ChunkEnd,
    /// Within the trailer section, with this many of its bytes read.
    Trailer(usize),
    /// After the end of the body.
    Complete,
}

/// Reads a body incrementally, without buffering it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    state: BodyState,
    /// Bytes by which the body may still grow, if its length was not announced.
    remaining_bytes: u64,
}

impl BodyReader {
    /// A reader of a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// The announced length is greater.
    pub fn new(framing: BodyFraming, max_bytes: u64) -> Result<BodyReader, ParseError> {
        let state = match framing {
            BodyFraming::Length(length) if length > max_bytes => {
                return Err(ParseError::BodyTooLarge);
            }
            BodyFraming::Length(0) => BodyState::Complete,
            BodyFraming::Length(length) => BodyState::KnownLength(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Ok(BodyReader {
            state,
            remaining_bytes: max_bytes,
        })
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == BodyState::Complete
    }

    /// Whether the close of the connection completes the body.
    pub fn ends_at_close(&self) -> bool {
        self.state == BodyState::UntilClose
    }

    fn consume(&mut self, bytes: u64) -> Result<(), ParseError> {
        self.remaining_bytes = self
            .remaining_bytes
            .checked_sub(bytes)
            .ok_or(ParseError::BodyTooLarge)?;
        Ok(())
    }

    /// Reads from the start of `bytes` and appends body data to `out`. Returns how many bytes were
    /// consumed; the others need more input, or follow the complete body.
    ///
    /// # Errors
    /// A chunk is malformed, or the body is too long; independent of how the input is split.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            if rest.is_empty() {
                return Ok(consumed);
            }
            match self.state {
                BodyState::Complete => return Ok(consumed),
                BodyState::KnownLength(remaining) | BodyState::ChunkData(remaining) => {
                    let length = rest
                        .len()
                        .min(usize::try_from(remaining).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..length]);
                    consumed += length;
                    let remaining = remaining - length as u64;
                    self.state = match self.state {
                        BodyState::KnownLength(_) if remaining == 0 => BodyState::Complete,
                        BodyState::KnownLength(_) => BodyState::KnownLength(remaining),
                        _ if remaining == 0 => BodyState::ChunkEnd,
                        _ => BodyState::ChunkData(remaining),
                    };
                }
                BodyState::UntilClose => {
                    self.consume(rest.len() as u64)?;
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((line_length, size)))
                        if line_length <= MAX_CHUNK_SIZE_LINE_BYTES =>
                    {
                        self.consume(size)?;
                        consumed += line_length;
                        self.state = if size == 0 {
                            BodyState::Trailer(0)
                        } else {
                            BodyState::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_SIZE_LINE_BYTES => {
                        return Ok(consumed);
                    }
                    _ => return Err(ParseError::Syntax),
                },
                BodyState::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        (self.state, consumed) = (BodyState::ChunkSize, consumed + 2)
                    }
                    [b'\r'] => return Ok(consumed),
                    _ => return Err(ParseError::Syntax),
                },
                // Trailer fields are discarded.
                BodyState::Trailer(read_bytes) => {
                    let line_feed = rest.iter().position(|byte| *byte == b'\n');
                    let length = read_bytes + line_feed.unwrap_or(rest.len());
                    match line_feed {
                        _ if length > MAX_TRAILER_BYTES => return Err(ParseError::HeadTooLarge),
                        None => return Ok(consumed),
                        // Request smuggling: other parsers may not accept a bare line feed as a
                        // line end.
                        Some(line_feed) if line_feed == 0 || rest[line_feed - 1] != b'\r' => {
                            return Err(ParseError::Syntax);
                        }
                        Some(line_feed) => {
                            consumed += line_feed + 1;
                            self.state = if line_feed == 1 {
                                BodyState::Complete
                            } else {
                                BodyState::Trailer(length)
                            };
                        }
                    }
                }
            }
        }
    }
}
