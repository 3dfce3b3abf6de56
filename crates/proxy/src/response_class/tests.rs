use super::*;
use dataplane::framing::Head;
use dataplane::limits::Limits;
use test_case::test_case;

#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Content-Length: 0", ResponseClass::Final; "a success")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Transfer-Encoding: chunked", ResponseClass::Final; "a success in chunks")]
#[test_case("200 OK", "X-Request-Id: i|Content-Length: 0", ResponseClass::Malformed; "no stamp")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Content-Encoding: gzip|Content-Length: 0", ResponseClass::Malformed; "a coding that nobody asked for")]
#[test_case("200 OK", "X-Server-Seal: s|Content-Length: 0", ResponseClass::Malformed; "a success of nobody")]
#[test_case("200 OK", "X-Request-Id: i|X-Server-Seal: s|Connection: close", ResponseClass::Malformed; "no length")]
#[test_case("200 OK", "X-Request-Id: j|X-Server-Seal: s|Content-Length: 0", ResponseClass::OtherRequest; "of another request")]
#[test_case("500 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Failure; "a failure")]
#[test_case("404 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Final; "a refusal of the server's own")]
#[test_case("503 No", "X-Not-Run: 1|Content-Length: 0", ResponseClass::NotRun; "full")]
#[test_case("503 No", "X-Request-Id: i|Content-Length: 0", ResponseClass::Failure; "a 503 that does not say so")]
#[test_case("421 No", "X-Instance-Id: z|Content-Length: 0", ResponseClass::WrongServer; "another server")]
fn answer_is_classified_by_its_head(status: &str, lines: &str, verdict: ResponseClass) {
    let text = format!(
        "HTTP/1.1 {status}\r\n{}\r\n\r\n",
        lines.replace('|', "\r\n")
    );
    let (head, extent, _) = ResponseHead::parse(text.as_bytes(), &Limits::default())
        .unwrap()
        .unwrap();
    assert_eq!(classify(&head, extent, "i"), verdict);
}

fn coming(text: &str, come: usize, limits: &Limits) -> IncomingMessage<ResponseHead> {
    let mut incoming = IncomingMessage::default();
    let mut input = format!("HTTP/1.1 200 OK\r\n{text}\r\n\r\n").into_bytes();
    match text.starts_with("Content") {
        true => input.extend(vec![b'x'; come]),
        false => dataplane::framing::write_chunk(&mut input, &vec![b'x'; come]),
    }
    incoming.read(&mut input, 1_000, limits).unwrap();
    incoming
}

#[test_case(ResponseClass::Final, "Content-Length: 11", 0, ResponseHandling::Streamed; "long by its head")]
#[test_case(ResponseClass::Final, "Content-Length: 10", 9, ResponseHandling::Buffered; "short")]
#[test_case(ResponseClass::Final, "Transfer-Encoding: chunked", 11, ResponseHandling::Streamed; "long by what has come")]
#[test_case(ResponseClass::Final, "Transfer-Encoding: chunked", 10, ResponseHandling::Buffered; "perhaps short")]
#[test_case(ResponseClass::Failure, "Content-Length: 20", 11, ResponseHandling::Buffered; "a failure that may not be the last word")]
#[test_case(ResponseClass::Failure, "Content-Length: 21", 0, ResponseHandling::Rejected; "a long one")]
#[test_case(ResponseClass::OtherRequest, "Transfer-Encoding: chunked", 21, ResponseHandling::Rejected; "a long one of another request")]
fn long_final_answer_is_streamed(
    verdict: ResponseClass,
    text: &str,
    come: usize,
    expected: ResponseHandling,
) {
    let limits = Limits {
        max_buffered_body_bytes: 10,
        max_buffered_request_bytes: 20,
        ..Limits::default()
    };
    assert_eq!(
        choose_handling(verdict, &coming(text, come, &limits), &limits),
        expected
    );
}

#[test]
fn silent_answer_ends_at_its_deadline_and_a_progressing_one_later() {
    let limits = Limits {
        response_idle_timeout: 300,
        max_upload_extension: 20_000,
        ..Limits::default()
    };
    assert_eq!(
        stream_deadline(5_000, 0, &limits),
        5_000,
        "however long it was silent"
    );
    assert_eq!(stream_deadline(5_000, 4_900, &limits), 5_200);
    assert_eq!(stream_deadline(5_000, 24_900, &limits), 25_000);
}

#[test_case("timeout=5, max=100", Some(5); "with more")]
#[test_case("max=3", None; "without")]
#[test_case("timeout=x", None; "no number")]
fn keep_alive_seconds_are_parsed(value: &str, seconds: Option<u32>) {
    assert_eq!(parse_keep_alive_timeout(value), seconds);
}
