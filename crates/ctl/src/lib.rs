//! The library of the operators' command line. [`status`] collects and compares the status reports of the replicas,
//! [`configuration`] is the exported configuration, and [`diff`] compares two of them; [`http`] queries a replica.

pub mod configuration;
pub mod diff;
pub mod http;
pub mod status;
