//! The log on standard error: a line an event, as `docs/on-call.md` lists them, or the same as JSON.
//!
//! Only what happens to the limiter is logged, never a request, so that the default level costs a request nothing.

use std::fmt::{self, Write};

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// The limiter's name and the text.
    #[default]
    Text,
    /// An object with `timestamp`, `level`, and in `fields` the `limiter` and the `message`.
    Json,
}

/// How it logs.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// The form of a line.
    pub format: LogFormat,
    /// The least that is logged.
    pub level: Level,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig {
            format: LogFormat::Text,
            level: Level::INFO,
        }
    }
}

impl LogConfig {
    /// Logs from now on, in the whole process. The first call of a process holds.
    pub fn install(self) {
        let log = tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            .with_max_level(self.level);
        // An embedder that has a log of its own keeps it.
        let _ = match self.format {
            LogFormat::Text => log.event_format(Lines).try_init(),
            LogFormat::Json => log.json().with_target(false).try_init(),
        };
    }
}

/// `NAME TEXT`, the lines that those on call know.
struct Lines;

#[derive(Default)]
struct Line {
    limiter: String,
    message: String,
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let into = match field.name() {
            "limiter" => &mut self.limiter,
            "message" => &mut self.message,
            _ => return,
        };
        // Writing to memory does not fail.
        let _ = write!(into, "{value:?}");
    }
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        match line.limiter.as_str() {
            "" => writeln!(writer, "{}", line.message),
            limiter => writeln!(writer, "{limiter} {}", line.message),
        }
    }
}
