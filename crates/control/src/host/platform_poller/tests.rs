use super::*;

fn page(next: &str) -> Vec<u8> {
    let body = format!(
        r#"{{"insts":{{"cols":["id","svc","addr","zone"],"rows":[["i","s","10.0.0.1:80","a"]]}},"next_cursor":{next}}}"#
    );
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[test]
fn list_is_complete_after_the_last_page_and_requests_are_rate_limited() {
    let settings = CloudApi {
        addr: "10.2.0.1:80".parse().unwrap(),
        per_s: 50.0,
        max_lag: Default::default(),
    };
    let mut poller = PlatformPoller::new(&settings);
    assert!(
        poller
            .next_request(0)
            .unwrap()
            .starts_with("GET /insts HTTP")
    );
    assert!(matches!(
        poller.read(&mut page(r#""p/1""#), false).unwrap().0,
        PollResult::MorePages
    ));
    assert!(poller.next_request(1_000).is_none());
    assert!(
        poller
            .next_request(poller.wake_at())
            .unwrap()
            .starts_with("GET /insts?pagetok=p%2F1 HTTP")
    );
    match poller.read(&mut page("null"), false).unwrap().0 {
        PollResult::Complete(servers) => assert_eq!(servers.len(), 2),
        _ => panic!("the list is not complete after its last page"),
    }
    // A response 429 discards the whole poll; the next one begins at its scheduled time.
    assert!(poller.next_request(900_000).is_none());
    assert!(poller.next_request(1_000_000).is_some());
    assert!(
        poller
            .read(
                &mut b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n".to_vec(),
                false
            )
            .is_err()
    );
    assert!(poller.next_request(1_900_000).is_none() && poller.next_request(2_000_000).is_some());
    assert!(!poller.is_overdue(2_999_999) && poller.is_overdue(3_000_000));
}

#[test]
fn surplus_response_closes_the_platform_connection() {
    let settings = CloudApi {
        addr: "10.2.0.1:80".parse().unwrap(),
        per_s: 50.0,
        max_lag: Default::default(),
    };
    for surplus_bytes in 0..=page("null").len() {
        let mut poller = PlatformPoller::new(&settings);
        assert!(poller.next_request(0).is_some());
        let mut input = [page(r#""p/1""#), page("null")[..surplus_bytes].to_vec()].concat();
        let (result, keep_open) = poller.read(&mut input, false).unwrap();
        assert!(
            matches!(result, PollResult::MorePages) && keep_open == (surplus_bytes == 0),
            "{surplus_bytes} bytes after the response"
        );
    }
}

// Guards against a list that is never read where the platform sends it without a length.
#[test]
fn page_without_a_length_is_complete_once_its_connection_is_closed() {
    let settings = CloudApi {
        addr: "10.2.0.1:80".parse().unwrap(),
        per_s: 50.0,
        max_lag: Default::default(),
    };
    let framed = String::from_utf8(page("null")).unwrap();
    let (_, body) = framed.split_once("\r\n\r\n").unwrap();
    for header_line in ["Connection: close\r\n", ""] {
        let whole = format!("HTTP/1.1 200 OK\r\n{header_line}\r\n{body}");
        for length in 0..=whole.len() {
            let mut poller = PlatformPoller::new(&settings);
            assert!(poller.next_request(0).is_some());
            let mut input = whole.as_bytes()[..length].to_vec();
            let result = poller.read(&mut input, false).map(|(result, _)| result);
            assert!(matches!(result, Ok(PollResult::Incomplete)), "{length}");
            let result = poller.read(&mut input, true);
            let is_complete = matches!(result, Ok((PollResult::Complete(ref servers), false)) if servers.len() == 1);
            assert_eq!(is_complete, length == whole.len(), "{length}");
        }
    }
}
