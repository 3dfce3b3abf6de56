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
fn list_is_complete_with_its_last_page_and_calls_are_paced() {
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
        poller.read(&mut page(r#""p/1""#)).unwrap().0,
        PollResult::MorePages
    ));
    assert!(poller.next_request(1_000).is_none());
    assert!(
        poller
            .next_request(poller.wake_at())
            .unwrap()
            .starts_with("GET /insts?pagetok=p%2F1 HTTP")
    );
    match poller.read(&mut page("null")).unwrap().0 {
        PollResult::Complete(servers) => assert_eq!(servers.len(), 2),
        _ => panic!("no list"),
    }
    // Over the rate limit: the whole round is discarded, and the next one comes at its time.
    assert!(poller.next_request(900_000).is_none());
    assert!(poller.next_request(1_000_000).is_some());
    assert!(
        poller
            .read(&mut b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n".to_vec())
            .is_err()
    );
    assert!(poller.next_request(1_900_000).is_none() && poller.next_request(2_000_000).is_some());
    assert!(!poller.is_overdue(2_999_999) && poller.is_overdue(3_000_000));
}

#[test]
fn surplus_answer_closes_the_platform_connection() {
    let settings = CloudApi {
        addr: "10.2.0.1:80".parse().unwrap(),
        per_s: 50.0,
        max_lag: Default::default(),
    };
    for cut in 0..=page("null").len() {
        let mut poller = PlatformPoller::new(&settings);
        assert!(poller.next_request(0).is_some());
        let mut input = [page(r#""p/1""#), page("null")[..cut].to_vec()].concat();
        let (come, kept) = poller.read(&mut input).unwrap();
        assert!(
            matches!(come, PollResult::MorePages) && kept == (cut == 0),
            "{cut} bytes behind it"
        );
    }
}
