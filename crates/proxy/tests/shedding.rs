//! Overload with priority tiers, with the real programs: the lowest tier is rejected, and no
//! rejected request has run.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::call;
use emulator::system::machines::{built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{HOST, SERVICES, Size, TestSystem, WRITE_PREFIX, route};
use serde_json::json;
use tempfile::TempDir;
use test_case::test_case;

/// Number of clients in the protected tier. Each client sends continuously, one request at a time.
/// The servers' capacity is 80 requests per second.
const PROTECTED_CLIENTS: usize = 6;
/// Number of clients in the guests' tier.
const GUEST_CLIENTS: usize = 48;
/// Time that a server needs for a request.
const WORK_MS: u64 = 200;
/// How long the clients send.
const LOAD_DURATION: Duration = Duration::from_millis(6_000);
/// Requests sent earlier do not count: the admission level is not set yet.
const MEASURED_FROM: Duration = Duration::from_millis(2_500);

/// The deadline of an awaited event.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// The id of a request, the status if there was a response, and when it was sent, from the start.
type RequestResult = (String, Option<u16>, Duration);

/// Sends the requests of a client, which honors `Retry-After`.
fn run_client(
    system: &TestSystem,
    name: &str,
    key: &str,
    started_at: Instant,
) -> Vec<RequestResult> {
    let mut results = Vec::new();
    while started_at.elapsed() < LOAD_DURATION {
        let (id, sent_after) = (format!("{name}-{}", results.len()), started_at.elapsed());
        let headers = format!(
            "Host: {HOST}\r\nAuthorization: Bearer {key}\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n\
             X-Work-Ms: {WORK_MS}\r\n"
        );
        let edge = system
            .machines
            .http(results.len() % system.machines.edges());
        let reply = call(
            edge,
            "POST",
            "/write/1",
            &headers,
            b"album",
            Instant::now() + Duration::from_secs(4),
        );
        let retry_after_us = reply.as_ref().ok().and_then(|reply| reply.retry_after);
        results.push((id, reply.ok().map(|reply| reply.status), sent_after));
        // The wait that `Retry-After` asks for; no event is awaited here.
        std::thread::park_timeout(Duration::from_micros(
            retry_after_us.unwrap_or(0).max(0) as u64
        ));
    }
    results
}

#[test_case(0, 2, true; "guests in a lower tier")]
#[test_case(1, 1, false; "all in one tier")]
fn under_overload_the_lower_tier_is_rejected_and_no_rejected_request_runs(
    protected_tier: u32,
    guest_tier: u32,
    is_protected: bool,
) {
    let directory = TempDir::new().unwrap();
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_proxy")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 2,
        net: unused_net(),
    };
    let mut system = TestSystem::start(directory.path(), &programs, size, deadline()).unwrap();
    let tenant = |key: &str, tier: u32| json!({"apikeys": [key], "prio": tier, "per_s": 0, "burst": 0, "pins": []});
    let change = Change::default()
        .set(
            "tenants",
            "inspectors",
            2,
            tenant("key-of-inspectors", protected_tier),
        )
        .set("tenants", "guests", 2, tenant("key-of-guests", guest_tier));
    let mut write_route = route(WRITE_PREFIX, SERVICES[0]);
    write_route["target_time"] = json!("600ms");
    let change = change.set("routes", "writes", 2, write_route);
    system.operator.change(&change, deadline()).unwrap();
    let started_at = Instant::now();
    let (protected, guests): (Vec<RequestResult>, Vec<RequestResult>) =
        std::thread::scope(|scope| {
            let system = &system;
            let spawn_clients = |count: usize, name: &'static str, key: &'static str| {
                let client =
                    move |n| move || run_client(system, &format!("{name}{n}"), key, started_at);
                (0..count)
                    .map(|n| scope.spawn(client(n)))
                    .collect::<Vec<_>>()
            };
            let protected = spawn_clients(PROTECTED_CLIENTS, "inspector", "key-of-inspectors");
            let guests = spawn_clients(GUEST_CLIENTS, "guest", "key-of-guests");
            let join_all = |handles: Vec<std::thread::ScopedJoinHandle<'_, Vec<RequestResult>>>| {
                handles
                    .into_iter()
                    .flat_map(|handle| handle.join().unwrap())
                    .collect()
            };
            (join_all(protected), join_all(guests))
        });
    let is_rejected = |status: &Option<u16>| matches!(status, Some(429 | 503));
    for (id, status, _) in protected.iter().chain(&guests) {
        let runs = system.fleet.run_count(id);
        assert!(
            runs <= 1 && !(is_rejected(status) && runs > 0),
            "{id}: {status:?}, ran {runs} times"
        );
    }
    assert_eq!(system.fleet.counts().repeated_mutating, 0);
    let success_ratio = |results: &[RequestResult]| {
        let measured: Vec<&RequestResult> = results
            .iter()
            .filter(|(.., sent_after)| *sent_after >= MEASURED_FROM)
            .collect();
        let served = measured
            .iter()
            .filter(|(_, status, _)| *status == Some(200))
            .count();
        served as f64 / measured.len().max(1) as f64
    };
    let (protected_ratio, guest_ratio) = (success_ratio(&protected), success_ratio(&guests));
    assert!(guest_ratio < 0.7, "there was no overload: {guest_ratio:.2}");
    assert_eq!(
        protected_ratio >= 0.95,
        is_protected,
        "protected {protected_ratio:.2}, guests {guest_ratio:.2}"
    );
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
