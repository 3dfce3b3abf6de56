use std::net::SocketAddr;

use super::*;

fn edge(node: &str) -> NodeInfo {
    let (zone, region) = ("a".to_string(), "r".to_string());
    NodeInfo {
        name: node.to_string(),
        zone,
        region,
        http: SocketAddr::from(([10, 0, 0, 1], 80)),
    }
}

/// What another replica holds of this one's list.
fn held(other: &Membership) -> Vec<(&str, NodeState)> {
    other
        .all_members()
        .into_iter()
        .map(|told| (told.node.name.as_str(), told.state))
        .collect()
}

#[test]
fn a_change_is_told_alone_and_who_missed_one_asks_for_the_whole() {
    let (mut one, mut other) = (Membership::default(), Membership::default());
    assert!(one.handle_hello(0, 1, edge("e")) && one.handle_hello(0, 2, edge("f")));
    let first = one.take_delta().unwrap();
    assert_eq!((first.changed.len(), one.take_delta()), (2, None));
    assert_eq!(other.handle_delta(0, 7, first.clone()), Some(false));
    assert!(
        one.handle_heartbeat(1, 1, NodeState::Ready)
            && !one.handle_heartbeat(2, 1, NodeState::Ready)
    );
    let second = one.take_delta().unwrap();
    assert_eq!((second.changed.len(), second.removed.len()), (1, 0));
    assert!(one.handle_heartbeat(3, 2, NodeState::Draining));
    let third = one.take_delta().unwrap();
    // The third comes before the second, and the first again.
    assert_eq!(other.handle_delta(3, 7, third), None);
    assert_eq!(other.handle_delta(4, 7, second), Some(false));
    assert_eq!(
        held(&other),
        [("e", NodeState::Ready), ("f", NodeState::Unavailable)]
    );
    assert!(
        !other.handle_digest(5, 7, one.digest()),
        "it was asked for just now"
    );
    assert!(other.handle_digest(limits::SYNC_REQUEST_INTERVAL + 5, 7, one.digest()));
    other.handle_member_list(limits::SYNC_REQUEST_INTERVAL + 6, 7, one.local_members());
    assert!(!other.handle_digest(limits::SYNC_REQUEST_INTERVAL + 7, 7, one.digest()));
    assert_eq!(
        held(&other),
        [("e", NodeState::Ready), ("f", NodeState::Draining)]
    );
    assert_eq!(other.serving_counts("a"), (2, 2));
    // One whose lease has run out goes by its name alone.
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
        Some(false)
    );
    assert_eq!(
        (held(&other), other.serving_counts("a")),
        (vec![("e", NodeState::Ready)], (1, 1))
    );
}

#[test]
fn an_edge_that_falls_silent_counts_for_a_while_and_one_that_leaves_does_not() {
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
fn leases_end_by_themselves_and_sooner_for_hearsay_in_touch() {
    let (mut members, mut other) = (Membership::default(), Membership::default());
    other.handle_hello(0, 1, edge("b"));
    members.handle_hello(0, 1, edge("a"));
    members.handle_member_list(0, 7, other.local_members());
    // Nothing was dropped: the process stood still.
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
fn a_replica_out_of_touch_counts_on_those_that_it_hears_no_more() {
    let mut members = Membership::default();
    members.handle_hello(0, 1, edge("a"));
    members.handle_heartbeat(0, 1, NodeState::Ready);
    members.expire_leases(0, true);
    let back = 2 * limits::RECENTLY_SERVING_DURATION;
    // The last is as a process finds it that stood still.
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
fn an_edge_that_falls_silent_before_it_says_that_it_serves_counts_for_a_while() {
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
