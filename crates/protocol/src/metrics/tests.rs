use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::*;

#[test]
fn report_is_answered_and_the_connection_closed() {
    let mut connections = Connections::new(&[]).unwrap();
    let mut endpoint = MetricsEndpoint::default();
    let address = endpoint
        .listen(&mut connections, Ipv4Addr::LOCALHOST, 0)
        .unwrap();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\n").unwrap();
        stream.write_all(b"Host: x\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    });
    let (began, mut events) = (Instant::now(), Vec::new());
    while !caller.is_finished() && began.elapsed() < Duration::from_secs(10) {
        connections.wait(Some(10_000), || 0, &mut events).unwrap();
        for event in events.drain(..) {
            assert!(endpoint.owns(&event));
            endpoint.handle_event(&mut connections, event, || {
                let mut text = MetricsText::default();
                text.add_counter("links_lost_total", "links lost", 3);
                text.add_invariant(&Invariant::new("order"));
                text
            });
        }
        connections.flush_all(&mut events);
    }
    let answer = caller.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\nlinks_lost_total 3\n"), "{answer}");
    assert!(
        answer.ends_with("\ninvariant_order_violations_total 0\n"),
        "{answer}"
    );
}
