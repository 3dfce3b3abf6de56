use super::*;
use protocol::messages::NodeInfo;
use test_case::test_case;

/// The indices of the edges for a client of this region. Each edge is written as its region, then
/// `r` (ready), `l` (draining) or `a` (unavailable).
fn lookup(edges: &str, region: &str) -> String {
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
    let found = addresses(&members.iter().collect::<Vec<_>>(), region);
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
    assert_eq!(lookup(edges, region), expected);
}

#[test]
fn query_is_parsed_and_response_encoded() {
    assert_eq!(
        requested_region("/api/lookup?name=x.example&region=serra&zone=a").as_deref(),
        Some("serra")
    );
    assert_eq!(
        (
            requested_region("/api/lookup"),
            requested_region("/api/lookup?name=x")
        ),
        (None, None)
    );
    let text =
        String::from_utf8(answer_body(&["10.1.0.33:8686".parse().unwrap()], 2_000_000)).unwrap();
    assert_eq!(text, r#"{"addrs":["10.1.0.33:8686"],"ttl":"2000ms"}"#);
}
