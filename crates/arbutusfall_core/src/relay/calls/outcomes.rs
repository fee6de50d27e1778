//! Outcomes of exchanges: each leads to the next stage of the call, a retry if allowed, or the final answer. Failures are in
//! [`failures`](crate::relay::calls::failures).

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::ExchangeEvent;
use crate::relay::ExchangeId;
use crate::relay::KvCacheLocation;
use crate::relay::NotRunReason;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::PrefillResult;
use crate::relay::notice::millis;

impl Relay {
    pub(in crate::relay) fn on_exchange(&mut self, exchange: ExchangeId, event: ExchangeEvent) {
        let Some(id) = self.calls_by_exchange.get(&exchange).copied() else {
            // The relay has already ended this exchange.
            return;
        };
        if event == ExchangeEvent::EndedWithConnection {
            self.on_ended_with_connection(id, exchange);
            return;
        }
        if self.is_standby(id, exchange) && !self.on_standby_event(id, &event) {
            return;
        }
        if is_sign_of_life(&event) {
            self.on_endpoint_alive(id);
        }
        if is_taken(&event) {
            self.on_request_taken(id);
        }
        let is_forwarding = self.is_forwarding(id);
        if !is_forwarding && !matches!(event, ExchangeEvent::Failed { .. }) {
            self.on_exchange_connected(id);
        }
        match event {
            ExchangeEvent::LimitNamed { per_s } => self.on_limit_named(id, exchange, per_s),
            ExchangeEvent::LimitAbsent => self.on_limit_absent(id, exchange),
            ExchangeEvent::Leaving => {
                if let Some((instance, _)) = self.sent_to(id, exchange) {
                    self.on_endpoint_leaves(&instance);
                }
            }
            ExchangeEvent::RestAsked { rest } => self.on_rest_asked(id, exchange, rest),
            ExchangeEvent::Reserved { reservation } => self.on_reserved(id, reservation),
            ExchangeEvent::PrefillDone { handle } => self.on_prefill_done(id, handle),
            ExchangeEvent::VersionStated { version } => self.on_version_stated(id, version),
            ExchangeEvent::StreamBegan => {
                self.on_forward_began(id);
                self.on_stream_began(id, exchange);
            }
            ExchangeEvent::Progress { last_event_id } => self.on_progress(id, last_event_id),
            ExchangeEvent::HeldBack => self.on_held_back(id),
            // Handled above, also for an exchange in standby.
            ExchangeEvent::EndedWithConnection => {}
            ExchangeEvent::EndUnmarked => self.on_end_unmarked(id),
            ExchangeEvent::Complete { status } => self.on_complete(id, exchange, status),
            ExchangeEvent::NotRun { .. } if is_forwarding => self.on_forward_declined(id),
            ExchangeEvent::NotRun { reason } => self.on_not_run(id, reason),
            ExchangeEvent::Failed { failure } if is_forwarding => {
                self.on_forward_failed(id, failure);
            }
            ExchangeEvent::Failed { failure } => self.on_exchange_failed(id, failure),
        }
    }

    /// Records that the endpoint of the call's exchange took the request.
    fn on_request_taken(&mut self, id: CallId) {
        let current = self.calls.get(&id).and_then(|call| call.current.as_ref());
        if let Some(endpoint) = current.and_then(|c| self.endpoints.get_mut(&c.instance)) {
            endpoint.on_taken();
        }
    }

    fn on_reserved(&mut self, id: CallId, reservation: Name) {
        self.on_reservation_answered(id);
        if let Some(allocation) = self
            .calls
            .get_mut(&id)
            .and_then(|call| call.allocation.as_mut())
        {
            allocation.reservation = Some(reservation);
        }
        self.wait_queue.retry_schedule.on_granted(self.now);
        self.wait_queue.pacing.on_granted();
        self.check_run_for(id);
        self.end_exchange(id);
        self.send_next(id);
    }

    /// Marks the engine as full and tries another one, or waits.
    pub(in crate::relay) fn on_engine_full(&mut self, id: CallId) {
        self.on_reservation_answered(id);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let instance = call
            .current
            .as_ref()
            .map(|current| current.instance.clone());
        self.end_exchange(id);
        self.release_allocation(id);
        let unavailable_for = self.pace_after_refusal(id);
        if let Some(instance) = instance {
            self.give_back_decode_token(&instance);
            if let Some(endpoint) = self.endpoints.get_mut(&instance) {
                endpoint.set_unavailable_until(self.now + unavailable_for);
            }
        }
        self.send_next(id);
    }

    pub(in crate::relay) fn on_prefill_done(&mut self, id: CallId, handle: Name) {
        self.record_answer_time(id);
        let lifetime = self.result_lifetime(id);
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = &call.current else {
            return;
        };
        call.was_prefilled = true;
        let tokens = call.token_counts().prompt_tokens;
        let (instance, started_unix_ms) = (&current.instance, current.started_unix_ms);
        if let Some(endpoint) = self.endpoints.get_run_mut(instance, started_unix_ms) {
            let took = now.saturating_sub(current.sent_at);
            endpoint.on_prefilled(tokens, took, now);
            let wait = endpoint.last_prefill_wait();
            self.roles.on_prefilled(&call.service, wait);
            call.prefill_work = endpoint.prefill_time(tokens);
            call.prefill_result = Some(PrefillResult {
                instance: instance.clone(),
                started_unix_ms,
                location: KvCacheLocation {
                    address: endpoint.listed.address,
                    handle,
                },
                expires_at: now + lifetime,
            });
        }
        self.end_exchange(id);
        self.send_next(id);
        self.retry_reservations();
    }

    pub(in crate::relay) fn result_lifetime(&self, id: CallId) -> Duration {
        let routes = self.routes.as_ref();
        let call = self.calls.get(&id);
        let engine = call.and_then(|call| routes?.engine(&call.service));
        engine.map_or(Duration::ZERO, |engine| engine.result_lifetime)
    }

    pub(in crate::relay) fn on_stream_began(&mut self, id: CallId, exchange: ExchangeId) {
        self.drop_standby(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(result) = call.prefill_result.take()
            && let Some(source) = self.endpoints.get_mut(&result.instance)
        {
            source.on_result_fetched();
        }
        call.stream_began_at = Some(self.now);
        if let Some(allocation) = &mut call.allocation {
            allocation.reservation = None;
        }
        call.may_have_run = true;
        call.has_stream_started = true;
        if let Some(current) = &mut call.current {
            current.has_begun = true;
            current.last_activity_at = self.now;
            if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
                endpoint.on_stream_began();
            }
        }
        self.effects
            .push(RelayEffect::Forward { call: id, exchange });
        // Less silence is allowed within a stream than before it.
        self.set_silence_timer(id);
    }

    pub(in crate::relay) fn on_progress(&mut self, id: CallId, last_event_id: Option<u64>) {
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
        let silence = now.saturating_sub(current.last_activity_at);
        current.last_activity_at = now;
        if let Some(endpoint) = self.endpoints.get_mut(&current.instance) {
            endpoint.on_alive(now);
            if is_first {
                endpoint.on_answered(now.saturating_sub(current.sent_at), now);
            } else if last_event_id.is_some() {
                endpoint.event_intervals.on_interval(silence, now);
            }
        }
        if is_first {
            self.record_answer_time(id);
            self.on_first_event(id);
        }
        self.on_stream_lasting(id);
    }

    fn on_end_unmarked(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.is_end_unmarked = true;
        }
    }

    fn on_held_back(&mut self, id: CallId) {
        let call = self.calls.get_mut(&id);
        if let Some(current) = call.and_then(|call| call.current.as_mut()) {
            current.last_activity_at = self.now;
        }
    }

    pub(in crate::relay) fn on_complete(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        if self.is_forwarding(id) && !self.lacks_stream(id) {
            self.on_forward_complete(id, exchange, status);
            return;
        }
        self.record_complete_answer(id, status);
        let lacks_stream = self.lacks_stream(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run = true;
        let Some(current) = &call.current else {
            return;
        };
        if lacks_stream {
            self.on_answer_without_stream(id, status);
            return;
        }
        let instance = current.instance.clone();
        let after = self.now.saturating_sub(current.sent_at);
        let is_failure = status >= 500;
        let stage = current.stage;
        let is_retryable = is_failure && call.may_retry() && !call.has_stream_started;
        let service = call.service.clone();
        let target = call.route.latency_target;
        if is_retryable && self.has_other_endpoint(id, stage.role()) && self.take_retry(id) {
            self.on_request_answered(id, is_failure);
            self.fail_exchange(id, "error_status", false);
            self.send_next(id);
            return;
        }
        if is_failure && self.has_standby(id) {
            self.fail_exchange(id, "error_status", false);
            self.return_to_standby(id, "error_status");
            return;
        }
        self.drop_standby(id);
        if let Some(endpoint) = self.endpoints.get_mut(&instance)
            && stage == CallStage::Plain
            && !is_failure
        {
            endpoint.on_answered(after, self.now);
            self.budget.on_outcome(&service, false, self.now);
            self.on_load_answered(&service, after, target);
        }
        self.on_request_answered(id, is_failure);
        self.end_exchange(id);
        let has_released = self.release_allocation(id);
        self.answer(id, exchange, status);
        if has_released {
            self.retry_reservations();
        }
    }

    /// Returns whether the caller has part of a stream that the current exchange has not gone on with.
    fn lacks_stream(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| {
            let current = call.current.as_ref();
            call.has_stream_started && current.is_some_and(|current| !current.has_begun)
        })
    }

    /// Handles a whole answer of the endpoint at which a started stream was to go on: it cannot be forwarded, and the
    /// stream is not complete.
    fn on_answer_without_stream(&mut self, id: CallId, status: u16) {
        let is_success = (200..300).contains(&status);
        let reason = if is_success {
            "no_stream"
        } else {
            "error_status"
        };
        self.fail_exchange(id, reason, false);
        self.retry_within_budget(id);
    }

    pub(in crate::relay) fn answer(&mut self, id: CallId, exchange: ExchangeId, status: u16) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.on_stream_end(&call.request.request_id, true);
        self.note(RelayNotice::Answered {
            request_id: call.request.request_id.clone(),
            is_added_route: self.is_added_route(&call.route),
            status,
            after_ms: millis(self.now.saturating_sub(call.arrived_at)),
            first_event_ms: call
                .first_event_at
                .map(|at| millis(at.saturating_sub(call.arrived_at))),
        });
        self.effects.push(if call.has_stream_started {
            RelayEffect::Finish { call: id }
        } else {
            RelayEffect::Answer { call: id, exchange }
        });
    }
}

/// Returns whether an event shows that the endpoint took the request.
fn is_taken(event: &ExchangeEvent) -> bool {
    match event {
        ExchangeEvent::Reserved { .. }
        | ExchangeEvent::PrefillDone { .. }
        | ExchangeEvent::StreamBegan => true,
        ExchangeEvent::Complete { status } => *status < 500,
        _ => false,
    }
}

/// Returns whether an event shows that the endpoint's process runs.
fn is_sign_of_life(event: &ExchangeEvent) -> bool {
    matches!(
        event,
        ExchangeEvent::Reserved { .. }
            | ExchangeEvent::PrefillDone { .. }
            | ExchangeEvent::StreamBegan
            | ExchangeEvent::Complete { .. }
            | ExchangeEvent::NotRun {
                reason: NotRunReason::Refused
            }
    )
}
