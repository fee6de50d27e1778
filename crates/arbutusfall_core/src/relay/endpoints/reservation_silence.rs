//! Reservations that an engine does not answer in time: it may be slow, silent for a moment, or gone.
//!
//! A request goes to another engine if one may be asked now; otherwise it goes on waiting, because a slow engine is better
//! than none. An engine is avoided only if nothing else shows that it runs, and has more time for its next reservation.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::reservation_times::MAX_RESERVE_TIMEOUT;
use crate::relay::limits::limit_tokens::RESERVATION_TOKENS;

impl Relay {
    /// Handles a reservation that got no answer in time.
    pub(in crate::relay) fn on_reservation_silent(&mut self, id: CallId) {
        let Some(current) = self.reserving(id).cloned() else {
            return;
        };
        let last_due = current.sent_at + MAX_RESERVE_TIMEOUT;
        if self.now < last_due && !self.has_other_engine(id, &current.instance) {
            self.wait_for_reservation(id, last_due);
            return;
        }
        self.effects.push(RelayEffect::Close {
            exchange: current.exchange,
        });
        self.give_reservation_up(id, &current);
    }

    /// Returns the call's exchange if it is a reservation.
    fn reserving(&self, id: CallId) -> Option<&CurrentExchange> {
        let current = self.calls.get(&id)?.current.as_ref()?;
        (current.stage == CallStage::Reserve).then_some(current)
    }

    fn wait_for_reservation(&mut self, id: CallId, until: Duration) {
        let call = self.calls.get_mut(&id);
        if let Some(current) = call.and_then(|call| call.current.as_mut()) {
            current.answer_due = until;
        }
        self.set_silence_timer(id);
    }

    /// Returns whether, besides this one, an engine may be asked now to reserve memory for the call.
    fn has_other_engine(&self, id: CallId, instance: &Name) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let delay = self.extra_delay_after_refusal(call);
        self.endpoints
            .serving_call(call, Role::Decode)
            .any(|engine| {
                engine.listed.instance != *instance
                    && !call.failed_endpoints.contains(&engine.listed.instance)
                    && engine.health.is_usable(self.now)
                    && engine.may_return()
                    && engine.available_at(delay) <= self.now
                    && self.limit_allows(engine, RESERVATION_TOKENS)
            })
    }

    /// Ends a silent reservation; the call tries other engines or waits.
    fn give_reservation_up(&mut self, id: CallId, silent: &CurrentExchange) {
        let Some(endpoint) = self.endpoints.get_mut(&silent.instance) else {
            return;
        };
        let silence = self.now.saturating_sub(silent.sent_at);
        endpoint.reservation_times.on_silent(silence);
        let is_alive = endpoint.is_alive_since(silent.sent_at);
        if is_alive {
            endpoint.raise_failure_fraction(self.now);
        }
        self.on_silence_in_doubt(id);
        let failed_before = self.calls.get(&id).map(|call| call.failed_endpoints.len());
        self.fail_exchange(id, "silent", !is_alive);
        if let Some(call) = self.calls.get_mut(&id) {
            call.unanswered_exchanges += 1;
        }
        if let (Some(call), Some(failed_before)) = (self.calls.get_mut(&id), failed_before)
            && call.continues_stream()
        {
            call.failed_endpoints.truncate(failed_before);
        }
        self.retry_or_fail(id);
    }

    /// Records that the engine of the call's exchange answered its reservation.
    pub(in crate::relay) fn on_reservation_answered(&mut self, id: CallId) {
        let Some(current) = self.reserving(id) else {
            return;
        };
        let after = self.now.saturating_sub(current.sent_at);
        let instance = current.instance.clone();
        if let Some(endpoint) = self.endpoints.get_mut(&instance) {
            endpoint.reservation_times.on_answered(after);
        }
    }
}
