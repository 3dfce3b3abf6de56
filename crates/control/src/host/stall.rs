//! A process that stood still finds its links full of what is long over: beats, leases and votes as they were when it stopped.
//! Its peers have given these links up since. It gives them up as well, before it reads anything on them, so that no message
//! is taken for younger than a link may be silent.

use protocol::log_ring::IMMEDIATE;
use slog::info;

use super::Host;
use super::connections::Role;
use crate::dataplane_types::ConnectionKey;
use crate::limits;

/// When the loop last turned, and for how many turns what is found may be old.
#[derive(Debug, Default)]
pub(super) struct StallDetector {
    last_iteration_at: i64,
    suspect_iterations: u32,
}

impl StallDetector {
    /// The loop has turned.
    pub(super) fn record_iteration(&mut self, now: i64) {
        self.last_iteration_at = now;
        self.suspect_iterations = self.suspect_iterations.saturating_sub(1);
    }

    /// What comes in now may have waited since before.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect_iterations > 0
    }

    /// Gives for how long the process stood still, once.
    fn detect(&mut self, now: i64) -> Option<i64> {
        let stood = now - self.last_iteration_at;
        if stood < limits::STALL_THRESHOLD {
            return None;
        }
        (self.last_iteration_at, self.suspect_iterations) = (now, limits::STALL_ITERATIONS);
        Some(stood)
    }
}

impl Host {
    /// Looks whether the process stood still; if so, all its links are given up.
    pub(super) fn check_for_stall(&mut self) {
        let Some(stood) = self.stall.detect(self.now()) else {
            return;
        };
        info!(self.log, #IMMEDIATE, "stood still: all links are given up"; "ms" => stood / 1_000);
        let old = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.role {
                Role::Unidentified | Role::Replica { .. } | Role::Agent | Role::Platform => true,
                // These end by themselves, where the caller is gone.
                Role::Operator | Role::Client => false,
            });
        for key in old.map(|(key, _)| key).collect::<Vec<ConnectionKey>>() {
            self.close(key);
        }
        self.step_core(crate::core::Input::Tick);
    }
}

#[cfg(test)]
mod tests;
