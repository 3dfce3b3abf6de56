//! Requests of clients, and which parts of them are forwarded to servers.

mod common;

use common::{ProxyHarness, item, request_text, route};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;
use test_case::test_case;

/// A proxy with a route `/k/` that requires a key, `k1` or `k2`.
fn harness_with_keyed_route() -> ProxyHarness {
    let mut harness = ProxyHarness::new(&["a"]);
    let tenant = item(ItemKind::Tenant, "t", 1, r#"{"apikeys":["k1","k2"]}"#);
    harness.send_control(ControlMessage::Items(vec![
        route("/k/", 1, "idem", ""),
        tenant,
    ]));
    harness.settle();
    harness
}

#[test]
fn removed_key_is_rejected_on_the_connection_that_used_it() {
    let mut harness = harness_with_keyed_route();
    let client = harness.connect_client();
    let with_key = "Authorization: Bearer k1\r\n";
    harness.send(client, request_text("GET /k/1", "one", with_key, ""));
    let attempt = harness.next_request();
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
    harness.send_control(ControlMessage::Items(vec![item(
        ItemKind::Tenant,
        "t",
        2,
        r#"{"apikeys":["k2"]}"#,
    )]));
    harness.settle();
    harness.send(client, request_text("GET /k/1", "two", with_key, ""));
    assert_eq!(
        (
            harness.next_response(client).status,
            harness.request_count()
        ),
        (401, 1)
    );
    harness.send(
        client,
        request_text("GET /k/1", "three", "Authorization: Bearer k2\r\n", ""),
    );
    let attempt = harness.next_request();
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
}

#[test]
fn servers_receive_the_tenant_instead_of_the_key_and_a_reduced_time() {
    let mut harness = harness_with_keyed_route();
    let extra_headers =
        "Authorization: Bearer k2\r\nX-Tenant: forged\r\nx-tenant: too\r\nX-Note: n\r\n";
    let client =
        harness.send_from_new_client(request_text("GET /k/1?a=%20b&c", "one", extra_headers, ""));
    let attempt = harness.next_request();
    let headers = &attempt.request.headers;
    assert_eq!(
        (
            attempt.request.method.as_str(),
            attempt.request.target.as_str()
        ),
        ("GET", "/k/1?a=%20b&c")
    );
    assert_eq!(
        (headers.get("X-Tenant"), headers.get("X-Note")),
        (Some("t"), Some("n"))
    );
    assert!(!headers.iter().any(|(_, value)| value.contains("k2")));
    let remaining_ms: i64 = headers.get("X-Time-Left").unwrap().parse().unwrap();
    assert!((2_900..3_000).contains(&remaining_ms), "{remaining_ms}");
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
    // Without a key there is no tenant, whatever the client's header says.
    harness.send(
        client,
        request_text("GET /i/1", "two", "X-Tenant: t\r\n", ""),
    );
    assert!(!harness.next_request().request.headers.contains("X-Tenant"));
}

#[test]
fn chunked_upload_gets_continue_and_arrives_with_a_length() {
    let mut harness = ProxyHarness::new(&["a"]);
    let body: Vec<u8> = (0..600_000u32).map(|n| (n % 251) as u8).collect();
    let client = harness.send_from_new_client(request_text(
        "POST /u/x?y=z",
        "one",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
        "",
    ));
    let expected = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
    harness.step_until("100 Continue", |harness| {
        (harness.clients[client].received == expected).then_some(())
    });
    harness.clients[client].received.clear();
    for part in body.chunks(70_001) {
        harness.send(client, format!("{:x};ext=1\r\n", part.len()));
        harness.send(client, part);
        harness.send(client, "\r\n");
    }
    assert_eq!(harness.request_count(), 0);
    harness.send(client, "0\r\nTrailer: t\r\n\r\n");
    let attempt = harness.next_request();
    assert_eq!(
        (
            attempt.request.method.as_str(),
            attempt.request.target.as_str()
        ),
        ("POST", "/u/x?y=z")
    );
    assert!(attempt.request.body == body);
    let headers = &attempt.request.headers;
    assert_eq!(headers.get("Content-Length"), Some("600000"));
    assert!(
        !headers.contains("Transfer-Encoding")
            && !headers.contains("Expect")
            && !headers.contains("Trailer")
    );
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
}

/// A request smuggled inside the body of another one.
const SMUGGLED_REQUEST: &str = "GET /i/in HTTP/1.1\r\nHost: h\r\nX-Request-Id: in\r\n\r\n";

#[test_case("Content-Length: 0\r\nContent-Length: 9\r\n", SMUGGLED_REQUEST; "two lengths")]
#[test_case("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"; "length and chunked")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n", "0\r\n\r\n"; "two transfer codings")]
#[test_case("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"; "unknown transfer coding")]
#[test_case("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"; "space before the colon")]
#[test_case("Content-Length: 0x4\r\n", "abcd"; "length not a number")]
#[test_case("Content-Length: -4\r\n", "abcd"; "negative length")]
#[test_case("X-A: b\nContent-Length: 4\r\n", "abcd"; "bare line feed")]
#[test_case("X-A: b\rContent-Length: 4\r\n", "abcd"; "bare carriage return")]
#[test_case("X-A: b\r\n Content-Length: 4\r\n", "abcd"; "folded header line")]
#[test_case("Transfer-Encoding: chunked\r\n", "1\na\r\n0\r\n\r\n"; "bare line feed after a chunk size")]
#[test_case("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n"; "chunk longer than its size")]
#[test_case("Transfer-Encoding: chunked\r\n", "0\r\nX: y\n\r\n"; "bare line feed in a trailer")]
fn ambiguous_request_reaches_no_server(extra_headers: &str, body: &str) {
    let mut harness = ProxyHarness::new(&["a"]);
    let client = harness.send_from_new_client(request_text(
        "POST /u/1",
        "out",
        extra_headers,
        &format!("{body}{SMUGGLED_REQUEST}"),
    ));
    assert_eq!(harness.next_response(client).status, 400);
    harness.step_until("close of the client connection", |harness| {
        harness.clients[client].closed_by_peer.then_some(())
    });
    assert!(harness.clients[client].received.is_empty() && harness.request_count() == 0);
}

#[test]
fn head_or_body_beyond_the_limits_is_rejected() {
    let limits = r#"{"hdr_bytes":400,"body_bytes":100,"hdr":"3s","idle":"15s"}"#;
    let oversized_body = "x".repeat(101);
    let cases = [
        (
            431,
            format!("X-Long: {}\r\n", "x".repeat(400)),
            String::new(),
        ),
        (
            413,
            "Content-Length: 101\r\n".to_string(),
            oversized_body.clone(),
        ),
        (
            413,
            "Transfer-Encoding: chunked\r\n".to_string(),
            format!("65\r\n{oversized_body}\r\n0\r\n\r\n"),
        ),
        (
            200,
            "Content-Length: 100\r\n".to_string(),
            oversized_body[1..].to_string(),
        ),
    ];
    for (status, extra_headers, body) in cases {
        let mut harness = ProxyHarness::new(&["a"]);
        harness.send_control(ControlMessage::Items(vec![item(
            ItemKind::Limits,
            "",
            1,
            limits,
        )]));
        harness.settle();
        let client =
            harness.send_from_new_client(request_text("POST /u/1", "one", &extra_headers, &body));
        if status == 200 {
            let attempt = harness.next_request();
            harness.respond_ok(&attempt);
        }
        assert_eq!(
            harness.next_response(client).status,
            status,
            "{extra_headers}"
        );
        assert_eq!(harness.request_count(), usize::from(status == 200));
    }
}

#[test]
fn pipelined_requests_are_answered_in_order_one_at_a_time() {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    let ids = ["one", "two", "three"];
    let client = harness.connect_client();
    for id in ids {
        harness.send(
            client,
            request_text("POST /m/1", id, "Content-Length: 3\r\n", "abc"),
        );
    }
    for (index, id) in ids.into_iter().enumerate() {
        let attempt = harness.next_request();
        harness.settle();
        assert_eq!(
            (
                attempt.id(),
                attempt.request.body.as_slice(),
                harness.request_count()
            ),
            (id, &b"abc"[..], index + 1)
        );
        harness.respond_ok(&attempt);
        assert_eq!(
            harness.next_response(client).body,
            format!("of {id}").into_bytes()
        );
    }
}

#[test]
fn connection_idle_for_its_advertised_keep_alive_is_still_served() {
    let mut harness = ProxyHarness::new(&["a"]);
    let spec = r#"{"hdr_bytes":16384,"body_bytes":1048576,"hdr":"3000ms","idle":"15000ms"}"#;
    harness.send_control(ControlMessage::Items(vec![item(
        ItemKind::Limits,
        "",
        2,
        spec,
    )]));
    harness.settle();
    let client = harness.connect_client();
    for id in ["one", "two", "three"] {
        harness.send(
            client,
            request_text("POST /m/1", id, "Content-Length: 3\r\n", "abc"),
        );
        let attempt = harness.next_request();
        harness.respond_ok(&attempt);
        let response = harness.next_response(client);
        let keep_alive_s = response
            .headers
            .get("Keep-Alive")
            .and_then(|value| value.strip_prefix("timeout="));
        let keep_alive_s: i64 = keep_alive_s
            .expect("the Keep-Alive header has a timeout")
            .parse()
            .unwrap();
        assert!((10..15).contains(&keep_alive_s), "{keep_alive_s}");
        harness.advance_ms(keep_alive_s * 1_000 + 500);
        assert!(harness.clients[client].is_open());
    }
    // The header is also in responses of the proxy itself, but not in the last one of a connection.
    harness.send(client, request_text("GET /none/", "four", "", ""));
    assert!(harness.next_response(client).headers.contains("Keep-Alive"));
    harness.send(
        client,
        request_text("GET /none/", "five", "Connection: close\r\n", ""),
    );
    assert!(!harness.next_response(client).headers.contains("Keep-Alive"));
}
