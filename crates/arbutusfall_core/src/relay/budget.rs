//! Retry budget: limits retries to a fraction of the requests, so that retries cannot multiply an overload.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Retries allowed per VM and service within about [`DECAY_TIME`], regardless of the number of requests. Small, because
/// all VMs may use theirs at the same time.
const FREE_RETRIES: f64 = 2.0;

/// Decaying counts of requests and retries of one service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: f64,
    retries: f64,
    counted_at: Duration,
}

impl Counts {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.counted_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let left = (-age).exp();
        self.requests *= left;
        self.retries *= left;
        self.counted_at = now;
    }
}

/// Retry budget of one VM, kept per service.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    /// Retries that each request adds to the budget.
    ratio: f64,
    counts: BTreeMap<Name, Counts>,
}

impl RetryBudget {
    pub(crate) fn new(ratio: f64) -> Self {
        Self {
            ratio,
            counts: BTreeMap::new(),
        }
    }

    fn counts(&mut self, service: &Name, now: Duration) -> &mut Counts {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.decay(now);
        counts
    }

    /// Counts an arriving request.
    pub(crate) fn on_request(&mut self, service: &Name, now: Duration) {
        self.counts(service, now).requests += 1.0;
    }

    /// Spends one retry and returns true if the budget allows it.
    pub(crate) fn try_take(&mut self, service: &Name, now: Duration) -> bool {
        let ratio = self.ratio;
        let counts = self.counts(service, now);
        if counts.retries + 1.0 > FREE_RETRIES + ratio * counts.requests {
            return false;
        }
        counts.retries += 1.0;
        true
    }
}
