//! Requests at servers that take longer than usual to respond. Guards against requests that the
//! proxy ends with a 502 of its own while their server is running them.

mod common;

use common::{Attempt, ProxyHarness, item, not_run_response, request_text};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;

/// The target of the routes is 500 ms: a server that has not responded for so long is checked.
const UNTIL_HEALTH_CHECK_FAILED_MS: i64 = 1_400;

/// A proxy with servers that respond to no health check, one of which holds a request.
struct SilentServer {
    harness: ProxyHarness,
    client: usize,
    attempt: Attempt,
}

impl SilentServer {
    /// `tries`: attempts that the route allows. `settings`: additional lines of the settings file.
    fn new(tries: u32, settings: &str) -> SilentServer {
        let mut harness = ProxyHarness::with_settings(common::START, &["a", "a"], settings);
        let spec = format!(
            r#"{{"host":"h","prefix":"/t/","kind":"idem","timeout":"3s","target_time":"500ms","svc":"s","tries":{tries},"public":true}}"#
        );
        let route = item(ItemKind::Route, "/t/", 1, &spec);
        harness.send_control(ControlMessage::Items(vec![route]));
        harness.settle();
        for server in &mut harness.servers {
            server.saturated = true;
        }
        let client = harness.send_from_new_client(request_text("GET /t/1", "one", "", ""));
        let attempt = harness.next_request();
        SilentServer {
            harness,
            client,
            attempt,
        }
    }

    fn shut_down(&mut self) {
        let now = self.harness.now_us();
        self.harness.host.begin_shutdown(now);
    }

    /// Nothing has ended the request: its server's response is forwarded.
    fn assert_served_by_first_server(&mut self) {
        assert!(
            self.harness.clients[self.client].received.is_empty(),
            "ended while its server is running it: {}",
            String::from_utf8_lossy(&self.harness.clients[self.client].received)
        );
        let stream = &self.harness.connection_mut(&self.attempt).stream;
        assert!(!stream.closed_by_peer, "its server's connection was closed");
        self.harness.respond_ok(&self.attempt);
        let response = self.harness.next_response(self.client);
        assert_eq!((response.status, &response.body[..]), (200, &b"of one"[..]));
    }
}

/// Failure: the attempt was cancelled although the route, or the retry budget, allows no other one.
#[test]
fn running_request_is_not_failed_when_no_other_attempt_is_allowed() {
    let no_retries = "bounds: {retry_ratio: 0.0, retry_slack: 0}";
    for (tries, settings, shuts_down) in [(1, "", true), (1, "", false), (3, no_retries, false)] {
        let mut silent = SilentServer::new(tries, settings);
        if shuts_down {
            silent.shut_down();
        }
        silent.harness.advance_ms(UNTIL_HEALTH_CHECK_FAILED_MS);
        assert!(silent.harness.servers[silent.attempt.server].health_check_count > 0);
        assert_eq!(silent.harness.request_count(), 1);
        silent.assert_served_by_first_server();
    }
}

/// Failure: the attempt was cancelled in favour of one that another server rejected, or that could
/// not be sent.
#[test]
fn running_request_is_not_failed_when_the_other_attempt_fails() {
    for is_reachable in [true, false] {
        let mut silent = SilentServer::new(2, "");
        silent.shut_down();
        let other = 1 - silent.attempt.server;
        if !is_reachable {
            silent.harness.servers[other].make_unreachable();
            silent.harness.send_server_list();
        }
        silent.harness.advance_ms(UNTIL_HEALTH_CHECK_FAILED_MS);
        if is_reachable {
            let second = silent.harness.next_request();
            assert_eq!(second.server, other);
            silent
                .harness
                .send_response(&second, not_run_response("one"));
        }
        silent.harness.advance_ms(400);
        silent.assert_served_by_first_server();
    }
}

/// Failure: a full server that had rejected a health check was taken for one that does not respond,
/// and its requests were cancelled.
#[test]
fn rejected_health_check_does_not_move_the_requests_of_a_full_server() {
    let mut full = SilentServer::new(3, "");
    for server in &mut full.harness.servers {
        (server.saturated, server.queue_full) = (false, true);
    }
    full.harness.advance_ms(UNTIL_HEALTH_CHECK_FAILED_MS);
    assert!(full.harness.servers[full.attempt.server].health_check_count > 0);
    assert_eq!(full.harness.request_count(), 1, "the request was moved");
    full.assert_served_by_first_server();
}

/// Failure: the loser of two attempts keeps running, or its response is forwarded as well.
#[test]
fn first_response_of_two_attempts_is_forwarded_and_the_other_attempt_closed() {
    for first_server_wins in [true, false] {
        let mut silent = SilentServer::new(2, "");
        silent.harness.advance_ms(UNTIL_HEALTH_CHECK_FAILED_MS);
        let second = silent.harness.next_request();
        let (winner, loser) = if first_server_wins {
            (&silent.attempt, &second)
        } else {
            (&second, &silent.attempt)
        };
        silent.harness.respond_ok(winner);
        let response = silent.harness.next_response(silent.client);
        assert_eq!((response.status, &response.body[..]), (200, &b"of one"[..]));
        silent.harness.settle();
        assert!(silent.harness.connection_mut(loser).stream.closed_by_peer);
        silent.harness.respond_ok(loser);
        silent.harness.advance_ms(400);
        assert!(silent.harness.clients[silent.client].received.is_empty());
        assert_eq!(silent.harness.request_count(), 2);
    }
}

/// Failure: servers work on for a client that has left, or for a request whose time is over.
#[test]
fn both_attempts_are_closed_when_the_client_leaves_and_at_the_deadline() {
    for client_leaves in [true, false] {
        let mut silent = SilentServer::new(2, "");
        silent.harness.advance_ms(UNTIL_HEALTH_CHECK_FAILED_MS);
        let second = silent.harness.next_request();
        if client_leaves {
            silent.harness.clients[silent.client].close();
            silent.harness.settle();
        } else {
            silent.harness.advance_ms(1_800);
            assert_eq!(silent.harness.next_response(silent.client).status, 504);
        }
        for attempt in [&silent.attempt, &second] {
            assert!(silent.harness.connection_mut(attempt).stream.closed_by_peer);
        }
    }
}
