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

fn acquisition(term: u64) -> LeaseRequest {
    LeaseRequest {
        term,
        sent_at: 0,
        is_renewal: false,
    }
}

fn renewal(term: u64) -> LeaseRequest {
    LeaseRequest {
        is_renewal: true,
        ..acquisition(term)
    }
}

#[test]
fn an_unused_term_costs_the_holder_no_vote() {
    let voter = || RoleLease::new(SingletonRole::Counter, by(1), 6, Default::default(), 0);
    let mut lease = voter();
    assert!(lease.handle_request(STEP, by(0), acquisition(4)).is_granted);
    // The voter receives no messages of the holder, requests the lease itself without acquiring it, and then receives a
    // renewal of the holder.
    assert!(
        lease
            .handle_request(3 * STEP, by(1), acquisition(5))
            .is_granted
    );
    assert!(
        !lease
            .handle_request(3 * STEP + 1, by(0), renewal(4))
            .is_granted,
        "while the request is open"
    );
    lease.handle_release(
        3 * STEP + 2,
        by(1),
        LeaseRelease {
            term: 5,
            is_unused: true,
        },
    );
    assert!(
        lease
            .handle_request(3 * STEP + 3, by(0), renewal(4))
            .is_granted
    );
    // The number of an unused term is not granted again, and further unused terms do not block the holder either.
    assert!(
        !lease
            .handle_request(6 * STEP, by(2), acquisition(5))
            .is_granted
    );
    assert!(
        lease
            .handle_request(6 * STEP, by(2), acquisition(6))
            .is_granted
    );
    lease.handle_release(
        6 * STEP,
        by(2),
        LeaseRelease {
            term: 6,
            is_unused: true,
        },
    );
    assert!(
        lease
            .handle_request(6 * STEP + 1, by(0), renewal(4))
            .is_granted
    );

    // A term that has merely expired, or was released after it was acquired, does not count as unused.
    for released in [false, true] {
        let mut lease = voter();
        assert!(
            lease.handle_request(STEP, by(0), acquisition(4)).is_granted
                && lease
                    .handle_request(3 * STEP, by(1), acquisition(5))
                    .is_granted
        );
        if released {
            lease.handle_release(
                3 * STEP,
                by(1),
                LeaseRelease {
                    term: 5,
                    is_unused: false,
                },
            );
        }
        assert!(!lease.handle_request(6 * STEP, by(0), renewal(4)).is_granted);
    }
}

/// A restarted voter grants the lease only to its possible earlier grantee until all its earlier grants have expired.
/// `was_held`: the newest term, of replica 3 in its second run, was observed as held.
#[test_case(true, 3, 1, 2, true; "the same process")]
#[test_case(true, 3, 1, 3, true; "the same replica, restarted")]
#[test_case(true, 3, 1, 1, false; "a process that has ended")]
#[test_case(true, 3, 2, 1, false; "another machine in its place")]
#[test_case(true, 4, 1, 9, false; "another replica")]
#[test_case(false, 3, 1, 3, false; "a request that may have been in vain while another held the lease")]
fn restarted_voter_grants_only_to_the_last_holder(
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
    let mut voter = RoleLease::new(
        SingletonRole::Counter,
        by(1),
        6,
        StoredTerms {
            granted_term: held,
            last_held_term: kept,
        },
        0,
    );
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
            .handle_request(limits::STARTUP_DELAY, bidder, acquisition(8))
            .is_granted,
        granted
    );
    assert_eq!(
        voter
            .handle_request(limits::STARTUP_DELAY + 1, bidder, renewal(8))
            .is_granted,
        granted,
        "and then holds it"
    );
    // Other replicas are granted the lease once this grant, or one given before the restart, has expired.
    assert_eq!(
        voter
            .handle_request(limits::GRANT_DURATION, by(5), acquisition(9))
            .is_granted,
        !granted
    );
}
