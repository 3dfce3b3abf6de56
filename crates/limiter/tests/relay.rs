//! Long and slow messages: relayed responses, streamed and slow request bodies, and truncation that clients can detect.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use common::*;

/// Starts a server that runs `handle_connection` on each connection, with the first bytes received on it.
fn start_raw_server(
    handle_connection: impl Fn(&mut TcpStream, Vec<u8>) + Send + Sync + Clone + 'static,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, handle_connection) = (stream.unwrap(), handle_connection.clone());
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                let length = stream.read(&mut bytes).unwrap_or(0);
                if length > 0 {
                    handle_connection(&mut stream, bytes[..length].to_vec());
                }
            });
        }
    });
    address
}

/// Appends the next bytes of the connection to `bytes`. Panics at its end, which ends the server's thread.
fn read_more(stream: &mut TcpStream, buffer: &mut [u8], bytes: &mut Vec<u8>) {
    let length = stream.read(buffer).expect("the connection stays open");
    assert!(length > 0, "the connection stays open");
    bytes.extend_from_slice(&buffer[..length]);
}

/// Starts a limiter in front of one server.
fn start_limiter(server: std::net::SocketAddr) -> Limiter {
    Limiter::start(&config(&[server], start_counter().address), None)
}

/// A body in which shifted or missing bytes are detected.
fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 / 7) as u8).collect()
}

const BODY_MATCHES_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BODY_DIFFERS_RESPONSE: &[u8] = b"HTTP/1.1 500 Other\r\nContent-Length: 0\r\n\r\n";

/// Limits for the test's own client and servers, which buffer complete messages.
fn large_message_limits() -> limiter::limits::Limits {
    limiter::limits::Limits {
        max_buffered_body_bytes: 64 << 20,
        ..Default::default()
    }
}

/// Reads a complete response of up to 64 MiB; `None` if the connection ends first.
fn read_long_response(stream: &mut TcpStream) -> Option<limiter::net::framing::Response> {
    let limits = large_message_limits();
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 1 << 20];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
        // Yields a response once it is complete, for a length as for chunks.
        if let Some((response, _)) =
            limiter::net::framing::parse_response(&bytes, false, &limits).unwrap()
        {
            return Some(response);
        }
    }
}

fn open_request(limiter: &Limiter, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(limiter.platform_address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

#[test]
fn long_responses_of_every_framing_are_relayed_unchanged() {
    for framing in ["length", "chunks", "close"] {
        let body = patterned_body(300_000);
        let sent_body = body.clone();
        let server = start_raw_server(move |stream, _| {
            let mut response_bytes =
                b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n".to_vec();
            match framing {
                "length" => response_bytes
                    .extend(format!("content-length:  {} \r\n\r\n", sent_body.len()).bytes()),
                "chunks" => response_bytes.extend(b"Transfer-Encoding: Chunked\r\n\r\n"),
                _ => response_bytes.extend(b"Connection: x, close\r\n\r\n"),
            }
            for piece in sent_body.chunks(7_001) {
                if framing == "chunks" {
                    response_bytes.extend(format!("{:X};n=\"v\"\r\n", piece.len()).bytes());
                }
                response_bytes.extend_from_slice(piece);
                response_bytes.extend_from_slice(if framing == "chunks" { b"\r\n" } else { b"" });
            }
            response_bytes.extend_from_slice(if framing == "chunks" {
                b"0\r\nTrailer: t\r\n\r\n"
            } else {
                b""
            });
            // The first bytes are written one by one, so that heads and chunks are split at every position.
            response_bytes[..400]
                .iter()
                .for_each(|byte| stream.write_all(&[*byte]).unwrap());
            stream.write_all(&response_bytes[400..]).unwrap();
            let _ = stream.shutdown(Shutdown::Write);
        });
        let limiter = start_limiter(server);
        let mut stream = open_request(&limiter, &idempotent_request("t"));
        let response = read_long_response(&mut stream).expect("the response is complete");
        assert!(
            response.status == 200 && response.body == body && response.keep_alive,
            "{framing}"
        );
        // The connection can be used for the next request.
        stream
            .write_all(idempotent_request("u").as_bytes())
            .unwrap();
        assert_eq!(
            read_long_response(&mut stream)
                .expect("the response is complete")
                .body,
            body,
            "{framing}"
        );
    }
}

#[test]
fn close_delimited_response_is_complete_at_fin_and_failed_at_reset() {
    let server = start_raw_server(|stream, _| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
            .unwrap();
    });
    assert_eq!(
        send_request(
            start_limiter(server).platform_address,
            &idempotent_request("t")
        )
        .body,
        b"all of it"
    );
    let server = start_raw_server(|stream, _| {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part")
            .unwrap();
        socket2::SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    });
    assert_ne!(
        send_request(
            start_limiter(server).platform_address,
            &idempotent_request("t")
        )
        .status,
        200
    );
}

#[test]
fn response_that_breaks_off_or_stalls_is_truncated_detectably() {
    for is_silent in [false, true] {
        for head in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
            let (part_sent_sender, part_sent_receiver) = std::sync::mpsc::channel();
            let server = start_raw_server(move |stream, _| {
                stream
                    .write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes())
                    .unwrap();
                let chunk_header = if head.starts_with('T') {
                    "186a0\r\n"
                } else {
                    ""
                };
                stream.write_all(chunk_header.as_bytes()).unwrap();
                stream.write_all(&patterned_body(100_000)).unwrap();
                let _ = part_sent_sender.send(());
                if is_silent {
                    let _ = stream.read(&mut [0; 16]);
                }
            });
            let limiter = start_limiter(server);
            let mut stream = open_request(&limiter, &idempotent_request("t"));
            part_sent_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
            let mut first_part = vec![0; 90_000];
            stream
                .read_exact(&mut first_part)
                .expect("the bytes received from the server are relayed");
            if is_silent {
                // This request is answered in a later iteration of the event loop, after all sent bytes were read.
                assert_eq!(
                    send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
                    200
                );
                limiter.advance_clock_us(8_500_000);
                limiter.advance_clock_us(4_500_000);
            }
            // The connection ends before the announced length, or without the last chunk.
            let mut remainder = Vec::new();
            let _ = stream.read_to_end(&mut remainder);
            assert!(
                remainder.len() < 20_000 && !remainder.ends_with(b"0\r\n\r\n"),
                "{head}, silent: {is_silent}"
            );
        }
    }
}

#[test]
fn client_disconnect_during_relay_closes_the_upstream_connection() {
    let (closed_sender, closed_receiver) = std::sync::mpsc::channel();
    let server = start_raw_server(move |stream, _| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
        while stream.write_all(&[7; 50_000]).is_ok() {}
        let _ = closed_sender.send(());
    });
    let limiter = start_limiter(server);
    let mut stream = open_request(&limiter, &idempotent_request("t"));
    stream.read_exact(&mut [0; 100_000]).unwrap();
    drop(stream);
    closed_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the upstream connection is closed too");
    assert_eq!(
        send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
        200
    );
}

#[test]
fn slow_request_body_gets_100_continue_and_is_accepted_above_the_minimum_rate() {
    let server = MockServer::start(|request, _| ok(&request.body.len().to_string()));
    let limiter = start_limiter(server.address);
    let mut client = Client::connect(limiter.platform_address);
    let request = keyed_request("k").replace(
        "Content-Length: 5\r\n\r\nhours",
        "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n",
    );
    client.send(&request[..50]);
    // This request is answered in a later iteration of the event loop, after the sent part was read.
    let wait_for_loop_iteration = || {
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        )
    };
    wait_for_loop_iteration();
    limiter.advance_clock_us(1_900_000);
    client.send(&request[50..]);
    assert_eq!(
        client.stream.read(&mut [0; 64]).unwrap(),
        25,
        "the 100 Continue response is sent at once"
    );
    for _ in 0..16 {
        client.send(&"x".repeat(4_096));
        wait_for_loop_iteration();
        limiter.advance_clock_us(64_000);
    }
    assert_eq!(client.read_response().unwrap().body, b"65536");
    // A body that stalls times out.
    let mut client = Client::connect(limiter.platform_address);
    client.send(&request.replace("t-k", "t-l"));
    client.stream.read_exact(&mut [0; 25]).unwrap();
    client.send("half");
    wait_for_loop_iteration();
    limiter.advance_clock_us(2_400_000);
    assert_eq!(client.read_response().unwrap().status, 408);
}

#[test]
fn large_request_body_is_forwarded_unchanged_for_every_framing() {
    let body = patterned_body(1_000_000);
    let expected_body = body.clone();
    let server = start_raw_server(move |stream, mut bytes| {
        let mut buffer = vec![0; 1 << 16];
        loop {
            if let Some((request, _)) =
                limiter::net::framing::parse_request(&bytes, &large_message_limits()).unwrap()
            {
                let body_matches = request.body == expected_body;
                return stream
                    .write_all(if body_matches {
                        BODY_MATCHES_RESPONSE
                    } else {
                        BODY_DIFFERS_RESPONSE
                    })
                    .unwrap();
            }
            read_more(stream, &mut buffer, &mut bytes);
        }
    });
    let limiter = start_limiter(server);
    let head = keyed_request("k");
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    let mut plain_stream = open_request(
        &limiter,
        &head.replace("Content-Length: 5\r\n\r\nhours", &length),
    );
    plain_stream.write_all(&body).unwrap();
    assert_eq!(read_long_response(&mut plain_stream).unwrap().status, 200);
    let chunked_request = head.replace(
        "Content-Length: 5\r\n\r\nhours",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    let mut chunked_stream = open_request(&limiter, &chunked_request.replace("t-k", "t-l"));
    for piece in body.chunks(100_000) {
        chunked_stream
            .write_all(format!("{:x}\r\n", piece.len()).as_bytes())
            .unwrap();
        chunked_stream.write_all(piece).unwrap();
        chunked_stream.write_all(b"\r\n").unwrap();
    }
    chunked_stream.write_all(b"0\r\n\r\n").unwrap();
    assert_eq!(read_long_response(&mut chunked_stream).unwrap().status, 200);
}

/// The head of a request that announces a body of `length` bytes.
fn request_head_with_body_length(key: &str, length: usize) -> String {
    keyed_request(key).replace(
        "Content-Length: 5\r\n\r\nhours",
        &format!("Content-Length: {length}\r\n\r\n"),
    )
}

#[test]
fn body_larger_than_the_buffer_is_streamed_as_it_arrives() {
    let (arrival_sender, arrival_receiver) = std::sync::mpsc::channel();
    let body = patterned_body(5_000_000);
    let expected_body = body.clone();
    let server = start_raw_server(move |stream, mut bytes| {
        let mut buffer = vec![0; 1 << 16];
        while bytes.len() < 300_000 {
            read_more(stream, &mut buffer, &mut bytes);
        }
        arrival_sender.send(()).unwrap();
        while bytes.len() < 5_000_000 {
            read_more(stream, &mut buffer, &mut bytes);
        }
        while limiter::net::framing::parse_request(&bytes, &large_message_limits())
            .unwrap()
            .is_none()
        {
            read_more(stream, &mut buffer, &mut bytes);
        }
        let (request, _) = limiter::net::framing::parse_request(&bytes, &large_message_limits())
            .unwrap()
            .unwrap();
        stream
            .write_all(if request.body == expected_body {
                BODY_MATCHES_RESPONSE
            } else {
                BODY_DIFFERS_RESPONSE
            })
            .unwrap();
    });
    let limiter = start_limiter(server);
    let mut client = open_request(&limiter, &request_head_with_body_length("k", body.len()));
    client.write_all(&body[..2_000_000]).unwrap();
    arrival_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the server gets the start of the body before the client has sent its end");
    client.write_all(&body[2_000_000..]).unwrap();
    assert_eq!(read_long_response(&mut client).unwrap().status, 200);
    client.write_all(b"GET /up HTTP/1.1\r\n\r\n").unwrap();
    assert_eq!(
        read_long_response(&mut client).unwrap().status,
        200,
        "the connection can be used for the next request"
    );
}

#[test]
fn server_receiving_a_long_body_is_not_suspected_for_not_responding() {
    let (arrival_sender, arrival_receiver) = std::sync::mpsc::channel();
    let server = start_raw_server(move |stream, mut bytes| {
        let mut buffer = vec![0; 1 << 16];
        while bytes.len() < 300_000 {
            read_more(stream, &mut buffer, &mut bytes);
        }
        arrival_sender.send(()).unwrap();
        while bytes.len() < 3_000_000 {
            read_more(stream, &mut buffer, &mut bytes);
        }
        stream.write_all(BODY_MATCHES_RESPONSE).unwrap();
    });
    let limiter = Limiter::start(&config(&[server; 4], start_counter().address), None);
    let mut client = open_request(&limiter, &request_head_with_body_length("k", 3_000_000));
    client.write_all(&patterned_body(1_000_000)).unwrap();
    arrival_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the server gets the start of the body");
    // Longer than a server may be silent before it is suspected, without probes.
    for _ in 0..4 {
        limiter.advance_clock_us(110_000);
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        );
    }
    client.write_all(&patterned_body(2_000_000)).unwrap();
    assert_eq!(
        read_long_response(&mut client)
            .expect("the request gets a response")
            .status,
        200
    );
}

#[test]
fn body_is_resent_only_while_fully_buffered_and_otherwise_fails_at_once() {
    // The first attempt is rejected right after the head, and in the second case once the server has read 1 MB.
    for (bytes_read_first, status) in [(0, 200), (1_000_000, 503)] {
        let attempt_count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let server_attempt_count = attempt_count.clone();
        let server = start_raw_server(move |stream, mut bytes| {
            let mut buffer = vec![0; 1 << 16];
            let is_first_attempt =
                server_attempt_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0;
            let bytes_to_read = if is_first_attempt {
                bytes_read_first
            } else {
                3_000_000
            };
            while bytes.len() < bytes_to_read {
                read_more(stream, &mut buffer, &mut bytes);
            }
            let not_executed =
                b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream
                .write_all(if is_first_attempt {
                    not_executed
                } else {
                    BODY_MATCHES_RESPONSE
                })
                .unwrap();
            let _ = stream.read(&mut buffer);
        });
        let limiter = Limiter::start(&config(&[server; 3], start_counter().address), None);
        let mut client = open_request(&limiter, &request_head_with_body_length("k", 3_000_000));
        client
            .write_all(&patterned_body(if bytes_read_first == 0 {
                20_000
            } else {
                1_100_000
            }))
            .unwrap();
        if bytes_read_first == 0 {
            while attempt_count.load(std::sync::atomic::Ordering::SeqCst) < 2 {
                thread::yield_now();
            }
            client.write_all(&patterned_body(2_980_000)).unwrap();
        }
        let response =
            read_long_response(&mut client).expect("a response, however much of the body was sent");
        assert_eq!(response.status, status, "after {bytes_read_first} bytes");
        assert_eq!(response.keep_alive, bytes_read_first == 0);
        assert_eq!(
            response.headers.contains("Retry-After"),
            bytes_read_first > 0
        );
    }
}

#[test]
fn long_body_with_an_invalid_head_or_a_stall_is_rejected_and_never_fully_forwarded() {
    let (closed_sender, closed_receiver) = std::sync::mpsc::channel();
    let server = start_raw_server(move |stream, _| {
        let mut buffer = vec![0; 1 << 16];
        while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
        closed_sender.send(()).unwrap();
    });
    let limiter = start_limiter(server);
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
        let text = request_head_with_body_length("k", 5_000_000).replace(from, to);
        assert_eq!(
            read_long_response(&mut open_request(&limiter, &text))
                .unwrap()
                .status,
            status,
            "{to}"
        );
    }
    let mut client = open_request(&limiter, &request_head_with_body_length("k", 5_000_000));
    client.write_all(&patterned_body(500_000)).unwrap();
    let wait_for_loop_iteration = || {
        assert_eq!(
            send_request(limiter.platform_address, "GET /up HTTP/1.1\r\n\r\n").status,
            200
        )
    };
    // After these requests the body has been read, a part in each iteration of the event loop.
    (0..100).for_each(|_| wait_for_loop_iteration());
    limiter.advance_clock_us(2_400_000);
    (0..3).for_each(|_| wait_for_loop_iteration());
    limiter.advance_clock_us(800_000);
    assert_eq!(read_long_response(&mut client).unwrap().status, 408);
    closed_receiver
        .recv_timeout(TEST_TIMEOUT)
        .expect("the attempt is ended before the last byte of the body");
}

/// Waits until the connection holds unread input.
fn wait_for_unread_input(stream: &TcpStream) {
    let length = stream.peek(&mut [0; 1 << 16]).unwrap();
    assert!(length > 0, "the connection stays open");
}

/// The end of a long upload whose server sends this response and ends without reading the body, by which its connection is
/// reset: the status and the body of a complete response, if there is one.
fn end_of_upload_to_a_server_that_ends(response: Vec<u8>) -> Option<(u16, Vec<u8>)> {
    let server = start_raw_server(move |stream, _| {
        wait_for_unread_input(stream);
        stream.write_all(&response).unwrap();
    });
    let limiter = start_limiter(server);
    let head = request_head_with_body_length("k", 8 << 20);
    let mut stream = open_request(&limiter, &head);
    let mut writer = stream.try_clone().unwrap();
    // The limiter may close the connection before the whole body is sent.
    let writing = thread::spawn(move || _ = writer.write_all(&patterned_body(8 << 20)));
    let response = read_long_response(&mut stream);
    let _ = stream.shutdown(Shutdown::Both);
    writing.join().unwrap();
    response.map(|response| (response.status, response.body))
}

/// Guards against a complete response, or a word that a request was not run, that is lost as a write fails before it is read.
#[test]
fn complete_response_stays_complete_when_a_write_to_its_server_fails() {
    for _ in 0..10 {
        let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly".to_vec();
        let end = end_of_upload_to_a_server_that_ends(whole);
        assert_eq!(end, Some((200, b"early".to_vec())));
    }
}

/// Guards against half of a response without a length that passes for a whole one after a failed write.
#[test]
fn response_without_a_length_is_not_complete_when_its_server_ends_with_unread_input() {
    for length in [1_000, 400_000] {
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
        let half = [head, patterned_body(length)].concat();
        let end = end_of_upload_to_a_server_that_ends(half);
        assert!(end.is_none_or(|(status, _)| status >= 500));
    }
}
