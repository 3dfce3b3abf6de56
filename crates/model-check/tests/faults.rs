//! Planted faults are found, each with the fewest steps to where it shows.

use model_check::bounds::Bounds;
use model_check::exploration::shortest_violation;
use model_check::named_bounds;
use model_check::properties::{AGREEMENT, DURABILITY, NO_UNREBUILT_PARTICIPANT};
use model_check::steps::Fault;
use test_case::test_case;

fn planted(name: &str, fault: Fault) -> Bounds {
    let named = named_bounds::all()
        .into_iter()
        .find(|named| named.name == name)
        .expect("named bounds");
    Bounds {
        fault: Some(fault),
        ..named.bounds
    }
}

#[test_case("lost-3", Fault::EmptyVotes, NO_UNREBUILT_PARTICIPANT)]
#[test_case("lost-3", Fault::EmptyVotes, AGREEMENT)]
#[test_case("conflict-restart-3", Fault::PromiseNotOnDisk, AGREEMENT)]
#[test_case("replaced-3", Fault::OldIncarnationCounts, AGREEMENT)]
#[test_case("replaced-3", Fault::TableNotTold, AGREEMENT)]
#[test_case("one-machine-3", Fault::RunNotCounted, DURABILITY)]
#[test_case("lost-3", Fault::NoFloor, AGREEMENT)]
#[test_case("restarts-3", Fault::FoundBeforeChosen, DURABILITY)]
fn a_planted_fault_is_found(name: &str, fault: Fault, property: &'static str) {
    let steps = shortest_violation(&planted(name, fault), property);
    let steps =
        steps.unwrap_or_else(|| panic!("{fault:?} within {name}: no state breaks {property:?}"));
    println!(
        "{fault:?} within {name} breaks {property:?} in {} steps:",
        steps.len()
    );
    steps.iter().for_each(|step| println!("  {step:?}"));
}
