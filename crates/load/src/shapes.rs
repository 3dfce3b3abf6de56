//! Shapes of traffic: a rate over time, and from it the instants at which requests are meant to be sent.
//!
//! Every shape becomes a line of rates through points; instants are where the integral under it reaches each next
//! step, of one for even spacing and of an exponential draw for Poisson arrivals.

use config_check::{KeyError, check_range, check_within};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::scenario::Workshops;

/// A shape's name.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// `rate`, evenly spaced.
    Constant,
    /// `rate`, independent of each other.
    Poisson,
    /// From `rate` to `to_rate`.
    Ramp,
    /// `steps` of `[second, rate]`.
    Step,
    /// A term's end: from `rate` up to `to_rate` at `peak_s`, ever faster, then away within a tenth of the run.
    Surge,
    /// `rate`, and `times` as much in bursts of `length_s` every `every_s`.
    Bursts,
    /// `workshops` many of a `plan`, each asking for `times` its quota in spells of `length_s` every `every_s`.
    Spells,
}

/// One part of the traffic.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Its shape.
    pub shape: Shape,
    /// Requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Requests a second at the end of a ramp, or at the peak of a surge.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_rate: Option<f64>,
    /// When a surge peaks; by default after 8 tenths of the run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peak_s: Option<f64>,
    /// Steps of `[second, rate]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<Vec<[f64; 2]>>,
    /// How many times the rate in bursts (6.1), or the quota in spells (4.8).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// Length of bursts (1.7 to 4.9) or spells (10 to 30).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<[f64; 2]>,
    /// Time from one to the next (10 to 22, or 20 to 60).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<[f64; 2]>,
    /// It begins here.
    #[serde(default)]
    pub from_s: f64,
    /// It ends here; by default with the run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_s: Option<f64>,
    /// Everything times this.
    #[serde(default = "one")]
    pub scale: f64,
    /// Poisson spacing in place of even spacing.
    #[serde(default)]
    pub random: bool,
    /// It falls on workshops of this plan alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
    /// It falls on so many workshops alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workshops: Option<usize>,
}

fn one() -> f64 {
    1.0
}

/// Pieces of the exponential rise of a surge.
const RISE: usize = 40;
/// Highest rate of one part.
const HIGHEST: f64 = 1e7;

impl Arrival {
    /// Checks that the shape has what it needs and nothing that it does not take.
    ///
    /// # Errors
    /// The first key that is missing, out of place or impossible.
    pub fn check(&self, workshops: &Workshops) -> Result<(), KeyError> {
        use Shape::*;
        let s = self.shape;
        let takes = [
            ("rate", self.rate.is_some(), !matches!(s, Step | Spells)),
            ("to_rate", self.to_rate.is_some(), matches!(s, Ramp | Surge)),
            ("peak_s", self.peak_s.is_some(), s == Surge),
            ("steps", self.steps.is_some(), s == Step),
            ("times", self.times.is_some(), matches!(s, Bursts | Spells)),
            (
                "length_s",
                self.length_s.is_some(),
                matches!(s, Bursts | Spells),
            ),
            (
                "every_s",
                self.every_s.is_some(),
                matches!(s, Bursts | Spells),
            ),
        ];
        for (key, given, taken) in takes {
            if given && !taken {
                return Err(KeyError::new(
                    key,
                    format!("is not taken by the shape {s:?}").to_lowercase(),
                ));
            }
            if !given && taken && matches!(key, "rate" | "to_rate" | "steps") {
                return Err(KeyError::new(
                    key,
                    format!("is missing for the shape {s:?}"),
                ));
            }
        }
        for (key, value) in [
            ("rate", self.rate),
            ("to_rate", self.to_rate),
            ("times", self.times),
        ] {
            value.map_or(Ok(()), |v| check_within(key, v, 0.0, HIGHEST))?;
        }
        for (key, value) in [("length_s", self.length_s), ("every_s", self.every_s)] {
            value.map_or(Ok(()), |v| check_range(key, v, 0.01, 86_400.0))?;
        }
        check_within("scale", self.scale, 0.0, 1e6)?;
        check_within("from_s", self.from_s, 0.0, 86_400.0)?;
        self.until_s.map_or(Ok(()), |u| {
            check_within("until_s", u, self.from_s, 86_400.0)
        })?;
        self.peak_s
            .map_or(Ok(()), |p| check_within("peak_s", p, self.from_s, 86_400.0))?;
        let mut last = 0.0;
        for (k, [at, rate]) in self.steps.iter().flatten().enumerate() {
            check_within(&format!("steps[{k}][0]"), *at, last, 86_400.0)?;
            check_within(&format!("steps[{k}][1]"), *rate, 0.0, HIGHEST)?;
            last = *at;
        }
        if let Some(plan) = &self.plan
            && !workshops.plans.iter().any(|p| p.name == *plan)
        {
            let known: Vec<&str> = workshops.plans.iter().map(|p| p.name.as_str()).collect();
            return Err(KeyError::new(
                "plan",
                format!("there is no plan '{plan}'; known are {}", known.join(", ")),
            ));
        }
        self.workshops.map_or(Ok(()), |w| {
            check_within("workshops", w as f64, 1.0, workshops.count as f64)
        })
    }

    /// About how many requests it brings in so long.
    pub fn expected(&self, seconds: f64, workshops: &Workshops) -> f64 {
        let highest = match self.shape {
            Shape::Step => self
                .steps
                .iter()
                .flatten()
                .map(|s| s[1])
                .fold(0.0, f64::max),
            Shape::Spells => {
                let rate = workshops.plans.iter().map(|p| p.rate).fold(0.0, f64::max);
                rate * self.times.unwrap_or(4.8) * self.workshops.unwrap_or(1) as f64
            }
            Shape::Bursts => self.rate.unwrap_or(0.0) * (1.0 + self.times.unwrap_or(6.1) * 0.25),
            _ => self.rate.unwrap_or(0.0).max(self.to_rate.unwrap_or(0.0)),
        };
        highest * self.scale * (self.until_s.unwrap_or(seconds).min(seconds) - self.from_s).max(0.0)
    }

    /// The rate over time, as points of `(second, requests a second)` that lines go through. `quota`: requests a
    /// second that a spell's workshop may ask for.
    pub fn points(&self, seconds: f64, quota: f64, rng: &mut impl Rng) -> Vec<(f64, f64)> {
        let (from, until) = (self.from_s, self.until_s.unwrap_or(seconds).min(seconds));
        if from >= until {
            return Vec::new();
        }
        let rate = self.rate.unwrap_or(0.0);
        let mut points = match self.shape {
            Shape::Constant | Shape::Poisson => vec![(from, rate), (until, rate)],
            Shape::Ramp => vec![(from, rate), (until, self.to_rate.unwrap_or(rate))],
            Shape::Step => {
                let steps = self.steps.as_deref().unwrap_or_default();
                let end = |k: usize| steps.get(k + 1).map_or(until, |next| next[0]).min(until);
                let level =
                    |(k, [at, rate]): (usize, &[f64; 2])| [(at.max(from), *rate), (end(k), *rate)];
                steps
                    .iter()
                    .enumerate()
                    .flat_map(level)
                    .filter(|(at, _)| (from..=until).contains(at))
                    .collect()
            }
            Shape::Surge => {
                let peak = self
                    .peak_s
                    .unwrap_or(from + 0.8 * (until - from))
                    .min(until);
                let top = self.to_rate.unwrap_or(rate);
                let grown =
                    |k: usize| ((4.0 * k as f64 / RISE as f64).exp() - 1.0) / (4.0_f64.exp() - 1.0);
                let at = |k: usize| from + (peak - from) * k as f64 / RISE as f64;
                let rise = (0..=RISE).map(|k| (at(k), rate + (top - rate) * grown(k)));
                let away = (peak + 0.1 * (until - from)).min(until);
                rise.chain([(away, rate), (until, rate)]).collect()
            }
            Shape::Bursts => {
                let times = self.times.unwrap_or(6.1);
                let (length, every) = (
                    self.length_s.unwrap_or([1.7, 4.9]),
                    self.every_s.unwrap_or([10.0, 22.0]),
                );
                pulses(from, until, rate, rate * times, length, every, rng)
            }
            Shape::Spells => {
                let high = quota * self.times.unwrap_or(4.8);
                let (length, every) = (
                    self.length_s.unwrap_or([10.0, 30.0]),
                    self.every_s.unwrap_or([20.0, 60.0]),
                );
                pulses(from, until, 0.0, high, length, every, rng)
            }
        };
        points.iter_mut().for_each(|(_, rate)| *rate *= self.scale);
        points
    }
}

fn pulses(
    from: f64,
    until: f64,
    low: f64,
    high: f64,
    length: [f64; 2],
    every: [f64; 2],
    rng: &mut impl Rng,
) -> Vec<(f64, f64)> {
    let mut points = vec![(from, low)];
    let mut at = from + rng.random_range(0.0..=every[1]) / 2.0;
    while at < until {
        let end = (at + rng.random_range(length[0]..=length[1])).min(until);
        points.extend([(at, low), (at, high), (end, high), (end, low)]);
        at += rng.random_range(every[0]..=every[1]).max(end - at);
    }
    points.push((until, low));
    points
}

/// The instants at which the integral under the points reaches each next step.
pub fn instants(points: &[(f64, f64)], random: bool, rng: &mut impl Rng) -> Vec<Micros> {
    let mut step = |first: bool| match (random, first) {
        (true, _) => Exp1.sample(rng),
        (false, true) => 0.5,
        (false, false) => 1.0,
    };
    let mut wanted: f64 = step(true);
    let mut instants = Vec::new();
    for pair in points.windows(2) {
        let [(t0, r0), (t1, r1)] = [pair[0], pair[1]];
        let span = t1 - t0;
        if span <= 0.0 {
            continue;
        }
        let area = (r0 + r1) / 2.0 * span;
        let slope = (r1 - r0) / span;
        while wanted <= area {
            // Solves r0 x + slope x² / 2 = wanted in the form that stays exact as the slope nears 0.
            let root = (r0 * r0 + 2.0 * slope * wanted).max(0.0).sqrt();
            let x = if r0 + root > 0.0 {
                2.0 * wanted / (r0 + root)
            } else {
                span
            };
            instants.push(((t0 + x.min(span)) * 1e6) as Micros);
            wanted += step(false);
        }
        wanted -= area;
    }
    instants
}

#[cfg(test)]
mod tests;
