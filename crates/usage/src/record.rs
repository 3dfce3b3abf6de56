//! The records of the usage ledger.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Usage of an attempt that is sent upstream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct AttemptUsage {
    /// When it was first sent, in microseconds since the epoch.
    pub sent_at: Micros,
    /// The customer.
    pub customer: u64,
    /// Name of the request class.
    pub class: String,
    /// Name of the plan in effect.
    pub plan: String,
    /// Version of the plan book at that time; 0 without a plan book.
    pub plan_version: u64,
    /// Units used, in thousandths.
    pub milli_units: u64,
    /// Id of the reservation that it drew from.
    pub reservation: Option<String>,
    /// Idempotency key of the request.
    pub idempotency_key: Option<String>,
    /// Whether it is a client's retry, which counts as an attempt of its own.
    pub is_retry: bool,
}

/// A record of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum LogRecord {
    /// First record of a file.
    Header {
        /// Version of the format; see [`FORMAT_VERSION`].
        format_version: u32,
        /// Name of the limiter.
        limiter: String,
        /// Number of the limiter's incarnation, from 1.
        incarnation: u64,
    },
    /// An attempt, numbered from 1 without gaps.
    Attempt(u64, AttemptUsage),
    /// All attempts up to this number were sent: a kill, if any, came after that and not between recording and sending.
    Sent(u64),
}

/// Version of the format that is written.
pub const FORMAT_VERSION: u32 = 1;
