//! The agent beside a proxy. It keeps a link to a control program, caches the configuration that it is sent, and forwards it to
//! the proxy of its machine over loopback. The proxy's additions to the shared counter go to the replica that keeps it.
//!
//! [`config_cache`] holds the configuration and [`replica_selection`] decides which control program to call, both without I/O;
//! [`host`] has the connections, [`link_metrics`] what operators are told about the links.

pub mod config_cache;
pub mod host;
pub mod link_metrics;
pub mod replica_selection;
