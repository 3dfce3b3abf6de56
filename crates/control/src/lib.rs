//! The control: the control program of the system. One runs on each machine of the core, and each zone has one: a
//! replica. Together they hold the configuration, know the servers and the limiters, and keep the shared count.
//!
//! [`core`] is the deterministic part without I/O: messages, times and disk results in; messages, times and disk writes
//! out. [`lookup`] answers where clients go, [`calls`] decodes what operators ask, [`disk`] owns the database, and
//! [`host`] is the event loop around them.

pub mod core;
mod dataplane_types;
pub mod disk;
pub mod host;
pub mod limits;
pub mod lookup;
pub mod operator_api;
