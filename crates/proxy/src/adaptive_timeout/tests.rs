use super::*;

const MS: Micros = 1_000;
const LEAST: Micros = 300 * MS;
const MOST: Micros = 900 * MS;

fn after(round_trips: &[Micros]) -> Micros {
    let mut timeout = AdaptiveTimeout::new(LEAST, MOST);
    round_trips.iter().for_each(|ms| timeout.record(ms * MS));
    timeout.timeout()
}

#[test]
fn timeout_follows_the_round_trips_within_its_bounds() {
    assert_eq!(after(&[]), LEAST);
    assert_eq!(after(&[20; 50]), LEAST);
    // One late answer is enough to wait for the next one of its kind.
    assert!(after(&[130, 130, 130, 480]) > 480 * MS);
    let steady = after(&[480; 50]);
    assert!((480 * MS..560 * MS).contains(&steady), "{steady}");
    assert_eq!(after(&[3_000; 5]), MOST);
    // And it comes down again.
    let calm = [[700; 10], [130; 10], [130; 10], [130; 10]].concat();
    assert_eq!(after(&calm), LEAST);
}
