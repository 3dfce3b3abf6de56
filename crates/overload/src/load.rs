//! What one limiter saw of one service since its last report.

use serde::{Deserialize, Serialize};

use crate::priority::BANDS;
use crate::{Micros, STEP};

/// An answer that took more than the first share of its aim has waited, beyond the second for long.
const WAIT_SHARES: (f64, f64) = (0.5, 0.7);
/// A service is reported for this long after something waited or was turned away there.
const REPORTING_DURATION: Micros = 4_000_000;

/// What became of a request at the service, as far as it tells of the servers' load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered; how long that took, and what was aimed at.
    Answered(Micros, Micros),
    /// Turned away by a server, or its connection reset: some do so when full.
    Rejected,
    /// No server was free to take it.
    NoServer,
}

/// Counts of one span, as they are told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service.
    pub svc: String,
    /// How long was counted.
    pub span: Micros,
    /// Requests that came, by band; only bands where some did.
    pub offered: Vec<(u8, u32)>,
    /// Those let through.
    pub sent: u32,
    /// Answers in good time.
    pub in_time: u32,
    /// Those of them that had waited all the same.
    pub waited: u32,
    /// Answers that had waited for long.
    pub slow: u32,
    /// Tries turned away by servers.
    pub rejected: u32,
    /// Requests for which no server was free.
    pub no_server: u32,
}

/// The counts of one service at one limiter.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    since: Micros,
    offered: [u32; BANDS],
    sent: u32,
    good: u32,
    waited: u32,
    slow: u32,
    away: u32,
    no_room: u32,
    strained: Option<Micros>,
}

impl LoadCounts {
    /// A request came; `sent`: it was let through.
    pub fn came(&mut self, band: usize, sent: bool) {
        self.offered[band] += 1;
        self.sent += u32::from(sent);
    }

    /// One that was let through was over its quota: the servers have nothing to do with it.
    pub fn over_quota(&mut self, band: usize) {
        self.offered[band] = self.offered[band].saturating_sub(1);
        self.sent = self.sent.saturating_sub(1);
    }

    /// Something became of one.
    pub fn ended(&mut self, now: Micros, sign: RequestOutcome) {
        match sign {
            RequestOutcome::Answered(took, aim) if took as f64 <= aim as f64 * WAIT_SHARES.1 => {
                self.waited += u32::from(took as f64 > aim as f64 * WAIT_SHARES.0);
                return self.good += 1;
            }
            RequestOutcome::Answered(..) => self.slow += 1,
            RequestOutcome::Rejected => self.away += 1,
            RequestOutcome::NoServer => self.no_room += 1,
        }
        self.strained = Some(now);
    }

    /// The counts so far, which begin anew; none where nothing has waited lately and nobody asks.
    pub fn report(&mut self, now: Micros, svc: &str, asked: bool) -> Option<LoadReport> {
        let known = std::mem::replace(
            self,
            LoadCounts {
                since: now,
                strained: self.strained,
                ..LoadCounts::default()
            },
        );
        let lately = known
            .strained
            .is_some_and(|at| now - at < REPORTING_DURATION);
        let offered = known
            .offered
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        (asked || lately).then(|| LoadReport {
            svc: svc.to_string(),
            span: (now - known.since).clamp(1, 2 * STEP),
            offered: offered.map(|(band, count)| (band as u8, *count)).collect(),
            sent: known.sent,
            in_time: known.good,
            waited: known.waited,
            slow: known.slow,
            rejected: known.away,
            no_server: known.no_room,
        })
    }
}

#[cfg(test)]
mod tests;
