//! Determines how much of a service's load is admitted, from the summed reports of its limiters.
//!
//! The admitted rate decreases with the share of attempts that were slow or rejected, though not
//! below what the servers answer in time, and increases in small steps while there is little
//! queueing. Each evaluation computes the threshold in the shedding order from the load offered
//! at that time, so that a surge is shed at once and not only by the next decrease of the rate.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::LoadReport;
use crate::priority::{self, BANDS};
use crate::{EVALUATION_INTERVAL, Micros, REPORT_LIFETIME};

const MICROS_PER_SECOND: f64 = 1e6;
/// The service is overloaded while more than this share of attempts are slow or rejected.
const OVERLOAD_SHARE: f64 = 0.22;
/// The service has spare capacity while less than this share of attempts are slow or rejected.
const SPARE_SHARE: f64 = 0.15;
/// With few attempts a large share may be chance: it must exceed [`OVERLOAD_SHARE`] by this many
/// standard deviations.
const SIGNIFICANCE: f64 = 3.5;
/// Smallest and largest decrease of the rate, as a share of it. A decrease grows with the excess of
/// the share of slow or rejected attempts.
const DECREASE_BOUNDS: (f64, f64) = (0.04, 0.25);
/// Shortest time between two decreases: servers show the effect of the first within it.
const DECREASE_INTERVAL: Micros = 1_400_000;
/// Increase of the rate per evaluation while most of it is used: the minimum, and what is added to
/// it over [`INCREASE_RAMP_US`]. The sum shrinks to zero as the share of slow or rejected attempts
/// approaches [`SPARE_SHARE`].
const INCREASE_FACTORS: (f64, f64) = (0.005, 0.06);
/// Time after a decrease, in microseconds, until the rate increases at full speed: until then it is
/// close to the capacity that was observed.
const INCREASE_RAMP_US: f64 = 8e6;
/// Servers have hardly any queue while less than this share of attempts are delayed, slow or
/// rejected.
const IDLE_SHARE: f64 = 0.03;
/// Increase of the rate per evaluation while servers have hardly any queue, or while the rate is
/// below [`SUSTAINED_SHARE`] of the sustained rate.
const FAST_INCREASE_FACTOR: f64 = 0.15;
/// Share of the sustained rate that servers are trusted to reach again.
const SUSTAINED_SHARE: f64 = 0.9;
/// Time constant with which the sustained rate decays, in microseconds.
const SUSTAINED_TIME_CONSTANT_US: f64 = 20e6;
/// The rate is increased only while at least this share of it is used.
const USED_SHARE: f64 = 0.85;
/// At least this share of the rate that servers answer in time is admitted.
const MIN_IN_TIME_SHARE: f64 = 0.9;
/// While limiters find no free server, this multiple of the answered rate is admitted: limiters
/// discover capacity only by sending.
const PROBING_FACTOR: f64 = 1.15;
/// Factor per evaluation by which the rate falls to that multiple. It falls slowly because limiters
/// discover capacity fast after a start.
const PROBING_DECAY: f64 = 0.95;
/// At least this share of the offered load is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Time constant of the averages over reports, in microseconds.
const AVERAGE_TIME_CONSTANT_US: f64 = 0.35e6;
/// The first report makes all limiters report. The controller observes for this long before it
/// decides.
const OBSERVATION_DURATION: Micros = 3 * EVALUATION_INTERVAL;
/// For this long after the start some limiters may not have reported yet.
const STARTUP_DURATION: Micros = 4_000_000;
/// The level is removed after this time without overload, once more than the offered load would be
/// admitted.
const RECOVERY_DURATION: Micros = 5_000_000;

/// The level that a replica sends to its limiters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// Name of the service.
    pub service: String,
    /// Requests beyond this rank in the shedding order are rejected.
    pub threshold: f64,
    /// Requests per second that all limiters together admit. With `None` they admit all requests
    /// and only report.
    pub admitted_rate: Option<f64>,
    /// Number of limiters that reported.
    pub limiter_count: u32,
}

/// The summed load at one replica, for the other replicas whose limiters use the same servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Offered requests per second by priority band; bands without any are left out.
    pub offered: Vec<(u8, f32)>,
    /// Admitted requests per second.
    pub admitted: f32,
    /// Outcomes per second: in time, slow, rejected, no free server, and delayed, which is a part
    /// of those in time.
    pub outcomes: [f32; 5],
    /// Number of limiters in these sums.
    pub limiter_count: u32,
    /// The admitted rate as this replica decides it (`Some(None)`: all requests); `None` until it
    /// has observed for long enough.
    pub decided_rate: Option<Option<f32>>,
}

/// Sums over limiters, in requests per second.
#[derive(Clone, Debug)]
struct LoadSum {
    offered: [f64; BANDS],
    admitted: f64,
    /// In time, slow, rejected, no free server, and delayed, which is a part of those in time.
    outcomes: [f64; 5],
    limiter_count: u32,
}

impl LoadSum {
    const ZERO: LoadSum = LoadSum {
        offered: [0.0; BANDS],
        admitted: 0.0,
        outcomes: [0.0; 5],
        limiter_count: 0,
    };

    fn add(&mut self, other: &LoadSum) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.outcomes.iter_mut().zip(&other.outcomes));
        pairs.for_each(|(sum, other)| *sum += other);
        (self.admitted, self.limiter_count) = (
            self.admitted + other.admitted,
            self.limiter_count + other.limiter_count,
        );
    }

    fn from_report(report: &LoadReport) -> LoadSum {
        let per_second =
            |count: u32| f64::from(count) * MICROS_PER_SECOND / report.interval.max(1) as f64;
        let mut offered = [0.0; BANDS];
        for (band, count) in &report.offered {
            offered[usize::from(*band).min(BANDS - 1)] += per_second(*count);
        }
        let outcomes = [
            report.in_time,
            report.slow,
            report.rejected,
            report.no_server,
            report.delayed,
        ]
        .map(per_second);
        LoadSum {
            offered,
            admitted: per_second(report.admitted),
            outcomes,
            limiter_count: 1,
        }
    }

    fn from_replica_load(load: &ReplicaLoad) -> LoadSum {
        let mut offered = [0.0; BANDS];
        for (band, rate) in &load.offered {
            offered[usize::from(*band).min(BANDS - 1)] += f64::from(*rate);
        }
        LoadSum {
            offered,
            admitted: load.admitted.into(),
            outcomes: load.outcomes.map(f64::from),
            limiter_count: load.limiter_count,
        }
    }

    /// Moves the averages towards `other` by `gain`.
    fn move_towards(&mut self, other: &LoadSum, gain: f64) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.outcomes.iter_mut().zip(&other.outcomes));
        pairs.for_each(|(average, other)| *average += (other - *average) * gain);
        self.admitted += (other.admitted - self.admitted) * gain;
        self.limiter_count = other.limiter_count;
    }
}

/// Whether this share of this many outcomes per second shows overload and cannot be chance.
fn is_significant_overload(share: f64, outcomes: f64) -> bool {
    share > OVERLOAD_SHARE + SIGNIFICANCE * (OVERLOAD_SHARE / outcomes).sqrt()
}

/// Controls the admission of one service at one replica.
///
/// Replicas whose limiters use the same servers exchange their sums. All of them compute the
/// threshold from the same sums and from one rate: that of the replica with the lowest number that
/// has observed for long enough.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    replica: u64,
    /// The latest report of each limiter, and when it arrived.
    reports: BTreeMap<u64, (LoadSum, Micros)>,
    /// The latest sums of the other replicas, and when they arrived.
    peer_loads: BTreeMap<u64, (ReplicaLoad, Micros)>,
    averages: LoadSum,
    observation_started_at: Option<Micros>,
    last_evaluated_at: Micros,
    /// Requests per second that are admitted; `None` admits all.
    admitted_rate: Option<f64>,
    /// The highest rate that servers answered in time; it decays with
    /// [`SUSTAINED_TIME_CONSTANT_US`].
    sustained_rate: f64,
    last_decrease_at: Option<Micros>,
    /// When the rate was last reduced to the capacity of the servers.
    capacity_reached_at: Option<Micros>,
    /// The share of attempts that were slow or rejected at the latest overloaded evaluation.
    overload_share: f64,
    last_overloaded_at: Option<Micros>,
    /// Upper bound of the rate, independent of the servers.
    max_rate: Option<f64>,
}

impl AdmissionController {
    /// Creates a controller without reports, for the replica with this number.
    pub fn new(replica: u64) -> AdmissionController {
        AdmissionController {
            replica,
            reports: BTreeMap::new(),
            peer_loads: BTreeMap::new(),
            averages: LoadSum::ZERO,
            observation_started_at: None,
            last_evaluated_at: 0,
            admitted_rate: None,
            sustained_rate: 0.0,
            last_decrease_at: None,
            capacity_reached_at: None,
            overload_share: 0.0,
            last_overloaded_at: None,
            max_rate: None,
        }
    }

    /// Handles a limiter's report.
    pub fn handle_report(&mut self, now: Micros, limiter: u64, report: &LoadReport) {
        self.reports
            .insert(limiter, (LoadSum::from_report(report), now));
    }

    /// Removes the report of a limiter that reports to another replica from now on, or is gone.
    pub fn remove_limiter(&mut self, limiter: u64) {
        self.reports.remove(&limiter);
    }

    /// Handles the sums of another replica whose limiters use the same servers.
    pub fn handle_peer_load(&mut self, now: Micros, replica: u64, load: ReplicaLoad) {
        self.peer_loads.insert(replica, (load, now));
    }

    fn local_sum(&self, now: Micros) -> LoadSum {
        let mut sum = LoadSum::ZERO;
        let valid_reports = self
            .reports
            .values()
            .filter(|(_, at)| now - at < REPORT_LIFETIME);
        valid_reports.for_each(|(report, _)| sum.add(report));
        sum
    }

    /// The sums over the limiters of this replica and its decision, for the other replicas; `None`
    /// without limiters.
    pub fn replica_load(&self, now: Micros) -> Option<ReplicaLoad> {
        let sum = self.local_sum(now);
        let offered = sum
            .offered
            .iter()
            .enumerate()
            .filter(|(_, rate)| **rate > 0.0);
        (sum.limiter_count > 0).then(|| ReplicaLoad {
            offered: offered
                .map(|(band, rate)| (band as u8, *rate as f32))
                .collect(),
            admitted: sum.admitted as f32,
            outcomes: sum.outcomes.map(|rate| rate as f32),
            limiter_count: sum.limiter_count,
            decided_rate: self
                .has_observed_enough(now)
                .then_some(self.admitted_rate.map(|rate| rate as f32)),
        })
    }

    fn has_observed_enough(&self, now: Micros) -> bool {
        self.observation_started_at
            .is_some_and(|at| now - at >= OBSERVATION_DURATION)
    }

    /// Sets an upper bound of the rate, in requests per second.
    pub fn set_max_rate(&mut self, max_rate: Option<f64>) {
        self.max_rate = max_rate;
    }

    /// The admitted rate in requests per second, if it is limited.
    pub fn admitted_rate(&self) -> Option<f64> {
        self.admitted_rate
    }

    /// Whether there is no valid report for the service, from limiters or other replicas.
    pub fn is_idle(&self, now: Micros) -> bool {
        let has_reports = self
            .reports
            .values()
            .any(|(_, at)| now - at < REPORT_LIFETIME);
        !has_reports
            && self
                .peer_loads
                .values()
                .all(|(_, at)| now - at >= REPORT_LIFETIME)
    }

    /// Evaluates the reports; to be called once per [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Micros) {
        let elapsed_us = (now - std::mem::replace(&mut self.last_evaluated_at, now)) as f64;
        self.observation_started_at.get_or_insert(now);
        self.remove_expired(now);
        self.update_averages(now, elapsed_us);
        self.update_rate(now, elapsed_us);
        if let Some(max_rate) = self.max_rate {
            self.admitted_rate = Some(self.admitted_rate.unwrap_or(max_rate).min(max_rate));
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
        self.peer_loads
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
    }

    fn update_averages(&mut self, now: Micros, elapsed_us: f64) {
        let mut sum = self.local_sum(now);
        self.peer_loads
            .values()
            .for_each(|(load, _)| sum.add(&LoadSum::from_replica_load(load)));
        // Until all limiters report, the averages do not cover all of them: they follow the latest
        // sums without delay.
        let gain = if self.has_observed_enough(now) {
            1.0 - (-elapsed_us / AVERAGE_TIME_CONSTANT_US).exp()
        } else {
            1.0
        };
        let previous_limiter_count = f64::from(self.averages.limiter_count.max(1));
        self.averages.move_towards(&sum, gain);
        // Limiters that start together report one after the other: a rate decided from the first
        // reports does not hold for all of them, and grows with their number.
        let growth = f64::from(self.averages.limiter_count) / previous_limiter_count;
        if growth > 1.0 && self.is_starting(now) {
            self.admitted_rate = self.admitted_rate.map(|rate| rate * growth);
            (self.last_decrease_at, self.capacity_reached_at) = (None, None);
        }
    }

    fn is_starting(&self, now: Micros) -> bool {
        self.observation_started_at
            .is_some_and(|at| now - at < STARTUP_DURATION)
    }

    fn update_rate(&mut self, now: Micros, elapsed_us: f64) {
        let [in_time, slow, rejected, no_server, delayed] = self.averages.outcomes;
        self.sustained_rate =
            (self.sustained_rate * (-elapsed_us / SUSTAINED_TIME_CONSTANT_US).exp()).max(in_time);
        let outcomes = (in_time + slow + rejected).max(1e-9);
        let overload_share = (slow + rejected) / outcomes;
        let is_overloaded = is_significant_overload(overload_share, outcomes);
        let is_out_of_servers = is_significant_overload(no_server / outcomes, outcomes);
        if is_overloaded || is_out_of_servers {
            self.last_overloaded_at = Some(now);
        }
        if let Some(rate) = self.peer_rate(now) {
            self.admitted_rate = rate;
            return;
        }
        if !self.has_observed_enough(now) {
            return;
        }
        if is_overloaded {
            self.decrease_rate(now, overload_share, in_time, in_time + slow);
        } else if is_out_of_servers {
            // Limiters run out of free servers before any server is full: they are to admit what
            // they can place. After a start they all assume little capacity and discover it fast.
            if !self.is_starting(now) {
                self.approach_probing_rate(in_time + slow);
            }
        } else if overload_share < SPARE_SHARE {
            self.increase_rate(now, overload_share, overload_share + delayed / outcomes);
        }
    }

    /// The rate decided by the replica with the lowest number that has decided, if this replica has
    /// to follow it.
    fn peer_rate(&self, now: Micros) -> Option<Option<f64>> {
        let (peer, rate) = self
            .peer_loads
            .iter()
            .find_map(|(peer, (load, _))| Some((*peer, load.decided_rate?)))?;
        (peer < self.replica || !self.has_observed_enough(now)).then_some(rate.map(f64::from))
    }

    fn approach_probing_rate(&mut self, answered: f64) {
        let current = self
            .admitted_rate
            .unwrap_or(self.averages.admitted)
            .min(self.averages.admitted.max(self.sustained_rate));
        self.admitted_rate = Some(
            (answered * PROBING_FACTOR)
                .max(current * PROBING_DECAY)
                .max(self.min_rate()),
        );
    }

    fn decrease_rate(&mut self, now: Micros, overload_share: f64, in_time: f64, answered: f64) {
        let previous_share = std::mem::replace(&mut self.overload_share, overload_share);
        // Servers process their queues first: until then their outcomes reflect the old rate.
        if self
            .last_decrease_at
            .is_some_and(|at| now - at < DECREASE_INTERVAL || overload_share < previous_share)
        {
            return;
        }
        (self.last_decrease_at, self.capacity_reached_at) = (Some(now), Some(now));
        // Overloaded servers are busy all the time: the rate that they answer is their capacity.
        let (admitted, capacity) = (
            self.averages.admitted,
            answered.max(in_time * MIN_IN_TIME_SHARE),
        );
        let current = self
            .admitted_rate
            .unwrap_or(admitted)
            .min(capacity.max(self.sustained_rate * SUSTAINED_SHARE * MIN_IN_TIME_SHARE));
        let (min_decrease, max_decrease) = DECREASE_BOUNDS;
        let decreased =
            current * (1.0 - (overload_share - OVERLOAD_SHARE).clamp(min_decrease, max_decrease));
        self.admitted_rate = Some(
            decreased
                .max(in_time * MIN_IN_TIME_SHARE)
                .max(self.min_rate()),
        );
    }

    /// Some requests are always admitted: their outcomes show when the servers have recovered.
    fn min_rate(&self) -> f64 {
        self.averages.offered.iter().sum::<f64>() * MIN_ADMITTED_SHARE
    }

    /// `queueing_share`: the share of attempts that were delayed, slow or rejected.
    fn increase_rate(&mut self, now: Micros, overload_share: f64, queueing_share: f64) {
        let Some(rate) = self.admitted_rate else {
            return;
        };
        let offered: f64 = self.averages.offered.iter().sum();
        if self.averages.admitted >= rate * USED_SHARE {
            let (min_increase, additional_increase) = INCREASE_FACTORS;
            let ramp = self
                .capacity_reached_at
                .map_or(1.0, |at| ((now - at) as f64 / INCREASE_RAMP_US).min(1.0));
            let normal_increase = (min_increase + additional_increase * ramp.powi(2))
                * (1.0 - overload_share / SPARE_SHARE);
            let is_fast =
                rate < self.sustained_rate * SUSTAINED_SHARE || queueing_share < IDLE_SHARE;
            let increase = if is_fast {
                FAST_INCREASE_FACTOR
            } else {
                normal_increase
            };
            self.admitted_rate = Some((rate * (1.0 + increase)).max(self.min_rate()));
        }
        if self.has_recovered(now) && offered < rate * USED_SHARE {
            self.admitted_rate = None;
        }
    }

    fn has_recovered(&self, now: Micros) -> bool {
        self.last_overloaded_at
            .is_none_or(|at| now - at > RECOVERY_DURATION)
    }

    /// The level for the limiters; `None` when all requests are admitted and no reports are needed.
    pub fn level(&self, service: &str) -> Option<AdmissionLevel> {
        let is_needed = self.admitted_rate.is_some()
            || !self.has_recovered(self.last_evaluated_at)
            || self.averages.limiter_count > 0 && !self.is_settled();
        let threshold = self.admitted_rate.map_or(1.0, |rate| {
            priority::threshold(&self.averages.offered, rate)
        });
        is_needed.then(|| AdmissionLevel {
            service: service.to_string(),
            threshold,
            admitted_rate: self.admitted_rate,
            limiter_count: self.averages.limiter_count,
        })
    }

    /// Whether the observation has lasted so long that all limiters have reported.
    fn is_settled(&self) -> bool {
        self.observation_started_at
            .is_some_and(|at| self.last_evaluated_at - at > RECOVERY_DURATION)
    }
}
