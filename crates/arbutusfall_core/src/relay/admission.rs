//! Admission of model requests: whether and when one may try to reserve engine memory.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::call::Call;
use crate::relay::waiting::FIRST_EVENT_MARGIN;

/// Largest time to a finished prefill for a late request, as a fraction of the target.
const LATE_SHARE: f64 = 0.4;

impl Relay {
    /// Returns whether a prefill sent now is expected to finish while its request is on time, or soon for a late one.
    pub(super) fn can_prefill_in_time(&self, call: &Call) -> bool {
        let serving = self.endpoints.serving(&call.service, Role::Prefill);
        let usable = serving.filter(|endpoint| endpoint.health.is_usable(self.now));
        let usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            // The decode engine prefills the prompt itself.
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
        let target = call.route.target.saturating_sub(FIRST_EVENT_MARGIN);
        let on_time_until = call.arrived_at + target;
        let is_on_time = call.prior_attempt_time.is_zero() && self.now + least <= on_time_until;
        // A request that is late anyway must not delay requests that can still be on time.
        is_on_time || least <= target.mul_f64(LATE_SHARE)
    }

    /// Returns whether a call may try to reserve memory now.
    pub(super) fn may_reserve(&self, call: &Call) -> bool {
        self.reservation_allowed_at(call)
            .is_some_and(|reservation_allowed_at| reservation_allowed_at <= self.now)
    }

    /// Returns the instant from which a call may try to reserve memory; none if no engine is usable.
    pub(super) fn reservation_allowed_at(&self, call: &Call) -> Option<Duration> {
        let engines = self.endpoints.serving(&call.service, Role::Decode);
        let usable = engines.filter(|engine| engine.health.is_usable(self.now));
        let delay = self.reservation_delay(call);
        let earliest = usable.map(|engine| engine.reservable_at(delay)).min()?;
        Some(if self.is_late_start(call) {
            earliest.max(self.wait_queue.late_retry_at)
        } else {
            earliest
        })
    }

    /// Records that an engine without free memory refused a call; returns the time for which the engine counts as full.
    pub(super) fn pace_after_refusal(&mut self, id: CallId) -> Duration {
        let late = self.calls.get(&id).filter(|call| self.is_late_start(call));
        if let Some(delay) = late.and_then(|call| self.reservation_delay(call)) {
            self.wait_queue.late_retry_at = self.now + delay;
        }
        self.wait_queue.pacing.on_refused(&mut self.rng)
    }

    /// Returns the extra delay of a call after a refusal; none for a small call that can be on time, or a started
    /// stream.
    pub(super) fn reservation_delay(&self, call: &Call) -> Option<Duration> {
        let beyond = self.reservation_intervals(call) - 1.0;
        (beyond > 0.0).then(|| self.wait_queue.pacing.duration(beyond))
    }

    /// Returns the pacing intervals that a call waits after an engine's refusal.
    pub(super) fn reservation_intervals(&self, call: &Call) -> f64 {
        if call.is_forwarded {
            return 1.0;
        }
        let cost = call.prompt().expected_cost();
        let pacing = &self.wait_queue.pacing;
        pacing.intervals(cost, self.is_late_start(call))
    }

    /// Returns whether a call whose stream has not started would miss its target.
    fn is_late_start(&self, call: &Call) -> bool {
        !call.is_forwarded && self.is_late(call.request.call)
    }
}
