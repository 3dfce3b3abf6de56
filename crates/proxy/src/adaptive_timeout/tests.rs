use super::*;

const MS: Micros = 1_000;
const MIN_TIMEOUT: Micros = 300 * MS;
const MAX_TIMEOUT: Micros = 900 * MS;

/// The time-out after round trips of these durations in milliseconds.
fn timeout_after(round_trips_ms: &[Micros]) -> Micros {
    let mut timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    round_trips_ms.iter().for_each(|ms| timeout.record(ms * MS));
    timeout.timeout()
}

#[test]
fn timeout_follows_the_round_trips_within_its_bounds() {
    assert_eq!(timeout_after(&[]), MIN_TIMEOUT);
    assert_eq!(timeout_after(&[20; 50]), MIN_TIMEOUT);
    // One late response suffices for the time-out to cover the next one that takes as long.
    assert!(timeout_after(&[130, 130, 130, 480]) > 480 * MS);
    let steady_timeout = timeout_after(&[480; 50]);
    assert!(
        (480 * MS..560 * MS).contains(&steady_timeout),
        "{steady_timeout}"
    );
    assert_eq!(timeout_after(&[3_000; 5]), MAX_TIMEOUT);
    // The time-out decreases again after fast responses.
    let late_then_fast = [[700; 10], [130; 10], [130; 10], [130; 10]].concat();
    assert_eq!(timeout_after(&late_then_fast), MIN_TIMEOUT);
}
