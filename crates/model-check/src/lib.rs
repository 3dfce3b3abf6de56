//! Exhaustive model checking of single-item consensus among replicas, within finite bounds.
//!
//! [`state`] defines the global state: all machines and the messages between them. [`steps`] defines its
//! transitions, [`properties`] the invariants, [`bounds`] the limits of an exploration, and [`model`] the
//! interface to the model checker. The transitions model `control::core`: the test `equivalence` runs random
//! walks through the implementation and the model and compares every response.

pub mod bounds;
pub mod exploration;
pub mod model;
pub mod named_bounds;
pub mod packed_types;
pub mod properties;
pub mod quorums;
pub mod state;
pub mod steps;
pub mod symmetry;
