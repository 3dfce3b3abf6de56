//! Discovery's watch: its lines, a lost connection, an end of the list.

mod common;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;

use common::*;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Lets time pass step by step until a watch is opened. An answer after each step shows that the step was taken in,
/// so that no more time passes than it needs.
fn next_watch(listener: &TcpListener, limiter: &Limiter, step: i64) -> (TcpStream, String) {
    listener.set_nonblocking(true).unwrap();
    for _ in 0..1_000 {
        limiter.advance_clock_us(step);
        send_request(limiter.platform_address, UP);
        if let Ok((stream, _)) = listener.accept() {
            return accept_watch(stream);
        }
    }
    panic!("no watch was opened");
}

/// Asks until the limiter has heard: what was written before is read in its next turns.
fn up_becomes(limiter: &Limiter, status: u16) {
    let mut client = Client::connect(limiter.platform_address);
    let heard = (0..100_000).any(|_| client.send_request(UP).status == status);
    assert!(heard, "{status} is told in the end");
}

#[test]
fn the_watch_is_read_and_opened_anew_from_where_it_was() {
    let server = MockServer::start(|_, _| ok("served"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = listener.local_addr().unwrap();
    let limiter = Limiter::start(
        &config_with_discovery(discovery, &[], start_counter().address),
        None,
    );

    let (mut watch, line) = accept_watch(listener.accept().unwrap().0);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=1 HTTP/1.1");
    up_becomes(&limiter, 503);
    let entry = |status: &str| {
        format!(
            "{{\"name\":\"s\",\"address\":\"{}\",\"status\":\"{status}\",\"group\":1}}",
            server.address
        )
    };
    let change = |index: u32, status: &str| {
        format!(
            "{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}\n",
            entry(status)
        )
    };
    write_chunked_line(&mut watch, "\n\n");
    write_chunked_line(&mut watch, &change(2, "Ready"));
    up_becomes(&limiter, 200);
    write_chunked_line(&mut watch, &change(3, "Terminating"));
    up_becomes(&limiter, 503);

    drop(watch);
    // The loss is noticed, then the wait before a new watch passes.
    let (mut watch, line) = next_watch(&listener, &limiter, 100_000);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=3 HTTP/1.1");
    write_chunked_line(&mut watch, &change(4, "Ready"));
    up_becomes(&limiter, 200);

    // A silent one is given up, though its connection stands.
    let (_watch, line) = next_watch(&listener, &limiter, 1_000_000);
    assert!(line.contains("from=4"));
}

fn lookup_request(account: u32) -> String {
    format!(
        "GET /lookup?account={account:016x} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t-{account}\r\nX-Qos: lookup\r\n\
         X-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

#[test]
fn a_reload_moves_watch_and_counter_and_takes_the_answers_that_are_still_out() {
    let (release, held) = mpsc::channel();
    let (reached, arrived) = mpsc::channel();
    let mut held = Some(held);
    let first = MockServer::start(move |_, _| {
        reached.send(()).unwrap();
        // A total far beyond any allowance: whoever hears it declines.
        let over = || ok("1000000");
        held.take()
            .map_or_else(over, |word| Reply::Delay(word, Box::new(over())))
    });
    let (second, server) = (start_counter(), MockServer::start(|_, _| ok("served")));
    let (old, new) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let at = |listener: &TcpListener, counter| {
        config_with_discovery(listener.local_addr().unwrap(), &[server.address], counter)
    };
    let limiter = Limiter::start(&at(&old, first.address), None);
    let (mut former, _) = accept_watch(old.accept().unwrap().0);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&lookup_request(5));
    arrived.recv().unwrap();

    limiter.reload(&at(&new, second.address));
    let (_watch, line) = accept_watch(new.accept().unwrap().0);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=1 HTTP/1.1");
    assert_eq!(
        former.read(&mut [0; 16]).unwrap(),
        0,
        "the former watch is closed"
    );
    release.send(()).unwrap();
    assert_eq!(
        client.read_response().unwrap().status,
        429,
        "the former counter's answer is heard"
    );
    let before = first.request_count();
    assert_eq!(
        client.send_request(&lookup_request(6)).status,
        200,
        "on the connection from before"
    );
    assert!(
        second.request_count() > 0 && first.request_count() == before,
        "later calls go to the new counter"
    );
}
