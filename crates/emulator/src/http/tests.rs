use super::*;

#[test]
fn incomplete_requests_are_awaited() {
    let bytes = b"POST /sign-off?a=1 HTTP/1.1\r\nX-Trace-Id: t\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhiGET";
    for cut in 0..bytes.len() - 3 {
        assert_eq!(request(&bytes[..cut]), Ok(None), "cut at {cut}");
    }
    let read = request(bytes).unwrap().unwrap();
    assert_eq!(
        (read.id, read.key, read.length),
        (Some("t"), Some("k"), bytes.len() - 3)
    );
    assert_eq!(
        (&bytes[read.head..read.length], header(bytes, "x-trace-id")),
        (&b"hi"[..], Some("t"))
    );
    assert_eq!(
        request(b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
        Err(Malformed)
    );
}

#[test]
fn answers_of_every_framing_have_the_right_length() {
    let cases: [(&[u8], usize); 4] = [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 0),
            (b"HTTP/1.1 100 -\r\n\r\nHTTP/1.1 503 -\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n", 0),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: x\r\n\r\n", 0),
            (b"HTTP/1.1 204 -\r\n\r\n", 0),
        ];
    for (bytes, _) in cases {
        for cut in 0..bytes.len() {
            assert_eq!(
                answer(&bytes[..cut], false),
                Ok(None),
                "{} cut at {cut}",
                String::from_utf8_lossy(bytes)
            );
            assert_eq!(answer(&bytes[..cut], true), Err(Malformed), "cut at {cut}");
        }
        let mut more = bytes.to_vec();
        more.extend_from_slice(b"HTTP");
        assert_eq!(answer(&more, false).unwrap().unwrap().length, bytes.len());
    }
    assert_eq!(
        answer(cases[1].0, false).unwrap().unwrap().retry_after,
        Some(250_000)
    );
    let open = b"HTTP/1.0 200 OK\r\n\r\nhi";
    assert_eq!(answer(open, false), Ok(None));
    assert_eq!(
        answer(open, true).unwrap().map(|a| (a.length, a.close)),
        Some((open.len(), true))
    );
}
