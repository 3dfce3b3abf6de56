//! Long and slow messages: answers that are relayed, bodies that come slowly, and what a client can tell of a cut.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use common::*;

/// A server that does this with each connection, once a request has come on it.
fn raw_server(
    serve: impl Fn(&mut TcpStream, Vec<u8>) + Send + Sync + Clone + 'static,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, serve) = (stream.unwrap(), serve.clone());
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                let length = stream.read(&mut bytes).unwrap_or(0);
                if length > 0 {
                    serve(&mut stream, bytes[..length].to_vec());
                }
            });
        }
    });
    address
}

/// Reads on. Ends the server's thread with the connection.
fn more(stream: &mut TcpStream, part: &mut [u8], bytes: &mut Vec<u8>) {
    let length = stream.read(part).expect("the connection holds");
    assert!(length > 0, "the connection holds");
    bytes.extend_from_slice(&part[..length]);
}

fn before(server: std::net::SocketAddr) -> Limiter {
    Limiter::start(&config(&[server], start_counter().address), None)
}

/// Bytes by which a shift or a gap shows.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 / 7) as u8).collect()
}

const SAME: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const OTHER: &[u8] = b"HTTP/1.1 500 Other\r\nContent-Length: 0\r\n\r\n";

/// Limits for the ends of a transfer, which hold messages whole.
fn large() -> limiter::limits::Limits {
    limiter::limits::Limits {
        max_buffered_body_bytes: 64 << 20,
        ..Default::default()
    }
}

/// Reads a whole answer of any length: what the limits of the others are for does not hold here.
fn long_answer(stream: &mut TcpStream) -> Option<limiter::net::framing::Response> {
    let limits = large();
    let mut bytes = Vec::new();
    let mut part = vec![0; 1 << 20];
    loop {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
        // Parsed where it may be whole only: the tail tells, for a length as for chunks.
        if let Some((answer, _)) =
            limiter::net::framing::parse_response(&bytes, false, &limits).unwrap()
        {
            return Some(answer);
        }
    }
}

fn asks(limiter: &Limiter, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(limiter.platform_address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

#[test]
fn long_answers_of_every_framing_come_through_unchanged() {
    for framing in ["length", "chunks", "close"] {
        let body = pattern(300_000);
        let sent = body.clone();
        let server = raw_server(move |stream, _| {
            let mut out =
                b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n".to_vec();
            match framing {
                "length" => out.extend(format!("content-length:  {} \r\n\r\n", sent.len()).bytes()),
                "chunks" => out.extend(b"Transfer-Encoding: Chunked\r\n\r\n"),
                _ => out.extend(b"Connection: x, close\r\n\r\n"),
            }
            for part in sent.chunks(7_001) {
                if framing == "chunks" {
                    out.extend(format!("{:X};n=\"v\"\r\n", part.len()).bytes());
                }
                out.extend_from_slice(part);
                out.extend_from_slice(if framing == "chunks" { b"\r\n" } else { b"" });
            }
            out.extend_from_slice(if framing == "chunks" {
                b"0\r\nTrailer: t\r\n\r\n"
            } else {
                b""
            });
            // Small pieces first, so that heads and chunks are cut anywhere.
            out[..400]
                .iter()
                .for_each(|byte| stream.write_all(&[*byte]).unwrap());
            stream.write_all(&out[400..]).unwrap();
            let _ = stream.shutdown(Shutdown::Write);
        });
        let limiter = before(server);
        let mut stream = asks(&limiter, &idempotent_request("t"));
        let answer = long_answer(&mut stream).expect("whole");
        assert!(
            answer.status == 200 && answer.body == body && answer.keep_alive,
            "{framing}"
        );
        // The connection is free for the next request.
        stream
            .write_all(idempotent_request("u").as_bytes())
            .unwrap();
        assert_eq!(
            long_answer(&mut stream).expect("whole").body,
            body,
            "{framing}"
        );
    }
}

#[test]
fn a_short_answer_that_ends_with_its_connection_is_whole_and_one_that_is_reset_is_not() {
    let server = raw_server(|stream, _| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
            .unwrap();
    });
    assert_eq!(
        send_request(before(server).platform_address, &idempotent_request("t")).body,
        b"all of it"
    );
    let server = raw_server(|stream, _| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part")
            .unwrap();
        socket2::SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    });
    assert_ne!(
        send_request(before(server).platform_address, &idempotent_request("t")).status,
        200
    );
}

#[test]
fn an_answer_that_breaks_off_or_falls_silent_midway_is_cut_so_that_the_client_can_tell() {
    for silent in [false, true] {
        for head in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
            let (sent, told) = std::sync::mpsc::channel();
            let server = raw_server(move |stream, _| {
                stream
                    .write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes())
                    .unwrap();
                let chunk = if head.starts_with('T') {
                    "186a0\r\n"
                } else {
                    ""
                };
                stream.write_all(chunk.as_bytes()).unwrap();
                stream.write_all(&pattern(100_000)).unwrap();
                let _ = sent.send(());
                if silent {
                    let _ = stream.read(&mut [0; 16]);
                }
            });
            let limiter = before(server);
            let mut stream = asks(&limiter, &idempotent_request("t"));
            told.recv_timeout(TEST_TIMEOUT).unwrap();
            let mut begun = vec![0; 90_000];
            stream
                .read_exact(&mut begun)
                .expect("what the server gave is passed on");
            if silent {
                // All that was sent has been read by then: what is asked now is answered in a later turn.
                assert_eq!(
                    send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
                    200
                );
                limiter.advance_clock_us(8_500_000);
                limiter.advance_clock_us(4_500_000);
            }
            // The connection ends, short of what was promised, or without the last chunk.
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
            assert!(
                rest.len() < 20_000 && !rest.ends_with(b"0\r\n\r\n"),
                "{head}, silent: {silent}"
            );
        }
    }
}

#[test]
fn a_client_that_leaves_midway_ends_the_relay_and_another_is_served() {
    let (sent, gone) = std::sync::mpsc::channel();
    let server = raw_server(move |stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
        while stream.write_all(&[7; 50_000]).is_ok() {}
        let _ = sent.send(());
    });
    let limiter = before(server);
    let mut stream = asks(&limiter, &idempotent_request("t"));
    stream.read_exact(&mut [0; 100_000]).unwrap();
    drop(stream);
    gone.recv_timeout(TEST_TIMEOUT)
        .expect("the server's connection is closed too");
    assert_eq!(
        send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
        200
    );
}

#[test]
fn a_body_that_comes_slowly_is_waited_for_while_it_keeps_a_pace_and_is_told_to_come() {
    let server = MockServer::start(|request, _| ok(&request.body.len().to_string()));
    let limiter = before(server.address);
    let mut client = Client::connect(limiter.platform_address);
    let request = keyed_request("k").replace(
        "Content-Length: 5\r\n\r\nhours",
        "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n",
    );
    client.send(&request[..50]);
    // What is asked afterwards is answered in a later turn: the part has been read.
    let seen = || {
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        )
    };
    seen();
    limiter.advance_clock_us(1_900_000);
    client.send(&request[50..]);
    assert_eq!(
        client.stream.read(&mut [0; 64]).unwrap(),
        25,
        "100 Continue, at once"
    );
    for _ in 0..16 {
        client.send(&"x".repeat(4_096));
        seen();
        limiter.advance_clock_us(64_000);
    }
    assert_eq!(client.read_response().unwrap().body, b"65536");
    // One that falls silent is not waited for.
    let mut client = Client::connect(limiter.platform_address);
    client.send(&request.replace("t-k", "t-l"));
    client.stream.read_exact(&mut [0; 25]).unwrap();
    client.send("half");
    seen();
    limiter.advance_clock_us(2_400_000);
    assert_eq!(client.read_response().unwrap().status, 408);
}

#[test]
fn a_large_body_goes_on_unchanged_whatever_its_framing() {
    let body = pattern(1_000_000);
    let expected = body.clone();
    let server = raw_server(move |stream, mut bytes| {
        let mut part = vec![0; 1 << 16];
        loop {
            if let Some((request, _)) =
                limiter::net::framing::parse_request(&bytes, &large()).unwrap()
            {
                let same = request.body == expected;
                return stream.write_all(if same { SAME } else { OTHER }).unwrap();
            }
            more(stream, &mut part, &mut bytes);
        }
    });
    let limiter = before(server);
    let head = keyed_request("k");
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    let mut plain = asks(
        &limiter,
        &head.replace("Content-Length: 5\r\n\r\nhours", &length),
    );
    plain.write_all(&body).unwrap();
    assert_eq!(long_answer(&mut plain).unwrap().status, 200);
    let chunked = head.replace(
        "Content-Length: 5\r\n\r\nhours",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    let mut stream = asks(&limiter, &chunked.replace("t-k", "t-l"));
    for part in body.chunks(100_000) {
        stream
            .write_all(format!("{:x}\r\n", part.len()).as_bytes())
            .unwrap();
        stream.write_all(part).unwrap();
        stream.write_all(b"\r\n").unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    assert_eq!(long_answer(&mut stream).unwrap().status, 200);
}

/// A request with a body of this many bytes, as the start of it.
fn with_body(key: &str, length: usize) -> String {
    keyed_request(key).replace(
        "Content-Length: 5\r\n\r\nhours",
        &format!("Content-Length: {length}\r\n\r\n"),
    )
}

#[test]
fn a_body_longer_than_what_is_kept_goes_on_while_it_comes() {
    let (head, arrived) = std::sync::mpsc::channel();
    let body = pattern(5_000_000);
    let expected = body.clone();
    let server = raw_server(move |stream, mut bytes| {
        let mut part = vec![0; 1 << 16];
        while bytes.len() < 300_000 {
            more(stream, &mut part, &mut bytes);
        }
        head.send(()).unwrap();
        while bytes.len() < 5_000_000 {
            more(stream, &mut part, &mut bytes);
        }
        while limiter::net::framing::parse_request(&bytes, &large())
            .unwrap()
            .is_none()
        {
            more(stream, &mut part, &mut bytes);
        }
        let (request, _) = limiter::net::framing::parse_request(&bytes, &large())
            .unwrap()
            .unwrap();
        stream
            .write_all(if request.body == expected {
                SAME
            } else {
                OTHER
            })
            .unwrap();
    });
    let limiter = before(server);
    let mut client = asks(&limiter, &with_body("k", body.len()));
    client.write_all(&body[..2_000_000]).unwrap();
    arrived
        .recv_timeout(TEST_TIMEOUT)
        .expect("the server has the first of it before the last has come");
    client.write_all(&body[2_000_000..]).unwrap();
    assert_eq!(long_answer(&mut client).unwrap().status, 200);
    client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(
        long_answer(&mut client).unwrap().status,
        200,
        "the connection goes on"
    );
}

#[test]
fn a_server_that_takes_a_long_body_in_is_not_left_for_owing_no_answer_yet() {
    let (head, arrived) = std::sync::mpsc::channel();
    let server = raw_server(move |stream, mut bytes| {
        let mut part = vec![0; 1 << 16];
        while bytes.len() < 300_000 {
            more(stream, &mut part, &mut bytes);
        }
        head.send(()).unwrap();
        while bytes.len() < 3_000_000 {
            more(stream, &mut part, &mut bytes);
        }
        stream.write_all(SAME).unwrap();
    });
    let limiter = Limiter::start(&config(&[server; 4], start_counter().address), None);
    let mut client = asks(&limiter, &with_body("k", 3_000_000));
    client.write_all(&pattern(1_000_000)).unwrap();
    arrived
        .recv_timeout(TEST_TIMEOUT)
        .expect("the server has the first of it");
    // Longer than a server may be silent before it is suspected, where there are no probes.
    for _ in 0..4 {
        limiter.advance_clock_us(110_000);
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        );
    }
    client.write_all(&pattern(2_000_000)).unwrap();
    assert_eq!(long_answer(&mut client).expect("an answer").status, 200);
}

#[test]
fn a_body_is_sent_again_only_while_all_of_it_is_here_and_a_client_is_told_at_once() {
    // Turned away with the head, then once more after a good part of the body.
    for (taken, status) in [(0, 200), (1_000_000, 503)] {
        let tries = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let counted = tries.clone();
        let server = raw_server(move |stream, mut bytes| {
            let mut part = vec![0; 1 << 16];
            let first = counted.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
            let wanted = if first { taken } else { 3_000_000 };
            while bytes.len() < wanted {
                more(stream, &mut part, &mut bytes);
            }
            let never =
                b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(if first { never } else { SAME }).unwrap();
            let _ = stream.read(&mut part);
        });
        let limiter = Limiter::start(&config(&[server; 3], start_counter().address), None);
        let mut client = asks(&limiter, &with_body("k", 3_000_000));
        client
            .write_all(&pattern(if taken == 0 { 20_000 } else { 1_100_000 }))
            .unwrap();
        if taken == 0 {
            while tries.load(std::sync::atomic::Ordering::SeqCst) < 2 {
                thread::yield_now();
            }
            client.write_all(&pattern(2_980_000)).unwrap();
        }
        let answer = long_answer(&mut client).expect("an answer, whatever of the body has come");
        assert_eq!(answer.status, status, "after {taken} bytes");
        assert_eq!(answer.keep_alive, taken == 0);
        assert_eq!(answer.headers.contains("Retry-After"), taken > 0);
    }
}

#[test]
fn a_long_body_that_is_bad_by_its_head_or_falls_silent_is_answered_at_once_and_reaches_nobody_whole()
 {
    let (left, gone) = std::sync::mpsc::channel();
    let server = raw_server(move |stream, _| {
        let mut part = vec![0; 1 << 16];
        while stream.read(&mut part).is_ok_and(|length| length > 0) {}
        left.send(()).unwrap();
    });
    let limiter = before(server);
    for (from, to, status) in [
        ("X-Tier: empresa", "X-Tier: gold", 400),
        ("POST /sign-off", "GET /lookup", 400),
        ("Content-Length: 5000000", "Content-Length: 60000000", 413),
        (
            "Content-Length: 5000000",
            "Content-Length: 5000000\r\nTransfer-Encoding: chunked",
            400,
        ),
    ] {
        let text = with_body("k", 5_000_000).replace(from, to);
        assert_eq!(
            long_answer(&mut asks(&limiter, &text)).unwrap().status,
            status,
            "{to}"
        );
    }
    let mut client = asks(&limiter, &with_body("k", 5_000_000));
    client.write_all(&pattern(500_000)).unwrap();
    let seen = || {
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        )
    };
    // Read by then, some in each turn.
    (0..100).for_each(|_| seen());
    limiter.advance_clock_us(2_400_000);
    (0..3).for_each(|_| seen());
    limiter.advance_clock_us(800_000);
    assert_eq!(long_answer(&mut client).unwrap().status, 408);
    gone.recv_timeout(TEST_TIMEOUT)
        .expect("its leg is ended, before the last byte");
}
