//! The simulation: a cluster of the system's programs in one process, on driven time, under seeded schedules of trouble.
//!
//! It drives the code that the programs run: `control::core::Core`, and at the edges agent's `Known` and `Links`
//! and proxy's `ConfigStore`, `ServerTable` and `RequestRouter`. What it checks is told in docs/core.md.

pub mod chance;
pub mod cluster;
mod count_lost;
pub mod disk;
pub mod draw;
pub mod edges;
pub mod harm;
pub mod history;
pub mod play;
pub mod scale;
pub mod schedule;
pub mod shrink;
