//! A long answer on its way to its client, without any input or output: what comes of its body goes on at once, in a
//! framing by which the client can tell a whole answer from one that was cut off.

use crate::framing::{BodyFraming, BodyReader, ParseError, ResponseHead, write_chunk, write_head};

/// What is still to come of an answer, and how it goes on.
#[derive(Clone, Debug)]
pub struct Relay {
    reader: BodyReader,
    /// Its length was not known when it began.
    chunked: bool,
    /// The server's connection may be used again behind it.
    reusable: bool,
    data: Vec<u8>,
}

impl Relay {
    /// Writes the head of an answer for the client, with these of its lines, and what has come of the body. `close`: it
    /// is the last of the client's connection.
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

    /// Passes on what has come. Bytes behind the answer's end stay in `input`.
    ///
    /// # Errors
    /// What is no body: nothing more of it goes on, and its end is never written.
    pub fn forward(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), ParseError> {
        // Its end is written once.
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

    /// The server's connection ended in order. True if that makes the answer whole.
    pub fn connection_closed(&mut self, out: &mut Vec<u8>) -> bool {
        let whole = self.reader.ends_with_connection();
        if whole {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        whole
    }

    /// All has come.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// The server's connection may be used again once all has come.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }
}

#[cfg(test)]
mod tests;
