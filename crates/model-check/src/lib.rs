//! Exhaustive checking of the agreement of one item among replicas, within stated bounds.
//!
//! [`state`] is one state of all machines and of the messages between them, [`steps`] what can change it,
//! [`properties`] what must hold in each, [`bounds`] how far it is explored and [`model`] what the checker is
//! given. The steps are a model of `control::core`: the test `equivalence` plays random walks of both and
//! compares each verdict.

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
