use super::*;
use test_case::test_case;

const TEXT: &str = r#"{"objs":[{"type":"tenants","meta":{"name":"t","ver":3},"spec":{"apikeys":["secret-1"],"per_s":5}},
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"hcheck":"/h"}},
        {"type":"limits","meta":{"ver":2},"spec":{"hdr_bytes":1,"body_bytes":1,"hdr":"1s","idle":"1s"}}]}"#;

#[test]
fn exported_configuration_is_parsed_back_without_secrets() {
    let plain = Configuration::parse(TEXT.as_bytes()).unwrap();
    assert_eq!(
        Configuration::parse(plain.to_json_lines().as_bytes()).unwrap(),
        plain
    );
    let hashed = plain.clone().with_hashed_secrets("salt-1");
    let text = hashed.to_json_lines();
    assert!(
        !text.contains("secret-1") && text.contains(&hash_secret("salt-1", "secret-1")),
        "{text}"
    );
    assert_eq!(Configuration::parse(text.as_bytes()).unwrap(), hashed);
    assert_ne!(
        hash_secret("salt-1", "secret-1"),
        hash_secret("salt-2", "secret-1")
    );
}

#[test_case(r#""per_s":5"#, r#""per_s":-5"#, "per_s"; "a negative rate")]
#[test_case(r#""hdr":"1s""#, r#""hdr":"soon""#, "limits"; "an invalid duration")]
#[test_case(r#""objs""#, r#""objects""#, "objs"; "missing items")]
#[test_case(r#""type":"svcs""#, r#""type":"rules""#, "type"; "an unknown kind")]
#[test_case(r#""ver":1}"#, r#""ver":1"#, "JSON"; "truncated JSON")]
fn error_of_an_invalid_configuration_names_the_key(from: &str, to: &str, key: &str) {
    assert!(TEXT.contains(from));
    let error = Configuration::parse(TEXT.replacen(from, to, 1).as_bytes()).unwrap_err();
    assert!(format!("{error:#}").contains(key), "{error:#}");
}

/// Values that a JSON library may print as others than it has parsed, each beside one that it may take for the same.
const UNUSUAL: [&str; 8] = [
    "0.09090909090909091",
    "0.09090909090909093",
    "18446744073709551617",
    "18446744073709551618",
    "0.30000000000000000001",
    "0.3",
    "1e400",
    r#""\ud800""#,
];

// Guards against an export whose numbers differ from those in force, so that it can't be sent again or compared.
#[test_case("0.09090909090909091"; "17 digits")]
#[test_case("18446744073709551617"; "an integer beyond 64 bits")]
#[test_case("0.30000000000000000001"; "20 digits")]
#[test_case("1e400"; "beyond a double")]
#[test_case(r#""\ud800""#; "half a surrogate pair")]
#[test_case("1.50"; "a zero at the end")]
fn export_keeps_values_as_they_were_sent(value: &str) {
    let with = |value: &str| {
        let text = TEXT.replacen("\"per_s\":5", &format!("\"per_s\":5,\"note\":{value}"), 1);
        Configuration::parse(text.as_bytes()).unwrap()
    };
    let plain = with(value);
    let hashed = plain.clone().with_hashed_secrets("salt-1");
    for configuration in [&plain, &hashed] {
        let text = configuration.to_json_lines();
        assert!(text.contains(&format!("\"note\":{value}}}")), "{text}");
        assert_eq!(
            Configuration::parse(text.as_bytes()).unwrap(),
            *configuration
        );
    }
    for other in UNUSUAL.into_iter().filter(|other| *other != value) {
        let diff = crate::diff::diff(plain.clone(), with(other));
        assert_eq!(diff.changed.len(), 1, "{value} and {other}: {diff}");
        let text = serde_json::to_string(&diff).unwrap();
        assert!(text.contains(value) && text.contains(other), "{text}");
    }
}
