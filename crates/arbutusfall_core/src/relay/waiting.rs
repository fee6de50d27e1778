//! Model requests that wait for room in the memory of a decode engine.
//!
//! Those that can still be on time go first, in the order of their arrival; after them those that are late already.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::placement::Comebacks;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::call::Call;
use crate::relay::notice::millis;
use crate::relay::pacing::Pacing;

/// Shortest time between two looks at those that wait.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time from a request's start at the engines to its first event beyond the prefill itself.
pub(super) const START_MARGIN: Duration = Duration::from_millis(120);

/// Multiple of the target for which a request may wait whose caller came again: it is late already, and if it finds no room
/// its caller should know soon.
const MAX_WAIT_TARGETS: f64 = 1.0;

/// Share of the grants that are expected while a request may wait up to which requests wait: most of those that wait
/// should find room.
const COUNTED_SHARE: f64 = 0.7;

/// Requests that wait, in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waiting {
    calls: Vec<CallId>,
    /// Instant of the timer that is set.
    timer_due: Option<Duration>,
    /// Instant from which requests that are late already may ask again, after one of them was refused.
    pub(super) late_from: Duration,
    /// How often engines are asked.
    pub(super) pacing: Pacing,
    /// When refused callers are asked back, by the rate at which room is found.
    pub(super) comebacks: Comebacks,
}

impl Waiting {
    pub(crate) fn remove(&mut self, id: CallId) {
        self.calls.retain(|waiting| *waiting != id);
    }
}

impl Call {
    /// Instant until which a request may wait for room: as long as it can be on time, if it still can.
    pub(crate) fn wait_until(&self) -> Duration {
        if self.is_forwarded {
            // The caller has part of its answer; only the rest is worth anything to it.
            return self.due_at;
        }
        let wait = if self.spent_before.is_zero() {
            self.route.target.saturating_sub(START_MARGIN)
        } else {
            self.route.target.mul_f64(MAX_WAIT_TARGETS)
        };
        (self.arrived_at + wait).min(self.due_at)
    }
}

impl Relay {
    /// Has a request wait for room.
    pub(super) fn wait(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if self.now >= call.wait_until() {
            self.give_up(id, "no_room");
            return;
        }
        if !self.waiting.calls.contains(&id) {
            if !call.has_waited && !call.is_forwarded && self.is_crowded(call) {
                self.give_up(id, "overloaded");
                return;
            }
            self.waiting.calls.push(id);
        }
        self.note_waiting(id);
        self.set_room_timer();
    }

    /// Writes a line when a request waits for the first time.
    fn note_waiting(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let grants_per_s = self.grants_per_s(call);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut call.has_waited, true) {
            return;
        }
        let notice = RelayNotice::Waiting {
            request_id: call.request.request_id.clone(),
            waiting: self.waiting.calls.len(),
            grants_per_s,
            at_most_ms: millis(call.wait_until().saturating_sub(self.now)),
        };
        self.note(notice);
    }

    /// Whether a request would probably find no room while it may wait, with those that go before it.
    fn is_crowded(&self, call: &Call) -> bool {
        let within = call.wait_until().saturating_sub(self.now);
        let is_first_try = call.spent_before.is_zero();
        let grants_per_s = self.grants_per_s(call) / self.ask_intervals(call);
        let expected = grants_per_s * within.as_secs_f64();
        let ahead = self.waiting.calls.iter();
        let ahead = ahead.filter(|id| !is_first_try || !self.is_late(**id));
        (ahead.count() + 1) as f64 > expected * COUNTED_SHARE
    }

    /// Grants a second that this VM can expect from the engines that serve a call.
    fn grants_per_s(&self, call: &Call) -> f64 {
        let engines = self.endpoints.serving(&call.service, Role::Decode);
        self.waiting.pacing.grants_per_s(engines.count())
    }

    /// Asks again after a while, or when the first of those that wait has waited long enough.
    fn set_room_timer(&mut self) {
        let calls = self.waiting.calls.iter();
        let ends = calls.filter_map(|id| Some(self.calls.get(id)?.wait_until()));
        let Some(first_end) = ends.min() else {
            return;
        };
        let calls = self.waiting.calls.iter();
        let room = calls.filter_map(|id| self.room_at(self.calls.get(id)?));
        let earliest = self.now + MIN_LOOK_INTERVAL;
        let due = room.fold(first_end, Duration::min).max(earliest);
        if self.waiting.timer_due.is_some_and(|set| set <= due) {
            return;
        }
        self.waiting.timer_due = Some(due);
        self.timers.set(due, RelayTimer::AskForRoom);
    }

    /// Asks again for room for those that wait.
    pub(super) fn on_room_timer(&mut self) {
        if self.waiting.timer_due.is_some_and(|due| due > self.now) {
            // An earlier timer took this one's place.
            return;
        }
        self.waiting.timer_due = None;
        self.ask_for_room();
        self.set_room_timer();
    }

    /// An engine may have room: asks for those that wait, as long as an engine is not known to be full.
    pub(super) fn ask_for_room(&mut self) {
        for id in self.waiting_in_order() {
            let Some(call) = self.calls.get(&id) else {
                self.waiting.remove(id);
                continue;
            };
            if self.now >= call.wait_until() {
                self.waiting.remove(id);
                self.give_up(id, "no_room");
                continue;
            }
            if !self.may_have_room(call) || !self.may_start(call) {
                continue;
            }
            self.waiting.remove(id);
            self.send_next(id);
        }
    }

    fn waiting_in_order(&self) -> Vec<CallId> {
        let mut order: Vec<(bool, CallId)> = self
            .waiting
            .calls
            .iter()
            .map(|id| (self.is_late(*id), *id))
            .collect();
        // Streams that broke in the middle are late by now, and still go before others that are.
        order.sort_by_key(|(is_late, id)| (*is_late, !self.has_begun(*id)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    fn has_begun(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.is_forwarded)
    }

    /// Whether a request that starts now would miss its target.
    pub(super) fn is_late(&self, id: CallId) -> bool {
        self.calls.get(&id).is_none_or(|call| {
            let started_by =
                (call.arrived_at + call.route.target).saturating_sub(call.spent_before);
            self.now + START_MARGIN > started_by
        })
    }
}
