//! Counts the load of one service at one limiter since its last report.

use serde::{Deserialize, Serialize};

use crate::priority::BANDS;
use crate::{EVALUATION_INTERVAL, Micros};

/// An answer that took more than the first share of its latency target has waited; beyond the
/// second it is slow.
const WAIT_SHARES: (f64, f64) = (0.5, 0.7);
/// A service is reported for this long after a request waited or was rejected.
const REPORTING_DURATION: Micros = 4_000_000;

/// The outcome of a request, as far as it shows the load of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered: the time it took, and the latency target.
    Answered(Micros, Micros),
    /// Rejected by a server, or its connection was reset, as some servers do when they are full.
    Rejected,
    /// No server was free.
    NoServer,
}

/// The counts of one reporting interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service.
    pub service: String,
    /// Length of the interval.
    pub interval: Micros,
    /// Offered requests, by band; only bands with any.
    pub offered: Vec<(u8, u32)>,
    /// Admitted requests.
    pub admitted: u32,
    /// Answers in time.
    pub in_time: u32,
    /// Answers in time that had waited nevertheless.
    pub delayed: u32,
    /// Slow answers.
    pub slow: u32,
    /// Attempts rejected by servers.
    pub rejected: u32,
    /// Requests for which no server was free.
    pub no_server: u32,
}

/// The counts of one service at one limiter.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    since: Micros,
    offered: [u32; BANDS],
    admitted: u32,
    in_time: u32,
    delayed: u32,
    slow: u32,
    rejected: u32,
    no_server: u32,
    last_overloaded_at: Option<Micros>,
}

impl LoadCounts {
    /// Counts a request; `sent`: it was admitted.
    pub fn record_request(&mut self, band: usize, sent: bool) {
        self.offered[band] += 1;
        self.admitted += u32::from(sent);
    }

    /// Removes an admitted request that was over its quota: it says nothing about the servers.
    pub fn record_over_quota(&mut self, band: usize) {
        self.offered[band] = self.offered[band].saturating_sub(1);
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Counts an outcome.
    pub fn record_outcome(&mut self, now: Micros, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered(took, aim) if took as f64 <= aim as f64 * WAIT_SHARES.1 => {
                self.delayed += u32::from(took as f64 > aim as f64 * WAIT_SHARES.0);
                return self.in_time += 1;
            }
            RequestOutcome::Answered(..) => self.slow += 1,
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::NoServer => self.no_server += 1,
        }
        self.last_overloaded_at = Some(now);
    }

    /// Returns the counts and resets them; `None` where nothing waited lately and no report was
    /// requested for.
    pub fn take_report(&mut self, now: Micros, svc: &str, requested: bool) -> Option<LoadReport> {
        let known = std::mem::replace(
            self,
            LoadCounts {
                since: now,
                last_overloaded_at: self.last_overloaded_at,
                ..LoadCounts::default()
            },
        );
        let lately = known
            .last_overloaded_at
            .is_some_and(|at| now - at < REPORTING_DURATION);
        let offered = known
            .offered
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        (requested || lately).then(|| LoadReport {
            service: svc.to_string(),
            interval: (now - known.since).clamp(1, 2 * EVALUATION_INTERVAL),
            offered: offered.map(|(band, count)| (band as u8, *count)).collect(),
            admitted: known.admitted,
            in_time: known.in_time,
            delayed: known.delayed,
            slow: known.slow,
            rejected: known.rejected,
            no_server: known.no_server,
        })
    }
}

#[cfg(test)]
mod tests;
