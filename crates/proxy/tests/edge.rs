//! A proxy that shuts down, and one whose agent does.

mod common;

use common::{Bench, ask, route};
use protocol::messages::{AgentMessage, ControlMessage, NodeState};

#[test]
fn shutdown_finishes_accepted_requests_and_then_exits() {
    let mut bench = Bench::new(&["a"]);
    let idle = bench.client();
    let under_way = bench.ask(ask("POST /m/1", "one", "", ""));
    let first = bench.served();
    assert_eq!(bench.ready(), 200);
    let now = bench.now();
    bench.host.begin_shutdown(now);
    assert_eq!(bench.ready(), 503);
    assert_eq!(
        bench.told.last(),
        Some(&AgentMessage::Heartbeat(NodeState::Draining))
    );
    // During the notice period it still serves new clients, and for a moment after it on the same
    // connection.
    bench.pass(2_000);
    let late = bench.client();
    for (id, keeps) in [("two", true), ("three", false)] {
        bench.send(late, ask("GET /i/1", id, "", ""));
        let at = bench.served();
        bench.serve(&at);
        let answer = bench.answer(late);
        assert_eq!((answer.status, answer.keep_alive), (200, keeps), "{id}");
        bench.pass(250);
    }
    bench.until("end", |bench| bench.clients[late].ended.then_some(()));
    bench.clients[late].close();
    bench.settle();
    assert!(
        bench.clients[idle].ended && !bench.clients[under_way].ended && !bench.host.is_finished()
    );
    assert!(
        std::net::TcpStream::connect(bench.host.listen_addresses.0).is_err(),
        "nobody else is taken"
    );
    bench.serve(&first);
    let answer = bench.answer(under_way);
    assert_eq!(
        (answer.status, answer.body.as_slice(), answer.keep_alive),
        (200, &b"of one"[..], false)
    );
    bench.clients[under_way].close();
    bench.until("end of the program", |bench| {
        bench.host.is_finished().then_some(())
    });
}

#[test]
fn restarted_agent_reverts_nothing() {
    let mut bench = Bench::new(&["a", "a"]);
    bench.list();
    bench.tell(ControlMessage::Items(vec![route(
        "/n/",
        7,
        "idem",
        r#","public":true"#,
    )]));
    bench.settle();
    let client = bench.ask(ask("GET /i/1", "one", "", ""));
    let at = bench.served();
    bench.agent_there();
    assert!(
        bench
            .told
            .ends_with(&[AgentMessage::Heartbeat(NodeState::Ready)])
    );
    bench.serve(&at);
    assert_eq!((bench.answer(client).status, bench.ready()), (200, 200));
    // It links to a replica that is behind: older items have no effect.
    let dropped = protocol::items::Item {
        spec: None,
        ..route("/n/", 6, "idem", "")
    };
    bench.tell(ControlMessage::Items(vec![dropped]));
    bench.tell(ControlMessage::Servers {
        version: (1, 1),
        servers: vec![],
    });
    bench.settle();
    for (n, path) in ["/i/2", "/n/2"].into_iter().enumerate() {
        bench.send(
            client,
            ask(&format!("GET {path}"), &format!("more-{n}"), "", ""),
        );
        let at = bench.served();
        bench.serve(&at);
        assert_eq!(bench.answer(client).status, 200);
    }
    assert_eq!(bench.ready(), 200);
}

#[test]
fn proxy_without_complete_state_is_not_ready_and_rejects() {
    let mut bench = Bench::new(&[]);
    assert_eq!(bench.ready(), 503, "no server");
    let client = bench.ask(ask("GET /i/1", "one", "", ""));
    let answer = bench.answer(client);
    assert_eq!(
        (answer.status, answer.headers.contains("Retry-After")),
        (503, true)
    );
}
