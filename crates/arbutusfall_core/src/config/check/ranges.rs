//! Allowed ranges of integer settings.

use std::ops::RangeInclusive;

use arbutusfall_wire::Name;

use crate::config::Account;
use crate::config::Endpoint;
use crate::config::Model;
use crate::config::Role;
use crate::config::SiteConfig;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_S: u64 = 24 * 3_600;

/// Path, value and allowed range of a setting.
type Ranged = (String, u64, RangeInclusive<u64>);

/// Reports each number outside its allowed range.
pub(super) fn check_ranges(config: &SiteConfig, report: &mut impl FnMut(String, String, &str)) {
    let mut check = |(path, value, range): Ranged| {
        if !range.contains(&value) {
            let allowed = format!("a number from {} to {}", range.start(), range.end());
            report(path, value.to_string(), &allowed);
        }
    };
    for (name, account) in &config.accounts {
        account_ranges(account, |field, value, range| {
            check((format!("accounts.{name}.{field}"), value, range));
        });
    }
    for (name, endpoint) in &config.endpoints {
        endpoint_ranges(name, endpoint)
            .into_iter()
            .for_each(&mut check);
    }
    for (name, model) in &config.models {
        model_ranges(name, model).into_iter().for_each(&mut check);
    }
    for (name, service) in &config.services {
        for (index, route) in service.routes.iter().enumerate() {
            let path = format!("services.{name}.routes[{index}].timeout_ms");
            check((path, route.timeout_ms, 1..=HOUR_MS));
        }
    }
    section_ranges(config).into_iter().for_each(&mut check);
}

fn account_ranges(account: &Account, mut check: impl FnMut(&str, u64, RangeInclusive<u64>)) {
    let max_concurrent_requests = account.max_concurrent_requests;
    check(
        "max_concurrent_requests",
        max_concurrent_requests.into(),
        0..=1_000_000,
    );
    let max_requests_per_s = account.max_requests_per_s;
    check(
        "max_requests_per_s",
        max_requests_per_s.into(),
        0..=1_000_000,
    );
    check("share", account.share.into(), 1..=1_000_000);
}

fn endpoint_ranges(name: &Name, endpoint: &Endpoint) -> Vec<Ranged> {
    let path = |field: &str| format!("endpoints.{name}.{field}");
    let min_link_bytes_per_s = u64::from(endpoint.role != Role::Plain);
    let link_bytes_per_s = endpoint.link_bytes_per_s;
    vec![
        (path("slots"), endpoint.slots.into(), 1..=100_000),
        (
            path("link_bytes_per_s"),
            link_bytes_per_s,
            min_link_bytes_per_s..=1_000_000_000_000_000,
        ),
    ]
}

fn model_ranges(name: &Name, model: &Model) -> Vec<Ranged> {
    let path = |field: &str| format!("models.{name}.{field}");
    let first_token_target_ms = model.first_token_target_ms;
    let between_tokens_target_ms = model.between_tokens_target_ms;
    let prefill_tokens_per_s = u64::from(model.prefill_tokens_per_s);
    let prefill_result_lifetime_ms = model.prefill_result_lifetime_ms;
    let max_endpoints_per_shard = u64::from(model.max_endpoints_per_shard);
    vec![
        (
            path("first_token_target_ms"),
            first_token_target_ms,
            1..=10 * MINUTE_MS,
        ),
        (
            path("between_tokens_target_ms"),
            between_tokens_target_ms,
            1..=MINUTE_MS,
        ),
        (
            path("bytes_per_token"),
            model.bytes_per_token.into(),
            1..=64,
        ),
        (
            path("piece_tokens"),
            model.piece_tokens.into(),
            1..=1_000_000,
        ),
        (
            path("prefill_tokens_per_s"),
            prefill_tokens_per_s,
            1..=100_000_000,
        ),
        (path("decode_step_ms"), model.decode_step_ms, 1..=MINUTE_MS),
        (
            path("kv_bytes_per_token"),
            model.kv_bytes_per_token,
            0..=1_000_000_000,
        ),
        (
            path("prefill_result_lifetime_ms"),
            prefill_result_lifetime_ms,
            1..=10 * MINUTE_MS,
        ),
        (
            path("max_output_tokens"),
            model.max_output_tokens.into(),
            1..=10_000_000,
        ),
        (
            path("max_prompt_tokens"),
            model.max_prompt_tokens.into(),
            1..=10_000_000,
        ),
        (
            path("max_endpoints_per_shard"),
            max_endpoints_per_shard,
            1..=1_000,
        ),
    ]
}

/// Returns the ranges of sections that are not lists of entries.
fn section_ranges(config: &SiteConfig) -> Vec<Ranged> {
    let limits = &config.limits;
    let claims = &config.claims;
    let timing = &config.timing;
    let retry_budget_percent = u64::from(limits.retry_budget_percent);
    let ranges = [
        (
            "limits.max_header_bytes",
            limits.max_header_bytes.into(),
            1_024..=1_048_576,
        ),
        (
            "limits.max_body_bytes",
            limits.max_body_bytes.into(),
            1..=67_108_864,
        ),
        (
            "limits.receive_timeout_ms",
            limits.receive_timeout_ms,
            1..=10 * MINUTE_MS,
        ),
        (
            "limits.max_connections",
            limits.max_connections.into(),
            1..=1_000_000,
        ),
        (
            "limits.answer_timeout_ms",
            limits.answer_timeout_ms,
            1..=HOUR_MS,
        ),
        ("limits.retry_budget_percent", retry_budget_percent, 0..=100),
        ("claims.window_s", claims.window_s, 1..=30 * DAY_S),
        ("claims.retention_s", claims.retention_s, 1..=366 * DAY_S),
        (
            "claims.max_key_skew_ms",
            claims.max_key_skew_ms,
            0..=10 * MINUTE_MS,
        ),
        ("claims.partitions", claims.partitions.into(), 1..=4_096),
        (
            "claims.max_appends_per_s",
            claims.max_appends_per_s.into(),
            1..=100_000,
        ),
        (
            "claims.claim_timeout_ms",
            claims.claim_timeout_ms,
            1..=10 * MINUTE_MS,
        ),
        (
            "timing.vm_list_interval_ms",
            timing.vm_list_interval_ms,
            10..=MINUTE_MS,
        ),
        (
            "timing.probe_interval_ms",
            timing.probe_interval_ms,
            10..=MINUTE_MS,
        ),
        (
            "timing.probe_timeout_ms",
            timing.probe_timeout_ms,
            10..=MINUTE_MS,
        ),
        (
            "timing.suspect_timeout_ms",
            timing.suspect_timeout_ms,
            10..=MINUTE_MS,
        ),
        (
            "timing.place_timeout_ms",
            timing.place_timeout_ms,
            1..=MINUTE_MS,
        ),
        (
            "timing.grant_report_interval_ms",
            timing.grant_report_interval_ms,
            10..=MINUTE_MS,
        ),
        (
            "timing.grant_lifetime_ms",
            timing.grant_lifetime_ms,
            10..=10 * MINUTE_MS,
        ),
        (
            "timing.engine_silence_ms",
            timing.engine_silence_ms,
            10..=10 * MINUTE_MS,
        ),
        (
            "timing.sweep_interval_ms",
            timing.sweep_interval_ms,
            10..=10 * MINUTE_MS,
        ),
        (
            "timing.platform_retry_ms",
            timing.platform_retry_ms,
            10..=MINUTE_MS,
        ),
        // A long-polling read may take this time plus the 2 s timeout of the log exchange. It must end well within
        // 9 s, the time within which a publication must be in force on every VM.
        ("timing.log_wait_ms", timing.log_wait_ms, 0..=6_000),
        (
            "timing.snapshot_interval_s",
            timing.snapshot_interval_s,
            1..=DAY_S,
        ),
    ];
    ranges
        .map(|(path, value, range)| (path.to_owned(), value, range))
        .into()
}
