//! A shard owner's view of a decode endpoint.

use std::time::Duration;

use arbutusfall_wire::Name;
use arbutusfall_wire::RequestId;

use crate::placement::health::Health;

/// A decode endpoint and the slots reserved on it.
#[derive(Debug, Clone)]
pub(crate) struct DecodeEndpoint {
    pub(crate) name: Name,
    pub(crate) leaving: bool,
    pub(crate) slots: usize,
    pub(crate) health: Health,
    /// Requests in the last load report plus those placed by this VM since.
    pub(crate) load_requests: u64,
    /// Slot reservations: expected release instant and request.
    ///
    /// Invariant: sorted by release instant; at most one reservation per request.
    reservations: Vec<(Duration, RequestId)>,
}

impl DecodeEndpoint {
    pub(crate) fn new(name: Name) -> Self {
        Self {
            name,
            leaving: false,
            slots: 0,
            health: Health::default(),
            load_requests: 0,
            reservations: Vec::new(),
        }
    }

    /// Returns the number of reservations, including those that wait for a slot.
    pub(crate) fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the instant at which a slot is expected to be free if only `slots` may be used.
    ///
    /// [`Duration::MAX`] if `slots` is 0.
    pub(crate) fn slot_free_at(&self, slots: usize, now: Duration) -> Duration {
        match self.reservations.len().checked_sub(slots) {
            Some(index) if slots > 0 => self.reservations[index].0.max(now),
            Some(_) => Duration::MAX,
            None => now,
        }
    }

    /// Reserves a slot, or updates the release instant of the request's reservation.
    pub(crate) fn reserve(&mut self, request: RequestId, release_at: Duration) {
        self.release(request);
        let reservation = (release_at, request);
        let position = self
            .reservations
            .partition_point(|other| *other < reservation);
        self.reservations.insert(position, reservation);
        debug_assert!(self.reservations.is_sorted());
    }

    /// Returns the request with the earliest expected release if that instant has passed.
    pub(crate) fn first_overdue(&self, now: Duration) -> Option<RequestId> {
        let (release_at, request) = self.reservations.first()?;
        (*release_at <= now).then_some(*request)
    }

    pub(crate) fn release(&mut self, request: RequestId) {
        self.reservations.retain(|(_, other)| *other != request);
    }
}
