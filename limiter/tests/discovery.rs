//! Discovery's watch: its lines, a lost connection, an end of the list.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use common::*;

fn watched(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = vec![0; 1024];
    let length = stream.read(&mut bytes).unwrap();
    let line = String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap().to_string();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    (stream, line)
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
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut client = Client::connect(limiter.platform);
    let heard = (0..100_000).any(|_| client.ask(up).status == status);
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

    let (mut watch, line) = watched(&listener);
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
    let opened = std::thread::spawn(move || (watched(&listener), listener));
    while !opened.is_finished() {
        limiter.pass(100_000);
        std::thread::yield_now();
    }
    let ((mut watch, line), listener) = opened.join().unwrap();
    assert_eq!(line, "GET /discovery/hosts?watch=1&from=3 HTTP/1.1");
    tell(&mut watch, &change(4, "Ready"));
    up_becomes(&limiter, 200);

    // A silent one is given up, though its connection stands.
    let opened = std::thread::spawn(move || watched(&listener));
    while !opened.is_finished() {
        limiter.pass(1_000_000);
        std::thread::yield_now();
    }
    assert!(opened.join().unwrap().1.contains("from=4"));
}
