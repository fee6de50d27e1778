//! Runs the demo, the experiment tool, one stand-in, or a command of `arbutusfall`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let command = arguments.next().unwrap_or_default();
    match command.to_str() {
        Some("demo") => arbutusfall_standins::demo(),
        Some("arbutusfall") => arbutusfall::run_command_line(arguments),
        Some("experiment") => arbutusfall_standins::experiment(arguments),
        Some("stand-in") => arbutusfall_standins::run_stand_in(arguments),
        _ => {
            eprintln!(
                "usage: arbutusfall_standins demo | experiment ... | stand-in log|vm-list|service|collector|engine ADDRESS [OPTIONS] | arbutusfall ..."
            );
            ExitCode::from(2)
        }
    }
}
