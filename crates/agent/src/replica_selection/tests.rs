use super::*;

fn address(last_octet: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last_octet], 7740))
}

fn attempt(address: SocketAddr, is_last_of_round: bool) -> Attempt {
    Attempt {
        address,
        is_last_of_round,
    }
}

fn selection(rotation: usize) -> ReplicaSelection {
    let zones = [("a", "r"), ("b", "r"), ("c", "q"), ("d", "q")];
    let zones = zones
        .map(|(zone, region)| (zone.to_string(), region.to_string()))
        .into();
    let mut selection = ReplicaSelection::new("b", "r", zones, rotation);
    selection.set_seeds(vec![address(9)]);
    selection
}

fn next_addresses(selection: &mut ReplicaSelection, count: usize) -> Vec<SocketAddr> {
    (0..count)
        .filter_map(|_| selection.next_attempt())
        .map(|attempt| attempt.address)
        .collect()
}

#[test]
fn nearby_replicas_are_tried_first_and_seeds_last() {
    let mut selection = selection(0);
    assert_eq!(
        next_addresses(&mut selection, 2),
        [address(9), address(9)],
        "the seeds are the only known replicas"
    );
    selection.set_replicas(
        &["d", "a", "c", "b"].map(|zone| (zone.to_string(), address(zone.as_bytes()[0]))),
    );
    selection.reset();
    assert_eq!(
        next_addresses(&mut selection, 6),
        [
            address(b'b'),
            address(b'a'),
            address(b'c'),
            address(b'd'),
            address(9),
            address(b'b')
        ]
    );
    selection.reset();
    assert_eq!(
        selection.next_attempt(),
        Some(attempt(address(b'b'), false))
    );
}

#[test]
fn lost_replica_is_skipped_in_the_next_attempt() {
    let mut selection = selection(0);
    selection
        .set_replicas(&["a", "b", "c"].map(|zone| (zone.to_string(), address(zone.as_bytes()[0]))));
    selection.reset();
    selection.skip_past(address(b'b'));
    assert_eq!(
        next_addresses(&mut selection, 3),
        [address(b'a'), address(b'c'), address(9)]
    );
    selection.skip_past(address(77));
    assert_eq!(
        next_addresses(&mut selection, 1),
        [address(b'b')],
        "an unknown replica restarts the order"
    );
}

#[test]
fn replicas_reported_without_quorum_are_tried_after_known_ones() {
    let mut selection = selection(0);
    selection.set_replicas(&["a", "b"].map(|zone| (zone.to_string(), address(zone.as_bytes()[0]))));
    selection.reset();
    // `a` was replaced, and has learned meanwhile that `b` was replaced too.
    selection.skip_past(address(b'b'));
    assert_eq!(next_addresses(&mut selection, 1), [address(b'a')]);
    selection.add_unconfirmed_replicas(&[
        ("a".to_string(), address(b'a')),
        ("b".to_string(), address(5)),
    ]);
    selection.add_unconfirmed_replicas(&[("b".to_string(), address(5))]);
    selection.skip_past(address(b'a'));
    assert_eq!(
        next_addresses(&mut selection, 3),
        [address(5), address(9), address(b'b')]
    );
    selection.set_replicas(&[("b".to_string(), address(5))]);
    selection.reset();
    assert_eq!(next_addresses(&mut selection, 2), [address(5), address(9)]);
}

#[test]
fn agents_of_a_zone_without_a_replica_spread_over_the_others() {
    let replicas = ["a", "c", "d"].map(|zone| (zone.to_string(), address(zone.as_bytes()[0])));
    let second_address = |rotation| {
        let mut selection = selection(rotation);
        selection.set_replicas(&replicas);
        next_addresses(&mut selection, 2)[1]
    };
    assert_ne!(second_address(0), second_address(1));
}

#[test]
fn last_attempt_of_a_round_is_marked() {
    let mut selection = selection(0);
    selection.set_replicas(&[("a".to_string(), address(1))]);
    assert_eq!(selection.next_attempt(), Some(attempt(address(1), false)));
    assert_eq!(selection.next_attempt(), Some(attempt(address(9), true)));
}
