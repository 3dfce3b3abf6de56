//! Long request bodies: they are streamed to one server, and the client is told truthfully what
//! became of them.

mod common;

use common::{Bench, End, ask, chunks, good, item, lines, not_run, pattern};
use protocol::items::ItemKind;
use protocol::messages::ControlMessage;
use test_case::test_case;

const LONG: usize = 3 << 20;

/// A proxy, and a client that has sent part of a long body, chunked or not.
fn sending(chunked: bool, bytes: &[u8], come: usize) -> (Bench, usize) {
    let mut bench = Bench::new(&["a"]);
    let framing = match chunked {
        true => "Transfer-Encoding: chunked\r\n".to_string(),
        false => format!("Content-Length: {}\r\n", bytes.len()),
    };
    let client = bench.ask(ask("POST /u/1", "one", &framing, ""));
    bench.send(client, &bytes[..come]);
    (bench, client)
}

/// Bytes that a server has received of an incomplete request.
fn part(bench: &Bench) -> usize {
    bench
        .stubs
        .iter()
        .flat_map(|stub| &stub.lines)
        .map(|line| line.end.input.len())
        .sum()
}

#[test_case(false; "a length")]
#[test_case(true; "chunks")]
fn long_body_is_streamed_and_arrives_unchanged(chunked: bool) {
    let body = pattern(LONG);
    let bytes = if chunked { chunks(&body) } else { body.clone() };
    let come = if chunked { 2_400_000 } else { 400_000 };
    let (mut bench, client) = sending(chunked, &bytes, come);
    bench.until("most of it at the server", |bench| {
        (part(bench) > 300_000).then_some(())
    });
    assert_eq!(bench.count(), 0);
    bench.send(client, &bytes[come..]);
    bench.send(client, ask("GET /i/1", "two", "", ""));
    let at = bench.served();
    assert!(at.request.body == body && at.request.target == "/u/1");
    let headers = &at.request.headers;
    assert!(headers.contains("Content-Length") != chunked && headers.contains("X-Want-Instance"));
    assert_eq!(
        headers.get("X-Time-Left"),
        Some("2988"),
        "what the client said, less the way back"
    );
    bench.serve(&at);
    assert_eq!(bench.answer(client).body, b"of one");
    let at = bench.served();
    bench.serve(&at);
    assert_eq!(bench.answer(client).body, b"of two");
}

/// What a server does that has received part of a body, and what its client is told.
#[test_case(|end| end.close(), [502, 503]; "it resets: it may have begun at the head")]
#[test_case(|end| _ = end.write(not_run("one").as_bytes()), [503; 2]; "it is full")]
#[test_case(|end| _ = end.write(lines(421, "X-Request-Id: one", "").as_bytes()), [503; 2]; "it is another one")]
#[test_case(|end| _ = end.write(lines(500, "X-Request-Id: one", "no").as_bytes()), [500; 2]; "it fails")]
#[test_case(|end| _ = end.write(good("one", "early").as_bytes()), [200; 2]; "it answers ahead of the end")]
fn partly_streamed_body_goes_to_no_other_server(leaves: fn(&mut End), statuses: [u16; 2]) {
    for (line, status) in ["POST /u/1", "POST /i/1"].into_iter().zip(statuses) {
        let mut bench = Bench::new(&["a", "a"]);
        let body = pattern(LONG);
        let client = bench.ask(ask(line, "one", &format!("Content-Length: {LONG}\r\n"), ""));
        bench.send(client, &body[..LONG / 2]);
        bench.until("a part at a server", |bench| {
            (part(bench) > 0).then_some(())
        });
        let lines = bench.stubs.iter_mut().flat_map(|stub| &mut stub.lines);
        lines.for_each(|line| leaves(&mut line.end));
        let answer = bench.answer(client);
        assert_eq!(
            (answer.status, answer.headers.contains("Retry-After")),
            (status, status == 503),
            "{line}"
        );
        assert!(!answer.keep_alive);
        bench.send(client, &body[LONG / 2..]);
        bench.until("end", |bench| bench.clients[client].ended.then_some(()));
        bench.pass(600);
        let lines: usize = bench.stubs.iter().map(|stub| stub.lines.len()).sum();
        assert_eq!((bench.count(), lines), (0, 1), "{line}");
    }
}

#[test]
fn request_whose_last_byte_was_sent_may_have_run() {
    let body = pattern(LONG);
    let mut bench = Bench::new(&["a"]);
    let client = bench.client();
    let idle = bench.next(client);
    bench.send(
        client,
        ask(
            "POST /u/1",
            "one",
            &format!("Content-Length: {LONG}\r\n"),
            "",
        ),
    );
    bench.send(client, &body);
    let at = bench.served();
    assert_ne!(
        at.line, idle.line,
        "it waits for no connection that may be closed by now"
    );
    bench.hang_up(&at);
    assert_eq!((bench.answer(client).status, bench.count()), (502, 2));
}

#[test]
fn slow_server_applies_back_pressure_and_silent_client_times_out() {
    let body = pattern(32 << 20);
    let (mut bench, client) = sending(false, &body, 200_000);
    bench.stubs[0].deaf = true;
    let mut sent = 200_000;
    for _ in 0..3_000 {
        sent += bench.clients[client].write(&body[sent..]);
        bench.turn();
    }
    assert!(
        sent < body.len() && bench.host.buffered_bytes() < 256 * 1024,
        "{}",
        bench.host.buffered_bytes()
    );
    bench.pass(5_000);
    assert!(!bench.clients[client].ended, "it was not asked for more");
    for _ in 0..3_000 {
        bench.stubs[0].lines[0].end.look();
        bench.turn();
    }
    bench.pass(3_500);
    bench.stubs[0].lines[0].end.look();
    assert!(bench.clients[client].ended && bench.count() == 0 && bench.stubs[0].open() == 0);
}

#[test_case("zz\r\n", 400; "no chunk")]
#[test_case("100000\r\n", 413; "too long")]
fn malformed_body_is_rejected_and_never_complete_at_a_server(end: &str, status: u16) {
    let mut bench = Bench::new(&["a", "a"]);
    let limits = r#"{"hdr_bytes":16000,"body_bytes":3000000,"hdr":"3s","idle":"15s"}"#;
    bench.tell(ControlMessage::Items(vec![item(
        ItemKind::Limits,
        "",
        1,
        limits,
    )]));
    let client = bench.ask(ask(
        "POST /u/1",
        "one",
        "Transfer-Encoding: chunked\r\n",
        "",
    ));
    let bytes = chunks(&pattern(2_500_000));
    bench.send(client, &bytes[..bytes.len() - 5]);
    bench.until("a part at a server", |bench| {
        (part(bench) > 0).then_some(())
    });
    bench.send(client, end);
    let answer = bench.answer(client);
    bench.settle();
    assert_eq!(
        (answer.status, answer.keep_alive, bench.count()),
        (status, false, 0)
    );
    assert!(bench.stubs.iter().all(|stub| stub.open() == 0));
}

#[test]
fn shutdown_finishes_streamed_bodies() {
    let body = pattern(LONG);
    let (mut bench, client) = sending(false, &body, LONG / 2);
    bench.until("a part at the server", |bench| {
        (part(bench) > 0).then_some(())
    });
    let now = bench.now();
    bench.host.begin_shutdown(now);
    bench.pass(400);
    bench.send(client, &body[LONG / 2..]);
    let at = bench.served();
    bench.serve(&at);
    assert!(bench.answer(client).status == 200 && at.request.body == body);
}

#[test]
fn silent_server_after_a_long_body_ends_at_the_clients_deadline() {
    let (mut bench, client) = sending(false, &pattern(LONG), LONG);
    bench.served();
    bench.pass(2_900);
    assert!(bench.clients[client].input.is_empty());
    bench.pass(100);
    assert_eq!(bench.answer(client).status, 504);
}

#[test]
fn rest_of_a_rejected_body_is_drained_so_that_no_reset_loses_the_answer() {
    let body = pattern(32 << 20);
    let (mut bench, client) = sending(false, &body, 200_000);
    bench.until("a part at the server", |bench| {
        (part(bench) > 0).then_some(())
    });
    bench.clients[client].deaf = true;
    bench.stubs[0].lines[0].end.write(not_run("one").as_bytes());
    let mut sent = 200_000;
    for _ in 0..3_000 {
        sent += bench.clients[client].write(&body[sent..]);
        bench.turn();
    }
    assert_eq!(sent, body.len());
    bench.clients[client].deaf = false;
    assert_eq!(bench.answer(client).status, 503);
}

#[test]
fn bodies_of_requests_being_answered_use_no_buffer() {
    let mut bench = Bench::new(&["a"]);
    let body = pattern(2 << 20);
    // One more than can be buffered at once.
    for n in 0..33 {
        let client = bench.ask(ask(
            "POST /u/1",
            &format!("{n}"),
            &format!("Content-Length: {}\r\n", body.len()),
            "",
        ));
        bench.send(client, &body);
        let at = bench.served();
        let begun = good(at.id(), &"x".repeat(140_000)).replace("Length: 140000", "Length: 300000");
        bench.reply(&at, begun);
        bench.until("a part of the answer", |bench| {
            (bench.clients[client].input.len() > 130_000).then_some(())
        });
    }
}
