//! Singleton roles and restarts of all replicas: timelines of six replicas, one column each, two
//! per region.

mod common;

use control::core::Input;
use control::core::ids::SingletonRole;
use control::operator_api::{Command, Reply};
use protocol::messages::{AgentMessage, ControlMessage};
use simulation::cluster::{Cluster, MS, SECOND, assert_timeline, service};

use common::{ALL, edge, started};

#[test]
fn brief_zone_loss_keeps_one_lease_holder_and_acknowledged_items() {
    let mut cluster = started(17);
    assert_eq!(cluster.ask(3, service("s", 7, 1)), Some(Reply::Done));
    // The holder of the counter's lease loses power, and restarts before its grants have expired by
    // the clocks of the others.
    cluster.power(3);
    let mut lines = vec![cluster.line(&["s"])];
    assert_eq!(cluster.ask(0, service("s", 8, 2)), Some(Reply::Done));
    cluster.run_to(4_700 * MS);
    cluster.start(3);
    lines.push(cluster.line(&["s"]));
    cluster.run(900 * MS);
    lines.push(cluster.line(&["s"]));
    assert_timeline(
        &lines,
        "       a   b   c   d   e   f
        3.2s  oP_ o_  o_  .   o_  o_
        4.7s  oP8 o8  o8  -_  o8  o8
        5.6s  oP8 o8  o8  o8  oC8 o8",
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn full_restart_keeps_acknowledged_items() {
    let mut cluster = started(5);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    assert_eq!(
        cluster.ask(
            1,
            Command::SetEvacuation {
                zone: "c".into(),
                evacuate: true
            }
        ),
        Some(Reply::Done)
    );
    let terms = cluster.terms.clone();
    ALL.iter().for_each(|replica| cluster.kill(*replica));
    let mut lines = vec![cluster.line(&["s", "c"])];
    cluster.run(500 * MS);
    ALL.iter().for_each(|replica| cluster.start(*replica));
    cluster.run(SECOND);
    lines.push(cluster.line(&["s", "c"]));
    cluster.run(2 * SECOND);
    lines.push(cluster.line(&["s", "c"]));
    assert_timeline(
        &lines,
        "       a    b    c    d    e    f
        3.5s   .    .    .    .    .    .
        5.0s   o71  o71  o71  oC71 o71  o71
        7.0s   oP71 o71  o71  oC71 o71  o71",
    );
    // The terms of the roles keep increasing.
    for role in SingletonRole::ALL {
        let last_term = terms
            .keys()
            .filter(|(of_role, _)| *of_role == role)
            .map(|(_, term)| *term)
            .max();
        assert!(Some(cluster.holders(role)[0].1) > last_term, "{role:?}");
    }
}

/// Without a counter, proxies limit tenants to their local quota shares. After a restart of all
/// replicas the former lease holder resumes the counter at once, as no other replica can hold
/// grants of the voters that granted it. A holder that restarts later finds the role taken.
#[test]
fn former_counter_resumes_after_a_full_restart() {
    let mut cluster = started(5);
    let former_lease = cluster.holders(SingletonRole::Counter)[0];
    ALL.iter().for_each(|replica| cluster.power(*replica));
    let mut lines = vec![cluster.line(&[])];
    cluster.run(500 * MS);
    ALL.iter().for_each(|replica| cluster.start(*replica));
    cluster.run(700 * MS);
    lines.push(cluster.line(&[]));
    // It is killed alone, and restarts while the grants of the others to it are valid.
    cluster.run(SECOND);
    cluster.kill(former_lease.0);
    cluster.run(300 * MS);
    cluster.start(former_lease.0);
    cluster.run(800 * MS);
    lines.push(cluster.line(&[]));
    cluster.power(former_lease.0);
    cluster.run(2_400 * MS);
    lines.push(cluster.line(&[]));
    assert_timeline(
        &lines,
        "     a   b   c   d   e   f
        3.0s  .   .   .   .   .   .
        4.2s  o   o   o   oC  o   o
        6.3s  oP  o   o   oC  o   o
        8.7s  oP  o   o   .   oC  o",
    );
    let new_lease = cluster.holders(SingletonRole::Counter)[0];
    assert!(
        new_lease.0 != former_lease.0 && new_lease.1 > former_lease.1 + 1,
        "{former_lease:?} {new_lease:?}"
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

/// Restarted proxies serve nothing until they know servers. So replicas read the list of servers at
/// their start, before the lease of the poller is granted.
#[test]
fn server_list_is_read_before_any_lease_after_a_full_restart() {
    let mut cluster = started(5);
    let is_polling = |cluster: &Cluster, replica: usize| {
        cluster.nodes[replica]
            .core
            .as_ref()
            .is_some_and(|core| core.should_poll_platform(cluster.now))
    };
    ALL.iter().for_each(|replica| cluster.kill(*replica));
    ALL.iter().for_each(|replica| cluster.start(*replica));
    cluster.feed(
        2,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "c"))),
    );
    // Only two of six replicas poll, so that a large cluster keeps within the platform's rate
    // limit.
    assert_eq!(
        ALL.iter()
            .filter(|replica| is_polling(&cluster, **replica))
            .count(),
        2
    );
    cluster.run(500 * MS);
    assert!(cluster.holders(SingletonRole::PlatformPoller).is_empty());
    cluster.feed(0, Input::ServerListRead(vec![]));
    cluster.run(100 * MS);
    let last_list_version = |cluster: &Cluster| {
        let messages = cluster.nodes[2].told.iter().rev();
        messages.into_iter().find_map(|(_, message)| {
            if let ControlMessage::Servers { version, .. } = message {
                Some(*version)
            } else {
                None
            }
        })
    };
    assert_eq!(last_list_version(&cluster), Some((0, 1)));
    assert!(
        ALL.iter().all(|replica| !is_polling(&cluster, *replica)),
        "a replica polls although a list is known"
    );
    // A list of the lease holder supersedes the one that was read at the start.
    cluster.run(2 * SECOND);
    let (holder, term) = cluster.holders(SingletonRole::PlatformPoller)[0];
    let server = protocol::platform::Server {
        id: "i".into(),
        svc: "s".into(),
        addr: "10.9.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        accepts_requests: true,
        warm_up_left_us: 0,
    };
    cluster.feed(holder, Input::ServerListRead(vec![server]));
    cluster.run(100 * MS);
    assert_eq!(last_list_version(&cluster), Some((term, 1)));
}

#[test]
fn role_moves_at_once_after_shutdown_and_soon_after_a_kill() {
    let mut cluster = started(9);
    let mut lines = vec![cluster.line(&[])];
    cluster.feed(3, Input::Shutdown);
    lines.push(cluster.line(&[]));
    cluster.run(600 * MS);
    lines.push(cluster.line(&[]));
    cluster.kill(0);
    cluster.run(1_200 * MS);
    lines.push(cluster.line(&[]));
    cluster.run(1_200 * MS);
    lines.push(cluster.line(&[]));
    assert_timeline(
        &lines,
        "      a   b   c   d   e   f
        3.0s  oP  o   o   oC  o   o
        3.0s  oP  o   o   o   o   o
        3.6s  oP  o   o   o   oC  o
        4.8s  .   o   o   o   oC  o
        6.0s  .   oP  o   o   oC  o",
    );
}

#[test]
fn server_list_reaches_all_replicas() {
    let mut cluster = started(11);
    cluster.feed(
        5,
        Input::AgentMessage(1, AgentMessage::Hello(edge("e1", "f"))),
    );
    cluster.cut(&[5], &[0, 1, 2, 3, 4]);
    cluster.feed(0, Input::ServerListRead(vec![]));
    // A list from a replica without the role is ignored.
    cluster.feed(1, Input::ServerListRead(vec![]));
    cluster.run(1_500 * MS);
    let list_versions = |cluster: &Cluster| {
        let messages = cluster.nodes[5].told.iter();
        messages
            .filter_map(|(_, message)| match message {
                ControlMessage::Servers { version, .. } => Some(*version),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    assert!(list_versions(&cluster).is_empty());
    cluster.heal();
    cluster.run(SECOND);
    let term = cluster.holders(SingletonRole::PlatformPoller)[0].1;
    assert_eq!(list_versions(&cluster), [(term, 1)]);
}
