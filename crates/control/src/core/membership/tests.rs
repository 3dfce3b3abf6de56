use std::net::SocketAddr;

use super::*;

fn edge(node: &str) -> NodeInfo {
    let (zone, region) = ("a".to_string(), "r".to_string());
    NodeInfo {
        name: node.to_string(),
        zone,
        region,
        http_address: SocketAddr::from(([10, 0, 0, 1], 80)),
    }
}

/// The members that a replica knows, with their states.
fn states(other: &Membership) -> Vec<(&str, NodeState)> {
    other
        .all_members()
        .into_iter()
        .map(|member| (member.node.name.as_str(), member.state))
        .collect()
}

#[test]
fn missed_delta_makes_the_receiver_request_the_list() {
    let (mut one, mut other) = (Membership::default(), Membership::default());
    assert!(one.handle_hello(0, 1, edge("e")) && one.handle_hello(0, 2, edge("f")));
    let first = one.take_delta().unwrap();
    assert_eq!((first.changed.len(), one.take_delta()), (2, None));
    assert_eq!(
        other.handle_delta(0, 7, first.clone()),
        DeltaOutcome::Applied
    );
    assert!(
        one.handle_heartbeat(1, 1, NodeState::Ready)
            && !one.handle_heartbeat(2, 1, NodeState::Ready)
    );
    let second = one.take_delta().unwrap();
    assert_eq!((second.changed.len(), second.removed.len()), (1, 0));
    assert!(one.handle_heartbeat(3, 2, NodeState::Draining));
    let third = one.take_delta().unwrap();
    // The third delta arrives before the second.
    assert_eq!(other.handle_delta(3, 7, third), DeltaOutcome::ListNeeded);
    assert_eq!(other.handle_delta(4, 7, second), DeltaOutcome::Applied);
    assert_eq!(
        states(&other),
        [("e", NodeState::Ready), ("f", NodeState::Unavailable)]
    );
    assert!(
        !other.handle_digest(5, 7, one.digest()),
        "the list was requested just now"
    );
    assert!(other.handle_digest(limits::SYNC_REQUEST_INTERVAL + 5, 7, one.digest()));
    other.handle_member_list(limits::SYNC_REQUEST_INTERVAL + 6, 7, one.local_members());
    assert!(!other.handle_digest(limits::SYNC_REQUEST_INTERVAL + 7, 7, one.digest()));
    assert_eq!(
        states(&other),
        [("e", NodeState::Ready), ("f", NodeState::Draining)]
    );
    assert_eq!(
        other.serving_counts("a"),
        ServingCounts {
            total: 2,
            in_zone: 2
        }
    );
    // An edge whose lease has expired is removed by its name alone.
    assert!(
        one.handle_heartbeat(limits::MEMBER_LEASE_DURATION, 1, NodeState::Ready)
            || one.expire_leases(limits::MEMBER_LEASE_DURATION + 4, true)
    );
    let last = one.take_delta().unwrap();
    assert_eq!(
        (last.changed.len(), last.removed.as_slice()),
        (0, ["f".to_string()].as_slice())
    );
    assert_eq!(
        other.handle_delta(limits::MEMBER_LEASE_DURATION + 5, 7, last),
        DeltaOutcome::Applied
    );
    assert_eq!(
        (states(&other), other.serving_counts("a")),
        (
            vec![("e", NodeState::Ready)],
            ServingCounts {
                total: 1,
                in_zone: 1
            }
        )
    );
}

#[test]
fn silent_edge_counts_as_recently_serving_and_one_that_left_does_not() {
    let mut members = Membership::default();
    for (link, node) in [(1, "a"), (2, "b")] {
        members.handle_hello(0, link, edge(node));
        members.handle_heartbeat(0, link, NodeState::Ready);
    }
    members.expire_leases(0, true);
    members.handle_heartbeat(100, 1, NodeState::Unavailable);
    members.expire_leases(limits::MEMBER_LEASE_DURATION + 1, true);
    assert_eq!(
        (
            members.all_members().len(),
            members.recently_serving_count()
        ),
        (1, 1)
    );
    members.expire_leases(limits::RECENTLY_SERVING_DURATION + 1, true);
    assert_eq!(members.recently_serving_count(), 0);
}

#[test]
fn leases_and_reports_expire_without_renewal() {
    let (mut members, mut other) = (Membership::default(), Membership::default());
    other.handle_hello(0, 1, edge("b"));
    members.handle_hello(0, 1, edge("a"));
    members.handle_member_list(0, 7, other.local_members());
    // A stalled process has not removed anything yet.
    let named = |now, in_touch| members.valid_members(now, in_touch).len();
    assert_eq!(
        (
            named(limits::MEMBER_LEASE_DURATION, true),
            named(limits::MEMBER_LEASE_DURATION + 1, true)
        ),
        (2, 0)
    );
    assert_eq!(
        (
            named(limits::MEMBER_LEASE_DURATION + 1, false),
            named(limits::MEMBER_LEASE_DURATION_WITHOUT_QUORUM + 1, false)
        ),
        (1, 0)
    );
}

#[test]
fn replica_without_quorum_goes_on_counting_silent_edges() {
    let mut members = Membership::default();
    members.handle_hello(0, 1, edge("a"));
    members.handle_heartbeat(0, 1, NodeState::Ready);
    members.expire_leases(0, true);
    let back = 2 * limits::RECENTLY_SERVING_DURATION;
    // The last one is what a process finds that had stalled.
    for alone in [
        limits::MEMBER_LEASE_DURATION + 1,
        limits::RECENTLY_SERVING_DURATION + 1,
        back,
    ] {
        members.expire_leases(alone, false);
        assert_eq!(members.recently_serving_count(), 1, "{alone}");
    }
    members.expire_leases(back + limits::RECENTLY_SERVING_DURATION, true);
    assert_eq!(members.recently_serving_count(), 1);
    members.expire_leases(back + limits::RECENTLY_SERVING_DURATION + 1, true);
    assert_eq!(members.recently_serving_count(), 0);
}

#[test]
fn edge_silent_before_it_was_ready_counts_as_recently_serving() {
    let mut members = Membership::default();
    members.handle_hello(0, 1, edge("a"));
    members.handle_heartbeat(0, 1, NodeState::Unavailable);
    members.expire_leases(0, true);
    assert_eq!(
        (
            members.all_members().len(),
            members.recently_serving_count()
        ),
        (1, 0)
    );
    members.expire_leases(limits::MEMBER_LEASE_DURATION + 1, true);
    assert_eq!(
        (
            members.all_members().len(),
            members.recently_serving_count()
        ),
        (0, 1)
    );
    members.expire_leases(
        limits::MEMBER_LEASE_DURATION + limits::RECENTLY_SERVING_DURATION + 2,
        true,
    );
    assert_eq!(members.recently_serving_count(), 0);
}
