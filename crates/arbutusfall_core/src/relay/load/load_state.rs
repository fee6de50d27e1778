//! What the relay knows of the load of its plain services.

use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::placement::RetrySchedule;
use crate::relay::load::load_queue::LoadQueue;
use crate::relay::load::service_limiter::ServiceLimiter;

/// Limiter and queue of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceLoad {
    pub(crate) limiter: ServiceLimiter,
    pub(crate) queue: LoadQueue,
    /// Instant of the earliest timer that is set.
    pub(crate) timer_due: Option<Duration>,
    /// Retry delays of refused callers, from the rate of requests within the limit.
    pub(crate) retry_schedule: RetrySchedule,
}

/// Limiters and queues of all plain services.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadState {
    /// One entry for each plain service that was used. None is removed, so their number is bounded by the services that
    /// configurations have named.
    pub(crate) services: FastMap<Name, ServiceLoad>,
    pub(crate) counts: LoadCounts,
}

/// Counts of decisions since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Plain requests that endpoints rejected.
    pub rejected: u64,
    /// Requests that were to wait or be refused, because they were beyond a limit.
    pub beyond_limit: u64,
    /// Requests that were refused, because their service was full.
    pub refused: u64,
}

/// Limits of plain services at one VM, for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadStatus {
    /// Services with a limit.
    pub limited_services: usize,
    /// Counts of decisions.
    pub counts: LoadCounts,
}
