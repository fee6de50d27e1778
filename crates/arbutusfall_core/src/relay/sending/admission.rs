//! Admission of model requests: whether and when one may try to reserve engine memory.

use std::time::Duration;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::calls::call::Call;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::limits::limit_tokens::RESERVATION_TOKENS;
use crate::relay::sending::waiting::FIRST_EVENT_MARGIN;

/// A caller's retry, or a first attempt whose prefill would finish too late, is sent only if the prefill would finish
/// within this fraction of the target.
const MAX_LATE_PREFILL_FRACTION: f64 = 0.4;

impl Relay {
    /// Returns the prefill engines that a call may be sent to now. One that has failed for it does not count, even if it is sound
    /// again: it would not be selected.
    pub(in crate::relay) fn usable_prefill_engines<'a>(
        &'a self,
        call: &'a Call,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let serving = self.endpoints.serving(&call.service, Role::Prefill);
        serving.filter(|engine| {
            let has_failed = call.failed_endpoints.contains(&engine.listed.instance);
            engine.health.is_usable(self.now)
                && !engine.is_changing_role(self.now)
                && self.limit_allows(engine, 1.0)
                && (!has_failed || call.may_return_to_failed())
        })
    }

    /// Returns whether a prefill sent now would finish in time for the target or, for a caller's retry or a first
    /// attempt that would miss the target, within [`MAX_LATE_PREFILL_FRACTION`] of it.
    pub(in crate::relay) fn can_prefill_in_time(&self, call: &Call) -> bool {
        let usable: Vec<_> = self.usable_prefill_engines(call).collect();
        if usable.is_empty() {
            // The decode engine prefills the prompt itself.
            return true;
        }
        let free = usable.iter().filter(|endpoint| endpoint.may_prefill());
        let times_to_finish = free.map(|endpoint| {
            let work = endpoint.prefill_time(call.token_counts().prompt_tokens);
            endpoint.expected_prefill_wait(self.now) + work
        });
        let Some(shortest) = times_to_finish.min() else {
            return false;
        };
        let prefill_target = call.route.latency_target.saturating_sub(FIRST_EVENT_MARGIN);
        let on_time_until = call.arrived_at + prefill_target;
        let first_attempt_in_time =
            call.prior_attempt_time.is_zero() && self.now + shortest <= on_time_until;
        // A request that is late anyway must not delay requests that can still be on time.
        first_attempt_in_time || shortest <= prefill_target.mul_f64(MAX_LATE_PREFILL_FRACTION)
    }

    /// Returns whether a call may try to reserve memory now.
    pub(in crate::relay) fn may_reserve(&self, call: &Call) -> bool {
        self.reservation_allowed_at(call)
            .is_some_and(|allowed_at| allowed_at <= self.now)
    }

    /// Returns the instant from which a call may try to reserve memory; none if no engine serves it.
    pub(in crate::relay) fn reservation_allowed_at(&self, call: &Call) -> Option<Duration> {
        let engines = || self.endpoints.serving_call(call, Role::Decode);
        // While others are known, engines whose process is in doubt don't count for a stream that goes on.
        let is_any_known = call.is_bound() && engines().any(|engine| engine.run.is_listed());
        let engines = engines().filter(|engine| !is_any_known || engine.run.is_listed());
        let delay = self.extra_delay_after_refusal(call);
        let allowed_at = engines.filter_map(|engine| {
            let avoided_for = engine.health.avoided_for(self.now).unwrap_or_default();
            let limit_at = self.limit_allows_at(engine, RESERVATION_TOKENS)?;
            let mut available_at = engine.available_at(delay).max(limit_at);
            if call.is_bound() && !engine.run.is_listed() {
                available_at = available_at.max(engine.run.next_check_at());
            }
            Some(available_at.max(self.now + avoided_for))
        });
        let earliest = allowed_at.min()?;
        Some(if self.is_late_and_not_started(call) {
            earliest.max(self.wait_queue.late_reservations_at)
        } else {
            earliest
        })
    }

    /// Records that an engine without free memory refused a call; returns the time for which the engine counts as full.
    pub(in crate::relay) fn pace_after_refusal(&mut self, id: CallId) -> Duration {
        if let Some(call) = self.calls.get(&id) {
            self.roles.on_reservation_refused(&call.service, self.now);
        }
        let late = self
            .calls
            .get(&id)
            .filter(|call| self.is_late_and_not_started(call));
        if let Some(delay) = late.and_then(|call| self.extra_delay_after_refusal(call)) {
            self.wait_queue.late_reservations_at = self.now + delay;
        }
        self.wait_queue.pacing.on_refused(&mut self.rng)
    }

    /// Returns how much longer than one interval a call waits after an engine's refusal; none if it waits only the
    /// interval.
    pub(in crate::relay) fn extra_delay_after_refusal(&self, call: &Call) -> Option<Duration> {
        let extra_factor = self.reservation_wait_factor(call) - 1.0;
        (extra_factor > 0.0).then(|| self.wait_queue.pacing.scaled_interval(extra_factor))
    }

    /// Returns how many pacing intervals a call waits after an engine's refusal; 1 if its caller has part of the answer.
    pub(in crate::relay) fn reservation_wait_factor(&self, call: &Call) -> f64 {
        if call.continues_stream() {
            return 1.0;
        }
        let cost = call.token_counts().expected_decode_cost();
        let pacing = &self.wait_queue.pacing;
        pacing.wait_factor(cost, self.is_late_and_not_started(call))
    }

    /// Returns whether a call is late and its caller has no part of the answer.
    fn is_late_and_not_started(&self, call: &Call) -> bool {
        !call.continues_stream() && self.would_miss_target(call.request.call)
    }
}
