//! The clock of a host: the system's, a steady one, or one that tests advance.

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
    /// The system's time at the start, and monotonic from then on.
    System(Instant, Micros),
    /// Time since the start, plus an offset that follows the clocks of others; independent of the
    /// time of day.
    Steady(Instant, Arc<AtomicI64>),
    /// Advanced from outside, and by one microsecond with each reading, so that intervals pass.
    Manual(Arc<AtomicI64>),
}

impl Clock {
    /// The system's clock.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock(Source::System(
            Instant::now(),
            since_epoch.as_micros() as Micros,
        ))
    }

    /// A steady clock with an arbitrary origin that follows others, see [`Clock::advance_to`].
    pub fn steady() -> Clock {
        Clock(Source::Steady(
            Instant::now(),
            Arc::new(AtomicI64::new(STEADY_CLOCK_START)),
        ))
    }

    /// Advances a steady clock to this time if it is behind. No clock ever goes back.
    pub fn advance_to(&self, time: Micros) {
        if let Source::Steady(started_at, offset) = &self.0 {
            offset.fetch_max(
                time.saturating_sub(started_at.elapsed().as_micros() as Micros),
                Ordering::SeqCst,
            );
        }
    }

    /// A clock that shows the value of `time`, for tests.
    pub fn manual(time: Arc<AtomicI64>) -> Clock {
        Clock(Source::Manual(time))
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        match &self.0 {
            Source::System(started_at, start_time) => {
                start_time + started_at.elapsed().as_micros() as Micros
            }
            Source::Steady(started_at, offset) => {
                offset.load(Ordering::SeqCst) + started_at.elapsed().as_micros() as Micros
            }
            Source::Manual(time) => time.fetch_add(1, Ordering::SeqCst),
        }
    }
}

#[cfg(test)]
mod tests;
