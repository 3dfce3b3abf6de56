//! A node's own load: how late it is with what came to it, and how full it is of what it holds.
//!
//! A host tells after each of its turns how long what it took had waited for it, and how full it is. A mean that stays
//! too long lets a rate fall that is let through, and it rises again while the node keeps up. What is refused is drawn by
//! the order of all requests, as it is for services, so that a node in trouble turns away the lowest tiers first, and
//! does so before it is late with what it has taken.

use crate::priority::{BANDS, threshold};
use crate::{Micros, STEP};

const MS: Micros = 1_000;
const SECOND: f64 = 1e6;
/// What came waited so long for the node, on the mean of a step: above the first it is late, below the second it keeps up.
const LATE_WAITS: Micros = 20 * MS;
const EASY_WAIT: Micros = 8 * MS;
/// One step alone may be a table that came or a processor that was elsewhere.
const STEPS: u32 = 2;
/// A fall is seen after so long; while it gets better there is no other.
const FALL_EVERY: Micros = 2 * STEP;
/// Turns that each work off what came in the one before grow sooner than a mean shows it. One that follows a late one and
/// would take longer than this, as they grow, lets so much less through at once.
const AT_ONCE: f64 = 100e3;
const GROWTH: f64 = 4.0;
/// A fall is by this for each time that the mean lies above, within these.
const DECREASE_BY: f64 = 0.08;
const DECREASE_FACTORS: (f64, f64) = (0.04, 0.35);
/// A rise in one step, while most of what may is let through: near what it bears, and while next to nothing waits.
const INCREASE_FACTORS: (f64, f64) = (0.02, 0.06);
const USED: f64 = 0.8;
/// So much of what is offered is let through at the least.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Keeping up for so long, and more let through than is offered, it is over.
const CALM_DURATION: Micros = 2_000 * MS;
/// Time constant of what is offered.
const TAU: f64 = 0.4e6;
/// From here on to being full, ever less is let through.
const FULL_FROM: f64 = 0.8;

/// What one node knows of its own load.
#[derive(Clone, Debug, Default)]
pub struct OverloadDetector {
    looked: Option<Micros>,
    came: [u32; BANDS],
    sent: u32,
    /// Things taken in this step, and how long they had waited, summed up.
    taken: u64,
    waited: Micros,
    /// Offered a second, by band, and let through.
    offered: [f64; BANDS],
    passed: f64,
    late: u32,
    /// When it was last late.
    strained: Option<Micros>,
    /// Requests a second that are let through; none: all.
    rate: Option<f64>,
    full: f64,
    /// How long what was last taken had waited.
    waited_before: Micros,
    /// The share of this turn that is let through, if that is less than all.
    kept: Option<f64>,
    /// The last fall, and the mean wait that it was for.
    fell: Option<(Micros, Micros)>,
    /// Since when some are refused.
    since: Option<Micros>,
}

impl OverloadDetector {
    /// So many things are taken in this turn, which have waited for the node so long.
    pub fn record_intake(&mut self, count: usize, waited: Micros) {
        // A turn that let less through was shorter for it.
        let kept = self.kept.unwrap_or(1.0);
        let growth = (waited as f64 / self.waited_before.max(1) as f64 / kept).clamp(1.0, GROWTH);
        let takes = if self.waited_before > LATE_WAITS {
            waited as f64 * growth
        } else {
            0.0
        };
        self.kept = (takes > AT_ONCE).then(|| (AT_ONCE / takes).max(MIN_ADMITTED_SHARE));
        self.waited_before = waited;
        self.taken += count as u64;
        self.waited += waited.max(0) * count as Micros;
    }

    /// How full the node is of what it can hold least of: connections, bytes, descriptors; 1 is full.
    pub fn set_fill(&mut self, share: f64) {
        self.full = share;
    }

    /// A request came; `sent`: it was let through.
    pub fn record_request(&mut self, band: usize, sent: bool) {
        self.came[band] += 1;
        self.sent += u32::from(sent);
    }

    /// Requests beyond this place in the order are turned away.
    pub fn threshold(&self) -> f64 {
        let all: f64 = self.offered.iter().sum();
        let short =
            ((self.full - FULL_FROM) / (1.0 - FULL_FROM)).clamp(0.0, 1.0 - MIN_ADMITTED_SHARE);
        let room = if short > 0.0 {
            all * (1.0 - short)
        } else {
            f64::MAX
        };
        let now = self.kept.map_or(f64::MAX, |kept| all * kept);
        threshold(
            &self.offered,
            room.min(now).min(self.rate.unwrap_or(f64::MAX)),
        )
    }

    /// Whether what the node holds is so much that who is refused had better go.
    pub fn is_crowded(&self) -> bool {
        self.full > FULL_FROM
    }

    /// Since when some have been refused; none: nobody is.
    pub fn shedding_since(&self) -> Option<Micros> {
        self.since
    }

    /// Looks at what was told; due once a [`STEP`].
    pub fn evaluate(&mut self, now: Micros) {
        let span = (now - self.looked.replace(now).unwrap_or(now - STEP)).max(1) as f64;
        let gain = 1.0 - (-span / TAU).exp();
        for (offered, came) in self.offered.iter_mut().zip(std::mem::take(&mut self.came)) {
            *offered += (f64::from(came) * SECOND / span - *offered) * gain;
        }
        let passed = f64::from(std::mem::take(&mut self.sent)) * SECOND / span;
        self.passed += (passed - self.passed) * gain;
        let taken = std::mem::take(&mut self.taken).max(1);
        let late = std::mem::take(&mut self.waited) / taken as Micros;
        self.late = if late > LATE_WAITS && self.waited_before > EASY_WAIT {
            self.late + 1
        } else {
            0
        };
        if late > LATE_WAITS {
            self.strained = Some(now);
        }
        let offered: f64 = self.offered.iter().sum();
        if self.late >= STEPS {
            if self
                .fell
                .is_some_and(|(at, waited)| now - at < FALL_EVERY || late < waited * 3 / 4)
            {
                self.fell = self.fell.map(|(at, _)| (at, late));
                return;
            }
            self.fell = Some((now, late));
            let (least, most) = DECREASE_FACTORS;
            let cut = ((late as f64 / LATE_WAITS as f64 - 1.0) * DECREASE_BY).clamp(least, most);
            let held = self.rate.unwrap_or(f64::MAX).min(self.passed);
            self.rate = Some((held * (1.0 - cut)).max(offered * MIN_ADMITTED_SHARE));
        } else if let Some(rate) = self.rate.filter(|_| late < EASY_WAIT) {
            let calm = self.strained.is_none_or(|at| now - at > CALM_DURATION);
            let by = if late < EASY_WAIT / 4 {
                INCREASE_FACTORS.1
            } else {
                INCREASE_FACTORS.0
            };
            let grown = if self.passed >= rate * USED {
                rate * (1.0 + by)
            } else {
                rate
            };
            self.rate = Some(grown.max(offered * MIN_ADMITTED_SHARE))
                .filter(|_| !calm || offered >= rate * USED);
        }
        let refuses = self.threshold() < 1.0;
        self.since = if refuses {
            self.since.or(Some(now))
        } else {
            None
        };
    }
}
