//! The outcome of a proposal when the proposer knows another value to be chosen.

use std::net::SocketAddr;

use control::core::chosen::ChosenItems;
use control::core::ids::Voter;
use control::core::ids::{Ballot, Incarnation, ProcessId, ReplicaId};
use control::core::peer_messages::Payload;
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

fn voter(replica: ReplicaId) -> Voter {
    Voter {
        replica,
        incarnation: Incarnation::FIRST,
    }
}

fn three_replicas() -> ReplicaTable {
    let local = ProcessId {
        replica: 0,
        incarnation: Incarnation::FIRST,
        run: 1,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut table = ReplicaTable::new(local, 3, address, Vec::new());
    table.restore(&[Incarnation::FIRST; 3], &[None; 3]);
    table
}

/// The actions of a proposal that receives promises from before another proposal was chosen: one
/// replica reports an accepted value that was not chosen.
fn actions_after_promises(intent: Intent, accepted: Item, chosen: &Item) -> Vec<Action> {
    let mut chosen_items = ChosenItems::default();
    let mut proposal = Proposal::new(intent, 0, 1_000_000);
    let proposed_ballot = ballot(1, 0, 1);
    proposal.start(0, proposed_ballot);
    let table = three_replicas();
    assert_eq!(
        proposal.handle_promise(0, voter(0), vec![], &table, &chosen_items),
        vec![]
    );
    chosen_items.learn(ballot(1, 1, 0), chosen);
    proposal.handle_promise(
        0,
        voter(2),
        vec![(ballot(1, 0, 0), accepted)],
        &table,
        &chosen_items,
    )
}

fn service(spec: &str) -> Item {
    item(ItemKind::Service, 1, spec)
}

#[test_case("1", "1", "2" => Outcome::Conflict; "the accepted value has the requested content and was not chosen")]
#[test_case("2", "1", "2" => Outcome::Done; "the accepted value has another content and the requested one is chosen")]
fn chosen_content_of_a_version_decides_the_outcome(
    requested: &str,
    accepted: &str,
    chosen: &str,
) -> Outcome {
    let actions = actions_after_promises(
        Intent::SetItems(vec![service(requested)]),
        service(accepted),
        &service(chosen),
    );
    match actions.as_slice() {
        [Action::Report(outcome), Action::Finished] => *outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn evacuation_is_proposed_above_the_chosen_version() {
    let zone = |ver, spec: &str| item(ItemKind::Zone, ver, spec);
    let actions = actions_after_promises(
        Intent::SetEvacuation(zone(1, "true").name, true),
        zone(1, "true"),
        &zone(2, "false"),
    );
    let items = vec![zone(3, "true")];
    assert_eq!(
        actions,
        vec![Action::Broadcast(Payload::Accept {
            ballot: ballot(1, 0, 1),
            items
        })]
    );
}
