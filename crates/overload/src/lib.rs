//! Overload: what of a service's load is let through, by one order at every limiter. Without any input or output.
//!
//! Each limiter counts what it saw of a service ([`load`]) and tells its home. The home sums up, judges by what servers
//! did how much a second they bear, and tells a level ([`judge`]). Every limiter turns away what lies beyond it ([`admission`])
//! by the same order ([`order`]): the lowest tiers first, and by a steady number within the tier on the border. A node
//! sheds for its own load by that order as well ([`shedder`]). Times are whole microseconds of a clock that never goes back.

pub mod admission;
pub mod admission_controller;
pub mod load;
pub mod overload_detector;
pub mod priority;

/// Microseconds on the host's clock, or a span of them.
pub type Micros = i64;

const MS: Micros = 1_000;

/// Between two reports of a limiter, and between two looks of a home.
pub const STEP: Micros = 200 * MS;
/// A report counts for this long; a limiter that sends none is gone.
pub const REPORT_LIFETIME: Micros = 700 * MS;
/// A limiter that was told nothing for this long goes by its own share.
pub const LEVELS_LIFETIME: Micros = 1_500 * MS;
