//! Standby exchanges: an exchange whose endpoint has fallen silent is kept while the request is moved to another endpoint.
//!
//! The silent endpoint may go on at any moment, and the other one may refuse. So the exchange ends only when another
//! endpoint has taken the request over; until then, whichever is first goes on, and the other is closed. A move that fails
//! changes nothing for the caller.
//!
//! Two endpoints never write one stream: from the instant at which a stream's request is sent to another endpoint, the
//! answer of the silent one is held, and is dropped or released once the other one has begun or refused.

use std::time::Duration;

use crate::CallId;
use crate::relay::ExchangeEvent;
use crate::relay::ExchangeFailure;
use crate::relay::ExchangeId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::Standby;
use crate::relay::crashes::crash_handling::SUSPECT;
use crate::relay::notice::millis;

/// Time that another endpoint has to begin a stream before the silent exchange ends all the same: a stream may not run at two
/// endpoints for longer than 400 ms, and its start may be noticed late.
const TAKE_OVER_TIME: Duration = Duration::from_millis(300);

/// Reason of the end of a move whose silent endpoint has gone on.
const GOES_ON: &str = "goes_on";

impl Relay {
    /// Puts the call's silent exchange in standby and moves the request to another endpoint, if one can take it.
    pub(in crate::relay) fn move_from_silent(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(exchange) = call.current.take() else {
            return;
        };
        let instance = exchange.instance.clone();
        let notice = RelayNotice::ExchangeSilent {
            request_id: call.request.request_id.clone(),
            instance: instance.clone(),
            silent_ms: millis(self.now.saturating_sub(exchange.last_activity_at)),
        };
        call.standby = Some(Standby {
            exchange,
            allocation: call.allocation.take(),
            stream_began_at: call.stream_began_at.take(),
            prefill_result: call.prefill_result.take(),
            moved_at: self.now,
            is_sent_again: false,
            failed_before: call.failed_endpoints.len(),
            held_until: None,
        });
        call.failed_endpoints.push(instance.clone());
        self.note(notice);
        self.record_endpoint_failure(&instance);
        self.retry_or_fail(id);
    }

    /// Handles the send of a moved request to an endpoint that may run it: the standby exchange of a stream or of an engine is held.
    pub(in crate::relay) fn on_run_sent(&mut self, id: CallId, stage: CallStage) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(standby) = &mut call.standby else {
            return;
        };
        standby.is_sent_again = true;
        if matches!(stage, CallStage::Plain | CallStage::Forward) && !call.route.is_stream {
            return;
        }
        let exchange = standby.exchange.exchange;
        let held_until = self.now + TAKE_OVER_TIME;
        standby.held_until = Some(held_until);
        self.timers
            .set(held_until, RelayTimer::EndStandby(exchange));
        self.effects.push(RelayEffect::Hold { exchange });
    }

    /// Releases the call's standby exchange if it is held: the other endpoint has refused or failed.
    pub(in crate::relay) fn release_standby(&mut self, id: CallId) {
        let call = self.calls.get_mut(&id);
        let Some(standby) = call.and_then(|call| call.standby.as_mut()) else {
            return;
        };
        if standby.held_until.take().is_some() {
            let exchange = standby.exchange.exchange;
            self.effects.push(RelayEffect::Release { exchange });
        }
    }

    /// Ends a standby exchange that has been held for too long.
    pub(in crate::relay) fn end_standby(&mut self, exchange: ExchangeId) {
        let Some(id) = self.calls_by_exchange.get(&exchange).copied() else {
            return;
        };
        let standby = self.standby(id);
        let held_until = standby.and_then(|standby| standby.held_until);
        if held_until.is_some_and(|held_until| self.now >= held_until) {
            self.drop_standby(id);
        }
    }

    fn standby(&self, id: CallId) -> Option<&Standby> {
        self.calls.get(&id)?.standby.as_ref()
    }

    /// Returns whether the call has a standby exchange.
    pub(in crate::relay) fn has_standby(&self, id: CallId) -> bool {
        self.standby(id).is_some()
    }

    /// Returns whether this is the call's standby exchange.
    pub(in crate::relay) fn is_standby(&self, id: CallId, exchange: ExchangeId) -> bool {
        let standby = self.standby(id);
        standby.is_some_and(|standby| standby.exchange.exchange == exchange)
    }

    /// Handles an event of the call's standby exchange. Returns true if the event is to be handled like one of the
    /// current exchange, which the standby one is again if its endpoint has gone on.
    pub(in crate::relay) fn on_standby_event(&mut self, id: CallId, event: &ExchangeEvent) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        match event {
            ExchangeEvent::NotRun { .. } => {
                call.attempts = call.attempts.saturating_sub(1);
                self.fail_standby(id, "not_run");
            }
            ExchangeEvent::Failed { failure } => self.on_standby_failed(id, *failure),
            ExchangeEvent::Complete { status } if *status >= 500 && !call.has_stream_started => {
                call.may_have_run = true;
                self.fail_standby(id, "error_status");
            }
            // After a silence, an end that nothing marks is more likely the endpoint's own.
            ExchangeEvent::EndUnmarked if call.has_stream_started => {
                self.on_standby_failed(id, ExchangeFailure::Closed);
            }
            // What the head says comes before the event of the answer, which tells whether the endpoint goes on.
            ExchangeEvent::LimitNamed { .. }
            | ExchangeEvent::LimitAbsent
            | ExchangeEvent::RestAsked { .. }
            | ExchangeEvent::Leaving
            | ExchangeEvent::VersionStated { .. } => return true,
            _ => return self.return_to_standby(id, GOES_ON),
        }
        false
    }

    /// Ends the move of a call, if it is being moved: the standby exchange is its current one again.
    pub(in crate::relay) fn return_to_standby(&mut self, id: CallId, reason: &'static str) -> bool {
        let call = self.calls.get_mut(&id);
        let Some(standby) = call.and_then(|call| call.standby.take()) else {
            return false;
        };
        self.release_resources(id);
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let exchange = standby.exchange.exchange;
        let notice = RelayNotice::MoveAbandoned {
            request_id: call.request.request_id.clone(),
            instance: standby.exchange.instance.clone(),
            reason,
            after_ms: millis(self.now.saturating_sub(standby.moved_at)),
        };
        call.failed_endpoints.truncate(standby.failed_before);
        call.current = Some(standby.exchange);
        call.allocation = standby.allocation;
        call.stream_began_at = standby.stream_began_at;
        call.prefill_result = standby.prefill_result;
        let service = call.service.clone();
        self.note(notice);
        if standby.held_until.is_some() {
            self.effects.push(RelayEffect::Release { exchange });
        }
        if !standby.is_sent_again {
            self.budget.give_back(&service, standby.moved_at, self.now);
        }
        self.check_silence_later(id);
        true
    }

    /// Closes the call's standby exchange: another endpoint has taken the request over, or the call ends.
    pub(in crate::relay) fn drop_standby(&mut self, id: CallId) {
        let Some(standby) = self.take_standby(id) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.on_exchange_closed(&standby.exchange);
        }
        let exchange = standby.exchange.exchange;
        self.effects.push(RelayEffect::Close { exchange });
    }

    fn on_standby_failed(&mut self, id: CallId, failure: ExchangeFailure) {
        if failure.may_be_crash()
            && let Some(standby) = self.standby(id)
        {
            let (exchange, began_at) = (standby.exchange.clone(), standby.stream_began_at);
            self.on_exchange_broken_off(&exchange);
            self.record_broken_run(id, &exchange, began_at);
        }
        if !failure.is_before_send()
            && let Some(stage) = self.standby(id).map(|standby| standby.exchange.stage)
        {
            self.mark_may_have_run(id, stage);
        }
        self.fail_standby(id, failure.name());
        let is_sent_again = self.calls.get(&id).is_some_and(|call| {
            let current = call.current.as_ref();
            current.is_some_and(|current| current.stage.runs_request())
        });
        if !is_sent_again && self.may_crash_next_endpoint(id) {
            self.fail_call(id, SUSPECT);
        }
    }

    /// Removes the call's standby exchange, which has ended by itself.
    fn fail_standby(&mut self, id: CallId, reason: &'static str) {
        let Some(standby) = self.take_standby(id) else {
            return;
        };
        self.note_exchange_failed(id, &standby.exchange, reason);
    }

    /// Removes the call's standby exchange and takes it off the endpoint's load.
    fn take_standby(&mut self, id: CallId) -> Option<Standby> {
        let call = self.calls.get_mut(&id)?;
        let standby = call.standby.take()?;
        self.leave_endpoint(&standby.exchange);
        if let Some(allocation) = standby.allocation.clone() {
            self.free_allocation(id, allocation, standby.stream_began_at);
        }
        if let Some(result) = standby.prefill_result.clone() {
            self.free_prefill_result(result);
        }
        Some(standby)
    }
}
