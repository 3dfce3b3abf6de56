use super::*;

const START: Micros = 1_000_000;

fn limits() -> Limits {
    Limits {
        shutdown_notice_period: 500,
        ..Limits::default()
    }
}

/// Whether it accepts, closes after each response, and closes idle connections.
fn shown(life: &Lifecycle, now: Micros) -> (bool, bool, bool) {
    let limits = limits();
    (
        life.is_accepting(now, &limits),
        life.should_close_after_response(now, &limits),
        life.should_close_idle(now, &limits),
    )
}

#[test]
fn draining_closes_after_responses_but_still_accepts_and_ends_at_once() {
    let mut life = Lifecycle::new(true);
    assert!(life.is_serving() && !life.end_drain(START));
    assert!(
        life.begin_drain(START) && !life.begin_drain(START + 400),
        "the second call moves nothing"
    );
    assert!(!life.is_serving() && !life.is_shutting_down());
    assert_eq!(shown(&life, START + 499), (true, true, false));
    assert_eq!(shown(&life, START + 500), (true, true, true));
    assert!(life.end_drain(START + 501) && life.is_serving());
    assert_eq!(shown(&life, START + 501), (true, false, false));
}

#[test]
fn shutdown_accepts_during_the_notice_but_not_from_a_shared_socket() {
    for shared in [false, true] {
        let mut life = Lifecycle::new(shared);
        assert!(life.begin_shutdown(START) && !life.begin_shutdown(START + 400));
        assert_eq!(shown(&life, START + 1), (!shared, shared, false));
        assert_eq!(shown(&life, START + 500), (false, true, true));
        assert!(!life.is_serving() && !life.is_finished());
        life.finish_shutdown();
        assert!(life.is_finished());
    }
}

#[test]
fn later_drain_call_wins_in_both_processes_whatever_their_clocks() {
    let (mut old, mut new) = (Lifecycle::new(true), Lifecycle::new(true));
    old.begin_drain(START);
    assert!(new.merge_drain_state(old.drain_state()) && !new.is_serving());
    assert!(!new.merge_drain_state(old.drain_state()), "nothing new");
    // A clock that is behind does not make the later call lose.
    assert!(new.end_drain(START - 500));
    assert!(!new.merge_drain_state(old.drain_state()) && new.is_serving());
    assert!(old.merge_drain_state(new.drain_state()) && old.is_serving());
}

#[test]
fn shutdown_during_a_drain_is_not_ended_by_ending_the_drain() {
    let mut life = Lifecycle::new(false);
    life.finish_shutdown();
    assert!(
        !life.is_finished(),
        "only what was told to end can have ended"
    );
    life.begin_drain(START);
    life.begin_shutdown(START + 1_000);
    assert_eq!(
        shown(&life, START + 1_001),
        (true, true, true),
        "idle ones were being closed before"
    );
    assert!(life.end_drain(START + 1_002) && !life.is_serving());
    assert_eq!(shown(&life, START + 1_500), (false, true, true));
}
