//! The log: a ring buffer in memory that is written to standard error when something goes wrong.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

use slog::{Drain, KV, Level, Logger, OwnedKVList, Record, Serializer, o};

/// The greatest number of lines in the buffer.
const MAX_LINES: usize = 256;

/// The tag of a line that operators wait for: it is written out at once, alone, and not buffered.
pub const IMMEDIATE: &str = "at once";

#[derive(Default)]
struct RingState {
    lines: VecDeque<String>,
    discarded: u64,
}

/// Lines that are buffered until something goes wrong.
#[derive(Clone, Default)]
pub struct LogRing(Arc<Mutex<RingState>>);

struct KeyValueWriter(String);

impl Serializer for KeyValueWriter {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl LogRing {
    /// A logger for a program on a machine. A line of level `error` or above writes out the buffer at once; `warn` is
    /// buffered like the rest.
    pub fn logger(&self, program: &'static str, node: &str) -> Logger {
        Logger::root(
            self.clone().fuse(),
            o!("program" => program, "node" => node.to_string()),
        )
    }

    /// Removes the buffered lines, oldest first.
    pub fn take_lines(&self) -> Vec<String> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let discarded = std::mem::take(&mut state.discarded);
        let notice = (discarded > 0).then(|| format!("({discarded} older lines are gone)"));
        notice.into_iter().chain(state.lines.drain(..)).collect()
    }

    /// Writes the buffered lines to standard error.
    pub fn write_out(&self) {
        let text = self.take_lines().join("\n");
        // The program goes on if the log can't be written.
        let _ = writeln!(std::io::stderr(), "{text}");
    }
}

impl Drain for LogRing {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = KeyValueWriter(String::new());
        // Key-values that can't be written are left out of the line.
        let _ = record.kv().serialize(record, &mut pairs);
        let _ = values.serialize(record, &mut pairs);
        let line = format!(
            "{} {}{}",
            record.level().as_short_str(),
            record.msg(),
            pairs.0
        );
        if record.tag() == IMMEDIATE {
            // The program goes on if the log can't be written.
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
