//! Determines how much of a service's load is admitted, from the summed reports of its limiters.
//!
//! The admitted rate decreases with the share of attempts that waited or were rejected, but not
//! below what the servers answer in time, and increases in small steps while nothing waits. The
//! threshold in the priority order is computed anew at each evaluation from the offered load, so
//! that a surge is met at once and not only by the next decrease.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::LoadReport;
use crate::priority::{self, BANDS};
use crate::{EVALUATION_INTERVAL, Micros, REPORT_LIFETIME};

const SECOND: f64 = 1e6;
/// Share of attempts that waited or were rejected: above the first the service is overloaded, below
/// the second it has spare capacity.
const OVERLOAD_SHARE: f64 = 0.22;
const SPARE_SHARE: f64 = 0.15;
/// With few attempts a large share can be chance: it must exceed this many standard deviations.
const SIGNIFICANCE: f64 = 3.5;
/// Bounds of one decrease, which grows with the excess of the share; and the least time between
/// two, within which servers show the effect of the first.
const DECREASE_FACTORS: (f64, f64) = (0.04, 0.25);
const DECREASE_INTERVAL: Micros = 1_400_000;
/// Bounds of one increase per step, while nearly all of the admitted rate is used: the first at the
/// edge of [`SPARE_SHARE`], the second more where nothing waits, and in full only this long after a
/// decrease, since the capacity seen then is near. The quick increase applies while next to nothing
/// waits at all, or below this share of the sustained rate, which is forgotten with this time
/// constant.
const INCREASE_FACTORS: (f64, f64) = (0.005, 0.06);
const INCREASE_FULL_AFTER: f64 = 8e6;
const IDLE_SHARE: f64 = 0.03;
const QUICK_INCREASE_FACTOR: f64 = 0.15;
const SUSTAINED_SHARE: f64 = 0.9;
const SUSTAINED_TIME_CONSTANT: f64 = 20e6;
const USED_SHARE: f64 = 0.85;
/// At least this share of what servers answer in time is admitted.
const MIN_IN_TIME_SHARE: f64 = 0.9;
/// Where limiters find no free server, this multiple of the answered rate is admitted: limiters
/// discover capacity only by sending.
const PROBING_FACTOR: f64 = 1.15;
/// The rate approaches that multiple by this factor per step: after a start limiters learn fast.
const PROBING_DECAY: f64 = 0.95;
/// At least this share of the offered load is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Time constant of the averages over reports, in microseconds.
const REPORT_TIME_CONSTANT: f64 = 0.35e6;
/// The first report makes all limiters report; the controller decides after observing for this
/// long.
const OBSERVATION_DURATION: Micros = 3 * EVALUATION_INTERVAL;
/// During this time after the start some limiters may not have reported yet.
const STARTUP_DURATION: Micros = 4_000_000;
/// Without overload for this long, and with more admitted than offered, there is no level any more.
const CALM_DURATION: Micros = 5_000_000;

/// The level that a replica sends to its limiters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// The service.
    pub service: String,
    /// Requests beyond this position in the priority order are rejected.
    pub threshold: f64,
    /// Requests a second that all limiters together admit; `None` admits all, and limiters only
    /// report.
    pub admitted_rate: Option<f64>,
    /// Number of limiters that reported.
    pub limiter_count: u32,
}

/// The summed load at one replica, for the other replicas that share the servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Offered requests a second, by band; only bands with any.
    pub offered: Vec<(u8, f32)>,
    /// Admitted requests a second.
    pub admitted: f32,
    /// Outcomes a second: answered in time, answered slowly, rejected, without a free server, and
    /// of those answered in time the ones that waited.
    pub outcomes: [f32; 5],
    /// Number of limiters in these sums.
    pub limiter_count: u32,
    /// The admitted rate as this replica decides it (`Some(None)`: all); `None` while it has not
    /// observed long enough.
    pub decided_rate: Option<Option<f32>>,
}

/// Sums over limiters, in requests a second.
#[derive(Clone, Debug)]
struct LoadSum {
    offered: [f64; BANDS],
    admitted: f64,
    /// Answered in time, answered slowly, rejected, without a free server, and of those answered in
    /// time the ones that waited.
    outcomes: [f64; 5],
    limiter_count: u32,
}

impl LoadSum {
    const NOTHING: LoadSum = LoadSum {
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
        pairs.for_each(|(own, other)| *own += other);
        (self.admitted, self.limiter_count) = (
            self.admitted + other.admitted,
            self.limiter_count + other.limiter_count,
        );
    }

    fn of(report: &LoadReport) -> LoadSum {
        let per_second = |count: u32| f64::from(count) * SECOND / report.interval.max(1) as f64;
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

    fn shared(share: &ReplicaLoad) -> LoadSum {
        let mut offered = [0.0; BANDS];
        for (band, rate) in &share.offered {
            offered[usize::from(*band).min(BANDS - 1)] += f64::from(*rate);
        }
        LoadSum {
            offered,
            admitted: share.admitted.into(),
            outcomes: share.outcomes.map(f64::from),
            limiter_count: share.limiter_count,
        }
    }

    /// Moves the averages towards `other` by `gain`.
    fn approach(&mut self, other: &LoadSum, gain: f64) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.outcomes.iter_mut().zip(&other.outcomes));
        pairs.for_each(|(own, other)| *own += (other - *own) * gain);
        self.admitted += (other.admitted - self.admitted) * gain;
        self.limiter_count = other.limiter_count;
    }
}

/// Whether a share of this many outcomes shows overload and can't be chance.
fn exceeds_chance(share: f64, outcomes: f64) -> bool {
    share > OVERLOAD_SHARE + SIGNIFICANCE * (OVERLOAD_SHARE / outcomes).sqrt()
}

/// Controls the admission of one service at one replica.
///
/// Replicas that share servers exchange their sums. All compute the threshold from the same sums,
/// and from the rate of the replica with the lowest number that has observed long enough.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    replica: u64,
    /// The latest report of each limiter, and when it arrived.
    reports: BTreeMap<u64, (LoadSum, Micros)>,
    /// The latest sums of other replicas that share the servers, and when they arrived.
    peer_shares: BTreeMap<u64, (ReplicaLoad, Micros)>,
    averages: LoadSum,
    observed_since: Option<Micros>,
    last_evaluated_at: Micros,
    /// Requests a second that are admitted; `None` admits all.
    admitted_rate: Option<f64>,
    /// The highest recent rate that servers answered in time.
    sustained_rate: f64,
    last_decrease_at: Option<Micros>,
    /// Since when the rate has been at the servers' capacity.
    at_capacity_since: Option<Micros>,
    /// The share of attempts that waited or were rejected, as of the last overload.
    wait_share: f64,
    last_overloaded_at: Option<Micros>,
    /// Upper bound of the rate, independent of the servers.
    max_rate: Option<f64>,
}

impl AdmissionController {
    /// A controller without any reports, at the replica of this number.
    pub fn new(replica: u64) -> AdmissionController {
        AdmissionController {
            replica,
            reports: BTreeMap::new(),
            peer_shares: BTreeMap::new(),
            averages: LoadSum::NOTHING,
            observed_since: None,
            last_evaluated_at: 0,
            admitted_rate: None,
            sustained_rate: 0.0,
            last_decrease_at: None,
            at_capacity_since: None,
            wait_share: 0.0,
            last_overloaded_at: None,
            max_rate: None,
        }
    }

    /// Handles a limiter's report.
    pub fn handle_report(&mut self, now: Micros, limiter: u64, report: &LoadReport) {
        self.reports.insert(limiter, (LoadSum::of(report), now));
    }

    /// A limiter reports to another replica from now on, or is gone.
    pub fn remove_limiter(&mut self, limiter: u64) {
        self.reports.remove(&limiter);
    }

    /// Handles the sums of another replica that shares the servers.
    pub fn handle_peer_load(&mut self, now: Micros, replica: u64, share: ReplicaLoad) {
        self.peer_shares.insert(replica, (share, now));
    }

    fn local_sum(&self, now: Micros) -> LoadSum {
        let mut sum = LoadSum::NOTHING;
        let fresh = self
            .reports
            .values()
            .filter(|(_, at)| now - at < REPORT_LIFETIME);
        fresh.for_each(|(report, _)| sum.add(report));
        sum
    }

    /// The sums of this replica's own limiters and its decision, for the other replicas; `None`
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
        self.observed_since
            .is_some_and(|since| now - since >= OBSERVATION_DURATION)
    }

    /// Sets an upper bound of the rate, in requests a second.
    pub fn set_max_rate(&mut self, most: Option<f64>) {
        self.max_rate = most;
    }

    /// The admitted rate, if it is limited.
    pub fn admitted_rate(&self) -> Option<f64> {
        self.admitted_rate
    }

    /// Whether nothing has been reported for the service lately.
    pub fn is_idle(&self, now: Micros) -> bool {
        let has_reports = self
            .reports
            .values()
            .any(|(_, at)| now - at < REPORT_LIFETIME);
        !has_reports
            && self
                .peer_shares
                .values()
                .all(|(_, at)| now - at >= REPORT_LIFETIME)
    }

    /// Evaluates the reports; due once a [`EVALUATION_INTERVAL`].
    pub fn evaluate(&mut self, now: Micros) {
        let elapsed = (now - std::mem::replace(&mut self.last_evaluated_at, now)) as f64;
        self.observed_since.get_or_insert(now);
        self.drop_expired(now);
        self.update_averages(now, elapsed);
        self.decide(now, elapsed);
        if let Some(most) = self.max_rate {
            self.admitted_rate = Some(self.admitted_rate.unwrap_or(most).min(most));
        }
    }

    fn drop_expired(&mut self, now: Micros) {
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
        self.peer_shares
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
    }

    fn update_averages(&mut self, now: Micros, elapsed: f64) {
        let mut sum = self.local_sum(now);
        self.peer_shares
            .values()
            .for_each(|(share, _)| sum.add(&LoadSum::shared(share)));
        // While some limiters have only begun to report, the averages do not cover all of them.
        let gain = if self.has_observed_enough(now) {
            1.0 - (-elapsed / REPORT_TIME_CONSTANT).exp()
        } else {
            1.0
        };
        let limiters_before = f64::from(self.averages.limiter_count.max(1));
        self.averages.approach(&sum, gain);
        // After a joint start limiters report one after the other: a decision from the first
        // reports does not hold for all of them.
        let growth = f64::from(self.averages.limiter_count) / limiters_before;
        if growth > 1.0 && self.is_starting(now) {
            self.admitted_rate = self.admitted_rate.map(|rate| rate * growth);
            (self.last_decrease_at, self.at_capacity_since) = (None, None);
        }
    }

    fn is_starting(&self, now: Micros) -> bool {
        self.observed_since
            .is_some_and(|since| now - since < STARTUP_DURATION)
    }

    fn decide(&mut self, now: Micros, elapsed: f64) {
        let [in_time, slow, rejected, no_server, waited] = self.averages.outcomes;
        self.sustained_rate =
            (self.sustained_rate * (-elapsed / SUSTAINED_TIME_CONSTANT).exp()).max(in_time);
        let outcomes = (in_time + slow + rejected).max(1e-9);
        let share = (slow + rejected) / outcomes;
        let overloaded = exceeds_chance(share, outcomes);
        let out_of_servers = exceeds_chance(no_server / outcomes, outcomes);
        if overloaded || out_of_servers {
            self.last_overloaded_at = Some(now);
        }
        if let Some(rate) = self.rate_of_peer(now) {
            self.admitted_rate = rate;
            return;
        }
        if !self.has_observed_enough(now) {
            return;
        }
        if overloaded {
            self.decrease(now, share, in_time, in_time + slow);
        } else if out_of_servers {
            // Limiters run out of free servers before any server is full: they have to admit what
            // they can place. After a start they all assume little capacity and learn fast.
            if !self.is_starting(now) {
                self.approach_probing_rate(in_time + slow);
            }
        } else if share < SPARE_SHARE {
            self.increase(now, share, share + waited / outcomes);
        }
    }

    /// The decision of the first peer that has one, where that peer's counts and not this replica's.
    fn rate_of_peer(&self, now: Micros) -> Option<Option<f64>> {
        let (peer, decision) = self
            .peer_shares
            .iter()
            .find_map(|(peer, (share, _))| Some((*peer, share.decided_rate?)))?;
        (peer < self.replica || !self.has_observed_enough(now)).then_some(decision.map(f64::from))
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

    fn decrease(&mut self, now: Micros, share: f64, in_time: f64, answered: f64) {
        let before = std::mem::replace(&mut self.wait_share, share);
        // Servers work off their queues first: until then their outcomes show the old rate.
        if self
            .last_decrease_at
            .is_some_and(|at| now - at < DECREASE_INTERVAL || share < before)
        {
            return;
        }
        (self.last_decrease_at, self.at_capacity_since) = (Some(now), Some(now));
        // Under overload servers are busy all the time: the rate that they answer is their
        // capacity.
        let (sent, capacity) = (
            self.averages.admitted,
            answered.max(in_time * MIN_IN_TIME_SHARE),
        );
        let held = self
            .admitted_rate
            .unwrap_or(sent)
            .min(capacity.max(self.sustained_rate * SUSTAINED_SHARE * MIN_IN_TIME_SHARE));
        let (least, most) = DECREASE_FACTORS;
        let cut = held * (1.0 - (share - OVERLOAD_SHARE).clamp(least, most));
        self.admitted_rate = Some(cut.max(in_time * MIN_IN_TIME_SHARE).max(self.min_rate()));
    }

    /// Some requests are always admitted: their outcomes show when the servers have recovered.
    fn min_rate(&self) -> f64 {
        self.averages.offered.iter().sum::<f64>() * MIN_ADMITTED_SHARE
    }

    fn increase(&mut self, now: Micros, share: f64, waiting: f64) {
        let Some(rate) = self.admitted_rate else {
            return;
        };
        let offered: f64 = self.averages.offered.iter().sum();
        if self.averages.admitted >= rate * USED_SHARE {
            let (least, more) = INCREASE_FACTORS;
            let since = self
                .at_capacity_since
                .map_or(1.0, |at| ((now - at) as f64 / INCREASE_FULL_AFTER).min(1.0));
            let slow = (least + more * since.powi(2)) * (1.0 - share / SPARE_SHARE);
            let idle = rate < self.sustained_rate * SUSTAINED_SHARE || waiting < IDLE_SHARE;
            let by = if idle { QUICK_INCREASE_FACTOR } else { slow };
            self.admitted_rate = Some((rate * (1.0 + by)).max(self.min_rate()));
        }
        if self.is_calm(now) && offered < rate * USED_SHARE {
            self.admitted_rate = None;
        }
    }

    fn is_calm(&self, now: Micros) -> bool {
        self.last_overloaded_at
            .is_none_or(|at| now - at > CALM_DURATION)
    }

    /// The level for the limiters; `None` where all is admitted and no reports are needed.
    pub fn level(&self, svc: &str) -> Option<AdmissionLevel> {
        let is_needed = self.admitted_rate.is_some()
            || !self.is_calm(self.last_evaluated_at)
            || self.averages.limiter_count > 0 && !self.is_settled();
        let threshold = self.admitted_rate.map_or(1.0, |rate| {
            priority::threshold(&self.averages.offered, rate)
        });
        is_needed.then(|| AdmissionLevel {
            service: svc.to_string(),
            threshold,
            admitted_rate: self.admitted_rate,
            limiter_count: self.averages.limiter_count,
        })
    }

    /// Whether all limiters were heard and no overload followed.
    fn is_settled(&self) -> bool {
        self.observed_since
            .is_some_and(|since| self.last_evaluated_at - since > CALM_DURATION)
    }
}
