//! The proxy of an edge: it accepts clients' requests, has the decision module (crate `streamarch`)
//! admit them and select their servers, and forwards the servers' responses. Its configuration
//! arrives from the agent on the same machine.
//!
//! [`config_store`], [`config_freshness`], [`server_table`], [`response_class`], [`shedding`],
//! [`adaptive_timeout`] and [`router`] contain the state and the logic, and perform no I/O; [`host`]
//! is the event loop, which owns the connections.

pub mod adaptive_timeout;
pub mod config_freshness;
pub mod config_store;
pub mod host;
pub mod response_class;
pub mod router;
pub mod server_table;
pub mod shedding;
