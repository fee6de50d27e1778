//! Identity of a request beyond one attempt: what callers repeat.

use std::fmt;

use arbutusfall_wire::Name;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::relay::SentAccount;

/// Bytes of a hash that a request key keeps: enough that nobody can construct another request with the
/// same key.
const KEPT_BYTES: usize = 16;

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

impl RequestKey {
    /// Returns the key of the same request when an account sends it.
    fn of_account(&self, account: &str) -> Self {
        let hash = Sha256::new_with_prefix(self.0.as_bytes()).chain_update([0]);
        let hash = hash.chain_update(account).finalize();
        Self::from_hash(&hash)
    }

    /// Returns the key of a hash, of which it keeps a part.
    pub fn from_hash(hash: &[u8]) -> Self {
        let digits = hash.iter().take(KEPT_BYTES);
        let digits: String = digits.map(|byte| format!("{byte:02x}")).collect();
        Self(digits.into())
    }
}

/// Keys of a request, by what is taken as its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKeys {
    /// Key by which the request is recorded and blocked; depends on its caller.
    pub own: RequestKey,
    /// Key that depends neither on the caller nor on its credential.
    pub of_any_caller: RequestKey,
}

impl RequestKeys {
    /// Replaces the caller's credential in the key by the account, which is the same at all VMs and for all keys of the account.
    pub(in crate::relay) fn set_caller(&mut self, account: &SentAccount) {
        self.own = match account {
            SentAccount::Unchanged => return,
            SentAccount::Removed => self.of_any_caller.clone(),
            SentAccount::Named(name) => self.of_any_caller.of_account(name),
        };
    }
}

/// Secret key of the hash in a [`RequestKey`], the same at all VMs of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHashKey(pub u128);
