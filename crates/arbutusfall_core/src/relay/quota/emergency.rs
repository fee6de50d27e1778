//! Requests that a VM may admit when it reaches no owner: so few that all VMs together stay within the tolerated excess.

use std::time::Duration;

use crate::relay::AccountQuota;
use crate::relay::QuotaSettings;

/// Time for which an unused opportunity is valid.
const VALID_TIME: Duration = Duration::from_secs(1);

/// Number of standard deviations between the mean use of all VMs and the tolerated excess: each VM begins at a random instant, so
/// how many requests of all VMs fall into a window varies.
const DEVIATIONS: f64 = 3.0;

/// Upper limit of the interval, in seconds, well within the range of [`Duration`].
const MAX_INTERVAL_S: f64 = 1e6;

/// Number of VMs, and what they may use together.
#[derive(Debug, Clone, Copy)]
pub(super) struct EmergencyShare<'a> {
    pub(super) quota: &'a AccountQuota,
    pub(super) settings: &'a QuotaSettings,
    pub(super) vm_count: usize,
}

impl EmergencyShare<'_> {
    /// Returns the interval between two requests of this cost of one VM; none if one request of any VM may be too many.
    fn interval(&self, cost: f64) -> Option<Duration> {
        let quota = self.quota;
        let excess = self.settings.emergency_excess(quota.per_s, quota.burst);
        let most = excess / cost.max(f64::MIN_POSITIVE);
        if most < 1.0 {
            return None;
        }
        // The mean m for which m + DEVIATIONS * sqrt(m) is the largest number.
        let root = ((DEVIATIONS * DEVIATIONS + 4.0 * most).sqrt() - DEVIATIONS) / 2.0;
        let mean = root * root;
        // An opportunity that began up to `VALID_TIME` before a window may be used in it.
        let span = self.settings.window + VALID_TIME;
        let interval_s = span.as_secs_f64() * self.vm_count.max(1) as f64 / mean;
        Some(Duration::from_secs_f64(interval_s.min(MAX_INTERVAL_S)))
    }
}

/// Opportunities of one VM to send a request of an account whose owner it does not reach. They begin at a random instant and
/// follow each other at the interval.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Emergency {
    /// Next opportunity; none before the first request.
    next_at: Option<Duration>,
}

impl Emergency {
    /// Uses an opportunity if there is one now; otherwise returns the time until the next one.
    pub(super) fn try_take(
        &mut self,
        cost: f64,
        share: EmergencyShare<'_>,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Result<(), Duration> {
        if cost <= 0.0 {
            return Ok(());
        }
        let Some(interval) = share.interval(cost) else {
            return Err(share.settings.window);
        };
        let next_at = self.next_at.unwrap_or(now + interval.mul_f64(rng.f64()));
        let next_at = skip_old(next_at, interval, now);
        if next_at <= now {
            self.next_at = Some(next_at + interval);
            return Ok(());
        }
        self.next_at = Some(next_at);
        Err(next_at - now)
    }
}

/// Returns the first opportunity that is still valid.
fn skip_old(next_at: Duration, interval: Duration, now: Duration) -> Duration {
    let old = now.saturating_sub(next_at + VALID_TIME);
    if old.is_zero() {
        return next_at;
    }
    let skipped = (old.as_secs_f64() / interval.as_secs_f64()).ceil();
    next_at + interval.mul_f64(skipped)
}
