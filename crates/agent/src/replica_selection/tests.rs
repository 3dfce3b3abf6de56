use super::*;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7740))
}

fn attempt(address: SocketAddr, is_last_of_round: bool) -> Attempt {
    Attempt {
        address,
        is_last_of_round,
    }
}

fn links(shift: usize) -> ReplicaSelection {
    let zones = [("a", "r"), ("b", "r"), ("c", "q"), ("d", "q")];
    let zones = zones
        .map(|(zone, region)| (zone.to_string(), region.to_string()))
        .into();
    let mut links = ReplicaSelection::new("b", "r", zones, shift);
    links.set_seeds(vec![at(9)]);
    links
}

fn tried(links: &mut ReplicaSelection, n: usize) -> Vec<SocketAddr> {
    (0..n)
        .filter_map(|_| links.next_attempt())
        .map(|attempt| attempt.address)
        .collect()
}

#[test]
fn near_replicas_are_tried_first_and_seeds_last() {
    let mut links = links(0);
    assert_eq!(
        tried(&mut links, 2),
        [at(9), at(9)],
        "the seeds are all there is"
    );
    links
        .set_replicas(&["d", "a", "c", "b"].map(|zone| (zone.to_string(), at(zone.as_bytes()[0]))));
    links.reset();
    assert_eq!(
        tried(&mut links, 6),
        [at(b'b'), at(b'a'), at(b'c'), at(b'd'), at(9), at(b'b')]
    );
    links.reset();
    assert_eq!(links.next_attempt(), Some(attempt(at(b'b'), false)));
}

#[test]
fn lost_replica_is_skipped_in_the_next_attempt() {
    let mut links = links(0);
    links.set_replicas(&["a", "b", "c"].map(|zone| (zone.to_string(), at(zone.as_bytes()[0]))));
    links.reset();
    links.skip_past(at(b'b'));
    assert_eq!(tried(&mut links, 3), [at(b'a'), at(b'c'), at(9)]);
    links.skip_past(at(77));
    assert_eq!(
        tried(&mut links, 1),
        [at(b'b')],
        "one that nobody knows any more"
    );
}

#[test]
fn replicas_reported_without_quorum_are_tried_after_known_ones() {
    let mut links = links(0);
    links.set_replicas(&["a", "b"].map(|zone| (zone.to_string(), at(zone.as_bytes()[0]))));
    links.reset();
    // `a` was replaced, and knows by now that `b` was, too.
    links.skip_past(at(b'b'));
    assert_eq!(tried(&mut links, 1), [at(b'a')]);
    links.add_unconfirmed_replicas(&[("a".to_string(), at(b'a')), ("b".to_string(), at(5))]);
    links.add_unconfirmed_replicas(&[("b".to_string(), at(5))]);
    links.skip_past(at(b'a'));
    assert_eq!(tried(&mut links, 3), [at(5), at(9), at(b'b')]);
    links.set_replicas(&[("b".to_string(), at(5))]);
    links.reset();
    assert_eq!(tried(&mut links, 2), [at(5), at(9)]);
}

#[test]
fn agents_of_a_zone_spread_over_other_replicas() {
    let replicas = ["a", "c", "d"].map(|zone| (zone.to_string(), at(zone.as_bytes()[0])));
    let third = |shift| {
        let mut links = links(shift);
        links.set_replicas(&replicas);
        tried(&mut links, 2)[1]
    };
    assert_ne!(third(0), third(1));
}

#[test]
fn last_attempt_of_a_round_is_marked() {
    let mut links = links(0);
    links.set_replicas(&[("a".to_string(), at(1))]);
    assert_eq!(links.next_attempt(), Some(attempt(at(1), false)));
    assert_eq!(links.next_attempt(), Some(attempt(at(9), true)));
}
