//! The agent beside a proxy.

use std::process::ExitCode;

use agent::host::Host;
use dataplane::clock::Clock;
use protocol::program::{self, ProgramContext};

fn main() -> ExitCode {
    program::run(
        "agent",
        agent::host::check,
        |ProgramContext {
             settings,
             settings_path: file,
             log_ring: ring,
         }| {
            let mut host = Host::open(settings, Some(file), Clock::steady(), &ring)?;
            host.serve_metrics();
            host.run()
        },
    )
}
