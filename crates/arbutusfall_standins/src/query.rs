//! Parsing of request paths and query parameters.

use hyper::Uri;

/// Returns the numeric value of a query parameter, if it is present and valid.
pub(crate) fn numeric_parameter(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Returns the non-empty segments of a path.
pub(crate) fn segments(uri: &Uri) -> Vec<&str> {
    uri.path()
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect()
}
