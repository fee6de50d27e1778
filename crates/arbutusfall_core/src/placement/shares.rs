//! Fair shares of a contended pool.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::config::SiteConfig;

/// Time for which a refused account counts as waiting.
const WAITING_PERIOD: Duration = Duration::from_secs(2);

/// Grants by account, except adopted ones, and accounts that wait for slots.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shares {
    grants_held: BTreeMap<Name, usize>,
    waiting: BTreeMap<Name, RefusedRequests>,
}

/// Refused requests of an account that are expected to be retried.
#[derive(Debug, Clone)]
struct RefusedRequests {
    requests: usize,
    /// Instant of the last refusal.
    refused_at: Duration,
}

impl Shares {
    pub(crate) fn on_granted(&mut self, account: &Name) {
        *self.grants_held.entry(account.clone()).or_default() += 1;
        if let Some(waiting) = self.waiting.get_mut(account) {
            waiting.requests = waiting.requests.saturating_sub(1);
        }
    }

    pub(crate) fn on_released(&mut self, account: &Name) {
        if let Some(grants_held) = self.grants_held.get_mut(account) {
            debug_assert!(*grants_held > 0);
            *grants_held -= 1;
            if *grants_held == 0 {
                self.grants_held.remove(account);
            }
        }
    }

    pub(crate) fn on_refused(&mut self, account: &Name, now: Duration) {
        self.drop_expired(now);
        let waiting = self
            .waiting
            .entry(account.clone())
            .or_insert(RefusedRequests {
                requests: 0,
                refused_at: now,
            });
        waiting.requests += 1;
        waiting.refused_at = now;
    }

    fn drop_expired(&mut self, now: Duration) {
        self.waiting
            .retain(|_, waiting| now < waiting.refused_at + WAITING_PERIOD);
    }

    /// Returns whether an account must leave the free slots to waiting accounts that hold less than their fair share.
    pub(crate) fn must_yield(
        &mut self,
        account: &Name,
        slots: usize,
        site: &SiteConfig,
        now: Duration,
    ) -> bool {
        self.drop_expired(now);
        if self.waiting.keys().all(|name| name == account) {
            return false;
        }
        let weight = |name: &Name| {
            let account = site.accounts.get(name);
            account.map_or(1, |account| account.share.max(1)) as usize
        };
        let grants_held = |name: &Name| self.grants_held.get(name).copied().unwrap_or_default();
        let waiting_only = self.waiting.keys().filter(|name| grants_held(name) == 0);
        let total_weight: usize = self
            .grants_held
            .keys()
            .chain(waiting_only)
            .map(weight)
            .sum();
        let fair_slots = |name: &Name| (slots * weight(name)).div_ceil(total_weight.max(1));
        if grants_held(account) < fair_slots(account) {
            return false;
        }
        let others = self.waiting.iter().filter(|(name, _)| *name != account);
        let needed_by_others = others.map(|(name, waiting)| {
            let shortfall = fair_slots(name).saturating_sub(grants_held(name));
            waiting.requests.min(shortfall)
        });
        let granted: usize = self.grants_held.values().sum();
        slots.saturating_sub(granted) < needed_by_others.sum::<usize>() + 1
    }
}
