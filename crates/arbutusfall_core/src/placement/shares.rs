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
    waiting: BTreeMap<Name, Waiting>,
}

/// An account's requests that were refused lately.
#[derive(Debug, Clone)]
struct Waiting {
    requests: usize,
    /// Instant of the last refusal.
    refused_at: Duration,
}

impl Shares {
    pub(crate) fn on_granted(&mut self, account: &Name) {
        *self.held.entry(account.clone()).or_default() += 1;
        if let Some(waiting) = self.waiting.get_mut(account) {
            waiting.requests = waiting.requests.saturating_sub(1);
        }
    }

    pub(crate) fn on_released(&mut self, account: &Name) {
        if let Some(held) = self.held.get_mut(account) {
            debug_assert!(*held > 0);
            *held -= 1;
            if *held == 0 {
                self.held.remove(account);
            }
        }
    }

    pub(crate) fn on_refused(&mut self, account: &Name, now: Duration) {
        self.drop_old(now);
        let waiting = self.waiting.entry(account.clone()).or_insert(Waiting {
            requests: 0,
            refused_at: now,
        });
        waiting.requests += 1;
        waiting.refused_at = now;
    }

    fn drop_old(&mut self, now: Duration) {
        self.waiting
            .retain(|_, waiting| now < waiting.refused_at + WAITING);
    }

    /// Whether an account must leave free slots to other accounts, which wait and hold less than their shares.
    pub(crate) fn must_yield(
        &mut self,
        account: &Name,
        slots: usize,
        site: &SiteConfig,
        now: Duration,
    ) -> bool {
        self.drop_old(now);
        if self.waiting.keys().all(|name| name == account) {
            return false;
        }
        let share = |name: &Name| {
            let account = site.accounts.get(name);
            account.map_or(1, |account| account.share.max(1)) as usize
        };
        let held = |name: &Name| self.held.get(name).copied().unwrap_or_default();
        let only_waiting = self.waiting.keys().filter(|name| held(name) == 0);
        let total: usize = self.held.keys().chain(only_waiting).map(share).sum();
        let fair = |name: &Name| (slots * share(name)).div_ceil(total.max(1));
        if held(account) < fair(account) {
            return false;
        }
        let others = self.waiting.iter().filter(|(name, _)| *name != account);
        let owed = others.map(|(name, waiting)| {
            let missing = fair(name).saturating_sub(held(name));
            waiting.requests.min(missing)
        });
        let used: usize = self.held.values().sum();
        slots.saturating_sub(used) < owed.sum::<usize>() + 1
    }
}
