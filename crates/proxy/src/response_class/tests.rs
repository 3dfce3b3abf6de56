use super::*;
use dataplane::framing::Head;
use dataplane::limits::Limits;
use test_case::test_case;

#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Content-Length: 0", ResponseClass::Final; "a success")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Transfer-Encoding: chunked", ResponseClass::Final; "a chunked success")]
#[test_case("200 OK", "X-Request-Id: i|Content-Length: 0", ResponseClass::Malformed; "a success without a seal")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Content-Encoding: gzip|Content-Length: 0", ResponseClass::Malformed; "a content coding that was not requested")]
#[test_case("200 OK", "X-Server-Seal: s|Content-Length: 0", ResponseClass::Malformed; "a success without an id")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Connection: close", ResponseClass::Final; "a success without a length")]
#[test_case("200 OK", "X-Request-Id: j|X-Server-Seal: s|Content-Length: 0", ResponseClass::OtherRequest; "of another request")]
#[test_case("500 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Failure; "a failure")]
#[test_case("404 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Final; "a client error")]
#[test_case("503 No", "X-Not-Run: 1|Content-Length: 0", ResponseClass::NotRun; "not run")]
#[test_case("503 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Failure; "a 503 without X-Not-Run")]
#[test_case("421 No", "X-Instance-Id: z|Content-Length: 0", ResponseClass::WrongServer; "another server")]
fn response_is_classified_by_its_head(status: &str, fields: &str, expected_class: ResponseClass) {
    let text = format!(
        "HTTP/1.1 {status}\r\n{}\r\n\r\n",
        fields.replace('|', "\r\n")
    );
    let (head, ..) = ResponseHead::parse(text.as_bytes(), &Limits::default())
        .unwrap()
        .unwrap();
    assert_eq!(classify(&head, "i"), expected_class);
}

/// A response with this framing field of whose body this many bytes have arrived.
fn partial_response(
    field: &str,
    received_bytes: usize,
    limits: &Limits,
) -> IncomingMessage<ResponseHead> {
    let mut incoming = IncomingMessage::default();
    let mut input = format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n").into_bytes();
    match field.starts_with("Content") {
        true => input.extend(vec![b'x'; received_bytes]),
        false => dataplane::framing::write_chunk(&mut input, &vec![b'x'; received_bytes]),
    }
    incoming.read(&mut input, 1_000, limits).unwrap();
    incoming
}

#[test_case(ResponseClass::Final, "Content-Length: 11", 0, ResponseHandling::Streamed; "long by its head")]
#[test_case(ResponseClass::Final, "Content-Length: 10", 9, ResponseHandling::Buffered; "short")]
#[test_case(ResponseClass::Final, "Transfer-Encoding: chunked", 11, ResponseHandling::Streamed; "long by the bytes received")]
#[test_case(ResponseClass::Final, "Transfer-Encoding: chunked", 10, ResponseHandling::Buffered; "possibly short")]
#[test_case(ResponseClass::Failure, "Content-Length: 20", 11, ResponseHandling::Buffered; "a failure, which may not be final")]
#[test_case(ResponseClass::Failure, "Content-Length: 21", 0, ResponseHandling::Rejected; "a long failure")]
#[test_case(ResponseClass::OtherRequest, "Transfer-Encoding: chunked", 21, ResponseHandling::Rejected; "a long response to another request")]
fn long_final_response_is_streamed(
    class: ResponseClass,
    field: &str,
    received_bytes: usize,
    expected: ResponseHandling,
) {
    let limits = Limits {
        max_buffered_body_bytes: 10,
        max_buffered_request_bytes: 20,
        ..Limits::default()
    };
    assert_eq!(
        choose_handling(
            class,
            &partial_response(field, received_bytes, &limits),
            &limits
        ),
        expected
    );
}

#[test]
fn stalled_response_ends_at_its_deadline_and_a_progressing_one_later() {
    let limits = Limits {
        response_idle_timeout: 300,
        max_upload_extension: 20_000,
        ..Limits::default()
    };
    assert_eq!(
        stream_deadline(5_000, 0, &limits),
        5_000,
        "even without any progress"
    );
    assert_eq!(stream_deadline(5_000, 4_900, &limits), 5_200);
    assert_eq!(stream_deadline(5_000, 24_900, &limits), 25_000);
}

#[test_case("timeout=5, max=100", Some(5); "with another parameter")]
#[test_case("max=3", None; "without a time-out")]
#[test_case("timeout=x", None; "not a number")]
fn keep_alive_timeout_is_parsed(value: &str, seconds: Option<u32>) {
    assert_eq!(parse_keep_alive_timeout(value), seconds);
}
