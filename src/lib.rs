//! The decisions of a gateway that meters and limits many customers' use of one shared service.
//!
//! A host passes [`Event`]s to a [`Balancer`] and carries out the [`Action`]s that it returns. The library opens
//! no sockets, reads no clock and starts no threads. `interface.rs` has the public types, `state.rs` the state of
//! a gateway, and `policy/` the decisions, one file for each concern.

mod interface;
mod policy;
mod state;

pub use interface::*;
pub use policy::should_shed;
pub use state::Balancer;

/// Compiles the examples in the README as doc tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
