//! All states within the bounds that are small enough for each run of the tests; the program explores the
//! larger ones.

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
fn no_state_breaks_a_property(name: &str) {
    let named = named_bounds::all()
        .into_iter()
        .find(|named| named.name == name)
        .expect("named bounds");
    let report = explore(&named.bounds, 2, None);
    println!("{name}: {report}");
    assert!(report.violations.is_empty(), "{name}: {report}");
}
