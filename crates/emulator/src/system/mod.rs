//! An emulated environment for the whole system on loopback, following the protocol that the platform publishes.
//!
//! `platform` and `server` do no I/O and read no clock; `fleet` serves both on sockets from one thread
//! and counts executions by request id. `client` is a plain HTTP client, `operator` sends configurations. `machines`
//! writes settings files, starts the built programs and stops them; `test_system` combines all of these into a small
//! system with an initial configuration.

pub mod client;
pub mod early_servers;
pub mod fleet;
pub mod machines;
pub mod operator;
pub mod platform;
pub mod server;
pub mod test_system;

use std::time::{Duration, Instant};

/// Calls `poll` every 10 ms until it returns a value or `until` has passed.
pub fn wait_for<T>(until: Instant, mut poll: impl FnMut() -> Option<T>) -> Option<T> {
    loop {
        match poll() {
            Some(value) => return Some(value),
            None if Instant::now() >= until => return None,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
