//! The plan book: which changes are applied or rejected, with which error, and what is in effect at an instant.

use plans::Micros;
use plans::book::{ApplyError, ApplyOutcome, CatchUpError, PlanBook};
use plans::change::{Change, PlatformPlans, RateLimit};
use plans::token_bucket::{TokenBucket, window_usage_shift};
use quickcheck::{Gen, QuickCheck};

const SECOND: Micros = 1_000_000;
const NOW: Micros = 1_000 * SECOND;
const CUSTOMER: u64 = 0xa;

fn rate_limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        rate_per_s: rate,
        burst,
    }
}

fn book() -> PlanBook {
    let base: PlatformPlans = [("taller", (1.0, 5.0)), ("empresa", (4.0, 20.0))]
        .map(|(name, (rate, burst))| (name.to_string(), rate_limit(rate, burst)))
        .into();
    PlanBook::new(base, 2 * SECOND)
}

/// A change with an id that takes effect some seconds after `NOW`; `rest` is the remaining JSON.
fn change(id: &str, after_s: i64, rest: &str) -> Change {
    let at = NOW + after_s * SECOND;
    Change::read(&format!(
        "{{\"id\":\"{id}\",\"at\":{at},\"by\":\"op\",\"why\":\"term end\",{rest}}}"
    ))
    .unwrap()
}

const ASSIGN: &str = "\"what\":{\"move\":{\"account\":\"000000000000000a\",\"plan\":\"empresa\"}}";
const UNASSIGN: &str = "\"what\":{\"move\":{\"account\":\"000000000000000a\",\"plan\":null}}";
const RAISE_LIMIT: &str =
    "\"what\":{\"figures\":{\"plan\":\"taller\",\"figures\":{\"rate\":2,\"burst\":8}}}";

fn reserve(units: f64, until_s: i64) -> String {
    let until = NOW + until_s * SECOND;
    format!(
        "\"what\":{{\"reserve\":{{\"account\":\"000000000000000a\",\"units\":{units},\"until\":{until},\"class\":\"sign-off\",\
         \"prefix\":\"batch-\"}}}}"
    )
}

#[test]
fn changes_take_effect_at_their_instant_also_when_the_clock_steps_back() {
    let mut book = book();
    assert_eq!(
        book.apply(NOW, change("m", 10, ASSIGN)),
        Ok(ApplyOutcome::Applied(1))
    );
    assert_eq!(
        book.apply(NOW, change("f", 5, RAISE_LIMIT)),
        Ok(ApplyOutcome::Applied(2))
    );
    let plan = |at_s: i64| {
        let terms = book
            .effective_plan(CUSTOMER, "taller", NOW + at_s * SECOND)
            .unwrap();
        (
            terms.plan,
            terms.rate_limit.rate_per_s,
            terms.effective_since.map(|at| (at - NOW) / SECOND),
        )
    };
    assert_eq!(plan(4), ("taller".into(), 1.0, None));
    assert_eq!(plan(5), ("taller".into(), 2.0, Some(5)));
    assert_eq!(plan(10), ("empresa".into(), 4.0, Some(10)));
    assert_eq!(plan(9), ("taller".into(), 2.0, Some(5)));
    assert_eq!(
        book.next_change_at(NOW + 5 * SECOND),
        Some(NOW + 10 * SECOND)
    );
    // Other customers keep the plan that their requests name, and an unknown plan resolves to none.
    assert_eq!(
        book.effective_plan(0xb, "empresa", NOW + 20 * SECOND)
            .unwrap()
            .plan,
        "empresa"
    );
    assert!(book.effective_plan(0xb, "gold", NOW).is_none());
}

#[test]
fn the_latest_version_wins_among_changes_of_the_same_instant() {
    let mut book = book();
    for (id, rest) in [
        ("a", ASSIGN),
        ("b", UNASSIGN),
        ("c", ASSIGN),
        ("d", UNASSIGN),
    ] {
        book.apply(NOW, change(id, 1, rest)).unwrap();
    }
    let terms = book
        .effective_plan(CUSTOMER, "taller", NOW + SECOND)
        .unwrap();
    assert_eq!(
        (terms.plan.as_str(), terms.rate_limit, terms.version),
        ("taller", rate_limit(1.0, 5.0), 4)
    );
}

#[test]
fn a_repeated_change_is_applied_once_and_a_different_one_with_its_id_is_rejected() {
    let mut book = book();
    book.apply(NOW, change("m", 10, ASSIGN)).unwrap();
    // Accepted even long after its instant, because it was applied in time.
    assert_eq!(
        book.apply(NOW + 99 * SECOND, change("m", 10, ASSIGN)),
        Ok(ApplyOutcome::AlreadyApplied(1))
    );
    assert_eq!(
        book.apply(NOW, change("m", 11, ASSIGN)),
        Err(ApplyError::DuplicateId(1))
    );
    assert_eq!(book.version(), 1);
}

#[test]
fn invalid_changes_are_rejected_with_their_key_and_leave_the_book_unchanged() {
    let mut book = book();
    book.apply(NOW, change("r", 0, &reserve(10.0, 60))).unwrap();
    let before = book.clone();
    let rejected_error =
        |book: &mut PlanBook, change| book.apply(NOW, change).unwrap_err().to_string();
    for (change, key) in [
        (
            change("x", -3, ASSIGN),
            "key 'at': is 3.000 s in the past, 2.000 s at most",
        ),
        (
            change("x", 1, &ASSIGN.replace("empresa", "gold")),
            "key 'what.move.plan': there is no plan 'gold'; known plans: empresa, taller",
        ),
        (
            Change {
                expected_version: Some(7),
                ..change("x", 1, ASSIGN)
            },
            "key 'after': expects version 7, the plan book is at version 1",
        ),
        (
            change("x", 1, &reserve(1e6, 60)),
            "key 'what.reserve.units': 1000000 units on top of 10 already reserved",
        ),
        (
            change("x", 1, "\"what\":{\"cancel\":{\"reservation\":\"q\"}}"),
            "key 'what.cancel.reservation': there is no reservation",
        ),
        (
            change("x", 61, "\"what\":{\"cancel\":{\"reservation\":\"r\"}}"),
            "key 'what.cancel.reservation': has ended before",
        ),
    ] {
        let error = rejected_error(&mut book, change);
        assert!(error.starts_with(key), "{error}");
        assert_eq!(book, before);
    }
    for (rest, key) in [
        (
            RAISE_LIMIT.replace("2", "-2"),
            "key 'what.figures.figures.rate': is -2",
        ),
        (
            ASSIGN.replace("000000000000000a", "a"),
            "key 'what.move.account'",
        ),
        (reserve(0.0, 60), "key 'what.reserve.units'"),
        (
            reserve(1.0, -1),
            "key 'what.reserve.until': is not after 'at'",
        ),
        (
            ASSIGN.replace("move", "mov"),
            "'mov' is not known; did you mean 'move'?",
        ),
        (
            ASSIGN.replace("\"plan\"", "\"plann\""),
            "key 'what.move.plann': unknown key; did you mean 'plan'?",
        ),
    ] {
        let text = format!("{{\"id\":\"x\",\"at\":{NOW},\"by\":\"op\",\"why\":\"w\",{rest}}}");
        let error = Change::read(&text).unwrap_err().to_string();
        assert!(error.contains(key), "{error}");
    }
}

#[test]
fn reservations_are_used_in_order_of_their_end_and_cancelled_only_once() {
    let mut book = book();
    book.apply(NOW, change("long", 0, &reserve(10.0, 600)))
        .unwrap();
    book.apply(NOW, change("short", 0, &reserve(10.0, 60)))
        .unwrap();
    let reservation_id = |book: &PlanBook, key: &str, at_s: i64| {
        book.reservation_for(CUSTOMER, "sign-off", key, NOW + at_s * SECOND)
            .map(|r| r.id.to_string())
    };
    assert_eq!(
        reservation_id(&book, "batch-7", 1).as_deref(),
        Some("short")
    );
    assert_eq!(reservation_id(&book, "other-7", 1), None);
    assert_eq!(
        book.reservation_for(CUSTOMER, "lookup", "batch-7", NOW + SECOND),
        None
    );
    assert_eq!(
        reservation_id(&book, "batch-7", 60).as_deref(),
        Some("long"),
        "'short' has ended"
    );
    let cancel = "\"what\":{\"cancel\":{\"reservation\":\"short\"}}";
    book.apply(NOW, change("c", 30, cancel)).unwrap();
    assert_eq!(
        reservation_id(&book, "batch-7", 29).as_deref(),
        Some("short")
    );
    assert_eq!(
        reservation_id(&book, "batch-7", 30).as_deref(),
        Some("long")
    );
    let second_error = book
        .apply(NOW, change("c2", 31, cancel))
        .unwrap_err()
        .to_string();
    assert!(
        second_error.contains("has ended before the cancellation")
            || second_error.contains("already cancelled"),
        "{second_error}"
    );
}

#[test]
fn catch_up_rejects_gaps_and_diverged_books_and_is_atomic() {
    let (mut source, mut follower) = (book(), book());
    for (id, rest) in [("a", ASSIGN), ("b", RAISE_LIMIT), ("c", UNASSIGN)] {
        source.apply(NOW, change(id, 1, rest)).unwrap();
    }
    let entries = source.history().to_vec();
    assert_eq!(
        follower.catch_up(&entries[1..]),
        Err(CatchUpError::MissingVersions {
            version: 0,
            first_received: 2
        })
    );
    assert_eq!(follower.catch_up(&entries[..1]), Ok(1));
    assert_eq!(follower.catch_up(source.entries_after(0).unwrap()), Ok(3));
    assert_eq!(
        (follower.digest(), follower.history()),
        (source.digest(), source.history())
    );
    assert_eq!(source.entries_after(4), None);

    // The books have different changes as version 4: neither may silently adopt the other's.
    source.apply(NOW, change("d", 2, ASSIGN)).unwrap();
    follower.apply(NOW, change("e", 2, RAISE_LIMIT)).unwrap();
    let before = follower.clone();
    assert_eq!(
        follower.catch_up(source.history()),
        Err(CatchUpError::Diverged(4))
    );
    assert_eq!(follower, before);
    assert_ne!(source.digest(), follower.digest());
}

/// Under random usage and changes, the granted units stay within the initial burst plus the refilled units, and a
/// window's usage count, adjusted by [`window_usage_shift`], leaves the same units as the token bucket.
#[test]
fn rate_limit_changes_neither_grant_a_second_burst_nor_take_remaining_units() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let plans = [
            rate_limit(1.0, 5.0),
            rate_limit(4.0, 20.0),
            rate_limit(2.0, 3.0),
            rate_limit(0.0, 0.0),
        ];
        let mut bucket = TokenBucket::full(plans[0], 0);
        let (mut now, mut granted_units, mut refilled_units, mut used_units) = (0, 0.0, 0.0, 0.0);
        for (wait_10_ms, plan, units) in steps {
            let elapsed_us = Micros::from(wait_10_ms) * 10_000;
            let before = bucket;
            now += elapsed_us;
            refilled_units += before.rate_limit.rate_per_s * elapsed_us as f64 / 1e6;
            // In the window: burst plus refilled units, less the usage, but never more than the bucket's capacity.
            used_units += (before.remaining_units
                + before.rate_limit.rate_per_s * elapsed_us as f64 / 1e6
                - before.rate_limit.burst)
                .max(0.0);
            if plan % 3 == 0 {
                let to = plans[usize::from(plan / 3) % plans.len()];
                used_units += window_usage_shift(
                    before.rate_limit,
                    to,
                    before.advanced_to(now).remaining_units,
                );
                bucket = bucket.with_rate_limit(to, now);
                if bucket.remaining_units > before.advanced_to(now).remaining_units
                    || bucket.remaining_units
                        < before.advanced_to(now).remaining_units.min(to.burst)
                {
                    return false;
                }
            }
            let units = f64::from(units % 8);
            if bucket.try_take(now, units) {
                granted_units += units;
                used_units += units;
            }
            let window_units = bucket.rate_limit.burst + refilled_units - used_units;
            if (window_units - bucket.advanced_to(now).remaining_units).abs() > 1e-6
                || granted_units > plans[0].burst + refilled_units + 1e-6
            {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 3))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

// Guards against a book whose changes are other numbers at each instance that has read them from another one's print.
#[test]
fn changes_are_the_same_after_they_were_printed_and_read() {
    for divisor in 1..400 {
        let rate = 1.0 / f64::from(divisor);
        let kind = format!(
            r#""what":{{"figures":{{"plan":"taller","figures":{{"rate":{rate},"burst":8.5}}}}}}"#
        );
        let change = change("c", 1, &kind);
        let printed = serde_json::to_string(&change).unwrap();
        assert!(printed.contains(&format!("\"rate\":{rate}")), "{printed}");
        assert_eq!(Change::read(&printed).unwrap(), change);
    }
}
