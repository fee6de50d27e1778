//! A client account as it is configured.

use arbutusfall_wire::Name;

use crate::relay::TokenCounts;

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: Name,
    /// Priority of its requests, 0 first; that of the route if there is none.
    pub priority: Option<u8>,
    /// Quota of all VMs together; none if the account has no limit.
    pub quota: Option<AccountQuota>,
}

/// What an account may use, over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    ///
    /// Invariant: finite and positive.
    pub per_s: f64,
    /// Units that may be used at once beyond the rate.
    ///
    /// Invariant: finite and not negative.
    pub burst: f64,
    /// Units that a request without stated token counts uses, if tokens are counted.
    ///
    /// Invariant: finite and not negative.
    pub plain_cost: f64,
}

/// Unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its largest number of output tokens.
    Tokens,
}

impl AccountQuota {
    /// Returns the units that a request uses.
    pub fn cost(&self, token_counts: Option<TokenCounts>) -> f64 {
        match (self.unit, token_counts) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens, None) => self.plain_cost,
            (QuotaUnit::Tokens, Some(counts)) => {
                f64::from(counts.prompt_tokens) + f64::from(counts.max_output_tokens)
            }
        }
    }
}
