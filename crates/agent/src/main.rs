//! The agent beside a proxy.

use std::process::ExitCode;

use agent::host::Host;
use dataplane::clock::Clock;
use protocol::program::{self, Started};

fn main() -> ExitCode {
    program::run(
        "agent",
        agent::host::check,
        |Started {
             settings,
             file,
             ring,
         }| { Host::open(settings, Some(file), Clock::steady(), &ring)?.run() },
    )
}
