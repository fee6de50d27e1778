//! Credentials by which requests are authenticated.

use crate::relay::ApiKey;

/// Credential of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// It has none, or one that is not an API key.
    Missing,
    /// An API key, known or not.
    Key(ApiKey),
}
