//! Arguments and output of `arbutusfall publish`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use arbutusfall_wire::Document;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Rejection;
use futures_lite::future;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use uuid::Uuid;

use crate::Executor;
use crate::PublishOutcome;
use crate::Settings;

use super::CommandExit;
use super::common_option;
use super::failed;

/// Environment variable with the address of the platform's log service.
const LOG_VARIABLE: &str = "ARBUTUSFALL_LOG";

/// Options for the address of the platform's log service.
#[derive(Debug, Default)]
struct LogOptions {
    address: Option<SocketAddr>,
    settings_file: Option<PathBuf>,
}

impl LogOptions {
    /// Returns the address from `--log`, else from the settings file, else from the environment.
    fn resolve(self) -> Result<SocketAddr, CommandExit> {
        if let Some(address) = self.address {
            return Ok(address);
        }
        if let Some(file) = self.settings_file {
            let settings = Settings::load(&file).map_err(failed)?;
            return Ok(settings.log_service_address);
        }
        let missing = || {
            let options = format!("--log, --settings or {LOG_VARIABLE}");
            CommandExit::Usage(format!(
                "the address of the log service is missing: give {options}; see --help"
            ))
        };
        let address = std::env::var(LOG_VARIABLE).map_err(|_| missing())?;
        let unusable =
            |_| CommandExit::Usage(format!("{LOG_VARIABLE}: `{address}` is not IP:PORT"));
        address.parse().map_err(unusable)
    }
}

/// Parses the arguments and publishes a document.
pub(super) fn publish(mut parser: Parser) -> Result<(), CommandExit> {
    let mut operands: Vec<OsString> = Vec::new();
    let mut log = LogOptions::default();
    let mut publish_id: Option<Uuid> = None;
    let mut edited_from: Option<Offset> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(operand) => operands.push(operand),
            Arg::Long("log") => log.address = Some(parser.value()?.parse()?),
            Arg::Long("settings") => log.settings_file = Some(parser.value()?.into()),
            Arg::Long("edited-from") => edited_from = Some(Offset(parser.value()?.parse()?)),
            Arg::Long("publish-id") => publish_id = Some(parser.value()?.parse()?),
            other => return Err(common_option(other)),
        }
    }
    let (document, file) = parse_operands(&operands)?;
    let log = log.resolve()?;
    let content = read_json(&file)?;
    let publish_id = publish_id.unwrap_or_else(Uuid::now_v7);
    println!("publish id {publish_id}");
    let executor = Arc::new(Executor::new());
    let publishing = crate::publish(&executor, log, publish_id, document, edited_from, content);
    match future::block_on(executor.run(publishing)).map_err(failed)? {
        PublishOutcome::Accepted { revision } => {
            println!("accepted, revision {revision}");
            Ok(())
        }
        PublishOutcome::Rejected(rejection) => {
            Err(CommandExit::Failed(rejection_lines(&rejection)))
        }
    }
}

fn parse_operands(operands: &[OsString]) -> Result<(Document, PathBuf), CommandExit> {
    let usage = || {
        let line = "expected `base FILE` or `overlay SITE FILE`; see --help";
        CommandExit::Usage(line.to_owned())
    };
    match operands {
        [kind, file] if kind == "base" => Ok((Document::Base, PathBuf::from(file))),
        [kind, site, file] if kind == "overlay" => {
            let site = site.to_str().ok_or_else(usage)?;
            Ok((Document::Overlay(site.into()), PathBuf::from(file)))
        }
        _ => Err(usage()),
    }
}

fn read_json(file: &Path) -> Result<serde_json::Value, CommandExit> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandExit::Failed(vec![format!("{name}: {error}")]))?;
    arbutusfall_core::config::parse_document(&text)
        .map_err(|error| CommandExit::Failed(vec![format!("{name}: {error}")]))
}

/// Formats the reasons of a rejection, one per line.
fn rejection_lines(rejection: &Rejection) -> Vec<String> {
    match rejection {
        Rejection::StaleParent {
            in_force: Some(revision),
        } => vec![format!(
            "rejected: another edit came first, revision {revision} is in force"
        )],
        Rejection::StaleParent { in_force: None } => {
            vec!["rejected: no revision of this document is in force".to_owned()]
        }
        Rejection::Invalid { problems } => {
            let lines = problems.iter().map(|problem| {
                let document = match &problem.document {
                    Document::Base => "base".to_owned(),
                    Document::Overlay(site) => format!("overlay {site}"),
                };
                let path = &problem.path;
                let found = &problem.found;
                let allowed = &problem.allowed;
                format!("rejected: {document}: {path}: {found}; allowed: {allowed}")
            });
            lines.collect()
        }
    }
}
