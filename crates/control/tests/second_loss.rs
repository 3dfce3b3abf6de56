//! A second disk loss right after a recovery or a replacement: sequences of faults in a cluster of
//! six replicas, two per region, and the number of disks that hold an acknowledged change.

use control::operator_api::{Command, Reply};
use protocol::items::{ItemKind, ItemName};
use simulation::cluster::{Cluster, MS, SECOND, service};
use test_case::test_case;

/// The longest time from SIGTERM to the end of the process.
const GRACE_PERIOD: i64 = 5 * SECOND;
/// The time within which a replica is up to date after a restart, or after a start with an empty
/// disk.
const SYNC_TIME: i64 = 4 * SECOND;

fn started(seed: u64, replicas: usize) -> Cluster {
    let mut cluster = Cluster::with(seed, replicas, None);
    cluster.run_to(3 * SECOND);
    cluster
}

/// The number of replicas whose disks hold this version or a later one of the service `s`.
fn copies(cluster: &Cluster, ver: u64) -> usize {
    let name = ItemName {
        kind: ItemKind::Service,
        name: "s".to_string(),
    };
    let holds = |replica: &&usize| cluster.nodes[**replica].disk.version(&name) >= Some(ver);
    cluster.holding().iter().filter(holds).count()
}

/// Whether the process of a node has ended.
fn has_ended(cluster: &Cluster, node: usize) -> bool {
    cluster.nodes[node].core.is_none()
}

/// Commits a change on a minimal majority, the replicas `c` to `f`; `e` acknowledges it.
fn commit_on_minimal_majority(cluster: &mut Cluster) {
    cluster.cut(&[0, 1], &[2, 3, 4, 5]);
    cluster.run(1_500 * MS);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(20 * MS);
    assert_eq!(copies(cluster, 7), 4);
}

#[test]
fn shutdown_waits_until_a_quorum_holds_all_items() {
    let mut cluster = started(11, 6);
    commit_on_minimal_majority(&mut cluster);
    cluster.stop(4);
    cluster.run(3 * SECOND);
    assert!(!has_ended(&cluster, 4) && copies(&cluster, 7) == 4);
    cluster.heal();
    cluster.run(1_500 * MS);
    assert!(has_ended(&cluster, 4));
    cluster.wipe(4);
    assert_eq!(copies(&cluster, 7), 5);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn shutdown_without_handover_ends_within_the_grace_period() {
    let mut cluster = started(12, 6);
    commit_on_minimal_majority(&mut cluster);
    cluster.stop(4);
    cluster.run(GRACE_PERIOD - 100 * MS);
    assert!(!has_ended(&cluster, 4));
    cluster.run(200 * MS);
    assert!(has_ended(&cluster, 4));
}

#[test]
fn shutdown_without_pending_handover_ends_at_once() {
    let mut cluster = started(13, 6);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    cluster.stop(4);
    cluster.run(200 * MS);
    assert_eq!(cluster.ask(0, service("s", 8, 2)), Some(Reply::Done));
    cluster.run(400 * MS);
    assert!(has_ended(&cluster, 4) && copies(&cluster, 8) >= 4);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn superseded_replica_runs_until_its_successor_participates() {
    let mut cluster = started(14, 6);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    let new_node = cluster.add(4);
    // The new node reaches two of the other five: its incarnation supersedes the old one, but it
    // can't become up to date.
    cluster.cut(&[new_node], &[2, 3, 5]);
    cluster.start(new_node);
    cluster.run(SECOND);
    assert!(
        cluster.nodes[4]
            .core
            .as_ref()
            .is_some_and(|core| core.is_superseded())
    );
    cluster.stop(4);
    cluster.run(2 * SECOND);
    assert!(!has_ended(&cluster, 4));
    cluster.heal();
    cluster.run(2 * SECOND);
    assert!(
        has_ended(&cluster, 4)
            && cluster.nodes[new_node]
                .core
                .as_ref()
                .is_some_and(|core| core.is_participant())
    );
    assert_eq!(copies(&cluster, 7), 6);
}

#[test]
fn replica_that_recovers_during_shutdown_hands_over() {
    let mut cluster = started(15, 6);
    commit_on_minimal_majority(&mut cluster);
    // The new disk receives the change from the replicas that hold it, and only this replica
    // reaches the other two.
    cluster.wipe(4);
    cluster.heal();
    cluster.cut(&[0, 1], &[2, 3, 5]);
    cluster.start(4);
    cluster.run(20 * MS);
    assert!(!cluster.nodes[4].core.as_ref().unwrap().is_participant());
    cluster.stop(4);
    cluster.run(3 * SECOND);
    assert!(has_ended(&cluster, 4));
    cluster.wipe(4);
    assert_eq!(copies(&cluster, 7), 5);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn remaining_one_of_two_replacements_takes_over_the_replica(seed: u64) {
    let mut cluster = started(seed, 6);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.power(2);
    let replacements = [cluster.add(2), cluster.add(2)];
    replacements.iter().for_each(|node| cluster.start(*node));
    cluster.run(3 * SECOND);
    let is_participant = |cluster: &Cluster, node: usize| {
        cluster.nodes[node].core.as_ref().unwrap().is_participant()
    };
    let winners: Vec<usize> = replacements
        .into_iter()
        .filter(|node| is_participant(&cluster, *node))
        .collect();
    assert_eq!(winners.len(), 1, "{}", cluster.line(&["s"]));
    let remaining = replacements
        .into_iter()
        .find(|node| *node != winners[0])
        .unwrap();
    cluster.power(winners[0]);
    cluster.run(SYNC_TIME + 2_500 * MS);
    assert!(
        is_participant(&cluster, remaining),
        "{}",
        cluster.line(&["s"])
    );
    assert_eq!(
        cluster.ask(remaining, service("s", 8, 2)),
        Some(Reply::Done)
    );
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

/// The number of disks that hold the change after each step of a sequence.
struct CopyCounts(Vec<(&'static str, usize)>);

impl CopyCounts {
    fn record(&mut self, cluster: &Cluster, step: &'static str) {
        self.0.push((step, copies(cluster, 7)));
    }
}

#[test]
fn copies_during_successive_disk_losses() {
    let mut cluster = started(16, 6);
    commit_on_minimal_majority(&mut cluster);
    let mut counts = CopyCounts(Vec::new());
    counts.record(&cluster, "acknowledged by a minimal majority");
    cluster.heal();
    cluster.wipe(4);
    cluster.wipe(5);
    counts.record(&cluster, "two of its disks lost at once");
    cluster.start(4);
    cluster.run(SECOND);
    counts.record(
        &cluster,
        "the first has recovered, and the others have received the change",
    );
    cluster.wipe(2);
    counts.record(&cluster, "a third disk lost");
    cluster.start(5);
    cluster.start(2);
    cluster.run(SYNC_TIME);
    counts.record(&cluster, "after SYNC_TIME");
    let expected = [4, 2, 5, 4, 6];
    assert_eq!(
        counts
            .0
            .iter()
            .map(|(_, copies)| *copies)
            .collect::<Vec<_>>(),
        expected,
        "{:?}",
        counts.0
    );
    assert!(matches!(
        cluster.ask(5, Command::GetConfiguration),
        Some(Reply::Items(_))
    ));
}

#[test]
fn copies_during_replacement_and_power_loss() {
    let mut cluster = started(17, 6);
    commit_on_minimal_majority(&mut cluster);
    let mut counts = CopyCounts(Vec::new());
    cluster.heal();
    let new_node = cluster.add(4);
    cluster.start(new_node);
    cluster.stop(4);
    counts.record(
        &cluster,
        "the new node has started, the old one is shutting down",
    );
    cluster.run(150 * MS);
    (0..=new_node).for_each(|node| cluster.power(node));
    counts.record(&cluster, "all have lost power, the old node is removed");
    [0, 1, 2, 3, 5, new_node]
        .into_iter()
        .for_each(|node| cluster.start(node));
    cluster.run(SYNC_TIME);
    counts.record(&cluster, "after SYNC_TIME");
    let copies: Vec<usize> = counts.0.iter().map(|(_, copies)| *copies).collect();
    assert!(
        copies[0] == 3 && copies[1] >= 3 && copies[2] == 6,
        "{:?}",
        counts.0
    );
}
