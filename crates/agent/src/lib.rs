//! The agent that runs beside a proxy. It keeps a link to a control program, caches the configuration that it receives, and
//! forwards it to the proxy of its machine over loopback. It forwards the proxy's additions to the shared counter to the
//! replica that keeps the counter.
//!
//! [`config_cache`] holds the configuration and [`replica_selection`] decides which control program to connect to, both without
//! I/O. [`host`] runs the event loop with the connections, and [`link_metrics`] collects metrics about the links.

pub mod config_cache;
pub mod host;
pub mod link_metrics;
pub mod replica_selection;
