//! Queue of plain requests that wait until the limit of their service allows them.
//!
//! The most urgent priority goes first, then accounts take turns. Requests without an account share one turn.

use std::collections::BTreeMap;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::Name;

use crate::CallId;

/// Place of a request: priority, then round of its account, then the order of joining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    round: u64,
    number: u64,
}

/// Requests that wait for one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadQueue {
    calls: BTreeMap<Place, CallId>,
    places: FastMap<CallId, Place>,
    /// Round of the newest request of each account; cleared when nothing waits, so that it does not grow for
    /// ever.
    rounds: FastMap<Option<Name>, u64>,
    /// Round of the request that was sent last.
    round: u64,
    last_number: u64,
}

impl LoadQueue {
    /// Adds a request unless it waits already.
    pub(crate) fn join(&mut self, id: CallId, priority: u8, account: Option<Name>) {
        if self.places.contains_key(&id) {
            return;
        }
        let last = self.rounds.entry(account).or_insert(self.round);
        *last = self.round.max(*last) + 1;
        self.last_number += 1;
        let place = Place {
            priority,
            round: *last,
            number: self.last_number,
        };
        self.places.insert(id, place);
        self.calls.insert(place, id);
    }

    /// Removes a request, if it waits.
    pub(crate) fn remove(&mut self, id: CallId) {
        if let Some(place) = self.places.remove(&id) {
            self.calls.remove(&place);
        }
        if self.calls.is_empty() {
            self.rounds.clear();
        }
    }

    /// Removes and returns the request that is sent next.
    pub(crate) fn pop(&mut self) -> Option<CallId> {
        let (place, id) = self.calls.first_key_value()?;
        let (round, id) = (place.round, *id);
        self.round = self.round.max(round);
        self.remove(id);
        Some(id)
    }

    /// Returns the request that is sent next.
    pub(crate) fn first(&self) -> Option<CallId> {
        self.calls.values().next().copied()
    }

    /// Returns the requests in the order in which they are sent.
    pub(crate) fn order(&self) -> Vec<CallId> {
        self.calls.values().copied().collect()
    }

    /// Returns the number of requests before one; none if it does not wait.
    pub(crate) fn ahead_of(&self, id: CallId) -> Option<usize> {
        let place = self.places.get(&id)?;
        Some(self.calls.range(..place).count())
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }
}
