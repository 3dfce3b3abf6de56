use super::*;
use protocol::items::ItemKind;

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        ..Ballot::default()
    }
}

#[test]
fn promise_applies_to_its_register_and_the_floor_to_all() {
    let name = |name: &str| ItemName {
        kind: ItemKind::Service,
        name: name.to_string(),
    };
    let item = |item_name: &str, ver| Item {
        name: name(item_name),
        ver,
        spec: None,
    };
    let mut registers = Registers::default();
    assert_eq!(registers.prepare(ballot(5), &[name("a")]), Ok(vec![]));
    assert_eq!(registers.accept(ballot(4), &[item("a", 1)]), Err(ballot(5)));
    // A message is accepted as a whole or not at all; a register without a promise accepts it.
    assert_eq!(
        registers.accept(ballot(4), &[item("b", 1), item("a", 1)]),
        Err(ballot(5))
    );
    assert_eq!(registers.accept(ballot(4), &[item("b", 1)]), Ok(()));
    registers.raise_promise_floor(ballot(7));
    assert_eq!(registers.prepare(ballot(6), &[name("b")]), Err(ballot(7)));
    assert_eq!(registers.prepare(ballot(6), &[name("c")]), Err(ballot(7)));
    assert_eq!(
        registers.prepare(ballot(8), &[name("b")]),
        Ok(vec![(ballot(4), item("b", 1))])
    );
    assert_eq!(registers.highest_promise(), ballot(8));
    // A late message of an earlier proposal does not replace an adopted value.
    assert!(registers.adopt(ballot(12), &item("d", 2)));
    assert_eq!(
        registers.accept(ballot(11), &[item("d", 1)]),
        Err(ballot(12))
    );
    assert_eq!(
        registers.accepted_value(&name("d")),
        Some(&(ballot(12), item("d", 2)))
    );
    // The digests depend on the contents alone, not on how they were stored.
    assert!(
        registers.adopt(ballot(8), &item("b", 2)) && !registers.adopt(ballot(7), &item("b", 1))
    );
    let stored = registers
        .iter()
        .map(|(name, register)| (name.clone(), register.clone()))
        .collect();
    assert_eq!(
        Registers::restore(ballot(7), stored).digests(),
        registers.digests()
    );
}
