//! A time-out that is derived from previous round trips, in the manner of TCP's retransmission timer (RFC 6298). Performs
//! no I/O.
//!
//! A machine's link may be so congested that each response takes most of a second. A peer that responds late has not failed:
//! a time-out shorter than the round trip makes every attempt fail, and the retries keep the link congested.

use streamarch::Micros;

/// The weight of the newest round trip in the mean is one divided by this.
const SMOOTHING: Micros = 8;
/// The weight of the newest deviation in the mean deviation is one divided by this.
const VARIATION_SMOOTHING: Micros = 4;
/// The number of mean deviations that are added to the mean.
const VARIATION_FACTOR: Micros = 4;

/// A time-out in microseconds that adapts to the round trips of one kind of call, within bounds.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    min: Micros,
    max: Micros,
    /// The mean and the mean deviation of the round trips; `None` before the first.
    estimate: Option<(Micros, Micros)>,
}

impl AdaptiveTimeout {
    /// A time-out of `min` until the first round trip is recorded.
    pub fn new(min: Micros, max: Micros) -> AdaptiveTimeout {
        AdaptiveTimeout {
            min,
            max,
            estimate: None,
        }
    }

    /// Records the round trip of a response, which may have arrived after the time-out. If no response arrived within the
    /// time-out, that time is recorded as the round trip.
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

    /// The time-out of the next call.
    pub fn timeout(&self) -> Micros {
        let (mean, variation) = self.estimate.unwrap_or_default();
        (mean + VARIATION_FACTOR * variation).clamp(self.min, self.max)
    }
}

#[cfg(test)]
mod tests;
