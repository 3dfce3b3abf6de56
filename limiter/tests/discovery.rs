//! Discovery's watch: its lines, a lost connection, an end of the list.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn watched(mut stream: TcpStream) -> (TcpStream, String) {
    stream.set_nonblocking(false).unwrap();
    let mut bytes = vec![0; 1024];
    let length = stream.read(&mut bytes).unwrap();
    let line = String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap().to_string();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    (stream, line)
}

/// Lets time pass step by step until a watch is opened. An answer after each step shows that the step was taken in,
/// so that no more time passes than it needs.
fn next_watch(listener: &TcpListener, limiter: &Limiter, step: i64) -> (TcpStream, String) {
    listener.set_nonblocking(true).unwrap();
    for _ in 0..1_000 {
        limiter.pass(step);
        ask(limiter.platform, UP);
        if let Ok((stream, _)) = listener.accept() {
            return watched(stream);
        }
    }
    panic!("no watch was opened");
}

/// Writes a line in two chunks: a line is not a chunk.
fn tell(stream: &mut TcpStream, line: &str) {
    let (a, b) = line.split_at(line.len() / 2);
    for part in [a, b] {
        stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()).unwrap();
    }
}

/// Asks until the limiter has heard: what was written before is read in its next turns.
fn up_becomes(limiter: &Limiter, status: u16) {
    let mut client = Client::connect(limiter.platform);
    let heard = (0..100_000).any(|_| client.ask(UP).status == status);
    assert!(heard, "{status} is told in the end");
}

#[test]
fn the_watch_is_read_and_opened_anew_from_where_it_was() {
    let server = StandIn::start(|_, _| ok("served"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = format!("\"discovery\":\"{}\"", listener.local_addr().unwrap());
    let text = config(&[], counter().address);
    let from = text.find("\"discovery\"").unwrap();
    let to = from + text[from..].find(',').unwrap();
    let limiter = Limiter::start(&format!("{}{discovery}{}", &text[..from], &text[to..]), None);

    let (mut watch, line) = watched(listener.accept().unwrap().0);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=1 HTTP/1.1");
    up_becomes(&limiter, 503);
    let entry = |status: &str| {
        format!("{{\"name\":\"s\",\"address\":\"{}\",\"status\":\"{status}\",\"group\":1}}", server.address)
    };
    let change = |index: u32, status: &str| {
        format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}\n", entry(status))
    };
    tell(&mut watch, "\n\n");
    tell(&mut watch, &change(2, "Ready"));
    up_becomes(&limiter, 200);
    tell(&mut watch, &change(3, "Terminating"));
    up_becomes(&limiter, 503);

    drop(watch);
    // The loss is noticed, then the wait before a new watch passes.
    let (mut watch, line) = next_watch(&listener, &limiter, 100_000);
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=3 HTTP/1.1");
    tell(&mut watch, &change(4, "Ready"));
    up_becomes(&limiter, 200);

    // A silent one is given up, though its connection stands.
    let (_watch, line) = next_watch(&listener, &limiter, 1_000_000);
    assert!(line.contains("from=4"));
}
