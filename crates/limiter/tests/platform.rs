//! The platform's front end against mock servers: outcomes of attempts, invalid input, client disconnects, shutdown and
//! failures of the counter.

mod common;

use std::io::Write;
use std::sync::mpsc;

use common::*;

/// Starts a limiter in front of one server that is listed under `server_names` names. The decision module suspects a
/// silent server only if another one is listed.
fn start_server_and_limiter(
    server_names: usize,
    reply: impl FnMut(&limiter::net::framing::Request, usize) -> Reply + Send + 'static,
) -> (MockServer, Limiter) {
    let server = MockServer::start(reply);
    let limiter = Limiter::start(
        &config(&vec![server.address; server_names], start_counter().address),
        None,
    );
    (server, limiter)
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let (server, limiter) = start_server_and_limiter(1, |_, _| ok("\u{0}body\r\n"));
    let mut client = Client::connect(limiter.platform_address);
    for n in 0..3 {
        let response = client.send_request(&keyed_request(&format!("k{n}")));
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, b"\0body\r\n".as_slice())
        );
    }
    let requests = server.requests.lock().unwrap();
    assert_eq!(requests[0].target, "/sign-off?account=0000000000000005");
    assert_eq!(
        (requests[0].method.as_str(), requests[0].body.as_slice()),
        ("POST", b"hours".as_slice())
    );
    assert_eq!(requests[0].headers.get("X-Trace-Id"), Some("t-k0"));
    assert_eq!(requests[0].headers.get("Idempotency-Key"), Some("k0"));
    let remaining_s: f64 = requests[0]
        .headers
        .get("X-Expires-In")
        .unwrap()
        .parse()
        .unwrap();
    assert!(remaining_s > 0.0 && remaining_s < 2.5);
}

#[test]
fn request_written_byte_by_byte_is_processed_once() {
    let (server, limiter) = start_server_and_limiter(1, |_, _| ok("done"));
    let mut client = Client::connect(limiter.platform_address);
    client.stream.set_nodelay(true).unwrap();
    for byte in keyed_request("k").bytes() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!(client.read_response().unwrap().status, 200);
    assert_eq!(server.request_count(), 1);
}

#[test]
fn failed_attempts_are_retried_only_where_the_request_may_be_repeated() {
    // The server's first reply, for an idempotent and a keyed request: both are sent again.
    let not_executed = |status| Reply::Respond(status, vec![("X-Never-Ran", "1")], String::new());
    type Case = (&'static str, fn() -> Reply);
    let cases: [Case; 3] = [
        ("error", || Reply::Respond(500, vec![], String::new())),
        ("reset", || Reply::Close),
        ("other", || Reply::Respond(503, vec![], String::new())),
    ];
    for (name, reply) in cases {
        for text in [idempotent_request("t"), keyed_request("k")] {
            let (server, limiter) =
                start_server_and_limiter(1, move |_, n| if n == 0 { reply() } else { ok("done") });
            assert_eq!(
                send_request(limiter.platform_address, &text).status,
                200,
                "{name}"
            );
            assert_eq!(
                server.request_count(),
                2,
                "{name}: sent once more, within the group of the first attempt"
            );
        }
    }
    for status in [503, 504] {
        let (server, limiter) = start_server_and_limiter(2, move |_, n| {
            if n == 0 {
                not_executed(status)
            } else {
                ok("done")
            }
        });
        assert_eq!(
            send_request(limiter.platform_address, &keyed_request("k")).status,
            200
        );
        assert_eq!(server.request_count(), 2);
    }
    // A keyed request that may have been executed is not declined, as that would promise that a retry is harmless.
    let (_, limiter) =
        start_server_and_limiter(1, |_, _| Reply::Respond(500, vec![], String::new()));
    assert_eq!(
        send_request(limiter.platform_address, &keyed_request("k")).status,
        504
    );
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("t")).status,
        503
    );
    // No server listens, so nothing was executed and even a keyed request is declined.
    let limiter = Limiter::start(
        &config(&[unreachable_address()], start_counter().address),
        None,
    );
    let response = send_request(limiter.platform_address, &keyed_request("k"));
    assert!(response.status == 503 && response.headers.contains("Retry-After"));
}

#[test]
fn unresponsive_server_delays_the_request_only_until_its_deadline() {
    for (text, status) in [(idempotent_request("t"), 503), (keyed_request("k"), 504)] {
        let (_release_sender, release_receiver) = mpsc::channel();
        let (arrival_sender, arrival_receiver) = mpsc::channel();
        let mut release_receiver = Some(release_receiver);
        let (server, limiter) = start_server_and_limiter(1, move |_, _| {
            arrival_sender.send(()).unwrap();
            Reply::Delay(release_receiver.take().unwrap(), Box::new(Reply::Close))
        });
        let mut client = Client::connect(limiter.platform_address);
        client.send(&text);
        arrival_receiver.recv().unwrap();
        limiter.advance_clock_us(2_500_000);
        assert_eq!(client.read_response().unwrap().status, status);
        assert_eq!(server.request_count(), 1);
    }
}

#[test]
fn invalid_requests_are_rejected_without_reaching_a_server() {
    let (server, limiter) = start_server_and_limiter(1, |_, _| ok("done"));
    let valid_request = keyed_request("k");
    let request_with = |from: &str, to: &str| valid_request.replace(from, to);
    let long_header = format!("X-Long: {}\r\nHost", "a".repeat(20_000));
    for (text, status) in [
        ("hello\r\n\r\n".to_string(), 400),
        (request_with("X-Trace-Id: t-k\r\n", ""), 400),
        (request_with("X-Qos: sign-off", "X-Qos: lookup"), 400),
        (request_with("X-Tier: empresa", "X-Tier: gold"), 400),
        (request_with("account=0000000000000005", "account=5"), 400),
        (
            request_with("account=0000000000000005", "account=0000000200000000"),
            400,
        ),
        (request_with("?account=0000000000000005", ""), 400),
        (request_with("X-Expires-In: 2.5", "X-Expires-In: -1"), 400),
        (request_with("X-Expires-In: 2.5", "X-Expires-In: inf"), 400),
        (request_with("X-Expires-In: 2.5", "X-Expires-In: 0"), 400),
        (request_with("units=2", "units=0"), 400),
        (request_with("units=2", "units=99"), 400),
        (request_with("spread=1", "spread=2"), 400),
        (request_with("first=0", "first=1"), 400),
        (request_with("first=0", "first=0,first=0"), 400),
        (request_with("Idempotency-Key: k\r\n", ""), 400),
        (request_with("POST", "GET"), 400),
        (request_with("/sign-off", "/other"), 404),
        (
            request_with(
                "Content-Length: 5",
                "Content-Length: 5\r\nContent-Length: 6",
            ),
            400,
        ),
        (
            request_with("Content-Length: 5", "Content-Length: 60000000"),
            413,
        ),
        (request_with("Host", &long_header), 431),
    ] {
        assert_eq!(
            send_request(limiter.platform_address, &text).status,
            status,
            "{text:.300}"
        );
    }
    assert_eq!(server.request_count(), 0);
    assert_eq!(
        send_request(limiter.platform_address, &valid_request).status,
        200
    );
}

#[test]
fn client_disconnect_closes_its_attempt() {
    let (release_sender, release_receiver) = mpsc::channel();
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let (server, limiter) = start_server_and_limiter(1, move |_, _| {
        arrival_sender.send(()).unwrap();
        Reply::Delay(
            release_receiver.take().unwrap(),
            Box::new(ok(&"x".repeat(60_000))),
        )
    });
    let mut client = Client::connect(limiter.platform_address);
    client.send(&keyed_request("k"));
    arrival_receiver.recv().unwrap();
    drop(client);
    // When this later request is answered, the limiter has read the disconnect of the first client.
    assert_eq!(
        send_request(
            limiter.platform_address,
            "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        .status,
        200
    );
    release_sender.send(()).unwrap();
    server
        .connection_closed
        .recv_timeout(std::time::Duration::from_secs(5))
        .expect("the connection is closed");
    assert_eq!(server.request_count(), 1);
}

#[test]
fn readiness_is_reported_only_with_a_listed_server() {
    let readiness_request = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let limiter = Limiter::start(&config(&[], start_counter().address), None);
    assert_eq!(
        send_request(limiter.platform_address, readiness_request).status,
        503
    );
    let limiter = Limiter::start(
        &config(&[unreachable_address()], start_counter().address),
        None,
    );
    assert_eq!(
        send_request(limiter.platform_address, readiness_request).status,
        200
    );
}

#[test]
fn shutdown_accepts_connections_during_the_notice_period_and_finishes_open_requests() {
    let (release_sender, release_receiver) = mpsc::channel();
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let (_server, limiter) = start_server_and_limiter(1, move |_, _| {
        arrival_sender.send(()).unwrap();
        match release_receiver.take() {
            Some(release_receiver) => Reply::Delay(release_receiver, Box::new(ok("late"))),
            None => ok("during the notice"),
        }
    });
    let mut first_client = Client::connect(limiter.platform_address);
    first_client.send(&keyed_request("k0"));
    arrival_receiver.recv().unwrap();
    limiter.stop();
    let mut second_client = Client::connect(limiter.platform_address);
    assert_eq!(
        second_client.send_request(&keyed_request("k1")).body,
        b"during the notice"
    );
    limiter.advance_clock_us(600_000);
    assert!(
        second_client.read_response().is_none(),
        "the idle connection is closed"
    );
    release_sender.send(()).unwrap();
    let last_response = first_client
        .read_response()
        .expect("the open request is finished");
    assert!(last_response.body == b"late" && !last_response.keep_alive);
    limiter.join();
}

#[test]
fn unresponsive_counter_lets_requests_pass_after_its_timeout() {
    let (server, counter) = (
        MockServer::start(|_, _| ok("done")),
        // Never responds to a call.
        MockServer::start(|_, _| {
            let (release_sender, release_receiver) = mpsc::channel();
            std::mem::forget(release_sender);
            Reply::Delay(release_receiver, Box::new(Reply::Close))
        }),
    );
    let limiter = Limiter::start(&config(&[server.address], counter.address), None);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&keyed_request("k"));
    while counter.request_count() == 0 {
        std::thread::yield_now();
    }
    limiter.advance_clock_us(120_000);
    assert_eq!(client.read_response().unwrap().status, 200);
}

#[test]
fn upstream_connection_with_an_unsolicited_response_is_closed() {
    let (server, limiter) = start_server_and_limiter(1, |_, n| {
        if n == 0 {
            Reply::RespondTwice("first")
        } else {
            ok("second")
        }
    });
    let mut client = Client::connect(limiter.platform_address);
    assert_eq!(client.send_request(&keyed_request("k0")).body, b"first");
    server
        .connection_closed
        .recv_timeout(std::time::Duration::from_secs(5))
        .expect("the connection is closed");
    assert_eq!(client.send_request(&keyed_request("k1")).body, b"second");
}

#[test]
fn counter_calls_do_not_queue_behind_unanswered_calls() {
    let server = MockServer::start(|_, _| ok("done"));
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    // The first call is never answered, and neither is any later one on the same connection.
    let counter = MockServer::start(move |_, n| {
        if n > 0 {
            return ok("2");
        }
        let (release_sender, release_receiver) = mpsc::channel();
        std::mem::forget(release_sender);
        arrival_sender.send(()).unwrap();
        Reply::Delay(release_receiver, Box::new(Reply::Close))
    });
    let limiter = Limiter::start(&config(&[server.address], counter.address), None);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&keyed_request("k0"));
    arrival_receiver.recv().unwrap();
    limiter.advance_clock_us(120_000);
    assert_eq!(
        client.read_response().unwrap().status,
        200,
        "the request passes without the counter's response"
    );
    limiter.advance_clock_us(500_000);
    assert_eq!(
        client.send_request(&keyed_request("k1")).status,
        200,
        "the next request gets its response without the clock advancing"
    );
    assert!(counter.request_count() >= 2);
}

#[test]
fn malformed_counter_response_closes_its_connection() {
    let malformed_responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n--3",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        // Longer than any number, so that a later response would be taken for the rest of it.
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
        // An incomplete head.
        b"HTTP/1.1 200 OK\r\nX-Pad: p",
    ];
    for (n, bytes) in malformed_responses.into_iter().enumerate() {
        let server = MockServer::start(|_, _| ok("done"));
        let counter = MockServer::start(move |_, n| {
            if n == 0 {
                Reply::RawBytes(bytes)
            } else {
                ok("2")
            }
        });
        let limiter = Limiter::start(&config(&[server.address], counter.address), None);
        let mut client = Client::connect(limiter.platform_address);
        client.send(&keyed_request("k0"));
        if n == 3 {
            // An incomplete response may be completed until the call times out. The response to this request shows that
            // the limiter has read the malformed bytes.
            counter.response_written.recv().unwrap();
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n");
            limiter.advance_clock_us(120_000);
        }
        assert_eq!(client.read_response().unwrap().status, 200);
        counter
            .connection_closed
            .recv_timeout(std::time::Duration::from_secs(5))
            .expect("the connection is closed");
        assert_eq!(
            client.send_request(&keyed_request("k1")).status,
            200,
            "the next request gets its response without the clock advancing"
        );
    }
}

#[test]
fn incomplete_response_fails_the_attempt_and_the_request_is_retried() {
    let malformed_responses: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ];
    for bytes in malformed_responses {
        let (server, limiter) = start_server_and_limiter(1, move |_, n| {
            if n == 0 {
                Reply::RawBytes(bytes)
            } else {
                ok("done")
            }
        });
        let mut client = Client::connect(limiter.platform_address);
        client.send(&keyed_request("k"));
        server.response_written.recv().unwrap();
        send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n");
        limiter.advance_clock_us(300_000);
        assert_eq!(client.read_response().unwrap().body, b"done");
        server
            .connection_closed
            .recv_timeout(std::time::Duration::from_secs(5))
            .expect("the connection is closed");
    }
}

#[test]
fn response_without_framing_is_not_relayed() {
    let unframed_response = b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\na part";
    let (server, limiter) = start_server_and_limiter(1, move |_, n| {
        if n == 0 {
            Reply::RawBytes(unframed_response)
        } else {
            ok("done")
        }
    });
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("t")).body,
        b"done"
    );
    assert_eq!(server.request_count(), 2);
}
