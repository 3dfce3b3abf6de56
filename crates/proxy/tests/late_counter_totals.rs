//! A counter that is reachable, but whose totals arrive late, as over a saturated link. Guards
//! against rejecting a tenant that is far below its quota because its totals are late.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::{MS, ProxyHarness, item, request_text, route};
use protocol::items::ItemKind;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};

/// Time from the counter call to its total.
const ROUND_TRIP_US: i64 = 450 * MS;
/// Interval between requests: five per second, while an even share of the quota is one per second.
const REQUEST_INTERVAL_US: i64 = 200 * MS;
/// Length of the test; the last 2 s are left for the responses.
const DURATION_US: i64 = 8_000 * MS;
/// Number of limiters that the quota is divided by.
const LIMITERS: u32 = 60;
/// Requests of the first two seconds, which may be rejected: the proxy has not yet learned from a
/// total how long counter calls take.
const REQUESTS_BEFORE_FIRST_TOTAL: usize = 10;

/// A counter that delays each batch of totals by [`ROUND_TRIP_US`].
#[derive(Default)]
struct SlowCounter {
    totals: BTreeMap<u64, f64>,
    pending: VecDeque<(i64, ControlMessage)>,
}

impl SlowCounter {
    fn step(&mut self, harness: &mut ProxyHarness) {
        let now = harness.now_us();
        for message in std::mem::take(&mut harness.agent_messages) {
            let AgentMessage::CounterBatch { batch, adds, .. } = message else {
                continue;
            };
            let mut add = |counter: u64, units: f64| {
                let total = self.totals.entry(counter).or_default();
                *total += units;
                *total
            };
            let totals = adds
                .iter()
                .map(|counter_add| add(counter_add.counter, counter_add.units))
                .collect();
            let response = ControlMessage::CounterTotals { batch, totals };
            self.pending.push_back((now + ROUND_TRIP_US, response));
        }
        while self
            .pending
            .front()
            .is_some_and(|(due_at, _)| *due_at <= now)
        {
            let (_, response) = self.pending.pop_front().unwrap();
            harness.send_control(response);
        }
    }
}

/// A proxy in a cluster of [`LIMITERS`], with a tenant whose quota is one request per second for
/// each of them.
fn harness_with_tenant() -> ProxyHarness {
    let mut harness = ProxyHarness::new(&["a"]);
    harness.send_control(ControlMessage::ClusterView(ClusterView {
        counter: Some(("10.0.0.9:7740".parse().unwrap(), 1)),
        has_quorum: true,
        limiter_count: LIMITERS,
        zone_limiter_count: LIMITERS,
        ..ClusterView::default()
    }));
    let tenant = r#"{"apikeys":["k1"],"prio":1,"per_s":60,"burst":60,"pins":[]}"#;
    harness.send_control(ControlMessage::Items(vec![
        route("/k/", 2, "idem", ""),
        item(ItemKind::Tenant, "t", 2, tenant),
    ]));
    harness.settle();
    harness
}

#[test]
fn tenant_below_its_quota_is_served_despite_late_totals() {
    let mut harness = harness_with_tenant();
    let mut counter = SlowCounter::default();
    let (started_at, mut clients) = (harness.now_us(), Vec::new());
    let mut next_request_at = started_at;
    while harness.now_us() < started_at + DURATION_US {
        if harness.now_us() >= next_request_at
            && next_request_at < started_at + DURATION_US - 2_000 * MS
        {
            next_request_at += REQUEST_INTERVAL_US;
            let id = format!("r{}", clients.len());
            let extra_headers = "Authorization: Bearer k1\r\nX-Time-Left: 3000\r\n";
            clients.push(harness.send_from_new_client(request_text(
                "GET /k/x",
                &id,
                extra_headers,
                "",
            )));
        }
        harness.advance_ms(20);
        counter.step(&mut harness);
        while let Some(attempt) = harness.take_request() {
            harness.respond_ok(&attempt);
        }
    }
    let statuses: Vec<u16> = clients
        .iter()
        .map(|client| harness.next_response(*client).status)
        .collect();
    let rejected = statuses
        .iter()
        .skip(REQUESTS_BEFORE_FIRST_TOTAL)
        .filter(|s| **s == 429);
    assert_eq!(rejected.count(), 0, "{statuses:?}");
}
