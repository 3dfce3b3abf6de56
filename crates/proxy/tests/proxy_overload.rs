//! An overloaded proxy: it handles its input late, or its body buffer is full. The lowest tier is
//! rejected first, and no rejected request was forwarded to a server.

mod common;

use common::{ProxyHarness, request_text, route};
use protocol::messages::ControlMessage;
use test_case::test_case;

/// A proxy with routes of the highest tier (`/high/`, `/up/`) and of the lowest (`/low/`,
/// `/guests/`).
fn harness_with_tiers(servers: &[&str]) -> ProxyHarness {
    let mut harness = ProxyHarness::new(servers);
    let route_of_tier = |prefix: &str, kind, tier: u32| {
        route(prefix, 1, kind, &format!(r#","public":true,"prio":{tier}"#))
    };
    let routes = vec![
        route_of_tier("/high/", "idem", 0),
        route_of_tier("/low/", "idem", 3),
        route_of_tier("/up/", "upload", 0),
    ];
    harness.send_control(ControlMessage::Items(
        [routes, vec![route_of_tier("/guests/", "upload", 3)]].concat(),
    ));
    harness.settle();
    harness
}

/// Sends batches of requests, which the proxy handles with this delay; returns the share of
/// successful requests in the highest and in the lowest tier.
fn send_delayed_batches(harness: &mut ProxyHarness, delay_ms: i64) -> [f64; 2] {
    let mut successes = [0.0; 2];
    for batch in 0..30 {
        let clients: Vec<usize> = (0..8).map(|_| harness.connect_client()).collect();
        harness.settle();
        let send_one = |(n, client): (usize, usize)| {
            let (tier_index, id) = (usize::from(n >= 2), format!("{batch}-{n}"));
            let text = request_text(["GET /high/1", "GET /low/1"][tier_index], &id, "", "");
            assert_eq!(harness.clients[client].write(text.as_bytes()), text.len());
            (tier_index, id, client)
        };
        let requests: Vec<(usize, String, usize)> =
            clients.into_iter().enumerate().map(send_one).collect();
        harness.stall_ms(delay_ms);
        let mut forwarded = Vec::new();
        while let Some(attempt) = harness.take_request() {
            forwarded.push(attempt.id().to_string());
            harness.respond_ok(&attempt);
        }
        for (tier_index, id, client) in requests {
            let response = harness.next_response(client);
            assert_eq!(
                response.status == 200,
                forwarded.contains(&id),
                "{id}: {}",
                response.status
            );
            assert!(
                response.status == 200 || response.status == 503,
                "{id}: {}",
                response.status
            );
            // The proxy needs the first batches to detect the overload; they don't count.
            successes[tier_index] += f64::from(u8::from(batch >= 10 && response.status == 200));
            harness.clients[client].close();
        }
    }
    [successes[0] / 40.0, successes[1] / 120.0]
}

#[test_case(80, false; "delayed input")]
#[test_case(5, true; "timely input")]
fn proxy_with_delayed_input_rejects_the_lower_tier_first(delay_ms: i64, serves_lower_tier: bool) {
    let mut harness = harness_with_tiers(&["a"; 6]);
    let [high, low] = send_delayed_batches(&mut harness, delay_ms);
    assert!(high >= 0.95, "{high:.2} {low:.2}");
    assert_eq!(low >= 0.95, serves_lower_tier, "{high:.2} {low:.2}");
}

#[test]
fn lowest_tier_is_evicted_when_bodies_fill_the_buffer() {
    let mut harness = harness_with_tiers(&["a"]);
    // The longest bodies that are buffered as a whole; longer ones are streamed.
    let (body_bytes, partial_bytes) = (2usize << 20, (2usize << 20) - 1_000);
    let (length, partial_body) = (
        format!("Content-Length: {body_bytes}\r\n"),
        "x".repeat(partial_bytes),
    );
    let first =
        harness.send_from_new_client(request_text("POST /up/1", "first", &length, &partial_body));
    let guests: Vec<usize> = (0..33)
        .map(|n| {
            harness.send_from_new_client(request_text(
                "POST /guests/1",
                &format!("guest-{n}"),
                &length,
                &partial_body,
            ))
        })
        .collect();
    harness.settle();
    let evicted = guests
        .iter()
        .filter(|guest| !harness.clients[**guest].received.is_empty())
        .count();
    assert!((1..=3).contains(&evicted), "{evicted} requests evicted");
    harness.send(first, "x".repeat(1_000));
    let attempt = harness.step_until("request at a server", |harness| harness.take_request());
    assert_eq!((attempt.id(), harness.request_count()), ("first", 1));
}
