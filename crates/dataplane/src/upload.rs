//! A request body that is streamed to a server while it arrives. Without I/O.

use crate::framing::{BodyFraming, BodyReader, ParseError, write_chunk};
use crate::slots::ConnectionKey;

/// A streamed body, and the attempt that carries it.
#[derive(Clone, Debug)]
pub struct Upload<K = ConnectionKey> {
    reader: BodyReader,
    /// Its length was not announced: it is sent in chunks.
    is_chunked: bool,
    /// The received bytes, until more than `max_buffered_bytes` of them have been forwarded.
    buffer: Vec<u8>,
    max_buffered_bytes: usize,
    /// Part of the body was discarded: no other attempt can carry it.
    is_discarded: bool,
    /// The connection of the attempt that carries it.
    attempt: Option<K>,
    received_bytes: u64,
}

impl<K: Copy> Upload<K> {
    /// A body of which `received` is present. Up to `max_buffered_bytes` forwarded bytes stay
    /// buffered for a retry.
    pub fn new(
        framing: BodyFraming,
        reader: BodyReader,
        received: Vec<u8>,
        max_buffered_bytes: usize,
    ) -> Upload<K> {
        let is_chunked = !matches!(framing, BodyFraming::Length(_));
        let received_bytes = received.len() as u64;
        Upload {
            reader,
            is_chunked,
            buffer: received,
            max_buffered_bytes,
            is_discarded: false,
            attempt: None,
            received_bytes,
        }
    }

    /// The connection of the attempt that carries the body.
    pub fn attempt(&self) -> Option<K> {
        self.attempt
    }

    /// Number of bytes received so far, including the transfer coding except for those present at
    /// the start.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Number of bytes buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the body has been received completely.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// Whether part of the body was discarded, so that no other attempt can carry it.
    pub fn is_discarded(&self) -> bool {
        self.is_discarded
    }

    /// An attempt starts: the buffered bytes are forwarded.
    pub fn start_attempt(&mut self, attempt: K, out: &mut Vec<u8>) {
        self.attempt = Some(attempt);
        self.write(0, out);
        self.discard_forwarded();
    }

    /// The attempt ended.
    pub fn end_attempt(&mut self) {
        self.attempt = None;
    }

    /// Reads from `input` and forwards to the output of the attempt, if there is one.
    ///
    /// # Errors
    /// The body is malformed or too long.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        out: Option<&mut Vec<u8>>,
    ) -> Result<(), ParseError> {
        if self.is_complete() {
            return Ok(());
        }
        let buffered_before = self.buffer.len();
        let consumed = self.reader.read(input, &mut self.buffer);
        let consumed = consumed?;
        input.drain(..consumed);
        self.received_bytes += consumed as u64;
        if let Some(out) = out {
            self.write(buffered_before, out);
            self.discard_forwarded();
        }
        Ok(())
    }

    fn write(&self, from: usize, out: &mut Vec<u8>) {
        let data = &self.buffer[from..];
        match self.is_chunked {
            true => write_chunk(out, data),
            false => out.extend_from_slice(data),
        }
        if self.is_chunked && self.is_complete() {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// Discards the forwarded bytes once they exceed the bound of the buffer.
    fn discard_forwarded(&mut self) {
        self.is_discarded |= self.buffer.len() > self.max_buffered_bytes;
        if self.is_discarded {
            self.buffer.clear();
        }
    }
}

#[cfg(test)]
mod tests;
