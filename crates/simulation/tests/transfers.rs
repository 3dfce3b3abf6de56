//! State transfers: how long and how large they are, and hundreds of changes with replicas that were away.

use control::operator_api::Reply;
use simulation::cluster::{Cluster, MS, SECOND, service};
use simulation::draw::{Often, Plan, draw};
use simulation::play::play;
use simulation::scale::transfer::{Away, Return, run};
use test_case::test_case;

const AWAY: Away = Away {
    cores: 6,
    items: 1_000,
    changes: 1_000,
    wiped: false,
};
/// Stated: whole within this.
const WHOLE: i64 = 2 * SECOND;
/// Stated: no message of a transfer is longer.
const LONGEST: i64 = 512 * 1_024;

fn returned(away: Away) -> Return {
    let seen = run(away);
    assert!(
        seen.whole.is_some_and(|whole| whole < WHOLE) && seen.longest < LONGEST,
        "{away:?}: {seen}"
    );
    seen
}

#[test]
fn the_bytes_of_a_return_do_not_depend_on_how_often_an_item_was_changed() {
    let (few, many) = (
        returned(AWAY),
        returned(Away {
            changes: 20_000,
            ..AWAY
        }),
    );
    assert_eq!(few.differ, many.differ);
    assert!(many.came < few.came * 11 / 10, "{few}\n{many}");
    // Beats and the names of all come on top of what differs.
    assert!(many.came < many.changed * 2, "{many}");
}

#[test]
fn the_bytes_of_a_return_depend_on_what_differs() {
    let all = Away {
        items: 5_000,
        changes: 5_000,
        ..AWAY
    };
    let (some, all) = (returned(Away { changes: 50, ..all }), returned(all));
    assert!(some.came * 10 < all.came, "{some}\n{all}");
}

#[test]
fn a_replica_without_its_disk_is_told_all_about_once_in_messages_that_do_not_grow() {
    let seen = returned(Away {
        items: 20_000,
        wiped: true,
        ..AWAY
    });
    assert!(seen.came < seen.changed * 3, "{seen}");
}

#[test]
fn messages_that_all_come_twice_do_not_make_a_transfer_grow() {
    let mut cluster = Cluster::new(1);
    cluster.run_to(3 * SECOND);
    cluster.cut(&[5], &[0, 1, 2, 3, 4]);
    for at in 0..60 {
        assert_eq!(
            cluster.ask(at % 5, service(&format!("s{at}"), 2, 1)),
            Some(Reply::Done)
        );
    }
    cluster.twice = 1_000;
    cluster.heal();
    let before = cluster.nodes[5].transferred;
    cluster.run(3 * SECOND);
    assert!(
        cluster.agree() && cluster.faults.is_empty(),
        "{:?}",
        cluster.faults
    );
    let came = cluster.nodes[5].transferred - before;
    assert!(came < 60_000, "{came} bytes");
    cluster.run(500 * MS);
}

#[test_case(6, 3, 12)]
#[test_case(3, 0, 40)]
#[test_case(5, 0, 20)]
fn hundreds_of_changes_and_replicas_that_were_away_break_no_rule(
    cores: usize,
    edges: usize,
    many: u64,
) {
    let plan = Plan {
        cores,
        edges,
        often: Often::ManyChanges,
        ..Plan::default()
    };
    for seed in 1..=many {
        let faults = play(&draw(seed, plan)).faults;
        assert!(faults.is_empty(), "seed {seed}: {faults:?}");
    }
}
