//! Reading of paths and query parameters.

use hyper::Uri;

/// Value of a query parameter.
pub(crate) fn query(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Segments of a path.
pub(crate) fn segments(uri: &Uri) -> Vec<&str> {
    uri.path()
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect()
}
