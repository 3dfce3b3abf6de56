//! The load laboratory's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    load::cli::main(std::env::args_os().skip(1))
}
