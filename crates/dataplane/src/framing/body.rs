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

/// Longest chunk-size line, extensions included, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Most bytes of trailer fields.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The state of a body being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Within a body of known length, with this many bytes left.
    Plain(u64),
    UntilClose,
    /// At a chunk-size line, within a chunk's data, or at the line end after it.
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Within the trailer section, with this many of its bytes read.
    Trailer(usize),
    Complete,
}

/// Reads a body incrementally, without buffering it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyReader {
    state: BodyState,
    /// Bytes that the body may still have.
    remaining: u64,
}

impl BodyReader {
    /// A reader of a body of at most `most` bytes.
    ///
    /// # Errors
    /// The body is announced to be longer.
    pub fn new(extent: BodyFraming, most: u64) -> Result<BodyReader, ParseError> {
        let place = match extent {
            BodyFraming::Length(length) if length > most => return Err(ParseError::BodyTooLarge),
            BodyFraming::Length(0) => BodyState::Complete,
            BodyFraming::Length(length) => BodyState::Plain(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Ok(BodyReader {
            state: place,
            remaining: most,
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
        self.remaining = self
            .remaining
            .checked_sub(bytes)
            .ok_or(ParseError::BodyTooLarge)?;
        Ok(())
    }

    /// Reads from the start of `bytes` and appends body data to `out`. Returns how many bytes were
    /// consumed; bytes left over wait for more input, or follow the complete body.
    ///
    /// # Errors
    /// The chunk is malformed, or the body too long; independent of how the input is split.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if rest.is_empty() {
                return Ok(at);
            }
            match self.state {
                BodyState::Complete => return Ok(at),
                BodyState::Plain(left) | BodyState::ChunkData(left) => {
                    let part = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..part]);
                    at += part;
                    let left = left - part as u64;
                    self.state = match self.state {
                        BodyState::Plain(_) if left == 0 => BodyState::Complete,
                        BodyState::Plain(_) => BodyState::Plain(left),
                        _ if left == 0 => BodyState::ChunkEnd,
                        _ => BodyState::ChunkData(left),
                    };
                }
                BodyState::UntilClose => {
                    self.consume(rest.len() as u64)?;
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((line, size)))
                        if line <= MAX_CHUNK_SIZE_LINE_BYTES =>
                    {
                        self.consume(size)?;
                        at += line;
                        self.state = if size == 0 {
                            BodyState::Trailer(0)
                        } else {
                            BodyState::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_SIZE_LINE_BYTES => {
                        return Ok(at);
                    }
                    _ => return Err(ParseError::Syntax),
                },
                BodyState::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (self.state, at) = (BodyState::ChunkSize, at + 2),
                    [b'\r'] => return Ok(at),
                    _ => return Err(ParseError::Syntax),
                },
                // Trailer fields are discarded.
                BodyState::Trailer(before) => {
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    let length = before + end.unwrap_or(rest.len());
                    match end {
                        _ if length > MAX_TRAILER_BYTES => return Err(ParseError::HeadTooLarge),
                        None => return Ok(at),
                        // Request smuggling: a bare line feed, which others may not take for a line
                        // end.
                        Some(end) if end == 0 || rest[end - 1] != b'\r' => {
                            return Err(ParseError::Syntax);
                        }
                        Some(end) => {
                            at += end + 1;
                            self.state = if end == 1 {
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
