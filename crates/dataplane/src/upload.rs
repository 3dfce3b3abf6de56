//! The body of a request that goes on to a server while it still comes, without any input or output.

use crate::framing::{BodyFraming, BodyReader, ParseError, write_chunk};
use crate::slots::ConnectionKey;

/// What has come of a body, and where it goes.
#[derive(Clone, Debug)]
pub struct Upload<K = ConnectionKey> {
    reader: BodyReader,
    /// Its length was not known when it began.
    chunked: bool,
    /// All that has come, until more of it has gone on than is kept.
    buffer: Vec<u8>,
    max_buffered: usize,
    /// Some of it is no longer here: no other leg can carry it.
    is_discarded: bool,
    attempt: Option<K>,
    received_bytes: u64,
}

impl<K: Copy> Upload<K> {
    /// A body of which `come` is there. Of what has gone on to a server `most_kept` bytes stay here.
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

    /// The connection of the leg that carries it.
    pub fn attempt(&self) -> Option<K> {
        self.attempt
    }

    /// Bytes of it that have come, framing included but for those it began with.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Bytes held.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// All has come.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// No other leg can carry it.
    pub fn is_discarded(&self) -> bool {
        self.is_discarded
    }

    /// A leg starts: what is here goes on.
    pub fn start_attempt(&mut self, leg: K, out: &mut Vec<u8>) {
        self.attempt = Some(leg);
        self.write(0, out);
        self.discard_sent();
    }

    /// The leg is over.
    pub fn attempt_ended(&mut self) {
        self.attempt = None;
    }

    /// Takes what has come; it goes on to the leg, where there is one.
    ///
    /// # Errors
    /// What is no body.
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

    /// What has gone on is held no longer than it is worth.
    fn discard_sent(&mut self) {
        self.is_discarded |= self.buffer.len() > self.max_buffered;
        if self.is_discarded {
            self.buffer.clear();
        }
    }
}

#[cfg(test)]
mod tests;
