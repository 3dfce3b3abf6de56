//! How long an answer is waited for: by the round trips of former ones, as TCP's retransmission timer has it (RFC 6298).
//! Without I/O.
//!
//! A machine's link may be so full that each answer takes most of a second. Who answers late is not lost: a wait that is shorter
//! than the way there and back makes every attempt fail, and the attempts that follow keep the link full.

use streamarch::Micros;

/// The weight of the newest round trip in their mean is one in this.
const SMOOTHING: Micros = 8;
/// The same in their mean deviation.
const VARIATION_SMOOTHING: Micros = 4;
/// So many mean deviations are waited for on top of the mean.
const VARIATION_FACTOR: Micros = 4;

/// A time-out in microseconds that follows round trips of one kind, within bounds.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    min: Micros,
    max: Micros,
    /// The mean and the mean deviation of the round trips; none before the first.
    estimate: Option<(Micros, Micros)>,
}

impl AdaptiveTimeout {
    /// One that has seen no round trip yet, and is `least`.
    pub fn new(least: Micros, most: Micros) -> AdaptiveTimeout {
        AdaptiveTimeout {
            min: least,
            max: most,
            estimate: None,
        }
    }

    /// An answer took this long, in time or late; or there was none within the time-out, which counts as one that took as long.
    pub fn record(&mut self, round_trip: Micros) {
        let round_trip = round_trip.max(0);
        self.estimate = Some(match self.estimate {
            None => (round_trip, round_trip / 2),
            Some((mean, variation)) => {
                let deviation = (round_trip - mean).abs();
                (
                    mean + (round_trip - mean) / SMOOTHING,
                    variation + (deviation - variation) / VARIATION_SMOOTHING,
                )
            }
        });
    }

    /// How long the next answer is waited for.
    pub fn timeout(&self) -> Micros {
        let (mean, variation) = self.estimate.unwrap_or_default();
        (mean + VARIATION_FACTOR * variation).clamp(self.min, self.max)
    }
}

#[cfg(test)]
mod tests;
