use super::*;
use test_case::test_case;

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", Some((200, "{}")); "a complete response")]
#[test_case("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", Some((503, "")); "an empty body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", None; "an incomplete body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-", None; "an incomplete head")]
fn complete_response_is_parsed(text: &str, expected: Option<(u16, &str)>) {
    let response = parse_response(text.as_bytes()).unwrap();
    assert_eq!(
        response,
        expected.map(|(status, body)| (status, body.as_bytes().to_vec()))
    );
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n{}", "answer without its length"; "no content length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "bytes"; "a body that is too long")]
#[test_case("what\r\n\r\n", "status"; "no HTTP")]
fn error_of_an_invalid_response_names_the_fault(text: &str, expected: &str) {
    let error = parse_response(text.as_bytes()).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
