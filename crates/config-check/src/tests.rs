use serde::Deserialize;

use super::*;

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Nodes {
    count: f64,
    cores: f64,
    kind: Kind,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Warm,
    Frozen,
}

impl Default for Nodes {
    fn default() -> Nodes {
        Nodes {
            count: 1.0,
            cores: 2.0,
            kind: Kind::Warm,
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Document {
    nodes: Nodes,
    more: Vec<Nodes>,
}

fn parse_error(text: &str) -> String {
    parse_json::<Document>(text)
        .map(|document| {
            (
                document.nodes.count,
                document.nodes.cores,
                document.more.len(),
            )
        })
        .unwrap_err()
        .to_string()
}

#[test]
fn errors_name_the_key_and_the_closest_known_one() {
    assert_eq!(
        parse_error(r#"{"nodes":{"coers":2}}"#),
        "key 'nodes.coers': unknown key; did you mean 'cores'?"
    );
    assert!(parse_error(r#"{"nodes":{"zebra":2}}"#).contains("known are count, cores, kind"));
    assert!(
        parse_error(r#"{"nodes":{"cores":"two"}}"#).starts_with("key 'nodes.cores': invalid type")
    );
    let suggestion = "key 'more[1].kind': 'frosen' is not known; did you mean 'frozen'?";
    assert_eq!(
        parse_error(r#"{"more":[{},{"kind":"frosen"}]}"#),
        suggestion
    );
    assert!(parse_error("{} {}").contains("not JSON"));
    assert!(parse_error("{\"nodes\":").starts_with("not JSON: EOF"));
}

#[test]
fn numbers_and_ranges_outside_their_bounds_are_rejected() {
    assert!(check_within("n", 1.0, 1.0, 2.0).is_ok());
    assert_eq!(
        check_within("n", f64::NAN, 1.0, 2.0)
            .unwrap_err()
            .to_string(),
        "key 'n': is NaN, not between 1 and 2"
    );
    assert_eq!(
        check_range("r", [2.0, 1.0], 0.0, 9.0)
            .unwrap_err()
            .to_string(),
        "key 'r': 2 to 1 is not a range"
    );
    assert_eq!(
        KeyError::new("[0].a", "x").under_parent("list").key,
        "list[0].a"
    );
    assert_eq!(KeyError::new("a", "x").under_parent("b").key, "b.a");
}
