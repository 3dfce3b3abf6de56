//! Receives a message whose head and body arrive in pieces.

use super::ParseError;
use super::body::{BodyFraming, BodyReader};
use super::head::Head;
use crate::limits::Limits;

/// A message that is being received: its head once that is complete, and the part of the body that
/// was not taken out yet.
#[derive(Clone, Debug)]
pub struct IncomingMessage<H> {
    /// Length of the input at the last attempt to parse the head.
    parsed_bytes: usize,
    /// The head, and the reader of the body.
    message: Option<(H, BodyReader)>,
    /// The framing of the body.
    pub framing: BodyFraming,
    /// Body bytes received and not taken out.
    pub body: Vec<u8>,
    /// Body bytes received in total.
    pub received_body_bytes: u64,
}

impl<H> Default for IncomingMessage<H> {
    fn default() -> IncomingMessage<H> {
        IncomingMessage {
            parsed_bytes: 0,
            message: None,
            framing: BodyFraming::Length(0),
            body: Vec::new(),
            received_body_bytes: 0,
        }
    }
}

impl<H: Head> IncomingMessage<H> {
    /// Reads from `input` and removes what belongs to the message. The body may have at most
    /// `max_body_bytes` bytes.
    ///
    /// # Errors
    /// The message is malformed or too long; independent of how the input is split.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        max_body_bytes: u64,
        limits: &Limits,
    ) -> Result<(), ParseError> {
        let mut head_length = 0;
        if self.message.is_none() {
            if !self.should_parse(input) {
                return Ok(());
            }
            self.parsed_bytes = input.len();
            let Some((head, framing, length)) = H::parse(input, limits)? else {
                return Ok(());
            };
            self.message = Some((head, BodyReader::new(framing, max_body_bytes)?));
            (self.framing, head_length) = (framing, length);
        }
        let Some((_, reader)) = &mut self.message else {
            return Ok(());
        };
        let buffered_before = self.body.len();
        let consumed = reader.read(&input[head_length..], &mut self.body);
        self.received_body_bytes += (self.body.len() - buffered_before) as u64;
        input.drain(..head_length + consumed?);
        Ok(())
    }

    /// Bounds the cost of a head that arrives byte by byte: it is parsed only while it is short,
    /// when its length has doubled, and when it may be complete.
    fn should_parse(&self, input: &[u8]) -> bool {
        let unparsed = &input[self.parsed_bytes.saturating_sub(3).min(input.len())..];
        let has_empty_line = || {
            unparsed.windows(2).any(|bytes| bytes == b"\n\n")
                || unparsed.windows(3).any(|bytes| bytes == b"\n\r\n")
        };
        input.len() < 256 || input.len() >= 2 * self.parsed_bytes || has_empty_line()
    }

    /// The head, once it is complete.
    pub fn head(&self) -> Option<&H> {
        self.message.as_ref().map(|(head, _)| head)
    }

    /// Whether the message is complete.
    pub fn is_complete(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.is_complete())
    }

    /// Whether the body is known to be longer than this many bytes, by its announced length or by
    /// what was received.
    pub fn is_body_longer_than(&self, bytes: u64) -> bool {
        matches!(self.framing, BodyFraming::Length(length) if length > bytes)
            || self.received_body_bytes > bytes
    }

    /// Whether the close of the connection completes the message.
    pub fn ends_at_close(&self) -> bool {
        self.message
            .as_ref()
            .is_some_and(|(_, reader)| reader.ends_at_close())
    }

    /// The head, the reader of the rest of the body, and the received part; `None` while the head
    /// is incomplete.
    pub fn into_parts(self) -> Option<(H, BodyReader, Vec<u8>)> {
        let body = self.body;
        self.message.map(|(head, reader)| (head, reader, body))
    }
}
