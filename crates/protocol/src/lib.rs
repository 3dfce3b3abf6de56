//! Code that the programs of the system share: settings, configuration items, the platform's list of servers, messages and
//! connections.
//!
//! [`settings`] reads the settings file of a process, [`items`] the operators' configuration and [`platform`] the platform's
//! list of servers; [`duration`] is the format of durations in them. [`messages`] defines the messages between the programs,
//! [`frames`] their encoding, and [`connections`] manages the sockets that carry them. [`digests`] compares sets of items.
//! [`program`] starts a process, [`log_ring`] buffers its log until an error occurs, [`metrics`] serves its metrics to
//! operators, and [`invariant`] counts checks of conditions that must hold.

pub mod connections;
pub mod digests;
pub mod duration;
pub mod frames;
pub mod invariant;
pub mod items;
pub mod json_text;
pub mod log_ring;
pub mod messages;
pub mod metrics;
pub mod platform;
pub mod program;
pub mod settings;
