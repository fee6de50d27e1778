//! Limits of concurrent calls and calls per second of client accounts at this VM.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::config::Account;

/// Current usage of each account at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountUsage {
    usage_by_account: FastMap<Name, Usage>,
}

/// Usage of one account.
#[derive(Debug, Clone)]
struct Usage {
    in_progress: u32,
    /// Calls that may be made now.
    ///
    /// Invariant: between 0 and the account's `max_requests_per_s`.
    allowance: f64,
    /// Monotonic instant at which `allowance` was last raised.
    refilled_at: Duration,
}

impl AccountUsage {
    /// Admits a call, or returns the time after which to retry.
    pub(crate) fn admit(
        &mut self,
        account_name: &Name,
        account: &Account,
        now_monotonic: Duration,
    ) -> Result<(), Duration> {
        let rate = f64::from(account.max_requests_per_s);
        let usage = self
            .usage_by_account
            .entry(account_name.clone())
            .or_insert_with(|| Usage {
                in_progress: 0,
                allowance: rate,
                refilled_at: now_monotonic,
            });
        let elapsed = now_monotonic.saturating_sub(usage.refilled_at);
        usage.allowance = (usage.allowance + elapsed.as_secs_f64() * rate).min(rate);
        usage.refilled_at = now_monotonic;
        if usage.in_progress >= account.max_concurrent_requests {
            return Err(Duration::from_secs(1));
        }
        if usage.allowance < 1.0 {
            let missing = 1.0 - usage.allowance;
            return Err(Duration::from_secs_f64(
                (missing / rate.max(0.01)).min(60.0),
            ));
        }
        usage.allowance -= 1.0;
        usage.in_progress += 1;
        Ok(())
    }

    /// Ends a call that was admitted.
    pub(crate) fn release(&mut self, account_name: &Name) {
        if let Some(usage) = self.usage_by_account.get_mut(account_name) {
            debug_assert!(usage.in_progress > 0);
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }
}
