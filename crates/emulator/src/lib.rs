//! The emulated world of the limiter, for load runs and tests: records nodes, the counter and discovery, with faults
//! that come by a timed plan.
//!
//! `node`, `counter` and `roster` decide without I/O and without a clock of their own: they are told the time. `world`
//! joins them and applies the `faults`. `serving` puts a world on loopback sockets, one event loop for all of it.
//! `system` is the world of the whole system: the platform's list, servers and the operator, and the machines that the
//! built programs run on. `http` and `reactor` are what a server and a load generator need of the wire and of the system.

pub mod counter;
pub mod faults;
pub mod http;
pub mod node;
pub mod node_list;
pub mod plan;
pub mod reactor;
pub mod serving;
pub mod system;
pub mod world;

/// Microseconds: an instant since the world's start, or a span.
pub type Micros = i64;
