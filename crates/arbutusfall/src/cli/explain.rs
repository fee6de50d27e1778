//! Arguments and output of `arbutusfall explain`.

use std::net::SocketAddr;
use std::sync::Arc;

use arbutusfall_core::relay::CandidateEndpoint;
use arbutusfall_core::relay::ExplainedDecision;
use arbutusfall_core::relay::ExplainedQuota;
use arbutusfall_wire::Name;
use error_stack::Report;
use futures_lite::future;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::Executor;
use crate::ExplainDocument;
use crate::ExplainQuestion;

use super::CommandExit;
use super::common_option;
use super::failed;
use super::required;
use super::status::push_table;

/// Parses the arguments, and fetches and prints an explanation.
pub(super) fn explain(mut parser: Parser) -> Result<(), CommandExit> {
    let mut vm: Option<SocketAddr> = None;
    let mut json = false;
    let mut question = ExplainQuestion::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("vm") => vm = Some(parser.value()?.parse()?),
            Arg::Long("json") => json = true,
            Arg::Long(option) => {
                let parameter = option.replace('-', "_");
                match question.field_mut(&parameter) {
                    Some(field) => *field = Some(parser.value()?.string()?),
                    None => return Err(common_option(Arg::Long(option))),
                }
            }
            other => return Err(common_option(other)),
        }
    }
    let vm = required(vm, "--vm")?;
    if let Err(error) = question.to_relay_query() {
        return Err(CommandExit::Usage(format!("{error}; see --help")));
    }
    let executor = Arc::new(Executor::new());
    let fetched = crate::fetch_explanation(&executor, vm, &question);
    let document = future::block_on(executor.run(fetched)).map_err(failed)?;
    if json {
        let text = serde_json::to_string_pretty(&document);
        println!("{}", text.map_err(|error| failed(Report::new(error)))?);
    } else {
        print!("{}", to_text(&document));
    }
    Ok(())
}

/// Formats an explanation as tables of aligned columns.
fn to_text(document: &ExplainDocument) -> String {
    let mut text = String::new();
    push_table(&mut text, None, &summary(document));
    let ages = document.fact_ages_ms.iter();
    let ages = ages.map(|(topic, age)| [topic.clone(), format!("{age} ms")]);
    push_table(&mut text, Some(["FACTS", "AGE"]), &ages.collect::<Vec<_>>());
    if let Some(quota) = &document.explanation.request.quota {
        push_table(&mut text, Some(["QUOTA", ""]), &quota_rows(quota));
    }
    let candidates = document.explanation.request.candidates.iter();
    push_table(
        &mut text,
        Some([
            "ENDPOINT",
            "ROLE",
            "VERSION",
            "STATE",
            "FOR MS",
            "IN FLIGHT",
            "TOKENS",
            "LATENCY MS",
        ]),
        &candidates.map(candidate_row).collect::<Vec<_>>(),
    );
    text
}

fn summary(document: &ExplainDocument) -> Vec<[String; 2]> {
    let explanation = &document.explanation;
    let request = &explanation.request;
    let mut rows = vec![
        ("vm", document.vm.to_string()),
        ("ready", document.ready.to_string()),
        ("config version", number(request.config_version)),
        ("route", text(request.route.as_ref())),
        ("service", text(request.service.as_ref())),
        ("account", text(request.account.as_ref())),
        ("priority", number(request.priority)),
        ("waiting", request.waiting.to_string()),
    ];
    if let Some(grants_per_s) = request.grants_per_s {
        rows.push(("grants per s", format!("{grants_per_s:.1}")));
    }
    rows.extend(decision_rows(&explanation.decision));
    let rows = rows.into_iter();
    rows.map(|(name, value)| [name.to_owned(), value]).collect()
}

fn decision_rows(decision: &ExplainedDecision) -> Vec<(&'static str, String)> {
    match decision {
        ExplainedDecision::Sent {
            instance,
            work,
            sent_ms,
            is_list_overdue,
        } => {
            let outcome = match sent_ms {
                Some(_) => "sent, not answered yet",
                None if *is_list_overdue => "sent once the endpoint list has been read again",
                None => "sent",
            };
            let mut rows = vec![
                ("outcome", outcome.to_owned()),
                ("instance", instance.to_string()),
                ("work", work.to_string()),
            ];
            rows.extend(sent_ms.map(|sent_ms| ("sent", format!("{sent_ms} ms ago"))));
            rows
        }
        ExplainedDecision::Waiting {
            reason,
            ahead,
            at_most_ms,
        } => vec![
            ("outcome", "waiting".to_owned()),
            ("reason", reason.name().to_owned()),
            ("ahead", number(*ahead)),
            ("at most", format!("{at_most_ms} ms")),
        ],
        ExplainedDecision::Refused {
            status,
            problem,
            reason,
            retry_after_ms,
        } => vec![
            ("outcome", "refused".to_owned()),
            ("status", number(*status)),
            ("problem", text(problem.as_ref())),
            ("reason", reason.to_string()),
            (
                "retry after",
                retry_after_ms.map_or_else(none, |after| format!("{after} ms")),
            ),
        ],
        ExplainedDecision::Declined => vec![("outcome", "handed back to another VM".to_owned())],
    }
}

fn quota_rows(quota: &ExplainedQuota) -> Vec<[String; 2]> {
    let owner = quota.owner.as_ref();
    let rows = [
        ("unit", quota.unit.to_string()),
        ("rate per s", quota.rate_per_s.to_string()),
        ("burst", quota.burst.to_string()),
        ("cost", quota.cost.to_string()),
        ("leased here", format!("{:.1}", quota.leased)),
        (
            "left at the owner",
            quota
                .left
                .map_or_else(|| "not known here".to_owned(), |left| format!("{left:.1}")),
        ),
        ("owner", text(owner)),
        ("refused for", format!("{} ms", quota.refused_ms)),
        ("waiting", quota.waiting.to_string()),
    ];
    let rows = rows.into_iter();
    rows.map(|(name, value)| [name.to_owned(), value]).collect()
}

fn candidate_row(candidate: &CandidateEndpoint) -> [String; 8] {
    let state = match (candidate.is_selected, candidate.reason) {
        (true, None) => "selected".to_owned(),
        (true, Some(reason)) => format!("selected, although {}", reason.name()),
        (false, None) => "available".to_owned(),
        (false, Some(reason)) => reason.name().to_owned(),
    };
    [
        candidate.instance.to_string(),
        format!("{:?}", candidate.role).to_lowercase(),
        candidate.version.to_string(),
        state,
        number(candidate.for_ms),
        candidate.in_flight.to_string(),
        candidate.allocated_tokens.to_string(),
        number(candidate.latency_ms),
    ]
}

fn text(value: Option<&Name>) -> String {
    value.map_or_else(none, |value| value.to_string())
}

fn none() -> String {
    "-".to_owned()
}

fn number<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(none, |value| value.to_string())
}
