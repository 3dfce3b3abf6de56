//! An agent between a scripted replica of the core and scripted proxies: after a restart of its proxy or a change of its
//! replica the proxy must have the complete configuration, and never an older version than before.

mod common;

use std::net::TcpListener;

use common::*;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage, CounterAdd, NodeState};

#[test]
fn restarted_proxy_is_sent_everything_without_a_core() {
    let mut bench = Bench::new();
    bench.connect_proxy();
    let configuration = [
        cluster_view(None),
        items(&[3, 5]),
        servers((2, 7), 0),
        ControlMessage::Complete,
    ];
    bench.send_from_replica(&configuration);
    // The snapshot on the connection of the proxy was empty.
    let expected = [&[items(&[])], &configuration[..]].concat();
    bench.expect_at_proxy(&expected);
    bench.expect_at_replica(&AgentMessage::Heartbeat(NodeState::Ready));
    bench.proxies.clear();
    bench.expect_at_replica(&AgentMessage::Heartbeat(NodeState::Unavailable));
    bench.link = None;
    bench.connect_proxy();
    bench.expect_at_proxy(&configuration);
    // The edge is registered at the next replica; of what that sends, only newer items are forwarded.
    bench.advance_ms(200);
    bench.expect_at_replica(&AgentMessage::Hello(edge()));
    bench.send_from_replica(&[
        cluster_view(None),
        items(&[2, 5]),
        servers((2, 6), 0),
        ControlMessage::Complete,
        items(&[4]),
    ]);
    bench.expect_at_proxy(&[items(&[4])]);
}

#[test]
fn proxy_is_told_of_a_snapshot_at_once_and_after_a_restart_until_it_is_complete() {
    let mut bench = Bench::new();
    bench.connect_proxy();
    let snapshot = [
        cluster_view(None),
        items(&[3]),
        ControlMessage::SnapshotComplete,
    ];
    bench.send_from_replica(&snapshot);
    let expected = [&[items(&[])], &snapshot[..]].concat();
    bench.expect_at_proxy(&expected);
    bench.connect_proxy();
    bench.expect_at_proxy(&snapshot);
    // What was complete stays so.
    bench.send_from_replica(&[ControlMessage::Complete, ControlMessage::SnapshotComplete]);
    bench.expect_at_proxy(&[ControlMessage::Complete]);
    bench.connect_proxy();
    bench.expect_at_proxy(&[cluster_view(None), items(&[3]), ControlMessage::Complete]);
}

#[test]
fn agent_registers_and_forwards_only_once_a_proxy_is_connected() {
    let mut bench = Bench::new();
    // The edge is not registered before a proxy has connected.
    bench.run_until("a link", |bench| bench.link.is_some());
    bench.advance_ms(900);
    assert!(
        bench
            .link
            .as_ref()
            .unwrap()
            .received
            .iter()
            .all(|message| matches!(
                message,
                AgentMessage::Clock(0) | AgentMessage::ConfigState { item_count: 0, .. }
            ))
    );
    bench.connect_proxy();
    bench.expect_at_replica(&AgentMessage::Hello(edge()));
    bench.expect_at_replica(&AgentMessage::Heartbeat(NodeState::Ready));
    // The remaining warm-up times decrease while the list is cached.
    bench.send_from_replica(&[servers((1, 1), 500 * MS), ControlMessage::Complete]);
    bench.expect_at_proxy(&[
        items(&[]),
        servers((1, 1), 500 * MS),
        ControlMessage::Complete,
    ]);
    bench.advance_ms(600);
    bench.connect_proxy();
    bench.expect_at_proxy(&[items(&[]), servers((1, 1), 0), ControlMessage::Complete]);
}

#[test]
fn batches_are_forwarded_to_the_counter_or_answered_as_not_counted() {
    let mut bench = Bench::new();
    bench.connect_proxy();
    bench.expect_at_proxy(&[items(&[])]);
    let adds = |batch| AgentMessage::CounterBatch {
        batch,
        clock_us: 5,
        adds: vec![CounterAdd {
            counter: 9,
            units: 1.0,
            ttl_us: 7,
        }],
    };
    bench.proxies[0].send(&adds(41));
    bench.expect_at_proxy(&[ControlMessage::NotCounted(41)]);
    let counter_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counter = (counter_listener.local_addr().unwrap(), 1);
    bench.send_from_replica(&[cluster_view(Some(counter))]);
    bench.expect_at_proxy(&[cluster_view(Some(counter))]);
    // Without the limiters' clock, the window of the additions is undefined.
    bench.proxies[0].send(&adds(41));
    bench.expect_at_proxy(&[ControlMessage::NotCounted(41)]);
    bench.send_from_replica(&[ControlMessage::Clock(7_000_000_000_000)]);
    bench.run_until("the clock", |bench| !bench.proxies[0].received.is_empty());
    let received = std::mem::take(&mut bench.proxies[0].received);
    assert!(
        matches!(received[..], [ControlMessage::Clock(time)] if time - 7_000_000_000_000 < 1_000_000),
        "{received:?}"
    );
    counter_listener.set_nonblocking(true).unwrap();
    let mut link: Option<LinkEnd<AgentMessage>> = None;
    bench.run_until("a link to the counter", |_| {
        link = counter_listener
            .accept()
            .ok()
            .map(|(stream, _)| LinkEnd::new(stream));
        link.is_some()
    });
    let mut counter_link = link.unwrap();
    bench.run_until("the first message at the counter", |_| {
        !counter_link.receive() && !counter_link.received.is_empty()
    });
    bench.proxies[0].send(&adds(42));
    bench.run_until("the batch at the counter", |_| {
        !counter_link.receive() && counter_link.received.len() > 1
    });
    assert!(
        matches!(counter_link.received[0], AgentMessage::Clock(_)),
        "{:?}",
        counter_link.received
    );
    assert_eq!(counter_link.received[1..], [adds(1)]);
    counter_link.send(&ControlMessage::CounterTotals {
        batch: 1,
        totals: vec![3.0],
    });
    bench.expect_at_proxy(&[ControlMessage::CounterTotals {
        batch: 42,
        totals: vec![3.0],
    }]);
}

#[test]
fn agent_without_replicas_reloads_its_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("local.yaml");
    // No replica listens at the seed that the file contains at the start.
    let mut bench = Bench::start("127.0.0.3:1", Some(&path));
    bench.advance_ms(600);
    assert!(bench.link.is_none());
    // An invalid file is ignored, and a later valid one is used.
    std::fs::write(&path, "node: [").unwrap();
    bench.advance_ms(600);
    let port = bench.replica.local_addr().unwrap().port();
    std::fs::write(&path, settings(port, "127.0.0.2:1")).unwrap();
    bench.advance_ms(600);
    bench.run_until("a link", |bench| bench.link.is_some());
}

/// Answers all requests for the clock that the replica has received.
fn answer_clock_requests(bench: &mut Bench) {
    (0..20).for_each(|_| bench.run_once());
    let link = bench.link.as_mut().unwrap();
    let received = std::mem::take(&mut link.received);
    let requests = received
        .iter()
        .filter(|message| matches!(message, AgentMessage::Clock(_)));
    for _ in 0..requests.count() {
        link.send(&ControlMessage::Clock(7));
    }
}

#[test]
fn proxy_is_sent_the_maximum_age_of_its_configuration() {
    let mut bench = Bench::new();
    bench.connect_proxy();
    let hello = AgentMessage::Hello(edge());
    bench.run_until("the registration", |bench| {
        let link = bench.link.as_ref();
        link.is_some_and(|link| link.received.contains(&hello))
    });
    bench.send_from_replica(&[cluster_view(None), items(&[1])]);
    bench.advance_ms(600);
    answer_clock_requests(&mut bench);
    assert!(
        bench.take_confirmed_ages().is_empty(),
        "an incomplete configuration was confirmed"
    );
    bench.advance_ms(200);
    bench.send_from_replica(&[ControlMessage::Complete]);
    // Everything that was in force when the edge was registered has been received.
    let ages = bench.take_confirmed_ages();
    assert!(matches!(ages[..], [800_000..1_000_000]), "{ages:?}");
    // An answer confirms the time at which it was requested.
    bench.advance_ms(300);
    answer_clock_requests(&mut bench);
    let ages = bench.take_confirmed_ages();
    assert!(matches!(ages[..], [300_000..=400_000]), "{ages:?}");
    // A replica that has lost the quorum confirms nothing until it has sent `Complete` again.
    bench.send_from_replica(&[ControlMessage::ClusterView(ClusterView::default())]);
    bench.advance_ms(500);
    answer_clock_requests(&mut bench);
    assert!(bench.take_confirmed_ages().is_empty());
    bench.send_from_replica(&[cluster_view(None), ControlMessage::Complete]);
    bench.advance_ms(100);
    answer_clock_requests(&mut bench);
    let ages = bench.take_confirmed_ages();
    assert!(matches!(ages[..], [0..=200_000]), "{ages:?}");
}
