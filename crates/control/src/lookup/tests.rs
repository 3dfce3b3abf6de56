use super::*;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::NodeInfo;
use test_case::test_case;

/// The indices of the edges for a client of this region. Each edge is written as its region, then
/// `r` (ready), `l` (draining) or `a` (unavailable).
fn lookup(edges: &str, region: &str, permitted_regions: PermittedRegions) -> String {
    let member = |(index, text): (usize, &str)| Member {
        node: NodeInfo {
            name: format!("edge-{index}"),
            zone: format!("{}1", &text[..1]),
            region: text[..1].to_string(),
            http_address: SocketAddr::from(([10, 0, 0, index as u8], 80)),
        },
        state: match &text[1..] {
            "r" => NodeState::Ready,
            "l" => NodeState::Draining,
            _ => NodeState::Unavailable,
        },
        is_connected: true,
    };
    let members: Vec<Member> = edges.split(' ').enumerate().map(member).collect();
    let found = addresses(&members.iter().collect::<Vec<_>>(), region, || {
        permitted_regions
    });
    found
        .iter()
        .map(|address| address.to_string()[7..8].to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

#[test_case("ar ar br br", "a", "0 1"; "two local edges suffice")]
#[test_case("ar al aa br br", "a", "0 3 4"; "one local edge: the others follow")]
#[test_case("aa br cr", "a", "1 2"; "no local edge is ready")]
#[test_case("ar br cl", "x", "0 1"; "unknown region: all")]
#[test_case("ar ar br", "", "0 1 2"; "empty region: all")]
#[test_case("al aa bl", "a", ""; "no edge is ready")]
fn local_edges_come_first_and_others_follow_if_few(edges: &str, region: &str, expected: &str) {
    assert_eq!(lookup(edges, region, PermittedRegions::All), expected);
}

// Guards against clients that are led to a region where a route of their host must not be served.
#[test_case("pr mr mr vr", "p", "0 1 2"; "one local edge: only permitted ones follow")]
#[test_case("pa mr vr", "p", "1"; "no local edge")]
#[test_case("mr pr vr va", "v", "2 0 1"; "a client outside: its own edge, then the permitted ones")]
#[test_case("pr pr mr vr", "p", "0 1"; "two local edges suffice")]
#[test_case("vr vr", "v", "0 1"; "local edges are always permitted")]
#[test_case("pa ma vr", "p", ""; "no permitted edge is ready")]
#[test_case("mr vr", "", "0"; "no region")]
fn clients_are_led_only_to_permitted_regions(edges: &str, region: &str, expected: &str) {
    let permitted_regions = PermittedRegions::Only(vec!["m".into(), "p".into()]);
    assert_eq!(lookup(edges, region, permitted_regions), expected);
}

/// A route of this host to `s` with these pins.
fn route(name: &str, host: &str, pins: &str) -> Item {
    let spec = format!(
        r#"{{"host":"{host}","prefix":"/{name}/","kind":"idem","timeout":"3s","target_time":"1s","svc":"s","pins":{pins}}}"#
    );
    Item {
        name: ItemName {
            kind: ItemKind::Route,
            name: name.to_string(),
        },
        ver: 1,
        spec: Some(spec),
    }
}

// Guards against a host whose routes differ: the pins of one of them must not be lost beside another.
#[test_case("free", PermittedRegions::All; "no pins")]
#[test_case("unknown", PermittedRegions::All; "unknown host")]
#[test_case("", PermittedRegions::All; "no host")]
#[test_case("one", PermittedRegions::Only(vec!["m".into(), "p".into()]); "one route has pins, one has none")]
#[test_case("ONE:8080", PermittedRegions::Only(vec!["m".into(), "p".into()]); "upper case and a port")]
#[test_case("common", PermittedRegions::Only(vec!["p".into()]); "two routes have one region in common")]
#[test_case("disjoint", PermittedRegions::Only(Vec::new()); "two routes have none in common")]
fn permitted_regions_satisfy_all_routes_of_a_host(host: &str, expected: PermittedRegions) {
    let removed = Item {
        spec: None,
        ..route("removed", "free", r#"["m"]"#)
    };
    let items = [
        route("a", "free", "[]"),
        route("b", "One", r#"["m","p"]"#),
        route("c", "one", "[]"),
        route("d", "common", r#"["m","p"]"#),
        route("e", "common", r#"["p","v"]"#),
        route("f", "disjoint", r#"["m"]"#),
        route("g", "disjoint", r#"["v"]"#),
        removed,
    ];
    let mut index = PinIndex::default();
    index.update(7, items.iter());
    assert_eq!(index.permitted_regions(host), expected);
    index.update(8, [].iter());
    assert_eq!(index.permitted_regions(host), PermittedRegions::All);
}

#[test]
fn query_is_parsed_and_response_encoded() {
    let query = |host: &str, region: &str| LookupQuery {
        host: host.into(),
        region: region.into(),
    };
    assert_eq!(
        LookupQuery::parse("/api/lookup?name=x.example&region=serra&zone=a"),
        query("x.example", "serra")
    );
    assert_eq!(LookupQuery::parse("/api/lookup"), query("", ""));
    assert_eq!(LookupQuery::parse("/api/lookup?name=x"), query("x", ""));
    let text =
        String::from_utf8(answer_body(&["10.1.0.33:8686".parse().unwrap()], 2_000_000)).unwrap();
    assert_eq!(text, r#"{"addrs":["10.1.0.33:8686"],"ttl":"2000ms"}"#);
}
