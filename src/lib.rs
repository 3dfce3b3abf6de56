//! streamarch: the decisions of a gateway that meters many customers' use of one shared service.
//!
//! A host feeds [`Event`]s to a [`Balancer`] and carries out the [`Action`]s it gets back. The library opens
//! no sockets, reads no clock and starts no threads. The decisions are in `policy/`, by concern; the types are in
//! `interface.rs`, what a gateway remembers in `state.rs`.

mod interface;
mod policy;
mod state;

pub use interface::*;
pub use policy::should_shed;
pub use state::Balancer;

/// Compiles the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
