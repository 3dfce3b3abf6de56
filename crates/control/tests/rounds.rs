//! Rounds against what their proposer knows to be chosen.

use std::net::SocketAddr;

use control::core::chosen::ChosenItems;
use control::core::peer_messages::{Ballot, Incarnation, Payload, ProcessId, ReplicaId};
use control::core::proposal::{Action, Intent, Outcome, Proposal};
use control::core::replicas::ReplicaTable;
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

fn ballot(round: u64, replica: ReplicaId, run: u32) -> Ballot {
    Ballot {
        round,
        proposer: ProcessId {
            replica,
            incarnation: Incarnation::FIRST,
            run,
        },
    }
}

fn three() -> ReplicaTable {
    let me = ProcessId {
        replica: 0,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut replicas = ReplicaTable::new(me, 3, address, Vec::new());
    replicas.restore(&[Incarnation::FIRST; 3], &[None; 3]);
    replicas
}

/// A round whose promises are of before another proposal was chosen: one replica still holds what lost
/// against that.
fn decided(want: Intent, left: Item, chosen: &Item) -> Vec<Action> {
    let mut news = ChosenItems::default();
    let mut round = Proposal::new(want, 0, 1_000_000);
    let own = ballot(1, 0, 1);
    round.start(0, own);
    let replicas = three();
    assert_eq!(
        round.handle_promise(0, (0, Incarnation::FIRST), vec![], &replicas, &news),
        vec![]
    );
    news.learn(ballot(1, 1, 0), chosen);
    round.handle_promise(
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
        Intent::SetItems(vec![service(wanted)]),
        service(left),
        &service(chosen),
    );
    match steps.as_slice() {
        [Action::Report(outcome), Action::Finished] => *outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_zone_is_judged_by_what_is_chosen() {
    let zone = |ver, spec: &str| item(ItemKind::Zone, ver, spec);
    let steps = decided(
        Intent::SetEvacuation(zone(1, "true").name, true),
        zone(1, "true"),
        &zone(2, "false"),
    );
    let proposed = vec![zone(3, "true")];
    assert_eq!(
        steps,
        vec![Action::Broadcast(Payload::Accept {
            ballot: ballot(1, 0, 1),
            items: proposed
        })]
    );
}
