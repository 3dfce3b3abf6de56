//! Responses to long uploads that a server sends before it has read the body, and whose connection
//! is then reset: a server that ends with unread input resets its connections.

mod common;

use std::net::SocketAddr;

use common::{
    ProxyHarness, TestStream, chunked_body, not_run_response, patterned_body, request_text,
    response_text,
};
use dataplane::framing::Response;
use test_case::test_case;

/// Length of a request body that fills all buffers between a client and a server that does not read.
const UPLOAD_BYTES: usize = 24 << 20;
/// Length of a response body that is buffered.
const SHORT: usize = 400;
/// Length of a response body that is streamed.
const LONG: usize = 300_000;
/// Length of a response body of which a part stays in the proxy's socket while the client does not read.
const LONGER: usize = 600_000;
/// Bytes of a request body that are sent at once.
const PIECE_BYTES: usize = 100_000;
/// Steps without a written byte after which an upload counts as blocked.
const BLOCKED_STEPS: usize = 40;
/// Start of the head of a success of request `one`.
const HEAD: &str = " 200 OK\r\nX-Request-Id: one\r\nX-Server-Seal: s\r\n";

/// An upload that is blocked, as its server has read a part of it and reads no more.
struct BlockedUpload {
    harness: ProxyHarness,
    client: usize,
    /// The server that has received a part of it, and its connection.
    server: (usize, usize),
}

impl BlockedUpload {
    fn begin(request_line: &str, chunked: bool) -> BlockedUpload {
        let mut harness = ProxyHarness::new(&["a", "a"]);
        let body = patterned_body(UPLOAD_BYTES);
        let (framing, bytes) = match chunked {
            true => (
                "Transfer-Encoding: chunked\r\n".to_string(),
                chunked_body(&body),
            ),
            false => (format!("Content-Length: {UPLOAD_BYTES}\r\n"), body),
        };
        let client = harness.send_from_new_client(request_text(request_line, "one", &framing, ""));
        let mut sent_bytes = 0;
        let server = harness.step_until("first part of the body at a server", |harness| {
            sent_bytes += harness.clients[client].write(&bytes[sent_bytes..][..PIECE_BYTES]);
            find_server(harness, |stream| stream.received.len() > 2_000)
        });
        let servers = harness.servers.iter_mut();
        servers.for_each(|server| server.reading_paused = true);
        let mut steps_without_progress = 0;
        while steps_without_progress < BLOCKED_STEPS {
            let length = harness.clients[client].write(&bytes[sent_bytes..]);
            sent_bytes += length;
            steps_without_progress = if length == 0 {
                steps_without_progress + 1
            } else {
                0
            };
            harness.step();
        }
        assert!(sent_bytes < bytes.len(), "the upload is not blocked");
        BlockedUpload {
            harness,
            client,
            server,
        }
    }

    fn server_stream(&mut self) -> &mut TestStream {
        let (server, connection) = self.server;
        &mut self.harness.servers[server].connections[connection].stream
    }

    /// The server sends these bytes, which fit into the buffers.
    fn respond(&mut self, bytes: &[u8]) {
        let mut sent_bytes = 0;
        self.harness.clients[self.client].reading_paused = true;
        while sent_bytes < bytes.len() {
            let length = self.server_stream().write(&bytes[sent_bytes..]);
            assert!(length > 0, "the response does not fit into the buffers");
            sent_bytes += length;
            self.harness.settle();
        }
        // What has not arrived when the server ends is lost.
        let (server, connection) = self.server;
        self.harness
            .step_until("arrival of the whole response", |harness| {
                let stream = &harness.servers[server].connections[connection].stream;
                (unacknowledged_bytes(stream.local_address()) == 0).then_some(())
            });
    }

    /// The server ends with unread input, by which its connections are reset.
    fn end_server(&mut self) {
        self.server_stream().close();
        self.harness.settle();
        self.harness.clients[self.client].reading_paused = false;
    }

    /// Waits until the client's connection is closed; returns the complete response on it, if there is one.
    fn response_at_close(&mut self) -> Option<Response> {
        let client = self.client;
        self.harness
            .step_until("close of the client connection", |harness| {
                harness.clients[client].closed_by_peer.then_some(())
            });
        self.harness.clients[client].take_response()
    }
}

/// Bytes that the connection of a server with this address has sent and its peer's system has not received.
fn unacknowledged_bytes(server: SocketAddr) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let (port, loopback) = (server.port(), "0100007F");
    let local = format!("{loopback}:{port:04X}");
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_server = fields.next() == Some(&local);
        let is_established = fields.nth(1) == Some("01");
        let queues = fields.next()?;
        let transmit_queue = queues.split(':').next()?;
        (is_server && is_established).then(|| u64::from_str_radix(transmit_queue, 16).unwrap())
    });
    queues.sum()
}

/// The server and its connection whose stream matches.
fn find_server(
    harness: &ProxyHarness,
    is_match: impl Fn(&TestStream) -> bool,
) -> Option<(usize, usize)> {
    let servers = harness.servers.iter().enumerate();
    let mut connections = servers.flat_map(|(server, stub)| {
        let connections = stub.connections.iter().enumerate();
        connections.map(move |(number, connection)| ((server, number), &connection.stream))
    });
    connections
        .find(|(_, stream)| is_match(stream))
        .map(|(found, _)| found)
}

// Guards against half of a response without a length that reaches the client as a whole one, when the reset of its
// connection is reported to a write and the next read finds an end of the input.
#[test_case("POST /u/1", false, SHORT; "short")]
#[test_case("POST /u/1", true, SHORT; "short, to an upload in chunks")]
#[test_case("POST /i/1", false, SHORT; "short, to an idempotent request")]
#[test_case("POST /u/1", false, LONG; "long")]
#[test_case("POST /u/1", true, LONG; "long, to an upload in chunks")]
#[test_case("POST /i/1", false, LONG; "long, to an idempotent request")]
fn reset_response_without_a_length_is_not_complete(
    request_line: &str,
    chunked: bool,
    length: usize,
) {
    for head in [
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
        "HTTP/1.1 201 Created\r\n",
        "HTTP/1.1 404 Not Found\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.0 500 X\r\n",
    ] {
        let mut upload = BlockedUpload::begin(request_line, chunked);
        let head = format!("{head}X-Request-Id: one\r\nX-Server-Seal: s\r\n\r\n");
        upload.respond(&[head.as_bytes(), &patterned_body(length)].concat());
        upload.end_server();
        // A long success is streamed, a long failure is replaced.
        if length == LONG && !head.contains(" 500 ") {
            assert!(upload.response_at_close().is_none(), "{head}");
            continue;
        }
        let response = upload.harness.next_response(upload.client);
        assert!(
            matches!(response.status, 502 | 503) && !response.headers.contains("X-Server-Seal"),
            "{} after {head}",
            response.status
        );
        assert!(response.status == 502 || request_line == "POST /i/1");
    }
}

// Guards against a complete response that is lost with the connection on which it came.
#[test_case(SHORT, "HTTP/1.1"; "short")]
#[test_case(LONG, "HTTP/1.1"; "long, to a client that reads it later")]
#[test_case(LONGER, "HTTP/1.1"; "not read whole, to a client that reads it later")]
#[test_case(SHORT, "HTTP/1.0"; "short, in the old version")]
#[test_case(LONG, "HTTP/1.0"; "long, in the old version")]
fn complete_response_stays_complete_when_its_connection_is_reset(length: usize, version: &str) {
    let body = patterned_body(length);
    let framings = [
        (format!("Content-Length: {length}\r\n"), body.clone()),
        (
            "Transfer-Encoding: chunked\r\n".to_string(),
            chunked_body(&body),
        ),
    ];
    for (framing, bytes) in framings {
        // HTTP/1.0 has no chunks.
        if version == "HTTP/1.0" && framing.starts_with("Transfer") {
            continue;
        }
        let mut upload = BlockedUpload::begin("POST /u/1", false);
        let head = format!("{version}{HEAD}{framing}\r\n");
        upload.respond(&[head.as_bytes(), &bytes].concat());
        upload.end_server();
        let response = upload.harness.next_response(upload.client);
        assert_eq!(response.status, 200, "{framing}");
        assert!(response.body == body, "{framing}");
    }
}

// Guards against a response without a length that is lost although its server has ended it in order.
#[test_case(SHORT; "short")]
#[test_case(LONG; "long")]
fn response_that_ended_in_order_stays_complete_when_its_connection_is_reset(length: usize) {
    let body = patterned_body(length);
    let mut upload = BlockedUpload::begin("POST /u/1", false);
    let head = format!("HTTP/1.1{HEAD}Connection: close\r\n\r\n");
    upload.respond(&[head.as_bytes(), &body].concat());
    upload.server_stream().shutdown_write();
    upload.harness.settle();
    upload.end_server();
    let response = upload.harness.next_response(upload.client);
    assert_eq!(response.status, 200);
    assert!(response.body == body);
}

// Guards against the loss of what says that a request was not run, which the client may then send again.
#[test]
fn rejection_stays_one_when_its_connection_is_reset() {
    let mut upload = BlockedUpload::begin("POST /u/1", false);
    upload.respond(not_run_response("one").as_bytes());
    upload.end_server();
    assert_eq!(upload.harness.next_response(upload.client).status, 503);
}

// Guards against a part of a response with a length that counts as complete.
#[test_case(SHORT; "short")]
#[test_case(LONG; "long")]
fn reset_response_with_a_length_is_not_complete(length: usize) {
    let mut upload = BlockedUpload::begin("POST /u/1", false);
    let whole = response_text(
        200,
        "X-Request-Id: one|X-Server-Seal: s",
        &"x".repeat(length),
    );
    upload.respond(&whole.as_bytes()[..whole.len() - 1]);
    upload.end_server();
    if length == SHORT {
        assert_eq!(upload.harness.next_response(upload.client).status, 502);
    } else {
        assert!(upload.response_at_close().is_none());
    }
}
