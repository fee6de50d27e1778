//! Validation of a base together with its overlays.

mod consistency;
mod entries;
mod immutable;
mod ranges;

use std::collections::BTreeMap;

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use serde_json::Map;
use serde_json::Value;

use crate::config::SiteConfig;

use entries::parse_config;

pub(super) use immutable::immutable_setting_problem;

/// Name of the largest section; no other section refers to it.
const ACCOUNTS: &str = "accounts";

/// Checks a base with all its overlays.
///
/// # Errors
///
/// All problems that were found, at least one.
pub fn check_documents(
    base: &Value,
    overlays: &BTreeMap<Name, Value>,
) -> Result<(), Vec<ConfigProblem>> {
    let overlays = overlays.iter();
    check_base(base, overlays)
}

/// Checks a base with the overlays that apply to it.
///
/// # Errors
///
/// All problems that were found, at least one.
pub(super) fn check_base<'a>(
    base: &Value,
    overlays: impl Iterator<Item = (&'a Name, &'a Value)>,
) -> Result<(), Vec<ConfigProblem>> {
    let mut problems = config_problems(base, &Document::Base);
    let base_count = problems.len();
    for (site, overlay) in overlays {
        let found = overlay_problems(base, site, overlay);
        // Problems of the base alone are reported only once.
        let new = found.into_iter().filter(|problem| {
            let mut known = problems[..base_count].iter();
            !known.any(|known| (&known.path, &known.found) == (&problem.path, &problem.found))
        });
        let new: Vec<ConfigProblem> = new.collect();
        problems.extend(new);
    }
    ok_if_empty(problems)
}

/// Checks one overlay with a base that is known to be valid.
///
/// # Errors
///
/// All problems that were found, at least one.
pub(super) fn check_overlay(
    base: &Value,
    site: &Name,
    overlay: &Value,
) -> Result<(), Vec<ConfigProblem>> {
    ok_if_empty(overlay_problems(base, site, overlay))
}

/// Merges a site's overlay into the base (JSON Merge Patch, RFC 7396) and checks the result.
///
/// # Errors
///
/// All problems that were found, at least one.
pub fn effective_config(
    base: &Value,
    overlay: Option<&Value>,
    site: &Name,
) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let document = reported_document(overlay, site);
    let mut merged = base.clone();
    if let Some(overlay) = overlay {
        json_patch::merge(&mut merged, overlay);
    }
    parse_and_check(&merged, &document)
}

/// Like [`effective_config`], but copies the accounts from a configuration that has the same accounts.
///
/// # Errors
///
/// All problems that were found, at least one.
pub(crate) fn effective_config_reusing_accounts(
    previous: &SiteConfig,
    base: &Value,
    overlay: Option<&Value>,
    site: &Name,
) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let document = reported_document(overlay, site);
    let merged = merge_sections(base, overlay.unwrap_or(&Value::Object(Map::new())));
    let mut config = parse_and_check(&merged, &document)?;
    config.accounts.clone_from(&previous.accounts);
    Ok(config)
}

/// Returns whether a site has the base's accounts unchanged: it has no overlay, or one without an accounts section.
pub(crate) fn inherits_accounts(overlay: Option<&Value>) -> bool {
    overlay.is_none_or(|overlay| overlay.get(ACCOUNTS).is_none())
}

fn reported_document(overlay: Option<&Value>, site: &Name) -> Document {
    match overlay {
        Some(_) => Document::Overlay(site.clone()),
        None => Document::Base,
    }
}

fn parse_and_check(merged: &Value, document: &Document) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let mut problems = Vec::new();
    let config = parse_config(merged, document, &mut problems);
    match config {
        Some(config) => {
            check_config(&config, document, &mut problems);
            ok_if_empty(problems).map(|()| config)
        }
        None => Err(problems),
    }
}

fn config_problems(value: &Value, document: &Document) -> Vec<ConfigProblem> {
    parse_and_check(value, document).err().unwrap_or_default()
}

fn ok_if_empty(problems: Vec<ConfigProblem>) -> Result<(), Vec<ConfigProblem>> {
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn overlay_problems(base: &Value, site: &Name, overlay: &Value) -> Vec<ConfigProblem> {
    let document = Document::Overlay(site.clone());
    let empty = Vec::new();
    let sites = base
        .get("sites")
        .and_then(Value::as_array)
        .unwrap_or(&empty);
    if !sites.iter().any(|name| name.as_str() == Some(&**site)) {
        let allowed = format!("one of the base's sites: {}", Value::from(sites.clone()));
        let found = format!("overlay for no site: `{site}`");
        return vec![problem(&document, ".", found, allowed)];
    }
    if !overlay.is_object() {
        let allowed = "an object".to_owned();
        return vec![problem(&document, ".", "not an object".to_owned(), allowed)];
    }
    if overlay.get("sites").is_some() {
        let allowed = "absent; only the base names sites".to_owned();
        return vec![problem(&document, "sites", "present".to_owned(), allowed)];
    }
    config_problems(&merge_sections(base, overlay), &document)
}

/// Merges an overlay into a base; omits the accounts unless the overlay changes them.
///
/// Accounts make up most of a large base, and no other section refers to them.
fn merge_sections(base: &Value, overlay: &Value) -> Value {
    let empty = Map::new();
    let sections = base.as_object().unwrap_or(&empty);
    let kept = sections
        .iter()
        .filter(|(name, _)| *name != ACCOUNTS || overlay.get(ACCOUNTS).is_some())
        .map(|(name, section)| (name.clone(), section.clone()));
    let mut merged = Value::Object(kept.collect());
    json_patch::merge(&mut merged, overlay);
    merged
}

fn problem(document: &Document, path: &str, found: String, allowed: String) -> ConfigProblem {
    ConfigProblem {
        document: document.clone(),
        path: path.to_owned(),
        found,
        allowed,
    }
}

/// Checks rules that the types do not express.
fn check_config(config: &SiteConfig, document: &Document, problems: &mut Vec<ConfigProblem>) {
    let mut report = |path: String, found: String, allowed: &str| {
        problems.push(problem(document, &path, found, allowed.to_owned()));
    };
    ranges::check_ranges(config, &mut report);
    consistency::check_consistency(config, &mut report);
}
