//! A second loss right after a repair or a replacement: timelines of six replicas, two to a region,
//! and the number of disks that hold acknowledged changes.

use control::operator_api::{Command, Reply};
use protocol::items::{ItemKind, ItemName};
use simulation::cluster::{Cluster, MS, SECOND, service};
use test_case::test_case;

/// Longest time from the signal to the end, which the process chooses.
const GRACE: i64 = 5 * SECOND;
/// After a return, or a start with an empty disk, everything is there by then.
const SYNC: i64 = 4 * SECOND;

fn started(seed: u64, replicas: usize) -> Cluster {
    let mut cluster = Cluster::with(seed, replicas, None);
    cluster.run_to(3 * SECOND);
    cluster
}

/// How many of the replicas' disks hold this version of the service `s`.
fn copies(cluster: &Cluster, ver: u64) -> usize {
    let name = ItemName {
        kind: ItemKind::Service,
        name: "s".to_string(),
    };
    let holds = |at: &&usize| cluster.nodes[**at].disk.version(&name) >= Some(ver);
    cluster.holding().iter().filter(holds).count()
}

/// Whether a machine's process has ended.
fn ended(cluster: &Cluster, at: usize) -> bool {
    cluster.nodes[at].core.is_none()
}

/// A change on the bare majority `c` to `f`, acknowledged by `e`.
fn bare_majority(cluster: &mut Cluster) {
    cluster.cut(&[0, 1], &[2, 3, 4, 5]);
    cluster.run(1_500 * MS);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    cluster.run(20 * MS);
    assert_eq!(copies(cluster, 7), 4);
}

#[test]
fn shutdown_waits_until_a_quorum_has_everything() {
    let mut cluster = started(11, 6);
    bare_majority(&mut cluster);
    cluster.stop(4);
    cluster.run(3 * SECOND);
    assert!(!ended(&cluster, 4) && copies(&cluster, 7) == 4);
    cluster.heal();
    cluster.run(1_500 * MS);
    assert!(ended(&cluster, 4));
    cluster.wipe(4);
    assert_eq!(copies(&cluster, 7), 5);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn shutdown_without_handover_ends_within_the_grace_period() {
    let mut cluster = started(12, 6);
    bare_majority(&mut cluster);
    cluster.stop(4);
    cluster.run(GRACE - 100 * MS);
    assert!(!ended(&cluster, 4));
    cluster.run(200 * MS);
    assert!(ended(&cluster, 4));
}

#[test]
fn calm_shutdown_ends_at_once() {
    let mut cluster = started(13, 6);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    cluster.stop(4);
    cluster.run(200 * MS);
    assert_eq!(cluster.ask(0, service("s", 8, 2)), Some(Reply::Done));
    cluster.run(400 * MS);
    assert!(ended(&cluster, 4) && copies(&cluster, 8) >= 4);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test]
fn superseded_replica_stays_until_its_successor_takes_part() {
    let mut cluster = started(14, 6);
    assert_eq!(cluster.ask(4, service("s", 7, 1)), Some(Reply::Done));
    let new = cluster.add(4);
    // It reaches two of the other five: its incarnation supersedes the old one, and it can't become
    // up to date.
    cluster.cut(&[new], &[2, 3, 5]);
    cluster.start(new);
    cluster.run(SECOND);
    assert!(
        cluster.nodes[4]
            .core
            .as_ref()
            .is_some_and(|core| core.is_superseded())
    );
    cluster.stop(4);
    cluster.run(2 * SECOND);
    assert!(!ended(&cluster, 4));
    cluster.heal();
    cluster.run(2 * SECOND);
    assert!(
        ended(&cluster, 4)
            && cluster.nodes[new]
                .core
                .as_ref()
                .is_some_and(|core| core.is_participant())
    );
    assert_eq!(copies(&cluster, 7), 6);
}

#[test]
fn replica_that_recovers_during_shutdown_hands_over() {
    let mut cluster = started(15, 6);
    bare_majority(&mut cluster);
    // The new disk receives the change from its holders, and is the only one that reaches the other
    // two replicas.
    cluster.wipe(4);
    cluster.heal();
    cluster.cut(&[0, 1], &[2, 3, 5]);
    cluster.start(4);
    cluster.run(20 * MS);
    assert!(!cluster.nodes[4].core.as_ref().unwrap().is_participant());
    cluster.stop(4);
    cluster.run(3 * SECOND);
    assert!(ended(&cluster, 4));
    cluster.wipe(4);
    assert_eq!(copies(&cluster, 7), 5);
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn surviving_one_of_two_candidates_holds_the_replica(seed: u64) {
    let mut cluster = started(seed, 6);
    assert_eq!(cluster.ask(0, service("s", 7, 1)), Some(Reply::Done));
    cluster.power(2);
    let candidates = [cluster.add(2), cluster.add(2)];
    candidates.iter().for_each(|at| cluster.start(*at));
    cluster.run(3 * SECOND);
    let part =
        |cluster: &Cluster, at: usize| cluster.nodes[at].core.as_ref().unwrap().is_participant();
    let won: Vec<usize> = candidates
        .into_iter()
        .filter(|at| part(&cluster, *at))
        .collect();
    assert_eq!(won.len(), 1, "{}", cluster.line(&["s"]));
    let left = candidates.into_iter().find(|at| *at != won[0]).unwrap();
    cluster.power(won[0]);
    cluster.run(SYNC + 2_500 * MS);
    assert!(part(&cluster, left), "{}", cluster.line(&["s"]));
    assert_eq!(cluster.ask(left, service("s", 8, 2)), Some(Reply::Done));
    assert!(cluster.faults.is_empty(), "{:?}", cluster.faults);
}

/// How many disks hold the change at each moment of a sequence.
struct Table(Vec<(&'static str, usize)>);

impl Table {
    fn note(&mut self, cluster: &Cluster, moment: &'static str) {
        self.0.push((moment, copies(cluster, 7)));
    }
}

#[test]
fn copies_during_successive_disk_losses() {
    let mut cluster = started(16, 6);
    bare_majority(&mut cluster);
    let mut table = Table(Vec::new());
    table.note(&cluster, "acknowledged by a bare majority");
    cluster.heal();
    cluster.wipe(4);
    cluster.wipe(5);
    table.note(&cluster, "two of its disks lost at once");
    cluster.start(4);
    cluster.run(SECOND);
    table.note(&cluster, "the first has rebuilt, the others heard of it");
    cluster.wipe(2);
    table.note(&cluster, "a third one lost");
    cluster.start(5);
    cluster.start(2);
    cluster.run(SYNC);
    table.note(&cluster, "sync_time after");
    let expected = [4, 2, 5, 4, 6];
    assert_eq!(
        table
            .0
            .iter()
            .map(|(_, copies)| *copies)
            .collect::<Vec<_>>(),
        expected,
        "{:?}",
        table.0
    );
    assert!(matches!(
        cluster.ask(5, Command::GetConfiguration),
        Some(Reply::Items(_))
    ));
}

#[test]
fn copies_during_replacement_and_power_loss() {
    let mut cluster = started(17, 6);
    bare_majority(&mut cluster);
    let mut table = Table(Vec::new());
    cluster.heal();
    let new = cluster.add(4);
    cluster.start(new);
    cluster.stop(4);
    table.note(
        &cluster,
        "the new one has begun, the old one is told to end",
    );
    cluster.run(150 * MS);
    (0..=new).for_each(|at| cluster.power(at));
    table.note(&cluster, "all without power, the old one gone for good");
    [0, 1, 2, 3, 5, new]
        .into_iter()
        .for_each(|at| cluster.start(at));
    cluster.run(SYNC);
    table.note(&cluster, "sync_time after");
    let copies: Vec<usize> = table.0.iter().map(|(_, copies)| *copies).collect();
    assert!(
        copies[0] == 3 && copies[1] >= 3 && copies[2] == 6,
        "{:?}",
        table.0
    );
}
