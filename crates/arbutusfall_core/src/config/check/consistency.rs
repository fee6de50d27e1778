//! Checks that involve several settings, plus text formats and policy weights.

use std::collections::BTreeMap;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::config::Endpoint;
use crate::config::Role;
use crate::config::SiteConfig;

/// Reports references to missing entries, conflicting settings, texts in the wrong format, and invalid weights.
pub(super) fn check_consistency(
    config: &SiteConfig,
    report: &mut impl FnMut(String, String, &str),
) {
    for (name, endpoint) in &config.endpoints {
        check_endpoint(config, name, endpoint, report);
    }
    check_weights(config, report);
    check_routes(config, report);
    check_keys(config, report);
    check_related_durations(config, report);
}

fn check_endpoint(
    config: &SiteConfig,
    name: &Name,
    endpoint: &Endpoint,
    report: &mut impl FnMut(String, String, &str),
) {
    let path = |field: &str| format!("endpoints.{name}.{field}");
    if !config.data_centres.contains(&endpoint.data_centre) {
        let found = endpoint.data_centre.to_string();
        report(path("data_centre"), found, "one of the site's data centres");
    }
    let target_exists = match endpoint.role {
        Role::Plain => config.services.contains_key(&endpoint.serves),
        Role::Prefill | Role::Decode => config.models.contains_key(&endpoint.serves),
    };
    if !target_exists {
        let allowed = "a service for a plain endpoint, a model for others";
        report(path("serves"), endpoint.serves.to_string(), allowed);
    }
}

fn check_weights(config: &SiteConfig, report: &mut impl FnMut(String, String, &str)) {
    for (name, model) in &config.models {
        let path = |field: &str| format!("models.{name}.policy.{field}");
        let weights = [
            ("goodput_weight", model.policy.goodput_weight),
            ("wasted_prefill_weight", model.policy.wasted_prefill_weight),
        ];
        for (field, weight) in weights {
            if !weight.is_finite() || !(0.0..=1_000_000.0).contains(&weight) {
                let allowed = "a number from 0 to 1000000";
                report(path(field), weight.to_string(), allowed);
            }
        }
        if weights.iter().all(|(_, weight)| *weight == 0.0) {
            let path = format!("models.{name}.policy");
            let allowed = "at least one weight above 0";
            report(path, "both weights are 0".to_owned(), allowed);
        }
    }
}

fn check_routes(config: &SiteConfig, report: &mut impl FnMut(String, String, &str)) {
    // By method and path prefix.
    let mut first_locations: BTreeMap<(&Name, &Name), String> = BTreeMap::new();
    for (name, service) in &config.services {
        for (index, route) in service.routes.iter().enumerate() {
            let location = format!("services.{name}.routes[{index}]");
            if !route.path_prefix.starts_with('/') {
                let found = route.path_prefix.to_string();
                report(
                    format!("{location}.path_prefix"),
                    found,
                    "a path that begins with `/`",
                );
            }
            let method = &route.method;
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                report(
                    format!("{location}.method"),
                    method.to_string(),
                    "an HTTP method in capitals",
                );
            }
            if let Some(other) = first_locations.get(&(method, &route.path_prefix)) {
                let found = format!("the same method and path as {other}");
                report(location, found, "each method and path once");
            } else {
                first_locations.insert((method, &route.path_prefix), location);
            }
        }
    }
}

fn check_keys(config: &SiteConfig, report: &mut impl FnMut(String, String, &str)) {
    let mut accounts_by_digest: FastMap<&Name, &Name> = FastMap::default();
    for (name, account) in &config.accounts {
        let digest = &account.key_sha256;
        let path = || format!("accounts.{name}.key_sha256");
        if digest.len() != 64 || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let found = format!("{} characters", digest.len());
            report(path(), found, "64 hexadecimal digits");
        } else if let Some(other) = accounts_by_digest.insert(digest, name) {
            let found = format!("the same key as account `{other}`");
            report(path(), found, "a key of its own for each account");
        }
    }
}

fn check_related_durations(config: &SiteConfig, report: &mut impl FnMut(String, String, &str)) {
    let claims = &config.claims;
    let timing = &config.timing;
    let needed_ms = claims
        .window_s
        .saturating_mul(1_000)
        .saturating_add(claims.max_key_skew_ms);
    if needed_ms >= claims.retention_s.saturating_mul(1_000) {
        let found = format!("{} s", claims.window_s);
        let allowed = "with the key skew, less than retention_s";
        report("claims.window_s".to_owned(), found, allowed);
    }
    if timing.snapshot_interval_s.saturating_mul(2) >= claims.retention_s {
        let found = format!("{} s", timing.snapshot_interval_s);
        let allowed = "less than half of claims.retention_s";
        report("timing.snapshot_interval_s".to_owned(), found, allowed);
    }
    if timing.grant_report_interval_ms >= timing.grant_lifetime_ms {
        let found = format!("{} ms", timing.grant_report_interval_ms);
        let allowed = "less than grant_lifetime_ms";
        report("timing.grant_report_interval_ms".to_owned(), found, allowed);
    }
}
