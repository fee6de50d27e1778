//! Counts of the simulation of relays and model engines.

use std::time::Duration;

/// Counts of requests of one size class.
#[derive(Debug, Default)]
pub(crate) struct SizeCounts {
    pub(crate) submitted: usize,
    pub(crate) served: usize,
}

/// Counts of the requests' outcomes.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) submitted: usize,
    /// Requests whose stream started within the target.
    pub(crate) on_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Longest time from a request's arrival to its refusal.
    pub(crate) longest_refusal: Duration,
    pub(crate) prefills: usize,
    pub(crate) decodes: usize,
    /// Requests with small and with large prompts.
    pub(crate) by_size: [SizeCounts; 2],
    /// Reservation attempts.
    pub(crate) reservation_attempts: usize,
    /// Callers that retried after a refusal.
    pub(crate) retried: usize,
    /// Exchanges with engines.
    pub(crate) exchanges: usize,
    /// Streams at engines that are slow.
    pub(crate) slow_decodes: usize,
}
