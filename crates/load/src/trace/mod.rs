//! Traces of requests from elsewhere: imported from CSV or JSON lines, mended as asked, kept as Parquet, replayed.

pub mod mend;
pub mod read;
pub mod replay;
pub mod store;

use crate::Micros;

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// When, in microseconds; only differences count.
    pub at: Micros,
    /// The customer.
    pub account: u64,
    /// Its plan.
    pub plan: String,
    /// The class.
    pub class: String,
    /// Units.
    pub units: u8,
    /// The limiter that it went through, if known: its place in the customer's set.
    pub limiter: Option<u16>,
    /// Its id, if the trace has one; otherwise empty.
    pub id: String,
}
