//! Ends of exchanges: what a call and its endpoint are freed of.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::SharedParts;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::calls::call::MemoryAllocation;
use crate::relay::control::role_usage::StreamUsage;
use crate::relay::notice::millis;

impl Relay {
    /// Ends the call's exchange as failed and adds its endpoint to the call's failed ones; if `is_endpoint_failure`,
    /// also records a failure of the endpoint, which other calls then avoid.
    pub(in crate::relay) fn fail_exchange(
        &mut self,
        id: CallId,
        reason: &'static str,
        is_endpoint_failure: bool,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.clone() else {
            return;
        };
        call.failed_endpoints.push(current.instance.clone());
        self.end_exchange(id);
        if current.stage != CallStage::Prefill {
            self.release_allocation(id);
        }
        self.note_exchange_failed(id, &current, reason);
        if is_endpoint_failure {
            self.record_endpoint_failure(&current.instance);
        }
    }

    /// Logs that an exchange of the call failed.
    pub(in crate::relay) fn note_exchange_failed(
        &mut self,
        id: CallId,
        failed: &CurrentExchange,
        reason: &'static str,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let parts = match failed.stage {
            CallStage::Decode { .. } => call.request.shared_parts.clone(),
            CallStage::Plain | CallStage::Reserve | CallStage::Prefill | CallStage::Forward => {
                SharedParts::default()
            }
        };
        self.note(RelayNotice::ExchangeFailed {
            request_id: call.request.request_id.clone(),
            instance: failed.instance.clone(),
            reason,
            after_ms: millis(self.now.saturating_sub(failed.sent_at)),
            parts,
            request_key: failed
                .stage
                .runs_request()
                .then(|| call.request.request_keys.own.clone()),
        });
    }

    /// Records a failure of an endpoint, which other requests then avoid.
    pub(in crate::relay) fn record_endpoint_failure(&mut self, instance: &Name) {
        if let Some(notice) = self.endpoints.on_failed(instance, self.now) {
            self.note(notice);
        }
    }

    /// Removes the call's exchange and takes it off the endpoint's load.
    pub(in crate::relay) fn end_exchange(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(current) = call.current.take() else {
            return;
        };
        self.leave_endpoint(&current);
        self.release_standby(id);
    }

    /// Takes an exchange that ends off its endpoint's load.
    pub(in crate::relay) fn leave_endpoint(&mut self, ended: &CurrentExchange) {
        self.calls_by_exchange.remove(&ended.exchange);
        if ended.stage == CallStage::Forward {
            self.peers.on_ended(&ended.instance);
            return;
        }
        let now = self.now;
        let (instance, started_unix_ms) = (&ended.instance, ended.started_unix_ms);
        if let Some(endpoint) = self.endpoints.get_run_mut(instance, started_unix_ms) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            let starting = endpoint.slow_start.as_mut();
            if let Some(starting) = starting.filter(|_| endpoint.in_flight == 0) {
                starting.on_idle(now);
            }
        }
    }

    /// Releases the call's memory allocation and records the usage of its stream; returns false if there was none.
    pub(in crate::relay) fn release_allocation(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some(allocation) = call.allocation.take() else {
            return false;
        };
        let began_at = call.stream_began_at.take();
        self.free_allocation(id, allocation, began_at);
        true
    }

    /// Frees memory that the call had at an engine, and records the usage of the stream that began there, if any.
    pub(in crate::relay) fn free_allocation(
        &mut self,
        id: CallId,
        allocation: MemoryAllocation,
        began_at: Option<Duration>,
    ) {
        if let (Some(call), Some(began_at)) = (self.calls.get(&id), began_at) {
            let usage = StreamUsage {
                prefill: call.prefill_work,
                memory_tokens: allocation.tokens,
                decode: self.now.saturating_sub(began_at),
            };
            self.roles.on_stream_ended(&call.service, usage, self.now);
        }
        let (instance, started_unix_ms) = (&allocation.instance, allocation.started_unix_ms);
        let may_hold = self.endpoints.may_be_listed_run(instance, started_unix_ms);
        if let Some(endpoint) = self.endpoints.get_run_mut(instance, started_unix_ms) {
            endpoint.allocated_tokens = endpoint.allocated_tokens.saturating_sub(allocation.tokens);
            endpoint.on_memory_released();
        }
        if let Some(reservation) = allocation.reservation
            && may_hold
            && !self.is_resting(&allocation.instance)
        {
            self.take_limit_tokens(&allocation.instance, 1.0);
            self.effects.push(RelayEffect::FreeReservation {
                address: allocation.address,
                reservation,
            });
        }
    }
}
