//! The log on standard error, one line per event, as plain text or JSON. `docs/on-call.md` lists the events.
//!
//! Only events of the limiter itself are logged, never single requests, so that the default level adds no cost to a
//! request.

use std::fmt::{self, Write};

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// The limiter's name, a space and the message.
    #[default]
    Text,
    /// An object with `timestamp`, `level`, and in `fields` the `limiter` and the `message`.
    Json,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// The format of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
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
    /// Installs the logger for the whole process. Only the first call in a process has an effect.
    pub fn install(self) {
        let subscriber = tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            .with_max_level(self.level);
        // Fails if the embedding program has already installed a logger, which is then kept.
        let _ = match self.format {
            LogFormat::Text => subscriber.event_format(TextFormat).try_init(),
            LogFormat::Json => subscriber.json().with_target(false).try_init(),
        };
    }
}

/// Formats an event as `LIMITER MESSAGE`, or as the message alone where the event has no `limiter` field.
struct TextFormat;

#[derive(Default)]
struct EventFields {
    limiter: String,
    message: String,
}

impl Visit for EventFields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        let target = match field.name() {
            "limiter" => &mut self.limiter,
            "message" => &mut self.message,
            _ => return,
        };
        // Writing to a string cannot fail.
        let _ = write!(target, "{value:?}");
    }
}

impl<S, N> FormatEvent<S, N> for TextFormat
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
        let mut fields = EventFields::default();
        event.record(&mut fields);
        match fields.limiter.as_str() {
            "" => writeln!(writer, "{}", fields.message),
            limiter => writeln!(writer, "{limiter} {}", fields.message),
        }
    }
}
