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
use crate::change::Figures;

/// A store's level at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// The figures that hold.
    pub figures: Figures,
    /// Units left.
    pub left: f64,
    /// When that was so.
    pub at: Micros,
}

impl Level {
    /// A full store.
    pub fn full(figures: Figures, at: Micros) -> Level {
        Level {
            figures,
            left: figures.burst,
            at,
        }
    }

    /// The level at a later instant. A clock that steps back fills nothing and empties nothing.
    pub fn on(self, now: Micros) -> Level {
        let passed = (now - self.at).max(0) as f64 / 1e6;
        let left = (self.left + passed * self.figures.rate).min(self.figures.burst);
        Level {
            left,
            at: self.at.max(now),
            ..self
        }
    }

    /// Figures change at an instant.
    pub fn change(self, figures: Figures, at: Micros) -> Level {
        let before = self.on(at);
        Level {
            figures,
            left: before.left.min(figures.burst),
            at: before.at,
        }
    }

    /// Takes units if they are left; whether they were.
    pub fn take(&mut self, now: Micros, units: f64) -> bool {
        *self = self.on(now);
        let fits = units <= self.left;
        if fits {
            self.left -= units;
        }
        fits
    }
}

/// How much must be added to what a window counts as used when figures change, so that the level moves as [`Level`]
/// says: the room of a window is burst and what flowed in, less what is used. `left`: the level before the change.
pub fn shift(from: Figures, to: Figures, left: f64) -> f64 {
    (to.burst - from.burst) + (left - to.burst).max(0.0)
}
