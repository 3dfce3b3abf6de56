use super::*;

#[test]
fn additions_are_ordered_and_a_new_term_starts_empty() {
    let mut count = SharedCounter::default();
    let add = |name, units| CounterAdd {
        counter: name,
        units,
        ttl_us: 1_000,
    };
    assert_eq!(
        count.add(0, 1, 1.0, &[add(1, 2.0), add(1, -0.5), add(2, 0.0)]),
        [2.0, 1.5, 0.0]
    );
    assert_eq!(count.add(999, 1, 1.0, &[add(1, 1.0)]), [2.5]);
    // Forgotten after its lifetime, which counts from its first add.
    assert_eq!(count.add(1_000, 1, 1.0, &[add(1, 1.0)]), [1.0]);
    assert_eq!(
        count.add(1_001, 2, 1.0, &[add(1, 1.0), add(1, f64::NAN)]),
        [1.0, 1.0]
    );
}

#[test]
fn totals_leave_room_for_limiters_out_of_reach() {
    let mut count = SharedCounter::default();
    let add = |units| CounterAdd {
        counter: 1,
        units,
        ttl_us: 1_000,
    };
    // The first to add finds itself alone, as it carries over the window before.
    assert_eq!(count.add(0, 1, 0.5, &[add(3.0), add(1.0)]), [3.0, 8.0]);
    assert_eq!(count.add(1, 1, 1.0, &[add(1.0)]), [5.0]);
}

#[test]
fn clock_jump_grants_no_window_twice() {
    let add = [CounterAdd {
        counter: 1,
        units: 1.0,
        ttl_us: 1_000,
    }];
    let mut count = SharedCounter::default();
    count.suspend(10, limits::QUOTA_WINDOW);
    assert!(
        !count.is_suspended(10),
        "nothing was counted under the old names"
    );
    count.add(10, 1, 1.0, &add);
    count.suspend(20, 3_000_000);
    assert!(count.is_suspended(3_000_019) && !count.is_suspended(3_000_020));
    count.suspend(10 + limits::QUOTA_WINDOW, 3_000_000);
    assert!(
        !count.is_suspended(10 + limits::QUOTA_WINDOW),
        "what was counted has left the rules' window"
    );
}
