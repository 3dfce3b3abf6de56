//! Reading CSV and JSON lines. What can't be read is refused with line and column.

use std::fmt;
use std::io::{self, BufRead, Read};

use serde_json::Value;

use crate::Micros;
use crate::schedule::CUSTOMERS;
use crate::trace::Row;

/// The columns that a trace may have; `at` or `at_us` must be there, the others have defaults.
pub const COLUMNS: [&str; 8] = [
    "at", "at_us", "account", "plan", "class", "units", "limiter", "id",
];

/// Longest instant, in seconds: a Unix time in microseconds fits.
const LATEST: f64 = 1e12;

/// Why a trace can't be read.
#[derive(Debug)]
pub enum TraceError {
    /// The system's word.
    System(io::Error),
    /// What is wrong, and where; both count from 1.
    At {
        /// The line.
        line: u64,
        /// The column: a field's number in CSV, a character's in JSON lines.
        column: u64,
        /// What is wrong.
        text: String,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceError::System(error) => write!(f, "{error}"),
            TraceError::At { line, column, text } => {
                write!(f, "line {line}, column {column}: {text}")
            }
        }
    }
}

impl std::error::Error for TraceError {}

fn at(line: u64, column: usize, text: impl Into<String>) -> TraceError {
    TraceError::At {
        line,
        column: column as u64,
        text: text.into(),
    }
}

/// Sets one column of a row. Text as it stands in the file.
fn set(row: &mut Row, column: &str, text: &str) -> Result<(), String> {
    let bad = |what: &str| format!("'{column}' is '{text}', not {what}");
    match column {
        "at" => {
            let seconds = text
                .parse::<f64>()
                .ok()
                .filter(|s| (0.0..=LATEST).contains(s));
            row.at = (seconds.ok_or_else(|| bad("a time in seconds"))? * 1e6).round() as Micros;
        }
        "at_us" => {
            let micros = text
                .parse::<Micros>()
                .ok()
                .filter(|us| *us >= 0 && *us as f64 <= LATEST * 1e6);
            row.at = micros.ok_or_else(|| bad("a time in whole microseconds"))?;
        }
        "account" => {
            let number = u64::from_str_radix(text, 16)
                .ok()
                .filter(|n| *n < CUSTOMERS);
            row.account =
                number.ok_or_else(|| bad("a customer: up to 16 hex digits, below 2^33"))?;
        }
        "units" => {
            row.units = text
                .parse()
                .ok()
                .filter(|u| *u > 0)
                .ok_or_else(|| bad("1 to 255"))?;
        }
        "limiter" => row.limiter = Some(text.parse().map_err(|_| bad("a limiter's number"))?),
        "id" => row.id = text.to_string(),
        _ => {
            let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            if text.is_empty() || text.len() > 64 || !text.bytes().all(plain) {
                return Err(bad("a name of letters, digits, '-', '_' and '.'"));
            }
            *(if column == "plan" {
                &mut row.plan
            } else {
                &mut row.class
            }) = text.to_string();
        }
    }
    Ok(())
}

fn empty() -> Row {
    Row {
        at: 0,
        account: 1,
        plan: "taller".into(),
        class: "lookup".into(),
        units: 1,
        limiter: None,
        id: String::new(),
    }
}

/// Reads CSV with a head line.
///
/// # Errors
/// The first line and field that can't be read: an unknown column, a line of another length (a cut file), a value.
pub fn csv(from: impl Read) -> Result<Vec<Row>, TraceError> {
    let mut reader = csv::ReaderBuilder::new().from_reader(from);
    let fault = |error: csv::Error| {
        let line = error.position().map_or(1, csv::Position::line);
        match error.into_kind() {
            csv::ErrorKind::Io(error) => TraceError::System(error),
            csv::ErrorKind::UnequalLengths {
                expected_len, len, ..
            } => at(
                line,
                len as usize,
                format!("{len} fields where the head has {expected_len}"),
            ),
            csv::ErrorKind::Utf8 { err, .. } => at(line, err.field() + 1, "not UTF-8"),
            other => at(line, 1, format!("{other:?}")),
        }
    };
    let head: Vec<String> = reader
        .headers()
        .map_err(fault)?
        .iter()
        .map(|h| h.trim().to_string())
        .collect();
    check_head(&head)?;
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = record.map_err(fault)?;
        let line = record.position().map_or(0, csv::Position::line);
        let mut row = empty();
        for (k, (column, text)) in head.iter().zip(record.iter()).enumerate() {
            let text = text.trim();
            if !text.is_empty() || matches!(column.as_str(), "at" | "at_us") {
                set(&mut row, column, text).map_err(|text| at(line, k + 1, text))?;
            }
        }
        rows.push(row);
    }
    Ok(rows)
}

fn check_head(head: &[String]) -> Result<(), TraceError> {
    for (k, name) in head.iter().enumerate() {
        if !COLUMNS.contains(&name.as_str()) {
            return Err(at(
                1,
                k + 1,
                format!("unknown column '{name}'; known are {}", COLUMNS.join(", ")),
            ));
        }
        if head[..k].contains(name) {
            return Err(at(1, k + 1, format!("column '{name}' stands twice")));
        }
    }
    match head
        .iter()
        .filter(|name| matches!(name.as_str(), "at" | "at_us"))
        .count()
    {
        1 => Ok(()),
        _ => Err(at(1, 1, "one of 'at' and 'at_us' must be there")),
    }
}

/// Reads one JSON object a line; empty lines are passed over.
///
/// # Errors
/// The first line that is no such object, with the column where it stops being one.
pub fn json_lines(from: impl BufRead) -> Result<Vec<Row>, TraceError> {
    let mut rows = Vec::new();
    for (k, text) in from.split(b'\n').enumerate() {
        let (line, text) = (k as u64 + 1, text.map_err(TraceError::System)?);
        if text.trim_ascii().is_empty() {
            continue;
        }
        let value: serde_json::Map<String, Value> =
            serde_json::from_slice(&text).map_err(|e| at(line, e.column(), e.to_string()))?;
        let mut row = empty();
        let mut timed = 0;
        for (column, value) in &value {
            // Where the key stands in its line, for the message.
            let place = || {
                let quoted = format!("\"{column}\"");
                text.windows(quoted.len())
                    .position(|w| w == quoted.as_bytes())
                    .map_or(1, |p| p + 1)
            };
            if !COLUMNS.contains(&column.as_str()) {
                return Err(at(
                    line,
                    place(),
                    format!("unknown key '{column}'; known are {}", COLUMNS.join(", ")),
                ));
            }
            timed += usize::from(column.starts_with("at"));
            let plain = match value {
                Value::String(text) => text.clone(),
                Value::Number(number) => number.to_string(),
                Value::Null => continue,
                other => return Err(at(line, place(), format!("'{column}' is {other}"))),
            };
            set(&mut row, column, &plain).map_err(|text| at(line, place(), text))?;
        }
        if timed != 1 {
            return Err(at(line, 1, "one of 'at' and 'at_us' must be there"));
        }
        rows.push(row);
    }
    Ok(rows)
}

#[cfg(test)]
mod tests;
