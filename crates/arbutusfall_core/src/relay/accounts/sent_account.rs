//! What an endpoint receives of a request's account.

use arbutusfall_wire::Name;

/// What is sent of a request's account instead of its credential.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentAccount {
    /// The caller's own headers: the configuration has no accounts, so no credential was checked.
    Unchanged,
    /// Neither account nor credential: the route is anonymous.
    Removed,
    /// The name of the account.
    Named(Name),
}
