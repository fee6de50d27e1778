//! Typed parsing of a merged document that reports more than the first problem.

use arbutusfall_wire::ConfigProblem;
use arbutusfall_wire::Document;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::config::Account;
use crate::config::Endpoint;
use crate::config::Model;
use crate::config::Route;
use crate::config::Service;
use crate::config::SiteConfig;

use super::problem;

/// Text between the found and the expected value in messages of the JSON library.
const EXPECTED_SEPARATOR: &str = ", expected ";

/// Parses a site's configuration; on failure, adds one problem for each entry that cannot be parsed.
pub(super) fn parse_config(
    value: &Value,
    document: &Document,
    problems: &mut Vec<ConfigProblem>,
) -> Option<SiteConfig> {
    let error = match serde_path_to_error::deserialize(value) {
        Ok(config) => return Some(config),
        Err(error) => error,
    };
    let previous_count = problems.len();
    if let Some(sections) = value.as_object() {
        let mut collector = ProblemCollector { document, problems };
        for (name, section) in sections {
            collector.check_section(name, section);
        }
    }
    if problems.len() == previous_count {
        problems.push(parse_problem(document, "", &error));
    }
    None
}

/// Parses entry by entry and collects the problems.
struct ProblemCollector<'a> {
    document: &'a Document,
    problems: &'a mut Vec<ConfigProblem>,
}

impl ProblemCollector<'_> {
    fn check_section(&mut self, name: &str, section: &Value) {
        match (name, section.as_object()) {
            ("accounts", Some(entries)) => self.check_entries::<Account>(name, entries),
            ("models", Some(entries)) => self.check_entries::<Model>(name, entries),
            ("endpoints", Some(entries)) => self.check_entries::<Endpoint>(name, entries),
            ("services", Some(entries)) => self.check_services(entries),
            _ => self.check_value::<SiteConfig>("", &json!({ name: section })),
        }
    }

    fn check_entries<T: DeserializeOwned>(&mut self, section: &str, entries: &Map<String, Value>) {
        for (name, entry) in entries {
            self.check_value::<T>(&format!("{section}.{name}"), entry);
        }
    }

    fn check_services(&mut self, entries: &Map<String, Value>) {
        for (name, entry) in entries {
            let path = format!("services.{name}");
            let Some(routes) = entry.get("routes").and_then(Value::as_array) else {
                self.check_value::<Service>(&path, entry);
                continue;
            };
            let mut rest = entry.clone();
            rest["routes"] = json!([]);
            self.check_value::<Service>(&path, &rest);
            for (index, route) in routes.iter().enumerate() {
                self.check_value::<Route>(&format!("{path}.routes[{index}]"), route);
            }
        }
    }

    fn check_value<T: DeserializeOwned>(&mut self, path: &str, value: &Value) {
        let read: Result<T, _> = serde_path_to_error::deserialize(value);
        if let Err(error) = read {
            self.problems
                .push(parse_problem(self.document, path, &error));
        }
    }
}

fn parse_problem(
    document: &Document,
    prefix: &str,
    error: &serde_path_to_error::Error<serde_json::Error>,
) -> ConfigProblem {
    let suffix = error.path().to_string();
    let path = match (prefix, suffix.as_str()) {
        ("", suffix) => suffix.to_owned(),
        (prefix, ".") => prefix.to_owned(),
        (prefix, suffix) => format!("{prefix}.{suffix}"),
    };
    let message = error.inner().to_string();
    let (found, allowed) = match message.rsplit_once(EXPECTED_SEPARATOR) {
        Some((found, allowed)) => (found, allowed.to_owned()),
        None if message.starts_with("missing field") => (&*message, "the field".to_owned()),
        None => (&*message, "see docs/OPERATIONS.md".to_owned()),
    };
    problem(document, &path, found.to_owned(), allowed)
}
