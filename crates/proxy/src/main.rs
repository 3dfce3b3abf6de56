//! The proxy program.

use std::process::ExitCode;

use dataplane::clock::Clock;
use protocol::program::{self, ProgramContext};
use proxy::host::Host;

fn main() -> ExitCode {
    program::run(
        "proxy",
        proxy::host::check,
        |ProgramContext { settings, ring, .. }| Host::open(settings, Clock::steady(), ring)?.run(),
    )
}
