//! Pacing of reservation attempts at full engines.
//!
//! VMs try to reserve memory independently of each other, and most attempts are refused while memory is scarce. Each VM
//! lengthens its interval after a refusal and shortens it after a grant, so that the attempts of all VMs together stay
//! in proportion to the free memory.

use std::time::Duration;

/// Interval before the first refusal.
const INITIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Lower limit of the interval.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Upper limit of the interval.
const MAX_INTERVAL: Duration = Duration::from_millis(3_000);

/// Factor of the interval after a refusal. Six refusals undo one grant, which shortens it by [`GRANTED_FACTOR`], so
/// about one attempt in seven is granted in the long run.
const REFUSED_FACTOR: f64 = 1.12;

/// Factor of the interval after a grant.
const GRANTED_FACTOR: f64 = 0.5;

/// Width of the random variation of an interval, as a fraction, so that VMs do not try at the same time.
const INTERVAL_JITTER: f64 = 0.5;

/// Factor of the interval for late requests. While memory is scarce, other requests try earlier and get the memory that
/// becomes free.
const LATE_WAIT_FACTOR: f64 = 8.0;

/// Largest factor of the interval for large requests. The limit is low so that large requests are served too.
const MAX_LARGE_WAIT_FACTOR: f64 = 2.5;

/// Weight of the newest request in the running mean of the cost.
const NEWEST_COST_WEIGHT: f64 = 0.05;

/// Initial estimate of the fraction of attempts that are granted.
const INITIAL_GRANTED_FRACTION: f64 = 0.5;

/// Weight of the newest attempt in the running mean of grants.
const NEWEST_WEIGHT: f64 = 0.05;

/// Pacing of one VM's reservation attempts, shared by all engines.
#[derive(Debug, Clone)]
pub(crate) struct Pacing {
    /// Time for which an engine is not tried again after it refused, before jitter and the request's factor.
    ///
    /// Invariant: between [`MIN_INTERVAL`] and [`MAX_INTERVAL`].
    interval: Duration,
    /// Running mean of the fraction of attempts that are granted.
    granted_fraction: f64,
    /// Running mean of the expected cost of requests; none before the first.
    mean_cost: Option<f64>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            interval: INITIAL_INTERVAL,
            granted_fraction: INITIAL_GRANTED_FRACTION,
            mean_cost: None,
        }
    }
}

impl Pacing {
    /// Records a refusal; returns the time until the next attempt at the engine.
    pub(crate) fn on_refused(&mut self, rng: &mut fastrand::Rng) -> Duration {
        self.granted_fraction *= 1.0 - NEWEST_WEIGHT;
        let interval = self.interval.mul_f64(REFUSED_FACTOR);
        self.interval = interval.min(MAX_INTERVAL);
        let spread = 1.0 + INTERVAL_JITTER * (rng.f64() - 0.5);
        self.interval.mul_f64(spread)
    }

    /// Records a grant.
    pub(crate) fn on_granted(&mut self) {
        self.granted_fraction += (1.0 - self.granted_fraction) * NEWEST_WEIGHT;
        let interval = self.interval.mul_f64(GRANTED_FACTOR);
        self.interval = interval.max(MIN_INTERVAL);
    }

    /// Returns the rate of grants that this VM can expect from a number of engines, per second.
    pub(crate) fn grants_per_s(&self, engines: usize) -> f64 {
        self.granted_fraction * engines as f64 / self.interval.as_secs_f64()
    }

    /// Adds an arriving request to the mean cost.
    pub(crate) fn on_request(&mut self, cost: f64) {
        let mean = self.mean_cost.unwrap_or(cost);
        self.mean_cost = Some(mean + (cost - mean) * NEWEST_COST_WEIGHT);
    }

    /// Returns how many intervals a request waits after an engine's refusal: 1 for requests up to the mean cost, more
    /// for larger ones, since several small ones can be served in place of a large one, and most for late ones.
    pub(crate) fn wait_factor(&self, cost: f64, is_late: bool) -> f64 {
        if is_late {
            return LATE_WAIT_FACTOR;
        }
        let mean = self.mean_cost.unwrap_or(cost).max(1.0);
        (cost / mean).clamp(1.0, MAX_LARGE_WAIT_FACTOR)
    }

    /// Returns the interval times `factor`, without jitter.
    pub(crate) fn scaled_interval(&self, factor: f64) -> Duration {
        self.interval.mul_f64(factor)
    }
}
