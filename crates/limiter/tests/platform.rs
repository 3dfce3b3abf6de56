//! The platform's front against stand-ins: each outcome, bad input, a client that leaves, the end.

mod common;

use std::io::Write;
use std::sync::mpsc;

use common::*;

/// A limiter before one server of `names` names: the module suspects a silent one only where there is another.
fn start(
    names: usize,
    reply: impl FnMut(&limiter::net::framing::Request, usize) -> Reply + Send + 'static,
) -> (StandIn, Limiter) {
    let server = StandIn::start(reply);
    let limiter = Limiter::start(
        &config(&vec![server.address; names], counter().address),
        None,
    );
    (server, limiter)
}

#[test]
fn an_answer_comes_through_unchanged_and_the_request_goes_on_whole() {
    let (server, limiter) = start(1, |_, _| ok("\u{0}body\r\n"));
    let mut client = Client::connect(limiter.platform);
    for n in 0..3 {
        let answer = client.ask(&sign_off(&format!("k{n}")));
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, b"\0body\r\n".as_slice())
        );
    }
    let seen = server.seen.lock().unwrap();
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
    let mut client = Client::connect(limiter.platform);
    client.stream.set_nodelay(true).unwrap();
    for byte in sign_off("k").bytes() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!(client.answer().unwrap().status, 200);
    assert_eq!(server.count(), 1);
}

#[test]
fn each_end_of_a_leg_leads_where_the_rules_allow() {
    // What the server does at first, for a lookup and a sign-off: statuses, and how often it was sent.
    let never_ran = |status| Reply::Answer(status, vec![("X-Never-Ran", "1")], String::new());
    type Case = (&'static str, fn() -> Reply);
    let cases: [Case; 3] = [
        ("error", || Reply::Answer(500, vec![], String::new())),
        ("reset", || Reply::Drop),
        ("other", || Reply::Answer(503, vec![], String::new())),
    ];
    for (name, reply) in cases {
        for text in [lookup("t"), sign_off("k")] {
            let (server, limiter) = start(1, move |_, n| if n == 0 { reply() } else { ok("done") });
            assert_eq!(ask(limiter.platform, &text).status, 200, "{name}");
            assert_eq!(
                server.count(),
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
        assert_eq!(ask(limiter.platform, &sign_off("k")).status, 200);
        assert_eq!(server.count(), 2);
    }
    // A sign-off that may have run each time is not declined: that would promise that a retry is harmless.
    let (_, limiter) = start(1, |_, _| Reply::Answer(500, vec![], String::new()));
    assert_eq!(ask(limiter.platform, &sign_off("k")).status, 504);
    assert_eq!(ask(limiter.platform, &lookup("t")).status, 503);
    // Nobody listens: nothing ran, so even a sign-off is declined.
    let limiter = Limiter::start(&config(&[nobody()], counter().address), None);
    let answer = ask(limiter.platform, &sign_off("k"));
    assert!(answer.status == 503 && answer.headers.contains("Retry-After"));
}

#[test]
fn a_server_that_never_answers_costs_the_request_its_time_and_no_more() {
    for (text, status) in [(lookup("t"), 503), (sign_off("k"), 504)] {
        let (_release, held) = mpsc::channel();
        let (reached, arrived) = mpsc::channel();
        let mut held = Some(held);
        let (server, limiter) = start(1, move |_, _| {
            reached.send(()).unwrap();
            Reply::Held(held.take().unwrap(), Box::new(Reply::Drop))
        });
        let mut client = Client::connect(limiter.platform);
        client.send(&text);
        arrived.recv().unwrap();
        limiter.pass(2_500_000);
        assert_eq!(client.answer().unwrap().status, status);
        assert_eq!(server.count(), 1);
    }
}

#[test]
fn bad_input_is_answered_at_once_and_reaches_no_server() {
    let (server, limiter) = start(1, |_, _| ok("done"));
    let good = sign_off("k");
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
        assert_eq!(ask(limiter.platform, &text).status, status, "{text:.300}");
    }
    assert_eq!(server.count(), 0);
    assert_eq!(ask(limiter.platform, &good).status, 200);
}

#[test]
fn the_leg_of_a_client_that_left_is_closed() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let (server, limiter) = start(1, move |_, _| {
        reached.send(()).unwrap();
        Reply::Held(held.take().unwrap(), Box::new(ok(&"x".repeat(60_000))))
    });
    let mut client = Client::connect(limiter.platform);
    client.send(&sign_off("k"));
    arrived.recv().unwrap();
    drop(client);
    // An answered request after it: by then the limiter has seen the end of the first.
    assert_eq!(
        ask(limiter.platform, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status,
        200
    );
    release.send(()).unwrap();
    server
        .closed
        .recv_timeout(std::time::Duration::from_secs(5))
        .expect("its connection is closed");
    assert_eq!(server.count(), 1);
}

#[test]
fn up_is_told_only_where_serving_is_possible() {
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let limiter = Limiter::start(&config(&[], counter().address), None);
    assert_eq!(ask(limiter.platform, up).status, 503);
    let limiter = Limiter::start(&config(&[nobody()], counter().address), None);
    assert_eq!(ask(limiter.platform, up).status, 200);
}

#[test]
fn told_to_end_it_takes_connections_through_the_notice_and_finishes_what_it_took() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let (_server, limiter) = start(1, move |_, _| {
        reached.send(()).unwrap();
        match held.take() {
            Some(held) => Reply::Held(held, Box::new(ok("late"))),
            None => ok("during the notice"),
        }
    });
    let mut first = Client::connect(limiter.platform);
    first.send(&sign_off("k0"));
    arrived.recv().unwrap();
    limiter.stop();
    let mut second = Client::connect(limiter.platform);
    assert_eq!(second.ask(&sign_off("k1")).body, b"during the notice");
    limiter.pass(600_000);
    assert!(second.answer().is_none(), "closed between requests");
    release.send(()).unwrap();
    let last = first.answer().expect("what was taken is finished");
    assert!(last.body == b"late" && !last.keep_alive);
    limiter.join();
}

#[test]
fn a_silent_counter_lets_requests_pass_after_its_wait() {
    let (server, counter) = (
        StandIn::start(|_, _| ok("done")),
        // Keeps every call waiting.
        StandIn::start(|_, _| {
            let (word, held) = mpsc::channel();
            std::mem::forget(word);
            Reply::Held(held, Box::new(Reply::Drop))
        }),
    );
    let limiter = Limiter::start(&config(&[server.address], counter.address), None);
    let mut client = Client::connect(limiter.platform);
    client.send(&sign_off("k"));
    while counter.count() == 0 {
        std::thread::yield_now();
    }
    limiter.pass(120_000);
    assert_eq!(client.answer().unwrap().status, 200);
}

#[test]
fn a_connection_on_which_more_came_than_was_asked_is_closed() {
    let (server, limiter) = start(1, |_, n| {
        if n == 0 {
            Reply::Twice("first")
        } else {
            ok("second")
        }
    });
    let mut client = Client::connect(limiter.platform);
    assert_eq!(client.ask(&sign_off("k0")).body, b"first");
    server
        .closed
        .recv_timeout(std::time::Duration::from_secs(5))
        .expect("its connection is closed");
    assert_eq!(client.ask(&sign_off("k1")).body, b"second");
}

#[test]
fn calls_do_not_wait_behind_those_that_a_dead_counter_left_unanswered() {
    let server = StandIn::start(|_, _| ok("done"));
    let (reached, arrived) = mpsc::channel();
    // The first call is never answered, and so is nothing behind it on its connection.
    let counter = StandIn::start(move |_, n| {
        if n > 0 {
            return ok("2");
        }
        let (word, held) = mpsc::channel();
        std::mem::forget(word);
        reached.send(()).unwrap();
        Reply::Held(held, Box::new(Reply::Drop))
    });
    let limiter = Limiter::start(&config(&[server.address], counter.address), None);
    let mut client = Client::connect(limiter.platform);
    client.send(&sign_off("k0"));
    arrived.recv().unwrap();
    limiter.pass(120_000);
    assert_eq!(
        client.answer().unwrap().status,
        200,
        "passes without an answer of the counter"
    );
    limiter.pass(500_000);
    assert_eq!(
        client.ask(&sign_off("k1")).status,
        200,
        "and the clock stands still for this one"
    );
    assert!(counter.count() >= 2);
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
        let server = StandIn::start(|_, _| ok("done"));
        let counter = StandIn::start(move |_, n| if n == 0 { Reply::Raw(bytes) } else { ok("2") });
        let limiter = Limiter::start(&config(&[server.address], counter.address), None);
        let mut client = Client::connect(limiter.platform);
        client.send(&sign_off("k0"));
        if n == 3 {
            // What has begun may still end until the call's time is up. By the answer it has been read.
            counter.written.recv().unwrap();
            ask(limiter.platform, "GET /up HTTP/1.1\r\n\r\n");
            limiter.pass(120_000);
        }
        assert_eq!(client.answer().unwrap().status, 200);
        counter
            .closed
            .recv_timeout(std::time::Duration::from_secs(5))
            .expect("its connection is closed");
        assert_eq!(
            client.ask(&sign_off("k1")).status,
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
                Reply::Raw(bytes)
            } else {
                ok("done")
            }
        });
        let mut client = Client::connect(limiter.platform);
        client.send(&sign_off("k"));
        server.written.recv().unwrap();
        ask(limiter.platform, "GET /up HTTP/1.1\r\n\r\n");
        limiter.pass(300_000);
        assert_eq!(client.answer().unwrap().body, b"done");
        server
            .closed
            .recv_timeout(std::time::Duration::from_secs(5))
            .expect("its connection is closed");
    }
}

#[test]
fn an_answer_without_a_length_is_not_passed_on() {
    let part = b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\na part";
    let (server, limiter) = start(
        1,
        move |_, n| if n == 0 { Reply::Raw(part) } else { ok("done") },
    );
    assert_eq!(ask(limiter.platform, &lookup("t")).body, b"done");
    assert_eq!(server.count(), 2);
}
