//! The body of a request that goes on to a server while it still comes, without any input or output.

use crate::framing::{BodyReader, Extent, Malformed, write_chunk};
use crate::slots::ConnectionKey;

/// What has come of a body, and where it goes.
#[derive(Clone, Debug)]
pub struct Upload<K = ConnectionKey> {
    reader: BodyReader,
    /// Its length was not known when it began.
    chunked: bool,
    /// All that has come, until more of it has gone on than is kept.
    kept: Vec<u8>,
    most_kept: usize,
    /// Some of it is no longer here: no other leg can carry it.
    gone: bool,
    leg: Option<K>,
    come: u64,
}

impl<K: Copy> Upload<K> {
    /// A body of which `come` is there. Of what has gone on to a server `most_kept` bytes stay here.
    pub fn new(extent: Extent, reader: BodyReader, come: Vec<u8>, most_kept: usize) -> Upload<K> {
        let chunked = !matches!(extent, Extent::Length(_));
        let bytes = come.len() as u64;
        Upload {
            reader,
            chunked,
            kept: come,
            most_kept,
            gone: false,
            leg: None,
            come: bytes,
        }
    }

    /// The connection of the leg that carries it.
    pub fn leg(&self) -> Option<K> {
        self.leg
    }

    /// Bytes of it that have come, framing included but for those it began with.
    pub fn come(&self) -> u64 {
        self.come
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.kept.len()
    }

    /// All has come.
    pub fn whole(&self) -> bool {
        self.reader.whole()
    }

    /// No other leg can carry it.
    pub fn gone(&self) -> bool {
        self.gone
    }

    /// A leg starts: what is here goes on.
    pub fn start(&mut self, leg: K, out: &mut Vec<u8>) {
        self.leg = Some(leg);
        self.write(0, out);
        self.forget();
    }

    /// The leg is over.
    pub fn leg_ended(&mut self) {
        self.leg = None;
    }

    /// Takes what has come; it goes on to the leg, where there is one.
    ///
    /// # Errors
    /// What is no body.
    pub fn take(
        &mut self,
        input: &mut Vec<u8>,
        out: Option<&mut Vec<u8>>,
    ) -> Result<(), Malformed> {
        if self.whole() {
            return Ok(());
        }
        let before = self.kept.len();
        let taken = self.reader.take(input, &mut self.kept);
        let taken = taken?;
        input.drain(..taken);
        self.come += taken as u64;
        if let Some(out) = out {
            self.write(before, out);
            self.forget();
        }
        Ok(())
    }

    fn write(&self, from: usize, out: &mut Vec<u8>) {
        let data = &self.kept[from..];
        match self.chunked {
            true => write_chunk(out, data),
            false => out.extend_from_slice(data),
        }
        if self.chunked && self.whole() {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// What has gone on is held no longer than it is worth.
    fn forget(&mut self) {
        self.gone |= self.kept.len() > self.most_kept;
        if self.gone {
            self.kept.clear();
        }
    }
}

#[cfg(test)]
mod tests;
