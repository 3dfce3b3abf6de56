//! How much of a service's load is let through: judged from the sum of what its limiters saw.
//!
//! The rate that is let through falls with the share of tries that waited or were turned away, by no more than servers
//! do in good time, and rises in small steps while nothing waits. The border in the order of requests is drawn anew at
//! each look by what is offered, so that a surge is met at once and not by the next fall.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::LoadReport;
use crate::priority::{BANDS, threshold};
use crate::{Micros, REPORT_LIFETIME, STEP};

const SECOND: f64 = 1e6;
/// Share of tries that waited or were turned away: above the first there is too much, below the second there is room.
const OVERLOAD_SHARES: f64 = 0.22;
const ROOM: f64 = 0.15;
/// Chance alone makes a share of few tries large: so many times its spread it must lie above.
const SIGNIFICANCE: f64 = 3.5;
/// A fall is by as much as the share lies above, within these; and no sooner after another than servers show it.
const DECREASE_FACTORS: (f64, f64) = (0.04, 0.25);
const DECREASE_INTERVAL: Micros = 1_400_000;
/// A rise in one step, while nearly all that may is let through: the first where the share is at the edge of what means
/// room, so much more where it is nothing, and in full so long after a fall: near what servers bore then it is slow. A
/// quick one while next to nothing waits at all, or below this share of what they bore lately, which is forgotten with
/// this time constant.
const INCREASE_FACTORS: (f64, f64) = (0.005, 0.06);
const INCREASE_FULL_SHARE: f64 = 8e6;
const IDLE_SHARE: f64 = 0.03;
const QUICK_INCREASE_FACTOR: f64 = 0.15;
const SUSTAINED_SHARE: f64 = 0.9;
const SUSTAINED_TIME_CONSTANT: f64 = 20e6;
const USED: f64 = 0.85;
/// What servers answer in good time is let through at the least, but for this.
const PROVEN: f64 = 0.9;
/// Where limiters find no free server, so much of what is answered is let through: they learn only by pressing on.
const PRESSED: f64 = 1.15;
/// It comes down to that by so much in one step: after a start they learn fast.
const EASED: f64 = 0.95;
/// So much of what is offered is let through at the least.
const MIN_ADMITTED_SHARE: f64 = 0.1;
/// Time constant of what is taken from reports.
const REPORT_TIME_CONSTANT: f64 = 0.35e6;
/// The first report makes all tell; a home judges when it has watched for this long.
const OBSERVATION_DURATION: Micros = 3 * STEP;
/// So long it has heard of some limiters and not yet of others.
const STARTUP_DURATION: Micros = 4_000_000;
/// Without strain for this long, and more let through than is offered, there is no level any more.
const CALM_DURATION: Micros = 5_000_000;

/// What is told to limiters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// The service.
    pub svc: String,
    /// Requests beyond this place in the order are turned away.
    pub threshold: f64,
    /// Requests a second that all limiters together let through; none: all, and limiters are only to tell.
    pub rate: Option<f64>,
    /// How many limiters there are.
    pub limiters: u32,
}

/// What one home tells the others of the same servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Offered a second, by band; only bands where something was.
    pub offered: Vec<(u8, f32)>,
    /// Let through, a second.
    pub sent: f32,
    /// Answered in good time, after a long wait, turned away, without a free server, and of the first after some wait, a second.
    pub outcomes: [f32; 5],
    /// Limiters that this is of.
    pub limiters: u32,
    /// How it judges; none: it has not watched for long enough.
    pub decision: Option<Option<f32>>,
}

/// Sums over limiters, a second.
#[derive(Clone, Debug)]
struct LoadSum {
    offered: [f64; BANDS],
    sent: f64,
    /// Answered in good time, after a long wait, turned away, without a free server, and of the first after some wait.
    outcomes: [f64; 5],
    limiters: u32,
}

impl LoadSum {
    const NOTHING: LoadSum = LoadSum {
        offered: [0.0; BANDS],
        sent: 0.0,
        outcomes: [0.0; 5],
        limiters: 0,
    };

    fn add(&mut self, other: &LoadSum) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.outcomes.iter_mut().zip(&other.outcomes));
        pairs.for_each(|(own, other)| *own += other);
        (self.sent, self.limiters) = (self.sent + other.sent, self.limiters + other.limiters);
    }

    fn of(report: &LoadReport) -> LoadSum {
        let a_second = |count: u32| f64::from(count) * SECOND / report.span.max(1) as f64;
        let mut offered = [0.0; BANDS];
        for (band, count) in &report.offered {
            offered[usize::from(*band).min(BANDS - 1)] += a_second(*count);
        }
        let ends = [
            report.in_time,
            report.slow,
            report.rejected,
            report.no_server,
            report.waited,
        ]
        .map(a_second);
        LoadSum {
            offered,
            sent: a_second(report.sent),
            outcomes: ends,
            limiters: 1,
        }
    }

    fn shared(share: &LoadShare) -> LoadSum {
        let mut offered = [0.0; BANDS];
        for (band, rate) in &share.offered {
            offered[usize::from(*band).min(BANDS - 1)] += f64::from(*rate);
        }
        LoadSum {
            offered,
            sent: share.sent.into(),
            outcomes: share.outcomes.map(f64::from),
            limiters: share.limiters,
        }
    }

    /// Goes over to another by a share.
    fn approach(&mut self, other: &LoadSum, gain: f64) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.outcomes.iter_mut().zip(&other.outcomes));
        pairs.for_each(|(own, other)| *own += (other - *own) * gain);
        self.sent += (other.sent - self.sent) * gain;
        self.limiters = other.limiters;
    }
}

/// The judge of one service at one home.
///
/// Homes that share servers tell each other what they summed up. All draw the border by the same sums, and by the rate of
/// the first of them, by number, that has watched for long enough.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    replica: u64,
    /// What was last told, by limiter, and when.
    reports: BTreeMap<u64, (LoadSum, Micros)>,
    /// What other homes of the same servers told, and when.
    peer_shares: BTreeMap<u64, (LoadShare, Micros)>,
    seen: LoadSum,
    since: Option<Micros>,
    last_evaluated_at: Micros,
    /// Requests a second that are let through; none: all.
    rate: Option<f64>,
    /// What servers answered in good time, lately at most.
    sustained_rate: f64,
    last_decrease_at: Option<Micros>,
    /// When it last stood at what servers bear.
    at_capacity_since: Option<Micros>,
    /// The share of tries that waited or were turned away, as last looked at under strain.
    share: f64,
    last_overloaded_at: Option<Micros>,
    /// No more than this, whatever servers do.
    max_rate: Option<f64>,
}

impl AdmissionController {
    /// A judge that was told nothing yet, at the home of this number.
    pub fn new(home: u64) -> AdmissionController {
        AdmissionController {
            replica: home,
            reports: BTreeMap::new(),
            peer_shares: BTreeMap::new(),
            seen: LoadSum::NOTHING,
            since: None,
            last_evaluated_at: 0,
            rate: None,
            sustained_rate: 0.0,
            last_decrease_at: None,
            at_capacity_since: None,
            share: 0.0,
            last_overloaded_at: None,
            max_rate: None,
        }
    }

    /// A limiter's report.
    pub fn handle_report(&mut self, now: Micros, limiter: u64, report: &LoadReport) {
        self.reports.insert(limiter, (LoadSum::of(report), now));
    }

    /// A limiter tells another home from now on, or is gone.
    pub fn remove_limiter(&mut self, limiter: u64) {
        self.reports.remove(&limiter);
    }

    /// What another home of the same servers told.
    pub fn handle_peer_share(&mut self, now: Micros, home: u64, share: LoadShare) {
        self.peer_shares.insert(home, (share, now));
    }

    fn local_sum(&self, now: Micros) -> LoadSum {
        let mut sum = LoadSum::NOTHING;
        let fresh = self
            .reports
            .values()
            .filter(|(_, at)| now - at < REPORT_LIFETIME);
        fresh.for_each(|(told, _)| sum.add(told));
        sum
    }

    /// What this home's own limiters told lately, and how it judges, for the other homes; none without limiters.
    pub fn to_share(&self, now: Micros) -> Option<LoadShare> {
        let sum = self.local_sum(now);
        let offered = sum
            .offered
            .iter()
            .enumerate()
            .filter(|(_, rate)| **rate > 0.0);
        (sum.limiters > 0).then(|| LoadShare {
            offered: offered
                .map(|(band, rate)| (band as u8, *rate as f32))
                .collect(),
            sent: sum.sent as f32,
            outcomes: sum.outcomes.map(|rate| rate as f32),
            limiters: sum.limiters,
            decision: self
                .has_observed_enough(now)
                .then_some(self.rate.map(|rate| rate as f32)),
        })
    }

    fn has_observed_enough(&self, now: Micros) -> bool {
        self.since
            .is_some_and(|since| now - since >= OBSERVATION_DURATION)
    }

    /// No more than so much a second is let through from now on.
    pub fn limit_rate(&mut self, most: Option<f64>) {
        self.max_rate = most;
    }

    /// The rate that holds, if one does.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Nobody tells of the service.
    pub fn is_idle(&self, now: Micros) -> bool {
        let told = self
            .reports
            .values()
            .any(|(_, at)| now - at < REPORT_LIFETIME);
        !told
            && self
                .peer_shares
                .values()
                .all(|(_, at)| now - at >= REPORT_LIFETIME)
    }

    /// Looks at what was told; due once a [`STEP`].
    pub fn evaluate(&mut self, now: Micros) {
        let span = (now - std::mem::replace(&mut self.last_evaluated_at, now)) as f64;
        self.since.get_or_insert(now);
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
        self.peer_shares
            .retain(|_, (_, at)| now - *at < REPORT_LIFETIME);
        let mut sum = self.local_sum(now);
        self.peer_shares
            .values()
            .for_each(|(share, _)| sum.add(&LoadSum::shared(share)));
        // While some have only begun to tell, the past says nothing of all.
        let gain = if self.has_observed_enough(now) {
            1.0 - (-span / REPORT_TIME_CONSTANT).exp()
        } else {
            1.0
        };
        let before = f64::from(self.seen.limiters.max(1));
        self.seen.approach(&sum, gain);
        // After all have started at once they come one after the other, and what was judged of the first is not for all.
        let more = f64::from(self.seen.limiters) / before;
        if more > 1.0
            && self
                .since
                .is_some_and(|since| now - since < STARTUP_DURATION)
        {
            self.rate = self.rate.map(|rate| rate * more);
            (self.last_decrease_at, self.at_capacity_since) = (None, None);
        }
        let [good, slow, away, no_room, waited] = self.seen.outcomes;
        self.sustained_rate =
            (self.sustained_rate * (-span / SUSTAINED_TIME_CONSTANT).exp()).max(good);
        let ends = (good + slow + away).max(1e-9);
        let too_much =
            |share: f64| share > OVERLOAD_SHARES + SIGNIFICANCE * (OVERLOAD_SHARES / ends).sqrt();
        let share = (slow + away) / ends;
        let (strain, cramped) = (too_much(share), too_much(no_room / ends));
        self.last_overloaded_at = if strain || cramped {
            Some(now)
        } else {
            self.last_overloaded_at
        };
        let first = self
            .peer_shares
            .iter()
            .find_map(|(home, (told, _))| Some((*home, told.decision?)));
        match first {
            Some((home, verdict)) if home < self.replica || !self.has_observed_enough(now) => {
                self.rate = verdict.map(f64::from);
            }
            _ if !self.has_observed_enough(now) => {}
            _ if strain => self.decrease(now, share, good, good + slow),
            // Limiters find no free server before any is full: they are to let through what they can place.
            // After a start they all have little room, and learn fast.
            _ if cramped
                && self
                    .since
                    .is_some_and(|since| now - since < STARTUP_DURATION) => {}
            _ if cramped => {
                let held = self
                    .rate
                    .unwrap_or(self.seen.sent)
                    .min(self.seen.sent.max(self.sustained_rate));
                self.rate = Some(
                    ((good + slow) * PRESSED)
                        .max(held * EASED)
                        .max(self.min_rate()),
                );
            }
            _ if share < ROOM => self.increase(now, share, share + waited / ends),
            _ => {}
        }
        if let Some(most) = self.max_rate {
            self.rate = Some(self.rate.unwrap_or(most).min(most));
        }
    }

    fn decrease(&mut self, now: Micros, share: f64, good: f64, answered: f64) {
        let before = std::mem::replace(&mut self.share, share);
        // What waits at servers is worked off first: until then they look as they did.
        if self
            .last_decrease_at
            .is_some_and(|at| now - at < DECREASE_INTERVAL || share < before)
        {
            return;
        }
        (self.last_decrease_at, self.at_capacity_since) = (Some(now), Some(now));
        // Under strain servers are at work all the time: what they answer is what they bear.
        let (sent, bears) = (self.seen.sent, answered.max(good * PROVEN));
        let held = self
            .rate
            .unwrap_or(sent)
            .min(bears.max(self.sustained_rate * SUSTAINED_SHARE * PROVEN));
        let (least, most) = DECREASE_FACTORS;
        let cut = held * (1.0 - (share - OVERLOAD_SHARES).clamp(least, most));
        self.rate = Some(cut.max(good * PROVEN).max(self.min_rate()));
    }

    /// Some are always let through: by what becomes of them it is known when servers are back.
    fn min_rate(&self) -> f64 {
        self.seen.offered.iter().sum::<f64>() * MIN_ADMITTED_SHARE
    }

    fn increase(&mut self, now: Micros, share: f64, waiting: f64) {
        let Some(rate) = self.rate else { return };
        let offered: f64 = self.seen.offered.iter().sum();
        if self.seen.sent >= rate * USED {
            let (least, more) = INCREASE_FACTORS;
            let since = self
                .at_capacity_since
                .map_or(1.0, |at| ((now - at) as f64 / INCREASE_FULL_SHARE).min(1.0));
            let slow = (least + more * since.powi(2)) * (1.0 - share / ROOM);
            let idle = rate < self.sustained_rate * SUSTAINED_SHARE || waiting < IDLE_SHARE;
            let by = if idle { QUICK_INCREASE_FACTOR } else { slow };
            self.rate = Some((rate * (1.0 + by)).max(self.min_rate()));
        }
        if self.is_calm(now) && offered < rate * USED {
            self.rate = None;
        }
    }

    fn is_calm(&self, now: Micros) -> bool {
        self.last_overloaded_at
            .is_none_or(|at| now - at > CALM_DURATION)
    }

    /// What is told to limiters; none where all is let through and nobody need tell.
    pub fn level(&self, svc: &str) -> Option<AdmissionLevel> {
        let told = self.rate.is_some()
            || !self.is_calm(self.last_evaluated_at)
            || self.seen.limiters > 0 && !self.is_settled();
        let border = self
            .rate
            .map_or(1.0, |rate| threshold(&self.seen.offered, rate));
        told.then(|| AdmissionLevel {
            svc: svc.to_string(),
            threshold: border,
            rate: self.rate,
            limiters: self.seen.limiters,
        })
    }

    /// All were heard, and nothing has come of it.
    fn is_settled(&self) -> bool {
        self.since
            .is_some_and(|since| self.last_evaluated_at - since > CALM_DURATION)
    }
}
