//! Long request bodies: they are streamed to a single server, and the client's status says
//! correctly whether the request may have run.

mod common;

use common::{
    ProxyHarness, TestStream, chunked_body, item, not_run_response, ok_response, patterned_body,
    request_text, response_text,
};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;
use test_case::test_case;

/// Length of a body that is streamed.
const LONG_BODY_BYTES: usize = 3 << 20;

/// A proxy with one server, and a client that has sent the first `prefix_bytes` of an encoded body.
fn start_upload(chunked: bool, bytes: &[u8], prefix_bytes: usize) -> (ProxyHarness, usize) {
    let mut harness = ProxyHarness::new(&["a"]);
    let framing = match chunked {
        true => "Transfer-Encoding: chunked\r\n".to_string(),
        false => format!("Content-Length: {}\r\n", bytes.len()),
    };
    let client = harness.send_from_new_client(request_text("POST /u/1", "one", &framing, ""));
    harness.send(client, &bytes[..prefix_bytes]);
    (harness, client)
}

/// Number of bytes that servers have received of incomplete requests.
fn partly_received_bytes(harness: &ProxyHarness) -> usize {
    harness
        .servers
        .iter()
        .flat_map(|server| &server.connections)
        .map(|connection| connection.stream.received.len())
        .sum()
}

#[test_case(false; "length")]
#[test_case(true; "chunked")]
fn long_body_is_streamed_and_arrives_unchanged(chunked: bool) {
    let body = patterned_body(LONG_BODY_BYTES);
    let bytes = if chunked {
        chunked_body(&body)
    } else {
        body.clone()
    };
    let prefix_bytes = if chunked { 2_400_000 } else { 400_000 };
    let (mut harness, client) = start_upload(chunked, &bytes, prefix_bytes);
    harness.step_until("first part of the body at the server", |harness| {
        (partly_received_bytes(harness) > 300_000).then_some(())
    });
    assert_eq!(harness.request_count(), 0);
    harness.send(client, &bytes[prefix_bytes..]);
    harness.send(client, request_text("GET /i/1", "two", "", ""));
    let attempt = harness.next_request();
    assert!(attempt.request.body == body && attempt.request.target == "/u/1");
    let headers = &attempt.request.headers;
    assert!(headers.contains("Content-Length") != chunked && headers.contains("X-Want-Instance"));
    assert_eq!(
        headers.get("X-Time-Left"),
        Some("2988"),
        "the client's time, minus the margin for the response"
    );
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).body, b"of one");
    let attempt = harness.next_request();
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).body, b"of two");
}

/// What a server does after it has received part of a body, and the client's status for an upload
/// and for an idempotent request.
#[test_case(|stream| stream.close(), [502, 503]; "server resets the connection: it may have run the request")]
#[test_case(|stream| _ = stream.write(not_run_response("one").as_bytes()), [503; 2]; "server rejects the request")]
#[test_case(|stream| _ = stream.write(response_text(421, "X-Request-Id: one", "").as_bytes()), [503; 2]; "server was replaced")]
#[test_case(|stream| _ = stream.write(response_text(500, "X-Request-Id: one", "no").as_bytes()), [500; 2]; "server error")]
#[test_case(|stream| _ = stream.write(ok_response("one", "early").as_bytes()), [200; 2]; "success before the end of the body")]
fn partly_streamed_body_goes_to_no_other_server(
    server_action: fn(&mut TestStream),
    statuses: [u16; 2],
) {
    for (request_line, status) in ["POST /u/1", "POST /i/1"].into_iter().zip(statuses) {
        let mut harness = ProxyHarness::new(&["a", "a"]);
        let body = patterned_body(LONG_BODY_BYTES);
        let client = harness.send_from_new_client(request_text(
            request_line,
            "one",
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
            "",
        ));
        harness.send(client, &body[..LONG_BODY_BYTES / 2]);
        harness.step_until("part of the body at a server", |harness| {
            (partly_received_bytes(harness) > 0).then_some(())
        });
        let connections = harness
            .servers
            .iter_mut()
            .flat_map(|server| &mut server.connections);
        connections.for_each(|connection| server_action(&mut connection.stream));
        let response = harness.next_response(client);
        assert_eq!(
            (response.status, response.headers.contains("Retry-After")),
            (status, status == 503),
            "{request_line}"
        );
        assert!(!response.keep_alive);
        harness.send(client, &body[LONG_BODY_BYTES / 2..]);
        harness.step_until("close of the client connection", |harness| {
            harness.clients[client].closed_by_peer.then_some(())
        });
        harness.advance_ms(600);
        let connections: usize = harness
            .servers
            .iter()
            .map(|server| server.connections.len())
            .sum();
        assert_eq!(
            (harness.request_count(), connections),
            (0, 1),
            "{request_line}"
        );
    }
}

#[test]
fn completely_sent_request_counts_as_possibly_executed() {
    let body = patterned_body(LONG_BODY_BYTES);
    let mut harness = ProxyHarness::new(&["a"]);
    let client = harness.connect_client();
    let idle = harness.round_trip(client);
    harness.send(
        client,
        request_text(
            "POST /u/1",
            "one",
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
            "",
        ),
    );
    harness.send(client, &body);
    let attempt = harness.next_request();
    assert_ne!(
        attempt.connection, idle.connection,
        "an idle connection, which may already be closed, must not be used"
    );
    harness.close_server_connection(&attempt);
    assert_eq!(
        (
            harness.next_response(client).status,
            harness.request_count()
        ),
        (502, 2)
    );
}

#[test]
fn server_that_stops_reading_applies_back_pressure_and_silent_client_times_out() {
    let body = patterned_body(32 << 20);
    let (mut harness, client) = start_upload(false, &body, 200_000);
    harness.servers[0].reading_paused = true;
    let mut sent_bytes = 200_000;
    for _ in 0..3_000 {
        sent_bytes += harness.clients[client].write(&body[sent_bytes..]);
        harness.step();
    }
    assert!(
        sent_bytes < body.len() && harness.host.buffered_bytes() < 256 * 1024,
        "{}",
        harness.host.buffered_bytes()
    );
    harness.advance_ms(5_000);
    assert!(
        !harness.clients[client].closed_by_peer,
        "the client must not time out while the proxy reads nothing from it"
    );
    for _ in 0..3_000 {
        harness.servers[0].connections[0].stream.read_available();
        harness.step();
    }
    harness.advance_ms(3_500);
    harness.servers[0].connections[0].stream.read_available();
    assert!(
        harness.clients[client].closed_by_peer
            && harness.request_count() == 0
            && harness.servers[0].open_connections() == 0
    );
}

#[test_case("zz\r\n", 400; "malformed chunk")]
#[test_case("100000\r\n", 413; "body too long")]
fn malformed_body_is_rejected_and_never_received_whole_by_a_server(invalid_end: &str, status: u16) {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let limits = r#"{"hdr_bytes":16000,"body_bytes":3000000,"hdr":"3s","idle":"15s"}"#;
    harness.send_control(ControlMessage::Items(vec![item(
        ItemKind::Limits,
        "",
        1,
        limits,
    )]));
    let client = harness.send_from_new_client(request_text(
        "POST /u/1",
        "one",
        "Transfer-Encoding: chunked\r\n",
        "",
    ));
    let bytes = chunked_body(&patterned_body(2_500_000));
    harness.send(client, &bytes[..bytes.len() - 5]);
    harness.step_until("part of the body at a server", |harness| {
        (partly_received_bytes(harness) > 0).then_some(())
    });
    harness.send(client, invalid_end);
    let response = harness.next_response(client);
    harness.settle();
    assert_eq!(
        (
            response.status,
            response.keep_alive,
            harness.request_count()
        ),
        (status, false, 0)
    );
    assert!(
        harness
            .servers
            .iter()
            .all(|server| server.open_connections() == 0)
    );
}

#[test]
fn shutdown_finishes_streamed_bodies() {
    let body = patterned_body(LONG_BODY_BYTES);
    let (mut harness, client) = start_upload(false, &body, LONG_BODY_BYTES / 2);
    harness.step_until("part of the body at the server", |harness| {
        (partly_received_bytes(harness) > 0).then_some(())
    });
    let now = harness.now_us();
    harness.host.begin_shutdown(now);
    harness.advance_ms(400);
    harness.send(client, &body[LONG_BODY_BYTES / 2..]);
    let attempt = harness.next_request();
    harness.respond_ok(&attempt);
    assert!(harness.next_response(client).status == 200 && attempt.request.body == body);
}

#[test]
fn unanswered_long_upload_ends_with_504_at_its_deadline() {
    let (mut harness, client) =
        start_upload(false, &patterned_body(LONG_BODY_BYTES), LONG_BODY_BYTES);
    harness.next_request();
    harness.advance_ms(2_900);
    assert!(harness.clients[client].received.is_empty());
    harness.advance_ms(100);
    assert_eq!(harness.next_response(client).status, 504);
}

#[test]
fn remaining_body_of_a_rejected_upload_is_drained_so_that_no_reset_loses_the_response() {
    let body = patterned_body(32 << 20);
    let (mut harness, client) = start_upload(false, &body, 200_000);
    harness.step_until("part of the body at the server", |harness| {
        (partly_received_bytes(harness) > 0).then_some(())
    });
    harness.clients[client].reading_paused = true;
    harness.servers[0].connections[0]
        .stream
        .write(not_run_response("one").as_bytes());
    let mut sent_bytes = 200_000;
    for _ in 0..3_000 {
        sent_bytes += harness.clients[client].write(&body[sent_bytes..]);
        harness.step();
    }
    assert_eq!(sent_bytes, body.len());
    harness.clients[client].reading_paused = false;
    assert_eq!(harness.next_response(client).status, 503);
}

#[test]
fn uploads_whose_response_has_begun_use_no_body_buffer() {
    let mut harness = ProxyHarness::new(&["a"]);
    let body = patterned_body(2 << 20);
    // One more body than the buffer has space for.
    for n in 0..33 {
        let client = harness.send_from_new_client(request_text(
            "POST /u/1",
            &format!("{n}"),
            &format!("Content-Length: {}\r\n", body.len()),
            "",
        ));
        harness.send(client, &body);
        let attempt = harness.next_request();
        let response_start = ok_response(attempt.id(), &"x".repeat(140_000))
            .replace("Length: 140000", "Length: 300000");
        harness.send_response(&attempt, response_start);
        harness.step_until("first part of the response", |harness| {
            (harness.clients[client].received.len() > 130_000).then_some(())
        });
    }
}
