//! Clients that misbehave, against stand-ins: each is answered or closed in time, and the others are served.

mod common;

use std::io::Write;
use std::sync::mpsc;
use std::time::Instant;

use common::*;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn idempotent_request(id: &str) -> String {
    format!(
        "GET /lookup?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\n\
         X-Qos: lookup\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

fn start() -> (MockServer, Limiter) {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    (server, limiter)
}

/// A limiter with room for eight clients.
fn small() -> Limiter {
    let text = config(&[unreachable_address()], start_counter().address);
    Limiter::start(
        &text.replacen('{', "{\"limits\":{\"sockets\":50},", 1),
        None,
    )
}

#[test]
fn silence_and_half_a_request_end_in_time_and_an_idle_client_is_kept_longer() {
    let (server, limiter) = start();
    let mut silent = Client::connect(limiter.platform_address);
    let mut half = Client::connect(limiter.platform_address);
    half.send(&idempotent_request("t-half")[..90]);
    let mut idle = Client::connect(limiter.platform_address);
    assert_eq!(idle.send_request(&idempotent_request("t-1")).status, 200);
    let mut other = Client::connect(limiter.platform_address);
    // Every connection was taken before this one, and what it sent is read before this answer is given.
    assert_eq!(other.send_request(UP).status, 200);
    limiter.advance_clock_us(2_400_000);
    assert!(silent.read_response().is_none(), "closed");
    let told = half.read_response().expect("an error");
    assert!(told.status == 408 && !told.keep_alive);
    assert!(half.read_response().is_none(), "and closed");
    assert_eq!(idle.send_request(&idempotent_request("t-2")).status, 200);
    // By this answer the limiter has noted the end of the one before.
    assert_eq!(send_request(limiter.platform_address, UP).status, 200);
    limiter.advance_clock_us(6_100_000);
    assert!(idle.read_response().is_none(), "closed between requests");
    assert_eq!(server.request_count(), 2);
}

#[test]
fn where_room_is_wanted_the_longest_idle_goes_and_never_one_whose_first_request_may_come() {
    let limiter = small();
    let mut clients: Vec<Client> = (0..6)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    assert!(
        clients
            .iter_mut()
            .all(|client| client.send_request(UP).status == 200)
    );
    let mut fresh: Vec<Client> = (0..3)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    // One too many is taken: the one that was answered first goes, and the new ones may still ask.
    assert!(clients.remove(0).read_response().is_none());
    assert!(
        fresh
            .iter_mut()
            .chain(&mut clients)
            .all(|client| client.send_request(UP).status == 200)
    );
}

#[test]
fn where_room_is_scarce_an_answer_says_that_it_is_the_last_of_its_connection() {
    let limiter = small();
    let mut clients: Vec<Client> = (0..6)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    // By this answer the others, which came before, have been taken.
    let mut seventh = Client::connect(limiter.platform_address);
    assert!(!seventh.send_request(UP).keep_alive);
    assert!(seventh.read_response().is_none(), "and closed");
    assert!(
        clients
            .iter_mut()
            .all(|client| client.send_request(UP).keep_alive)
    );
}

#[test]
fn connections_that_say_nothing_do_not_keep_others_out() {
    let limiter = small();
    let silent: Vec<Client> = (0..30)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    let mut client = Client::connect(limiter.platform_address);
    client.send(UP);
    // They go, as many as are in the way, as soon as their first requests are no longer likely to be coming. The
    // clock goes on until then, however seldom the limiter gets to run.
    client.stream.set_nonblocking(true).unwrap();
    let patience = Instant::now() + TEST_TIMEOUT;
    while client.stream.peek(&mut [0]).is_err() {
        assert!(Instant::now() < patience, "no answer");
        limiter.advance_clock_us(1_000);
        std::thread::yield_now();
    }
    client.stream.set_nonblocking(false).unwrap();
    assert_eq!(client.read_response().expect("an answer").status, 200);
    drop(silent);
}

#[test]
fn thousands_of_requests_at_once_are_answered_one_by_one() {
    let (server, limiter) = start();
    let mut client = Client::connect(limiter.platform_address);
    let (bad, count) = ("GET /nothing HTTP/1.1\r\n\r\n", 20_000);
    let mut writer = client.stream.try_clone().unwrap();
    let writing =
        std::thread::spawn(move || writer.write_all(bad.repeat(count).as_bytes()).is_ok());
    for _ in 0..count {
        assert_eq!(
            client.read_response().expect("an answer to each").status,
            404
        );
    }
    assert!(writing.join().unwrap());
    assert_eq!(client.send_request(&idempotent_request("t")).status, 200);
    assert_eq!(server.request_count(), 1);
}

#[test]
fn the_error_is_read_by_a_client_that_is_still_sending() {
    let (server, limiter) = start();
    for _ in 0..20 {
        let mut client = Client::connect(limiter.platform_address);
        let head = idempotent_request("t").replace("Host", "Content-Length: 60000000\r\nHost");
        client.send(&head);
        // Less than is thrown away: a close with this unread would reset the connection.
        client.send(&"x".repeat(100_000));
        assert_eq!(client.read_response().expect("an error").status, 413);
        assert!(client.read_response().is_none());
    }
    assert_eq!(server.request_count(), 0);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_a_second_time() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let server = MockServer::start(move |_, _| {
        reached.send(()).unwrap();
        held.take().map_or_else(
            || ok("again"),
            |word| Reply::Delay(word, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    let mut first = Client::connect(limiter.platform_address);
    first.send(&idempotent_request("same"));
    arrived.recv().unwrap();
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("same")).status,
        409
    );
    assert_eq!(server.request_count(), 1, "it has reached no server");
    release.send(()).unwrap();
    assert_eq!(first.read_response().unwrap().body, b"first");
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("same")).body,
        b"again",
        "the id is free again"
    );
}

#[test]
fn what_a_client_sends_while_its_request_is_out_waits_and_its_leaving_is_seen() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let server = MockServer::start(move |_, _| {
        reached.send(()).unwrap();
        held.take().map_or_else(
            || ok("next"),
            |word| Reply::Delay(word, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&idempotent_request("t-0"));
    arrived.recv().unwrap();
    // More than is taken in while the first one is out.
    let count = 40;
    (1..=count).for_each(|n| client.send(&idempotent_request(&format!("t-{n}"))));
    assert_eq!(send_request(limiter.platform_address, UP).status, 200);
    assert_eq!(server.request_count(), 1);
    release.send(()).unwrap();
    assert_eq!(client.read_response().unwrap().body, b"first");
    for _ in 0..count {
        arrived.recv().unwrap();
        assert_eq!(client.read_response().unwrap().body, b"next");
    }
}
