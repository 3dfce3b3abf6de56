//! Shutdown of the proxy, restart of its agent, and a proxy without servers.

mod common;

use common::{ProxyHarness, request_text, route};
use protocol::messages::{AgentMessage, ControlMessage, NodeState};

#[test]
fn shutdown_finishes_accepted_requests_and_then_exits() {
    let mut harness = ProxyHarness::new(&["a"]);
    let idle_client = harness.connect_client();
    let busy_client = harness.send_from_new_client(request_text("POST /m/1", "one", "", ""));
    let first = harness.next_request();
    assert_eq!(harness.probe_readiness(), 200);
    let now = harness.now_us();
    harness.host.begin_shutdown(now);
    assert_eq!(harness.probe_readiness(), 503);
    assert_eq!(
        harness.agent_messages.last(),
        Some(&AgentMessage::Heartbeat(NodeState::Draining))
    );
    // During the notice period the proxy still serves new clients. For a moment after it, it serves
    // another request on their connections.
    harness.advance_ms(2_000);
    let late_client = harness.connect_client();
    for (id, keep_alive) in [("two", true), ("three", false)] {
        harness.send(late_client, request_text("GET /i/1", id, "", ""));
        let attempt = harness.next_request();
        harness.respond_ok(&attempt);
        let response = harness.next_response(late_client);
        assert_eq!(
            (response.status, response.keep_alive),
            (200, keep_alive),
            "{id}"
        );
        harness.advance_ms(250);
    }
    harness.step_until("close of the client connection", |harness| {
        harness.clients[late_client].closed_by_peer.then_some(())
    });
    harness.clients[late_client].close();
    harness.settle();
    assert!(
        harness.clients[idle_client].closed_by_peer
            && !harness.clients[busy_client].closed_by_peer
            && !harness.host.is_finished()
    );
    assert!(
        std::net::TcpStream::connect(harness.host.listen_addresses.0).is_err(),
        "no new connection is accepted"
    );
    harness.respond_ok(&first);
    let response = harness.next_response(busy_client);
    assert_eq!(
        (
            response.status,
            response.body.as_slice(),
            response.keep_alive
        ),
        (200, &b"of one"[..], false)
    );
    harness.clients[busy_client].close();
    harness.step_until("end of the proxy", |harness| {
        harness.host.is_finished().then_some(())
    });
}

/// Guards against requests that arrive late in a shutdown, on a connection that was in use, and are
/// cut by its end while their server is running them.
#[test]
fn request_that_arrives_late_in_a_shutdown_is_rejected() {
    let mut harness = ProxyHarness::new(&["a"]);
    let request = request_text("POST /m/1", "one", "", "");
    let (start, rest) = request.split_at(20);
    let now = harness.now_us();
    harness.host.begin_shutdown(now);
    harness.advance_ms(2_100);
    let client = harness.send_from_new_client(start);
    harness.advance_ms(800);
    harness.send(client, rest);
    let response = harness.next_response(client);
    assert_eq!((response.status, response.keep_alive), (503, false));
    assert!(response.headers.contains("Retry-After"));
    assert_eq!(harness.request_count(), 0);
}

#[test]
fn restarted_agent_reverts_nothing() {
    let mut harness = ProxyHarness::new(&["a", "a"]);
    harness.send_server_list();
    harness.send_control(ControlMessage::Items(vec![route(
        "/n/",
        7,
        "idem",
        r#","public":true"#,
    )]));
    harness.settle();
    let client = harness.send_from_new_client(request_text("GET /i/1", "one", "", ""));
    let attempt = harness.next_request();
    harness.connect_agent();
    assert!(
        harness
            .agent_messages
            .ends_with(&[AgentMessage::Heartbeat(NodeState::Ready)])
    );
    harness.respond_ok(&attempt);
    assert_eq!(
        (
            harness.next_response(client).status,
            harness.probe_readiness()
        ),
        (200, 200)
    );
    // The agent's replica is behind: its older items and lists have no effect.
    let removed_route = protocol::items::Item {
        spec: None,
        ..route("/n/", 6, "idem", "")
    };
    harness.send_control(ControlMessage::Items(vec![removed_route]));
    harness.send_control(ControlMessage::Servers {
        version: (1, 1),
        servers: vec![],
    });
    harness.settle();
    for (n, path) in ["/i/2", "/n/2"].into_iter().enumerate() {
        harness.send(
            client,
            request_text(&format!("GET {path}"), &format!("more-{n}"), "", ""),
        );
        let attempt = harness.next_request();
        harness.respond_ok(&attempt);
        assert_eq!(harness.next_response(client).status, 200);
    }
    assert_eq!(harness.probe_readiness(), 200);
}

#[test]
fn proxy_without_complete_state_is_not_ready_and_rejects() {
    let mut harness = ProxyHarness::new(&[]);
    assert_eq!(
        harness.probe_readiness(),
        503,
        "without servers the proxy is not ready"
    );
    let client = harness.send_from_new_client(request_text("GET /i/1", "one", "", ""));
    let response = harness.next_response(client);
    assert_eq!(
        (response.status, response.headers.contains("Retry-After")),
        (503, true)
    );
}
