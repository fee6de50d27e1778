//! Settings that a publication must not change, because records on the log depend on them.

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::Document;
use serde_json::Value;

use crate::config::ClaimSettings;

/// Returns a problem if an immutable setting differs between `before` and `after`, each a base and the site's overlay.
pub(in crate::config) fn immutable_setting_problem(
    document: &Document,
    before: (&Value, Option<&Value>),
    after: (&Value, Option<&Value>),
) -> Option<ConfigProblem> {
    let partitions_in_force = claim_partitions(before.0, before.1);
    let partitions_published = claim_partitions(after.0, after.1);
    if partitions_published == partitions_in_force {
        return None;
    }
    Some(ConfigProblem {
        document: document.clone(),
        path: "claims.partitions".to_owned(),
        found: partitions_published.to_string(),
        allowed: format!(
            "{partitions_in_force}, as in force; keys would be claimed in other streams"
        ),
    })
}

/// Returns the number of claim partitions of a site.
fn claim_partitions(base: &Value, overlay: Option<&Value>) -> u16 {
    let mut claims = base.get("claims").cloned().unwrap_or_default();
    if let Some(patch) = overlay.and_then(|overlay| overlay.get("claims")) {
        json_patch::merge(&mut claims, patch);
    }
    let settings: ClaimSettings = serde_json::from_value(claims).unwrap_or_default();
    settings.partitions
}
