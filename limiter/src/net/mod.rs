//! The event loop: one thread, one calloop loop. What a dispatch brought is taken in first; then what is due and
//! the engines have their turn; then all that is to be written goes out.

pub mod framing;
mod host;

use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use streamarch::Micros;

use crate::config::Config;
pub use host::Host;

/// The host's clock: microseconds since the epoch, from the system's clock at the start and steady from then on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    epoch: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), epoch: since.as_micros() as Micros }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// Runs the limiter until it is told to end.
pub fn serve(config: Config) -> io::Result<()> {
    let mut events: EventLoop<'static, Host> = EventLoop::try_new()?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
    let handle = events.handle();
    handle.insert_source(signals, |_, _, host: &mut Host| host.drain()).map_err(|e| e.error)?;
    let mut host = Host::open(config, handle)?;
    while !host.finished() {
        let now = host.now();
        let wait = host.next().map(|at| Duration::from_micros((at - now).max(0) as u64));
        events.dispatch(wait, &mut host)?;
        host.turn();
    }
    Ok(())
}
