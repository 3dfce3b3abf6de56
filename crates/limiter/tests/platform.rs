//! The platform's front against stand-ins: each outcome, bad input, a client that leaves, the end.

mod common;

use std::io::Write;
use std::sync::mpsc;

use common::*;

/// A limiter before one server of `names` names: the module suspects a silent one only where there is another.
fn start(
    names: usize,
    reply: impl FnMut(&limiter::net::framing::Request, usize) -> Reply + Send + 'static,
) -> (MockServer, Limiter) {
    let server = MockServer::start(reply);
    let limiter = Limiter::start(
        &config(&vec![server.address; names], start_counter().address),
        None,
    );
    (server, limiter)
}

#[test]
fn an_answer_comes_through_unchanged_and_the_request_goes_on_whole() {
    let (server, limiter) = start(1, |_, _| ok("\u{0}body\r\n"));
    let mut client = Client::connect(limiter.platform_address);
    for n in 0..3 {
        let answer = client.send_request(&keyed_request(&format!("k{n}")));
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, b"\0body\r\n".as_slice())
        );
    }
    let seen = server.requests.lock().unwrap();
    assert_eq!(seen[0].target, "/sign-off?account=0000000000000005");
    assert_eq!(
        (seen[0].method.as_str(), seen[0].body.as_slice()),
        ("POST", b"hours".as_slice())
    );
    assert_eq!(seen[0].headers.get("X-Trace-Id"), Some("t-k0"));
    assert_eq!(seen[0].headers.get("Idempotency-Key"), Some("k0"));
    let left: f64 = seen[0]
        .headers
        .get("X-Expires-In")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left > 0.0 && left < 2.5);
}

#[test]
fn a_request_written_byte_by_byte_is_taken_once() {
    let (server, limiter) = start(1, |_, _| ok("done"));
    let mut client = Client::connect(limiter.platform_address);
    client.stream.set_nodelay(true).unwrap();
    for byte in keyed_request("k").bytes() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!(client.read_response().unwrap().status, 200);
    assert_eq!(server.request_count(), 1);
}

#[test]
fn each_end_of_a_leg_leads_where_the_rules_allow() {
    // What the server does at first, for a lookup and a sign-off: statuses, and how often it was sent.
    let never_ran = |status| Reply::Respond(status, vec![("X-Never-Ran", "1")], String::new());
    type Case = (&'static str, fn() -> Reply);
    let cases: [Case; 3] = [
        ("error", || Reply::Respond(500, vec![], String::new())),
        ("reset", || Reply::Close),
        ("other", || Reply::Respond(503, vec![], String::new())),
    ];
    for (name, reply) in cases {
        for text in [idempotent_request("t"), keyed_request("k")] {
            let (server, limiter) = start(1, move |_, n| if n == 0 { reply() } else { ok("done") });
            assert_eq!(
                send_request(limiter.platform_address, &text).status,
                200,
                "{name}"
            );
            assert_eq!(
                server.request_count(),
                2,
                "{name}: once more, in the group of the first"
            );
        }
    }
    for status in [503, 504] {
        let (server, limiter) = start(2, move |_, n| {
            if n == 0 {
                never_ran(status)
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
    // A sign-off that may have run each time is not declined: that would promise that a retry is harmless.
    let (_, limiter) = start(1, |_, _| Reply::Respond(500, vec![], String::new()));
    assert_eq!(
        send_request(limiter.platform_address, &keyed_request("k")).status,
        504
    );
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("t")).status,
        503
    );
    // Nobody listens: nothing ran, so even a sign-off is declined.
    let limiter = Limiter::start(
        &config(&[unreachable_address()], start_counter().address),
        None,
    );
    let answer = send_request(limiter.platform_address, &keyed_request("k"));
    assert!(answer.status == 503 && answer.headers.contains("Retry-After"));
}

#[test]
fn a_server_that_never_answers_costs_the_request_its_time_and_no_more() {
    for (text, status) in [(idempotent_request("t"), 503), (keyed_request("k"), 504)] {
        let (_release, held) = mpsc::channel();
        let (reached, arrived) = mpsc::channel();
        let mut held = Some(held);
        let (server, limiter) = start(1, move |_, _| {
            reached.send(()).unwrap();
            Reply::Delay(held.take().unwrap(), Box::new(Reply::Close))
        });
        let mut client = Client::connect(limiter.platform_address);
        client.send(&text);
        arrived.recv().unwrap();
        limiter.advance_clock_us(2_500_000);
        assert_eq!(client.read_response().unwrap().status, status);
        assert_eq!(server.request_count(), 1);
    }
}

#[test]
fn bad_input_is_answered_at_once_and_reaches_no_server() {
    let (server, limiter) = start(1, |_, _| ok("done"));
    let good = keyed_request("k");
    let bad = |from: &str, to: &str| good.replace(from, to);
    let long = format!("X-Long: {}\r\nHost", "a".repeat(20_000));
    for (text, status) in [
        ("hello\r\n\r\n".to_string(), 400),
        (bad("X-Trace-Id: t-k\r\n", ""), 400),
        (bad("X-Qos: sign-off", "X-Qos: lookup"), 400),
        (bad("X-Tier: empresa", "X-Tier: gold"), 400),
        (bad("account=0000000000000005", "account=5"), 400),
        (
            bad("account=0000000000000005", "account=0000000200000000"),
            400,
        ),
        (bad("?account=0000000000000005", ""), 400),
        (bad("X-Expires-In: 2.5", "X-Expires-In: -1"), 400),
        (bad("X-Expires-In: 2.5", "X-Expires-In: inf"), 400),
        (bad("X-Expires-In: 2.5", "X-Expires-In: 0"), 400),
        (bad("units=2", "units=0"), 400),
        (bad("units=2", "units=99"), 400),
        (bad("spread=1", "spread=2"), 400),
        (bad("first=0", "first=1"), 400),
        (bad("first=0", "first=0,first=0"), 400),
        (bad("Idempotency-Key: k\r\n", ""), 400),
        (bad("POST", "GET"), 400),
        (bad("/sign-off", "/other"), 404),
        (
            bad(
                "Content-Length: 5",
                "Content-Length: 5\r\nContent-Length: 6",
            ),
            400,
        ),
        (bad("Content-Length: 5", "Content-Length: 60000000"), 413),
        (bad("Host", &long), 431),
    ] {
        assert_eq!(
            send_request(limiter.platform_address, &text).status,
            status,
            "{text:.300}"
        );
    }
    assert_eq!(server.request_count(), 0);
    assert_eq!(send_request(limiter.platform_address, &good).status, 200);
}

#[test]
fn the_leg_of_a_client_that_left_is_closed() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let (server, limiter) = start(1, move |_, _| {
        reached.send(()).unwrap();
        Reply::Delay(held.take().unwrap(), Box::new(ok(&"x".repeat(60_000))))
    });
    let mut client = Client::connect(limiter.platform_address);
    client.send(&keyed_request("k"));
    arrived.recv().unwrap();
    drop(client);
    // An answered request after it: by then the limiter has seen the end of the first.
    assert_eq!(
        send_request(
            limiter.platform_address,
            "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        .status,
        200
    );
    release.send(()).unwrap();
    server
        .connection_closed
        .recv_timeout(std::time::Duration::from_secs(5))
        .expect("its connection is closed");
    assert_eq!(server.request_count(), 1);
}

#[test]
fn up_is_told_only_where_serving_is_possible() {
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let limiter = Limiter::start(&config(&[], start_counter().address), None);
    assert_eq!(send_request(limiter.platform_address, up).status, 503);
    let limiter = Limiter::start(
        &config(&[unreachable_address()], start_counter().address),
        None,
    );
    assert_eq!(send_request(limiter.platform_address, up).status, 200);
}

#[test]
fn told_to_end_it_takes_connections_through_the_notice_and_finishes_what_it_took() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let (_server, limiter) = start(1, move |_, _| {
        reached.send(()).unwrap();
        match held.take() {
            Some(held) => Reply::Delay(held, Box::new(ok("late"))),
            None => ok("during the notice"),
        }
    });
    let mut first = Client::connect(limiter.platform_address);
    first.send(&keyed_request("k0"));
    arrived.recv().unwrap();
    limiter.stop();
    let mut second = Client::connect(limiter.platform_address);
    assert_eq!(
        second.send_request(&keyed_request("k1")).body,
        b"during the notice"
    );
    limiter.advance_clock_us(600_000);
    assert!(second.read_response().is_none(), "closed between requests");
    release.send(()).unwrap();
    let last = first.read_response().expect("what was taken is finished");
    assert!(last.body == b"late" && !last.keep_alive);
    limiter.join();
}

#[test]
fn a_silent_counter_lets_requests_pass_after_its_wait() {
    let (server, counter) = (
        MockServer::start(|_, _| ok("done")),
        // Keeps every call waiting.
        MockServer::start(|_, _| {
            let (word, held) = mpsc::channel();
            std::mem::forget(word);
            Reply::Delay(held, Box::new(Reply::Close))
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
fn a_connection_on_which_more_came_than_was_asked_is_closed() {
    let (server, limiter) = start(1, |_, n| {
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
        .expect("its connection is closed");
    assert_eq!(client.send_request(&keyed_request("k1")).body, b"second");
}

#[test]
fn calls_do_not_wait_behind_those_that_a_dead_counter_left_unanswered() {
    let server = MockServer::start(|_, _| ok("done"));
    let (reached, arrived) = mpsc::channel();
    // The first call is never answered, and so is nothing behind it on its connection.
    let counter = MockServer::start(move |_, n| {
        if n > 0 {
            return ok("2");
        }
        let (word, held) = mpsc::channel();
        std::mem::forget(word);
        reached.send(()).unwrap();
        Reply::Delay(held, Box::new(Reply::Close))
    });
    let limiter = Limiter::start(&config(&[server.address], counter.address), None);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&keyed_request("k0"));
    arrived.recv().unwrap();
    limiter.advance_clock_us(120_000);
    assert_eq!(
        client.read_response().unwrap().status,
        200,
        "passes without an answer of the counter"
    );
    limiter.advance_clock_us(500_000);
    assert_eq!(
        client.send_request(&keyed_request("k1")).status,
        200,
        "and the clock stands still for this one"
    );
    assert!(counter.request_count() >= 2);
}

#[test]
fn behind_a_spoilt_answer_of_the_counter_its_connection_is_given_up() {
    let spoilt: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n--3",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        // The number is longer than any, and what follows would be taken for its end.
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
        // A head that does not end.
        b"HTTP/1.1 200 OK\r\nX-Pad: p",
    ];
    for (n, bytes) in spoilt.into_iter().enumerate() {
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
            // What has begun may still end until the call's time is up. By the answer it has been read.
            counter.response_written.recv().unwrap();
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n");
            limiter.advance_clock_us(120_000);
        }
        assert_eq!(client.read_response().unwrap().status, 200);
        counter
            .connection_closed
            .recv_timeout(std::time::Duration::from_secs(5))
            .expect("its connection is closed");
        assert_eq!(
            client.send_request(&keyed_request("k1")).status,
            200,
            "and the clock stands still for this one"
        );
    }
}

#[test]
fn an_answer_that_does_not_end_has_failed_and_the_request_goes_on() {
    let spoilt: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ];
    for bytes in spoilt {
        let (server, limiter) = start(1, move |_, n| {
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
            .expect("its connection is closed");
    }
}

#[test]
fn an_answer_without_a_length_is_not_passed_on() {
    let part = b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\na part";
    let (server, limiter) = start(1, move |_, n| {
        if n == 0 {
            Reply::RawBytes(part)
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
