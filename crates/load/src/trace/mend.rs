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
mod tests;
