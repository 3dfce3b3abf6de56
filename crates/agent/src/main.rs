//! The agent program, which runs beside a proxy.

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
             settings_path,
             log_ring,
         }| {
            let mut host = Host::open(settings, Some(settings_path), Clock::steady(), &log_ring)?;
            host.serve_metrics();
            host.run()
        },
    )
}
