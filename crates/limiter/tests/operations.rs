//! Days of operation on driven time: the operators' calls, servers taken out, clients sent away.

mod common;

use std::net::TcpListener;
use std::sync::mpsc;

use common::*;

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const US_PER_MS: i64 = 1_000;

fn with_operators(config: &str) -> String {
    config.replacen('{', "{\"ops\":\"127.0.0.1:0\",", 1)
}

fn start(servers: &[std::net::SocketAddr]) -> Limiter {
    Limiter::start(
        &with_operators(&config(servers, start_counter().address)),
        None,
    )
}

#[test]
fn calls_are_answered_and_what_is_no_call_changes_nothing() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start(&[server.address]);
    for (line, answer) in [
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
        assert_eq!(limiter.send_operator_command(line), answer, "{line:?}");
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
    // A half line and a close.
    drop({
        let mut half = limiter.connect_operator();
        half.send("drain");
        half
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
fn callers_that_finish_no_call_go_for_new_ones_and_clients_stay() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start(&[server.address]);
    let mut client = Client::connect(limiter.platform_address);
    assert_eq!(client.send_request(&idempotent_request("a")).status, 200);
    let mut silent: Vec<Client> = (0..20).map(|_| limiter.connect_operator()).collect();
    assert_eq!(limiter.send_operator_command("ready\n"), "done");
    assert_eq!(silent[0].read_to_end(), "", "the oldest went");
    let last = silent.last_mut().unwrap();
    last.send("ready\n");
    assert_eq!(last.read_to_end(), "done\n", "the latest is still heard");
    assert_eq!(client.send_request(&idempotent_request("b")).status, 200);
    limiter.advance_clock_us(11_000 * US_PER_MS);
    assert_eq!(silent[18].read_to_end(), "", "none stays for ever");
}

#[test]
fn a_server_taken_out_gets_nothing_until_the_call_back() {
    let [first, second] = ["first", "second"].map(|name| MockServer::start(move |_, _| ok(name)));
    let limiter = start(&[first.address, second.address]);
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
    assert!(first.request_count() > 0 && second.request_count() > 0);
    assert_eq!(
        [
            limiter.send_operator_command("disable-server s-0\n"),
            limiter.send_operator_command("disable-server s-0\n")
        ],
        ["done"; 2]
    );
    first
        .connection_closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("an idle connection to it goes at once");
    let before = first.request_count();
    send_requests(30, 60);
    assert_eq!(first.request_count(), before);
    // One call back ends it, however often it was taken out; it is used again, as one that has just started.
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    for n in 60..400 {
        send_requests(n, n + 1);
        limiter.advance_clock_us(5 * US_PER_MS);
    }
    assert!(first.request_count() > before, "used again");
}

#[test]
fn without_the_last_server_clients_are_told_when_to_come_back() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start(&[server.address]);
    assert_eq!(
        limiter.send_operator_command("disable-server s-0\n"),
        "done"
    );
    let answer = send_request(limiter.platform_address, &idempotent_request("t"));
    assert!(answer.status == 503 && answer.headers.contains("Retry-After"));
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        503
    );
    assert_eq!(
        limiter.send_operator_command("ready\n"),
        "done",
        "the process takes clients; `/up` says whether it can serve them"
    );
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    assert_eq!(
        send_request(limiter.platform_address, READINESS_REQUEST).status,
        200
    );
}

#[test]
fn a_drain_sends_clients_away_and_its_end_takes_them_again() {
    let (word, held) = mpsc::channel();
    let mut held = Some(held);
    let server = MockServer::start(move |request, _| match request.headers.get("X-Trace-Id") {
        Some("slow") => Reply::Delay(held.take().unwrap(), Box::new(ok("slow"))),
        _ => ok("served"),
    });
    let limiter = start(&[server.address]);
    let [mut idle, mut busy, mut used] =
        [(); 3].map(|()| Client::connect(limiter.platform_address));
    assert_eq!(idle.send_request(&idempotent_request("a")).status, 200);
    assert_eq!(used.send_request(&idempotent_request("b")).status, 200);
    busy.send(&idempotent_request("slow"));
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
        "the process takes who still comes"
    );
    let refused = send_request(limiter.platform_address, READINESS_REQUEST);
    assert!(refused.status == 503 && !refused.keep_alive);
    // In the notice both who comes and who is there are served, once.
    for client in [&mut used, &mut Client::connect(limiter.platform_address)] {
        let answer = client.send_request(&idempotent_request("c"));
        assert!(answer.status == 200 && !answer.keep_alive);
        assert_eq!(client.read_to_end(), "");
    }
    // After it idle connections go, and what is out is finished.
    let mut silent = Client::connect(limiter.platform_address);
    limiter.advance_clock_us(600 * US_PER_MS);
    assert_eq!(idle.read_to_end(), "");
    word.send(()).unwrap();
    let answer = busy.read_response().unwrap();
    assert!(answer.body == b"slow" && !answer.keep_alive && busy.read_to_end().is_empty());
    limiter.advance_clock_us(600 * US_PER_MS);
    assert_eq!(
        silent.read_to_end(),
        "",
        "who says nothing can't hold the drain open"
    );
    // A half head can't either.
    let mut half = Client::connect(limiter.platform_address);
    half.send("GET /lookup HTTP/1.1\r\n");
    send_request(limiter.platform_address, READINESS_REQUEST);
    limiter.advance_clock_us(2_400 * US_PER_MS);
    assert_eq!(half.read_response().unwrap().status, 408);
    assert_eq!(limiter.send_operator_command("resume\n"), "done");
    let mut client = Client::connect(limiter.platform_address);
    assert!(
        client.send_request(READINESS_REQUEST).status == 200
            && client.send_request(&idempotent_request("d")).keep_alive
    );
}

#[test]
fn told_to_end_in_a_drain_the_process_ends_and_a_resume_is_refused() {
    let server = MockServer::start(|_, _| ok("served"));
    let limiter = start(&[server.address]);
    assert_eq!(limiter.send_operator_command("drain\n"), "done");
    let waiting = Client::connect(limiter.platform_address);
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
    drop(waiting);
    limiter.join();
}

#[test]
fn a_ban_holds_whatever_the_list_says_and_over_its_changes() {
    let [first, second] = ["first", "second"].map(|name| MockServer::start(move |_, _| ok(name)));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = listener.local_addr().unwrap();
    let servers = [first.address, second.address];
    let limiter = Limiter::start(
        &with_operators(&config_with_discovery(
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
    let entry = |name: usize, status: &str, since: i64| {
        format!(
            "{{\"name\":\"s-{name}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since}}}",
            servers[name]
        )
    };
    let mut client = Client::connect(limiter.platform_address);
    let lists = [
        (false, entry(0, "Ready", 900)),
        (false, entry(0, "Gone", 0)),
        (false, entry(0, "Ready", 1_000)),
        (
            true,
            [entry(0, "Ready", 1_000), entry(1, "Ready", 0)].join(","),
        ),
    ];
    for (n, (whole, entries)) in lists.iter().enumerate() {
        let index = n + 2;
        write_chunked_line(
            &mut watch,
            &format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{entries}]}}\n"),
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
    assert_eq!(first.request_count(), 0);
    assert_eq!(limiter.send_operator_command("enable-server s-0\n"), "done");
    let used = (0..2_000).any(|n| {
        limiter.advance_clock_us(2 * US_PER_MS);
        client
            .send_request(&idempotent_request(&format!("u{n}")))
            .body
            == b"first"
    });
    assert!(used, "used again");
}
