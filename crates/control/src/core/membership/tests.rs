use std::net::SocketAddr;

use super::*;

fn edge(name: &str) -> NodeInfo {
    let (zone, region) = ("a".to_string(), "r".to_string());
    NodeInfo {
        name: name.to_string(),
        zone,
        region,
        http_address: SocketAddr::from(([10, 0, 0, 1], 80)),
    }
}

/// The names and states of the members that a replica knows.
fn member_states(membership: &Membership) -> Vec<(&str, NodeState)> {
    membership
        .all_members()
        .into_iter()
        .map(|member| (member.node.name.as_str(), member.state))
        .collect()
}

#[test]
fn missed_delta_makes_the_receiver_request_the_list() {
    let (mut sender, mut receiver) = (Membership::default(), Membership::default());
    assert!(sender.handle_hello(0, 1, edge("e")) && sender.handle_hello(0, 2, edge("f")));
    let first = sender.take_delta().unwrap();
    assert_eq!(
        (first.changed_members.len(), sender.take_delta()),
        (2, None)
    );
    assert_eq!(
        receiver.handle_delta(0, 7, first.clone()),
        DeltaOutcome::Applied
    );
    assert!(
        sender.handle_heartbeat(1, 1, NodeState::Ready)
            && !sender.handle_heartbeat(2, 1, NodeState::Ready)
    );
    let second = sender.take_delta().unwrap();
    assert_eq!(
        (second.changed_members.len(), second.removed_names.len()),
        (1, 0)
    );
    assert!(sender.handle_heartbeat(3, 2, NodeState::Draining));
    let third = sender.take_delta().unwrap();
    // The third delta arrives before the second one.
    assert_eq!(receiver.handle_delta(3, 7, third), DeltaOutcome::ListNeeded);
    assert_eq!(receiver.handle_delta(4, 7, second), DeltaOutcome::Applied);
    assert_eq!(
        member_states(&receiver),
        [("e", NodeState::Ready), ("f", NodeState::Unavailable)]
    );
    assert!(
        !receiver.handle_digest(5, 7, sender.digest()),
        "the list was requested within the last interval"
    );
    assert!(receiver.handle_digest(limits::SYNC_REQUEST_INTERVAL + 5, 7, sender.digest()));
    receiver.handle_member_list(limits::SYNC_REQUEST_INTERVAL + 6, 7, sender.local_members());
    assert!(!receiver.handle_digest(limits::SYNC_REQUEST_INTERVAL + 7, 7, sender.digest()));
    assert_eq!(
        member_states(&receiver),
        [("e", NodeState::Ready), ("f", NodeState::Draining)]
    );
    assert_eq!(
        receiver.serving_counts("a"),
        ServingCounts {
            total: 2,
            in_zone: 2
        }
    );
    // An edge whose lease has expired is announced as removed by its name alone.
    assert!(
        sender.handle_heartbeat(limits::MEMBER_LEASE_DURATION, 1, NodeState::Ready)
            || sender.expire_leases(limits::MEMBER_LEASE_DURATION + 4, true)
    );
    let last = sender.take_delta().unwrap();
    assert_eq!(
        (last.changed_members.len(), last.removed_names.as_slice()),
        (0, ["f".to_string()].as_slice())
    );
    assert_eq!(
        receiver.handle_delta(limits::MEMBER_LEASE_DURATION + 5, 7, last),
        DeltaOutcome::Applied
    );
    assert_eq!(
        (member_states(&receiver), receiver.serving_counts("a")),
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
fn silent_edge_counts_as_recently_serving_and_unavailable_edge_does_not() {
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
    let (mut members, mut peer) = (Membership::default(), Membership::default());
    peer.handle_hello(0, 1, edge("b"));
    members.handle_hello(0, 1, edge("a"));
    members.handle_member_list(0, 7, peer.local_members());
    // A process that stalled has not removed any expired lease or report yet.
    let valid_count =
        |now, has_quorum_contact| members.valid_members(now, has_quorum_contact).len();
    assert_eq!(
        (
            valid_count(limits::MEMBER_LEASE_DURATION, true),
            valid_count(limits::MEMBER_LEASE_DURATION + 1, true)
        ),
        (2, 0)
    );
    assert_eq!(
        (
            valid_count(limits::MEMBER_LEASE_DURATION + 1, false),
            valid_count(limits::MEMBER_LEASE_DURATION_WITHOUT_QUORUM + 1, false)
        ),
        (1, 0)
    );
}

#[test]
fn replica_without_quorum_contact_keeps_counting_silent_edges() {
    let mut members = Membership::default();
    members.handle_hello(0, 1, edge("a"));
    members.handle_heartbeat(0, 1, NodeState::Ready);
    members.expire_leases(0, true);
    let contact_regained_at = 2 * limits::RECENTLY_SERVING_DURATION;
    // The last time is checked by a process that stalled until then.
    for now in [
        limits::MEMBER_LEASE_DURATION + 1,
        limits::RECENTLY_SERVING_DURATION + 1,
        contact_regained_at,
    ] {
        members.expire_leases(now, false);
        assert_eq!(members.recently_serving_count(), 1, "after {now} us");
    }
    members.expire_leases(
        contact_regained_at + limits::RECENTLY_SERVING_DURATION,
        true,
    );
    assert_eq!(members.recently_serving_count(), 1);
    members.expire_leases(
        contact_regained_at + limits::RECENTLY_SERVING_DURATION + 1,
        true,
    );
    assert_eq!(members.recently_serving_count(), 0);
}

#[test]
fn edge_silent_before_it_reported_ready_counts_as_recently_serving() {
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
