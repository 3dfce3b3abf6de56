//! A proxy whose configuration may be out of date answers 503 for unknown routes and keys, not 404
//! or 401, after which clients don't retry: the route or key may be part of an acknowledged change
//! that it has not received yet.

mod common;

use common::{ProxyHarness, START, item, request_text, route};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;

/// Time without a confirmation, far longer than a change may take to be in force.
const SILENCE_MS: i64 = 10_000;

/// Sends a request below this prefix; returns the status of the response.
fn response_status(harness: &mut ProxyHarness, prefix: &str, extra_headers: &str) -> u16 {
    let client = harness.send_from_new_client(request_text(
        &format!("GET {prefix}x"),
        "r1",
        extra_headers,
        "",
    ));
    harness.next_response(client).status
}

fn assert_known_route_is_served(harness: &mut ProxyHarness) {
    let client = harness.send_from_new_client(request_text("GET /i/x", "r2", "", ""));
    let attempt = harness.next_request();
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
}

/// The agent sends a route that requires a key, and a tenant with one.
fn send_keyed_route(harness: &mut ProxyHarness) {
    let tenant = r#"{"apikeys":["k"],"prio":1,"per_s":0,"burst":0,"pins":[]}"#;
    harness.send_control(ControlMessage::Items(vec![
        route("/k/", 2, "idem", ""),
        item(ItemKind::Tenant, "t", 2, tenant),
    ]));
    harness.settle();
}

#[test]
fn starting_proxy_answers_503_for_unknown_routes_until_its_state_is_complete() {
    let mut harness = ProxyHarness::without_state(START, &["a"], "");
    harness.configure();
    harness.settle();
    assert_eq!(response_status(&mut harness, "/other/", ""), 503);
    assert_eq!(
        response_status(&mut harness, "/i/", ""),
        503,
        "what the agent has sent so far may be any part"
    );
    harness.send_control(ControlMessage::SnapshotComplete);
    harness.settle();
    assert_eq!(response_status(&mut harness, "/other/", ""), 503);
    assert_known_route_is_served(&mut harness);
    harness.send_control(ControlMessage::Complete);
    harness.settle();
    assert_eq!(
        response_status(&mut harness, "/other/", ""),
        503,
        "without a confirmation, the agent may be isolated"
    );
    harness.confirm_complete_state();
    assert_eq!(response_status(&mut harness, "/other/", ""), 404);
}

#[test]
fn proxy_with_stale_state_answers_503_for_unknown_routes_and_keys() {
    let mut harness = ProxyHarness::new(&["a"]);
    send_keyed_route(&mut harness);
    assert_eq!(response_status(&mut harness, "/other/", ""), 404);
    let other_key = "Authorization: Bearer other\r\n";
    assert_eq!(response_status(&mut harness, "/k/", other_key), 401);
    harness.advance_ms(SILENCE_MS);
    assert_eq!(response_status(&mut harness, "/other/", ""), 503);
    assert_eq!(response_status(&mut harness, "/k/", other_key), 503);
    assert_known_route_is_served(&mut harness);
    for (age_us, expected) in [(5_000_000, 503), (100_000, 404)] {
        harness.send_control(ControlMessage::Confirmed { age_us });
        harness.settle();
        assert_eq!(
            response_status(&mut harness, "/other/", ""),
            expected,
            "age {age_us}"
        );
    }
}
