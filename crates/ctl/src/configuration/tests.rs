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
