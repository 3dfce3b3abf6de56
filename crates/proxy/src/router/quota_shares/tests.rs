//! A proxy's local share on driven time: when it binds, and how much it admits.

use test_case::test_case;

use super::*;

const MS: Micros = 1_000;
const START: Micros = 1_000 * SECOND;

/// The share of one of ten proxies: 10 a second, 2 of burst.
fn share() -> QuotaShare {
    QuotaShare::new(100.0, 100.0, 20.0, 10)
}

/// Asks each millisecond; returns how many pass.
fn passed(fallback: &mut QuotaShares, from: Micros, to: Micros) -> usize {
    (from..to)
        .step_by(MS as usize)
        .filter(|now| fallback.try_charge(*now, "t", share()).is_ok())
        .count()
}

fn settled() -> QuotaShares {
    let mut fallback = QuotaShares::default();
    fallback.handle_owner_changed();
    assert!(
        fallback.is_binding(START - 3 * REDUCED_BURST_PERIOD),
        "no total has come in"
    );
    fallback.handle_call_result(true);
    assert!(
        !fallback.is_binding(START - 3 * REDUCED_BURST_PERIOD),
        "the first holder has not moved"
    );
    fallback.handle_owner_changed();
    fallback.handle_call_result(true);
    assert!(fallback.is_binding(START - 2 * REDUCED_BURST_PERIOD));
    assert!(!fallback.is_binding(START) && !fallback.has_reduced_burst(START));
    fallback
}

#[test]
fn share_does_not_bind_with_a_settled_counter() {
    assert_eq!(passed(&mut settled(), START, START + SECOND), 1_000);
}

#[test]
fn failing_calls_leave_a_proxy_its_part_of_rate_and_burst() {
    let mut fallback = settled();
    fallback.handle_call_result(false);
    assert_eq!(
        passed(&mut fallback, START, START + 5 * SECOND),
        51,
        "2 at once, and 10 a second"
    );
    fallback.handle_call_result(true);
    assert_eq!(
        passed(&mut fallback, START + 5 * SECOND, START + 6 * SECOND),
        1_000
    );
}

#[test_case(1; "once")]
#[test_case(9; "again and again")]
fn share_is_granted_once_however_often_the_counter_moves(moves: i64) {
    let (mut fallback, mut sum) = (settled(), 0);
    for at in 0..moves {
        fallback.handle_owner_changed();
        let from = START + at * 500 * MS;
        sum += passed(&mut fallback, from, from + 250 * MS);
        fallback.handle_call_result(true);
        sum += passed(&mut fallback, from + 250 * MS, from + 500 * MS);
    }
    let seconds = moves as f64 * 0.5;
    assert!(sum as f64 <= 2.0 + 10.0 * seconds, "{sum}");
}

#[test]
fn requests_admitted_by_totals_are_charged_to_the_share() {
    let mut fallback = settled();
    passed(&mut fallback, START, START + 100 * MS);
    fallback.handle_owner_changed();
    assert_eq!(passed(&mut fallback, START + 100 * MS, START + 190 * MS), 0);
}

#[test]
fn after_a_move_shares_bind_until_totals_are_complete_and_bursts_stay_reduced() {
    let mut fallback = settled();
    fallback.handle_owner_changed();
    assert!(
        fallback.is_binding(START + 60 * SECOND),
        "no total has come in"
    );
    fallback.handle_call_result(true);
    let found = START + 60 * SECOND;
    assert!(
        fallback.is_binding(found)
            && fallback.is_binding(found + SETTLING_PERIOD - 1)
            && !fallback.is_binding(found + SETTLING_PERIOD)
    );
    assert!(
        fallback.has_reduced_burst(found + REDUCED_BURST_PERIOD - 1)
            && !fallback.has_reduced_burst(found + REDUCED_BURST_PERIOD)
    );
    // A jump of the clock takes no time.
    fallback.handle_clock_jump(found + 4 * SECOND, 4 * SECOND);
    assert!(
        fallback.is_binding(found + 4 * SECOND + SETTLING_PERIOD - 1)
            && fallback.has_reduced_burst(found + 4 * SECOND + REDUCED_BURST_PERIOD - 1)
    );
}

#[test]
fn clock_jump_restarts_no_period() {
    let mut fallback = settled();
    fallback.handle_clock_jump(START + 8 * SECOND, 8 * SECOND);
    assert!(
        !fallback.is_binding(START + 8 * SECOND) && !fallback.has_reduced_burst(START + 8 * SECOND)
    );
}

#[test]
fn shares_below_one_request_accumulate_without_exceeding_the_total() {
    let small = QuotaShare::new(5.0, 5.0, 20.0, 20);
    let request_info = |proxy: i64| {
        let mut fallback = settled();
        fallback.handle_owner_changed();
        let times = (0..4 * SECOND)
            .step_by(50_000)
            .map(move |at| START + proxy + at);
        times
            .filter(|now| fallback.try_charge(*now, "t", small).is_ok())
            .count()
    };
    let sum: usize = (0..20).map(request_info).sum();
    // Five of burst at most, and five a second.
    assert!((1..=25).contains(&sum), "{sum}");
}

#[test]
fn refunded_request_can_be_charged_again() {
    let mut fallback = settled();
    fallback.handle_call_result(false);
    assert!(
        fallback.try_charge(START, "t", share()).is_ok()
            && fallback.try_charge(START, "t", share()).is_ok()
    );
    assert_eq!(fallback.try_charge(START, "t", share()), Err(100 * MS));
    fallback.refund("t");
    assert!(fallback.try_charge(START, "t", share()).is_ok());
}
