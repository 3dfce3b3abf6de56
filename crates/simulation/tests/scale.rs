//! What must not grow with the replicas, the limiters or the items together.

use simulation::scale::{Report, Size, run};

fn played(cores: usize, limiters: usize, items: usize) -> Report {
    let report = run(Size {
        cores,
        limiters,
        items,
    });
    assert!(
        report.start.is_some() && report.replica.1.is_some() && report.moved.is_some(),
        "{report}"
    );
    report
}

#[test]
fn a_newcomer_replica_is_told_the_whole_about_once_however_many_replicas_there_are() {
    let (small, large) = (played(5, 10, 300), played(25, 10, 300));
    // Of the two, one is by itself all that the newcomer needs; beats and votes come on top.
    assert!(
        large.replica_bytes.0 < small.replica_bytes.0 * 3 / 2,
        "{small}\n{large}"
    );
}

#[test]
fn a_calm_peer_message_does_not_grow_with_the_replicas_nor_with_the_limiters() {
    let length = |report: &Report| report.calm.0.bytes / report.calm.0.messages;
    let (small, large) = (played(5, 10, 20), played(25, 250, 20));
    assert!(length(&large) < length(&small) * 1.5, "{small}\n{large}");
    // Nor what an agent hears.
    assert!(
        large.calm.1.taken < small.calm.1.taken * 1.5,
        "{small}\n{large}"
    );
}

#[test]
fn limiters_that_lose_their_replica_are_not_told_again_what_they_have() {
    let report = played(5, 100, 1_000);
    // A fifth of the limiters moves; all of them were told all at the start, most of it by the three first replicas.
    assert!(report.replica_bytes.1 * 10 < report.start_bytes, "{report}");
}

#[test]
fn limiters_that_start_are_told_the_whole_by_the_replica_of_their_zone() {
    let (one, many) = (played(5, 5, 300), played(25, 250, 300));
    // Three of the 25 replicas are named in the settings; a third of all limiters at each would be 83 times the whole.
    let whole = one.start_bytes;
    assert!(many.start_bytes < 45 * whole, "{one}\n{many}");
}

#[test]
fn each_table_costs_memory_and_message_bytes_by_its_entries() {
    let costs = simulation::scale::footprint::measure(2_000, 2_000).unwrap();
    assert_eq!(costs.len(), 5);
    // A route's or a tenant's text alone has more than 60 bytes; a server's id, service, zone and address more than 30.
    assert!(
        costs
            .iter()
            .all(|cost| cost.message > 30.0 && cost.message < 400.0),
        "{costs:?}"
    );
}
