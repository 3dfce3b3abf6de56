//! Detects the overload of a node itself: how long its input waits, and how full its tables are.
//!
//! After each turn of its loop the host records how long the input had waited, and how full it is.
//! A high mean wait decreases the admitted rate, which increases again while the node keeps up.
//! Rejections follow the priority order as they do for services, so that an overloaded node rejects
//! the lowest tiers first, and before the work it has accepted is late.

use crate::priority::{BANDS, threshold};
use crate::{EVALUATION_INTERVAL, Micros};

const MS: Micros = 1_000;
const SECOND: f64 = 1e6;
/// Mean wait of the input in one step: above the first the node is late, below the second it keeps
/// up.
const LATE_WAIT: Micros = 20 * MS;
const EASY_WAIT: Micros = 8 * MS;
/// A single late step may be one large update, or a processor that was elsewhere.
const LATE_STEPS: u32 = 2;
/// The effect of a decrease shows after this time; while the wait shrinks there is no other
/// decrease.
const DECREASE_INTERVAL: Micros = 2 * EVALUATION_INTERVAL;
/// Turns that each work off the input of the turn before grow faster than a mean can show. A turn
/// that follows a late one and that, at the present growth, would exceed this time in microseconds
/// admits proportionally less at once.
const MAX_TURN_MICROS: f64 = 100e3;
const MAX_GROWTH: f64 = 4.0;
/// A decrease is this much for each multiple of the limit by which the mean wait exceeds it, within
/// these bounds.
const DECREASE_PER_MULTIPLE: f64 = 0.08;
const DECREASE_FACTORS: (f64, f64) = (0.04, 0.35);
/// Increase per step while most of the admitted rate is used: near capacity, and while next to
/// nothing waits.
const INCREASE_FACTORS: (f64, f64) = (0.02, 0.06);
const USED_SHARE: f64 = 0.8;
/// At least this share of the offered load is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// After keeping up for this long, and with more admitted than offered, there is no limit any more.
const CALM_DURATION: Micros = 2_000 * MS;
/// Time constant of the averages, in microseconds.
const TIME_CONSTANT: f64 = 0.4e6;
/// From this fill level on, less and less is admitted.
const FULL_FROM: f64 = 0.8;

/// The load of one node.
#[derive(Clone, Debug, Default)]
pub struct OverloadDetector {
    last_evaluated_at: Option<Micros>,
    received: [u32; BANDS],
    sent: u32,
    /// Items taken in during this step, and the sum of their waits.
    taken: u64,
    waited: Micros,
    /// Offered requests a second by band, and admitted ones.
    offered: [f64; BANDS],
    admitted: f64,
    late_steps: u32,
    /// When the node was last late.
    last_late_at: Option<Micros>,
    /// Requests a second that are admitted; `None` admits all.
    rate: Option<f64>,
    fill: f64,
    /// How long the last input had waited.
    last_wait: Micros,
    /// The share admitted in this turn, if less than all.
    turn_share: Option<f64>,
    /// Time of the last decrease, and the mean wait that caused it.
    last_decrease: Option<(Micros, Micros)>,
    /// Since when requests have been rejected.
    shedding_started_at: Option<Micros>,
}

impl OverloadDetector {
    /// Records that this turn takes in `count` items that have waited for `waited`.
    pub fn record_intake(&mut self, count: usize, waited: Micros) {
        // A turn that admitted less was shorter because of it.
        let kept = self.turn_share.unwrap_or(1.0);
        let growth = (waited as f64 / self.last_wait.max(1) as f64 / kept).clamp(1.0, MAX_GROWTH);
        let expected = if self.last_wait > LATE_WAIT {
            waited as f64 * growth
        } else {
            0.0
        };
        self.turn_share = (expected > MAX_TURN_MICROS)
            .then(|| (MAX_TURN_MICROS / expected).max(MIN_ADMITTED_SHARE));
        self.last_wait = waited;
        self.taken += count as u64;
        self.waited += waited.max(0) * count as Micros;
    }

    /// Sets the fill level of the scarcest resource (connections, bytes, descriptors); 1 is full.
    pub fn set_fill_level(&mut self, share: f64) {
        self.fill = share;
    }

    /// Counts a request; `sent`: it was admitted.
    pub fn record_request(&mut self, band: usize, sent: bool) {
        self.received[band] += 1;
        self.sent += u32::from(sent);
    }

    /// The threshold: requests beyond this position in the priority order are rejected.
    pub fn threshold(&self) -> f64 {
        let all: f64 = self.offered.iter().sum();
        let shortage =
            ((self.fill - FULL_FROM) / (1.0 - FULL_FROM)).clamp(0.0, 1.0 - MIN_ADMITTED_SHARE);
        let room = if shortage > 0.0 {
            all * (1.0 - shortage)
        } else {
            f64::MAX
        };
        let now = self.turn_share.map_or(f64::MAX, |kept| all * kept);
        threshold(
            &self.offered,
            room.min(now).min(self.rate.unwrap_or(f64::MAX)),
        )
    }

    /// Whether the node is so full that rejected clients should be disconnected.
    pub fn is_nearly_full(&self) -> bool {
        self.fill > FULL_FROM
    }

    /// Since when requests have been rejected; `None` if none are.
    pub fn shedding_started_at(&self) -> Option<Micros> {
        self.shedding_started_at
    }

    /// Evaluates the records; due once a [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Micros) {
        let span = (now
            - self
                .last_evaluated_at
                .replace(now)
                .unwrap_or(now - EVALUATION_INTERVAL))
        .max(1) as f64;
        let gain = 1.0 - (-span / TIME_CONSTANT).exp();
        for (offered, came) in self
            .offered
            .iter_mut()
            .zip(std::mem::take(&mut self.received))
        {
            *offered += (f64::from(came) * SECOND / span - *offered) * gain;
        }
        let admitted = f64::from(std::mem::take(&mut self.sent)) * SECOND / span;
        self.admitted += (admitted - self.admitted) * gain;
        let taken = std::mem::take(&mut self.taken).max(1);
        let mean_wait = std::mem::take(&mut self.waited) / taken as Micros;
        self.late_steps = if mean_wait > LATE_WAIT && self.last_wait > EASY_WAIT {
            self.late_steps + 1
        } else {
            0
        };
        if mean_wait > LATE_WAIT {
            self.last_late_at = Some(now);
        }
        let offered: f64 = self.offered.iter().sum();
        if self.late_steps >= LATE_STEPS {
            if self.last_decrease.is_some_and(|(at, waited)| {
                now - at < DECREASE_INTERVAL || mean_wait < waited * 3 / 4
            }) {
                self.last_decrease = self.last_decrease.map(|(at, _)| (at, mean_wait));
                return;
            }
            self.last_decrease = Some((now, mean_wait));
            let (least, most) = DECREASE_FACTORS;
            let cut = ((mean_wait as f64 / LATE_WAIT as f64 - 1.0) * DECREASE_PER_MULTIPLE)
                .clamp(least, most);
            let held = self.rate.unwrap_or(f64::MAX).min(self.admitted);
            self.rate = Some((held * (1.0 - cut)).max(offered * MIN_ADMITTED_SHARE));
        } else if let Some(rate) = self.rate.filter(|_| mean_wait < EASY_WAIT) {
            let calm = self.last_late_at.is_none_or(|at| now - at > CALM_DURATION);
            let by = if mean_wait < EASY_WAIT / 4 {
                INCREASE_FACTORS.1
            } else {
                INCREASE_FACTORS.0
            };
            let grown = if self.admitted >= rate * USED_SHARE {
                rate * (1.0 + by)
            } else {
                rate
            };
            self.rate = Some(grown.max(offered * MIN_ADMITTED_SHARE))
                .filter(|_| !calm || offered >= rate * USED_SHARE);
        }
        let rejects = self.threshold() < 1.0;
        self.shedding_started_at = if rejects {
            self.shedding_started_at.or(Some(now))
        } else {
            None
        };
    }
}
