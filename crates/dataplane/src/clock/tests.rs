use super::*;

#[test]
fn a_steady_clock_follows_who_is_ahead_and_never_goes_back() {
    let clock = Clock::steady();
    let same = clock.clone();
    clock.raise(FIRST / 2);
    assert!((FIRST..FIRST + 60_000_000).contains(&same.now()));
    clock.raise(2 * FIRST);
    clock.raise(FIRST);
    assert!((2 * FIRST..2 * FIRST + 60_000_000).contains(&same.now()));
}
