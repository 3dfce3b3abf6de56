//! The usage ledger: records the units of every attempt once, when the attempt is first sent upstream.
//!
//! `record` defines the records. `log` stores records with checksums and detects damage, independently of their
//! content, so that a general store can replace it. `ledger` numbers attempts without gaps within an incarnation (one
//! run of a limiter) and writes them in groups. `reader` reads the incarnations of a folder. `export` hands the usage
//! over to billing in batches.

pub mod export;
pub mod ledger;
pub mod log;
pub mod reader;
pub mod record;

/// Microseconds since the epoch.
pub type Micros = i64;
