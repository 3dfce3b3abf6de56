//! An overloaded proxy: late with its input, or full. The lowest tier is rejected first, and
//! nothing rejected was forwarded to a server.

mod common;

use common::{Bench, ask, route};
use protocol::messages::ControlMessage;
use test_case::test_case;

/// A proxy with routes of the highest and of the lowest tier.
fn tiers(servers: &[&str]) -> Bench {
    let mut bench = Bench::new(servers);
    let tier = |prefix: &str, kind, prio: u32| {
        route(prefix, 1, kind, &format!(r#","public":true,"prio":{prio}"#))
    };
    let routes = vec![
        tier("/high/", "idem", 0),
        tier("/low/", "idem", 3),
        tier("/up/", "upload", 0),
    ];
    bench.tell(ControlMessage::Items(
        [routes, vec![tier("/guests/", "upload", 3)]].concat(),
    ));
    bench.settle();
    bench
}

/// Requests arrive in small batches, each late by this much; returns the forwarded shares of the
/// higher and the lower tier.
fn heaps(bench: &mut Bench, late: i64) -> [f64; 2] {
    let mut on = [0.0; 2];
    for heap in 0..30 {
        let clients: Vec<usize> = (0..8).map(|_| bench.client()).collect();
        bench.settle();
        let ask_one = |(n, client): (usize, usize)| {
            let (kind, id) = (usize::from(n >= 2), format!("{heap}-{n}"));
            let text = ask(["GET /high/1", "GET /low/1"][kind], &id, "", "");
            assert_eq!(bench.clients[client].write(text.as_bytes()), text.len());
            (kind, id, client)
        };
        let asked: Vec<(usize, String, usize)> =
            clients.into_iter().enumerate().map(ask_one).collect();
        bench.late(late);
        let mut ran = Vec::new();
        while let Some(at) = bench.take() {
            ran.push(at.id().to_string());
            bench.serve(&at);
        }
        for (kind, id, client) in asked {
            let answer = bench.answer(client);
            assert_eq!(
                answer.status == 200,
                ran.contains(&id),
                "{id}: {}",
                answer.status
            );
            assert!(
                answer.status == 200 || answer.status == 503,
                "{id}: {}",
                answer.status
            );
            // The proxy may learn during the first batches.
            on[kind] += f64::from(u8::from(heap >= 10 && answer.status == 200));
            bench.clients[client].close();
        }
    }
    [on[0] / 40.0, on[1] / 120.0]
}

#[test_case(80, false; "late")]
#[test_case(5, true; "in good time")]
fn late_proxy_rejects_the_lower_tier_first(late: i64, all: bool) {
    let mut bench = tiers(&["a"; 6]);
    let [high, low] = heaps(&mut bench, late);
    assert!(high >= 0.95, "{high:.2} {low:.2}");
    assert_eq!(low >= 0.95, all, "{high:.2} {low:.2}");
}

#[test]
fn lowest_tier_is_evicted_when_bodies_fill_the_buffer() {
    let mut bench = tiers(&["a"]);
    // Longer bodies are not buffered: they are streamed.
    let (whole, part) = (2usize << 20, (2usize << 20) - 1_000);
    let (length, part) = (format!("Content-Length: {whole}\r\n"), "x".repeat(part));
    let first = bench.ask(ask("POST /up/1", "first", &length, &part));
    let guests: Vec<usize> = (0..33)
        .map(|n| bench.ask(ask("POST /guests/1", &format!("guest-{n}"), &length, &part)))
        .collect();
    bench.settle();
    let refused = guests
        .iter()
        .filter(|guest| !bench.clients[**guest].input.is_empty())
        .count();
    assert!((1..=3).contains(&refused), "{refused}");
    bench.send(first, "x".repeat(1_000));
    let at = bench.until("request at a server", |bench| bench.take());
    assert_eq!((at.id(), bench.count()), ("first", 1));
}
