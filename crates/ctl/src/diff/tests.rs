use super::*;
use test_case::test_case;

const OLD: &str = r#"{"objs":[
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"apikeys":["a","b"],"per_s":5}},
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"hcheck":"/h","maxconn":9}}]}"#;
const TURNED: &str = r#"{"objs":[
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"maxconn":9,"hcheck":"/h"}},
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"per_s":5,"apikeys":["b","a"]}}]}"#;

fn read(text: &str) -> Configuration {
    Configuration::read(text.as_bytes()).unwrap()
}

#[test_case("", "", "0 added, 0 dropped, 0 changed, 2 the same\n"; "another order")]
#[test_case(r#""ver":1"#, r#""ver":4"#, "~ svcs/s version 1 to 4\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a version alone")]
#[test_case(r#""ver":3"#, r#""ver":2"#, "~ tenants/t version 3 back to 2\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a version that went back")]
#[test_case(r#""ver":1},"spec":{"maxconn":9,"#, r#""ver":2},"spec":{"#, "~ svcs/s version 1 to 2\n    maxconn: 9 -> nothing\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a key that went")]
#[test_case(r#""per_s":5"#, r#""per_s":6"#, "~ tenants/t version 3 in both, with two contents\n    per_s: 5 -> 6\n0 added, 0 dropped, 1 changed, 1 the same\n"; "two contents of one version")]
#[test_case(r#""name":"s""#, r#""name":"r""#, "+ svcs/r at version 1\n- svcs/s at version 1\n1 added, 1 dropped, 0 changed, 1 the same\n"; "another name")]
fn differences_are_named_by_item_and_key(from: &str, to: &str, is: &str) {
    let new = if from.is_empty() {
        TURNED.to_string()
    } else {
        TURNED.replacen(from, to, 1)
    };
    assert_eq!(diff(read(OLD), read(&new)).to_string(), is);
}

#[test]
fn secrets_are_compared_and_never_printed() {
    let changed = read(&OLD.replacen("\"b\"", "\"other-secret\"", 1));
    for found in [
        diff(read(OLD), changed.clone()),
        diff(read(OLD).hidden("x"), changed.clone()),
        diff(read(OLD), changed.clone().hidden("x")),
    ] {
        let keys: Vec<&str> = found.changed[0]
            .keys
            .iter()
            .map(|key| key.key.as_str())
            .collect();
        assert_eq!((keys, found.changed[0].unsure), (vec![SECRETS], false));
        assert!(!found.to_string().contains("other-secret"), "{found}");
        assert!(
            !serde_json::to_string(&found)
                .unwrap()
                .contains("other-secret")
        );
    }
    assert!(diff(read(OLD).hidden("x"), read(OLD)).is_empty());
    let two = diff(read(OLD).hidden("x"), changed.hidden("y"));
    assert!(
        two.changed[0].unsure && two.to_string().contains("two salts"),
        "{two}"
    );
}
