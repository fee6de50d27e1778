//! The `arbutusfall` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    arbutusfall::run_command_line(std::env::args_os().skip(1))
}
