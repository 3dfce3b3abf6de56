//! Detection of a stalled process. After a stall its links hold outdated messages (heartbeats, leases and votes from before the
//! stall), and its peers have closed these links since. The process closes them as well before it reads anything, so that no
//! message is older than the time after which a silent link is closed.

use protocol::log_ring::IMMEDIATE;
use slog::info;

use super::Host;
use super::connections::Role;
use crate::core::Input;
use crate::dataplane_types::ConnectionKey;
use crate::limits;

/// When the event loop last completed an iteration, and for how many further iterations pending input may be outdated.
#[derive(Debug, Default)]
pub(super) struct StallDetector {
    last_iteration_at: i64,
    suspect_iterations: u32,
}

impl StallDetector {
    /// Records that the event loop has completed an iteration.
    pub(super) fn record_iteration(&mut self, now: i64) {
        self.last_iteration_at = now;
        self.suspect_iterations = self.suspect_iterations.saturating_sub(1);
    }

    /// Whether pending input may date from before a stall.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect_iterations > 0
    }

    /// The duration of a stall that has just ended, reported once.
    fn detect(&mut self, now: i64) -> Option<i64> {
        let stalled_for = now - self.last_iteration_at;
        if stalled_for < limits::STALL_THRESHOLD {
            return None;
        }
        self.last_iteration_at = now;
        self.suspect_iterations = limits::STALL_ITERATIONS;
        Some(stalled_for)
    }
}

impl Host {
    /// Checks whether the process has stalled; if so, closes all links.
    pub(super) fn check_for_stall(&mut self) {
        let Some(stalled_for) = self.stall.detect(self.now()) else {
            return;
        };
        info!(self.log, #IMMEDIATE, "process stalled, closing all links";
            "stalled_ms" => stalled_for / 1_000);
        let links = self.connections.iter();
        let links = links.filter(|(_, connection)| match connection.role {
            Role::Unidentified | Role::Replica { .. } | Role::Agent | Role::Platform => true,
            // A caller that has given up is detected by the end of its connection.
            Role::Operator | Role::Client => false,
        });
        for key in links.map(|(key, _)| key).collect::<Vec<ConnectionKey>>() {
            self.close(key);
        }
        self.step_core(Input::Tick);
    }
}

#[cfg(test)]
mod tests;
