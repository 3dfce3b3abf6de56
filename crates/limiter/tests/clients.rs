//! Clients that misbehave, against stand-ins: each is answered or closed in time, and the others are served.

mod common;

use std::io::Write;
use std::sync::mpsc;
use std::time::Instant;

use common::*;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn lookup(id: &str) -> String {
    format!(
        "GET /lookup?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\n\
         X-Qos: lookup\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

fn start() -> (StandIn, Limiter) {
    let server = StandIn::start(|_, _| ok("served"));
    let limiter = Limiter::start(&config(&[server.address], counter().address), None);
    (server, limiter)
}

/// A limiter with room for eight clients.
fn small() -> Limiter {
    let text = config(&[nobody()], counter().address);
    Limiter::start(
        &text.replacen('{', "{\"limits\":{\"sockets\":50},", 1),
        None,
    )
}

#[test]
fn silence_and_half_a_request_end_in_time_and_an_idle_client_is_kept_longer() {
    let (server, limiter) = start();
    let mut silent = Client::connect(limiter.platform);
    let mut half = Client::connect(limiter.platform);
    half.send(&lookup("t-half")[..90]);
    let mut idle = Client::connect(limiter.platform);
    assert_eq!(idle.ask(&lookup("t-1")).status, 200);
    let mut other = Client::connect(limiter.platform);
    // Every connection was taken before this one, and what it sent is read before this answer is given.
    assert_eq!(other.ask(UP).status, 200);
    limiter.pass(2_400_000);
    assert!(silent.answer().is_none(), "closed");
    let told = half.answer().expect("an error");
    assert!(told.status == 408 && !told.keep_alive);
    assert!(half.answer().is_none(), "and closed");
    assert_eq!(idle.ask(&lookup("t-2")).status, 200);
    // By this answer the limiter has noted the end of the one before.
    assert_eq!(ask(limiter.platform, UP).status, 200);
    limiter.pass(6_100_000);
    assert!(idle.answer().is_none(), "closed between requests");
    assert_eq!(server.count(), 2);
}

#[test]
fn where_room_is_wanted_the_longest_idle_goes_and_never_one_whose_first_request_may_come() {
    let limiter = small();
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(limiter.platform)).collect();
    assert!(
        clients
            .iter_mut()
            .all(|client| client.ask(UP).status == 200)
    );
    let mut fresh: Vec<Client> = (0..3).map(|_| Client::connect(limiter.platform)).collect();
    // One too many is taken: the one that was answered first goes, and the new ones may still ask.
    assert!(clients.remove(0).answer().is_none());
    assert!(
        fresh
            .iter_mut()
            .chain(&mut clients)
            .all(|client| client.ask(UP).status == 200)
    );
}

#[test]
fn where_room_is_scarce_an_answer_says_that_it_is_the_last_of_its_connection() {
    let limiter = small();
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(limiter.platform)).collect();
    // By this answer the others, which came before, have been taken.
    let mut seventh = Client::connect(limiter.platform);
    assert!(!seventh.ask(UP).keep_alive);
    assert!(seventh.answer().is_none(), "and closed");
    assert!(clients.iter_mut().all(|client| client.ask(UP).keep_alive));
}

#[test]
fn connections_that_say_nothing_do_not_keep_others_out() {
    let limiter = small();
    let silent: Vec<Client> = (0..30).map(|_| Client::connect(limiter.platform)).collect();
    let mut client = Client::connect(limiter.platform);
    client.send(UP);
    // They go, as many as are in the way, as soon as their first requests are no longer likely to be coming. The
    // clock goes on until then, however seldom the limiter gets to run.
    client.stream.set_nonblocking(true).unwrap();
    let patience = Instant::now() + HANG;
    while client.stream.peek(&mut [0]).is_err() {
        assert!(Instant::now() < patience, "no answer");
        limiter.pass(1_000);
        std::thread::yield_now();
    }
    client.stream.set_nonblocking(false).unwrap();
    assert_eq!(client.answer().expect("an answer").status, 200);
    drop(silent);
}

#[test]
fn thousands_of_requests_at_once_are_answered_one_by_one() {
    let (server, limiter) = start();
    let mut client = Client::connect(limiter.platform);
    let (bad, count) = ("GET /nothing HTTP/1.1\r\n\r\n", 20_000);
    let mut writer = client.stream.try_clone().unwrap();
    let writing =
        std::thread::spawn(move || writer.write_all(bad.repeat(count).as_bytes()).is_ok());
    for _ in 0..count {
        assert_eq!(client.answer().expect("an answer to each").status, 404);
    }
    assert!(writing.join().unwrap());
    assert_eq!(client.ask(&lookup("t")).status, 200);
    assert_eq!(server.count(), 1);
}

#[test]
fn the_error_is_read_by_a_client_that_is_still_sending() {
    let (server, limiter) = start();
    for _ in 0..20 {
        let mut client = Client::connect(limiter.platform);
        let head = lookup("t").replace("Host", "Content-Length: 60000000\r\nHost");
        client.send(&head);
        // Less than is thrown away: a close with this unread would reset the connection.
        client.send(&"x".repeat(100_000));
        assert_eq!(client.answer().expect("an error").status, 413);
        assert!(client.answer().is_none());
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_a_second_time() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let server = StandIn::start(move |_, _| {
        reached.send(()).unwrap();
        held.take().map_or_else(
            || ok("again"),
            |word| Reply::Held(word, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], counter().address), None);
    let mut first = Client::connect(limiter.platform);
    first.send(&lookup("same"));
    arrived.recv().unwrap();
    assert_eq!(ask(limiter.platform, &lookup("same")).status, 409);
    assert_eq!(server.count(), 1, "it has reached no server");
    release.send(()).unwrap();
    assert_eq!(first.answer().unwrap().body, b"first");
    assert_eq!(
        ask(limiter.platform, &lookup("same")).body,
        b"again",
        "the id is free again"
    );
}

#[test]
fn what_a_client_sends_while_its_request_is_out_waits_and_its_leaving_is_seen() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let server = StandIn::start(move |_, _| {
        reached.send(()).unwrap();
        held.take().map_or_else(
            || ok("next"),
            |word| Reply::Held(word, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], counter().address), None);
    let mut client = Client::connect(limiter.platform);
    client.send(&lookup("t-0"));
    arrived.recv().unwrap();
    // More than is taken in while the first one is out.
    let count = 40;
    (1..=count).for_each(|n| client.send(&lookup(&format!("t-{n}"))));
    assert_eq!(ask(limiter.platform, UP).status, 200);
    assert_eq!(server.count(), 1);
    release.send(()).unwrap();
    assert_eq!(client.answer().unwrap().body, b"first");
    for _ in 0..count {
        arrived.recv().unwrap();
        assert_eq!(client.answer().unwrap().body, b"next");
    }
}
