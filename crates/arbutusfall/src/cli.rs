//! Command line: parses arguments, runs a command and maps its result to an exit status.
//!
//! It is in the library so that the programs of `arbutusfall_standins` can run the same commands.

mod explain;
mod publish;
mod status;

use std::ffi::OsString;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arbutusfall_platform::callers::PROMPT_PREFIX;
use arbutusfall_platform::callers::TOKEN_COUNTS;
use error_stack::Report;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::RelayProcessSettings;
use crate::Settings;

/// Exit status of a failed command.
const EXIT_FAILED: u8 = 1;

/// Exit status for bad arguments and for problems found by `check`.
const EXIT_USAGE: u8 = 2;

/// Validity of certificates if `--days` is not given, in days.
const DEFAULT_VALIDITY_DAYS: u32 = 365;

/// Longest validity of a certificate, in days.
const MAX_VALIDITY_DAYS: u32 = 36_500;

/// Returns the text of `--help`.
fn help() -> String {
    format!(
        "\
Usage:
  arbutusfall serve --settings FILE
  arbutusfall relay --settings FILE
  arbutusfall check --base FILE [--overlay FILE]...
  arbutusfall check --relay-settings FILE
  arbutusfall publish base FILE [LOG] [--edited-from REVISION] [--publish-id UUID]
  arbutusfall publish overlay SITE FILE [LOG] [--edited-from REVISION] [--publish-id UUID]
  arbutusfall status --vm IP:PORT [--json]
  arbutusfall explain --vm IP:PORT --path PATH [--account NAME] [--host NAME] [--prompt-prefix PARTS]
                      [--token-counts PROMPT,OUTPUT] [--deadline-ms MS] [--json]
  arbutusfall explain --vm IP:PORT --request-id ID [--json]
  arbutusfall keys --out DIR [--vm NAME]... [--days N]
  arbutusfall --help | --version

LOG gives the address of the log service: --log IP:PORT, or --settings FILE with the settings of a VM, or the
environment variable ARBUTUSFALL_LOG=IP:PORT, in this order of precedence.

publish replaces the revision in force. With --edited-from, it fails unless REVISION is still in force. It first prints
its publish id. If no answer arrives, repeat the command with --publish-id and that id: it is applied at most once.
relay runs a VM that is configured from the store of the users' platform; serve runs one that is configured from the
log service. check takes an overlay's site from the name of its file; with --relay-settings, it
checks the settings of a VM that runs relay, as relay does at its start. status queries a VM's operator address.
explain prints where a request would be routed now by a VM that runs relay, and why, without sending it: a new one, or
one that is in progress there. PARTS and PROMPT,OUTPUT are values of the headers {PROMPT_PREFIX} and {TOKEN_COUNTS}. An
account is stated by its name, never by a key.
keys reuses an existing authority. Without --vm, it makes one certificate, for a VM named `vm`.

Exit status: 0 done; 1 failed; 2 bad arguments, or problems found by check."
    )
}

/// Result of a command that did not succeed, or that only shows help or the version.
#[derive(Debug)]
enum CommandExit {
    /// The arguments are invalid.
    Usage(String),
    /// The command failed; one line per problem.
    Failed(Vec<String>),
    /// `check` found problems; one line per problem.
    Problems(Vec<String>),
    /// Help or the version was requested; this text goes to stdout, and the exit status is 0.
    DisplayText(String),
}

impl From<lexopt::Error> for CommandExit {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; see --help"))
    }
}

/// Formats an error and its causes on one line, separated by colons.
fn failed<E>(error: Report<E>) -> CommandExit
where
    E: fmt::Display,
{
    CommandExit::Failed(vec![format!("{error:#}").replace('\n', " ")])
}

/// Runs a command and returns its exit status; `arguments` starts with the command, such as `serve`, without the
/// program's name.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let exit = match run_command(Parser::from_args(arguments)) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(exit) => exit,
    };
    let (lines, status) = match exit {
        CommandExit::DisplayText(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        CommandExit::Usage(line) => (vec![line], EXIT_USAGE),
        CommandExit::Failed(lines) => (lines, EXIT_FAILED),
        CommandExit::Problems(lines) => (lines, EXIT_USAGE),
    };
    for line in lines {
        eprintln!("arbutusfall: {line}");
    }
    ExitCode::from(status)
}

fn run_command(mut parser: Parser) -> Result<(), CommandExit> {
    let missing = || CommandExit::Usage("a command is missing; see --help".to_owned());
    match parser.next()?.ok_or_else(missing)? {
        Arg::Value(command) => match command.string()?.as_str() {
            "serve" => serve(parser),
            "relay" => relay(parser),
            "check" => check(parser),
            "publish" => publish::publish(parser),
            "status" => status::status(parser),
            "explain" => explain::explain(parser),
            "keys" => keys(parser),
            other => Err(CommandExit::Usage(format!(
                "there is no command `{other}`; see --help"
            ))),
        },
        other => Err(common_option(other)),
    }
}

/// Handles `--help` and `--version`, which every command accepts; any other argument is an error.
fn common_option(arg: Arg<'_>) -> CommandExit {
    match arg {
        Arg::Long("help") | Arg::Short('h') => CommandExit::DisplayText(help()),
        Arg::Long("version") | Arg::Short('V') => {
            CommandExit::DisplayText(concat!("arbutusfall ", env!("CARGO_PKG_VERSION")).to_owned())
        }
        other => other.unexpected().into(),
    }
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, CommandExit> {
    value.ok_or_else(|| CommandExit::Usage(format!("{option} is missing; see --help")))
}

fn serve(parser: Parser) -> Result<(), CommandExit> {
    let settings = Settings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve(settings).map_err(failed)
}

fn relay(parser: Parser) -> Result<(), CommandExit> {
    let settings = RelayProcessSettings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve_relay(settings).map_err(failed)
}

/// Parses the arguments of a command whose only option is `--settings`.
fn settings_file(mut parser: Parser) -> Result<PathBuf, CommandExit> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            other => return Err(common_option(other)),
        }
    }
    required(file, "--settings")
}

fn check(mut parser: Parser) -> Result<(), CommandExit> {
    let mut base: Option<PathBuf> = None;
    let mut overlays: Vec<PathBuf> = Vec::new();
    let mut relay_settings: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("base") => base = Some(parser.value()?.into()),
            Arg::Long("overlay") => overlays.push(parser.value()?.into()),
            Arg::Long("relay-settings") => relay_settings = Some(parser.value()?.into()),
            other => return Err(common_option(other)),
        }
    }
    if let Some(file) = relay_settings {
        check_relay_settings(&file)?;
        if base.is_none() && overlays.is_empty() {
            return Ok(());
        }
    }
    let checked = crate::check_files(&required(base, "--base")?, &overlays);
    checked
        .map_err(|errors| CommandExit::Problems(errors.iter().map(ToString::to_string).collect()))
}

fn check_relay_settings(file: &Path) -> Result<(), CommandExit> {
    match RelayProcessSettings::load(file) {
        Ok(_) => Ok(()),
        Err(error) => Err(CommandExit::Problems(vec![
            error.current_context().to_string(),
        ])),
    }
}

fn keys(mut parser: Parser) -> Result<(), CommandExit> {
    let mut out: Option<PathBuf> = None;
    let mut vms: Vec<String> = Vec::new();
    let mut days = DEFAULT_VALIDITY_DAYS;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("out") => out = Some(parser.value()?.into()),
            Arg::Long("vm") => vms.push(parser.value()?.string()?),
            Arg::Long("days") => days = parser.value()?.parse()?,
            other => return Err(common_option(other)),
        }
    }
    let out = required(out, "--out")?;
    if !(1..=MAX_VALIDITY_DAYS).contains(&days) {
        let line = format!("--days must be from 1 to {MAX_VALIDITY_DAYS}, not {days}");
        return Err(CommandExit::Usage(line));
    }
    let validity = Duration::from_secs(u64::from(days) * 24 * 3_600);
    crate::make_authority(&out, validity).map_err(failed)?;
    if vms.is_empty() {
        vms.push("vm".to_owned());
    }
    for vm in &vms {
        let files = crate::make_vm_certificate(&out, vm, validity).map_err(failed)?;
        println!("{}", files.certificate_file.display());
    }
    Ok(())
}
