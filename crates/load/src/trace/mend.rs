//! What is odd in a trace, counted, and mended as asked: order, duplicates, gaps.

use std::collections::HashSet;

use crate::Micros;
use crate::trace::Row;

/// What is done with duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duplicates {
    /// They stay.
    Keep,
    /// All but the first go.
    Drop,
}

/// What is done with gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gaps {
    /// They stay.
    Keep,
    /// What comes behind one moves up to where the gap began.
    Close,
}

/// How a trace is mended.
#[derive(Clone, Copy, Debug)]
pub struct Mending {
    /// Rows with the same id; without ids, rows that are the same in everything.
    pub duplicates: Duplicates,
    /// Spans without any row.
    pub gaps: Gaps,
    /// A gap is longer than this; `None`: a second, or 100 times the median distance if that is more.
    pub gap: Option<Micros>,
}

/// What was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Rows that stood before an earlier one; they were sorted in.
    pub out_of_order: usize,
    /// Duplicates, whether they were kept or not.
    pub duplicates: usize,
    /// Gaps, whether they were closed or not.
    pub gaps: usize,
    /// The longest one.
    pub longest_gap: Micros,
    /// Time in gaps.
    pub in_gaps: Micros,
}

/// Sorts rows by time, counts what is odd and mends what is to be mended. Times then count from the first row's.
pub fn mend(rows: &mut Vec<Row>, mending: &Mending) -> Found {
    let mut found = Found::default();
    let mut latest = Micros::MIN;
    for row in rows.iter() {
        found.out_of_order += usize::from(row.at < latest);
        latest = latest.max(row.at);
    }
    rows.sort_by_key(|row| row.at);
    let mut seen: HashSet<(Micros, u64, String)> = HashSet::new();
    rows.retain(|row| {
        let name = if row.id.is_empty() {
            let Row {
                at,
                account,
                plan,
                class,
                units,
                limiter,
                ..
            } = row;
            (*at, *account, format!("{plan} {class} {units} {limiter:?}"))
        } else {
            (0, 0, row.id.clone())
        };
        let new = seen.insert(name);
        found.duplicates += usize::from(!new);
        new || mending.duplicates == Duplicates::Keep
    });
    let first = rows.first().map_or(0, |row| row.at);
    rows.iter_mut().for_each(|row| row.at -= first);
    let longest = mending.gap.unwrap_or_else(|| usual(rows));
    let (mut closed, mut before) = (0, 0);
    for row in rows.iter_mut() {
        let distance = row.at - before;
        before = row.at;
        if distance > longest {
            found.gaps += 1;
            found.longest_gap = found.longest_gap.max(distance);
            found.in_gaps += distance;
            if mending.gaps == Gaps::Close {
                closed += distance - longest;
            }
        }
        row.at -= closed;
    }
    found
}

/// The longest distance between rows that is no gap.
fn usual(rows: &[Row]) -> Micros {
    let mut distances: Vec<Micros> = rows.windows(2).map(|w| w[1].at - w[0].at).collect();
    if distances.is_empty() {
        return 1_000_000;
    }
    let middle = distances.len() / 2;
    (*distances.select_nth_unstable(middle).1 * 100).max(1_000_000)
}

#[cfg(test)]
mod tests {
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
}
