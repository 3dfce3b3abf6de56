//! Streams a long answer to its client, in a framing by which the client can tell a complete answer
//! from a truncated one. Without I/O.

use crate::framing::{BodyFraming, BodyReader, ParseError, ResponseHead, write_chunk, write_head};

/// An answer that is being streamed.
#[derive(Clone, Debug)]
pub struct Relay {
    reader: BodyReader,
    /// Its length was not announced.
    chunked: bool,
    /// The server's connection can be reused afterwards.
    reusable: bool,
    data: Vec<u8>,
}

impl Relay {
    /// Writes the head of the answer with these fields, and the part of the body already received.
    /// `close`: the client's connection is closed after it.
    pub fn begin<'a>(
        (head, extent): (&ResponseHead, BodyFraming),
        reader: BodyReader,
        come: &[u8],
        lines: impl Iterator<Item = (&'a str, &'a str)>,
        close: bool,
        out: &mut Vec<u8>,
    ) -> Relay {
        let (length, coding);
        let framing = match extent {
            BodyFraming::Length(bytes) => {
                length = bytes.to_string();
                ("Content-Length", length.as_str())
            }
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                coding = "chunked";
                ("Transfer-Encoding", coding)
            }
        };
        let mut all = vec![framing];
        for line in lines {
            all.push(line);
        }
        write_head(out, head.status, all.into_iter(), close);
        let chunked = !matches!(extent, BodyFraming::Length(_));
        let mut relay = Relay {
            reader,
            chunked,
            reusable: head.is_reusable(),
            data: come.to_vec(),
        };
        relay.write(out);
        relay
    }

    /// Forwards what was received. Bytes after the end of the answer stay in `input`.
    ///
    /// # Errors
    /// The body is malformed: nothing more is forwarded, and its end is never written.
    pub fn forward(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), ParseError> {
        // The end is written once.
        if self.reader.is_complete() {
            return Ok(());
        }
        let taken = self.reader.read(input, &mut self.data)?;
        input.drain(..taken);
        self.write(out);
        Ok(())
    }

    fn write(&mut self, out: &mut Vec<u8>) {
        match self.chunked {
            true => write_chunk(out, &self.data),
            false => out.extend_from_slice(&self.data),
        }
        self.data.clear();
        if self.chunked && self.reader.is_complete() {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// The server closed its connection. Returns whether that completes the answer.
    pub fn handle_close(&mut self, out: &mut Vec<u8>) -> bool {
        let whole = self.reader.ends_at_close();
        if whole {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        whole
    }

    /// Whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// Whether the server's connection can be reused once the answer is complete.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }
}

#[cfg(test)]
mod tests;
