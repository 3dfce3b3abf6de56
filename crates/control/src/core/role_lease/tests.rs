use super::*;
use test_case::test_case;

const STEP: i64 = limits::GRANT_DURATION + 1;

fn by(replica: ReplicaId) -> ProcessId {
    ProcessId {
        replica,
        incarnation: Incarnation::FIRST,
        run: 1,
    }
}

#[test]
fn a_term_in_vain_costs_the_holder_no_vote_and_one_that_may_be_won_does() {
    let voter = || RoleLease::new(SingletonRole::Counter, by(1), 6, Default::default(), 0);
    let mut ballots = voter();
    assert!(ballots.handle_request(STEP, by(0), 4, false).granted);
    // The holder is heard no more; this replica bids, does not win, and hears the holder again.
    assert!(ballots.handle_request(3 * STEP, by(1), 5, false).granted);
    assert!(
        !ballots.handle_request(3 * STEP + 1, by(0), 4, true).granted,
        "while the bid is open"
    );
    ballots.handle_release(3 * STEP + 2, by(1), 5, true);
    assert!(ballots.handle_request(3 * STEP + 3, by(0), 4, true).granted);
    // The number is used up all the same, and one bid after the other changes nothing.
    assert!(!ballots.handle_request(6 * STEP, by(2), 5, false).granted);
    assert!(ballots.handle_request(6 * STEP, by(2), 6, false).granted);
    ballots.handle_release(6 * STEP, by(2), 6, true);
    assert!(ballots.handle_request(6 * STEP + 1, by(0), 4, true).granted);

    // Of a term that is only over, or was given back after it was won, nobody knows that it was in vain.
    for released in [false, true] {
        let mut ballots = voter();
        assert!(
            ballots.handle_request(STEP, by(0), 4, false).granted
                && ballots.handle_request(3 * STEP, by(1), 5, false).granted
        );
        if released {
            ballots.handle_release(3 * STEP, by(1), 5, false);
        }
        assert!(!ballots.handle_request(6 * STEP, by(0), 4, true).granted);
    }
}

/// Who asks a voter that has just started, and whether it may grant before its own earlier grants are surely over. `seen`:
/// the newest term, of replica 3 in its second run, was seen to be held.
#[test_case(true, 3, 1, 2, true; "the same process")]
#[test_case(true, 3, 1, 3, true; "the same replica, started anew")]
#[test_case(true, 3, 1, 1, false; "a process that has ended")]
#[test_case(true, 3, 2, 1, false; "another machine in its place")]
#[test_case(true, 4, 1, 9, false; "another replica")]
#[test_case(false, 3, 1, 3, false; "a bid that may have been in vain while another one held the duty")]
fn a_voter_that_started_anew_grants_at_once_to_nobody_but_the_last_holder(
    seen: bool,
    replica: ReplicaId,
    incarnation: u32,
    run: u32,
    granted: bool,
) {
    let held = Term {
        number: 7,
        holder: ProcessId { run: 2, ..by(3) },
    };
    let kept = if seen {
        held
    } else {
        Term { number: 6, ..held }
    };
    let mut voter = RoleLease::new(SingletonRole::Counter, by(1), 6, (held, kept), 0);
    let bidder = ProcessId {
        replica,
        incarnation: Incarnation {
            number: incarnation,
            ..Incarnation::FIRST
        },
        run,
    };
    assert_eq!(
        voter
            .handle_request(limits::STARTUP_DELAY, bidder, 8, false)
            .granted,
        granted
    );
    assert_eq!(
        voter
            .handle_request(limits::STARTUP_DELAY + 1, bidder, 8, true)
            .granted,
        granted,
        "and then holds it"
    );
    // The others have their turn as its grant ends, or as those do that it may have forgotten.
    assert_eq!(
        voter
            .handle_request(limits::GRANT_DURATION, by(5), 9, false)
            .granted,
        !granted
    );
}
