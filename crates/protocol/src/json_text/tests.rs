use super::*;
use test_case::test_case;

#[test_case("0.09090909090909091", "0.09090909090909093", false; "17 digits")]
#[test_case("18446744073709551617", "18446744073709551618", false; "integers beyond 64 bits")]
#[test_case("9007199254740993", "9007199254740992.0", false; "beyond the exact integers of a double")]
#[test_case("0.30000000000000000001", "0.3", false; "20 digits")]
#[test_case("1e400", "2e400", false; "beyond the range of a double")]
#[test_case("1", "1.0", true; "a fraction of zero")]
#[test_case("1200", "1.2e3", true; "an exponent")]
#[test_case("0.0012", "12E-4", true; "a negative exponent")]
#[test_case("-0", "0.00", true; "zeros")]
#[test_case("-1", "1", false; "signs")]
#[test_case("1e99999999999999999999", "1e99999999999999999998", false; "exponents out of range")]
#[test_case(r#""a""#, r#""\u0061""#, true; "an escape")]
#[test_case(r#""\ud800""#, r#""\ud801""#, false; "lone surrogates")]
#[test_case("1", r#""1""#, false; "a number and a string")]
#[test_case("[1, 2]", "[2,1]", false; "order of an array")]
#[test_case("[1]", "[1,1]", false; "lengths of arrays")]
#[test_case(r#"{"a":1,"b":[true,null]}"#, r#" { "b" : [ true , null ] , "a" : 1.0 } "#, true; "order of keys and spaces")]
#[test_case(r#"{"a":1}"#, r#"{"a":1,"b":null}"#, false; "an added key")]
#[test_case(r#"{"a":1,"a":2}"#, r#"{"a":2}"#, false; "a doubled key")]
#[test_case(r#"{"a":1,"a":2}"#, r#"{"a":2,"a":1}"#, false; "order of doubled keys")]
#[test_case("{", "[", false; "no JSON")]
fn values_are_compared_without_loss(a: &str, b: &str, expected: bool) {
    assert_eq!(is_same_json(a, b), expected);
    assert_eq!(is_same_json(b, a), expected);
    assert!(is_same_json(a, a));
}

#[test]
fn deep_nesting_is_compared_by_its_text() {
    let nested =
        |depth: usize, inner: &str| format!("{}{inner}{}", "[".repeat(depth), "]".repeat(depth));
    assert!(is_same_json(&nested(60, "1"), &nested(60, "1.0")));
    assert!(!is_same_json(&nested(100, "1"), &nested(100, "1.0")));
    assert!(!is_same_json(&nested(5_000, "1"), &nested(5_000, "2")));
}

#[test_case(" { \"a\" : [ 1 ,\n\t2 ] } ", r#"{"a":[1,2]}"#; "white space between tokens")]
#[test_case(r#"{"a b" : " c\" d \\" , "e":"\\\" " }"#, r#"{"a b":" c\" d \\","e":"\\\" "}"#; "white space and quotes in strings")]
#[test_case("1.50", "1.50"; "a number")]
fn only_white_space_between_tokens_is_removed(text: &str, expected: &str) {
    assert_eq!(compact(text), expected);
}

#[test_case(r#"{"a":[1,{"b":"x,{\" y"}],"c":[],"d":{},"e":0.1}"#; "nested")]
#[test_case("[[[]]]"; "arrays")]
#[test_case("1.5"; "a number")]
fn pretty_text_is_laid_out_as_by_the_json_library(text: &str) {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    assert_eq!(pretty(text), serde_json::to_string_pretty(&value).unwrap());
    assert_eq!(compact(&pretty(text)), text);
}
