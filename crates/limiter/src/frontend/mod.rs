//! The front ends: they parse requests into authorisations and map results to HTTP responses. They decide nothing and do
//! no I/O.

pub mod introspection;
pub mod platform;

use crate::net::framing::{BodyFraming, Request};

/// The HTTP request that an attempt sends to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamRequest {
    /// Request line and header lines, without the header of the remaining time and the final empty line.
    pub head: Vec<u8>,
    /// The client's body, unchanged.
    pub body: Vec<u8>,
    /// The request's id as sent to the servers; empty if the request has none.
    pub request_id: String,
}

impl UpstreamRequest {
    /// The request to forward: request line, the headers that servers need, and the body.
    pub fn from_request(request: &Request) -> UpstreamRequest {
        let has_body = request.method != "GET" || !request.body.is_empty();
        let framing = has_body.then(|| format!("Content-Length: {}\r\n", request.body.len()));
        UpstreamRequest::with_framing(request, &framing.unwrap_or_default())
    }

    /// The request to forward if its body is relayed while it arrives; `extent` is how the client delimits the body.
    pub fn from_streaming_request(request: &Request, extent: BodyFraming) -> UpstreamRequest {
        match extent {
            BodyFraming::Length(length) => {
                UpstreamRequest::with_framing(request, &format!("Content-Length: {length}\r\n"))
            }
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                UpstreamRequest::with_framing(request, "Transfer-Encoding: chunked\r\n")
            }
        }
    }

    fn with_framing(request: &Request, framing: &str) -> UpstreamRequest {
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

/// A response that a front end gives itself, without asking the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The HTTP status.
    pub status: u16,
    /// The body: what is wrong with the request.
    pub text: &'static str,
}

/// Creates a rejection.
pub fn reject(status: u16, text: &'static str) -> Rejection {
    Rejection { status, text }
}
