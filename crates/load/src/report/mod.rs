//! What a person looks at: a folder a run, comparisons of runs, and sweeps over one key.

mod page;
mod plot;
mod side_by_side;

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::generator::Setup;
use crate::records::Try;
use crate::summary::Summary;
use table::{self, ColumnValues, Table, TableError};

pub use side_by_side::{compare, knee};

/// Why a report can't be written or read.
#[derive(Debug)]
pub enum ReportError {
    /// The system's word on a file.
    File(PathBuf, io::Error),
    /// A report that is no report.
    NotOne(PathBuf, serde_json::Error),
    /// The records.
    Table(TableError),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ReportError::NotOne(path, error) => write!(f, "{}: no report: {error}", path.display()),
            ReportError::Table(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ReportError {}

/// Writes text whole or not at all.
///
/// # Errors
/// The system's.
pub fn write_text(path: &Path, text: &str) -> Result<(), ReportError> {
    table::write_atomically(
        path,
        |e| ReportError::File(path.to_path_buf(), e),
        |mut file| {
            file.write_all(text.as_bytes())
                .map_err(|e| ReportError::File(path.to_path_buf(), e))?;
            Ok(file)
        },
    )
}

/// Writes a run's folder: `report.json`, `report.html`, `records.parquet`.
///
/// # Errors
/// The system's; a file that can't be written whole is not there.
pub fn write(
    folder: &Path,
    setup: &Setup,
    tries: &[Try],
    summary: &Summary,
) -> Result<(), ReportError> {
    fs::create_dir_all(folder).map_err(|e| ReportError::File(folder.to_path_buf(), e))?;
    table::write(&folder.join("records.parquet"), &records(setup, tries))
        .map_err(ReportError::Table)?;
    write_text(&folder.join("report.html"), &page::run(setup, summary))?;
    write_text(&folder.join("report.json"), &json(summary))
}

/// A summary as JSON.
pub fn json(summary: &Summary) -> String {
    // Numbers and texts alone: nothing in it can fail to be written.
    serde_json::to_string_pretty(summary).unwrap_or_default()
}

/// Reads a run's `report.json`.
///
/// # Errors
/// A folder without a report, or with one that can't be read.
pub fn read(folder: &Path) -> Result<Summary, ReportError> {
    let path = folder.join("report.json");
    let text = fs::read_to_string(&path).map_err(|e| ReportError::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| ReportError::NotOne(path, e))
}

/// Every try as a table, a row each.
fn records(setup: &Setup, tries: &[Try]) -> Table {
    let of = |t: &Try| setup.schedule.requests[t.request as usize];
    let workshop = |t: &Try| &setup.schedule.workshops[of(t).workshop as usize];
    let plans = &setup.scenario.workshops.plans;
    let numbers =
        |get: &dyn Fn(&Try) -> i64| ColumnValues::Integers(tries.iter().map(get).collect());
    let texts =
        |get: &dyn Fn(&Try) -> String| ColumnValues::Strings(tries.iter().map(get).collect());
    vec![
        ("request", numbers(&|t| i64::from(t.request))),
        ("try", numbers(&|t| i64::from(t.number))),
        ("intended_us", numbers(&|t| t.intended)),
        (
            "sent_us",
            ColumnValues::OptionalIntegers(tries.iter().map(|t| t.sent).collect()),
        ),
        ("ended_us", numbers(&|t| t.ended)),
        ("account", numbers(&|t| workshop(t).customer as i64)),
        (
            "plan",
            texts(&|t| plans[usize::from(workshop(t).plan)].name.clone()),
        ),
        (
            "class",
            texts(&|t| {
                setup.scenario.classes[usize::from(of(t).class)]
                    .name
                    .clone()
            }),
        ),
        ("units", numbers(&|t| i64::from(of(t).units))),
        ("target", numbers(&|t| i64::from(t.target))),
        ("status", numbers(&|t| i64::from(t.status))),
        ("outcome", texts(&|t| t.outcome.name().to_string())),
    ]
}
