//! A customer's token bucket across a change of its rate limit: the remaining units carry over.
//!
//! The limiters count usage in windows whose length is burst divided by rate, and the length is part of the counter's
//! name. If a change brought its own window length, it would start a fresh window and so grant a second burst.
//! Therefore a customer's windows keep their length (that of the plan its requests name, from the platform's settings)
//! and a change carries over the *remaining units* instead:
//!
//! - limit raised: the remaining units stay, and refill at the new rate up to the new burst;
//! - limit lowered: the remaining units stay, capped at the new burst.
//!
//! Bound: after a change, the units granted within a span are at most the remaining units at the change plus the new
//! rate times the span. In the two windows after the change this never exceeds what the larger of the two plans grants
//! in the same time.

use crate::Micros;
use crate::change::RateLimit;

/// State of a token bucket at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate and capacity (burst).
    pub rate_limit: RateLimit,
    /// Units that remain.
    pub remaining_units: f64,
    /// Instant of this state.
    pub updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(rate_limit: RateLimit, updated_at: Micros) -> TokenBucket {
        TokenBucket {
            rate_limit,
            remaining_units: rate_limit.burst,
            updated_at,
        }
    }

    /// The bucket at a later instant, refilled at its rate. If the clock has stepped back, the units stay unchanged.
    pub fn advanced_to(self, now: Micros) -> TokenBucket {
        let elapsed_s = (now - self.updated_at).max(0) as f64 / 1e6;
        let remaining_units = (self.remaining_units + elapsed_s * self.rate_limit.rate_per_s)
            .min(self.rate_limit.burst);
        TokenBucket {
            remaining_units,
            updated_at: self.updated_at.max(now),
            ..self
        }
    }

    /// The bucket after a change of its rate limit at an instant.
    pub fn with_rate_limit(self, rate_limit: RateLimit, at: Micros) -> TokenBucket {
        let before = self.advanced_to(at);
        TokenBucket {
            rate_limit,
            remaining_units: before.remaining_units.min(rate_limit.burst),
            updated_at: before.updated_at,
        }
    }

    /// Takes the units if enough remain; returns whether they were taken.
    pub fn try_take(&mut self, now: Micros, units: f64) -> bool {
        *self = self.advanced_to(now);
        let is_allowed = units <= self.remaining_units;
        if is_allowed {
            self.remaining_units -= units;
        }
        is_allowed
    }
}

/// Units to add to a window's usage count when the rate limit changes, so that the window grants the same as
/// [`TokenBucket`] does: a window grants the burst plus the refilled units, less the usage. `remaining_units`: those of
/// the bucket before the change.
pub fn window_usage_shift(from: RateLimit, to: RateLimit, remaining_units: f64) -> f64 {
    (to.burst - from.burst) + (remaining_units - to.burst).max(0.0)
}
