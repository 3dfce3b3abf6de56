//! The proxy program.

use std::process::ExitCode;

use dataplane::clock::Clock;
use protocol::program::{self, ProgramContext};
use proxy::host::Host;

fn main() -> ExitCode {
    program::run(
        "proxy",
        proxy::host::check_settings,
        |ProgramContext {
             settings, log_ring, ..
         }| {
            let mut host = Host::open(settings, Clock::steady(), log_ring)?;
            host.serve_metrics();
            host.run()
        },
    )
}
