use super::*;

fn after(round_trips: &[Micros]) -> Micros {
    let mut timeout = CounterTimeout::default();
    round_trips.iter().for_each(|ms| timeout.record(ms * MS));
    timeout.timeout()
}

#[test]
fn timeout_follows_the_round_trips_within_its_bounds() {
    assert_eq!(after(&[]), MIN_COUNTER_TIMEOUT);
    assert_eq!(after(&[20; 50]), MIN_COUNTER_TIMEOUT);
    // One late answer is enough to wait for the next one of its kind.
    assert!(after(&[130, 130, 130, 480]) > 480 * MS);
    let steady = after(&[480; 50]);
    assert!((480 * MS..560 * MS).contains(&steady), "{steady}");
    assert_eq!(after(&[3_000; 5]), MAX_COUNTER_TIMEOUT);
    // And it comes down again.
    let calm = [[700; 10], [130; 10], [130; 10], [130; 10]].concat();
    assert_eq!(after(&calm), MIN_COUNTER_TIMEOUT);
}
