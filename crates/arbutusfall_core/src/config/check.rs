//! Checks of a base and its overlays, as they would be in force together.

mod entries;
mod fixed;
mod ranges;
mod references;

use std::collections::BTreeMap;

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use serde_json::Map;
use serde_json::Value;

use crate::config::SiteConfig;

use entries::parse_site;

pub(super) use fixed::fixed_problem;

/// Section that no other section refers to, and by far the largest.
const ACCOUNTS: &str = "accounts";

/// Checks a base with all its overlays.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub fn check_documents(
    base: &Value,
    overlays: &BTreeMap<Name, Value>,
) -> Result<(), Vec<ConfigProblem>> {
    let overlays = overlays.iter();
    check_base(base, overlays)
}

/// Checks a base with the overlays that it would meet.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub(super) fn check_base<'a>(
    base: &Value,
    overlays: impl Iterator<Item = (&'a Name, &'a Value)>,
) -> Result<(), Vec<ConfigProblem>> {
    let mut problems = site_problems(base, &Document::Base);
    let of_base = problems.len();
    for (site, overlay) in overlays {
        let found = overlay_problems(base, site, overlay);
        // What is wrong with the base alone is said once.
        let new = found.into_iter().filter(|problem| {
            let mut known = problems[..of_base].iter();
            !known.any(|known| (&known.path, &known.found) == (&problem.path, &problem.found))
        });
        let new: Vec<ConfigProblem> = new.collect();
        problems.extend(new);
    }
    none_or(problems)
}

/// Checks one overlay with a base that is known to be valid.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub(super) fn check_overlay(
    base: &Value,
    site: &Name,
    overlay: &Value,
) -> Result<(), Vec<ConfigProblem>> {
    none_or(overlay_problems(base, site, overlay))
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
    let document = document_of(overlay, site);
    let mut merged = base.clone();
    if let Some(overlay) = overlay {
        json_patch::merge(&mut merged, overlay);
    }
    checked(&merged, &document)
}

/// Like [`effective_site`], but takes the accounts from a configuration with the same ones.
///
/// # Errors
///
/// Every problem that was found, at least one.
pub(crate) fn effective_site_like(
    previous: &SiteConfig,
    base: &Value,
    overlay: Option<&Value>,
    site: &Name,
) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let document = document_of(overlay, site);
    let merged = merge_sections(base, overlay.unwrap_or(&Value::Object(Map::new())));
    let mut config = checked(&merged, &document)?;
    config.accounts.clone_from(&previous.accounts);
    Ok(config)
}

/// Whether a document says nothing of accounts.
pub(crate) fn leaves_accounts(overlay: Option<&Value>) -> bool {
    overlay.is_none_or(|overlay| overlay.get(ACCOUNTS).is_none())
}

fn document_of(overlay: Option<&Value>, site: &Name) -> Document {
    match overlay {
        Some(_) => Document::Overlay(site.clone()),
        None => Document::Base,
    }
}

fn checked(merged: &Value, document: &Document) -> Result<SiteConfig, Vec<ConfigProblem>> {
    let mut problems = Vec::new();
    let config = parse_site(merged, document, &mut problems);
    match config {
        Some(config) => {
            check_site(&config, document, &mut problems);
            none_or(problems).map(|()| config)
        }
        None => Err(problems),
    }
}

fn site_problems(value: &Value, document: &Document) -> Vec<ConfigProblem> {
    checked(value, document).err().unwrap_or_default()
}

fn none_or(problems: Vec<ConfigProblem>) -> Result<(), Vec<ConfigProblem>> {
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
    if !sites.iter().any(|named| named.as_str() == Some(&**site)) {
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
    site_problems(&merge_sections(base, overlay), &document)
}

/// Merges an overlay into a base, without the accounts unless the overlay changes them.
///
/// Accounts are most of a large base, and no other section refers to them.
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

/// Checks what types alone cannot express.
fn check_site(config: &SiteConfig, document: &Document, problems: &mut Vec<ConfigProblem>) {
    let mut report = |path: String, found: String, allowed: &str| {
        problems.push(problem(document, &path, found, allowed.to_owned()));
    };
    ranges::check_ranges(config, &mut report);
    references::check_references(config, &mut report);
}
