//! Command line: reads arguments, runs a command and turns its result into an exit status.
//!
//! It is part of the library so that the stand-ins' programs can run the same commands.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Document;
use futures_lite::future;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use uuid::Uuid;

use crate::Executor;
use crate::Published;
use crate::Settings;

const HELP: &str = "\
Usage:
  arbutusfall serve --settings FILE
  arbutusfall check --base FILE [--overlay FILE]...
  arbutusfall publish base FILE --log IP:PORT [--publish-id UUID]
  arbutusfall publish overlay SITE FILE --log IP:PORT [--publish-id UUID]
  arbutusfall status --vm IP:PORT [--json]
  arbutusfall keys --out DIR [--vm NAME]... [--days N]
  arbutusfall --help | --version

Exit status: 0 done; 1 failed; 2 bad arguments, or mistakes found by check.";

/// Exit status for bad arguments and for mistakes found by `check`.
const EXIT_USAGE: u8 = 2;

/// Days for which certificates are valid unless `--days` says otherwise.
const DEFAULT_DAYS: u32 = 365;

/// A command that ended without success.
#[derive(Debug)]
enum Failure {
    /// The arguments are not usable.
    Usage(String),
    /// The command failed, with one line a problem.
    Failed(Vec<String>),
    /// `check` found mistakes, one line each.
    Mistakes(Vec<String>),
}

impl From<lexopt::Error> for Failure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

fn failed(error: impl fmt::Display) -> Failure {
    Failure::Failed(vec![error.to_string()])
}

/// Runs the command that the arguments ask for; they begin with the command's name.
pub fn run_command_line(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let failure = match run_command(Parser::from_args(arguments)) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(failure) => failure,
    };
    let (lines, status) = match failure {
        Failure::Usage(line) => (vec![line], EXIT_USAGE),
        Failure::Failed(lines) => (lines, 1),
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
        Arg::Long("help") | Arg::Short('h') => println!("{HELP}"),
        Arg::Long("version") | Arg::Short('V') => {
            println!("arbutusfall {}", env!("CARGO_PKG_VERSION"));
        }
        Arg::Value(command) => match command.string()?.as_str() {
            "serve" => serve(parser)?,
            "check" => check(parser)?,
            "publish" => publish(parser)?,
            "status" => status(parser)?,
            "keys" => keys(parser)?,
            other => {
                let line = format!("there is no command `{other}`; see --help");
                return Err(Failure::Usage(line));
            }
        },
        other => return Err(other.unexpected().into()),
    }
    Ok(())
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Usage(format!("{option} is missing; see --help")))
}

fn serve(mut parser: Parser) -> Result<(), Failure> {
    let mut file: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => file = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = Settings::load(&required(file, "--settings")?).map_err(failed)?;
    crate::serve(settings).map_err(failed)
}

fn check(mut parser: Parser) -> Result<(), Failure> {
    let mut base: Option<PathBuf> = None;
    let mut overlays: Vec<PathBuf> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("base") => base = Some(parser.value()?.into()),
            Arg::Long("overlay") => overlays.push(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let checked = crate::check_files(&required(base, "--base")?, &overlays);
    checked.map_err(|errors| Failure::Mistakes(errors.iter().map(ToString::to_string).collect()))
}

fn publish(mut parser: Parser) -> Result<(), Failure> {
    let mut words: Vec<OsString> = Vec::new();
    let mut log: Option<SocketAddr> = None;
    let mut publish_id: Option<Uuid> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(word) => words.push(word),
            Arg::Long("log") => log = Some(parser.value()?.parse()?),
            Arg::Long("publish-id") => publish_id = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let usage = || Failure::Usage("expected `base FILE` or `overlay SITE FILE`".to_owned());
    let (document, file) = match words.as_slice() {
        [kind, file] if kind == "base" => (Document::Base, PathBuf::from(file)),
        [kind, site, file] if kind == "overlay" => {
            let site = site.to_str().ok_or_else(usage)?;
            (Document::Overlay(site.into()), PathBuf::from(file))
        }
        _ => return Err(usage()),
    };
    let log = required(log, "--log")?;
    let content = read_document(&file)?;
    let publish_id = publish_id.unwrap_or_else(Uuid::now_v7);
    let executor = Arc::new(Executor::new());
    let publishing = crate::publish(&executor, log, publish_id, document, content);
    match future::block_on(executor.run(publishing)).map_err(failed)? {
        Published::Accepted { revision } => {
            println!("accepted, revision {revision}");
            Ok(())
        }
        Published::Rejected(rejection) => {
            let rejection = serde_json::to_string(&rejection).map_err(failed)?;
            Err(Failure::Failed(vec![format!("rejected: {rejection}")]))
        }
    }
}

fn read_document(file: &Path) -> Result<serde_json::Value, Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Failed(vec![format!("{name}: {error}")]))?;
    arbutusfall_core::config::parse_document(&text)
        .map_err(|error| Failure::Failed(vec![format!("{name}: {error}")]))
}

fn status(mut parser: Parser) -> Result<(), Failure> {
    let mut vm: Option<SocketAddr> = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("vm") => vm = Some(parser.value()?.parse()?),
            Arg::Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let vm = required(vm, "--vm")?;
    let executor = Arc::new(Executor::new());
    let fetched = future::block_on(executor.run(crate::fetch_status(&executor, vm)));
    let document = fetched.map_err(failed)?;
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&document).map_err(failed)?
        );
        return Ok(());
    }
    let status = &document.status;
    println!(
        "{} ({}, {})",
        status.identity.vm, status.identity.site, status.identity.data_centre
    );
    println!("ready {}, draining {}", status.ready, status.draining);
    println!(
        "base {:?}, overlay {:?}",
        status.base_revision, status.overlay_revision
    );
    for vm in &status.vms {
        println!("vm {} in {}: {:?}", vm.vm, vm.data_centre, vm.state);
    }
    for endpoint in &status.endpoints {
        let name = &endpoint.endpoint;
        println!(
            "endpoint {name}: {} of {} slots granted",
            endpoint.grants, endpoint.slots
        );
    }
    println!(
        "streams {}, calls {}, claims {}",
        status.streams, status.calls, status.claims
    );
    for (counter, total) in &document.counters {
        println!("counter {counter} {total}");
    }
    Ok(())
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
            other => return Err(other.unexpected().into()),
        }
    }
    let out = required(out, "--out")?;
    let lifetime = Duration::from_secs(u64::from(days) * 24 * 3_600);
    crate::make_authority(&out, lifetime).map_err(failed)?;
    if vms.is_empty() {
        vms.push("vm".to_owned());
    }
    for vm in &vms {
        crate::make_vm_certificate(&out, vm, lifetime).map_err(failed)?;
    }
    Ok(())
}
