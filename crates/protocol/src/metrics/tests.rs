use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::*;

#[test]
fn endpoint_serves_the_report_and_closes_the_connection() {
    let mut connections = Connections::new(&[]).unwrap();
    let mut endpoint = MetricsEndpoint::default();
    let address = endpoint
        .listen(&mut connections, Ipv4Addr::LOCALHOST, 0)
        .unwrap();
    let client = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\n").unwrap();
        stream.write_all(b"Host: x\r\n\r\n").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    });
    let (started_at, mut events) = (Instant::now(), Vec::new());
    while !client.is_finished() && started_at.elapsed() < Duration::from_secs(10) {
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
    let response = client.join().unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("\nlinks_lost_total 3\n"), "{response}");
    assert!(
        response.ends_with("\ninvariant_order_violations_total 0\n"),
        "{response}"
    );
}
