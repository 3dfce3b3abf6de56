//! An agent between a scripted replica of the core and a scripted proxy, in the thread of the test: who starts anew hears
//! all, and nobody goes back. The clock is driven by hand.

mod common;

use std::net::TcpListener;

use common::*;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage, CounterAdd, NodeState};

#[test]
fn restarted_proxy_is_sent_everything_without_a_core() {
    let mut bench = Bench::new();
    bench.proxy();
    let told = [
        who(None),
        items(&[3, 5]),
        servers((2, 7), 0),
        ControlMessage::Complete,
    ];
    bench.replica_says(&told);
    // Nothing was known when it came.
    let news = [&[items(&[])], &told[..]].concat();
    bench.proxy_hears(&news);
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Ready));
    bench.proxies.clear();
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Unavailable));
    bench.link = None;
    bench.proxy();
    bench.proxy_hears(&told);
    // The next replica hears who is here, and how it stands, and brings nothing but what is newer.
    bench.pass(200);
    bench.replica_hears(&AgentMessage::Hello(edge()));
    bench.replica_says(&[
        who(None),
        items(&[2, 5]),
        servers((2, 6), 0),
        ControlMessage::Complete,
        items(&[4]),
    ]);
    bench.proxy_hears(&[items(&[4])]);
}

#[test]
fn agent_feeds_its_proxy_and_renews_its_lease() {
    let mut bench = Bench::new();
    // The replica hears of no edge before there is a proxy.
    bench.until("link", |bench| bench.link.is_some());
    bench.pass(900);
    assert!(
        bench
            .link
            .as_ref()
            .unwrap()
            .heard
            .iter()
            .all(|heard| matches!(
                heard,
                AgentMessage::Clock(0) | AgentMessage::ConfigState { item_count: 0, .. }
            ))
    );
    bench.proxy();
    bench.replica_hears(&AgentMessage::Hello(edge()));
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Ready));
    // Cold times run on while they are kept here.
    bench.replica_says(&[servers((1, 1), 500 * MS), ControlMessage::Complete]);
    bench.proxy_hears(&[
        items(&[]),
        servers((1, 1), 500 * MS),
        ControlMessage::Complete,
    ]);
    bench.pass(600);
    bench.proxy();
    bench.proxy_hears(&[items(&[]), servers((1, 1), 0), ControlMessage::Complete]);
}

#[test]
fn batches_go_to_the_counter_or_are_reported_as_not_counted() {
    let mut bench = Bench::new();
    bench.proxy();
    bench.proxy_hears(&[items(&[])]);
    let adds = |batch| AgentMessage::CounterBatch {
        batch,
        clock_us: 5,
        adds: vec![CounterAdd {
            counter: 9,
            units: 1.0,
            ttl_us: 7,
        }],
    };
    bench.proxies[0].say(&adds(41));
    bench.proxy_hears(&[ControlMessage::NotCounted(41)]);
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = (holder.local_addr().unwrap(), 1);
    bench.replica_says(&[who(Some(at))]);
    bench.proxy_hears(&[who(Some(at))]);
    // The limiters' clock is not known yet: in what window the adds are nobody could say.
    bench.proxies[0].say(&adds(41));
    bench.proxy_hears(&[ControlMessage::NotCounted(41)]);
    bench.replica_says(&[ControlMessage::Clock(7_000_000_000_000)]);
    bench.until("time", |bench| !bench.proxies[0].heard.is_empty());
    let told = std::mem::take(&mut bench.proxies[0].heard);
    assert!(
        matches!(told[..], [ControlMessage::Clock(time)] if time - 7_000_000_000_000 < 1_000_000),
        "{told:?}"
    );
    holder.set_nonblocking(true).unwrap();
    let mut count: Option<End<AgentMessage>> = None;
    bench.until("link to the count", |_| {
        count = holder.accept().ok().map(|(stream, _)| End::new(stream));
        count.is_some()
    });
    let mut count = count.unwrap();
    bench.until("first word there", |_| {
        !count.look() && !count.heard.is_empty()
    });
    bench.proxies[0].say(&adds(42));
    bench.until("adds there", |_| !count.look() && count.heard.len() > 1);
    assert!(
        matches!(count.heard[0], AgentMessage::Clock(_)),
        "{:?}",
        count.heard
    );
    assert_eq!(count.heard[1..], [adds(1)]);
    count.say(&ControlMessage::CounterTotals {
        batch: 1,
        totals: vec![3.0],
    });
    bench.proxy_hears(&[ControlMessage::CounterTotals {
        batch: 42,
        totals: vec![3.0],
    }]);
}

#[test]
fn agent_without_replicas_reloads_its_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("local.yaml");
    // Nobody listens there: the replica that the file named at the start is gone.
    let mut bench = Bench::started("127.0.0.3:1", Some(&file));
    bench.pass(600);
    assert!(bench.link.is_none());
    // A faulty file changes nothing, and the next one counts.
    std::fs::write(&file, "node: [").unwrap();
    bench.pass(600);
    let port = bench.replica.local_addr().unwrap().port();
    std::fs::write(&file, settings(port, "127.0.0.2:1")).unwrap();
    bench.pass(600);
    bench.until("link", |bench| bench.link.is_some());
}

/// The replica answers all requests for the clock that it has heard.
fn answer_clocks(bench: &mut Bench) {
    (0..20).for_each(|_| bench.turn());
    let link = bench.link.as_mut().unwrap();
    let heard = std::mem::take(&mut link.heard);
    let asked = heard.iter().filter(|m| matches!(m, AgentMessage::Clock(_)));
    for _ in 0..asked.count() {
        link.say(&ControlMessage::Clock(7));
    }
}

#[test]
fn proxy_is_told_how_old_its_configuration_may_be() {
    let mut bench = Bench::new();
    bench.proxy();
    let hello = AgentMessage::Hello(edge());
    bench.until("registration", |bench| {
        let link = bench.link.as_ref();
        link.is_some_and(|link| link.heard.contains(&hello))
    });
    bench.replica_says(&[who(None), items(&[1])]);
    bench.pass(600);
    answer_clocks(&mut bench);
    assert!(bench.confirmed_ages().is_empty(), "it may lack items");
    bench.pass(200);
    bench.replica_says(&[ControlMessage::Complete]);
    // What was in force when the edge was registered has arrived.
    let ages = bench.confirmed_ages();
    assert!(matches!(ages[..], [800_000..1_000_000]), "{ages:?}");
    // An answer confirms the time at which it was asked for.
    bench.pass(300);
    answer_clocks(&mut bench);
    let ages = bench.confirmed_ages();
    assert!(matches!(ages[..], [300_000..=400_000]), "{ages:?}");
    // A replica that has lost the quorum confirms nothing until it has said again that it knows all.
    bench.replica_says(&[ControlMessage::ClusterView(ClusterView::default())]);
    bench.pass(500);
    answer_clocks(&mut bench);
    assert!(bench.confirmed_ages().is_empty());
    bench.replica_says(&[who(None), ControlMessage::Complete]);
    bench.pass(100);
    answer_clocks(&mut bench);
    let ages = bench.confirmed_ages();
    assert!(matches!(ages[..], [0..=200_000]), "{ages:?}");
}
