//! Command line: reads arguments, runs a command and turns its result into an exit status.
//!
//! It is part of the library so that the stand-ins' programs can run the same commands.

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
check takes an overlay's site from the name of its file. status asks a VM's operator address.
keys keeps an authority that is there, and makes a certificate for the VM `vm` unless --vm names others.

Exit status: 0 done; 1 failed; 2 bad arguments, or mistakes found by check.";

/// Exit status of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Exit status for bad arguments and for mistakes found by `check`.
const EXIT_USAGE: u8 = 2;

/// Days for which certificates are valid unless `--days` says otherwise.
const DEFAULT_DAYS: u32 = 365;

/// Longest time for which a certificate can be valid, in days.
const MAX_DAYS: u32 = 36_500;

/// A command that ended without success.
#[derive(Debug)]
enum Failure {
    /// The arguments are not usable.
    Usage(String),
    /// The command failed, with one line a problem.
    Failed(Vec<String>),
    /// `check` found mistakes, one line each.
    Mistakes(Vec<String>),
    /// Help or the version was asked for instead.
    Shown(&'static str),
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; see --help"))
    }
}

/// A failure on one line: what failed, and each cause after a colon.
fn failed<E>(error: Report<E>) -> Failure
where
    E: fmt::Display,
{
    Failure::Failed(vec![format!("{error:#}").replace('\n', " ")])
}

/// Runs the command that the arguments ask for; they begin with the command's name.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let failure = match run_command(Parser::from_args(arguments)) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(failure) => failure,
    };
    let (lines, status) = match failure {
        Failure::Shown(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Failure::Usage(line) => (vec![line], EXIT_USAGE),
        Failure::Failed(lines) => (lines, EXIT_FAILED),
        Failure::Mistakes(lines) => (lines, EXIT_USAGE),
    };
    for line in lines {
        eprintln!("arbutusfall: {line}");
    }
    ExitCode::from(status)
}

fn run_command(mut parser: Parser) -> Result<(), Failure> {
    let missing = || Failure::Usage("a command is missing; see --help".to_owned());
    match parser.next()?.ok_or_else(missing)? {
        Arg::Value(command) => match command.string()?.as_str() {
            "serve" => serve(parser),
            "relay" => relay(parser),
            "check" => check(parser),
            "publish" => publish::publish(parser),
            "status" => status::status(parser),
            "keys" => keys(parser),
            other => Err(Failure::Usage(format!(
                "there is no command `{other}`; see --help"
            ))),
        },
        other => Err(unexpected(other)),
    }
}

/// An argument that the command does not take; help and the version are given after each command too.
fn unexpected(arg: Arg<'_>) -> Failure {
    match arg {
        Arg::Long("help") | Arg::Short('h') => Failure::Shown(HELP),
        Arg::Long("version") | Arg::Short('V') => {
            Failure::Shown(concat!("arbutusfall ", env!("CARGO_PKG_VERSION")))
        }
        other => other.unexpected().into(),
    }
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Usage(format!("{option} is missing; see --help")))
}

fn serve(parser: Parser) -> Result<(), Failure> {
    let settings = Settings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve(settings).map_err(failed)
}

fn relay(parser: Parser) -> Result<(), Failure> {
    let settings = RelayFileSettings::load(&settings_file(parser)?).map_err(failed)?;
    crate::serve_relay(settings).map_err(failed)
}

/// The value of `--settings`, which must be the only option.
fn settings_file(mut parser: Parser) -> Result<PathBuf, Failure> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            other => return Err(unexpected(other)),
        }
    }
    required(file, "--settings")
}

fn check(mut parser: Parser) -> Result<(), Failure> {
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
    checked.map_err(|errors| Failure::Mistakes(errors.iter().map(ToString::to_string).collect()))
}

fn keys(mut parser: Parser) -> Result<(), Failure> {
    let mut out: Option<PathBuf> = None;
    let mut vms: Vec<String> = Vec::new();
    let mut days = DEFAULT_DAYS;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("out") => out = Some(parser.value()?.into()),
            Arg::Long("vm") => vms.push(parser.value()?.string()?),
            Arg::Long("days") => days = parser.value()?.parse()?,
            other => return Err(unexpected(other)),
        }
    }
    let out = required(out, "--out")?;
    if !(1..=MAX_DAYS).contains(&days) {
        let line = format!("--days must be from 1 to {MAX_DAYS}, not {days}");
        return Err(Failure::Usage(line));
    }
    let lifetime = Duration::from_secs(u64::from(days) * 24 * 3_600);
    crate::make_authority(&out, lifetime).map_err(failed)?;
    if vms.is_empty() {
        vms.push("vm".to_owned());
    }
    for vm in &vms {
        let files = crate::make_vm_certificate(&out, vm, lifetime).map_err(failed)?;
        println!("{}", files.certificate_file.display());
    }
    Ok(())
}
