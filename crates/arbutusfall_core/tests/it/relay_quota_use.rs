//! Loads of client accounts, what happens to a fleet of VMs meanwhile, and what the accounts used.

use std::time::Duration;

use arbutusfall_core::relay::AccountQuota;
use arbutusfall_wire::Name;

/// An account and what its callers ask for.
#[derive(Debug, Clone)]
pub(crate) struct AccountLoad {
    pub(crate) name: Name,
    pub(crate) quota: AccountQuota,
    /// Cost of a request.
    pub(crate) cost: f64,
    /// Requests a second.
    pub(crate) per_s: f64,
}

/// What happens to the fleet.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    Kill(usize),
    Restart(usize),
    RestartAll,
    Freeze(usize, Duration),
    /// These VMs and the others don't reach each other.
    Split(Vec<usize>),
    Heal,
    Add(usize),
    /// Multiplies an account's quota.
    Quota(usize, f64),
    /// The VM that owns an account now is killed.
    KillOwner(usize),
    FreezeOwner(usize, Duration),
    CutOwnerOff(usize),
}

/// Use of an account.
#[derive(Debug, Clone, Default)]
pub(crate) struct Use {
    /// Instant and cost of each request that proceeded.
    pub(crate) granted: Vec<(Duration, f64)>,
    pub(crate) asked: u64,
    pub(crate) refused: u64,
}

impl Use {
    /// Returns the largest cost in any window.
    pub(crate) fn most_in(&self, window: Duration) -> f64 {
        let mut first = 0;
        let mut sum = 0.0;
        let mut most: f64 = 0.0;
        for (at, cost) in &self.granted {
            sum += cost;
            while self.granted[first].0 + window < *at {
                sum -= self.granted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Returns the cost between two instants.
    pub(crate) fn between(&self, from: Duration, to: Duration) -> f64 {
        let granted = self.granted.iter();
        let granted = granted.filter(|(at, _)| (from..to).contains(at));
        granted.map(|(_, cost)| cost).sum()
    }

    pub(crate) fn refused_share(&self) -> f64 {
        self.refused as f64 / self.asked.max(1) as f64
    }
}
