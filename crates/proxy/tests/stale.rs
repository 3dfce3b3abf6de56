//! A proxy that may lack a change that was acknowledged refuses nothing for good: a route or a key that it does not know may
//! be among what it lacks.

mod common;

use common::{Bench, START, ask, item, route};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;

/// Far longer than a change may take to be in force, in milliseconds.
const SILENCE: i64 = 10_000;

fn status(bench: &mut Bench, prefix: &str, more: &str) -> u16 {
    let client = bench.ask(ask(&format!("GET {prefix}x"), "r1", more, ""));
    bench.answer(client).status
}

fn serves(bench: &mut Bench) {
    let client = bench.ask(ask("GET /i/x", "r2", "", ""));
    let at = bench.served();
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
}

/// A route that wants a key, and a tenant.
fn tell_keyed_route(bench: &mut Bench) {
    let tenant = r#"{"apikeys":["k"],"prio":1,"per_s":0,"burst":0,"pins":[]}"#;
    bench.tell(ControlMessage::Items(vec![
        route("/k/", 2, "idem", ""),
        item(ItemKind::Tenant, "t", 2, tenant),
    ]));
    bench.settle();
}

#[test]
fn proxy_that_starts_refuses_no_route_before_it_knows_all() {
    let mut bench = Bench::started(START, &["a"], "");
    bench.configure();
    bench.settle();
    assert_eq!(status(&mut bench, "/other/", ""), 503);
    serves(&mut bench);
    bench.tell(ControlMessage::Complete);
    bench.settle();
    assert_eq!(
        status(&mut bench, "/other/", ""),
        503,
        "the agent may be cut off itself"
    );
    bench.complete();
    assert_eq!(status(&mut bench, "/other/", ""), 404);
}

#[test]
fn proxy_that_has_heard_nothing_for_long_refuses_no_route_and_no_key() {
    let mut bench = Bench::new(&["a"]);
    tell_keyed_route(&mut bench);
    assert_eq!(status(&mut bench, "/other/", ""), 404);
    let other_key = "Authorization: Bearer other\r\n";
    assert_eq!(status(&mut bench, "/k/", other_key), 401);
    bench.pass(SILENCE);
    assert_eq!(status(&mut bench, "/other/", ""), 503);
    assert_eq!(status(&mut bench, "/k/", other_key), 503);
    serves(&mut bench);
    for (age, expected) in [(5_000_000, 503), (100_000, 404)] {
        bench.tell(ControlMessage::Confirmed { age_us: age });
        bench.settle();
        assert_eq!(status(&mut bench, "/other/", ""), expected, "age {age}");
    }
}
