//! The parts of a data plane around the decision module that need no sockets: the engine that hosts
//! the module, HTTP framing, the pool of upstream connections, the state machines of connections
//! and bodies, clock, deadlines and limits.
//!
//! [`engine`] works in terms of authorisations, attempts and outcomes. Event loops and sockets are
//! in the crates that use this one.

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
