//! `arbutusfall check`: validates configuration files before they are published.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use arbutusfall_core::config::check_documents;
use arbutusfall_core::config::parse_document;
use arbutusfall_wire::Document;
use arbutusfall_wire::Name;
use serde_json::Value;

/// One problem in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// File that contains the problem.
    pub file: PathBuf,
    /// Dotted path of the value in the file; `.` for the whole file.
    pub path: String,
    /// Description of the problem.
    pub found: String,
    /// Description of accepted values.
    pub allowed: String,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            path,
            found,
            allowed,
        } = self;
        write!(f, "{}: {path}: {found}; allowed: {allowed}", file.display())
    }
}

impl std::error::Error for CheckError {}

/// Checks a base file with overlay files.
///
/// An overlay's file name without its extension is the name of its site.
///
/// # Errors
///
/// Returns all problems found, at least one.
pub fn check_files(base: &Path, overlays: &[PathBuf]) -> Result<(), Vec<CheckError>> {
    let mut errors = Vec::new();
    let mut files: BTreeMap<Document, PathBuf> = BTreeMap::new();
    let mut overlay_values: BTreeMap<Name, Value> = BTreeMap::new();
    files.insert(Document::Base, base.to_owned());
    let base_value = read_json(base, &mut errors);
    for file in overlays {
        let site: Name = file
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into();
        let document = Document::Overlay(site.clone());
        if files.insert(document, file.clone()).is_some() {
            errors.push(CheckError {
                file: file.clone(),
                path: ".".to_owned(),
                found: format!("a second overlay for `{site}`"),
                allowed: "one overlay for each site".to_owned(),
            });
        }
        if let Some(value) = read_json(file, &mut errors) {
            overlay_values.insert(site, value);
        }
    }
    if let Some(base_value) = base_value
        && let Err(problems) = check_documents(&base_value, &overlay_values)
    {
        errors.extend(problems.into_iter().map(|problem| CheckError {
            file: files.get(&problem.document).cloned().unwrap_or_default(),
            path: problem.path,
            found: problem.found,
            allowed: problem.allowed,
        }));
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn read_json(file: &Path, errors: &mut Vec<CheckError>) -> Option<Value> {
    let mut fail = |path: String, found: String, allowed: &str| {
        errors.push(CheckError {
            file: file.to_owned(),
            path,
            found,
            allowed: allowed.to_owned(),
        });
    };
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            fail(".".to_owned(), error.to_string(), "a readable file");
            return None;
        }
    };
    match parse_document(&text) {
        Ok(value) => Some(value),
        Err(error) => {
            fail(error.path, error.found, "JSON with distinct names");
            None
        }
    }
}
