//! The control program. One runs in each zone, and is a replica of the control state: together the replicas hold the
//! configuration, know the servers and the edges, and keep the shared counter.
//!
//! [`core`] is the deterministic part without I/O: messages, times and completed writes in; messages, records to write and
//! answers out. [`operator_api`] parses operators' calls, [`lookup`] decides where clients are sent, [`disk`] owns the
//! database, and [`host`] is the event loop around them.

pub mod core;
mod dataplane_types;
pub mod disk;
pub mod host;
pub mod limits;
pub mod lookup;
pub mod operator_api;
