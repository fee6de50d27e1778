//! Limit on how often requests are sent again, so that retries cannot multiply an overload.

use std::collections::BTreeMap;

use arbutusfall_wire::Name;

/// Retries that a service is allowed before it had any request.
const INITIAL_RETRIES: f64 = 3.0;

/// Most retries that may be saved up for a service at one VM.
const MAX_SAVED_RETRIES: f64 = 6.0;

/// Retries that may still be made, by service.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    /// Retries earned by one request.
    ratio: f64,
    /// Invariant: between 0 and [`MAX_SAVED_RETRIES`].
    left: BTreeMap<Name, f64>,
}

impl RetryBudget {
    pub(crate) fn new(ratio: f64) -> Self {
        Self {
            ratio,
            left: BTreeMap::new(),
        }
    }

    fn left(&mut self, service: &Name) -> &mut f64 {
        self.left.entry(service.clone()).or_insert(INITIAL_RETRIES)
    }

    /// A request for a service arrived.
    pub(crate) fn on_request(&mut self, service: &Name) {
        let ratio = self.ratio;
        let left = self.left(service);
        *left = (*left + ratio).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if there is one left.
    pub(crate) fn take(&mut self, service: &Name) -> bool {
        let left = self.left(service);
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }
}
