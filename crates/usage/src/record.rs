//! What is booked.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A try that goes out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct AttemptUsage {
    /// When it was first sent on.
    pub sent_at: Micros,
    /// Whose it is.
    pub customer: u64,
    /// Its class, by name.
    pub class: String,
    /// The plan that it was judged by, by name.
    pub plan: String,
    /// The version of the plan book at that time; 0 without a book.
    pub plan_version: u64,
    /// Units, in thousandths.
    pub milli_units: u64,
    /// The reservation that it took from.
    pub reservation: Option<String>,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// A client's retry: a try of its own, which the reader may tell from the first.
    pub is_retry: bool,
}

/// What stands in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum LogRecord {
    /// The first of a file: whose life it is.
    Header {
        /// Version of this form.
        format_version: u32,
        /// The limiter.
        limiter: String,
        /// Its life, from 1.
        incarnation: u64,
    },
    /// A try, numbered from 1 without gaps.
    Attempt(u64, AttemptUsage),
    /// All tries up to this number went out: a kill came after them, not between booking and sending.
    Sent(u64),
}

/// The version of the form that is written.
pub const FORMAT_VERSION: u32 = 1;
