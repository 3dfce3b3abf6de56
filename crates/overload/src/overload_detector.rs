//! Detects the overload of a node itself, by how long its input waits and how full its tables are.
//!
//! In each iteration of its event loop the host records how long the input has waited and how full
//! its tables are. A long mean wait decreases the admitted rate, which increases again while the
//! node keeps up. Rejections follow the same shedding order as for services, so that an overloaded
//! node rejects the lowest tiers first, before the work that it has accepted is late.

use crate::priority::{BANDS, threshold};
use crate::{EVALUATION_INTERVAL, Micros};

const MS: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// The node is overloaded while the mean wait of its input within one evaluation interval exceeds
/// this.
const OVERLOAD_WAIT: Micros = 20 * MS;
/// The node keeps up while the mean wait is below this.
const LOW_WAIT: Micros = 8 * MS;
/// The rate is decreased after this many overloaded intervals in a row: a single one may be due to
/// one large update, or to a processor that was busy with other programs.
const MIN_OVERLOADED_INTERVALS: u32 = 2;
/// The effect of a decrease shows after this time. The rate is not decreased again earlier, nor
/// while the wait shrinks by more than a quarter per interval.
const DECREASE_INTERVAL: Micros = 2 * EVALUATION_INTERVAL;
/// Duration of an iteration, in microseconds, beyond which the share of requests admitted in it is
/// reduced. Iterations that each process the input of the one before grow faster than a mean can
/// show. After a late iteration, one that would exceed this duration at the present growth admits
/// proportionally less at once.
const MAX_ITERATION_US: f64 = 100e3;
/// Largest growth from one iteration to the next that is expected.
const MAX_GROWTH: f64 = 4.0;
/// Decrease of the rate for each multiple of [`OVERLOAD_WAIT`] by which the mean wait exceeds it.
const DECREASE_PER_MULTIPLE: f64 = 0.08;
/// Smallest and largest decrease of the rate, as a share of it.
const DECREASE_BOUNDS: (f64, f64) = (0.04, 0.35);
/// Increase of the rate per interval while most of it is used: with a wait near [`LOW_WAIT`], and
/// with hardly any wait.
const INCREASE_FACTORS: (f64, f64) = (0.02, 0.06);
/// The rate is increased only while at least this share of it is used.
const USED_SHARE: f64 = 0.8;
/// At least this share of the offered load is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// The rate is no longer limited after this time without overload, once more than the offered load
/// would be admitted.
const RECOVERY_DURATION: Micros = 2_000 * MS;
/// Time constant of the averages, in microseconds.
const AVERAGE_TIME_CONSTANT_US: f64 = 0.4e6;
/// The admitted share falls linearly once the fill level exceeds this.
const SHEDDING_FILL_LEVEL: f64 = 0.8;

/// Measures the load of one node and decides how much of it is admitted.
#[derive(Clone, Debug, Default)]
pub struct OverloadDetector {
    last_evaluated_at: Option<Micros>,
    /// Requests received in this interval, by priority band.
    received: [u32; BANDS],
    /// Requests admitted in this interval.
    admitted: u32,
    /// Number of items that were read in this interval.
    item_count: u64,
    /// Sum of the time that these items waited.
    total_wait: Micros,
    /// Average offered requests per second, by priority band.
    offered_rates: [f64; BANDS],
    /// Average admitted requests per second.
    average_admitted_rate: f64,
    /// Number of overloaded intervals in a row.
    overloaded_intervals: u32,
    last_overloaded_at: Option<Micros>,
    /// Limit of the admitted requests per second; `None` admits all.
    rate_limit: Option<f64>,
    fill_level: f64,
    /// How long the input of the latest iteration waited.
    last_wait: Micros,
    /// The share of requests admitted in this iteration, if less than all.
    iteration_share: Option<f64>,
    /// Time of the last decrease, and the mean wait in the latest overloaded interval.
    last_decrease: Option<(Micros, Micros)>,
    /// Since when requests have been rejected.
    shedding_started_at: Option<Micros>,
}

impl OverloadDetector {
    /// Records that this iteration reads `count` items that have waited for `wait`.
    pub fn record_intake(&mut self, count: usize, wait: Micros) {
        // An iteration that admitted less was shorter because of it.
        let admitted_share = self.iteration_share.unwrap_or(1.0);
        let growth =
            (wait as f64 / self.last_wait.max(1) as f64 / admitted_share).clamp(1.0, MAX_GROWTH);
        let expected_us = if self.last_wait > OVERLOAD_WAIT {
            wait as f64 * growth
        } else {
            0.0
        };
        self.iteration_share = (expected_us > MAX_ITERATION_US)
            .then(|| (MAX_ITERATION_US / expected_us).max(MIN_ADMITTED_SHARE));
        self.last_wait = wait;
        self.item_count += count as u64;
        self.total_wait += wait.max(0) * count as Micros;
    }

    /// Sets the fill level of the scarcest resource (connections, bytes, descriptors); 1 is full.
    pub fn set_fill_level(&mut self, fill_level: f64) {
        self.fill_level = fill_level;
    }

    /// Counts a request.
    pub fn record_request(&mut self, band: usize, is_admitted: bool) {
        self.received[band] += 1;
        self.admitted += u32::from(is_admitted);
    }

    /// The threshold: requests beyond this rank in the shedding order are rejected.
    pub fn threshold(&self) -> f64 {
        let offered: f64 = self.offered_rates.iter().sum();
        let shed_share = ((self.fill_level - SHEDDING_FILL_LEVEL) / (1.0 - SHEDDING_FILL_LEVEL))
            .clamp(0.0, 1.0 - MIN_ADMITTED_SHARE);
        let capacity_limit = if shed_share > 0.0 {
            offered * (1.0 - shed_share)
        } else {
            f64::MAX
        };
        let iteration_limit = self
            .iteration_share
            .map_or(f64::MAX, |share| offered * share);
        threshold(
            &self.offered_rates,
            capacity_limit
                .min(iteration_limit)
                .min(self.rate_limit.unwrap_or(f64::MAX)),
        )
    }

    /// Whether the node is so full that it should disconnect the clients that it rejects.
    pub fn is_nearly_full(&self) -> bool {
        self.fill_level > SHEDDING_FILL_LEVEL
    }

    /// Since when requests have been rejected; `None` if none are.
    pub fn shedding_started_at(&self) -> Option<Micros> {
        self.shedding_started_at
    }

    /// Evaluates the records since the last call; to be called once per [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Micros) {
        let elapsed_us = (now
            - self
                .last_evaluated_at
                .replace(now)
                .unwrap_or(now - EVALUATION_INTERVAL))
        .max(1) as f64;
        let gain = 1.0 - (-elapsed_us / AVERAGE_TIME_CONSTANT_US).exp();
        for (average, received) in self
            .offered_rates
            .iter_mut()
            .zip(std::mem::take(&mut self.received))
        {
            *average += (f64::from(received) * MICROS_PER_SECOND / elapsed_us - *average) * gain;
        }
        let admitted_rate =
            f64::from(std::mem::take(&mut self.admitted)) * MICROS_PER_SECOND / elapsed_us;
        self.average_admitted_rate += (admitted_rate - self.average_admitted_rate) * gain;
        let item_count = std::mem::take(&mut self.item_count).max(1);
        let mean_wait = std::mem::take(&mut self.total_wait) / item_count as Micros;
        self.overloaded_intervals = if mean_wait > OVERLOAD_WAIT && self.last_wait > LOW_WAIT {
            self.overloaded_intervals + 1
        } else {
            0
        };
        if mean_wait > OVERLOAD_WAIT {
            self.last_overloaded_at = Some(now);
        }
        let offered: f64 = self.offered_rates.iter().sum();
        if self.overloaded_intervals >= MIN_OVERLOADED_INTERVALS {
            if self
                .last_decrease
                .is_some_and(|(at, wait)| now - at < DECREASE_INTERVAL || mean_wait < wait * 3 / 4)
            {
                self.last_decrease = self.last_decrease.map(|(at, _)| (at, mean_wait));
                return;
            }
            self.last_decrease = Some((now, mean_wait));
            let (min_decrease, max_decrease) = DECREASE_BOUNDS;
            let decrease = ((mean_wait as f64 / OVERLOAD_WAIT as f64 - 1.0)
                * DECREASE_PER_MULTIPLE)
                .clamp(min_decrease, max_decrease);
            let current = self
                .rate_limit
                .unwrap_or(f64::MAX)
                .min(self.average_admitted_rate);
            self.rate_limit = Some((current * (1.0 - decrease)).max(offered * MIN_ADMITTED_SHARE));
        } else if let Some(rate) = self.rate_limit.filter(|_| mean_wait < LOW_WAIT) {
            let has_recovered = self
                .last_overloaded_at
                .is_none_or(|at| now - at > RECOVERY_DURATION);
            let increase = if mean_wait < LOW_WAIT / 4 {
                INCREASE_FACTORS.1
            } else {
                INCREASE_FACTORS.0
            };
            let increased = if self.average_admitted_rate >= rate * USED_SHARE {
                rate * (1.0 + increase)
            } else {
                rate
            };
            self.rate_limit = Some(increased.max(offered * MIN_ADMITTED_SHARE))
                .filter(|_| !has_recovered || offered >= rate * USED_SHARE);
        }
        let is_shedding = self.threshold() < 1.0;
        self.shedding_started_at = if is_shedding {
            self.shedding_started_at.or(Some(now))
        } else {
            None
        };
    }
}
