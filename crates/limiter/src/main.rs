//! The `streamarch` program. Everything but this entry point is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    limiter::cli::main(std::env::args_os())
}
