//! Load shedding: how many requests of each service are admitted under overload, with one shedding
//! order for all limiters. Without I/O.
//!
//! Each limiter counts the requests to a service and their outcomes ([`load`]) and reports the
//! counts to its replica of the control program. The replica sums the reports, determines from the
//! outcomes which rate the servers can sustain, and sends an admission level to its limiters
//! ([`admission_controller`]). Each limiter rejects the requests beyond that level ([`admission`])
//! in the same order ([`priority`]): the lowest tiers first, and a fixed share of the tier at the
//! threshold. A node that is overloaded itself sheds load in the same order
//! ([`overload_detector`]). Times are in microseconds on a monotonic clock.

pub mod admission;
pub mod admission_controller;
pub mod load;
pub mod overload_detector;
pub mod priority;

/// A time on the host's clock, or a duration, in microseconds.
pub type Micros = i64;

const MS: Micros = 1_000;

/// Interval between two reports of a limiter, and between two evaluations of the reports.
pub const EVALUATION_INTERVAL: Micros = 200 * MS;
/// Time for which a report is valid. A limiter without a valid report counts as gone.
pub const REPORT_LIFETIME: Micros = 700 * MS;
/// Time for which levels are valid. A limiter without valid levels decides on its own.
pub const LEVELS_LIFETIME: Micros = 1_500 * MS;
