//! What the programs of the system share: settings, configuration items, the platform's list, messages and connections.
//!
//! [`settings`] reads the settings file of a process, [`items`] the operators' configuration and [`platform`] the platform's
//! list of servers. [`messages`] are the messages between the programs, [`frames`] their encoding, and [`connections`] the
//! sockets that carry them. [`digests`] compare sets of items. [`log_ring`] buffers the log until something goes wrong,
//! [`metrics`] report figures to operators, and [`invariant`] counts the checks of what must hold.

pub mod connections;
pub mod digests;
pub mod duration;
pub mod frames;
pub mod invariant;
pub mod items;
pub mod log_ring;
pub mod messages;
pub mod metrics;
pub mod platform;
pub mod program;
pub mod settings;
