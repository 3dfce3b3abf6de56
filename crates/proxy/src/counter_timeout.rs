//! How long a call of the shared counter is waited for: by the round trips of former calls, as TCP's retransmission timer has it
//! (RFC 6298). Without I/O.
//!
//! A machine's link may be so full that each answer takes most of a second. A counter that answers late is not lost: it has
//! counted what it was told, and its totals are right.

use streamarch::Micros;

const MS: Micros = 1_000;
/// The least time-out: the round trip over the longest link, and the turns of the programs on the way.
pub const MIN_COUNTER_TIMEOUT: Micros = 300 * MS;
/// The greatest one: for as long a counter that is gone is not noticed.
pub const MAX_COUNTER_TIMEOUT: Micros = 900 * MS;
/// The weight of the newest round trip in their mean is one in this.
const SMOOTHING: Micros = 8;
/// The same in their mean deviation.
const VARIATION_SMOOTHING: Micros = 4;
/// So many mean deviations are waited for on top of the mean.
const VARIATION_FACTOR: Micros = 4;

/// The round trips of one proxy to the counter.
#[derive(Clone, Copy, Debug, Default)]
pub struct CounterTimeout {
    /// The mean and the mean deviation; none before the first answer.
    estimate: Option<(Micros, Micros)>,
}

impl CounterTimeout {
    /// A call was answered after this time, in time or late.
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

    /// How long the next call is waited for, in microseconds.
    pub fn timeout(&self) -> Micros {
        let (mean, variation) = self.estimate.unwrap_or_default();
        (mean + VARIATION_FACTOR * variation).clamp(MIN_COUNTER_TIMEOUT, MAX_COUNTER_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
