//! Command line: parses arguments, runs a command and maps its result to an exit status.
//!
//! It is in the library so that the programs of `arbutusfall_standins` can run the same commands.

mod publish;
mod status;

use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::RelayFileSettings;
use crate::Settings;

const HELP: &str = "\
Usage:
  arbutusfall serve --settings FILE
  arbutusfall relay --settings FILE
  arbutusfall check --base FILE [--overlay FILE]...
  arbutusfall publish base FILE [LOG] [--edited-from REVISION] [--publish-id UUID]
  arbutusfall publish overlay SITE FILE [LOG] [--edited-from REVISION] [--publish-id UUID]
  arbutusfall status --vm IP:PORT [--json]
  arbutusfall keys --out DIR [--vm NAME]... [--days N]
  arbutusfall --help | --version

LOG says where the platform's log is: --log IP:PORT, or --settings FILE with the settings of a VM, or the
environment variable ARBUTUSFALL_LOG=IP:PORT; the first of them that is given is used.

publish replaces the revision in force, or with --edited-from only that revision, so that an edit of an older file is
rejected. It prints its publish id first. After a lost answer, repeat it with --publish-id: it is the same publication.
relay runs a VM on the users' platform; serve runs one with the router's own interface.
check takes an overlay's site from the name of its file. status queries a VM's operator address.
keys keeps an existing authority, and makes a certificate for the VM `vm` unless --vm names others.

Exit status: 0 done; 1 failed; 2 bad arguments, or mistakes found by check.";

/// Exit status of a failed command.
const EXIT_FAILED: u8 = 1;

/// Exit status for bad arguments and for mistakes found by `check`.
const EXIT_USAGE: u8 = 2;

/// Validity of certificates if `--days` is not given, in days.
const DEFAULT_VALIDITY_DAYS: u32 = 365;

/// Longest validity of a certificate, in days.
const MAX_VALIDITY_DAYS: u32 = 36_500;

/// Reason why a command did not run to success.
#[derive(Debug)]
enum CommandError {
    /// The arguments are invalid.
    Usage(String),
    /// The command failed; one line per problem.
    Failed(Vec<String>),
    /// `check` found mistakes; one line per mistake.
    Mistakes(Vec<String>),
    /// Help or the version was requested; this text goes to stdout, and the exit status is 0.
    DisplayText(&'static str),
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; see --help"))
    }
}

/// Formats an error and its causes on one line, separated by colons.
fn failed<E>(error: Report<E>) -> CommandError
where
    E: fmt::Display,
{
    CommandError::Failed(vec![format!("{error:#}").replace('\n', " ")])
}

/// Runs a command and returns its exit status; the first argument is the command's name.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let failure = match run_command(Parser::from_args(arguments)) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(failure) => failure,
    };
    let (lines, status) = match failure {
        CommandError::DisplayText(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        CommandError::Usage(line) => (vec![line], EXIT_USAGE),
        CommandError::Failed(lines) => (lines, EXIT_FAILED),
        CommandError::Mistakes(lines) => (lines, EXIT_USAGE),
    };
    for line in lines {
        eprintln!("arbutusfall: {line}");
    }
    ExitCode::from(status)
}

fn run_command(mut parser: Parser) -> Result<(), CommandError> {
    let missing = || CommandError::Usage("a command is missing; see --help".to_owned());
    match parser.next()?.ok_or_else(missing)? {
        Arg::Value(command) => match command.string()?.as_str() {
            "serve" => serve(parser),
            "relay" => relay(parser),
            "check" => check(parser),
            "publish" => publish::publish(parser),
            "status" => status::status(parser),
            "keys" => keys(parser),
            other => Err(CommandError::Usage(format!(
                "there is no command `{other}`; see --help"
            ))),
        },
        other => Err(unexpected(other)),
    }
}

/// Handles an argument that the command does not take; every command accepts `--help` and `--version`.
fn unexpected(arg: Arg<'_>) -> CommandError {
    match arg {
        Arg::Long("help") | Arg::Short('h') => CommandError::DisplayText(HELP),
        Arg::Long("version") | Arg::Short('V') => {
            CommandError::DisplayText(concat!("arbutusfall ", env!("CARGO_PKG_VERSION")))
        }
        other => other.unexpected().into(),
    }
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, CommandError> {
    value.ok_or_else(|| CommandError::Usage(format!("{option} is missing; see --help")))
}

fn serve(parser: Parser) -> Result<(), CommandError> {
    let settings = Settings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve(settings).map_err(failed)
}

fn relay(parser: Parser) -> Result<(), CommandError> {
    let settings = RelayFileSettings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve_relay(settings).map_err(failed)
}

/// Parses the arguments of a command whose only option is `--settings`.
fn settings_file(mut parser: Parser) -> Result<PathBuf, CommandError> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            other => return Err(unexpected(other)),
        }
    }
    required(file, "--settings")
}

fn check(mut parser: Parser) -> Result<(), CommandError> {
    let mut base: Option<PathBuf> = None;
    let mut overlays: Vec<PathBuf> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("base") => base = Some(parser.value()?.into()),
            Arg::Long("overlay") => overlays.push(parser.value()?.into()),
            other => return Err(unexpected(other)),
        }
    }
    let checked = crate::check_files(&required(base, "--base")?, &overlays);
    checked
        .map_err(|errors| CommandError::Mistakes(errors.iter().map(ToString::to_string).collect()))
}

fn keys(mut parser: Parser) -> Result<(), CommandError> {
    let mut out: Option<PathBuf> = None;
    let mut vms: Vec<String> = Vec::new();
    let mut days = DEFAULT_VALIDITY_DAYS;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("out") => out = Some(parser.value()?.into()),
            Arg::Long("vm") => vms.push(parser.value()?.string()?),
            Arg::Long("days") => days = parser.value()?.parse()?,
            other => return Err(unexpected(other)),
        }
    }
    let out = required(out, "--out")?;
    if !(1..=MAX_VALIDITY_DAYS).contains(&days) {
        let line = format!("--days must be from 1 to {MAX_VALIDITY_DAYS}, not {days}");
        return Err(CommandError::Usage(line));
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
