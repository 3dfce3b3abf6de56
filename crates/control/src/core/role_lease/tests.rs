use super::*;
use test_case::test_case;

/// Longer than any grant lasts.
const AFTER_GRANT: i64 = limits::GRANT_DURATION + 1;

fn process(replica: ReplicaId) -> ProcessId {
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
fn unused_term_does_not_block_renewals_of_the_holder() {
    let voter = || RoleLease::new(SingletonRole::Counter, process(1), 6, Default::default(), 0);
    let mut lease = voter();
    assert!(
        lease
            .handle_request(AFTER_GRANT, process(0), acquisition(4))
            .is_granted
    );
    // The voter receives no messages of the holder, requests the lease itself without acquiring it, and then receives a
    // renewal of the holder.
    assert!(
        lease
            .handle_request(3 * AFTER_GRANT, process(1), acquisition(5))
            .is_granted
    );
    assert!(
        !lease
            .handle_request(3 * AFTER_GRANT + 1, process(0), renewal(4))
            .is_granted,
        "a renewal is rejected while the voter's own request is open"
    );
    lease.handle_release(
        3 * AFTER_GRANT + 2,
        process(1),
        LeaseRelease {
            term: 5,
            is_unused: true,
        },
    );
    assert!(
        lease
            .handle_request(3 * AFTER_GRANT + 3, process(0), renewal(4))
            .is_granted
    );
    // The number of an unused term is not granted again, and further unused terms do not block the holder either.
    assert!(
        !lease
            .handle_request(6 * AFTER_GRANT, process(2), acquisition(5))
            .is_granted
    );
    assert!(
        lease
            .handle_request(6 * AFTER_GRANT, process(2), acquisition(6))
            .is_granted
    );
    lease.handle_release(
        6 * AFTER_GRANT,
        process(2),
        LeaseRelease {
            term: 6,
            is_unused: true,
        },
    );
    assert!(
        lease
            .handle_request(6 * AFTER_GRANT + 1, process(0), renewal(4))
            .is_granted
    );

    // A term that has merely expired, or was released after it was acquired, does not count as unused.
    for released in [false, true] {
        let mut lease = voter();
        assert!(
            lease
                .handle_request(AFTER_GRANT, process(0), acquisition(4))
                .is_granted
                && lease
                    .handle_request(3 * AFTER_GRANT, process(1), acquisition(5))
                    .is_granted
        );
        if released {
            lease.handle_release(
                3 * AFTER_GRANT,
                process(1),
                LeaseRelease {
                    term: 5,
                    is_unused: false,
                },
            );
        }
        assert!(
            !lease
                .handle_request(6 * AFTER_GRANT, process(0), renewal(4))
                .is_granted
        );
    }
}

/// A restarted voter grants the lease only to its possible earlier grantee until all its earlier grants have expired.
/// `was_held`: the newest term, of replica 3 in its second run, was observed as held.
#[test_case(true, 3, 1, 2, true; "the same process")]
#[test_case(true, 3, 1, 3, true; "the same replica, restarted")]
#[test_case(true, 3, 1, 1, false; "a process that has ended")]
#[test_case(true, 3, 2, 1, false; "a later incarnation of the replica")]
#[test_case(true, 4, 1, 9, false; "another replica")]
#[test_case(false, 3, 1, 3, false; "a candidate that may not have acquired the lease")]
fn restarted_voter_grants_only_to_the_last_holder(
    was_held: bool,
    replica: ReplicaId,
    incarnation: u32,
    run: u32,
    is_granted: bool,
) {
    let newest_term = Term {
        number: 7,
        holder: ProcessId {
            run: 2,
            ..process(3)
        },
    };
    let last_held_term = if was_held {
        newest_term
    } else {
        Term {
            number: 6,
            ..newest_term
        }
    };
    let mut voter = RoleLease::new(
        SingletonRole::Counter,
        process(1),
        6,
        StoredTerms {
            granted_term: newest_term,
            last_held_term,
        },
        0,
    );
    let requester = ProcessId {
        replica,
        incarnation: Incarnation {
            number: incarnation,
            ..Incarnation::FIRST
        },
        run,
    };
    assert_eq!(
        voter
            .handle_request(limits::STARTUP_DELAY, requester, acquisition(8))
            .is_granted,
        is_granted
    );
    assert_eq!(
        voter
            .handle_request(limits::STARTUP_DELAY + 1, requester, renewal(8))
            .is_granted,
        is_granted,
        "a renewal in the new term"
    );
    // Other replicas are granted the lease once this grant, or one given before the restart, has expired.
    assert_eq!(
        voter
            .handle_request(limits::GRANT_DURATION, process(5), acquisition(9))
            .is_granted,
        !is_granted
    );
}
