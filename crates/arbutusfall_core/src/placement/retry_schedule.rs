//! Retry-after times for refused callers.

use std::time::Duration;

/// Shortest retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest retry-after time, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Decay time of the recent-grant count from which the grant rate is estimated.
const RATE_DECAY_TIME: Duration = Duration::from_secs(2);

/// Largest random extension of a retry-after time, as a fraction of it.
const MAX_JITTER: f64 = 0.2;

/// Schedule of retries for refused callers, spaced by the rate at which requests are granted.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetrySchedule {
    /// Earliest instant at which the next refused caller may retry.
    next_at: Duration,
    last_granted_at: Duration,
    /// Number of grants, each weighted by exp(-age / [`RATE_DECAY_TIME`]), with its age at `last_granted_at`.
    recent_grants: f64,
}

impl RetrySchedule {
    /// Counts a granted request.
    pub(crate) fn on_granted(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_granted_at);
        let elapsed_ratio = elapsed.as_secs_f64() / RATE_DECAY_TIME.as_secs_f64();
        self.recent_grants = self.recent_grants * (-elapsed_ratio).exp() + 1.0;
        self.last_granted_at = now;
    }

    /// Returns the retry-after time of a refused request; at least `min_delay` unless [`MAX_RETRY_AFTER`] is shorter.
    pub(crate) fn next(
        &mut self,
        min_delay: Duration,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Duration {
        let earliest = now + min_delay.max(MIN_RETRY_AFTER);
        let at = self.next_at.max(earliest).min(now + MAX_RETRY_AFTER);
        self.next_at = at + RATE_DECAY_TIME.div_f64(self.recent_grants.max(1.0));
        let after = at - now;
        after + after.mul_f64(rng.f64() * MAX_JITTER)
    }
}
