//! Whether and when a model request may ask engines for room.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::call::Call;
use crate::relay::waiting::START_MARGIN;

/// Share of the target up to which prefills may queue for requests that are late.
const LATE_SHARE: f64 = 0.4;

impl Relay {
    /// Whether a prefill that is ordered now is expected to be done while its request is on time, or soon.
    pub(super) fn may_start(&self, call: &Call) -> bool {
        let serving = self.endpoints.serving(&call.service, Role::Prefill);
        let usable = serving.filter(|endpoint| endpoint.health.is_usable(self.now));
        let usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            // A decode engine prefills then.
            return true;
        }
        let free = usable.iter().filter(|endpoint| endpoint.may_prefill());
        let waits = free.map(|endpoint| {
            let work = endpoint.prefill_time(call.prompt().prompt_tokens);
            endpoint.expected_prefill_wait(self.now) + work
        });
        let Some(least) = waits.min() else {
            return false;
        };
        let target = call.route.target.saturating_sub(START_MARGIN);
        let on_time_until = call.arrived_at + target;
        let is_on_time = call.spent_before.is_zero() && self.now + least <= on_time_until;
        // One that is late anyway must not hold up others that are not.
        is_on_time || least <= target.mul_f64(LATE_SHARE)
    }

    /// Whether a call may ask an engine for room now.
    pub(super) fn may_have_room(&self, call: &Call) -> bool {
        self.room_at(call)
            .is_some_and(|room_at| room_at <= self.now)
    }

    /// Instant from which a call may ask an engine for room; none if no engine is usable.
    pub(super) fn room_at(&self, call: &Call) -> Option<Duration> {
        let engines = self.endpoints.serving(&call.service, Role::Decode);
        let usable = engines.filter(|engine| engine.health.is_usable(self.now));
        let delay = self.ask_delay(call);
        let earliest = usable.map(|engine| engine.ask_at(delay)).min()?;
        Some(if self.is_late_start(call) {
            earliest.max(self.waiting.late_from)
        } else {
            earliest
        })
    }

    /// An engine refused a call for want of room; returns the time for which it is not asked again.
    pub(super) fn on_room_refused(&mut self, id: CallId) -> Duration {
        let late = self.calls.get(&id).filter(|call| self.is_late_start(call));
        if let Some(delay) = late.and_then(|call| self.ask_delay(call)) {
            self.waiting.late_from = self.now + delay;
        }
        self.waiting.pacing.on_refused(&mut self.rng)
    }

    /// Time by which a call asks later than others after a refusal; none if it is small and can be on time, or has begun.
    pub(super) fn ask_delay(&self, call: &Call) -> Option<Duration> {
        let beyond = self.ask_intervals(call) - 1.0;
        (beyond > 0.0).then(|| self.waiting.pacing.time(beyond))
    }

    /// Intervals after a refusal after which a call asks an engine again.
    pub(super) fn ask_intervals(&self, call: &Call) -> f64 {
        if call.is_forwarded {
            return 1.0;
        }
        let cost = call.prompt().expected_cost();
        let pacing = &self.waiting.pacing;
        pacing.intervals(cost, self.is_late_start(call))
    }

    /// Whether a call has not begun and would miss its target.
    fn is_late_start(&self, call: &Call) -> bool {
        !call.is_forwarded && self.is_late(call.request.call)
    }
}
