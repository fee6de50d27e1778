//! Checks of a base and its overlays, as they would be in force together.

use std::collections::BTreeMap;

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use serde_json::Value;

use crate::config::Endpoint;
use crate::config::Role;
use crate::config::SiteConfig;

/// Checks a base with all its overlays.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub fn check_documents(
    base: &Value,
    overlays: &BTreeMap<Name, Value>,
) -> Result<(), Vec<ConfigProblem>> {
    let mut problems = Vec::new();
    match parse_site(base, &Document::Base) {
        Err(problem) => problems.push(problem),
        Ok(shared) => {
            check_site(&shared, &Document::Base, &mut problems);
            for (site, overlay) in overlays {
                check_overlay(base, &shared, site, overlay, &mut problems);
            }
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

/// Merges a site's overlay into the base (JSON Merge Patch, RFC 7396) and checks the result.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub fn effective_site(
    base: &Value,
    overlay: Option<&Value>,
    site: &Name,
) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let mut merged = base.clone();
    let mut document = Document::Base;
    if let Some(overlay) = overlay {
        json_patch::merge(&mut merged, overlay);
        document = Document::Overlay(site.clone());
    }
    let config = parse_site(&merged, &document).map_err(|problem| vec![problem])?;
    let mut problems = Vec::new();
    check_site(&config, &document, &mut problems);
    if problems.is_empty() {
        Ok(config)
    } else {
        Err(problems)
    }
}

fn check_overlay(
    base: &Value,
    shared: &SiteConfig,
    site: &Name,
    overlay: &Value,
    problems: &mut Vec<ConfigProblem>,
) {
    let document = Document::Overlay(site.clone());
    if !shared.sites.contains(site) {
        let allowed = format!("one of the base's sites: {:?}", shared.sites);
        problems.push(problem(
            &document,
            ".",
            format!("overlay for no site: `{site}`"),
            allowed,
        ));
        return;
    }
    if overlay.get("sites").is_some() {
        let allowed = "absent; only the base names sites".to_owned();
        problems.push(problem(&document, "sites", "present".to_owned(), allowed));
        return;
    }
    if let Err(found) = effective_site(base, Some(overlay), site) {
        problems.extend(found);
    }
}

fn problem(document: &Document, path: &str, found: String, allowed: String) -> ConfigProblem {
    ConfigProblem {
        document: document.clone(),
        path: path.to_owned(),
        found,
        allowed,
    }
}

fn parse_site(value: &Value, document: &Document) -> Result<SiteConfig, ConfigProblem> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let found = error.inner().to_string();
        problem(
            document,
            &path,
            found,
            "see the settings reference in docs/OPERATING.md".to_owned(),
        )
    })
}

/// Checks what types alone cannot express.
fn check_site(config: &SiteConfig, document: &Document, problems: &mut Vec<ConfigProblem>) {
    let mut report = |path: String, found: String, allowed: &str| {
        problems.push(problem(document, &path, found, allowed.to_owned()));
    };
    for (name, endpoint) in &config.endpoints {
        check_endpoint(config, name, endpoint, &mut report);
    }
    for (name, model) in &config.models {
        let path = |field: &str| format!("models.{name}.{field}");
        let positive = [
            ("first_token_target_ms", model.first_token_target_ms),
            ("between_tokens_target_ms", model.between_tokens_target_ms),
            ("bytes_per_token", u64::from(model.bytes_per_token)),
            ("piece_tokens", u64::from(model.piece_tokens)),
            (
                "prefill_tokens_per_s",
                u64::from(model.prefill_tokens_per_s),
            ),
            ("decode_step_ms", model.decode_step_ms),
            (
                "prefill_result_lifetime_ms",
                model.prefill_result_lifetime_ms,
            ),
            ("max_output_tokens", u64::from(model.max_output_tokens)),
            ("max_prompt_tokens", u64::from(model.max_prompt_tokens)),
            (
                "max_endpoints_per_shard",
                u64::from(model.max_endpoints_per_shard),
            ),
        ];
        for (field, value) in positive {
            if value == 0 {
                report(path(field), "0".to_owned(), "a number above 0");
            }
        }
        let weights = [
            ("goodput_weight", model.policy.goodput_weight),
            ("wasted_prefill_weight", model.policy.wasted_prefill_weight),
        ];
        for (field, weight) in weights {
            if !weight.is_finite() || weight < 0.0 {
                report(
                    path(&format!("policy.{field}")),
                    weight.to_string(),
                    "a number from 0 up",
                );
            }
        }
    }
    for (name, service) in &config.services {
        for (index, route) in service.routes.iter().enumerate() {
            let path = |field: &str| format!("services.{name}.routes[{index}].{field}");
            if !route.path_prefix.starts_with('/') {
                report(
                    path("path_prefix"),
                    route.path_prefix.to_string(),
                    "a path that begins with `/`",
                );
            }
            if route.timeout_ms == 0 {
                report(path("timeout_ms"), "0".to_owned(), "a number above 0");
            }
        }
    }
    for (name, account) in &config.accounts {
        let digest = &account.key_sha256;
        if digest.len() != 64 || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let path = format!("accounts.{name}.key_sha256");
            report(
                path,
                format!("{} characters", digest.len()),
                "64 hexadecimal digits",
            );
        }
    }
    let claims = &config.claims;
    if claims.partitions == 0 {
        report(
            "claims.partitions".to_owned(),
            "0".to_owned(),
            "a number above 0",
        );
    }
    let window_ms = claims.window_s.saturating_mul(1_000);
    let needed_ms = window_ms.saturating_add(claims.max_key_skew_ms);
    if needed_ms >= claims.retention_s.saturating_mul(1_000) {
        let found = format!("{} s", claims.window_s);
        report(
            "claims.window_s".to_owned(),
            found,
            "with the key skew, less than retention_s",
        );
    }
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
    let serves_known = match endpoint.role {
        Role::Plain => config.services.contains_key(&endpoint.serves),
        Role::Prefill | Role::Decode => config.models.contains_key(&endpoint.serves),
    };
    if !serves_known {
        let allowed = "a service for a plain endpoint, a model for others";
        report(path("serves"), endpoint.serves.to_string(), allowed);
    }
    if endpoint.slots == 0 {
        report(path("slots"), "0".to_owned(), "a number above 0");
    }
    if endpoint.role != Role::Plain && endpoint.link_bytes_per_s == 0 {
        report(path("link_bytes_per_s"), "0".to_owned(), "a number above 0");
    }
}
