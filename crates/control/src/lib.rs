//! The control program. One runs in each zone, and is a replica of the control state: together the replicas hold the
//! configuration, track the servers and the edges, and keep the shared counter.
//!
//! [`core`] is the deterministic part without I/O: its inputs are messages, times and completed writes, its outputs messages,
//! records to write and replies. [`operator_api`] parses operators' calls, [`lookup`] selects the edges for a client, [`disk`] owns the
//! database, and [`host`] is the event loop around them.

pub mod core;
mod dataplane_types;
pub mod disk;
pub mod host;
pub mod limits;
pub mod lookup;
pub mod operator_api;
