//! Identity of a request beyond one attempt: what callers repeat.

use std::fmt;

use arbutusfall_wire::Name;
use serde::Serialize;

/// Keyed hash of all that makes a request the same when it comes again: method, host, path with query, caller, prompt and
/// body, but not the id of the attempt or its deadline.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub Name);

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Key of these hashes, the same at all VMs of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHashKey(pub u128);
