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

fn list(version: (u64, u64), cold: i64) -> ControlMessage {
    let addr = "10.128.0.9:8080".parse().unwrap();
    let server = Server {
        id: "i".into(),
        svc: "s".into(),
        addr,
        zone: "z".into(),
        slots: 1,
        accepts_requests: true,
        warm_up_left_us: cold,
    };
    ControlMessage::Servers {
        version,
        servers: vec![server],
    }
}

#[test]
fn only_newer_messages_are_forwarded() {
    let mut known = ConfigCache::default();
    assert!(
        known
            .apply(0, ControlMessage::Items(vec![item(3)]))
            .is_some()
    );
    assert_eq!(
        known.apply(0, ControlMessage::Items(vec![item(2), item(3)])),
        None
    );
    assert_eq!(
        known.apply(0, ControlMessage::Items(vec![item(2), item(5)])),
        Some(ControlMessage::Items(vec![item(5)]))
    );
    assert!(known.apply(0, list((2, 1), 0)).is_some() && known.apply(0, list((1, 9), 0)).is_none());
}

#[test]
fn late_proxy_is_sent_a_snapshot_with_remaining_warm_ups() {
    let mut known = ConfigCache::default();
    for message in [
        ControlMessage::Items(vec![item(3)]),
        list((1, 1), 500),
        ControlMessage::Complete,
    ] {
        known.apply(1_000, message);
    }
    let told = known.snapshot(1_200);
    assert_eq!(
        told,
        vec![
            ControlMessage::Items(vec![item(3)]),
            list((1, 1), 300),
            ControlMessage::Complete
        ]
    );
    // Nothing is whole before it was said to be.
    assert!(
        !ConfigCache::default()
            .snapshot(0)
            .contains(&ControlMessage::Complete)
    );
}

#[test]
fn limiter_with_signs_of_life_is_not_isolated() {
    let mut known = ConfigCache::default();
    known.apply(
        0,
        ControlMessage::ClusterView(ClusterView {
            has_quorum: true,
            limiter_count: 3,
            ..ClusterView::default()
        }),
    );
    for at in (0..2 * QUORUM_LOSS_TIMEOUT).step_by(400_000) {
        assert_eq!(known.apply(at, ControlMessage::Items(Vec::new())), None);
        assert_eq!(known.check_isolation(at + 1), None, "at {at}");
    }
    // Signs of life of a replica that said that it is out of touch are none of the core.
    known.apply(
        2 * QUORUM_LOSS_TIMEOUT,
        ControlMessage::ClusterView(ClusterView {
            limiter_count: 3,
            ..ClusterView::default()
        }),
    );
    known.apply(3 * QUORUM_LOSS_TIMEOUT, ControlMessage::Items(Vec::new()));
    assert!(known.check_isolation(3 * QUORUM_LOSS_TIMEOUT + 1).is_some());
}

#[test]
fn isolation_is_reported_to_the_proxy_once() {
    let who = |in_touch| {
        ControlMessage::ClusterView(ClusterView {
            limiter_count: 3,
            has_quorum: in_touch,
            ..ClusterView::default()
        })
    };
    let mut known = ConfigCache::default();
    assert_eq!(known.apply(0, who(true)), Some(who(true)));
    assert_eq!(known.check_isolation(ISOLATION_TIMEOUT - 1), None);
    assert_eq!(known.check_isolation(ISOLATION_TIMEOUT), Some(who(false)));
    assert_eq!(known.check_isolation(ISOLATION_TIMEOUT + 1), None);
    // A replica that is out of touch changes nothing; one in touch does.
    assert_eq!(known.apply(ISOLATION_TIMEOUT + 2, who(false)), None);
    assert_eq!(
        known.apply(ISOLATION_TIMEOUT + 3, who(true)),
        Some(who(true))
    );
    // While it hears replicas that are out of touch it is counted on for longer.
    for at in (ISOLATION_TIMEOUT + 3..ISOLATION_TIMEOUT + QUORUM_LOSS_TIMEOUT).step_by(400_000) {
        known.apply(at, who(false));
        assert_eq!(known.check_isolation(at), None);
    }
    assert_eq!(
        known.check_isolation(ISOLATION_TIMEOUT + 3 + QUORUM_LOSS_TIMEOUT),
        Some(who(false))
    );
}

#[test]
fn clock_advances_between_messages_and_never_back() {
    let mut known = ConfigCache::default();
    assert_eq!(
        known.apply(1_000, ControlMessage::Clock(70_000)),
        Some(ControlMessage::Clock(70_000))
    );
    assert_eq!(known.apply(2_000, ControlMessage::Clock(70_900)), None);
    assert_eq!(known.limiter_clock(3_000), Some(72_000));
    assert!(
        known
            .snapshot(3_000)
            .contains(&ControlMessage::Clock(72_000))
    );
}
