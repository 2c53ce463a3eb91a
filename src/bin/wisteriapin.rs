//! Command line for operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    wisteriapin::cli::run()
}
