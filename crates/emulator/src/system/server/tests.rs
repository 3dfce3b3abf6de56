use super::*;

fn server() -> (Server, RunCounts) {
    let (svc, zone) = ("s".to_string(), "a".to_string());
    let config = ServerConfig {
        svc,
        zone,
        max_concurrent: 1,
        max_waiting: 1,
        work: 100,
        warm_up: 0,
        keep_alive_s: 5,
    };
    (
        Server::new(config, "i-1".into(), 0, true),
        RunCounts::default(),
    )
}

fn send_request(
    server: &mut Server,
    run_counts: &mut RunCounts,
    token: u64,
    method: &str,
    lines: &str,
) -> Option<String> {
    let text = format!("{method} /p HTTP/1.1\r\n{lines}\r\n");
    let request = http::request(text.as_bytes()).unwrap().unwrap();
    let given = server.handle_request(
        0,
        token,
        &ServerRequest::from_http(&request, text.as_bytes()),
        run_counts,
    );
    given.map(|(bytes, _)| String::from_utf8(bytes).unwrap())
}

fn poll_next(
    server: &mut Server,
    run_counts: &mut RunCounts,
) -> Option<(u64, String, ConnectionAction)> {
    let now = server.next_event_at()?;
    let (token, (bytes, then)) = server.poll(now, run_counts)?;
    Some((token, String::from_utf8_lossy(&bytes).into(), then))
}

#[test]
fn rejected_requests_are_marked_and_executed_ones_are_sealed_and_counted() {
    let (mut server, mut run_counts) = server();
    assert!(
        send_request(
            &mut server,
            &mut run_counts,
            1,
            "POST",
            "X-Request-Id: a\r\n"
        )
        .is_none()
    );
    assert!(
        send_request(
            &mut server,
            &mut run_counts,
            2,
            "POST",
            "X-Request-Id: a\r\n"
        )
        .is_none()
    );
    let full = send_request(
        &mut server,
        &mut run_counts,
        3,
        "GET",
        "X-Request-Id: b\r\n",
    )
    .unwrap();
    assert!(
        full.starts_with("HTTP/1.1 503") && full.contains("X-Not-Run"),
        "{full}"
    );
    let other = send_request(
        &mut server,
        &mut run_counts,
        4,
        "GET",
        "X-Request-Id: c\r\nX-Want-Instance: i-0\r\n",
    )
    .unwrap();
    assert!(other.starts_with("HTTP/1.1 421"), "{other}");
    let (token, text, then) = poll_next(&mut server, &mut run_counts).unwrap();
    assert_eq!((token, then), (1, ConnectionAction::Keep));
    assert!(
        text.contains("X-Server-Seal") && text.contains(&echo("a", "POST", "/p", "", b"")),
        "{text}"
    );
    assert!(poll_next(&mut server, &mut run_counts).is_some());
    let Counts {
        arrived,
        ran,
        repeated_mutating: twice,
        rejected: turned_away,
        misdirected: mistaken,
        ..
    } = run_counts.counts;
    assert_eq!(
        (arrived, ran, twice, turned_away, mistaken),
        (4, 1, 1, 1, 1)
    );
}

#[test]
fn requests_that_expire_in_the_queue_have_not_run_and_running_ones_have() {
    let (mut server, mut run_counts) = server();
    send_request(
        &mut server,
        &mut run_counts,
        1,
        "GET",
        "X-Request-Id: a\r\nX-Time-Left: 0.05\r\n",
    );
    send_request(
        &mut server,
        &mut run_counts,
        2,
        "GET",
        "X-Request-Id: b\r\nX-Time-Left: 0.05\r\n",
    );
    let (token, text, _) = poll_next(&mut server, &mut run_counts).unwrap();
    assert!(
        token == 2 && text.starts_with("HTTP/1.1 503") && text.contains("X-Not-Run"),
        "{text}"
    );
    assert!(
        poll_next(&mut server, &mut run_counts)
            .unwrap()
            .1
            .starts_with("HTTP/1.1 504")
    );
    assert_eq!((run_counts.runs("a"), run_counts.runs("b")), (1, 0));
}

#[test]
fn injected_faults_apply_to_the_next_answers_in_order() {
    let (mut server, mut run_counts) = server();
    let all = [
        AnswerFault::Reset,
        AnswerFault::Truncated,
        AnswerFault::Malformed,
        AnswerFault::Unsolicited,
        AnswerFault::Duplicated,
    ];
    server.pending_faults.extend(
        all.into_iter()
            .chain([AnswerFault::NoAnswer, AnswerFault::ClosedUnannounced])
            .chain([AnswerFault::Unframed]),
    );
    let mut ends = Vec::new();
    for token in 0..9 {
        send_request(
            &mut server,
            &mut run_counts,
            token,
            "GET",
            &format!("X-Request-Id: {token}\r\n"),
        );
        let (_, text, then) = poll_next(&mut server, &mut run_counts).unwrap();
        ends.push((
            text.matches("HTTP/1.1").count(),
            http::answer(text.as_bytes(), true).is_ok(),
            then,
        ));
    }
    let (keep, close) = (ConnectionAction::Keep, ConnectionAction::Close);
    assert_eq!(
        ends,
        [
            (0, false, ConnectionAction::Reset),
            (1, false, close),
            (0, false, close),
            (2, true, keep),
            (2, true, keep),
            (0, false, keep),
            (1, true, close),
            (1, true, close),
            (1, true, keep)
        ]
    );
    assert_eq!(
        (run_counts.counts.faulty_answers, run_counts.counts.ran),
        (8, 9)
    );
}
