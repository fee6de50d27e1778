//! Limits of concurrent calls and calls per second of client accounts at this VM.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::config::Account;
use crate::relay::TokenBucket;

/// Longest retry delay of a refused call.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Current usage of each account at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountUsage {
    usage_by_account: FastMap<Name, Usage>,
}

/// Usage of one account.
#[derive(Debug, Clone)]
struct Usage {
    in_progress: u32,
    /// Calls that may be made now, at most the account's `max_requests_per_s`.
    allowance: TokenBucket,
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
                allowance: TokenBucket::new(rate, now_monotonic),
            });
        let allowed = usage.allowance.refill(rate, rate, now_monotonic);
        if usage.in_progress >= account.max_concurrent_requests {
            return Err(Duration::from_secs(1));
        }
        if allowed < 1.0 {
            let wait = usage.allowance.time_until(1.0, rate.max(0.01));
            return Err(wait.min(MAX_RETRY_AFTER));
        }
        usage.allowance.take(1.0);
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
