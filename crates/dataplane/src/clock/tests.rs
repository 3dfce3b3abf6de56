use super::*;

#[test]
fn steady_clock_follows_others_and_never_goes_back() {
    let clock = Clock::steady();
    let clone = clock.clone();
    clock.advance_to(STEADY_CLOCK_START / 2);
    assert!((STEADY_CLOCK_START..STEADY_CLOCK_START + 60_000_000).contains(&clone.now()));
    clock.advance_to(2 * STEADY_CLOCK_START);
    clock.advance_to(STEADY_CLOCK_START);
    assert!((2 * STEADY_CLOCK_START..2 * STEADY_CLOCK_START + 60_000_000).contains(&clone.now()));
}
