//! Responses without a length, which end with their connection (RFC 9112, section 6.3).

mod common;

use common::{
    Attempt, ProxyHarness, not_run_response, ok_response, patterned_body, request_text,
    response_text,
};
use test_case::test_case;

/// Request line of a request that may run twice.
const IDEMPOTENT: &str = "GET /i/1";
/// Request line of a request that must not run twice.
const MUTATING: &str = "POST /m/1";
/// Length of a body that is buffered.
const SHORT: usize = 400;
/// Length of a body that is streamed.
const LONG: usize = 300_000;
/// A header line that announces the end of the connection.
const CLOSES: &str = "Connection: close\r\n";

/// A response to request `one` with its seal, this further header line, and no length.
fn unframed_response(status: u16, header_line: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Request-Id: one\r\nX-Server-Seal: s\r\n{header_line}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A proxy with two servers, one of which has received the request `one`; also returns the client
/// and the attempt.
fn receive_request(request_line: &str) -> (ProxyHarness, usize, Attempt) {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let client = harness.send_from_new_client(request_text(request_line, "one", "", ""));
    let attempt = harness.next_request();
    (harness, client, attempt)
}

// Guards against clients that receive an answer with an empty or cut body where the server's had no length.
#[test_case(200, CLOSES, SHORT; "success")]
#[test_case(200, "", SHORT; "success, close not announced")]
#[test_case(201, CLOSES, SHORT; "created")]
#[test_case(201, CLOSES, LONG; "created, long")]
#[test_case(202, "", SHORT; "accepted, close not announced")]
#[test_case(203, CLOSES, SHORT; "transformed")]
#[test_case(206, CLOSES, LONG; "partial content, long")]
#[test_case(201, CLOSES, 0; "created, with an empty body")]
#[test_case(302, CLOSES, SHORT; "redirect")]
#[test_case(404, CLOSES, SHORT; "client error")]
#[test_case(404, "", SHORT; "client error, close not announced")]
#[test_case(404, CLOSES, LONG; "client error, long")]
#[test_case(500, CLOSES, SHORT; "server error")]
fn response_without_a_length_reaches_the_client_whole(
    status: u16,
    header_line: &str,
    length: usize,
) {
    let body = patterned_body(length);
    let (mut harness, client, attempt) = receive_request(MUTATING);
    harness.send_response(&attempt, unframed_response(status, header_line, &body));
    harness.settle();
    assert!(
        harness.clients[client].take_response().is_none(),
        "complete before the connection has ended"
    );
    harness.close_server_connection(&attempt);
    let response = harness.next_response(client);
    assert_eq!(response.status, status);
    assert_eq!(response.headers.get("X-Server-Seal"), Some("s"));
    assert!(
        response.body == body,
        "{} bytes of {length}",
        response.body.len()
    );
    assert!(response.keep_alive, "the client can go on");
    assert_eq!(harness.request_count(), 1);
    assert_eq!(harness.round_trip(client).id(), "two");
}

// Guards against a reset connection that counts as the end of its response.
#[test_case(SHORT; "short")]
#[test_case(LONG; "long")]
fn response_without_a_length_is_not_complete_when_its_connection_is_reset(length: usize) {
    for request_line in [IDEMPOTENT, MUTATING] {
        for status in [200, 201, 404] {
            let (mut harness, client, attempt) = receive_request(request_line);
            let response = unframed_response(status, CLOSES, &patterned_body(length));
            harness.send_response(&attempt, response);
            harness.settle();
            harness.connection_mut(&attempt).stream.reset();
            match (length, request_line) {
                (LONG, _) => {
                    harness.step_until("close of the client connection", |harness| {
                        harness.clients[client].closed_by_peer.then_some(())
                    });
                    assert!(harness.clients[client].take_response().is_none());
                }
                (_, IDEMPOTENT) => {
                    let second = harness.next_request();
                    harness.respond_ok(&second);
                    assert_eq!(harness.next_response(client).body, b"of one");
                }
                _ => assert_eq!(harness.next_response(client).status, 502),
            }
        }
    }
}

// Guards against the body of another request's answer that is parsed as the answer to this one.
#[test_case(200; "success")]
#[test_case(201; "created")]
#[test_case(404; "client error")]
fn body_of_a_response_to_another_request_is_not_parsed_as_a_response(status: u16) {
    let (mut harness, client, attempt) = receive_request(IDEMPOTENT);
    let other = unframed_response(status, CLOSES, ok_response("one", "smuggled").as_bytes());
    let other = String::from_utf8(other).unwrap();
    harness.send_response(&attempt, other.replacen("one", "other", 1));
    let second = harness.next_request();
    harness.respond_ok(&second);
    assert_eq!(harness.next_response(client).body, b"of one");
}

// Guards against a wait for the close of a connection whose response has said all that matters.
#[test_case("HTTP/1.1 503 X\r\nX-Request-Id: one\r\nX-Not-Run: 1\r\n\r\n"; "not run")]
#[test_case("HTTP/1.1 421 X\r\n\r\n"; "another server")]
fn rejection_without_a_length_is_retried_at_once(rejection: &str) {
    let (mut harness, client, attempt) = receive_request(MUTATING);
    harness.send_response(&attempt, rejection);
    let second = harness.next_request();
    assert_ne!(second.server, attempt.server);
    assert!(harness.connection_mut(&attempt).stream.closed_by_peer);
    harness.respond_ok(&second);
    assert_eq!(harness.next_response(client).body, b"of one");
}

// Guards against a failure without a length that hides what a later attempt says.
#[test]
fn failure_without_a_length_is_forwarded_if_no_better_response_arrives() {
    let (mut harness, client, first) = receive_request(IDEMPOTENT);
    harness.send_response(&first, unframed_response(500, CLOSES, b"first"));
    harness.close_server_connection(&first);
    let second = harness.next_request();
    harness.send_response(&second, not_run_response("one"));
    harness.advance_ms(3_000);
    let failure = harness.next_response(client);
    assert_eq!((failure.status, &failure.body[..]), (500, &b"first"[..]));
}

// Guards against a response with a length that a close completes.
#[test]
fn close_does_not_complete_a_response_with_a_length() {
    let (mut harness, client, attempt) = receive_request(MUTATING);
    let whole = response_text(201, "X-Request-Id: one|X-Server-Seal: s", "abc");
    harness.send_response(&attempt, &whole[..whole.len() - 1]);
    harness.close_server_connection(&attempt);
    assert_eq!(harness.next_response(client).status, 502);
}

// Guards against a response to `HEAD` that is answered with another length than its body would have, or waits for a body.
#[test_case("Content-Length: 1234567\r\n", Some("1234567"); "length")]
#[test_case("Transfer-Encoding: chunked\r\n", None; "chunked")]
#[test_case(CLOSES, None; "no length")]
#[test_case("", None; "no length, close not announced")]
fn response_to_head_keeps_its_length_and_has_no_body(header_line: &str, length: Option<&str>) {
    for status in [200, 201, 404] {
        let (mut harness, client, attempt) = receive_request("HEAD /i/1");
        harness.send_response(&attempt, unframed_response(status, header_line, b""));
        harness.settle();
        let received = String::from_utf8(harness.clients[client].received.clone()).unwrap();
        assert!(
            received.starts_with(&format!("HTTP/1.1 {status} ")),
            "{received}"
        );
        assert!(received.ends_with("\r\n\r\n"), "{received}");
        let lines = received.lines();
        let announced: Vec<&str> = lines
            .filter_map(|line| line.strip_prefix("Content-Length: "))
            .collect();
        assert_eq!(announced, Vec::from_iter(length), "{received}");
        harness.clients[client].received.clear();
        assert_eq!(harness.round_trip(client).id(), "two");
    }
}
