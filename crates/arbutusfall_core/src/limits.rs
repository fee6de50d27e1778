//! Rate and concurrency limits of client accounts at this VM.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::config::Account;

/// Current usage of each account at this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct AccountLimits {
    usage: FastMap<Name, Usage>,
}

/// Usage of one account.
#[derive(Debug, Clone)]
struct Usage {
    in_progress: u32,
    /// Tokens of the rate limit; each request takes one.
    ///
    /// Invariant: between 0 and the account's requests a second.
    tokens: f64,
    refilled_at: Duration,
}

impl AccountLimits {
    /// Admits a request, or returns the time after which to retry.
    pub(crate) fn admit(
        &mut self,
        name: &Name,
        account: &Account,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate = f64::from(account.max_requests_per_s);
        let usage = self.usage.entry(name.clone()).or_insert_with(|| Usage {
            in_progress: 0,
            tokens: rate,
            refilled_at: now,
        });
        let elapsed = now.saturating_sub(usage.refilled_at);
        usage.tokens = (usage.tokens + elapsed.as_secs_f64() * rate).min(rate);
        usage.refilled_at = now;
        if usage.in_progress >= account.max_concurrent_requests {
            return Err(Duration::from_secs(1));
        }
        if usage.tokens < 1.0 {
            let missing = 1.0 - usage.tokens;
            return Err(Duration::from_secs_f64(
                (missing / rate.max(0.01)).min(60.0),
            ));
        }
        usage.tokens -= 1.0;
        usage.in_progress += 1;
        Ok(())
    }

    /// Ends a request that was admitted.
    pub(crate) fn release(&mut self, name: &Name) {
        if let Some(usage) = self.usage.get_mut(name) {
            debug_assert!(usage.in_progress > 0);
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }
}
