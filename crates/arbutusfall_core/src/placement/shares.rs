//! Fair shares of a contended pool.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::SiteConfig;

/// Time for which a refused account counts as waiting.
const WAITING: Duration = Duration::from_secs(2);

/// Slots that accounts hold, and accounts that wait.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shares {
    held: BTreeMap<Name, usize>,
    refused_at: BTreeMap<Name, Duration>,
}

impl Shares {
    pub(crate) fn on_granted(&mut self, account: &Name) {
        *self.held.entry(account.clone()).or_default() += 1;
    }

    pub(crate) fn on_released(&mut self, account: &Name) {
        if let Some(held) = self.held.get_mut(account) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(account);
            }
        }
    }

    pub(crate) fn on_refused(&mut self, account: &Name, now: Duration) {
        self.refused_at.retain(|_, at| now < *at + WAITING);
        self.refused_at.insert(account.clone(), now);
    }

    /// Whether an account must leave a contended pool to another one that waits and holds less than its share.
    pub(crate) fn must_yield(
        &self,
        account: &Name,
        slots: usize,
        site: &SiteConfig,
        now: Duration,
    ) -> bool {
        let waits = |name: &Name| {
            let at = self.refused_at.get(name);
            at.is_some_and(|at| now < *at + WAITING)
        };
        let mut others = self.refused_at.keys();
        if !others.any(|name| name != account && waits(name)) {
            return false;
        }
        let share = |name: &Name| {
            let account = site.accounts.get(name);
            account.map_or(1, |account| account.share.max(1)) as usize
        };
        let waiting = self.refused_at.keys().filter(|name| waits(name));
        let waiting = waiting.filter(|name| !self.held.contains_key(*name));
        let total: usize = self.held.keys().chain(waiting).map(share).sum();
        let fair = |name: &Name| (slots * share(name)).div_ceil(total.max(1));
        let held = |name: &Name| self.held.get(name).copied().unwrap_or_default();
        let deprived = |name: &Name| name != account && waits(name) && held(name) < fair(name);
        held(account) >= fair(account) && self.refused_at.keys().any(deprived)
    }
}
