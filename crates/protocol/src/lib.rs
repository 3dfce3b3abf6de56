//! The protocol crate: what the programs of the whole system share.
//!
//! [`settings`] reads what a process is told at its start, [`items`] the operators' configuration, [`platform`] the
//! platform's list of servers. [`messages`] are what the programs say to each other and [`frames`] how that is put on a
//! connection. [`ring`] keeps the log until something goes wrong.

pub mod connections;
pub mod digests;
pub mod duration;
pub mod frames;
pub mod items;
pub mod log_ring;
pub mod messages;
pub mod platform;
pub mod program;
pub mod settings;
