//! Operators' commands under a manual clock: disabled servers, drain and resume, shutdown.

mod common;

use std::net::TcpListener;
use std::sync::mpsc;

use common::*;

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const US_PER_MS: i64 = 1_000;

fn with_operator_listener(config: &str) -> String {
    config.replacen('{', "{\"ops\":\"127.0.0.1:0\",", 1)
}

fn start_limiter(servers: &[std::net::SocketAddr]) -> Limiter {
    Limiter::start(
        &with_operator_listener(&config(servers, start_counter().address)),
        None,
    )
}

#[test]
fn operator_commands_are_answered_and_invalid_ones_change_nothing() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start_limiter(&[server.address]);
    for (line, response) in [
        ("ready\n", "done"),
        ("resume\r\n", "done"),
        ("enable-server s-0\n", "done"),
        ("\n", "error the line is empty"),
        ("disable-server\n", "error the server's id is missing"),
        (
            "disable-server s-7\n",
            "error no server of this id was ever listed",
        ),
        (
            "enable-server s-7\n",
            "error no server of this id was ever listed",
        ),
        ("disable-server s-0 s-0\n", "error too many words"),
        ("drain \u{7}\n", "error the line is no text"),
    ] {
        assert_eq!(limiter.send_operator_command(line), response, "{line:?}");
    }
    assert!(
        limiter
            .send_operator_command("stop\n")
            .starts_with("error no such call")
    );
    assert!(
        limiter
            .send_operator_command(&"x".repeat(4_000))
            .starts_with("error the line is too long")
    );
    // An incomplete line, then a close.
    drop({
        let mut partial_operator = limiter.connect_operator();
        partial_operator.send("drain");
        partial_operator
    });
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        200
    );
    assert_eq!(
        send_request(limiter.platform_address, &idempotent_request("t")).status,
        200
    );
}

#[test]
fn unfinished_operator_connections_are_evicted_for_new_ones_and_clients_stay_connected() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start_limiter(&[server.address]);
    let mut client = Client::connect(limiter.platform_address);
    assert_eq!(client.send_request(&idempotent_request("a")).status, 200);
    let mut silent_operators: Vec<Client> = (0..20).map(|_| limiter.connect_operator()).collect();
    assert_eq!(limiter.send_operator_command("ready\n"), "done");
    assert_eq!(
        silent_operators[0].read_to_end(),
        "",
        "the oldest connection is closed"
    );
    let newest_operator = silent_operators.last_mut().unwrap();
    newest_operator.send("ready\n");
    assert_eq!(
        newest_operator.read_to_end(),
        "done\n",
        "the newest connection is still served"
    );
    assert_eq!(client.send_request(&idempotent_request("b")).status, 200);
    limiter.advance_clock_us(11_000 * US_PER_MS);
    assert_eq!(
        silent_operators[18].read_to_end(),
        "",
        "an idle operator connection times out"
    );
}

#[test]
fn disabled_server_gets_no_requests_until_enabled() {
    let [first_server, second_server] =
        ["first", "second"].map(|name| MockServer::start(move |_, _| ok(name)));
    let limiter = start_limiter(&[first_server.address, second_server.address]);
    let mut client = Client::connect(limiter.platform_address);
    let mut send_requests = |from: usize, to: usize| {
        (from..to).for_each(|n| {
            assert_eq!(
                client
                    .send_request(&idempotent_request(&format!("t{n}")))
                    .status,
                200
            )
        });
    };
    send_requests(0, 30);
    assert!(first_server.request_count() > 0 && second_server.request_count() > 0);
    assert_eq!(
        [
            limiter.send_operator_command("disable-server s-0\n"),
            limiter.send_operator_command("disable-server s-0\n")
        ],
        ["done"; 2]
    );
    first_server
        .connection_closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("an idle connection to the disabled server is closed at once");
    let count_before = first_server.request_count();
    send_requests(30, 60);
    assert_eq!(first_server.request_count(), count_before);
    // One command enables the server, however often it was disabled. It is then used like one that has just started.
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    for n in 60..400 {
        send_requests(n, n + 1);
        limiter.advance_clock_us(5 * US_PER_MS);
    }
    assert!(
        first_server.request_count() > count_before,
        "the server is used again"
    );
}

#[test]
fn requests_get_retry_after_while_the_last_server_is_disabled() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start_limiter(&[server.address]);
    assert_eq!(
        limiter.send_operator_command("disable-server s-0\n"),
        "done"
    );
    let response = send_request(limiter.platform_address, &idempotent_request("t"));
    assert!(response.status == 503 && response.headers.contains("Retry-After"));
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        503
    );
    assert_eq!(
        limiter.send_operator_command("ready\n"),
        "done",
        "the process accepts clients; `/up` reports whether it can serve them"
    );
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        200
    );
}

#[test]
fn drain_closes_client_connections_and_resume_accepts_them_again() {
    let (release_sender, release_receiver) = mpsc::channel();
    let mut release_receiver = Some(release_receiver);
    let server = MockServer::start(move |request, _| match request.headers.get("X-Trace-Id") {
        Some("slow") => Reply::Delay(release_receiver.take().unwrap(), Box::new(ok("slow"))),
        _ => ok("served"),
    });
    let limiter = start_limiter(&[server.address]);
    let [mut idle_client, mut busy_client, mut keep_alive_client] =
        [(); 3].map(|()| Client::connect(limiter.platform_address));
    assert_eq!(
        idle_client.send_request(&idempotent_request("a")).status,
        200
    );
    assert_eq!(
        keep_alive_client
            .send_request(&idempotent_request("b"))
            .status,
        200
    );
    busy_client.send(&idempotent_request("slow"));
    while server.request_count() < 3 {
        std::thread::yield_now();
    }
    assert_eq!(
        [
            limiter.send_operator_command("drain\n"),
            limiter.send_operator_command("drain\n")
        ],
        ["done"; 2]
    );
    assert_eq!(
        limiter.send_operator_command("ready\n"),
        "done",
        "the process still accepts connections"
    );
    let readiness = send_request(limiter.platform_address, READINESS_REQUEST);
    assert!(readiness.status == 503 && !readiness.keep_alive);
    // During the notice period, new and existing connections are served one request each.
    for client in [
        &mut keep_alive_client,
        &mut Client::connect(limiter.platform_address),
    ] {
        let response = client.send_request(&idempotent_request("c"));
        assert!(response.status == 200 && !response.keep_alive);
        assert_eq!(client.read_to_end(), "");
    }
    // Afterwards idle connections are closed, and requests in flight are finished.
    let mut silent_client = Client::connect(limiter.platform_address);
    limiter.advance_clock_us(600 * US_PER_MS);
    assert_eq!(idle_client.read_to_end(), "");
    release_sender.send(()).unwrap();
    let response = busy_client.read_response().unwrap();
    assert!(
        response.body == b"slow" && !response.keep_alive && busy_client.read_to_end().is_empty()
    );
    limiter.advance_clock_us(600 * US_PER_MS);
    assert_eq!(
        silent_client.read_to_end(),
        "",
        "a silent connection does not prolong the drain"
    );
    // Neither does an incomplete head.
    let mut partial_client = Client::connect(limiter.platform_address);
    partial_client.send("GET /lookup HTTP/1.1\r\n");
    send_request(limiter.platform_address, READINESS_REQUEST);
    limiter.advance_clock_us(2_400 * US_PER_MS);
    assert_eq!(partial_client.read_response().unwrap().status, 408);
    assert_eq!(limiter.send_operator_command("resume\n"), "done");
    let mut client = Client::connect(limiter.platform_address);
    assert!(
        client.send_request(READINESS_REQUEST).status == 200
            && client.send_request(&idempotent_request("d")).keep_alive
    );
}

#[test]
fn shutdown_during_a_drain_completes_and_resume_is_rejected() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start_limiter(&[server.address]);
    assert_eq!(limiter.send_operator_command("drain\n"), "done");
    let idle_client = Client::connect(limiter.platform_address);
    limiter.stop();
    while limiter.send_operator_command("ready\n") != "error ending" {}
    assert_eq!(
        [
            limiter.send_operator_command("drain\n"),
            limiter.send_operator_command("resume\n")
        ],
        ["done", "error ending"]
    );
    limiter.advance_clock_us(600 * US_PER_MS);
    drop(idle_client);
    limiter.join();
}

#[test]
fn disabled_server_stays_disabled_across_discovery_updates() {
    let [first_server, second_server] =
        ["first", "second"].map(|name| MockServer::start(move |_, _| ok(name)));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = listener.local_addr().unwrap();
    let servers = [first_server.address, second_server.address];
    let limiter = Limiter::start(
        &with_operator_listener(&config_with_discovery(
            discovery,
            &servers,
            start_counter().address,
        )),
        None,
    );
    let (mut watch, _) = accept_watch(listener.accept().unwrap().0);
    assert_eq!(
        limiter.send_operator_command("disable-server s-0\n"),
        "done"
    );
    let endpoint = |name: usize, status: &str, since: i64| {
        format!(
            "{{\"name\":\"s-{name}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since}}}",
            servers[name]
        )
    };
    let mut client = Client::connect(limiter.platform_address);
    let lists = [
        (false, endpoint(0, "Ready", 900)),
        (false, endpoint(0, "Gone", 0)),
        (false, endpoint(0, "Ready", 1_000)),
        (
            true,
            [endpoint(0, "Ready", 1_000), endpoint(1, "Ready", 0)].join(","),
        ),
    ];
    for (n, (is_snapshot, endpoints)) in lists.iter().enumerate() {
        let index = n + 2;
        write_chunked_line(
            &mut watch,
            &format!(
                "{{\"index\":{index},\"snapshot\":{is_snapshot},\"endpoints\":[{endpoints}]}}\n"
            ),
        );
        (0..20).for_each(|m| {
            assert_eq!(
                client
                    .send_request(&idempotent_request(&format!("t{n}-{m}")))
                    .body,
                b"second"
            )
        });
    }
    assert_eq!(first_server.request_count(), 0);
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    let is_used_again = (0..2_000).any(|n| {
        limiter.advance_clock_us(2 * US_PER_MS);
        client
            .send_request(&idempotent_request(&format!("u{n}")))
            .body
            == b"first"
    });
    assert!(is_used_again, "the server is used again");
}
