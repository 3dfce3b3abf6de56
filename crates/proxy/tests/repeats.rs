//! What may be retried, and to whom an answer belongs: servers that break off at every byte, begin
//! at the head of a request, reject and do so twice. Judged by what ran.

mod common;

use common::{ProxyHarness, not_run_response, ok_response, request_text, response_text};
use test_case::test_case;

/// Two servers, and a client whose request that is not idempotent is at one of them.
fn send_mutating_request(body: &str) -> (ProxyHarness, usize, common::Attempt) {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let length = format!("Content-Length: {}\r\n", body.len());
    let client = harness.send_from_new_client(request_text("POST /m/1", "one", &length, body));
    let attempt = harness.next_request();
    (harness, client, attempt)
}

/// A server's answer, and what its client is told if it arrives completely, and if not.
#[test_case(&ok_response("one", "done"), 200, 502; "a success")]
#[test_case(&response_text(500, "X-Request-Id: one", "no"), 500, 502; "a failure")]
#[test_case(&ok_response("two", "of another"), 502, 502; "an answer to another")]
#[test_case(&ok_response("one", "done").replace("X-Server-Seal", "X-Other"), 502, 502; "a success without its seal")]
#[test_case(&(ok_response("two", "of another") + &ok_response("one", "done")), 200, 502; "an answer to another ahead of its own")]
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
            "cut at {length}"
        );
        harness.settle();
        assert_eq!(
            harness.request_count(),
            1,
            "cut at {length}: it ran and was sent again"
        );
        assert!(
            response.status != 200 || response.body == b"done",
            "cut at {length}: another's body"
        );
    }
}

#[test]
fn rejection_truncated_at_any_byte_causes_no_retry() {
    let text = not_run_response("one");
    for length in 0..=text.len() {
        let (mut harness, client, attempt) = send_mutating_request("body");
        harness.send_response(&attempt, &text[..length]);
        harness.close_server_connection(&attempt);
        if length < text.len() {
            assert_eq!(harness.next_response(client).status, 502, "cut at {length}");
            harness.settle();
            assert_eq!(harness.request_count(), 1, "cut at {length}");
        } else {
            let retry = harness.next_request();
            assert_ne!(retry.server, attempt.server);
            harness.respond_ok(&retry);
            assert_eq!(harness.next_response(client).body, b"of one");
        }
    }
}

/// Longer than what a connection buffers whose server does not read.
const LONG_BODY_BYTES: usize = 8 << 20;

/// By kind of route: what the client is told of a partly written body, and whether it may be
/// retried.
#[test_case("POST /m/1", 502; "one that may not be repeated")]
#[test_case("POST /u/1", 502; "an upload")]
#[test_case("POST /i/1", 503; "one that may be repeated")]
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
    harness.step_until("a part at a server", |harness| {
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
    // The proxy is still writing, and its next write fails: the answer received before says that
    // nothing was run.
    for _ in 0..20 {
        let mut harness = ProxyHarness::new(&["a"]);
        let client = harness.send_from_new_client(request_text(
            "POST /u/1",
            "one",
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
            "",
        ));
        harness.send(client, vec![b'x'; 300_000]);
        harness.step_until("a part", |harness| {
            harness.servers[0]
                .connections
                .first()
                .is_some_and(|connection| !connection.stream.received.is_empty())
                .then_some(())
        });
        // Closed with unread bytes, so that it is reset after the rejection while more of the body
        // is on its way.
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
    // Only the server that rejected it is left.
    harness.servers[attempt.server].list_entry.accepts_requests = false;
    harness.send_server_list();
    harness.advance_ms(1_000);
    let mut duplicate_sent = false;
    for n in 0..3 {
        let before = harness.request_count();
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
            // Not on that connection: what arrives on it now can't be told from a rejection of this
            // request.
            harness.send_response(&rejected_attempt, rejection);
            harness.settle();
        }
        harness.respond_ok(&attempt);
        assert_eq!(
            (
                harness.next_response(client).status,
                harness.request_count()
            ),
            (200, before + 1),
            "it was sent twice"
        );
    }
    assert!(
        duplicate_sent,
        "nothing came to the server that had refused"
    );
}

#[test]
fn request_on_a_connection_closed_while_idle_never_runs_twice() {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let client = harness.connect_client();
    for round in 0..10 {
        let idle_attempt = harness.round_trip(client);
        // Its server has closed it, and the request is sent before the proxy can know.
        harness.close_server_connection(&idle_attempt);
        let before = harness.request_count();
        let body = "b".repeat(round * 300);
        let length = format!("Content-Length: {}\r\n", body.len());
        harness.send(
            client,
            request_text("POST /m/1", &format!("write-{round}"), &length, &body),
        );
        let status = harness.step_until("an answer, or another server", |harness| {
            if let Some(attempt) = harness.take_request() {
                harness.respond_ok(&attempt);
            }
            harness.clients[client]
                .take_response()
                .map(|response| response.status)
        });
        assert!([200, 502].contains(&status), "{status}");
        harness.settle();
        let runs = harness.request_count() - before;
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
    // A request waits for long, so that its server's health is checked on the connection that is
    // left.
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
        "its own answer came when nothing was asked any more"
    );
}
