//! The limiter daemon around the decision module, on real sockets.
//!
//! [`engine`] hosts the decision module without any I/O; it deals in authorisations, attempts and outcomes. [`net`] is
//! the event loop. It runs the front ends of [`frontend`] and the clients of servers, counter, discovery and peers.

pub mod cli;
pub mod config;
pub mod counter_client;
pub mod disabled_servers;
pub mod frontend;
pub mod handover;
pub mod logging;
pub mod net;
pub mod operators;
pub mod peers;
pub mod raft;
pub mod routing_table;
pub mod usage_cli;

pub use dataplane::{
    client_connection, deadlines, engine, lifecycle, limits, plan_resolver, probes, relay, slots,
    upload, upstreams,
};
