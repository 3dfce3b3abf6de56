//! The watch of discovery: list changes, a lost or silent connection, and a reload that moves it.

mod common;

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;

use common::*;

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Advances the clock in steps of `step_us` until a watch is opened. A response after each step shows that the limiter
/// has processed the step, so that no more time passes than needed.
fn next_watch(listener: &TcpListener, limiter: &Limiter, step_us: i64) -> (TcpStream, String) {
    listener.set_nonblocking(true).unwrap();
    for _ in 0..1_000 {
        limiter.advance_clock_us(step_us);
        send_request(limiter.platform_address, READINESS_REQUEST);
        if let Ok((stream, _)) = listener.accept() {
            return accept_watch(stream);
        }
    }
    panic!("no watch was opened within 1000 steps");
}

/// Polls readiness until it has this status: the limiter reads what was written before in the next iterations of its
/// event loop.
fn wait_for_readiness_status(limiter: &Limiter, status: u16) {
    let mut client = Client::connect(limiter.platform_address);
    let reached_status =
        (0..100_000).any(|_| client.send_request(READINESS_REQUEST).status == status);
    assert!(reached_status, "readiness did not reach status {status}");
}

#[test]
fn lost_or_silent_watch_is_reopened_from_the_last_index() {
    let server = MockServer::start(|_, _| ok("served"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = listener.local_addr().unwrap();
    let limiter = Limiter::start(
        &config_with_discovery(discovery, &[], start_counter().address),
        None,
    );

    let (mut watch, line) = accept_watch(listener.accept().unwrap().0);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=1 HTTP/1.1");
    wait_for_readiness_status(&limiter, 503);
    let entry = |status: &str| {
        format!(
            "{{\"name\":\"s\",\"address\":\"{}\",\"status\":\"{status}\",\"group\":1}}",
            server.address
        )
    };
    let list_change = |index: u32, status: &str| {
        format!(
            "{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}\n",
            entry(status)
        )
    };
    write_chunked_line(&mut watch, "\n\n");
    write_chunked_line(&mut watch, &list_change(2, "Ready"));
    wait_for_readiness_status(&limiter, 200);
    write_chunked_line(&mut watch, &list_change(3, "Terminating"));
    wait_for_readiness_status(&limiter, 503);

    drop(watch);
    // The limiter notices the loss and waits for its backoff before it opens a new watch.
    let (mut watch, line) = next_watch(&listener, &limiter, 100_000);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=3 HTTP/1.1");
    write_chunked_line(&mut watch, &list_change(4, "Ready"));
    wait_for_readiness_status(&limiter, 200);

    // A silent watch is abandoned although its connection is open.
    let (_watch, line) = next_watch(&listener, &limiter, 1_000_000);
    assert!(line.contains("from=4"));
}

fn idempotent_request_of(account: u32) -> String {
    format!(
        "GET /lookup?account={account:016x} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t-{account}\r\nX-Qos: lookup\r\n\
         X-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

#[test]
fn reload_switches_discovery_and_counter_and_completes_calls_in_flight() {
    let (release_sender, release_receiver) = mpsc::channel();
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let first_counter = MockServer::start(move |_, _| {
        arrival_sender.send(()).unwrap();
        // A total far beyond any quota, so that the limiter rejects the request if it processes this response.
        let total_over_quota = || ok("1000000");
        release_receiver
            .take()
            .map_or_else(total_over_quota, |release_receiver| {
                Reply::Delay(release_receiver, Box::new(total_over_quota()))
            })
    });
    let (second_counter, server) = (start_counter(), MockServer::start(|_, _| ok("served")));
    let (old_discovery, new_discovery) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let config_for = |listener: &TcpListener, counter| {
        config_with_discovery(listener.local_addr().unwrap(), &[server.address], counter)
    };
    let limiter = Limiter::start(&config_for(&old_discovery, first_counter.address), None);
    let (mut old_watch, _) = accept_watch(old_discovery.accept().unwrap().0);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&idempotent_request_of(5));
    arrival_receiver.recv().unwrap();

    limiter.reload(&config_for(&new_discovery, second_counter.address));
    let (_watch, line) = accept_watch(new_discovery.accept().unwrap().0);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=1 HTTP/1.1");
    assert_eq!(
        old_watch.read(&mut [0; 16]).unwrap(),
        0,
        "the previous watch is closed"
    );
    release_sender.send(()).unwrap();
    assert_eq!(
        client.read_response().unwrap().status,
        429,
        "the response of the previous counter is processed"
    );
    let calls_before = first_counter.request_count();
    assert_eq!(
        client.send_request(&idempotent_request_of(6)).status,
        200,
        "the client's connection stays open over the reload"
    );
    assert!(
        second_counter.request_count() > 0 && first_counter.request_count() == calls_before,
        "later calls go to the new counter"
    );
}
