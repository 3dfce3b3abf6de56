use super::*;

const POST: &[u8] = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";

#[test]
fn request_is_complete_only_at_its_last_byte() {
    let limits = Limits::default();
    for cut in 0..POST.len() {
        assert_eq!(
            parse_request(&POST[..cut], &limits),
            Ok(None),
            "cut at {cut}"
        );
    }
    let twice = [POST, POST].concat();
    let (request, length) = parse_request(&twice, &limits).unwrap().unwrap();
    assert_eq!(
        (request.body.as_slice(), length),
        (b"hello".as_slice(), POST.len())
    );
    assert_eq!(
        (
            request.method.as_str(),
            request.target.as_str(),
            request.keep_alive
        ),
        ("POST", "/a?b=1", true)
    );
}

#[test]
fn chunked_response_is_complete_only_at_its_last_byte() {
    let limits = Limits::default();
    for cut in 0..CHUNKED.len() {
        assert_eq!(
            parse_response(&CHUNKED[..cut], true, &limits),
            Ok(None),
            "cut at {cut}"
        );
    }
    let (response, length) = parse_response(CHUNKED, false, &limits).unwrap().unwrap();
    assert_eq!(
        (response.body.as_slice(), length),
        (b"abcde".as_slice(), CHUNKED.len())
    );
}

#[test]
fn response_without_a_length_ends_with_its_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(parse_response(bytes, false, &Limits::default()), Ok(None));
    let (response, _) = parse_response(bytes, true, &Limits::default())
        .unwrap()
        .unwrap();
    assert!(response.body == b"abc" && !response.keep_alive);
}

#[test]
fn framed_response_is_complete_only_with_a_length() {
    let limits = Limits::default();
    assert_eq!(
        parse_framed_response(b"HTTP/1.1 200 OK\r\n\r\nabc", &limits),
        Err(ParseError::Syntax)
    );
    assert_eq!(
        parse_framed_response(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", &limits),
        Ok(None)
    );
    let (response, _) = parse_framed_response(CHUNKED, &limits).unwrap().unwrap();
    assert_eq!(response.body, b"abcde");
}

#[test]
fn interim_responses_are_skipped_and_bounded() {
    let limits = Limits::default();
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let three_interim = [interim.repeat(3).as_slice(), CHUNKED].concat();
    let (response, length) = parse_framed_response(&three_interim, &limits)
        .unwrap()
        .unwrap();
    assert_eq!(
        (response.status, response.body.as_slice(), length),
        (200, b"abcde".as_slice(), three_interim.len())
    );
    assert_eq!(
        parse_framed_response(&interim.repeat(100_000), &limits),
        Err(ParseError::HeadTooLarge)
    );
}

#[test]
fn non_utf8_field_invalidates_a_response_only_if_it_frames_it() {
    let limits = Limits::default();
    let response_with = |field: &[u8]| [b"HTTP/1.1 200 OK\r\n", field, b"\r\n\r\nabc"].concat();
    let report = response_with(b"Endpoint-Load-Metrics: TEXT util=\xff\r\nContent-Length: 3");
    assert_eq!(
        parse_framed_response(&report, &limits)
            .unwrap()
            .unwrap()
            .0
            .body,
        b"abc"
    );
    assert_eq!(
        parse_framed_response(&response_with(b"Content-Length: 3\xff"), &limits),
        Err(ParseError::Syntax)
    );
    assert_eq!(
        parse_framed_response(&response_with(b"Transfer-Encoding: \xff"), &limits),
        Err(ParseError::Syntax)
    );
}

#[test]
fn malformed_and_oversized_requests_are_distinguished() {
    let limits = Limits {
        max_buffered_body_bytes: 8,
        max_head_bytes: 200,
        ..Limits::default()
    };
    let error = |text: &str| parse_request(text.as_bytes(), &limits).unwrap_err();
    assert_eq!(error("nonsense\r\n\r\n"), ParseError::Syntax);
    assert_eq!(
        error("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        ParseError::Syntax
    );
    assert_eq!(
        error("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n"),
        ParseError::Syntax
    );
    let two_lengths = "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(error(two_lengths), ParseError::Syntax);
    assert_eq!(
        error("GET / HTTP/1.1\r\nX-A: b\nContent-Length: 1\r\n\r\n"),
        ParseError::Syntax
    );
    let length_and_coding =
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(error(length_and_coding), ParseError::Syntax);
    assert_eq!(
        error("GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\n"),
        ParseError::BodyTooLarge
    );
    let oversized_chunks =
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\naaaaa\r\n5\r\n";
    assert_eq!(error(oversized_chunks), ParseError::BodyTooLarge);
    assert_eq!(
        error(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(300))),
        ParseError::HeadTooLarge
    );
    let many_fields = (0..70).map(|n| format!("h{n}: 1\r\n")).collect::<String>();
    let limits = Limits::default();
    let text = format!("GET / HTTP/1.1\r\n{many_fields}\r\n");
    assert_eq!(
        parse_request(text.as_bytes(), &limits),
        Err(ParseError::HeadTooLarge)
    );
}
