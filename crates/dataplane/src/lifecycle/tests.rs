use super::*;

const START: Micros = 1_000_000;

fn limits() -> Limits {
    Limits {
        shutdown_notice_period: 500,
        ..Limits::default()
    }
}

/// Whether the process accepts connections, closes them after each response, and closes idle ones.
fn behaviour(lifecycle: &Lifecycle, now: Micros) -> (bool, bool, bool) {
    let limits = limits();
    (
        lifecycle.is_accepting(now, &limits),
        lifecycle.should_close_after_response(now, &limits),
        lifecycle.should_close_idle(now, &limits),
    )
}

#[test]
fn draining_process_closes_after_responses_and_still_accepts() {
    let mut lifecycle = Lifecycle::new(true);
    assert!(lifecycle.is_serving() && !lifecycle.end_drain(START));
    assert!(
        lifecycle.begin_drain(START) && !lifecycle.begin_drain(START + 400),
        "the second call changes nothing"
    );
    assert!(!lifecycle.is_serving() && !lifecycle.is_shutting_down());
    assert_eq!(behaviour(&lifecycle, START + 499), (true, true, false));
    assert_eq!(behaviour(&lifecycle, START + 500), (true, true, true));
    assert!(lifecycle.end_drain(START + 501) && lifecycle.is_serving());
    assert_eq!(behaviour(&lifecycle, START + 501), (true, false, false));
}

#[test]
fn shutdown_accepts_during_the_notice_but_not_from_a_shared_socket() {
    for shared in [false, true] {
        let mut lifecycle = Lifecycle::new(shared);
        assert!(lifecycle.begin_shutdown(START) && !lifecycle.begin_shutdown(START + 400));
        assert_eq!(behaviour(&lifecycle, START + 1), (!shared, shared, false));
        assert_eq!(behaviour(&lifecycle, START + 500), (false, true, true));
        assert!(!lifecycle.is_serving() && !lifecycle.is_finished());
        lifecycle.finish_shutdown();
        assert!(lifecycle.is_finished());
    }
}

#[test]
fn later_drain_call_wins_in_both_processes_regardless_of_their_clocks() {
    let (mut old, mut new) = (Lifecycle::new(true), Lifecycle::new(true));
    old.begin_drain(START);
    assert!(new.merge_drain_state(old.drain_state()) && !new.is_serving());
    assert!(
        !new.merge_drain_state(old.drain_state()),
        "the state is the same"
    );
    // The later call wins although its process has a clock that is behind.
    assert!(new.end_drain(START - 500));
    assert!(!new.merge_drain_state(old.drain_state()) && new.is_serving());
    assert!(old.merge_drain_state(new.drain_state()) && old.is_serving());
}

#[test]
fn shutdown_during_a_drain_is_not_ended_by_ending_the_drain() {
    let mut lifecycle = Lifecycle::new(false);
    lifecycle.finish_shutdown();
    assert!(!lifecycle.is_finished(), "no shutdown had begun");
    lifecycle.begin_drain(START);
    lifecycle.begin_shutdown(START + 1_000);
    assert_eq!(
        behaviour(&lifecycle, START + 1_001),
        (true, true, true),
        "the drain was closing idle connections before"
    );
    assert!(lifecycle.end_drain(START + 1_002) && !lifecycle.is_serving());
    assert_eq!(behaviour(&lifecycle, START + 1_500), (false, true, true));
}
