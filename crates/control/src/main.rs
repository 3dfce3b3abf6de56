//! The control program of the system: runs until SIGTERM.

use std::process::ExitCode;

use protocol::program::{self, ProgramContext};

fn main() -> ExitCode {
    program::run(
        "control",
        control::host::check,
        |ProgramContext {
             settings,
             log_ring: ring,
             ..
         }| { control::host::serve(&settings, ring.logger("control", &settings.node)) },
    )
}
