//! Fronts: they parse, map and answer, and decide nothing.

pub mod introspection;
pub mod platform;

use crate::net::framing::{BodyFraming, Request};

/// What a leg of an authorisation carries to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamRequest {
    /// Request line and header lines, without the line of the remaining time and the closing empty line.
    pub head: Vec<u8>,
    /// The body, unchanged.
    pub body: Vec<u8>,
    /// The id that servers know the request by; empty where they know none.
    pub request_id: String,
}

impl UpstreamRequest {
    /// What goes on of a request: line, the lines that servers need, body.
    pub fn from_request(request: &Request) -> UpstreamRequest {
        let framed = request.method != "GET" || !request.body.is_empty();
        let framing = framed.then(|| format!("Content-Length: {}\r\n", request.body.len()));
        UpstreamRequest::with(request, &framing.unwrap_or_default())
    }

    /// The same of a request whose body goes on while it comes.
    pub fn from_streaming_request(request: &Request, extent: BodyFraming) -> UpstreamRequest {
        match extent {
            BodyFraming::Length(length) => {
                UpstreamRequest::with(request, &format!("Content-Length: {length}\r\n"))
            }
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                UpstreamRequest::with(request, "Transfer-Encoding: chunked\r\n")
            }
        }
    }

    fn with(request: &Request, framing: &str) -> UpstreamRequest {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: backend.local\r\n",
            request.method, request.target
        );
        for name in ["X-Trace-Id", "X-Qos", "Idempotency-Key", "Content-Type"] {
            if let Some(value) = request.headers.get(name) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        head.push_str(framing);
        let id = request
            .headers
            .get("X-Trace-Id")
            .unwrap_or_default()
            .to_string();
        UpstreamRequest {
            head: head.into_bytes(),
            body: request.body.clone(),
            request_id: id,
        }
    }
}

/// An answer that a front gives on its own, without the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status.
    pub status: u16,
    /// What is wrong, in a few words.
    pub text: &'static str,
}

/// A rejection with this status.
pub fn reject(status: u16, text: &'static str) -> Rejection {
    Rejection { status, text }
}
