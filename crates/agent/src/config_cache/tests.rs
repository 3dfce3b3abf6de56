use super::*;
use protocol::items::{ItemKind, ItemName};

fn item(ver: u64) -> Item {
    Item {
        name: ItemName {
            kind: ItemKind::Zone,
            name: "z".into(),
        },
        ver,
        spec: Some("true".into()),
    }
}

fn server_list(version: (u64, u64), warm_up_left_us: i64) -> ControlMessage {
    let addr = "10.128.0.9:8080".parse().unwrap();
    let server = Server {
        id: "i".into(),
        svc: "s".into(),
        addr,
        zone: "z".into(),
        slots: 1,
        accepts_requests: true,
        warm_up_left_us,
    };
    ControlMessage::Servers {
        version,
        servers: vec![server],
    }
}

#[test]
fn only_newer_messages_are_forwarded() {
    let mut cache = ConfigCache::default();
    assert!(
        cache
            .apply(0, ControlMessage::Items(vec![item(3)]))
            .is_some()
    );
    assert_eq!(
        cache.apply(0, ControlMessage::Items(vec![item(2), item(3)])),
        None
    );
    assert_eq!(
        cache.apply(0, ControlMessage::Items(vec![item(2), item(5)])),
        Some(ControlMessage::Items(vec![item(5)]))
    );
    assert!(
        cache.apply(0, server_list((2, 1), 0)).is_some()
            && cache.apply(0, server_list((1, 9), 0)).is_none()
    );
}

#[test]
fn late_proxy_is_sent_a_snapshot_with_remaining_warm_ups() {
    let mut cache = ConfigCache::default();
    for message in [
        ControlMessage::Items(vec![item(3)]),
        server_list((1, 1), 500),
        ControlMessage::Complete,
    ] {
        cache.apply(1_000, message);
    }
    let snapshot = cache.snapshot(1_200);
    assert_eq!(
        snapshot,
        vec![
            ControlMessage::Items(vec![item(3)]),
            server_list((1, 1), 300),
            ControlMessage::Complete
        ]
    );
    // Before the control program has sent `Complete`, the snapshot does not contain it.
    assert!(
        !ConfigCache::default()
            .snapshot(0)
            .contains(&ControlMessage::Complete)
    );
}

#[test]
fn limiter_that_receives_keep_alives_is_not_isolated() {
    let mut cache = ConfigCache::default();
    cache.apply(
        0,
        ControlMessage::ClusterView(ClusterView {
            has_quorum: true,
            limiter_count: 3,
            ..ClusterView::default()
        }),
    );
    for now in (0..2 * QUORUM_LOSS_TIMEOUT).step_by(400_000) {
        assert_eq!(cache.apply(now, ControlMessage::Items(Vec::new())), None);
        assert_eq!(cache.check_isolation(now + 1), None, "at {now}");
    }
    // Keep-alives of a replica without a quorum do not prove contact with the core.
    cache.apply(
        2 * QUORUM_LOSS_TIMEOUT,
        ControlMessage::ClusterView(ClusterView {
            limiter_count: 3,
            ..ClusterView::default()
        }),
    );
    cache.apply(3 * QUORUM_LOSS_TIMEOUT, ControlMessage::Items(Vec::new()));
    assert!(cache.check_isolation(3 * QUORUM_LOSS_TIMEOUT + 1).is_some());
}

#[test]
fn isolation_is_reported_to_the_proxy_once() {
    let cluster_view = |has_quorum| {
        ControlMessage::ClusterView(ClusterView {
            limiter_count: 3,
            has_quorum,
            ..ClusterView::default()
        })
    };
    let mut cache = ConfigCache::default();
    assert_eq!(cache.apply(0, cluster_view(true)), Some(cluster_view(true)));
    assert_eq!(cache.check_isolation(ISOLATION_TIMEOUT - 1), None);
    assert_eq!(
        cache.check_isolation(ISOLATION_TIMEOUT),
        Some(cluster_view(false))
    );
    assert_eq!(cache.check_isolation(ISOLATION_TIMEOUT + 1), None);
    // A replica without a quorum does not end the isolation; one with a quorum does.
    assert_eq!(
        cache.apply(ISOLATION_TIMEOUT + 2, cluster_view(false)),
        None
    );
    assert_eq!(
        cache.apply(ISOLATION_TIMEOUT + 3, cluster_view(true)),
        Some(cluster_view(true))
    );
    // While replicas without a quorum send messages, the limiter becomes isolated only after the longer timeout.
    for now in (ISOLATION_TIMEOUT + 3..ISOLATION_TIMEOUT + QUORUM_LOSS_TIMEOUT).step_by(400_000) {
        cache.apply(now, cluster_view(false));
        assert_eq!(cache.check_isolation(now), None);
    }
    assert_eq!(
        cache.check_isolation(ISOLATION_TIMEOUT + 3 + QUORUM_LOSS_TIMEOUT),
        Some(cluster_view(false))
    );
}

#[test]
fn clock_advances_between_messages_and_never_back() {
    let mut cache = ConfigCache::default();
    assert_eq!(
        cache.apply(1_000, ControlMessage::Clock(70_000)),
        Some(ControlMessage::Clock(70_000))
    );
    assert_eq!(cache.apply(2_000, ControlMessage::Clock(70_900)), None);
    assert_eq!(cache.limiter_clock(3_000), Some(72_000));
    assert!(
        cache
            .snapshot(3_000)
            .contains(&ControlMessage::Clock(72_000))
    );
}
