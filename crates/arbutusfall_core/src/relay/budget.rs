//! Limit on how often requests are sent again, so that retries cannot multiply an overload.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

/// Time over which requests and retries are counted; older ones weigh less.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries that each VM may make whatever the number of its requests. Small, because all VMs may use theirs at once.
const FREE_RETRIES: f64 = 2.0;

/// Requests and retries of one service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: f64,
    retries: f64,
    counted_at: Duration,
}

impl Counts {
    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.counted_at).as_secs_f64() / WINDOW.as_secs_f64();
        let left = (-age).exp();
        self.requests *= left;
        self.retries *= left;
        self.counted_at = now;
    }
}

/// Retries of one VM, by service.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    /// Retries that one request allows.
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
        counts.fade(now);
        counts
    }

    /// A request for a service arrived.
    pub(crate) fn on_request(&mut self, service: &Name, now: Duration) {
        self.counts(service, now).requests += 1.0;
    }

    /// Takes one retry if it is allowed.
    pub(crate) fn take(&mut self, service: &Name, now: Duration) -> bool {
        let ratio = self.ratio;
        let counts = self.counts(service, now);
        if counts.retries + 1.0 > FREE_RETRIES + ratio * counts.requests {
            return false;
        }
        counts.retries += 1.0;
        true
    }
}
