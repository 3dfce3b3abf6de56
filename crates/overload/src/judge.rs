//! How much of a service's load is let through: judged from the sum of what its limiters saw.
//!
//! The rate that is let through falls with the share of tries that waited or were turned away, by no more than servers
//! do in good time, and rises in small steps while nothing waits. The border in the order of requests is drawn anew at
//! each look by what is offered, so that a surge is met at once and not by the next fall.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::Report;
use crate::order::{BANDS, border};
use crate::{FRESH, Micros, STEP};

const SECOND: f64 = 1e6;
/// Share of tries that waited or were turned away: above the first there is too much, below the second there is room.
const TOO_MUCH: f64 = 0.22;
const ROOM: f64 = 0.15;
/// Chance alone makes a share of few tries large: so many times its spread it must lie above.
const SURE: f64 = 3.5;
/// A fall is by as much as the share lies above, within these; and no sooner after another than servers show it.
const FALL: (f64, f64) = (0.04, 0.25);
const FALL_EVERY: Micros = 1_400_000;
/// A rise in one step, while nearly all that may is let through: the first where the share is at the edge of what means
/// room, so much more where it is nothing, and in full so long after a fall: near what servers bore then it is slow. A
/// quick one while next to nothing waits at all, or below this share of what they bore lately, which is forgotten with
/// this time constant.
const RISE: (f64, f64) = (0.005, 0.06);
const RISE_FULL: f64 = 8e6;
const IDLE: f64 = 0.03;
const RISE_QUICK: f64 = 0.15;
const BORNE: f64 = 0.9;
const BORNE_TAU: f64 = 20e6;
const USED: f64 = 0.85;
/// What servers answer in good time is let through at the least, but for this.
const PROVEN: f64 = 0.9;
/// Where limiters find no free server, so much of what is answered is let through: they learn only by pressing on.
const PRESSED: f64 = 1.15;
/// It comes down to that by so much in one step: after a start they learn fast.
const EASED: f64 = 0.95;
/// So much of what is offered is let through at the least.
const LEAST: f64 = 0.1;
/// Time constant of what is taken from reports.
const TAU: f64 = 0.35e6;
/// The first report makes all tell; a home judges when it has watched for this long.
const WATCH: Micros = 3 * STEP;
/// So long it has heard of some limiters and not yet of others.
const YOUNG: Micros = 4_000_000;
/// Without strain for this long, and more let through than is offered, there is no level any more.
const CALM: Micros = 5_000_000;

/// What is told to limiters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// The service.
    pub svc: String,
    /// Requests beyond this place in the order are turned away.
    pub border: f64,
    /// Requests a second that all limiters together let through; none: all, and limiters are only to tell.
    pub rate: Option<f64>,
    /// How many limiters there are.
    pub limiters: u32,
}

/// What one home tells the others of the same servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Offered a second, by band; only bands where something was.
    pub offered: Vec<(u8, f32)>,
    /// Let through, a second.
    pub sent: f32,
    /// Answered in good time, after a long wait, turned away, without a free server, and of the first after some wait, a second.
    pub ends: [f32; 5],
    /// Limiters that this is of.
    pub limiters: u32,
    /// How it judges; none: it has not watched for long enough.
    pub verdict: Option<Option<f32>>,
}

/// Sums over limiters, a second.
#[derive(Clone, Debug)]
struct Sum {
    offered: [f64; BANDS],
    sent: f64,
    /// Answered in good time, after a long wait, turned away, without a free server, and of the first after some wait.
    ends: [f64; 5],
    limiters: u32,
}

impl Sum {
    const NOTHING: Sum = Sum {
        offered: [0.0; BANDS],
        sent: 0.0,
        ends: [0.0; 5],
        limiters: 0,
    };

    fn add(&mut self, other: &Sum) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.ends.iter_mut().zip(&other.ends));
        pairs.for_each(|(own, other)| *own += other);
        (self.sent, self.limiters) = (self.sent + other.sent, self.limiters + other.limiters);
    }

    fn of(report: &Report) -> Sum {
        let a_second = |count: u32| f64::from(count) * SECOND / report.span.max(1) as f64;
        let mut offered = [0.0; BANDS];
        for (band, count) in &report.offered {
            offered[usize::from(*band).min(BANDS - 1)] += a_second(*count);
        }
        let ends = [
            report.good,
            report.slow,
            report.away,
            report.no_room,
            report.waited,
        ]
        .map(a_second);
        Sum {
            offered,
            sent: a_second(report.sent),
            ends,
            limiters: 1,
        }
    }

    fn shared(share: &Share) -> Sum {
        let mut offered = [0.0; BANDS];
        for (band, rate) in &share.offered {
            offered[usize::from(*band).min(BANDS - 1)] += f64::from(*rate);
        }
        Sum {
            offered,
            sent: share.sent.into(),
            ends: share.ends.map(f64::from),
            limiters: share.limiters,
        }
    }

    /// Goes over to another by a share.
    fn approach(&mut self, other: &Sum, gain: f64) {
        let pairs = self
            .offered
            .iter_mut()
            .zip(&other.offered)
            .chain(self.ends.iter_mut().zip(&other.ends));
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
pub struct Judge {
    home: u64,
    /// What was last told, by limiter, and when.
    reports: BTreeMap<u64, (Sum, Micros)>,
    /// What other homes of the same servers told, and when.
    others: BTreeMap<u64, (Share, Micros)>,
    seen: Sum,
    since: Option<Micros>,
    looked: Micros,
    /// Requests a second that are let through; none: all.
    rate: Option<f64>,
    /// What servers answered in good time, lately at most.
    borne: f64,
    fell: Option<Micros>,
    /// When it last stood at what servers bear.
    met: Option<Micros>,
    /// The share of tries that waited or were turned away, as last looked at under strain.
    share: f64,
    strained: Option<Micros>,
    /// No more than this, whatever servers do.
    most: Option<f64>,
}

impl Judge {
    /// A judge that was told nothing yet, at the home of this number.
    pub fn new(home: u64) -> Judge {
        Judge {
            home,
            reports: BTreeMap::new(),
            others: BTreeMap::new(),
            seen: Sum::NOTHING,
            since: None,
            looked: 0,
            rate: None,
            borne: 0.0,
            fell: None,
            met: None,
            share: 0.0,
            strained: None,
            most: None,
        }
    }

    /// A limiter's report.
    pub fn report(&mut self, now: Micros, limiter: u64, report: &Report) {
        self.reports.insert(limiter, (Sum::of(report), now));
    }

    /// A limiter tells another home from now on, or is gone.
    pub fn left(&mut self, limiter: u64) {
        self.reports.remove(&limiter);
    }

    /// What another home of the same servers told.
    pub fn shared(&mut self, now: Micros, home: u64, share: Share) {
        self.others.insert(home, (share, now));
    }

    fn own(&self, now: Micros) -> Sum {
        let mut sum = Sum::NOTHING;
        let fresh = self.reports.values().filter(|(_, at)| now - at < FRESH);
        fresh.for_each(|(told, _)| sum.add(told));
        sum
    }

    /// What this home's own limiters told lately, and how it judges, for the other homes; none without limiters.
    pub fn to_share(&self, now: Micros) -> Option<Share> {
        let sum = self.own(now);
        let offered = sum
            .offered
            .iter()
            .enumerate()
            .filter(|(_, rate)| **rate > 0.0);
        (sum.limiters > 0).then(|| Share {
            offered: offered
                .map(|(band, rate)| (band as u8, *rate as f32))
                .collect(),
            sent: sum.sent as f32,
            ends: sum.ends.map(|rate| rate as f32),
            limiters: sum.limiters,
            verdict: self
                .watched(now)
                .then_some(self.rate.map(|rate| rate as f32)),
        })
    }

    fn watched(&self, now: Micros) -> bool {
        self.since.is_some_and(|since| now - since >= WATCH)
    }

    /// No more than so much a second is let through from now on.
    pub fn bound(&mut self, most: Option<f64>) {
        self.most = most;
    }

    /// The rate that holds, if one does.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Nobody tells of the service.
    pub fn idle(&self, now: Micros) -> bool {
        let told = self.reports.values().any(|(_, at)| now - at < FRESH);
        !told && self.others.values().all(|(_, at)| now - at >= FRESH)
    }

    /// Looks at what was told; due once a [`STEP`].
    pub fn look(&mut self, now: Micros) {
        let span = (now - std::mem::replace(&mut self.looked, now)) as f64;
        self.since.get_or_insert(now);
        self.reports.retain(|_, (_, at)| now - *at < FRESH);
        self.others.retain(|_, (_, at)| now - *at < FRESH);
        let mut sum = self.own(now);
        self.others
            .values()
            .for_each(|(share, _)| sum.add(&Sum::shared(share)));
        // While some have only begun to tell, the past says nothing of all.
        let gain = if self.watched(now) {
            1.0 - (-span / TAU).exp()
        } else {
            1.0
        };
        let before = f64::from(self.seen.limiters.max(1));
        self.seen.approach(&sum, gain);
        // After all have started at once they come one after the other, and what was judged of the first is not for all.
        let more = f64::from(self.seen.limiters) / before;
        if more > 1.0 && self.since.is_some_and(|since| now - since < YOUNG) {
            self.rate = self.rate.map(|rate| rate * more);
            (self.fell, self.met) = (None, None);
        }
        let [good, slow, away, no_room, waited] = self.seen.ends;
        self.borne = (self.borne * (-span / BORNE_TAU).exp()).max(good);
        let ends = (good + slow + away).max(1e-9);
        let too_much = |share: f64| share > TOO_MUCH + SURE * (TOO_MUCH / ends).sqrt();
        let share = (slow + away) / ends;
        let (strain, cramped) = (too_much(share), too_much(no_room / ends));
        self.strained = if strain || cramped {
            Some(now)
        } else {
            self.strained
        };
        let first = self
            .others
            .iter()
            .find_map(|(home, (told, _))| Some((*home, told.verdict?)));
        match first {
            Some((home, verdict)) if home < self.home || !self.watched(now) => {
                self.rate = verdict.map(f64::from);
            }
            _ if !self.watched(now) => {}
            _ if strain => self.fall(now, share, good, good + slow),
            // Limiters find no free server before any is full: they are to let through what they can place.
            // After a start they all have little room, and learn fast.
            _ if cramped && self.since.is_some_and(|since| now - since < YOUNG) => {}
            _ if cramped => {
                let held = self
                    .rate
                    .unwrap_or(self.seen.sent)
                    .min(self.seen.sent.max(self.borne));
                self.rate = Some(
                    ((good + slow) * PRESSED)
                        .max(held * EASED)
                        .max(self.least()),
                );
            }
            _ if share < ROOM => self.rise(now, share, share + waited / ends),
            _ => {}
        }
        if let Some(most) = self.most {
            self.rate = Some(self.rate.unwrap_or(most).min(most));
        }
    }

    fn fall(&mut self, now: Micros, share: f64, good: f64, answered: f64) {
        let before = std::mem::replace(&mut self.share, share);
        // What waits at servers is worked off first: until then they look as they did.
        if self
            .fell
            .is_some_and(|at| now - at < FALL_EVERY || share < before)
        {
            return;
        }
        (self.fell, self.met) = (Some(now), Some(now));
        // Under strain servers are at work all the time: what they answer is what they bear.
        let (sent, bears) = (self.seen.sent, answered.max(good * PROVEN));
        let held = self
            .rate
            .unwrap_or(sent)
            .min(bears.max(self.borne * BORNE * PROVEN));
        let (least, most) = FALL;
        let cut = held * (1.0 - (share - TOO_MUCH).clamp(least, most));
        self.rate = Some(cut.max(good * PROVEN).max(self.least()));
    }

    /// Some are always let through: by what becomes of them it is known when servers are back.
    fn least(&self) -> f64 {
        self.seen.offered.iter().sum::<f64>() * LEAST
    }

    fn rise(&mut self, now: Micros, share: f64, waiting: f64) {
        let Some(rate) = self.rate else { return };
        let offered: f64 = self.seen.offered.iter().sum();
        if self.seen.sent >= rate * USED {
            let (least, more) = RISE;
            let since = self
                .met
                .map_or(1.0, |at| ((now - at) as f64 / RISE_FULL).min(1.0));
            let slow = (least + more * since.powi(2)) * (1.0 - share / ROOM);
            let idle = rate < self.borne * BORNE || waiting < IDLE;
            let by = if idle { RISE_QUICK } else { slow };
            self.rate = Some((rate * (1.0 + by)).max(self.least()));
        }
        if self.calm(now) && offered < rate * USED {
            self.rate = None;
        }
    }

    fn calm(&self, now: Micros) -> bool {
        self.strained.is_none_or(|at| now - at > CALM)
    }

    /// What is told to limiters; none where all is let through and nobody need tell.
    pub fn level(&self, svc: &str) -> Option<Level> {
        let told = self.rate.is_some()
            || !self.calm(self.looked)
            || self.seen.limiters > 0 && !self.settled();
        let border = self
            .rate
            .map_or(1.0, |rate| border(&self.seen.offered, rate));
        told.then(|| Level {
            svc: svc.to_string(),
            border,
            rate: self.rate,
            limiters: self.seen.limiters,
        })
    }

    /// All were heard, and nothing has come of it.
    fn settled(&self) -> bool {
        self.since.is_some_and(|since| self.looked - since > CALM)
    }
}
