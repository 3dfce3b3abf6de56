//! What one limiter saw of one service since its last report.

use serde::{Deserialize, Serialize};

use crate::order::BANDS;
use crate::{Micros, STEP};

/// An answer that took more than the first share of its aim has waited, beyond the second for long.
const WAITED: (f64, f64) = (0.5, 0.7);
/// A service is reported for this long after something waited or was turned away there.
const KEPT: Micros = 4_000_000;

/// What became of a request at the service, as far as it tells of the servers' load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Answered; how long that took, and what was aimed at.
    Answered(Micros, Micros),
    /// Turned away by a server, or its connection reset: some do so when full.
    Away,
    /// No server was free to take it.
    NoRoom,
}

/// Counts of one span, as they are told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub svc: String,
    /// How long was counted.
    pub span: Micros,
    /// Requests that came, by band; only bands where some did.
    pub offered: Vec<(u8, u32)>,
    /// Those let through.
    pub sent: u32,
    /// Answers in good time.
    pub good: u32,
    /// Those of them that had waited all the same.
    pub waited: u32,
    /// Answers that had waited for long.
    pub slow: u32,
    /// Tries turned away by servers.
    pub away: u32,
    /// Requests for which no server was free.
    pub no_room: u32,
}

/// The counts of one service at one limiter.
#[derive(Clone, Debug, Default)]
pub struct Load {
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

impl Load {
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
    pub fn ended(&mut self, now: Micros, sign: Sign) {
        match sign {
            Sign::Answered(took, aim) if took as f64 <= aim as f64 * WAITED.1 => {
                self.waited += u32::from(took as f64 > aim as f64 * WAITED.0);
                return self.good += 1;
            }
            Sign::Answered(..) => self.slow += 1,
            Sign::Away => self.away += 1,
            Sign::NoRoom => self.no_room += 1,
        }
        self.strained = Some(now);
    }

    /// The counts so far, which begin anew; none where nothing has waited lately and nobody asks.
    pub fn report(&mut self, now: Micros, svc: &str, asked: bool) -> Option<Report> {
        let known = std::mem::replace(
            self,
            Load {
                since: now,
                strained: self.strained,
                ..Load::default()
            },
        );
        let lately = known.strained.is_some_and(|at| now - at < KEPT);
        let offered = known
            .offered
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        (asked || lately).then(|| Report {
            svc: svc.to_string(),
            span: (now - known.since).clamp(1, 2 * STEP),
            offered: offered.map(|(band, count)| (band as u8, *count)).collect(),
            sent: known.sent,
            good: known.good,
            waited: known.waited,
            slow: known.slow,
            away: known.away,
            no_room: known.no_room,
        })
    }
}

#[cfg(test)]
mod tests;
