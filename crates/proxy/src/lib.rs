//! The proxy of an edge: it accepts clients' requests, lets the decision module admit and place
//! them, and forwards the servers' answers. Its configuration arrives from the agent of its
//! machine.
//!
//! [`config_store`], [`config_freshness`], [`server_table`], [`answers`], [`shedding`],
//! [`adaptive_timeout`] and [`router`] hold the state and decide, without I/O; [`host`] owns the
//! connections.

pub mod adaptive_timeout;
pub mod config_freshness;
pub mod config_store;
pub mod host;
pub mod response_class;
pub mod router;
pub mod server_table;
pub mod shedding;
