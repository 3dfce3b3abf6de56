//! The log of a program: a ring buffer in memory that is written to standard error when an error occurs.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

use slog::{Drain, KV, Level, Logger, OwnedKVList, Record, Serializer, o};

/// The maximum number of buffered lines; beyond it the oldest one is discarded.
const MAX_LINES: usize = 256;

/// The tag of a line that operators need to see when it occurs: it is written to standard error immediately and not buffered.
pub const IMMEDIATE: &str = "at once";

#[derive(Default)]
struct RingState {
    lines: VecDeque<String>,
    discarded: u64,
}

/// A shared handle to the log buffer of a program.
#[derive(Clone, Default)]
pub struct LogRing(Arc<Mutex<RingState>>);

/// Formats the key-value pairs of a record as ` key=value`.
struct KeyValueWriter(String);

impl Serializer for KeyValueWriter {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl LogRing {
    /// Creates a logger whose lines name the program and its machine. A line of level `error` or above writes out the whole
    /// buffer; lines of lower levels are only buffered.
    pub fn logger(&self, program: &'static str, node: &str) -> Logger {
        Logger::root(
            self.clone().fuse(),
            o!("program" => program, "node" => node.to_string()),
        )
    }

    /// Removes and returns the buffered lines, oldest first, after a line with the number of discarded ones, if any.
    pub fn take_lines(&self) -> Vec<String> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let discarded = std::mem::take(&mut state.discarded);
        let notice = (discarded > 0).then(|| format!("({discarded} older lines were discarded)"));
        notice.into_iter().chain(state.lines.drain(..)).collect()
    }

    /// Writes the buffered lines to standard error and removes them.
    pub fn write_out(&self) {
        let text = self.take_lines().join("\n");
        // A program whose log can't be written goes on.
        let _ = writeln!(std::io::stderr(), "{text}");
    }
}

impl Drain for LogRing {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = KeyValueWriter(String::new());
        // Pairs that can't be formatted are omitted from the line.
        let _ = record.kv().serialize(record, &mut pairs);
        let _ = values.serialize(record, &mut pairs);
        let line = format!(
            "{} {}{}",
            record.level().as_short_str(),
            record.msg(),
            pairs.0
        );
        if record.tag() == IMMEDIATE {
            // A program whose log can't be written goes on.
            let _ = writeln!(std::io::stderr(), "{line}");
            return Ok(());
        }
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.lines.len() >= MAX_LINES {
            state.lines.pop_front();
            state.discarded += 1;
        }
        state.lines.push_back(line);
        drop(state);
        if record.level().is_at_least(Level::Error) {
            self.write_out();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
