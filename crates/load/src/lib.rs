//! The project's laboratory: load that never slows down when the servers do, in an emulated world, and reports of what
//! a change does.
//!
//! `scenario` says what a run is; `schedule` lays out every request ahead, from the scenario and a seed alone;
//! `generator` is the clients, without I/O or a clock of its own; `driver` puts them on sockets. `records` holds what
//! became of every try, `summary` what follows from it (`bounds` the quotas over the fleet), `report` what a person looks at. `trace` replays what was
//! recorded elsewhere, and `trial` starts limiters in an emulated world, and `pauses` stops and resumes them. `system` plays the whole system's programs in a small world, and `soak` under faults that overlap. `fleet` plays the decision module alone, a hundred times, on driven
//! time.

pub mod bounds;
pub mod cli;
pub mod driver;
pub mod fleet;
pub mod generator;
pub mod pauses;
pub mod records;
pub mod report;
pub mod scenario;
pub mod schedule;
pub mod shapes;
pub mod soak;
pub mod summary;
pub mod system;
pub mod trace;
pub mod trial;

/// Microseconds: an instant since the run's start, or a span.
pub type Micros = i64;
