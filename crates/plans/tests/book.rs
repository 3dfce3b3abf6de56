//! The plan book: what is taken, what is refused and by which key, and what holds when.

use plans::Micros;
use plans::book::{ApplyError, ApplyOutcome, CatchUpError, PlanBook};
use plans::change::{Change, PlatformPlans, RateLimit};
use plans::token_bucket::{TokenBucket, window_usage_shift};
use quickcheck::{Gen, QuickCheck};

const SECOND: Micros = 1_000_000;
const NOW: Micros = 1_000 * SECOND;
const ANA: u64 = 0xa;

fn figures(rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        rate_per_s: rate,
        burst,
    }
}

fn book() -> PlanBook {
    let base: PlatformPlans = [("taller", (1.0, 5.0)), ("empresa", (4.0, 20.0))]
        .map(|(name, (rate, burst))| (name.to_string(), figures(rate, burst)))
        .into();
    PlanBook::new(base, 2 * SECOND)
}

/// A change by its id, seconds after now, and the rest of its JSON.
fn change(id: &str, after_s: i64, rest: &str) -> Change {
    let at = NOW + after_s * SECOND;
    Change::read(&format!(
        "{{\"id\":\"{id}\",\"at\":{at},\"by\":\"op\",\"why\":\"term end\",{rest}}}"
    ))
    .unwrap()
}

const MOVE: &str = "\"what\":{\"move\":{\"account\":\"000000000000000a\",\"plan\":\"empresa\"}}";
const BACK: &str = "\"what\":{\"move\":{\"account\":\"000000000000000a\",\"plan\":null}}";
const RAISE: &str =
    "\"what\":{\"figures\":{\"plan\":\"taller\",\"figures\":{\"rate\":2,\"burst\":8}}}";

fn reserve(units: f64, until_s: i64) -> String {
    let until = NOW + until_s * SECOND;
    format!(
        "\"what\":{{\"reserve\":{{\"account\":\"000000000000000a\",\"units\":{units},\"until\":{until},\"class\":\"sign-off\",\
         \"prefix\":\"batch-\"}}}}"
    )
}

#[test]
fn a_change_takes_effect_at_its_instant_and_a_clock_that_steps_back_goes_back_with_it() {
    let mut book = book();
    assert_eq!(
        book.apply(NOW, change("m", 10, MOVE)),
        Ok(ApplyOutcome::Applied(1))
    );
    assert_eq!(
        book.apply(NOW, change("f", 5, RAISE)),
        Ok(ApplyOutcome::Applied(2))
    );
    let plan = |at_s: i64| {
        let terms = book
            .effective_plan(ANA, "taller", NOW + at_s * SECOND)
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
    // Others go by what their requests name, and a plan that nobody knows has no terms.
    assert_eq!(
        book.effective_plan(0xb, "empresa", NOW + 20 * SECOND)
            .unwrap()
            .plan,
        "empresa"
    );
    assert!(book.effective_plan(0xb, "gold", NOW).is_none());
}

#[test]
fn of_one_instant_the_later_version_holds_and_back_and_forth_ends_where_it_began() {
    let mut book = book();
    for (id, rest) in [("a", MOVE), ("b", BACK), ("c", MOVE), ("d", BACK)] {
        book.apply(NOW, change(id, 1, rest)).unwrap();
    }
    let terms = book.effective_plan(ANA, "taller", NOW + SECOND).unwrap();
    assert_eq!(
        (terms.plan.as_str(), terms.rate_limit, terms.version),
        ("taller", figures(1.0, 5.0), 4)
    );
}

#[test]
fn a_repeat_is_taken_once_and_another_change_of_that_id_not_at_all() {
    let mut book = book();
    book.apply(NOW, change("m", 10, MOVE)).unwrap();
    // Even long after its instant: it was taken when it was in time.
    assert_eq!(
        book.apply(NOW + 99 * SECOND, change("m", 10, MOVE)),
        Ok(ApplyOutcome::AlreadyApplied(1))
    );
    assert_eq!(
        book.apply(NOW, change("m", 11, MOVE)),
        Err(ApplyError::DuplicateId(1))
    );
    assert_eq!(book.version(), 1);
}

#[test]
fn what_makes_no_sense_is_refused_whole_by_its_key() {
    let mut book = book();
    book.apply(NOW, change("r", 0, &reserve(10.0, 60))).unwrap();
    let before = book.clone();
    let refused = |book: &mut PlanBook, change| book.apply(NOW, change).unwrap_err().to_string();
    for (change, key) in [
        (
            change("x", -3, MOVE),
            "key 'at': is 3.000 s in the past, 2.000 s at most",
        ),
        (
            change("x", 1, &MOVE.replace("empresa", "gold")),
            "key 'what.move.plan': there is no plan 'gold'; known are empresa, taller",
        ),
        (
            Change {
                expected_version: Some(7),
                ..change("x", 1, MOVE)
            },
            "key 'after': written against version 7, the book is at 1",
        ),
        (
            change("x", 1, &reserve(1e6, 60)),
            "key 'what.reserve.units': are 1000000 beside 10 reserved already",
        ),
        (
            change("x", 1, "\"what\":{\"cancel\":{\"reservation\":\"q\"}}"),
            "key 'what.cancel.reservation': there is none",
        ),
        (
            change("x", 61, "\"what\":{\"cancel\":{\"reservation\":\"r\"}}"),
            "key 'what.cancel.reservation': has ended",
        ),
    ] {
        let said = refused(&mut book, change);
        assert!(said.starts_with(key), "{said}");
        assert_eq!(book, before);
    }
    for (rest, key) in [
        (
            RAISE.replace("2", "-2"),
            "key 'what.figures.figures.rate': is -2",
        ),
        (
            MOVE.replace("000000000000000a", "a"),
            "key 'what.move.account'",
        ),
        (reserve(0.0, 60), "key 'what.reserve.units'"),
        (
            reserve(1.0, -1),
            "key 'what.reserve.until': is not after 'at'",
        ),
        (
            MOVE.replace("move", "mov"),
            "'mov' is not known; did you mean 'move'?",
        ),
        (
            MOVE.replace("\"plan\"", "\"plann\""),
            "key 'what.move.plann': unknown key; did you mean 'plan'?",
        ),
    ] {
        let text = format!("{{\"id\":\"x\",\"at\":{NOW},\"by\":\"op\",\"why\":\"w\",{rest}}}");
        let said = Change::read(&text).unwrap_err().to_string();
        assert!(said.contains(key), "{said}");
    }
}

#[test]
fn a_reservation_ends_once_and_the_one_that_ends_first_is_taken_from() {
    let mut book = book();
    book.apply(NOW, change("long", 0, &reserve(10.0, 600)))
        .unwrap();
    book.apply(NOW, change("short", 0, &reserve(10.0, 60)))
        .unwrap();
    let from = |book: &PlanBook, key: &str, at_s: i64| {
        book.reservation_for(ANA, "sign-off", key, NOW + at_s * SECOND)
            .map(|r| r.id.to_string())
    };
    assert_eq!(from(&book, "batch-7", 1).as_deref(), Some("short"));
    assert_eq!(from(&book, "other-7", 1), None);
    assert_eq!(
        book.reservation_for(ANA, "lookup", "batch-7", NOW + SECOND),
        None
    );
    assert_eq!(
        from(&book, "batch-7", 60).as_deref(),
        Some("long"),
        "an end is an end"
    );
    let cancel = "\"what\":{\"cancel\":{\"reservation\":\"short\"}}";
    book.apply(NOW, change("c", 30, cancel)).unwrap();
    assert_eq!(from(&book, "batch-7", 29).as_deref(), Some("short"));
    assert_eq!(from(&book, "batch-7", 30).as_deref(), Some("long"));
    let twice = book
        .apply(NOW, change("c2", 31, cancel))
        .unwrap_err()
        .to_string();
    assert!(
        twice.contains("the reservation has ended by then") || twice.contains("cancelled already"),
        "{twice}"
    );
}

#[test]
fn a_book_that_missed_versions_says_so_and_catches_up_whole_or_not_at_all() {
    let (mut one, mut two) = (book(), book());
    for (id, rest) in [("a", MOVE), ("b", RAISE), ("c", BACK)] {
        one.apply(NOW, change(id, 1, rest)).unwrap();
    }
    let entries = one.history().to_vec();
    assert_eq!(
        two.catch_up(&entries[1..]),
        Err(CatchUpError::MissingVersions {
            version: 0,
            first_received: 2
        })
    );
    assert_eq!(two.catch_up(&entries[..1]), Ok(1));
    assert_eq!(two.catch_up(one.entries_after(0).unwrap()), Ok(3));
    assert_eq!((two.digest(), two.history()), (one.digest(), one.history()));
    assert_eq!(one.entries_after(4), None);

    // Each took another change as version 4: neither goes over to the other in silence.
    one.apply(NOW, change("d", 2, MOVE)).unwrap();
    two.apply(NOW, change("e", 2, RAISE)).unwrap();
    let before = two.clone();
    assert_eq!(two.catch_up(one.history()), Err(CatchUpError::Diverged(4)));
    assert_eq!(two, before);
    assert_ne!(one.digest(), two.digest());
}

/// Any use under any changes stays within the level at the first instant and what the rates let flow in; and a window's
/// count, shifted as [`shift`] says, has the same room as the store.
#[test]
fn no_change_grants_a_second_burst_or_takes_what_is_left() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let plans = [
            figures(1.0, 5.0),
            figures(4.0, 20.0),
            figures(2.0, 3.0),
            figures(0.0, 0.0),
        ];
        let mut level = TokenBucket::full(plans[0], 0);
        let (mut now, mut granted, mut flowed, mut used) = (0, 0.0, 0.0, 0.0);
        for (wait, plan, units) in steps {
            let passed = Micros::from(wait) * 10_000;
            let before = level;
            now += passed;
            flowed += before.rate_limit.rate_per_s * passed as f64 / 1e6;
            // The window's side: burst and what flowed in, less what is used, but never more than the store holds.
            used += (before.remaining_units + before.rate_limit.rate_per_s * passed as f64 / 1e6
                - before.rate_limit.burst)
                .max(0.0);
            if plan % 3 == 0 {
                let to = plans[usize::from(plan / 3) % plans.len()];
                used += window_usage_shift(
                    before.rate_limit,
                    to,
                    before.advanced_to(now).remaining_units,
                );
                level = level.with_rate_limit(to, now);
                if level.remaining_units > before.advanced_to(now).remaining_units
                    || level.remaining_units < before.advanced_to(now).remaining_units.min(to.burst)
                {
                    return false;
                }
            }
            let units = f64::from(units % 8);
            if level.try_take(now, units) {
                granted += units;
                used += units;
            }
            let room = level.rate_limit.burst + flowed - used;
            if (room - level.advanced_to(now).remaining_units).abs() > 1e-6
                || granted > plans[0].burst + flowed + 1e-6
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
