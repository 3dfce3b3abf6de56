//! A proxy's local shares in virtual time: when they bind, and how much they admit.

use test_case::test_case;

use super::*;

const MS: Micros = 1_000;
const START: Micros = 1_000 * SECOND;

/// The share of one of ten proxies: 10 requests per second, and a burst of 2.
fn share() -> QuotaShare {
    QuotaShare::new(100.0, 100.0, 20.0, 10)
}

/// Submits a request each millisecond; returns how many are admitted.
fn admitted_count(shares: &mut QuotaShares, from: Micros, to: Micros) -> usize {
    (from..to)
        .step_by(MS as usize)
        .filter(|now| shares.try_charge(*now, "t", share()).is_ok())
        .count()
}

/// Shares that do not bind: the counter has changed its owner, and all periods after that are over.
fn settled_shares() -> QuotaShares {
    let mut shares = QuotaShares::default();
    shares.handle_owner_changed();
    assert!(
        shares.is_binding(START - 3 * REDUCED_BURST_PERIOD),
        "no total has arrived"
    );
    shares.handle_call_result(true);
    assert!(
        !shares.is_binding(START - 3 * REDUCED_BURST_PERIOD),
        "the first owner is not a change"
    );
    shares.handle_owner_changed();
    shares.handle_call_result(true);
    assert!(shares.is_binding(START - 2 * REDUCED_BURST_PERIOD));
    assert!(!shares.is_binding(START) && !shares.has_reduced_burst(START));
    shares
}

#[test]
fn share_does_not_bind_with_a_settled_counter() {
    assert_eq!(
        admitted_count(&mut settled_shares(), START, START + SECOND),
        1_000
    );
}

#[test]
fn failing_calls_limit_a_proxy_to_its_share_of_rate_and_burst() {
    let mut shares = settled_shares();
    shares.handle_call_result(false);
    assert_eq!(
        admitted_count(&mut shares, START, START + 5 * SECOND),
        51,
        "2 at once, and 10 per second"
    );
    shares.handle_call_result(true);
    assert_eq!(
        admitted_count(&mut shares, START + 5 * SECOND, START + 6 * SECOND),
        1_000
    );
}

#[test_case(1; "once")]
#[test_case(9; "repeatedly")]
fn share_is_granted_once_however_often_the_owner_changes(owner_changes: i64) {
    let (mut shares, mut sum) = (settled_shares(), 0);
    for change in 0..owner_changes {
        shares.handle_owner_changed();
        let from = START + change * 500 * MS;
        sum += admitted_count(&mut shares, from, from + 250 * MS);
        shares.handle_call_result(true);
        sum += admitted_count(&mut shares, from + 250 * MS, from + 500 * MS);
    }
    let seconds = owner_changes as f64 * 0.5;
    assert!(sum as f64 <= 2.0 + 10.0 * seconds, "{sum}");
}

#[test]
fn requests_admitted_by_totals_are_charged_to_the_share() {
    let mut shares = settled_shares();
    admitted_count(&mut shares, START, START + 100 * MS);
    shares.handle_owner_changed();
    assert_eq!(
        admitted_count(&mut shares, START + 100 * MS, START + 190 * MS),
        0
    );
}

#[test]
fn after_an_owner_change_shares_bind_until_totals_are_complete_and_bursts_stay_reduced() {
    let mut shares = settled_shares();
    shares.handle_owner_changed();
    assert!(
        shares.is_binding(START + 60 * SECOND),
        "no total has arrived"
    );
    shares.handle_call_result(true);
    let first_total_at = START + 60 * SECOND;
    assert!(
        shares.is_binding(first_total_at)
            && shares.is_binding(first_total_at + SETTLING_PERIOD - 1)
            && !shares.is_binding(first_total_at + SETTLING_PERIOD)
    );
    assert!(
        shares.has_reduced_burst(first_total_at + REDUCED_BURST_PERIOD - 1)
            && !shares.has_reduced_burst(first_total_at + REDUCED_BURST_PERIOD)
    );
    // No time passes during a jump of the clock.
    shares.handle_clock_jump(first_total_at + 4 * SECOND, 4 * SECOND);
    assert!(
        shares.is_binding(first_total_at + 4 * SECOND + SETTLING_PERIOD - 1)
            && shares.has_reduced_burst(first_total_at + 4 * SECOND + REDUCED_BURST_PERIOD - 1)
    );
}

#[test]
fn clock_jump_restarts_no_period() {
    let mut shares = settled_shares();
    shares.handle_clock_jump(START + 8 * SECOND, 8 * SECOND);
    assert!(
        !shares.is_binding(START + 8 * SECOND) && !shares.has_reduced_burst(START + 8 * SECOND)
    );
}

#[test]
fn shares_below_one_request_accumulate_without_exceeding_the_total() {
    let small_share = QuotaShare::new(5.0, 5.0, 20.0, 20);
    let admitted_by = |start_offset: i64| {
        let mut shares = settled_shares();
        shares.handle_owner_changed();
        let times = (0..4 * SECOND)
            .step_by(50_000)
            .map(move |offset| START + start_offset + offset);
        times
            .filter(|now| shares.try_charge(*now, "t", small_share).is_ok())
            .count()
    };
    let sum: usize = (0..20).map(admitted_by).sum();
    // A burst of five, and five per second.
    assert!((1..=25).contains(&sum), "{sum}");
}

#[test]
fn refunded_request_can_be_charged_again() {
    let mut shares = settled_shares();
    shares.handle_call_result(false);
    assert!(
        shares.try_charge(START, "t", share()).is_ok()
            && shares.try_charge(START, "t", share()).is_ok()
    );
    assert_eq!(shares.try_charge(START, "t", share()), Err(100 * MS));
    shares.refund("t");
    assert!(shares.try_charge(START, "t", share()).is_ok());
}
