//! What exchanges led to: the next step of a request, a repeat where that is allowed, or its answer.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::ExchangeEvent;
use crate::relay::ExchangeFailure;
use crate::relay::ExchangeId;
use crate::relay::NotRunReason;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::StoredPrefill;
use crate::relay::call::CallStage;
use crate::relay::call::Prefilled;
use crate::relay::notice::millis;
use crate::relay::roles::StreamUse;

/// Time for which an endpoint that refused a request is left alone: it is full, or changes its role.
const REFUSING_FOR: Duration = Duration::from_millis(500);

impl Relay {
    pub(super) fn on_exchange(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let Some(id) = self.by_exchange.get(&exchange).copied() else {
            // The relay left the exchange before this happened.
            return;
        };
        match event {
            ExchangeEvent::Reserved { reservation } => self.on_reserved(id, reservation),
            ExchangeEvent::PrefillDone { handle } => self.on_prefill_done(id, handle),
            ExchangeEvent::StreamBegan => self.on_stream_began(id, exchange),
            ExchangeEvent::Progress { last_event_id } => self.on_progress(id, last_event_id),
            ExchangeEvent::Complete { status } => self.on_complete(id, exchange, status),
            ExchangeEvent::NotRun { reason } => self.on_not_run(id, reason),
            ExchangeEvent::Failed { failure } => self.on_failed(id, failure),
        }
    }

    fn on_reserved(&mut self, id: CallId, reservation: Name) {
        if let Some(booking) = self
            .calls
            .get_mut(&id)
            .and_then(|call| call.booking.as_mut())
        {
            booking.reservation = Some(reservation);
        }
        self.waiting.comebacks.on_granted(self.now);
        self.waiting.pacing.on_granted();
        self.end_exchange(id);
        self.send_next(id);
    }

    /// The engine has no room: asks another, or waits.
    fn on_no_room(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let instance = call
            .current
            .as_ref()
            .map(|current| current.instance.clone());
        self.end_exchange(id);
        self.end_booking(id);
        let full_for = self.on_room_refused(id);
        if let Some(endpoint) = instance.and_then(|name| self.endpoints.get_mut(&name)) {
            endpoint.set_full_until(self.now + full_for);
        }
        self.send_next(id);
    }

    pub(super) fn on_prefill_done(&mut self, id: CallId, handle: Name) {
        let lifetime = self.result_lifetime(id);
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        call.was_prefilled = true;
        let tokens = call.prompt().prompt_tokens;
        if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            let took = now.saturating_sub(current.sent_at);
            endpoint.on_prefilled(tokens, took, now);
            call.prefill_work = endpoint.prefill_time(tokens);
            call.prefilled = Some(Prefilled {
                instance: current.instance.clone(),
                stored: StoredPrefill {
                    address: endpoint.listed.address,
                    handle,
                },
                expires_at: now + lifetime,
            });
        }
        self.end_exchange(id);
        self.send_next(id);
        self.ask_for_room();
    }

    pub(super) fn result_lifetime(&self, id: CallId) -> Duration {
        let routes = self.routes.as_ref();
        let call = self.calls.get(&id);
        let engine = call.and_then(|call| routes?.engine(&call.service));
        engine.map_or(Duration::ZERO, |engine| engine.result_lifetime)
    }

    pub(super) fn on_stream_began(&mut self, id: CallId, exchange: ExchangeId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(result) = call.prefilled.take()
            && let Some(source) = self.endpoints.get_mut(&result.instance)
        {
            source.on_result_fetched();
        }
        call.stream_began_at = Some(self.now);
        if let Some(booking) = &mut call.booking {
            booking.reservation = None;
        }
        call.may_have_run = true;
        call.is_forwarded = true;
        if let Some(current) = &mut call.current {
            current.heard_at = self.now;
            if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
                endpoint.on_stream_began();
            }
        }
        self.effects
            .push(RelayEffect::Forward { call: id, exchange });
        // Less silence is allowed within a stream than before it.
        self.set_silence_timer(id);
    }

    pub(super) fn on_progress(&mut self, id: CallId, last_event_id: Option<u64>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.last_event_id = last_event_id.or(call.last_event_id);
        let is_first = call.first_event_at.is_none();
        call.first_event_at.get_or_insert(now);
        let Some(current) = &mut call.current else {
            return;
        };
        current.heard_at = now;
        if is_first && let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.on_answered(now.saturating_sub(current.sent_at));
        }
    }

    pub(super) fn on_complete(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run = true;
        let Some(current) = &call.current else {
            return;
        };
        let instance = current.instance.clone();
        let after = self.now.saturating_sub(current.sent_at);
        let is_failure = status >= 500;
        let stage = current.stage;
        let may_try = is_failure && call.may_be_sent_again() && !call.is_forwarded;
        let service = call.service.clone();
        if may_try && self.has_another(id, stage.role()) && self.budget.take(&service, self.now) {
            self.leave_endpoint(id, "error_status", false);
            self.send_next(id);
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&instance)
            && stage == CallStage::Plain
            && !is_failure
        {
            endpoint.on_answered(after);
        }
        self.end_exchange(id);
        let has_freed = self.end_booking(id);
        self.answer(id, exchange, status);
        if has_freed {
            self.ask_for_room();
        }
    }

    /// Whether an endpoint serves a call that was not asked yet.
    fn has_another(&self, id: CallId, role: Role) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let current = call.current.as_ref().map(|current| &current.instance);
        self.endpoints.serving(&call.service, role).any(|endpoint| {
            let instance = &endpoint.listed.instance;
            current != Some(instance) && !call.tried.contains(instance)
        })
    }

    pub(super) fn answer(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note(RelayNotice::Answered {
            request_id: call.request.request_id.clone(),
            status,
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
            first_event_ms: call
                .first_event_at
                .map(|at| millis(at.saturating_sub(call.arrived_at))),
        });
        self.effects.push(if call.is_forwarded {
            RelayEffect::Finish { call: id }
        } else {
            RelayEffect::Answer { call: id, exchange }
        });
    }

    /// The endpoint did not run the request: it may be sent elsewhere, whatever its kind.
    pub(super) fn on_not_run(&mut self, id: CallId, reason: NotRunReason) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let stage = current.stage;
        let service = call.service.clone();
        if stage.runs_request() {
            call.attempts = call.attempts.saturating_sub(1);
        }
        if stage == CallStage::Reserve && reason == NotRunReason::Refused {
            self.on_no_room(id);
            return;
        }
        if reason == NotRunReason::Refused {
            self.on_refused(id);
        }
        let label = match reason {
            NotRunReason::Refused => "not_run",
            NotRunReason::Misdirected => "misdirected",
        };
        self.leave_endpoint(id, label, reason == NotRunReason::Misdirected);
        self.send_again(id, &service);
    }

    /// Remembers who refused a call: the endpoint, or an engine whose prefill result it could not fetch.
    fn on_refused(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&current.instance) else {
            return;
        };
        endpoint.set_full_until(now + REFUSING_FOR);
        let mut notice = None;
        match current.stage {
            // Most likely it changes its role, which takes seconds.
            CallStage::Prefill => endpoint.health.on_failure(now),
            CallStage::Decode { .. } => notice = Some(endpoint.on_reservation_refused(now)),
            CallStage::Plain | CallStage::Reserve => {}
        }
        let is_sourced = current.stage == (CallStage::Decode { has_source: true });
        if let Some(result) = call.prefilled.take_if(|_| is_sourced)
            && let Some(source) = self.endpoints.get_mut(&result.instance)
        {
            source.on_result_refused(now);
        }
        if let Some(notice) = notice {
            self.note(notice);
        }
    }

    pub(super) fn on_failed(&mut self, id: CallId, failure: ExchangeFailure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        let stage = current.stage;
        let service = call.service.clone();
        let label = match failure {
            ExchangeFailure::Unreachable => "unreachable",
            ExchangeFailure::Closed => "closed",
            ExchangeFailure::Malformed => "malformed",
        };
        if failure == ExchangeFailure::Unreachable {
            if stage.runs_request() {
                call.attempts = call.attempts.saturating_sub(1);
            }
        } else {
            self.mark_run(id, stage);
        }
        self.leave_endpoint(id, label, true);
        if failure == ExchangeFailure::Unreachable {
            // Nothing arrived anywhere, so this is no retry.
            self.send_unless_spent(id);
        } else {
            self.send_again(id, &service);
        }
    }

    pub(super) fn mark_run(&mut self, id: CallId, stage: CallStage) {
        if stage.runs_request()
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.may_have_run = true;
        }
    }

    /// Sends a request once more, if that is allowed and the budget has a retry left.
    pub(super) fn send_again(&mut self, id: CallId, service: &Name) {
        if self
            .calls
            .get(&id)
            .is_some_and(|call| call.final_reason().is_none())
            && !self.budget.take(service, self.now)
        {
            self.give_up(id, "retry_budget");
            return;
        }
        self.send_unless_spent(id);
    }

    /// Sends a request once more, if that is allowed.
    pub(super) fn send_unless_spent(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.final_reason() {
            Some(reason) => self.give_up(id, reason),
            None => self.send_next(id),
        }
    }

    /// Ends the call's exchange as failed, and remembers the endpoint as tried.
    pub(super) fn leave_endpoint(&mut self, id: CallId, reason: &'static str, is_fault: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.clone() else {
            return;
        };
        call.tried.push(current.instance.clone());
        let request_id = call.request.request_id.clone();
        self.end_exchange(id);
        if current.stage != CallStage::Prefill {
            self.end_booking(id);
        }
        self.note(RelayNotice::ExchangeFailed {
            request_id,
            instance: current.instance.clone(),
            reason,
            after_ms: millis(self.now.saturating_sub(current.sent_at)),
        });
        if is_fault && let Some(notice) = self.endpoints.on_failed(&current.instance, self.now) {
            self.note(notice);
        }
    }

    /// Forgets the call's exchange.
    pub(super) fn end_exchange(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.take() else {
            return;
        };
        self.by_exchange.remove(&current.exchange);
        if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Gives back the memory that was set aside for the call; false if there was none.
    pub(super) fn end_booking(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some(booking) = call.booking.take() else {
            return false;
        };
        if let Some(began_at) = call.stream_began_at.take() {
            let streamed = StreamUse {
                prefill: call.prefill_work,
                memory_tokens: booking.tokens,
                decode: self.now.saturating_sub(began_at),
            };
            self.roles
                .on_stream_ended(&call.service, streamed, self.now);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&booking.instance) {
            endpoint.booked_tokens = endpoint.booked_tokens.saturating_sub(booking.tokens);
            endpoint.on_freed();
        }
        if let Some(reservation) = booking.reservation {
            self.effects.push(RelayEffect::FreeReservation {
                address: booking.address,
                reservation,
            });
        }
        true
    }
}
