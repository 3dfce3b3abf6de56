//! The clock of a host: the system's, or one that tests drive.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use streamarch::Micros;

/// What a steady clock shows at its start: far from zero, which stands for never here and there.
pub const STEADY_CLOCK_START: Micros = 1_000_000_000_000;

/// The host's clock, in microseconds: since the epoch, or since whatever others count from.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// The system's clock at the start, and steady from then on.
    System(Instant, Micros),
    /// Since the start, and what others were ahead when they were heard; the time of day has no part in it.
    Steady(Instant, Arc<AtomicI64>),
    /// Driven from outside; each look moves it by the least there is, so that periods pass.
    Driven(Arc<AtomicI64>),
}

impl Clock {
    /// The system's clock.
    pub fn system() -> Clock {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock(Source::System(Instant::now(), since.as_micros() as Micros))
    }

    /// A clock that starts anywhere and follows others, see [`Clock::raise`].
    pub fn steady() -> Clock {
        Clock(Source::Steady(
            Instant::now(),
            Arc::new(AtomicI64::new(STEADY_CLOCK_START)),
        ))
    }

    /// Others are at this time. A steady clock that is behind goes there; none goes back.
    pub fn advance_to(&self, to: Micros) {
        if let Source::Steady(start, ahead) = &self.0 {
            ahead.fetch_max(
                to.saturating_sub(start.elapsed().as_micros() as Micros),
                Ordering::SeqCst,
            );
        }
    }

    /// A clock that goes as its hand is moved, for tests.
    pub fn driven(hand: Arc<AtomicI64>) -> Clock {
        Clock(Source::Driven(hand))
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        match &self.0 {
            Source::System(start, epoch) => epoch + start.elapsed().as_micros() as Micros,
            Source::Steady(start, ahead) => {
                ahead.load(Ordering::SeqCst) + start.elapsed().as_micros() as Micros
            }
            Source::Driven(hand) => hand.fetch_add(1, Ordering::SeqCst),
        }
    }
}

#[cfg(test)]
mod tests;
