//! The log: a ring in memory that is written out when something goes wrong, and little else.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

use slog::{Drain, KV, Level, Logger, OwnedKVList, Record, Serializer, o};

/// Most lines that the ring holds.
const MAX_LINES: usize = 256;

/// The tag of a line that operators are told to look for: it comes out at once, alone, and is not kept.
pub const IMMEDIATE: &str = "at once";

#[derive(Default)]
struct RingState {
    lines: VecDeque<String>,
    dropped: u64,
}

/// Lines kept until something goes wrong.
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
    /// A logger for a program on a machine. What is `error` or worse writes out the ring at once; `warn` is kept like
    /// the rest.
    pub fn logger(&self, program: &'static str, node: &str) -> Logger {
        Logger::root(
            self.clone().fuse(),
            o!("program" => program, "node" => node.to_string()),
        )
    }

    /// Takes out what is held, oldest first.
    pub fn take_lines(&self) -> Vec<String> {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = std::mem::take(&mut held.dropped);
        let lost = (dropped > 0).then(|| format!("({dropped} older lines are gone)"));
        lost.into_iter().chain(held.lines.drain(..)).collect()
    }

    /// Writes out what is held to standard error.
    pub fn write_out(&self) {
        let text = self.take_lines().join("\n");
        // A log that can't be written harms nothing.
        let _ = writeln!(std::io::stderr(), "{text}");
    }
}

impl Drain for LogRing {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut pairs = KeyValueWriter(String::new());
        // Pairs that can't be written are left out; the line stands all the same.
        let _ = record.kv().serialize(record, &mut pairs);
        let _ = values.serialize(record, &mut pairs);
        let line = format!(
            "{} {}{}",
            record.level().as_short_str(),
            record.msg(),
            pairs.0
        );
        if record.tag() == IMMEDIATE {
            // A log that can't be written harms nothing.
            let _ = writeln!(std::io::stderr(), "{line}");
            return Ok(());
        }
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if held.lines.len() >= MAX_LINES {
            held.lines.pop_front();
            held.dropped += 1;
        }
        held.lines.push_back(line);
        drop(held);
        if record.level().is_at_least(Level::Error) {
            self.write_out();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
