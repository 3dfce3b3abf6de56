use super::*;
use test_case::test_case;

const TEXT: &str = r#"{"objs":[{"type":"tenants","meta":{"name":"t","ver":3},"spec":{"apikeys":["secret-1"],"per_s":5}},
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"hcheck":"/h"}},
        {"type":"limits","meta":{"ver":2},"spec":{"hdr_bytes":1,"body_bytes":1,"hdr":"1s","idle":"1s"}}]}"#;

#[test]
fn exported_configuration_is_read_back_without_secrets() {
    let plain = Configuration::read(TEXT.as_bytes()).unwrap();
    assert_eq!(
        Configuration::read(plain.write().as_bytes()).unwrap(),
        plain
    );
    let hidden = plain.clone().hidden("pepper");
    let text = hidden.write();
    assert!(
        !text.contains("secret-1") && text.contains(&hashed("pepper", "secret-1")),
        "{text}"
    );
    assert_eq!(Configuration::read(text.as_bytes()).unwrap(), hidden);
    assert_ne!(hashed("pepper", "secret-1"), hashed("salt", "secret-1"));
}

#[test_case(r#""per_s":5"#, r#""per_s":-5"#, "per_s"; "a rate below nothing")]
#[test_case(r#""hdr":"1s""#, r#""hdr":"soon""#, "limits"; "no span")]
#[test_case(r#""objs""#, r#""objects""#, "objs"; "no items")]
#[test_case(r#""type":"svcs""#, r#""type":"rules""#, "type"; "an unknown kind")]
#[test_case(r#""ver":1}"#, r#""ver":1"#, "JSON"; "cut short")]
fn error_names_its_key(from: &str, to: &str, key: &str) {
    assert!(TEXT.contains(from));
    let error = Configuration::read(TEXT.replacen(from, to, 1).as_bytes()).unwrap_err();
    assert!(format!("{error:#}").contains(key), "{error:#}");
}
