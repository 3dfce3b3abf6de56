//! Load shedding: how much of the load of each service is admitted, by one order of priorities at every limiter. Without I/O.
//!
//! Each limiter counts what becomes of the requests to a service ([`load`]) and reports it to its replica. The replica sums
//! the reports up, determines from the servers' outcomes which rate they can sustain, and sends an admission level
//! ([`admission_controller`]). Every limiter rejects what lies beyond it ([`admission`]) by the same order ([`priority`]): the
//! lowest tiers first, and a steady share within the tier at the threshold. A node sheds load of its own by that order as well
//! ([`overload_detector`]). Times are in microseconds on a monotonic clock.

pub mod admission;
pub mod admission_controller;
pub mod load;
pub mod overload_detector;
pub mod priority;

/// Microseconds on the host's clock, or a span of them.
pub type Micros = i64;

const MS: Micros = 1_000;

/// Interval between two reports of a limiter, and between two evaluations.
pub const EVALUATION_INTERVAL: Micros = 200 * MS;
/// A report is valid for this long; a limiter that sends none is gone.
pub const REPORT_LIFETIME: Micros = 700 * MS;
/// Levels are valid for this long; afterwards a limiter decides on its own.
pub const LEVELS_LIFETIME: Micros = 1_500 * MS;
