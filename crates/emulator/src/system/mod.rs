//! The world of the whole system on loopback, by the protocol that the platform publishes.
//!
//! `platform` and `server` decide without I/O and without a clock of their own; `town` puts both on sockets, on one
//! thread, and counts what ran by the requests' ids. `calls` is a plain client, `operator` the one who sends
//! configurations. `machines` writes settings files, starts the built programs and ends them; `whole` is all of it
//! together, small, with a first configuration.

pub mod client;
pub mod fleet;
pub mod machines;
pub mod operator;
pub mod platform;
pub mod server;
pub mod test_system;

use std::time::{Duration, Instant};

/// Asks again and again until there is something or the time is up.
pub fn wait_for<T>(until: Instant, mut ask: impl FnMut() -> Option<T>) -> Option<T> {
    loop {
        match ask() {
            Some(found) => return Some(found),
            None if Instant::now() >= until => return None,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
