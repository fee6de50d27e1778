//! How often full engines are asked for room.
//!
//! Every VM asks on its own and most asks are refused while memory is scarce. So that the asks of all VMs together stay in
//! proportion to the room there is, each VM asks less often after a refusal and more often after a grant.

use std::time::Duration;

/// Time for which an engine that refused is not asked again, at first.
const INITIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest such time.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest such time.
const MAX_INTERVAL: Duration = Duration::from_millis(3_000);

/// Factor of the interval after a refusal. With [`GRANTED_FACTOR`], about one ask in seven is granted in the long run.
const REFUSED_FACTOR: f64 = 1.12;

/// Factor of the interval after a grant.
const GRANTED_FACTOR: f64 = 0.5;

/// Share by which intervals differ at random, so that VMs do not ask at the same time.
const SPREAD: f64 = 0.5;

/// Intervals for which an engine must not have refused before a request asks it that is late already. While memory is
/// scarce, others ask sooner and get what becomes free.
const LATE_INTERVALS: f64 = 8.0;

/// Most intervals for which an engine must not have refused before a large request asks it. A small limit, so that large
/// requests are served too.
const MAX_LARGE_INTERVALS: f64 = 2.5;

/// Weight of the newest request in the mean cost.
const NEWEST_COST_WEIGHT: f64 = 0.05;

/// Share of asks that is taken to be granted at first.
const INITIAL_GRANTED_SHARE: f64 = 0.5;

/// Weight of the newest ask in that share.
const NEWEST_WEIGHT: f64 = 0.05;

/// Interval between two asks at one engine.
#[derive(Debug, Clone)]
pub(crate) struct Pacing {
    /// Invariant: between [`MIN_INTERVAL`] and [`MAX_INTERVAL`].
    interval: Duration,
    /// Running mean of the outcomes, 1 being all granted.
    granted_share: f64,
    /// Running mean of what requests are expected to take; none before the first.
    mean_cost: Option<f64>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            interval: INITIAL_INTERVAL,
            granted_share: INITIAL_GRANTED_SHARE,
            mean_cost: None,
        }
    }
}

impl Pacing {
    /// An engine refused; returns the time for which it is not asked again.
    pub(crate) fn on_refused(&mut self, rng: &mut fastrand::Rng) -> Duration {
        self.granted_share *= 1.0 - NEWEST_WEIGHT;
        let interval = self.interval.mul_f64(REFUSED_FACTOR);
        self.interval = interval.min(MAX_INTERVAL);
        let spread = 1.0 + SPREAD * (rng.f64() - 0.5);
        self.interval.mul_f64(spread)
    }

    /// An engine granted room.
    pub(crate) fn on_granted(&mut self) {
        self.granted_share += (1.0 - self.granted_share) * NEWEST_WEIGHT;
        let interval = self.interval.mul_f64(GRANTED_FACTOR);
        self.interval = interval.max(MIN_INTERVAL);
    }

    /// Grants a second that requests of this VM can expect from so many engines.
    pub(crate) fn grants_per_s(&self, engines: usize) -> f64 {
        self.granted_share * engines as f64 / self.interval.as_secs_f64()
    }

    /// A request arrived that is expected to take so much.
    pub(crate) fn on_asked(&mut self, cost: f64) {
        let mean = self.mean_cost.unwrap_or(cost);
        self.mean_cost = Some(mean + (cost - mean) * NEWEST_COST_WEIGHT);
    }

    /// Intervals after a refusal after which a request asks the engine again: one for small requests, more for those that
    /// take more than the mean, since several small ones are served in the place of a large one; most for late ones.
    pub(crate) fn intervals(&self, cost: f64, is_late: bool) -> f64 {
        if is_late {
            return LATE_INTERVALS;
        }
        let mean = self.mean_cost.unwrap_or(cost).max(1.0);
        (cost / mean).clamp(1.0, MAX_LARGE_INTERVALS)
    }

    /// So many intervals as a time.
    pub(crate) fn time(&self, intervals: f64) -> Duration {
        self.interval.mul_f64(intervals)
    }
}
