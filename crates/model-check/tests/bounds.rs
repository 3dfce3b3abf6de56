//! Explores all states within the bounds that are small enough for every test run; the program explores the
//! larger ones. Guards against changes to the model that violate an invariant.

use model_check::exploration::explore;
use model_check::named_bounds;
use test_case::test_case;

#[test_case("restarts-3")]
#[test_case("drop-3")]
#[test_case("lost-3")]
#[test_case("replaced-3")]
#[test_case("replaced-writer-3")]
#[test_case("replaced-and-lost-3")]
#[test_case("conflict-5")]
fn all_states_satisfy_properties(name: &str) {
    let named = named_bounds::all()
        .into_iter()
        .find(|named| named.name == name)
        .expect("bounds of this name exist");
    let report = explore(&named.bounds, 2, None);
    println!("{name}: {report}");
    assert!(report.violations.is_empty(), "{name}: {report}");
}
