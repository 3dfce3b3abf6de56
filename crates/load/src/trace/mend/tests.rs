use super::*;

fn row(at: Micros, id: &str) -> Row {
    let (plan, class) = ("taller".into(), "lookup".into());
    Row {
        at,
        account: 1,
        plan,
        class,
        units: 1,
        limiter: None,
        id: id.into(),
    }
}

fn trace() -> Vec<Row> {
    [
        (5_000_000, "a"),
        (5_300_000, "c"),
        (5_100_000, "b"),
        (5_300_000, "c"),
        (9_300_000, "d"),
    ]
    .map(|(at, id)| row(at, id))
    .to_vec()
}

#[test]
fn what_is_odd_is_counted_and_mended_as_asked() {
    let mut rows = trace();
    let keep = Mending {
        duplicates: Duplicates::Keep,
        gaps: Gaps::Keep,
        gap: None,
    };
    let found = mend(&mut rows, &keep);
    let expected = Found {
        out_of_order: 1,
        duplicates: 1,
        gaps: 0,
        longest_gap: 0,
        in_gaps: 0,
    };
    // The median distance is 100 ms, so that 4 s are no gap by it, but are by a bound of 1 s.
    assert_eq!((found, rows.len()), (expected, 5));
    let mut rows = trace();
    let mending = Mending {
        duplicates: Duplicates::Drop,
        gaps: Gaps::Close,
        gap: Some(1_000_000),
    };
    let found = mend(&mut rows, &mending);
    assert_eq!(
        (found.gaps, found.longest_gap, found.duplicates),
        (1, 4_000_000, 1)
    );
    let at: Vec<Micros> = rows.iter().map(|r| r.at).collect();
    assert_eq!(at, [0, 100_000, 300_000, 1_300_000]);
}

#[test]
fn rows_without_ids_are_duplicates_if_they_are_the_same_in_everything() {
    let mut rows = vec![
        row(1, ""),
        row(1, ""),
        row(2, ""),
        Row {
            units: 2,
            ..row(2, "")
        },
    ];
    let drop = Mending {
        duplicates: Duplicates::Drop,
        gaps: Gaps::Keep,
        gap: None,
    };
    assert_eq!((mend(&mut rows, &drop).duplicates, rows.len()), (1, 3));
    assert_eq!(mend(&mut Vec::new(), &drop), Found::default());
}
