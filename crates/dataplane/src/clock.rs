//! The clock of a host: the system's, a steady one, or one driven by tests.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use streamarch::Micros;

/// Initial value of a steady clock: far from zero, which stands for "never" in some places.
pub const STEADY_CLOCK_START: Micros = 1_000_000_000_000;

/// The host's clock, in microseconds since the epoch, or since an origin agreed with others.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// The system's time at the start, and steady from then on.
    System(Instant, Micros),
    /// Time since the start plus the lead of others; independent of the time of day.
    Steady(Instant, Arc<AtomicI64>),
    /// Driven from outside; each reading advances it by one microsecond, so that periods pass.
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

    /// A steady clock with an arbitrary origin that follows others, see [`Clock::advance_to`].
    pub fn steady() -> Clock {
        Clock(Source::Steady(
            Instant::now(),
            Arc::new(AtomicI64::new(STEADY_CLOCK_START)),
        ))
    }

    /// Advances a steady clock that is behind to this time; no clock ever goes back.
    pub fn advance_to(&self, to: Micros) {
        if let Source::Steady(start, ahead) = &self.0 {
            ahead.fetch_max(
                to.saturating_sub(start.elapsed().as_micros() as Micros),
                Ordering::SeqCst,
            );
        }
    }

    /// A clock that tests drive.
    pub fn manual(hand: Arc<AtomicI64>) -> Clock {
        Clock(Source::Driven(hand))
    }

    /// The current time.
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
