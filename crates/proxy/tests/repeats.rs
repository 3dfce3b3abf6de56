//! What may be retried, and to whom an answer belongs: servers that break off at every byte, begin
//! at the head of a request, reject and do so twice. Judged by what ran.

mod common;

use common::{Bench, ask, good, lines, not_run};
use test_case::test_case;

/// Two servers, and a client whose request that is not idempotent is at one of them.
fn writing(body: &str) -> (Bench, usize, common::At) {
    let mut bench = Bench::new(&["a", "a"]);
    let length = format!("Content-Length: {}\r\n", body.len());
    let client = bench.ask(ask("POST /m/1", "one", &length, body));
    let at = bench.served();
    (bench, client, at)
}

/// A server's answer, and what its client is told if it arrives completely, and if not.
#[test_case(&good("one", "done"), 200, 502; "a success")]
#[test_case(&lines(500, "X-Request-Id: one", "no"), 500, 502; "a failure")]
#[test_case(&good("two", "of another"), 502, 502; "an answer to another")]
#[test_case(&good("one", "done").replace("X-Server-Seal", "X-Other"), 502, 502; "a success without its seal")]
#[test_case(&(good("two", "of another") + &good("one", "done")), 200, 502; "an answer to another ahead of its own")]
fn answer_broken_off_at_any_byte_causes_no_retry(text: &str, whole: u16, part: u16) {
    for cut in 0..=text.len() {
        let (mut bench, client, at) = writing("body");
        bench.reply(&at, &text[..cut]);
        bench.hang_up(&at);
        let answer = bench.answer(client);
        assert_eq!(
            answer.status,
            if cut == text.len() { whole } else { part },
            "cut at {cut}"
        );
        bench.settle();
        assert_eq!(bench.count(), 1, "cut at {cut}: it ran and was sent again");
        assert!(
            answer.status != 200 || answer.body == b"done",
            "cut at {cut}: another's body"
        );
    }
}

#[test]
fn rejection_broken_off_at_any_byte_counts_only_when_complete() {
    let text = not_run("one");
    for cut in 0..=text.len() {
        let (mut bench, client, at) = writing("body");
        bench.reply(&at, &text[..cut]);
        bench.hang_up(&at);
        if cut < text.len() {
            assert_eq!(bench.answer(client).status, 502, "cut at {cut}");
            bench.settle();
            assert_eq!(bench.count(), 1, "cut at {cut}");
        } else {
            let again = bench.served();
            assert_ne!(again.stub, at.stub);
            bench.serve(&again);
            assert_eq!(bench.answer(client).body, b"of one");
        }
    }
}

/// Longer than what a connection buffers whose server does not read.
const LONG: usize = 8 << 20;

/// By kind of route: what the client is told of a partly written body, and whether it may be
/// retried.
#[test_case("POST /m/1", 502; "one that may not be repeated")]
#[test_case("POST /u/1", 502; "an upload")]
#[test_case("POST /i/1", 503; "one that may be repeated")]
fn partly_written_body_may_have_begun_to_run(line: &str, status: u16) {
    let mut bench = Bench::new(&["a", "a"]);
    let client = bench.ask(ask(line, "one", &format!("Content-Length: {LONG}\r\n"), ""));
    bench.send(client, vec![b'x'; 300_000]);
    let part = |bench: &Bench| {
        let mut lines = bench.stubs.iter().flat_map(|stub| &stub.lines);
        lines.any(|line| line.end.input.len() > 1_000)
    };
    bench.until("a part at a server", |bench| part(bench).then_some(()));
    bench
        .stubs
        .iter_mut()
        .flat_map(|stub| &mut stub.lines)
        .for_each(|line| line.end.close());
    let answer = bench.answer(client);
    assert_eq!(
        (answer.status, answer.headers.contains("Retry-After")),
        (status, status == 503)
    );
    bench.settle();
    let connections: usize = bench.stubs.iter().map(|stub| stub.lines.len()).sum();
    assert_eq!((bench.count(), connections), (0, 1));
}

#[test]
fn rejection_received_before_the_break_is_read() {
    // The proxy is still writing, and its next write fails: the answer received before says that
    // nothing was run.
    for _ in 0..20 {
        let mut bench = Bench::new(&["a"]);
        let client = bench.ask(ask(
            "POST /u/1",
            "one",
            &format!("Content-Length: {LONG}\r\n"),
            "",
        ));
        bench.send(client, vec![b'x'; 300_000]);
        bench.until("a part", |bench| {
            bench.stubs[0]
                .lines
                .first()
                .is_some_and(|line| !line.end.input.is_empty())
                .then_some(())
        });
        // Closed with unread bytes, so that it is reset after the rejection while more of the body
        // is on its way.
        bench.stubs[0].lines[0].end.deaf = true;
        bench.clients[client].write(&vec![b'x'; 100_000]);
        let end = &mut bench.stubs[0].lines[0].end;
        end.write(not_run("one").as_bytes());
        end.close();
        assert_eq!(bench.answer(client).status, 503);
    }
}

#[test]
fn second_rejection_without_an_id_is_not_taken_for_the_next_requests() {
    let refusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let mut bench = Bench::new(&["a", "a"]);
    let client = bench.ask(ask("GET /i/1", "read", "", ""));
    let refused = bench.served();
    bench.reply(&refused, refusal);
    let at = bench.served();
    assert_ne!(at.stub, refused.stub);
    bench.serve(&at);
    assert_eq!(bench.answer(client).status, 200);
    // Only the server that rejected it is left.
    bench.stubs[at.stub].listed.accepts_requests = false;
    bench.list();
    bench.pass(1_000);
    let mut met = false;
    for n in 0..3 {
        let before = bench.count();
        bench.send(
            client,
            ask(
                "POST /m/1",
                &format!("write-{n}"),
                "Content-Length: 2\r\n",
                "hi",
            ),
        );
        let at = bench.served();
        if at.stub == refused.stub && !std::mem::replace(&mut met, true) {
            // Not on that connection: what arrives on it now can't be told from a rejection of this
            // request.
            bench.reply(&refused, refusal);
            bench.settle();
        }
        bench.serve(&at);
        assert_eq!(
            (bench.answer(client).status, bench.count()),
            (200, before + 1),
            "it was sent twice"
        );
    }
    assert!(met, "nothing came to the server that had refused");
}

#[test]
fn connection_forgotten_while_idle_runs_nothing_twice() {
    let mut bench = Bench::new(&["a", "a"]);
    let client = bench.client();
    for round in 0..10 {
        let idle = bench.next(client);
        // Its server has closed it, and the request is sent before the proxy can know.
        bench.hang_up(&idle);
        let before = bench.count();
        let body = "b".repeat(round * 300);
        let length = format!("Content-Length: {}\r\n", body.len());
        bench.send(
            client,
            ask("POST /m/1", &format!("write-{round}"), &length, &body),
        );
        let status = bench.until("an answer, or another server", |bench| {
            if let Some(at) = bench.take() {
                bench.serve(&at);
            }
            bench.clients[client].answer().map(|answer| answer.status)
        });
        assert!([200, 502].contains(&status), "{status}");
        bench.settle();
        let ran = bench.count() - before;
        assert!(ran == usize::from(status == 200), "{ran} runs, {status}");
    }
}

#[test]
fn second_answer_to_a_request_is_not_taken_for_a_health_checks() {
    let mut bench = Bench::new(&["a", "a"]);
    let clients = ["x1", "x2", "x3", "x4"].map(|id| bench.ask(ask("GET /i/1", id, "", "")));
    let all = clients.map(|_| bench.served());
    all.iter().for_each(|at| bench.serve(at));
    clients
        .into_iter()
        .for_each(|client| _ = bench.answer(client));
    // A request waits for long, so that its server's health is checked on the connection that is
    // left.
    bench.stubs.iter_mut().for_each(|stub| stub.full = true);
    bench.ask(ask("GET /i/1", "silent", "", ""));
    let silent = bench.served();
    let idle = all
        .into_iter()
        .find(|at| at.stub == silent.stub && at.line != silent.line)
        .unwrap();
    let checked = (0..100).any(|_| {
        bench.pass(20);
        bench.stubs[silent.stub].checks > 0
    });
    assert!(checked && !bench.line(&idle).end.ended);
    bench.reply(&idle, good(idle.id(), "of the request before"));
    bench.settle();
    bench.reply(
        &idle,
        lines(200, &format!("X-Instance-Id: i-{}", idle.stub), ""),
    );
    bench.settle();
    assert!(
        !bench.line(&idle).end.ended,
        "its own answer came when nothing was asked any more"
    );
}
