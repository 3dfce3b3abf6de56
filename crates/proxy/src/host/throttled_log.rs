//! Log lines that operators need to see when they occur, but that may occur very often: at most one in an interval is
//! written at once, and those in between are kept in the log ring only.

use streamarch::Micros;

use super::SECOND;

/// Shortest interval between two lines that are written at once.
const IMMEDIATE_LOG_INTERVAL: Micros = SECOND;

/// When a line of one kind was last written at once.
#[derive(Debug, Default)]
pub(super) struct LogThrottle {
    logged_at: Option<Micros>,
}

impl LogThrottle {
    /// Whether the next line is to be written at once, which counts as done.
    pub(super) fn allows(&mut self, now: Micros) -> bool {
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now >= logged_at + IMMEDIATE_LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

/// Logs a warning, written at once if `$throttle` allows it.
macro_rules! warn_throttled {
    ($log:expr, $throttle:expr, $now:expr, $($line:tt)+) => {
        if $throttle.allows($now) {
            slog::warn!($log, #protocol::log_ring::IMMEDIATE, $($line)+);
        } else {
            slog::warn!($log, $($line)+);
        }
    };
}
pub(super) use warn_throttled;
