use super::*;
use test_case::test_case;

#[test]
fn tier_precedes_rank_and_ids_spread_evenly() {
    assert!(shed_rank(band(0, 3), "x") < shed_rank(band(1, 0), "y"));
    assert!(shed_rank(band(2, 1), "x") < shed_rank(band(2, 2), "x"));
    assert!(shed_rank(band(9, 9), "x") < 1.0);
    let count = (0..1_000)
        .filter(|n| shed_rank(0, &format!("id-{n}")) * (BANDS as f64) < 0.3)
        .count();
    assert!((260..340).contains(&count), "{count}");
}

#[test_case(300.0, 1.0; "all requests fit")]
#[test_case(150.0, (8.0 + 0.25) / 16.0; "threshold within a band")]
#[test_case(100.0, 8.0 / 16.0; "threshold between two bands")]
#[test_case(-1.0, 0.0; "nothing fits")]
fn threshold_admits_the_requested_rate(admitted_rate: f64, expected: f64) {
    let mut offered = [0.0; BANDS];
    (offered[0], offered[8]) = (100.0, 200.0);
    assert!((threshold(&offered, admitted_rate) - expected).abs() < 1e-9);
}
