use super::*;

#[test]
fn totals_expire_and_calls_wait_for_their_partition() {
    let mut counter = Counter::new(1, 1_000.0, 500);
    let one = call("/v2/numbers/a?delta=2.5&life_ms=10").unwrap();
    assert_eq!(counter.add(0, one), (2.5, 1_500));
    assert_eq!(counter.add(0, one), (5.0, 2_500));
    assert_eq!(counter.add(9_999, one), (7.5, 11_499));
    assert_eq!(counter.add(10_000, one).0, 2.5);
    counter.clear(10_000);
    assert_eq!(counter.add(10_000, one).0, 2.5);
    assert!(call("/v2/numbers/a?delta=nan&life_ms=1").is_none());
    assert!(call("/v2/numbers/?delta=1&life_ms=1").is_none());
    assert!(call("/v2/numbers/a?delta=1&life_ms=0").is_none());
}
