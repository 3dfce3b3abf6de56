//! The checker detects every injected fault and prints the shortest sequence of steps to a violation. Guards
//! against properties or steps that are too weak to detect a fault in the protocol.

use model_check::bounds::Bounds;
use model_check::exploration::shortest_violation;
use model_check::named_bounds;
use model_check::properties::{AGREEMENT, DURABILITY, NO_UNREBUILT_PARTICIPANT};
use model_check::steps::Fault;
use test_case::test_case;

fn bounds_with_fault(name: &str, fault: Fault) -> Bounds {
    let named = named_bounds::all()
        .into_iter()
        .find(|named| named.name == name)
        .expect("bounds of this name exist");
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
fn injected_fault_is_detected(name: &str, fault: Fault, property: &'static str) {
    let steps = shortest_violation(&bounds_with_fault(name, fault), property);
    let steps =
        steps.unwrap_or_else(|| panic!("{fault:?} within {name}: no state violates {property:?}"));
    println!(
        "{fault:?} within {name} violates {property:?} in {} steps:",
        steps.len()
    );
    steps.iter().for_each(|step| println!("  {step:?}"));
}
