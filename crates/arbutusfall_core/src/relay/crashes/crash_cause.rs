//! What may crash endpoints.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde::Serializer;

use crate::relay::PartId;
use crate::relay::RequestKey;

/// First part of the text of a request as a cause; ids of parts never begin with it.
const REQUEST_PREFIX: &str = "request-";

/// What may crash the endpoints that run requests with it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashCause {
    /// One request, whenever it comes again.
    Request(RequestKey),
    /// A part of prompts, whatever else a prompt has.
    Part(PartId),
}

impl CrashCause {
    /// Parses the text that [`fmt::Display`] writes.
    pub fn from_text(text: &str) -> Self {
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(key) => Self::Request(RequestKey(key.into())),
            None => Self::Part(PartId(text.into())),
        }
    }

    /// Returns whether this is a request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(key) => write!(f, "{REQUEST_PREFIX}{key}"),
        }
    }
}

impl Serialize for CrashCause {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Causes that a request has: the shared parts of its prompt, and itself.
pub type CrashCauses = Arc<[CrashCause]>;
