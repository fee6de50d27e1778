//! A decode endpoint as a shard's owner sees it.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::placement::health::Health;

/// A decode endpoint and the grants that use its slots.
#[derive(Debug, Clone)]
pub(crate) struct DecodeEndpoint {
    pub(crate) name: Name,
    pub(crate) leaving: bool,
    pub(crate) slots: usize,
    pub(crate) health: Health,
    /// Requests by the last load report, and those placed by this VM since.
    pub(crate) load_requests: u64,
    /// Grants by the instant at which they are expected to release their slots.
    ///
    /// Invariant: sorted; a request appears once.
    holds: Vec<(Duration, RequestId)>,
}

impl DecodeEndpoint {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            leaving: false,
            slots: 0,
            health: Health::default(),
            load_requests: 0,
            holds: Vec::new(),
        }
    }

    /// Grants that use the endpoint.
    pub(crate) fn held(&self) -> usize {
        self.holds.len()
    }

    /// Instant at which one of so many slots is expected to be free.
    pub(crate) fn slot_free_at(&self, slots: usize, now: Duration) -> Duration {
        match self.holds.len().checked_sub(slots) {
            Some(ahead) if slots > 0 => self.holds[ahead].0.max(now),
            Some(_) => Duration::MAX,
            None => now,
        }
    }

    /// Books a slot, or moves the instant of its release.
    pub(crate) fn hold(&mut self, request: RequestId, release_at: Duration) {
        self.release(request);
        let hold = (release_at, request);
        let position = self.holds.partition_point(|other| *other < hold);
        self.holds.insert(position, hold);
        debug_assert!(self.holds.is_sorted());
    }

    /// The grant that should have released its slot first, if that is overdue.
    pub(crate) fn overdue(&self, now: Duration) -> Option<RequestId> {
        let (release_at, request) = self.holds.first()?;
        (*release_at <= now).then_some(*request)
    }

    pub(crate) fn release(&mut self, request: RequestId) {
        self.holds.retain(|(_, held)| *held != request);
    }
}
