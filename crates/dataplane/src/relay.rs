//! Streams a long response to its client, in a framing by which the client can tell a complete
//! response from a truncated one. Without I/O.

use crate::framing::{BodyFraming, BodyReader, ParseError, ResponseHead, write_chunk, write_head};

/// A response that is being streamed.
#[derive(Clone, Debug)]
pub struct Relay {
    reader: BodyReader,
    /// Its length was not announced: it is sent in chunks.
    is_chunked: bool,
    /// The server's connection can be reused afterwards.
    is_reusable: bool,
    /// Body data that was received and not forwarded yet.
    data: Vec<u8>,
}

impl Relay {
    /// Writes the head of the response with these header fields, and the part of the body that was
    /// already received. `close`: the client's connection is closed after the response.
    pub fn begin<'a>(
        (head, framing): (&ResponseHead, BodyFraming),
        reader: BodyReader,
        received_body: &[u8],
        headers: impl Iterator<Item = (&'a str, &'a str)>,
        close: bool,
        out: &mut Vec<u8>,
    ) -> Relay {
        let (length, coding);
        let framing_header = match framing {
            BodyFraming::Length(bytes) => {
                length = bytes.to_string();
                ("Content-Length", length.as_str())
            }
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                coding = "chunked";
                ("Transfer-Encoding", coding)
            }
        };
        let mut all_headers = vec![framing_header];
        for header in headers {
            all_headers.push(header);
        }
        write_head(out, head.status, all_headers.into_iter(), close);
        let is_chunked = !matches!(framing, BodyFraming::Length(_));
        let mut relay = Relay {
            reader,
            is_chunked,
            is_reusable: head.is_reusable(),
            data: received_body.to_vec(),
        };
        relay.write(out);
        relay
    }

    /// Forwards what was received. Bytes after the end of the response stay in `input`.
    ///
    /// # Errors
    /// The body is malformed: nothing more is forwarded, and its end is never written.
    pub fn forward(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), ParseError> {
        // The end of the body must not be written twice.
        if self.reader.is_complete() {
            return Ok(());
        }
        let consumed = self.reader.read(input, &mut self.data)?;
        input.drain(..consumed);
        self.write(out);
        Ok(())
    }

    fn write(&mut self, out: &mut Vec<u8>) {
        match self.is_chunked {
            true => write_chunk(out, &self.data),
            false => out.extend_from_slice(&self.data),
        }
        self.data.clear();
        if self.is_chunked && self.reader.is_complete() {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// The server closed its connection. Returns whether that completes the response.
    pub fn handle_close(&mut self, out: &mut Vec<u8>) -> bool {
        let is_complete = self.reader.ends_at_close();
        if is_complete {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        is_complete
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.reader.is_complete()
    }

    /// Whether the server's connection can be reused once the response is complete.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }
}

#[cfg(test)]
mod tests;
