//! Arguments and output of `arbutusfall status`.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use arbutusfall_wire::Offset;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::Executor;
use crate::StatusDocument;
use crate::StatusError;

use super::CommandExit;
use super::common_option;
use super::failed;
use super::required;

/// Parses the arguments, and fetches and prints a VM's status.
pub(super) fn status(mut parser: Parser) -> Result<(), CommandExit> {
    let mut vm: Option<SocketAddr> = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("vm") => vm = Some(parser.value()?.parse()?),
            Arg::Long("json") => json = true,
            other => return Err(common_option(other)),
        }
    }
    let vm = required(vm, "--vm")?;
    let executor = Arc::new(Executor::new());
    let fetched = future::block_on(executor.run(crate::fetch_status(&executor, vm)));
    let status_document = fetched.map_err(failed)?;
    if json {
        println!("{}", to_json(vm, &status_document).map_err(failed)?);
    } else {
        print!("{}", to_text(&status_document));
    }
    Ok(())
}

fn to_json(
    operator_address: SocketAddr,
    status_document: &StatusDocument,
) -> Result<String, Report<StatusError>> {
    serde_json::to_string_pretty(status_document).change_context(StatusError { operator_address })
}

/// Formats the status as tables of aligned columns.
fn to_text(status_document: &StatusDocument) -> String {
    let status = &status_document.status;
    let identity = &status.identity;
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let summary = [
        ["vm".to_owned(), identity.vm.to_string()],
        ["site".to_owned(), identity.site.to_string()],
        ["data centre".to_owned(), identity.data_centre.to_string()],
        ["state".to_owned(), state.to_owned()],
        [
            "base revision".to_owned(),
            revision_text(status.base_revision),
        ],
        [
            "overlay revision".to_owned(),
            revision_text(status.overlay_revision),
        ],
        ["streams".to_owned(), status.streams.to_string()],
        ["calls".to_owned(), status.calls.to_string()],
        ["claims".to_owned(), status.claims.to_string()],
    ];
    let vms = status.vms.iter().map(|vm| {
        let state = format!("{:?}", vm.state).to_lowercase();
        [vm.vm.to_string(), vm.data_centre.to_string(), state]
    });
    let endpoints = status.endpoints.iter().map(|endpoint| {
        [
            endpoint.endpoint.to_string(),
            endpoint.serves.to_string(),
            endpoint.grants.to_string(),
            endpoint.slots.to_string(),
        ]
    });
    let counters = status_document.counters.iter();
    let counters = counters.map(|(name, count)| [name.clone(), count.to_string()]);
    let mut text = String::new();
    push_table(&mut text, None, &summary);
    push_table(
        &mut text,
        Some(["VM", "DATA CENTRE", "STATE"]),
        &vms.collect::<Vec<_>>(),
    );
    push_table(
        &mut text,
        Some(["ENDPOINT", "SERVES", "GRANTS", "SLOTS"]),
        &endpoints.collect::<Vec<_>>(),
    );
    push_table(
        &mut text,
        Some(["COUNTER", "TOTAL"]),
        &counters.collect::<Vec<_>>(),
    );
    text
}

fn revision_text(revision: Option<Offset>) -> String {
    revision.map_or_else(|| "none".to_owned(), |offset| offset.to_string())
}

/// Appends a table, unless it has no rows.
pub(super) fn push_table<const COLUMNS: usize>(
    text: &mut String,
    titles: Option<[&str; COLUMNS]>,
    rows: &[[String; COLUMNS]],
) {
    if rows.is_empty() {
        return;
    }
    let titles = titles.map(|titles| titles.map(str::to_owned));
    let rows: Vec<&[String; COLUMNS]> = titles.iter().chain(rows).collect();
    if !text.is_empty() {
        text.push('\n');
    }
    for row in &rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
            // Writing to a string does not fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
}
