//! The use ledger: every try's units are booked once, when it is first sent on.
//!
//! `booking` is what is booked. `log` keeps records whole or tells that they are not, and knows nothing of what they
//! say: a general store will take its place. `ledger` numbers bookings without gaps within a limiter's life and writes
//! them in groups. `reading` goes through all lives of a folder.

pub mod export;
pub mod ledger;
pub mod log;
pub mod reader;
pub mod record;

/// Microseconds since the epoch.
pub type Micros = i64;
