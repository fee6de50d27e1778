//! Failure backoff of endpoints.

use std::time::Duration;

/// Time for which an endpoint is avoided after its first failure; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Health of one endpoint, as in a circuit breaker.
///
/// After the backoff a failed endpoint gets one trial request, and no other during the next backoff unless it succeeds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    avoid_until: Duration,
}

impl Health {
    /// Returns whether a request may be placed.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.consecutive_failures == 0 || now >= self.avoid_until
    }

    /// Records that a request was placed; on a failed endpoint it is a trial and the backoff restarts.
    pub(crate) fn on_placed(&mut self, now: Duration) {
        if self.consecutive_failures > 0 {
            self.avoid_until = now + self.backoff();
        }
    }

    pub(crate) fn on_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure; further failures during the backoff are not counted.
    pub(crate) fn on_failure(&mut self, now: Duration) {
        if self.consecutive_failures > 0 && now < self.avoid_until {
            return;
        }
        self.consecutive_failures += 1;
        self.avoid_until = now + self.backoff();
    }

    /// Returns the remaining backoff, or `None` if a request may be placed.
    pub(crate) fn avoided_for(&self, now: Duration) -> Option<Duration> {
        (!self.is_usable(now)).then(|| self.avoid_until - now)
    }

    fn backoff(&self) -> Duration {
        let doublings = self.consecutive_failures.saturating_sub(1).min(8);
        (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
    }
}
