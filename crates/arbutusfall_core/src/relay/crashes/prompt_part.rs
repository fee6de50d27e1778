//! Parts that prompts share.

use std::fmt;
use std::sync::Arc;

use arbutusfall_wire::Name;
use serde::Serialize;

/// Id of a part of prompts, such as a system prompt or a template. Requests with the same part have the same id for it.
///
/// Callers choose the ids, so the decoder limits their length and characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct PartId(pub Name);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Parts of a request's prompt that other requests may have too: all but the last, which belongs to the request or to
/// its session.
pub type SharedParts = Arc<[PartId]>;
