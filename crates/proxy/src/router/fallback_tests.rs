//! The share of a proxy on driven time: when it binds, and how much it lets through.

use test_case::test_case;

use super::*;

const MS: Micros = 1_000;
const START: Micros = 1_000 * SECOND;

/// The share of one of ten proxies: 10 a second, 2 at once.
fn share() -> Share {
    Share::of(100.0, 100.0, 20.0, 10)
}

/// Asks each millisecond; how many pass.
fn passed(fallback: &mut Fallback, from: Micros, to: Micros) -> usize {
    (from..to)
        .step_by(MS as usize)
        .filter(|now| fallback.take(*now, "t", share()).is_ok())
        .count()
}

fn settled() -> Fallback {
    let mut fallback = Fallback::default();
    fallback.moved();
    assert!(fallback.binds(START - 3 * LEAN), "no total has come in");
    fallback.counted(true);
    assert!(
        !fallback.binds(START - 3 * LEAN),
        "the first holder has not moved"
    );
    fallback.moved();
    fallback.counted(true);
    assert!(fallback.binds(START - 2 * LEAN));
    assert!(!fallback.binds(START) && !fallback.lean(START));
    fallback
}

#[test]
fn with_a_settled_count_a_share_binds_nobody() {
    assert_eq!(passed(&mut settled(), START, START + SECOND), 1_000);
}

#[test]
fn while_calls_fail_a_proxy_has_its_part_of_the_rate_and_of_the_burst() {
    let mut fallback = settled();
    fallback.counted(false);
    assert_eq!(
        passed(&mut fallback, START, START + 5 * SECOND),
        51,
        "2 at once, and 10 a second"
    );
    fallback.counted(true);
    assert_eq!(
        passed(&mut fallback, START + 5 * SECOND, START + 6 * SECOND),
        1_000
    );
}

#[test_case(1; "once")]
#[test_case(9; "again and again")]
fn however_often_the_count_moves_the_share_is_granted_once(moves: i64) {
    let (mut fallback, mut sum) = (settled(), 0);
    for at in 0..moves {
        fallback.moved();
        let from = START + at * 500 * MS;
        sum += passed(&mut fallback, from, from + 250 * MS);
        fallback.counted(true);
        sum += passed(&mut fallback, from + 250 * MS, from + 500 * MS);
    }
    let seconds = moves as f64 * 0.5;
    assert!(sum as f64 <= 2.0 + 10.0 * seconds, "{sum}");
}

#[test]
fn what_was_let_through_by_totals_is_charged_to_the_share() {
    let mut fallback = settled();
    passed(&mut fallback, START, START + 100 * MS);
    fallback.moved();
    assert_eq!(passed(&mut fallback, START + 100 * MS, START + 190 * MS), 0);
}

#[test]
fn after_a_move_it_binds_until_totals_are_whole_and_bursts_are_small_for_longer() {
    let mut fallback = settled();
    fallback.moved();
    assert!(fallback.binds(START + 60 * SECOND), "no total has come in");
    fallback.counted(true);
    let found = START + 60 * SECOND;
    assert!(
        fallback.binds(found)
            && fallback.binds(found + SETTLE - 1)
            && !fallback.binds(found + SETTLE)
    );
    assert!(fallback.lean(found + LEAN - 1) && !fallback.lean(found + LEAN));
    // A clock that goes on at once takes no time.
    fallback.jumped(found + 4 * SECOND, 4 * SECOND);
    assert!(
        fallback.binds(found + 4 * SECOND + SETTLE - 1)
            && fallback.lean(found + 4 * SECOND + LEAN - 1)
    );
}

#[test]
fn a_clock_that_goes_on_at_once_begins_nothing_again() {
    let mut fallback = settled();
    fallback.jumped(START + 8 * SECOND, 8 * SECOND);
    assert!(!fallback.binds(START + 8 * SECOND) && !fallback.lean(START + 8 * SECOND));
}

#[test]
fn shares_below_one_request_come_together_and_are_no_more_in_all() {
    let small = Share::of(5.0, 5.0, 20.0, 20);
    let asked = |proxy: i64| {
        let mut fallback = settled();
        fallback.moved();
        let times = (0..4 * SECOND)
            .step_by(50_000)
            .map(move |at| START + proxy + at);
        times
            .filter(|now| fallback.take(*now, "t", small).is_ok())
            .count()
    };
    let sum: usize = (0..20).map(asked).sum();
    // Five on top at the most, and five a second.
    assert!((1..=25).contains(&sum), "{sum}");
}

#[test]
fn what_is_given_back_may_be_had_again() {
    let mut fallback = settled();
    fallback.counted(false);
    assert!(
        fallback.take(START, "t", share()).is_ok() && fallback.take(START, "t", share()).is_ok()
    );
    assert_eq!(fallback.take(START, "t", share()), Err(100 * MS));
    fallback.give_back("t");
    assert!(fallback.take(START, "t", share()).is_ok());
}
