//! Plain requests that wait until the limit of an endpoint allows one more request.
//!
//! The one that is due first goes first. A request that can't be sent by its target is refused at once.

use std::time::Duration;

use crate::CallId;
use crate::placement::RetrySchedule;

/// Requests that wait for a limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitedQueue {
    pub(crate) calls: Vec<CallId>,
    /// Instant of the earliest timer that is set.
    pub(crate) timer_due: Option<Duration>,
    /// Retry delays of refused callers, from the rate of requests to limited endpoints.
    pub(crate) retry_schedule: RetrySchedule,
}

impl LimitedQueue {
    pub(crate) fn remove(&mut self, id: CallId) {
        self.calls.retain(|waiting| *waiting != id);
    }
}
