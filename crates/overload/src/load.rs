//! Counts the load of one service at one limiter since its last report.

use serde::{Deserialize, Serialize};

use crate::priority::BANDS;
use crate::{EVALUATION_INTERVAL, Micros};

/// Shares of the latency target: a response that took longer than the first was delayed by
/// queueing, one that took longer than the second is slow.
const LATENCY_TARGET_SHARES: (f64, f64) = (0.5, 0.7);
/// A service is reported for this long after a request was slow, was rejected or found no server.
const REPORTING_DURATION: Micros = 4_000_000;

/// The outcome of a request, as far as it shows the load of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered: the response time and the latency target.
    Answered(Micros, Micros),
    /// Rejected by a server, or its connection was reset, as some servers do when they are full.
    Rejected,
    /// No server was free.
    NoServer,
}

/// The counts of one reporting interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the service.
    pub service: String,
    /// Length of the interval.
    pub interval: Micros,
    /// Offered requests by priority band; bands without any are left out.
    pub offered: Vec<(u8, u32)>,
    /// Admitted requests.
    pub admitted: u32,
    /// Responses in time.
    pub in_time: u32,
    /// Responses in time that were delayed by queueing.
    pub delayed: u32,
    /// Slow responses.
    pub slow: u32,
    /// Attempts rejected by servers.
    pub rejected: u32,
    /// Requests for which no server was free.
    pub no_server: u32,
}

/// The counts of one service at one limiter.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    interval_started_at: Micros,
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
    /// Counts a request.
    pub fn record_request(&mut self, band: usize, is_admitted: bool) {
        self.offered[band] += 1;
        self.admitted += u32::from(is_admitted);
    }

    /// Removes an admitted request that exceeded its quota: it says nothing about the servers.
    pub fn record_over_quota(&mut self, band: usize) {
        self.offered[band] = self.offered[band].saturating_sub(1);
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Counts an outcome.
    pub fn record_outcome(&mut self, now: Micros, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Answered(latency, target)
                if latency as f64 <= target as f64 * LATENCY_TARGET_SHARES.1 =>
            {
                self.delayed += u32::from(latency as f64 > target as f64 * LATENCY_TARGET_SHARES.0);
                return self.in_time += 1;
            }
            RequestOutcome::Answered(..) => self.slow += 1,
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::NoServer => self.no_server += 1,
        }
        self.last_overloaded_at = Some(now);
    }

    /// Returns the counts as a report and starts a new interval. Returns `None` without a recent
    /// sign of overload, unless a report is `requested`.
    pub fn take_report(
        &mut self,
        now: Micros,
        service: &str,
        requested: bool,
    ) -> Option<LoadReport> {
        let counts = std::mem::replace(
            self,
            LoadCounts {
                interval_started_at: now,
                last_overloaded_at: self.last_overloaded_at,
                ..LoadCounts::default()
            },
        );
        let recently_overloaded = counts
            .last_overloaded_at
            .is_some_and(|at| now - at < REPORTING_DURATION);
        let offered = counts
            .offered
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        (requested || recently_overloaded).then(|| LoadReport {
            service: service.to_string(),
            interval: (now - counts.interval_started_at).clamp(1, 2 * EVALUATION_INTERVAL),
            offered: offered.map(|(band, count)| (band as u8, *count)).collect(),
            admitted: counts.admitted,
            in_time: counts.in_time,
            delayed: counts.delayed,
            slow: counts.slow,
            rejected: counts.rejected,
            no_server: counts.no_server,
        })
    }
}

#[cfg(test)]
mod tests;
