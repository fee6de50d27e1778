//! API keys of client accounts.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;

/// Digest of an API key; the key itself is not kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKey([u8; 32]);

impl ApiKey {
    /// Returns the digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for ApiKey {
    /// Shows nothing: a digest would allow a dictionary attack on the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
