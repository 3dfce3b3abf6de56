//! A request body that is streamed to a server while it arrives. Without I/O.

use crate::framing::{BodyFraming, BodyReader, ParseError, write_chunk};
use crate::slots::ConnectionKey;

/// A streamed body, and its destination.
#[derive(Clone, Debug)]
pub struct Upload<K = ConnectionKey> {
    reader: BodyReader,
    /// Its length was not announced.
    chunked: bool,
    /// The received bytes, until more than `max_buffered` of them have been forwarded.
    buffer: Vec<u8>,
    max_buffered: usize,
    /// Some of it was discarded: no other attempt can carry it.
    is_discarded: bool,
    attempt: Option<K>,
    received_bytes: u64,
}

impl<K: Copy> Upload<K> {
    /// A body of which `come` bytes are present. Up to `max_buffered` forwarded bytes stay buffered
    /// for a retry.
    pub fn new(
        extent: BodyFraming,
        reader: BodyReader,
        come: Vec<u8>,
        most_kept: usize,
    ) -> Upload<K> {
        let chunked = !matches!(extent, BodyFraming::Length(_));
        let bytes = come.len() as u64;
        Upload {
            reader,
            chunked,
            buffer: come,
            max_buffered: most_kept,
            is_discarded: false,
            attempt: None,
            received_bytes: bytes,
        }
    }

    /// The connection of the attempt that carries it.
    pub fn attempt(&self) -> Option<K> {
        self.attempt
    }

    /// Bytes received so far, transfer coding included except for those present at the start.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Bytes buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether all of it has been received.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// Whether no other attempt can carry it.
    pub fn is_discarded(&self) -> bool {
        self.is_discarded
    }

    /// An attempt starts: the buffered bytes are forwarded.
    pub fn start_attempt(&mut self, leg: K, out: &mut Vec<u8>) {
        self.attempt = Some(leg);
        self.write(0, out);
        self.discard_sent();
    }

    /// The attempt ended.
    pub fn end_attempt(&mut self) {
        self.attempt = None;
    }

    /// Reads from `input` and forwards to the attempt, where there is one.
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
        let before = self.buffer.len();
        let taken = self.reader.read(input, &mut self.buffer);
        let taken = taken?;
        input.drain(..taken);
        self.received_bytes += taken as u64;
        if let Some(out) = out {
            self.write(before, out);
            self.discard_sent();
        }
        Ok(())
    }

    fn write(&self, from: usize, out: &mut Vec<u8>) {
        let data = &self.buffer[from..];
        match self.chunked {
            true => write_chunk(out, data),
            false => out.extend_from_slice(data),
        }
        if self.chunked && self.is_complete() {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// Discards forwarded bytes beyond the bound of the buffer.
    fn discard_sent(&mut self) {
        self.is_discarded |= self.buffer.len() > self.max_buffered;
        if self.is_discarded {
            self.buffer.clear();
        }
    }
}

#[cfg(test)]
mod tests;
