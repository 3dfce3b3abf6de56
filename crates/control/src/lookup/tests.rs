use super::*;
use protocol::messages::NodeInfo;
use test_case::test_case;

/// Edges as text: region, then `r` (ready), `l` (draining) or `a` (unavailable); the number is its
/// position.
fn lookup(edges: &str, asked: &str) -> String {
    let one = |(at, text): (usize, &str)| Member {
        node: NodeInfo {
            name: format!("edge-{at}"),
            zone: format!("{}1", &text[..1]),
            region: text[..1].to_string(),
            http_address: SocketAddr::from(([10, 0, 0, at as u8], 80)),
        },
        state: match &text[1..] {
            "r" => NodeState::Ready,
            "l" => NodeState::Draining,
            _ => NodeState::Unavailable,
        },
        is_connected: true,
    };
    let members: Vec<Member> = edges.split(' ').enumerate().map(one).collect();
    let found = addresses(&members.iter().collect::<Vec<_>>(), asked);
    found
        .iter()
        .map(|address| address.to_string()[7..8].to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

#[test_case("ar ar br br", "a", "0 1"; "the region's own")]
#[test_case("ar al aa br br", "a", "0 3 4"; "one is few: the others after it")]
#[test_case("aa br cr", "a", "1 2"; "none there")]
#[test_case("ar br cl", "x", "0 1"; "an unknown region: all")]
#[test_case("ar ar br", "", "0 1 2"; "no region: all")]
#[test_case("al aa bl", "a", ""; "none is ready")]
fn local_edges_come_first_and_others_fill_up(edges: &str, asked: &str, is: &str) {
    assert_eq!(lookup(edges, asked), is);
}

#[test]
fn query_is_parsed_and_answer_encoded() {
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
