//! When refused callers are asked to come back.

use std::time::Duration;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Weight of the newest interval between two grants in their mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Longest interval between two grants that says something of the shard's rate.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the time by which callers are spread at random.
const SPREAD: f64 = 0.2;

/// Instants given to refused callers, one after the other at the rate at which the shard grants.
#[derive(Debug, Clone, Default)]
pub(crate) struct Comebacks {
    /// Instant before which no further caller is asked back.
    next_at: Duration,
    granted_at: Option<Duration>,
    /// Mean time between two grants.
    interval_s: f64,
}

impl Comebacks {
    /// A request was granted.
    pub(crate) fn on_granted(&mut self, now: Duration) {
        if let Some(before) = self.granted_at {
            let interval = (now - before).min(MAX_INTERVAL).as_secs_f64();
            self.interval_s += (interval - self.interval_s) * NEWEST_WEIGHT;
        }
        self.granted_at = Some(now);
    }

    /// Time after which a caller is asked back whose request could be placed `late_by` later.
    pub(crate) fn next(
        &mut self,
        late_by: Duration,
        now: Duration,
        rng: &mut fastrand::Rng,
    ) -> Duration {
        let earliest = now + late_by.max(MIN_RETRY_AFTER);
        let at = self.next_at.max(earliest).min(now + MAX_RETRY_AFTER);
        self.next_at = at + Duration::from_secs_f64(self.interval_s);
        let after = at - now;
        after + after.mul_f64(rng.f64() * SPREAD)
    }
}
