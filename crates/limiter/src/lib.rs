//! The limiter around the decision module: an embeddable engine that knows no wire, and a daemon on real sockets.
//!
//! [`engine`] hosts the module and deals in authorisations, legs and outcomes. [`net`] is the event loop on which
//! the fronts of [`frontend`] and the pieces that speak to servers, counter, discovery and peers run.

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
