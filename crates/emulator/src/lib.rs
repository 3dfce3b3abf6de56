//! Emulated backends of the limiter for load runs and tests: records nodes, the counter and discovery, with faults
//! injected on a schedule.
//!
//! `node`, `counter` and `node_list` do no I/O and read no clock: callers pass the time. `world` combines them and
//! applies the `faults`. `serving` serves a world on loopback sockets from one event loop. `system` emulates the
//! environment of the whole system: the platform's instance list, servers, the operator, and the machines that run the
//! built programs. `http` and `reactor` hold the HTTP and epoll code shared by the servers and the load generator.

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

/// Microseconds: an instant since the start of the world, or a duration.
pub type Micros = i64;
