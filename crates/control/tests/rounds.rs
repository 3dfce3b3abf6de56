//! Rounds against what their proposer knows to be chosen.

use std::net::SocketAddr;

use control::core::news::News;
use control::core::peer_messages::{Ballot, Body, Incarnation, Replica, Speaker};
use control::core::replicas::Replicas;
use control::core::rounds::{Outcome, Round, Step, Want};
use protocol::items::{Item, ItemKind, ItemName};
use test_case::test_case;

fn item(kind: ItemKind, ver: u64, spec: &str) -> Item {
    Item {
        name: ItemName {
            kind,
            name: "a".to_string(),
        },
        ver,
        spec: Some(spec.to_string()),
    }
}

fn ballot(round: u64, replica: Replica, run: u32) -> Ballot {
    Ballot {
        round,
        by: Speaker {
            replica,
            incarnation: Incarnation::FIRST,
            run,
        },
    }
}

fn three() -> Replicas {
    let me = Speaker {
        replica: 0,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut replicas = Replicas::new(me, 3, address, Vec::new());
    replicas.restore(&[Incarnation::FIRST; 3], &[None; 3]);
    replicas
}

/// A round whose promises are of before another proposal was chosen: one replica still holds what lost
/// against that.
fn decided(want: Want, left: Item, chosen: &Item) -> Vec<Step> {
    let mut news = News::default();
    let mut round = Round::new(want, 0, 1_000_000);
    let own = ballot(1, 0, 1);
    round.begin(0, own);
    let replicas = three();
    assert_eq!(
        round.promised(0, (0, Incarnation::FIRST), vec![], &replicas, &news),
        vec![]
    );
    news.learn(ballot(1, 1, 0), chosen);
    round.promised(
        0,
        (2, Incarnation::FIRST),
        vec![(ballot(1, 0, 0), left)],
        &replicas,
        &news,
    )
}

fn service(spec: &str) -> Item {
    item(ItemKind::Service, 1, spec)
}

#[test_case("1", "1", "2" => Outcome::Conflict; "what is left has the wanted content and lost")]
#[test_case("2", "1", "2" => Outcome::Done; "what is left has another content and the wanted one is chosen")]
fn of_a_version_the_chosen_content_decides(wanted: &str, left: &str, chosen: &str) -> Outcome {
    let steps = decided(
        Want::Items(vec![service(wanted)]),
        service(left),
        &service(chosen),
    );
    match steps.as_slice() {
        [Step::Outcome(outcome), Step::Over] => *outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_zone_is_judged_by_what_is_chosen() {
    let zone = |ver, spec: &str| item(ItemKind::Zone, ver, spec);
    let steps = decided(
        Want::Zone(zone(1, "true").name, true),
        zone(1, "true"),
        &zone(2, "false"),
    );
    let proposed = vec![zone(3, "true")];
    assert_eq!(
        steps,
        vec![Step::All(Body::Accept {
            ballot: ballot(1, 0, 1),
            items: proposed
        })]
    );
}
