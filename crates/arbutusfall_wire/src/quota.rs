//! Messages by which VMs share the quotas of client accounts: JSON, so that a VM of another version can pass over fields that
//! it does not know.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Longest message about quotas that is accepted, in bytes.
pub const MAX_QUOTA_BYTES: usize = 256 * 1024;

/// A question of one VM to another one about quotas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// The VM that asks.
    pub from: Name,
    /// Number that distinguishes its process from earlier ones.
    #[serde(default)]
    pub process: u64,
    /// Requests for tokens, at most one for each account.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub asks: Vec<QuotaAsk>,
    /// Accounts for which the VM asks for a vote: with the votes of a majority of electors, it may grant their tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub votes: Vec<Name>,
}

/// A request for tokens of an account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Name of the account.
    pub account: Name,
    /// Cost of all waiting requests, in units of the quota.
    pub needed: f64,
    /// Cost of the waiting requests and of those expected during a lease.
    pub wanted: f64,
    /// Cost of the first waiting request.
    pub first: f64,
    /// Not read. It is sent because VMs of builds before it became optional refuse questions without it.
    #[serde(default)]
    pub rank: u32,
}

/// Answer to a [`QuotaQuestion`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Answers to the requests for tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<QuotaGrant>,
    /// Answers to the requests for votes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub votes: Vec<QuotaVote>,
}

/// Answer to a [`QuotaAsk`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Name of the account.
    pub account: Name,
    /// Granted tokens.
    pub granted: f64,
    /// Time after which the tokens lapse, in milliseconds from when the question was sent.
    pub lifetime_ms: u64,
    /// Time until the VM should ask again, in milliseconds; 0 if it may at once.
    pub retry_after_ms: u64,
    /// Whether the VM cannot grant tokens of the account, not even when it is asked again soon: another VM must be asked.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_declined: bool,
    /// Whether the VM waits for votes: it may grant tokens when it is asked again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_pending: bool,
}

impl QuotaGrant {
    /// Returns whether the VM owns the account.
    pub fn is_of_owner(&self) -> bool {
        !self.is_declined && !self.is_pending
    }
}

/// Answer to a request for a vote.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaVote {
    /// Name of the account.
    pub account: Name,
    /// Whether the vote is given; it lapses after a fixed time from when the question was sent.
    pub is_given: bool,
    /// Time for which no other VM had this VM's vote, in milliseconds.
    pub idle_ms: u64,
}

fn is_false(value: &bool) -> bool {
    !value
}
