//! Overload with tiers, with the started programs: the lowest tier is rejected, and rejected
//! requests have not run.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::calls::call;
use emulator::system::machines::{beside, net};
use emulator::system::operator::Change;
use emulator::system::whole::{HOST, SERVICES, Size, WRITES, Whole, route};
use serde_json::json;
use tempfile::TempDir;
use test_case::test_case;

/// Clients that ask continuously: protected ones and guests. The servers' capacity is 80 requests a
/// second.
const PROTECTED: usize = 6;
const GUESTS: usize = 48;
const WORK_MS: u64 = 200;
/// How long they ask, and when their results begin to count: after the level was set.
const ASKING: Duration = Duration::from_millis(6_000);
const COUNTED: Duration = Duration::from_millis(2_500);

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// The result of a request: its id, the status if there was an answer, and when it was sent.
type Seen = (String, Option<u16>, Duration);

fn ask(whole: &Whole, name: &str, key: &str, start: Instant) -> Vec<Seen> {
    let mut seen = Vec::new();
    while start.elapsed() < ASKING {
        let (id, sent) = (format!("{name}-{}", seen.len()), start.elapsed());
        let lines = format!(
            "Host: {HOST}\r\nAuthorization: Bearer {key}\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n\
             X-Work-Ms: {WORK_MS}\r\n"
        );
        let edge = whole.machines.http(seen.len() % whole.machines.edges());
        let reply = call(
            edge,
            "POST",
            "/write/1",
            &lines,
            b"album",
            Instant::now() + Duration::from_secs(4),
        );
        let stay_away = reply.as_ref().ok().and_then(|reply| reply.retry_after);
        seen.push((id, reply.ok().map(|reply| reply.status), sent));
        // A rejected client waits as it was told; this is that wait, and not one for an event.
        std::thread::park_timeout(Duration::from_micros(stay_away.unwrap_or(0).max(0) as u64));
    }
    seen
}

#[test_case(0, 2, true; "guests behind")]
#[test_case(1, 1, false; "all alike")]
fn under_overload_the_lower_tier_is_rejected_and_no_rejected_request_runs(
    own: u32,
    guests: u32,
    protects: bool,
) {
    let folder = TempDir::new().unwrap();
    let programs = beside(Path::new(env!("CARGO_BIN_EXE_proxy")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 2,
        net: net(),
    };
    let mut whole = Whole::start(folder.path(), &programs, size, soon()).unwrap();
    let tenant = |key: &str, prio: u32| json!({"apikeys": [key], "prio": prio, "per_s": 0, "burst": 0, "pins": []});
    let change = Change::default()
        .set("tenants", "inspectors", 2, tenant("key-of-inspectors", own))
        .set("tenants", "guests", 2, tenant("key-of-guests", guests));
    let mut slow = route(WRITES, SERVICES[0]);
    slow["target_time"] = json!("600ms");
    let change = change.set("routes", "writes", 2, slow);
    whole.operator.change(&change, soon()).unwrap();
    let start = Instant::now();
    let (protected, others): (Vec<Seen>, Vec<Seen>) = std::thread::scope(|scope| {
        let whole = &whole;
        let all = |count: usize, name: &'static str, key: &'static str| {
            let asks = move |n| move || ask(whole, &format!("{name}{n}"), key, start);
            (0..count).map(|n| scope.spawn(asks(n))).collect::<Vec<_>>()
        };
        let protected = all(PROTECTED, "inspector", "key-of-inspectors");
        let others = all(GUESTS, "guest", "key-of-guests");
        let joined = |all: Vec<std::thread::ScopedJoinHandle<'_, Vec<Seen>>>| {
            all.into_iter()
                .flat_map(|one| one.join().unwrap())
                .collect()
        };
        (joined(protected), joined(others))
    });
    let refused = |status: &Option<u16>| matches!(status, Some(429 | 503));
    for (id, status, _) in protected.iter().chain(&others) {
        let runs = whole.town.runs(id);
        assert!(
            runs <= 1 && !(refused(status) && runs > 0),
            "{id}: {status:?}, ran {runs} times"
        );
    }
    assert_eq!(whole.town.counts().twice, 0);
    let share = |all: &[Seen]| {
        let counted: Vec<&Seen> = all.iter().filter(|(.., sent)| *sent >= COUNTED).collect();
        let served = counted
            .iter()
            .filter(|(_, status, _)| *status == Some(200))
            .count();
        served as f64 / counted.len().max(1) as f64
    };
    let (first, last) = (share(&protected), share(&others));
    assert!(last < 0.7, "there was no overload: {last:.2}");
    assert_eq!(
        first >= 0.95,
        protects,
        "protected {first:.2}, guests {last:.2}"
    );
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
