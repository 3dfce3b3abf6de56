//! What any data plane around the decision module needs, and no socket: the engine that hosts the module, framing,
//! clock, deadlines, limits, and what becomes of one connection or one body.
//!
//! [`engine`] deals in authorisations, legs and outcomes. The event loops and the wires are in the crates that use
//! this one.

pub mod client_connection;
pub mod clock;
pub mod deadlines;
pub mod engine;
pub mod framing;
pub mod lifecycle;
pub mod limits;
pub mod plan_resolver;
pub mod probes;
pub mod relay;
pub mod slots;
pub mod upload;
pub mod upstreams;
