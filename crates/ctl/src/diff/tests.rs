use super::*;
use test_case::test_case;

const OLD: &str = r#"{"objs":[
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"apikeys":["a","b"],"per_s":5}},
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"hcheck":"/h","maxconn":9}}]}"#;
/// The content of [`OLD`] in another order.
const REORDERED: &str = r#"{"objs":[
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"maxconn":9,"hcheck":"/h"}},
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"per_s":5,"apikeys":["b","a"]}}]}"#;

fn parse(text: &str) -> Configuration {
    Configuration::parse(text.as_bytes()).unwrap()
}

#[test_case("", "", "0 added, 0 dropped, 0 changed, 2 the same\n"; "a different order")]
#[test_case(r#""ver":1"#, r#""ver":4"#, "~ svcs/s version 1 to 4\n0 added, 0 dropped, 1 changed, 1 the same\n"; "only the version")]
#[test_case(r#""ver":3"#, r#""ver":2"#, "~ tenants/t version 3 back to 2\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a lower version")]
#[test_case(r#""ver":1},"spec":{"maxconn":9,"#, r#""ver":2},"spec":{"#, "~ svcs/s version 1 to 2\n    maxconn: 9 -> nothing\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a removed key")]
#[test_case(r#""per_s":5"#, r#""per_s":6"#, "~ tenants/t version 3 in both, with two contents\n    per_s: 5 -> 6\n0 added, 0 dropped, 1 changed, 1 the same\n"; "different contents of one version")]
#[test_case(r#""name":"s""#, r#""name":"r""#, "+ svcs/r at version 1\n- svcs/s at version 1\n1 added, 1 dropped, 0 changed, 1 the same\n"; "a different name")]
fn differences_are_listed_by_item_and_key(from: &str, to: &str, expected: &str) {
    let new = if from.is_empty() {
        REORDERED.to_string()
    } else {
        REORDERED.replacen(from, to, 1)
    };
    assert_eq!(diff(parse(OLD), parse(&new)).to_string(), expected);
}

#[test]
fn secrets_are_compared_and_never_printed() {
    let changed = parse(&OLD.replacen("\"b\"", "\"other-secret\"", 1));
    for diff in [
        diff(parse(OLD), changed.clone()),
        diff(parse(OLD).with_hashed_secrets("x"), changed.clone()),
        diff(parse(OLD), changed.clone().with_hashed_secrets("x")),
    ] {
        let keys: Vec<&str> = diff.changed[0]
            .keys
            .iter()
            .map(|key| key.key.as_str())
            .collect();
        assert_eq!(
            (keys, diff.changed[0].has_incomparable_secrets),
            (vec![SECRETS_KEY], false)
        );
        assert!(!diff.to_string().contains("other-secret"), "{diff}");
        assert!(
            !serde_json::to_string(&diff)
                .unwrap()
                .contains("other-secret")
        );
    }
    assert!(diff(parse(OLD).with_hashed_secrets("x"), parse(OLD)).is_empty());
    let two_salts = diff(
        parse(OLD).with_hashed_secrets("x"),
        changed.with_hashed_secrets("y"),
    );
    assert!(
        two_salts.changed[0].has_incomparable_secrets
            && two_salts.to_string().contains("two salts"),
        "{two_salts}"
    );
}
