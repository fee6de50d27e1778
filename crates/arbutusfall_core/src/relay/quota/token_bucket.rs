//! Token bucket: what may be used now under a rate and a burst.

use std::time::Duration;

/// A bucket that fills at a rate up to a capacity. Both are passed in, because configuration changes them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TokenBucket {
    /// Negative after a use beyond the capacity.
    ///
    /// Invariant: at most the capacity of the last refill.
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket with `level` tokens.
    pub(crate) fn new(level: f64, now: Duration) -> Self {
        Self {
            level,
            refilled_at: now,
        }
    }

    /// Adds the tokens since the last refill and returns the level.
    pub(crate) fn refill(&mut self, per_s: f64, capacity: f64, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.level = (self.level + elapsed.as_secs_f64() * per_s).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        self.level
    }

    /// Uses tokens.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns the time from the last refill until the level is reached.
    pub(crate) fn time_until(&self, level: f64, per_s: f64) -> Duration {
        // Keeps the result in the range of `Duration` if the rate is zero.
        const MAX_S: f64 = 86_400.0;
        let missing = (level - self.level).max(0.0);
        let wait_s = missing / per_s.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(wait_s.min(MAX_S))
    }
}
