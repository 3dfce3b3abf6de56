//! Misbehaving clients: each gets a response or is disconnected in time, and the other clients are served.

mod common;

use std::io::Write;
use std::sync::mpsc;
use std::time::Instant;

use common::*;

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn idempotent_request(id: &str) -> String {
    format!(
        "GET /lookup?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\n\
         X-Qos: lookup\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

fn start_server_and_limiter() -> (MockServer, Limiter) {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    (server, limiter)
}

/// Starts a limiter whose connection limit is eight clients.
fn start_limiter_for_eight_clients() -> Limiter {
    let text = config(&[unreachable_address()], start_counter().address);
    Limiter::start(
        &text.replacen('{', "{\"limits\":{\"sockets\":50},", 1),
        None,
    )
}

#[test]
fn silent_and_partial_requests_time_out_before_idle_connections() {
    let (server, limiter) = start_server_and_limiter();
    let mut silent_client = Client::connect(limiter.platform_address);
    let mut partial_client = Client::connect(limiter.platform_address);
    partial_client.send(&idempotent_request("t-half")[..90]);
    let mut idle_client = Client::connect(limiter.platform_address);
    assert_eq!(
        idle_client.send_request(&idempotent_request("t-1")).status,
        200
    );
    let mut other_client = Client::connect(limiter.platform_address);
    // All earlier connections are accepted, and what they sent is read, before this response is sent.
    assert_eq!(other_client.send_request(READINESS_REQUEST).status, 200);
    limiter.advance_clock_us(2_400_000);
    assert!(
        silent_client.read_response().is_none(),
        "the silent connection is closed"
    );
    let response = partial_client
        .read_response()
        .expect("a partial request gets an error response");
    assert!(response.status == 408 && !response.keep_alive);
    assert!(
        partial_client.read_response().is_none(),
        "the connection is closed after the error"
    );
    assert_eq!(
        idle_client.send_request(&idempotent_request("t-2")).status,
        200
    );
    // When this response arrives, the limiter has finished the previous one.
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        200
    );
    limiter.advance_clock_us(6_100_000);
    assert!(
        idle_client.read_response().is_none(),
        "the idle connection is closed"
    );
    assert_eq!(server.request_count(), 2);
}

#[test]
fn connection_limit_evicts_the_longest_idle_and_spares_connections_awaiting_a_first_request() {
    let limiter = start_limiter_for_eight_clients();
    let mut clients: Vec<Client> = (0..6)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    assert!(
        clients
            .iter_mut()
            .all(|client| client.send_request(READINESS_REQUEST).status == 200)
    );
    let mut new_clients: Vec<Client> = (0..3)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    // With one connection over the limit, the one idle for longest is closed, and the new ones can still send requests.
    assert!(clients.remove(0).read_response().is_none());
    assert!(
        new_clients
            .iter_mut()
            .chain(&mut clients)
            .all(|client| client.send_request(READINESS_REQUEST).status == 200)
    );
}

#[test]
fn response_closes_its_connection_near_the_connection_limit() {
    let limiter = start_limiter_for_eight_clients();
    let mut clients: Vec<Client> = (0..6)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    // The other connections were opened earlier, so they are accepted before this response is sent.
    let mut seventh_client = Client::connect(limiter.platform_address);
    assert!(!seventh_client.send_request(READINESS_REQUEST).keep_alive);
    assert!(
        seventh_client.read_response().is_none(),
        "the connection is closed after the response"
    );
    assert!(
        clients
            .iter_mut()
            .all(|client| client.send_request(READINESS_REQUEST).keep_alive)
    );
}

#[test]
fn silent_connections_do_not_block_new_clients() {
    let limiter = start_limiter_for_eight_clients();
    let silent_clients: Vec<Client> = (0..30)
        .map(|_| Client::connect(limiter.platform_address))
        .collect();
    let mut client = Client::connect(limiter.platform_address);
    client.send(READINESS_REQUEST);
    // As many silent connections as needed are closed once their grace period for a first request is over. The clock
    // advances until then, however rarely the limiter's thread is scheduled.
    client.stream.set_nonblocking(true).unwrap();
    let give_up_at = Instant::now() + TEST_TIMEOUT;
    while client.stream.peek(&mut [0]).is_err() {
        assert!(
            Instant::now() < give_up_at,
            "no response while silent connections are open"
        );
        limiter.advance_clock_us(1_000);
        std::thread::yield_now();
    }
    client.stream.set_nonblocking(false).unwrap();
    assert_eq!(
        client
            .read_response()
            .expect("the new client gets a response")
            .status,
        200
    );
    drop(silent_clients);
}

#[test]
fn thousands_of_pipelined_requests_are_each_answered() {
    let (server, limiter) = start_server_and_limiter();
    let mut client = Client::connect(limiter.platform_address);
    let (unknown_path_request, request_count) = ("GET /nothing HTTP/1.1\r\n\r\n", 20_000);
    let mut writer = client.stream.try_clone().unwrap();
    let writer_thread = std::thread::spawn(move || {
        writer
            .write_all(unknown_path_request.repeat(request_count).as_bytes())
            .is_ok()
    });
    for _ in 0..request_count {
        assert_eq!(
            client
                .read_response()
                .expect("each request gets a response")
                .status,
            404
        );
    }
    assert!(writer_thread.join().unwrap());
    assert_eq!(client.send_request(&idempotent_request("t")).status, 200);
    assert_eq!(server.request_count(), 1);
}

#[test]
fn client_still_sending_can_read_the_error_response() {
    let (server, limiter) = start_server_and_limiter();
    for _ in 0..20 {
        let mut client = Client::connect(limiter.platform_address);
        let head = idempotent_request("t").replace("Host", "Content-Length: 60000000\r\nHost");
        client.send(&head);
        // The limiter reads and discards more than this: closing with unread bytes would reset the connection.
        client.send(&"x".repeat(100_000));
        assert_eq!(
            client
                .read_response()
                .expect("the client gets the error response")
                .status,
            413
        );
        assert!(client.read_response().is_none());
    }
    assert_eq!(server.request_count(), 0);
}

#[test]
fn request_id_in_flight_is_rejected_as_duplicate() {
    let (release_sender, release_receiver) = mpsc::channel();
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let server = MockServer::start(move |_, _| {
        arrival_sender.send(()).unwrap();
        release_receiver.take().map_or_else(
            || ok("again"),
            |release_receiver| Reply::Delay(release_receiver, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    let mut first_client = Client::connect(limiter.platform_address);
    first_client.send(&idempotent_request("same"));
    arrival_receiver.recv().unwrap();
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("same")).status,
        409
    );
    assert_eq!(server.request_count(), 1, "the duplicate reaches no server");
    release_sender.send(()).unwrap();
    assert_eq!(first_client.read_response().unwrap().body, b"first");
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("same")).body,
        b"again",
        "the id can be used again"
    );
}

#[test]
fn pipelined_requests_wait_until_the_request_in_flight_is_answered() {
    let (release_sender, release_receiver) = mpsc::channel();
    let (arrival_sender, arrival_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let server = MockServer::start(move |_, _| {
        arrival_sender.send(()).unwrap();
        release_receiver.take().map_or_else(
            || ok("next"),
            |release_receiver| Reply::Delay(release_receiver, Box::new(ok("first"))),
        )
    });
    let limiter = Limiter::start(&config(&[server.address], start_counter().address), None);
    let mut client = Client::connect(limiter.platform_address);
    client.send(&idempotent_request("t-0"));
    arrival_receiver.recv().unwrap();
    // More than the limiter reads while the first request is in flight.
    let request_count = 40;
    (1..=request_count).for_each(|n| client.send(&idempotent_request(&format!("t-{n}"))));
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        200
    );
    assert_eq!(server.request_count(), 1);
    release_sender.send(()).unwrap();
    assert_eq!(client.read_response().unwrap().body, b"first");
    for _ in 0..request_count {
        arrival_receiver.recv().unwrap();
        assert_eq!(client.read_response().unwrap().body, b"next");
    }
}
