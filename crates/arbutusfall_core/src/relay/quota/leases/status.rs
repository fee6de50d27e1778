//! What the leases tell of an account and of a waiting request.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::QuotaLeases;

/// What this VM has of an account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseStatus {
    /// Leased tokens that have not lapsed.
    pub leased: f64,
    /// Requests that wait for tokens.
    pub waiting: usize,
    /// Time for which the owner has no more tokens; zero if it may have some.
    pub refused_for: Duration,
    /// VM that granted tokens last, if that was not long ago.
    pub owner: Option<Name>,
}

/// Place of a request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaPlace {
    /// Requests of the same account before it.
    pub ahead: usize,
    /// When it is refused at the latest.
    pub until: Duration,
}

impl QuotaLeases {
    /// Returns what this VM has of an account.
    pub fn status(&self, account: &Name, now: Duration) -> LeaseStatus {
        let Some(leases) = self.accounts.get(account) else {
            return LeaseStatus::default();
        };
        let owner = leases.owner.as_ref().filter(|(_, until)| now < *until);
        LeaseStatus {
            leased: leases.leased(now),
            waiting: leases.waiting.len(),
            refused_for: leases.refused_until.saturating_sub(now),
            owner: owner.map(|(vm, _)| vm.clone()),
        }
    }

    /// Returns the place of a waiting request; none if it does not wait.
    pub fn place(&self, call: CallId) -> Option<QuotaPlace> {
        let account = self.account_by_call.get(&call)?;
        let mut waiting = self.accounts.get(account)?.waiting.iter().enumerate();
        let (ahead, waiting) = waiting.find(|(_, waiting)| waiting.call == call)?;
        Some(QuotaPlace {
            ahead,
            until: waiting.until,
        })
    }
}
