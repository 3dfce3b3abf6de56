//! A customer's allowance across a change: what is left stays, no more and no less.
//!
//! An allowance is a store that fills at a rate and holds a burst. The limiters count use in windows whose length
//! follows burst over rate, and the length is part of a count's name: a change that went by its own length would open a
//! fresh window, and with it a second burst. So a customer's windows keep the length that they had (that of the plan its
//! requests name, in the platform's figures) and a change moves the *level*:
//!
//! - up: the level stays, and grows at the new rate up to the new burst;
//! - down: the level stays as far as the smaller store holds it.
//!
//! Bound: from a change on, no more passes within a span than the level at the change and the new rate times the span.
//! In the two windows after it that is never more than what the larger of the two plans grants in the same time.

use crate::Micros;
use crate::change::RateLimit;

/// A store's level at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// The figures that hold.
    pub rate_limit: RateLimit,
    /// Units left.
    pub remaining_units: f64,
    /// When that was so.
    pub updated_at: Micros,
}

impl TokenBucket {
    /// A full store.
    pub fn full(figures: RateLimit, at: Micros) -> TokenBucket {
        TokenBucket {
            rate_limit: figures,
            remaining_units: figures.burst,
            updated_at: at,
        }
    }

    /// The level at a later instant. A clock that steps back fills nothing and empties nothing.
    pub fn advanced_to(self, now: Micros) -> TokenBucket {
        let passed = (now - self.updated_at).max(0) as f64 / 1e6;
        let left =
            (self.remaining_units + passed * self.rate_limit.rate_per_s).min(self.rate_limit.burst);
        TokenBucket {
            remaining_units: left,
            updated_at: self.updated_at.max(now),
            ..self
        }
    }

    /// Figures change at an instant.
    pub fn with_rate_limit(self, figures: RateLimit, at: Micros) -> TokenBucket {
        let before = self.advanced_to(at);
        TokenBucket {
            rate_limit: figures,
            remaining_units: before.remaining_units.min(figures.burst),
            updated_at: before.updated_at,
        }
    }

    /// Takes units if they are left; whether they were.
    pub fn try_take(&mut self, now: Micros, units: f64) -> bool {
        *self = self.advanced_to(now);
        let fits = units <= self.remaining_units;
        if fits {
            self.remaining_units -= units;
        }
        fits
    }
}

/// How much must be added to what a window counts as used when figures change, so that the level moves as [`Level`]
/// says: the room of a window is burst and what flowed in, less what is used. `left`: the level before the change.
pub fn window_usage_shift(from: RateLimit, to: RateLimit, left: f64) -> f64 {
    (to.burst - from.burst) + (left - to.burst).max(0.0)
}
