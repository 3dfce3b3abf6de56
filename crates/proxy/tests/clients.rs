//! What clients send, and what of it reaches servers.

mod common;

use common::{Bench, ask, item, route};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;
use test_case::test_case;

/// A proxy whose requests on `/k/` need a key: `k1` or `k2`.
fn keyed() -> Bench {
    let mut bench = Bench::new(&["a"]);
    let tenant = item(ItemKind::Tenant, "t", 1, r#"{"apikeys":["k1","k2"]}"#);
    bench.tell(ControlMessage::Items(vec![
        route("/k/", 1, "idem", ""),
        tenant,
    ]));
    bench.settle();
    bench
}

#[test]
fn removed_key_is_rejected_on_the_connection_that_used_it() {
    let mut bench = keyed();
    let client = bench.client();
    let with_key = "Authorization: Bearer k1\r\n";
    bench.send(client, ask("GET /k/1", "one", with_key, ""));
    let at = bench.served();
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
    bench.tell(ControlMessage::Items(vec![item(
        ItemKind::Tenant,
        "t",
        2,
        r#"{"apikeys":["k2"]}"#,
    )]));
    bench.settle();
    bench.send(client, ask("GET /k/1", "two", with_key, ""));
    assert_eq!((bench.answer(client).status, bench.count()), (401, 1));
    bench.send(
        client,
        ask("GET /k/1", "three", "Authorization: Bearer k2\r\n", ""),
    );
    let at = bench.served();
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
}

#[test]
fn servers_receive_the_tenant_instead_of_the_key_and_a_reduced_time() {
    let mut bench = keyed();
    let more = "Authorization: Bearer k2\r\nX-Tenant: forged\r\nx-tenant: too\r\nX-Note: n\r\n";
    let client = bench.ask(ask("GET /k/1?a=%20b&c", "one", more, ""));
    let at = bench.served();
    let headers = &at.request.headers;
    assert_eq!(
        (at.request.method.as_str(), at.request.target.as_str()),
        ("GET", "/k/1?a=%20b&c")
    );
    assert_eq!(
        (headers.get("X-Tenant"), headers.get("X-Note")),
        (Some("t"), Some("n"))
    );
    assert!(!headers.iter().any(|(_, value)| value.contains("k2")));
    let left: i64 = headers.get("X-Time-Left").unwrap().parse().unwrap();
    assert!((2_900..3_000).contains(&left), "{left}");
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
    // Without a key there is no tenant, whatever the client claims.
    bench.send(client, ask("GET /i/1", "two", "X-Tenant: t\r\n", ""));
    assert!(!bench.served().request.headers.contains("X-Tenant"));
}

#[test]
fn chunked_upload_gets_continue_and_arrives_with_a_length() {
    let mut bench = Bench::new(&["a"]);
    let body: Vec<u8> = (0..600_000u32).map(|n| (n % 251) as u8).collect();
    let client = bench.ask(ask(
        "POST /u/x?y=z",
        "one",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
        "",
    ));
    let told = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
    bench.until("word to go on", |bench| {
        (bench.clients[client].input == told).then_some(())
    });
    bench.clients[client].input.clear();
    for part in body.chunks(70_001) {
        bench.send(client, format!("{:x};ext=1\r\n", part.len()));
        bench.send(client, part);
        bench.send(client, "\r\n");
    }
    assert_eq!(bench.count(), 0);
    bench.send(client, "0\r\nTrailer: t\r\n\r\n");
    let at = bench.served();
    assert_eq!(
        (at.request.method.as_str(), at.request.target.as_str()),
        ("POST", "/u/x?y=z")
    );
    assert!(at.request.body == body);
    let headers = &at.request.headers;
    assert_eq!(headers.get("Content-Length"), Some("600000"));
    assert!(
        !headers.contains("Transfer-Encoding")
            && !headers.contains("Expect")
            && !headers.contains("Trailer")
    );
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
}

/// A request smuggled inside another one's body.
const INNER: &str = "GET /i/in HTTP/1.1\r\nHost: h\r\nX-Request-Id: in\r\n\r\n";

#[test_case("Content-Length: 0\r\nContent-Length: 9\r\n", INNER; "two lengths")]
#[test_case("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"; "a length beside chunks")]
#[test_case("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n", "0\r\n\r\n"; "two codings")]
#[test_case("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"; "a coding that nobody knows")]
#[test_case("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"; "a blank before the colon")]
#[test_case("Content-Length: 0x4\r\n", "abcd"; "a length that is no number")]
#[test_case("Content-Length: -4\r\n", "abcd"; "a length below nothing")]
#[test_case("X-A: b\nContent-Length: 4\r\n", "abcd"; "a bare line feed")]
#[test_case("X-A: b\rContent-Length: 4\r\n", "abcd"; "a bare carriage return")]
#[test_case("X-A: b\r\n Content-Length: 4\r\n", "abcd"; "a line that is folded")]
#[test_case("Transfer-Encoding: chunked\r\n", "1\na\r\n0\r\n\r\n"; "a chunk with a bare line feed")]
#[test_case("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n"; "a chunk that is longer than it says")]
#[test_case("Transfer-Encoding: chunked\r\n", "0\r\nX: y\n\r\n"; "a trailer with a bare line feed")]
fn ambiguous_request_reaches_no_server(more: &str, body: &str) {
    let mut bench = Bench::new(&["a"]);
    let client = bench.ask(ask("POST /u/1", "out", more, &format!("{body}{INNER}")));
    assert_eq!(bench.answer(client).status, 400);
    bench.until("end", |bench| bench.clients[client].ended.then_some(()));
    assert!(bench.clients[client].input.is_empty() && bench.count() == 0);
}

#[test]
fn head_or_body_beyond_the_limits_is_rejected() {
    let limits = r#"{"hdr_bytes":400,"body_bytes":100,"hdr":"3s","idle":"15s"}"#;
    let long = "x".repeat(101);
    let cases = [
        (
            431,
            format!("X-Long: {}\r\n", "x".repeat(400)),
            String::new(),
        ),
        (413, "Content-Length: 101\r\n".to_string(), long.clone()),
        (
            413,
            "Transfer-Encoding: chunked\r\n".to_string(),
            format!("65\r\n{long}\r\n0\r\n\r\n"),
        ),
        (
            200,
            "Content-Length: 100\r\n".to_string(),
            long[1..].to_string(),
        ),
    ];
    for (status, more, body) in cases {
        let mut bench = Bench::new(&["a"]);
        bench.tell(ControlMessage::Items(vec![item(
            ItemKind::Limits,
            "",
            1,
            limits,
        )]));
        bench.settle();
        let client = bench.ask(ask("POST /u/1", "one", &more, &body));
        if status == 200 {
            let at = bench.served();
            bench.serve(&at);
        }
        assert_eq!(bench.answer(client).status, status, "{more}");
        assert_eq!(bench.count(), usize::from(status == 200));
    }
}

#[test]
fn pipelined_requests_are_answered_in_order_one_at_a_time() {
    let mut bench = Bench::new(&["a", "a"]);
    let ids = ["one", "two", "three"];
    let client = bench.client();
    for id in ids {
        bench.send(client, ask("POST /m/1", id, "Content-Length: 3\r\n", "abc"));
    }
    for (before, id) in ids.into_iter().enumerate() {
        let at = bench.served();
        bench.settle();
        assert_eq!(
            (at.id(), at.request.body.as_slice(), bench.count()),
            (id, &b"abc"[..], before + 1)
        );
        bench.serve(&at);
        assert_eq!(bench.answer(client).body, format!("of {id}").into_bytes());
    }
}

#[test]
fn client_idle_for_its_keep_alive_is_served_on_its_connection() {
    let mut bench = Bench::new(&["a"]);
    let spec = r#"{"hdr_bytes":16384,"body_bytes":1048576,"hdr":"3000ms","idle":"15000ms"}"#;
    bench.tell(ControlMessage::Items(vec![item(
        ItemKind::Limits,
        "",
        2,
        spec,
    )]));
    bench.settle();
    let client = bench.client();
    for id in ["one", "two", "three"] {
        bench.send(client, ask("POST /m/1", id, "Content-Length: 3\r\n", "abc"));
        let at = bench.served();
        bench.serve(&at);
        let answer = bench.answer(client);
        let told = answer
            .headers
            .get("Keep-Alive")
            .and_then(|line| line.strip_prefix("timeout="));
        let told: i64 = told.expect("how long it may stay").parse().unwrap();
        assert!((10..15).contains(&told), "{told}");
        bench.pass(told * 1_000 + 500);
        assert!(bench.clients[client].open());
    }
    // The proxy's own answer carries it as well; the last answer of a connection does not.
    bench.send(client, ask("GET /none/", "four", "", ""));
    assert!(bench.answer(client).headers.contains("Keep-Alive"));
    bench.send(
        client,
        ask("GET /none/", "five", "Connection: close\r\n", ""),
    );
    assert!(!bench.answer(client).headers.contains("Keep-Alive"));
}
