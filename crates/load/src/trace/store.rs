//! A trace as a table.

use std::path::Path;

use crate::trace::Row;
use table::{self, ColumnValues, Table, TableError};

/// Writes a trace, whole or not at all.
///
/// # Errors
/// The system's.
pub fn write(path: &Path, rows: &[Row]) -> Result<(), TableError> {
    let numbers = |get: fn(&Row) -> i64| ColumnValues::Integers(rows.iter().map(get).collect());
    let texts = |get: fn(&Row) -> String| ColumnValues::Strings(rows.iter().map(get).collect());
    let table: Table = vec![
        ("at_us", numbers(|r| r.at)),
        ("account", numbers(|r| r.account as i64)),
        ("plan", texts(|r| r.plan.clone())),
        ("class", texts(|r| r.class.clone())),
        ("units", numbers(|r| i64::from(r.units))),
        (
            "limiter",
            ColumnValues::OptionalIntegers(rows.iter().map(|r| r.limiter.map(i64::from)).collect()),
        ),
        ("id", texts(|r| r.id.clone())),
    ];
    table::write(path, &table)
}

/// Reads a trace.
///
/// # Errors
/// A file that is missing, cut, or none of ours; a value out of its range, by its column.
pub fn read(path: &Path) -> Result<Vec<Row>, TableError> {
    let stored = table::open(path)?;
    let (at, accounts, units) = (
        stored.integers("at_us")?,
        stored.integers("account")?,
        stored.integers("units")?,
    );
    let (plans, classes, ids) = (
        stored.strings("plan")?,
        stored.strings("class")?,
        stored.strings("id")?,
    );
    let limiters = stored.optional_integers("limiter")?;
    let bad = |column: &str| TableError::Column(path.to_path_buf(), column.to_string());
    let row = |k: usize| {
        Ok(Row {
            at: at[k],
            account: u64::try_from(accounts[k]).map_err(|_| bad("account"))?,
            plan: plans[k].clone(),
            class: classes[k].clone(),
            units: u8::try_from(units[k]).map_err(|_| bad("units"))?,
            limiter: limiters[k]
                .map(u16::try_from)
                .transpose()
                .map_err(|_| bad("limiter"))?,
            id: ids[k].clone(),
        })
    };
    (0..stored.row_count()).map(row).collect()
}
