//! The README's main command: starts a whole site, sends requests and checks their answers.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyper::Method;
use serde_json::Value;

use crate::Caller;
use crate::CallerError;
use crate::Completion;
use crate::Fleet;
use crate::FleetError;
use crate::PlainAnswer;
use crate::SiteSpec;
use crate::expected_text;

/// Number of VMs.
const VMS: usize = 3;

/// Number of captions, which are requested concurrently.
const CAPTIONS: usize = 6;

/// Maximum length of a caption in tokens.
const MAX_TOKENS: usize = 40;

/// Trace id of the request for the first caption.
const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// Runs the demo; exits with 1 if a check fails or the site does not start.
pub fn demo() -> ExitCode {
    match run() {
        Ok(0) => {
            println!("\nall checks passed");
            ExitCode::SUCCESS
        }
        Ok(failed_checks) => {
            println!("\n{failed_checks} checks failed");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("demo: {error:?}");
            ExitCode::from(1)
        }
    }
}

/// Runs the demo and returns the number of failed checks.
fn run() -> Result<usize, Report<FleetError>> {
    let site = SiteSpec::vitosha();
    println!(
        "starting {} VMs, {} engines and the platform's stand-ins",
        VMS, 9
    );
    let program = std::env::current_exe().change_context(FleetError::Setup)?;
    let fleet = Fleet::start(&program, &site, VMS)?;
    let caller = Caller {
        executor: fleet.executor.clone(),
        key: site.key.to_owned(),
    };
    let mut failed_checks = check_captions(&fleet, &caller);
    failed_checks += check_calls(&fleet, &caller);
    failed_checks += check_spans(&fleet)?;
    print_prefill_totals(&fleet)?;
    Ok(failed_checks)
}

/// Requests captions and returns how many were not answered correctly.
fn check_captions(fleet: &Fleet, caller: &Caller) -> usize {
    let tasks: Vec<_> = (0..CAPTIONS)
        .map(|number| {
            let caller = caller.clone();
            let vm = fleet.vms[number % VMS].caller_address;
            let model = fleet.site.model;
            let prompt = caption_prompt(number);
            fleet.executor.spawn(async move {
                let traceparent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
                let traceparent = (number == 0).then_some(traceparent);
                let answer = caller
                    .complete_with_retries(vm, model, &prompt, MAX_TOKENS, traceparent.as_deref())
                    .await;
                (number, prompt, answer)
            })
        })
        .collect();
    let mut failed_checks = 0;
    let mut good = 0;
    for task in tasks {
        let (number, prompt, answer) = fleet.block_on(task);
        match answer {
            Ok(answer) if answer.text == expected_text(&prompt, MAX_TOKENS) => {
                good += usize::from(meets_targets(&answer));
                let first = answer.token_times.first().copied().unwrap_or_default();
                println!(
                    "caption {number}: {} tokens, the first after {first:.0?}: {}...",
                    answer.token_times.len(),
                    answer.text.chars().take(24).collect::<String>(),
                );
            }
            other => {
                failed_checks += 1;
                println!("caption {number}: WRONG {other:?}");
            }
        }
    }
    println!("goodput: {good} of {CAPTIONS} captions met both latency targets");
    failed_checks
}

fn caption_prompt(number: usize) -> String {
    let shared_prefix = "order 4711: 12 prints 10x15, album template lakes; ".repeat(300);
    format!("{shared_prefix}caption for picture {number}")
}

/// Returns whether a completion met the targets for its first token and for the 95th percentile of the gaps between
/// tokens, without a retry by [`Caller::complete_with_retries`].
pub(crate) fn meets_targets(answer: &Completion) -> bool {
    let first_token_target = Duration::from_millis(910);
    let between_tokens_target = Duration::from_millis(39);
    let Some(first_token) = answer.token_times.first() else {
        return false;
    };
    let mut gaps: Vec<Duration> = answer
        .token_times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    gaps.sort_unstable();
    let rank = (gaps.len() * 95).div_ceil(100).saturating_sub(1);
    let p95_gap = gaps.get(rank).copied().unwrap_or_default();
    let is_first_attempt = answer.retries == 0;
    is_first_attempt && *first_token <= first_token_target && p95_gap <= between_tokens_target
}

/// Makes a non-idempotent call twice with the same idempotency key, and a lookup; returns the number of failed checks.
fn check_calls(fleet: &Fleet, caller: &Caller) -> usize {
    let idempotency_key = uuid::Uuid::now_v7().to_string();
    let path = fleet.site.non_idempotent_path;
    let mut failed_checks = 0;
    let mut answers = Vec::new();
    for (index, vm) in fleet.vms.iter().enumerate().take(2) {
        let attempt = (index + 1).to_string();
        let headers = [
            ("idempotency-key", &*idempotency_key),
            ("arbutusfall-attempt", &*attempt),
        ];
        let call = caller.call(vm.caller_address, Method::POST, path, &headers);
        let answer = fleet.block_on(call);
        println!(
            "print confirmation, attempt {attempt}: {}",
            format_answer(&answer)
        );
        answers.push(answer.ok());
    }
    if answers[0].is_none() || answers[0] != answers[1] {
        failed_checks += 1;
        println!("WRONG: the repeat was not answered like the first attempt");
    }
    let executions: u64 = executions(fleet, &idempotency_key);
    println!("the service executed the key {executions} time(s)");
    failed_checks += usize::from(executions != 1);
    let path = format!("{}/4711", fleet.site.idempotent_path);
    let vm = fleet.vms[VMS - 1].caller_address;
    let answer = fleet.block_on(caller.call(vm, Method::GET, &path, &[]));
    println!("status lookup: {}", format_answer(&answer));
    failed_checks + usize::from(!answer.is_ok_and(|answer| answer.status == 200))
}

/// Formats the result of a plain call as one line.
fn format_answer(answer: &Result<PlainAnswer, CallerError>) -> String {
    match answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body),
        Err(error) => format!("WRONG, no answer: {error}"),
    }
}

/// Returns how often all processes of the plain service together executed the call with an idempotency key.
fn executions(fleet: &Fleet, idempotency_key: &str) -> u64 {
    let plain = fleet
        .endpoints
        .iter()
        .filter(|(name, _)| name.starts_with("plain"));
    plain
        .filter_map(|(_, process)| fleet.get(process.address, "/executions").ok())
        .filter_map(|executions| executions[idempotency_key].as_u64())
        .sum()
}

/// Prints the spans of the first caption's answered attempt as a tree; returns 1 if one of them is missing or if a
/// span of any attempt has no caller span as its parent, otherwise 0.
fn check_spans(fleet: &Fleet) -> Result<usize, Report<FleetError>> {
    let span_names = ["caller", "place", "prefill", "decode"];
    let mut spans = Vec::new();
    let started = Instant::now();
    fleet.wait_for("the spans of a caption", || {
        let all = fleet
            .get(fleet.collector.address, "/spans")
            .unwrap_or_default();
        let all = all.as_array().cloned().unwrap_or_default();
        spans = all
            .into_iter()
            .filter(|span| span["traceId"] == TRACE_ID)
            .collect();
        span_names
            .iter()
            .all(|name| spans.iter().any(|span| span["name"] == *name))
    })?;
    println!(
        "spans of caption 0, received after waiting {:.0?}:",
        started.elapsed()
    );
    // Each refused attempt has a caller span of its own; the root is the one above the decode span.
    let decode = spans.iter().find(|span| span["name"] == "decode");
    let caller_spans = || spans.iter().filter(|span| span["name"] == "caller");
    let root =
        decode.and_then(|decode| caller_spans().find(|span| span["id"] == decode["parentId"]));
    let Some(root) = root else {
        return Ok(1);
    };
    print_span(root, &spans, 1);
    let is_child = |span: &Value, root: &Value| span["parentId"] == root["id"];
    let has_all_spans = span_names[1..].iter().all(|name| {
        let mut children = spans.iter().filter(|span| is_child(span, root));
        children.any(|span| span["name"] == *name)
    });
    let others = spans.iter().filter(|span| span["name"] != "caller");
    let mut without_parent =
        others.filter(|span| !caller_spans().any(|caller| is_child(span, caller)));
    Ok(usize::from(
        !has_all_spans || without_parent.next().is_some(),
    ))
}

fn print_span(span: &Value, spans: &[Value], depth: usize) {
    let vm = span["localEndpoint"]["serviceName"]
        .as_str()
        .unwrap_or_default();
    let name = span["name"].as_str().unwrap_or_default();
    // Zipkin durations are in microseconds.
    let duration_ms = span["duration"].as_u64().unwrap_or_default() as f64 / 1_000.0;
    println!(
        "{:indent$}{name} at {vm}: {duration_ms:.1} ms",
        "",
        indent = depth * 2
    );
    for child in spans.iter().filter(|child| child["parentId"] == span["id"]) {
        print_span(child, spans, depth + 1);
    }
}

fn print_prefill_totals(fleet: &Fleet) -> Result<(), Report<FleetError>> {
    let (mut prefilled, mut wasted, mut held) = (0, 0, 0);
    for (name, process) in &fleet.endpoints {
        if name.starts_with("plain") {
            continue;
        }
        let stats = fleet.get(process.address, "/stats")?;
        prefilled += stats["prefilled_tokens"].as_u64().unwrap_or_default();
        wasted += stats["wasted_tokens"].as_u64().unwrap_or_default();
        held += stats["held"].as_u64().unwrap_or_default();
    }
    println!("wasted prefill: {wasted} of {prefilled} prefilled tokens");
    println!("requests still held by engines: {held}");
    Ok(())
}
