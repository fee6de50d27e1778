//! Whether an endpoint is worth a try.

use std::time::Duration;

/// Time for which an endpoint is avoided after its first failure; doubles with each further one.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(8);

/// Failures of one endpoint.
///
/// An endpoint that failed gets one request as a trial when its time is up, and no other until that one succeeded.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Failures in a row.
    failures: u32,
    avoid_until: Duration,
}

impl Health {
    /// Whether a request may be placed.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.failures == 0 || now >= self.avoid_until
    }

    /// A request was placed.
    pub(crate) fn on_placed(&mut self, now: Duration) {
        if self.failures > 0 {
            self.avoid_until = now + self.avoidance();
        }
    }

    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Requests that fail together count as one failure.
    pub(crate) fn on_failure(&mut self, now: Duration) {
        if self.failures > 0 && now < self.avoid_until {
            return;
        }
        self.failures += 1;
        self.avoid_until = now + self.avoidance();
    }

    /// Time for which no request is placed; none if one may be.
    pub(crate) fn avoided_for(&self, now: Duration) -> Option<Duration> {
        (!self.is_usable(now)).then(|| self.avoid_until - now)
    }

    fn avoidance(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (FIRST_AVOIDANCE * (1 << doublings)).min(MAX_AVOIDANCE)
    }
}
