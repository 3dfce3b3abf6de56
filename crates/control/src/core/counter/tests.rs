use super::*;

#[test]
fn additions_are_ordered_and_a_new_term_starts_empty() {
    let mut counter = SharedCounter::default();
    let add = |id, units| CounterAdd {
        counter: id,
        units,
        ttl_us: 1_000,
    };
    assert_eq!(
        counter.add(0, 1, 1.0, &[add(1, 2.0), add(1, -0.5), add(2, 0.0)]),
        [2.0, 1.5, 0.0]
    );
    assert_eq!(counter.add(999, 1, 1.0, &[add(1, 1.0)]), [2.5]);
    // A total expires after its lifetime, which counts from its first addition.
    assert_eq!(counter.add(1_000, 1, 1.0, &[add(1, 1.0)]), [1.0]);
    assert_eq!(
        counter.add(1_001, 2, 1.0, &[add(1, 1.0), add(1, f64::NAN)]),
        [1.0, 1.0]
    );
}

#[test]
fn totals_are_extrapolated_to_limiters_that_do_not_reach_the_counter() {
    let mut counter = SharedCounter::default();
    let add = |units| CounterAdd {
        counter: 1,
        units,
        ttl_us: 1_000,
    };
    // The first addition is returned unchanged, since its limiter carries over the previous window.
    assert_eq!(counter.add(0, 1, 0.5, &[add(3.0), add(1.0)]), [3.0, 8.0]);
    assert_eq!(counter.add(1, 1, 1.0, &[add(1.0)]), [5.0]);
}

#[test]
fn clock_jump_grants_no_second_window() {
    let add = [CounterAdd {
        counter: 1,
        units: 1.0,
        ttl_us: 1_000,
    }];
    let mut counter = SharedCounter::default();
    counter.suspend(10, limits::QUOTA_WINDOW);
    assert!(
        !counter.is_suspended(10),
        "there were no additions before the jump"
    );
    counter.add(10, 1, 1.0, &add);
    counter.suspend(20, 3_000_000);
    assert!(counter.is_suspended(3_000_019) && !counter.is_suspended(3_000_020));
    counter.suspend(10 + limits::QUOTA_WINDOW, 3_000_000);
    assert!(
        !counter.is_suspended(10 + limits::QUOTA_WINDOW),
        "the last addition is older than the quota window"
    );
}
