//! Which requests may be retried, and which response belongs to which request. The servers truncate
//! responses at every byte, start on partly received requests, and send rejections and responses
//! twice. Guards against a request that runs twice and against a response to the wrong request.

mod common;

use common::{ProxyHarness, not_run_response, ok_response, request_text, response_text};
use test_case::test_case;

/// A proxy with two servers, and a client whose mutating request has arrived at one of them.
fn send_mutating_request(body: &str) -> (ProxyHarness, usize, common::Attempt) {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let content_length = format!("Content-Length: {}\r\n", body.len());
    let client =
        harness.send_from_new_client(request_text("POST /m/1", "one", &content_length, body));
    let attempt = harness.next_request();
    (harness, client, attempt)
}

/// A server's response, the client's status if it arrives completely, and the status if it is
/// truncated.
#[test_case(&ok_response("one", "done"), 200, 502; "success")]
#[test_case(&response_text(500, "X-Request-Id: one", "no"), 500, 502; "server error")]
#[test_case(&ok_response("two", "of another"), 502, 502; "response to another request")]
#[test_case(&ok_response("one", "done").replace("X-Server-Seal", "X-Other"), 502, 502; "success without its seal")]
#[test_case(&(ok_response("two", "of another") + &ok_response("one", "done")), 200, 502; "response to another request before its own")]
fn response_truncated_at_any_byte_causes_no_retry(
    text: &str,
    complete_status: u16,
    truncated_status: u16,
) {
    for length in 0..=text.len() {
        let (mut harness, client, attempt) = send_mutating_request("body");
        harness.send_response(&attempt, &text[..length]);
        harness.close_server_connection(&attempt);
        let response = harness.next_response(client);
        assert_eq!(
            response.status,
            if length == text.len() {
                complete_status
            } else {
                truncated_status
            },
            "truncated at {length}"
        );
        harness.settle();
        assert_eq!(
            harness.request_count(),
            1,
            "truncated at {length}: sent again although it ran"
        );
        assert!(
            response.status != 200 || response.body == b"done",
            "truncated at {length}: body of another request"
        );
    }
}

#[test]
fn rejection_causes_a_retry_only_if_it_arrives_completely() {
    let text = not_run_response("one");
    for length in 0..=text.len() {
        let (mut harness, client, attempt) = send_mutating_request("body");
        harness.send_response(&attempt, &text[..length]);
        harness.close_server_connection(&attempt);
        if length < text.len() {
            assert_eq!(
                harness.next_response(client).status,
                502,
                "truncated at {length}"
            );
            harness.settle();
            assert_eq!(harness.request_count(), 1, "truncated at {length}");
        } else {
            let retry = harness.next_request();
            assert_ne!(retry.server, attempt.server);
            harness.respond_ok(&retry);
            assert_eq!(harness.next_response(client).body, b"of one");
        }
    }
}

/// Longer than what the proxy and the sockets buffer for a server that does not read.
const LONG_BODY_BYTES: usize = 8 << 20;

/// The request line, and the client's status after the server closed the connection on a partly
/// written body: 502 if the request may have run, 503 if the client may retry.
#[test_case("POST /m/1", 502; "mutating")]
#[test_case("POST /u/1", 502; "upload")]
#[test_case("POST /i/1", 503; "idempotent")]
fn partly_written_body_counts_as_possibly_executed(request_line: &str, status: u16) {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let client = harness.send_from_new_client(request_text(
        request_line,
        "one",
        &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
        "",
    ));
    harness.send(client, vec![b'x'; 300_000]);
    let partly_received = |harness: &ProxyHarness| {
        let mut connections = harness
            .servers
            .iter()
            .flat_map(|server| &server.connections);
        connections.any(|connection| connection.stream.received.len() > 1_000)
    };
    harness.step_until("part of the body at a server", |harness| {
        partly_received(harness).then_some(())
    });
    harness
        .servers
        .iter_mut()
        .flat_map(|server| &mut server.connections)
        .for_each(|connection| connection.stream.close());
    let response = harness.next_response(client);
    assert_eq!(
        (response.status, response.headers.contains("Retry-After")),
        (status, status == 503)
    );
    harness.settle();
    let connections: usize = harness
        .servers
        .iter()
        .map(|server| server.connections.len())
        .sum();
    assert_eq!((harness.request_count(), connections), (0, 1));
}

#[test]
fn rejection_received_before_a_connection_reset_is_read() {
    // The proxy is still writing and its next write fails. It must read the response that arrived
    // before, which says that the request has not run.
    for _ in 0..20 {
        let mut harness = ProxyHarness::new(&["a"]);
        let client = harness.send_from_new_client(request_text(
            "POST /u/1",
            "one",
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
            "",
        ));
        harness.send(client, vec![b'x'; 300_000]);
        harness.step_until("part of the body at the server", |harness| {
            harness.servers[0]
                .connections
                .first()
                .is_some_and(|connection| !connection.stream.received.is_empty())
                .then_some(())
        });
        // Closing with unread bytes resets the connection after the rejection, while more of the
        // body is in flight.
        harness.servers[0].connections[0].stream.reading_paused = true;
        harness.clients[client].write(&vec![b'x'; 100_000]);
        let server_stream = &mut harness.servers[0].connections[0].stream;
        server_stream.write(not_run_response("one").as_bytes());
        server_stream.close();
        assert_eq!(harness.next_response(client).status, 503);
    }
}

#[test]
fn duplicate_rejection_without_an_id_is_not_matched_to_the_next_request() {
    let rejection = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let client = harness.send_from_new_client(request_text("GET /i/1", "read", "", ""));
    let rejected_attempt = harness.next_request();
    harness.send_response(&rejected_attempt, rejection);
    let attempt = harness.next_request();
    assert_ne!(attempt.server, rejected_attempt.server);
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
    // Only the server that rejected the request remains available.
    harness.servers[attempt.server].list_entry.accepts_requests = false;
    harness.send_server_list();
    harness.advance_ms(1_000);
    let mut duplicate_sent = false;
    for n in 0..3 {
        let previous_count = harness.request_count();
        harness.send(
            client,
            request_text(
                "POST /m/1",
                &format!("write-{n}"),
                "Content-Length: 2\r\n",
                "hi",
            ),
        );
        let attempt = harness.next_request();
        if attempt.server == rejected_attempt.server
            && !std::mem::replace(&mut duplicate_sent, true)
        {
            // The request must be on another connection: on the one of the rejection, the duplicate
            // could not be distinguished from a rejection of this request.
            harness.send_response(&rejected_attempt, rejection);
            harness.settle();
        }
        harness.respond_ok(&attempt);
        assert_eq!(
            (
                harness.next_response(client).status,
                harness.request_count()
            ),
            (200, previous_count + 1),
            "the request must be sent once"
        );
    }
    assert!(
        duplicate_sent,
        "no request arrived at the server that had sent the rejection"
    );
}

#[test]
fn request_on_a_connection_closed_while_idle_never_runs_twice() {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let client = harness.connect_client();
    for round in 0..10 {
        let idle_attempt = harness.round_trip(client);
        // The server closes the connection, and the request is sent before the proxy notices.
        harness.close_server_connection(&idle_attempt);
        let previous_count = harness.request_count();
        let body = "b".repeat(round * 300);
        let content_length = format!("Content-Length: {}\r\n", body.len());
        harness.send(
            client,
            request_text(
                "POST /m/1",
                &format!("write-{round}"),
                &content_length,
                &body,
            ),
        );
        let status = harness.step_until("response", |harness| {
            if let Some(attempt) = harness.take_request() {
                harness.respond_ok(&attempt);
            }
            harness.clients[client]
                .take_response()
                .map(|response| response.status)
        });
        assert!([200, 502].contains(&status), "{status}");
        harness.settle();
        let runs = harness.request_count() - previous_count;
        assert!(runs == usize::from(status == 200), "{runs} runs, {status}");
    }
}

#[test]
fn duplicate_response_is_not_matched_to_a_health_check() {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let clients = ["x1", "x2", "x3", "x4"]
        .map(|id| harness.send_from_new_client(request_text("GET /i/1", id, "", "")));
    let attempts = clients.map(|_| harness.next_request());
    attempts
        .iter()
        .for_each(|attempt| harness.respond_ok(attempt));
    clients
        .into_iter()
        .for_each(|client| _ = harness.next_response(client));
    // A request stays unanswered, so that its server's health is checked on the other connection.
    harness
        .servers
        .iter_mut()
        .for_each(|server| server.saturated = true);
    harness.send_from_new_client(request_text("GET /i/1", "silent", "", ""));
    let unanswered = harness.next_request();
    let idle_attempt = attempts
        .into_iter()
        .find(|attempt| {
            attempt.server == unanswered.server && attempt.connection != unanswered.connection
        })
        .unwrap();
    let health_checked = (0..100).any(|_| {
        harness.advance_ms(20);
        harness.servers[unanswered.server].health_check_count > 0
    });
    assert!(health_checked && !harness.connection_mut(&idle_attempt).stream.closed_by_peer);
    harness.send_response(
        &idle_attempt,
        ok_response(idle_attempt.id(), "of the request before"),
    );
    harness.settle();
    harness.send_response(
        &idle_attempt,
        response_text(
            200,
            &format!("X-Instance-Id: i-{}", idle_attempt.server),
            "",
        ),
    );
    harness.settle();
    assert!(
        !harness.connection_mut(&idle_attempt).stream.closed_by_peer,
        "the response to the health check must not count as surplus bytes"
    );
}
